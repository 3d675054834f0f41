"""State of one request of a caller from its arrival to its end."""

import queue
import select
import socket
import time
from typing import Any

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.entry import context
from bilberryturn.entry import exceptions

CALLER_CHECK_INTERVAL_S = 0.5


class Exchange:
    """State of a request; the thread that serves it reads the inbox.

    Attributes:
        may_have_run: Whether a byte may have reached a backend server.
        trace: Steps of the request, for operators; contains no key, prompt or
            response.
    """

    def __init__(
        self,
        request_id: str,
        key_hash: str,
        connection: socket.socket | None,
    ):
        self.request_id = request_id
        self.key_hash = key_hash
        self.client_account = ""
        self.profile_name = ""
        self.profile: declarations.models.Profile | None = None
        self.arrived_s = time.monotonic()
        self.deadline_s = self.arrived_s + 3600.0
        self.may_have_run = False
        self.trace: list[dict[str, Any]] = []
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._connection = connection
        self._cancelled: context.Cancelled | None = None

    @property
    def tier(self) -> int:
        """Return the tier of the request's class."""
        return self.profile.tier if self.profile else 0

    def add_trace_step(self, step: str, **fields: Any) -> None:
        """Add a step to the trace."""
        after_s = round(time.monotonic() - self.arrived_s, 4)
        self.trace.append({"step": step, "after_s": after_s, **fields})

    def deliver(self, event: Any) -> None:
        """Put an event into the inbox; thread-safe."""
        self._inbox.put(event)

    def cancel(self, error: exceptions.RequestError) -> None:
        """End the exchange with an error; thread-safe."""
        self._cancelled = context.Cancelled(error)
        self._inbox.put(self._cancelled)

    def next_event(self, timeout_s: float | None = None) -> Any:
        """Return the next event, or None after the timeout.

        Args:
            timeout_s: Maximum wait, or None to wait until the deadline.

        Raises:
            RequestError: The exchange was cancelled, the caller has
                disconnected or the deadline has passed.
        """
        wait_until_s = self.deadline_s
        if timeout_s is not None:
            wait_until_s = min(wait_until_s, time.monotonic() + timeout_s)
        while True:
            if self._cancelled is not None:
                raise self._cancelled.error
            remaining_s = wait_until_s - time.monotonic()
            try:
                event = self._inbox.get(
                    timeout=max(0.0, min(remaining_s, CALLER_CHECK_INTERVAL_S))
                )
            except queue.Empty:
                self._check_caller()
                if time.monotonic() >= self.deadline_s:
                    raise exceptions.DeadlineExceededError() from None
                if time.monotonic() >= wait_until_s:
                    return None
                continue
            if isinstance(event, context.Cancelled):
                raise event.error
            return event

    def _check_caller(self) -> None:
        if self._connection is not None and is_closed(self._connection):
            raise exceptions.CallerGoneError()


def is_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed a connection."""
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN | select.POLLRDHUP)
        ready = poller.poll(0)
        if not ready:
            return False
        if ready[0][1] & (select.POLLHUP | select.POLLERR):
            return True
        # A half-closed peer could still read, but HTTP clients do not
        # half-close, so the connection counts as closed.
        return bool(ready[0][1] & select.POLLRDHUP)
    except (OSError, ValueError):
        return True


def log_end(exchange: Exchange, outcome: str, **fields: Any) -> None:
    """Log the end of a request and count it."""
    metrics.add(
        metrics.REQUESTS,
        {"profile": exchange.profile_name, "outcome": outcome},
    )
    events.log(
        events.REQUEST_ENDED,
        request_id=exchange.request_id,
        client_account=exchange.client_account,
        profile=exchange.profile_name,
        outcome=outcome,
        duration_s=round(time.monotonic() - exchange.arrived_s, 4),
        **fields,
    )
