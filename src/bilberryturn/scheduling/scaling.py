"""Decide how many servers of a pool should run."""

from typing import NamedTuple

HIGH_UTILIZATION = 0.8
LOW_UTILIZATION = 0.4
SCALE_UP_DELAY_S = 3.0


class ScalerOptions(NamedTuple):
    """Limits and rate of scaling.

    Attributes:
        min_running: Minimum number of running servers.
        idle_stop_s: How long utilization must be low before a server is
            stopped.
        orders_per_minute: Rate limit of orders.
        burst_orders: Number of orders that may be sent in a burst.
    """

    min_running: int = 1
    idle_stop_s: float = 300.0
    orders_per_minute: float = 6.0
    burst_orders: float = 3.0


class ServerView(NamedTuple):
    """A server as seen by the scaler."""

    name: str
    is_running: bool
    cheap: bool
    slots: int
    busy: int


class ScaleOrder(NamedTuple):
    """Order for a server; its desired state is "running" or "stopped"."""

    server: str
    desired: str


class Scaler:
    """Starts servers on sustained demand and stops them when they are idle.

    High utilization must last for a few seconds and low utilization much
    longer, and a token bucket limits the orders, so that a burst does not cause
    flapping.
    """

    def __init__(self, options: ScalerOptions):
        self._options = options
        self._high_since_s: float | None = None
        self._low_since_s: float | None = None
        self._tokens = options.burst_orders
        self._refilled_s: float | None = None

    def decide(
        self,
        servers: list[ServerView],
        waiting: int,
        cheap_waiting: int,
        now_s: float,
    ) -> list[ScaleOrder]:
        """Return the orders to send now.

        Args:
            servers: All servers of the pool, running or stopped.
            waiting: Number of waiting requests.
            cheap_waiting: Number of those that may run on cheap servers.
            now_s: Present time in seconds.
        """
        self._refill(now_s)
        running = [s for s in servers if s.is_running]
        slots = sum(s.slots for s in running)
        busy = sum(s.busy for s in running)
        if len(running) < self._options.min_running:
            return self._start(servers, 0, self._options.min_running)
        utilization = (busy + waiting) / slots if slots else float(waiting > 0)
        self._track_utilization(utilization, now_s)
        if self._has_lasted(self._high_since_s, SCALE_UP_DELAY_S, now_s):
            mean_slots = slots / len(running) if running else 8
            missing = (busy + waiting) / HIGH_UTILIZATION - slots
            count = max(1, round(missing / mean_slots))
            return self._start(servers, cheap_waiting, len(running) + count)
        if self._has_lasted(
            self._low_since_s, self._options.idle_stop_s, now_s
        ):
            return self._stop(running, slots, busy)
        return []

    def _track_utilization(self, utilization: float, now_s: float) -> None:
        if utilization < HIGH_UTILIZATION:
            self._high_since_s = None
        elif self._high_since_s is None:
            self._high_since_s = now_s
        if utilization > LOW_UTILIZATION:
            self._low_since_s = None
        elif self._low_since_s is None:
            self._low_since_s = now_s

    def _has_lasted(self, since_s, duration_s: float, now_s: float) -> bool:
        return since_s is not None and now_s - since_s >= duration_s

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            rate = self._options.orders_per_minute / 60.0
            self._tokens = min(
                self._options.burst_orders,
                self._tokens + (now_s - self._refilled_s) * rate,
            )
        self._refilled_s = now_s

    def _take_token(self) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _start(self, servers, cheap_waiting: int, target: int):
        running = sum(1 for s in servers if s.is_running)
        stopped = [s for s in servers if not s.is_running]
        stopped.sort(key=lambda s: (not s.cheap, -s.slots, s.name))
        orders = []
        for server in stopped:
            if running + len(orders) >= target:
                break
            if server.cheap and cheap_waiting <= 0:
                continue
            if not self._take_token():
                break
            cheap_waiting -= server.slots if server.cheap else 0
            orders.append(ScaleOrder(server.name, "running"))
        return orders

    def _stop(self, running, slots: int, busy: int) -> list[ScaleOrder]:
        idle = [s for s in running if s.busy == 0]
        if not idle or len(running) <= self._options.min_running:
            return []
        # Paid servers cost the most, so they are stopped first.
        candidate = min(idle, key=lambda s: (s.cheap, s.slots, s.name))
        remaining_slots = slots - candidate.slots
        if (
            remaining_slots <= 0
            or busy / remaining_slots > LOW_UTILIZATION * 1.5
        ):
            return []
        if not self._take_token():
            return []
        return [ScaleOrder(candidate.name, "stopped")]
