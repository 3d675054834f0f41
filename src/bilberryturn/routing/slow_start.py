"""Decide how many requests a cold server gets from all nodes together.

A server that has just started crashes under a load that it bears when it is
warm. Handles entries that are late, nodes that choose an empty server at the
same time, and nodes that disagree about the issuer of its permits or reach
none.

In one second a cold server may get half more requests than its limit and five.
The limits below divide this among those that may let requests through at the
same time: the issuer, the node that some take for the issuer, and the nodes
that reach neither.
"""

from typing import NamedTuple

from bilberryturn import rendezvous
from bilberryturn.routing import types

# Permits that may be saved up by the first issuer, and by its replacement.
BURST = 2.0
REPLACEMENT_BURST = 1.0
# Share of the limit that a replacement hands out, as the first issuer may go on
# for others.
REPLACEMENT_SHARE = 0.25
# Share of the limit that all nodes without an issuer use together.
ISOLATED_SHARE = 0.25
# Nodes that may issue the permits of one server, by rank. Each further one
# would add to what reaches the server while nodes disagree.
MAX_ISSUERS = 2
# Other nodes ask the earlier issuer until they know a node that has joined,
# about two polls of a relay.
JOINING_S = 2.0
# Permits that the first issuer has at once. No other node has handed out any
# for a server that has just started, unless this node is new itself.
FIRST_PERMITS = 1.0
# Longest pause of a node between two requests for permits of a server, which is
# cold for only some seconds.
MAX_WAIT_S = 0.5
# Cold servers that are tried for one request before it goes to warm ones.
MAX_ASKED = 2
# Time for which a node without an issuer may use its turn; turns that it leaves
# aren't saved up.
TURN_S = 0.25
# Smaller differences between two statements of when a server is warm are due to
# the intervals of reading and aren't passed on.
PASSED_ON_S = 0.5


class Limit(NamedTuple):
    """The limit of a server.

    Attributes:
        per_s: Requests a second that it takes from all nodes together.
        is_cold: Whether the server is cold.
    """

    per_s: float
    is_cold: bool


class Issued(NamedTuple):
    """What one node hands out of a server's permits.

    Attributes:
        share: Share of the server's limit.
        burst: Permits that may be saved up.
        first_permits: Permits that it has at once.
    """

    share: float
    burst: float
    first_permits: float


def limit_per_s(
    server: types.BackendServer, service: types.Service, now_s: float
) -> float | None:
    """Return the requests a second that a cold server takes; None if warm.

    Args:
        server: The server.
        service: Its service.
        now_s: Time of day that all nodes share, in Unix seconds.
    """
    if service.cold_s <= 0 or service.cold_rate_per_s <= 0:
        return None
    started_s = server.started_ms / 1000
    # A start that is far ahead is the error of a clock, and would hold the
    # server back for as long as that clock is ahead.
    has_started = started_s <= now_s + service.cold_s
    is_starting = has_started and now_s < started_s + service.cold_s
    if is_starting or now_s < server.cold_until_s:
        return service.cold_rate_per_s
    return None


def combined(
    named_per_s: float | None, cold_per_s: float | None
) -> Limit | None:
    """Return the lower of two limits; None without one.

    Args:
        named_per_s: The limit that the server named in its answers, if any.
        cold_per_s: Its limit as a cold server, if it is cold.
    """
    if cold_per_s is None:
        return None if named_per_s is None else Limit(named_per_s, False)
    if named_per_s is None:
        return Limit(cold_per_s, True)
    return Limit(min(named_per_s, cold_per_s), True)


def passed_on_until_s(known_s: float, until_s: float, now_s: float) -> float:
    """Return the end of a server's cold time that other nodes are told.

    Args:
        known_s: The end that they were told.
        until_s: The end that the newest entry states; 0 if it states none.
        now_s: Time of day that all nodes share, in Unix seconds.
    """
    # Ends that have passed make no difference.
    is_same = abs(max(known_s, now_s) - max(until_s, now_s)) < PASSED_ON_S
    is_new = known_s <= now_s < until_s
    return known_s if is_same and not is_new else until_s


def issued(rank: int, uptime_s: float) -> Issued:
    """Return what a node hands out of a cold server's permits.

    Args:
        rank: Rank of the node among the issuers of the server; 0 is the first.
        uptime_s: Seconds since the node started.
    """
    if rank > 0 or uptime_s < JOINING_S:
        return Issued(REPLACEMENT_SHARE, REPLACEMENT_BURST, 0.0)
    return Issued(1.0, BURST, FIRST_PERMITS)


class IsolatedShares:
    """Turns of this node at cold servers whose issuers it doesn't reach.

    The turns of all nodes are spread evenly over time, so that the server gets
    few requests at once although no node knows of the others'.
    """

    def __init__(self):
        self._last_turns: dict[types.Lifetime, int] = {}

    def grant(
        self,
        lifetime: types.Lifetime,
        limit: float,
        node: str,
        nodes: list[str],
        now_s: float,
    ) -> float:
        """Use this node's turn, or tell when it comes.

        Args:
            lifetime: Lifetime of the server.
            limit: Requests a second that the server takes.
            node: Address of this node.
            nodes: Addresses of all known nodes.
            now_s: Time of day that all nodes share, in Unix seconds.

        Returns:
            0 if a request may be sent, else the seconds to wait.
        """
        ranked = sorted({*nodes, node})
        period_s = len(ranked) / (ISOLATED_SHARE * limit)
        digest = rendezvous.weight(lifetime[0], "isolated")
        offset = int.from_bytes(digest, "big") / 2**64
        turns = now_s / period_s + offset + ranked.index(node) / len(ranked)
        turn = int(turns)
        elapsed_s = (turns - turn) * period_s
        if elapsed_s < TURN_S and self._last_turns.get(lifetime) != turn:
            self._last_turns[lifetime] = turn
            return 0.0
        # The server may be warm before the turn comes.
        return min(MAX_WAIT_S, period_s - elapsed_s)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the turns at server lifetimes that have ended."""
        for lifetime in self._last_turns.keys() - live:
            del self._last_turns[lifetime]
