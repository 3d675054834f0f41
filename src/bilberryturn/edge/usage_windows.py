"""Aggregate the usage of all nodes and report each window once.

The nodes that read the store write the counts of a window, their own and those
of the nodes that poll them. The lease holder sums the counts, freezes the sum
in a separate row by a transaction that fails if there is a newer holder, and
only then sends it. A retry always sends the frozen sum, also after a restore of
the store (see reported_windows).
"""

from collections.abc import Callable
import threading
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.edge import reported_windows
from bilberryturn.gateway import shared_state
from bilberryturn.platform import duty_calls
from bilberryturn.platform import rows
from bilberryturn.platform import tables

COUNTS_PREFIX = "usage/"
# Windows whose counts are retained for writing; if the store is unreachable for
# longer, older counts are lost.
RETAINED_WINDOWS = 6
# Maximum number of rows per transaction.
MAX_ROWS_PER_WRITE = 100
# The holder waits for the nodes that sealed the previous window; this long
# before a report is due it proceeds without them.
REPORT_RESERVE_S = 4.0
# Without faults all nodes have sent their counts to their relay (0.5 s) and the
# relay has written them (1 s) by then.
SUM_DELAY_S = 2.5
# Longest interval at which usage is written, and the interval per known node.
# A relay that crashes loses its own counts since its last write: one node's
# counts of that time are at most a fortieth of those of a window, half of the
# tolerance of a report.
MAX_WRITE_INTERVAL_S = 2.0
WRITE_INTERVAL_PER_NODE_S = 0.125
# Counts of an ended window are written together from this time after its end,
# when all nodes have sent theirs (0.96 s). The write that follows within
# duties.WRITE_INTERVAL_S is before SUM_DELAY_S.
SEAL_WAIT_S = 1.1
# Past windows that a new holder checks.
LOOKBACK_WINDOWS = 3
# Time after a restore of the store in which relays write their counts again.
REWRITE_WAIT_S = 3.0


class WindowState(NamedTuple):
    """Counts of one window, summed over all nodes.

    Attributes:
        sealed: Lifetimes of nodes whose counts of the window are final.
        unsealed: Lifetimes of nodes that may still count in the window.
        counts: Requests by client account.
    """

    sealed: frozenset[str]
    unsealed: frozenset[str]
    counts: dict[str, int]


def write_interval_s(node_count: int) -> float:
    """Return the interval at which a relay of a deployment writes usage."""
    return min(MAX_WRITE_INTERVAL_S, WRITE_INTERVAL_PER_NODE_S * node_count)


def _counts_prefix(window: int) -> str:
    """Return the key prefix of the rows with the counts of a window."""
    return f"{COUNTS_PREFIX}{reported_windows.window_key(window)}/"


CountsByWindow = dict[int, shared_state.WindowCounts]


