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

    def __init__(self):
        self.holders = 0
        self.released_s = 0.0
        self._connection: upstream.Connection | None = None
        self._opened_s = 0.0

    def open(self, connection: upstream.Connection) -> None:
        """Use a connection that was just established."""
        self._connection = connection
        self._opened_s = time.monotonic()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()

    @property
    def is_alive(self) -> bool:
        """Return whether the connection is open."""
        return self._connection is not None and self._connection.is_alive()

    @property
    def is_rejected(self) -> bool:
        """Return whether the server refused to take the connection."""
        connection = self._connection
        if connection is None:
            return True
        lived_s = connection.ended_s - self._opened_s
        return connection.is_reset and lived_s < REJECTED_S

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
        if self._connection is None or ended_s - self._opened_s < MIN_AGE_S:
            return None
        if self.is_alive:
            await asyncio.sleep(wait_s)
        if self.is_alive:
            return True
        # One that ended earlier had been idle for too long.
        is_same_end = ended_s - self._connection.ended_s < wait_s
        return False if is_same_end and not self.is_rejected else None


class _Server:
    """The spare connections to one server lifetime."""

    def __init__(self):
        self.current: Witness | None = None
        self.all: list[Witness] = []
        self.task: asyncio.Task | None = None
        self.tried_s = 0.0
        self.retry_s = RETRY_S


class Witnesses:
    """Keeps spare connections to servers while their answers need them."""

    def __init__(self, pool: upstream.ConnectionPool):
        self._pool = pool
        self._servers: dict[types.Lifetime, _Server] = {}
        # When an answer of a service last had neither length nor chunks.
        self._unframed_s: dict[str, float] = {}

    def is_expected(self, service: str) -> bool:
        """Return whether answers of a service may end with their connection."""
        seen_s = self._unframed_s.get(service)
        return seen_s is not None and time.monotonic() - seen_s < EXPECTED_S

    def record_unframed(self, service: str) -> None:
        """Record that an answer of a service has no length or chunks."""
        self._unframed_s[service] = time.monotonic()

    def hold(self, server: types.BackendServer) -> Witness:
        """Return a spare connection to a server, which must be released."""
        known = self._servers.setdefault(server.lifetime, _Server())
        if known.task is None and not (
            known.current and known.current.is_alive
        ):
            self._replace(server, known)
        witness = known.current
        witness.holders += 1
        return witness

    def release(self, witness: Witness) -> None:
        """End one hold of a spare connection."""
        witness.holders -= 1
        witness.released_s = time.monotonic()

    def renew(self, server: types.BackendServer, witness: Witness) -> Witness:
        """Return the held connection, or another if it ended some time ago."""
        if not witness.has_ended_for(JUDGED_S):
            return witness
        self.release(witness)
        return self.hold(server)

    def _replace(self, server: types.BackendServer, known: _Server) -> None:
        now_s = time.monotonic()
        if known.current is not None and known.current.is_rejected:
            if now_s - known.tried_s < known.retry_s:
                return
            known.retry_s = min(MAX_RETRY_S, 2 * known.retry_s)
        else:
            known.retry_s = RETRY_S
        known.tried_s = now_s
        known.current = Witness()
        known.all.append(known.current)
        known.task = asyncio.get_running_loop().create_task(
            self._open(server, known, known.current)
        )

    async def _open(
        self, server: types.BackendServer, known: _Server, witness: Witness
    ) -> None:
        try:
            witness.open(
                await self._pool.acquire(
                    server, CONNECT_TIMEOUT_S, may_reuse=False
                )
            )
        except upstream.UpstreamError:
            # The answer is judged without it.
            pass
        finally:
            known.task = None

    def close_unused(self) -> None:
        """Close the connections that no answer has needed for some time."""
        now_s = time.monotonic()
        for lifetime, known in list(self._servers.items()):
            for witness in list(known.all):
                is_needed = witness.holders or known.task is not None
                if is_needed or now_s - witness.released_s < UNUSED_S:
                    continue
                witness.close()
                known.all.remove(witness)
            if not known.all:
                del self._servers[lifetime]
        self._unframed_s = {
            service: seen_s
            for service, seen_s in self._unframed_s.items()
            if now_s - seen_s < EXPECTED_S
        }
