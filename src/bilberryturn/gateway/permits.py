"""Ask the issuing node for permits to send requests to limited servers."""

from collections.abc import Callable
import time
from typing import NamedTuple

import msgspec

from bilberryturn import events
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
UNREACHABLE_BACKOFF_S = 5.0
# Pause if no issuer answered.
NO_ISSUER_WAIT_S = 0.5


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


class Permits:
    """Gets permits for this node's requests and issues those of others."""

    def __init__(
        self,
        servers: directory.Directory,
        limit: Callable[[types.BackendServer], slow_start.Limit | None],
        pool: upstream.ConnectionPool,
        peers: Peers,
        time_of_day: Callable[[], float],
    ):
        """Initialize without permits.

        Args:
            servers: The known servers.
            limit: Returns the limit of a server, if it has one.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
        """
        self._servers = servers
        self._limit = limit
        self._pool = pool
        self._peers = peers
        self._time_of_day = time_of_day
        self._issuer = permits.Issuer(time.monotonic())
        self._isolated_shares = slow_start.IsolatedShares()
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

    def issue(self, body: bytes) -> bytes | None:
        """Return the reply to a node; None if its request is malformed."""
        try:
            ask = decoding.decode_json(body, type=permits.Ask)
        except msgspec.DecodeError as error:
            events.log(
                events.FRAME_REFUSED, member="unknown", problem=str(error)
            )
            return None
        wait_s = self._issuer.grant(self._as_known(ask), time.monotonic())
        return msgspec.json.encode(PermitReply(wait_s))

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
        issuers = self._issuers(server)
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
        now_s = time.monotonic()
        nodes = [
            node
            for node in self._issuers(server)
            if self._unreachable_until_s.get(node, 0.0) <= now_s
        ]
        for node in nodes[:MAX_ASKED]:
            if node == self._peers.own_address:
                return self._issuer.grant(ask, time.monotonic())
            try:
                return await self._ask(node, ask)
            except (upstream.UpstreamError, msgspec.DecodeError) as error:
                self._record_unreachable(node, server, error)
        if not nodes:
            # Cut off from all other nodes: this one goes on alone.
            return self._issuer.grant(ask, time.monotonic())
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
        if not self._peers.are_known():
            # It would take itself for the issuer of all servers.
            return NO_ISSUER_WAIT_S
        issuers = self._issuers(server)[: slow_start.MAX_ISSUERS]
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

    def _issuers(self, server: types.BackendServer) -> list[str]:
        return permits.issuers(
            server.server_id, self._peers.in_domain(server.failure_domain)
        )

    def _record_unreachable(
        self, node: str, server: types.BackendServer, error: Exception
    ) -> None:
        self._unreachable_until_s[node] = (
            time.monotonic() + UNREACHABLE_BACKOFF_S
        )
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
