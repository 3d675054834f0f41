"""Manage the queue of each pool; runs on the control thread."""

from collections.abc import Callable
import functools
from typing import NamedTuple

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn import platform
from bilberryturn import scheduling
from bilberryturn.brokers import pools
from bilberryturn.scheduling import outcomes
from bilberryturn.scheduling import types

kinds = messages.kinds

REBUILD_TIMEOUT_S = 0.4
SYNC_GRACE_S = 1.5
IDLE_POOL_S = 60.0
SUMMARY_TIERS = 5


class BrokerOptions(NamedTuple):
    """Configures the policy and the timeouts of a broker."""

    own_address: str
    grant_timeout_s: float = 4.0
    pool_options: types.PoolOptions = types.PoolOptions()


class Pool:
    """The queue of a pool and the last reports of its entries."""

    def __init__(self, name: pools.PoolName, queue: scheduling.PoolQueue):
        self.name = name
        self.queue = queue
        self.unsynced_addresses: set[str] = set()
        self.rebuild_deadline_s = 0.0
        self.deferred_requests: list[types.WaitingRequest] = []
        self.entry_last_seen_s: dict[str, float] = {}
        self.reply_addresses: dict[str, str] = {}
        self.granted_s: dict[str, float] = {}
        self.last_used_s = 0.0

    def is_ready(self, now_s: float) -> bool:
        """Return whether the counts are rebuilt or the rebuild timed out."""
        return not self.unsynced_addresses or now_s >= self.rebuild_deadline_s


