"""Hold the lease for usage reports and server orders, and send both."""

from collections.abc import Callable
import threading

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.edge import orders
from bilberryturn.edge import presence
from bilberryturn.edge import shared_clock
from bilberryturn.edge import usage_windows

# The holder stops using the lease this long before a successor may acquire it,
# to allow for clock drift and for calls in flight.
LEASE_MARGIN_S = 0.5
# A duty's call must end before the holder's lease expires.
DUTY_CALL_TIMEOUT_S = 0.9
# Interval at which a node that reads the store for others checks who holds the
# lease, in the failure domains that rank first for it and in the others.
LEASE_CHECK_INTERVAL_S = 1.5
LATE_LEASE_CHECK_INTERVAL_S = 4.5
FIRST_LEASE_DOMAINS = 2
# The other nodes check rarely, all of them together once in 3 s, so that the
# number of calls does not grow with the fleet; a node that loses its relay
# reads the store and checks.
MAX_LEASE_CHECK_INTERVAL_S = 30.0
MAX_LEASE_CHECK_INTERVAL_PER_NODE_S = 3.0
STEP_INTERVAL_S = 0.5
# Interval at which counts are written, if there are any to write.
WRITE_INTERVAL_S = 1.0
# Nodes that join or leave are discovered within this interval; crashed nodes
# are detected sooner, when a request to them fails.
PRESENCE_REFRESH_INTERVAL_S = 30.0
# Interval at which a node that reads the store reads the shared time offset,
# until it knows it and afterwards.
OFFSET_READ_INTERVAL_S = 2.5
OFFSET_REFRESH_INTERVAL_S = 30.0
# A node that starts with its deployment reads the rows of the others after the
# first delay, when most of them have registered, and again after the second.
FIRST_READ_DELAY_S = 2.5
SECOND_REFRESH_DELAY_S = 3.0


