"""Steps of time_limits.feature: servers that stop at their time limit."""

import itertools
import threading
import time
from unittest import mock

import behave

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.gateway import time_limits
from support import gateway_rig
from support import scripted
from support import tunnel_rig

EVENTS = 5
BODY = b"answer"
LIMIT_S = 0.6
# Of the first attempt of a route with a target of 0.5 s and this timeout.
FIRST_ATTEMPT_S = 0.5
# Time in which a node finds out that it is cut off.
CUT_S = 5.0
_ids = itertools.count(1)


class _Server:
    """Answers without length or chunks until its time is over.

    Attributes:
        early_s: How long before the end of its time limit it closes.
        is_whole: Whether its answers are whole by then.
        on_half: Called as half of an answer has been sent.
    """

    def __init__(self, early_s, is_whole=False, on_half=lambda: None):
        self.early_s = early_s
        self.is_whole = is_whole
        self.on_half = on_half

    def answer(self, peer, head, body, number):
        end_s = _end_of_limit_s(head) - self.early_s
        peer.send(_head(head))
        pieces = _pieces(head)
        half = len(pieces) // 2
        peer.send(b"".join(pieces[:half]))
        self.on_half()
        if self.is_whole:
            peer.send(b"".join(pieces[half:]))
        _wait_until(end_s)
        return "close"


def _end_of_limit_s(head):
    """Return the monotonic time at which a request's time limit is over."""
    limit_ms = int(scripted.header(head, "X-Bilberryturn-Deadline-Ms"))
    return time.monotonic() + limit_ms / 1000


def _wait_until(end_s):
    time.sleep(max(0.0, end_s - time.monotonic()))


def _is_stream(head):
    return " /stream/" in head or " /resumable/" in head


def _head(head, framing=""):
    """Return the head of the answer to a request."""
    request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
    kind = "Content-Type: text/event-stream\r\n" if _is_stream(head) else ""
    return (
        f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
        f"{scripted.SEAL}{kind}{framing}\r\n"
    )


def _pieces(head):
    """Return the pieces of the whole answer to a request."""
    if _is_stream(head):
        return [scripted.event(n + 1) for n in range(EVENTS)]
    return [BODY[:3], BODY[3:]]


