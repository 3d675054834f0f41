"""Client of the row store of the users' platform, with a change feed.

Offers the same reads and transactions as tables.TableService, so that leases
and usage accounting work with either.
"""

import base64
import binascii
from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

import expression
import msgspec

from bilberryturn.platform import decoding
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import store_era
from bilberryturn.platform import tables
from bilberryturn.platform import wire

PAGE_ROWS = 500
MAX_ERA_DIGITS = 9
# Tables that the users' platform defines.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
# Keys of the operator's table, followed by the name of a failure domain.
EVACUATE_PREFIX = "evacuate/"
SERVER_TABLE = "servers"
# A table that only the nodes write: the crashes that each node counted.
SUSPECT_TABLE = "suspects"
# Another one: at which software version each running stream began.
STREAM_TABLE = "streams"


class _Row(msgspec.Struct):
    table: str
    key: str
    ver: int
    part: str = ""
    # Base64; absent for deleted rows.
    value: str = ""
    deleted: bool = False


class _Rows(msgspec.Struct, rename="camel"):
    rows: list[_Row]
    ver: int
    has_more: bool = False
    # The store's steady clock in milliseconds.
    now_ms: int | None = None


class _Committed(msgspec.Struct, rename="camel"):
    ver: int
    now_ms: int | None = None


def _steady_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Change(NamedTuple):
    """One changed row; the value is None if the row was deleted."""

    key: str
    version: int
    value: bytes | None


class Changes(NamedTuple):
    """Changed rows and the version from which to request the next ones.

    Attributes:
        era: Era of the store's answer, to which the versions belong.
    """

    rows: list[Change]
    version: int
    era: int | None = None


class DrainRows(NamedTuple):
    """The rows of drained failure domains in a reading of the operator's table.

    Attributes:
        drained: Failure domains that have a row.
        undone: Failure domains whose row was removed.
        malformed: Keys that name no failure domain.
    """

    drained: frozenset[str]
    undone: frozenset[str]
    malformed: tuple[str, ...]


def read_drains(values: dict[str, bytes | None]) -> DrainRows:
    """Return the drained failure domains in rows of the operator's table.

    Args:
        values: Values by key; None for a removed row.
    """
    drained: set[str] = set()
    undone: set[str] = set()
    malformed = []
    for key, value in values.items():
        if not key.startswith(EVACUATE_PREFIX):
            continue
        failure_domain = key.removeprefix(EVACUATE_PREFIX)
        if not failure_domain.strip():
            malformed.append(key)
            continue
        (undone if value is None else drained).add(failure_domain)
    return DrainRows(frozenset(drained), frozenset(undone), tuple(malformed))


class _Answer(NamedTuple):
    """Answer to a read."""

    page: _Rows
    era: int | None


