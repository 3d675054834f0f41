"""Steps on the gateway before scripted servers with one fault each."""

import itertools
import threading
import time

import behave

from support import gateway_rig
from support import scripted

EVENTS = 5
WHOLE = b"answer"
_ids = itertools.count(1)


def _work(peer, head, body, number):
    if " /stream/" in head or " /resumable/" in head:
        peer.start_stream(head)
        after = int(scripted.header(head, "Last-Event-Id") or 0)
        for found in range(after + 1, EVENTS + 1):
            peer.chunk(scripted.event(found))
        peer.chunk(b"")
        return
    peer.answer(head, WHOLE)
    return


def _say_not_run(peer, head, body, number):
    peer.answer(head, status="503 Busy", extra="X-Bilberryturn-Not-Run: 1\r\n")


def _mark_429(peer, head, body, number):
    peer.answer(head, status="429 Busy", extra="X-Bilberryturn-Not-Run: 1\r\n")


def _answer_status(status, has_seal=True):
    def answer(peer, head, body, number):
        if has_seal:
            return peer.answer(head, b"recorded", status=f"{status} Failed")
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        peer.send(
            f"HTTP/1.1 {status} Failed\r\nX-Bilberryturn-Attempt-Id: {request}"
            "\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy"
        )
        return None

    return answer


def _expect_another(peer, head, body, number):
    peer.answer(head, status="421 Misdirected Request")


def _reset(peer, head, body, number):
    peer.reset()
    return "close"


def _answer_another(peer, head, body, number):
    peer.answer(head, WHOLE, request="another")


def _send_invalid_http(peer, head, body, number):
    peer.send(b"\x00\x01nonsense\r\n\r\n")
    return "close"


def _truncate_body(peer, head, body, number):
    request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
    peer.send(
        f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
        f"{scripted.SEAL}Content-Length: 50\r\n\r\nshort"
    )
    return "close"


def _encode(peer, head, body, number):
    peer.answer(head, b"\x1f\x8b", extra="Content-Encoding: gzip\r\n")


def _fail_sealed(peer, head, body, number):
    peer.answer(head, b"failed", status="500 Error")


def _never_answer(peer, head, body, number):
    time.sleep(5)


def _break_event(peer, head, body, number):
    peer.start_stream(head)
    peer.chunk(scripted.event(1))
    peer.chunk(scripted.event(2))
    peer.chunk(scripted.event(3)[:9])
    # Waits until the bytes have arrived, as a reset discards pending ones.
    time.sleep(0.1)


def _reset_inside(peer, head, body, number):
    _break_event(peer, head, body, number)
    peer.reset()
    return "close"


def _end_inside(peer, head, body, number):
    _break_event(peer, head, body, number)
    peer.chunk(b"")


def _second_answer(peer, head, body, number):
    peer.answer(head, WHOLE)
    time.sleep(0.05)
    peer.answer(head, b"late extra")


def _stream_slowly(context):
    def run(peer, head, body, number):
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        peer.connection.settimeout(5)
        peer.connection.recv(10)
        context.closed_s = time.monotonic()
        context.closed.set()
        return "close"

    return run


FAULTS = {
    "work": _work,
    "say not run": _say_not_run,
    "mark 429 as not run": _mark_429,
    **{
        f"run and say {status}": _answer_status(status)
        for status in (408, 409, 429, 500, 503)
    },
    **{
        f"say {status} without seal": _answer_status(status, has_seal=False)
        for status in (408, 429, 503)
    },
    "expect another server": _expect_another,
    "reset after the request": _reset,
    "answer another request": _answer_another,
    "send invalid HTTP": _send_invalid_http,
    "cut the body short": _truncate_body,
    "encode the body": _encode,
    "fail with a sealed 500": _fail_sealed,
    "do not answer": _never_answer,
    "reset inside an event": _reset_inside,
    "end inside an event": _end_inside,
    "send a second answer": _second_answer,
}


