"""Run the control thread of a node: sockets, timers and submitted calls.

Only this thread uses the soft state of the control plane, so the state needs
no locks. Handlers and timers must not block.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import heapq
import itertools
import os
import threading
import time
from typing import NamedTuple

import msgspec
import zmq
import zmq.auth.thread

from bilberryturn import events
from bilberryturn.messages import kinds

SEND_HIGH_WATER_MARK = 2000
RECEIVE_HIGH_WATER_MARK = 20000
MAX_FRAME_BYTES = 8 * 1024 * 1024
RECEIVE_BATCH = 200
CONNECTION_IDLE_S = 60.0
ZAP_DOMAIN = "bilberryturn"
ZMQ_HEARTBEAT_MS = 1000
ZMQ_HEARTBEAT_TIMEOUT_MS = 3000
ZMQ_CONNECT_TIMEOUT_MS = 1000
ZMQ_RECONNECT_MS = 100
ZMQ_RECONNECT_MAX_MS = 1000


class LinkOptions(NamedTuple):
    """Socket options of a node.

    Attributes:
        bind_address: Address to listen on.
        own_address: Address under which peers reach this node.
        source_address: Source IP address of connections, or empty.
        public_key: CURVE public key shared by the nodes, or empty.
        secret_key: CURVE secret key shared by the nodes, or empty.
    """

    bind_address: str
    own_address: str
    source_address: str = ""
    public_key: str = ""
    secret_key: str = ""


class _SharedKeyCredentials:
    """Authenticates only holders of the public key that the nodes share."""

    def __init__(self, public_key: str):
        self._public_key = public_key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._public_key


class _Connection:
    def __init__(self, socket, last_used_s: float):
        self.socket = socket
        self.last_used_s = last_used_s


class ControlLoop:
    """Runs the control thread.

    Messages are one-way and may be lost, so every exchange must retry or
    expire. A message to the node's own address is delivered without a socket.
    """

    def __init__(
        self,
        options: LinkOptions,
        receive: Callable[[kinds.Message], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.options = options
        self._receive = receive
        self._clock = clock
        self._context = zmq.Context()
        self._connections: dict[str, _Connection] = {}
        self._calls: collections.deque = collections.deque()
        self._timers: list = []
        self._timer_sequence = itertools.count()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        self._is_stopping = False
        self._inbound = None
        self._authenticator = None
        self._thread = threading.Thread(
            target=self._run, name="control", daemon=True
        )
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0

    def start(self) -> None:
        """Bind the listening socket and start the thread.

        Raises:
            zmq.ZMQError: The address is in use.
        """
        if self.options.public_key:
            self._authenticator = zmq.auth.thread.ThreadAuthenticator(
                self._context
            )
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                ZAP_DOMAIN,
                credentials_provider=_SharedKeyCredentials(
                    self.options.public_key
                ),
            )
        self._inbound = self._context.socket(zmq.PULL)
        self._inbound.setsockopt(zmq.LINGER, 0)
        self._inbound.setsockopt(zmq.RCVHWM, RECEIVE_HIGH_WATER_MARK)
        self._inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        if self.options.public_key:
            self._inbound.curve_server = True
            self._inbound.curve_publickey = self.options.public_key.encode()
            self._inbound.curve_secretkey = self.options.secret_key.encode()
            self._inbound.zap_domain = ZAP_DOMAIN.encode()
        self._inbound.bind(f"tcp://{self.options.bind_address}")
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close all sockets."""
        self._is_stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join(5.0)

    def submit(self, function: Callable, *arguments) -> None:
        """Call a function on the control thread."""
        self._calls.append((function, arguments))
        self._wake()

    def submit_with_result(
        self, function: Callable, *arguments
    ) -> concurrent.futures.Future:
        """Call a function on the control thread; return a future of it."""
        future: concurrent.futures.Future = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(function(*arguments))
            except Exception as error:
                future.set_exception(error)

        self.submit(run)
        return future

    def call_periodically(
        self, interval_s: float, function: Callable[[], None]
    ) -> None:
        """Call a function on the control thread periodically."""
        timer = (
            self._clock() + interval_s,
            next(self._timer_sequence),
            interval_s,
            function,
        )
        self.submit(heapq.heappush, self._timers, timer)

    def send(self, address: str, message: kinds.Message) -> None:
        """Send a message; must be called on the control thread."""
        if address == self.options.own_address:
            self._calls.append((self._receive, (message,)))
            return
        frame = kinds.encode(message)
        try:
            self._connect(address).send(frame, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_messages += 1
            return
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    def send_from_any_thread(
        self, address: str, message: kinds.Message
    ) -> None:
        """Send a message from any thread."""
        self.submit(self.send, address, message)

    def _wake(self) -> None:
        try:
            os.write(self._wake_writer, b"x")
        except BlockingIOError:
            pass

    def _connect(self, address: str):
        connection = self._connections.get(address)
        if connection is not None:
            connection.last_used_s = self._clock()
            return connection.socket
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
        socket.setsockopt(zmq.HEARTBEAT_IVL, ZMQ_HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, ZMQ_HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, ZMQ_CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, ZMQ_RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, ZMQ_RECONNECT_MAX_MS)
        if self.options.public_key:
            socket.curve_serverkey = self.options.public_key.encode()
            socket.curve_publickey = self.options.public_key.encode()
            socket.curve_secretkey = self.options.secret_key.encode()
        target = address
        if self.options.source_address:
            target = f"{self.options.source_address}:0;{address}"
        socket.connect(f"tcp://{target}")
        self._connections[address] = _Connection(socket, self._clock())
        return socket

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._inbound, zmq.POLLIN)
        poller.register(self._wake_reader, zmq.POLLIN)
        self.call_periodically(CONNECTION_IDLE_S, self._close_idle)
        while not self._is_stopping:
            timeout_s = 0.0 if self._calls else self._time_to_next_timer_s()
            ready = dict(poller.poll(timeout_s * 1000))
            if self._wake_reader in ready:
                self._drain_wake_pipe()
            if self._inbound in ready:
                self._receive_batch()
            self._run_calls()
            self._run_timers()
        self._close()

    def _time_to_next_timer_s(self) -> float:
        if not self._timers:
            return 1.0
        return max(0.0, min(1.0, self._timers[0][0] - self._clock()))

    def _drain_wake_pipe(self) -> None:
        try:
            os.read(self._wake_reader, 65536)
        except BlockingIOError:
            pass

    def _receive_batch(self) -> None:
        for _ in range(RECEIVE_BATCH):
            try:
                frame = self._inbound.recv(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self.received_messages += 1
            self.received_bytes += len(frame)
            try:
                message = kinds.decode(frame)
            except (msgspec.DecodeError, RecursionError) as error:
                events.log(events.FRAME_REFUSED, problem=str(error))
                continue
            self._call_logging_errors(self._receive, message)

    def _run_calls(self) -> None:
        for _ in range(len(self._calls)):
            function, arguments = self._calls.popleft()
            self._call_logging_errors(function, *arguments)

    def _run_timers(self) -> None:
        now_s = self._clock()
        while self._timers and self._timers[0][0] <= now_s:
            _, sequence, interval_s, function = heapq.heappop(self._timers)
            self._call_logging_errors(function)
            due_s = self._clock() + interval_s
            heapq.heappush(
                self._timers, (due_s, sequence, interval_s, function)
            )

    def _call_logging_errors(self, function: Callable, *arguments) -> None:
        """Call a function; log an exception so that the thread continues."""
        try:
            function(*arguments)
        except Exception as error:
            events.log(
                events.JOB_FAILED,
                job=getattr(function, "__qualname__", str(function)),
                error=f"{type(error).__name__}: {error}",
            )

    def _close_idle(self) -> None:
        cutoff_s = self._clock() - CONNECTION_IDLE_S
        for address, connection in list(self._connections.items()):
            if connection.last_used_s < cutoff_s:
                connection.socket.close()
                del self._connections[address]

    def _close(self) -> None:
        for connection in self._connections.values():
            connection.socket.close()
        self._inbound.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()
        os.close(self._wake_reader)
        os.close(self._wake_writer)
