"""Tell whether a server that closed a connection goes on running.

An answer without length or chunks ends with its connection, and so does one
whose server ended in the middle of it. The system closes all connections of a
process that ends at the same time, while a server that has sent a whole answer
closes only that one. A spare connection that was open before shows which it
was, also if the server's address is in use again at once.
"""

import asyncio
import time

from bilberryturn.gateway import upstream
from bilberryturn.routing import types

CONNECT_TIMEOUT_S = 0.35
# Connections that a process leaves behind end within this time of each other.
# It covers one packet that is lost and sent again.
STREAM_WAIT_S = 0.25
# Callers of other answers wait for their whole time.
ANSWER_WAIT_S = 0.1
# A spare connection that was opened just before the end may be one to the next
# process at the same address.
MIN_AGE_S = 0.02
# A server that has too many connections resets a new one within this time.
REJECTED_S = 0.1
# Pause before the next attempt to open a spare connection that failed.
RETRY_S = 0.5
MAX_RETRY_S = 8.0
# Time after its end for which a spare connection is still evidence.
JUDGED_S = 0.5
# Time for which a spare connection is kept for further answers.
UNUSED_S = 5.0
# Time for which a service counts as one whose answers have no length or chunks.
EXPECTED_S = 30.0


class Witness:
    """A spare connection to a server.

    Attributes:
        holders: Number of answers that need it.
        released_s: Monotonic time at which the last one released it.
    """

    def __init__(self, retry_s: float = RETRY_S):
        """Initialize without a connection.

        Args:
            retry_s: Pause before the next one if the server rejects this one.
        """
        self.holders = 0
        self.released_s = 0.0
        self.retry_s = retry_s
        self._began_s = time.monotonic()
        self._opened_s = 0.0
        self._connection: upstream.Connection | None = None
        self._task: asyncio.Task | None = None

    def begin_open(
        self,
        pool: upstream.ConnectionPool,
        server: types.BackendServer,
        via: str | None,
    ) -> None:
        """Open the connection in the background."""
        self._task = asyncio.get_running_loop().create_task(
            self._open(pool, server, via)
        )

    async def _open(
        self,
        pool: upstream.ConnectionPool,
        server: types.BackendServer,
        via: str | None,
    ) -> None:
        try:
            self._connection = await pool.acquire_along(
                server, via, CONNECT_TIMEOUT_S
            )
        except upstream.UpstreamError:
            # The answer is judged without it.
            return
        self._opened_s = time.monotonic()

    def close(self) -> None:
        """Close the connection, or give up opening it."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    @property
    def is_alive(self) -> bool:
        """Return whether the connection is open."""
        return self._connection is not None and self._connection.is_alive()

    @property
    def is_rejected(self) -> bool:
        """Return whether the server did not take the connection."""
        if self._connection is None:
            return self._task.done()
        lived_s = self._connection.ended_s - self._opened_s
        return self._connection.is_reset and lived_s < REJECTED_S

    def is_due(self, now_s: float) -> bool:
        """Return whether another connection is to be opened in its place."""
        if self.is_rejected:
            return now_s - self._began_s >= self.retry_s
        return self._connection is not None and not self.is_alive

    def has_ended_for(self, time_s: float) -> bool:
        """Return whether the connection ended at least a time ago."""
        if self._connection is None or self.is_alive:
            return False
        return time.monotonic() - self._connection.ended_s >= time_s

    async def goes_on(self, wait_s: float) -> bool | None:
        """Return whether the server goes on after closing another connection.

        Args:
            wait_s: Time within which all its connections would end.

        Returns:
            None if this connection cannot show it.
        """
        ended_s = time.monotonic()
        await asyncio.sleep(wait_s)
        if self._connection is None or ended_s - self._opened_s < MIN_AGE_S:
            return None
        if self.is_alive:
            return True
        if self._connection.is_path_failure:
            return None
        # One that ended earlier had been idle for too long.
        is_same_end = ended_s - self._connection.ended_s < wait_s
        return False if is_same_end and not self.is_rejected else None


class Witnesses:
    """Keeps spare connections to servers while their answers need them."""

    def __init__(self, pool: upstream.ConnectionPool):
        self._pool = pool
        # By server and by the peer that passes it on, if any: on two ways the
        # ends of two connections may arrive apart.
        self._current: dict[tuple[types.Lifetime, str | None], Witness] = {}
        # When an answer of a service last had neither length nor chunks.
        self._unframed_s: dict[str, float] = {}

    def is_expected(self, service: str) -> bool:
        """Return whether answers of a service may end with their connection."""
        seen_s = self._unframed_s.get(service)
        return seen_s is not None and time.monotonic() - seen_s < EXPECTED_S

    def record_unframed(self, service: str) -> None:
        """Record that an answer of a service has no length or chunks."""
        self._unframed_s[service] = time.monotonic()

    def hold(
        self, server: types.BackendServer, via: str | None = None
    ) -> Witness:
        """Return a spare connection to a server, which must be released.

        Args:
            server: The server.
            via: Address of the peer that passes the answer on; None for a
                direct one.
        """
        witness = self._current.get((server.lifetime, via))
        if witness is None or witness.is_due(time.monotonic()):
            witness = self._replace(server, via, witness)
        witness.holders += 1
        return witness

    def _replace(
        self,
        server: types.BackendServer,
        via: str | None,
        earlier: Witness | None,
    ) -> Witness:
        retry_s = RETRY_S
        if earlier is not None:
            if earlier.is_rejected:
                retry_s = min(MAX_RETRY_S, 2 * earlier.retry_s)
            if not earlier.holders:
                earlier.close()
        witness = self._current[server.lifetime, via] = Witness(retry_s)
        witness.begin_open(self._pool, server, via)
        return witness

    def release(self, witness: Witness) -> None:
        """End one hold of a spare connection."""
        witness.holders -= 1
        witness.released_s = time.monotonic()
        if not witness.holders and witness.has_ended_for(0.0):
            witness.close()

    def renew(
        self, server: types.BackendServer, via: str | None, witness: Witness
    ) -> Witness:
        """Return the held connection, or another if it ended some time ago."""
        if not witness.has_ended_for(JUDGED_S):
            return witness
        self.release(witness)
        return self.hold(server, via)

    def close_unused(self) -> None:
        """Close the connections that no answer has needed for some time."""
        now_s = time.monotonic()
        for key, witness in list(self._current.items()):
            if not witness.holders and now_s - witness.released_s >= UNUSED_S:
                witness.close()
                del self._current[key]
        self._unframed_s = {
            service: seen_s
            for service, seen_s in self._unframed_s.items()
            if now_s - seen_s < EXPECTED_S
        }