@behave.given("a gateway before servers that {fault} {times:w}")
def given_gateway(context, fault, times):
    context.closed = threading.Event()
    faults = {**FAULTS, "stream slowly": _stream_slowly(context)}
    faulty_answer = faults[fault]
    received = []
    lock = threading.Lock()

    def script(peer, head, body, number):
        with lock:
            received.append((head, body))
            is_first = len(received) == 1
        if is_first or times == "always":
            return faulty_answer(peer, head, body, number)
        return _work(peer, head, body, number)

    context.received = received
    context.servers = [scripted.ScriptedServer(script) for _ in range(4)]
    for server in context.servers:
        context.closers.append(server.close)
    context.rig = gateway_rig.GatewayRig(
        [
            gateway_rig.make_server(f"s{n}", server.port)
            for n, server in enumerate(context.servers)
        ]
    )
    context.closers.append(context.rig.close)


@behave.given("a gateway that has no configuration")
def given_no_config(context):
    context.rig = gateway_rig.GatewayRig([])
    context.closers.append(context.rig.close)
    context.rig.shared.table = None


@behave.given("routes with a timeout of {timeout_s:f} s")
def given_timeout(context, timeout_s):
    context.rig.shared.table = gateway_rig.make_table(timeout_s=timeout_s)


def _send_request(context, data):
    started_s = time.monotonic()
    context.answer = gateway_rig.send_request(context.rig.port, data)
    context.took_s = time.monotonic() - started_s


@behave.when("a caller sends a {kind:w} request")
def when_request(context, kind):
    _send_request(context, gateway_rig.request_text(kind, f"r{next(_ids)}"))


@behave.when("the same safe request is sent {count:d} times")
def when_repeated(context, count):
    for _ in range(count):
        when_request(context, "safe")


@behave.when("a caller sends {count:d} safe requests on one connection")
def when_one_connection(context, count):
    context.connection = gateway_rig.connect(context.rig.port)
    context.closers.append(context.connection.close)
    context.answers = []
    for _ in range(count):
        request_id = f"r{next(_ids)}"
        answer = gateway_rig.send_request(
            context.rig.port,
            gateway_rig.request_text("safe", request_id),
            context.connection,
        )
        context.answers.append((request_id, answer))
        # Waits until a late extra answer has arrived.
        time.sleep(0.1)


@behave.then("each request got its own answer")
def then_own_answers(context):
    for request_id, answer in context.answers:
        assert answer.body == WHOLE, answer.body
        found = answer.header("X-Bilberryturn-Attempt-Id")
        assert found == request_id, (found, request_id)


@behave.when("the key is withdrawn")
def when_withdrawn(context):
    context.rig.shared.table = gateway_rig.make_table(2, keys=("other",))


@behave.then("the next request on that connection gets status {status:d}")
def then_next(context, status):
    answer = gateway_rig.send_request(
        context.rig.port,
        gateway_rig.request_text("safe", "last"),
        context.connection,
    )
    assert answer.status == status, answer.status


@behave.when("a caller disconnects in the middle of a stream")
def when_caller_disconnects(context):
    connection = gateway_rig.connect(context.rig.port)
    connection.sendall(gateway_rig.request_text("stream", "left"))
    received = b""
    while b"token-1" not in received:
        received += connection.recv(65536)
    connection.close()
    context.disconnected_s = time.monotonic()


@behave.then("the server sees the connection close within {limit_s:f} s")
def then_closed(context, limit_s):
    assert context.closed.wait(5)
    assert context.closed_s - context.disconnected_s < limit_s


@behave.then("the answer came within {limit_s:f} s")
def then_within(context, limit_s):
    assert context.took_s < limit_s, context.took_s


def _seal(context):
    return context.answer.header("X-Bilberryturn-Server-Seal")


@behave.then("the caller sees the whole {what:w}")
def then_whole(context, what):
    expected = WHOLE
    if what == "stream":
        expected = b"".join(scripted.event(n + 1) for n in range(EVENTS))
    answer = context.answer
    assert answer.status == 200, answer.head
    assert answer.body == expected, answer.body
    assert answer.is_complete
    assert _seal(context) == "s.1"


@behave.then("the caller sees an incomplete stream")
def then_incomplete(context):
    answer = context.answer
    assert not answer.is_complete
    whole = b"".join(scripted.event(n + 1) for n in range(2))
    assert whole.startswith(answer.body), answer.body


@behave.then("the caller sees status {status:d} without a seal")
def then_status(context, status):
    assert context.answer.status == status, context.answer.head
    assert _seal(context) is None


@behave.then("the caller sees status {status:d} with its seal")
def then_sealed_status(context, status):
    assert context.answer.status == status, context.answer.head
    assert _seal(context) == "s.1"


