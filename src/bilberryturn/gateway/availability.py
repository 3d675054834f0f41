"""Track which backend servers take a request of this node now.

Handles what servers say in their answers: that they leave, for how long they
take no request of this node, how many they take of all nodes together, and that
they are brittle. Cold servers have a limit too.
"""

import asyncio
from collections.abc import Callable
import math
import random
import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.gateway import permits
from bilberryturn.gateway import places
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from bilberryturn.routing import directory
from bilberryturn.routing import server_limits
from bilberryturn.routing import slow_start
from bilberryturn.routing import types

# Statuses of a server that takes no request for the time of its Retry-After.
TURNED_AWAY = frozenset({429, 503})
# Time for which the lists of cold and brittle servers are kept; for 70 servers
# one takes 0.1 ms to make. Whether a chosen server needs a permit is checked
# each time.
COLD_CACHE_S = 0.05
# A shorter wait would be told to callers as a Retry-After of 0.00.
MIN_COLD_WAIT_S = 0.01
# Limited servers that are tried for one request before it goes to others.
MAX_PERMITS_ASKED = 3
# A caller that is refused for want of a place has waited for one already.
MIN_PLACE_RETRY_S = 0.3
# Mean time between two tries of all requests that wait for a place.
PLACE_TRY_S = 0.005


class Admission(NamedTuple):
    """Permission to send one request to a server.

    Attributes:
        place: Its place if the server is brittle.
    """

    place: places.Place | None