def _stop_in(end, early_s=0.0, on_half=lambda: None):
    """Return a script that ends an answer in some way at its time limit."""

    def answer(peer, head, body, number):
        end_s = _end_of_limit_s(head) - early_s
        is_chunked = end == "close inside a chunk"
        pieces = _pieces(head)
        half = b"".join(pieces[: len(pieces) // 2])
        if is_chunked:
            half = b"%x\r\n%s\r\n5\r\n" % (len(half), half)
        elif end == "close inside an event":
            half += scripted.event(EVENTS)[:5]
        if end != "close without an answer":
            peer.send(
                _head(head, "Transfer-Encoding: chunked\r\n" * is_chunked)
            )
        if end not in ("close without an answer", "close behind a head"):
            peer.send(half)
        on_half()
        _wait_until(end_s)
        if end == "reset":
            peer.reset()
        return "close"

    return answer


def _start(context, server):
    context.server = server
    _start_gateway(context, server.answer, 2)


def _start_gateway(context, script, count):
    context.script = script
    context.scripted = [
        scripted.ScriptedServer(lambda *request: context.script(*request))
        for _ in range(count)
    ]
    context.closers.extend(found.close for found in context.scripted)
    context.rig = gateway_rig.GatewayRig(
        [
            gateway_rig.make_server(f"s{number}", found.port)
            for number, found in enumerate(context.scripted)
        ]
    )
    context.closers.append(context.rig.close)


@behave.given(
    "a gateway before a server that stops {offset_ms:d} ms {side:w} its time"
    " limit"
)
def given_stopping(context, offset_ms, side):
    sign = 1 if side == "before" else -1
    _start(context, _Server(sign * offset_ms / 1000))


@behave.given(
    "a gateway before {count:d} servers that {end} at their time limit"
)
def given_ends(context, count, end):
    _start_gateway(context, _stop_in(end), count)


@behave.when("a caller sends the same {kind:w} request {count:d} times")
def when_same(context, kind, count):
    for _ in range(count):
        context.answer = gateway_rig.send_request(
            context.rig.port, _request(kind)
        )


@behave.given(
    "a gateway before a server that ends its answers {early_s:g} s before its"
    " time limit"
)
def given_ending(context, early_s):
    _start(context, _Server(early_s, is_whole=True))


def _suspend(context, time_s):
    """Return a function that suspends the node, as its clocks show it."""
    suspended_s = [0.0]
    boottime_s = leases.boottime_s
    patch = mock.patch.object(
        leases, "boottime_s", lambda: boottime_s() + suspended_s[0]
    )
    patch.start()
    context.closers.append(patch.stop)

    def suspend():
        suspended_s[0] = time_s

    return suspend


@behave.given(
    "a gateway before a server that stops 0 ms before its time limit, for"
    " {time_s:g} s of which the node is suspended"
)
def given_suspended(context, time_s):
    # The monotonic clock does not count that time.
    _start(context, _Server(time_s, on_half=_suspend(context, time_s)))


@behave.given(
    "a gateway before {count:d} servers that {end} at their time limit, for"
    " {time_s:g} s of which the node is suspended"
)
def given_suspended_ends(context, count, end, time_s):
    suspend = _suspend(context, time_s)
    _start_gateway(context, _stop_in(end, time_s, suspend), count)


@behave.given("routes with a timeout and a target of {time_s:g} s")
def given_target(context, time_s):
    # No attempt is ended sooner for another one.
    context.rig.shared.table = gateway_rig.make_table(
        timeout_s=time_s, target_s=time_s
    )


@behave.given("the time limit of its requests is {whose}")
def given_limit(context, whose):
    context.extra = ""
    if whose == "the caller's":
        context.extra = f"X-Bilberryturn-Deadline-Ms: {int(LIMIT_S * 1000)}\r\n"
        return
    timeout_s = LIMIT_S + FIRST_ATTEMPT_S
    context.rig.shared.table = gateway_rig.make_table(timeout_s=timeout_s)
    first = _refuse_late if "refusal" in whose else _be_silent
    stop, numbers = context.server.answer, itertools.count()

    def answer(*request):
        return (stop if next(numbers) else first)(*request)

    context.script = answer


def _refuse_late(peer, head, body, number):
    time.sleep(FIRST_ATTEMPT_S)
    peer.answer(head, status="503 Busy", extra="X-Bilberryturn-Not-Run: 1\r\n")


def _be_silent(peer, head, body, number):
    peer.connection.recv(1)
    return "close"


def _request(kind, extra=""):
    return gateway_rig.request_text(kind, f"l{next(_ids)}", extra=extra)


@behave.when("a caller sends it a {kind:w} request")
def when_limited(context, kind):
    context.answer = gateway_rig.send_request(
        context.rig.port, _request(kind, context.extra)
    )


@behave.when("a caller of HTTP/1.0 sends a {kind:w} request")
def when_old_caller(context, kind):
    data = _request(kind).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    connection = gateway_rig.connect(context.rig.port)
    connection.sendall(data)
    context.is_reset = False
    try:
        while connection.recv(65536):
            pass
    except ConnectionResetError:
        context.is_reset = True
    connection.close()


@behave.then("the connection of the caller is reset")
def then_reset(context):
    assert context.is_reset


@behave.when(
    "the node stands still from {from_s:g} s to {until_s:g} s after a caller"
    " sends a {kind:w} request"
)
def when_still(context, from_s, until_s, kind):
    def stand_still():
        time.sleep(until_s - from_s)

    def begin():
        time.sleep(from_s)
        context.rig.loop.call_soon_threadsafe(stand_still)

    thread = threading.Thread(target=begin)
    thread.start()
    context.answer = gateway_rig.send_request(context.rig.port, _request(kind))
    thread.join()


@behave.then("the caller sees half of the stream")
def then_half(context):
    answer = context.answer
    half = b"".join(scripted.event(n + 1) for n in range(EVENTS // 2))
    assert answer.status == 200, answer.head
    assert answer.body == half, answer.body
    assert not answer.is_complete


@behave.then("the servers got the request once")
def then_once(context):
    then_times(context, 1)


@behave.then("the servers got the request {count:d} times")
def then_times(context, count):
    received = sum(len(found.requests) for found in context.scripted)
    assert received == count, received


@behave.given(
    "a node that reaches its servers through a peer, and servers that stop at"
    " their time limit"
)
def given_behind_peer(context):
    context.ended = []

    def record(event, **fields):
        if event is events.REQUEST_ENDED:
            context.ended.append(fields)

    patch = mock.patch.object(events, "log", record)
    patch.start()
    context.closers.append(patch.stop)
    context.deployment = tunnel_rig.Deployment(
        context, _Server(0.0).answer, 2, ["here", "here"]
    )
    context.node, context.peer = context.deployment.nodes
    context.deployment.cut(context.node, "hang")
    end_s = time.monotonic() + CUT_S
    while not context.node.is_cut:
        assert time.monotonic() < end_s, "the node has not found the cut"
        when_behind_peer(context, "safe")


@behave.when("a caller of that node sends a {kind:w} request")
def when_behind_peer(context, kind):
    extra = f"X-Bilberryturn-Deadline-Ms: {int(LIMIT_S * 1000)}\r\n"
    context.answer = gateway_rig.send_request(
        context.node.rig.port, _request(kind, extra)
    )


@behave.then("the answer came through the peer")
def then_through_peer(context):
    assert context.ended[-1]["via"] == context.peer.address, context.ended[-1]


@behave.given("a time limit of {limit_ms:d} ms")
def given_time_limit(context, limit_ms):
    context.limit = time_limits.TimeLimit(1000.0, limit_ms / 1000)


@behave.when("the connection of its answer ends after {at_ms:d} ms")
def when_ended(context, at_ms):
    context.may_have_stopped = context.limit.may_have_stopped(
        1000.0 + at_ms / 1000
    )


@behave.then("its server {verdict}")
def then_verdict(context, verdict):
    expected = verdict == "may have stopped"
    assert context.may_have_stopped == expected
