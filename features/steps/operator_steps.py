"""Steps of operators.feature: failures seen at the gateway's sockets."""

import itertools
import json
import random
import socket
import struct
import threading
import time
from unittest import mock

import behave
import msgspec

from bilberryturn import server_sent_events
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import peer_state
from bilberryturn.edge import relays
from bilberryturn.gateway import drain
from bilberryturn.gateway import internal_server
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import rows
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import counting
from support import gateway_rig
from support import platform_data
from support import scripted

MB = 1024 * 1024
BLOCK_BYTES = 65536
WHOLE = b"answer"
LARGE = b"x" * 3_900_000
# Above the limit of the rig's configuration by less than one read.
TOO_LARGE_BYTES = 100_500
EVENTS = 5
FUZZ_SEED = 11
_ids = itertools.count(1)


def _head(head, extra):
    request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
    return (
        f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
        f"{scripted.SEAL}{extra}\r\n"
    )


CHUNKED = "Transfer-Encoding: chunked\r\n"
BLOCK = b"x" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, BLOCK)
FIELDS = b"X-Filler: 0123456789\r\n" * 3000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n" * 2000
LINES = (b"data: 0123456789\n" * 3855)[:BLOCK_BYTES]
EVENT_CHUNK = b"%x\r\n%s\r\n" % (len(LINES), LINES)
# By way: the bytes sent once, from the head of the request, and those repeated.
ENDLESS = {
    "a status line": (lambda head: "HTTP/1.1 200 ", BLOCK),
    "header fields": (lambda head: "HTTP/1.1 200 OK\r\n", FIELDS),
    "informational responses": (lambda head: "", CONTINUE),
    "a body with a huge length": (
        lambda head: _head(head, "Content-Length: 99999999999\r\n"),
        BLOCK,
    ),
    "a chunked body": (lambda head: _head(head, CHUNKED), CHUNK),
    "a chunk extension": (lambda head: _head(head, CHUNKED) + "5;e=", BLOCK),
    "trailers": (lambda head: _head(head, CHUNKED) + "0\r\n", FIELDS),
    "a body that ends with the channel": (lambda head: _head(head, ""), BLOCK),
    "an event": (lambda head: _head(head, CHUNKED), CHUNK),
    "one line break in an event": (
        lambda head: _head(head, CHUNKED),
        EVENT_CHUNK,
    ),
    "bytes after its answer": (
        lambda head: _head(head, "Content-Length: 6\r\n") + "answer",
        BLOCK,
    ),
}


LATE_BYTES = "bytes some time after its answer"
ENDLESS[LATE_BYTES] = ENDLESS["bytes after its answer"]


class _Sender:
    """Sends without end and counts the bytes until the channel is closed."""

    def __init__(self):
        self.sent_bytes = 0
        self.closed = threading.Event()

    def send(self, peer, block, end_s=20.0):
        deadline_s = time.monotonic() + end_s
        try:
            while time.monotonic() < deadline_s:
                peer.send(block)
                self.sent_bytes += len(block)
        finally:
            self.closed.set()


def _start_gateway(context, script, sound=False, count=1):
    """Start a gateway; its sound server serves the routes of /sound/."""
    servers = [scripted.ScriptedServer(script) for _ in range(count)]
    entries = [
        gateway_rig.make_server(f"s{number}", server.port)
        for number, server in enumerate(servers)
    ]
    route_table = gateway_rig.make_table()
    if sound:
        servers.append(
            scripted.ScriptedServer(
                lambda peer, head, body, number: peer.answer(head, WHOLE)
            )
        )
        entries.append(
            gateway_rig.make_server("sound", servers[-1].port, service="sound")
        )
        route_table = table.RouteTable(
            1,
            [
                *map(gateway_rig.make_route, gateway_rig.RETRY_POLICIES),
                gateway_rig.make_route(
                    "safe", name="sound", prefix="/sound/",
                    targets=(types.Target("sound", 1.0),),
                ),
            ],
            [
                types.Service("app", 100, None, None),
                types.Service("sound", 100, None, None),
            ],
            types.Limits(),
            {
                table.key_hash(gateway_rig.KEY): types.ClientAccount(
                    "workshop", None
                )
            },
        )  # fmt: skip
    context.servers = servers
    for server in servers:
        context.closers.append(server.close)
    context.rig = gateway_rig.GatewayRig(entries, route_table)
    context.closers.append(context.rig.close)


# Bytes without end


