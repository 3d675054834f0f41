"""Changes of declarations."""

from typing import Any

import msgspec

from bilberryturn.declarations import models


class Change(msgspec.Struct, frozen=True):
    """A numbered change of the declarations.

    Attributes:
        version: Number of the change.
        author: Operator who made it.
        token: Unique text by which a writer recognizes its own change.
        changed: New options by section name.
        removed: Names of removed sections.
        at: Wall-clock time in ISO 8601 format, for display only.
    """

    version: int
    author: str
    token: str
    changed: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()
    at: str = ""

    def as_row(self) -> dict[str, Any]:
        """Return the value that is stored in the table service."""
        return msgspec.to_builtins(self)


def from_row(value: Any) -> Change:
    """Return the change that is stored in a row.

    Raises:
        msgspec.ValidationError: The row value is not a change.
    """
    return msgspec.convert(value, Change)


def difference(
    current: dict[str, dict[str, str]],
    declared: dict[str, dict[str, str]],
) -> tuple[dict[str, dict[str, str]], tuple[str, ...]]:
    """Return the changes that turn the current sections into the declared ones.

    Only kinds that are declared in files are compared; keys and marks are
    changed by separate commands.

    Args:
        current: Options by section name, as in force.
        declared: Options by section name, as declared in files.

    Returns:
        New options by section name, and the names of removed sections.
    """
    changed = {
        name: options
        for name, options in declared.items()
        if current.get(name) != options
    }
    removed = tuple(
        name
        for name in current
        if models.kind_of(name) in models.FILE_KINDS and name not in declared
    )
    return changed, removed
