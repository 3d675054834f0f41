"""Membership as seen by one node."""

from typing import NamedTuple

from bilberryturn import messages
from bilberryturn import rendezvous

RELAYS_PER_DOMAIN = 2
SUMMARY_TIMEOUT_S = 5.0
SUSPECT_DURATION_S = 2.0
MEMBERS_PER_INTERVAL = 24

kinds = messages.kinds


class Member(NamedTuple):
    """A live node of the own failure domain.

    Attributes:
        incarnation: Greater after each start of the node.
        config_version: Version of the declarations in force on the node.
        leaving: Whether the node is shutting down.
        last_seen_s: Monotonic time of the last heartbeat.
        platform_age_s: Seconds since the last platform contact of the node,
            as of last_seen_s.
        pools: Load of the pools whose broker the node is.
    """

    name: str
    control_address: str
    incarnation: int
    config_version: int
    leaving: bool
    last_seen_s: float
    platform_age_s: float
    pools: tuple[kinds.PoolSummary, ...] = ()


class RemoteDomain(NamedTuple):
    """Another failure domain, as of the last summary from its relays.

    Attributes:
        members: Control addresses of the members by name.
        lowest_version: Lowest declarations version among the members.
        pools: Load of the domain's pools by pool name.
        last_seen_s: Monotonic time at which the summary arrived.
        platform_age_s: Seconds since the last platform contact of any node
            that the sender could reach, as of last_seen_s.
    """

    name: str
    region: str
    members: dict[str, str]
    lowest_version: int
    pools: dict[str, kinds.PoolSummary]
    last_seen_s: float
    platform_age_s: float


