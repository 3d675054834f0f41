"""Know which usage windows may have been reported before a restore.

The figures of a window are frozen in a row of the store before they are sent.
After the store was restored from an older copy, a missing row does not tell
that the window was not reported. A window that may have been is reported again
only with the same figures, by the process that still has them.
"""

from collections.abc import Callable
import math

from bilberryturn import leases
from bilberryturn.platform import rows
from bilberryturn.platform import tables

# First window, per era of the store, that cannot have been reported before it.
ERA_KEY = "report-era/usage"
# Key prefix of the rows with the figures of one window each.
FROZEN_PREFIX = "reports/"
# More windows than are looked at again after a change of the holder.
MAX_REMEMBERED = 6
# Largest difference between the shared time of day of two nodes.
CLOCK_MARGIN_S = 0.5


def frozen_key(window: int) -> str:
    """Return the key of the row with the figures of a window."""
    return f"{FROZEN_PREFIX}{window_key(window)}"


def window_key(window: int) -> str:
    """Return the number of a window as a key that sorts by time."""
    return f"{window:012d}"


class ReportedWindows:
    """Remembers figures, and since when a missing row means not reported."""

    def __init__(
        self,
        store: rows.RowStore,
        lease: leases.Lease,
        window_s: float,
        close_delay_s: float,
        steady: Callable[[], float],
    ):
        """Initialize without figures.

        Args:
            store: The platform's store.
            lease: Lease that permits reporting.
            window_s: Length of a window in seconds.
            close_delay_s: Seconds from the end of a window before which it is
                never frozen.
            steady: Returns seconds, including the time the VM is suspended.
        """
        self._store = store
        self._lease = lease
        self._window_s = window_s
        self._close_delay_s = close_delay_s
        self._steady = steady
        self._figures: dict[int, dict[str, int]] = {}
        self._era: int | None = None
        self._first_certain = -math.inf
        # Since when this process is the holder, restores included.
        self._tenure_epoch = 0
        self._tenure_first = 0

    def figures(self, window: int) -> dict[str, int] | None:
        """Return the frozen figures of a window, if this process knows them."""
        return self._figures.get(window)

    def remember(self, window: int, counts: dict[str, int]) -> None:
        """Remember the frozen figures of a window."""
        self._figures[window] = counts
        while len(self._figures) > MAX_REMEMBERED:
            del self._figures[min(self._figures)]

    def may_be_reported(self, window: int) -> bool:
        """Return whether a window without a row may have been reported."""
        return window < self._first_certain

    def follow_era(self, now_s: float) -> bool:
        """Find out which windows are certain in the era of the store.

        Args:
            now_s: Time of day.

        Returns:
            Whether it is known; otherwise to be tried again.
        """
        self._follow_tenure(now_s)
        era = self._store.era
        if era == self._era:
            return True
        found = self._store.read(ERA_KEY)
        if found.is_error() or self._store.era != era:
            return False
        value = found.ok.value or {}
        if value.get("era") == era:
            first = value["first_window"]
        else:
            first = self._first_unreported(now_s)
            if not self._write_era(found.ok.version, era, first):
                return False
        self._era, self._first_certain = era, first
        return True

    def _write_era(
        self, version: tables.Version, era: int | None, first: int
    ) -> bool:
        """Write the first certain window; returns whether it was written.

        The figures that the store may have lost are written with it, since a
        successor does not know them.
        """
        writes = {
            frozen_key(window): counts
            for window, counts in self._figures.items()
        }
        result = self._store.transact(
            {ERA_KEY: version, **self._lease.epoch_check()},
            {**writes, ERA_KEY: {"era": era, "first_window": first}},
        )
        return result.is_ok() and isinstance(result.ok, tables.Committed)

    def restored_s(self, now_s: float) -> float:
        """Return the time of day at which this node learned of a restore.

        Minus infinity if it has not seen one.
        """
        if not self._store.has_seen_restore:
            return -math.inf
        return now_s - (self._steady() - self._store.era_began_s)

    def _follow_tenure(self, now_s: float) -> None:
        epoch = self._lease.epoch
        if epoch == self._tenure_epoch:
            return
        is_continued = (
            self._tenure_epoch != 0
            and self._lease.continued_epoch == self._tenure_epoch
        )
        self._tenure_epoch = epoch
        if not is_continued:
            self._tenure_first = self._first_open(now_s)

    def _first_unreported(self, now_s: float) -> int:
        """Return the first window that was not reported before this era.

        Windows that ended later than this node learned of the era were open
        then; those that ended in its tenure only this process has reported.
        """
        began_s = now_s - (self._steady() - self._store.era_began_s)
        return min(self._tenure_first, self._first_open(began_s))

    def _first_open(self, at_s: float) -> int:
        """Return the first window that nobody can have frozen at a time."""
        return int(
            (at_s + CLOCK_MARGIN_S - self._close_delay_s) // self._window_s
        )
