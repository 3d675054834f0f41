"""Follow the platform's store and bring what changed to the event loop."""

import asyncio
import base64
from collections.abc import Callable
import random
import secrets
import threading
import time

import expression
import msgspec

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.gateway import beliefs
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import operator_config
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries

# Lifetimes whose crashes are remembered.
MAX_LIFETIMES = 1000
# Added to the wait for the path and a slow store.
CALL_TIMEOUT_S = 1.0
# Pause after a call that failed; it doubles up to the longest, which leaves
# time for a few calls before a configuration must be in force.
RETRY_S = 0.3
LONGEST_RETRY_S = 1.2
PAUSE_CHECK_S = 0.5
# Peers are asked after the store has been silent for this time.
ASK_PEERS_AFTER_S = 1.0
# What a peer has heard within this time is as good as the store's word.
FRESH_S = 3.0


class PeerState(msgspec.Struct):
    """Holds what one node tells another about the platform.

    Attributes:
        revision: Changes with the two fields that follow.
        config: The operator's configuration as written, in Base64; None if
            the asker has this revision.
        servers: Entry of each server as written, in Base64, or None.
        config_age_s: Time since the store confirmed the configuration.
        servers_age_s: Time since the store confirmed the entries.
        config_read_age_s: Time since the node itself last read the
            configuration from the store.
        servers_read_age_s: The same for the entries.
        suspects: Crashes by fingerprint that each lifetime of a node
            counted, or None.
    """

    revision: str
    config: str | None
    servers: dict[str, str] | None
    config_age_s: float
    servers_age_s: float
    config_read_age_s: float
    servers_read_age_s: float
    suspects: dict[str, dict[str, int]] | None = None


class Raw:
    """Keeps what the store said as written, to tell it to peers."""

    def __init__(self):
        self.config = b""
        self.servers: dict[str, bytes] = {}
        self.config_heard_s = -1e9
        self.servers_heard_s = -1e9
        self.config_read_s = -1e9
        self.servers_read_s = -1e9
        self.suspects: dict[str, dict[str, int]] = {}
        self._lifetime = secrets.token_hex(4)
        self._changes = 0

    @property
    def revision(self) -> str:
        """Return what names the present content."""
        return f"{self._lifetime}.{self._changes}"

    def changed(self) -> None:
        """Note that the content has changed."""
        self._changes += 1

    def state(self, known: str) -> PeerState:
        """Return the state for a peer that knows a revision."""
        now_s = time.monotonic()
        config = servers = suspects = None
        if known != self.revision:
            config = base64.b64encode(self.config).decode()
            servers = {
                key: base64.b64encode(value).decode()
                for key, value in self.servers.items()
            }
            suspects = dict(self.suspects)
        return PeerState(
            self.revision,
            config,
            servers,
            now_s - self.config_heard_s,
            now_s - self.servers_heard_s,
            now_s - self.config_read_s,
            now_s - self.servers_read_s,
            suspects,
        )


