"""Describe changes of declarations."""

from typing import Any

import msgspec

from bilberryturn.declarations import models


class Change(msgspec.Struct, frozen=True):
    """Holds one numbered change.

    Attributes:
        version: Number of the change.
        author: Operator who made it.
        token: Unique text by which a writer recognises its own change.
        changed: New options by section name.
        removed: Names of removed sections.
        at: Wall-clock time for readers, in ISO form.
    """

    version: int
    author: str
    token: str
    changed: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()
    at: str = ""

    def as_row(self) -> dict[str, Any]:
        """Return the form kept in the table service."""
        return msgspec.to_builtins(self)


def from_row(value: Any) -> Change:
    """Return the change of a row.

    Raises:
        msgspec.ValidationError: The row does not hold a change.
    """
    return msgspec.convert(value, Change)


def difference(
    current: dict[str, dict[str, str]],
    declared: dict[str, dict[str, str]],
) -> tuple[dict[str, dict[str, str]], tuple[str, ...]]:
    """Return what turns the sections in force into the declared ones.

    Only kinds that are declared in files are compared; keys and marks have
    commands of their own.
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