@behave.given("a gateway before a server that sends {what} without end")
def given_endless(context, what):
    begin, block = ENDLESS[what]
    context.sender = _Sender()

    def script(peer, head, body, number):
        peer.send(begin(head))
        if what == LATE_BYTES:
            # By then the connection is idle.
            time.sleep(0.3)
        context.sender.send(peer, block)
        return "close"

    _start_gateway(context, script, sound=True)


@behave.when(
    "one caller sends a {kind:w} request to it and another one to a sound"
    " server"
)
def when_two_callers(context, kind):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    connection.sendall(gateway_rig.request_text(kind, f"e{next(_ids)}"))
    text = gateway_rig.request_text("safe", f"e{next(_ids)}")
    context.other_answer = gateway_rig.send_request(
        context.rig.port, text.replace(b"/safe/", b"/sound/")
    )
    context.answer = gateway_rig.read_answer(connection)


@behave.then("the server's connection is closed after at most {limit:d} MB")
def then_closed(context, limit):
    deadline_s = time.monotonic() + 10
    while not context.sender.closed.wait(1):
        assert time.monotonic() < deadline_s, "the connection is still open"
        # Bytes may arrive only after the connection has become idle.
        context.rig.sweep()
    assert context.sender.sent_bytes <= limit * MB, context.sender.sent_bytes


@behave.then("the first caller gets no complete success")
def then_no_success(context):
    answer = context.answer
    assert answer.status >= 500 or not answer.is_complete, answer.head


@behave.then("the first caller has its whole answer")
def then_first_whole(context):
    assert context.answer.body == WHOLE and context.answer.is_complete


@behave.then("the other caller has its whole answer")
def then_other(context):
    assert context.other_answer.body == WHOLE, context.other_answer.head


@behave.then(
    "16 MB in pieces of 1 kB without an event boundary are refused after 1 MB"
    " and each byte is searched at most twice"
)
def then_linear(context):
    splitter = server_sent_events.EventSplitter(response_limits.MAX_EVENT_BYTES)
    counting.CountingBuffer.handled_bytes = 0
    splitter._buffer = counting.CountingBuffer()
    fed_bytes = 0
    try:
        while fed_bytes < 16 * MB:
            fed_bytes += 1024
            list(splitter.feed(b"x" * 1024))
    except server_sent_events.EventTooLargeError:
        pass
    assert fed_bytes <= response_limits.MAX_EVENT_BYTES + 1024, fed_bytes
    # Each byte is added once and read once, as its line ends.
    assert counting.CountingBuffer.handled_bytes >= fed_bytes
    assert counting.CountingBuffer.handled_bytes <= 2.02 * fed_bytes


# A second copy of an answer


@behave.given(
    "a gateway before a server that sends a second copy {when:w} the next"
    " request"
)
def given_second_copy(context, when):
    def script(peer, head, body, number):
        answered = context.last_answered.get(peer)
        if answered and when == "with":
            peer.answer(answered, WHOLE)
        peer.answer(head, WHOLE)
        if answered and when == "after":
            peer.answer(answered, WHOLE)
        context.last_answered[peer] = head
        if when == "before" and number % 2:
            threading.Timer(0.02, peer.answer, (head, WHOLE)).start()

    context.last_answered = {}
    _start_gateway(context, script, count=3)


@behave.when("one caller sends {count:d} safe requests in turn")
def when_series(context, count):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    context.answers = []
    for number in range(count):
        request_id = f"c{next(_ids)}"
        answer = gateway_rig.send_request(
            context.rig.port,
            gateway_rig.request_text("safe", request_id),
            connection,
        )
        context.answers.append((request_id, answer))
        time.sleep(0.05 if number % 2 else 0.0)


@behave.then("each of them got its own answer")
def then_own(context):
    for request_id, answer in context.answers:
        assert answer.status == 200 and answer.body == WHOLE, answer.head
        found = answer.header("X-Bilberryturn-Attempt-Id")
        assert found == request_id, (found, request_id)


# Callers that send without end


@behave.given("a gateway before a server that answers after {delay_s:g} s")
def given_late(context, delay_s):
    def script(peer, head, body, number):
        time.sleep(delay_s)
        peer.answer(head, WHOLE)

    _start_gateway(context, script)


@behave.when("its caller goes on sending during the request")
def when_caller_endless(context):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    connection.sendall(gateway_rig.request_text("unsafe", f"b{next(_ids)}"))
    connection.settimeout(0.5)
    context.accepted_bytes = 0
    try:
        while context.accepted_bytes < 64 * MB:
            context.accepted_bytes += connection.send(BLOCK)
    except TimeoutError:
        pass
    connection.settimeout(8)
    context.answer = gateway_rig.read_answer(connection)


