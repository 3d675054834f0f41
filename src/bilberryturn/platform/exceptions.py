"""Errors of the platform's interfaces."""

from bilberryturn import exceptions


class PlatformError(exceptions.BilberryturnError):
    """Base of the errors of the platform's interfaces."""


class PlatformUnreachableError(PlatformError):
    """The platform did not respond; the call may have taken effect."""

    def __init__(self, interface: str, reason: str):
        super().__init__(
            f"The platform's {interface} interface did not respond: {reason}",
            "Check the platform and the network; the node retries",
        )


class PlatformRefusedError(PlatformError):
    """The platform sent a response that the interface does not define."""

    def __init__(self, interface: str, status: int):
        super().__init__(
            f"The platform's {interface} interface returned status {status}",
            "Check that the address and the version of the interface match the"
            " settings",
        )
        self.status = status


class StaleFencingNumberError(PlatformError):
    """The platform has already seen a newer holder of the lease."""

    def __init__(self, interface: str, fencing_number: int):
        super().__init__(
            f"The platform's {interface} interface rejected fencing number"
            f" {fencing_number} as stale",
            "No action is needed; a newer lease holder has taken over",
        )


class PlatformFormatError(PlatformError):
    """A value read from the platform is malformed."""

    def __init__(self, subject: str, reason: str):
        super().__init__(
            f"The {subject} cannot be decoded: {reason}",
            "Check the writer of the value; the last valid value stays in use",
        )


class HistoryLostError(PlatformError):
    """The store no longer has the requested changes."""

    def __init__(self, table: str, since: int):
        super().__init__(
            f"The store has no history of {table} since version {since}",
            "No action is needed; the node reads a snapshot",
        )
