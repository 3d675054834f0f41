"""Choose the backend server of a request.

Handles long prompts that delay the tokens of the requests running on the same
engine, many nodes that choose at the same time, and servers that fail while
their health check passes. The expected time to the first token is estimated
from the prompts not yet prefilled, the running requests and the prefix that is
likely to be cached. Rendezvous hashing on the shared prefix of a prompt gives
it the same affinity server on all nodes without coordination.
"""

import collections
from typing import NamedTuple

from bilberryturn import rendezvous
from bilberryturn.routing import types
from bilberryturn.scheduling import breakers

# Prompt tokens that an engine prefills per second; the data sheet of the
# deployments gives 51.1 tokens per millisecond.
PREFILL_TOKENS_PER_S = 50_000.0
# Delay that each running request adds to the others on its engine: the
# increase of an engine's step time per occupied slot.
SLOT_COST_S = 0.004
# A server outside the caller's failure domain costs a network round trip and
# billed traffic.
REMOTE_COST_S = 0.06
# Smoothing factor of the moving average of the failure rate.
FAILURE_SMOOTHING = 0.2
FAILURE_COST_S = 1.5
# Half-life of the smoothed failure rate, so that a recovered server is tried
# again.
FAILURE_HALF_LIFE_S = 3.0
# Longest step of an engine that prefills a long prompt alongside running
# requests. At 51.1 tokens per millisecond a chunk of 2,048 tokens takes 40 ms,
# and a third more with a long context.
LONG_STEP_S = 0.06
# Share of a failure domain's engines that prefill no long prompts while other
# engines can.
LOW_LATENCY_SHARE = 0.3
# Cost of sending a request to an engine of the other kind: the token gaps of
# this request, or of all requests running there, exceed their target.
MISMATCH_COST_S = 0.4
# Most prompt parts tracked per server.
MAX_CACHED_PARTS = 4000


class Requirements(NamedTuple):
    """Requirements of a request on a server.

    Attributes:
        failure_domain: Failure domain of the node that received the request.
        prompt: The prompt, or None for a service without engines.
        gap_target_s: Longest gap between events that meets the target; 0 if
            there is no target.
        home_regions: Regions in which the request may be served; None if there
            is no restriction. An empty set allows no server.
    """

    service: types.Service
    failure_domain: str
    prompt: types.Prompt | None
    gap_target_s: float = 0.0
    home_regions: frozenset[str] | None = None


class Choice(NamedTuple):
    """The chosen server and the estimate behind the choice."""

    server: types.BackendServer
    expected_s: float
    uncached_tokens: int
    running: int


class _ServerLoad:
    """Load, failure rate and cache contents of one server."""

    def __init__(self):
        self.running = 0
        self.prefill_tokens = 0
        self.failure_rate = 0.0
        self.failure_updated_s = 0.0
        self.slowness = 1.0
        self.breaker = breakers.CircuitBreaker()
        self.cached_parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cached_token_count = 0


class InFlightRequest:
    """Tracks a request on its server from dispatch to completion."""

    def __init__(self, server: types.BackendServer, prefill_tokens: int):
        self.server = server
        self.prefill_tokens = prefill_tokens
        self.is_open = True


def shared_prefix_part(prompt: types.Prompt) -> str | None:
    """Return the last part of the prefix shared with other requests."""
    if len(prompt.parts) < 2:
        return None
    return prompt.parts[-2].part_id


def needs_low_latency(requirements: Requirements) -> bool:
    """Return whether a long prefill on the engine would miss the target."""
    engine = requirements.service.engine
    if engine is None or requirements.gap_target_s <= 0:
        return False
    return requirements.gap_target_s < LONG_STEP_S * engine.tokens_per_event


def low_latency_servers(servers: list[types.BackendServer]) -> set[str]:
    """Return the engines that prefill no long prompts while others can.

    All nodes select the same engines without coordination: those that rank
    first by hash in each failure domain. Servers that cannot be reclaimed rank
    before cheap ones.
    """
    by_domain: dict[str, list[types.BackendServer]] = {}
    for server in servers:
        by_domain.setdefault(server.failure_domain, []).append(server)
    low_latency: set[str] = set()
    for domain_servers in by_domain.values():
        count = round(len(domain_servers) * LOW_LATENCY_SHARE)
        domain_servers.sort(
            key=lambda s: (s.is_cheap, rendezvous.weight(s.server_id, "quiet"))
        )
        low_latency.update(s.server_id for s in domain_servers[:count])
    return low_latency


def _low_latency_order(server: types.BackendServer) -> tuple[bool, bytes]:
    return server.is_cheap, rendezvous.weight(server.server_id, "quiet")


