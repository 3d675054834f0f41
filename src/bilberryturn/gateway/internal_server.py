"""Serve internal HTTP requests: readiness, metrics and peers' requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import h11

REQUEST_TIMEOUT_S = 5.0
MAX_REQUEST_BYTES = 65536
# Reading pauses at twice as many bytes that wait.
READ_BYTES = 16 * 1024

TunnelHandler = Callable[
    [str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Reply(NamedTuple):
    """A short response.

    Attributes:
        on_sent: Called once all of it is sent or cannot be sent any more.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain"
    on_sent: Callable[[], None] = lambda: None


class InternalServer:
    """Serves short requests, whose handler replies without waiting."""

    def __init__(
        self,
        handler: Callable[[str, bytes], Reply],
        tunnel_handler: TunnelHandler | None = None,
    ):
        """Set the handlers.

        Args:
            handler: Returns the reply to a path and a body; runs on the event
                loop.
            tunnel_handler: Serves a CONNECT to an address on its connection
                until that can be closed.
        """
        self._handler = handler
        self._tunnel_handler = tunnel_handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=READ_BYTES
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _accept(self, reader, writer) -> None:
        # asyncio logs an error for a task of its own that is cancelled before
        # it has begun, as at the end of the process.
        task = asyncio.get_running_loop().create_task(
            self._serve(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        # Makes drain() wait until all bytes are in the kernel's buffer.
        writer.transport.set_write_buffer_limits(high=0)
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        try:
            while await self._serve_one(reader, writer, parser):
                parser.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            # The client disconnected or does not speak HTTP; it retries.
            pass
        except asyncio.CancelledError:
            # The node is shutting down.
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer, parser) -> bool:
        path = ""
        body = b""
        is_tunnel = False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await asyncio.wait_for(
                    reader.read(MAX_REQUEST_BYTES), REQUEST_TIMEOUT_S
                )
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                path = event.target.decode("latin-1")
                is_tunnel = event.method == b"CONNECT"
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_REQUEST_BYTES:
                    return False
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        if is_tunnel and self._tunnel_handler is not None:
            await self._tunnel_handler(path, reader, writer)
            return False
        reply = self._handler(path, body)
        headers = [
            ("content-length", str(len(reply.body))),
            ("content-type", reply.content_type),
        ]
        try:
            writer.write(
                parser.send(
                    h11.Response(status_code=reply.status, headers=headers)
                )
                + (parser.send(h11.Data(data=reply.body)) or b"")
                + (parser.send(h11.EndOfMessage()) or b"")
            )
            await writer.drain()
        finally:
            reply.on_sent()
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE
