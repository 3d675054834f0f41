"""Define the errors of the platform's interfaces."""

from bilberryturn import exceptions


class PlatformError(exceptions.BilberryturnError):
    """Reports that an interface of the platform cannot be used."""


class PlatformUnreachableError(PlatformError):
    """Reports that no answer came; the call may have taken effect."""

    def __init__(self, interface: str, reason: str):
        super().__init__(
            f"The platform's {interface} interface gave no answer: {reason}",
            "Check the platform and the network; the node tries again",
        )


class PlatformRefusedError(PlatformError):
    """Reports an answer that is not one of the documented ones."""

    def __init__(self, interface: str, status: int):
        super().__init__(
            f"The platform's {interface} interface answered status {status}",
            "Compare the address and the version of the interface with the"
            " settings",
        )
        self.status = status


class StaleFencingNumberError(PlatformError):
    """Reports that a newer holder of the lease has already been seen."""

    def __init__(self, interface: str, fencing_number: int):
        super().__init__(
            f"The platform's {interface} interface refused fencing number"
            f" {fencing_number} as old",
            "Nothing needs to be done; a newer lease holder is at work",
        )


class PlatformFormatError(PlatformError):
    """Reports a value on the platform that cannot be used."""

    def __init__(self, subject: str, reason: str):
        super().__init__(
            f"The {subject} cannot be read: {reason}",
            "Look at who wrote it; the last good value stays in force",
        )


class HistoryLostError(PlatformError):
    """Reports that the store no longer has the changes asked for."""

    def __init__(self, table: str, since: int):
        super().__init__(
            f"The store has no history of {table} since version {since}",
            "Nothing needs to be done; the node reads a snapshot",
        )
