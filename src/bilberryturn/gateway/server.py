"""Serve callers' connections over HTTP/1.1 on one event loop."""

import asyncio
import socket
import struct
import time

import h11

from bilberryturn import events
from bilberryturn.gateway import delivery
from bilberryturn.gateway import exchange
from bilberryturn.gateway import loop_time
from bilberryturn.gateway import outcomes
from bilberryturn.gateway import shared_state
from bilberryturn.platform import wire
from bilberryturn.routing import types

BACKLOG = 512
# Data buffered for a caller that reads slowly, before its stream is paused.
WRITE_BUFFER_BYTES = 65536
# Most bytes that are read at once, as each may be a piece to parse.
READ_BYTES = 16 * 1024
# The kernel holds what isn't read; it would let the buffer grow to megabytes.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Data accepted from a caller while its request is processed, such as further
# requests. Beyond that the connection is not read until the request has ended.
MAX_EARLY_BYTES = 65536
# Time for the answers to requests sent ahead, as the node ends.
LAST_ANSWERS_S = 0.2
POLL_INTERVAL_S = 0.01
CLOSE = (b"connection", b"close")


class CallerServer:
    """Accepts callers' connections and closes them gracefully.

    Attributes:
        is_closed: Whether it has stopped listening. A connection is then
            closed when its response has ended.
    """

    def __init__(self, shared: shared_state.SharedState):
        self.shared = shared
        self.connections: set[CallerConnection] = set()
        self.is_closed = False
        self.buffer = bytearray(READ_BYTES)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
        )
        for listener in self._server.sockets:
            # Connections that are accepted inherit it.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

    def limits(self) -> types.Limits:
        """Return the limits that currently apply to callers."""
        table = self.shared.table
        return types.Limits() if table is None else table.limits

    def update_memory(self) -> None:
        """Account for what was sent to callers since they were last asked."""
        for connection in list(self.connections):
            connection.update_memory()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self.is_closed = True
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def busy_count(self) -> int:
        """Return the number of connections with a request or unsent data."""
        return sum(
            1 for c in self.connections if c.is_busy or c.has_unsent_data
        )

    async def end_all(self) -> int:
        """End all connections; returns how many of them had a request.

        A caller whose response has not begun is told so, and so are those of
        requests that were sent ahead; all others are aborted.
        """
        busy_count = self.busy_count()
        self.shared.is_cut = True
        for connection in list(self.connections):
            connection.end_at_stop()
        end_s = time.monotonic() + LAST_ANSWERS_S
        while self.busy_count() and time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        for connection in list(self.connections):
            connection.abort()
        return busy_count


