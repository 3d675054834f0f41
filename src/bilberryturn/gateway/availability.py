"""Track which backend servers take a request of this node now.

Handles what servers say in their answers: that they leave, for how long they
take no request of this node, and how many they take of all nodes together.
Cold servers have a limit too.
"""

import asyncio
from collections.abc import Callable
import math
import random
import time

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.gateway import permits
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from bilberryturn.routing import directory
from bilberryturn.routing import server_limits
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

# Statuses of a server that takes no request for the time of its Retry-After.
TURNED_AWAY = frozenset({429, 503})
# Time for which the list of cold servers is kept; for 70 servers it takes
# 0.1 ms to make. Whether a chosen server needs a permit is checked each time.
COLD_CACHE_S = 0.05
# A shorter wait would be told to callers as a Retry-After of 0.00.
MIN_COLD_WAIT_S = 0.01
# Limited servers that are tried for one request before it goes to others.
MAX_PERMITS_ASKED = 3


class Availability:
    """What answers of servers said, and the permits of those with a limit.

    Attributes:
        limits: The limits of the servers.
        permits: Gets and issues permits for requests to limited servers.
    """

    def __init__(
        self,
        servers: directory.Directory,
        pool: upstream.ConnectionPool,
        peers: permits.Peers,
        time_of_day: Callable[[], float],
        services: Callable[[], dict[str, types.Service]],
    ):
        """Initialize without restrictions.

        Args:
            servers: The known servers.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
            services: Returns the configured services by name.
        """
        self._servers = servers
        self._time_of_day = time_of_day
        self._services = services
        self.limits = server_limits.ServerLimits()
        self.permits = permits.Permits(
            servers, self.limit, pool, peers, time_of_day
        )
        # Time of day until which a server is cold, as its answers said or as
        # follows from a connection that ended.
        self._cold_until_s: dict[types.Lifetime, float] = {}
        # Cached cold servers and their limits, and when they were listed.
        self._found_cold: dict[types.Lifetime, float] = {}
        self._cold_found_s = -math.inf
        # The cold servers and their limits as last logged.
        self._logged_cold: dict[types.Lifetime, float] = {}
        # Monotonic time until which a server wants no request of this node.
        self._paused_until_s: dict[types.Lifetime, float] = {}

    def observe(
        self, server: types.BackendServer, head: wire.ServerResponse
    ) -> None:
        """Apply what an answer says of its server."""
        self._observe_limit(server, head.limit_per_s)
        if head.cold_left_s is not None:
            self._cold_until_s[server.lifetime] = (
                self._time_of_day() + head.cold_left_s
            )
        if head.is_leaving:
            self._record_leaving(server)
        if head.status in TURNED_AWAY and head.retry_after_s:
            until_s = time.monotonic() + head.retry_after_s
            known_s = self._paused_until_s.get(server.lifetime, 0.0)
            self._paused_until_s[server.lifetime] = max(known_s, until_s)

    def _observe_limit(
        self, server: types.BackendServer, limit_per_s: float | None
    ) -> None:
        has_changed = self.limits.observe(
            server.lifetime, limit_per_s, self._time_of_day()
        )
        if has_changed:
            events.log(
                events.SERVER_LIMIT_CHANGED,
                server=server.server_id,
                limit_per_s=limit_per_s,
            )

    def _record_leaving(self, server: types.BackendServer) -> None:
        change = self._servers.mark_leaving(server, time.monotonic())
        if change is not None:
            events.log(
                events.SERVER_CHANGED,
                server=change.server_id,
                change=change.kind,
                source="answer",
            )

    def record_end(self, server: types.BackendServer) -> None:
        """Record that a server ended or that nothing listens at its address.

        It may start again before its entry says so, and is cold then.
        """
        service = self._services().get(server.service)
        if service is not None and service.cold_s > 0:
            self._cold_until_s[server.lifetime] = (
                self._time_of_day() + service.cold_s
            )

    def limit(self, server: types.BackendServer) -> slow_start.Limit | None:
        """Return the limit of a server, if it has one."""
        return slow_start.combined(
            self.limits.limit_per_s(server.lifetime),
            self._cold_per_s(server, self._time_of_day()),
        )

    def _cold_per_s(
        self, server: types.BackendServer, now_s: float
    ) -> float | None:
        service = self._services().get(server.service)
        if service is None:
            return None
        met_until_s = self._cold_until_s.get(server.lifetime, 0.0)
        if met_until_s > server.cold_until_s:
            server = server._replace(cold_until_s=met_until_s)
        return slow_start.limit_per_s(server, service, now_s)

    def _cold(self) -> dict[types.Lifetime, float]:
        """Return the limits of the cold servers."""
        if not any(s.cold_rate_per_s for s in self._services().values()):
            return {}
        now_s = self._time_of_day()
        if abs(now_s - self._cold_found_s) >= COLD_CACHE_S:
            limits = {
                server.lifetime: self._cold_per_s(server, now_s)
                for server in self._servers.all_servers()
            }
            self._found_cold = {
                k: per_s for k, per_s in limits.items() if per_s
            }
            self._cold_found_s = now_s
        return self._found_cold

    def cold(self) -> set[str]:
        """Return the cold servers."""
        return {server_id for server_id, _ in self._cold()}

    def log_cold(self) -> None:
        """Log which servers became cold or warm since the last call."""
        known, self._logged_cold = self._logged_cold, self._cold()
        changed = known.keys() ^ self._logged_cold.keys()
        for lifetime in changed:
            events.log(
                events.SERVER_COLD_CHANGED,
                server=lifetime[0],
                server_started_ms=lifetime[1],
                limit_per_s=self._logged_cold.get(lifetime),
            )
        if changed:
            metrics.set_gauge(metrics.COLD_SERVERS, {}, len(self._logged_cold))

    def limited(self) -> set[str]:
        """Return the servers that take a limited number of requests."""
        named = {server_id for server_id, _ in self.limits.limited()}
        return named | self.cold()

    def spread(
        self, servers: list[types.BackendServer]
    ) -> list[types.BackendServer]:
        """Return servers in an order in which equal ones are chosen.

        It varies if some are cold, as all nodes would ask for the permits of
        the same idle server otherwise.
        """
        cold = self.cold()
        if not cold or not any(s.server_id in cold for s in servers):
            return servers
        return random.sample(servers, len(servers))

    def exclusions(
        self, priority: int, now_s: float, not_permitted: set[str]
    ) -> list[set[str]]:
        """Return the servers to exclude: in a first choice, and in a second.

        A request that got no permits of cold servers goes to a warm one if one
        takes it, and asks for further permits only otherwise.

        Args:
            priority: Priority of the request; 0 is the highest.
            now_s: Present monotonic time.
            not_permitted: The servers that got no permit for the request.
        """
        excluded = self.unavailable(priority, now_s) | not_permitted
        if len(not_permitted) >= MAX_PERMITS_ASKED:
            excluded |= self.limited()
        if len(not_permitted) < slow_start.MAX_ASKED:
            return [excluded]
        spared = self.cold()
        return [excluded | spared, excluded] if spared else [excluded]

    async def wait_for_permit(
        self, server: types.BackendServer, priority: int, deadline_s: float
    ) -> bool:
        """Wait for a permit for a moved run if its destination is cold.

        The destination has become cold since it was chosen; no other server has
        the copy of the run. Returns whether it may go on there.

        Args:
            server: The destination.
            priority: Priority of the request; 0 is the highest.
            deadline_s: Monotonic time until which to wait.
        """
        known = self._servers.find(server.server_id) or server
        while True:
            limit = self.limit(known)
            if limit is None or not limit.is_cold:
                return True
            now_s = time.monotonic()
            wait_s = self.permits.wait_s(known.lifetime, priority, now_s)
            if now_s + wait_s > deadline_s:
                return False
            await asyncio.sleep(wait_s)
            if await self.permits.acquire(known, priority):
                return True

    def unavailable(self, priority: int, now_s: float) -> set[str]:
        """Return the servers to which no request of a priority can be sent.

        Args:
            priority: Priority of the request; 0 is the highest.
            now_s: Present monotonic time.
        """
        lifetimes = [
            *self._paused_until_s,
            *self.limits.limited(),
            *self._cold(),
        ]
        return {
            lifetime[0]
            for lifetime in lifetimes
            if self._wait_s(lifetime, priority, now_s) > 0
        }

    def retry_after_s(
        self,
        servers: list[types.BackendServer],
        priority: int,
        now_s: float,
    ) -> float | None:
        """Return when the first of some servers may take a request.

        None if one takes requests now, or there is none.
        """
        waits_s = [
            self._wait_s(server.lifetime, priority, now_s) for server in servers
        ]
        return min(waits_s, default=0.0) or None

    def _wait_s(
        self, lifetime: types.Lifetime, priority: int, now_s: float
    ) -> float:
        """Return for how long no request can be sent to a server."""
        paused_s = self._paused_until_s.get(lifetime, now_s) - now_s
        permit_s = 0.0
        limit = self._limit_of(lifetime)
        if limit is not None:
            permit_s = self.permits.wait_s(lifetime, priority, now_s)
            if permit_s and limit.is_cold:
                permit_s = max(permit_s, MIN_COLD_WAIT_S)
        return max(0.0, paused_s, permit_s)

    def _limit_of(self, lifetime: types.Lifetime) -> slow_start.Limit | None:
        server = self._servers.find(lifetime[0])
        if server is not None and server.lifetime == lifetime:
            return self.limit(server)
        return slow_start.combined(self.limits.limit_per_s(lifetime), None)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop what is known of server lifetimes that have ended."""
        self.limits.retain(live)
        self.permits.retain(live)
        for lifetime in self._cold_until_s.keys() - live:
            del self._cold_until_s[lifetime]
        now_s = time.monotonic()
        self._paused_until_s = {
            lifetime: until_s
            for lifetime, until_s in self._paused_until_s.items()
            if lifetime in live and until_s > now_s
        }
