"""Hold what a node believes and shares between its requests."""

import collections
import time
from typing import NamedTuple

import msgspec

from bilberryturn import metrics
from bilberryturn.gateway import upstream
from bilberryturn.routing import budget
from bilberryturn.routing import choice
from bilberryturn.routing import directory
from bilberryturn.routing import suspects
from bilberryturn.routing import table as route_tables

# Ended windows that a node goes on telling, in case a write of them is lost.
KEPT_WINDOWS = 2


class WindowCounts(msgspec.Struct):
    """Holds the requests of one window that one node counted.

    Attributes:
        counts: Requests that began, by client account.
        is_sealed: Whether the window has ended for the node.
    """

    counts: dict[str, int]
    is_sealed: bool


class UsageCounts:
    """Counts the requests that began to run, by window and account."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._counts: dict[int, collections.Counter[str]] = {}
        self._is_closed = False

    def close(self) -> None:
        """Note that nothing more will be counted."""
        self._is_closed = True

    def count(self, client_account: str, at_s: float | None = None) -> None:
        """Count a request that began at a time of day, or now."""
        window = int((time.time() if at_s is None else at_s) // self.window_s)
        counts = self._counts.setdefault(window, collections.Counter())
        counts[client_account] += 1

    def snapshot(self, now_s: float) -> dict[int, WindowCounts]:
        """Return the counts of the last windows, the running one included.

        Args:
            now_s: Time of day.
        """
        current = int(now_s // self.window_s)
        first = current - KEPT_WINDOWS
        # The event loop may count meanwhile.
        for window in list(self._counts):
            if window < first:
                self._counts.pop(window, None)
        return {
            window: WindowCounts(
                dict(self._counts.get(window, {})),
                window < current or self._is_closed,
            )
            for window in range(first, current + 1)
        }


# Nodes that share the slack of repeats until more are known.
MIN_ASSUMED_NODES = 9
# Share of the bound that the nodes use together; the rest is for nodes that
# are not known yet.
RETRY_LIMIT_SHARE = 0.7


class RetryLimits(NamedTuple):
    """Bounds the repeats that all nodes together may send to a service.

    Attributes:
        ratio: Repeats for each request.
        slack: Repeats besides.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float

    def node_slack(self, node_count: int) -> float:
        """Return one node's part of the slack."""
        return (
            self.slack * RETRY_LIMIT_SHARE / max(MIN_ASSUMED_NODES, node_count)
        )


class SharedState:
    """Is the state that all requests of a node use, on one thread.

    Attributes:
        table: Configuration in force, or None before the first was read.
        is_stopping: Whether the node ends its work.
    """

    def __init__(
        self,
        failure_domain: str,
        retry_limits: RetryLimits,
        usage_window_s: float,
        pool: upstream.ConnectionPool,
    ):
        self.failure_domain = failure_domain
        self.table: route_tables.RouteTable | None = None
        self.directory = directory.Directory()
        self.chooser = choice.Chooser()
        self.suspects = suspects.Suspects()
        self.usage = UsageCounts(usage_window_s)
        self.pool = pool
        self.is_stopping = False
        self.config_confirmed_s: float | None = None
        self.servers_confirmed_s: float | None = None
        self._retry_limits = retry_limits
        self._node_count = 1
        self._budgets: dict[str, budget.RepeatBudget] = {}

    def retry_budget(self, service: str) -> budget.RepeatBudget:
        """Return the budget of repeated sends to a service."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = budget.RepeatBudget(
                self._retry_limits.ratio * RETRY_LIMIT_SHARE,
                self._retry_limits.node_slack(self._node_count),
                self._retry_limits.window_s,
            )
        return retry_budget

    def set_node_count(self, node_count: int) -> None:
        """Share the slack of repeats between the nodes that are known."""
        if node_count == self._node_count:
            return
        self._node_count = node_count
        for retry_budget in self._budgets.values():
            retry_budget.resize(self._retry_limits.node_slack(node_count))

    def config_age_s(self) -> float | None:
        """Return the time since the configuration was last confirmed."""
        return _age_s(self.config_confirmed_s)

    def servers_age_s(self) -> float | None:
        """Return the time since the server list was last confirmed."""
        return _age_s(self.servers_confirmed_s)

    def record_ended_request(
        self,
        route: str,
        client_account: str,
        outcome: str,
        duration_s: float,
        first_part_s: float | None,
    ) -> None:
        """Count an ended request in the metrics."""
        metrics.add(metrics.REQUESTS, {"route": route, "outcome": outcome})
        metrics.add(metrics.DURATION_S, {"route": route}, duration_s)
        if first_part_s is None:
            return
        metrics.add(
            metrics.ACCOUNT_FIRST_TOKEN_S,
            {"client_account": metrics.account_label(client_account)},
            first_part_s,
        )


def _age_s(confirmed_s: float | None) -> float | None:
    return (
        None
        if confirmed_s is None
        else round(time.monotonic() - confirmed_s, 3)
    )
