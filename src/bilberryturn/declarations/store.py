"""Store numbered changes of declarations in the table service.

The head row contains the number of the last change. A commit updates it by
compare-and-set, so exactly one of two concurrent commits succeeds. Snapshots
are written to the object store periodically, so that a starting node need not
read the whole log.
"""

import datetime
from typing import NamedTuple
import uuid

import expression
import msgspec

from bilberryturn import platform
from bilberryturn.declarations import changes
from bilberryturn.declarations import exceptions
from bilberryturn.declarations import models
from bilberryturn.platform import tables

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_INTERVAL_CHANGES = 200
COMMIT_ATTEMPTS = 4


class Head(NamedTuple):
    """Content of the head row.

    Attributes:
        row_version: Version of the row in the table service.
        version: Number of the last change.
        author: Operator who made the last change.
        snapshot_version: Version of the last snapshot; 0 if there is none.
    """

    row_version: int
    version: int
    author: str
    snapshot_version: int


class CatchUpResult(NamedTuple):
    """The latest declarations and the changes that led to them.

    Attributes:
        log: Changes that were read, without those in a snapshot.
    """

    declared: models.Declarations
    log: list[changes.Change]


def change_key(version: int) -> str:
    """Return the key of a change's row; keys sort by version."""
    return f"{CHANGE_PREFIX}{version:012d}"


class DeclarationStore:
    """Reads and commits changes of declarations."""

    def __init__(
        self, table: platform.TableService, objects: platform.ObjectStore
    ):
        self._table = table
        self._objects = objects

    def head(self) -> expression.Result[Head, platform.PlatformError]:
        """Return the head row."""
        result = self._table.read(HEAD_KEY)
        if result.is_error():
            return expression.Error(result.error)
        value = result.ok.value or {}
        return expression.Ok(
            Head(
                result.ok.version,
                value.get("version", 0),
                value.get("author", ""),
                value.get("snapshot_version", 0),
            )
        )

    def changes_after(
        self, version: int
    ) -> expression.Result[list[changes.Change], platform.PlatformError]:
        """Return the changes after a version in order."""
        result = self._table.scan(CHANGE_PREFIX, after=change_key(version))
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok([changes.from_row(r.value) for r in result.ok])

    def catch_up(
        self, current: models.Declarations
    ) -> expression.Result[CatchUpResult, platform.PlatformError]:
        """Return the latest declarations, starting from the current ones."""
        head_result = self.head()
        if head_result.is_error():
            return expression.Error(head_result.error)
        head = head_result.ok
        if head.version <= current.version:
            return expression.Ok(CatchUpResult(current, []))
        if head.snapshot_version > current.version:
            current = self._load_snapshot(head.snapshot_version, current)
        result = self.changes_after(current.version)
        if result.is_error():
            return expression.Error(result.error)
        newest = apply_changes(current, result.ok)
        return expression.Ok(CatchUpResult(newest, result.ok))

    def _load_snapshot(self, version: int, current: models.Declarations):
        """Return a snapshot, or the current declarations without one."""
        result = self._objects.get(f"config/snapshot/{version}")
        if result.is_error() or result.ok is None:
            return current
        try:
            sections = msgspec.json.decode(
                result.ok, type=dict[str, dict[str, str]]
            )
        except msgspec.DecodeError:
            return current
        return models.Declarations(version, sections)

    def commit(
        self,
        current: models.Declarations,
        author: str,
        changed: dict[str, dict[str, str]],
        removed: tuple[str, ...],
    ) -> expression.Result[changes.Change, Exception]:
        """Commit a change on top of the current declarations.

        Args:
            current: Declarations on which the change is based.
            author: Operator.
            changed: New options by section name.
            removed: Names of sections to remove.

        Returns:
            The committed change, ConfigConflictError or PlatformError. If the
            answer is lost, the outcome is found by reading the row back.
        """
        token = uuid.uuid4().hex
        change = changes.Change(
            current.version + 1,
            author,
            token,
            changed,
            removed,
            datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )
        last_error: Exception | None = None
        for _ in range(COMMIT_ATTEMPTS):
            outcome = self._try_commit(change)
            if outcome.is_ok():
                return expression.Ok(change)
            last_error = outcome.error
            if isinstance(last_error, exceptions.ConfigConflictError):
                return expression.Error(last_error)
        return expression.Error(last_error)

    def _try_commit(self, change: changes.Change):
        head_result = self.head()
        if head_result.is_error():
            return expression.Error(head_result.error)
        head = head_result.ok
        if head.version >= change.version:
            return self._confirm_commit(change, head)
        if head.version != change.version - 1:
            return expression.Error(
                exceptions.ConfigConflictError(
                    head.version, head.author, change.version - 1
                )
            )
        value = {
            "version": change.version,
            "author": change.author,
            "snapshot_version": head.snapshot_version,
        }
        key = change_key(change.version)
        result = self._table.transact(
            {HEAD_KEY: head.row_version, key: 0},
            {HEAD_KEY: value, key: change.as_row()},
        )
        if result.is_error():
            return expression.Error(result.error)
        if isinstance(result.ok, tables.Aborted):
            return self._try_commit(change)
        return expression.Ok(None)

    def _confirm_commit(self, change: changes.Change, head: Head):
        """Return an error unless the change under this number is this one."""
        result = self._table.read(change_key(change.version))
        if result.is_error():
            return expression.Error(result.error)
        row = result.ok.value
        if row is not None and row["token"] == change.token:
            return expression.Ok(None)
        author = row["author"] if row else head.author
        return expression.Error(
            exceptions.ConfigConflictError(
                head.version, author, change.version - 1
            )
        )

    def write_snapshot(self, current: models.Declarations) -> bool:
        """Write a snapshot if enough changes were committed since the last.

        Returns:
            Whether a snapshot was written and recorded in the head row.
        """
        head_result = self.head()
        if head_result.is_error():
            return False
        head = head_result.ok
        if current.version != head.version:
            return False
        changes_since_snapshot = current.version - head.snapshot_version
        if changes_since_snapshot < SNAPSHOT_INTERVAL_CHANGES:
            return False
        content = msgspec.json.encode(current.sections)
        name = f"config/snapshot/{current.version}"
        if self._objects.put(name, content).is_error():
            return False
        value = {
            "version": head.version,
            "author": head.author,
            "snapshot_version": current.version,
        }
        result = self._table.transact(
            {HEAD_KEY: head.row_version}, {HEAD_KEY: value}
        )
        return result.is_ok() and isinstance(result.ok, tables.Committed)


def apply_changes(
    current: models.Declarations, log: list[changes.Change]
) -> models.Declarations:
    """Return the declarations with consecutive changes applied.

    Changes that are already included are skipped, and nothing is applied after
    a missing number, so a gap or an old message cannot revert a version.
    """
    for change in log:
        if change.version <= current.version:
            continue
        if change.version != current.version + 1:
            return current
        current = current.with_change(
            change.version, change.changed, change.removed
        )
    return current
