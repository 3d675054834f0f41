"""Track the servers of a pool and choose one for a request."""

import collections
from typing import NamedTuple

from bilberryturn.scheduling import breakers
from bilberryturn.scheduling import types

DEFAULT_FIRST_TOKEN_S = 0.1
DEFAULT_TOKEN_GAP_S = 0.02
SMOOTHING = 0.3
DEFAULT_SERVICE_S = 1.0
SERVICE_SMOOTHING = 0.1
MAX_PREFIX_BLOCKS = 4000
LOAD_SHARE_OF_GAP = 0.25
STALLED_PROGRESS_S = 1.0


class RunningRequest(NamedTuple):
    """A granted request and its progress."""

    request: types.WaitingRequest
    server: str
    started_s: float
    output_tokens: int
    progress_s: float


class Server:
    """State of one server.

    Attributes:
        token_gap_s: Smoothed time between tokens.
        first_token_s: Smoothed time from dispatch to the first token.
        reserved_for: Isolated request that runs, or is to run, alone on this
            server.
        is_proven: Whether a request has made progress on the server since its
            last failure.
    """

    def __init__(self, spec: types.ServerSpec, joined_s: float):
        self.spec = spec
        self.joined_s = joined_s
        self.running: set[str] = set()
        self.breaker = breakers.CircuitBreaker()
        self.first_token_s = 0.0
        self.token_gap_s = 0.0
        self.reserved_for = ""
        self.reserved_tier = 0
        self.is_proven = True
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def current_slots(self, ramp_s: float, now_s: float) -> int:
        """Return the slots available at this point of the ramp-up."""
        age_s = now_s - self.joined_s
        if not self.spec.ramped or age_s >= ramp_s or ramp_s <= 0:
            return self.spec.slots
        return max(1, int(self.spec.slots * age_s / ramp_s))

    def cached_share(self, blocks: tuple[str, ...]) -> float:
        """Return the estimated share of a prompt that is cached.

        Each block is the hash of a prefix twice as long as the one before.
        """
        hits = 0
        for block in blocks:
            if block not in self.prefixes:
                break
            hits += 1
        return 2.0 ** (hits - len(blocks)) if hits else 0.0

    def record_prefix(self, blocks: tuple[str, ...]) -> None:
        """Record the blocks that a request added to the cache."""
        for block in blocks:
            self.prefixes[block] = None
            self.prefixes.move_to_end(block)
        while len(self.prefixes) > MAX_PREFIX_BLOCKS:
            self.prefixes.popitem(last=False)

    def evict_prefix(self, blocks: tuple[str, ...], share: float) -> None:
        """Drop the blocks beyond the share that the engine had cached."""
        for position, block in enumerate(blocks):
            if 2.0 ** (position + 1 - len(blocks)) > 2 * share:
                self.prefixes.pop(block, None)

    def observe_gap(self, gap_s: float) -> None:
        """Add a measured time between tokens to the estimate."""
        self.token_gap_s = _smooth(self.token_gap_s, gap_s)

    def observe_first_token(self, first_token_s: float) -> None:
        """Add a measured time to the first token to the estimate."""
        self.first_token_s = _smooth(self.first_token_s, first_token_s)


def _smooth(old: float, new: float) -> float:
    if old == 0.0:
        return new
    return old + SMOOTHING * (new - old)


