"""Cache the state received from the store and from peers; apply changes."""

import base64
import collections
from collections.abc import Callable
import enum
import hashlib
import math
import secrets
import time
from typing import NamedTuple
import zlib

import msgspec

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.gateway import shared_state
from bilberryturn.platform import decoding
from bilberryturn.platform import operator_config
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries
from bilberryturn.platform import settings_file
from bilberryturn.routing import directory as server_directory
from bilberryturn.routing import types

CONFIG_DIGEST_BYTES = 12
# Node lifetimes whose crash counts are retained.
MAX_LIFETIMES = 1000
# Changes retained for peers that know an earlier revision. More than the
# restart of all servers of the largest deployment causes between two polls.
MAX_CHANGES = 2000


class PeerState(msgspec.Struct):
    """Platform state that a node returns to a peer.

    Attributes:
        revision: Changes with the configuration, the content of the entries,
            the known nodes and the crash counts; not with mere heartbeats of
            servers.
        config: The operator's configuration as stored, in Base64; None if
            the peer already has it.
        is_config_compressed: Whether the configuration was compressed (zlib)
            before it was encoded.
        servers: Entry of each server as stored, in Base64; None for a removed
            one. None as a whole if the peer already has all entries.
        config_age_s: Seconds since the store confirmed the configuration.
        servers_age_s: Seconds since the store confirmed the entries.
        config_read_age_s: Seconds since the node itself last read the
            configuration from the store.
        servers_read_age_s: Seconds since the node itself last read the
            entries from the store.
        suspects: Crash counts by fingerprint for each lifetime of a node;
            None if the peer already has them.
        is_complete: Whether servers and suspects hold everything, and not
            only what changed since the peer's revision.
        after_outage: Whether the store was unreachable until shortly before
            the node read the entries; servers may then restore theirs.
        nodes: Address of each known node by key; None if the peer already has
            them.
        store_s: The store's steady clock when the node responded; None if
            unknown.
        utc_offset_s: The shared time of day minus the store's clock; None if
            unknown.
    """

    revision: str
    config: str | None
    servers: dict[str, str | None] | None
    config_age_s: float
    servers_age_s: float
    config_read_age_s: float
    servers_read_age_s: float
    suspects: dict[str, dict[str, int]] | None = None
    is_complete: bool = True
    after_outage: bool = False
    nodes: dict[str, str] | None = None
    store_s: float | None = None
    utc_offset_s: float | None = None
    is_config_compressed: bool = False


class Known(NamedTuple):
    """What a peer that polls this node has already, and what it accepts.

    Attributes:
        revision: Revision of this node's content that the peer has; "" if
            none.
        config_digest: Digest of the peer's configuration; "" if none.
        accepts_changes: Whether it accepts the changes since its revision in
            place of the whole content.
        accepts_compressed: Whether it accepts a compressed configuration.
    """

    revision: str
    config_digest: str = ""
    accepts_changes: bool = False
    accepts_compressed: bool = False


class Content(enum.Enum):
    """Kinds of content that a node passes on to its peers."""

    CONFIG = enum.auto()
    SERVER = enum.auto()
    SUSPECTS = enum.auto()
    NODES = enum.auto()


class _Change(NamedTuple):
    """One change of the content; the key names a server or a lifetime."""

    number: int
    content: Content
    key: str


