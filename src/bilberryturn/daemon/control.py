"""Handle messages and timers on the control thread of a node."""

from collections.abc import Callable
import time
from typing import Any

import msgspec

from bilberryturn import brokers
from bilberryturn import conf
from bilberryturn import events
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn import platform
from bilberryturn.daemon import configuration
from bilberryturn.daemon import handlers
from bilberryturn.daemon import usage_recorder
from bilberryturn.entry import context

kinds = messages.kinds

CHECK_INTERVAL_S = 0.1
SUMMARY_INTERVAL_S = 1.0
UNKNOWN_DOMAIN_INTERVAL = 2
SECOND_RELAY_INTERVAL_FACTOR = 1.5


class ControlPlane:
    """Coordinates the in-memory state of a node; control thread only."""

    def __init__(
        self,
        settings: conf.Settings,
        incarnation: int,
        control: messages.ControlLoop,
        directory: membership.Directory,
        platform_age_s: Callable[[], float],
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.control = control
        self.directory = directory
        self.platform_age_s = platform_age_s
        self.is_leaving = False
        self.isolated_since_s: float | None = None
        self.broker: Any = None
        self.grants: Any = None
        self.router: Any = None
        self.configuration: configuration.ConfigurationSync | None = None
        self.usage: usage_recorder.UsageRecorder | None = None
        self.suspects: context.SharedSuspects | None = None
        self.vms: tuple[platform.Vm, ...] = ()
        self._vm_list_read_s = 0.0
        self._summary_sequence = int(time.time() * 1000)
        self._unsent_token_costs: dict[str, float] = {}
        self._last_lowest_version = 0
        self._reachable_domains: set[str] = set()
        self._last_forwarded: dict[str, tuple[float, Any]] = {}
        self._heartbeat_ticks = 0

    def start(
        self,
        broker: brokers.Broker,
        grants: brokers.GrantClient,
        router: brokers.PoolRouter,
        sync: configuration.ConfigurationSync,
        usage: usage_recorder.UsageRecorder,
        suspects: context.SharedSuspects,
    ) -> None:
        """Set the components and start the timers."""
        self.broker = broker
        self.grants = grants
        self.router = router
        self.configuration = sync
        self.usage = usage
        self.suspects = suspects
        timing = self.settings.timing
        self.control.call_periodically(
            timing.heartbeat_interval_s, self._heartbeat_tick
        )
        self.control.call_periodically(
            timing.entry_sync_interval_s, grants.sync
        )
        self.control.call_periodically(CHECK_INTERVAL_S, self._tick)
        self.control.call_periodically(
            CHECK_INTERVAL_S * 5, self._check_members
        )
        self.control.call_periodically(SUMMARY_INTERVAL_S, self._send_summary)

    def receive(self, message: kinds.Message) -> None:
        """Handle one message."""
        handlers.handle(message, self)

    def declarations_changed(self) -> None:
        """Update the broker and router; announce the version by heartbeat."""
        self._servers_changed()
        self.heartbeat()

    def _servers_changed(self) -> None:
        declared = self.configuration.current
        self.router.set_servers(self.vms, declared)
        self.broker.set_servers(self.vms, declared)

    def update_vms(self, vms: tuple[platform.Vm, ...], read_s: float) -> None:
        """Apply a VM list if it was read later than the current one."""
        if read_s <= self._vm_list_read_s:
            return
        self._vm_list_read_s = read_s
        if vms == self.vms:
            return
        self.vms = vms
        self._servers_changed()

    def push_vms(self) -> None:
        """Send the VM list to the members of the domain."""
        age_s = time.monotonic() - self._vm_list_read_s
        message = kinds.VmListPush(
            age_s, tuple(msgspec.to_builtins(vm) for vm in self.vms)
        )
        for member in self.directory.members.values():
            if member.name != self.directory.own_name:
                self.control.send(member.control_address, message)

    def _tick(self) -> None:
        self.grants.tick()
        self.broker.tick()

    def _heartbeat_tick(self) -> None:
        self._heartbeat_ticks += 1
        if self._heartbeat_ticks % self.directory.intervals_per_heartbeat == 0:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Send a heartbeat with the state of this node to its domain."""
        now_s = time.monotonic()
        pools = self.broker.summaries()
        token_costs = self.broker.counters.take_new_costs()
        for account, cost in token_costs.items():
            self._unsent_token_costs[account] = (
                self._unsent_token_costs.get(account, 0.0) + cost
            )
        node = self.settings.node
        self.directory.update_own(
            now_s,
            config_version=self.configuration.current.version,
            leaving=self.is_leaving,
            platform_age_s=self.platform_age_s(),
            pools=pools,
        )
        message = kinds.Heartbeat(
            node.name,
            node.failure_domain,
            node.region,
            self.control.options.own_address,
            self.incarnation,
            self.configuration.current.version,
            self.is_leaving,
            self.platform_age_s(),
            pools,
            token_costs,
        )
        for address in self._heartbeat_addresses():
            self.control.send(address, message)

    def _heartbeat_addresses(self) -> set[str]:
        """Return the addresses of members and of possible members."""
        addresses = {m.control_address for m in self.directory.members.values()}
        for vm in self.vms:
            if vm.kind == platform.vms.ENTRY and (
                vm.failure_domain == self.directory.failure_domain
            ):
                addresses.add(vm.address)
        remote = {
            address
            for domain in self.directory.remote_domains.values()
            for address in domain.members.values()
        }
        if self._heartbeat_ticks % UNKNOWN_DOMAIN_INTERVAL == 0:
            addresses.update(set(self.settings.peers.seeds) - remote)
        addresses.discard(self.control.options.own_address)
        return addresses

    def _check_members(self) -> None:
        now_s = time.monotonic()
        lost = self.directory.expire(now_s)
        for member in lost:
            events.log(events.MEMBER_LOST, member=member.name)
        if lost:
            self.grants.members_changed()
        self.usage.detect_lost_owners()
        self._log_unreachable_domains(now_s)
        self._update_isolation(now_s)
        lowest = self.directory.lowest_version()
        if lowest > self._last_lowest_version:
            self._last_lowest_version = lowest
            self._send_summary()

    def _log_unreachable_domains(self, now_s: float) -> None:
        """Log the failure domains that became unreachable."""
        reachable_now = {d.name for d in self.directory.live_domains(now_s)}
        for name in sorted(self._reachable_domains - reachable_now):
            events.log(events.DOMAIN_UNREACHABLE, failure_domain=name)
        self._reachable_domains = reachable_now

    def _update_isolation(self, now_s: float) -> None:
        """Record since when this node could have missed a key's withdrawal.

        While every failure domain is reachable and none of them reaches the
        platform, no change can be committed, so none can be missed.
        """
        is_platform_reachable = self.directory.platform_age_s(now_s) < (
            3 * self.settings.timing.config_backstop_interval_s
        )
        if is_platform_reachable or self._reaches_all_domains(now_s):
            if self.isolated_since_s is not None:
                events.log(
                    events.PLATFORM_REACHABLE,
                    isolated_s=round(now_s - self.isolated_since_s, 3),
                )
            self.isolated_since_s = None
        elif self.isolated_since_s is None:
            self.isolated_since_s = now_s
            events.log(events.PLATFORM_UNREACHABLE)

    def _reaches_all_domains(self, now_s: float) -> bool:
        reached_domains = {d.name for d in self.directory.live_domains(now_s)}
        reached_domains.add(self.directory.failure_domain)
        return reached_domains >= set(
            self.configuration.current.failure_domains
        )

    def isolated_s(self) -> float:
        """Return for how long key withdrawals could have been missed."""
        since_s = self.isolated_since_s
        return 0.0 if since_s is None else time.monotonic() - since_s

    def _send_summary(self) -> None:
        """Send a summary of this domain to the relays of other domains."""
        if not self.directory.is_relay():
            self._unsent_token_costs.clear()
            return
        message = self._summary()
        now_s = time.monotonic()
        addresses: set[str] = set()
        for domain in self.directory.live_domains(now_s):
            addresses.update(self.directory.relay_targets(domain))
        reachable_domains = {d.name for d in self.directory.live_domains(now_s)}
        own_domain = self.directory.failure_domain
        for vm in self.vms:
            is_remote_entry = (
                vm.kind == platform.vms.ENTRY
                and vm.failure_domain != own_domain
            )
            if is_remote_entry and vm.failure_domain not in reachable_domains:
                addresses.add(vm.address)
        own_addresses = {
            m.control_address for m in self.directory.members.values()
        }
        if self._summary_sequence % UNKNOWN_DOMAIN_INTERVAL:
            addresses.update(set(self.settings.peers.seeds) - own_addresses)
        for address in addresses - own_addresses:
            self.control.send(address, message)

    def _summary(self) -> kinds.DomainSummary:
        self._summary_sequence += 1
        token_costs, self._unsent_token_costs = self._unsent_token_costs, {}
        if self.directory.relays()[0] != self.directory.own_name:
            # Both relays collect the same token costs; only the first relay
            # sends them, so that they are not counted twice.
            token_costs = {}
        pools = {
            summary.pool: summary
            for member in self.directory.members.values()
            for summary in member.pools
        }
        members = tuple(
            kinds.MemberInfo(m.name, m.control_address, m.incarnation)
            for m in self.directory.members.values()
            if not m.leaving
        )
        return kinds.DomainSummary(
            self.settings.node.name,
            self.directory.failure_domain,
            self.directory.region,
            members,
            self.directory.lowest_version(),
            tuple(pools.values()),
            token_costs,
            self.suspects.quarantined(),
            self._summary_sequence,
            self.directory.platform_age_s(time.monotonic()),
        )

    def receive_summary(self, message: kinds.DomainSummary) -> None:
        """Process a newer summary of another domain; relays forward it."""
        is_known_domain = (
            message.failure_domain in self.directory.remote_domains
        )
        if not self.directory.apply_summary(message, time.monotonic()):
            return
        self.broker.counters.merge(message.counters)
        for fingerprint, ttl_s in message.quarantined.items():
            self.suspects.merge(kinds.SuspectMark(fingerprint, 2, ttl_s))
        for member in message.members:
            if member.name == message.sender:
                self.configuration.request_newer(
                    message.lowest_version, member.control_address
                )
        # Members drop a summary that they have already received, which ends
        # the forwarding.
        if self._should_forward(message, time.monotonic()):
            for member in self.directory.members.values():
                if member.name != self.directory.own_name:
                    self.control.send(member.control_address, message)
        if not is_known_domain:
            self.grants.members_changed()

    def _should_forward(
        self, message: kinds.DomainSummary, now_s: float
    ) -> bool:
        """Return whether this relay forwards a summary to its members.

        Changes of the version or of the number of members are forwarded at
        once, load changes at an interval that is proportional to the
        domain's heartbeat interval. The second relay uses a longer interval
        than the first.
        """
        relays = self.directory.relays()
        if self.directory.own_name not in relays:
            return False
        domain = message.failure_domain
        state = (message.lowest_version, len(message.members))
        forwarded_s, last_state = self._last_forwarded.get(domain, (0.0, None))
        interval_s = SUMMARY_INTERVAL_S * self.directory.intervals_per_heartbeat
        if relays[0] != self.directory.own_name:
            interval_s *= SECOND_RELAY_INTERVAL_FACTOR
        if state == last_state and now_s - forwarded_s < interval_s * 0.9:
            return False
        self._last_forwarded[domain] = (now_s, state)
        return True

    def receive_heartbeat(self, message: kinds.Heartbeat) -> None:
        """Process a heartbeat of a member of the own domain."""
        if message.failure_domain != self.directory.failure_domain:
            return
        now_s = time.monotonic()
        previous = self.directory.members.get(message.name)
        is_new = self.directory.apply_heartbeat(message, now_s)
        self.broker.counters.merge(message.counters)
        if self.directory.is_relay():
            for account, cost in message.counters.items():
                self._unsent_token_costs[account] = (
                    self._unsent_token_costs.get(account, 0.0) + cost
                )
        self.configuration.request_newer(
            message.config_version, message.control_address
        )
        if is_new:
            events.log(events.MEMBER_JOINED, member=message.name)
            self.control.send(
                message.control_address,
                kinds.VmListPush(
                    now_s - self._vm_list_read_s,
                    tuple(msgspec.to_builtins(vm) for vm in self.vms),
                ),
            )
        if is_new or (
            previous is not None and previous.leaving != message.leaving
        ):
            self.grants.members_changed()

    def broadcast_suspect(self, message: kinds.SuspectMark) -> None:
        """Send a mark to all members and to the relays of other domains."""
        for member in self.directory.members.values():
            if member.name != self.directory.own_name:
                self.control.send(member.control_address, message)
        for domain in self.directory.live_domains(time.monotonic()):
            for address in self.directory.relay_targets(domain):
                self.control.send(address, message)

    def update_control_metrics(self) -> None:
        """Copy the traffic counts of the control loop into the metrics."""
        loop = self.control
        for direction, count, size in (
            ("sent", loop.sent_messages, loop.sent_bytes),
            ("received", loop.received_messages, loop.received_bytes),
        ):
            labels = {"direction": direction}
            metrics.set_counter(metrics.CONTROL_MESSAGES, labels, count)
            metrics.set_counter(metrics.CONTROL_BYTES, labels, size)
