"""Split a stream of server-sent events into complete events."""

import re

from bilberryturn.gateway import response_limits

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_MAX_DELIMITER_BYTES = max(len(delimiter) for delimiter in _EVENT_DELIMITERS)


# Lines of fields and comments, and blank ones. An error's head or text that a
# server writes into a stream has others.
_WELL_FORMED = re.compile(
    rb"(?:(?:[A-Za-z][A-Za-z0-9_-]*(?::[^\r\n]*)?|:[^\r\n]*)?(?:\r\n|\n|\r))*"
)


class StreamError(Exception):
    """The bytes of a stream must not be forwarded; end the stream."""


class EventTooLargeError(StreamError):
    """An event exceeds the limit."""


class MalformedEventError(StreamError):
    """Bytes of a stream are no events."""


class NotContinuedError(StreamError):
    """A resumed stream does not go on behind the last event."""


class EventSplitter:
    """Buffers an event until it is complete.

    Attributes:
        last_event_id: Identifier of the last complete event, or None.
    """

    def __init__(self):
        self._buffer = bytearray()
        self.last_event_id: str | None = None
        # Event behind which the first one of a resumed stream must come.
        self._resumes_after: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Append bytes and return the events that are complete now.

        Raises:
            EventTooLargeError: The incomplete event exceeds the limit.
            NotContinuedError: A resumed stream repeats events.
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
        if len(self._buffer) > response_limits.MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event exceeds {response_limits.MAX_EVENT_BYTES} bytes"
            )
        self._record_event_ids(complete_events)
        return complete_events

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def begin_attempt(self) -> None:
        """Expect the bytes of another server, which resumes the stream.

        It sends an event that is incomplete from its beginning.
        """
        self._buffer.clear()
        self._resumes_after = self.last_event_id

    def _record_event_ids(self, complete_events: bytes) -> None:
        for line in complete_events.splitlines():
            if not line.startswith(b"id:"):
                continue
            event_id = line[3:].strip().decode("latin-1")
            after, self._resumes_after = self._resumes_after, None
            if after is not None and not _follows(event_id, after):
                raise NotContinuedError(
                    f"event {event_id!r} does not follow {after!r}"
                )
            self.last_event_id = event_id


def check(complete_events: bytes) -> None:
    """Check that bytes are events.

    Raises:
        MalformedEventError: They have lines that are no fields.
    """
    if _WELL_FORMED.fullmatch(complete_events) is None:
        raise MalformedEventError("bytes in the stream are no events")


def count(complete_events: bytes) -> int:
    """Return the number of events."""
    return sum(complete_events.count(d) for d in _EVENT_DELIMITERS)


def _follows(event_id: str, after: str) -> bool:
    """Return whether an event comes after another; identifiers increase."""
    if event_id.isdecimal() and after.isdecimal():
        return int(event_id) > int(after)
    return event_id != after
