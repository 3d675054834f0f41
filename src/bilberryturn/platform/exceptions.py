"""Errors of the platform's interfaces."""

from bilberryturn import exceptions


class PlatformError(exceptions.BilberryturnError):
    """Base of the errors of the platform's interfaces."""


class PlatformUnreachableError(PlatformError):
    """The platform did not respond; the call may have taken effect."""

    def __init__(self, interface: str, reason: str):
        super().__init__(
            f"The platform's {interface} interface gave no answer: {reason}",
            "Check the platform and the network; the node tries again",
        )


class PlatformRefusedError(PlatformError):
    """The platform sent a response that the interface does not define."""

    def __init__(self, interface: str, status: int):
        super().__init__(
            f"The platform's {interface} interface answered status {status}",
            "Compare the address and the version of the interface with the"
            " settings",
        )
        self.status = status


class StaleFencingNumberError(PlatformError):
    """The platform has already seen a newer holder of the lease."""

    def __init__(self, interface: str, fencing_number: int):
        super().__init__(
            f"The platform's {interface} interface refused fencing number"
            f" {fencing_number} as old",
            "Nothing needs to be done; a newer lease holder is at work",
        )


class PlatformFormatError(PlatformError):
    """A value read from the platform is malformed."""

    def __init__(self, subject: str, reason: str):
        super().__init__(
            f"The {subject} cannot be read: {reason}",
            "Look at who wrote it; the last good value stays in force",
        )


class HistoryLostError(PlatformError):
    """The store no longer has the requested changes."""

    def __init__(self, table: str, since: int):
        super().__init__(
            f"The store has no history of {table} since version {since}",
            "Nothing needs to be done; the node reads a snapshot",
        )


class StoreRestoredError(PlatformError):
    """The store came back from an older copy while a call was made."""

    def __init__(self, subject: str):
        super().__init__(
            f"The store was restored from a copy during a call on {subject};"
            " the call may have taken effect",
            "Nothing needs to be done; the node reads the store again",
        )