class ServerTable:
    """Servers and running requests of a pool."""

    def __init__(self, options: types.PoolOptions):
        self._options = options
        self.servers: dict[str, Server] = {}
        self.running: dict[str, RunningRequest] = {}
        self._service_s = 0.0

    @property
    def service_s(self) -> float:
        """Return the smoothed time for which a request holds its slot."""
        return self._service_s or DEFAULT_SERVICE_S

    def observe_service(self, duration_s: float) -> None:
        """Add the duration of a finished request to the estimate."""
        if self._service_s == 0.0:
            self._service_s = duration_s
        self._service_s += SERVICE_SMOOTHING * (duration_s - self._service_s)

    def update(
        self, specs: list[types.ServerSpec], now_s: float
    ) -> list[RunningRequest]:
        """Replace the list of servers.

        Returns:
            The running requests on servers that are leaving or removed.
        """
        names = {spec.name for spec in specs}
        for name in [n for n in self.servers if n not in names]:
            server = self.servers[name]
            if server.running:
                server.spec = server.spec._replace(leaving=True)
            else:
                del self.servers[name]
        for spec in specs:
            known = self.servers.get(spec.name)
            if known is None or known.spec.address != spec.address:
                running = known.running if known else set()
                self.servers[spec.name] = Server(spec, now_s)
                self.servers[spec.name].running = running
            else:
                known.spec = spec
        return [
            entry
            for entry in self.running.values()
            if self._is_leaving(entry.server)
        ]

    def _is_leaving(self, name: str) -> bool:
        server = self.servers.get(name)
        return server is None or server.spec.leaving

    def usable(self, now_s: float) -> list[Server]:
        """Return the servers that may receive new requests."""
        return [
            server
            for server in self.servers.values()
            if not server.spec.leaving and server.breaker.allows(now_s)
        ]

    def slots(self, now_s: float) -> int:
        """Return the slots of all usable servers."""
        return sum(
            server.current_slots(self._options.ramp_s, now_s)
            for server in self.usable(now_s)
        )

    def free_slots(self, now_s: float, cheap_only: bool = False) -> int:
        """Return the unused slots of all usable servers."""
        return sum(
            max(
                0,
                server.current_slots(self._options.ramp_s, now_s)
                - len(server.running),
            )
            for server in self.usable(now_s)
            if server.spec.cheap or not cheap_only
        )

    def choose(
        self, request: types.WaitingRequest, now_s: float
    ) -> Server | None:
        """Return the server with the earliest expected finish, or None."""
        candidates = [
            server
            for server in self.usable(now_s)
            if self._accepts(server, request, now_s)
        ]
        if not candidates:
            return None
        if request.isolated:
            return self._choose_isolated(candidates, request)
        return min(
            candidates,
            key=lambda server: (
                self.expected_finish_s(server, request),
                server.spec.name,
            ),
        )

    def expected_finish_s(
        self, server: Server, request: types.WaitingRequest
    ) -> float:
        """Return the expected time to finish, weighted by cost."""
        first_token_s = server.first_token_s or self._mean("first_token_s")
        token_gap_s = server.token_gap_s or self._mean("token_gap_s")
        cached = server.cached_share(request.prefix_blocks)
        load = (len(server.running) + 1) / max(1, server.spec.slots)
        finish_s = first_token_s * (1.0 - cached) + (
            request.output_tokens
            * token_gap_s
            * (1.0 - LOAD_SHARE_OF_GAP + LOAD_SHARE_OF_GAP * load)
        )
        if server.spec.cheap:
            finish_s *= self._options.cheap_preference
        return finish_s

    def _mean(self, name: str) -> float:
        known = [
            getattr(server, name)
            for server in self.servers.values()
            if getattr(server, name) > 0
        ]
        if known:
            return sum(known) / len(known)
        if name == "first_token_s":
            return DEFAULT_FIRST_TOKEN_S
        return DEFAULT_TOKEN_GAP_S

    def _choose_isolated(self, candidates, request) -> Server | None:
        """Return an idle server, or reserve the least busy one until idle."""
        best = min(
            candidates,
            key=lambda server: (
                server.reserved_for != request.request_id,
                len(server.running),
                server.spec.name,
            ),
        )
        if not best.running:
            return best
        best.reserved_for = request.request_id
        best.reserved_tier = request.tier
        return None

    def _accepts(
        self, server: Server, request: types.WaitingRequest, now_s: float
    ) -> bool:
        if server.spec.name in request.excluded_servers:
            return False
        if self._is_reserved(server, request):
            return False
        if request.isolated:
            return True
        if len(server.running) >= server.current_slots(
            self._options.ramp_s, now_s
        ):
            return False
        if not server.spec.cheap:
            return True
        return self.allows_cheap(request)

    def _is_reserved(
        self, server: Server, request: types.WaitingRequest
    ) -> bool:
        """Return whether a server is reserved for another request.

        Until that request runs, a higher tier may still use the server.
        """
        if server.reserved_for in ("", request.request_id):
            return False
        if server.reserved_for in server.running:
            return True
        if request.isolated:
            # Isolated requests of the same tier may run in any order.
            return request.tier > server.reserved_tier
        return request.tier >= server.reserved_tier

    def allows_cheap(self, request: types.WaitingRequest) -> bool:
        """Return whether a cheap server may take a request now.

        A request with the policy RESERVED_CHEAP may use a cheap server only
        while the paid servers, even if full, could take over the requests of
        its tier and higher tiers from all cheap servers within the target of
        its class.
        """
        if request.cheap == types.NEVER_CHEAP:
            return False
        if request.cheap != types.RESERVED_CHEAP:
            return True
        paid_slots = sum(
            s.spec.slots
            for s in self.servers.values()
            if not s.spec.cheap and not s.spec.leaving
        )
        if paid_slots == 0:
            return True
        displaced = 1 + sum(
            1
            for entry in self.running.values()
            if entry.request.tier <= request.tier
            and self._is_cheap(entry.server)
        )
        target_s = request.first_token_deadline_s - request.arrived_s
        return displaced * self.service_s <= paid_slots * target_s

    def _is_cheap(self, name: str) -> bool:
        server = self.servers.get(name)
        return server is not None and server.spec.cheap

    def can_ever_serve(self, request: types.WaitingRequest) -> bool:
        """Return whether any server, busy or not, could run a request."""
        return any(
            not server.spec.leaving
            and server.spec.name not in request.excluded_servers
            and (not server.spec.cheap or request.cheap != types.NEVER_CHEAP)
            for server in self.servers.values()
        )

    def start(
        self, request: types.WaitingRequest, server: Server, now_s: float
    ) -> None:
        """Record a grant."""
        server.running.add(request.request_id)
        server.breaker.record_start(now_s)
        server.record_prefix(request.prefix_blocks)
        if request.isolated:
            server.reserved_for = request.request_id
        self.running[request.request_id] = RunningRequest(
            request, server.spec.name, now_s, 0, now_s
        )

    def restore_grant(
        self, request: types.WaitingRequest, server_name: str, now_s: float
    ) -> None:
        """Restore a grant that an earlier broker issued."""
        if request.request_id in self.running:
            return
        server = self.servers.get(server_name)
        if server is not None:
            server.running.add(request.request_id)
        self.running[request.request_id] = RunningRequest(
            request, server_name, now_s, 0, now_s
        )

    def progress(
        self, request_id: str, output_tokens: int, now_s: float
    ) -> int:
        """Record generated tokens; returns the number of new ones."""
        entry = self.running.get(request_id)
        if entry is None:
            return 0
        new_tokens = output_tokens - entry.output_tokens
        elapsed_s = now_s - entry.progress_s
        server = self.servers.get(entry.server)
        if new_tokens <= 0:
            stalled = entry.output_tokens > 0 and elapsed_s > STALLED_PROGRESS_S
            if stalled and server is not None:
                server.token_gap_s = max(server.token_gap_s, elapsed_s)
            return 0
        if server is not None:
            server.is_proven = True
        if server is not None and elapsed_s > 0 and entry.output_tokens > 0:
            server.observe_gap(elapsed_s / new_tokens)
        self.running[request_id] = entry._replace(
            output_tokens=output_tokens, progress_s=now_s
        )
        return new_tokens

    def end_probation(self, request_id: str) -> None:
        """Let other requests use the server of a healthy isolated request."""
        for server in self.servers.values():
            if server.reserved_for == request_id:
                server.reserved_for = ""

    def finish(
        self, request_id: str
    ) -> tuple[RunningRequest | None, Server | None]:
        """Remove a grant; returns its request and server if known."""
        self.end_probation(request_id)
        entry = self.running.pop(request_id, None)
        if entry is None:
            return None, None
        server = self.servers.get(entry.server)
        if server is not None:
            server.running.discard(request_id)
        return entry, server
