"""Follow tables of the platform's store, each on a thread of its own."""

import asyncio
from collections.abc import Callable
import random
import threading
import time
from typing import NamedTuple

import expression

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.edge import intervals
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import rows
from bilberryturn.platform import store_era

# Added to the long-poll wait for network latency and a slow store.
CALL_TIMEOUT_S = 1.0
# Backoff after a failed call. It doubles up to the maximum, which leaves time
# for a few calls before a configuration must be in force.
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.2
ACTIVE_CHECK_INTERVAL_S = 0.5
# Shortest pause after all rows were read. A node that starts and finds its
# relay at the next polls has no use for the long poll that would follow.
SNAPSHOT_PAUSE_S = 0.5


class Reading(NamedTuple):
    """Result of one read of a table.

    Attributes:
        rows: Rows that changed, or all of them.
        is_snapshot: Whether these are all rows.
        after_outage: Whether the store was unreachable until recently.
        called_s: Boot time at the start of the call; the rows are at least as
            recent.
        era: Era of the store; None if it states none.
    """

    rows: list[rows.Change]
    is_snapshot: bool
    after_outage: bool
    called_s: float
    era: int | None = None

    def values(self) -> dict[str, bytes | None]:
        """Return the values by key; None for a removed row."""
        return {row.key: row.value for row in self.rows}


class OutageTracker:
    """Tracks when the store was unreachable for one kind of call."""

    def __init__(self, name: str):
        self._name = name
        self._failing_since_s: float | None = None
        self._recovered_s = -1e9

    def record_failure(self, error: exceptions.PlatformError) -> None:
        """Record a failed call; logs the start of an outage."""
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
            events.log(
                events.PLATFORM_UNREACHABLE,
                interface=self._name,
                error=str(error),
            )

    def record_success(self) -> None:
        """Record a successful call; logs the end of an outage."""
        if self._failing_since_s is None:
            return
        now_s = time.monotonic()
        events.log(
            events.PLATFORM_REACHABLE,
            interface=self._name,
            away_s=round(now_s - self._failing_since_s, 3),
        )
        self._failing_since_s = None
        self._recovered_s = now_s

    def duration_s(self) -> float:
        """Return how long calls have been failing; 0 if they succeed."""
        if self._failing_since_s is None:
            return 0.0
        return time.monotonic() - self._failing_since_s

    def is_within(self, duration_s: float) -> bool:
        """Return whether calls fail, or did until that time ago."""
        if self._failing_since_s is not None:
            return True
        return time.monotonic() - self._recovered_s < duration_s


