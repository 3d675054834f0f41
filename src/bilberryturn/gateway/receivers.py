"""Receive the bytes of servers, directly or through a peer."""

import asyncio
from collections.abc import Callable
import os
import socket
import time

from bilberryturn import leases
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import tunnel_frames

# Most bytes that are read at once, or that wait to be parsed before a
# connection is not read any more.
READ_BYTES = 16 * 1024


class Receiver(asyncio.BufferedProtocol):
    """Receives into a shared buffer, so that little waits to be parsed.

    Attributes:
        transport: Set as the connection is established.
        is_at_eof: Whether the server has closed the connection.
        ended_s: Monotonic time at which it did; 0 before.
        ended_boottime_s: Time since boot at which it did; 0 before.
        opened_s: Monotonic time at which it was created.
        has_received: Whether any byte of the server was received.
        is_path_lost: Whether it ended without a statement on the server.
    """

    is_path_lost = False

    def __init__(
        self,
        buffer: bytearray,
        on_bytes: Callable[[float], None] | None = None,
    ):
        """Initialize without a connection.

        Args:
            buffer: What to receive into; it is shared.
            on_bytes: Called with opened_s as bytes of the server arrive.
        """
        self.has_received = False
        self.opened_s = time.monotonic()
        self._on_bytes = on_bytes
        self.transport: asyncio.Transport | None = None
        self.is_at_eof = False
        self.ended_s = 0.0
        self.ended_boottime_s = 0.0
        self._buffer = buffer
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._error: Exception | None = None
        self._waiter: asyncio.Future | None = None

    @property
    def is_exhausted(self) -> bool:
        """Return whether the server has closed and all bytes were read."""
        return self.is_at_eof and not self._received

    @property
    def is_reset(self) -> bool:
        """Return whether the connection ended with an error.

        One that comes after the server has closed its side, such as a reset,
        is not reported to the protocol.
        """
        raw_socket = self.transport.get_extra_info("socket")
        if self._error is None and raw_socket.fileno() >= 0:
            code = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._error = OSError(code, os.strerror(code))
        return self._error is not None

    @property
    def has_data(self) -> bool:
        """Return whether received bytes wait to be parsed."""
        return bool(self._received)

    async def read(self) -> bytes:
        """Return received bytes; empty once the server has closed.

        Raises:
            OSError: The connection was lost.
        """
        while not self._received:
            if self._error is not None:
                raise self._error
            if self.is_at_eof:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = b"".join(self._received)
        self._received.clear()
        if self._received_bytes >= READ_BYTES:
            self.transport.resume_reading()
        self._received_bytes = 0
        return data

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to receive to."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep received bytes until they are read."""
        self._receive(bytes(memoryview(self._buffer)[:nbytes]))
        self._wake()

    def _receive(self, data: bytes) -> None:
        """Keep bytes of the server."""
        self.has_received = True
        if self._on_bytes is not None:
            self._on_bytes(self.opened_s)
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes >= READ_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Keep the connection, whose other direction is still open."""
        self._record_end()
        self._wake()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the reading."""
        self._error = error
        self._record_end()
        self._wake()

    def _record_end(self) -> None:
        if not self.is_at_eof:
            self.is_at_eof = True
            self.ended_s = time.monotonic()
            self.ended_boottime_s = leases.boottime_s()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class TunnelLostError(OSError):
    """The peer that passed on the bytes of a server ended or is away."""


class TunnelReceiver(Receiver):
    """Receives what a peer passes on of a server.

    Attributes:
        reply: The head of the peer's reply.
    """

    def __init__(self, buffer: bytearray, on_bytes: Callable[[], None]):
        """Initialize without a connection.

        Args:
            buffer: What to receive into; it is shared.
            on_bytes: Called as bytes of the server arrive.
        """
        super().__init__(buffer, lambda opened_s: on_bytes())
        self.reply: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        # Bytes of a head or frame of which not all has arrived.
        self._rest = b""
        # Bytes of the current frame that are to come.
        self._missing_bytes = 0

    @property
    def is_path_lost(self) -> bool:
        """Return whether the peer ended or is away."""
        return isinstance(self._error, TunnelLostError)

    @property
    def is_reset(self) -> bool:
        """Return whether the server reset the connection."""
        return self._error is not None and not self.is_path_lost

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes of the server until they are read."""
        data = self._rest + bytes(memoryview(self._buffer)[:nbytes])
        self._rest = b""
        if not self.reply.done():
            data = self._take_reply(data)
        while data:
            if self._missing_bytes:
                piece = data[: self._missing_bytes]
                self._missing_bytes -= len(piece)
                self._receive(piece)
                data = data[len(piece) :]
            elif len(data) < tunnel_frames.HEADER_BYTES:
                self._rest, data = data, b""
            else:
                self._begin_frame(tunnel_frames.read_header(data))
                data = data[tunnel_frames.HEADER_BYTES :]
        self._wake()

    def _take_reply(self, data: bytes) -> bytes:
        """Return what follows the head of the reply."""
        head, separator, rest = data.partition(b"\r\n\r\n")
        if separator:
            self.reply.set_result(head)
            return rest
        if len(data) > response_limits.MAX_HEAD_BYTES:
            self.transport.abort()
            return b""
        self._rest = data
        return b""

    def _begin_frame(self, length: int) -> None:
        if length == tunnel_frames.END:
            self._record_end()
        elif length == tunnel_frames.RESET:
            self._error = ConnectionResetError("reset by the server")
            self._record_end()
        else:
            self._missing_bytes = length

    def eof_received(self) -> bool:
        """Note that the peer is gone."""
        self._lose()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the reading."""
        self._lose()

    def _lose(self) -> None:
        if not self.reply.done():
            self.reply.set_result(b"")
        if not self.is_at_eof:
            self._error = TunnelLostError("the tunnel was lost")
            self._record_end()
        self._wake()
