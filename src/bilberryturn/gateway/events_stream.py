"""Split a stream of server-sent events into complete events."""

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Buffers an event until it is complete.

    Attributes:
        last_event_id: Identifier of the last complete event, or None.
    """

    def __init__(self):
        self._buffer = b""
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Append bytes and return the events that are complete now."""
        self._buffer += data
        end = max(
            (
                position + len(delimiter)
                for delimiter in _EVENT_DELIMITERS
                if (position := self._buffer.rfind(delimiter)) >= 0
            ),
            default=0,
        )
        if not end:
            return b""
        complete_events, self._buffer = self._buffer[:end], self._buffer[end:]
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
        self._buffer = b""

    def _record_event_id(self, complete_events: bytes) -> None:
        for line in complete_events.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
