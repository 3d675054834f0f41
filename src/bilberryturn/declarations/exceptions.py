"""Exceptions for declarations."""

from bilberryturn import exceptions


class ConfigConflictError(exceptions.BilberryturnError):
    """Raised when another change was committed first.

    Attributes:
        version: Version now in force.
        author: Operator who made it.
    """

    def __init__(self, version: int, author: str, expected_version: int):
        super().__init__(
            f"Version {version} by {author} was accepted after version"
            f" {expected_version}, on which this change is based",
            "Run `bilberryturn plan` again, review the difference and apply",
        )
        self.version = version
        self.author = author


class InvalidDeclarationsError(exceptions.BilberryturnError):
    """Raised when declarations are invalid; nothing has been changed."""

    def __init__(self, faults: list):
        text = " ".join(str(fault) for fault in faults)
        super().__init__(
            f"The declarations hold {len(faults)} faults: {text}",
            "Correct them and run `bilberryturn check`",
        )
        self.faults = faults
