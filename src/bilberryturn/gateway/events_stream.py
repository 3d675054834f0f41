"""Split a stream of server-sent events into whole events."""

_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Holds back an event until it is whole.

    Attributes:
        last_event_id: Identifier of the last whole event.
    """

    def __init__(self):
        self._buffer = b""
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them."""
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
        """Return whether a part of an event is held back."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Forget a part whose rest will never come.

        A resumed stream sends the event from its beginning.
        """
        self._buffer = b""

    def _record_event_id(self, complete_events: bytes) -> None:
        for line in complete_events.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