class LoadBalancer:
    """Chooses servers by the load that this node has placed on them."""

    def __init__(self):
        self._loads: dict[tuple[str, int], _ServerLoad] = {}
        # The servers of the last choice and which of them are low-latency.
        self._ranked_servers: list[types.BackendServer] = []
        self._low_latency_ids: set[str] = set()

    def choose(
        self,
        requirements: Requirements,
        servers: list[types.BackendServer],
        now_s: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the server with the least expected time to a response."""
        candidates = [s for s in servers if s.server_id not in excluded]
        allowed = [s for s in candidates if self._load(s).breaker.allows(now_s)]
        allowed = allowed or candidates
        low_latency = (
            self._low_latency_servers(servers)
            if requirements.prompt is not None
            else set()
        )
        mismatched = {
            s.server_id
            for s in allowed
            if low_latency
            and (s.server_id in low_latency) != needs_low_latency(requirements)
        }
        matching = [s for s in allowed if s.server_id not in mismatched]
        affinity_server = self._affinity_server(
            requirements, matching or allowed
        )
        best = None
        for server in allowed:
            choice = self._estimate(
                requirements, server, now_s, server is affinity_server
            )
            if server.server_id in mismatched:
                choice = choice._replace(
                    expected_s=choice.expected_s + MISMATCH_COST_S
                )
            if best is None or choice.expected_s < best.expected_s:
                best = choice
        return best

    def begin(
        self, choice: Choice, requirements: Requirements, now_s: float
    ) -> InFlightRequest:
        """Add a request to the load of its server."""
        load = self._load(choice.server)
        load.running += 1
        load.prefill_tokens += choice.uncached_tokens
        load.breaker.record_start(now_s)
        if requirements.prompt is not None:
            self._record_cached_parts(load, requirements)
        return InFlightRequest(choice.server, choice.uncached_tokens)

    def in_flight(self, lifetime: types.Lifetime) -> int:
        """Return the requests of this node that are in flight at a server."""
        load = self._loads.get(lifetime)
        return 0 if load is None else load.running

    def record_first_token(self, request: InFlightRequest) -> None:
        """Record that the prompt has been prefilled."""
        self._load(request.server).prefill_tokens -= request.prefill_tokens
        request.prefill_tokens = 0

    def end(
        self, request: InFlightRequest, outcome: bool | None, now_s: float
    ) -> bool:
        """Remove a request from the load of its server.

        Args:
            request: The request; ending it twice has no effect.
            outcome: True for success, False for a failure of the server, None
                if the end of the request is no evidence about the server.
            now_s: Present time in seconds.

        Returns:
            Whether this failure opened the server's circuit breaker.
        """
        if not request.is_open:
            return False
        request.is_open = False
        self.record_first_token(request)
        load = self._load(request.server)
        load.running -= 1
        if outcome is None:
            load.breaker.record_abandoned()
            return False
        rate = self._failure_rate(load, now_s)
        load.failure_rate = rate + FAILURE_SMOOTHING * ((not outcome) - rate)
        load.failure_updated_s = now_s
        if outcome:
            load.breaker.record_success()
            return False
        return load.breaker.record_failure(now_s)

    def forget_failures(self) -> None:
        """Forget the failures of all servers, which were none of theirs."""
        for load in self._loads.values():
            load.failure_rate = 0.0
            load.breaker.record_success()

    def retain(self, live: set[tuple[str, int]]) -> None:
        """Drop the load of server lifetimes that have ended."""
        for key, load in list(self._loads.items()):
            if key not in live and load.running == 0:
                del self._loads[key]

    def _low_latency_servers(
        self, servers: list[types.BackendServer]
    ) -> set[str]:
        """Return the low-latency servers, cached until the list changes."""
        if servers != self._ranked_servers:
            self._ranked_servers = list(servers)
            self._low_latency_ids = low_latency_servers(servers)
        return self._low_latency_ids

    def _load(self, server: types.BackendServer) -> _ServerLoad:
        key = server.lifetime
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = _ServerLoad()
        return load

    def _affinity_server(
        self, requirements: Requirements, servers: list[types.BackendServer]
    ) -> types.BackendServer | None:
        if requirements.prompt is None or not servers:
            return None
        part = shared_prefix_part(requirements.prompt)
        if part is None:
            return None
        return max(servers, key=lambda s: rendezvous.weight(s.server_id, part))

    def _estimate(
        self,
        requirements: Requirements,
        server: types.BackendServer,
        now_s: float,
        has_affinity: bool,
    ) -> Choice:
        load = self._load(server)
        uncached = self._uncached_tokens(requirements, load, has_affinity)
        expected_s = (load.prefill_tokens + uncached) / PREFILL_TOKENS_PER_S
        expected_s += load.running * SLOT_COST_S
        slots = max(1, server.slots)
        if load.running >= slots:
            expected_s += (load.running - slots + 1) / slots
        if server.failure_domain != requirements.failure_domain:
            expected_s += REMOTE_COST_S
        expected_s += self._failure_rate(load, now_s) * FAILURE_COST_S
        return Choice(server, expected_s, uncached, load.running)

    def _failure_rate(self, load: _ServerLoad, now_s: float) -> float:
        age_s = max(0.0, now_s - load.failure_updated_s)
        return load.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def _uncached_tokens(
        self, requirements: Requirements, load: _ServerLoad, has_affinity: bool
    ) -> int:
        if requirements.prompt is None:
            return 0
        uncached = requirements.prompt.input_tokens
        for part in requirements.prompt.parts[:-1]:
            if part.part_id not in load.cached_parts and not has_affinity:
                break
            uncached -= part.tokens
        return max(0, uncached)

    def _record_cached_parts(
        self, load: _ServerLoad, requirements: Requirements
    ) -> None:
        engine = requirements.service.engine
        capacity_tokens = engine.kv_capacity_tokens if engine else 0
        for part in requirements.prompt.parts:
            load.cached_token_count -= load.cached_parts.pop(part.part_id, 0)
            load.cached_parts[part.part_id] = part.tokens
            load.cached_token_count += part.tokens
        while load.cached_parts and (
            load.cached_token_count > capacity_tokens
            or len(load.cached_parts) > MAX_CACHED_PARTS
        ):
            _, tokens = load.cached_parts.popitem(last=False)
            load.cached_token_count -= tokens