@behave.then("the servers received the request {count:d} times")
def then_received(context, count):
    assert len(context.received) == count, context.received


SYSTEM_HEADERS = (
    "X-Bilberryturn-Request-Urgency: 0\r\nX-Bilberryturn-Hold: h\r\n"
    "X-Bilberryturn-Pin-Ms: 9\r\nX-Bilberryturn-Kv-Backup: 1.1.1.1:1\r\n"
    "Kv-From: 1.1.1.1:1/x\r\nX-Bilberryturn-Expect-Instance: forged\r\n"
)
CHUNKED_BODY = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


def _request_text(**changes):
    options = {"kind": "unsafe", "request_id": "seen", **changes}
    return gateway_rig.request_text(**options)


REQUESTS = {
    "a forged account": lambda: _request_text(
        extra="X-Bilberryturn-Tenant: forged\r\n"
    ),
    "its key": _request_text,
    "forged system headers": lambda: _request_text(extra=SYSTEM_HEADERS),
    "a body in chunks": lambda: (
        _request_text(extra="Transfer-Encoding: chunked\r\n").replace(
            b"Content-Length: 0\r\n", b""
        )
        + CHUNKED_BODY
    ),
    "connection-named headers": lambda: _request_text(
        extra="Connection: keep-alive, X-Bilberryturn-Attempt-Id, X-Mine\r\n"
        "X-Mine: 1\r\nX-Other: 2\r\n"
    ),
    "a deadline of 900 ms": lambda: _request_text(
        extra="X-Bilberryturn-Deadline-Ms: 900\r\n"
    ),
    "an encoded path and query": lambda: _request_text(
        path="a%2Fb/../c;d?x=%20&y"
    ),
    "an unknown key": lambda: _request_text(key="stranger"),
    "no key": lambda: _request_text().replace(
        b"Authorization: Bearer key-1\r\n", b""
    ),
    "a path without a route": lambda: _request_text().replace(
        b"/unsafe/", b"/un/"
    ),
    "too large a body": lambda: _request_text(body=b"x" * 100_001),
    "no valid HTTP": lambda: b"GARBAGE\r\n\r\n",
}


def _when_sends(what):
    @behave.when(f"a caller sends {what}")
    def when_sends(context):
        _send_request(context, REQUESTS[what]())


for _what in REQUESTS:
    _when_sends(_what)


@behave.then("the server saw the account of the key")
def then_account(context):
    head, _ = context.received[0]
    assert scripted.header(head, "X-Bilberryturn-Tenant") == "workshop"
    assert "forged" not in head


@behave.then("the server saw no key")
def then_no_key(context):
    head, body = context.received[0]
    assert gateway_rig.KEY not in head
    assert gateway_rig.KEY.encode() not in body


@behave.then("the server saw none of the system's headers")
def then_no_system(context):
    head, _ = context.received[0]
    for name in (
        "X-Bilberryturn-Request-Urgency",
        "X-Bilberryturn-Hold",
        "X-Bilberryturn-Pin-Ms",
        "X-Bilberryturn-Kv-Backup",
        "Kv-From",
    ):
        assert scripted.header(head, name) is None, head
    found = scripted.header(head, "X-Bilberryturn-Expect-Instance")
    assert found != "forged", found


@behave.then("the server saw the same body with a length")
def then_body(context):
    head, body = context.received[0]
    assert body == b"abcde"
    assert scripted.header(head, "Content-Length") == "5"
    assert scripted.header(head, "Transfer-Encoding") is None


@behave.then("the server saw all end-to-end headers")
def then_end_to_end(context):
    head, _ = context.received[0]
    assert scripted.header(head, "X-Bilberryturn-Attempt-Id") == "seen"
    assert scripted.header(head, "X-Other") == "2"
    assert scripted.header(head, "X-Mine") is None


@behave.then("the server saw at most 900 ms")
def then_deadline(context):
    head, _ = context.received[0]
    found = int(scripted.header(head, "X-Bilberryturn-Deadline-Ms"))
    assert 0 < found <= 900, found


@behave.then("the server saw the same path and query")
def then_path(context):
    head, _ = context.received[0]
    assert " /unsafe/a%2Fb/../c;d?x=%20&y HTTP/1.1" in head, head