class DutyRunner:
    """Runs the duties of the lease holder on a thread of its own."""

    def __init__(
        self,
        lease: leases.Lease,
        lease_s: float,
        node_presence: presence.Presence,
        write: Callable[[bool], None],
        reporter: usage_windows.Reporter | None,
        server_orders: orders.OrderSender | None,
        is_first_start: bool,
        reads_store: Callable[[], bool],
        time_of_day: shared_clock.SharedClock,
        offset_keeper: shared_clock.OffsetKeeper | None,
        clock: Callable[[], float] = leases.boottime_s,
    ):
        """Initialize the runner.

        Args:
            lease: Lease that permits running the duties.
            lease_s: Duration of the lease in seconds, within which the actions
                of two holders must not interleave.
            node_presence: Registers this node and discovers the others.
            write: Writes the counts of this node and of those that poll it;
                its argument tells whether this is the last time.
            reporter: Reports usage; None if that is not a duty here.
            server_orders: Orders servers; None if that is not a duty here.
            is_first_start: Whether no node has run before.
            reads_store: Returns whether this node reads the store itself.
            time_of_day: Time of day by which usage is reported.
            offset_keeper: Keeps time_of_day in step with the other nodes;
                None if it needs no offset.
            clock: Returns seconds, including the time the VM is suspended.
        """
        self._lease = lease
        self._lease_s = lease_s
        self._node_presence = node_presence
        self._write = write
        self._next_write_s = 0.0
        self._reporter = reporter
        self._orders = server_orders
        self._last_action_epoch = 0
        self._last_action_s = -float("inf")
        # A starting process waits before it requests the lease, because it may
        # have held the lease in its previous lifetime.
        self._clock = clock
        self._next_lease_check_s = clock()
        if not is_first_start:
            self._next_lease_check_s += lease_s + LEASE_MARGIN_S
        self._lease_checked_s = self._next_lease_check_s
        self._must_observe_lease = not is_first_start
        self._next_registration_s = 0.0
        self._next_presence_read_s = clock() + (
            FIRST_READ_DELAY_S if is_first_start else 0.0
        )
        self._presence_read_interval_s = SECOND_REFRESH_DELAY_S
        self._reads_store = reads_store
        self._time_of_day = time_of_day
        self._offset_keeper = offset_keeper
        self._next_offset_read_s = 0.0
        self._is_handing_over = False

    def hand_over(self) -> None:
        """Release the lease at the next step, before the node stops.

        This gives another node time to take over the duties.
        """
        self._is_handing_over = True

    def run(self, stopping: threading.Event) -> None:
        """Run the duties until the node stops, then release the lease."""
        while not stopping.is_set():
            try:
                self._step()
            except Exception as error:
                # The next step starts again from the state in the store.
                events.log(
                    events.JOB_FAILED,
                    job="duties",
                    error=f"{type(error).__name__}: {error}",
                )
            stopping.wait(STEP_INTERVAL_S)
        self._write(True)
        self._lease.release()

    def _step(self) -> None:
        now_s = self._clock()
        self._update_presence(now_s)
        if now_s >= self._next_write_s and self._reads_store():
            self._next_write_s = now_s + WRITE_INTERVAL_S
            self._write(False)
        if self._is_handing_over:
            self._lease.release()
            return
        self._read_offset(now_s)
        if not self._update_lease(now_s):
            return
        if self._offset_keeper is not None:
            self._offset_keeper.step(now_s)
        if self._reporter is not None and self._time_of_day.is_synchronized:
            self._reporter.step(self._time_of_day.now_s())
        if self._orders is not None:
            self._orders.step(now_s)

    def _update_presence(self, now_s: float) -> None:
        """Read the others unless a relay delivers them; register this node.

        The relay client of a node that starts again waits for the first read,
        which also shows whether the node is registered already.
        """
        if now_s >= self._next_presence_read_s:
            self._read_presence(now_s)
        if now_s >= self._next_registration_s:
            self._next_registration_s = now_s + SECOND_REFRESH_DELAY_S
            self._node_presence.register()

    def _read_presence(self, now_s: float) -> None:
        is_first = not self._node_presence.first_read.is_set()
        if not is_first and not self._reads_store():
            return
        self._next_presence_read_s = now_s + self._presence_read_interval_s
        self._presence_read_interval_s = PRESENCE_REFRESH_INTERVAL_S
        self._node_presence.read()

    def _read_offset(self, now_s: float) -> None:
        """Read the shared offset if due; relays deliver it to other nodes."""
        if self._offset_keeper is None or not self._reads_store():
            return
        if now_s < self._next_offset_read_s:
            return
        self._offset_keeper.refresh()
        self._next_offset_read_s = now_s + (
            OFFSET_REFRESH_INTERVAL_S
            if self._time_of_day.is_synchronized
            else OFFSET_READ_INTERVAL_S
        )

    def _update_lease(self, now_s: float) -> bool:
        """Check or renew the lease if due; returns whether to act."""
        if self._must_observe_lease and self._reads_store():
            # The wait at the start also serves to see whether it is in use.
            self._must_observe_lease = False
            self._lease.observe()
        if self._is_lease_check_due(now_s):
            is_held = self._lease.renew_or_acquire()
            self._next_lease_check_s = now_s + self._lease_check_interval_s(
                is_held
            )
            self._lease_checked_s = now_s
        if not self._lease.is_held():
            if self._reporter is not None:
                self._reporter.on_lease_lost()
            if self._orders is not None:
                self._orders.on_lease_lost()
            return False
        if self._may_interleave():
            return False
        self._last_action_epoch = self._lease.epoch
        self._last_action_s = self._clock()
        return True

    def _may_interleave(self) -> bool:
        """Return whether another holder may have acted since a recent action.

        That is possible only if this process has acted under an earlier epoch
        within the lease's duration; a process that has just started has
        already waited for that long.
        """
        if self._last_action_epoch in (
            self._lease.epoch,
            self._lease.continued_epoch,
        ):
            return False
        elapsed_s = self._clock() - self._last_action_s
        return elapsed_s < self._lease_s + LEASE_MARGIN_S

    def _lease_check_interval_s(self, is_held: bool) -> float:
        # A former holder resumes after an outage of the store if no other
        # node has acquired the lease.
        if is_held or self._lease.may_resume:
            return self._lease.renew_interval_s
        rank = self._node_presence.domain_rank(self._lease.name)
        if rank < FIRST_LEASE_DOMAINS:
            return LEASE_CHECK_INTERVAL_S
        return LATE_LEASE_CHECK_INTERVAL_S

    def _is_lease_check_due(self, now_s: float) -> bool:
        max_interval_s = max(
            MAX_LEASE_CHECK_INTERVAL_S,
            MAX_LEASE_CHECK_INTERVAL_PER_NODE_S * self._node_presence.count(),
        )
        if now_s >= self._lease_checked_s + max_interval_s:
            return True
        may_check = self._reads_store() or self._lease.may_resume
        return may_check and now_s >= self._next_lease_check_s
