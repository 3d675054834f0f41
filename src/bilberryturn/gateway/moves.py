"""Move running streams away from engines that are about to end.

Handles the reclaim of all cheap servers of a failure domain at once, with
seconds of notice: a stream that cannot be repeated would be lost with its
engine. The run is stopped, its memory is copied to another engine, and the
stream goes on there behind the last event that the caller has.
"""

import asyncio
from collections.abc import Coroutine
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol

from bilberryturn import events
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import upstream
from bilberryturn.platform import run_moves
from bilberryturn.routing import choice
from bilberryturn.routing import directory
from bilberryturn.routing import types

# A stream is moved this long before its engine ends: the copies of all its
# streams share one link. Most engines that state no time go on for longer than
# they have to.
LEAD_TIME_S = 2.5
UNSTATED_LEAD_TIME_S = 1.0
MOVE_TIMEOUT_S = 3.0
RELEASE_TIMEOUT_S = 1.0


class MovedRun(NamedTuple):
    """A run whose copy waits at another engine.

    Attributes:
        chosen: The engine that holds the copy.
        source: HOST:PORT of the engine that ran it.
        handle: Names the copy.
    """

    chosen: choice.Choice
    source: str
    handle: str

    @property
    def moved_from(self) -> str:
        """Return what names the copy in the request that goes on with it."""
        return run_moves.source_of(self.source, self.handle)


class NotMoved(NamedTuple):
    """A run without a copy.

    Attributes:
        may_have_stopped: Whether its engine may have stopped it all the same.
        source: HOST:PORT of the engine that ran it.
        handle: Names the memory of the stopped run there, or None.
    """

    may_have_stopped: bool
    source: str
    handle: str | None


MoveResult = MovedRun | NotMoved


class MovableStream(Protocol):
    """A stream that runs on an engine and can be moved."""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return the lifetime of the stream's engine."""

    def start_move(self) -> None:
        """Begin to move the stream; has no effect if it has begun."""


class Evacuation:
    """Tracks the movable streams and moves those whose engine ends."""

    def __init__(self, servers: directory.Directory, drain_s: float):
        """Initialize without streams.

        Args:
            servers: Tells which servers leave.
            drain_s: Time for which a leaving server that states no time goes
                on.
        """
        self._servers = servers
        self._drain_s = drain_s
        self._streams: set[MovableStream] = set()

    def add(self, stream: MovableStream) -> None:
        """Track a stream until it is discarded."""
        self._streams.add(stream)

    def discard(self, stream: MovableStream) -> None:
        """Stop tracking a stream."""
        self._streams.discard(stream)

    def step(self, now_s: float) -> None:
        """Move the streams whose engine is expected to end soon."""
        for stream in list(self._streams):
            departure = self._servers.departure(stream.lifetime)
            if departure is None:
                continue
            if now_s >= self._move_time_s(departure):
                stream.start_move()

    def _move_time_s(self, departure: directory.Departure) -> float:
        if departure.end_s is not None:
            return departure.end_s - LEAD_TIME_S
        return departure.reported_s + self._drain_s - UNSTATED_LEAD_TIME_S


class UnusedCopies:
    """Frees the memory of stopped runs with which no request goes on.

    It would be held at the engines until it expires there. A source that leaves
    takes no request to go on with a run that has no copy.
    """

    def __init__(self, pool: upstream.ConnectionPool):
        self._pool = pool
        self._tasks: set[asyncio.Task] = set()

    def release(self, moved: MovedRun) -> None:
        """Free the copy of a run in the background."""
        self._start(release(self._pool, moved.source, moved.handle))

    def release_after(self, move_task: "asyncio.Task[MoveResult]") -> None:
        """Free the copy of a run in the background once its move has ended."""
        self._start(self._release_after(move_task))

    async def _release_after(
        self, move_task: "asyncio.Task[MoveResult]"
    ) -> None:
        result = await move_task
        if result.handle is not None:
            await release(self._pool, result.source, result.handle)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def move(
    pool: upstream.ConnectionPool,
    source: types.BackendServer,
    request_id: str,
    chosen: choice.Choice,
) -> MoveResult:
    """Stop a run and copy it to another engine."""
    started_s = time.monotonic()
    try:
        reply = await _request_move(
            pool, source, request_id, chosen.server.address
        )
        error = None if reply.is_copied else "refused"
    except upstream.UpstreamError as failure:
        reply = run_moves.Reply(None, False, failure.was_sent)
        error = f"{type(failure).__name__}: {failure}"
    events.log(
        events.RUN_MOVED if reply.is_copied else events.RUN_NOT_MOVED,
        request=request_id,
        server=source.server_id,
        destination=chosen.server.server_id,
        duration_s=round(time.monotonic() - started_s, 3),
        error=error,
        may_have_stopped=reply.may_have_stopped,
    )
    if reply.is_copied:
        return MovedRun(chosen, source.address, reply.handle)
    return NotMoved(reply.may_have_stopped, source.address, reply.handle)


async def _request_move(
    pool: upstream.ConnectionPool,
    source: types.BackendServer,
    request_id: str,
    destination: str,
) -> run_moves.Reply:
    reply = await pool.call(
        source.address,
        upstream.Call(
            run_moves.METHOD,
            run_moves.TARGET,
            run_moves.encode(request_id, destination),
        ),
        MOVE_TIMEOUT_S,
        response_limits.MAX_HEAD_BYTES,
    )
    return run_moves.decode(reply.status, reply.body)


async def release(
    pool: upstream.ConnectionPool, source: str, handle: str
) -> None:
    """Free the memory of a stopped run at its source and its destination."""
    call = upstream.Call(
        run_moves.RELEASE_METHOD, run_moves.release_target(handle), b""
    )
    try:
        reply = await pool.call(
            source, call, RELEASE_TIMEOUT_S, response_limits.MAX_HEAD_BYTES
        )
        error = None if reply.status < 300 else f"status {reply.status}"
    except upstream.UpstreamError as failure:
        error = str(failure)
    events.log(events.COPY_RELEASED, source=source, error=error)
