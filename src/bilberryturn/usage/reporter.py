"""Close, freeze and report usage windows under a lease.

The figures of a window are written once, to a row that never changes, in a
transaction that checks the epoch of the lease. Only these figures are sent,
so a report that is repeated after a crash or a lost answer is identical.
"""

from collections.abc import Callable

from bilberryturn import events
from bilberryturn import leases
from bilberryturn import platform
from bilberryturn.platform import tables
from bilberryturn.usage import store

CURSOR_KEY = "usage/cursor"
WINDOWS_PER_RUN = 100


class Reporter:
    """Reports every window that has ended, in order."""

    def __init__(
        self,
        lease: leases.Lease,
        table: platform.TableService,
        reporting: platform.Reporting,
        current_window: Callable[[], float],
        close_delay_windows: float,
    ):
        """Initialize the reporter.

        Args:
            lease: Lease that makes this process the reporter.
            table: Table service.
            reporting: Usage interface of the platform.
            current_window: Returns the current time in windows, including
                the fraction.
            close_delay_windows: Delay between the end of a window and its
                closing, in windows.
        """
        self._lease = lease
        self._table = table
        self._store = store.UsageStore(table)
        self._reporting = reporting
        self._current_window = current_window
        self._close_delay_windows = close_delay_windows

    def run(self) -> int:
        """Report the windows that are due; returns how many were reported."""
        reported = 0
        for _ in range(WINDOWS_PER_RUN):
            if not self._lease.is_held():
                return reported
            cursor = self._read_cursor()
            if cursor is None:
                return reported
            row_version, window = cursor
            if window + 1 + self._close_delay_windows > self._current_window():
                return reported
            if not self._report_window(window, row_version):
                return reported
            reported += 1
        return reported

    def _read_cursor(self) -> tuple[int, int] | None:
        """Return the version of the cursor row and the next window to report.

        Without a cursor row the version is 0 and the window is the first one
        with a stored batch. None if there is no such window or a read failed.
        """
        result = self._table.read(CURSOR_KEY)
        if result.is_error():
            return None
        if result.ok.version > 0:
            return result.ok.version, result.ok.value["next_window"]
        first = self._table.scan("usage/window/", limit=1)
        if first.is_error():
            return None
        if not first.ok:
            return None
        return 0, int(first.ok[0].key.split("/")[2])

    def _report_window(self, window: int, cursor_version: int) -> bool:
        figures = self._frozen_figures(window)
        if figures is None:
            return False
        if figures:
            epoch = self._lease.epoch
            if not self._lease.is_held():
                return False
            result = self._reporting.send(window, figures, epoch)
            if result.is_error():
                events.log(
                    events.ORDER_REFUSED,
                    interface="reporting",
                    window=window,
                    error=str(result.error),
                )
                return False
            events.log(events.USAGE_WINDOW_REPORTED, window=window, epoch=epoch)
        return self._commit(
            {CURSOR_KEY: cursor_version},
            {CURSOR_KEY: {"next_window": window + 1}},
        )

    def _frozen_figures(self, window: int) -> list[dict] | None:
        """Return the final figures; freezes them first if needed."""
        frozen = self._table.read(store.frozen_key(window))
        if frozen.is_error():
            return None
        if frozen.ok.version > 0:
            return frozen.ok.value["figures"]
        if not self._close_window(window):
            return None
        summed = self._store.sum_window(window)
        if summed.is_error():
            return None
        key = store.frozen_key(window)
        committed = self._commit(
            {key: 0}, {key: {"figures": summed.ok, "epoch": self._lease.epoch}}
        )
        if not committed:
            return None
        events.log(events.USAGE_WINDOW_FROZEN, window=window)
        return summed.ok

    def _close_window(self, window: int) -> bool:
        """Close a window so that no more batches can be added to it."""
        key = store.closed_key(window)
        closed = self._table.read(key)
        if closed.is_error():
            return False
        if closed.ok.version > 0:
            return True
        return self._commit({key: 0}, {key: {"epoch": self._lease.epoch}})

    def _commit(self, checks: dict[str, int], writes: dict) -> bool:
        """Write in a transaction that checks the epoch of the lease.

        Returns:
            Whether the write is known to have been committed.
        """
        if not self._lease.is_held():
            return False
        result = self._table.transact(
            {**checks, **self._lease.epoch_check()}, writes
        )
        return result.is_ok() and isinstance(result.ok, tables.Committed)
