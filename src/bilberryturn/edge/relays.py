"""Read the store once for many nodes.

In each failure domain the nodes that rank first by hash read the store; the
others ask one of them a few times a second, and those that rank next where it
does not hear the store. Whoever finds none that does reads the store itself,
so that nothing depends on a relay.
"""

from collections.abc import Callable
import hashlib
import random
import threading
import time

import msgspec

from bilberryturn import events
from bilberryturn import rendezvous
from bilberryturn.edge import feeds
from bilberryturn.edge import followers as store_followers
from bilberryturn.edge import intervals
from bilberryturn.gateway import shared_state
from bilberryturn.platform import http

# Nodes that one relay serves.
NODES_A_RELAY = 16
# A node that did not answer is passed over for this time. Killed nodes are
# back in about as long, and then all agree on the relay again.
SILENT_S = 5.0
# Nodes asked that rank after the relays: when the store turns a relay away,
# the first of them reads for the others.
SUBSTITUTES = 2
# Peers are asked after the store has been silent for this time.
ASK_PEERS_AFTER_S = 1.0
# Peers asked while the store does not answer.
PEERS_ASKED = 2


class Question(msgspec.Struct):
    """Holds what a node sends to a relay.

    Attributes:
        lifetime: Name of the node and of its start.
        revision: Content that it has.
        usage: Its counts of the last windows, by the window's number.
        suspects: Its counts of crashes, by fingerprint.
    """

    lifetime: str
    revision: str
    usage: dict[int, shared_state.WindowCounts]
    suspects: dict[str, int]


