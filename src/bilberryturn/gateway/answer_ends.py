"""Judge whether an answer without length or chunks is complete.

Such an answer ends with its connection. So does one whose run was stopped for a
move or at the time limit that the server was sent, or whose server ended in the
middle of it. A spare connection to the server tells the last case, unless there
is none.
"""

import asyncio
import time
from typing import NamedTuple

from bilberryturn.gateway import moves
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import time_limits
from bilberryturn.gateway import upstream
from bilberryturn.gateway import witnesses
from bilberryturn.platform import wire
from bilberryturn.routing import types

# A server leaves at most this much earlier than its report, as it was received
# here, says.
REPORT_LAG_S = 1.5
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Cut(NamedTuple):
    """What may have ended a connection before the end of its answer.

    Attributes:
        reason: Short cause for logs.
        is_crash: Whether the server has crashed.
    """

    reason: str
    is_crash: bool = False


def has_end(head: wire.ServerResponse, method: bytes) -> bool:
    """Return whether a response shows its end by itself."""
    has_no_body = head.status in STATUSES_WITHOUT_BODY or method == b"HEAD"
    return head.has_framing or has_no_body


class EndedAnswer(NamedTuple):
    """An answer without length or chunks whose connection has ended.

    Attributes:
        server: The server that closed the connection.
        connection: The connection, of which all was read.
        limit: The time limit that the server was sent.
        move: The move of the run that was asked for, if any; its response may
            come later than the end of the connection.
        witness: A spare connection to the server.
        wait_s: Time to wait for the end of that connection.
    """

    server: types.BackendServer
    connection: upstream.Connection
    limit: time_limits.TimeLimit
    move: asyncio.Task[moves.MoveResult] | None
    witness: witnesses.Witness
    wait_s: float


async def check(
    shared: shared_state.SharedState, answer: EndedAnswer, is_empty: bool
) -> None:
    """Check that a connection was closed because its answer has ended.

    Args:
        shared: State that all requests share.
        answer: The answer.
        is_empty: Whether the answer has no body.

    Raises:
        UpstreamError: The answer may have been cut.
    """
    if answer.limit.may_have_stopped(answer.connection.ended_boottime_s):
        raise upstream.UpstreamError(
            "answer may be cut: its time limit was over",
            was_sent=True,
            is_disconnect=True,
        )
    if is_empty:
        raise upstream.UpstreamError("answer ended at once", True, True)
    cut = await _find_stop(answer.move)
    cut = cut or await _find_end(shared, answer)
    if cut is not None:
        raise upstream.UpstreamError(
            f"answer may be cut: {cut.reason}",
            was_sent=True,
            is_disconnect=cut.is_crash,
            may_be_crash=cut.is_crash,
        )


async def _find_stop(
    move: asyncio.Task[moves.MoveResult] | None,
) -> Cut | None:
    """Return whether a run was stopped to be moved."""
    if move is None:
        return None
    # The move goes on if the request is cancelled meanwhile.
    result = await asyncio.shield(move)
    if isinstance(result, moves.MovedRun):
        return Cut("its run was moved")
    if result.may_have_stopped:
        return Cut("its run may have been stopped")
    return None


async def _find_end(
    shared: shared_state.SharedState, answer: EndedAnswer
) -> Cut | None:
    """Return whether the connection or its server ended inside an answer."""
    server = answer.server
    goes_on = await answer.witness.goes_on(answer.wait_s)
    if answer.connection.is_reset:
        return Cut("its connection was reset")
    if shared.directory.has_restarted(server.lifetime):
        return Cut("its server has started again")
    if goes_on:
        # One that leaves ends its answers before it ends itself.
        return None
    if goes_on is False:
        is_planned = shared.directory.departure(server.lifetime) is not None
        return Cut("its server has ended", is_crash=not is_planned)
    if _is_ending(shared, server.lifetime, time.monotonic()):
        return Cut("its server was about to end")
    if shared.directory.has_ended(server.lifetime):
        return Cut("its server has ended")
    if await shared.crash_checks.is_refusing(server):
        return Cut("its server has crashed", is_crash=True)
    return None


def _is_ending(
    shared: shared_state.SharedState, lifetime: types.Lifetime, now_s: float
) -> bool:
    """Return whether a leaving server may end at any moment."""
    departure = shared.directory.departure(lifetime)
    if departure is None:
        return False
    end_s = departure.end_s
    if end_s is None:
        end_s = departure.reported_s + shared.drain_s
    return now_s >= end_s - REPORT_LAG_S
