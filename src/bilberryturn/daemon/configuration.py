"""Keep the declarations of a node up to date and push them to peers."""

import collections
from collections.abc import Callable
import threading
import time

import msgspec

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn.declarations import changes
from bilberryturn.declarations import store

kinds = messages.kinds

RECENT_CHANGES = 300
REQUEST_INTERVAL_S = 0.5


class ConfigurationSync:
    """Applies and distributes declarations; the version never decreases."""

    def __init__(
        self,
        control: messages.ControlLoop,
        directory: membership.Directory,
        declaration_store: declarations.DeclarationStore,
        on_change: Callable[[declarations.Declarations], None],
    ):
        self._control = control
        self._directory = directory
        self._store = declaration_store
        self._on_change = on_change
        self._lock = threading.Lock()
        self._recent_changes: collections.deque[changes.Change] = (
            collections.deque(maxlen=RECENT_CHANGES)
        )
        self._last_request_s = 0.0
        self.current = declarations.Declarations()

    def _apply(
        self, newer: declarations.Declarations, log: list[changes.Change]
    ) -> bool:
        """Apply declarations if they are newer than the current ones.

        Returns:
            Whether they were applied.
        """
        with self._lock:
            previous_version = self.current.version
            if newer.version <= previous_version:
                return False
            self.current = newer
            self._recent_changes.extend(
                c for c in log if c.version > previous_version
            )
            # Called with the lock held, so that observers see the versions
            # in order.
            self._on_change(newer)
        metrics.set_gauge(metrics.CONFIG_VERSION, {}, newer.version)
        events.log(
            events.CONFIG_APPLIED,
            version=newer.version,
            previous=previous_version,
        )
        return True

    def poll(self) -> None:
        """Read new changes from the table service and push them; blocks."""
        result = self._store.catch_up(self.current)
        if result.is_error():
            return
        if self._apply(result.ok.declared, result.ok.log):
            self._control.submit(self._push, tuple(result.ok.log))

    def write_snapshot(self) -> None:
        """Store a snapshot if one is due; blocks."""
        self._store.write_snapshot(self.current)

    def apply_committed(self, change: changes.Change) -> None:
        """Apply a change that this node has committed, and push it."""
        newer = store.apply_changes(self.current, [change])
        if newer.version != change.version:
            self.poll()
            return
        if self._apply(newer, [change]):
            self._control.submit(self._push, (change,))

    def _push(self, log: tuple[changes.Change, ...]) -> None:
        """Send changes to the own domain and to other domains' relays."""
        message = self._push_message(log)
        for domain in self._directory.live_domains(time.monotonic()):
            for address in self._directory.relay_targets(domain):
                self._control.send(address, message)
        self._push_to_domain(message)

    def _push_message(self, log) -> kinds.ConfigPush:
        return kinds.ConfigPush(
            self._control.options.own_address,
            tuple(change.as_row() for change in log),
        )

    def _push_to_domain(self, message: kinds.ConfigPush) -> None:
        for member in self._directory.members.values():
            if member.name != self._directory.own_name:
                self._control.send(member.control_address, message)

    def receive_push(self, message: kinds.ConfigPush) -> None:
        """Apply changes from a peer.

        Changes from another domain are forwarded to the own one. If changes
        are missing in between, they are requested from the sender.
        """
        try:
            log = [changes.from_row(row) for row in message.changes]
        except msgspec.ValidationError as error:
            events.log(events.FRAME_REFUSED, problem=str(error))
            return
        if not log or log[-1].version <= self.current.version:
            return
        newer = store.apply_changes(self.current, log)
        if newer.version < log[-1].version:
            self._request(message.sender_address)
        if not self._apply(newer, log):
            return
        is_own_domain = message.sender_address in {
            m.control_address for m in self._directory.members.values()
        }
        if not is_own_domain:
            self._push_to_domain(self._push_message(log))

    def _request(self, address: str) -> None:
        now_s = time.monotonic()
        if now_s - self._last_request_s < REQUEST_INTERVAL_S:
            return
        self._last_request_s = now_s
        self._control.send(
            address,
            kinds.ConfigRequest(
                self._control.options.own_address, self.current.version
            ),
        )

    def request_newer(self, version: int, address: str) -> None:
        """Request the changes of a peer that has a higher version."""
        if version > self.current.version:
            self._request(address)

    def answer_request(self, message: kinds.ConfigRequest) -> None:
        """Send a peer the changes that it lacks, or the whole declarations."""
        current = self.current
        if message.after_version >= current.version:
            return
        log = [
            c for c in self._recent_changes if c.version > message.after_version
        ]
        if log and log[0].version == message.after_version + 1:
            self._control.send(message.reply_address, self._push_message(log))
            return
        self._control.send(
            message.reply_address,
            kinds.ConfigState(current.version, current.sections),
        )

    def receive_state(self, message: kinds.ConfigState) -> None:
        """Apply the whole declarations of a peer."""
        if message.version <= self.current.version:
            events.log(events.CONFIG_STALE, version=message.version)
            return
        newer = declarations.Declarations(message.version, message.sections)
        self._apply(newer, [])
