"""Hold the lease for reports and orders, and do both while it is held."""

from collections.abc import Callable
import threading
import time

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.edge import orders
from bilberryturn.edge import presence
from bilberryturn.edge import usage_windows

# The lease ends this long before a successor may take it, for clocks that
# drift and calls on their way.
LEASE_MARGIN_S = 0.5
# A call of a duty must end while the lease is still believed in.
DUTY_CALL_TIMEOUT_S = 0.9
# How often a node that reads the store for others looks who holds the lease.
LOOK_S = 1.5
# The other nodes hardly look, so that calls do not grow with the fleet; a node
# that loses its relay reads the store and looks.
DISTANT_LOOK_S = 30.0
STEP_S = 0.5
# How often counts are written; a node that dies loses what came later.
WRITE_S = 1.0
# Nodes that come or go are found by then; the dead are noticed sooner by
# asking them.
PRESENCE_S = 30.0
# All nodes have written their rows this long after they start together.
SECOND_LOOK_S = 3.0


class DutyKeeper:
    """Runs on a thread of its own."""

    def __init__(
        self,
        lease: leases.Lease,
        lease_s: float,
        here: presence.Presence,
        write: Callable[[], None],
        reporter: usage_windows.Reporter | None,
        servers_orders: orders.Orders | None,
        is_first_start: bool,
        reads_store: Callable[[], bool],
        clock: Callable[[], float] = leases.boottime_s,
    ):
        """Set the duties.

        Args:
            lease: Right to act.
            lease_s: Time in which two holders must not act in turn.
            here: The other nodes.
            write: Writes what this node and those that ask it have to keep.
            reporter: Reports usage, if that is a duty here.
            servers_orders: Orders servers, if that is a duty here.
            is_first_start: Whether no node has run before.
            reads_store: Returns whether this node reads the store itself.
            clock: Seconds that go on while the VM is suspended.
        """
        self._lease = lease
        self._lease_s = lease_s
        self._here = here
        self._write = write
        self._write_s = 0.0
        self._reporter = reporter
        self._orders = servers_orders
        self._acted_epoch = 0
        self._acted_s = -float("inf")
        # A process that starts waits before it asks for the lease: it may
        # have held it in its last lifetime.
        self._clock = clock
        self._look_s = clock()
        if not is_first_start:
            self._look_s += lease_s + LEASE_MARGIN_S
        self._distant_look_s = self._look_s
        self._presence_s = 0.0
        self._presence_pause_s = SECOND_LOOK_S
        self._reads_store = reads_store
        self._is_handing_over = False

    def hand_over(self) -> None:
        """Give the duties up soon; another node needs time to take them."""
        self._is_handing_over = True

    def run(self, stopping: threading.Event) -> None:
        """Do the duties until the node stops, then hand them over."""
        while not stopping.is_set():
            try:
                self._step()
            except Exception as error:
                # The next step starts from what the store holds.
                events.log(
                    events.JOB_FAILED,
                    job="duties",
                    error=f"{type(error).__name__}: {error}",
                )
            stopping.wait(STEP_S)
        self._write()
        self._lease.release()

    def _step(self) -> None:
        now_s = self._clock()
        if now_s >= self._presence_s:
            self._presence_s = now_s + self._presence_pause_s
            self._presence_pause_s = PRESENCE_S
            self._here.refresh()
        if now_s >= self._write_s and self._reads_store():
            self._write_s = now_s + WRITE_S
            self._write()
        if self._is_handing_over:
            self._lease.release()
            return
        if not self._hold(now_s):
            return
        if self._reporter is not None:
            self._reporter.step(time.time())
        if self._orders is not None:
            self._orders.step(now_s)

    def _hold(self, now_s: float) -> bool:
        """Renew or look at the lease; returns whether to act."""
        if self._is_look_due(now_s):
            held = self._lease.renew_or_acquire()
            self._look_s = now_s + self._look_interval_s(held)
            self._distant_look_s = now_s + DISTANT_LOOK_S
        if not self._lease.is_held():
            if self._reporter is not None:
                self._reporter.lost()
            if self._orders is not None:
                self._orders.lost()
            return False
        if self._would_alternate():
            return False
        self._acted_epoch = self._lease.epoch
        self._acted_s = self._clock()
        return True

    def _would_alternate(self) -> bool:
        """Return whether an act might enclose another holder's.

        That needs an act of this process under an earlier epoch within the
        lease's time; a process that has just started has waited it out.
        """
        if self._lease.epoch == self._acted_epoch:
            return False
        apart_s = self._clock() - self._acted_s
        return apart_s < self._lease_s + LEASE_MARGIN_S

    def _look_interval_s(self, held: bool) -> float:
        # One that held it goes on after an outage if nobody took it.
        if held or self._lease.epoch:
            return self._lease.renew_interval_s
        return LOOK_S

    def _is_look_due(self, now_s: float) -> bool:
        if now_s >= self._distant_look_s:
            return True
        may_look = self._reads_store() or bool(self._lease.epoch)
        return may_look and now_s >= self._look_s