@behave.then("the gateway accepts at most {limit:d} MB of them")
def then_accepted(context, limit):
    assert context.accepted_bytes <= limit * MB, context.accepted_bytes


@behave.then("the caller gets its answer")
def then_answer(context):
    # The gateway rejects what followed the request, after the answer.
    assert context.answer.body.startswith(WHOLE), context.answer.head


# Refused requests


@behave.given("a gateway before a server that sends large answers")
def given_large(context):
    def script(peer, head, body, number):
        peer.answer(head, LARGE)

    _start_gateway(context, script)


@behave.when(
    "a caller that reads nothing sends a request, then one with too large a"
    " body"
)
def when_too_large(context):
    connection = socket.socket()
    context.closers.append(connection.close)
    # Keeps most of the large answer in the gateway.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(8)
    connection.connect(("127.0.0.1", context.rig.port))
    connection.sendall(gateway_rig.request_text("unsafe", f"l{next(_ids)}"))
    _wait_unsent(context)
    connection.sendall(
        gateway_rig.request_text(
            "unsafe", f"l{next(_ids)}", body=b"x" * TOO_LARGE_BYTES
        )
    )
    context.answers = gateway_rig.read_answers(connection, 2)


def _wait_unsent(context):
    """Wait until the first request has ended with its answer unsent."""
    limit_s = time.monotonic() + 8
    while True:
        connections = list(context.rig.server.connections)
        if any(c.has_unsent_data and not c.is_busy for c in connections):
            return
        assert time.monotonic() < limit_s, "no answer waits for its caller"
        time.sleep(0.01)


@behave.then("the server has received only the first request")
def then_only_first(context):
    requests = context.servers[0].requests
    assert len(requests) == 1, [(head, len(body)) for head, body in requests]


@behave.then("the caller gets the whole answer, then status 413")
def then_refused(context):
    first, refused = context.answers
    assert first.body == LARGE and first.is_complete, len(first.body)
    assert refused.status == 413 and refused.is_complete, refused.head


# Planned stop


@behave.when("the gateway stops while a request is {state}")
def when_stops(context, state):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    text = gateway_rig.request_text(
        "unsafe", f"s{next(_ids)}", body=b"0123456789"
    )
    sent_bytes = {
        "in a head half received": 40,
        "in a body half received": len(text) - 5,
        "at its server": len(text),
    }[state]
    connection.sendall(text[:sent_bytes])
    time.sleep(0.1)

    async def stop():
        plan = drain.plan(time.monotonic(), 8.0)
        # Its deadline decides whether the request is accepted.
        context.rig.shared.drain = plan._replace(accept_until_s=0.0)
        context.rig.server.stop_listening()
        context.rig.server.close_idle()

    context.rig.call(stop)
    time.sleep(0.1)
    context.is_counted = context.rig.server.busy_count() == 1
    connection.sendall(text[sent_bytes:])
    context.answer = gateway_rig.read_answer(connection)


@behave.then("the request is answered")
def then_answered(context):
    assert context.answer.body == WHOLE, context.answer.head
    assert context.is_counted, "the drain did not wait for it"


# Slow and stalled streams


@behave.given("a gateway before a server that sends an event each 0.4 s")
def given_slow(context):
    def script(peer, head, body, number):
        peer.start_stream(head)
        for found in range(EVENTS):
            peer.chunk(scripted.event(found + 1))
            time.sleep(0.4)
        peer.chunk(b"")

    _start_gateway(context, script)


def _stall(filler):
    def script(peer, head, body, number):
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        for _ in range(60):
            peer.chunk(filler)
            time.sleep(0.2)

    return script


@behave.given(
    "a gateway before a server that sends an event, then a byte each 0.2 s"
)
def given_trickle(context):
    _start_gateway(context, _stall(b"d"))


@behave.given(
    "a gateway before a server that sends an event, then a line of comment"
    " each 0.2 s"
)
def given_comments(context):
    _start_gateway(context, _stall(b": still here\n"))


@behave.when("a caller requests that stream")
def when_stream(context):
    started_s = time.monotonic()
    context.answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text("stream", f"t{next(_ids)}")
    )
    context.took_s = time.monotonic() - started_s


@behave.then("the caller has all events")
def then_all_events(context):
    expected = b"".join(scripted.event(n + 1) for n in range(EVENTS))
    assert context.answer.body == expected and context.answer.is_complete


