"""Steps of planned_stop.feature."""

import pathlib
import re
import signal
import socket
import threading
import time

import behave

from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

ROUTE_TIMEOUT_MS = 12_000
READY_LIMIT_S = 30.0
STREAM_REQUEST = "stream-1"
REQUEST = "request-1"
LARGE_BYTES = 3_900_000
# Receive buffer of a caller that reads slowly, so that most of a large answer
# waits in the node.
SLOW_READER_BYTES = 4096
# Loaded by a node's imports, long after the interpreter has started.
EARLY_MODULE = "msgspec"


class _ControlledServer:
    """Answers each request when the test says so.

    Attributes:
        received: Identifiers of the requests received.
    """

    def __init__(self):
        self.received = set()
        self._end_times_s = {}
        self._changed = threading.Condition()
        self._closed = False

    def set_end(self, request, at_s):
        """Let a request end at a monotonic time."""
        with self._changed:
            self._end_times_s[request] = at_s
            self._changed.notify_all()

    def close(self):
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def answer(self, peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        self.received.add(request)
        is_stream = "/stream/" in head
        if "/large" in head:
            peer.answer(head, b"x" * LARGE_BYTES)
            return
        if "/silent" in head:
            self._wait_for_end(request)
            return
        if is_stream:
            peer.start_stream(head)
            peer.chunk(scripted.event(1))
        self._wait_for_end(request)
        if is_stream:
            peer.chunk(scripted.event(2))
            peer.chunk(b"")
        else:
            peer.answer(head, b"answer")

    def _wait_for_end(self, request):
        with self._changed:
            while not self._closed:
                end_s = self._end_times_s.get(request)
                now_s = time.monotonic()
                if end_s is not None and now_s >= end_s:
                    return
                self._changed.wait(None if end_s is None else end_s - now_s)


def _at(context, after_stop_s):
    time.sleep(max(0.0, context.stopped_s + after_stop_s - time.monotonic()))


def _connect(context, receive_bytes=None):
    connection = socket.socket()
    if receive_bytes is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
    connection.settimeout(20)
    connection.connect((context.node.ip, context.node.port))
    context.closers.append(connection.close)
    return connection


def _request(kind, request, body=b"", path="x"):
    return gateway_rig.request_text(
        kind, request, key="key-a", body=body, path=path
    )


def _wait_received(context, request):
    limit_s = time.monotonic() + 5
    while request not in context.server.received:
        assert time.monotonic() < limit_s, f"{request} reached no server"
        time.sleep(0.01)


@behave.given("a node process with a grace period of {grace_s:d} s")
def given_node(context, grace_s):
    context.server = _ControlledServer()
    context.testbed = testbed_module.start(
        context,
        1,
        context.server.answer,
        stop_grace_s=grace_s,
        timeout_ms=ROUTE_TIMEOUT_MS,
    )
    context.closers.append(context.server.close)
    context.node = context.testbed.nodes[0]
    context.node.wait_ready()


@behave.given("a caller that has begun to read a stream")
def given_stream(context):
    context.connection = _connect(context)
    context.connection.sendall(_request("stream", STREAM_REQUEST))
    _wait_received(context, STREAM_REQUEST)


@behave.given("a caller that has requested a large answer and reads none of it")
def given_slow_reader(context):
    context.connection = _connect(context, SLOW_READER_BYTES)
    context.connection.sendall(_request("unsafe", REQUEST, path="large"))
    _wait_received(context, REQUEST)


@behave.when("the node gets SIGTERM")
def when_stopped(context):
    context.node.signal(signal.SIGTERM)
    context.stopped_s = time.monotonic()


@behave.when(
    "the node gets SIGTERM {delay_s:g} s after a caller has requested"
    " {response}"
)
def when_stopped_after(context, delay_s, response):
    kind = "stream" if "stream" in response else "safe"
    context.connection = _connect(context)
    context.connection.sendall(_request(kind, STREAM_REQUEST))
    _wait_received(context, STREAM_REQUEST)
    time.sleep(delay_s)
    when_stopped(context)


def _send_behind(context, end_s):
    """Let the stream end, read it and send the next request at once."""
    if end_s > 6:
        # Keeps the node's jobs busy after the drain was given up.
        context.testbed.store.fault = "silent"
    context.server.set_end(STREAM_REQUEST, context.stopped_s + end_s)
    gateway_rig.read_answer(context.connection)
    try:
        context.connection.sendall(_request("unsafe", REQUEST))
    except OSError:
        context.answer = gateway_rig.Answer("", b"", False)
        return
    context.answer = gateway_rig.read_answer(context.connection)


def _send_ahead(context, end_s):
    """Send the next request before the stream ends."""
    _at(context, 0.5)
    context.connection.sendall(_request("unsafe", REQUEST))
    context.server.set_end(STREAM_REQUEST, context.stopped_s + end_s)
    first, rest = gateway_rig.read_answers(context.connection, 2)
    assert first.is_complete, first.body
    context.answer = rest


def _send_halves(context, first_s, second_s):
    """Send half a request, and the other half later."""
    context.server.set_end(STREAM_REQUEST, context.stopped_s)
    data = _request("unsafe", REQUEST, b"body of the request")
    _at(context, first_s)
    connection = _connect(context)
    connection.sendall(data[: len(data) // 2])
    _at(context, second_s)
    connection.sendall(data[len(data) // 2 :])
    context.answer = gateway_rig.read_answer(connection)


@behave.when("the caller sends a request {late} that its server never answers")
def when_late_request(context, late):
    times_s = [float(text) for text in re.findall(r"\d+\.\d+", late)]
    if late.startswith("behind"):
        _send_behind(context, *times_s)
    elif late.startswith("ahead"):
        _send_ahead(context, *times_s)
    else:
        _send_halves(context, *times_s)


@behave.when("the caller sends a request ahead that its server answers at once")
def when_sent_ahead(context):
    context.server.set_end(REQUEST, 0.0)
    _send_ahead(context, 1.5)


@behave.when(
    "a caller sends a request after {sent_s:g} s that its server answers after"
    " {end_s:g} s"
)
def when_sent(context, sent_s, end_s):
    context.server.set_end(REQUEST, context.stopped_s + end_s)
    _at(context, sent_s)
    connection = _connect(context)
    connection.sendall(_request("unsafe", REQUEST))
    context.answer = gateway_rig.read_answer(connection)


@behave.when("the caller reads the answer after {after_s:g} s")
def when_read_late(context, after_s):
    _at(context, after_s)
    context.answer = gateway_rig.read_answer(context.connection)


@behave.when("the node is killed and gets SIGHUP while it starts again")
def when_reloaded_at_start(context):
    node = context.node
    node.signal(signal.SIGKILL)
    node.process.wait()
    node.start()
    maps_path = pathlib.Path(f"/proc/{node.process.pid}/maps")
    limit_s = time.monotonic() + READY_LIMIT_S
    while EARLY_MODULE not in maps_path.read_text("utf-8"):
        assert time.monotonic() < limit_s, f"{EARLY_MODULE} was not loaded"
        time.sleep(0.002)
    node.signal(signal.SIGHUP)


@behave.when(
    "the node gets SIGTERM, then SIGHUP and SIGTERM until it has ended"
)
def when_signalled_throughout(context):
    node = context.node
    limit_s = time.monotonic() + READY_LIMIT_S
    node.signal(signal.SIGTERM)
    while node.is_running():
        assert time.monotonic() < limit_s, "the node does not end"
        node.signal(signal.SIGHUP)
        node.signal(signal.SIGTERM)
        time.sleep(0.002)


def _node_log(context):
    return context.node.log_path.read_text("utf-8")[-2500:]


@behave.then("the caller gets an answer, or no server has received the request")
def then_answered_or_unsent(context):
    is_received = REQUEST in context.server.received
    assert context.answer.is_complete or not is_received, _node_log(context)


@behave.then("the caller gets the server's whole answer")
def then_server_answer(context):
    assert context.answer.status == 200, context.answer.head
    then_answered(context)


@behave.then("the caller gets the whole answer")
def then_answered(context):
    assert context.answer.is_complete, _node_log(context)


@behave.then("the node becomes ready")
def then_ready(context):
    context.node.wait_ready(2)


@behave.then("the node has ended with status {status:d}")
def then_ended(context, status):
    assert context.node.process.poll() == status, context.node.process.poll()
    assert '"node_stopped"' in _node_log(context), _node_log(context)


@behave.when(
    "a caller sends a {kind:w} request after {sent_s:g} s that its server never"
    " answers"
)
def when_silent(context, kind, sent_s):
    _at(context, sent_s)
    connection = _connect(context)
    connection.sendall(_request(kind, REQUEST, path="silent"))
    context.answer = gateway_rig.read_answer(connection)
    context.answered_s = time.monotonic()


@behave.then("the caller gets a whole answer by the end of the grace period")
def then_whole_in_time(context):
    then_answered(context)
    grace_s = context.testbed.stop_grace_s
    assert context.answered_s <= context.stopped_s + grace_s


@behave.then("the answer promises nothing if a server has received the request")
def then_promises(context):
    is_received = REQUEST in context.server.received
    expected = (502, 504) if is_received else (503,)
    assert context.answer.status in expected, (
        is_received,
        context.answer.head,
    )


@behave.when(
    "a caller sends two unsafe requests at once after {sent_s:g} s whose server"
    " is silent"
)
def when_two(context, sent_s):
    _at(context, sent_s)
    connection = _connect(context)
    connection.sendall(
        _request("unsafe", STREAM_REQUEST, path="silent")
        + _request("unsafe", REQUEST, path="silent")
    )
    context.answers = gateway_rig.read_answers(connection, 2)


@behave.then("the first one may have run, and the second one has not")
def then_first_and_second(context):
    found = [(a.status, a.is_complete) for a in context.answers]
    assert found == [(502, True), (503, True)], found
    assert REQUEST not in context.server.received
