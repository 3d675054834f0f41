"""Decide how many backend servers run in each failure domain.

Handles bursts of long prompts, and the reclaim of all cheap servers of a
failure domain at once. Cheap servers carry the load: up to twice the baseline,
which is the number of servers that a service was first given. They are spread
over all failure domains, so that enough capacity remains in a burst or after
the loss of a domain. A few on-demand servers, which cannot be reclaimed, run in
every domain, and more are ordered as soon as the capacity falls below the
baseline.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from bilberryturn.routing import types

# On-demand servers kept in each failure domain.
MIN_ON_DEMAND = 1
# Most cheap servers per server of the baseline: the bursts that the users
# describe bring up to 2.8 times the usual prompts. The cheap servers together
# never cost more than the servers that they replace.
MAX_CHEAP_PER_BASELINE = 2.0
# An order is sent again after this time while the number of running servers
# differs from it.
ORDER_RETRY_S = 3.0


class Order(NamedTuple):
    """Number of servers of one kind that should run in a failure domain."""

    service: str
    failure_domain: str
    is_cheap: bool
    count: int


class Counts(NamedTuple):
    """Servers of a failure domain that accept requests, by kind."""

    on_demand: int
    cheap: int


def count_servers(
    servers: list[types.BackendServer],
) -> dict[str, Counts]:
    """Return the number of servers that are not leaving, by failure domain."""
    counts: dict[str, Counts] = {}
    for server in servers:
        if server.is_leaving:
            continue
        found = counts.get(server.failure_domain, Counts(0, 0))
        if server.is_cheap:
            found = found._replace(cheap=found.cheap + 1)
        else:
            found = found._replace(on_demand=found.on_demand + 1)
        counts[server.failure_domain] = found
    return counts


def plan(
    service: types.Service,
    baseline: Mapping[str, int],
    counts: Mapping[str, Counts],
) -> list[Order]:
    """Return the desired number of servers as orders.

    Args:
        service: A service whose servers can be ordered.
        baseline: Number of servers that each failure domain was first given.
        counts: Servers that run now, by failure domain.
    """
    scaling = service.scaling
    domains = sorted(baseline)
    ready = sum(
        counts.get(domain, Counts(0, 0)).on_demand
        + counts.get(domain, Counts(0, 0)).cheap
        for domain in domains
    )
    wanted = sum(baseline.values())
    cheap = {
        d: _cheap_count(
            scaling, baseline[d], counts.get(d, Counts(0, 0)).on_demand
        )
        for d in domains
    }
    on_demand = {
        d: max(MIN_ON_DEMAND, scaling.minimum - cheap[d]) for d in domains
    }
    cheap_ready = sum(counts.get(d, Counts(0, 0)).cheap for d in domains)
    missing = wanted - cheap_ready - sum(on_demand.values())
    _add_on_demand(scaling, on_demand, baseline, counts, missing)
    # The limit holds for both kinds together. On-demand replacements take
    # precedence over cheap servers, which may be unavailable.
    cheap = {d: min(cheap[d], scaling.maximum - on_demand[d]) for d in domains}
    if ready < wanted:
        # No server is stopped before its replacement runs.
        for domain in domains:
            running = counts.get(domain, Counts(0, 0)).on_demand
            on_demand[domain] = max(on_demand[domain], running)
    orders = []
    for domain in domains:
        if cheap[domain]:
            orders.append(Order(service.name, domain, True, cheap[domain]))
        orders.append(Order(service.name, domain, False, on_demand[domain]))
    return orders


def _cheap_count(
    scaling: types.Scaling, baseline: int, on_demand_running: int
) -> int:
    """Return how many cheap servers the limit allows next to on-demand ones."""
    if scaling.cheap_price is None or not 0 < scaling.cheap_price < 1:
        return 0
    capacity = scaling.maximum - max(MIN_ON_DEMAND, on_demand_running)
    cheap_per_baseline = min(MAX_CHEAP_PER_BASELINE, 1 / scaling.cheap_price)
    return max(0, min(int(cheap_per_baseline * baseline), capacity))


def _add_on_demand(
    scaling: types.Scaling,
    on_demand: dict[str, int],
    baseline: Mapping[str, int],
    counts: Mapping[str, Counts],
    missing: int,
) -> None:
    """Add on-demand servers, the least expensive failure domains first.

    No failure domain gets more than its baseline.
    """
    prices = scaling.domain_prices
    for domain in sorted(on_demand, key=lambda d: (prices.get(d, math.inf), d)):
        cheap_running = counts.get(domain, Counts(0, 0)).cheap
        limit = min(baseline[domain], scaling.maximum - cheap_running)
        added = max(0, min(limit - on_demand[domain], missing))
        on_demand[domain] += added
        missing -= added


class SentOrders:
    """Records the last order sent for each service, domain and kind."""

    def __init__(self):
        self._sent: dict[tuple[str, str, bool], tuple[int, float]] = {}

    def due(
        self,
        orders: list[Order],
        counts: Mapping[str, Counts],
        now_s: float,
    ) -> list[Order]:
        """Return the orders to send now."""
        return [o for o in orders if self._is_due(o, counts, now_s)]

    def record(self, order: Order, now_s: float) -> None:
        """Record an order that was sent, whether accepted or not."""
        key = (order.service, order.failure_domain, order.is_cheap)
        self._sent[key] = (order.count, now_s)

    def clear(self) -> None:
        """Remove all records: another node may have sent orders since."""
        self._sent.clear()

    def _is_due(
        self, order: Order, counts: Mapping[str, Counts], now_s: float
    ) -> bool:
        key = (order.service, order.failure_domain, order.is_cheap)
        found = self._sent.get(key)
        if found is None or found[0] != order.count:
            return True
        running = counts.get(order.failure_domain, Counts(0, 0))
        is_met = order.count == (
            running.cheap if order.is_cheap else running.on_demand
        )
        return not is_met and now_s - found[1] >= ORDER_RETRY_S
