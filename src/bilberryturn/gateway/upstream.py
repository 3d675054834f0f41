"""Manage HTTP/1.1 connections to backend servers.

This module never retries a request by itself, so that its callers know whether
a request that may run at most once was ever sent.
"""

import asyncio
import collections
from collections.abc import Callable
import socket
import time
from typing import NamedTuple

import h11

from bilberryturn.gateway import loop_time
from bilberryturn.gateway import reachability
from bilberryturn.gateway import receivers
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import tunnels
from bilberryturn.routing import types

# The kernel holds what isn't read; it would let the buffer grow to megabytes.
RECEIVE_BUFFER_BYTES = 32 * 1024
# An idle connection is reused only for this share of the server's idle timeout,
# since the server may close it while a request is being sent.
REUSE_SHARE = 0.5
# Used if the server states no idle timeout.
DEFAULT_REUSE_S = 2.0
MAX_IDLE_PER_SERVER = 8
# Time after which unacknowledged data ends a connection, as its path is down.
TCP_USER_TIMEOUT_MS = 5000
# Part of the time for a connection that a direct one gets while the node may be
# cut off; the rest is for one through a peer.
DIRECT_SHARE = 0.4
# A connection that was not established within less is no sign of a cut.
MIN_SIGN_S = 0.1


class UpstreamError(Exception):
    """A connection failed or carried no valid response.

    Attributes:
        reason: Short cause for logs.
        was_sent: Whether the server may have received any byte of the request.
        is_disconnect: Whether the server closed, reset or refused the
            connection.
        may_be_crash: Whether the server may have crashed under the request.
        is_path_failure: Whether only the path to the server failed, which says
            nothing on the server.
    """

    def __init__(
        self,
        reason: str,
        was_sent: bool,
        is_disconnect: bool = False,
        may_be_crash: bool = True,
        is_path_failure: bool = False,
    ):
        super().__init__(reason)
        self.is_path_failure = is_path_failure
        self.may_be_crash = may_be_crash
        self.reason = reason
        self.was_sent = was_sent
        self.is_disconnect = is_disconnect

    @property
    def is_refused(self) -> bool:
        """Return whether nothing listened at the server's address."""
        return self.is_disconnect and not self.was_sent


class Call(NamedTuple):
    """A short call whose body is JSON."""

    method: bytes
    target: bytes
    body: bytes


class Reply(NamedTuple):
    """Status and body of the response to a call."""

    status: int
    body: bytes


