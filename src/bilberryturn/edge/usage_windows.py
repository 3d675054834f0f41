"""Gather the usage of all nodes and report each window once.

Every node writes a row with its counts of a window. The holder of the lease
sums them, freezes the sum in a row of its own in a transaction that fails
under a newer holder, and only then sends it. Whatever is sent again is what
was frozen.
"""

import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.gateway import beliefs
from bilberryturn.platform import duty_calls
from bilberryturn.platform import rows
from bilberryturn.platform import tables

COUNTS_PREFIX = "usage/"
FROZEN_PREFIX = "reports/"
# A node writes its counts this long after a window's end, so that requests
# counted at the edge are in.
SEAL_AFTER_S = 0.4
# The holder waits for nodes that sealed the window before; this much before
# a report is due it goes on without them.
RESERVE_S = 4.0
# All live nodes have sealed by then in quiet times.
SUM_AFTER_S = 1.5
# Windows that a new holder looks at.
LOOK_BACK = 3


class WindowState(NamedTuple):
    """Says who has sealed a window and what they counted."""

    nodes: frozenset[str]
    counts: dict[str, int]


def window_key(window: int) -> str:
    """Return a window's number as a key that sorts by time."""
    return f"{window:012d}"


class Sealer:
    """Writes this node's counts of each window that ended."""

    def __init__(
        self, store: rows.RowStore, lifetime: str, usage: beliefs.UsageCounts
    ):
        """Set where to write.

        Args:
            store: The platform's store.
            lifetime: Name of this node and of its start.
            usage: What the node counted.
        """
        self._store = store
        self._lifetime = lifetime
        self._usage = usage
        self._next = int(time.time() // usage.window_s)

    def step(self) -> None:
        """Seal the windows that have ended; repeats what failed."""
        now_s = time.time()
        while now_s >= (self._next + 1) * self._usage.window_s + SEAL_AFTER_S:
            if not self._seal(self._next):
                return
            self._next += 1

    def seal_current(self) -> None:
        """Seal the running window too; the node stops."""
        self.step()
        self._seal(self._next)

    def _seal(self, window: int) -> bool:
        counts = self._usage.get(window)
        key = f"{COUNTS_PREFIX}{window_key(window)}/{self._lifetime}"
        result = self._store.transact({}, {key: counts})
        if result.is_error():
            events.log(
                events.USAGE_FLUSH_FAILED,
                window=window,
                error=str(result.error),
            )
            return False
        self._usage.forget_before(window - 1)
        return True


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
        self._previous_nodes: frozenset[str] = frozenset()
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
            missing = self._previous_nodes - state.nodes
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
            self._previous_nodes = state.nodes
            counts = state.counts
        return self._send(window, counts)

    def _read(self, window: int) -> WindowState | None:
        prefix = f"{COUNTS_PREFIX}{window_key(window)}/"
        result = self._store.scan(prefix)
        if result.is_error():
            return None
        nodes = set()
        counts: dict[str, int] = {}
        for row in result.ok:
            # One node may have several lifetimes in a window.
            nodes.add(row.key[len(prefix) :].partition("@")[0])
            for account, count in (row.value or {}).items():
                counts[account] = counts.get(account, 0) + count
        return WindowState(frozenset(nodes), counts)

    def _freeze(self, key: str, window: int, counts: dict[str, int]) -> bool:
        checks = {key: 0, **self._lease.epoch_check()}
        result = self._store.transact(checks, {key: counts})
        if result.is_error() or isinstance(result.ok, tables.Failed):
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