@behave.then("the stream is ended as incomplete within {limit_s:f} s")
def then_ended(context, limit_s):
    assert not context.answer.is_complete
    # The route's timeout is 3 s.
    assert context.took_s < limit_s, context.took_s


# Answers that break off


def _cut_between_chunks(peer, head, body, number):
    peer.start_stream(head)
    peer.chunk(scripted.event(1))
    time.sleep(0.1)
    return "close"


def _cut_after_last(peer, head, body, number):
    peer.start_stream(head)
    for found in range(EVENTS):
        peer.chunk(scripted.event(found + 1))
    time.sleep(0.1)
    return "close"


def _reset_at_end(peer, head, body, number):
    peer.send(_head(head, ""))
    peer.send(scripted.event(1))
    time.sleep(0.1)
    peer.reset()
    return "close"


def _cut_length(peer, head, body, number):
    peer.send(_head(head, "Content-Length: 50\r\n") + "short")
    time.sleep(0.1)
    return "close"


def _end_channel_in_event(peer, head, body, number):
    peer.send(_head(head, ""))
    peer.send(scripted.event(1) + b"id: 2\ndata: tok")
    time.sleep(0.1)
    return "close"


def _end_channel_before_event(peer, head, body, number):
    peer.send(_head(head, ""))
    time.sleep(0.1)
    return "close"


BROKEN = {
    "without a length that ends inside an event": _end_channel_in_event,
    "without a length that ends before an event": _end_channel_before_event,
    "cut between two chunks": _cut_between_chunks,
    "cut after the last event": _cut_after_last,
    "reset instead of the end of a channel": _reset_at_end,
    "cut inside its length": _cut_length,
}


@behave.given("a gateway before a server that sends an answer {broken}")
def given_broken(context, broken):
    _start_gateway(context, BROKEN[broken])


@behave.when("an HTTP/{version} caller sends a {kind:w} request")
def when_version(context, version, kind):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    text = gateway_rig.request_text(kind, f"v{next(_ids)}")
    connection.sendall(
        text.replace(b"HTTP/1.1", b"HTTP/" + version.encode(), 1)
    )
    context.was_reset = False
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
            if b"0\r\n\r\n" in received or b'"}}' in received:
                break
    except ConnectionResetError:
        context.was_reset = True
    context.received = received


