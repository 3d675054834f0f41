"""Costs of sending a request to engines whose measured speeds differ."""

import enum
import functools
import math
from typing import NamedTuple

from bilberryturn import rendezvous
from bilberryturn.routing import speed_estimates
from bilberryturn.routing import types

# Longest step of a typical engine that prefills a long prompt alongside
# running requests, and how much longer a slow spell makes it on average.
LONG_STEP_S = 0.06
SPELL_FACTOR = 1.5
# Share of a failure domain's summed speed that prefills no long prompts.
LOW_LATENCY_SHARE = 0.25
# Cost of a stream whose pauses reach twice its target, and of a long prompt
# on an engine that is kept free of them.
MISMATCH_COST_S = 0.4
# Cost of a fast engine to a stream that a slow one serves as well.
FAST_COST_S = 0.1
# A prompt of this many tokens occupies an engine for two steps, half of those
# between two events of 4 tokens.
LONG_PROMPT_TOKENS = 2048
# A role may take this many times the mean load; each further mean costs
# OVERLOAD_COST_S.
FREE_ROLE_RATIO = 1.2
OVERLOAD_COST_S = 0.6
# Cost of an engine with the mean load of its role and failure domain for a long
# prompt; short ones add little. A domain counts only its own requests, and
# evens these out over the engines.
LOAD_COST_S = 0.18
MAX_LOAD_RATIO = 8.0
# Mean of the random cost that spreads the requests of many nodes over equal
# engines, on one of typical speed.
SPREAD_COST_S = 0.02
# Fewest engines on which a shared prefix is expected to be cached, and how
# much more than the best role another one may cost to be among them.
MIN_AFFINITY_SERVERS = 2
AFFINITY_COST_S = 0.03
# A prefix is cached on this many times the engines that its requests keep
# busy, so that none of them takes much more than the mean.
AFFINITY_RATIO = 1.5
# Time constant of the work by prefix, and most prefixes counted.
PREFIX_TIME_S = 20.0
MAX_PREFIXES = 1000
UNKNOWN = speed_estimates.Estimate(0, 0, None, 0.0)
_HASH_RANGE = 2.0**64


class Role(enum.Enum):
    """What an engine is used for.

    LOW_LATENCY engines prefill no long prompts while others can, for streams
    with tight pause targets; they are the fastest.
    """

    LOW_LATENCY = enum.auto()
    FAST = enum.auto()
    SLOW = enum.auto()


class Roles(NamedTuple):
    """The roles of the engines of a service.

    Attributes:
        by_server: Role of each server, by identifier.
        tight_gap_s: Streams with a lower pause target need an engine that is
            kept free of long prompts.
    """

    by_server: dict[str, Role]
    tight_gap_s: float


class EngineView(NamedTuple):
    """What the choice needs of one engine.

    Attributes:
        role: What it is used for.
        estimate: What is measured of it.
        speed: Its relative speed.
        load_cost_s: Cost of its load for a long prompt.
    """

    role: Role
    estimate: speed_estimates.Estimate
    speed: float
    load_cost_s: float


class ServiceView(NamedTuple):
    """What the choice needs of a service whose engines differ.

    Attributes:
        servers: The servers that it was computed from.
        speeds: The speeds that it was computed from.
        engines: View of each engine, by identifier.
        tight_gap_s: As in Roles.
        overloads_s: Cost of each role that takes more than its share.
    """

    servers: list[types.BackendServer]
    speeds: speed_estimates.ServiceSpeeds
    engines: dict[str, EngineView]
    tight_gap_s: float
    overloads_s: dict[Role, float]


class Loads(NamedTuple):
    """Mean loads, weighed by speed.

    Attributes:
        overall: Mean load of all engines.
        by_role: Mean load by role.
        by_domain: Mean load by role and failure domain.
    """

    overall: float
    by_role: dict[Role, float]
    by_domain: dict[tuple[Role, str], float]


def long_gap_s(engine: types.Engine, relative_speed: float) -> float:
    """Return the gap between events beside the prefill of a long prompt."""
    step_s = LONG_STEP_S * SPELL_FACTOR / relative_speed
    return step_s * engine.tokens_per_event


def roles(
    engine: types.Engine,
    servers: list[types.BackendServer],
    speeds: speed_estimates.ServiceSpeeds,
) -> Roles:
    """Return the roles of the engines; the same on nodes with the same groups.

    Servers that cannot be reclaimed rank before cheap ones of their group.
    """
    by_domain: dict[str, list[types.BackendServer]] = {}
    for server in servers:
        by_domain.setdefault(server.failure_domain, []).append(server)
    by_server = {
        s.server_id: Role.FAST if s.lifetime in speeds.fast else Role.SLOW
        for s in servers
    }
    for domain_servers in by_domain.values():
        ranked = sorted(
            domain_servers,
            key=lambda s: (
                s.lifetime not in speeds.fast,
                s.is_cheap,
                rendezvous.weight(s.server_id, "quiet"),
            ),
        )
        wanted = LOW_LATENCY_SHARE * sum(
            speeds.group_speed(s.lifetime) for s in ranked
        )
        for server in ranked:
            speed = speeds.group_speed(server.lifetime)
            if wanted < speed / 2:
                break
            wanted -= speed
            by_server[server.server_id] = Role.LOW_LATENCY
    return Roles(by_server, long_gap_s(engine, speeds.fast_speed))


