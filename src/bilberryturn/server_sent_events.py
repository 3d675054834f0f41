"""Split a stream of server-sent events into complete events."""

from collections.abc import Iterator
import math
import re
from typing import NamedTuple

# Names of fields. None of them can match a line in more than one way, as each
# byte of a stream is judged once.
_FIELD_NAME = re.compile(rb"[A-Za-z][A-Za-z0-9_-]*")
# Header fields of HTTP messages. A server that breaks off inside an event and
# then writes the head of an error leaves such lines in the event.
_MESSAGE_HEADERS = frozenset(
    {b"content-length", b"content-type", b"transfer-encoding"}
)
_LINE_ENDS = (b"\n", b"\r")
# Pieces of this size have no more lines than that.
PIECE_BYTES = 64
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
        is_piece: Whether it has data or an identifier; a comment has neither.
    """

    data: bytes
    event_id: str | None
    is_piece: bool


class EventSplitter:
    """Cuts a stream into events, line by line.

    A line ends with CR, LF or CRLF; a blank line ends an event.
    """

    def __init__(
        self,
        max_event_bytes: int,
        max_event_lines: float = math.inf,
        max_empty_events: float = math.inf,
    ):
        """Initialize without bytes.

        Args:
            max_event_bytes: Limit on the size of one event.
            max_event_lines: Limit on the lines of one event.
            max_empty_events: Limit on the events in a row without data, such as
                comments and blank lines.
        """
        self._max_event_bytes = max_event_bytes
        self._max_event_lines = max_event_lines
        self._max_empty_events = max_empty_events
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Expect the bytes of another server, which resumes the stream.

        It sends an event that is incomplete from its beginning.
        """
        self._buffer = bytearray()
        # Where the line that is incomplete begins in the buffer.
        self._line_start = 0
        self._event_id: str | None = None
        self._is_piece = False
        # Whether the last line ended with a CR, to which an LF may belong.
        self._is_behind_cr = False
        self._line_count = 0
        # Events without data or identifier since the last one with them.
        self._empty_count = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    @property
    def partial(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self._buffer)

    def feed(
        self, data: bytes, is_event_stream: bool = True
    ) -> Iterator[Event]:
        """Append bytes and yield the events that are complete now.

        Args:
            data: The next bytes of the stream.
            is_event_stream: Whether the lines of the events are checked.

        Raises:
            EventTooLargeError: The incomplete event exceeds a limit.
            MalformedEventError: A line is no field, or there is none in many
                events.
        """
        # Splits at the line ends of events only, unlike that of text.
        for part in data.splitlines(keepends=True):
            is_rest_of_line_end = self._is_behind_cr and part == b"\n"
            self._is_behind_cr = part.endswith(b"\r")
            if is_rest_of_line_end and not self._buffer:
                # The event that the CR ended is complete already.
                yield Event(part, None, False)
                continue
            self._buffer += part
            if is_rest_of_line_end:
                self._line_start = len(self._buffer)
                continue
            if part.endswith(_LINE_ENDS):
                line = bytes(self._buffer[self._line_start :]).rstrip(b"\r\n")
                self._line_start = len(self._buffer)
                self._line_count += 1
                if not line:
                    yield self._take_event()
                elif is_event_stream:
                    self._read_field(line)
                else:
                    self._is_piece = True
            if len(self._buffer) > self._max_event_bytes:
                raise EventTooLargeError(
                    f"an event exceeds {self._max_event_bytes} bytes"
                )
            if self._line_count > self._max_event_lines:
                raise EventTooLargeError(
                    f"an event exceeds {self._max_event_lines} lines"
                )

    def _take_event(self) -> Event:
        event = Event(bytes(self._buffer), self._event_id, self._is_piece)
        self._empty_count = 0 if event.is_piece else self._empty_count + 1
        if self._empty_count > self._max_empty_events:
            raise MalformedEventError(
                f"{self._empty_count} events in a row have no data"
            )
        self._buffer = bytearray()
        self._line_start = 0
        self._line_count = 0
        self._event_id = None
        self._is_piece = False
        return event

    def _read_field(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if not name:
            return
        if not is_field_name(name):
            # The line may be part of an answer, which logs must not hold.
            raise MalformedEventError(
                f"a line of {len(line)} bytes in the stream is no field"
            )
        if name == b"id":
            self._event_id = _read_id(value)
        self._is_piece = self._is_piece or name in (b"data", b"id")


class Piece(NamedTuple):
    """Some bytes of a stream with the number of line ends in them."""

    data: bytes
    line_count: int


def split_work(data: bytes, max_lines: int) -> Iterator[Piece]:
    """Yield bytes in pieces that take a bounded time to cut into events.

    Args:
        data: The next bytes of a stream.
        max_lines: Lines from which on the bytes are divided.
    """
    line_count = _count_line_ends(data)
    if line_count <= max_lines:
        yield Piece(data, line_count)
        return
    # Lists of short lines would take many times the memory of the bytes.
    for start in range(0, len(data), PIECE_BYTES):
        piece = data[start : start + PIECE_BYTES]
        yield Piece(piece, _count_line_ends(piece))


def _count_line_ends(data: bytes) -> int:
    return data.count(b"\n") + data.count(b"\r")


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
            return Position(last_event_id, self.is_known and not event.is_piece)
        is_next = last_event_id is None or _follows(
            event.event_id, last_event_id
        )
        if not is_next:
            raise NotContinuedError(
                f"event {event.event_id!r} does not follow {last_event_id!r}"
            )
        return Position(event.event_id)


def is_field_name(name: bytes) -> bool:
    """Return whether a line of events may begin with a name."""
    return (
        _FIELD_NAME.fullmatch(name) is not None
        and name.lower() not in _MESSAGE_HEADERS
    )


def _read_id(value: bytes) -> str:
    event_id = value.strip().decode("latin-1")
    if event_id and not _EVENT_ID.fullmatch(event_id):
        raise MalformedEventError(
            f"{len(event_id)} bytes are no identifier of an event"
        )
    return event_id


def _follows(event_id: str, after: str) -> bool:
    """Return whether an event comes after another; identifiers increase."""
    if event_id.isdecimal() and after.isdecimal():
        # Compared as text, as a number of any length is costly to convert.
        number, previous = event_id.lstrip("0"), after.lstrip("0")
        return (len(number), number) > (len(previous), previous)
    return event_id != after and event_id.isdecimal() == after.isdecimal()