@behave.then("the caller can tell that it is incomplete")
def then_tell(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    if context.was_reset:
        return
    assert head, "closed without an answer"
    if b" 200 " not in head.split(b"\r\n")[0]:
        return
    assert b"chunked" in head.lower(), (
        "a success that ends with its channel was closed without a reset"
    )
    assert not body.endswith(b"0\r\n\r\n"), body


# Malformed messages


@behave.given("a follower, a peer's port and a caller's port")
def given_ports(context):
    platform_data.start_standin(context)
    context.standin.put("op", "config", platform_data.make_config(7))
    _start_gateway(
        context, lambda peer, head, body, number: peer.answer(head, WHOLE)
    )
    context.shared = shared_state.SharedState(
        "east",
        shared_state.RetryLimits(0.2, 1, 10),
        5.0,
        upstream.ConnectionPool(),
    )
    context.applier = feeds.Applier(context.shared, peer_state.RawState(), "n1")
    context.follower = followers.Follower(
        rows.SERVER_TABLE, context.standin.address, 0.0, 0.01, "",
        followers.on_loop(context.rig.loop, context.applier.on_servers_read),
    )  # fmt: skip

    def answer(path, body):
        try:
            msgspec.json.decode(body, type=relays.StateRequest)
        except msgspec.DecodeError:
            return internal_server.Reply(400)
        return internal_server.Reply(200, b"{}")

    context.peer_server = internal_server.InternalServer(answer)
    with socket.create_server(("127.0.0.1", 0)) as probe:
        context.peer_port = probe.getsockname()[1]
    context.rig.call(context.peer_server.start, "127.0.0.1", context.peer_port)
    context.stopping = threading.Event()
    context.closers.append(context.stopping.set)
    context.thread = threading.Thread(
        target=context.follower.run, args=(context.stopping,), daemon=True
    )
    context.thread.start()


VALUES = (None, True, -1, 10**30, "", "x" * 300, [], {}, [{}], 1.5, "\ud800")


def _malformed_rows(rng):
    """Return a store's answer in which some values have another type."""
    row = {
        "table": "servers",
        "part": "",
        "key": "k",
        "value": "e30=",
        "ver": 3,
    }
    for name in rng.sample(sorted(row), rng.randrange(1, 4)):
        row[name] = rng.choice(VALUES)
    answer = {"rows": [row], "ver": 3, "nowMs": 5}
    if rng.random() < 0.5:
        answer[rng.choice(sorted(answer))] = rng.choice(VALUES)
    data = json.dumps(answer).encode()
    if rng.random() < 0.3:
        position = rng.randrange(len(data))
        data = data[:position] + rng.randbytes(3) + data[position + 2 :]
    return data


def _malformed_request(rng, valid):
    data = bytearray(valid)
    for _ in range(rng.randrange(1, 8)):
        kind = rng.randrange(4)
        position = rng.randrange(len(data))
        if kind == 0:
            data[position] = rng.randrange(256)
        elif kind == 1:
            del data[position : position + rng.randrange(1, 20)]
        elif kind == 2:
            data[position:position] = rng.randbytes(rng.randrange(1, 30))
        else:
            data += rng.randbytes(rng.randrange(1, 200))
        data = data or bytearray(b"x")
    return bytes(data)


def _send_and_forget(port, data, reset):
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        if reset:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        connection.sendall(data)


@behave.when("{count:d} seeded malformed messages reach each of them")
def when_malformed(context, count):
    rng = random.Random(FUZZ_SEED)
    answers = [_malformed_rows(rng) for _ in range(count)]
    remaining = list(answers)
    handler = context.standin._server.RequestHandlerClass
    send = handler._send

    def send_malformed(self, status, data):
        send(self, status, remaining.pop() if remaining else data)

    with (
        mock.patch.object(handler, "_send", send_malformed),
        mock.patch.object(followers, "MAX_BACKOFF_S", 0.01),
        mock.patch.object(followers, "INITIAL_BACKOFF_S", 0.01),
    ):
        context.follower._backoff_s = 0.01
        request = gateway_rig.request_text("safe", "m1", body=b"body")
        peer_body = msgspec.json.encode(
            relays.StateRequest("n2", "", {}, {}, 1.0, True)
        )
        peer_request = (
            b"PUT /state HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s"
            % (len(peer_body), peer_body)
        )
        for _ in range(count):
            reset = rng.random() < 0.5
            _send_and_forget(
                context.rig.port, _malformed_request(rng, request), reset
            )
            _send_and_forget(
                context.peer_port, _malformed_request(rng, peer_request), reset
            )
        platform_data.wait_for(
            lambda: not remaining, 30, lambda: len(remaining)
        )


@behave.then("the follower applies the next change")
def then_follower(context):
    context.standin.put(
        "servers", "fresh", platform_data.make_entry(service="other")
    )
    platform_data.wait_for(
        lambda: context.shared.directory.find("fresh") is not None,
        10,
        lambda: (context.thread.is_alive(), context.follower._since),
    )


@behave.then("the ports answer the next request")
def then_ports(context):
    answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text("safe", f"m{next(_ids)}")
    )
    assert answer.status == 200, answer.head
    body = msgspec.json.encode(relays.StateRequest("n2", "", {}, {}))
    answer = gateway_rig.send_request(
        context.peer_port,
        b"PUT /state HTTP/1.1\r\nHost: p\r\nContent-Length: %d\r\n\r\n%s"
        % (len(body), body),
    )
    assert answer.status == 200, answer.head


@behave.given("a stand-in of the users' store with one server")
def given_one_server(context):
    platform_data.start_standin(context)
    context.standin.put("servers", "good", platform_data.make_entry())


@behave.when("applying the first reading raises an error")
def when_error(context):
    context.readings = []

    def deliver(reading):
        context.readings.append(reading)
        if len(context.readings) == 1:
            raise ValueError("cannot be applied")

    follower = followers.Follower(
        rows.SERVER_TABLE, context.standin.address, 0.0, 0.1, "", deliver
    )
    stopping = threading.Event()
    context.closers.append(stopping.set)
    threading.Thread(target=follower.run, args=(stopping,), daemon=True).start()


@behave.then("the follower reads all rows again and applies them")
def then_reads_again(context):
    platform_data.wait_for(
        lambda: len(context.readings) > 1, 10, lambda: context.readings
    )
    assert context.readings[1].is_snapshot
    assert "good" in context.readings[1].values()


# Earlier refusals, and errors in the middle of a stream


