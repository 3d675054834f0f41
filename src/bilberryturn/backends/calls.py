"""Calls to backend servers and the events that they deliver."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

_numbers = itertools.count(1)


class CallOptions(NamedTuple):
    """Options of the request to send.

    Attributes:
        headers: Header lines; only the content length is added to them.
        timeout_s: Time limit of the call, after which it ends in an error.
        buffer_bytes: Bytes that may be buffered for the reader before
            receiving is paused (backpressure).
    """

    method: str
    url: str
    headers: tuple[str, ...]
    body: bytes | None
    connect_timeout_s: float
    timeout_s: float
    source_address: str = ""
    buffer_bytes: int = 256 * 1024


class CallHead(NamedTuple):
    """Status and headers of the response."""

    number: int
    status: int
    headers: dict[str, str]


class CallData(NamedTuple):
    """A chunk of the response body."""

    number: int
    data: bytes


class CallEnd(NamedTuple):
    """End of a call.

    Attributes:
        error: Reason of the failure; empty for a complete response.
        may_have_run: Whether the server may have received a byte of the
            request.
        is_connected: Whether the server accepted the connection.
    """

    number: int
    error: str
    may_have_run: bool
    is_connected: bool


class Call:
    """Handle of a call in flight; its events carry its number."""

    def __init__(self, options: CallOptions, deliver: Callable[[Any], None]):
        self.number = next(_numbers)
        self.options = options
        self.deliver = deliver
        self.curl: Any = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_head_complete = False
        self.is_head_delivered = False
        self.buffered_bytes = 0
        self.is_paused = False
        self.is_cancelled = False