class RawState:
    """Caches the state as stored, to serve it to peers."""

    def __init__(self):
        self.config = b""
        self.config_digest = ""
        # Created for the first peer that needs it.
        self._compressed_config: bytes | None = None
        self.servers: dict[str, bytes] = {}
        self.nodes: dict[str, str] = {}
        self.after_outage = False
        self.config_confirmed_s = -1e9
        self.servers_confirmed_s = -1e9
        self.config_read_s = -1e9
        self.servers_read_s = -1e9
        self.suspects: dict[str, dict[str, int]] = {}
        self._lifetime = secrets.token_hex(4)
        self._change_count = 0
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=MAX_CHANGES
        )

    @property
    def revision(self) -> str:
        """Return the revision of the present content."""
        return f"{self._lifetime}.{self._change_count}"

    def mark_changed(self, content: Content, key: str = "") -> None:
        """Start a new revision after a change of the content."""
        self._change_count += 1
        self._changes.append(_Change(self._change_count, content, key))

    def set_config(self, value: bytes) -> None:
        """Set the configuration, as stored."""
        self.config = value
        self.config_digest = hashlib.blake2b(
            value, digest_size=CONFIG_DIGEST_BYTES
        ).hexdigest()
        self._compressed_config = None
        self.mark_changed(Content.CONFIG)

    def state(self, known: Known) -> PeerState:
        """Return the state, without content that a peer already has."""
        now_s = time.monotonic()
        state = PeerState(
            self.revision,
            None,
            None,
            now_s - self.config_confirmed_s,
            now_s - self.servers_confirmed_s,
            now_s - self.config_read_s,
            now_s - self.servers_read_s,
            after_outage=self.after_outage,
        )
        if known.revision == self.revision:
            return state
        changes = self._changes_since(known.revision)
        if changes is None or not known.accepts_changes:
            return self._with_everything(state, known)
        return self._with_changes(state, changes, known)

    def _changes_since(self, revision: str) -> list[_Change] | None:
        """Return the changes since a revision; None if it is not known."""
        lifetime, _, number = revision.partition(".")
        if lifetime != self._lifetime or not number.isdigit():
            return None
        first = self._change_count - len(self._changes)
        if not first <= int(number) <= self._change_count:
            return None
        return [c for c in self._changes if c.number > int(number)]

    def _with_config(self, state: PeerState, known: Known) -> PeerState:
        """Add the configuration unless the peer has it from another node.

        A large one would fill the link of a node that many others poll.
        """
        if known.config_digest and known.config_digest == self.config_digest:
            return state
        if not self.config or not known.accepts_compressed:
            return msgspec.structs.replace(
                state, config=base64.b64encode(self.config).decode()
            )
        if self._compressed_config is None:
            self._compressed_config = zlib.compress(self.config)
        return msgspec.structs.replace(
            state,
            config=base64.b64encode(self._compressed_config).decode(),
            is_config_compressed=True,
        )

    def _with_everything(self, state: PeerState, known: Known) -> PeerState:
        return msgspec.structs.replace(
            self._with_config(state, known),
            servers={key: self._entry(key) for key in self.servers},
            suspects=dict(self.suspects),
            nodes=dict(self.nodes),
        )

    def _with_changes(
        self, state: PeerState, changes: list[_Change], known: Known
    ) -> PeerState:
        keys: dict[Content, set[str]] = {kind: set() for kind in Content}
        for change in changes:
            keys[change.content].add(change.key)
        if keys[Content.CONFIG]:
            state = self._with_config(state, known)
        return msgspec.structs.replace(
            state,
            is_complete=False,
            servers=(
                {key: self._entry(key) for key in keys[Content.SERVER]}
                if keys[Content.SERVER]
                else None
            ),
            suspects={
                lifetime: self.suspects.get(lifetime, {})
                for lifetime in keys[Content.SUSPECTS]
            },
            nodes=dict(self.nodes) if keys[Content.NODES] else None,
        )

    def _entry(self, server_id: str) -> str | None:
        value = self.servers.get(server_id)
        return None if value is None else base64.b64encode(value).decode()


