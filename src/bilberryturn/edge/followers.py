"""Read tables of the platform's store on threads of their own."""

import asyncio
from collections.abc import Callable
import random
import threading
import time
from typing import NamedTuple

import expression

from bilberryturn import events
from bilberryturn.edge import intervals
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import rows

# Added to the wait for the path and a slow store.
CALL_TIMEOUT_S = 1.0
# Pause after a call that failed; it doubles up to the longest, which leaves
# time for a few calls before a configuration must be in force.
RETRY_S = 0.3
LONGEST_RETRY_S = 1.2
PAUSE_CHECK_S = 0.5


class Reading(NamedTuple):
    """Holds one answer of the store about a table.

    Attributes:
        rows: Rows that changed, or all of them.
        is_snapshot: Whether these are all rows.
        after_outage: Whether the store was away until just now.
        called_s: Monotonic time of the call; the rows are as of later.
    """

    rows: list[rows.Change]
    is_snapshot: bool
    after_outage: bool
    called_s: float

    def values(self) -> dict[str, bytes | None]:
        """Return the rows by key; None stands for a removed row."""
        return {row.key: row.value for row in self.rows}


class Outage:
    """Notes when the store was away, for one kind of call."""

    def __init__(self, name: str):
        self._name = name
        self._failing_since_s: float | None = None
        self._mended_s = -1e9

    def failed(self, error: exceptions.PlatformError) -> None:
        """Note a call that failed."""
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
            events.log(
                events.PLATFORM_UNREACHABLE,
                interface=self._name,
                error=str(error),
            )

    def worked(self) -> None:
        """Note a call that worked."""
        if self._failing_since_s is None:
            return
        now_s = time.monotonic()
        events.log(
            events.PLATFORM_REACHABLE,
            interface=self._name,
            away_s=round(now_s - self._failing_since_s, 3),
        )
        self._failing_since_s = None
        self._mended_s = now_s

    def lasts_s(self) -> float:
        """Return how long calls have failed, 0 if they work."""
        if self._failing_since_s is None:
            return 0.0
        return time.monotonic() - self._failing_since_s

    def is_recent(self) -> bool:
        """Return whether the store was away until just now."""
        return time.monotonic() - self._mended_s < intervals.FRESH_S


class Follower:
    """Follows one table of the store on a thread of its own."""

    def __init__(
        self,
        table: str,
        store_address: str,
        wait_s: float,
        pause_s: float,
        source_ip: str,
        deliver: Callable[[Reading], None],
    ):
        """Set what to follow.

        Args:
            table: Table of the store.
            store_address: HOST:PORT.
            wait_s: How long the store may hold a call back.
            pause_s: Pause between calls.
            source_ip: IP to call from.
            deliver: Takes what was read.
        """
        client = http.HttpClient(
            "store", store_address, wait_s + CALL_TIMEOUT_S, source_ip
        )
        self._store = rows.RowStore(client)
        self._table = table
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._deliver = deliver
        self._since: int | None = None
        self._retry_s = RETRY_S
        self.outage = Outage(f"store/{table}")
        self.active = threading.Event()
        self.active.set()

    def run(self, stopping: threading.Event) -> None:
        """Follow until the node stops; pauses while a relay does."""
        while not stopping.is_set():
            if not self.active.wait(PAUSE_CHECK_S):
                continue
            result = self._step()
            pause_s = self._pause_s
            if result.is_error():
                pause_s = self._handle(result.error)
            stopping.wait(pause_s)

    def _step(self) -> expression.Result:
        is_snapshot = self._since is None
        called_s = time.monotonic()
        if is_snapshot:
            result = self._store.snapshot(self._table)
        else:
            result = self._store.wait_for_changes(
                self._table, self._since, self._wait_s
            )
        if result.is_ok():
            self.outage.worked()
            self._retry_s = RETRY_S
            self._since = result.ok.version
            self._deliver(
                Reading(
                    result.ok.rows,
                    is_snapshot,
                    self.outage.is_recent(),
                    called_s,
                )
            )
        return result

    def _handle(self, error: exceptions.PlatformError) -> float:
        """Note a failed call; returns how long to wait."""
        if isinstance(error, exceptions.HistoryLostError):
            events.log(events.STORE_HISTORY_LOST, table=self._table)
            self._since = None
            return 0.0
        self.outage.failed(error)
        pause_s = self._retry_s * random.uniform(0.7, 1.3)
        self._retry_s = min(2 * self._retry_s, LONGEST_RETRY_S)
        return pause_s


def on_loop(loop: asyncio.AbstractEventLoop, function: Callable) -> Callable:
    """Return a function that runs another on the event loop."""

    def call(*arguments) -> None:
        try:
            loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The loop has closed: the node stops and nobody needs the news.
            pass

    return call
