"""Describe a call to a backend server and what is heard from it."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

_numbers = itertools.count(1)


class CallOptions(NamedTuple):
    """Describes the request to send.

    Attributes:
        headers: Header lines; nothing else is added but the length.
        timeout_s: Time until the call ends in an error.
        buffer_bytes: Bytes that may wait for the reader before the
            connection is paused.
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
    """Holds the status and the headers of the answer."""

    number: int
    status: int
    headers: dict[str, str]


class CallData(NamedTuple):
    """Holds a part of the body."""

    number: int
    data: bytes


class CallEnd(NamedTuple):
    """Ends a call.

    Attributes:
        error: Empty for a complete answer.
        may_have_run: Whether a byte of the request may have been received.
        connected: Whether the server accepted the connection.
    """

    number: int
    error: str
    may_have_run: bool
    is_connected: bool


class Call:
    """Is a handle to a running call; its events carry its number."""

    def __init__(self, options: CallOptions, deliver: Callable[[Any], None]):
        self.number = next(_numbers)
        self.options = options
        self.deliver = deliver
        self.curl: Any = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_head_delivered = False
        self.buffered_bytes = 0
        self.is_paused = False
        self.is_cancelled = False
