"""Split a stream of server-sent events into complete events."""

from collections.abc import Iterator
import re
from typing import NamedTuple

from bilberryturn.gateway import response_limits

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_MAX_DELIMITER_BYTES = max(len(delimiter) for delimiter in _EVENT_DELIMITERS)
_EVENT = re.compile(rb".*?(?:\n\n|\r\n\r\n)", re.DOTALL)


# Lines of fields and comments, and blank ones. An error's head or text that a
# server writes into a stream has others.
_WELL_FORMED = re.compile(
    rb"(?:(?:[A-Za-z][A-Za-z0-9_-]*(?::[^\r\n]*)?|:[^\r\n]*)?(?:\r\n|\n|\r))*"
)
# Identifiers are sent to the server that resumes a stream, in a header.
_EVENT_ID = re.compile(r"[!-~]{1,256}")


class StreamError(Exception):
    """The bytes of a stream must not be forwarded; end the stream."""


class EventTooLargeError(StreamError):
    """An event exceeds the limit."""


class MalformedEventError(StreamError):
    """Bytes of a stream are no events."""


class NotContinuedError(StreamError):
    """An event does not go on behind the last one."""


class Event(NamedTuple):
    """A complete event.

    Attributes:
        data: Its bytes, as they were received.
        event_id: Its identifier; empty if it resets the last one, None if it
            has none.
        has_data: Whether it is more than a comment.
    """

    data: bytes
    event_id: str | None
    has_data: bool


class EventSplitter:
    """Buffers an event until it is complete."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(
        self, data: bytes, is_event_stream: bool = True
    ) -> Iterator[Event]:
        """Append bytes and yield the events that are complete now.

        Args:
            data: The next bytes of the stream.
            is_event_stream: Whether the lines of the events are checked.

        Raises:
            EventTooLargeError: The incomplete event exceeds the limit.
            MalformedEventError: An event has lines that are no fields.
        """
        # The buffered bytes contain no delimiter, except for its beginning.
        start = max(0, len(self._buffer) - _MAX_DELIMITER_BYTES + 1)
        self._buffer += data
        end = max(
            (
                position + len(delimiter)
                for delimiter in _EVENT_DELIMITERS
                if (position := self._buffer.rfind(delimiter, start)) >= 0
            ),
            default=0,
        )
        complete_events = bytes(self._buffer[:end])
        del self._buffer[:end]
        for match in _EVENT.finditer(complete_events):
            yield _read_event(match.group(), is_event_stream)
        if len(self._buffer) > response_limits.MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event exceeds {response_limits.MAX_EVENT_BYTES} bytes"
            )

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def begin_attempt(self) -> None:
        """Expect the bytes of another server, which resumes the stream.

        It sends an event that is incomplete from its beginning.
        """
        self._buffer.clear()


class Position(NamedTuple):
    """The place in a stream that its caller has reached.

    Attributes:
        last_event_id: Identifier of the last event, or None.
        is_known: Whether a server can go on behind the last event.
    """

    last_event_id: str | None = None
    is_known: bool = True

    def after(self, event: Event) -> "Position":
        """Return the position behind the next event.

        Raises:
            NotContinuedError: The event's identifier does not follow.
        """
        last_event_id = self.last_event_id
        if not event.event_id:
            # A server that resumes behind the last identifier would send an
            # event without one again.
            is_comment = event.event_id is None and not event.has_data
            return Position(last_event_id, self.is_known and is_comment)
        is_next = last_event_id is None or _follows(
            event.event_id, last_event_id
        )
        if not is_next:
            raise NotContinuedError(
                f"event {event.event_id!r} does not follow {last_event_id!r}"
            )
        return Position(event.event_id)


def _read_event(data: bytes, is_event_stream: bool) -> Event:
    if not is_event_stream:
        return Event(data, None, True)
    if _WELL_FORMED.fullmatch(data) is None:
        raise MalformedEventError("bytes in the stream are no events")
    event_id, has_data = None, False
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
        has_data = has_data or name == b"data"
    if event_id and not _EVENT_ID.fullmatch(event_id):
        raise MalformedEventError(f"{event_id!r} is no identifier of an event")
    return Event(data, event_id, has_data)


def _follows(event_id: str, after: str) -> bool:
    """Return whether an event comes after another; identifiers increase."""
    if event_id.isdecimal() and after.isdecimal():
        # Compared as text, as a number of any length is costly to convert.
        number, previous = event_id.lstrip("0"), after.lstrip("0")
        return (len(number), number) > (len(previous), previous)
    return event_id != after and event_id.isdecimal() == after.isdecimal()
