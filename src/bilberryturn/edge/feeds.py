"""Apply the state received from the store and from peers."""

import base64
from collections.abc import Callable
import math
import time
import zlib

import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn import metrics
from bilberryturn.edge import config_feed
from bilberryturn.edge import config_order
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.gateway import shared_state
from bilberryturn.platform import decoding
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries
from bilberryturn.platform import settings_file
from bilberryturn.routing import directory as server_directory
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

# An entry expires after three missed heartbeats, the first of which may have
# been due as the store went away.
MISSED_HEARTBEATS = 2
# Node lifetimes whose reports are retained.
MAX_LIFETIMES = 1000


class Applier:
    """Applies received state to this node; runs on the event loop only."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        raw: peer_state.RawState,
        lifetime: str,
        deliver_nodes: Callable[[dict[str, str]], None] | None = None,
        heartbeat_s: float = settings_file.DEFAULT_HEARTBEAT_S,
    ):
        """Initialize the applier.

        Args:
            shared: State that the requests of this node use.
            raw: State that this node serves to its peers.
            lifetime: Identifies this node and its start.
            deliver_nodes: Receives the known nodes from a peer.
            heartbeat_s: Interval in which servers write their entries.
        """
        # Entries cannot have expired in a shorter outage.
        self._min_lapse_s = MISSED_HEARTBEATS * heartbeat_s
        # Boot time of the first confirmation of the entries after an outage of
        # the store.
        self._outage_end_s = -math.inf
        self._deliver_nodes = deliver_nodes
        # Revision of the peer whose content this node has; "" if it has read
        # the store since, which requests the whole content next time.
        self.peer_revision = ""
        self._shared = shared
        self._raw = raw
        self._lifetime = lifetime
        # Content of the entries by server, without the sequence number that
        # each heartbeat changes; an entry that cannot be decoded is kept as
        # stored.
        self._entry_content: dict[str, types.BackendServer | bytes] = {}
        self._suspects_era = config_order.NO_ERA
        self._configs = config_feed.ConfigApplier(shared, raw)

    def known(self) -> peer_state.Known:
        """Return what this node has of its peers' content."""
        return peer_state.Known(
            self.peer_revision,
            self._raw.config_digest,
            accepts_changes=True,
            accepts_compressed=True,
            in_force=self._raw.config_order.current,
        )

    def on_config_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the operator's table."""
        # The store may have held the call (long poll), so that the reading is
        # as recent as its answer.
        now_s = leases.boottime_s()
        self.peer_revision = ""
        self._raw.config_read_s = now_s
        self.confirm_config(now_s)
        values = reading.values()
        era = _era_number(reading.era)
        drains = rows.read_drains(values)
        for key in drains.malformed:
            events.log(events.DRAIN_KEY_REFUSED, key=key)
        has_changed = self._raw.drained.apply_reading(
            drains, reading.is_snapshot, era, now_s
        )
        if has_changed:
            self._set_drained(config_feed.Source.STORE)
        value = values.get(rows.CONFIG_KEY)
        if value is not None:
            written_era = config_order.NO_ERA if reading.is_snapshot else era
            self._configs.apply(
                value, config_feed.Source.STORE, era, written_era
            )

    def _set_drained(self, source: config_feed.Source) -> None:
        """Put the drained failure domains in force and pass them on."""
        drained = self._raw.drained.domains
        self._raw.mark_changed(peer_state.Content.DRAINED)
        for domain in sorted(self._shared.placement.set_drained(drained)):
            is_drained = domain in drained
            metrics.set_gauge(
                metrics.DOMAIN_DRAINED,
                {"failure_domain": domain},
                float(is_drained),
            )
            events.log(
                events.DOMAIN_DRAINED
                if is_drained
                else events.DOMAIN_DRAIN_UNDONE,
                failure_domain=domain,
                drained=sorted(drained),
                source=source.value,
                era=self._raw.drained.era,
            )

    def on_servers_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the servers' entries."""
        self.peer_revision = ""
        self._raw.servers_read_s = reading.called_s
        self.apply_servers(
            reading.values(),
            reading.is_snapshot,
            reading.called_s,
            reading.after_outage,
            _era_number(reading.era),
        )
        self._shared.observe_versions()

    def on_suspects_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the nodes' reports on crashes and limits."""
        self.peer_revision = ""
        era = _era_number(reading.era)
        is_restored = config_order.NO_ERA < self._suspects_era < era
        self._suspects_era = era
        for lifetime, value in reading.values().items():
            try:
                counts = decoding.decode_json(
                    value or b"{}", type=dict[str, int]
                )
            except msgspec.DecodeError as error:
                events.log(
                    events.FRAME_REFUSED, member=lifetime, problem=str(error)
                )
                continue
            if is_restored:
                # The copy may hold older reports than this node knows.
                known = self._raw.suspects.get(lifetime, {})
                counts = {
                    name: max(known.get(name, 0), counts.get(name, 0))
                    for name in known.keys() | counts.keys()
                }
            self.merge_suspects(lifetime, counts)
        if reading.is_snapshot:
            self._record_all_suspects()

    def _record_all_suspects(self) -> None:
        self._raw.record_all_suspects()
        self._shared.software_versions.is_complete = True

    def confirm_config(self, confirmed_s: float) -> None:
        """Record that the store had no newer configuration at a time."""
        confirmed_s = max(confirmed_s, self._raw.config_confirmed_s)
        self._shared.config_confirmed_s = confirmed_s
        self._raw.config_confirmed_s = confirmed_s

    def apply_servers(
        self,
        changed: dict[str, bytes | None],
        is_snapshot: bool,
        confirmed_s: float,
        after_outage: bool,
        era: int = config_order.NO_ERA,
    ) -> None:
        """Apply server entries that were read from the store or a peer.

        Args:
            changed: Entries by server, as stored; None for a removed one.
            is_snapshot: Whether these are all entries and not only changes.
            confirmed_s: Boot time at which the store confirmed them.
            after_outage: Whether the store was unreachable until recently.
            era: Era of the store.
        """
        now_s = time.monotonic()
        is_restored = config_order.NO_ERA < self._raw.servers_era < era
        if is_restored:
            # Servers write the entries again that the copy lacks.
            self._outage_end_s = confirmed_s
            self._shared.list_waits.mark_gap()
        self._raw.servers_era = era
        decoded = []
        content = {} if is_snapshot else dict(self._entry_content)
        for server_id, value in changed.items():
            if value is None:
                content.pop(server_id, None)
                continue
            result = server_entries.decode(server_id, value)
            if result.is_error():
                events.log(
                    events.SERVER_ENTRY_REFUSED,
                    server=server_id,
                    error=str(result.error),
                )
                content[server_id] = value
                continue
            server = self._with_cold_end(result.ok)
            decoded.append(server)
            content[server_id] = self._content_of(server)
        self._raw.after_outage = after_outage
        self._mark_changed_entries(content)
        restore_until_s = self._restore_until_s(confirmed_s, after_outage)
        directory = self._shared.directory
        if is_snapshot:
            changes = directory.replace_all(
                decoded, now_s, restore_until_s, is_restored
            )
            self._raw.servers = {
                key: value for key, value in changed.items() if value
            }
        else:
            changes = [directory.report(s, now_s, is_restored) for s in decoded]
            for server_id, value in changed.items():
                if value is not None:
                    self._raw.servers[server_id] = value
                    continue
                self._raw.servers.pop(server_id, None)
                changes.append(
                    directory.remove(server_id, restore_until_s, now_s)
                )
        self._record_changes(changes, confirmed_s)

    def _with_cold_end(
        self, server: types.BackendServer
    ) -> types.BackendServer:
        """Return a server with the end of the cold time that it states."""
        if not server.cold_left_s:
            return server
        return server._replace(
            cold_until_s=self._shared.time_of_day() + server.cold_left_s
        )

    def _content_of(self, server: types.BackendServer) -> types.BackendServer:
        """Return what peers are told of a server."""
        known = self._entry_content.get(server.server_id)
        known_until_s = 0.0
        is_known = isinstance(known, types.BackendServer)
        if is_known and known.lifetime == server.lifetime:
            known_until_s = known.cold_until_s
        return server._replace(
            sequence=0,
            leaves_in_s=None,
            cold_left_s=0.0,
            cold_until_s=slow_start.passed_on_until_s(
                known_until_s, server.cold_until_s, self._shared.time_of_day()
            ),
        )

    def _restore_until_s(
        self, confirmed_s: float, after_outage: bool
    ) -> float | None:
        """Return until when servers may restore entries that are missing.

        None if they have left: the store may have rejected only the calls of
        this node or its relay. If other nodes confirmed the entries meanwhile,
        the store was there for the servers too.
        """
        unconfirmed_s = confirmed_s - self._raw.servers_confirmed_s
        if after_outage and unconfirmed_s >= self._min_lapse_s:
            self._outage_end_s = confirmed_s
        until_s = self._outage_end_s + server_directory.RESTORE_GRACE_S
        if confirmed_s >= until_s:
            return None
        # The directory goes by the monotonic clock.
        return until_s - leases.boottime_s() + time.monotonic()

    def _mark_changed_entries(
        self, content: dict[str, types.BackendServer | bytes]
    ) -> None:
        known, self._entry_content = self._entry_content, content
        for server_id in known.keys() | content.keys():
            if known.get(server_id) != content.get(server_id):
                self._raw.mark_changed(peer_state.Content.SERVER, server_id)

    def set_nodes(self, nodes: dict[str, str]) -> None:
        """Record the known nodes, to serve them to peers."""
        if nodes != self._raw.nodes:
            self._raw.nodes = nodes
            self._raw.mark_changed(peer_state.Content.NODES)

    def set_own_suspects(self, counts: dict[str, int]) -> None:
        """Record the reports of this node, to serve them to peers."""
        self._store_suspects(self._lifetime, counts)

    def merge_suspects(self, lifetime: str, counts: dict[str, int]) -> None:
        """Merge the reports of one lifetime of another node.

        Peers also return this node's own counts, which it has already.
        """
        if lifetime == self._lifetime:
            return
        if self._store_suspects(lifetime, counts):
            self._shared.merge_reports(lifetime, counts)

    def _store_suspects(self, lifetime: str, counts: dict[str, int]) -> bool:
        """Store counts to serve them to peers; returns whether they changed."""
        if self._raw.suspects.get(lifetime, {}) == counts:
            return False
        self._raw.suspects[lifetime] = counts
        while len(self._raw.suspects) > MAX_LIFETIMES:
            self._raw.suspects.pop(next(iter(self._raw.suspects)))
        self._raw.mark_changed(peer_state.Content.SUSPECTS, lifetime)
        return True

    def apply_peer_state(
        self, state: peer_state.PeerState, received_s: float
    ) -> None:
        """Apply the state of a peer that the store has confirmed recently.

        Args:
            state: The state; its ages include the duration of the request.
            received_s: Boot time at which it was received.
        """
        for lifetime, counts in (state.suspects or {}).items():
            self.merge_suspects(lifetime, counts)
        if state.has_all_suspects:
            self._record_all_suspects()
        if state.nodes is not None:
            self.set_nodes(state.nodes)
            if self._deliver_nodes is not None:
                self._deliver_nodes(state.nodes)
        has_changed = self._raw.drained.apply_peer(
            state.drained_domains,
            state.drained_era,
            received_s - state.config_age_s,
        )
        if has_changed:
            self._set_drained(config_feed.Source.PEER)
        has_config = self._apply_peer_config(state, received_s)
        has_servers = self._apply_peer_servers(state, received_s)
        # Content that was not applied has to be requested again.
        self.peer_revision = (
            state.revision if has_config and has_servers else ""
        )

    def _apply_peer_config(
        self, state: peer_state.PeerState, received_s: float
    ) -> bool:
        """Apply a peer's configuration; returns whether this node has it."""
        is_other = state.config_digest not in ("", self._raw.config_digest)
        if state.config is None and is_other:
            # It is fetched apart.
            return True
        # A peer that has no configuration yet returns an empty one.
        if state.config_age_s >= intervals.FRESH_S or state.config == "":
            return state.config is None
        value = None
        if state.config is not None:
            try:
                value = peer_state.decode_config(state)
            except (ValueError, zlib.error) as error:
                events.log(
                    events.FRAME_REFUSED, member="relay", problem=str(error)
                )
                return False
        self.confirm_config(received_s - state.config_age_s)
        if value is None:
            value = self._raw.config
        if value:
            self._configs.apply(
                value,
                config_feed.Source.PEER,
                state.config_era,
                state.config_written_era,
            )
        return True

    def apply_fetched_config(
        self, value: bytes, era: int, written_era: int
    ) -> None:
        """Apply a configuration that was fetched from a peer.

        Args:
            value: The configuration as stored.
            era: Last era in which the store showed it.
            written_era: Era in which it is known to have been written.
        """
        self._configs.apply(value, config_feed.Source.PEER, era, written_era)

    def _apply_peer_servers(
        self, state: peer_state.PeerState, received_s: float
    ) -> bool:
        """Apply a peer's server entries; returns whether this node has them."""
        confirmed_s = received_s - state.servers_age_s
        if config_order.NO_ERA < state.servers_era < self._raw.servers_era:
            return False
        era = max(state.servers_era, self._raw.servers_era)
        if not self._has_base_of(state):
            return False
        if state.servers_age_s >= intervals.FRESH_S:
            return state.servers is None
        self._raw.peer_server_readings += (
            confirmed_s > self._raw.servers_confirmed_s
        )
        if state.servers is None:
            self._raw.servers_era = era
            self._record_changes(
                [], max(confirmed_s, self._raw.servers_confirmed_s)
            )
            return True
        if confirmed_s <= self._raw.servers_confirmed_s:
            # This node's entries are newer; the older ones would add servers
            # back that have left since.
            return False
        self.apply_servers(
            {
                key: None if value is None else base64.b64decode(value)
                for key, value in state.servers.items()
            },
            state.is_complete,
            confirmed_s,
            state.after_outage,
            era,
        )
        return True

    def _has_base_of(self, state: peer_state.PeerState) -> bool:
        """Return whether a peer's entries lead to those that it has.

        This node may have read the store itself since it asked for changes, and
        an answer of the store may be older than what the peer told before.
        """
        if state.servers is not None and state.is_complete:
            return True
        return state.base_revision in (None, self.peer_revision)

    def expire(self) -> None:
        """Drop expired entries, and apply a configuration that has waited."""
        self._configs.release()
        changes = self._shared.directory.expire(time.monotonic())
        if changes:
            self._record_changes(changes, self._raw.servers_confirmed_s)

    def _record_changes(self, changes, confirmed_s: float) -> None:
        self._shared.list_waits.confirm(confirmed_s)
        self._raw.servers_confirmed_s = confirmed_s
        for change in changes:
            if change is not None:
                events.log(
                    events.SERVER_CHANGED,
                    server=change.server_id,
                    change=change.kind,
                )


def _era_number(era: int | None) -> int:
    """Return an era as a number that orders before those of later eras."""
    return config_order.NO_ERA if era is None else era
