"""Steps of moves.feature: engines that end while streams run on them."""

import itertools
import json
import socket
import threading
import time
from unittest import mock

import behave

from bilberryturn.gateway import moves
from bilberryturn.gateway import witnesses
from bilberryturn.routing import directory
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import gateway_rig
from support import platform_data
from support import scripted

EVENTS = 5
DRAIN_S = 4.0
HANDLE = "h-17"
_ids = itertools.count(1)


class _Stream:
    """A stream on one engine that records whether it is moved."""

    def __init__(self, lifetime):
        self.lifetime = lifetime
        self.is_moved = False

    def start_move(self):
        self.is_moved = True


# By state: seconds until the engine ends as it reports, or None.
REPORTS = {
    "stays": (False, None),
    "ends in 2 s": (True, 2.0),
    "ends in 9 s": (True, 9.0),
    "drains without a time, bound of 4 s": (True, None),
    "is reported as leaving a second time": (True, 2.0),
}
MOVE_DELAYS_S = {"at once": 0.0, "6.5 s later": 6.5, "3 s later": 3.0}


@behave.then("the streams of an engine that {state} are moved {when}")
def then_moved(context, state, when):
    is_leaving, leaves_in_s = REPORTS[state]
    servers = directory.Directory()
    server = gateway_rig.make_server("e", 80)
    servers.report(server, 0.0)
    server = server._replace(
        is_leaving=is_leaving, leaves_in_s=leaves_in_s, sequence=2
    )
    servers.report(server, 100.0)
    if "second time" in state:
        servers.report(server._replace(leaves_in_s=30.0, sequence=3), 100.5)
    evacuation = moves.Evacuation(servers, DRAIN_S)
    stream = _Stream(server.lifetime)
    evacuation.add(stream)
    delay_s = MOVE_DELAYS_S.get(when)
    if delay_s is None:
        evacuation.step(1000.0)
        assert not stream.is_moved
        return
    if delay_s:
        evacuation.step(100.0 + delay_s - 0.1)
        assert not stream.is_moved
    evacuation.step(100.0 + delay_s)
    assert stream.is_moved