class Applier:
    """Applies received state to this node; runs on the event loop only."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        raw: RawState,
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
        self._min_lapse_s = server_directory.MISSED_HEARTBEATS * heartbeat_s
        # Monotonic time of the first confirmation of the entries after an
        # outage of the store.
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

    def known(self) -> Known:
        """Return what this node has of its peers' content."""
        return Known(
            self.peer_revision,
            self._raw.config_digest,
            accepts_changes=True,
            accepts_compressed=True,
        )

    def on_config_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the operator's table."""
        # The store may have held the call (long poll), so that the reading is
        # as recent as its answer.
        now_s = time.monotonic()
        self.peer_revision = ""
        self._raw.config_read_s = now_s
        self.confirm_config(now_s)
        value = reading.values().get(rows.CONFIG_KEY)
        if value is not None:
            self.apply_config(value, "store")

    def on_servers_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the servers' entries."""
        self.peer_revision = ""
        self._raw.servers_read_s = reading.called_s
        self.apply_servers(
            reading.values(),
            reading.is_snapshot,
            reading.called_s,
            reading.after_outage,
        )

    def on_suspects_read(self, reading: followers.Reading) -> None:
        """Apply a reading of the nodes' crash counts."""
        self.peer_revision = ""
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
            self.merge_suspects(lifetime, counts)

    def apply_config(self, value: bytes, source: str) -> None:
        """Apply a configuration unless it is older than the one in force."""
        shared = self._shared
        if value == self._raw.config:
            return
        result = operator_config.decode(value)
        if result.is_error():
            events.log(events.CONFIG_REFUSED, error=str(result.error))
            return
        table = result.ok
        previous = shared.table.version if shared.table else None
        if previous is not None and table.version < previous:
            return
        self._raw.set_config(value)
        shared.table = table
        metrics.set_gauge(metrics.CONFIG_VERSION, {}, float(table.version))
        events.log(
            events.CONFIG_APPLIED,
            version=table.version,
            previous=previous,
            source=source,
        )

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
    ) -> None:
        """Apply server entries that were read from the store or a peer.

        Args:
            changed: Entries by server, as stored; None for a removed one.
            is_snapshot: Whether these are all entries and not only changes.
            confirmed_s: Monotonic time at which the store confirmed them.
            after_outage: Whether the store was unreachable until recently.
        """
        now_s = time.monotonic()
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
            decoded.append(result.ok)
            content[server_id] = result.ok._replace(
                sequence=0, leaves_in_s=None
            )
        self._raw.after_outage = after_outage
        self._mark_changed_entries(content)
        restore_until_s = self._restore_until_s(confirmed_s, after_outage)
        directory = self._shared.directory
        if is_snapshot:
            changes = directory.replace_all(decoded, now_s, restore_until_s)
            self._raw.servers = {
                key: value for key, value in changed.items() if value
            }
        else:
            changes = [directory.report(s, now_s) for s in decoded]
            for server_id, value in changed.items():
                if value is not None:
                    self._raw.servers[server_id] = value
                    continue
                self._raw.servers.pop(server_id, None)
                changes.append(directory.remove(server_id, restore_until_s))
        self._record_changes(changes, confirmed_s)

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
        return until_s if confirmed_s < until_s else None

    def _mark_changed_entries(
        self, content: dict[str, types.BackendServer | bytes]
    ) -> None:
        known, self._entry_content = self._entry_content, content
        for server_id in known.keys() | content.keys():
            if known.get(server_id) != content.get(server_id):
                self._raw.mark_changed(Content.SERVER, server_id)

    def set_nodes(self, nodes: dict[str, str]) -> None:
        """Record the known nodes, to serve them to peers."""
        if nodes != self._raw.nodes:
            self._raw.nodes = nodes
            self._raw.mark_changed(Content.NODES)

    def set_own_suspects(self, counts: dict[str, int]) -> None:
        """Record the crash counts of this node, to serve them to peers."""
        self._store_suspects(self._lifetime, counts)

    def merge_suspects(self, lifetime: str, counts: dict[str, int]) -> None:
        """Merge the crash counts of one lifetime of another node.

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
        self._raw.mark_changed(Content.SUSPECTS, lifetime)
        return True

    def apply_peer_state(self, state: PeerState, received_s: float) -> None:
        """Apply the state of a peer that the store has confirmed recently.

        Args:
            state: The state; its ages include the duration of the request.
            received_s: Monotonic time at which it was received.
        """
        for lifetime, counts in (state.suspects or {}).items():
            self.merge_suspects(lifetime, counts)
        if state.nodes is not None:
            self.set_nodes(state.nodes)
            if self._deliver_nodes is not None:
                self._deliver_nodes(state.nodes)
        has_config = self._apply_peer_config(state, received_s)
        has_servers = self._apply_peer_servers(state, received_s)
        # Content that was not applied has to be requested again.
        self.peer_revision = (
            state.revision if has_config and has_servers else ""
        )

    def _apply_peer_config(self, state: PeerState, received_s: float) -> bool:
        """Apply a peer's configuration; returns whether this node has it."""
        # A peer that has no configuration yet returns an empty one.
        if state.config_age_s >= intervals.FRESH_S or state.config == "":
            return state.config is None
        value = None
        if state.config is not None:
            try:
                value = _decode_config(state)
            except (ValueError, zlib.error) as error:
                events.log(
                    events.FRAME_REFUSED, member="relay", problem=str(error)
                )
                return False
        self.confirm_config(received_s - state.config_age_s)
        if value is not None:
            self.apply_config(value, "peer")
        return True

    def _apply_peer_servers(self, state: PeerState, received_s: float) -> bool:
        """Apply a peer's server entries; returns whether this node has them."""
        confirmed_s = received_s - state.servers_age_s
        if state.servers_age_s >= intervals.FRESH_S:
            return state.servers is None
        if state.servers is None:
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
        )
        return True

    def expire(self) -> None:
        """Drop expired entries."""
        changes = self._shared.directory.expire(time.monotonic())
        if changes:
            self._record_changes(changes, self._shared.servers_confirmed_s)

    def _record_changes(self, changes, confirmed_s: float) -> None:
        self._shared.servers_confirmed_s = confirmed_s
        self._raw.servers_confirmed_s = confirmed_s
        for change in changes:
            if change is not None:
                events.log(
                    events.SERVER_CHANGED,
                    server=change.server_id,
                    change=change.kind,
                )


def _decode_config(state: PeerState) -> bytes:
    """Return the configuration of a peer's state, as stored."""
    value = base64.b64decode(state.config)
    return zlib.decompress(value) if state.is_config_compressed else value