class Broker:
    """Handles grant requests; creates a pool when a message names it."""

    def __init__(
        self,
        options: BrokerOptions,
        control: messages.ControlLoop,
        directory: membership.Directory,
        clock: Callable[[], float],
    ):
        self._options = options
        self._control = control
        self._directory = directory
        self._clock = clock
        self.counters = scheduling.TokenCounters()
        self.pools: dict[str, Pool] = {}
        self._vms: tuple[platform.Vm, ...] = ()
        self._declared = declarations.Declarations()

    def set_servers(
        self,
        vms: tuple[platform.Vm, ...],
        declared: declarations.Declarations,
    ) -> None:
        """Apply a new VM list or new declarations."""
        self._vms = vms
        self._declared = declared
        for pool in self.pools.values():
            self._update_servers(pool)

    def _update_servers(self, pool: Pool) -> None:
        now_s = self._clock()
        specs = pools.server_specs(pool.name, self._vms, self._declared)
        self._log_leaving_servers(pool, specs)
        on_leaving_servers = pool.queue.set_servers(specs, now_s)
        reclaimed = {vm.name for vm in self._vms if pools.is_reclaimed(vm)}
        for running in on_leaving_servers:
            if running.server not in reclaimed:
                continue
            request_id = running.request.request_id
            address = pool.reply_addresses.get(request_id)
            if address:
                self._control.send(
                    address,
                    kinds.Moved(request_id, str(pool.name), running.server),
                )
        self._carry_out(pool, pool.queue.tick(now_s))

    def _log_leaving_servers(self, pool: Pool, specs) -> None:
        for spec in specs:
            current = pool.queue.table.servers.get(spec.name)
            if spec.leaving and current and not current.spec.leaving:
                events.log(
                    events.SERVER_LEAVING,
                    server=spec.name,
                    pool=str(pool.name),
                )

    def _get_or_create_pool(self, name: str) -> Pool:
        pool = self.pools.get(name)
        now_s = self._clock()
        if pool is None:
            pool = self._create_pool(name, now_s)
        pool.last_used_s = now_s
        return pool

    def _create_pool(self, name: str, now_s: float) -> Pool:
        """Create a pool and query all members for the grants they hold.

        Grant requests are deferred until the members have answered or the
        rebuild times out.
        """
        queue = scheduling.PoolQueue(self._options.pool_options, self.counters)
        pool = Pool(pools.parse(name), queue)
        self.pools[name] = pool
        pool.rebuild_deadline_s = now_s + REBUILD_TIMEOUT_S
        own_address = self._options.own_address
        for member in self._directory.members.values():
            pool.unsynced_addresses.add(member.control_address)
            self._control.send(
                member.control_address, kinds.HoldQuery(own_address, name)
            )
        specs = pools.server_specs(pool.name, self._vms, self._declared)
        # An earlier broker may have used these servers, so they skip the
        # ramp-up.
        queue.set_servers(specs, now_s - self._options.pool_options.ramp_s)
        events.log(events.BROKER_TOOK_OVER, pool=name)
        return pool

    def request(self, message: kinds.GrantRequest) -> None:
        """Queue a grant request, or resend its grant if it has one."""
        now_s = self._clock()
        pool = self._get_or_create_pool(message.pool)
        last_seen_s = pool.entry_last_seen_s.get(message.reply_address, now_s)
        pool.entry_last_seen_s[message.reply_address] = max(last_seen_s, now_s)
        request = types.WaitingRequest(
            message.request_id,
            message.tier,
            message.client_account,
            max(message.weight, 0.001),
            message.input_tokens,
            message.output_tokens,
            now_s - message.waited_s,
            now_s + message.wait_budget_s,
            now_s + message.first_token_target_s,
            message.cheap,
            message.prefix_blocks,
            message.excluded_servers,
            message.isolated,
            message.preemptions,
            message.is_retry,
            message.reply_address,
        )
        pool.reply_addresses[request.request_id] = message.reply_address
        if request.request_id in pool.queue.table.running:
            self._resend_grant(pool, request.request_id)
            return
        if not pool.is_ready(now_s):
            pool.deferred_requests.append(request)
            self._control.send(
                message.reply_address, kinds.Queued(message.request_id)
            )
            return
        self._submit(pool, request, now_s)

    def _submit(self, pool: Pool, request, now_s: float) -> None:
        self._carry_out(pool, pool.queue.submit(request, now_s))
        if pool.queue.is_waiting(request.request_id):
            self._control.send(
                request.reply_address, kinds.Queued(request.request_id)
            )

    def _carry_out(self, pool: Pool, decisions: list[types.Decision]) -> None:
        for decision in decisions:
            _carry_out(decision, self, pool)

    def send_grant(self, pool: Pool, grant: types.Grant) -> None:
        """Notify an entry that its request may run."""
        request = grant.request
        pool.granted_s[request.request_id] = self._clock()
        self._control.send(
            request.reply_address,
            kinds.Granted(
                request.request_id,
                str(pool.name),
                grant.server,
                grant.address,
                grant.is_cheap,
                pool.queue.table.servers[grant.server].is_proven,
            ),
        )

    def _resend_grant(self, pool: Pool, request_id: str) -> None:
        """Send a grant again whose first message was lost."""
        running = pool.queue.table.running[request_id]
        server = pool.queue.table.servers.get(running.server)
        address = pool.reply_addresses.get(request_id)
        if server is None or address is None:
            return
        self._control.send(
            address,
            kinds.Granted(
                request_id,
                str(pool.name),
                running.server,
                server.spec.address,
                server.spec.cheap,
                server.is_proven,
            ),
        )

    def send_refusal(self, pool: Pool, refusal: types.Refusal) -> None:
        """Notify an entry that its request is refused."""
        request = refusal.request
        pool.reply_addresses.pop(request.request_id, None)
        self._control.send(
            request.reply_address,
            kinds.Refused(
                request.request_id, refusal.reason, refusal.retry_after_s
            ),
        )

    def send_preemption(self, pool: Pool, preemption: types.Preemption) -> None:
        """Notify an entry that a grant is preempted."""
        address = pool.reply_addresses.get(preemption.request_id)
        if address is None:
            return
        events.log(
            events.REQUEST_PREEMPTED,
            request_id=preemption.request_id,
            victim_tier=preemption.victim_tier,
            beneficiary_tier=preemption.beneficiary_tier,
        )
        self._control.send(
            address,
            kinds.Preempted(
                preemption.request_id, str(pool.name), preemption.server
            ),
        )

    def release(self, message: kinds.Release) -> None:
        """Remove a waiting request or end a grant."""
        pool = self.pools.get(message.pool)
        if pool is None:
            return
        now_s = self._clock()
        running = pool.queue.table.running.get(message.request_id)
        if running is not None and message.server not in (
            "",
            running.server,
        ):
            return
        pool.reply_addresses.pop(message.request_id, None)
        pool.granted_s.pop(message.request_id, None)
        pool.deferred_requests = [
            request
            for request in pool.deferred_requests
            if request.request_id != message.request_id
        ]
        pool.queue.cancel(message.request_id)
        running_entry = pool.queue.table.running.get(message.request_id)
        cached_share = None
        if running_entry is not None and message.cached_tokens >= 0:
            tokens = max(1, running_entry.request.input_tokens)
            cached_share = min(1.0, message.cached_tokens / tokens)
        server = pool.queue.table.servers.get(message.server)
        was_open = server is not None and server.breaker.is_open
        decisions = pool.queue.finish(
            message.request_id,
            message.outcome,
            message.output_tokens,
            now_s,
            message.first_token_s,
            message.duration_s,
            cached_share,
        )
        if server is not None and server.breaker.is_open and not was_open:
            events.log(
                events.SERVER_CIRCUIT_OPEN,
                server=message.server,
                pool=message.pool,
            )
        self._carry_out(pool, decisions)

    def end_probation(self, message: kinds.ProbationPassed) -> None:
        """Allow other requests on the server of a request that ran alone."""
        pool = self.pools.get(message.pool)
        if pool is None:
            return
        decisions = pool.queue.end_probation(message.request_id, self._clock())
        self._carry_out(pool, decisions)

    def sync(self, message: kinds.EntrySync) -> None:
        """Reconcile the pool with an entry's waiting and running requests."""
        now_s = self._clock()
        pool = self._get_or_create_pool(message.pool)
        address = message.reply_address
        # The timeout of an entry covers at least three of its sync intervals.
        grace_s = 3 * message.interval_s - self._options.grant_timeout_s
        pool.entry_last_seen_s[address] = now_s + max(0.0, grace_s)
        if message.running or not message.progress:
            pool.unsynced_addresses.discard(address)
        for grant in message.running:
            self._restore_grant(pool, grant, address, now_s)
            pool.queue.progress(grant.request_id, grant.output_tokens, now_s)
        for request_id, output_tokens in message.progress.items():
            pool.queue.progress(request_id, output_tokens, now_s)
        if any(r not in pool.queue.table.running for r in message.progress):
            self._control.send(
                address,
                kinds.HoldQuery(self._options.own_address, message.pool),
            )
        self._drop_unreported(pool, message, now_s)
        for request_id in message.waiting:
            if request_id in pool.queue.table.running:
                self._resend_grant(pool, request_id)
        deferred_ids = {
            request.request_id for request in pool.deferred_requests
        }
        unknown_ids = tuple(
            request_id
            for request_id in message.waiting
            if not pool.queue.is_waiting(request_id)
            and request_id not in pool.queue.table.running
            and request_id not in deferred_ids
        )
        if unknown_ids:
            self._control.send(
                address, kinds.SyncUnknown(message.pool, unknown_ids)
            )
        if pool.is_ready(now_s):
            self._submit_deferred(pool, now_s)

    def _restore_grant(
        self, pool: Pool, grant, address: str, now_s: float
    ) -> None:
        if grant.request_id in pool.queue.table.running:
            return
        request = types.WaitingRequest(
            grant.request_id,
            grant.tier,
            grant.client_account,
            1.0,
            0,
            0,
            now_s,
            now_s,
            now_s,
            grant.cheap,
            reply_address=address,
        )
        pool.reply_addresses[grant.request_id] = address
        pool.granted_s[grant.request_id] = now_s
        pool.queue.restore_grant(request, grant.server, now_s)

    def _drop_unreported(self, pool: Pool, message, now_s: float) -> None:
        """End the grants that an entry no longer reports.

        Their release or cancel messages were lost. Grants younger than
        SYNC_GRACE_S are kept, as the entry may not have received them before
        its sync.
        """
        reported_ids = {grant.request_id for grant in message.running}
        reported_ids.update(message.progress, message.waiting)
        for request_id, address in list(pool.reply_addresses.items()):
            if address != message.reply_address or request_id in reported_ids:
                continue
            granted_s = pool.granted_s.get(request_id)
            if granted_s is None or now_s - granted_s < SYNC_GRACE_S:
                continue
            self._drop_request(pool, request_id, now_s)

    def _drop_request(self, pool: Pool, request_id: str, now_s: float) -> None:
        pool.reply_addresses.pop(request_id, None)
        pool.granted_s.pop(request_id, None)
        pool.queue.cancel(request_id)
        decisions = pool.queue.finish(request_id, outcomes.CANCELLED, 0, now_s)
        self._carry_out(pool, decisions)

    def _submit_deferred(self, pool: Pool, now_s: float) -> None:
        deferred_requests, pool.deferred_requests = pool.deferred_requests, []
        for request in deferred_requests:
            self._submit(pool, request, now_s)

    def tick(self) -> None:
        """Expire waiting requests, grants of timed-out entries, idle pools."""
        now_s = self._clock()
        for name, pool in list(self.pools.items()):
            if pool.deferred_requests and pool.is_ready(now_s):
                self._submit_deferred(pool, now_s)
            self._expire_entries(pool, now_s)
            self._carry_out(pool, pool.queue.tick(now_s))
            if pool.queue.waiting_count or pool.queue.table.running:
                pool.last_used_s = now_s
            if now_s - pool.last_used_s > IDLE_POOL_S:
                del self.pools[name]

    def _expire_entries(self, pool: Pool, now_s: float) -> None:
        cutoff_s = now_s - self._options.grant_timeout_s
        expired_addresses = {
            a for a, s in pool.entry_last_seen_s.items() if s < cutoff_s
        }
        if not expired_addresses:
            return
        for address in expired_addresses:
            del pool.entry_last_seen_s[address]
        for request_id, address in list(pool.reply_addresses.items()):
            if address in expired_addresses:
                events.log(
                    events.GRANT_EXPIRED,
                    request_id=request_id,
                    pool=str(pool.name),
                )
                self._drop_request(pool, request_id, now_s)

    def summaries(self) -> tuple[kinds.PoolSummary, ...]:
        """Return the load of each pool and update the pool metrics."""
        now_s = self._clock()
        found = []
        for name, pool in self.pools.items():
            table = pool.queue.table
            waits_s = tuple(
                round(pool.queue.estimate_wait_s(tier, "", now_s), 3)
                for tier in range(SUMMARY_TIERS)
            )
            found.append(
                kinds.PoolSummary(
                    name,
                    table.free_slots(now_s),
                    waits_s,
                    table.free_slots(now_s, cheap_only=True),
                    table.slots(now_s),
                    len(table.running),
                    pool.queue.waiting_count,
                    pool.queue.cheap_waiting_count(),
                    tuple(
                        server.spec.name
                        for server in table.servers.values()
                        if server.spec.leaving and server.running
                    ),
                )
            )
            labels = {"pool": name}
            metrics.set_gauge(metrics.POOL_RUNNING, labels, len(table.running))
            for tier, count in pool.queue.waiting_by_tier().items():
                metrics.set_gauge(
                    metrics.POOL_WAITING, {**labels, "tier": str(tier)}, count
                )
        return tuple(found)


@functools.singledispatch
def _carry_out(decision, broker: Broker, pool: Pool) -> None:
    raise TypeError(f"unknown decision {decision!r}")


@_carry_out.register
def _(decision: types.Grant, broker: Broker, pool: Pool) -> None:
    broker.send_grant(pool, decision)


@_carry_out.register
def _(decision: types.Refusal, broker: Broker, pool: Pool) -> None:
    broker.send_refusal(pool, decision)


@_carry_out.register
def _(decision: types.Preemption, broker: Broker, pool: Pool) -> None:
    broker.send_preemption(pool, decision)
