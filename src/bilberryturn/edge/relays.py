"""Poll relays, each of which reads the store for many nodes.

In each failure domain the nodes that rank first by hash are the relays and
read the store. The others poll one of them a few times a second, and the nodes
that rank next if it cannot reach the store. A node that finds no current relay
reads the store itself, so that no node depends on a relay.
"""

from collections.abc import Callable
import hashlib
import random
import threading
import time
from typing import Annotated
from typing import NamedTuple

import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn import rendezvous
from bilberryturn.edge import config_order
from bilberryturn.edge import config_transfer
from bilberryturn.edge import followers as store_followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import shared_state
from bilberryturn.platform import decoding
from bilberryturn.platform import http
from bilberryturn.platform import store_era

# Nodes that one relay serves.
NODES_PER_RELAY = 48
START_POLL_INTERVAL_S = 0.2
# Time after its start in which a node without a relay polls at that interval,
# as the nodes of a deployment that has lost power start one after the other.
START_PHASE_S = 3.0
# Time for the relay to be current again after an outage of the store: its
# longest backoff and one poll. A node that others do not poll reads only the
# servers' entries until then.
RETURN_WAIT_S = 2.5
# Backoff of such a node after a failed call. The store has then turned away the
# relay, the fallback nodes and itself, and a poll shows when one of them reads
# it again; the node's own call is for the case that none of them does.
LAST_NODE_BACKOFF_S = 2.4


class StartWaits(NamedTuple):
    """How long a starting node leaves the reading of the store to a relay.

    Attributes:
        peers_s: Longest wait until the other nodes are known.
        relay_s: Time after that for a relay that has started as well.
    """

    peers_s: float
    relay_s: float


# When a deployment starts, callers come seconds later.
FIRST_START_WAITS = StartWaits(3.5, 1.0)
# A node that is replaced or started again is missed by its callers.
RESTART_WAITS = StartWaits(0.2, 0.0)
# A node that did not answer is skipped for this time. A killed node restarts in
# about the same time, after which all nodes agree on the relay again.
UNREACHABLE_BACKOFF_S = 5.0
# Nodes polled that rank after the relays: if the store rejects a relay's
# calls, the first of these nodes reads for the others.
MAX_FALLBACK_NODES = 2
# Peers in all failure domains are queried once the store has been unreachable
# for this time.
PEER_FALLBACK_DELAY_S = 1.0
# Number of these peers that are queried at each poll.
MAX_FALLBACK_PEERS = 2


# A lifetime is part of a row's key, which the store limits to 200 bytes.
_Lifetime = Annotated[str, msgspec.Meta(max_length=100)]


class StateRequest(msgspec.Struct):
    """Request of a node for the state of a relay; carries the node's counts.

    Attributes:
        lifetime: Identifies the node and its start.
        revision: Revision of the content that the node already has; "" if
            none.
        usage: The node's usage counts of the last windows, by window number.
        suspects: The node's reports on crashes and limits, by name.
        clock_offset_s: The VM's time of day minus the store's clock; None if
            unknown.
        accepts_changes: Whether the node accepts the changes since its
            revision in place of the whole content.
        config_digest: Digest of the configuration that the node has; "" if
            none.
        accepts_compressed: Whether the node accepts a compressed
            configuration.
        fetches_config: Whether the node fetches a large configuration apart.
        needs_reading: Whether requests of the node wait for a newer list of
            servers.
    """

    lifetime: _Lifetime
    revision: str
    usage: dict[int, shared_state.WindowCounts]
    suspects: dict[str, int]
    clock_offset_s: float | None = None
    accepts_changes: bool = False
    config_digest: str = ""
    accepts_compressed: bool = False
    fetches_config: bool = False
    needs_reading: bool = False

    def known(self) -> peer_state.Known:
        """Return what the node has already and accepts."""
        return peer_state.Known(
            self.revision,
            self.config_digest,
            self.accepts_changes,
            self.accepts_compressed,
            self.fetches_config,
        )


