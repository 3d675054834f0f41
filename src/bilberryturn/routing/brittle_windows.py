"""Share the room of a brittle server among all nodes.

A brittle server falls over if it has to turn more than a few requests away in a
second. One node, the issuer, grants places at it: a request that has one may be
in flight there. Handles servers that may let fewer requests wait from some
moment on, requests of which the issuer knows only the number, and issuers that
don't know of each other.

The number of places starts at half of the server's slots, as these may be
overstated, and grows with its answers up to the slots. Further ones are tried
one by one, and a rejection takes them back.
"""

import math
from typing import NamedTuple

from bilberryturn.routing import permits
from bilberryturn.routing import types

# Requests that nodes have in flight without a place count for this time.
OTHERS_TTL_S = 2.0
# Shortest time between two places that are added without an answer.
GROWTH_S = 1.0
# Time without further places once a rejection has shown how many there are.
HOLD_S = 8.0
# A rejection sooner than this after the first place may be due to requests that
# were sent without one, and does not show how many places there are.
UNKNOWN_S = 2.0
# Share of the rejections that a server withstands which one issuer may cause.
REJECTED_SHARE = 0.5
# Requests that are refused meanwhile are those of nodes that share what comes.
ASKER_TTL_S = 1.0
MIN_WAIT_S = 0.01
MAX_WAIT_S = 0.5
# Smoothing factor of the average time between two places that become free.
GAP_SMOOTHING = 0.2
INITIAL_GAP_S = 0.05
# Longest time for which a place is kept whose end is not reported.
MAX_HELD_S = 600.0


class Ask(NamedTuple):
    """A request for a place, also as one node sends it to another.

    Attributes:
        lifetime: types.Lifetime of the server.
        node: Address of the asking node.
        number: Identifies the place among those of the node.
        in_flight: Requests that the node has in flight at the server.
        priority: Priority of the caller's request; 0 is the highest.
        withstood_per_s: Rejections in a second that the server withstands.
        slots: Requests that the server runs at once, as it states.
        lasts_s: Time for which the request may be in flight.
    """

    lifetime: types.Lifetime
    node: str
    number: int
    in_flight: int
    priority: int
    withstood_per_s: float
    slots: int
    lasts_s: float


class End(NamedTuple):
    """The end of a request that had a place.

    Attributes:
        in_flight: Requests that the node still has in flight at the server.
        was_accepted: Whether the server ran it.
        was_rejected: Whether the server turned it away.
    """

    lifetime: types.Lifetime
    node: str
    number: int
    in_flight: int
    was_accepted: bool
    was_rejected: bool


