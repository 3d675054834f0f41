"""Connect to a server through a peer, while this node reaches no server.

The peer only passes bytes on. This node goes on to decide on the request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import NamedTuple

from bilberryturn.gateway import receivers
from bilberryturn.routing import types

# Replies of a peer. Any other, as one of an earlier release, means that it
# can't help.
ESTABLISHED = 200
UNKNOWN_SERVER = 404
REFUSED = 502
CANNOT_HELP = 503
NOT_REACHED = 504
# Most peers that are asked for one connection; most answer at once.
MAX_ASKED = 6
# Peers of the own failure domain are asked first. They may all be cut off too.
MAX_ASKED_IN_DOMAIN = 3
# Longer than a peer tries to connect to the server.
ASK_TIMEOUT_S = 0.35
# A peer that was cut off just before may not know it yet.
MIN_REFUSALS = 2
# Time for which a peer that can't help is not asked.
SKIP_S = 2.0
# No failure domain has this name.
ALL_DOMAINS = ""
# Any node may pass on what has no home regions.
ANYWHERE: frozenset[str] | None = None

Opener = Callable[
    [str, int, float, Callable[[], asyncio.BaseProtocol]],
    Awaitable[tuple[asyncio.Transport, receivers.TunnelReceiver]],
]


class TunnelError(Exception):
    """No peer connected to the server.

    Attributes:
        is_refused: Whether nothing listens at the server's address.
        is_reached: Whether a peer tried to connect to the server.
    """

    def __init__(self, is_refused: bool, is_reached: bool):
        super().__init__("refused" if is_refused else "not reached")
        self.is_refused = is_refused
        self.is_reached = is_reached


class Tunnel(NamedTuple):
    """A connection to a server through a peer."""

    receiver: receivers.TunnelReceiver
    peer: str


class Tunnels:
    """Asks peers for connections to servers."""

    def __init__(
        self,
        open_: Opener,
        own_address: str,
        failure_domain: str,
        nodes_in: Callable[[str], list[str]],
        domains_near: Callable[[str, frozenset[str]], set[str]],
    ):
        """Initialize without knowledge of the peers.

        Args:
            open_: Connects to a host and port within a time in seconds, with a
                factory of the protocol.
            own_address: Address of this node.
            failure_domain: Failure domain of this node.
            nodes_in: Returns the addresses of the nodes of a failure domain; of
                all nodes if it has none.
            domains_near: Returns the failure domains whose nodes may have the
                body of a request that is at a node of a failure domain and has
                home regions.
        """
        self._domains_near = domains_near
        self._open = open_
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._nodes_in = nodes_in
        self._skip_until_s: dict[str, float] = {}

    def has_peers(self) -> bool:
        """Return whether any other node is known."""
        return bool(self._peers(ALL_DOMAINS))

    def candidates(
        self,
        server: types.BackendServer,
        home_regions: frozenset[str] | None = ANYWHERE,
    ) -> list[str]:
        """Return the peers that may help to reach a server, nearest first.

        Args:
            server: The server.
            home_regions: Those of the request that is to be sent.
        """
        now_s = time.monotonic()
        allowed = self._allowed_peers(home_regions)
        found: list[str] = []
        for failure_domain, most in (
            (self._failure_domain, MAX_ASKED_IN_DOMAIN),
            (server.failure_domain, MAX_ASKED),
            (ALL_DOMAINS, MAX_ASKED),
        ):
            usable = [
                address
                for address in (self._peers(failure_domain) & allowed)
                - set(found)
                if self._skip_until_s.get(address, 0.0) <= now_s
            ]
            random.shuffle(usable)
            found += usable[:most]
        return found[:MAX_ASKED]

    def _peers(self, failure_domain: str) -> set[str]:
        return set(self._nodes_in(failure_domain)) - {self._own_address, ""}

    def _allowed_peers(self, home_regions: frozenset[str] | None) -> set[str]:
        """Return the peers that may have the body of a request."""
        if home_regions is ANYWHERE:
            return self._peers(ALL_DOMAINS)
        allowed: set[str] = set()
        for domain in self._domains_near(self._failure_domain, home_regions):
            nodes = set(self._nodes_in(domain))
            # All nodes are returned for a domain that has none.
            if domain == self._failure_domain or self._own_address not in nodes:
                allowed |= nodes
        return allowed

    async def connect(
        self,
        server: types.BackendServer,
        peers: list[str],
        timeout_s: float,
        new_receiver: Callable[[], receivers.TunnelReceiver],
    ) -> Tunnel:
        """Connect to a server through one of some peers.

        Args:
            server: The server.
            peers: Addresses of the peers, in the order in which they are asked.
            timeout_s: Timeout of the whole.
            new_receiver: Creates the protocol of a connection.

        Raises:
            TunnelError: None of the peers that were asked connected to it.
        """
        end_s = time.monotonic() + timeout_s
        is_reached = False
        refusals = 0
        for peer in peers:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            status, receiver = await self._ask(
                peer, server, min(left_s, ASK_TIMEOUT_S), new_receiver
            )
            if status == ESTABLISHED:
                return Tunnel(receiver, peer)
            if status == REFUSED:
                is_reached = True
                refusals += 1
                if refusals == MIN_REFUSALS:
                    break
            elif status == NOT_REACHED:
                is_reached = True
            elif status != UNKNOWN_SERVER:
                self._skip_until_s[peer] = time.monotonic() + SKIP_S
        known = len(self._peers(ALL_DOMAINS))
        is_refused = 0 < refusals >= min(MIN_REFUSALS, known)
        raise TunnelError(is_refused, is_reached)

    async def _ask(
        self,
        peer: str,
        server: types.BackendServer,
        timeout_s: float,
        new_receiver: Callable[[], receivers.TunnelReceiver],
    ) -> tuple[int, receivers.TunnelReceiver | None]:
        """Return the status of a peer's reply, 0 without one."""
        host, _, port = peer.rpartition(":")
        transport = None
        is_established = False
        try:
            async with asyncio.timeout(timeout_s):
                transport, receiver = await self._open(
                    host, int(port), timeout_s, new_receiver
                )
                address = server.address
                transport.write(
                    f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n"
                    "\r\n".encode("ascii")
                )
                status = _status(await receiver.reply)
            is_established = status == ESTABLISHED
        except (OSError, TimeoutError):
            return 0, None
        finally:
            if transport is not None and not is_established:
                transport.abort()
        return status, receiver


def _status(head: bytes) -> int:
    """Return the status of a reply, 0 if it is none."""
    parts = head.split(b" ", 2)
    is_reply = head.startswith(b"HTTP/1.1 ") and parts[1].isdigit()
    return int(parts[1]) if is_reply else 0
