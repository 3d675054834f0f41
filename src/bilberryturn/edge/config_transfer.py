"""Transfer a configuration between nodes, apart from the polls.

A poll is short, so that a peer that does not answer is noticed soon. The time
for a configuration grows with its size and with the number of nodes that fetch
it from the same peer, so a transfer goes on for as long as bytes arrive.
"""

from collections.abc import Callable
import random
import threading
import time
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn.edge import config_change
from bilberryturn.edge import config_order
from bilberryturn.edge import peer_state
from bilberryturn.gateway import internal_server
from bilberryturn.platform import http

METHOD = "PUT"
PATH = "/config"
# Timeout of the connection, as that of a poll.
CONNECT_TIMEOUT_S = 0.5
# Longest time without a byte.
STALL_TIMEOUT_S = 1.0
# Transfers that a node sends at the same time. More would only make each of
# them slower, and with it the polls that share its link.
MAX_TRANSFERS = 2
# A transfer that takes longer has a slow receiver and leaves room for another.
MAX_TRANSFER_SHARE_S = 1.0
BUSY_STATUS = 503
# Mean pause before a busy peer is asked again.
BUSY_PAUSE_S = 0.15
STOP_CHECK_INTERVAL_S = 0.5


class ConfigRequest(msgspec.Struct):
    """Request for the configuration that a node has in force.

    Attributes:
        base_digest: Digest of the configuration that the requesting node has;
            "" to get all of it.
    """

    base_digest: str = ""


class ConfigReply(msgspec.Struct):
    """A configuration, as MessagePack.

    Attributes:
        change: What leads to it from the configuration of the request, or all
            of it.
        digest: Digest of the configuration as stored.
        era: Last era in which the store showed it.
        written_era: Era in which it is known to have been written.
    """

    change: config_change.Change
    digest: str
    era: int = config_order.NO_ERA
    written_era: int = config_order.NO_ERA


class Offer(NamedTuple):
    """A configuration that a peer has in force.

    Attributes:
        address: HOST:PORT of the peer.
        digest: Digest of the configuration.
        era: Last era in which the store showed it.
        written_era: Era in which it is known to have been written.
    """

    address: str
    digest: str
    era: int
    written_era: int

    def has_same_content(self, other: "Offer | None") -> bool:
        """Return whether another offer is of the same configuration."""
        return other is not None and self[1:] == other[1:]


class ConfigServer:
    """Sends the configuration in force to peers; runs on the event loop."""

    def __init__(self, raw: peer_state.RawState):
        """Initialize without transfers.

        Args:
            raw: State that this node serves to its peers.
        """
        self._raw = raw
        # Monotonic time at which each transfer in progress began.
        self._began_s: dict[int, float] = {}
        self._count = 0

    def reply(self, body: bytes) -> internal_server.Reply:
        """Return the reply to a request of a peer."""
        try:
            request = msgspec.msgpack.decode(body, type=ConfigRequest)
        except msgspec.DecodeError as error:
            events.log(
                events.FRAME_REFUSED, member="unknown", problem=str(error)
            )
            return internal_server.Reply(400)
        in_force = self._raw.config_order.current
        if in_force is None or not self._raw.config:
            return internal_server.Reply(404)
        now_s = time.monotonic()
        running = sum(
            now_s < began_s + MAX_TRANSFER_SHARE_S
            for began_s in self._began_s.values()
        )
        if running >= MAX_TRANSFERS:
            return internal_server.Reply(BUSY_STATUS)
        self._count += 1
        number = self._count
        self._began_s[number] = now_s
        content = ConfigReply(
            self._raw.config_change(request.base_digest),
            self._raw.config_digest,
            in_force.era,
            in_force.written_era,
        )
        return internal_server.Reply(
            200,
            msgspec.msgpack.encode(content),
            "application/msgpack",
            lambda: self._began_s.pop(number, None),
        )


