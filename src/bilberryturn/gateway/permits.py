"""Ask the issuing node for permits to send requests to limited servers."""

from collections.abc import Callable
import itertools
import time
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn.gateway import issuer_checks
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import upstream
from bilberryturn.platform import decoding
from bilberryturn.routing import directory
from bilberryturn.routing import permits
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

PATH = "/permit"
# A reachable node of any failure domain answers within this time.
ASK_TIMEOUT_S = 0.15
# Nodes asked for one permit: the issuer, and the next if it does not answer.
MAX_ASKED = 2
UNREACHABLE_BACKOFF_S = 2.0
# A node whose process has ended is back soon, and says at once if it is not.
ENDED_BACKOFF_S = 1.0
# Pause if no issuer answered, or if it is not known yet whether those that rank
# before the one that did are gone.
NO_ISSUER_WAIT_S = 0.5
# Nodes of an earlier rank that are checked at once; further ones count as
# present.
MAX_CHECKED = 3


class PermitReply(msgspec.Struct):
    """Reply of the issuer.

    Attributes:
        wait_s: 0 if the permit is granted, else the seconds to wait.
    """

    wait_s: float


class Peers(NamedTuple):
    """The nodes that issue permits.

    Attributes:
        own_address: HOST:PORT at which other nodes reach this one.
        in_domain: Returns the addresses of the nodes of a failure domain; of
            all nodes if it has none.
        are_known: Returns whether the nodes have been read.
    """

    own_address: str
    in_domain: Callable[[str], list[str]]
    are_known: Callable[[], bool] = lambda: True


NO_PEERS = Peers("", lambda domain: [""])


class _Ranking(NamedTuple):
    """The issuers of a server, in order, and the nodes to choose from."""

    domain_nodes: list[str]
    all_nodes: list[str]
    issuers: list[str]


