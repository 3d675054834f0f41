"""End a process whose event loop stands still, so that it is started again.

The kernel counts the processor time of the process and sends a signal once the
event loop has not set the timer anew for a while. That needs neither the loop
nor the interpreter's lock, which a call into a library may hold for ever. A
process that is paused, or waits for the processor, uses no processor time.
"""

import faulthandler
import signal
import sys

from bilberryturn import events

# Far more than any single callback takes on a slow machine.
HANG_CPU_S = 10.0


class Watchdog:
    """Writes the stacks of all threads and ends the process if it hangs."""

    def __init__(self, hang_cpu_s: float = HANG_CPU_S):
        """Initialize a watchdog that is not armed.

        Args:
            hang_cpu_s: Processor time after which the process has hung.
        """
        self._hang_cpu_s = hang_cpu_s
        self._is_available = True

    def start(self) -> None:
        """Arm the watchdog; call this on the main thread."""
        try:
            # The default action, which ends the process, follows the stacks.
            faulthandler.register(
                signal.SIGPROF, sys.stderr, all_threads=True, chain=True
            )
        except (OSError, RuntimeError, ValueError, AttributeError) as error:
            self._give_up(error)
        self.rearm()

    def rearm(self) -> None:
        """Give the event loop the whole time again."""
        if not self._is_available:
            return
        try:
            signal.setitimer(signal.ITIMER_PROF, self._hang_cpu_s)
        except OSError as error:
            self._give_up(error)

    def _give_up(self, error: Exception) -> None:
        self._is_available = False
        events.log(
            events.WATCHDOG_UNAVAILABLE,
            error=f"{type(error).__name__}: {error}",
        )