@behave.given(
    "a gateway before a server that writes an earlier refusal {copy} before its"
    " second answer"
)
def given_refusal_copy(context, copy):
    count = {
        "once more": 1,
        "twice more": 2,
        "five times": 5,
        "without an id": 1,
    }[copy]
    request_id = (
        ""
        if copy == "without an id"
        else "X-Bilberryturn-Attempt-Id: earlier\r\n"
    )
    refusal = (
        f"HTTP/1.1 503 Service Unavailable\r\n{request_id}{scripted.SEAL}"
        "X-Bilberryturn-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    context.runs = []

    def script(peer, head, body, number):
        context.runs.append(scripted.header(head, "X-Bilberryturn-Attempt-Id"))
        if number == 2:
            peer.send(refusal * count)
        if "/resumable/" not in head:
            peer.answer(head, WHOLE)
            return
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        peer.chunk(b"")

    _start_gateway(context, script, count=2)

    # Both requests go to the server that keeps the first one's connection.
    async def leave_one():
        servers = context.rig.shared.directory
        entry = servers.find("s1")._replace(failure_domain="far")
        servers.report(entry._replace(sequence=2), time.monotonic())

    context.rig.call(leave_one)


@behave.when("its caller sends {count:d} {kind:w} requests one after another")
def when_kind_in_turn(context, count, kind):
    context.answers = [
        gateway_rig.send_request(
            context.rig.port,
            gateway_rig.request_text(kind, f"e{next(_ids)}"),
        )
        for _ in range(count)
    ]


@behave.given("no other server is there")
def given_no_other(context):
    async def remove_other():
        context.rig.shared.directory.remove("s1", None, time.monotonic())

    context.rig.call(remove_other)


@behave.then("none of them is said not to have run")
def then_not_denied(context):
    statuses = [answer.status for answer in context.answers]
    assert not {429, 503} & set(statuses), statuses
    assert len(context.runs) == len(statuses), context.runs


@behave.then("none of them is refused")
def then_not_refused(context):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), statuses


@behave.then("no request that was answered there ran elsewhere")
def then_ran_once(context):
    assert len(context.runs) == len(set(context.runs)), context.runs


def _answer_200(content_type, body):
    def answer(peer, head):
        peer.answer(head, body, extra=content_type)

    return answer


def _answer_status(status, extra=""):
    def answer(peer, head):
        peer.answer(head, b"error: it failed\n\n", status, extra)

    return answer


def _stream(*chunks):
    def answer(peer, head):
        peer.start_stream(head)
        for chunk in chunks:
            peer.chunk(chunk)
        peer.chunk(b"")

    return answer


EVENT_STREAM = "Content-Type: text/event-stream\r\n"
NEXT_ANSWERS = {
    "answers with status 500": _answer_status("500 Internal Server Error"),
    "answers with status 400": _answer_status("400 Bad Request"),
    "refuses the request": _answer_status(
        "503 Service Unavailable", "X-Bilberryturn-Not-Run: 1\r\n"
    ),
    "answers 200 with an error in JSON": _answer_200(
        "Content-Type: application/json\r\n", b'{"error": "it failed"}\n\n'
    ),
    "answers 200 with an error in lines": _answer_200(
        "Content-Type: text/plain\r\n", b"error: it failed\n\n"
    ),
    "answers 200 without a body": _answer_200("", b""),
    "begins with the first event again": _stream(
        scripted.event(1), scripted.event(2), scripted.event(3)
    ),
    "writes an error's head into the stream": _stream(
        b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}\n\n"
    ),
    "writes an error's text into the stream": _stream(
        b'{"error": "it failed"}\n\n'
    ),
    "has nothing left to send": _stream(),
}


@behave.given(
    "a gateway before servers of which one breaks off a stream and the next"
    " {answers}"
)
def given_breaks_off(context, answers):
    def script(peer, head, body, number):
        if scripted.header(head, "Last-Event-Id") is not None:
            NEXT_ANSWERS[answers](peer, head)
            return None
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        peer.chunk(scripted.event(2))
        time.sleep(0.1)
        return "close"

    _start_gateway(context, script, count=2)


@behave.when("a caller requests the resumable stream")
def when_resumable(context):
    context.answer = gateway_rig.send_request(
        context.rig.port,
        gateway_rig.request_text("resumable", f"e{next(_ids)}"),
    )


@behave.then(
    "the caller has exactly the events before, in a stream that is {state:w}"
)
def then_events_before(context, state):
    expected = scripted.event(1) + scripted.event(2)
    assert context.answer.body == expected, context.answer.body
    assert context.answer.is_complete == (state == "complete")
