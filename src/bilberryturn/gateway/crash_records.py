"""Count the crashes of servers under a request.

A server also closes connections that were idle, and stops at the time limit of
a request. Such an end is a crash only if nothing listens at its address then.
"""

import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import shared_state
from bilberryturn.routing import part_crashes
from bilberryturn.routing import types


class EarlyEnd(NamedTuple):
    """A request whose answer ended too early, after it had been sent.

    Attributes:
        sent_s: Monotonic time at which the request was sent.
        first_event_s: Monotonic time of the answer's first event, or None.
        is_disconnect: Whether the server closed or reset the connection.
        was_reused: Whether the connection had carried a request before.
        has_response: Whether the head of an answer was received.
        is_at_limit: Whether the server may have stopped at the time limit that
            it was sent.
    """

    request: attempt_types.RoutedRequest
    server: types.BackendServer
    sent_s: float
    first_event_s: float | None
    is_disconnect: bool
    was_reused: bool
    has_response: bool
    is_at_limit: bool


def record(shared: shared_state.SharedState, end: EarlyEnd) -> bool:
    """Count a crash, or find out first whether the server has ended.

    Returns:
        Whether a crash under the request was counted at once.
    """
    is_idle_end = end.was_reused and not end.has_response
    if not is_idle_end and not end.is_at_limit:
        return _count(shared, end)
    if end.is_disconnect:
        shared.crash_checks.start(end.server, lambda: _count_late(shared, end))
    return False


def _count(shared: shared_state.SharedState, end: EarlyEnd) -> bool:
    lifetime = end.server.lifetime
    if shared.directory.departure(lifetime) is not None:
        # The end of a server that leaves is no crash.
        return False
    may_have_ended = end.is_disconnect or not end.was_reused
    if not may_have_ended:
        return False
    request = end.request
    prompt = request.requirements.prompt if end.is_disconnect else None
    if _is_sound(end):
        shared.record_answer(prompt, request.crash_name)
        return False
    shared.record_crash(lifetime, prompt, request.crash_name, end.sent_s)
    return True


def _is_sound(end: EarlyEnd) -> bool:
    """Return whether the answer had been coming for long enough."""
    if end.first_event_s is None:
        return False
    return time.monotonic() - end.first_event_s >= part_crashes.SOUND_ANSWER_S


def _count_late(shared: shared_state.SharedState, end: EarlyEnd) -> None:
    if not _count(shared, end):
        return
    name = end.request.crash_name
    evidence = shared.part_crashes.evidence(name, shared.time_of_day())
    events.log(
        events.CRASH_COUNTED,
        request=end.request.incoming.headers.request_id,
        server=end.server.server_id,
        crash_name=name,
        known_crashes=evidence.crashes,
        known_answers=evidence.answers,
    )
