"""Compare the event loop of the gateway with a thread per caller.

Usage: python bench/gateway_paths.py [--streams N,N] [--events N] [--rounds N]

The gateway runs its full request path: parsing, routing, logging and metrics.
The threads only relay bytes through curl, so their cost is a lower bound for
that design. Each variant runs in its own process and reports its CPU time, its
peak memory, and how long the backend server took to see that a caller had
disconnected.
"""

import argparse
import asyncio
import io
import multiprocessing
import os
import resource
import select
import socket
import statistics
import sys
import threading
import time

import h11
import pycurl

from bilberryturn.gateway import server
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.routing import table
from bilberryturn.routing import types

EVENT_INTERVAL_S = 0.02
EVENT = b"id: %d\ndata: token-%d\n\n"
KEY = "key"
START_TIMEOUT_S = 20.0
# Interval at which a thread checks whether its caller has disconnected.
CALLER_CHECK_INTERVAL_S = 0.1


def _resource_usage() -> tuple[float, float]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


# Backend server


class _StreamingBackend(asyncio.Protocol):
    """Answers requests with paced streams and records early disconnects."""

    def __init__(self, events: int, closes):
        self._events = events
        self._closes = closes
        self._task: asyncio.Task | None = None
        self._data = b""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        self._data += data
        if b"\r\n\r\n" not in self._data:
            return
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        request_id = b""
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"x-bilberryturn-attempt-id:"):
                request_id = line.split(b":", 1)[1].strip()
        self._task = asyncio.get_running_loop().create_task(
            self._stream(request_id)
        )

    async def _stream(self, request_id):
        write = self._transport.write
        write(
            b"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: " + request_id
            + b"\r\nX-Bilberryturn-Server-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )  # fmt: skip
        for number in range(self._events):
            event = EVENT % (number, number)
            write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_INTERVAL_S)
        write(b"0\r\n\r\n")
        self._task = None

    def connection_lost(self, error):
        if self._task is not None:
            self._task.cancel()
            self._closes.put(time.monotonic())


def run_server(events: int, port_pipe, closes) -> None:
    """Serve paced streams until the process is terminated."""

    async def serve():
        listener = await asyncio.get_running_loop().create_server(
            lambda: _StreamingBackend(events, closes),
            "127.0.0.1",
            0,
            backlog=1024,
        )
        port_pipe.send(listener.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    asyncio.run(serve())


# Both variants


def run_loop(backend_port: int, pipe) -> None:
    """Serve callers with the gateway; report usage on request."""
    # Log lines are written, as their cost counts, but kept out of the output.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())

    async def serve():
        shared = shared_state.SharedState(
            "here",
            shared_state.RetryLimits(0.2, 90.0, 10.0),
            5.0,
            upstream.ConnectionPool(),
        )
        route = types.Route(
            "s", "h", "/", types.RetryPolicy.AT_MOST_ONCE, True, 60.0, 1.0,
            1.0, 0, 1, False, (types.Target("app", 1.0),),
        )  # fmt: skip
        shared.table = table.RouteTable(
            1,
            [route],
            [types.Service("app", 1000, None, None)],
            types.Limits(),
            {table.key_hash(KEY): types.ClientAccount("a", None)},
        )
        shared.directory.report(
            types.BackendServer(
                "b", "app", "127.0.0.1", backend_port, "here", 1000, False,
                False, 1, 1,
            ),
            time.monotonic(),
        )  # fmt: skip
        callers = server.CallerServer(shared)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        await callers.start("127.0.0.1", port)
        pipe.send(port)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv):
            pipe.send(_resource_usage())

    asyncio.run(serve())