class RelayClient:
    """Polls relays on a thread of its own.

    Activates the followers while no relay is current, otherwise pauses them. A
    node that is no relay activates the first of them and the others once its
    call has succeeded, so that few calls are made while the store is away. A
    node that others do not poll waits for longer, as the relay is usually
    current again as soon as the store is back.
    """

    def __init__(
        self,
        lifetime: str,
        address: str,
        domain: str,
        source_ip: str,
        poll_intervals: intervals.Intervals,
        domain_peers: Callable[[], list[str]],
        all_peers: Callable[[], list[str]],
        usage: Callable[[], dict[int, shared_state.WindowCounts]],
        suspects: Callable[[], dict[str, int]],
        clock: shared_clock.SharedClock,
        followers: list[store_followers.Follower],
        known: Callable[[], peer_state.Known],
        deliver: Callable[[peer_state.PeerState, float], None],
        peers_known: threading.Event,
        start_waits: StartWaits,
        era_tracker: store_era.EraTracker | None = None,
        is_store_reached: Callable[[], bool] = lambda: False,
        offer_config: Callable[[config_transfer.Offer], None] | None = None,
        needs_reading: Callable[[], bool] = lambda: False,
    ):
        """Initialize the client.

        Args:
            lifetime: Identifies this node and its start.
            address: HOST:PORT at which peers reach this node.
            domain: Failure domain of this node.
            source_ip: Local IP address of the connections.
            poll_intervals: Intervals, timeouts and maximum ages.
            domain_peers: Returns the addresses of the nodes of the failure
                domain.
            all_peers: Returns the addresses of all known nodes.
            usage: Returns this node's usage counts of the last windows.
            suspects: Returns this node's reports.
            clock: Clock that takes the time from each reply.
            followers: Followers of the store's tables.
            known: Returns what this node has of its peers' content.
            deliver: Receives the state from each reply and the boot time at
                which it was received.
            peers_known: Set once the addresses of other nodes have been read
                or cannot be read.
            start_waits: How long to wait for peers and a relay at the start.
            era_tracker: Era of the store, shared by all clients of this node.
            is_store_reached: Returns whether the store has answered the first
                call for the other nodes.
            offer_config: Receives each configuration of a peer that this node
                does not have; None if polls bring them.
            needs_reading: Returns whether requests wait for a newer list of
                servers.
        """
        self._needs_reading = needs_reading
        self._pause = intervals.Pause()
        # Pause before the next poll that requests wait for.
        self._hastened_pause_s = intervals.HASTENED_PAUSE_S
        self._offer_config = offer_config
        self._era_tracker = era_tracker or store_era.EraTracker()
        self._lifetime = lifetime
        self._address = address
        self._domain = domain
        self._source_ip = source_ip
        self._intervals = poll_intervals
        self._domain_peers = domain_peers
        self._all_peers = all_peers
        self._usage = usage
        self._suspects = suspects
        self._clock = clock
        self._followers = followers
        self._known = known
        self._deliver = deliver
        self._peers_known = peers_known
        self._start_waits = start_waits
        self._unreachable_until_s: dict[str, float] = {}
        self._clients: dict[str, http.HttpClient] = {}
        # Address of the relay that last served this node; empty while this
        # node reads the store itself.
        self._relay = ""
        self._is_reading = False
        # Whether no other node polls this one, as it ranks behind the relays
        # and the fallback nodes.
        self._is_last = False
        self._has_had_relay = False
        self._start_wait_until_s = 0.0
        self._start_phase_until_s = 0.0
        self._is_store_reached = is_store_reached
        # Whether the store has just answered this starting node, so that no
        # follower has to try for the others.
        self._has_store_answered = False
        for follower in followers:
            follower.pause()

    @property
    def reads_store(self) -> bool:
        """Return whether this node reads the store itself and reaches it."""
        if not self._is_reading or not self._followers:
            return False
        reached_for_s = self._followers[0].reached_for_s()
        if reached_for_s is None:
            return False
        return not self._is_last or reached_for_s >= RETURN_WAIT_S

    def run(self, stopping: threading.Event) -> None:
        """Poll until the node stops."""
        self._peers_known.wait(self._start_waits.peers_s)
        self.begin()
        self._has_store_answered = self._is_store_reached()
        while not stopping.is_set():
            try:
                self._step()
                self._has_store_answered = False
            except Exception as error:
                # The followers read the store until the next poll succeeds.
                self._set_reads_store(True, is_relay=False)
                events.log(
                    events.JOB_FAILED,
                    job="relays",
                    error=f"{type(error).__name__}: {error}",
                )
            self._pause.wait(self._pause_s(), stopping)

    def hasten(self) -> None:
        """Poll soon; safe on any thread."""
        self._pause.hasten()

    def begin(self) -> None:
        """Begin to wait for a relay, now that other nodes may be known."""
        now_s = time.monotonic()
        self._start_wait_until_s = now_s + self._start_waits.relay_s
        self._start_phase_until_s = now_s + START_PHASE_S

    def _pause_s(self) -> float:
        if not self._relay and self._waits_for_relay():
            return START_POLL_INTERVAL_S
        if self._is_in_start_phase():
            return START_POLL_INTERVAL_S
        pause_s = self._hastened_pause_s
        if not self._needs_reading():
            self._hastened_pause_s = intervals.HASTENED_PAUSE_S
        elif pause_s < self._intervals.relay_poll_s:
            # Doubles, as a relay may not be able to read the store.
            self._hastened_pause_s *= 2
            return pause_s
        jitter = random.uniform(-1.0, 1.0) * intervals.RELAY_POLL_JITTER
        return self._intervals.relay_poll_s * (1 + jitter)

    def _waits_for_relay(self) -> bool:
        """Return whether a relay may not have read the store yet."""
        return time.monotonic() < self._start_wait_until_s

    def _is_in_start_phase(self) -> bool:
        """Return whether its relay may have started after this node."""
        is_early = time.monotonic() < self._start_phase_until_s
        return is_early and not self._has_had_relay

    def _step(self) -> None:
        has_relay = False
        addresses = self._candidates()
        self._is_last = len(addresses) > MAX_FALLBACK_NODES
        for address in addresses:
            has_relay = self._query(address)
            if has_relay:
                break
            if address in self._unreachable_until_s:
                # The request may have timed out, and the next one may as well;
                # read the store in the meantime.
                self._set_reads_store(True, is_relay=False)
        is_waiting = not self._is_reading and self._waits_for_relay()
        if addresses and not has_relay and is_waiting:
            return
        self._set_reads_store(not has_relay, is_relay=not addresses)
        if not has_relay and self._is_store_unreachable():
            self._query_any_peers()

    def _candidates(self) -> list[str]:
        now_s = time.monotonic()
        reachable = {
            p
            for p in self._domain_peers()
            if self._unreachable_until_s.get(p, 0.0) <= now_s
        }
        return candidates(self._address, reachable, self._domain)

    def _set_reads_store(self, reads_store: bool, *, is_relay: bool) -> None:
        self._is_reading = reads_store
        if not self._followers:
            return
        first, *others = self._followers
        first.min_backoff_s = LAST_NODE_BACKOFF_S if self._is_last else 0.0
        if not reads_store:
            first.set_dependents(())
            for follower in self._followers:
                follower.pause()
            return
        self._relay = ""
        first.activate()
        if is_relay:
            first.set_dependents(())
            for follower in others:
                follower.activate()
            return
        # A relay that fails while the store can be reached is not waited for.
        waits = (
            self._is_last
            and self._has_had_relay
            and first.outage.is_within(RETURN_WAIT_S)
        )
        first.set_dependents(() if waits else tuple(others))
        if self._has_store_answered:
            for follower in others:
                follower.activate()

    def _is_store_unreachable(self) -> bool:
        return any(
            follower.outage.duration_s() >= PEER_FALLBACK_DELAY_S
            for follower in self._followers
        )

    def _query_any_peers(self) -> None:
        """Query peers in any failure domain that may still reach the store."""
        now_s = time.monotonic()
        peers = [
            p
            for p in self._all_peers()
            if self._unreachable_until_s.get(p, 0.0) <= now_s
        ]
        random.shuffle(peers)
        for address in peers[:MAX_FALLBACK_PEERS]:
            self._query(address)

    def _query(self, address: str) -> bool:
        """Query one node; returns whether its own reading is current."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = http.HttpClient(
                "peer",
                address,
                self._intervals.relay_timeout_s,
                self._source_ip,
            )
        known = self._known()
        request = StateRequest(
            self._lifetime,
            known.revision,
            self._usage(),
            self._suspects(),
            self._clock.local_offset_s(),
            known.accepts_changes,
            known.config_digest,
            known.accepts_compressed,
            self._offer_config is not None,
            self._needs_reading(),
        )
        # Counts the time for which a reply waits while the VM is suspended.
        sent_s = leases.boottime_s()
        result = client.call("PUT", "/state", request, is_idempotent=True)
        if result.is_error() or result.ok.status != 200:
            # If all nodes start, one that has not started yet would be taken
            # for lost, and many others for the relay.
            self.skip(address)
            events.log(
                events.MEMBER_LOST,
                member=address,
                error=(
                    str(result.error)
                    if result.is_error()
                    else f"status {result.ok.status}"
                ),
                duration_s=round(leases.boottime_s() - sent_s, 3),
            )
            return False
        self._unreachable_until_s.pop(address, None)
        try:
            state = decoding.decode_json(
                result.ok.body, type=peer_state.PeerState
            )
        except msgspec.DecodeError as error:
            events.log(events.FRAME_REFUSED, member=address, problem=str(error))
            return False
        self._record_time(state, sent_s)
        if state.servers_era != config_order.NO_ERA:
            self._era_tracker.observe(state.servers_era)
        received_s = leases.boottime_s()
        state = _with_elapsed(state, received_s - sent_s)
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
            self._has_had_relay = True
        self._deliver(state, received_s)
        if self._has_new_config(state, known):
            self._offer_config(
                config_transfer.Offer(
                    address,
                    state.config_digest,
                    state.config_era,
                    state.config_written_era,
                )
            )
        return is_current

    def skip(self, address: str) -> None:
        """Poll other nodes for a while; safe on any thread."""
        backoff_s = 0.0 if self._is_in_start_phase() else UNREACHABLE_BACKOFF_S
        self._unreachable_until_s[address] = time.monotonic() + backoff_s

    def _has_new_config(
        self, state: peer_state.PeerState, known: peer_state.Known
    ) -> bool:
        """Return whether to fetch the configuration of a peer.

        One that the store has not confirmed to the peer recently may be older.
        """
        is_other = state.config_digest not in ("", known.config_digest)
        if self._offer_config is None or state.config is not None:
            return False
        if not is_other or state.config_age_s >= intervals.FRESH_S:
            return False
        in_force = known.in_force
        return (
            in_force is None
            or state.config_era > in_force.era
            or state.config_version >= in_force.version
        )

    def _record_time(self, state: peer_state.PeerState, sent_s: float) -> None:
        if state.store_s is not None:
            self._clock.record_store_time(
                state.store_s, sent_s, leases.boottime_s()
            )
        if state.utc_offset_s is not None:
            self._clock.set_utc_offset(state.utc_offset_s)

    def _is_current(self, state: peer_state.PeerState) -> bool:
        """Return whether a relay has recently read the store itself.

        State that it only received from a peer does not count: otherwise two
        nodes would consider each other current while neither reads. Neither
        does a reading from before a restore of the store.
        """
        era = self._era_tracker.era
        is_behind = era is not None and state.servers_era < era
        if is_behind and state.servers_era != config_order.NO_ERA:
            return False
        return (
            state.config_read_age_s < self._intervals.config_max_age_s
            and state.servers_read_age_s < self._intervals.servers_max_age_s
        )


def _with_elapsed(
    state: peer_state.PeerState, elapsed_s: float
) -> peer_state.PeerState:
    """Return a state whose ages include the whole duration of its request.

    Content must never appear newer than it is, and it is unknown at which
    moment of the request the relay computed the ages.
    """
    return msgspec.structs.replace(
        state,
        config_age_s=state.config_age_s + elapsed_s,
        servers_age_s=state.servers_age_s + elapsed_s,
        config_read_age_s=state.config_read_age_s + elapsed_s,
        servers_read_age_s=state.servers_read_age_s + elapsed_s,
    )


def candidates(own: str, reachable: set[str], domain: str) -> list[str]:
    """Return the nodes that a node polls, in order; none if it is a relay.

    A node polls only nodes that rank before it. If several nodes find no
    current relay, the first of them by rank then reads for the others.

    Args:
        own: Address of the node.
        reachable: Addresses in its failure domain without a recent failure.
        domain: Name of the failure domain.
    """
    ranked = rendezvous.rank(reachable | {own}, domain)
    relay_count = 1 + len(ranked) // NODES_PER_RELAY
    own_rank = ranked.index(own)
    if own_rank < relay_count:
        return []
    start = hash_index(own, relay_count)
    relays = ranked[start:relay_count] + ranked[:start]
    return relays + ranked[relay_count:own_rank][:MAX_FALLBACK_NODES]


def hash_index(text: str, size: int) -> int:
    """Return an index below size that is the same on all nodes."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % max(1, size)