class RowStore:
    """Client of the row interface; thread-safe."""

    def __init__(
        self,
        client: http.HttpClient,
        record_time: Callable[[float, float, float], None] | None = None,
        era_tracker: store_era.EraTracker | None = None,
    ):
        """Initialize the client.

        Args:
            client: HTTP client of the store.
            record_time: Receives the store's steady clock, and the times on
                this VM's CLOCK_BOOTTIME at which the call was sent and its
                response received, all in seconds.
            era_tracker: Era of the store, shared by all clients of a node.
        """
        self._client = client
        self._record_time = record_time
        self._era_tracker = era_tracker or store_era.EraTracker()

    @property
    def era(self) -> int | None:
        """Return the newest known era of the store."""
        return self._era_tracker.era

    @property
    def era_began_s(self) -> float:
        """Return the steady time at which this node learned of the era."""
        return self._era_tracker.began_s

    @property
    def has_seen_restore(self) -> bool:
        """Return whether the store was restored while this node ran."""
        return self._era_tracker.has_seen_restore

    def snapshot(
        self, table: str, start: str = "", end: str = ""
    ) -> expression.Result[Changes, exceptions.PlatformError]:
        """Return all rows of a table, or those with start <= key < end."""
        changes: list[Change] = []
        version = -1
        era: int | None = None
        after = start
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if after:
                query["from"] = after
            if end:
                query["to"] = end
            sent_s = _steady_s()
            result = self._get("/rows-get", query, table, 0)
            if result.is_error():
                return expression.Error(result.error)
            page = result.ok.page
            if version >= 0 and result.ok.era != era:
                return expression.Error(exceptions.StoreRestoredError(table))
            era = result.ok.era
            self._report_time(page.now_ms, sent_s)
            changes.extend(_decode_change(row) for row in page.rows)
            # The caller requests further changes from the version of the first
            # page, so changes made while the pages were read are not lost.
            version = page.ver if version < 0 else version
            if not page.has_more or not page.rows:
                return expression.Ok(Changes(changes, version, era))
            after = page.rows[-1].key + "\x00"

    def wait_for_changes(
        self, table: str, since: int, wait_s: float, era: int | None = None
    ) -> expression.Result[Changes, exceptions.PlatformError]:
        """Return the rows changed after a version; a long poll.

        Args:
            table: Name of the table.
            since: Version after which changes are returned.
            era: Era to which the version belongs.
            wait_s: Time to wait for the first change.

        Returns:
            The changes, HistoryLostError if the store no longer has them and
            the caller must read a snapshot, or another PlatformError.
        """
        query = {
            "table": table,
            "sinceRev": since,
            "waitMs": int(wait_s * 1000),
        }
        result = self._get("/rows-feed", query, table, since)
        if result.is_error():
            return expression.Error(result.error)
        page, answer_era = result.ok
        if page.ver < since or answer_era != era:
            # The store knows no such version; only a snapshot is certain.
            return expression.Error(exceptions.HistoryLostError(table, since))
        return expression.Ok(
            Changes(
                [_decode_change(row) for row in page.rows], page.ver, answer_era
            )
        )

    def _get(
        self, path: str, query: dict[str, Any], table: str, since: int
    ) -> expression.Result[_Answer, exceptions.PlatformError]:
        result = self._client.call(
            "GET", f"{path}?{urllib.parse.urlencode(query)}"
        )
        if result.is_error():
            return expression.Error(result.error)
        response = result.ok
        era = _era_of(response)
        if not self._era_tracker.observe(era):
            return expression.Error(exceptions.StoreRestoredError(table))
        if response.status == 410:
            return expression.Error(exceptions.HistoryLostError(table, since))
        if response.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError("store", response.status)
            )
        try:
            page = decoding.decode_json(response.body, type=_Rows)
            return expression.Ok(_Answer(page, era))
        except msgspec.DecodeError as error:
            return expression.Error(
                exceptions.PlatformFormatError("answer", str(error))
            )

    def read(
        self, key: str
    ) -> expression.Result[tables.Row, exceptions.PlatformError]:
        """Return the row with key TABLE/KEY, its value decoded from JSON."""
        table, _, name = key.partition("/")
        result = self.snapshot(table, name, name + "\x00")
        if result.is_error():
            return expression.Error(result.error)
        for row in result.ok.rows:
            if row.key == name:
                return expression.Ok(_table_row(key, row, result.ok.era))
        return expression.Ok(tables.Row(key, 0, None))

    def scan(
        self, prefix: str
    ) -> expression.Result[list[tables.Row], exceptions.PlatformError]:
        """Return the rows whose TABLE/KEY starts with a prefix."""
        table, _, start = prefix.partition("/")
        end = start[:-1] + chr(ord(start[-1]) + 1) if start else ""
        result = self.snapshot(table, start, end)
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(
            [
                _table_row(f"{table}/{row.key}", row, result.ok.era)
                for row in result.ok.rows
            ]
        )

    def transact(
        self,
        checks: dict[str, tables.Version],
        writes: dict[str, Any],
        removes: tuple[str, ...] = (),
    ) -> expression.Result[
        tables.Committed | tables.Aborted, exceptions.PlatformError
    ]:
        """Write and remove rows if every checked row has the given version.

        Returns:
            Committed or Aborted; PlatformUnreachableError or StoreRestoredError
            if it is unknown whether the transaction took effect.
        """
        eras = {
            version.era
            for version in checks.values()
            if isinstance(version, store_era.RowVersion)
        }
        if eras - {self.era}:
            # The same numbers may stand for other rows now.
            return expression.Ok(tables.Aborted(tuple(checks)))
        body = {
            "expectRev": [
                {**_row_reference(key), "ver": _number_of(version)}
                for key, version in checks.items()
            ],
            "write": [
                {
                    **_row_reference(key),
                    "value": base64.b64encode(
                        msgspec.json.encode(value)
                    ).decode(),
                }
                for key, value in writes.items()
            ],
            "remove": [_row_reference(key) for key in removes],
        }
        sent_s = _steady_s()
        result = self._client.call("POST", "/rows-tx", body)
        if result.is_error():
            return expression.Error(result.error)
        response = result.ok
        era = _era_of(response)
        if not self._era_tracker.observe(era) or eras - {era}:
            return expression.Error(
                exceptions.StoreRestoredError(", ".join([*checks, *writes]))
            )
        if response.status == 412:
            return expression.Ok(tables.Aborted(tuple(checks)))
        if response.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError("store", response.status)
            )
        try:
            committed = decoding.decode_json(response.body, type=_Committed)
        except msgspec.DecodeError as error:
            return expression.Error(
                exceptions.PlatformFormatError("answer", str(error))
            )
        self._report_time(committed.now_ms, sent_s)
        version = _version(era, committed.ver)
        return expression.Ok(tables.Committed(dict.fromkeys(writes, version)))

    def _report_time(self, now_ms: int | None, sent_s: float) -> None:
        if self._record_time is not None and now_ms is not None:
            self._record_time(now_ms / 1000, sent_s, _steady_s())

    def insert(
        self, key: str, value: Any
    ) -> expression.Result[
        tables.Committed | tables.Aborted, exceptions.PlatformError
    ]:
        """Insert a row if it does not exist."""
        return self.transact({key: 0}, {key: value})


def _era_of(response: http.Response) -> int | None:
    """Return the era that an answer of the store states, if any."""
    text = response.headers.get(wire.STORE_ERA, "")
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_ERA_DIGITS else None


def _version(era: int | None, number: int) -> tables.Version:
    return number if era is None else store_era.RowVersion(era, number)


def _number_of(version: tables.Version) -> int:
    if isinstance(version, store_era.RowVersion):
        return version.number
    return version


def _table_row(key: str, row: Change, era: int | None) -> tables.Row:
    return tables.Row(key, _version(era, row.version), _decode_json(row.value))


def _row_reference(key: str) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _decode_change(row: _Row) -> Change:
    if row.deleted:
        return Change(row.key, row.ver, None)
    try:
        value = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # Passed on undecoded; the table's decoder rejects and logs it.
        value = row.value.encode()
    return Change(row.key, row.ver, value)


def _decode_json(value: bytes | None) -> Any:
    if value is None:
        return None
    try:
        return decoding.decode_json(value)
    except msgspec.DecodeError:
        return None
