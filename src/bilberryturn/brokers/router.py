"""Choose the pool of a request from the pool summaries of the nodes."""

from bilberryturn import declarations
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import platform
from bilberryturn import scheduling
from bilberryturn.brokers import pools
from bilberryturn.scheduling import spill

kinds = messages.kinds


class PoolRouter:
    """Compares the pools that can serve a target; control thread only."""

    def __init__(self, directory: membership.Directory):
        self._directory = directory
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

    def choose(
        self,
        targets: tuple[str, ...],
        tier: int,
        first_token_target_s: float,
        request_bytes: int,
        excluded_pools: frozenset[str],
        now_s: float,
    ) -> scheduling.SpillChoice | None:
        """Return the pool for a request, or None if no domain has a server.

        Args:
            targets: Acceptable models, in order of preference.
            tier: Tier of the request.
            first_token_target_s: Target for the time to its first token.
            request_bytes: Estimated traffic in both directions.
            excluded_pools: Pools that have refused the request.
            now_s: Current time.
        """
        for target in targets:
            views = [
                view
                for domain in self._domains(target)
                if (view := self._build_view(domain, target, tier, now_s))
                and view.pool not in excluded_pools
            ]
            choice = scheduling.choose_pool(
                views, first_token_target_s, request_bytes
            )
            if choice is not None:
                return choice
        return None

    def _domains(self, target: str) -> list[str]:
        """Return the domains with a running server that is not leaving."""
        return sorted(
            {
                vm.failure_domain
                for vm in self._vms
                if pools.serves(vm, target)
                and not pools.is_leaving(vm, self._declared)
            }
        )

    def _build_view(
        self, domain: str, target: str, tier: int, now_s: float
    ) -> spill.PoolView | None:
        name = str(pools.PoolName(domain, target))
        if domain == self._directory.failure_domain:
            summary = self._own_summary(name)
            wait_s = _reported_wait_s(summary, tier)
            return spill.PoolView(name, wait_s, 0.0, 0.0, True)
        if not self._directory.brokers(domain, name, now_s):
            return None
        remote = self._directory.remote_domains[domain]
        delay_s, cost_per_gb = self._path_cost(remote.region)
        wait_s = _reported_wait_s(remote.pools.get(name), tier)
        return spill.PoolView(name, wait_s, delay_s, cost_per_gb, False)

    def _own_summary(self, name: str) -> kinds.PoolSummary | None:
        own_summary = None
        for member in self._directory.members.values():
            for summary in member.pools:
                if summary.pool == name:
                    own_summary = summary
        return own_summary

    def _path_cost(self, region: str) -> tuple[float, float]:
        own_region = self._directory.region
        if region == own_region:
            return 0.0, 0.0
        for path in self._declared.region_paths.values():
            if set(path.regions) == {region, own_region}:
                return path.delay_s, path.cost_per_gb
        return 0.0, 0.0


def _reported_wait_s(summary: kinds.PoolSummary | None, tier: int) -> float:
    """Return the wait that a pool reports, or 0 for an unused pool."""
    if summary is None or not summary.wait_s:
        return 0.0
    return summary.wait_s[min(tier, len(summary.wait_s) - 1)]
