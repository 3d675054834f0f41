"""Split a stream of server-sent events into complete events."""

from bilberryturn.gateway import response_limits

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")
_MAX_DELIMITER_BYTES = max(len(delimiter) for delimiter in _EVENT_DELIMITERS)


class EventTooLargeError(Exception):
    """An event exceeds the limit; end the stream."""


class EventSplitter:
    """Buffers an event until it is complete.

    Attributes:
        last_event_id: Identifier of the last complete event, or None.
    """

    def __init__(self):
        self._buffer = bytearray()
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Append bytes and return the events that are complete now.

        Raises:
            EventTooLargeError: The incomplete event exceeds the limit.
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
        self._record_event_id(complete_events)
        return complete_events

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Discard an incomplete event whose rest will not arrive.

        A resumed stream sends the event from its beginning.
        """
        self._buffer.clear()

    def _record_event_id(self, complete_events: bytes) -> None:
        for line in complete_events.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
