"""Let requests wait until a starting node knows routes and servers.

A caller that is refused comes back later on a new connection, mostly to another
node that has just started too. Its request waits here for a bounded time.
"""

import asyncio
from collections.abc import Callable
import enum
import time

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.gateway import memory
from bilberryturn.gateway import outcomes

# Longest wait of a request. After a power cut of 86 nodes each of them has its
# state within 0.76 s of listening.
MAX_WAIT_S = 1.5
# Share of a request's time limit that it may wait; the rest is for its run.
WAIT_SHARE = 0.4
# Time limit of a request that states none, before its route is known. Short, so
# that most requests still have time to run.
ASSUMED_TIMEOUT_S = 2.0
# A node without its state after this time is cut off; its callers are served
# sooner by another node.
START_S = 5.0
# Memory of a waiting request besides its headers and its body.
REQUEST_BYTES = 8 * 1024


class Part(enum.Enum):
    """What a node must know to run a request."""

    CONFIG = "config"
    SERVERS = "servers"


class Outcome(enum.Enum):
    """How a wait ended."""

    KNOWN = "known"
    MISSING = "missing"
    NO_ROOM = "no_room"


# How a request is refused whose wait was in vain.
REFUSALS = {
    Outcome.MISSING: outcomes.NO_CONFIG,
    Outcome.NO_ROOM: outcomes.NODE_FULL,
}


class StateArrival:
    """What has arrived of a starting node's state; runs on the event loop.

    No request waits before `begin`.
    """

    def __init__(self, account: memory.MemoryAccount):
        """Initialize without state.

        Args:
            account: Account of the bytes that waiting requests hold.
        """
        self._account = account
        self._began_s = -float("inf")
        # Seconds from the begin to the arrival of each part.
        self._arrived_s: dict[Part, float] = {}
        # Set to let a waiting request look again; in order of arrival.
        self._waiting: dict[asyncio.Event, None] = {}

    def begin(self, now_s: float) -> None:
        """Let requests wait from now on, as the node begins to listen."""
        self._began_s = now_s

    def is_open(self, now_s: float) -> bool:
        """Return whether requests wait for what is missing."""
        is_complete = len(self._arrived_s) == len(Part)
        return not is_complete and now_s < self._began_s + START_S

    def update(self, known: set[Part]) -> None:
        """Record what the node knows, and wake the requests that wait for it.

        Args:
            known: All that it knows now; nothing is forgotten again.
        """
        arrived = known - self._arrived_s.keys()
        if not arrived:
            return
        elapsed_s = round(time.monotonic() - self._began_s, 3)
        self._arrived_s.update(dict.fromkeys(arrived, elapsed_s))
        if len(self._arrived_s) == len(Part):
            events.log(
                events.STATE_ARRIVED,
                config_s=self._arrived_s[Part.CONFIG],
                servers_s=self._arrived_s[Part.SERVERS],
                waiting=len(self._waiting),
            )
        for changed in self._waiting:
            changed.set()

    async def wait_for_all(
        self,
        arrived_s: float,
        timeout_s: Callable[[], float | None],
        size_bytes: int,
    ) -> Outcome:
        """Wait for all parts, one after the other.

        Args:
            arrived_s: Monotonic time at which the request arrived.
            timeout_s: Returns its time limit as far as it is known; the
                configuration may shorten it.
            size_bytes: Size of its headers and its body.
        """
        for part in Part:
            outcome = await self.wait(
                part,
                wait_until_s(arrived_s, timeout_s()),
                REQUEST_BYTES + size_bytes,
            )
            if outcome is not Outcome.KNOWN:
                break
        return outcome

    async def wait(
        self, part: Part, until_s: float, size_bytes: int
    ) -> Outcome:
        """Wait for a part of the state; cancelling it releases its bytes.

        Args:
            part: What to wait for.
            until_s: Monotonic time until which to wait at most.
            size_bytes: Bytes that the request holds while it waits. Running
                requests don't give way, but waiting ones do.
        """
        if part in self._arrived_s:
            return Outcome.KNOWN
        began_s = time.monotonic()
        until_s = min(until_s, self._began_s + START_S)
        changed = asyncio.Event()
        holding = self._account.open(changed.set)
        self._waiting[changed] = None
        try:
            holding.resize(size_bytes)
            async with asyncio.timeout(until_s - began_s):
                while part not in self._arrived_s:
                    if holding.has_given_way:
                        break
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            # The part may have arrived in the same turn of the event loop.
            pass
        finally:
            del self._waiting[changed]
            holding.close()
        outcome = self._outcome(part, holding)
        metrics.add(
            metrics.START_WAIT_S,
            {"part": part.value, "outcome": outcome.value},
            time.monotonic() - began_s,
        )
        return outcome

    def _outcome(self, part: Part, holding: memory.Holding) -> Outcome:
        if part in self._arrived_s:
            return Outcome.KNOWN
        return Outcome.NO_ROOM if holding.has_given_way else Outcome.MISSING


def wait_until_s(arrived_s: float, timeout_s: float | None) -> float:
    """Return the time until which a request may wait for the state.

    Args:
        arrived_s: Time at which the request arrived.
        timeout_s: Its time limit; None if it is not known yet.
    """
    if timeout_s is None:
        timeout_s = ASSUMED_TIMEOUT_S
    return arrived_s + min(MAX_WAIT_S, WAIT_SHARE * timeout_s)
