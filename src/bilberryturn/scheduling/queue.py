"""Queue the requests of one pool and grant them servers."""

import collections
import itertools

from bilberryturn.scheduling import fairness
from bilberryturn.scheduling import outcomes
from bilberryturn.scheduling import preemption
from bilberryturn.scheduling import retries
from bilberryturn.scheduling import servers
from bilberryturn.scheduling import types

MIN_RETRY_AFTER_S = 1.0
MAX_LOOKAHEAD = 32


class PoolQueue:
    """Queue and server table of a pool.

    Tiers have strict priority. Within a tier the client account with the lowest
    token counter is served first, and the requests of an account are served in
    the order of arrival.
    """

    def __init__(
        self,
        options: types.PoolOptions,
        counters: fairness.TokenCounters,
    ):
        self._options = options
        self._counters = counters
        self.table = servers.ServerTable(options)
        self._waiting: dict[str, types.WaitingRequest] = {}
        self._tiers: dict[
            int, dict[str, collections.deque[types.WaitingRequest]]
        ] = {}
        self._skipped_dispatches: dict[int, int] = {}
        self._retries = retries.RetryBudget()
        self._preempting: dict[str, int] = {}
        self._empty_since_s: float | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def waiting_by_tier(self) -> dict[int, int]:
        """Return the number of waiting requests in each tier."""
        return {
            tier: sum(len(requests) for requests in accounts.values())
            for tier, accounts in self._tiers.items()
        }

    def cheap_waiting_count(self) -> int:
        """Return the number of waiting requests that cheap servers may run."""
        return sum(
            1
            for request in self._waiting.values()
            if request.cheap != types.NEVER_CHEAP
        )

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request is waiting."""
        return request_id in self._waiting

    def set_servers(
        self, specs: list[types.ServerSpec], now_s: float
    ) -> list[servers.RunningRequest]:
        """Replace the servers; returns the requests running on leaving ones."""
        self._retries.resize(sum(spec.slots for spec in specs))
        return self.table.update(specs, now_s)

    def submit(
        self, request: types.WaitingRequest, now_s: float
    ) -> list[types.Decision]:
        """Queue a request and return the resulting decisions."""
        if request.request_id in self._waiting:
            return []
        if request.request_id in self.table.running:
            return []
        if not request.is_retry:
            self._retries.record_request()
        elif not self._retries.take():
            return [self._refuse(request, types.REASON_RETRY_BUDGET)]
        if self._options.admission and request.preemptions == 0:
            wait_s = self.estimate_wait_s(
                request.tier, request.client_account, now_s
            )
            if now_s + wait_s > request.grant_deadline_s:
                return [self._refuse(request, types.REASON_DEADLINE, wait_s)]
        decisions: list[types.Decision] = []
        if len(self._waiting) >= self._options.max_waiting:
            victim = self._shed_for(request)
            if victim is None:
                return [self._refuse(request, types.REASON_QUEUE_FULL)]
            decisions.append(self._refuse(victim, types.REASON_SHED))
        self._enqueue(request)
        decisions.extend(self.dispatch(now_s))
        return decisions

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; returns whether it was waiting."""
        request = self._waiting.get(request_id)
        if request is None:
            return False
        self._remove(request)
        self.table.end_probation(request_id)
        return True

    def restore_grant(
        self, request: types.WaitingRequest, server: str, now_s: float
    ) -> None:
        """Restore a grant that an earlier broker of the pool issued."""
        if request.request_id not in self._waiting:
            self.table.restore_grant(request, server, now_s)

    def progress(
        self, request_id: str, output_tokens: int, now_s: float
    ) -> None:
        """Charge newly generated tokens to the account."""
        entry = self.table.running.get(request_id)
        new_tokens = self.table.progress(request_id, output_tokens, now_s)
        if entry is None or new_tokens <= 0:
            return
        self._counters.charge(
            entry.request.client_account,
            entry.request.weight,
            output_tokens=new_tokens,
        )

    def end_probation(
        self, request_id: str, now_s: float
    ) -> list[types.Decision]:
        """Let other requests use the server of a healthy isolated request."""
        self.table.end_probation(request_id)
        return self.dispatch(now_s)

    def finish(
        self,
        request_id: str,
        outcome: str,
        output_tokens: int,
        now_s: float,
        first_token_s: float = 0.0,
        duration_s: float = 0.0,
        cached_share: float | None = None,
    ) -> list[types.Decision]:
        """End a grant and return the decisions for the free slot.

        Args:
            request_id: Request that ended.
            outcome: One of the constants of the module outcomes.
            output_tokens: Total number of generated tokens.
            now_s: Present time in seconds.
            first_token_s: Time to the first token, 0 if there was none.
            duration_s: Time from dispatch to the end.
            cached_share: Share of the prompt that the engine had cached, or
                None if unknown.
        """
        self.progress(request_id, output_tokens, now_s)
        self._preempting.pop(request_id, None)
        entry, server = self.table.finish(request_id)
        if entry is not None and server is not None:
            self._record_outcome(
                entry, server, outcome, now_s, first_token_s, duration_s,
                output_tokens, cached_share,
            )  # fmt: skip
        return self.dispatch(now_s)

    def _record_outcome(
        self, entry, server, outcome, now_s, first_token_s, duration_s,
        output_tokens, cached_share,
    ) -> None:  # fmt: skip
        if outcome in (outcomes.FAILED, outcomes.NOT_SENT):
            server.breaker.record_failure(now_s)
            server.is_proven = False
            return
        if outcome != outcomes.DONE:
            server.breaker.record_abandoned()
            return
        server.breaker.record_success()
        server.is_proven = True
        if first_token_s > 0:
            server.observe_first_token(first_token_s)
        if output_tokens > 1 and duration_s > first_token_s > 0:
            server.observe_gap(
                (duration_s - first_token_s) / (output_tokens - 1)
            )
        if cached_share is not None:
            server.evict_prefix(entry.request.prefix_blocks, cached_share)
            server.record_prefix(entry.request.prefix_blocks)
        self.table.observe_service(duration_s)

    def tick(self, now_s: float) -> list[types.Decision]:
        """Refuse requests that waited too long and dispatch the others."""
        decisions: list[types.Decision] = []
        self._track_empty_pool(now_s)
        for request in list(self._waiting.values()):
            if now_s >= request.grant_deadline_s:
                self.cancel(request.request_id)
                decisions.append(self._refuse(request, types.REASON_DEADLINE))
            elif self._has_no_server(request, now_s):
                self.cancel(request.request_id)
                decisions.append(self._refuse(request, types.REASON_NO_SERVER))
        decisions.extend(self.dispatch(now_s))
        return decisions

    def _track_empty_pool(self, now_s: float) -> None:
        if any(not s.spec.leaving for s in self.table.servers.values()):
            self._empty_since_s = None
        elif self._empty_since_s is None:
            self._empty_since_s = now_s

    def _has_no_server(self, request, now_s: float) -> bool:
        """Return whether a request timed out waiting for a usable server."""
        waited_s = now_s - request.arrived_s
        if waited_s < self._options.no_server_wait_s:
            return False
        return not self.table.can_ever_serve(request)

    def estimate_wait_s(
        self, tier: int, client_account: str, now_s: float
    ) -> float:
        """Return the expected queueing time of a new request."""
        slots = self.table.slots(now_s)
        if slots == 0:
            return 0.0
        ahead = self._count_ahead(tier, client_account)
        if ahead < self.table.free_slots(now_s):
            return 0.0
        service_s = self.table.service_s
        lower_running = 0
        if self._options.preemption:
            lower_running = sum(
                1
                for entry in self.table.running.values()
                if entry.request.tier > tier
            )
        if ahead < lower_running:
            return 0.0
        return (ahead + 1 - lower_running) * service_s / slots

    def _count_ahead(self, tier: int, client_account: str) -> int:
        """Return the number of waiting requests ahead of a new one."""
        ahead = sum(
            len(requests)
            for higher, accounts in self._tiers.items()
            if higher < tier
            for requests in accounts.values()
        )
        accounts = self._tiers.get(tier, {})
        own_position = len(accounts.get(client_account, ()))
        return (
            ahead
            + sum(
                min(len(requests), own_position + 1)
                for account, requests in accounts.items()
                if account != client_account
            )
            + own_position
        )

    def _enqueue(self, request: types.WaitingRequest) -> None:
        self._counters.activate(request.client_account)
        self._waiting[request.request_id] = request
        accounts = self._tiers.setdefault(request.tier, {})
        requests = accounts.setdefault(
            request.client_account, collections.deque()
        )
        position = len(requests)
        while position and requests[position - 1].arrived_s > (
            request.arrived_s
        ):
            position -= 1
        requests.insert(position, request)

    def _remove(self, request: types.WaitingRequest) -> None:
        del self._waiting[request.request_id]
        accounts = self._tiers[request.tier]
        accounts[request.client_account].remove(request)
        if not accounts[request.client_account]:
            del accounts[request.client_account]
        if not accounts:
            del self._tiers[request.tier]
            self._skipped_dispatches.pop(request.tier, None)
        self._counters.deactivate(request.client_account)

    def _shed_for(
        self, request: types.WaitingRequest
    ) -> types.WaitingRequest | None:
        """Remove and return the request that is shed, or None.

        The newest request of the lowest tier is shed. If that is the tier of
        the arriving request, only a request of the account with the most
        waiting requests is shed, and only for an account that has fewer.
        """
        lowest = max(self._tiers)
        if lowest < request.tier:
            return None
        accounts = self._tiers[lowest]
        largest = max(accounts, key=lambda name: len(accounts[name]))
        if lowest == request.tier:
            own = len(accounts.get(request.client_account, ()))
            if len(accounts[largest]) <= own + 1:
                return None
        victim = accounts[largest][-1]
        self.cancel(victim.request_id)
        return victim

    def _refuse(
        self, request: types.WaitingRequest, reason: str, wait_s: float = 0.0
    ) -> types.Refusal:
        return types.Refusal(request, reason, max(MIN_RETRY_AFTER_S, wait_s))

    def dispatch(self, now_s: float) -> list[types.Decision]:
        """Grant as many waiting requests as the servers can accept."""
        decisions: list[types.Decision] = []
        while self._waiting:
            placed = self._place_one(now_s)
            if placed is None:
                break
            decisions.append(placed)
        if self._waiting and self._options.preemption:
            decisions.extend(self._preempt(now_s))
        return decisions

    def _place_one(self, now_s: float) -> types.Grant | None:
        placed = self._place_starving(now_s)
        if placed is not None:
            return placed
        for tier in sorted(self._tiers):
            accounts = self._tiers[tier]
            for account in sorted(accounts, key=self._counters.value):
                placed = self._place_first(accounts[account], now_s)
                if placed is not None:
                    return placed
        return None

    def _place_starving(self, now_s: float) -> types.Grant | None:
        """Grant the oldest request of a tier whose guaranteed share is due."""
        horizon_s = now_s - self._options.starvation_wait_s
        for tier in sorted(self._tiers, reverse=True):
            skipped = self._skipped_dispatches.get(tier, 0)
            if skipped < self._options.starvation_share - 1:
                continue
            starving = [
                requests[0]
                for requests in self._tiers[tier].values()
                if requests[0].arrived_s <= horizon_s
            ]
            starving.sort(key=lambda request: request.arrived_s)
            placed = self._place_first(starving, now_s)
            if placed is not None:
                return placed
        return None

    def _place_first(self, requests, now_s: float) -> types.Grant | None:
        """Grant the first of the given requests that a server can accept.

        A request that cannot run now does not block later requests that have
        other requirements.
        """
        tried = set()
        for request in itertools.islice(requests, MAX_LOOKAHEAD):
            requirements = (
                request.cheap,
                request.isolated,
                request.excluded_servers,
            )
            if requirements in tried:
                continue
            tried.add(requirements)
            server = self.table.choose(request, now_s)
            if server is None:
                continue
            self._grant(request, server, now_s)
            return types.Grant(
                request,
                server.spec.name,
                server.spec.address,
                server.spec.cheap,
            )
        return None

    def _grant(self, request, server, now_s: float) -> None:
        self._remove(request)
        self.table.start(request, server, now_s)
        self._counters.charge(
            request.client_account,
            request.weight,
            input_tokens=request.input_tokens,
        )
        for tier in self._tiers:
            if tier != request.tier:
                self._skipped_dispatches[tier] = (
                    self._skipped_dispatches.get(tier, 0) + 1
                )
        self._skipped_dispatches[request.tier] = 0

    def _preempt(self, now_s: float) -> list[types.Preemption]:
        """Preempt lower tiers for requests that would miss their deadline."""
        service_s = self.table.service_s
        slots = max(1, self.table.slots(now_s))
        decisions: list[types.Preemption] = []
        # Slots of pending preemptions are assigned to the highest tiers first.
        pending = len(self._preempting)
        lowest_running = max(
            (r.request.tier for r in self.table.running.values()), default=-1
        )
        for tier in sorted(self._tiers):
            if tier >= lowest_running:
                break
            by_deadline = sorted(
                itertools.chain.from_iterable(self._tiers[tier].values()),
                key=lambda request: request.first_token_deadline_s,
            )
            for position, request in enumerate(by_deadline[:slots]):
                if pending > 0:
                    pending -= 1
                    continue
                expected_s = now_s + (position + 1) * service_s / slots
                if expected_s <= request.first_token_deadline_s:
                    break
                victim = preemption.find_victim(
                    self.table,
                    request,
                    self._preempting,
                    self._options.max_preemptions,
                )
                if victim is None:
                    return decisions
                self._preempting[victim.request.request_id] = tier
                decisions.append(
                    types.Preemption(
                        victim.request.request_id,
                        victim.server,
                        victim.request.reply_address,
                        tier,
                        victim.request.tier,
                    )
                )
        return decisions
