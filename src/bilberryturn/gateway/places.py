"""Ask the issuing node for places at brittle servers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import random
import time
from typing import Any
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn.gateway import permits
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import upstream
from bilberryturn.platform import decoding
from bilberryturn.routing import brittle_windows
from bilberryturn.routing import directory
from bilberryturn.routing import permits as permit_rules
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

PATH = "/place"
END_PATH = "/place-end"
# A place whose end was not reported is kept until its request would be over.
END_ATTEMPTS = 3
END_RETRY_S = 0.2
# Rejections that nodes without an issuer may cause at a server that withstands
# none, since it has to be found out whether it still says so.
MIN_ISOLATED_PER_S = 0.1


class Place(NamedTuple):
    """A place of a request at a brittle server.

    Attributes:
        issuer: Address of the node that granted it; None if none did.
    """

    server: types.BackendServer
    issuer: str | None
    number: int


class Places:
    """Gets places for this node's requests and grants those of others."""

    def __init__(
        self,
        servers: directory.Directory,
        permits_of_node: permits.Permits,
        pool: upstream.ConnectionPool,
        peers: permits.Peers,
        time_of_day: Callable[[], float],
        in_flight: Callable[[types.Lifetime], int],
    ):
        """Initialize without places.

        Args:
            servers: The known servers.
            permits_of_node: Tells which nodes issue for a server.
            pool: Opens connections to other nodes.
            peers: The nodes that issue, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
            in_flight: Returns the requests that this node has in flight at a
                server.
        """
        self._servers = servers
        self._permits = permits_of_node
        self._pool = pool
        self._peers = peers
        self._time_of_day = time_of_day
        self._in_flight = in_flight
        self._issuer = brittle_windows.Issuer()
        self._isolated_shares = slow_start.IsolatedShares()
        self._waits = permit_rules.Waits()
        self._unreachable_until_s: dict[str, float] = {}
        # Places of an earlier process of this node have other numbers.
        self._numbers = itertools.count(random.getrandbits(40))
        self._tasks: set[asyncio.Task] = set()

    def wait_s(
        self, lifetime: types.Lifetime, priority: int, now_s: float
    ) -> float:
        """Return for how long no place can be asked for; 0 if it can."""
        return self._waits.remaining_s(lifetime, priority, now_s)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the state of server lifetimes that have ended."""
        self._issuer.retain({server_id for server_id, _ in live})
        self._waits.retain(live)
        self._isolated_shares.retain(live)

    def issue(self, body: bytes) -> bytes | None:
        """Return the reply to a node; None if its request is malformed."""
        ask = _decoded(body, brittle_windows.Ask)
        if ask is None:
            return None
        return msgspec.json.encode(permits.PermitReply(self._grant(ask)))

    def end(self, body: bytes) -> bytes | None:
        """Take a place back from a node; None if its call is malformed."""
        end = _decoded(body, brittle_windows.End)
        if end is None:
            return None
        self._issuer.end(end, time.monotonic())
        return b"{}"

    def _grant(self, ask: brittle_windows.Ask) -> float:
        now_s = time.monotonic()
        rank, _ = self._permits.rank(ask.lifetime, now_s)
        return self._issuer.grant(ask, now_s, rank)

    async def acquire(
        self,
        server: types.BackendServer,
        withstood_per_s: float,
        priority: int,
        lasts_s: float,
    ) -> Place | None:
        """Return a place for a request to a server; None if it has none now.

        Args:
            server: The server.
            withstood_per_s: Rejections in a second that it withstands.
            priority: Priority of the request; 0 is the highest.
            lasts_s: Time for which the request may be in flight.
        """
        if not self._permits.can_issue():
            self._record_wait(server, priority, permits.NO_ISSUER_WAIT_S)
            return None
        ask = brittle_windows.Ask(
            server.lifetime,
            self._peers.own_address,
            next(self._numbers),
            self._in_flight(server.lifetime),
            priority,
            withstood_per_s,
            server.slots,
            lasts_s,
        )
        now_s = time.monotonic()
        nodes = (
            node
            for node in self._permits.issuers(server)
            if self._unreachable_until_s.get(node, 0.0) <= now_s
        )
        for node in itertools.islice(nodes, permits.MAX_ASKED):
            wait_s = await self._ask(node, server, ask)
            if wait_s is None:
                continue
            if wait_s:
                self._record_wait(server, priority, wait_s)
                return None
            return Place(server, node, ask.number)
        return self._isolated_place(server, withstood_per_s, priority)

    def _isolated_place(
        self, server: types.BackendServer, withstood_per_s: float, priority: int
    ) -> Place | None:
        wait_s = self._isolated_shares.grant(
            server.lifetime,
            max(MIN_ISOLATED_PER_S, withstood_per_s),
            self._peers.own_address,
            self._peers.in_domain(""),
            self._time_of_day(),
        )
        if wait_s:
            self._record_wait(server, priority, wait_s)
            return None
        return Place(server, None, 0)

    async def _ask(
        self, node: str, server: types.BackendServer, ask: brittle_windows.Ask
    ) -> float | None:
        """Return the seconds to wait, 0 if granted; None without an answer."""
        if node == self._peers.own_address:
            return self._grant(ask)
        place = Place(server, node, ask.number)
        try:
            reply = await self._call(node, PATH, ask, permits.ASK_TIMEOUT_S)
            return decoding.decode_json(
                reply.body, type=permits.PermitReply
            ).wait_s
        except (upstream.UpstreamError, msgspec.DecodeError) as error:
            self._record_unreachable(node, server, error)
            # It may have been granted.
            self.release(place)
            return None
        except asyncio.CancelledError:
            self.release(place)
            raise

    async def _call(
        self, node: str, path: str, message: tuple, timeout_s: float
    ) -> upstream.Reply:
        reply = await self._pool.call(
            node,
            upstream.Call(b"PUT", path.encode(), msgspec.json.encode(message)),
            timeout_s,
            response_limits.MAX_HEAD_BYTES,
        )
        if reply.status != 200:
            raise upstream.UpstreamError(f"status {reply.status}", True)
        return reply

    def release(
        self,
        place: Place,
        was_accepted: bool = False,
        was_rejected: bool = False,
    ) -> None:
        """Give a place back.

        Args:
            place: The place.
            was_accepted: Whether the server ran the request.
            was_rejected: Whether the server turned the request away.
        """
        if place.issuer is None:
            return
        lifetime = place.server.lifetime
        end = brittle_windows.End(
            lifetime,
            self._peers.own_address,
            place.number,
            self._in_flight(lifetime),
            was_accepted,
            was_rejected,
        )
        if place.issuer == self._peers.own_address:
            self._issuer.end(end, time.monotonic())
            return
        self.run_later(self._report_end(place.issuer, end))

    async def _report_end(self, node: str, end: brittle_windows.End) -> None:
        for _ in range(END_ATTEMPTS):
            try:
                await self._call(
                    node, END_PATH, end, permits.UNREACHABLE_BACKOFF_S
                )
                return
            except upstream.UpstreamError:
                await asyncio.sleep(END_RETRY_S)

    def run_later(self, call: Coroutine[Any, Any, None]) -> None:
        """Make a call to another node beside what waits for no reply."""
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_wait(
        self, server: types.BackendServer, priority: int, wait_s: float
    ) -> None:
        self._waits.record(server.lifetime, priority, wait_s, time.monotonic())

    def _record_unreachable(
        self, node: str, server: types.BackendServer, error: Exception
    ) -> None:
        self._unreachable_until_s[node] = (
            time.monotonic() + permits.UNREACHABLE_BACKOFF_S
        )
        events.log(
            events.PERMIT_NOT_ANSWERED,
            member=node,
            server=server.server_id,
            error=str(error),
        )


def _decoded(body: bytes, kind: type) -> Any:
    try:
        return decoding.decode_json(body, type=kind)
    except msgspec.DecodeError as error:
        events.log(events.FRAME_REFUSED, member="unknown", problem=str(error))
        return None
