"""Find out whether this node is cut off from all servers.

The network may part a node from every server while its callers, the platform's
store and the other nodes still reach it. Failed connections and long silence
raise a doubt, which connections of the node's own settle: callers' requests are
not used to find out.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.routing import types

# Failures to connect raise a doubt together within this time.
FAILURES_S = 3.0
MIN_SERVERS = 2
# Silence of all servers that raises a doubt; a sound server may be silent for a
# second. Twice that if a check has just shown that servers only take longer.
SILENCE_S = 1.0
CONFIRMED_SILENCE_S = 2.0
# Servers that a check asks, one after another, until one of them answers.
MAX_ASKED = 3
ASK_TIMEOUT_S = 0.6
ASK_INTERVAL_S = 0.15
# Pause between the checks of a node that is cut off.
CHECK_INTERVAL_S = 0.5


class Links(NamedTuple):
    """What a check needs of the node.

    Attributes:
        servers: Returns the known servers.
        ask: Returns whether a server answers on a direct connection, within a
            time limit in seconds.
        has_peers: Returns whether other nodes may help.
        on_confirmed: Called as peers are found to reach what this node does
            not, with the time in seconds since the first sign of it.
    """

    servers: Callable[[], list[types.BackendServer]]
    ask: Callable[[types.BackendServer, float], Awaitable[bool]]
    has_peers: Callable[[], bool]
    on_confirmed: Callable[[float], None]


class Reachability:
    """Whether this node reaches servers; runs on the event loop.

    Attributes:
        is_cut: Whether no server can be reached.
        is_confirmed: Whether peers reach servers meanwhile, so that the servers
            have not ended.
        cut_ended_s: Monotonic time of the end of the last cut; 0 without.
    """

    def __init__(self, links: Links):
        self.is_cut = False
        self.is_confirmed = False
        self.cut_ended_s = 0.0
        self._excused_until_s = 0.0
        # When bytes first came through a peer during this cut; 0 before.
        self._helped_s = 0.0
        self._links = links
        # When a server could last not be connected to, by lifetime.
        self._failed_s: dict[types.Lifetime, float] = {}
        # Since when each server owes bytes, by connection.
        self._waiting: dict[object, tuple[types.Lifetime, float]] = {}
        self._received_s = 0.0
        self._answered_check_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._check_task: asyncio.Task | None = None
        # Bytes on connections that are older don't end the doubt.
        self._counts_from_s = 0.0
        self._is_answered = False

    @property
    def is_doubtful(self) -> bool:
        """Return whether the node may be cut off, or is."""
        return self._check_task is not None

    def excuses(self, opened_s: float) -> bool:
        """Return whether the failure of a direct connection says nothing.

        Args:
            opened_s: Monotonic time at which it was opened.
        """
        return self.is_confirmed or opened_s < self._excused_until_s

    def record_help(self) -> None:
        """Record that bytes of a server came through a peer."""
        if self.is_cut and not self._helped_s:
            self._helped_s = time.monotonic()

    # Evidence from direct connections.

    def record_failure(self, lifetime: types.Lifetime) -> None:
        """Record that a connection to a server failed before any byte."""
        now_s = time.monotonic()
        self._failed_s = {
            failed: at_s
            for failed, at_s in self._failed_s.items()
            if now_s - at_s < FAILURES_S
        }
        self._failed_s.setdefault(lifetime, now_s)
        known = {server.lifetime for server in self._links.servers()}
        if len(self._failed_s) >= min(MIN_SERVERS, len(known)):
            first_s = min(self._failed_s.values())
            self._doubt("connect", first_s, first_s)

    def record_bytes(self, opened_s: float) -> None:
        """Record that bytes came from a server.

        Args:
            opened_s: Monotonic time at which the connection was opened.
        """
        self._received_s = time.monotonic()
        if self._failed_s and opened_s > min(self._failed_s.values()):
            self._failed_s.clear()
        if self._check_task and opened_s > self._counts_from_s:
            self._is_answered = True

    def record_silence(self, since_s: float) -> None:
        """Record that a request got no byte until its time was over.

        Args:
            since_s: Monotonic time at which it was sent.
        """
        is_long = time.monotonic() - since_s >= SILENCE_S
        if is_long and self._received_s < since_s:
            # No other server sent anything either.
            self._doubt("silence", since_s, 0.0)

    def begin_wait(self, connection: object, lifetime: types.Lifetime) -> None:
        """Record that a server owes an answer on a connection."""
        self._waiting[connection] = (lifetime, time.monotonic())
        if self._timer is None:
            self._set_timer(SILENCE_S)

    def end_wait(self, connection: object) -> None:
        """Record that it owes none any more."""
        self._waiting.pop(connection, None)

    def _set_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._find_silence)

    def _find_silence(self) -> None:
        """Doubt if several servers owe bytes and none came for some time."""
        self._timer = None
        since_s: dict[types.Lifetime, float] = {}
        for lifetime, began_s in self._waiting.values():
            since_s[lifetime] = min(began_s, since_s.get(lifetime, began_s))
        if not since_s:
            return
        now_s = time.monotonic()
        limit_s = SILENCE_S
        if self._answered_check_s >= self._received_s:
            limit_s = CONFIRMED_SILENCE_S
        due_s = now_s + SILENCE_S
        if len(since_s) >= MIN_SERVERS and not self.is_doubtful:
            silent_from_s = max(
                sorted(since_s.values())[MIN_SERVERS - 1],
                self._received_s,
                self._answered_check_s,
            )
            due_s = silent_from_s + limit_s
            if now_s >= due_s:
                self._doubt("silence", silent_from_s, 0.0)
                due_s = now_s + SILENCE_S
        self._set_timer(due_s - now_s)

    # Checks.

    def _doubt(self, sign: str, since_s: float, counts_from_s: float) -> None:
        if self.is_doubtful or not self._links.has_peers():
            return
        self._counts_from_s = counts_from_s
        self._is_answered = False
        self._check_task = asyncio.get_running_loop().create_task(
            self._check(sign, since_s)
        )

    async def _check(self, sign: str, since_s: float) -> None:
        """Ask servers until one of them answers."""
        checks = 0
        try:
            while not await self._is_reached():
                checks += 1
                if not self.is_cut:
                    self._begin_cut(sign, since_s)
                elif self._helped_s and not self.is_confirmed:
                    # Peers reached a server before this check did not.
                    self.is_confirmed = True
                    self._links.on_confirmed(time.monotonic() - since_s)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            self._check_task = None
        self._end_cut(since_s, checks)

    def _begin_cut(self, sign: str, since_s: float) -> None:
        self.is_cut = True
        self._helped_s = 0.0
        metrics.set_gauge(metrics.CUT_FROM_SERVERS, {}, 1)
        events.log(
            events.SERVERS_UNREACHABLE,
            sign=sign,
            since_s=round(time.monotonic() - since_s, 3),
            failed=sorted(server_id for server_id, _ in self._failed_s),
            waiting=len(self._waiting),
            known=len(self._links.servers()),
        )

    def _end_cut(self, since_s: float, checks: int) -> None:
        self._failed_s.clear()
        self._answered_check_s = now_s = time.monotonic()
        if not self.is_cut:
            return
        metrics.set_gauge(metrics.CUT_FROM_SERVERS, {}, 0)
        events.log(
            events.SERVERS_REACHABLE,
            duration_s=round(now_s - since_s, 3),
            checks=checks,
            is_confirmed=self.is_confirmed,
        )
        self.cut_ended_s = now_s
        if self.is_confirmed:
            self._excused_until_s = now_s
        self.is_cut = self.is_confirmed = False

    async def _is_reached(self) -> bool:
        """Return whether any of some servers answers in time."""
        servers = self._links.servers()
        if not servers:
            return True
        random.shuffle(servers)
        servers.sort(key=lambda server: server.lifetime in self._failed_s)
        tasks = [
            asyncio.create_task(self._ask(server, number * ASK_INTERVAL_S))
            for number, server in enumerate(servers[:MAX_ASKED])
        ]
        try:
            for task in asyncio.as_completed(tasks):
                if await task or self._is_answered:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _ask(self, server: types.BackendServer, delay_s: float) -> bool:
        await asyncio.sleep(delay_s)
        if self._is_answered:
            return True
        return await self._links.ask(server, ASK_TIMEOUT_S)
