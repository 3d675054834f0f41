"""Track which backend servers take a request of this node now.

Handles what servers say in their answers: that they leave, for how long they
take no request of this node, and how many they take of all nodes together.
"""

from collections.abc import Callable
import time

from bilberryturn import events
from bilberryturn.gateway import permits
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from bilberryturn.routing import directory
from bilberryturn.routing import server_limits
from bilberryturn.routing import types

# Statuses of a server that takes no request for the time of its Retry-After.
TURNED_AWAY = frozenset({429, 503})


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
    ):
        """Initialize without restrictions.

        Args:
            servers: The known servers.
            pool: Opens connections to other nodes.
            peers: The nodes that issue permits, this one included.
            time_of_day: Returns the time of day that all nodes share, in Unix
                seconds.
        """
        self._servers = servers
        self._time_of_day = time_of_day
        self.limits = server_limits.ServerLimits()
        self.permits = permits.Permits(self.limits, pool, peers)
        # Monotonic time until which a server wants no request of this node.
        self._paused_until_s: dict[types.Lifetime, float] = {}

    def observe(
        self, server: types.BackendServer, head: wire.ServerResponse
    ) -> None:
        """Apply what an answer says of its server."""
        self._observe_limit(server, head.limit_per_s)
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

    def limited(self) -> set[str]:
        """Return the servers that take a limited number of requests."""
        return {server_id for server_id, _ in self.limits.limited()}

    def unavailable(self, priority: int, now_s: float) -> set[str]:
        """Return the servers to which no request of a priority can be sent.

        Args:
            priority: Priority of the request; 0 is the highest.
            now_s: Present monotonic time.
        """
        lifetimes = [*self._paused_until_s, *self.limits.limited()]
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
        if self.limits.limit_per_s(lifetime) is not None:
            permit_s = self.permits.wait_s(lifetime, priority, now_s)
        return max(0.0, paused_s, permit_s)

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop what is known of server lifetimes that have ended."""
        self.limits.retain(live)
        self.permits.retain(live)
        now_s = time.monotonic()
        self._paused_until_s = {
            lifetime: until_s
            for lifetime, until_s in self._paused_until_s.items()
            if lifetime in live and until_s > now_s
        }