class RelayClient:
    """Asks relays on a thread of its own; wakes the followers if none works."""

    def __init__(
        self,
        lifetime: str,
        address: str,
        domain: str,
        source_ip: str,
        times: intervals.Intervals,
        domain_peers: Callable[[], list[str]],
        all_peers: Callable[[], list[str]],
        usage: Callable[[], dict[int, shared_state.WindowCounts]],
        suspects: Callable[[], dict[str, int]],
        followers: list[store_followers.Follower],
        deliver: Callable[[feeds.PeerState], None],
    ):
        """Set whom to ask.

        Args:
            lifetime: Name of this node and of its start.
            address: Where peers ask this node.
            domain: Its failure domain.
            source_ip: IP to call from.
            times: How often to ask and what is too old.
            domain_peers: Addresses of the nodes of the failure domain.
            all_peers: Addresses of all known nodes.
            usage: Returns this node's counts of the last windows.
            suspects: Returns this node's counts of crashes.
            followers: Readers of the store.
            deliver: Takes a reply.
        """
        self._lifetime = lifetime
        self._address = address
        self._domain = domain
        self._source_ip = source_ip
        self._times = times
        self._domain_peers = domain_peers
        self._all_peers = all_peers
        self._usage = usage
        self._suspects = suspects
        self._followers = followers
        self._deliver = deliver
        self._silent_until_s: dict[str, float] = {}
        self._clients: dict[str, http.HttpClient] = {}
        # The relay from which this node took what it holds, and which
        # revision of it; empty while it reads the store itself.
        self._relay = ""
        self._revision = ""
        # Until then a reading of this node's own may still come in.
        self._read_until_s = 0.0
        self.reads_store = True

    def run(self, stopping: threading.Event) -> None:
        """Ask until the node stops."""
        while not stopping.is_set():
            try:
                self._step()
            except Exception as error:
                # The followers go on reading the store meanwhile.
                self._set_reading(True)
                events.log(
                    events.JOB_FAILED,
                    job="relays",
                    error=f"{type(error).__name__}: {error}",
                )
            jitter = random.uniform(-1.0, 1.0) * intervals.ASK_JITTER
            stopping.wait(self._times.ask_s * (1 + jitter))

    def _step(self) -> None:
        is_served = False
        for address in self._candidates():
            is_served = self._ask(address)
            if is_served:
                break
            if address in self._silent_until_s:
                # That took its time, and the next one may be silent as well.
                self._set_reading(True)
        self._set_reading(not is_served)
        if not is_served and self._is_store_away():
            self._ask_anyone()

    def _candidates(self) -> list[str]:
        now_s = time.monotonic()
        live = {
            p
            for p in self._domain_peers()
            if self._silent_until_s.get(p, 0.0) <= now_s
        }
        return candidates(self._address, live, self._domain)

    def _set_reading(self, reads_store: bool) -> None:
        self.reads_store = reads_store
        if reads_store:
            self._relay = self._revision = ""
            self._read_until_s = (
                time.monotonic() + store_followers.CALL_TIMEOUT_S
            )
        for follower in self._followers:
            if reads_store:
                follower.active.set()
            else:
                follower.active.clear()

    def _is_store_away(self) -> bool:
        return any(
            follower.outage.lasts_s() >= ASK_PEERS_AFTER_S
            for follower in self._followers
        )

    def _ask_anyone(self) -> None:
        """Ask nodes anywhere; one of them may still hear the store."""
        now_s = time.monotonic()
        peers = [
            p
            for p in self._all_peers()
            if self._silent_until_s.get(p, 0.0) <= now_s
        ]
        random.shuffle(peers)
        for address in peers[:PEERS_ASKED]:
            self._ask(address)

    def _ask(self, address: str) -> bool:
        """Ask one node; returns whether it hears the store."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = http.HttpClient(
                "peer", address, self._times.ask_timeout_s, self._source_ip
            )
        question = Question(
            self._lifetime,
            self._revision if address == self._relay else "",
            self._usage(),
            self._suspects(),
        )
        asked_s = time.monotonic()
        result = client.call("PUT", "/state", question, is_idempotent=True)
        if result.is_error() or result.ok.status != 200:
            self._silent_until_s[address] = time.monotonic() + SILENT_S
            events.log(events.MEMBER_LOST, member=address)
            return False
        self._silent_until_s.pop(address, None)
        try:
            state = msgspec.json.decode(result.ok.body, type=feeds.PeerState)
        except msgspec.DecodeError as error:
            events.log(events.FRAME_REFUSED, member=address, problem=str(error))
            return False
        state = _aged(state, time.monotonic() - asked_s)
        is_current = self._is_current(state)
        if is_current and address != self._relay:
            events.log(
                events.PEER_STATE_TAKEN,
                member=address,
                config_age_s=round(state.config_age_s, 3),
                servers_age_s=round(state.servers_age_s, 3),
            )
        if is_current:
            self._relay = address
            self._revision = self._revision_to_name(state)
        self._deliver(state)
        return is_current

    def _revision_to_name(self, state: feeds.PeerState) -> str:
        """Return the revision to ask for next, "" to be told all again.

        Content that is older than what this node may have read itself is
        passed over; it is right again once the relay has read later.
        """
        heard_s = time.monotonic() - state.servers_age_s
        return state.revision if heard_s > self._read_until_s else ""

    def _is_current(self, state: feeds.PeerState) -> bool:
        """Return whether a relay has lately read the store itself.

        What it only heard from a peer does not count: two nodes would take
        each other for current while neither reads.
        """
        return (
            state.config_read_age_s < self._times.config_current_s
            and state.servers_read_age_s < self._times.servers_current_s
        )


def _aged(state: feeds.PeerState, elapsed_s: float) -> feeds.PeerState:
    """Return a state whose ages include the whole time of its question.

    Content must never look newer than it is; when the relay looked at its
    clock on the way is not known.
    """
    return msgspec.structs.replace(
        state,
        config_age_s=state.config_age_s + elapsed_s,
        servers_age_s=state.servers_age_s + elapsed_s,
        config_read_age_s=state.config_read_age_s + elapsed_s,
        servers_read_age_s=state.servers_read_age_s + elapsed_s,
    )


def candidates(own: str, live: set[str], domain: str) -> list[str]:
    """Return whom a node asks, in order; nobody if it is a relay itself.

    A node asks only those that rank before it, so that of all that find no
    relay the first one reads for the others.

    Args:
        own: Address of the node.
        live: Addresses of its failure domain that answered lately.
        domain: Name of the failure domain.
    """
    ranked = rendezvous.rank(live | {own}, domain)
    relay_count = 1 + len(ranked) // NODES_A_RELAY
    own_rank = ranked.index(own)
    if own_rank < relay_count:
        return []
    start = hash_index(own, relay_count)
    relays = ranked[start:relay_count] + ranked[:start]
    return relays + ranked[relay_count:own_rank][:SUBSTITUTES]


def hash_index(text: str, size: int) -> int:
    """Return a stable index below a size."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % max(1, size)
