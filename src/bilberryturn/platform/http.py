"""HTTP client for short calls, with one curl handle per thread."""

import io
import math
import socket
import struct
import threading
import time
from typing import Any
from typing import NamedTuple

import expression
import msgspec
import pycurl

from bilberryturn import metrics
from bilberryturn.platform import decoding
from bilberryturn.platform import exceptions

# Larger than any response that the platform's pages allow.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class _BoundedBuffer(io.BytesIO):
    """Collects a response body up to MAX_RESPONSE_BYTES."""

    def write(self, data: bytes) -> int:
        """Append bytes; curl ends the transfer if none are accepted."""
        if self.tell() + len(data) > MAX_RESPONSE_BYTES:
            return 0
        return super().write(data)


def _reset_on_close(descriptor: int, purpose: int) -> int:
    """Make the kernel discard unsent bytes when the connection is closed."""
    wrapper = socket.socket(fileno=descriptor)
    try:
        wrapper.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    finally:
        wrapper.detach()
    return pycurl.SOCKOPT_OK


class _Head:
    """Collects the head of a response.

    Attributes:
        headers: Values by name in lower case.
        is_complete: Whether its end was received. If the server closes before
            it, curl reports no error.
    """

    def __init__(self):
        self.headers: dict[str, str] = {}
        self.is_complete = False

    def add_line(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            # An informational response may come before.
            self.headers, self.is_complete = {}, False
            return
        self.is_complete = self.is_complete or not text
        name, separator, value = text.partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()


class _StallGuard:
    """Ends a transfer of which no byte has moved for some time.

    curl calls it at least once a second.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._moved = (0, 0)
        self._moved_s = time.monotonic()

    def check(
        self, _down_total: int, down: int, _up_total: int, up: int
    ) -> bool:
        """Return whether to end the transfer."""
        now_s = time.monotonic()
        if (down, up) != self._moved:
            self._moved = (down, up)
            self._moved_s = now_s
        return now_s - self._moved_s >= self._timeout_s


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        headers: Values by name in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return decoding.decode_json(self.body)


class HttpClient:
    """Client of one interface; thread-safe.

    Attributes:
        last_response_s: Monotonic time of the last response, in seconds.
    """

    def __init__(
        self,
        interface: str,
        address: str,
        timeout_s: float,
        source_address: str = "",
        drops_unsent: bool = False,
        stall_timeout_s: float | None = None,
    ):
        """Configure the client.

        Args:
            interface: Name of the interface in error messages.
            address: HOST:PORT.
            timeout_s: Time limit of a call, including connecting.
            source_address: Local IP address of the connections, or empty.
            drops_unsent: Whether a call that timed out must not reach the
                platform later, when a network partition heals.
            stall_timeout_s: Longest time without a byte. If given, a call goes
                on for as long as bytes arrive, and the other time limit is
                that of connecting.
        """
        self._stall_timeout_s = stall_timeout_s
        self._drops_unsent = drops_unsent
        self.interface = interface
        self.address = address
        self._timeout_ms = int(timeout_s * 1000)
        self._source_address = source_address
        self._local = threading.local()
        self.last_response_s = -math.inf

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        raw: bytes | None = None,
        headers: tuple[str, ...] = (),
        is_idempotent: bool | None = None,
    ) -> expression.Result[Response, exceptions.PlatformError]:
        """Send one request and wait for the response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Value to send as JSON, unless None.
            raw: Bytes to send unchanged if body is None.
            headers: Additional header lines.
            is_idempotent: Whether the call may take effect twice; by
                default only for GET.

        Returns:
            The response, or PlatformUnreachableError.
        """
        handle = getattr(self._local, "handle", None)
        if handle is None:
            handle = self._local.handle = pycurl.Curl()
        handle.reset()
        buffer = _BoundedBuffer()
        head = _Head()
        payload = raw if body is None else msgspec.json.encode(body)
        header_lines = ["Expect:", *headers]
        if body is not None:
            header_lines.append("Content-Type: application/json")
        handle.setopt(pycurl.URL, f"http://{self.address}{path}")
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.NOSIGNAL, 1)
        if self._stall_timeout_s is None:
            handle.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
        else:
            handle.setopt(pycurl.NOPROGRESS, 0)
            handle.setopt(
                pycurl.XFERINFOFUNCTION,
                _StallGuard(self._stall_timeout_s).check,
            )
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, self._timeout_ms)
        handle.setopt(pycurl.WRITEFUNCTION, buffer.write)
        handle.setopt(pycurl.HEADERFUNCTION, head.add_line)
        handle.setopt(pycurl.HTTPHEADER, header_lines)
        if self._source_address:
            handle.setopt(pycurl.INTERFACE, self._source_address)
        if self._drops_unsent:
            handle.setopt(pycurl.SOCKOPTFUNCTION, _reset_on_close)
            handle.setopt(pycurl.FORBID_REUSE, 1)
        if is_idempotent is None:
            is_idempotent = method == "GET"
        if not is_idempotent:
            # If a reused connection turns out to be closed, curl would resend
            # the request without reporting it.
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        if payload is not None:
            handle.setopt(pycurl.POSTFIELDS, payload)
        try:
            handle.perform()
        except pycurl.error as error:
            self._local.handle = None
            handle.close()
            self._count_bytes(buffer, "incomplete")
            return expression.Error(
                exceptions.PlatformUnreachableError(
                    self.interface, str(error.args[-1])
                )
            )
        if not head.is_complete:
            return expression.Error(
                exceptions.PlatformUnreachableError(
                    self.interface, "its head was cut"
                )
            )
        self._count_bytes(buffer, "complete")
        self.last_response_s = time.monotonic()
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        return expression.Ok(Response(status, buffer.getvalue(), head.headers))

    def _count_bytes(self, body: io.BytesIO, outcome: str) -> None:
        labels = {"interface": self.interface, "outcome": outcome}
        metrics.add(metrics.CALL_BYTES, labels, body.tell())

    def call_json(
        self, method: str, path: str, body: Any = None
    ) -> expression.Result[Any, exceptions.PlatformError]:
        """Send one request and return the decoded JSON body.

        Any status other than 200 becomes an error.
        """
        result = self.call(method, path, body)
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError(
                    self.interface, result.ok.status
                )
            )
        try:
            return expression.Ok(result.ok.json())
        except msgspec.DecodeError:
            return expression.Error(
                exceptions.PlatformRefusedError(self.interface, 200)
            )
