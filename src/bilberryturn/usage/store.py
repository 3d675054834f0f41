"""Store usage batches and windows in the table service."""

from typing import NamedTuple

import expression

from bilberryturn import platform
from bilberryturn.platform import tables
from bilberryturn.usage import ledger

MAX_WINDOW_ATTEMPTS = 1000


class FlushResult(NamedTuple):
    """Result for a batch that is stored, by this flush or an earlier one.

    Attributes:
        stored_rows: Rows that the table service has for the batch.
    """

    stored_rows: tuple[ledger.UsageRow, ...]


def batch_key(batch_id: str) -> str:
    """Return the key of the row that makes a batch unique."""
    return f"usage/batch/{batch_id}"


def window_prefix(window: int) -> str:
    """Return the key prefix of the batches of a window."""
    return f"usage/window/{window:012d}/"


def closed_key(window: int) -> str:
    """Return the key of the row whose existence closes a window."""
    return f"usage/closed/{window:012d}"


def frozen_key(window: int) -> str:
    """Return the key of the row with the final figures of a window."""
    return f"usage/frozen/{window:012d}"


class UsageStore:
    """Stores batches; each batch is counted in exactly one window."""

    def __init__(self, table: platform.TableService):
        self._table = table

    def flush(
        self, batch: ledger.Batch, current_window: int
    ) -> expression.Result[FlushResult, platform.PlatformError]:
        """Store a batch once.

        The batch is stored in its own window or, if that is closed, in the
        first window that is still open, marked as late.
        """
        windows = [batch.window]
        windows.extend(
            range(
                max(batch.window + 1, current_window),
                current_window + MAX_WINDOW_ATTEMPTS,
            )
        )
        for window in windows:
            result = self._insert(batch, window)
            if result.is_error():
                return expression.Error(result.error)
            outcome = result.ok
            if isinstance(outcome, tables.Committed):
                return expression.Ok(FlushResult(batch.rows))
            if batch_key(batch.batch_id) in outcome.keys:
                return self._read_stored(batch)
        return expression.Error(
            platform.PlatformError(
                "Every usage window is closed",
                "Compare the clock of this VM with the others",
            )
        )

    def flush_together(
        self, batches: list[ledger.Batch]
    ) -> expression.Result[bool, platform.PlatformError]:
        """Store batches, each in its own window, in one transaction.

        Returns:
            Whether the batches were stored; if not, nothing was stored and
            each batch has to be flushed separately.
        """
        checks: dict[str, int] = {}
        writes: dict[str, dict] = {}
        for batch in batches:
            own_checks, own_writes = _transaction(batch, batch.window)
            checks.update(own_checks)
            writes.update(own_writes)
        result = self._table.transact(checks, writes)
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(isinstance(result.ok, tables.Committed))

    def _insert(self, batch: ledger.Batch, window: int):
        return self._table.transact(*_transaction(batch, window))

    def _read_stored(self, batch: ledger.Batch):
        result = self._table.read(batch_key(batch.batch_id))
        if result.is_error():
            return expression.Error(result.error)
        rows = tuple(ledger.UsageRow(*row) for row in result.ok.value["rows"])
        return expression.Ok(FlushResult(rows))

    def sum_window(
        self, window: int
    ) -> expression.Result[list[dict], platform.PlatformError]:
        """Return the figures of a window by client account and profile."""
        result = self._table.scan(window_prefix(window))
        if result.is_error():
            return expression.Error(result.error)
        totals: dict[tuple[str, str], dict] = {}
        for row in result.ok:
            for values in row.value["rows"]:
                usage = ledger.UsageRow(*values)
                _add_figure(totals, usage, row.value["late"])
        return expression.Ok([totals[key] for key in sorted(totals)])


def _transaction(batch: ledger.Batch, window: int) -> tuple[dict, dict]:
    """Return the checks and the writes that count a batch in a window."""
    value = {
        "window": window,
        "late": window != batch.window,
        "owner": batch.owner,
        "rows": [list(row) for row in batch.rows],
    }
    unique_key = batch_key(batch.batch_id)
    window_row_key = window_prefix(window) + batch.batch_id
    return (
        {unique_key: 0, closed_key(window): 0},
        {unique_key: value, window_row_key: value},
    )


def _add_figure(totals, usage: ledger.UsageRow, late: bool) -> None:
    key = (usage.client_account, usage.profile)
    figure = totals.setdefault(
        key,
        {
            "client_account": usage.client_account,
            "profile": usage.profile,
            "requests": 0,
            "input_tokens": 0,
            "output_tokens": 0,
            "late_requests": 0,
        },
    )
    figure["requests"] += usage.requests
    figure["input_tokens"] += usage.input_tokens
    figure["output_tokens"] += usage.output_tokens
    if late:
        figure["late_requests"] += usage.requests
