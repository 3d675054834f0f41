"""Find out whether a server has ended that closed a connection.

A server may close a connection that was idle just as a request is sent on it,
or stop at the time limit of the request. To the node that looks like a server
that crashed under the request. A server that has only closed the connection
accepts a new one; one that has ended does not for as long as it takes to start
again.
"""

import asyncio
from collections.abc import Callable

from bilberryturn.gateway import upstream
from bilberryturn.routing import types

# Longer than a connection to another region takes, its first packet lost once.
CHECK_TIMEOUT_S = 1.5
# A caller waits for this check.
REFUSAL_TIMEOUT_S = 0.35


class CrashChecks:
    """Checks each server lifetime once at a time; runs on the event loop."""

    def __init__(self, pool: upstream.ConnectionPool):
        self._pool = pool
        self._waiting: dict[types.Lifetime, list[Callable[[], None]]] = {}
        self._tasks: set[asyncio.Task] = set()

    def start(
        self, server: types.BackendServer, on_crash: Callable[[], None]
    ) -> None:
        """Check a server in the background.

        Args:
            server: The server that closed a connection.
            on_crash: Called if it cannot be connected to.
        """
        waiting = self._waiting.get(server.lifetime)
        if waiting is not None:
            waiting.append(on_crash)
            return
        self._waiting[server.lifetime] = [on_crash]
        task = asyncio.get_running_loop().create_task(self._check(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def is_refusing(self, server: types.BackendServer) -> bool:
        """Return whether nothing listens any more at a server's address.

        A server that cannot be reached in time counts as running.
        """
        try:
            connection = await self._pool.acquire(
                server, REFUSAL_TIMEOUT_S, may_reuse=False
            )
        except upstream.UpstreamError as error:
            return error.is_disconnect
        connection.close()
        return False

    async def _check(self, server: types.BackendServer) -> None:
        has_ended = False
        try:
            connection = await self._pool.acquire(
                server, CHECK_TIMEOUT_S, may_reuse=False
            )
            connection.close()
        except upstream.UpstreamError as error:
            has_ended = not error.is_path_failure
        finally:
            waiting = self._waiting.pop(server.lifetime)
        if has_ended:
            for on_crash in waiting:
                on_crash()