def run_threads(backend_port: int, pipe) -> None:
    """Serve each caller with a thread and a curl transfer."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=_relay, args=(connection, backend_port), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    pipe.send(listener.getsockname()[1])
    while pipe.recv():
        pipe.send(_resource_usage())


def _relay(connection: socket.socket, backend_port: int) -> None:
    parser = h11.Connection(h11.SERVER)
    request = None
    while not isinstance(request, h11.Request):
        request = parser.next_event()
        if request is h11.NEED_DATA:
            parser.receive_data(connection.recv(65536))
    headers = {name.decode(): value.decode() for name, value in request.headers}
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    last_check_s = time.monotonic()

    def is_disconnected(*_):
        nonlocal last_check_s
        if time.monotonic() - last_check_s < CALLER_CHECK_INTERVAL_S:
            return 0
        last_check_s = time.monotonic()
        return 1 if poller.poll(0) else 0

    def write(data):
        try:
            connection.sendall(parser.send(h11.Data(data)))
        except OSError:
            # Caller disconnected; returning 0 makes curl abort the transfer.
            return 0
        return None

    connection.sendall(
        parser.send(
            h11.Response(
                status_code=200, headers=[("Transfer-Encoding", "chunked")]
            )
        )
    )
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://127.0.0.1:{backend_port}/x")
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(
        pycurl.HTTPHEADER,
        [f"X-Bilberryturn-Attempt-Id: {headers['x-bilberryturn-attempt-id']}"],
    )
    curl.setopt(pycurl.POSTFIELDS, "")
    curl.setopt(pycurl.WRITEFUNCTION, write)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, is_disconnected)
    try:
        curl.perform()
        connection.sendall(parser.send(h11.EndOfMessage()))
    except (pycurl.error, OSError):
        # Caller disconnected; closing the transfer notifies the server.
        pass
    finally:
        curl.close()
        connection.close()


# Callers


async def _call(port: int, number: int, disconnect: bool) -> float | None:
    """Read one stream.

    Returns:
        Monotonic time of the early disconnect, or None without one.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        (
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
            f"X-Bilberryturn-Attempt-Id: {number:016x}\r\n"
            f"Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
        ).encode()
    )
    body = io.BytesIO()
    while data := await reader.read(65536):
        body.write(data)
        if disconnect and b"token-1\n" in body.getvalue():
            writer.transport.abort()
            return time.monotonic()
    writer.close()
    assert body.getvalue().endswith(b"0\r\n\r\n"), body.getvalue()[-80:]
    return None


async def _call_concurrently(
    port: int, count: int, disconnect: bool
) -> list[float | None]:
    return await asyncio.gather(
        *(_call(port, number, disconnect) for number in range(count))
    )


def measure(
    proxy_target, streams: int, events: int
) -> tuple[float, float, float]:
    """Measure one variant.

    Returns:
        CPU ms per stream, peak MB, and the median ms until the backend
        server saw a caller disconnect.
    """
    spawn = multiprocessing.get_context("spawn")
    closes = spawn.Queue()
    port_pipe, backend_pipe = spawn.Pipe()
    backend = spawn.Process(
        target=run_server, args=(events, backend_pipe, closes), daemon=True
    )
    backend.start()
    assert port_pipe.poll(START_TIMEOUT_S)
    backend_port = port_pipe.recv()
    control_pipe, proxy_pipe = spawn.Pipe()
    proxy = spawn.Process(
        target=proxy_target, args=(backend_port, proxy_pipe), daemon=True
    )
    proxy.start()
    try:
        assert control_pipe.poll(START_TIMEOUT_S)
        port = control_pipe.recv()
        asyncio.run(_call_concurrently(port, 4, False))
        control_pipe.send(True)
        before_s, _ = control_pipe.recv()
        asyncio.run(_call_concurrently(port, streams, False))
        control_pipe.send(True)
        after_s, peak_mb = control_pipe.recv()
        delays_s = []
        for _ in range(10):
            (disconnected_s,) = asyncio.run(_call_concurrently(port, 1, True))
            delays_s.append(closes.get(timeout=10) - disconnected_s)
        return (
            (after_s - before_s) / streams * 1000,
            peak_mb,
            statistics.median(delays_s) * 1000,
        )
    finally:
        for process in (proxy, backend):
            process.terminate()
            process.join(5)


def main() -> int:
    """Print both variants for each number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="32,200")
    parser.add_argument("--events", type=int, default=50)
    parser.add_argument("--rounds", type=int, default=3)
    parsed = parser.parse_args()
    for streams in map(int, parsed.streams.split(",")):
        for name, run_proxy in (("loop", run_loop), ("threads", run_threads)):
            results = [
                measure(run_proxy, streams, parsed.events)
                for _ in range(parsed.rounds)
            ]
            cpu_ms, peak_mb, close_ms = map(
                statistics.median, zip(*results, strict=True)
            )
            print(
                f"{streams:4} streams of {parsed.events} events, {name}:"
                f" {cpu_ms:.2f} ms CPU time per stream,"
                f" peak {peak_mb:.0f} MB, close seen after {close_ms:.0f} ms",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
