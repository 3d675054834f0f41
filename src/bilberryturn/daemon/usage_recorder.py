"""Record usage, replicate it to peers and flush it, also for lost peers."""

import threading
import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import usage
from bilberryturn.usage import ledger

kinds = messages.kinds

REPLICAS = 2
REPLICATION_TIMEOUT_S = 0.1
TAKEOVER_DELAY_S = 2.0
NODES_PER_SECOND_OF_FLUSH_INTERVAL = 50
MAX_BATCHES_PER_WRITE = 50


class ReplicationWait(NamedTuple):
    """A handle to wait until a peer has acknowledged a batch."""

    event: threading.Event

    def wait(self) -> None:
        """Wait for the acknowledgement, at most REPLICATION_TIMEOUT_S."""
        self.event.wait(REPLICATION_TIMEOUT_S)


class UsageRecorder:
    """Writes recorded usage to the table service exactly once."""

    def __init__(
        self,
        owner: str,
        own_ledger: usage.Ledger,
        store: usage.UsageStore,
        control: messages.ControlLoop,
        directory: membership.Directory,
    ):
        self._owner = owner
        self._ledger = own_ledger
        self._store = store
        self._control = control
        self._directory = directory
        self._lock = threading.Lock()
        self._pending_acks: dict[tuple[str, int], threading.Event] = {}
        self._lost_owners: dict[str, float] = {}
        self._next_flush_s = 0.0

    def record(
        self,
        client_account: str,
        profile: str,
        requests: int,
        input_tokens: int,
        output_tokens: int,
    ) -> ReplicationWait:
        """Add usage to the ledger and replicate its batch to peers."""
        row = ledger.UsageRow(
            client_account, profile, requests, input_tokens, output_tokens
        )
        batch = self._ledger.add(row, time.time())
        event = threading.Event()
        with self._lock:
            self._pending_acks[(batch.batch_id, batch.revision)] = event
        self._control.submit(self._replicate, batch, event)
        return ReplicationWait(event)

    def _replicate(
        self, batch: usage.Batch, event: threading.Event | None = None
    ) -> None:
        """Send a batch to the peers that rank first for its owner."""
        peers = [n for n in self._directory.members
                 if n != self._directory.own_name]  # fmt: skip
        holders = membership.rank(peers, f"usage/{batch.owner}")[:REPLICAS]
        if not holders and event is not None:
            with self._lock:
                self._pending_acks.pop((batch.batch_id, batch.revision), None)
            event.set()
        for name in holders:
            self._send_hold(
                self._directory.members[name].control_address, batch
            )

    def _send_hold(self, address: str, batch: usage.Batch) -> None:
        rows = tuple(tuple(row) for row in batch.rows)
        self._control.send(
            address,
            kinds.UsageHold(
                batch.owner,
                batch.batch_id,
                batch.window,
                batch.revision,
                rows,
                self._control.options.own_address,
            ),
        )

    def receive_hold(self, message: kinds.UsageHold) -> None:
        """Store a replica of a peer's batch and acknowledge it."""
        if message.owner == self._owner:
            return
        rows = tuple(ledger.UsageRow(*row) for row in message.rows)
        self._ledger.hold(
            ledger.Batch(
                message.batch_id,
                message.owner,
                message.window,
                message.revision,
                rows,
            )
        )
        if message.reply_address:
            self._control.send(
                message.reply_address,
                kinds.UsageHeld(message.batch_id, message.revision),
            )

    def receive_held(self, message: kinds.UsageHeld) -> None:
        """Wake the thread that waits for this acknowledgement."""
        with self._lock:
            event = self._pending_acks.pop(
                (message.batch_id, message.revision), None
            )
        if event is not None:
            event.set()

    def receive_flushed(self, message: kinds.UsageFlushed) -> None:
        """Remove batches that the table service has stored."""
        for batch_id in message.batch_ids:
            self._ledger.remove_flushed(batch_id)

    def flush(self, is_last: bool = False) -> bool:
        """Seal the open batch and store the sealed batches; blocks.

        The flush interval grows with the number of nodes in all domains;
        until the flush, peers hold replicas of the batches.

        Args:
            is_last: Whether to store everything now, before a shutdown.

        Returns:
            Whether no batch that is due is left unstored.
        """
        batches = self._ledger.seal()
        now_s = time.monotonic()
        if not is_last and now_s < self._next_flush_s:
            return True
        self._next_flush_s = now_s + self._flush_interval_s()
        stored_ids = self._flush_batches(batches)
        is_complete = len(stored_ids) == len(batches)
        if not is_complete:
            self._control.submit(
                self._replicate_all, self._ledger.unflushed_batches()
            )
        self._broadcast_flushed(stored_ids)
        self._trim_pending_acks()
        return is_complete

    def _flush_interval_s(self) -> float:
        """Return the minimum time between two flushes of this node."""
        nodes = len(self._directory.members) + sum(
            len(d.members) for d in self._directory.remote_domains.values()
        )
        return (nodes // NODES_PER_SECOND_OF_FLUSH_INTERVAL) * 1.0

    def _flush_batches(self, batches: list[usage.Batch]) -> list[str]:
        """Store batches, in one write if possible.

        Returns:
            The identifiers of the stored batches.
        """
        if len(batches) > 1:
            result = self._store.flush_together(batches[:MAX_BATCHES_PER_WRITE])
            if result.is_ok() and result.ok:
                stored = [b.batch_id for b in batches[:MAX_BATCHES_PER_WRITE]]
                for batch_id in stored:
                    self._ledger.remove_flushed(batch_id)
                remaining = batches[MAX_BATCHES_PER_WRITE:]
                return stored + self._flush_batches(remaining)
        stored_ids = []
        for batch in batches:
            if not self._flush_batch(batch):
                break
            stored_ids.append(batch.batch_id)
        return stored_ids

    def _replicate_all(self, batches: list[usage.Batch]) -> None:
        for batch in batches:
            self._replicate(batch)

    def _trim_pending_acks(self) -> None:
        """Bound the events whose acknowledgement never arrives."""
        with self._lock:
            while len(self._pending_acks) > 1000:
                self._pending_acks.pop(next(iter(self._pending_acks)))

    def _flush_batch(self, batch: usage.Batch) -> bool:
        window = self._ledger.window_of(time.time())
        result = self._store.flush(batch, window)
        if result.is_error():
            events.log(
                events.USAGE_FLUSH_FAILED,
                batch_id=batch.batch_id,
                error=str(result.error),
            )
            return False
        missing_rows = ledger.subtract_rows(batch.rows, result.ok.stored_rows)
        if missing_rows and batch.owner == self._owner:
            # While this node was frozen, a peer flushed an older revision of
            # the batch. Record the rows that it lacked again.
            for row in missing_rows:
                self._ledger.add(row, time.time())
        self._ledger.remove_flushed(batch.batch_id)
        return True

    def _broadcast_flushed(self, batch_ids: list[str]) -> None:
        if not batch_ids:
            return
        message = kinds.UsageFlushed(tuple(batch_ids))

        def send() -> None:
            for member in self._directory.members.values():
                if member.name != self._directory.own_name:
                    self._control.send(member.control_address, message)

        self._control.submit(send)

    def detect_lost_owners(self) -> None:
        """Detect lost owners and send their batches to all peers.

        Runs on the control thread. The peers exchange their replicas before
        the flush, so that the newest revision of each batch is flushed.
        """
        live_owners = {
            owner_name(m.name, m.incarnation)
            for m in self._directory.members.values()
        }
        now_s = time.monotonic()
        for owner in self._ledger.held_owners():
            if owner in live_owners:
                self._lost_owners.pop(owner, None)
            elif owner not in self._lost_owners:
                self._lost_owners[owner] = now_s
                self._send_to_all_peers(self._ledger.held_batches(owner))

    def _send_to_all_peers(self, batches: list[usage.Batch]) -> None:
        for member in self._directory.members.values():
            if member.name == self._directory.own_name:
                continue
            for batch in batches:
                self._send_hold(member.control_address, batch)

    def flush_lost_owners(self) -> None:
        """Flush the replicas of lost owners; blocks."""
        now_s = time.monotonic()
        for owner, lost_s in list(self._lost_owners.items()):
            if now_s - lost_s < TAKEOVER_DELAY_S:
                continue
            batches = self._ledger.held_batches(owner)
            stored_ids = [b.batch_id for b in batches if self._flush_batch(b)]
            self._broadcast_flushed(stored_ids)
            if stored_ids:
                events.log(
                    events.USAGE_TAKEN_OVER,
                    owner=owner,
                    batches=len(stored_ids),
                )
            if len(stored_ids) == len(batches):
                self._lost_owners.pop(owner, None)

    def hand_off(self) -> None:
        """Send all unflushed batches and replicas to all peers."""
        batches = self._ledger.unflushed_batches()
        for owner in self._ledger.held_owners():
            batches.extend(self._ledger.held_batches(owner))
        self._control.submit(self._send_to_all_peers, batches)


def owner_name(node_name: str, incarnation: int) -> str:
    """Return the owner name for the batches of one node incarnation."""
    return f"{node_name}/{incarnation}"