class Directory:
    """Members of the own domain and remote domains.

    Only the control thread may change it.
    """

    def __init__(
        self,
        own: Member,
        failure_domain: str,
        region: str,
        member_timeout_s: float,
    ):
        self.own_name = own.name
        self.failure_domain = failure_domain
        self.region = region
        self._timeout_s = member_timeout_s
        self.members: dict[str, Member] = {own.name: own}
        self.remote_domains: dict[str, RemoteDomain] = {}
        self._summary_sequences: dict[str, int] = {}
        self._suspected_until_s: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}

    def apply_heartbeat(self, heartbeat: kinds.Heartbeat, now_s: float) -> bool:
        """Apply a heartbeat; returns whether the member is new or restarted."""
        if heartbeat.failure_domain != self.failure_domain:
            return False
        if heartbeat.name == self.own_name:
            return False
        if heartbeat.incarnation < self._incarnations.get(heartbeat.name, 0):
            return False
        known = self.members.get(heartbeat.name)
        self._incarnations[heartbeat.name] = heartbeat.incarnation
        self.members[heartbeat.name] = Member(
            heartbeat.name,
            heartbeat.control_address,
            heartbeat.incarnation,
            heartbeat.config_version,
            heartbeat.leaving,
            now_s,
            heartbeat.platform_age_s,
            heartbeat.pools,
        )
        return known is None or known.incarnation != heartbeat.incarnation

    def apply_summary(self, summary: kinds.DomainSummary, now_s: float) -> bool:
        """Apply a summary that is newer than the last one of its sender.

        Returns:
            Whether it was applied.
        """
        if summary.failure_domain == self.failure_domain:
            return False
        if summary.sequence <= self._summary_sequences.get(summary.sender, 0):
            return False
        self._summary_sequences[summary.sender] = summary.sequence
        self.remote_domains[summary.failure_domain] = RemoteDomain(
            summary.failure_domain,
            summary.region,
            {m.name: m.control_address for m in summary.members},
            summary.lowest_version,
            {p.pool: p for p in summary.pools},
            now_s,
            summary.platform_age_s,
        )
        return True

    def update_own(self, now_s: float, **fields) -> None:
        """Update the member entry of this node."""
        own = self.members[self.own_name]
        self.members[self.own_name] = own._replace(last_seen_s=now_s, **fields)

    @property
    def intervals_per_heartbeat(self) -> int:
        """Return how many heartbeat intervals pass between two heartbeats.

        It grows with the number of members, so that the heartbeat traffic of
        a node stays bounded.
        """
        return 1 + (len(self.members) - 1) // MEMBERS_PER_INTERVAL

    def expire(self, now_s: float) -> list[Member]:
        """Remove and return the members whose heartbeats timed out."""
        timeout_s = self._timeout_s * self.intervals_per_heartbeat
        lost = [
            member
            for member in self.members.values()
            if member.name != self.own_name
            and now_s - member.last_seen_s > timeout_s
        ]
        for member in lost:
            del self.members[member.name]
        return lost

    def suspect(self, name: str, now_s: float) -> None:
        """Rank a node last for SUSPECT_DURATION_S after it did not reply."""
        if name != self.own_name:
            self._suspected_until_s[name] = now_s + SUSPECT_DURATION_S

    def brokers(
        self, failure_domain: str, pool: str, now_s: float
    ) -> list[tuple[str, str]]:
        """Return names and addresses of a pool's brokers in order of rank.

        Members that are leaving or suspected are ranked last.
        """
        addresses = self._addresses(failure_domain, now_s)
        ranked = rendezvous.rank(addresses, pool)
        deprioritized = [n for n in ranked if self._is_deprioritized(n, now_s)]
        ordered = [n for n in ranked if n not in deprioritized] + deprioritized
        return [(name, addresses[name]) for name in ordered]

    def _addresses(self, failure_domain: str, now_s: float) -> dict[str, str]:
        if failure_domain == self.failure_domain:
            return {m.name: m.control_address for m in self.members.values()}
        domain = self.remote_domains.get(failure_domain)
        if domain is None or now_s - domain.last_seen_s > SUMMARY_TIMEOUT_S:
            return {}
        return domain.members

    def _is_deprioritized(self, name: str, now_s: float) -> bool:
        member = self.members.get(name)
        if member is not None and member.leaving:
            return True
        return self._suspected_until_s.get(name, 0.0) > now_s

    def live_domains(self, now_s: float) -> list[RemoteDomain]:
        """Return the other failure domains with a recent summary."""
        return [
            domain
            for domain in self.remote_domains.values()
            if now_s - domain.last_seen_s <= SUMMARY_TIMEOUT_S
        ]

    def is_relay(self, name: str | None = None) -> bool:
        """Return whether a member is a relay of the own failure domain.

        Args:
            name: Name of the member; this node if None.
        """
        name = name or self.own_name
        return name in self.relays()

    def relays(self) -> list[str]:
        """Return the names of the relays of the own failure domain."""
        role = f"relay/{self.failure_domain}"
        # Jobs on other threads call this too, while the control thread may
        # change the members.
        members = list(self.members.values())
        stable = [m.name for m in members if not m.leaving]
        ranked = rendezvous.rank(stable or [m.name for m in members], role)
        return ranked[:RELAYS_PER_DOMAIN]

    def relay_targets(self, domain: RemoteDomain) -> list[str]:
        """Return the control addresses of another domain's relays."""
        ranked = rendezvous.rank(domain.members, f"relay/{domain.name}")
        return [domain.members[n] for n in ranked[:RELAYS_PER_DOMAIN]]

    def lowest_version(self) -> int:
        """Return the lowest declarations version in the own domain."""
        return min(m.config_version for m in self.members.values())

    def platform_age_s(self, now_s: float) -> float:
        """Return the age of the last platform contact of any reachable node."""
        ages = [
            m.platform_age_s + (now_s - m.last_seen_s)
            for m in self.members.values()
        ]
        ages.extend(
            d.platform_age_s + (now_s - d.last_seen_s)
            for d in self.live_domains(now_s)
        )
        return min(ages)
