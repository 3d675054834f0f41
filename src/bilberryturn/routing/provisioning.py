"""Decide how many backend servers run in each failure domain.

Pattern answered: bursts of long prompts, and cheap servers that vanish a
failure domain at a time. Cheap servers carry the load, twice as many as it was
first given and spread over all failure domains, so that a burst or the loss of
a domain leaves enough. A few others stay everywhere, and more are ordered as
soon as less is left than the load was first given.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from bilberryturn.routing import types

# Servers that cannot be reclaimed, kept in each failure domain.
MIN_ON_DEMAND = 1
# Most cheap servers for each that a failure domain was first given: the bursts
# that the users describe bring up to 2.8 times the usual prompts. They never
# cost more than what they replace.
MAX_CHEAP_PER_BASELINE = 2.0
# An order is repeated after this time while what runs differs from it.
ORDER_RETRY_S = 3.0


class Order(NamedTuple):
    """Says how many servers of one kind are to run in a failure domain."""

    service: str
    failure_domain: str
    is_cheap: bool
    count: int


class Counts(NamedTuple):
    """Counts the servers of a failure domain that take requests."""

    on_demand: int
    cheap: int


def count_servers(
    servers: list[types.BackendServer],
) -> dict[str, Counts]:
    """Return the counts by failure domain."""
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
    """Return the orders that should stand.

    Args:
        service: A service whose servers can be ordered.
        baseline: Servers that each failure domain was first given.
        counts: Servers that run now.
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
    # The limit holds for both kinds together; what replaces a lost server
    # goes before a cheap one that may not be had.
    cheap = {d: min(cheap[d], scaling.maximum - on_demand[d]) for d in domains}
    if ready < wanted:
        # Nothing is taken away before its replacement runs.
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
    """Return how many cheap servers fit beside the others that run."""
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
    """Add servers that cannot be reclaimed, the least expensive first.

    No failure domain gets more than it was first given.
    """
    prices = scaling.domain_prices
    for domain in sorted(on_demand, key=lambda d: (prices.get(d, math.inf), d)):
        cheap_running = counts.get(domain, Counts(0, 0)).cheap
        limit = min(baseline[domain], scaling.maximum - cheap_running)
        added = max(0, min(limit - on_demand[domain], missing))
        on_demand[domain] += added
        missing -= added


class SentOrders:
    """Remembers which orders were accepted, and when."""

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

    def note(self, order: Order, now_s: float) -> None:
        """Note an order that was sent, accepted or not."""
        key = (order.service, order.failure_domain, order.is_cheap)
        self._sent[key] = (order.count, now_s)

    def clear(self) -> None:
        """Forget all: another node may have ordered since."""
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
