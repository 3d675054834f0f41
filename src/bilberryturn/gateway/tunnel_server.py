"""Pass the bytes of servers on to peers that reach no server themselves."""

import asyncio
from collections.abc import Callable
import socket
import time

from bilberryturn import metrics
from bilberryturn.gateway import memory
from bilberryturn.gateway import reachability
from bilberryturn.gateway import tunnel_frames
from bilberryturn.gateway import tunnels
from bilberryturn.routing import directory
from bilberryturn.routing import types

# Connecting takes milliseconds unless the server is unreachable.
CONNECT_TIMEOUT_S = 0.25
MAX_TUNNELS = 256
# Most bytes that are read at once.
READ_BYTES = 16 * 1024
# What both directions of a tunnel hold, including copies.
TUNNEL_BYTES = 64 * 1024
# The kernel would let its buffers grow to megabytes.
BUFFER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024),
)
SERVER_OPTIONS = (
    *BUFFER_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000),
)
# Ends a connection whose other side is gone. That of a caller that reads
# nothing is full, which counts as unacknowledged data too.
PEER_OPTIONS = (
    *BUFFER_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 60_000),
)
# A reset may follow within this time after a server has closed its side.
LATE_RESET_S = 0.5
LATE_RESET_INTERVAL_S = 0.02


class TunnelServer:
    """Connects to servers for peers; runs on the event loop.

    Attributes:
        count: Number of open tunnels.
    """

    def __init__(
        self,
        servers: directory.Directory,
        reach: reachability.Reachability,
        account: memory.MemoryAccount,
        is_stopping: Callable[[], bool],
        source_ip: str = "",
    ):
        self.count = 0
        self._servers = servers
        self._reach = reach
        self._account = account
        self._is_stopping = is_stopping
        self._source = (source_ip, 0) if source_ip else None

    async def serve(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect a peer to a server until either of them ends.

        Args:
            address: HOST:PORT that the peer asked for.
            reader: Reads from the peer.
            writer: Writes to the peer; the caller closes it.
        """
        if not self._may_help():
            await _reply(writer, tunnels.CANNOT_HELP)
            return
        server = self._find(address)
        if server is None:
            await _reply(writer, tunnels.UNKNOWN_SERVER)
            return
        self._count(1)
        self._account.fix(TUNNEL_BYTES)
        try:
            await self._connect(server, reader, writer)
        finally:
            self._account.unfix(TUNNEL_BYTES)
            self._count(-1)

    def _count(self, change: int) -> None:
        self.count += change
        metrics.set_gauge(metrics.TUNNELS, {}, self.count)

    def _find(self, address: str) -> types.BackendServer | None:
        """Return the known server at an address; others are not served."""
        for server in self._servers.all_servers():
            if server.address == address:
                return server
        return None

    def _may_help(self) -> bool:
        return not (
            self._reach.is_cut
            or self._is_stopping()
            or self.count >= MAX_TUNNELS
        )

    async def _connect(
        self,
        server: types.BackendServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                from_server, to_server = await asyncio.open_connection(
                    server.host,
                    server.port,
                    local_addr=self._source,
                    limit=READ_BYTES,
                )
            _set_options(to_server, SERVER_OPTIONS)
        except (OSError, TimeoutError) as error:
            self._reach.record_failure(server.lifetime)
            status = tunnels.NOT_REACHED
            if isinstance(error, ConnectionRefusedError):
                status = tunnels.REFUSED
            if self._reach.is_doubtful:
                status = tunnels.CANNOT_HELP
            await _reply(writer, status)
            return
        try:
            _set_options(writer, PEER_OPTIONS)
            await _reply(writer, tunnels.ESTABLISHED)
            await self._relay(server, (from_server, to_server), reader, writer)
        finally:
            to_server.transport.abort()

    async def _relay(self, server, connection, reader, writer) -> None:
        """Pass bytes on until the peer closes its connection."""
        from_server, to_server = connection
        tasks = [
            asyncio.create_task(
                self._pass_answer(server, from_server, to_server, writer)
            ),
            asyncio.create_task(self._pass_request(server, reader, to_server)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            # An error of the connection to the peer ends the tunnel too.
            await asyncio.gather(*tasks, return_exceptions=True)
            self._reach.end_wait(to_server)

    async def _pass_answer(
        self, server, from_server, to_server, writer
    ) -> None:
        """Pass on what the server sends, and how it ends."""
        opened_s = time.monotonic()
        has_received = is_reset = False
        while True:
            try:
                data = await from_server.read(READ_BYTES)
            except (ConnectionResetError, BrokenPipeError):
                is_reset = True
                break
            except OSError:
                # The path to the server failed, which says nothing on it.
                return
            if not data:
                break
            has_received = True
            self._reach.record_bytes(opened_s)
            writer.write(tunnel_frames.header(len(data)) + data)
            await writer.drain()
        if not is_reset:
            writer.write(tunnel_frames.header(tunnel_frames.END))
            await writer.drain()
            is_reset = await _is_reset_late(to_server)
        elif not has_received:
            self._reach.record_failure(server.lifetime)
        if is_reset:
            writer.write(tunnel_frames.header(tunnel_frames.RESET))
            await writer.drain()

    async def _pass_request(self, server, reader, to_server) -> None:
        """Pass on what the peer sends until it closes its connection."""
        while data := await reader.read(READ_BYTES):
            self._reach.begin_wait(to_server, server.lifetime)
            if to_server.is_closing():
                continue
            to_server.write(data)
            try:
                await to_server.drain()
            except OSError:
                # The other direction tells the peer how the connection ended.
                continue


def _set_options(
    stream: asyncio.StreamWriter, options: tuple[tuple[int, int, int], ...]
) -> None:
    """Set the options of a connection.

    Raises:
        OSError: It has been reset.
    """
    raw_socket = stream.get_extra_info("socket")
    for option in options:
        raw_socket.setsockopt(*option)


async def _is_reset_late(to_server: asyncio.StreamWriter) -> bool:
    """Return whether a server resets a connection that it had closed."""
    raw_socket = to_server.get_extra_info("socket")
    end_s = time.monotonic() + LATE_RESET_S
    while time.monotonic() < end_s and raw_socket.fileno() >= 0:
        if raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        await asyncio.sleep(LATE_RESET_INTERVAL_S)
    return False


async def _reply(writer: asyncio.StreamWriter, status: int) -> None:
    """Answer a request for a tunnel; 200 is followed by the tunnel's bytes."""
    head = f"HTTP/1.1 {status} -\r\n"
    if status != tunnels.ESTABLISHED:
        head += "Content-Length: 0\r\nConnection: close\r\n"
    writer.write(f"{head}\r\n".encode("ascii"))
    await writer.drain()
