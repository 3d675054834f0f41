"""Keep one time of day for all nodes that no jump of a VM's clock changes.

The time of day of a VM may jump by seconds, and that of a starting VM may be
wrong. Nodes therefore derive it from the steady clock of the platform's store
and an offset that they share through a row in the store. Between readings of
the store's clock, a VM's CLOCK_BOOTTIME carries it on.
"""

from collections.abc import Callable
import statistics
import threading
import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.platform import rows
from bilberryturn.platform import tables

OFFSET_KEY = "clock/utc"
# Largest difference in rate between the clocks of a VM and of the store.
MAX_DRIFT = 0.0005
# The lease holder compares the shared offset with the VMs' clocks at this
# interval, and adjusts it by at most this much. The rate of 0.3 ms a second
# follows the drift of the store's clock; a jump of some VMs' clocks has no
# visible effect.
ADJUST_INTERVAL_S = 30.0
MAX_ADJUSTMENT_S = 0.01
# Differences below this are within the errors of the readings.
ADJUST_TOLERANCE_S = 0.02
# The first offset is the median of at least this many VMs' clocks, unless fewer
# are known after the wait.
MIN_SAMPLES = 3
SAMPLE_WAIT_S = 4.0
FIRST_ATTEMPT_INTERVAL_S = 1.0
# Samples of nodes that have not polled for this time are dropped.
SAMPLE_LIFETIME_S = 10.0


class _StoreReading(NamedTuple):
    """A reading of the store's clock.

    Attributes:
        offset_s: The store's clock minus this VM's steady clock.
        error_s: Largest error of the offset when it was read.
        read_s: Steady time of the reading.
    """

    offset_s: float
    error_s: float
    read_s: float


class SharedClock:
    """Time of day that is the same on all nodes; thread-safe."""

    def __init__(
        self,
        steady: Callable[[], float] = leases.boottime_s,
        time_of_day: Callable[[], float] = time.time,
    ):
        """Initialize a clock that shows this VM's time of day.

        Args:
            steady: Returns seconds, including the time the VM is suspended.
            time_of_day: Returns this VM's time of day in Unix seconds.
        """
        self._steady = steady
        self._time_of_day = time_of_day
        # Shows the time until the shared offset is known. The VM's clock is
        # read once, so that later jumps have no effect.
        self._fallback_offset_s = time_of_day() - steady()
        self._lock = threading.Lock()
        self._reading: _StoreReading | None = None
        self._utc_offset_s: float | None = None

    @property
    def utc_offset_s(self) -> float | None:
        """Return the time of day minus the store's clock, or None."""
        return self._utc_offset_s

    @property
    def is_synchronized(self) -> bool:
        """Return whether this clock shows the shared time of day."""
        return self._reading is not None and self._utc_offset_s is not None

    def set_utc_offset(self, offset_s: float) -> None:
        """Set the time of day minus the store's clock."""
        self._utc_offset_s = offset_s

    def record_store_time(
        self, store_s: float, sent_s: float, received_s: float
    ) -> None:
        """Record the store's clock as stated in a response.

        Args:
            store_s: The store's clock when it responded.
            sent_s: Steady time at which the call was sent.
            received_s: Steady time at which the response was received.
        """
        error_s = (received_s - sent_s) / 2
        with self._lock:
            known = self._reading
            if known is not None:
                aged_error_s = (
                    known.error_s + (received_s - known.read_s) * MAX_DRIFT
                )
                if error_s > aged_error_s:
                    return
            offset_s = store_s - (sent_s + received_s) / 2
            self._reading = _StoreReading(offset_s, error_s, received_s)

    def store_s(self) -> float | None:
        """Return the present time of the store's clock, or None."""
        reading = self._reading
        return None if reading is None else self._steady() + reading.offset_s

    def now_s(self) -> float:
        """Return the time of day in Unix seconds."""
        store_s, utc_offset_s = self.store_s(), self._utc_offset_s
        if store_s is None or utc_offset_s is None:
            return self._steady() + self._fallback_offset_s
        return store_s + utc_offset_s

    def local_offset_s(self) -> float | None:
        """Return this VM's time of day minus the store's clock, or None."""
        store_s = self.store_s()
        return None if store_s is None else self._time_of_day() - store_s


class OffsetSamples:
    """Collects the offsets that other nodes measure with their VM's clock."""

    def __init__(self, steady: Callable[[], float] = leases.boottime_s):
        self._steady = steady
        self._samples: dict[str, tuple[float, float]] = {}

    def record(self, lifetime: str, offset_s: float | None) -> None:
        """Record the offset that one lifetime of a node has measured."""
        if offset_s is not None:
            self._samples[lifetime] = (offset_s, self._steady())

    def recent(self) -> list[float]:
        """Return the offsets of the nodes that polled recently."""
        oldest_s = self._steady() - SAMPLE_LIFETIME_S
        # Copied, since the event loop may record samples meanwhile.
        samples = dict(self._samples)
        for lifetime, (_, recorded_s) in samples.items():
            if recorded_s < oldest_s:
                self._samples.pop(lifetime, None)
        return [
            o for o, recorded_s in samples.values() if recorded_s >= oldest_s
        ]


class OffsetKeeper:
    """Reads the shared offset; sets and adjusts it while the lease is held."""

    def __init__(
        self,
        store: rows.RowStore,
        lease: leases.Lease,
        clock: SharedClock,
        samples: OffsetSamples,
    ):
        """Initialize the keeper.

        Args:
            store: Stores the row of the offset.
            lease: Lease that permits writing the row.
            clock: Clock that takes the offset.
            samples: Offsets measured by other nodes.
        """
        self._store = store
        self._lease = lease
        self._clock = clock
        self._samples = samples
        self._next_adjustment_s = -float("inf")
        self._first_attempt_s: float | None = None
        self._era = store.era

    def refresh(self) -> None:
        """Read the shared offset."""
        self._read()

    def step(self, now_s: float) -> None:
        """Set or adjust the shared offset if that is due.

        Args:
            now_s: Steady time.
        """
        is_restored = self._store.era != self._era
        if now_s < self._next_adjustment_s and not is_restored:
            return
        row = self._read()
        own_offset_s = self._clock.local_offset_s()
        if row is None or own_offset_s is None:
            return
        self._era = self._store.era
        samples = [own_offset_s, *self._samples.recent()]
        current_s = _offset_of(row)
        known_s = self._clock.utc_offset_s
        if current_s is None and known_s is not None:
            # A restored store lacks the row.
            self._next_adjustment_s = now_s + ADJUST_INTERVAL_S
            self._write(row.version, known_s)
            return
        if current_s is None and not self._has_enough(samples, now_s):
            self._next_adjustment_s = now_s + FIRST_ATTEMPT_INTERVAL_S
            return
        self._next_adjustment_s = now_s + ADJUST_INTERVAL_S
        target_s = statistics.median(samples)
        if current_s is not None:
            difference_s = target_s - current_s
            if abs(difference_s) < ADJUST_TOLERANCE_S:
                return
            target_s = current_s + max(
                -MAX_ADJUSTMENT_S, min(MAX_ADJUSTMENT_S, difference_s)
            )
        self._write(row.version, target_s)

    def _has_enough(self, samples: list[float], now_s: float) -> bool:
        if self._first_attempt_s is None:
            self._first_attempt_s = now_s
        has_waited = now_s - self._first_attempt_s >= SAMPLE_WAIT_S
        return has_waited or len(samples) >= MIN_SAMPLES

    def _read(self) -> tables.Row | None:
        result = self._store.read(OFFSET_KEY)
        if result.is_error():
            # The known offset stays in force until the store is back.
            return None
        offset_s = _offset_of(result.ok)
        if offset_s is not None:
            self._clock.set_utc_offset(offset_s)
        return result.ok

    def _write(self, version: int, offset_s: float) -> None:
        result = self._store.transact(
            {OFFSET_KEY: version, **self._lease.epoch_check()},
            {OFFSET_KEY: {"offset_s": offset_s}},
        )
        if result.is_error() or isinstance(result.ok, tables.Aborted):
            # The next step reads the row to find out whether it was written.
            self._next_adjustment_s = -float("inf")
            return
        self._clock.set_utc_offset(offset_s)
        events.log(events.CLOCK_OFFSET_SET, offset_s=round(offset_s, 3))


def _offset_of(row: tables.Row) -> float | None:
    """Return the offset in a row; None if it holds none."""
    value = row.value.get("offset_s") if isinstance(row.value, dict) else None
    return value if isinstance(value, float | int) else None
