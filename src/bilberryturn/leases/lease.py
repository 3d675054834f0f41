"""Acquire, renew and release a lease.

For its holder a lease is valid for the time to live minus a margin, counted
from just before the last successful renewal was sent. Another process takes
the lease over only after it has seen the row unchanged for the time to live
plus the margin on its own clock. Wall clocks are not compared.

A store that is restored from an older copy may name an earlier holder, or none,
and has forgotten fencing numbers. Fencing numbers therefore begin with the era
of the store, and after a restore nobody but the present holder takes the lease
before that one's time is over.
"""

from collections.abc import Callable
import math
import threading
import time
from typing import NamedTuple
import uuid

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn import platform
from bilberryturn.platform import tables


def boottime_s() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Fencing numbers of one era of the store; those of the next one are higher.
EPOCHS_PER_ERA = 1_000_000


class LeaseOptions(NamedTuple):
    """Timing of a lease.

    Attributes:
        ttl_s: Time to live of a lease after a renewal.
        margin_s: Safety margin, subtracted from the time to live by the
            holder and added to it by a process that takes the lease over.
    """

    ttl_s: float = 10.0
    margin_s: float = 1.0


class Lease:
    """Acquires, renews and releases one lease.

    Attributes:
        epoch: Fencing number; grows with each change of holder and each
            restore of the store.
        continued_epoch: The earlier fencing number of this holder that epoch
            follows without another holder in between; 0 if there is none.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        options: LeaseOptions,
        table: platform.TableService,
        clock: Callable[[], float] = boottime_s,
    ):
        self.name = name
        self.epoch = 0
        self.continued_epoch = 0
        self._holder = f"{holder}/{uuid.uuid4().hex[:8]}"
        self._options = options
        self._table = table
        self._clock = clock
        self._created_s = clock()
        self._key = f"lease/{name}"
        self._epoch_key = f"lease-epoch/{name}"
        self._epoch_version: tables.Version = 0
        self._valid_until_s = 0.0
        self._held = False
        self._observed_version: tables.Version = -1
        self._observed_s = 0.0
        # Whether the row, as last read, names another holder.
        self._is_taken = False
        # The row as this holder last wrote it; None if that is not certain.
        self._own_row: tables.Row | None = None
        self._era = table.era
        # Era in which the epoch was acquired.
        self._epoch_era = table.era
        # Until then no other process can have acquired the lease since this
        # one's last confirmed renewal.
        self._exclusive_until_s = -math.inf
        # The holder before a restore may act until then.
        self._not_before_s = -math.inf
        self._lock = threading.Lock()

    @property
    def renew_interval_s(self) -> float:
        """Return the interval at which to call renew_or_acquire."""
        return self._options.ttl_s / 4

    @property
    def may_resume(self) -> bool:
        """Return whether this process held the lease and saw no successor."""
        return bool(self.epoch) and not self._is_taken

    def is_held(self) -> bool:
        """Return whether this process may act as the lease holder now."""
        return self._held and self._clock() < self._valid_until_s

    def epoch_check(self) -> dict[str, tables.Version]:
        """Return the transaction check that fails once the epoch is newer."""
        return {self._epoch_key: self._epoch_version}

    def renew_or_acquire(self) -> bool:
        """Renew the lease or try to acquire it; returns whether it is held."""
        with self._lock:
            sent_s = self._clock()
            self._follow_era()
            if self._held and sent_s >= self._valid_until_s:
                self._lose("not renewed in time")
            if self._held and self._own_row is not None:
                self._renew(self._own_row, sent_s)
            else:
                self._check_row(sent_s)
            held = self.is_held()
            metrics.set_gauge(
                metrics.LEASE_HELD, {"lease": self.name}, float(held)
            )
            return held

    def observe(self) -> None:
        """Read the row without acquiring the lease, for a process that starts.

        The wait until another holder's lease has lapsed counts from then on.
        The row may come from a copy, so that the wait does not depend on it.
        """
        with self._lock:
            result = self._table.read(self._key)
            self._follow_era()
            self._wait_for_earlier_holder()
            if result.is_ok() and result.ok.version != self._observed_version:
                self._observed_version = result.ok.version
                self._observed_s = self._clock()

    def _check_row(self, sent_s: float) -> None:
        """Read the row and renew, resume or acquire the lease accordingly."""
        result = self._table.read(self._key)
        self._follow_era()
        if result.is_ok():
            self._handle_row(result.ok, sent_s)

    def _follow_era(self) -> bool:
        """Drop what is known of the row if the store was restored since.

        Returns:
            Whether it was.
        """
        if self._table.era == self._era:
            return False
        # A process that sees its first era late may have missed a restore.
        is_restored = (
            self._era is not None
            or self._clock() - self._created_s >= self._options.ttl_s
        )
        self._era = self._table.era
        self._own_row = None
        if not self.epoch:
            self._epoch_era = self._era
        if is_restored:
            self._wait_for_earlier_holder()
        return is_restored

    def _wait_for_earlier_holder(self) -> None:
        self._not_before_s = self._clock() + self._takeover_wait_s()

    def _takeover_wait_s(self) -> float:
        """Return the time after which an earlier holder has stopped to act."""
        return self._options.ttl_s + self._options.margin_s

    def _handle_row(self, row: tables.Row, sent_s: float) -> None:
        value = row.value or {}
        self._is_taken = value.get("holder", "") not in ("", self._holder)
        if self._epoch_era != self._era and self._may_reacquire(value):
            self._acquire(row, continued_epoch=self.epoch)
            return
        if self._held:
            is_own = value.get("holder") == self._holder
            if not is_own or self._epoch_era != self._era:
                self._lose("another holder has it")
                return
            self._renew(row, sent_s)
            return
        is_current = self.epoch and self._epoch_era == self._era
        if is_current and self._is_own(value, self.epoch):
            self._resume(row)
            return
        if self._may_acquire(row, value):
            self._acquire(row)

    def _may_reacquire(self, value: dict) -> bool:
        """Return whether this process held the lease last before a restore."""
        if self._clock() >= self._exclusive_until_s:
            return False
        is_own = value.get("holder") == self._holder
        return is_own or value.get("epoch", 0) <= self._first_epoch()

    def _first_epoch(self) -> int:
        """Return the number that all epochs of the present era exceed."""
        return (self._era or 0) * EPOCHS_PER_ERA

    def _may_acquire(self, row: tables.Row, value: dict) -> bool:
        is_free = row.version == 0 or not value.get("holder")
        if not is_free and row.version != self._observed_version:
            self._observed_version = row.version
            self._observed_s = self._clock()
            return False
        if self._clock() < self._not_before_s:
            return False
        waited_s = self._clock() - self._observed_s
        return is_free or waited_s >= self._takeover_wait_s()

    def _renew(self, row: tables.Row, sent_s: float) -> None:
        """Write the next renewal.

        A lost answer need not be resolved here: the validity is not extended
        until the next renewal is confirmed. After a failure the next renewal
        begins by reading the row.
        """
        self._own_row = None
        value = {
            "holder": self._holder,
            "epoch": self.epoch,
            "renewal": row.value["renewal"] + 1,
        }
        result = self._table.transact(
            {self._key: row.version, **self.epoch_check()}, {self._key: value}
        )
        if result.is_ok() and isinstance(result.ok, tables.Committed):
            self._extend(sent_s)
            self._own_row = tables.Row(
                self._key, result.ok.versions[self._key], value
            )

    def _extend(self, sent_s: float) -> None:
        """Extend the validity by a confirmed call.

        Args:
            sent_s: Time at which the call was sent.
        """
        self._valid_until_s = (
            sent_s + self._options.ttl_s - self._options.margin_s
        )
        self._exclusive_until_s = (
            sent_s + self._options.ttl_s + self._options.margin_s / 2
        )

    def _is_own(self, value: dict, epoch: int) -> bool:
        """Return whether a row names this holder and the given epoch."""
        return (
            value.get("holder") == self._holder and value.get("epoch") == epoch
        )

    def _resume(self, row: tables.Row) -> None:
        """Renew a lease that could not be renewed in time, under its epoch.

        This is safe because the row still names this process and its epoch,
        so no other process has held the lease since, and the renewal fails if
        another process acquires the lease first.
        """
        sent_s = self._clock()
        self._renew(row, sent_s)
        if self._clock() < self._valid_until_s:
            self._held = True
            events.log(
                events.LEASE_ACQUIRED,
                lease=self.name,
                epoch=self.epoch,
                resumed=True,
            )

    def _acquire(self, row: tables.Row, continued_epoch: int = 0) -> None:
        sent_s = self._clock()
        epoch_result = self._table.read(self._epoch_key)
        if epoch_result.is_error() or self._follow_era():
            return
        epoch_row = epoch_result.ok
        stored = (epoch_row.value or {}).get("epoch", 0)
        epoch = max(stored, self._first_epoch()) + 1
        value = {"holder": self._holder, "epoch": epoch, "renewal": 0}
        result = self._table.transact(
            {self._key: row.version, self._epoch_key: epoch_row.version},
            {
                self._key: value,
                self._epoch_key: {"epoch": epoch, "holder": self._holder},
            },
        )
        if result.is_ok() and isinstance(result.ok, tables.Aborted):
            return
        if result.is_ok():
            epoch_version = result.ok.versions[self._epoch_key]
        else:
            epoch_version = self._confirm_acquisition(epoch)
        if epoch_version is None or self._follow_era():
            # An epoch of an earlier era may have been given out before.
            return
        self._is_taken = False
        self.epoch = epoch
        self.continued_epoch = continued_epoch
        self._epoch_era = self._era
        self._epoch_version = epoch_version
        self._held = True
        self._extend(sent_s)
        events.log(
            events.LEASE_ACQUIRED,
            lease=self.name,
            epoch=epoch,
            continued_epoch=continued_epoch,
        )

    def _confirm_acquisition(self, epoch: int) -> tables.Version | None:
        """Read the epoch row back after the answer to an acquisition was lost.

        Returns:
            Version of the epoch row, or None if it does not name this process
            under the epoch; the lease then counts as not acquired.
        """
        result = self._table.read(self._epoch_key)
        if result.is_error() or not self._is_own(result.ok.value or {}, epoch):
            return None
        return result.ok.version

    def _lose(self, reason: str) -> None:
        self._held = False
        self._own_row = None
        self._valid_until_s = 0.0
        self._observed_version = -1
        events.log(
            events.LEASE_LOST, lease=self.name, epoch=self.epoch, reason=reason
        )

    def release(self) -> None:
        """Release the lease so that another process can acquire it at once."""
        with self._lock:
            if not self._held:
                return
            self._lose("released")
            self._exclusive_until_s = -math.inf
            result = self._table.read(self._key)
            if result.is_error() or result.ok.value is None:
                return
            if result.ok.value["holder"] != self._holder:
                return
            value = {"holder": "", "epoch": self.epoch, "renewal": 0}
            self._table.transact(
                {self._key: result.ok.version, **self.epoch_check()},
                {self._key: value},
            )
