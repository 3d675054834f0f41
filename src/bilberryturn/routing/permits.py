"""Share the limit of a backend server among all nodes.

One node, the issuer, hands out permits for single requests to the server, so
that the limit holds however many nodes there are, however unevenly their
callers send, and whichever of them restart. All nodes pick the same issuer by
rendezvous hashing. An issuer that has just started hands out nothing before the
server has had time for what others sent to it.

If the issuer is away, other nodes replace it, of its failure domain and of
others in turn. It may be back at any moment with all that it may hand out, so
that its replacements together hand out half of the limit at most, unless it is
known to be gone.
"""

import collections
import itertools
import math
import random
from typing import NamedTuple

from bilberryturn import rendezvous
from bilberryturn.routing import server_limits
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

# Permits that may be saved up while no node asks.
MIN_BURST = 2.0
BURST_S = 0.5
# While requests of a higher tier ask for permits, those of a lower tier leave
# one in reserve for them.
RESERVE = 1.0
ACTIVE_S = 2.0
# A tier that has got no permit for this time gets one without reserve.
STARVED_S = 10.0
# Nodes that asked within this time share what comes.
ASKER_TTL_S = 10.0
# Permits that a node asks for, as a multiple of its equal share: some nodes
# stop asking, and what they leave must not be lost.
ASK_RATIO = 2.0
MAX_WAIT_S = 10.0
# Share of the limit that the first replacement of an issuer hands out; each
# further one hands out half as much as the one before it.
REPLACEMENT_SHARE = 0.25
REPLACEMENT_BURST = 1.0
# Waits vary by this share in both directions, so that nodes don't ask together.
WAIT_JITTER = 0.25


class Ask(NamedTuple):
    """A request for a permit, also as one node sends it to another.

    Attributes:
        lifetime: types.Lifetime of the server.
        limit_per_s: Requests a second that the server takes.
        priority: Priority of the caller's request; 0 is the highest.
        node: Address of the asking node.
        cold_rank: Rank of the asked node among the issuers of a cold server;
            None for a warm one.
    """

    lifetime: types.Lifetime
    limit_per_s: float
    priority: int
    node: str
    cold_rank: int | None = None


class _Bucket:
    """The permits of one server."""

    def __init__(self, now_s: float, first_permits: float):
        self.permits = first_permits
        self.updated_s = now_s
        self.asked_s: dict[str, float] = {}
        self.active_s: dict[int, float] = {}
        self.granted_s: dict[int, float] = collections.defaultdict(
            lambda: now_s
        )

    def refill(self, limit_per_s: float, burst: float, now_s: float) -> None:
        gained = limit_per_s * max(0.0, now_s - self.updated_s)
        self.permits = min(burst, self.permits + gained)
        self.updated_s = now_s

    def record_ask(self, ask: Ask, now_s: float) -> None:
        self.asked_s[ask.node] = now_s
        self.active_s[ask.priority] = now_s
        for node, asked_s in list(self.asked_s.items()):
            if now_s - asked_s > ASKER_TTL_S:
                del self.asked_s[node]

    def needed(self, priority: int, now_s: float) -> float:
        """Return the permits that must be there for one to be granted."""
        is_higher_active = any(
            now_s - at_s < ACTIVE_S
            for other, at_s in self.active_s.items()
            if other < priority
        )
        is_starved = now_s - self.granted_s[priority] > STARVED_S
        return 1.0 + RESERVE * (is_higher_active and not is_starved)


class Issuer:
    """Hands out the permits of the servers for which nodes ask this one."""

    def __init__(self, started_s: float = -math.inf):
        """Initialize without permits.

        Args:
            started_s: Start of this node, in the seconds of grant.
        """
        self._started_s = started_s
        self._buckets: dict[types.Lifetime, _Bucket] = {}

    def grant(self, ask: Ask, now_s: float, rank: int = 0) -> float:
        """Grant a permit, or tell when to ask again.

        Args:
            ask: The request for a permit.
            now_s: Present time in seconds.
            rank: Number of nodes that may issue permits of the same server and
                rank before this one.

        Returns:
            0 if the permit is granted, else the seconds to wait.
        """
        limit_per_s = max(server_limits.MIN_LIMIT_PER_S, ask.limit_per_s)
        burst, max_wait_s = max(MIN_BURST, limit_per_s * BURST_S), MAX_WAIT_S
        first_permits = 0.0
        if ask.cold_rank is not None:
            issued = slow_start.issued(ask.cold_rank, now_s - self._started_s)
            limit_per_s *= issued.share
            burst, first_permits = issued.burst, issued.first_permits
            max_wait_s = slow_start.MAX_WAIT_S
        else:
            share = issued_share(rank)
            limit_per_s *= share
            if share < 1.0:
                burst = REPLACEMENT_BURST
        bucket = self._buckets.get(ask.lifetime)
        if bucket is None:
            bucket = self._buckets[ask.lifetime] = _Bucket(now_s, first_permits)
        bucket.refill(limit_per_s, burst, now_s)
        bucket.record_ask(ask, now_s)
        needed = bucket.needed(ask.priority, now_s)
        if bucket.permits >= needed:
            bucket.permits -= 1.0
            bucket.granted_s[ask.priority] = now_s
            return 0.0
        next_s = (needed - bucket.permits) / limit_per_s
        share_s = len(bucket.asked_s) / (ASK_RATIO * limit_per_s)
        return min(max_wait_s, max(next_s, share_s))

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the permits of server lifetimes that have ended."""
        for lifetime in self._buckets.keys() - live:
            del self._buckets[lifetime]


class Waits:
    """Tracks when this node may ask for the permits of a server again."""

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()
        self._until_s: dict[tuple[types.Lifetime, int], float] = {}

    def record(
        self,
        lifetime: types.Lifetime,
        priority: int,
        wait_s: float,
        now_s: float,
    ) -> None:
        """Record the answer to a request for a permit that was not granted."""
        jitter = self._rng.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)
        self._until_s[lifetime, priority] = now_s + wait_s * jitter

    def remaining_s(
        self, lifetime: types.Lifetime, priority: int, now_s: float
    ) -> float:
        """Return the seconds until the node may ask again."""
        until_s = self._until_s.get((lifetime, priority), 0.0)
        return max(0.0, until_s - now_s)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the waits for server lifetimes that have ended."""
        for lifetime, priority in list(self._until_s):
            if lifetime not in live:
                del self._until_s[lifetime, priority]


def issued_share(rank: int) -> float:
    """Return the share of a limit that a node hands out.

    Args:
        rank: Number of nodes that may issue permits and rank before it.
    """
    return 1.0 if rank == 0 else REPLACEMENT_SHARE / 2 ** (rank - 1)


def issuers(
    server_id: str, domain_nodes: list[str], all_nodes: list[str]
) -> list[str]:
    """Return the nodes that issue a server's permits, in order.

    The first is of its failure domain, where most requests for it arrive. The
    next one is of another, as the nodes of one may all be away.

    Args:
        server_id: The server.
        domain_nodes: Nodes of its failure domain; all if it has none.
        all_nodes: Nodes of all failure domains.
    """
    role = f"permits/{server_id}"
    others = rendezvous.rank({*all_nodes} - {*domain_nodes}, role)
    ranked = itertools.zip_longest(rendezvous.rank(domain_nodes, role), others)
    return [node for pair in ranked for node in pair if node is not None]