class Availability:
    """What answers of servers said, and the permits of those with a limit.

    Attributes:
        limits: The limits of the servers.
        permits: Gets and issues permits for requests to limited servers.
        places: Gets and grants places at brittle servers.
    """

    def __init__(
        self,
        servers: directory.Directory,
        pool: upstream.ConnectionPool,
        peers: permits.Peers,
        time_of_day: Callable[[], float],
        services: Callable[[], dict[str, types.Service]],
        in_flight: Callable[[types.Lifetime], int],
    ):
        """Initialize without restrictions.

        Args:
            servers: The known servers.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
            services: Returns the configured services by name.
            in_flight: Returns the requests that this node has in flight at a
                server.
        """
        self._servers = servers
        self._time_of_day = time_of_day
        self._services = services
        self.limits = server_limits.ServerLimits()
        self.permits = permits.Permits(
            servers, self.limit, pool, peers, time_of_day
        )
        self.places = places.Places(
            servers, self.permits, pool, peers, time_of_day, in_flight
        )
        self._brittleness = server_limits.brittleness()
        # Cached brittle servers and the rejections in a second that they
        # withstand, and when they were listed.
        self._found_brittle: dict[types.Lifetime, float] = {}
        self._brittle_found_s = -math.inf
        # Requests that wait for a place.
        self._waiting_count = 0
        # The servers among which they were found.
        self._listed: set[types.Lifetime] = set()
        # Time of day until which a server is cold, as its answers said or as
        # follows from a connection that ended.
        self._cold_until_s: dict[types.Lifetime, float] = {}
        # Monotonic time of the last such end.
        self._ended_s: dict[types.Lifetime, float] = {}
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
        self._observe_brittleness(server, head.brittle_per_s)
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

    def _observe_brittleness(
        self, server: types.BackendServer, brittle_per_s: float | None
    ) -> None:
        has_changed = self._brittleness.observe(
            server.lifetime, brittle_per_s, self._time_of_day()
        )
        if has_changed:
            self._brittle_found_s = -math.inf
            events.log(
                events.SERVER_BRITTLE_CHANGED,
                server=server.server_id,
                server_started_ms=server.started_ms,
                brittle_per_s=brittle_per_s,
            )

    def merge_reports(self, reports: dict[str, int]) -> None:
        """Merge another node's reports on limits and brittleness."""
        self.limits.merge(reports)
        self._brittleness.merge(reports)

    def own_reports(self) -> dict[str, int]:
        """Return this node's reports, for other nodes."""
        return {
            **self.limits.own_reports(),
            **self._brittleness.own_reports(),
        }

    def brittle(self) -> dict[types.Lifetime, float]:
        """Return the rejections in a second that brittle servers withstand.

        All servers of a service are brittle at the same times.
        """
        now_s = self._time_of_day()
        if abs(now_s - self._brittle_found_s) >= COLD_CACHE_S:
            self._found_brittle = self._find_brittle()
            self._brittle_found_s = now_s
        return self._found_brittle

    def _find_brittle(self) -> dict[types.Lifetime, float]:
        told = self._brittleness
        if not told.limited():
            return {}
        servers = self._servers.all_servers()
        self._listed = {server.lifetime for server in servers}
        lowest_per_s: dict[str, float] = {}
        newest_s: dict[str, float] = {}
        for server in servers:
            per_s, service = told.limit_per_s(server.lifetime), server.service
            if per_s is None:
                continue
            at_s = told.observed_s(server.lifetime)
            lowest_per_s[service] = min(lowest_per_s.get(service, per_s), per_s)
            newest_s[service] = max(newest_s.get(service, at_s), at_s)
        return {
            server.lifetime: lowest_per_s[server.service]
            for server in servers
            if told.limit_per_s(server.lifetime) is not None
            or told.observed_s(server.lifetime)
            < newest_s.get(server.service, -math.inf)
        }

    def _withstood_per_s(self, lifetime: types.Lifetime) -> float | None:
        """Return the rejections in a second that a brittle server withstands.

        None if it isn't brittle.
        """
        if self.brittle() and lifetime not in self._listed:
            # It has started since they were listed.
            self._brittle_found_s = -math.inf
        return self.brittle().get(lifetime)

    def _brittle_ids(self) -> set[str]:
        return {server_id for server_id, _ in self.brittle()}

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
            self._ended_s[server.lifetime] = time.monotonic()
            self._cold_until_s[server.lifetime] = (
                self._time_of_day() + service.cold_s
            )

    def withdraw_ends(self, since_s: float) -> None:
        """Forget the ends of servers that were recorded from a time on.

        Args:
            since_s: Monotonic time.
        """
        for lifetime, ended_s in list(self._ended_s.items()):
            if ended_s >= since_s:
                del self._ended_s[lifetime]
                self._cold_until_s.pop(lifetime, None)

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
        return named | self.cold() | self._brittle_ids()

    def spread(
        self, servers: list[types.BackendServer]
    ) -> list[types.BackendServer]:
        """Return servers in an order in which equal ones are chosen.

        It varies if some are cold or brittle, as all nodes would ask for the
        permits of the same idle server otherwise.
        """
        asked = self.cold() | self._brittle_ids()
        if not asked or not any(s.server_id in asked for s in servers):
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

    async def admit(
        self, server: types.BackendServer, priority: int, lasts_s: float
    ) -> Admission | None:
        """Return an admission if a request may be sent to a server now.

        Args:
            server: The server.
            priority: Priority of the request; 0 is the highest.
            lasts_s: Time for which the request may be in flight.
        """
        admission = Admission(None)
        withstood_per_s = self._withstood_per_s(server.lifetime)
        if withstood_per_s is not None:
            place = await self.places.acquire(
                server, withstood_per_s, priority, lasts_s
            )
            if place is None:
                return None
            admission = Admission(place)
        is_permitted = False
        try:
            is_permitted = await self.permits.acquire(server, priority)
        finally:
            if not is_permitted:
                self.release(admission)
        return admission if is_permitted else None

    def release(
        self,
        admission: Admission,
        was_accepted: bool = False,
        status: int | None = None,
    ) -> None:
        """Record that the request of an admission isn't in flight any more.

        Args:
            admission: The admission.
            was_accepted: Whether the server ran the request.
            status: Status of its answer, if there is one.
        """
        if admission.place is not None:
            self.places.release(
                admission.place, was_accepted, status in TURNED_AWAY
            )

    def has_brittle(self, servers: list[types.BackendServer]) -> bool:
        """Return whether some servers are brittle."""
        brittle = self.brittle()
        return any(server.lifetime in brittle for server in servers)

    async def wait_for_place(
        self,
        servers: list[types.BackendServer],
        priority: int,
        until_s: float,
    ) -> bool:
        """Wait until a request may find a place at a brittle server.

        Args:
            servers: The servers that may take the request.
            priority: Priority of the request; 0 is the highest.
            until_s: Monotonic time until which to wait.

        Returns:
            Whether to try it; False at once if the time is too short.
        """
        now_s, brittle = time.monotonic(), self.brittle()
        waits_s = [
            self._wait_s(server.lifetime, priority, now_s)
            for server in servers
            if server.lifetime in brittle
        ]
        wait_s = max(
            min(waits_s, default=0.0), PLACE_TRY_S * (self._waiting_count + 1)
        )
        if now_s + wait_s > until_s:
            return False
        self._waiting_count += 1
        try:
            await asyncio.sleep(wait_s)
        finally:
            self._waiting_count -= 1
        return True

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
            *self.brittle(),
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
        brittle = self.brittle()
        waits_s = []
        for server in servers:
            wait_s = self._wait_s(server.lifetime, priority, now_s)
            if server.lifetime in brittle:
                wait_s = max(wait_s, MIN_PLACE_RETRY_S)
            waits_s.append(wait_s)
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
        place_s = 0.0
        if lifetime in self.brittle():
            place_s = self.places.wait_s(lifetime, priority, now_s)
        return max(0.0, paused_s, permit_s, place_s)

    def _limit_of(self, lifetime: types.Lifetime) -> slow_start.Limit | None:
        server = self._servers.find(lifetime[0])
        if server is not None and server.lifetime == lifetime:
            return self.limit(server)
        return slow_start.combined(self.limits.limit_per_s(lifetime), None)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop what is known of server lifetimes that have ended."""
        self.limits.retain(live)
        self.permits.retain(live)
        self.places.retain(live)
        self._brittleness.retain(live)
        for lifetime in self._cold_until_s.keys() - live:
            del self._cold_until_s[lifetime]
        for lifetime in self._ended_s.keys() - live:
            del self._ended_s[lifetime]
        now_s = time.monotonic()
        self._paused_until_s = {
            lifetime: until_s
            for lifetime, until_s in self._paused_until_s.items()
            if lifetime in live and until_s > now_s
        }