class _Window:
    """The places at one server."""

    def __init__(self, slots: int, now_s: float):
        self.slots = max(1, slots)
        self.limit = math.ceil(self.slots / 2)
        # In flight at the last rejection.
        self.full_at = math.inf
        self.grown_s = now_s
        self._began_s = now_s
        self.rejected_s: list[float] = []
        self._last_rejected_s = -math.inf
        # When each place expires, by node and number.
        self.held_until_s: dict[tuple[str, int], float] = {}
        # Requests without a place, and when their node told of them.
        self._others: dict[str, tuple[int, float]] = {}
        self._asked_s: dict[str, float] = {}
        self._active_s: dict[int, float] = {}
        self._granted_s: dict[int, float] = {}
        self._gap_s = INITIAL_GAP_S
        self._freed_s = now_s

    def expire(self, now_s: float) -> None:
        self.rejected_s = [t for t in self.rejected_s if now_s - t < 1.0]
        for key, until_s in list(self.held_until_s.items()):
            if until_s <= now_s:
                del self.held_until_s[key]
        for node, (_, at_s) in list(self._others.items()):
            if now_s - at_s > OTHERS_TTL_S:
                del self._others[node]
        for node, at_s in list(self._asked_s.items()):
            if now_s - at_s > ASKER_TTL_S:
                del self._asked_s[node]

    def in_flight(self) -> int:
        others = sum(count for count, _ in self._others.values())
        return len(self.held_until_s) + others

    def record_others(self, node: str, in_flight: int, now_s: float) -> None:
        """Record what a node has in flight beside its places."""
        placed = sum(holder == node for holder, _ in self.held_until_s)
        self._others[node] = (max(0, in_flight - placed), now_s)

    def needed(self, priority: int, now_s: float) -> int:
        """Return the free places that must be there for one to be granted."""
        self._active_s[priority] = now_s
        granted_s = self._granted_s.setdefault(priority, now_s)
        is_higher_active = any(
            now_s - at_s < permits.ACTIVE_S
            for other, at_s in self._active_s.items()
            if other < priority
        )
        is_starved = now_s - granted_s > permits.STARVED_S
        has_reserve = self.limit > 1 and is_higher_active and not is_starved
        return 2 if has_reserve else 1

    def grow(self, withstood_per_s: float, now_s: float) -> None:
        """Add a place if one more may be tried now."""
        if withstood_per_s <= 0:
            return
        interval_s = max(GROWTH_S, 4.0 / withstood_per_s)
        hold_s = interval_s
        if self.limit + 1 >= self.full_at:
            hold_s = max(HOLD_S, interval_s)
        has_settled = now_s - self._last_rejected_s >= hold_s
        if has_settled and now_s - self.grown_s >= interval_s:
            self.limit += 1
            self.grown_s = now_s

    def grant(self, ask: Ask, now_s: float) -> None:
        until_s = now_s + min(MAX_HELD_S, ask.lasts_s)
        self.held_until_s[ask.node, ask.number] = until_s
        self._granted_s[ask.priority] = now_s
        self._asked_s.pop(ask.node, None)

    def refuse(self, node: str, now_s: float) -> float:
        """Return when the node may ask again, in seconds from now."""
        self._asked_s[node] = now_s
        wait_s = self._gap_s * len(self._asked_s) / permits.ASK_RATIO
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def free(self, end: End, now_s: float) -> None:
        held = self.held_until_s.pop((end.node, end.number), None)
        self.record_others(end.node, end.in_flight, now_s)
        if held is None:
            return
        if end.was_rejected:
            self._record_rejection(now_s)
        elif end.was_accepted and self.limit < min(self.slots, self.full_at):
            self.limit += 1
        gap_s = min(1.0, now_s - self._freed_s)
        self._gap_s += GAP_SMOOTHING * (gap_s - self._gap_s)
        self._freed_s = now_s

    def _record_rejection(self, now_s: float) -> None:
        self.rejected_s.append(now_s)
        self._last_rejected_s = now_s
        in_flight = max(1, self.in_flight())
        if now_s - self._began_s >= UNKNOWN_S:
            self.full_at = in_flight
        self.limit = max(1, min(self.limit, in_flight) - 1)


class Issuer:
    """Grants the places at the servers for which nodes ask this one."""

    def __init__(self):
        # By server: one that fell over is back as it was, before its entry
        # says so.
        self._windows: dict[str, _Window] = {}

    def grant(self, ask: Ask, now_s: float, rank: int = 0) -> float:
        """Grant a place, or tell when to ask again.

        Args:
            ask: The request for a place.
            now_s: Present time in seconds.
            rank: Number of nodes that may grant places at the same server and
                rank before this one.

        Returns:
            0 if the place is granted, else the seconds to wait.
        """
        server_id, _ = ask.lifetime
        window = self._windows.get(server_id)
        if window is None:
            window = self._windows[server_id] = _Window(ask.slots, now_s)
        window.expire(now_s)
        window.record_others(ask.node, ask.in_flight, now_s)
        most_rejected = max(1.0, REJECTED_SHARE * ask.withstood_per_s)
        if len(window.rejected_s) >= most_rejected:
            return max(MIN_WAIT_S, window.rejected_s[0] + 1.0 - now_s)
        needed = window.needed(ask.priority, now_s)
        if self._free(window, rank) < needed:
            window.grow(ask.withstood_per_s, now_s)
        if self._free(window, rank) < needed:
            return window.refuse(ask.node, now_s)
        window.grant(ask, now_s)
        return 0.0

    def end(self, end: End, now_s: float) -> None:
        """Take a place back; without one, only learn what is in flight."""
        window = self._windows.get(end.lifetime[0])
        if window is not None:
            window.expire(now_s)
            window.free(end, now_s)

    def retain(self, live: set[str]) -> None:
        """Drop the places at all servers but those that are named."""
        for server_id in self._windows.keys() - live:
            del self._windows[server_id]

    @staticmethod
    def _free(window: _Window, rank: int) -> int:
        limit = window.limit
        if rank > 0:
            limit = max(1, int(limit * permits.issued_share(rank)))
        return limit - window.in_flight()