class _FirstEngine:
    """Sends two events, then waits until it is asked to move the run.

    Attributes:
        move: Body of the last request to move a run, or None.
        begun_count: Streams that have begun.
    """

    def __init__(self, answer):
        self.move = None
        self.begun_count = 0
        self.has_begun = threading.Event()
        self._answer = answer
        self._decided = threading.Event()

    def script(self, peer, head, body, number):
        if " /kv-move " in head:
            return self._handle_move(peer, body)
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        peer.chunk(scripted.event(2))
        self.begun_count += 1
        self.has_begun.set()
        goes_on = self._answer == "refuses the move and goes on"
        self._decided.wait(1.0 if goes_on else 5.0)
        if not goes_on:
            return "close"
        for number in range(3, EVENTS + 1):
            peer.chunk(scripted.event(number))
        peer.chunk(b"")
        return None

    def _handle_move(self, peer, body):
        self.move = json.loads(body)
        if self._answer == "ends without an answer":
            self._decided.set()
            return "close"
        status, reply = "200 OK", {"resultHandle": HANDLE, "created": 2}
        if self._answer == "refuses the move and goes on":
            status, reply = "404 Not Found", {}
        elif self._answer == "stops the run but has no copy":
            status, reply = "503 Busy", {"resultHandle": HANDLE}
        self._decided.set()
        data = json.dumps(reply).encode()
        peer.send(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n")
        peer.send(data)
        return "close"


def _second_engine(answer):
    def script(peer, head, body, number):
        if answer == "moves a run that is used up":
            peer.answer(
                head, status="503 Busy", extra="X-Bilberryturn-Not-Run: 1\r\n"
            )
            return
        peer.start_stream(head)
        for number in range(3, EVENTS + 1):
            peer.chunk(scripted.event(number))
        peer.chunk(b"")

    return script


def _start_engines(context, first, second):
    """Start a gateway that knows the first of two engines."""
    context.servers = [
        scripted.ScriptedServer(first),
        scripted.ScriptedServer(second),
    ]
    for server in context.servers:
        context.closers.append(server.close)
    context.engines = [
        gateway_rig.make_server(f"e{n}", server.port)
        for n, server in enumerate(context.servers)
    ]
    route_table = table.RouteTable(
        1,
        [
            gateway_rig.make_route(
                "stream", home_regions=getattr(context, "home", frozenset())
            ),
            gateway_rig.make_route("resumable", timeout_s=8.0),
        ],
        [types.Service("app", 100, types.Engine(8, 100_000, 1, True), None)],
        types.Limits(),
        {
            table.key_hash(gateway_rig.KEY): types.ClientAccount(
                "workshop", None
            )
        },
    )
    context.rig = gateway_rig.GatewayRig(
        [context.engines[0]],
        route_table,
        {"here": "north", "near": "north", "there": "south"},
    )
    context.closers.append(context.rig.close)


@behave.given("two engines, the first of which sends 2 events and {answer}")
def given_engines(context, answer):
    context.first = _FirstEngine(answer)
    _start_engines(context, context.first.script, _second_engine(answer))
    context.answers = []
    request = gateway_rig.request_text("stream", f"m{next(_ids)}")
    context.caller = threading.Thread(
        target=lambda: context.answers.append(
            gateway_rig.send_request(context.rig.port, request)
        )
    )
    context.caller.start()
    assert context.first.has_begun.wait(5)


def _report_end(context):
    async def report():
        now_s = time.monotonic()
        shared = context.rig.shared
        for engine in context.engines[1:]:
            shared.directory.report(engine, now_s)
        shared.directory.report(
            context.engines[0]._replace(
                is_leaving=True, leaves_in_s=2.0, sequence=2
            ),
            now_s,
        )
        shared.evacuation.step(now_s)

    # A stream can be moved once its first event has been forwarded.
    platform_data.wait_for(
        lambda: (
            len(context.rig.shared.evacuation._streams)
            == context.first.begun_count
        ),
        5,
        lambda: "no stream",
    )
    context.rig.call(report)


@behave.when("the first engine is reported to end in 2 s")
def when_reported(context):
    _report_end(context)


@behave.when(
    "the retry budget is used up and the first engine is reported to end in 2 s"
)
def when_no_budget(context):
    budget = context.rig.shared.retry_budget("app")
    while budget.take(time.monotonic()):
        pass
    _report_end(context)


@behave.then("the caller of the stream sees {outcome}")
def then_caller_sees(context, outcome):
    context.caller.join(8)
    answer = context.answers[0]
    whole = b"".join(scripted.event(n + 1) for n in range(EVENTS))
    if outcome == "the whole stream":
        assert answer.is_complete and answer.body == whole, answer.body
        return
    if outcome == "its events, complete":
        events = scripted.event(1) + scripted.event(2)
        assert answer.is_complete and answer.body == events, answer.body
        return
    assert not answer.is_complete and whole.startswith(answer.body)


@behave.then("the second engine received {what}")
def then_second(context, what):
    received = context.servers[1].requests
    if what == "nothing":
        assert not received, received
        return
    assert len(received) == 1, received
    head, _ = received[0]
    source = f"127.0.0.1:{context.servers[0].port}/{HANDLE}"
    assert scripted.header(head, "Kv-From") == source, head
    assert scripted.header(head, "Last-Event-Id") == "2", head
    destination = f"127.0.0.1:{context.servers[1].port}"
    assert context.first.move["to"] == destination, context.first.move
    assert context.first.move["last"] is True


@behave.then("the first engine was not asked to move it")
def then_not_asked(context):
    assert context.first.move is None


@behave.given("a third engine and a second stream on the first engine")
def given_third(context):
    server = scripted.ScriptedServer(_second_engine("moves the run"))
    context.closers.append(server.close)
    context.servers.append(server)
    context.engines.append(gateway_rig.make_server("e2", server.port))
    request = gateway_rig.request_text("stream", f"m{next(_ids)}")
    threading.Thread(
        target=gateway_rig.send_request,
        args=(context.rig.port, request),
        daemon=True,
    ).start()
    platform_data.wait_for(
        lambda: context.first.begun_count == 2,
        5,
        lambda: context.first.begun_count,
    )


@behave.then("each of the other engines received one moved run")
def then_spread(context):
    platform_data.wait_for(
        lambda: sum(len(s.requests) for s in context.servers[1:]) == 2,
        8,
        lambda: [len(s.requests) for s in context.servers],
    )
    assert [len(s.requests) for s in context.servers[1:]] == [1, 1]


# Streams whose end shows in the end of their connection


class _UnframedEngine:
    """Sends two events without length or chunks, then is asked to move the run.

    Attributes:
        begun_count: Streams that have begun.
        released: Targets of the calls that free a copy.
    """

    def __init__(self, when, has_chunks=False):
        self.move = None
        self.begun_count = 0
        self.released = []
        self.has_begun = threading.Event()
        self._when = when
        self._has_chunks = has_chunks
        self._may_close = threading.Event()
        # Monotonic time at which the time limit of the stream is over.
        self.limit_end_s = 0.0
        self.has_closed = threading.Event()
        # Called before the request to move the run is answered.
        self.on_move = lambda: None

    def script(self, peer, head, body, number):
        if " /kv-move " in head:
            return self._handle_move(peer, body)
        if head.startswith("DELETE "):
            self.released.append(head.split(" ", 2)[1])
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return "close"
        limit_ms = int(scripted.header(head, "X-Bilberryturn-Deadline-Ms"))
        self.limit_end_s = time.monotonic() + limit_ms / 1000
        events = [scripted.event(1), scripted.event(2)]
        if self._has_chunks:
            peer.start_stream(head)
            for event in events:
                peer.chunk(event)
        else:
            request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
            peer.send(
                f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
                f"{scripted.SEAL}Content-Type: text/event-stream\r\n\r\n"
            )
            peer.send(b"".join(events))
        self.begun_count += 1
        self.has_begun.set()
        self._may_close.wait(5)
        if self._has_chunks and "ends whole" in self._when:
            peer.chunk(b"")
        peer.connection.close()
        self.has_closed.set()
        return "close"

    def _handle_move(self, peer, body):
        self.move = json.loads(body)
        self.on_move()
        answers_first = "after it has answered" in self._when
        if "stops at its time limit" in self._when:
            time.sleep(max(0.0, self.limit_end_s - time.monotonic()))
        if not answers_first:
            self._may_close.set()
            assert self.has_closed.wait(5)
            # The gateway learns of the close first.
            time.sleep(0.1)
        if "never answers" in self._when:
            time.sleep(moves.MOVE_TIMEOUT_S + 0.2)
            return "close"
        status, reply = "200 OK", {"resultHandle": HANDLE, "created": 2}
        if "no such stream" in self._when:
            status, reply = "404 Not Found", {}
        elif "without a copy" in self._when:
            status = "503 Busy"
        elif "another move" in self._when:
            status, reply = "409 Conflict", {}
        data = json.dumps(reply).encode()
        peer.send(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n")
        peer.send(data)
        if answers_first:
            time.sleep(0.1)
            self._may_close.set()
        return "close"


@behave.given(
    "two engines, the first of which streams without length or chunks and"
    " {when}"
)
def given_unframed_engines(context, when):
    context.first = _UnframedEngine(when)
    context.kind = "stream"


@behave.given("the caller's time limit is {limit_s:g} s")
def given_caller_limit(context, limit_s):
    context.limit = f"X-Bilberryturn-Deadline-Ms: {int(limit_s * 1000)}\r\n"


@behave.then("it sees that within {time_s:g} s after its time limit")
def then_seen(context, time_s):
    late_s = context.ended_s - context.first.limit_end_s
    assert late_s < time_s, late_s


@behave.given("other connections are waited for {wait_s:g} s")
def given_wait(context, wait_s):
    for name in ("STREAM_WAIT_S", "ANSWER_WAIT_S"):
        patch = mock.patch.object(witnesses, name, wait_s)
        patch.start()
        context.closers.append(patch.stop)


@behave.given("the route allows to resume streams")
def given_resumable(context):
    context.kind = "resumable"


@behave.given("two engines, the first of which streams in chunks and {ending}")
def given_chunked_engines(context, ending):
    context.first = _UnframedEngine(ending, has_chunks=True)
    context.kind = "stream"
    context.leaves_early = "loses its caller" in ending


@behave.when(
    "the first engine is reported to end in 9 s and its streams are moved"
)
def when_moved_early(context):
    _start_engines(context, context.first.script, _second_engine(""))
    extra = "X-Bilberryturn-Tokens: 9,9\r\n" + getattr(context, "limit", "")
    request = gateway_rig.request_text(
        context.kind, f"m{next(_ids)}", extra=extra
    )
    context.answers = []
    connection = gateway_rig.connect(context.rig.port)

    def call():
        context.answers.append(
            gateway_rig.send_request(context.rig.port, request, connection)
        )
        context.ended_s = time.monotonic()

    context.caller = threading.Thread(target=call, daemon=True)
    context.caller.start()
    assert context.first.has_begun.wait(5)

    async def move():
        now_s = time.monotonic()
        shared = context.rig.shared
        shared.directory.report(context.engines[1], now_s)
        # Its end is far, so that nothing but the move explains a close.
        shared.directory.report(
            context.engines[0]._replace(
                is_leaving=True, leaves_in_s=9.0, sequence=2
            ),
            now_s,
        )
        for stream in list(shared.evacuation._streams):
            stream.start_move()

    platform_data.wait_for(
        lambda: len(context.rig.shared.evacuation._streams) == 1,
        5,
        lambda: "no stream",
    )
    context.rig.call(move)
    if getattr(context, "leaves_early", False):
        platform_data.wait_for(
            lambda: context.first.move is not None, 5, lambda: "no move"
        )
        connection.shutdown(socket.SHUT_RDWR)


@behave.then("the second engine was asked to resume it behind event {number}")
def then_resumed(context, number):
    (head, _), *others = context.servers[1].requests
    assert not others
    assert scripted.header(head, "Kv-From") is None, head
    assert scripted.header(head, "Last-Event-Id") == number, head


@behave.then("the first engine is asked to free the copy once")
def then_freed(context):
    platform_data.wait_for(
        lambda: context.first.released == [f"/kv-handle/{HANDLE}"],
        5,
        lambda: context.first.released,
    )


# Home regions and drained failure domains


@behave.given("streams that have to stay in region north")
def given_home(context):
    context.home = frozenset(["north"])


@behave.given("the second engine is in {where}")
def given_where(context, where):
    is_drained = where == "a drained failure domain"
    domain = "near" if is_drained else "there"
    context.engines[1] = context.engines[1]._replace(failure_domain=domain)
    if is_drained:
        _drain(context, domain)


def _drain(context, domain):
    async def drain():
        context.rig.shared.placement.set_drained(frozenset([domain]))

    context.rig.call(drain)


@behave.given("the failure domain of the second is drained as a run is copied")
def given_drained_meanwhile(context):
    context.first.on_move = lambda: _drain(context, "here")
