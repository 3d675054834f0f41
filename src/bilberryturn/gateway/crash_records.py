"""Count the crashes of servers, by request and by part of a prompt."""

import time
from typing import NamedTuple

from bilberryturn import events
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import shared_state
from bilberryturn.routing import part_crashes
from bilberryturn.routing import suspects
from bilberryturn.routing import types


class EarlyEnd(NamedTuple):
    """A request whose answer ended too early, after it had been sent.

    Attributes:
        first_event_s: Monotonic time of the answer's first event, or None.
        is_disconnect: Whether the server closed or reset the connection.
        was_reused: Whether the connection had carried a request before.
        has_response: Whether the head of an answer was received.
    """

    request: attempt_types.RoutedRequest
    server: types.BackendServer
    first_event_s: float | None
    is_disconnect: bool
    was_reused: bool
    has_response: bool


def record(shared: shared_state.SharedState, end: EarlyEnd) -> bool:
    """Count a crash, or find out first whether the server has ended.

    Returns:
        Whether a crash under the request was counted at once.
    """
    if not end.was_reused or end.has_response:
        return _count(shared, end)
    if end.is_disconnect:
        shared.crash_checks.start(end.server, lambda: _count_late(shared, end))
    return False


def _count(shared: shared_state.SharedState, end: EarlyEnd) -> bool:
    lifetime = end.server.lifetime
    if shared.directory.departure(lifetime) is not None:
        # The end of a server that leaves is no crash.
        return False
    request = end.request
    if end.is_disconnect:
        shared.record_prompt_disconnect(
            lifetime,
            request.requirements.prompt,
            request.fingerprint,
            end.first_event_s,
        )
    may_have_ended = end.is_disconnect or not end.was_reused
    if not may_have_ended or _is_sound(end):
        return False
    count = shared.suspects.record_crash(request.fingerprint, time.monotonic())
    if count == suspects.CRASHES_TO_REFUSE:
        events.log(
            events.REQUEST_QUARANTINED,
            request=request.incoming.headers.request_id,
            fingerprint=request.fingerprint,
            crashes=count,
        )
    return True


def _is_sound(end: EarlyEnd) -> bool:
    """Return whether the answer had been coming for long enough."""
    if end.first_event_s is None:
        return False
    return time.monotonic() - end.first_event_s >= part_crashes.SOUND_ANSWER_S


def _count_late(shared: shared_state.SharedState, end: EarlyEnd) -> None:
    if not _count(shared, end):
        return
    fingerprint = end.request.fingerprint
    events.log(
        events.CRASH_COUNTED,
        request=end.request.incoming.headers.request_id,
        server=end.server.server_id,
        fingerprint=fingerprint,
        known_crashes=shared.suspects.count(fingerprint, time.monotonic()),
    )