class Connection:
    """A connection to a backend server.

    Attributes:
        key: Identifies the lifetime of the server that it is connected to.
        is_reused: Whether it has carried an earlier request.
        reuse_until_s: Monotonic time until which it may be reused while idle.
        via: Address of the peer that passes it on; None for a direct one.
    """

    def __init__(
        self,
        key: tuple[str, int],
        receiver: receivers.Receiver,
        time_of_loop: loop_time.LoopTime,
        reach: reachability.Reachability | None = None,
        via: str | None = None,
    ):
        """Initialize an established connection.

        Args:
            key: As the attribute.
            receiver: Receives on it.
            time_of_loop: Divides the time of the event loop.
            reach: Learns from a direct connection to a server.
            via: As the attribute.
        """
        self.key = key
        self.via = via
        self._reach = reach
        self._sent_s = 0.0
        self.is_reused = False
        self._receiver = receiver
        self._turns = loop_time.Turns(time_of_loop)
        self._has_given_way = False
        self._parser = self._new_parser()
        self._request: list = []
        self.reuse_until_s = 0.0

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=response_limits.MAX_HEAD_BYTES,
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Write a complete request.

        Raises:
            UpstreamError: The request is not valid HTTP; nothing was sent.
        """
        try:
            self._request = [
                h11.Request(method=method, target=target, headers=headers),
                *([h11.Data(data=body)] if body else []),
                h11.EndOfMessage(),
            ]
            encoded = [self._parser.send(event) for event in self._request]
        except h11.LocalProtocolError as error:
            raise UpstreamError(f"invalid request: {error}", False) from error
        self._receiver.transport.write(b"".join(encoded))
        self._sent_s = time.monotonic()
        if self._reach is not None:
            self._reach.begin_wait(self, self.key)

    async def next_event(self):
        """Return the next event of the response.

        Raises:
            UpstreamError: The connection failed or the response is not valid
                HTTP or exceeds a limit.
        """
        informational_count = 0
        try:
            while True:
                event = self._parser.next_event()
                if isinstance(event, h11.InformationalResponse):
                    informational_count += 1
                    if (
                        informational_count
                        > response_limits.MAX_INFORMATIONAL_RESPONSES
                    ):
                        raise UpstreamError(
                            "too many informational responses", True
                        )
                    continue
                if event is not h11.NEED_DATA:
                    # A body may come in chunks of a byte.
                    await self._turns.take(1)
                    return event
                data = await self._receiver.read()
                await self._turns.begin()
                if self._has_given_way:
                    raise UpstreamError(
                        "no room for the answer", True, may_be_crash=False
                    )
                self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._record_failure()
            raise UpstreamError(
                f"not an answer: {error}", True, self._receiver.is_exhausted
            ) from error
        except receivers.TunnelLostError as error:
            raise UpstreamError(str(error), True, may_be_crash=False) from error
        except OSError as error:
            self._record_failure()
            raise UpstreamError(
                f"connection lost: {error}", True, True
            ) from error

    def _record_failure(self) -> None:
        """Record that it failed, if the server never answered on it."""
        if self._reach is not None and not self._receiver.has_received:
            self._reach.record_failure(self.key)

    def record_silence(self) -> None:
        """Record that the time of its request is over without an answer."""
        if self._reach is not None:
            self._reach.record_silence(self._sent_s)

    @property
    def is_path_failure(self) -> bool:
        """Return whether its failure says nothing on the server."""
        if self._reach is not None:
            return self._reach.excuses(self._receiver.opened_s)
        return self._receiver.is_path_lost

    def end_wait(self) -> None:
        """Record that the server owes nothing on it any more."""
        if self._reach is not None:
            self._reach.end_wait(self)

    async def skip_response(self) -> None:
        """Read on behind a response that belongs to an earlier request.

        Raises:
            UpstreamError: The connection failed or the response is not valid
                HTTP or exceeds a limit.
        """
        size_bytes = 0
        while not isinstance(
            event := await self.next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise UpstreamError("answer cut short", True)
            size_bytes += len(event.data)
            if size_bytes > response_limits.MAX_BUFFERED_BODY_BYTES:
                raise UpstreamError("answer too large", True)
        rest, is_closed = self._parser.trailing_data
        self._parser = self._new_parser()
        for event in self._request:
            # Sets the parser's state; the request was sent already.
            self._parser.send(event)
        if rest:
            self._parser.receive_data(rest)
        if is_closed:
            self._parser.receive_data(b"")

    def is_reusable(self) -> bool:
        """Return whether the response ended cleanly and nothing followed."""
        return (
            self.via is None
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and self._parser.trailing_data == (b"", False)
            and self._receiver.transport.get_write_buffer_size() == 0
        )

    def is_alive(self) -> bool:
        """Return whether an idle connection can still be used."""
        # Bytes on an idle connection belong to no request.
        return (
            not self._receiver.is_at_eof
            and not self._is_from_before_cut()
            and not self._receiver.has_data
            and not self._receiver.transport.is_closing()
        )

    def _is_from_before_cut(self) -> bool:
        """Return whether the path may have failed since it was opened."""
        reach = self._reach
        return reach is not None and (
            reach.is_cut or self._receiver.opened_s < reach.cut_ended_s
        )

    @property
    def ended_s(self) -> float:
        """Return the monotonic time at which it was closed; 0 before."""
        return self._receiver.ended_s

    @property
    def ended_boottime_s(self) -> float:
        """Return the time since boot at which it was closed; 0 before."""
        return self._receiver.ended_boottime_s

    @property
    def is_reset(self) -> bool:
        """Return whether it ended with an error."""
        return self._receiver.is_reset

    def prepare_reuse(self) -> None:
        """Reset the parser for the next request."""
        self._parser = self._new_parser()
        self.is_reused = True

    def close(self) -> None:
        """Abort the connection, so that the server cancels the request."""
        self.end_wait()
        self._receiver.transport.abort()

    def give_way(self) -> None:
        """End an answer for which the node has no room."""
        self._has_given_way = True
        self.close()

    async def take_turns(self, pieces: int) -> None:
        """Let others have their turn after cutting pieces of the answer."""
        await self._turns.take(pieces)


class ConnectionPool:
    """Opens connections and reuses idle ones for retryable requests.

    Attributes:
        loop_time: Divides the time of the event loop.
    """

    def __init__(self, source_ip: str = ""):
        self._idle: dict[tuple[str, int], collections.deque[Connection]] = {}
        self._source = (source_ip, 0) if source_ip else None
        self._reach: reachability.Reachability | None = None
        self._tunnels: tunnels.Tunnels | None = None
        self._buffer = bytearray(receivers.READ_BYTES)
        self.loop_time = loop_time.LoopTime()

    async def acquire(
        self,
        server: types.BackendServer,
        timeout_s: float,
        may_reuse: bool,
        home_regions: frozenset[str] | None = None,
    ) -> Connection:
        """Return a connection to a server.

        Args:
            server: The server to connect to.
            timeout_s: Timeout for establishing a new connection.
            may_reuse: Whether an idle connection may be returned, as the
                request can be retried if it turns out to be closed.
            home_regions: Regions in which the request may be served; None if
                it may be served in all of them, or none is sent.

        Raises:
            UpstreamError: No connection was established; nothing was sent.
        """
        key = server.lifetime
        if may_reuse:
            kept = self._take_idle(key)
            if kept is not None:
                return kept
        return await self._connect_to_server(server, timeout_s, home_regions)

    async def acquire_along(
        self, server: types.BackendServer, via: str | None, timeout_s: float
    ) -> Connection:
        """Return a new connection that takes the same way as another one.

        Args:
            server: The server to connect to.
            via: Address of the peer that passes it on; None for a direct one.
            timeout_s: Timeout for establishing it.

        Raises:
            UpstreamError: No connection was established.
        """
        if via is not None:
            return await self._connect_through_peer(server, [via], timeout_s)
        if self._reach is not None:
            return await self._connect_directly(server, timeout_s)
        return await self._connect(
            server.lifetime, server.host, server.port, timeout_s
        )

    async def call(
        self, address: str, call: Call, timeout_s: float, max_body_bytes: int
    ) -> Reply:
        """Make a call on a connection of its own.

        Args:
            address: HOST:PORT.
            call: What to send.
            timeout_s: Timeout of the whole call.
            max_body_bytes: Limit on the body of the response.

        Raises:
            UpstreamError: No valid response came in time.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(
                    (address, 0), host, int(port), timeout_s
                )
                try:
                    return await _exchange(
                        connection, address, call, max_body_bytes
                    )
                finally:
                    connection.close()
        except TimeoutError as error:
            raise UpstreamError("no answer in time", True) from error

    def use_peers(
        self,
        reach: reachability.Reachability,
        through_peers: tunnels.Tunnels,
    ) -> None:
        """Connect to servers through peers while the node is cut off.

        Args:
            reach: Finds out whether it is.
            through_peers: Connects through peers.
        """
        self._reach = reach
        self._tunnels = through_peers

    async def answers(
        self, server: types.BackendServer, path: str, timeout_s: float
    ) -> bool:
        """Return whether a server answers anything on a direct connection.

        Args:
            server: The server.
            path: Path of its health check; "" if it has none, so that it need
                only keep a connection for a moment.
            timeout_s: Timeout of the whole.
        """
        transport = None
        try:
            async with asyncio.timeout(timeout_s):
                transport, receiver = await self.open(
                    server.host, server.port, timeout_s, self._new_receiver
                )
                if path:
                    transport.write(
                        f"GET {path} HTTP/1.1\r\nHost: {server.address}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    return bool(await receiver.read())
                await asyncio.sleep(MIN_SIGN_S)
                return not receiver.is_at_eof
        except (OSError, TimeoutError):
            return False
        finally:
            if transport is not None:
                transport.abort()

    def _new_receiver(self) -> receivers.Receiver:
        return receivers.Receiver(self._buffer)

    async def _connect_to_server(
        self,
        server: types.BackendServer,
        timeout_s: float,
        home_regions: frozenset[str] | None,
    ) -> Connection:
        """Connect directly, or through a peer if the node may be cut off."""
        reach = self._reach
        if reach is None:
            return await self._connect(
                server.lifetime, server.host, server.port, timeout_s
            )
        end_s = time.monotonic() + timeout_s

        def peers() -> list[str]:
            if not reach.is_doubtful:
                return []
            return self._tunnels.candidates(server, home_regions)

        found = peers()
        if reach.is_cut and found:
            return await self._connect_through_peer(server, found, timeout_s)
        if found:
            timeout_s *= DIRECT_SHARE
        try:
            return await self._connect_directly(server, timeout_s)
        except UpstreamError:
            left_s = end_s - time.monotonic()
            found = peers()
            if left_s < MIN_SIGN_S or not found:
                raise
        return await self._connect_through_peer(server, found, left_s)

    async def _connect_directly(
        self, server: types.BackendServer, timeout_s: float
    ) -> Connection:
        reach = self._reach
        try:
            _, receiver = await self.open(
                server.host,
                server.port,
                timeout_s,
                lambda: receivers.Receiver(self._buffer, reach.record_bytes),
            )
        except (OSError, TimeoutError) as error:
            is_timeout = isinstance(error, TimeoutError)
            if timeout_s >= MIN_SIGN_S or not is_timeout:
                reach.record_failure(server.lifetime)
            raise _cannot_connect(error, reach.is_confirmed) from error
        return Connection(server.lifetime, receiver, self.loop_time, reach)

    async def _connect_through_peer(
        self,
        server: types.BackendServer,
        peers: list[str],
        timeout_s: float,
    ) -> Connection:
        reach = self._reach
        try:
            tunnel = await self._tunnels.connect(
                server,
                peers,
                timeout_s,
                lambda: receivers.TunnelReceiver(
                    self._buffer, reach.record_help
                ),
            )
        except tunnels.TunnelError as error:
            raise UpstreamError(
                f"cannot connect through a peer: {error}",
                False,
                error.is_refused,
                is_path_failure=not error.is_reached,
            ) from error
        return Connection(
            server.lifetime, tunnel.receiver, self.loop_time, via=tunnel.peer
        )

    async def _connect(
        self, key: tuple[str, int], host: str, port: int, timeout_s: float
    ) -> Connection:
        try:
            _, receiver = await self.open(
                host, port, timeout_s, self._new_receiver
            )
        except (OSError, TimeoutError) as error:
            raise _cannot_connect(error) from error
        return Connection(key, receiver, self.loop_time)

    async def open(
        self,
        host: str,
        port: int,
        timeout_s: float,
        new_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Open a connection with a protocol.

        Raises:
            OSError: It was not established.
            TimeoutError: It was not established in time.
        """
        transport, protocol = await asyncio.wait_for(
            asyncio.get_running_loop().create_connection(
                new_protocol, host, port, local_addr=self._source
            ),
            timeout_s,
        )
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            raw_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
        return transport, protocol

    def _take_idle(self, key: tuple[str, int]) -> Connection | None:
        idle = self._idle.get(key)
        while idle:
            connection = idle.pop()
            if connection.is_alive() and (
                time.monotonic() < connection.reuse_until_s
            ):
                connection.prepare_reuse()
                return connection
            connection.close()
        return None

    def release(
        self, connection: Connection, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool, or close it.

        Args:
            connection: A connection whose response has ended.
            idle_timeout_s: The server's idle timeout, or None if not stated.
        """
        connection.end_wait()
        reuse_s = DEFAULT_REUSE_S
        if idle_timeout_s is not None:
            reuse_s = idle_timeout_s * REUSE_SHARE
        if not connection.is_reusable() or reuse_s <= 0:
            connection.close()
            return
        connection.reuse_until_s = time.monotonic() + reuse_s
        idle = self._idle.setdefault(connection.key, collections.deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_SERVER:
            idle.popleft().close()

    def close_stale(self, live: set[tuple[str, int]]) -> None:
        """Close idle connections that expired or whose server is gone.

        Args:
            live: Lifetimes of the servers in use.
        """
        now_s = time.monotonic()
        for key, idle in list(self._idle.items()):
            kept = collections.deque()
            for connection in idle:
                if (
                    key in live
                    and now_s < connection.reuse_until_s
                    and connection.is_alive()
                ):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]


def _cannot_connect(
    error: Exception, is_path_failure: bool = False
) -> UpstreamError:
    return UpstreamError(
        f"cannot connect: {type(error).__name__}",
        False,
        isinstance(error, ConnectionRefusedError),
        is_path_failure=is_path_failure,
    )


async def _exchange(
    connection: Connection, address: str, call: Call, max_body_bytes: int
) -> Reply:
    connection.send(
        call.method,
        call.target,
        [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(call.body)).encode()),
        ],
        call.body,
    )
    head = await connection.next_event()
    if not isinstance(head, h11.Response):
        raise UpstreamError("no answer", True)
    body = b""
    while isinstance(event := await connection.next_event(), h11.Data):
        body += event.data
        if len(body) > max_body_bytes:
            raise UpstreamError("answer too large", True)
    return Reply(head.status_code, body)
