"""Runs the gateway on loopback in front of scripted backend servers."""

import asyncio
import math
import socket
import threading
import time

from bilberryturn.gateway import permits
from bilberryturn.gateway import server
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import scripted

KEY = "key-1"
RETRY_POLICIES = {
    "safe": types.RetryPolicy.IDEMPOTENT,
    "unsafe": types.RetryPolicy.AT_MOST_ONCE,
    "resumable": types.RetryPolicy.RESUMABLE,
    "stream": types.RetryPolicy.AT_MOST_ONCE,
}


def make_route(kind, **changes):
    """Return the route with the prefix /KIND/ for a kind of request."""
    route = types.Route(
        name=kind,
        host="h.example",
        prefix=f"/{kind}/",
        retry_policy=RETRY_POLICIES[kind],
        is_stream=kind in ("resumable", "stream"),
        timeout_s=3.0,
        target_s=0.5,
        gap_target_s=0.2,
        priority=0,
        attempts=1 if kind in ("unsafe", "stream") else 2,
        is_public=False,
        targets=(types.Target("app", 1.0),),
    )
    return route._replace(**changes)


def make_table(version=1, keys=(KEY,), **changes):
    """Return a route table with one route of each kind."""
    return table.RouteTable(
        version,
        [make_route(kind, **changes) for kind in RETRY_POLICIES],
        [types.Service("app", 100, None, None)],
        types.Limits(body_bytes=100_000),
        {
            table.key_hash(key): types.ClientAccount("workshop", None)
            for key in keys
        },
    )


def make_server(name, port, **changes):
    """Return a backend server on loopback."""
    backend_server = types.BackendServer(
        name, "app", "127.0.0.1", port, "here", 8, False, False, 1, 1
    )
    return backend_server._replace(**changes)


class GatewayRig:
    """A gateway whose event loop runs on its own thread.

    Attributes:
        shared: The gateway's view of configuration and servers.
        port: The port that callers connect to.
    """

    def __init__(
        self,
        servers,
        route_table=None,
        regions=None,
        pool=None,
        peers=permits.NO_PEERS,
    ):
        self._regions = regions
        self._pool = pool or upstream.ConnectionPool()
        self._peers = peers
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.call(self._start, servers, route_table or make_table())

    def call(self, function, *arguments):
        """Run a coroutine function on the event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(
            function(*arguments), self.loop
        ).result(10)

    async def _start(self, servers, route_table):
        self.shared = shared_state.SharedState(
            "here",
            shared_state.RetryLimits(0.2, 90.0, 10.0),
            5.0,
            self._pool,
            peers=self._peers,
            regions=self._regions,
        )
        self.shared.table = route_table
        for backend_server in servers:
            self.shared.directory.report(backend_server, time.monotonic())
        if servers:
            # No other server joins of which a store would know.
            self.shared.list_waits.confirm(math.inf)
        self.server = server.CallerServer(self.shared)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.port = probe.getsockname()[1]
        await self.server.start("127.0.0.1", self.port)

    def sweep(self):
        """Close unusable idle connections, as a node does each second."""

        async def close_stale():
            servers = self.shared.directory.all_servers()
            self.shared.pool.close_stale({s.lifetime for s in servers})

        self.call(close_stale)

    def close(self):
        async def stop():
            self.server.stop_listening()
            await self.server.end_all()

        self.call(stop)
        self.loop.call_soon_threadsafe(self.loop.stop)


def request_text(kind, request_id, key=KEY, extra="", body=b"", path="x"):
    """Return the bytes of a caller's request of a kind."""
    method = "GET" if kind == "safe" and not body else "POST"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = (
        f"{method} /{kind}/{path} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Bilberryturn-Attempt-Id: {request_id}\r\n"
        f"Authorization: Bearer {key}\r\n{extra}{length}\r\n"
    )
    return head.encode("latin-1") + body


class Answer:
    """A response as the caller received it.

    Attributes:
        is_complete: Whether all bytes that its framing announces arrived.
        rest: Bytes received behind it.
    """

    def __init__(self, head, body, is_complete, rest=b""):
        self.head = head
        self.body = body
        self.is_complete = is_complete
        self.rest = rest
        self.status = int(head.split(" ", 2)[1]) if head else 0

    def header(self, name):
        """Return the value of a response header, or None."""
        return scripted.header(self.head, name)


def connect(port, host="127.0.0.1"):
    """Open a caller's connection to a port on loopback."""
    connection = socket.create_connection((host, port), 5)
    connection.settimeout(8)
    return connection


def send_request(port, data, connection=None):
    """Send a request and return the Answer."""
    active_connection = connection or connect(port)
    active_connection.sendall(data)
    answer = read_answer(active_connection)
    if connection is None:
        active_connection.close()
    return answer


def read_answers(connection, count):
    """Read the answers to requests that were sent ahead, in order."""
    answers = []
    rest = b""
    for _ in range(count):
        answers.append(read_answer(connection, rest))
        rest = answers[-1].rest
    return answers


def read_answer(connection, buffer=b""):
    """Read one answer; a truncated one has `is_complete` False.

    Args:
        connection: The caller's connection.
        buffer: Bytes that were received behind an earlier answer.
    """
    try:
        while b"\r\n\r\n" not in buffer:
            data = connection.recv(65536)
            if not data:
                return Answer("", buffer, False)
            buffer += data
        head, _, rest = buffer.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        if text.startswith("HTTP/1.1 100"):
            raise AssertionError("an informational response was forwarded")
        if (scripted.header(text, "transfer-encoding") or "") == "chunked":
            return _read_chunks(connection, text, rest)
        length = int(scripted.header(text, "content-length") or 0)
        while len(rest) < length:
            data = connection.recv(65536)
            if not data:
                return Answer(text, rest, False)
            rest += data
        return Answer(text, rest[:length], True, rest[length:])
    except ConnectionResetError:
        return Answer("", buffer, False)


def _read_chunks(connection, text, rest):
    body = b""
    while True:
        line, separator, after = rest.partition(b"\r\n")
        if separator:
            size = int(line, 16)
            if len(after) >= size + 2:
                body += after[:size]
                rest = after[size + 2 :]
                if size == 0:
                    return Answer(text, body, True, rest)
                continue
        try:
            data = connection.recv(65536)
        except ConnectionResetError:
            return Answer(text, body, False)
        if not data:
            return Answer(text, body, False)
        rest += data
