"""Track the era of the platform's store.

After a restore the store continues from an older copy: acknowledged writes are
missing and versions are given out again. Each restore starts a new era, which
all answers state.
"""

from collections.abc import Callable
import threading
import time
from typing import NamedTuple

from bilberryturn import events


class RowVersion(NamedTuple):
    """Version of a row; equal numbers of two eras are different versions."""

    era: int
    number: int


def _steady_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EraTracker:
    """The newest era that this node knows; thread-safe.

    Attributes:
        era: The era, or None before the first answer, or for good if the store
            states none.
        began_s: Steady time at which this node learned of the era.
        has_seen_restore: Whether the era has changed since the first answer.
    """

    def __init__(self, steady: Callable[[], float] = _steady_s):
        """Initialize without an era.

        Args:
            steady: Returns seconds, including the time the VM is suspended.
        """
        self._steady = steady
        self.era: int | None = None
        self.began_s = 0.0
        self.has_seen_restore = False
        self._lock = threading.Lock()

    def observe(self, era: int | None) -> bool:
        """Record the era of an answer; returns whether it is the newest.

        What an answer of an earlier era says may not be true any more.
        """
        if era is None:
            return self.era is None
        with self._lock:
            previous = self.era
            if previous is not None and era <= previous:
                return era == previous
            self.began_s = self._steady()
            self.era = era
            self.has_seen_restore = previous is not None
        if previous is not None:
            events.log(events.STORE_RESTORED, era=era, previous=previous)
        return True