class Applier:
    """Applies what was heard; runs on the event loop only."""

    def __init__(self, shared: beliefs.Shared, raw: Raw):
        self._shared = shared
        self._raw = raw

    def config(self, value: bytes, heard_s: float, source: str) -> None:
        """Put a configuration in force unless it is older."""
        shared = self._shared
        shared.config_heard_s = heard_s
        self._raw.config_heard_s = heard_s
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
        self._raw.config = value
        self._raw.changed()
        shared.table = table
        metrics.set_gauge(metrics.CONFIG_VERSION, {}, float(table.version))
        events.log(
            events.CONFIG_APPLIED,
            version=table.version,
            previous=previous,
            source=source,
        )

    def config_confirmed(self, heard_s: float) -> None:
        """Note that the store knows of no newer configuration."""
        heard_s = max(heard_s, self._raw.config_heard_s)
        self._shared.config_heard_s = heard_s
        self._raw.config_heard_s = heard_s

    def servers(
        self,
        changed: dict[str, bytes | None],
        is_snapshot: bool,
        heard_s: float,
        after_outage: bool,
    ) -> None:
        """Take changed entries, or all of them."""
        now_s = time.monotonic()
        if self._are_news(changed, is_snapshot):
            self._raw.changed()
        decoded = []
        for server_id, value in changed.items():
            if value is None:
                continue
            result = server_entries.decode(server_id, value)
            if result.is_error():
                events.log(
                    events.SERVER_ENTRY_REFUSED,
                    server=server_id,
                    error=str(result.error),
                )
                continue
            decoded.append(result.ok)
        directory = self._shared.directory
        if is_snapshot:
            changes = directory.replace_all(decoded, now_s, after_outage)
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
                changes.append(directory.remove(server_id, now_s, after_outage))
        self._note(changes, heard_s)

    def _are_news(
        self, changed: dict[str, bytes | None], is_snapshot: bool
    ) -> bool:
        """Return whether those that ask this node must be told."""
        known = self._raw.servers
        if is_snapshot and changed.keys() != known.keys():
            return True
        return any(
            _is_news(server_id, known.get(server_id), value)
            for server_id, value in changed.items()
        )

    def suspects(self, lifetime: str, counts: dict[str, int]) -> None:
        """Take the crashes that another node has counted."""
        if self._raw.suspects.get(lifetime, {}) == counts:
            return
        self._raw.suspects[lifetime] = counts
        while len(self._raw.suspects) > MAX_LIFETIMES:
            self._raw.suspects.pop(next(iter(self._raw.suspects)))
        self._raw.changed()
        now_s = time.monotonic()
        for print_, count in counts.items():
            self._shared.suspects.merge(print_, lifetime, count, now_s)

    def suspect_rows(self, changed: dict[str, bytes | None]) -> None:
        """Take changed rows of crashes."""
        for lifetime, value in changed.items():
            try:
                counts = msgspec.json.decode(
                    value or b"{}", type=dict[str, int]
                )
            except msgspec.DecodeError as error:
                events.log(
                    events.FRAME_REFUSED, member=lifetime, problem=str(error)
                )
                continue
            self.suspects(lifetime, counts)

    def peer(self, state: PeerState) -> None:
        """Take what a peer heard from the store lately."""
        for lifetime, counts in (state.suspects or {}).items():
            self.suspects(lifetime, counts)
        now_s = time.monotonic()
        config_heard_s = now_s - state.config_age_s
        servers_heard_s = now_s - state.servers_age_s
        if state.config_age_s < FRESH_S:
            if state.config:
                value = base64.b64decode(state.config)
                self.config(value, config_heard_s, "peer")
            elif state.config is None:
                self.config_confirmed(config_heard_s)
        if state.servers_age_s >= FRESH_S:
            return
        if servers_heard_s <= self._raw.servers_heard_s:
            # What this node knows is newer; a server that has left since
            # would come back.
            return
        if state.servers is None:
            self._note([], servers_heard_s)
            return
        self.servers(
            {k: base64.b64decode(v) for k, v in state.servers.items()},
            True,
            servers_heard_s,
            False,
        )

    def tick(self) -> None:
        """Drop lapsed entries."""
        changes = self._shared.directory.expire(time.monotonic())
        if changes:
            self._note(changes, self._shared.servers_heard_s)

    def _note(self, changes, heard_s: float) -> None:
        self._shared.servers_heard_s = heard_s
        self._raw.servers_heard_s = heard_s
        for change in changes:
            if change is not None:
                events.log(
                    events.SERVER_CHANGED,
                    server=change.server_id,
                    change=change.what,
                )