class CountWriter:
    """Buffers and writes the counts of this node and of those that poll it.

    Rows hold totals, so that writing them is idempotent. They are written
    about a second after the requests began, so that a node that crashes loses
    few counts.
    """

    def __init__(self, store: rows.RowStore, window_s: float):
        """Initialize the writer.

        Args:
            store: The platform's store.
            window_s: Length of a window in seconds.
        """
        self._store = store
        self._window_s = window_s
        self._lock = threading.Lock()
        self._counts: dict[str, shared_state.WindowCounts | dict[str, int]] = {}
        self._dirty: set[str] = set()
        self._era = store.era
        self._usage_written_s = -float("inf")

    def update_usage(self, lifetime: str, counts: CountsByWindow) -> None:
        """Update the usage totals of one lifetime of a node."""
        with self._lock:
            for window, found in counts.items():
                key = _counts_prefix(window) + lifetime
                if self._counts.get(key) != found:
                    self._counts[key] = found
                    self._dirty.add(key)

    def update_suspects(self, lifetime: str, counts: dict[str, int]) -> None:
        """Update the reports of one lifetime of a node."""
        key = f"{rows.SUSPECT_TABLE}/{lifetime}"
        with self._lock:
            if self._counts.get(key, {}) != counts:
                self._counts[key] = counts
                self._dirty.add(key)

    def write(self, now_s: float, usage_interval_s: float = 0.0) -> None:
        """Write the rows that changed; failed writes are retried next time.

        Args:
            now_s: Present time of day.
            usage_interval_s: Usage of a window is not written again within this
                time until all nodes have sent theirs; reports always are.
        """
        includes_all = abs(now_s - self._usage_written_s) >= usage_interval_s
        with self._lock:
            self._evict_old_windows(now_s)
            if self._store.has_seen_restore and self._store.era != self._era:
                # Rows that were written may be gone.
                self._dirty.update(self._counts)
            self._era = self._store.era
            keys = [
                key
                for key in sorted(self._dirty)
                if includes_all or self._is_due(key, now_s)
            ][:MAX_ROWS_PER_WRITE]
            writes = {key: self._counts[key] for key in keys}
        if not writes:
            return
        if includes_all:
            self._usage_written_s = now_s
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
                if self._counts.get(key) == found:
                    self._dirty.discard(key)

    def _is_due(self, key: str, now_s: float) -> bool:
        """Return whether a row is written although no usage is due."""
        counts = self._counts[key]
        if not isinstance(counts, shared_state.WindowCounts):
            return True
        ended = int((now_s - SEAL_WAIT_S) // self._window_s) - 1
        return counts.is_sealed and key <= f"{_counts_prefix(ended)}\x7f"

    def _evict_old_windows(self, now_s: float) -> None:
        oldest = reported_windows.window_key(
            int(now_s // self._window_s) - RETAINED_WINDOWS
        )
        for key in list(self._counts):
            is_count = key.startswith(COUNTS_PREFIX)
            if is_count and key[len(COUNTS_PREFIX) :] < oldest:
                del self._counts[key]
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
        uptime_s: Callable[[], float] | None,
        steady: Callable[[], float] = leases.boottime_s,
    ):
        """Initialize the reporter.

        Args:
            store: The platform's store.
            lease: Lease that permits reporting; its epoch is the fencing
                number.
            calls: Client that sends the reports.
            window_s: Length of a window in seconds.
            due_s: Seconds from the end of a window until its report is due.
            uptime_s: Returns how long this process has run, if no node ran
                before it; no earlier window is reported. Otherwise None.
            steady: Returns seconds, including the time the VM is suspended.
        """
        self._store = store
        self._lease = lease
        self._calls = calls
        self._window_s = window_s
        self._due_s = due_s
        self._next_window: int | None = None
        self._previous_sealed: frozenset[str] = frozenset()
        self._uptime_s = uptime_s
        self._reported = reported_windows.ReportedWindows(
            store,
            lease,
            window_s,
            SUM_DELAY_S,
            steady,
        )

    def on_lease_lost(self) -> None:
        """Reset the progress; called while the lease is not held."""
        self._next_window = None

    def step(self, now_s: float) -> None:
        """Report the windows that can be closed.

        Args:
            now_s: Time of day.
        """
        if not self._reported.follow_era(now_s):
            return
        if self._next_window is None:
            self._next_window = self._initial_window(now_s)
        while now_s >= self._window_end_s(self._next_window) + SUM_DELAY_S:
            if not self._close_window(self._next_window, now_s):
                return
            self._next_window += 1

    def _initial_window(self, now_s: float) -> int:
        window = int(now_s // self._window_s) - LOOKBACK_WINDOWS
        if self._uptime_s is None:
            return window
        started_s = now_s - self._uptime_s()
        return max(window, int(started_s // self._window_s))

    def _window_end_s(self, window: int) -> float:
        return (window + 1) * self._window_s

    def _close_window(self, window: int, now_s: float) -> bool:
        """Report one window; returns whether to continue with the next."""
        key = reported_windows.frozen_key(window)
        found = self._store.read(key)
        if found.is_error() or not self._lease.is_held():
            return False
        counts = self._reported.figures(window)
        if found.ok.value is not None:
            if counts not in (None, found.ok.value):
                self._log_skipped(window, "frozen with other figures")
                return True
            counts = found.ok.value
        elif counts is None and self._reported.may_be_reported(window):
            self._log_skipped(window, "may have been reported before a restore")
            return True
        elif counts is None:
            counts = self._sum_counts(window, now_s)
            if counts is None:
                return False
        if found.ok.value is None and not self._freeze(key, window, counts):
            return False
        self._reported.remember(window, counts)
        return self._send(window, counts)

    def _log_skipped(self, window: int, reason: str) -> None:
        events.log(events.USAGE_WINDOW_SKIPPED, window=window, reason=reason)

    def _sum_counts(self, window: int, now_s: float) -> dict[str, int] | None:
        """Return the counts of all nodes; None if more may come in time."""
        is_late = (
            now_s >= self._window_end_s(window) + self._due_s - REPORT_RESERVE_S
        )
        rewritten_s = self._reported.restored_s(now_s) + REWRITE_WAIT_S
        if now_s < rewritten_s and not is_late:
            return None
        state = self._read_counts(window)
        if state is None:
            return None
        missing = (self._previous_sealed | state.unsealed) - state.sealed
        if missing and not is_late:
            return None
        if missing:
            events.log(
                events.USAGE_WINDOW_INCOMPLETE,
                window=window,
                missing=sorted(missing),
            )
        self._previous_sealed = state.sealed
        return state.counts

    def _read_counts(self, window: int) -> WindowState | None:
        prefix = _counts_prefix(window)
        result = self._store.scan(prefix)
        if result.is_error():
            return None
        sealed: set[str] = set()
        unsealed: set[str] = set()
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
            (sealed if found.is_sealed else unsealed).add(lifetime)
            for account, count in found.counts.items():
                counts[account] = counts.get(account, 0) + count
        return WindowState(frozenset(sealed), frozenset(unsealed), counts)

    def _freeze(self, key: str, window: int, counts: dict[str, int]) -> bool:
        checks = {key: 0, **self._lease.epoch_check()}
        result = self._store.transact(checks, {key: counts})
        if result.is_error() or isinstance(result.ok, tables.Aborted):
            # The next step reads the row to find out whether it was written.
            return False
        events.log(
            events.USAGE_WINDOW_FROZEN,
            window=window,
            requests=sum(counts.values()),
            epoch=self._lease.epoch,
        )
        return True

    def _send(self, window: int, counts: dict[str, int]) -> bool:
        if not self._lease.is_held():
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