def loads(
    servers: list[types.BackendServer],
    server_roles: Roles,
    speeds: speed_estimates.ServiceSpeeds,
) -> Loads:
    """Return the mean loads of the engines."""
    totals: dict[object, list[float]] = {}
    for server in servers:
        estimate = speeds.estimates.get(server.lifetime)
        role = server_roles.by_server[server.server_id]
        speed = speeds.group_speed(server.lifetime)
        work = estimate.load * speed if estimate else 0.0
        for name in (None, role, (role, server.failure_domain)):
            total = totals.setdefault(name, [0.0, 0.0])
            total[0] += work
            total[1] += speed
    means = {name: work / speed for name, (work, speed) in totals.items()}
    return Loads(
        means.pop(None),
        {name: load for name, load in means.items() if isinstance(name, Role)},
        {name: load for name, load in means.items() if isinstance(name, tuple)},
    )


def role_costs_s(
    engine: types.Engine,
    gap_target_s: float,
    prompt_tokens: int,
    tight_gap_s: float,
    speeds: speed_estimates.ServiceSpeeds,
) -> dict[Role, float]:
    """Return the cost of each role for a request.

    Args:
        engine: The engines of the service.
        gap_target_s: Pause target of the request; 0 if it has none.
        prompt_tokens: Tokens of its prompt that no other request has.
        tight_gap_s: As in Roles.
        speeds: Measured speeds.
    """
    fast = _excess(long_gap_s(engine, speeds.fast_speed), gap_target_s)
    slow = _excess(long_gap_s(engine, speeds.slow_speed), gap_target_s)
    costs_s = {
        Role.LOW_LATENCY: 0.0,
        Role.FAST: fast * MISMATCH_COST_S,
        Role.SLOW: slow * MISMATCH_COST_S,
    }
    if not 0 < gap_target_s < tight_gap_s:
        costs_s[Role.LOW_LATENCY] = (
            prompt_share(prompt_tokens) * MISMATCH_COST_S
        )
    if not slow:
        costs_s[Role.FAST] += FAST_COST_S
    return costs_s


def role_overloads_s(mean_loads: Loads) -> dict[Role, float]:
    """Return the cost of each role that takes more than its share."""
    return {
        role: OVERLOAD_COST_S
        * max(0.0, load / (mean_loads.overall or 1.0) - FREE_ROLE_RATIO)
        for role, load in mean_loads.by_role.items()
    }


def view(
    engine: types.Engine,
    servers: list[types.BackendServer],
    speeds: speed_estimates.ServiceSpeeds,
) -> ServiceView:
    """Return what the choice needs of a service, until something changes."""
    server_roles = roles(engine, servers, speeds)
    mean_loads = loads(servers, server_roles, speeds)
    engines = {}
    for server in servers:
        role = server_roles.by_server[server.server_id]
        estimate = speeds.estimates.get(server.lifetime, UNKNOWN)
        mean_load = mean_loads.by_domain[role, server.failure_domain]
        ratio = estimate.load / mean_load if mean_load > 0 else 0.0
        engines[server.server_id] = EngineView(
            role,
            estimate,
            estimate.relative_speed,
            min(MAX_LOAD_RATIO, ratio) * LOAD_COST_S,
        )
    return ServiceView(
        list(servers),
        speeds,
        engines,
        server_roles.tight_gap_s,
        role_overloads_s(mean_loads),
    )


def prompt_share(prompt_tokens: int) -> float:
    """Return how far a prompt counts as a long one, from 0 to 1."""
    return min(1.0, prompt_tokens / LONG_PROMPT_TOKENS)


def gap_cost_s(gap_target_s: float, high_gap_s: float | None) -> float:
    """Return the cost of an engine whose measured pauses are too long."""
    if high_gap_s is None:
        return 0.0
    return _excess(high_gap_s, gap_target_s) * MISMATCH_COST_S


class PrefixWork:
    """Shares of the shared prefixes in the work that a node sends."""

    def __init__(self):
        self._work: dict[str | None, float] = {}
        self._updated_s = 0.0

    def record(self, prefix: str | None, tokens: float, now_s: float) -> None:
        """Record a request that was sent; None for one without a prefix."""
        age_s, self._updated_s = now_s - self._updated_s, now_s
        share = math.exp(-max(0.0, age_s) / PREFIX_TIME_S)
        for name in self._work:
            self._work[name] *= share
        self._work[prefix] = self._work.get(prefix, 0.0) + tokens
        if len(self._work) > MAX_PREFIXES:
            del self._work[min(self._work, key=self._work.get)]

    def share(self, prefix: str) -> float:
        """Return the share of a prefix; 0 if it is not known."""
        return self._work.get(prefix, 0.0) / (sum(self._work.values()) or 1.0)


def affinity_servers(
    part: str,
    servers: list[types.BackendServer],
    speeds: speed_estimates.ServiceSpeeds,
    engines: float,
) -> frozenset[str]:
    """Return where a shared prefix is cached: fast engines hold more.

    Args:
        part: The last part of the prefix.
        servers: Servers to choose from.
        speeds: Measured speeds.
        engines: Number of engines that its requests keep busy.
    """
    count = max(MIN_AFFINITY_SERVERS, round(engines * AFFINITY_RATIO))
    ranked = sorted(
        servers,
        key=lambda s: (
            _distance(s.server_id, part) / speeds.group_speed(s.lifetime)
        ),
    )
    return frozenset(s.server_id for s in ranked[:count])


def _excess(gap_s: float, target_s: float) -> float:
    """Return by how much a gap exceeds its target, from 0 to 1."""
    if target_s <= 0:
        return 0.0
    return min(1.0, max(0.0, gap_s / target_s - 1.0))


@functools.lru_cache(maxsize=65536)
def _distance(server_id: str, part: str) -> float:
    """Return a number from an exponential distribution with mean 1."""
    hashed = int.from_bytes(rendezvous.weight(server_id, part), "big")
    return -math.log((hashed + 0.5) / _HASH_RANGE)