class CallerConnection(asyncio.BufferedProtocol):
    """Serves the requests of one connection, one after another."""

    def __init__(self, server: CallerServer):
        self._server = server
        self._limits = server.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._exchange: exchange.Exchange | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        # The request that is being read, or what was sent ahead of its turn and
        # waits to be sent to the caller.
        self._holding = server.shared.memory.open(self._give_way)
        self._head_bytes = 0
        self._turns = loop_time.Turns(server.shared.pool.loop_time)
        self._is_parsing_paused = False
        # Size of the body that the running request may need again.
        self._fixed_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._arrived_s = 0.0
        self._early_bytes = 0
        self._has_partial_head = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or processed."""
        return (
            self._task is not None
            or self._request is not None
            or self._has_partial_head
        )

    @property
    def has_unsent_data(self) -> bool:
        """Return whether part of a response waits for the caller to read."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request that the caller no longer waits for."""
        self._server.connections.discard(self)
        self._clear_timer()
        self._writable.set()
        self._holding.close()
        self._unfix_body()
        self._body = bytearray()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close a connection that the caller has half-closed."""
        return False

    def pause_writing(self) -> None:
        """Pause the stream to a caller that reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the stream."""
        self._writable.set()
        self.update_memory()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to receive to."""
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data."""
        data = bytes(memoryview(self._server.buffer)[:nbytes])
        if self._task is None and self._request is None:
            if not self._has_partial_head:
                self._arrived_s = time.monotonic()
                self._set_timer(
                    self._limits.header_timeout_s, self._refuse_slow
                )
            self._has_partial_head = True
            self._head_bytes += len(data)
        self._parser.receive_data(data)
        if self._task is not None:
            self._early_bytes += len(data)
            if self._early_bytes > MAX_EARLY_BYTES:
                self._transport.pause_reading()
        self._read_requests()
        self.update_memory()

    def update_memory(self) -> None:
        """Account for the bytes that the node has in hand for the caller."""
        if self._is_closed():
            return
        self._holding.resize(
            self._head_bytes
            + len(self._body)
            + self._early_bytes
            + self._transport.get_write_buffer_size()
        )

    def _give_way(self) -> None:
        """Free the bytes in hand for the caller."""
        is_reading = self._task is None and (
            self._request is not None or self._has_partial_head
        )
        if is_reading and not self.has_unsent_data:
            self._refuse_and_close(outcomes.NODE_FULL)
        else:
            self.abort()
        self._body = bytearray()

    def _unfix_body(self) -> None:
        self._server.shared.memory.unfix(self._fixed_bytes)
        self._fixed_bytes = 0

    # Parsing of requests.

    def _read_requests(self) -> None:
        while self._task is None and not self._is_closed():
            wait_s = self._turns.count(1)
            if wait_s is not None:
                self._pause_parsing(wait_s)
                return
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_invalid(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._close()
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._append_body(event)
            elif isinstance(event, h11.EndOfMessage):
                self._start_exchange()

    def _pause_parsing(self, wait_s: float) -> None:
        """Let others have their turn; a body may come in chunks of a byte."""
        self._is_parsing_paused = True
        self._transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, self._resume_parsing)

    def _resume_parsing(self) -> None:
        self._is_parsing_paused = False
        if self._is_closed():
            return
        self._read_requests()
        if not self._is_parsing_paused and not self._is_closed():
            self._transport.resume_reading()
            self.update_memory()

    def _begin_request(self, request: h11.Request) -> None:
        self._request = request
        self._has_partial_head = False
        self._head_bytes = 0
        self._body = bytearray()
        self._set_timer(self._limits.idle_timeout_s, self._refuse_slow)
        if self._parser.they_are_waiting_for_100_continue:
            self._transport.write(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )

    def _append_body(self, event: h11.Data) -> None:
        if len(self._body) + len(event.data) > self._limits.body_bytes:
            self._refuse_and_close(outcomes.BODY_TOO_LARGE)
            return
        self._body += event.data

    def _start_exchange(self) -> None:
        self._clear_timer()
        request = self._request
        size_bytes = len(self._body)
        if not self._server.shared.memory.fix(size_bytes):
            self._refuse_and_close(outcomes.NODE_FULL)
            return
        self._fixed_bytes = size_bytes
        incoming = delivery.IncomingRequest(
            method=request.method,
            target=request.target,
            headers=wire.read_caller_headers(list(request.headers)),
            body=bytes(self._body),
            arrived_s=self._arrived_s,
        )
        self._body = bytearray()
        self._exchange = exchange.Exchange(incoming, self, self._server.shared)
        self._task = asyncio.get_running_loop().create_task(
            self._run(self._exchange)
        )

    async def _run(self, request_exchange: exchange.Exchange) -> None:
        try:
            await request_exchange.run()
        except asyncio.CancelledError:
            return
        except Exception as error:
            # A fault in one request must not end the others.
            events.log(
                events.JOB_FAILED,
                job="exchange",
                error=f"{type(error).__name__}: {error}",
            )
            self.abort()
            return
        self._finish_request()

    def _finish_request(self) -> None:
        self._task = None
        self._request = None
        # It holds what was buffered for the request.
        self._exchange = None
        self._unfix_body()
        if self._early_bytes > MAX_EARLY_BYTES and not self._is_closed():
            self._transport.resume_reading()
        self._early_bytes = 0
        if self._parser.our_state is h11.MUST_CLOSE or (
            self._parser.their_state is not h11.DONE
        ):
            self._close()
            return
        if self._parser.our_state is not h11.DONE:
            self.abort()
            return
        self._parser.start_next_cycle()
        self._limits = self._server.limits()
        self._arrived_s = time.monotonic()
        self._has_partial_head = self._has_next_request()
        if self._server.is_closed and not self._has_partial_head:
            self._close()
            return
        if self._has_partial_head:
            self._set_timer(self._limits.header_timeout_s, self._refuse_slow)
        else:
            self._set_timer(self._limits.idle_timeout_s, self._idle_timeout)
        self._read_requests()

    # Implementation of delivery.Caller.

    def send_response(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        if self._is_closed():
            return
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        data = self._encode_head(status, headers)
        if body and self._request is not None:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        self.update_memory()

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Send the head of a streamed response."""
        if not self._is_closed():
            self._transport.write(self._encode_head(status, headers))

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a stream; waits while the caller reads slowly."""
        await self._writable.wait()
        if not self._is_closed():
            self._transport.write(self._parser.send(h11.Data(data=data)))
            self.update_memory()

    def end_stream(self) -> None:
        """End a complete stream."""
        if not self._is_closed():
            self._transport.write(self._parser.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """Close the connection so that the caller sees a truncated response."""
        if self._transport is None:
            return
        if self._parser.their_http_version == b"1.0":
            # Without a length, the response to an HTTP/1.0 caller is complete
            # when its connection is closed, unless that is reset.
            raw_socket = self._transport.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self._transport.abort()

    def _encode_head(self, status: int, headers: wire.Headers) -> bytes:
        closes = self._server.shared.is_stopping
        # A request that was sent ahead gets an answer of its own.
        if closes and CLOSE not in headers and not self._has_next_request():
            headers = [*headers, CLOSE]
        return self._parser.send(
            h11.Response(status_code=status, headers=headers)
        )

    def _has_next_request(self) -> bool:
        """Return whether part of the next request has arrived already."""
        return bool(self._parser.trailing_data[0])

    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    # Closing of the connection.

    def end_at_stop(self) -> None:
        """End the connection as the node ends."""
        task = self._task
        if task is None or not self._exchange.end_at_stop():
            self.abort()
            return
        task.cancel()
        self._finish_request()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or processed."""
        if not self.is_busy:
            self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _idle_timeout(self) -> None:
        self.close_if_idle()

    def _refuse_slow(self) -> None:
        self._refuse_and_close(outcomes.SLOW_REQUEST)

    def _refuse_invalid(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint or 400
        self._refuse_and_close(
            outcomes.Refusal(
                status, "bad_request", "The request is not valid HTTP"
            )
        )

    def _refuse_and_close(self, refusal: outcomes.Refusal) -> None:
        events.log(
            events.REQUEST_REFUSED,
            status=refusal.status,
            reason=refusal.reason,
        )
        self._request = self._request or h11.Request(
            method="GET", target="/", headers=[("host", "unknown")]
        )
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.send_response(
                refusal.status,
                [*refusal.headers(), CLOSE],
                refusal.body(),
            )
        self._close()

    def _set_timer(self, delay_s: float, callback) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
