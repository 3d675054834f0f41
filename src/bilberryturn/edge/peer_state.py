"""Serve the state received from the store to peers, and only what they lack."""

import base64
import collections
import enum
import hashlib
import secrets
from typing import NamedTuple
import zlib

import msgspec

from bilberryturn import leases
from bilberryturn.edge import config_change
from bilberryturn.edge import config_order
from bilberryturn.edge import drained_domains

CONFIG_DIGEST_BYTES = 12
# Changes retained for peers that know an earlier revision. More than the
# restart of all servers of the largest deployment causes between two polls.
MAX_CHANGES = 2000
# Earlier configurations from which changes are told: a node polls at least once
# within the time in which an operator writes as many.
MAX_EARLIER_CONFIGS = 4
# Compressed size up to which a poll brings a configuration: less than the
# entries of twenty servers.
MAX_POLLED_CONFIG_BYTES = 4096


class PeerState(msgspec.Struct, omit_defaults=True):
    """Platform state that a node returns to a peer.

    Attributes:
        revision: Changes with the configuration, the drained failure domains,
            the content of the entries, the known nodes and the reports; not
            with mere heartbeats of servers.
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
        suspects: Reports on crashes and limits for each lifetime of a node;
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
        servers_era: Era of the store in which the entries were confirmed.
        config_era: Last era in which the store showed the configuration.
        config_written_era: Era in which the configuration is known to have been
            written.
        drained_domains: All drained failure domains, as the store confirmed
            them together with the configuration; None if they are unknown.
        drained_era: Era of the store in which they were confirmed.
        config_digest: Digest of the configuration that the node has; "" if the
            peer has the same, or the node has none.
        config_version: The operator's number of that configuration.
        has_all_suspects: Whether the peer has all reports that the store holds
            now. Sent with everything and once they are read.
        base_revision: Revision that the peer named, to which changes refer;
            None from nodes of an earlier version.
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
    servers_era: int = config_order.NO_ERA
    config_era: int = config_order.NO_ERA
    config_written_era: int = config_order.NO_ERA
    drained_domains: list[str] | None = None
    drained_era: int = config_order.NO_ERA
    config_digest: str = ""
    config_version: int = 0
    has_all_suspects: bool = False
    base_revision: str | None = None


class Known(NamedTuple):
    """What a peer that polls this node has already, and what it accepts.

    Attributes:
        revision: Revision of this node's content that the peer has; "" if
            none.
        config_digest: Digest of the peer's configuration; "" if none.
        accepts_changes: Whether it accepts the changes since its revision in
            place of the whole content.
        accepts_compressed: Whether it accepts a compressed configuration.
        fetches_config: Whether it fetches a large configuration apart.
        in_force: The peer's configuration; None if none. Not sent.
    """

    revision: str
    config_digest: str = ""
    accepts_changes: bool = False
    accepts_compressed: bool = False
    fetches_config: bool = False
    in_force: config_order.Candidate | None = None


class Content(enum.Enum):
    """Kinds of content that a node passes on to its peers."""

    CONFIG = enum.auto()
    SERVER = enum.auto()
    SUSPECTS = enum.auto()
    NODES = enum.auto()
    DRAINED = enum.auto()
    ALL_SUSPECTS = enum.auto()


class _Change(NamedTuple):
    """One change of the content; the key names a server or a lifetime."""

    number: int
    content: Content
    key: str


class RawState:
    """Caches the state as stored, to serve it to peers.

    Times of readings and confirmations are boot times, which go on while the
    machine is suspended.

    Attributes:
        peer_configs: Number of configurations that came from a peer.
        peer_server_readings: Number of a peer's readings of the servers'
            entries that were later than this node's own.
    """

    def __init__(self):
        self.config = b""
        self.config_digest = ""
        # By the digest of a peer's configuration, "" for all of this node's;
        # created for the first peer that needs it.
        self._config_changes: dict[str, config_change.Change] = {}
        self._earlier_configs: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.servers: dict[str, bytes] = {}
        self.nodes: dict[str, str] = {}
        self.after_outage = False
        self.config_confirmed_s = -1e9
        self.servers_confirmed_s = -1e9
        self.config_read_s = -1e9
        self.servers_read_s = -1e9
        self.peer_configs = 0
        self.peer_server_readings = 0
        self.servers_era = config_order.NO_ERA
        self.config_order = config_order.ConfigOrder()
        self.drained = drained_domains.DrainedDomains()
        self.suspects: dict[str, dict[str, int]] = {}
        self.has_all_suspects = False
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

    def record_all_suspects(self) -> None:
        """Record that the reports which the store holds are known."""
        if self.has_all_suspects:
            return
        self.has_all_suspects = True
        self.mark_changed(Content.ALL_SUSPECTS)

    def set_config(self, value: bytes) -> None:
        """Set the configuration, as stored."""
        if self.config:
            self._earlier_configs[self.config_digest] = self.config
        while len(self._earlier_configs) > MAX_EARLIER_CONFIGS:
            self._earlier_configs.popitem(last=False)
        self.config = value
        self.config_digest = digest(value)
        self._config_changes = {}
        self.mark_changed(Content.CONFIG)

    def state(self, known: Known) -> PeerState:
        """Return the state, without content that a peer already has."""
        now_s = leases.boottime_s()
        state = PeerState(
            self.revision,
            None,
            None,
            now_s - self.config_confirmed_s,
            now_s - self.servers_confirmed_s,
            now_s - self.config_read_s,
            now_s - self.servers_read_s,
            after_outage=self.after_outage,
            servers_era=self.servers_era,
            base_revision=known.revision,
        )
        in_force = self.config_order.current
        if in_force is not None:
            state.config_era = in_force.era
            state.config_written_era = in_force.written_era
            if known.config_digest != self.config_digest:
                state.config_digest = self.config_digest
                state.config_version = in_force.version
        drained = self.drained
        # A peer of an older version may have confirmed the configuration since,
        # but not the drained failure domains.
        is_confirmed = drained.confirmed_s >= self.config_confirmed_s
        if drained.domains is not None and is_confirmed:
            state.drained_domains = sorted(drained.domains)
            state.drained_era = drained.era
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
        compressed = self.config_change("").text
        is_large = len(compressed) > MAX_POLLED_CONFIG_BYTES
        if known.fetches_config and is_large:
            return state
        return msgspec.structs.replace(
            state,
            config=base64.b64encode(compressed).decode(),
            is_config_compressed=True,
        )

    def config_change(self, base_digest: str) -> config_change.Change:
        """Return what leads from a peer's configuration to this node's.

        Args:
            base_digest: Digest of the peer's; "" for all of this node's.
        """
        base = self._earlier_configs.get(base_digest)
        if not base:
            base_digest = ""
        change = self._config_changes.get(base_digest)
        if change is None:
            change = self._config_changes[base_digest] = (
                config_change.between(base, base_digest, self.config)
                if base
                else config_change.whole(self.config)
            )
        return change

    def _with_everything(self, state: PeerState, known: Known) -> PeerState:
        return msgspec.structs.replace(
            self._with_config(state, known),
            servers={key: self._entry(key) for key in self.servers},
            suspects=dict(self.suspects),
            has_all_suspects=self.has_all_suspects,
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
            has_all_suspects=bool(keys[Content.ALL_SUSPECTS]),
            nodes=dict(self.nodes) if keys[Content.NODES] else None,
        )

    def _entry(self, server_id: str) -> str | None:
        value = self.servers.get(server_id)
        return None if value is None else base64.b64encode(value).decode()


def digest(config: bytes) -> str:
    """Return a digest of a configuration as stored."""
    return hashlib.blake2b(config, digest_size=CONFIG_DIGEST_BYTES).hexdigest()


def decode_config(state: PeerState) -> bytes:
    """Return the configuration of a peer's state, as stored.

    Raises:
        ValueError: It is not valid Base64.
        zlib.error: It cannot be decompressed.
    """
    value = base64.b64decode(state.config)
    return zlib.decompress(value) if state.is_config_compressed else value
