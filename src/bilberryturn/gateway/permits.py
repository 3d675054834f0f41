"""Ask the issuing node for permits to send requests to limited servers."""

from collections.abc import Callable
import time
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import upstream
from bilberryturn.platform import decoding
from bilberryturn.routing import permits
from bilberryturn.routing import server_limits
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
    """

    own_address: str
    in_domain: Callable[[str], list[str]]


NO_PEERS = Peers("", lambda domain: [""])


class Permits:
    """Gets permits for this node's requests and issues those of others."""

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        pool: upstream.ConnectionPool,
        peers: Peers = NO_PEERS,
    ):
        """Initialize without permits.

        Args:
            limits: The limits of the servers.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
        """
        self._limits = limits
        self._pool = pool
        self._peers = peers
        self._issuer = permits.Issuer()
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

    def issue(self, body: bytes) -> bytes | None:
        """Return the reply to a node; None if its request is malformed."""
        try:
            ask = decoding.decode_json(body, type=permits.Ask)
        except msgspec.DecodeError as error:
            events.log(
                events.FRAME_REFUSED, member="unknown", problem=str(error)
            )
            return None
        wait_s = self._issuer.grant(ask, time.monotonic())
        return msgspec.json.encode(PermitReply(wait_s))

    async def acquire(self, server: types.BackendServer, priority: int) -> bool:
        """Return whether a request may be sent to a server now."""
        limit_per_s = self._limits.limit_per_s(server.lifetime)
        if limit_per_s is None:
            return True
        ask = permits.Ask(
            server.lifetime, limit_per_s, priority, self._peers.own_address
        )
        self._asking.add((server.lifetime, priority))
        try:
            wait_s = await self._ask_issuers(server, ask)
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
            for node in permits.issuers(
                server.server_id, self._peers.in_domain(server.failure_domain)
            )
            if self._unreachable_until_s.get(node, 0.0) <= now_s
        ]
        for node in nodes[:MAX_ASKED]:
            if node == self._peers.own_address:
                return self._issuer.grant(ask, time.monotonic())
            try:
                return await self._ask(node, ask)
            except (upstream.UpstreamError, msgspec.DecodeError) as error:
                self._unreachable_until_s[node] = (
                    time.monotonic() + UNREACHABLE_BACKOFF_S
                )
                events.log(
                    events.PERMIT_NOT_ANSWERED,
                    member=node,
                    server=server.server_id,
                    error=str(error),
                )
        if not nodes:
            # Cut off from all other nodes: this one goes on alone.
            return self._issuer.grant(ask, time.monotonic())
        return NO_ISSUER_WAIT_S

    async def _ask(self, node: str, ask: permits.Ask) -> float:
        """Ask another node; raises UpstreamError or DecodeError."""
        reply = await self._pool.call(
            node,
            upstream.Call(b"PUT", PATH.encode(), msgspec.json.encode(ask)),
            ASK_TIMEOUT_S,
            response_limits.MAX_HEAD_BYTES,
        )
        if reply.status != 200:
            raise upstream.UpstreamError(f"status {reply.status}", True)
        return decoding.decode_json(reply.body, type=PermitReply).wait_s
