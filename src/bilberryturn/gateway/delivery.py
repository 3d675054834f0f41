"""Deliver each chunk of a response to its caller exactly once."""

import time
from typing import NamedTuple
from typing import Protocol

from bilberryturn import server_sent_events
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import shared_state
from bilberryturn.platform import wire
from bilberryturn.routing import types


class Caller(Protocol):
    """Receives the response to one request."""

    def send_response(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Send a complete response."""

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Send the head of a streamed response."""

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a stream; waits while the caller reads slowly."""

    def end_stream(self) -> None:
        """End a complete stream."""

    def abort(self) -> None:
        """Close the connection so that the caller sees a truncated response."""


class IncomingRequest(NamedTuple):
    """A request as its caller sent it.

    Attributes:
        arrived_s: Monotonic time at which the gateway began to read it.
    """

    method: bytes
    target: bytes
    headers: wire.CallerHeaders
    body: bytes
    arrived_s: float

    def size_bytes(self) -> int:
        """Return the size of its target, its headers and its body."""
        headers = self.headers.forwarded
        return (
            len(self.target)
            + len(self.body)
            + sum(len(name) + len(value) for name, value in headers)
        )


class Delivery:
    """Delivers the response of one request over all its attempts.

    Attributes:
        has_started: Whether the head of a stream was sent.
        first_chunk_s: Monotonic time at which the first chunk was sent, or
            None.
        event_count: Events that were sent to the caller.
    """

    def __init__(
        self,
        caller: Caller,
        account: types.ClientAccount | None,
        usage: shared_state.UsageCounts,
    ):
        self._caller = caller
        self._account = account
        self._usage = usage
        self._splitter = server_sent_events.EventSplitter(
            response_limits.MAX_EVENT_BYTES,
            response_limits.MAX_EVENT_LINES,
            response_limits.MAX_EMPTY_EVENTS,
        )
        # Where a resumed stream goes on: only behind what the caller was sent.
        self._position = server_sent_events.Position()
        self._is_counted = False
        self.has_started = False
        self.first_chunk_s: float | None = None
        self.event_count = 0

    @property
    def last_event_id(self) -> str | None:
        """Return the identifier of the last event sent to the caller."""
        return self._position.last_event_id

    @property
    def can_resume(self) -> bool:
        """Return whether another server can go on where the caller is."""
        return self._position.is_known

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return self._splitter.size_bytes

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return self._splitter.size_bytes > 0

    def answered_s(self) -> float | None:
        """Return the time since the first chunk was sent, or None."""
        if self.first_chunk_s is None:
            return None
        return round(time.monotonic() - self.first_chunk_s, 3)

    def begin_attempt(self) -> None:
        """Prepare for another server's answer, which may resume a stream."""
        self._splitter.begin_attempt()

    async def forward(self, head: wire.ServerResponse, data: bytes) -> None:
        """Forward the complete events of a stream.

        Args:
            head: Head of the server's response.
            data: Next bytes of the stream.

        Raises:
            server_sent_events.StreamError: Some bytes are not what may come
                next; the events before them were sent.
        """
        position, unsent, event_count = self._position, [], 0
        try:
            for event in self._splitter.feed(data, head.is_event_stream):
                position = position.after(event)
                unsent.append(event.data)
                event_count += event.is_piece
        finally:
            if unsent:
                await self._send(head, b"".join(unsent), event_count > 0)
                self._position = position
                self.event_count += event_count

    async def _send(
        self, head: wire.ServerResponse, data: bytes, has_event: bool
    ) -> None:
        if has_event and self.first_chunk_s is None:
            # Comments may come before the request runs.
            self.first_chunk_s = time.monotonic()
            self.count_request()
        if not self.has_started:
            self._start_stream(head)
        await self._caller.send_chunk(data)

    def end_stream(self, head: wire.ServerResponse) -> None:
        """End a complete stream, which may have contained no event."""
        if not self.has_started:
            self._start_stream(head)
        self._caller.end_stream()

    def count_request(self) -> None:
        """Count the request for its account once, however often it runs."""
        if self._is_counted or self._account is None:
            return
        self._is_counted = True
        self._usage.count(self._account.name)

    def _start_stream(self, head: wire.ServerResponse) -> None:
        self.has_started = True
        self._caller.start_stream(head.status, head.headers)
