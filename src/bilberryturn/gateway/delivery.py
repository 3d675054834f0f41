"""Bring the parts of one answer to its caller, each of them once."""

import time
from typing import NamedTuple
from typing import Protocol

from bilberryturn.gateway import events_stream
from bilberryturn.gateway import shared_state
from bilberryturn.platform import wire
from bilberryturn.routing import types


class Caller(Protocol):
    """Takes the answer of one request."""

    def send_response(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Send the head of a stream."""

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a stream; waits while the caller reads slowly."""

    def end_stream(self) -> None:
        """End a whole stream."""

    def abort(self) -> None:
        """Close the connection so that the answer looks incomplete."""


class IncomingRequest(NamedTuple):
    """Holds a request as a caller sent it."""

    method: bytes
    target: bytes
    headers: wire.CallerHeaders
    body: bytes
    arrived_s: float


class Delivery:
    """Holds what the caller has got, over all attempts.

    Attributes:
        has_started: Whether the head of a stream was sent.
        first_part_s: Monotonic time of the first part, or None.
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
        self._splitter = events_stream.EventSplitter()
        self._is_counted = False
        self.has_started = False
        self.first_chunk_s: float | None = None

    @property
    def last_event_id(self) -> str | None:
        """Return the identifier of the last event the caller got."""
        return self._splitter.last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is held back."""
        return self._splitter.has_partial

    def begin_attempt(self) -> None:
        """Forget a part of an event whose rest will never come."""
        self._splitter.discard_partial()

    async def forward(self, head: wire.ServerAnswer, data: bytes) -> bool:
        """Take bytes of a stream; returns whether a whole event was sent."""
        complete_events = self._splitter.feed(data)
        if not complete_events:
            return False
        if not self.has_started:
            self.first_chunk_s = time.monotonic()
            self.count_request()
            self._start_stream(head)
        await self._caller.send_chunk(complete_events)
        return True

    def end_stream(self, head: wire.ServerAnswer) -> None:
        """End a stream that came whole; it may have held no event."""
        if not self.has_started:
            self._start_stream(head)
        self._caller.end_stream()

    def count_request(self) -> None:
        """Count the request for its account, once however often it runs."""
        if self._is_counted or self._account is None:
            return
        self._is_counted = True
        self._usage.count(self._account.name)

    def _start_stream(self, head: wire.ServerAnswer) -> None:
        self.has_started = True
        self._caller.start_stream(head.status, head.headers)
