"""Collect the usage of a node in batches, replicated until flushed."""

import threading
from typing import NamedTuple

MAX_HELD_BATCHES = 20000


class UsageRow(NamedTuple):
    """Usage of one client account with one profile."""

    client_account: str
    profile: str
    requests: int
    input_tokens: int
    output_tokens: int


class Batch(NamedTuple):
    """Usage rows under an identifier that is never reused.

    Attributes:
        owner: Node run that recorded the usage.
        window: Number of the usage window.
        revision: Incremented with each row that is added before the flush.
    """

    batch_id: str
    owner: str
    window: int
    revision: int
    rows: tuple[UsageRow, ...]


def add_rows(rows: tuple[UsageRow, ...], row: UsageRow) -> tuple:
    """Return rows with another row added to the sums."""
    totals = {(r.client_account, r.profile): r for r in rows}
    key = (row.client_account, row.profile)
    old = totals.get(key, UsageRow(*key, 0, 0, 0))
    totals[key] = UsageRow(
        *key,
        old.requests + row.requests,
        old.input_tokens + row.input_tokens,
        old.output_tokens + row.output_tokens,
    )
    return tuple(totals.values())


def subtract_rows(
    rows: tuple[UsageRow, ...], stored: tuple[UsageRow, ...]
) -> tuple[UsageRow, ...]:
    """Return the usage in rows that the stored rows do not include."""
    known = {(r.client_account, r.profile): r for r in stored}
    remainder = []
    for row in rows:
        old = known.get(
            (row.client_account, row.profile),
            UsageRow(row.client_account, row.profile, 0, 0, 0),
        )
        difference = UsageRow(
            row.client_account,
            row.profile,
            row.requests - old.requests,
            row.input_tokens - old.input_tokens,
            row.output_tokens - old.output_tokens,
        )
        if any(difference[2:]):
            remainder.append(difference)
    return tuple(remainder)


class Ledger:
    """In-memory usage: own open and sealed batches, and copies for peers.

    Thread-safe.
    """

    def __init__(self, owner: str, incarnation: int, window_s: float):
        self._owner = owner
        self._incarnation = incarnation
        self._window_s = window_s
        self._lock = threading.Lock()
        self._sequence = 0
        self._open: Batch | None = None
        self._sealed: dict[str, Batch] = {}
        self._held: dict[str, Batch] = {}

    def window_of(self, wall_clock_s: float) -> int:
        """Return the number of the window that a time falls in."""
        return int(wall_clock_s // self._window_s)

    def add(self, row: UsageRow, wall_clock_s: float) -> Batch:
        """Add usage to the open batch; returns the batch for replication."""
        with self._lock:
            window = self.window_of(wall_clock_s)
            if self._open is not None and self._open.window != window:
                self._seal()
            if self._open is None:
                self._sequence += 1
                batch_id = f"{self._owner}-{self._incarnation}-{self._sequence}"
                self._open = Batch(batch_id, self._owner, window, 0, ())
            self._open = self._open._replace(
                revision=self._open.revision + 1,
                rows=add_rows(self._open.rows, row),
            )
            return self._open

    def _seal(self) -> None:
        if self._open is not None:
            self._sealed[self._open.batch_id] = self._open
            self._open = None

    def seal(self) -> list[Batch]:
        """Seal the open batch; returns all batches to be flushed."""
        with self._lock:
            self._seal()
            return list(self._sealed.values())

    def remove_flushed(self, batch_id: str) -> None:
        """Remove a batch that is stored in the table service."""
        with self._lock:
            self._sealed.pop(batch_id, None)
            self._held.pop(batch_id, None)

    def hold(self, batch: Batch) -> None:
        """Keep a copy of a peer's batch unless its revision is outdated.

        New batches are dropped while MAX_HELD_BATCHES are held.
        """
        with self._lock:
            known = self._held.get(batch.batch_id)
            if known is not None and known.revision >= batch.revision:
                return
            if len(self._held) >= MAX_HELD_BATCHES and known is None:
                return
            self._held[batch.batch_id] = batch

    def held_batches(self, owner: str) -> list[Batch]:
        """Return the batches held for a peer."""
        with self._lock:
            return [b for b in self._held.values() if b.owner == owner]

    def held_owners(self) -> set[str]:
        """Return the peers for which batches are held."""
        with self._lock:
            return {batch.owner for batch in self._held.values()}

    def unflushed_batches(self) -> list[Batch]:
        """Return the own batches, including the open one."""
        with self._lock:
            own = list(self._sealed.values())
            if self._open is not None:
                own.append(self._open)
            return own
