"""Hold the state that all requests of a node share."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import NamedTuple

import msgspec

from bilberryturn import leases
from bilberryturn import metrics
from bilberryturn.gateway import availability
from bilberryturn.gateway import crash_checks
from bilberryturn.gateway import drain
from bilberryturn.gateway import list_waits
from bilberryturn.gateway import memory
from bilberryturn.gateway import moves
from bilberryturn.gateway import permits
from bilberryturn.gateway import reachability
from bilberryturn.gateway import state_arrival
from bilberryturn.gateway import stream_origins
from bilberryturn.gateway import tunnels
from bilberryturn.gateway import upstream
from bilberryturn.gateway import witnesses
from bilberryturn.routing import budget
from bilberryturn.routing import choice
from bilberryturn.routing import crash_causes
from bilberryturn.routing import directory
from bilberryturn.routing import part_crashes
from bilberryturn.routing import placement
from bilberryturn.routing import software_versions
from bilberryturn.routing import table as route_tables
from bilberryturn.routing import types

# Time for which leaving servers go on, unless the deployment states another.
DEFAULT_DRAIN_S = 2.5
# Connections in use may have been reset so long before the first sign that the
# node is cut off from servers.
CUT_MARGIN_S = 1.0
# Ended windows that a node keeps publishing, in case a write of them is lost.
KEPT_WINDOWS = 2


class WindowCounts(msgspec.Struct):
    """The requests that one node counted in one window.

    Attributes:
        counts: Requests that began to run, by client account.
        is_sealed: Whether the counts are final, as the node counts no more
            requests in the window.
    """

    counts: dict[str, int]
    is_sealed: bool


class UsageCounts:
    """Counts the requests that began to run, by window and account."""

    def __init__(
        self, window_s: float, time_of_day: Callable[[], float] = time.time
    ):
        """Initialize empty counts.

        Args:
            window_s: Length of a window in seconds.
            time_of_day: Returns the time of day in Unix seconds.
        """
        self.window_s = window_s
        self._time_of_day = time_of_day
        self._counts: dict[int, collections.Counter[str]] = {}
        self._is_closed = False

    def close(self) -> None:
        """Mark the current window as ended; no more requests will come."""
        self._is_closed = True

    def count(self, client_account: str, at_s: float | None = None) -> None:
        """Count a request that began to run.

        Args:
            client_account: The account to count it for.
            at_s: Time of day at which it began, or None for now.
        """
        at_s = self._time_of_day() if at_s is None else at_s
        window = int(at_s // self.window_s)
        counts = self._counts.setdefault(window, collections.Counter())
        counts[client_account] += 1

    def snapshot(self, now_s: float) -> dict[int, WindowCounts]:
        """Return the counts of the last windows and the current one.

        Args:
            now_s: Present time of day.
        """
        current = int(now_s // self.window_s)
        first = current - KEPT_WINDOWS
        # Copied, since the event loop may add windows meanwhile.
        for window in list(self._counts):
            if window < first:
                self._counts.pop(window, None)
        return {
            window: WindowCounts(
                dict(self._counts.get(window, {})),
                window < current or self._is_closed,
            )
            for window in range(first, current + 1)
        }


# Minimum number of nodes among which the slack of retries is divided.
MIN_ASSUMED_NODES = 9
# Share of the retry limits that the known nodes use together; the rest is
# reserved for nodes that are not known yet.
RETRY_LIMIT_SHARE = 0.7


class RetryLimits(NamedTuple):
    """Limits of the retries that all nodes together may send to a service.

    Attributes:
        ratio: Retries allowed for each request.
        slack: Retries allowed in addition, whatever the number of requests.
        window_s: Length of the sliding window.
    """

    ratio: float
    slack: float
    window_s: float

    def node_slack(self, node_count: int) -> float:
        """Return one node's share of the slack."""
        return (
            self.slack * RETRY_LIMIT_SHARE / max(MIN_ASSUMED_NODES, node_count)
        )