class Permits:
    """Gets permits for this node's requests and issues those of others."""

    def __init__(
        self,
        servers: directory.Directory,
        limit: Callable[[types.BackendServer], slow_start.Limit | None],
        pool: upstream.ConnectionPool,
        peers: Peers,
        time_of_day: Callable[[], float],
        checks: issuer_checks.IssuerChecks | None = None,
    ):
        """Initialize without permits.

        Args:
            servers: The known servers.
            limit: Returns the limit of a server, if it has one.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
            checks: Finds out whether other nodes are gone; by calls of the pool
                if not given.
        """
        self._servers = servers
        self._limit = limit
        self._pool = pool
        self._peers = peers
        self._time_of_day = time_of_day
        self._issuer = permits.Issuer(time.monotonic())
        self._isolated_shares = slow_start.IsolatedShares()
        self._checks = checks or issuer_checks.IssuerChecks(pool)
        self._rankings: dict[str, _Ranking] = {}
        self._waits = permits.Waits()
        # Servers and priorities for which a request for a permit is pending.
        self._asking: set[tuple[types.Lifetime, int]] = set()
        self._unreachable_until_s: dict[str, float] = {}

    def wait_s(
        self, lifetime: types.Lifetime, priority: int, now_s: float
    ) -> float:
        """Return for how long no permit can be asked for; 0 if it can."""
        if (lifetime, priority) in self._asking:
            return ASK_TIMEOUT_S
        return self._waits.remaining_s(lifetime, priority, now_s)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the state of server lifetimes that have ended."""
        self._issuer.retain(live)
        self._waits.retain(live)
        self._isolated_shares.retain(live)
        live_ids = {server_id for server_id, _ in live}
        for server_id in self._rankings.keys() - live_ids:
            del self._rankings[server_id]

    def can_issue(self) -> bool:
        """Return whether this node knows for which servers it issues permits.

        One that has just started would take itself for the issuer of all.
        """
        return self._peers.are_known()

    def issue(self, body: bytes) -> bytes | None:
        """Return the reply to a node; None if its request is malformed."""
        try:
            ask = decoding.decode_json(body, type=permits.Ask)
        except msgspec.DecodeError as error:
            events.log(
                events.FRAME_REFUSED, member="unknown", problem=str(error)
            )
            return None
        return msgspec.json.encode(PermitReply(self._grant(ask)))

    def _grant(self, ask: permits.Ask) -> float:
        """Grant a permit as an issuer, or return when to ask again."""
        ask, now_s = self._as_known(ask), time.monotonic()
        if ask.cold_rank is not None:
            return self._issuer.grant(ask, now_s)
        rank, is_certain = self.rank(ask.lifetime, now_s)
        wait_s = self._issuer.grant(ask, now_s, rank)
        return wait_s if is_certain else min(wait_s, NO_ISSUER_WAIT_S)

    def rank(self, lifetime: types.Lifetime, now_s: float) -> tuple[int, bool]:
        """Return how many nodes may issue a server's permits before this one.

        Also returns whether that will not change soon.
        """
        server = self._servers.find(lifetime[0])
        if server is None:
            # It is not known yet which nodes rank before this one.
            return 1, False
        issuers, own = self.issuers(server), self._peers.own_address
        earlier = issuers[: issuers.index(own)] if own in issuers else issuers
        rank, is_certain = 0, True
        for node in earlier:
            state = issuer_checks.IssuerState.PRESENT
            if rank < MAX_CHECKED:
                state = self._checks.state(node, now_s)
            rank += state is not issuer_checks.IssuerState.GONE
            if state is issuer_checks.IssuerState.UNCERTAIN:
                is_certain = False
        return rank, is_certain

    def _as_known(self, ask: permits.Ask) -> permits.Ask:
        """Return a request with what this node knows of a cold server.

        The asking node may not know yet that the server is cold, or that
        another node has joined which ranks before this one.
        """
        server_id, _ = ask.lifetime
        server = self._servers.find(server_id)
        if server is None or server.lifetime != tuple(ask.lifetime):
            return ask
        limit = self._limit(server)
        if limit is None or not limit.is_cold:
            return ask
        issuers = self.issuers(server)
        own = self._peers.own_address
        own_rank = issuers.index(own) if own in issuers else len(issuers)
        return ask._replace(
            limit_per_s=min(limit.per_s, ask.limit_per_s),
            cold_rank=max(ask.cold_rank or 0, own_rank),
        )

    async def acquire(self, server: types.BackendServer, priority: int) -> bool:
        """Return whether a request may be sent to a server now."""
        limit = self._limit(server)
        if limit is None:
            return True
        ask = permits.Ask(
            server.lifetime, limit.per_s, priority, self._peers.own_address
        )
        self._asking.add((server.lifetime, priority))
        try:
            wait_s = await (
                self._ask_cold_issuer(server, ask)
                if limit.is_cold
                else self._ask_issuers(server, ask)
            )
        finally:
            self._asking.discard((server.lifetime, priority))
        if wait_s:
            self._waits.record(
                server.lifetime, priority, wait_s, time.monotonic()
            )
        return not wait_s

    async def _ask_issuers(
        self, server: types.BackendServer, ask: permits.Ask
    ) -> float:
        if not self.can_issue():
            return NO_ISSUER_WAIT_S
        now_s = time.monotonic()
        nodes = (
            node
            for node in self.issuers(server)
            if self._unreachable_until_s.get(node, 0.0) <= now_s
        )
        for node in itertools.islice(nodes, MAX_ASKED):
            if node == self._peers.own_address:
                return self._grant(ask)
            try:
                return await self._ask(node, ask)
            except (upstream.UpstreamError, msgspec.DecodeError) as error:
                self._record_unreachable(node, server, error)
        return NO_ISSUER_WAIT_S

    async def _ask_cold_issuer(
        self, server: types.BackendServer, ask: permits.Ask
    ) -> float:
        """Ask one issuer of a cold server; others are asked next time.

        The request goes to a warm server meanwhile. Only the first nodes by
        rank issue permits: others would each add the whole limit while nodes
        don't reach each other.
        """
        now_s, own = time.monotonic(), self._peers.own_address
        if not self.can_issue():
            return NO_ISSUER_WAIT_S
        issuers = self.issuers(server)[: slow_start.MAX_ISSUERS]
        for rank, node in enumerate(issuers):
            if self._unreachable_until_s.get(node, 0.0) > now_s:
                continue
            ranked = ask._replace(cold_rank=rank)
            if node == own:
                return self._issuer.grant(ranked, now_s)
            try:
                return await self._ask(node, ranked)
            except (upstream.UpstreamError, msgspec.DecodeError) as error:
                self._record_unreachable(node, server, error)
                return NO_ISSUER_WAIT_S
        return self._isolated_shares.grant(
            server.lifetime,
            ask.limit_per_s,
            own,
            self._peers.in_domain(""),
            self._time_of_day(),
        )

    def issuers(self, server: types.BackendServer) -> list[str]:
        """Return the nodes that issue for a server, in order."""
        domain_nodes = self._peers.in_domain(server.failure_domain)
        all_nodes = self._peers.in_domain("")
        known = self._rankings.get(server.server_id)
        if known is None or known[:2] != (domain_nodes, all_nodes):
            known = self._rankings[server.server_id] = _Ranking(
                domain_nodes,
                all_nodes,
                permits.issuers(server.server_id, domain_nodes, all_nodes),
            )
        return known.issuers

    def _record_unreachable(
        self, node: str, server: types.BackendServer, error: Exception
    ) -> None:
        has_ended = (
            isinstance(error, upstream.UpstreamError) and error.is_refused
        )
        backoff_s = ENDED_BACKOFF_S if has_ended else UNREACHABLE_BACKOFF_S
        self._unreachable_until_s[node] = time.monotonic() + backoff_s
        events.log(
            events.PERMIT_NOT_ANSWERED,
            member=node,
            server=server.server_id,
            error=str(error),
        )

    async def _ask(self, node: str, ask: permits.Ask) -> float:
        """Ask another node; raises UpstreamError or DecodeError."""
        reply = await self._pool.call(
            node,
            upstream.Call(b"PUT", PATH.encode(), _encode(ask)),
            ASK_TIMEOUT_S,
            response_limits.MAX_HEAD_BYTES,
        )
        if reply.status != 200:
            raise upstream.UpstreamError(f"status {reply.status}", True)
        return decoding.decode_json(reply.body, type=PermitReply).wait_s


def _encode(ask: permits.Ask) -> bytes:
    # Nodes of earlier versions accept no field that they don't know.
    fields = ask[:-1] if ask.cold_rank is None else ask
    return msgspec.json.encode(fields)
