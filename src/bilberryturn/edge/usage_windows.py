"""Gather the usage of all nodes and report each window once.

The nodes that read the store write the counts of a window, their own and those
of the nodes that ask them. The holder of the lease sums them, freezes the sum
in a row of its own in a transaction that fails under a newer holder, and only
then sends it. Whatever is sent again is what was frozen.
"""

import threading
import time
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.gateway import shared_state
from bilberryturn.platform import duty_calls
from bilberryturn.platform import rows
from bilberryturn.platform import tables

COUNTS_PREFIX = "usage/"
FROZEN_PREFIX = "reports/"
# Windows kept for writing; a store that is away longer than that loses them.
KEPT_WINDOWS = 6
# Most rows of one transaction.
MAX_ROWS_A_WRITE = 100
# The holder waits for nodes that sealed the window before; this much before
# a report is due it goes on without them.
RESERVE_S = 4.0
# In quiet times all nodes have told their relay by then (0.5 s) and it has
# written (1 s).
SUM_AFTER_S = 2.5
# Windows that a new holder looks at.
LOOK_BACK = 3


class WindowState(NamedTuple):
    """Says which lifetimes of nodes ended a window and what all counted."""

    sealed: frozenset[str]
    unsealed: frozenset[str]
    counts: dict[str, int]


def window_key(window: int) -> str:
    """Return a window's number as a key that sorts by time."""
    return f"{window:012d}"


Counts = dict[int, shared_state.WindowCounts]


class Ledger:
    """Writes what this node and those that ask it have counted.

    Rows hold sums, so that writing one again changes nothing, and are written
    a second or so after the requests began: a node that dies loses little.
    """

    def __init__(self, store: rows.RowStore, window_s: float):
        """Set where to write.

        Args:
            store: The platform's store.
            window_s: Length of a window.
        """
        self._store = store
        self._window_s = window_s
        self._lock = threading.Lock()
        self._known: dict[str, shared_state.WindowCounts | dict[str, int]] = {}
        self._dirty: set[str] = set()

    def take(self, lifetime: str, counts: Counts) -> None:
        """Take the sums of one lifetime of a node."""
        with self._lock:
            for window, found in counts.items():
                key = f"{COUNTS_PREFIX}{window_key(window)}/{lifetime}"
                if self._known.get(key) != found:
                    self._known[key] = found
                    self._dirty.add(key)

    def take_suspects(self, lifetime: str, counts: dict[str, int]) -> None:
        """Take the crashes that one lifetime of a node has counted."""
        key = f"{rows.SUSPECT_TABLE}/{lifetime}"
        with self._lock:
            if self._known.get(key, {}) != counts:
                self._known[key] = counts
                self._dirty.add(key)

    def write(self, now_s: float) -> None:
        """Write the sums that changed; what fails is written next time."""
        with self._lock:
            self._forget(now_s)
            keys = sorted(self._dirty)[:MAX_ROWS_A_WRITE]
            writes = {key: self._known[key] for key in keys}
        if not writes:
            return
        result = self._store.transact({}, writes)
        if result.is_error():
            events.log(
                events.USAGE_FLUSH_FAILED,
                rows=len(writes),
                error=str(result.error),
            )
            return
        with self._lock:
            for key, found in writes.items():
                if self._known.get(key) == found:
                    self._dirty.discard(key)

    def _forget(self, now_s: float) -> None:
        oldest = window_key(int(now_s // self._window_s) - KEPT_WINDOWS)
        for key in list(self._known):
            is_count = key.startswith(COUNTS_PREFIX)
            if is_count and key[len(COUNTS_PREFIX) :] < oldest:
                del self._known[key]
                self._dirty.discard(key)


class Reporter:
    """Closes windows and reports them while the lease is held."""

    def __init__(
        self,
        store: rows.RowStore,
        lease: leases.Lease,
        calls: duty_calls.DutyCalls,
        window_s: float,
        due_s: float,
    ):
        """Set the windows.

        Args:
            store: The platform's store.
            lease: Right to report; its epoch is the fencing number.
            calls: Where reports go.
            window_s: Length of a window.
            due_s: Time from a window's end until its report is due.
        """
        self._store = store
        self._lease = lease
        self._calls = calls
        self._window_s = window_s
        self._due_s = due_s
        self._next: int | None = None
        self._previous: frozenset[str] = frozenset()
        self._first_window = int(time.time() // window_s)

    def lost(self) -> None:
        """Note that this node does not hold the lease."""
        self._next = None

    def step(self, now_s: float) -> None:
        """Report the windows that can be closed at a time of day."""
        if self._next is None:
            self._next = self._start(now_s)
        while now_s >= self._end_s(self._next) + SUM_AFTER_S:
            if not self._close(self._next, now_s):
                return
            self._next += 1

    def _start(self, now_s: float) -> int:
        window = int(now_s // self._window_s)
        return max(window - LOOK_BACK, self._first_window)

    def _end_s(self, window: int) -> float:
        return (window + 1) * self._window_s

    def _close(self, window: int, now_s: float) -> bool:
        """Report one window; returns whether to go on with the next."""
        key = FROZEN_PREFIX + window_key(window)
        found = self._store.read(key)
        if found.is_error() or not self._lease.believes():
            return False
        counts = found.ok.value
        if counts is None:
            state = self._read(window)
            if state is None:
                return False
            missing = (self._previous | state.unsealed) - state.sealed
            is_late = now_s >= self._end_s(window) + self._due_s - RESERVE_S
            if missing and not is_late:
                return False
            if missing:
                events.log(
                    events.USAGE_WINDOW_INCOMPLETE,
                    window=window,
                    missing=sorted(missing),
                )
            if not self._freeze(key, window, state.counts):
                return False
            self._previous = state.sealed
            counts = state.counts
        return self._send(window, counts)

    def _read(self, window: int) -> WindowState | None:
        prefix = f"{COUNTS_PREFIX}{window_key(window)}/"
        result = self._store.scan(prefix)
        if result.is_error():
            return None
        sealed: set[str] = set()
        open_: set[str] = set()
        counts: dict[str, int] = {}
        for row in result.ok:
            try:
                found = msgspec.convert(row.value, shared_state.WindowCounts)
            except msgspec.ValidationError as error:
                events.log(
                    events.USAGE_WINDOW_INCOMPLETE,
                    window=window,
                    row=row.key,
                    error=str(error),
                )
                continue
            lifetime = row.key[len(prefix) :]
            (sealed if found.is_sealed else open_).add(lifetime)
            for account, count in found.counts.items():
                counts[account] = counts.get(account, 0) + count
        return WindowState(frozenset(sealed), frozenset(open_), counts)

    def _freeze(self, key: str, window: int, counts: dict[str, int]) -> bool:
        checks = {key: 0, **self._lease.epoch_check()}
        result = self._store.transact(checks, {key: counts})
        if result.is_error() or isinstance(result.ok, tables.Aborted):
            # The next step reads back whether the row was written.
            return False
        events.log(
            events.USAGE_WINDOW_FROZEN,
            window=window,
            requests=sum(counts.values()),
            epoch=self._lease.epoch,
        )
        return True

    def _send(self, window: int, counts: dict[str, int]) -> bool:
        if not self._lease.believes():
            return False
        result = self._calls.report_usage(window, counts, self._lease.epoch)
        if result.is_error():
            events.log(
                events.ORDER_REFUSED,
                order="usage",
                window=window,
                error=str(result.error),
            )
            return False
        events.log(
            events.USAGE_WINDOW_REPORTED,
            window=window,
            epoch=self._lease.epoch,
        )
        return True