class SharedState:
    """The state that all requests of a node share, on one thread.

    Attributes:
        table: Active configuration, or None until the first was read.
        drain: The graceful shutdown in progress, or None.
        is_cut: Whether the shutdown has cut the requests that still ran.
        config_confirmed_s: Boot time at which the configuration was last
            confirmed, or None.
        time_of_day: Returns the time of day that all nodes share, in Unix
            seconds.
        drain_s: Time for which leaving servers go on at least, in seconds.
        memory: Account of the bytes that requests hold.
        reachability: Whether this node is cut off from all servers.
        placement: In which failure domains requests may be served.
        arrival: Lets requests wait for the state of a node that starts.
        list_waits: Lets requests wait for a newer list of servers.
        software_versions: Versions of the services' servers.
        stream_origins: At which version each stream of this node began.
    """

    def __init__(
        self,
        failure_domain: str,
        retry_limits: RetryLimits,
        usage_window_s: float,
        pool: upstream.ConnectionPool,
        time_of_day: Callable[[], float] = time.time,
        drain_s: float = DEFAULT_DRAIN_S,
        peers: permits.Peers = permits.NO_PEERS,
        memory_mb: float = 0.0,
        regions: Mapping[str, str] | None = None,
    ):
        self.failure_domain = failure_domain
        self.placement = placement.Placement(regions)
        self.table: route_tables.RouteTable | None = None
        self.directory = directory.Directory()
        self.drain_s = drain_s
        self.evacuation = moves.Evacuation(self.directory, drain_s)
        self.unused_copies = moves.UnusedCopies(pool)
        self.load_balancer = choice.LoadBalancer()
        self.part_crashes = part_crashes.PartCrashes()
        self.crash_checks = crash_checks.CrashChecks(pool)
        self.witnesses = witnesses.Witnesses(pool)
        self.availability = availability.Availability(
            self.directory,
            pool,
            peers,
            time_of_day,
            lambda: self.table.services if self.table else {},
            self.load_balancer.in_flight,
        )
        through_peers = tunnels.Tunnels(
            pool.open,
            peers.own_address,
            failure_domain,
            peers.in_domain,
            self.placement.domains_that_may_forward,
        )
        self.reachability = reachability.Reachability(
            reachability.Links(
                self.directory.all_servers,
                self._is_reached,
                through_peers.has_peers,
                self._withdraw_failures,
            )
        )
        pool.use_peers(self.reachability, through_peers)
        self.time_of_day = time_of_day
        self.usage = UsageCounts(usage_window_s, time_of_day)
        self.pool = pool
        self.memory = memory.MemoryAccount(memory.limit_bytes(memory_mb))
        self.arrival = state_arrival.StateArrival(self.memory)
        self.list_waits = list_waits.ListWaits(drain_s)
        self.software_versions = software_versions.SoftwareVersions()
        # The table for which versions were last looked at.
        self._versions_table: route_tables.RouteTable | None = None
        # Services none of whose streams can have begun at another version.
        self._uniform_services: frozenset[str] = frozenset()
        self.stream_origins = stream_origins.StreamOrigins(self.is_mixed)
        self.drain: drain.Drain | None = None
        self.is_cut = False
        self.config_confirmed_s: float | None = None
        self._retry_limits = retry_limits
        self._node_count = 1
        self._budgets: dict[str, budget.RetryBudget] = {}

    @property
    def is_stopping(self) -> bool:
        """Return whether the node is shutting down."""
        return self.drain is not None

    async def _is_reached(
        self, server: types.BackendServer, timeout_s: float
    ) -> bool:
        """Return whether a server answers its health check directly."""
        services = self.table.services if self.table else {}
        service = services.get(server.service)
        path = service.health_path if service is not None else ""
        return await self.pool.answers(server, path, timeout_s)

    def _withdraw_failures(self, age_s: float) -> None:
        """Forget failures of the path that were taken for those of servers.

        Args:
            age_s: Time in seconds for which the path has been failing.
        """
        age_s += CUT_MARGIN_S
        self.load_balancer.forget_failures()
        self.availability.withdraw_ends(time.monotonic() - age_s)
        self.part_crashes.withdraw(self.time_of_day() - age_s)

    def record_arrival(self) -> None:
        """Wake the requests that wait for what the node now knows.

        A server list that was read counts as known even if it is empty.
        """
        parts = (
            (state_arrival.Part.CONFIG, self.table),
            (state_arrival.Part.SERVERS, self.list_waits.confirmed_s),
        )
        self.arrival.update(
            {part for part, value in parts if value is not None}
        )

    def age_at_stop_s(self, arrived_s: float) -> float | None:
        """Return how long before the shutdown's start a request arrived.

        Negative for a request that arrived later; None without a shutdown.
        """
        if self.drain is None:
            return None
        return round(self.drain.started_s - arrived_s, 3)

    def candidates(
        self, requirements: choice.Requirements
    ) -> list[types.BackendServer]:
        """Return the servers that may take a request, whatever their load."""
        return self.placement.allowed(
            self.directory.usable(requirements.service.name),
            requirements.home_regions,
        )

    def may_send(
        self, server: types.BackendServer, requirements: choice.Requirements
    ) -> bool:
        """Return whether a server that was chosen may still take a request."""
        return self.placement.allows(server, requirements.home_regions)

    def has_home_region(self, requirements: choice.Requirements) -> bool:
        """Return whether the home regions of a request can serve it.

        They can if a server of its service is in one of them, even if it takes
        no request now. While the service has no server at all, this can't be
        told from home regions that name some region.
        """
        home_regions = requirements.home_regions
        if home_regions is None:
            return True
        servers = [
            server
            for server in self.directory.all_servers()
            if server.service == requirements.service.name
        ]
        if not servers:
            return bool(home_regions)
        return self.placement.has_home(servers, home_regions)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of several versions may be taken up."""
        return service not in self._uniform_services

    @property
    def has_mixed_service(self) -> bool:
        """Return whether any service of the configuration is mixed."""
        services = self.table.services if self.table else {}
        return not self._uniform_services >= services.keys()

    def observe_versions(self) -> None:
        """Record the versions of the servers that the store lists.

        Before the earlier reports are known, each version would seem new.
        """
        if self.table is None or not self.software_versions.is_complete:
            return
        self.software_versions.observe(
            [
                server
                for server in self.directory.all_servers()
                if server.service in self.table.services
            ],
            self.time_of_day(),
        )

    def update_versions(self) -> None:
        """Find out which services may have streams of several versions."""
        if self.table is None:
            return
        now_s = self.time_of_day()
        earlier, self._versions_table = self._versions_table, self.table
        if earlier is not None and earlier is not self.table:
            moved = self.table.moved_services(earlier)
            self.software_versions.record_moves(moved, now_s)
        servers: dict[str, list[types.BackendServer]] = {
            name: [] for name in self.table.services
        }
        for server in self.directory.all_servers():
            servers.setdefault(server.service, []).append(server)
        window_s = self.table.longest_stream_s
        self._uniform_services = frozenset(
            name
            for name, found in servers.items()
            if not self.software_versions.is_mixed(name, found, window_s, now_s)
        )

    def retry_budget(self, service: str) -> budget.RetryBudget:
        """Return the retry budget of a service."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = budget.RetryBudget(
                self._retry_limits.ratio * RETRY_LIMIT_SHARE,
                self._retry_limits.node_slack(self._node_count),
                self._retry_limits.window_s,
            )
        return retry_budget

    def set_node_count(self, node_count: int) -> None:
        """Divide the slack of retries among the known nodes."""
        if node_count == self._node_count:
            return
        self._node_count = node_count
        for retry_budget in self._budgets.values():
            retry_budget.resize(self._retry_limits.node_slack(node_count))

    def retain_servers(self, live: set[tuple[str, int]]) -> None:
        """Drop what is known of server lifetimes that have ended."""
        self.load_balancer.retain(live)
        self.availability.retain(live)

    def record_crash(
        self,
        server: types.Lifetime,
        prompt: types.Prompt | None,
        request_name: str,
        sent_s: float,
    ) -> None:
        """Record a request whose server crashed under it.

        Args:
            server: Lifetime of the server.
            prompt: The prompt, if its parts may be the cause.
            request_name: Identifies the request across its retries.
            sent_s: Monotonic time at which the request was sent.
        """
        now_s = self.time_of_day()
        self.part_crashes.record_crash(
            server,
            types.shared_parts(prompt),
            request_name,
            now_s,
            now_s - (time.monotonic() - sent_s),
        )

    def record_answer(
        self, prompt: types.Prompt | None, request_name: str
    ) -> None:
        """Record a request that was answered.

        Args:
            prompt: The prompt, if the answer shows that its parts are sound.
            request_name: Identifies the request across its retries.
        """
        self.part_crashes.record_answer(
            types.shared_parts(prompt), self.time_of_day(), request_name
        )

    def crash_cause(
        self, prompt: types.Prompt | None, request_name: str
    ) -> crash_causes.Cause | None:
        """Return why a request would crash its server, None if it may run."""
        return self.part_crashes.refused(
            types.shared_parts(prompt), self.time_of_day(), request_name
        )

    def merge_reports(self, node: str, reports: dict[str, int]) -> None:
        """Merge the reports of another node on crashes and limits."""
        self.part_crashes.merge(node, reports)
        self.availability.merge_reports(reports)
        self.software_versions.merge(reports)

    def own_reports(self) -> dict[str, int]:
        """Return the reports of this node, for other nodes."""
        return {
            **self.part_crashes.own_reports(self.time_of_day()),
            **self.availability.own_reports(),
            **self.software_versions.own_reports(),
        }

    def config_age_s(self) -> float | None:
        """Return the time since the configuration was last confirmed."""
        return _age_s(self.config_confirmed_s)

    def servers_age_s(self) -> float | None:
        """Return the time since the server list was last confirmed."""
        return _age_s(self.list_waits.confirmed_s)

    def record_home_refusal(
        self, route: str, client_account: str | None
    ) -> None:
        """Record a request that no home region can serve in the metrics."""
        metrics.add(
            metrics.HOME_REFUSALS,
            {
                "route": route,
                "client_account": metrics.account_label(
                    client_account or "none"
                ),
            },
        )

    def record_resumed_stream(self, service: str, outcome: str) -> None:
        """Record a stream that its caller takes up in the metrics."""
        metrics.add(
            metrics.RESUMED_STREAMS, {"service": service, "outcome": outcome}
        )

    def record_ended_request(
        self,
        route: str,
        client_account: str,
        outcome: str,
        duration_s: float,
        first_chunk_s: float | None,
    ) -> None:
        """Record a request that ended in the metrics."""
        metrics.add(metrics.REQUESTS, {"route": route, "outcome": outcome})
        metrics.add(metrics.REQUEST_DURATION_S, {"route": route}, duration_s)
        if first_chunk_s is None:
            return
        metrics.add(
            metrics.ACCOUNT_FIRST_TOKEN_S,
            {"client_account": metrics.account_label(client_account)},
            first_chunk_s,
        )


def _age_s(confirmed_s: float | None) -> float | None:
    return (
        None
        if confirmed_s is None
        else round(leases.boottime_s() - confirmed_s, 3)
    )
