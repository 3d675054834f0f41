"""Choose the pool of a request among failure domains and regions."""

from typing import NamedTuple

BYTES_PER_GB = 1e9
SPILL_HYSTERESIS_S = 0.1
COST_WEIGHT_S_PER_UNIT = 1000.0


class PoolView(NamedTuple):
    """A pool that could serve a request.

    Attributes:
        wait_s: Estimated wait for the request's tier, None if the pool has no
            server.
        path_delay_s: One-way network delay from this node.
        cost_per_gb: Price of traffic on the path.
        is_own: Whether the pool is in this node's failure domain.
    """

    pool: str
    wait_s: float | None
    path_delay_s: float
    cost_per_gb: float
    is_own: bool


class SpillChoice(NamedTuple):
    """The chosen pool and the reason for the choice."""

    pool: str
    reason: str


def choose_pool(
    views: list[PoolView], target_s: float, request_bytes: int
) -> SpillChoice | None:
    """Return the pool that should serve a request.

    The local pool is used unless it has no server, or its wait exceeds the
    target and another pool meets the target with path delay and billed traffic
    included.

    Args:
        views: Pools that serve the model.
        target_s: Target of the class for the time to the first token.
        request_bytes: Estimated bytes in both directions.
    """
    usable = [view for view in views if view.wait_s is not None]
    if not usable:
        return None

    def penalty_s(view: PoolView) -> float:
        traffic_cost = view.cost_per_gb * request_bytes / BYTES_PER_GB
        return (
            view.wait_s
            + 2 * view.path_delay_s
            + traffic_cost * COST_WEIGHT_S_PER_UNIT
        )

    own = next((view for view in usable if view.is_own), None)
    best = min(usable, key=penalty_s)
    if own is None:
        return SpillChoice(best.pool, "no server in the own failure domain")
    if own.wait_s <= target_s or best.is_own:
        return SpillChoice(own.pool, "own failure domain")
    if penalty_s(best) + SPILL_HYSTERESIS_S >= own.wait_s:
        return SpillChoice(own.pool, "no pool is sooner")
    if penalty_s(best) > target_s:
        return SpillChoice(own.pool, "no pool meets the target")
    return SpillChoice(best.pool, "own wait breaks the target")
