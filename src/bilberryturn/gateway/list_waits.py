"""Let requests wait until the list of servers is newer than themselves.

What a request rests on may have happened at another node just before it came,
such as a server that has joined and begun its stream. A list that the store
confirmed after the request came holds each server that was used before.
"""

import asyncio
from collections.abc import Callable
import math

from bilberryturn import leases

# Enough for a poll of a relay that is gone and a reading of the node itself. A
# caller that waits longer is served sooner by another node.
MAX_WAIT_S = 1.0


# Time after a gap in the confirmations until a node also has the reports on
# servers that came and left in it: a report takes up to a second to be written
# and another two to be read, and lapsed entries are back after two seconds.
SETTLE_S = 5.0


class ListWaits:
    """Waits for the list of servers; runs on the event loop.

    Attributes:
        confirmed_s: Boot time at which the store last confirmed the list; None
            before.
        hasten: Called as a request begins to wait, to have the list read soon.
    """

    def __init__(self, max_gap_s: float = math.inf):
        """Initialize without a list.

        Args:
            max_gap_s: Time between two confirmations that a node in order does
                not reach, in seconds.
        """
        self._max_gap_s = max_gap_s
        self._settled_s = -math.inf
        self.confirmed_s: float | None = None
        self.hasten: Callable[[], None] = lambda: None
        # Set to let a waiting request look again.
        self._waiting: set[asyncio.Event] = set()

    def is_awaited(self) -> bool:
        """Return whether requests wait; safe on any thread."""
        return bool(self._waiting)

    def confirm(self, confirmed_s: float) -> None:
        """Record a confirmation, and wake the requests that wait for one."""
        known_s = self.confirmed_s
        if known_s is not None and confirmed_s - known_s > self._max_gap_s:
            self.mark_gap()
        self.confirmed_s = confirmed_s
        for changed in self._waiting:
            changed.set()

    def mark_gap(self) -> None:
        """Record that the node may have missed servers until now."""
        self._settled_s = leases.boottime_s() + SETTLE_S

    @property
    def has_gap(self) -> bool:
        """Return whether reports on what the node missed may still come."""
        return leases.boottime_s() < self._settled_s

    async def wait(self, since_s: float, timeout_s: float) -> bool:
        """Wait for a list that was confirmed after a time.

        Args:
            since_s: The time on the boot clock, in seconds.
            timeout_s: Longest time to wait, up to MAX_WAIT_S, in seconds.

        Returns:
            Whether there is one.
        """
        if self._is_newer(since_s):
            return True
        changed = asyncio.Event()
        self._waiting.add(changed)
        self.hasten()
        try:
            async with asyncio.timeout(min(timeout_s, MAX_WAIT_S)):
                while not self._is_newer(since_s):
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            # The list may have come in the same turn of the event loop.
            pass
        finally:
            self._waiting.discard(changed)
        return self._is_newer(since_s)

    def _is_newer(self, since_s: float) -> bool:
        return self.confirmed_s is not None and self.confirmed_s >= since_s