class Follower:
    """Follows the changes of one table on a thread of its own.

    Attributes:
        min_backoff_s: Shortest mean pause after a failed call in seconds.
    """

    def __init__(
        self,
        table: str,
        store_address: str,
        wait_s: float,
        pause_s: float,
        source_ip: str,
        deliver: Callable[[Reading], None],
        era_tracker: store_era.EraTracker | None = None,
        peer_readings: Callable[[], int] = lambda: 0,
    ):
        """Initialize the follower.

        Args:
            table: Table of the store.
            store_address: HOST:PORT.
            wait_s: Longest time in seconds for which the store may hold a
                call until a row changes (long poll).
            pause_s: Pause between calls in seconds.
            source_ip: Local IP address of the connections.
            deliver: Receives each reading.
            era_tracker: Era of the store, shared by all clients of a node.
            peer_readings: Returns how often a peer's reading of the table has
                replaced this node's.
        """
        client = http.HttpClient(
            "store", store_address, wait_s + CALL_TIMEOUT_S, source_ip
        )
        self._store = rows.RowStore(client, era_tracker=era_tracker)
        self._table = table
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._deliver = deliver
        self._since: int | None = None
        self._since_era: int | None = None
        self._peer_readings = peer_readings
        self._seen_peer_readings = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self.min_backoff_s = 0.0
        self.outage = OutageTracker(f"store/{table}")
        self.active = threading.Event()
        self.active.set()
        self._pause = intervals.Pause()
        self._dependents: tuple[Follower, ...] = ()
        self._reached_since_s: float | None = None

    def reached_for_s(self) -> float | None:
        """Return for how long the calls have succeeded; None if they do not.

        A follower that is paused does not reach the store.
        """
        since_s = self._reached_since_s
        if since_s is None or not self.active.is_set():
            return None
        return time.monotonic() - since_s

    def set_dependents(self, dependents: tuple["Follower", ...]) -> None:
        """Set followers that are active only while this one's calls succeed."""
        self._dependents = dependents
        if self.reached_for_s() is None:
            return
        for dependent in dependents:
            dependent.activate()

    def activate(self) -> None:
        """Start to call the store; has no effect on an active follower."""
        if not self.active.is_set():
            self._reached_since_s = None
            self.active.set()

    def pause(self) -> None:
        """Stop calling the store, dependents included."""
        self.active.clear()
        for dependent in self._dependents:
            dependent.pause()

    def run(self, stopping: threading.Event) -> None:
        """Follow until the node stops; pauses while a relay serves the node."""
        while not stopping.is_set():
            if not self.active.wait(ACTIVE_CHECK_INTERVAL_S):
                continue
            pause_s = self._run_step()
            if self._reached_since_s is None:
                stopping.wait(pause_s)
            else:
                self._pause.wait(pause_s, stopping)

    def hasten(self) -> None:
        """Make the next call soon, unless calls fail; safe on any thread."""
        self._pause.hasten()

    def _run_step(self) -> float:
        """Make one call; returns the pause until the next one in seconds."""
        self._drop_replaced()
        is_snapshot = self._since is None
        try:
            result = self._step()
        except Exception as error:
            # A response that cannot be processed must not end the thread. The
            # next call reads all rows.
            events.log(
                events.JOB_FAILED,
                job=f"store/{self._table}",
                error=f"{type(error).__name__}: {error}",
            )
            self._since = None
            return MAX_BACKOFF_S
        if result.is_error():
            return self._handle_failure(result.error)
        return max(self._pause_s, SNAPSHOT_PAUSE_S if is_snapshot else 0.0)

    def _drop_replaced(self) -> None:
        """Read all rows next if peers have delivered changes of the table.

        The changes since this node's last reading hold each value that a row
        had in the meantime.
        """
        peer_readings = self._peer_readings()
        if peer_readings != self._seen_peer_readings:
            self._seen_peer_readings = peer_readings
            self._since = None

    def _step(self) -> expression.Result:
        is_snapshot = self._since is None
        called_s = leases.boottime_s()
        if is_snapshot:
            result = self._store.snapshot(self._table)
        else:
            result = self._store.wait_for_changes(
                self._table, self._since, self._wait_s, self._since_era
            )
        if result.is_ok():
            self.outage.record_success()
            if self._reached_since_s is None:
                self._reached_since_s = time.monotonic()
            self._backoff_s = INITIAL_BACKOFF_S
            if self.active.is_set():
                for dependent in self._dependents:
                    dependent.activate()
            self._since, self._since_era = result.ok.version, result.ok.era
            self._deliver(
                Reading(
                    result.ok.rows,
                    is_snapshot,
                    self.outage.is_within(intervals.FRESH_S),
                    called_s,
                    result.ok.era,
                )
            )
        return result

    def _handle_failure(self, error: exceptions.PlatformError) -> float:
        """Record a failed call; returns the pause in seconds."""
        if isinstance(error, exceptions.HistoryLostError):
            events.log(events.STORE_HISTORY_LOST, table=self._table)
            self._since = None
            return 0.0
        self.outage.record_failure(error)
        self._reached_since_s = None
        for dependent in self._dependents:
            dependent.pause()
        backoff_s = max(self._backoff_s, self.min_backoff_s)
        pause_s = backoff_s * random.uniform(0.7, 1.3)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return pause_s


def on_loop(loop: asyncio.AbstractEventLoop, function: Callable) -> Callable:
    """Return a thread-safe function that schedules another on the loop."""

    def call(*arguments) -> None:
        try:
            loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The loop is closed: the node is stopping and needs no updates.
            pass

    return call