def _is_news(server_id: str, known: bytes | None, value: bytes | None) -> bool:
    """Return whether an entry says more than that its server lives."""
    if known == value:
        return False
    if known is None or value is None:
        return True
    old = server_entries.decode(server_id, known)
    new = server_entries.decode(server_id, value)
    if old.is_error() or new.is_error():
        return True
    return old.ok._replace(sequence=0) != new.ok._replace(sequence=0)


class Outage:
    """Notes when the store was away, for one kind of call."""

    def __init__(self, name: str):
        self._name = name
        self._failing_since_s: float | None = None
        self._mended_s = -1e9

    def failed(self, error: exceptions.PlatformError) -> None:
        """Note a call that failed."""
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
            events.log(
                events.PLATFORM_UNREACHABLE,
                interface=self._name,
                error=str(error),
            )

    def worked(self) -> None:
        """Note a call that worked."""
        if self._failing_since_s is None:
            return
        now_s = time.monotonic()
        events.log(
            events.PLATFORM_REACHABLE,
            interface=self._name,
            away_s=round(now_s - self._failing_since_s, 3),
        )
        self._failing_since_s = None
        self._mended_s = now_s

    def lasts_s(self) -> float:
        """Return how long calls have failed, 0 if they work."""
        if self._failing_since_s is None:
            return 0.0
        return time.monotonic() - self._failing_since_s

    def is_recent(self) -> bool:
        """Return whether the store was away until just now."""
        return time.monotonic() - self._mended_s < FRESH_S


class Follower:
    """Follows one table of the store on a thread of its own."""

    def __init__(
        self,
        table: str,
        store_address: str,
        wait_s: float,
        pause_s: float,
        source_ip: str,
        deliver: Callable[[rows.Changes, bool, bool, float], None],
    ):
        """Set what to follow.

        Args:
            table: Table of the store.
            store_address: HOST:PORT.
            wait_s: How long the store may hold a call back.
            pause_s: Pause between calls.
            source_ip: IP to call from.
            deliver: Takes the changes, whether they are a snapshot,
                whether the store was away just before, and the monotonic
                time of the call.
        """
        client = http.HttpClient(
            "store", store_address, wait_s + CALL_TIMEOUT_S, source_ip
        )
        self._store = rows.RowStore(client)
        self._table = table
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._deliver = deliver
        self._since: int | None = None
        self._retry_s = RETRY_S
        self.outage = Outage(f"store/{table}")
        self.active = threading.Event()
        self.active.set()

    def run(self, stopping: threading.Event) -> None:
        """Follow until the node stops; pauses while a relay does."""
        while not stopping.is_set():
            if not self.active.wait(PAUSE_CHECK_S):
                continue
            result = self._step()
            pause_s = self._pause_s
            if result.is_error():
                pause_s = self._handle(result.error)
            stopping.wait(pause_s)

    def _step(self) -> expression.Result:
        is_snapshot = self._since is None
        called_s = time.monotonic()
        if is_snapshot:
            result = self._store.snapshot(self._table)
        else:
            result = self._store.follow(self._table, self._since, self._wait_s)
        if result.is_ok():
            self.outage.worked()
            self._retry_s = RETRY_S
            self._since = result.ok.version
            self._deliver(
                result.ok, is_snapshot, self.outage.is_recent(), called_s
            )
        return result

    def _handle(self, error: exceptions.PlatformError) -> float:
        """Note a failed call; returns how long to wait."""
        if isinstance(error, exceptions.HistoryLostError):
            events.log(events.STORE_HISTORY_LOST, table=self._table)
            self._since = None
            return 0.0
        self.outage.failed(error)
        pause_s = self._retry_s * random.uniform(0.7, 1.3)
        self._retry_s = min(2 * self._retry_s, LONGEST_RETRY_S)
        return pause_s


def on_loop(loop: asyncio.AbstractEventLoop, function: Callable) -> Callable:
    """Return a function that runs another on the event loop."""

    def call(*arguments) -> None:
        try:
            loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The loop has closed: the node stops and nobody needs the news.
            pass

    return call