class ConfigFetcher:
    """Fetches the configurations that peers offer, on a thread of its own."""

    def __init__(
        self,
        source_ip: str,
        own_config: Callable[[], bytes],
        deliver: Callable[[bytes, int, int], None],
        on_failure: Callable[[str], None],
    ):
        """Initialize the fetcher.

        Args:
            source_ip: Local IP address of the connections.
            own_config: Returns the configuration of this node as stored; empty
                if none.
            deliver: Receives a configuration as stored, its era and the era in
                which it is known to have been written.
            on_failure: Receives the address of a peer that did not send its
                configuration.
        """
        self._source_ip = source_ip
        self._own_config = own_config
        self._deliver = deliver
        self._on_failure = on_failure
        self._offer: Offer | None = None
        self._has_offer = threading.Event()
        # Offered again at each poll while this node keeps another one.
        self._delivered: Offer | None = None
        # Whether the last change did not lead to what the peer has.
        self._needs_all = False
        self._clients: dict[str, http.HttpClient] = {}

    def offer(self, offer: Offer) -> None:
        """Fetch a configuration unless it has been delivered."""
        if offer.has_same_content(self._delivered):
            return
        self._offer = offer
        self._has_offer.set()

    def run(self, stopping: threading.Event) -> None:
        """Fetch what is offered until the node stops."""
        while not stopping.is_set():
            if not self._has_offer.wait(STOP_CHECK_INTERVAL_S):
                continue
            try:
                pause_s = self.step()
            except Exception as error:
                self._has_offer.clear()
                pause_s = BUSY_PAUSE_S
                events.log(
                    events.JOB_FAILED,
                    job="config transfer",
                    error=f"{type(error).__name__}: {error}",
                )
            if pause_s:
                stopping.wait(pause_s)

    def step(self) -> float:
        """Fetch the last offer; returns the pause before the next in seconds.

        A peer that is busy is asked again, unless another offer has come.
        """
        self._has_offer.clear()
        offer = self._offer
        if offer is None or offer.has_same_content(self._delivered):
            return 0.0
        began_s = time.monotonic()
        base = b"" if self._needs_all else self._own_config()
        request = ConfigRequest(peer_state.digest(base) if base else "")
        result = self._client(offer.address).call(
            METHOD,
            PATH,
            raw=msgspec.msgpack.encode(request),
            is_idempotent=True,
        )
        if result.is_ok() and result.ok.status == BUSY_STATUS:
            self._has_offer.set()
            return BUSY_PAUSE_S * random.uniform(0.5, 1.5)
        error = self._accept(offer, base, result)
        if error is not None:
            events.log(
                events.CONFIG_NOT_FETCHED,
                member=offer.address,
                error=error,
                duration_s=round(time.monotonic() - began_s, 3),
            )
            self._on_failure(offer.address)
        return 0.0

    def _accept(self, offer: Offer, base: bytes, result) -> str | None:
        """Deliver the configuration of a reply; returns an error, if any."""
        if result.is_error():
            return str(result.error)
        if result.ok.status != 200:
            return f"status {result.ok.status}"
        try:
            reply = msgspec.msgpack.decode(result.ok.body, type=ConfigReply)
            config = config_change.apply(
                reply.change,
                base if reply.change.base_digest else b"",
                http.MAX_RESPONSE_BYTES,
            )
        except (msgspec.DecodeError, config_change.ChangeError) as error:
            self._needs_all = True
            return str(error)
        self._needs_all = peer_state.digest(config) != reply.digest
        if self._needs_all:
            return "the change leads to another configuration"
        # The peer may have a newer one by now.
        self._delivered = Offer(
            offer.address,
            reply.digest,
            reply.era,
            reply.written_era,
        )
        self._deliver(config, reply.era, reply.written_era)
        return None

    def _client(self, address: str) -> http.HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = http.HttpClient(
                "peer",
                address,
                CONNECT_TIMEOUT_S,
                self._source_ip,
                stall_timeout_s=STALL_TIMEOUT_S,
            )
        return client
