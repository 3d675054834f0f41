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
from bilberryturn.daemon import usage_keeper
from bilberryturn.entry import context

kinds = messages.kinds

CHECK_INTERVAL_S = 0.1
SUMMARY_INTERVAL_S = 1.0
UNKNOWN_DOMAIN_INTERVAL = 2
SECOND_RELAY_FACTOR = 1.5


class ControlPlane:
    """Ties the soft state of a node together; control thread only."""

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
        self.usage: usage_keeper.UsageKeeper | None = None
        self.suspects: context.SharedSuspects | None = None
        self.vms: tuple[platform.Vm, ...] = ()
        self._vms_read_s = 0.0
        self._summary_sequence = int(time.time() * 1000)
        self._growth_for_summary: dict[str, float] = {}
        self._known_lowest = 0
        self._heard_domains: set[str] = set()
        self._forwarded: dict[str, tuple[float, Any]] = {}
        self._beats = 0

    def wire(
        self,
        broker: brokers.Broker,
        grants: brokers.GrantClient,
        router: brokers.PoolRouter,
        sync: configuration.ConfigurationSync,
        usage: usage_keeper.UsageKeeper,
        suspects: context.SharedSuspects,
    ) -> None:
        """Set the parts and start the timers."""
        self.broker = broker
        self.grants = grants
        self.router = router
        self.configuration = sync
        self.usage = usage
        self.suspects = suspects
        timing = self.settings.timing
        self.control.call_periodically(timing.heartbeat_interval_s, self._beat)
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
        """Tell brokers, and tell peers the new version at once."""
        self._servers_changed()
        self.heartbeat()

    def _servers_changed(self) -> None:
        declared = self.configuration.current
        self.router.set_servers(self.vms, declared)
        self.broker.set_servers(self.vms, declared)

    def vms_read(self, listed: tuple[platform.Vm, ...], read_s: float) -> None:
        """Take over a VM list that is newer than the known one."""
        if read_s <= self._vms_read_s:
            return
        self._vms_read_s = read_s
        if listed == self.vms:
            return
        self.vms = listed
        self._servers_changed()

    def push_vms(self) -> None:
        """Send the VM list to the members of the domain."""
        age_s = time.monotonic() - self._vms_read_s
        message = kinds.VmListPush(
            age_s, tuple(msgspec.to_builtins(vm) for vm in self.vms)
        )
        for member in self.directory.members.values():
            if member.name != self.directory.own_name:
                self.control.send(member.control_address, message)

    def _tick(self) -> None:
        self.grants.tick()
        self.broker.tick()

    def _beat(self) -> None:
        self._beats += 1
        if self._beats % self.directory.heartbeat_stride == 0:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Tell the own domain that this node is alive and what it knows."""
        now_s = time.monotonic()
        pools = self.broker.summaries()
        growth = self.broker.counters.take_growth()
        for account, cost in growth.items():
            self._growth_for_summary[account] = (
                self._growth_for_summary.get(account, 0.0) + cost
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
            growth,
        )
        for address in self._heartbeat_addresses():
            self.control.send(address, message)

    def _heartbeat_addresses(self) -> set[str]:
        """Return the members and the addresses that may become members."""
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
        if self._beats % UNKNOWN_DOMAIN_INTERVAL == 0:
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
        self.usage.check_owners()
        self._note_domains(now_s)
        self._note_isolation(now_s)
        lowest = self.directory.lowest_version()
        if lowest > self._known_lowest:
            self._known_lowest = lowest
            self._send_summary()

    def _note_domains(self, now_s: float) -> None:
        """Log the failure domains that are not heard of any more."""
        heard = {d.name for d in self.directory.live_domains(now_s)}
        for name in sorted(self._heard_domains - heard):
            events.log(events.DOMAIN_UNREACHABLE, failure_domain=name)
        self._heard_domains = heard

    def _note_isolation(self, now_s: float) -> None:
        """Note since when a withdrawal of a key could be missed.

        While every failure domain is reachable and none hears the platform,
        nobody can commit a change, so nothing can be missed.
        """
        heard_lately = self.directory.platform_age_s(now_s) < (
            3 * self.settings.timing.config_backstop_interval_s
        )
        if heard_lately or self._reaches_all_domains(now_s):
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
        reached = {d.name for d in self.directory.live_domains(now_s)}
        reached.add(self.directory.failure_domain)
        return reached >= set(self.configuration.current.failure_domains)

    def isolated_s(self) -> float:
        """Return for how long withdrawals could have been missed."""
        since_s = self.isolated_since_s
        return 0.0 if since_s is None else time.monotonic() - since_s

    def _send_summary(self) -> None:
        """Tell the relays of the other domains about this one."""
        if not self.directory.is_relay():
            self._growth_for_summary.clear()
            return
        message = self._summary()
        now_s = time.monotonic()
        addresses: set[str] = set()
        for domain in self.directory.live_domains(now_s):
            addresses.update(self.directory.relay_targets(domain))
        known = {d.name for d in self.directory.live_domains(now_s)}
        own = self.directory.failure_domain
        for vm in self.vms:
            is_remote_entry = (
                vm.kind == platform.vms.ENTRY and vm.failure_domain != own
            )
            if is_remote_entry and vm.failure_domain not in known:
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
        growth, self._growth_for_summary = self._growth_for_summary, {}
        if self.directory.relays()[0] != self.directory.own_name:
            # Both relays collect the same growth; the first one tells it.
            growth = {}
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
            growth,
            self.suspects.quarantined(),
            self._summary_sequence,
            self.directory.platform_age_s(time.monotonic()),
        )

    def hear_summary(self, message: kinds.DomainSummary) -> None:
        """Take in a summary, and pass it on if it came from elsewhere."""
        known = message.failure_domain in self.directory.remote_domains
        if not self.directory.hear_summary(message, time.monotonic()):
            return
        self.broker.counters.merge(message.counters)
        for fingerprint, ttl_s in message.quarantined.items():
            self.suspects.merge(kinds.SuspectMark(fingerprint, 2, ttl_s))
        for member in message.members:
            if member.name == message.sender:
                self.configuration.heard_version(
                    message.lowest_version, member.control_address
                )
        # Members drop a summary that they have seen, which ends the chain.
        if self._forwards(message, time.monotonic()):
            for member in self.directory.members.values():
                if member.name != self.directory.own_name:
                    self.control.send(member.control_address, message)
        if not known:
            self.grants.members_changed()

    def _forwards(self, message: kinds.DomainSummary, now_s: float) -> bool:
        """Return whether this relay passes a summary on to its members.

        News of versions and members go at once, loads at the pace of the
        domain's heartbeats; the second relay is slower than the first.
        """
        relays = self.directory.relays()
        if self.directory.own_name not in relays:
            return False
        domain = message.failure_domain
        news = (message.lowest_version, len(message.members))
        forwarded_s, known = self._forwarded.get(domain, (0.0, None))
        pace_s = SUMMARY_INTERVAL_S * self.directory.heartbeat_stride
        if relays[0] != self.directory.own_name:
            pace_s *= SECOND_RELAY_FACTOR
        if news == known and now_s - forwarded_s < pace_s * 0.9:
            return False
        self._forwarded[domain] = (now_s, news)
        return True

    def hear_heartbeat(self, message: kinds.Heartbeat) -> None:
        """Take in a heartbeat."""
        if message.failure_domain != self.directory.failure_domain:
            return
        now_s = time.monotonic()
        was = self.directory.members.get(message.name)
        is_new = self.directory.hear(message, now_s)
        self.broker.counters.merge(message.counters)
        if self.directory.is_relay():
            for account, cost in message.counters.items():
                self._growth_for_summary[account] = (
                    self._growth_for_summary.get(account, 0.0) + cost
                )
        self.configuration.heard_version(
            message.config_version, message.control_address
        )
        if is_new:
            events.log(events.MEMBER_JOINED, member=message.name)
            self.control.send(
                message.control_address,
                kinds.VmListPush(
                    now_s - self._vms_read_s,
                    tuple(msgspec.to_builtins(vm) for vm in self.vms),
                ),
            )
        if is_new or (was is not None and was.leaving != message.leaving):
            self.grants.members_changed()

    def announce_suspect(self, message: kinds.SuspectMark) -> None:
        """Tell all members, and the other domains' relays, of a mark."""
        for member in self.directory.members.values():
            if member.name != self.directory.own_name:
                self.control.send(member.control_address, message)
        for domain in self.directory.live_domains(time.monotonic()):
            for address in self.directory.relay_targets(domain):
                self.control.send(address, message)

    def observe_control_cost(self) -> None:
        """Copy the counts of the control loop into the metrics."""
        loop = self.control
        for direction, count, size in (
            ("sent", loop.sent_messages, loop.sent_bytes),
            ("received", loop.received_messages, loop.received_bytes),
        ):
            labels = {"direction": direction}
            metrics.set_counter(metrics.CONTROL_MESSAGES, labels, count)
            metrics.set_counter(metrics.CONTROL_BYTES, labels, size)
