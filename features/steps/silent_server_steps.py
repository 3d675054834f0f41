"""Steps of silent_servers.feature: servers that are silent and go on."""

import contextlib
import json
import socket
import threading
import time

import behave

from bilberryturn import backends
from bilberryturn import messages
from bilberryturn.conf import global_settings
from bilberryturn.entry import server as entry_server
from bilberryturn.gateway import internal_server
from bilberryturn.gateway import upstream
from bilberryturn.platform import http
from bilberryturn.routing import types
from bilberryturn_standins import ports
from bilberryturn_standins import proxy
from bilberryturn_standins import server as loop_server
from support import gateway_rig
from support import scripted
from support import single_tries
from support import tcp_options

SEED = 59
LIMIT_S = 6.0
FIRST_SILENCE_S = 0.5
# Time between two silences.
PAUSE_S = 0.8
CHECKS_PER_SILENCE = 3
LARGE_BYTES = 3_900_000
LONG_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 20
WAIT_S = 5.0
# Events of the log that tell that a server has ended, lapsed or is gone, is
# avoided, or has crashed.
END_EVENTS = ("crash_counted", "server_circuit_open", "request_quarantined")
END_CHANGES = ("lapsed", "gone")


# Node processes


@behave.when(
    "callers send {rate:d} requests a second for {duration_s:g} s, and each"
    " server in turn is silent for {silence_s:g} s"
)
def when_silent_in_turn(context, rate, duration_s, silence_s):
    testbed = context.testbed
    context.timers = []
    events = []
    at_s = FIRST_SILENCE_S
    for server, _, _ in testbed.backends.values():
        rule = proxy.Rule("", f"127.0.0.1:{server.port}", "freeze")
        events.append((at_s, lambda r=rule: testbed.proxy.set_rules([r])))
        for number in range(1, CHECKS_PER_SILENCE + 1):
            check_s = at_s + silence_s * number / (CHECKS_PER_SILENCE + 1)
            events.append((check_s, lambda: _check_timers(context)))
        events.append((at_s + silence_s, lambda: testbed.proxy.set_rules([])))
        at_s += silence_s + PAUSE_S
    assert at_s <= duration_s, (at_s, duration_s)
    context.traffic = single_tries.Traffic(testbed, rate, LIMIT_S, SEED)
    context.traffic.run(duration_s, events)


def _check_timers(context):
    testbed = context.testbed
    addresses = [address for _, address, _ in testbed.backends.values()]
    context.timers.extend(
        tcp_options.have_keepalive_timer(
            [node.ip for node in testbed.nodes],
            [int(address.rpartition(":")[2]) for address in addresses],
        )
    )


@behave.then("all requests are served")
def then_all_served(context):
    failed = [t for t in context.traffic.tries if not t.is_served]
    assert not failed, (len(context.traffic.tries), failed)
    print(f"{len(context.traffic.tries)} requests served")


@behave.then("no node has taken a server for ended or for crashed")
def then_none_ended(context):
    found = []
    for node in context.testbed.nodes:
        for line in node.log_path.read_text("utf-8").splitlines():
            if line.startswith("{") and _tells_end(json.loads(line)):
                found.append(line)
    assert not found, found


def _tells_end(entry):
    event = entry["event"]
    if event == "attempt_failed":
        return entry["is_crash"]
    if event == "server_changed":
        return entry["change"] in END_CHANGES
    return event in END_EVENTS


@behave.then("no connection from a node to a server has a keep-alive timer")
def then_no_timer(context):
    assert len(context.timers) > 10, len(context.timers)
    assert not any(context.timers), sum(context.timers)


# Options of connections


def _answer_late(released):
    def answer(peer, head, body, number):
        released.wait(WAIT_S)
        peer.answer(head, b"answer")
        return "close"

    return answer


def _silent_server(context):
    released = threading.Event()
    server = scripted.ScriptedServer(_answer_late(released))
    context.closers.append(server.close)
    context.closers.append(released.set)
    return server


def _start_thread(context, function, *arguments):
    def run():
        with contextlib.suppress(OSError, upstream.UpstreamError):
            function(*arguments)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    context.closers.append(thread.join)


def _open_gateway(context):
    server = _silent_server(context)
    rig = gateway_rig.GatewayRig([gateway_rig.make_server("s", server.port)])
    context.closers.insert(0, rig.close)
    data = gateway_rig.request_text("unsafe", "r1")
    _start_thread(context, gateway_rig.send_request, rig.port, data)
    return rig, server


def _open_to_server(context):
    return {"remote_port": _open_gateway(context)[1].port}


def _open_from_caller(context):
    return {"local_port": _open_gateway(context)[0].port}


def _open_to_node(context):
    """Let a node ask another one that doesn't reply at once."""
    rig, _ = _open_gateway(context)
    port = _silent_server(context).port
    call = upstream.Call(b"POST", b"/x", b"{}")
    _start_thread(
        context, rig.call, rig.shared.pool.call, f"127.0.0.1:{port}", call, 5, 9
    )
    return {"remote_port": port}


def _open_from_node(context):
    """Let a node send half a request to another one."""
    port = ports.allocate()
    server = internal_server.InternalServer(
        lambda path, body: internal_server.Reply(200)
    )
    loop = loop_server.LoopThread()
    loop.call(server.start("127.0.0.1", port))
    context.closers.append(lambda: loop.loop.call_soon_threadsafe(server.stop))
    connection = gateway_rig.connect(port)
    connection.sendall(b"POST /x HTTP/1.1\r\n")
    context.closers.append(connection.close)
    return {"local_port": port}


def _open_to_store(context):
    port = _silent_server(context).port
    client = http.HttpClient("store", f"127.0.0.1:{port}", WAIT_S, "127.0.0.1")
    _start_thread(context, client.call, "GET", "/x")
    return {"remote_port": port}


def _open_of_entry(context):
    port = _silent_server(context).port
    loop = backends.StreamLoop()
    loop.start()
    context.closers.append(loop.stop)
    options = backends.CallOptions(
        "GET", f"http://127.0.0.1:{port}/x", (), None, WAIT_S, WAIT_S
    )
    loop.submit(options, lambda event: None)
    return {"remote_port": port}


def _open_to_entry(context):
    released = threading.Event()

    def application(environ, start_response):
        released.wait(WAIT_S)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    port = ports.allocate()
    server = entry_server.CallerServer(
        f"127.0.0.1:{port}", application, global_settings.Limits(), 2
    )
    server.start()
    context.closers.append(server.stop)
    context.closers.append(released.set)
    data = gateway_rig.request_text("safe", "r1")
    _start_thread(context, gateway_rig.send_request, port, data)
    return {"local_port": port}


def _open_link(context):
    addresses = [f"127.0.0.1:{ports.allocate()}" for _ in range(2)]
    loops = [
        messages.ControlLoop(
            messages.LinkOptions(address, address, "127.0.0.1"),
            lambda message: None,
        )
        for address in addresses
    ]
    for loop in loops:
        loop.start()
        context.closers.append(loop.stop)
    state = messages.kinds.ConfigState(1, {})
    loops[0].send_from_any_thread(addresses[1], state)
    return int(addresses[1].rpartition(":")[2])


def _open_to_link(context):
    return {"remote_port": _open_link(context)}


def _open_from_link(context):
    return {"local_port": _open_link(context)}


CONNECTIONS = {
    "of the gateway to a server": _open_to_server,
    "of a caller to the gateway": _open_from_caller,
    "of the gateway to another node": _open_to_node,
    "of another node to the gateway": _open_from_node,
    "to the store": _open_to_store,
    "of the firms' entry to a server": _open_of_entry,
    "of a caller to the firms' entry": _open_to_entry,
    "of the control link to another node": _open_to_link,
    "of another node to the control link": _open_from_link,
}


@behave.given("an open connection: {connection}")
def given_connection(context, connection):
    port = CONNECTIONS[connection](context)
    limit_s = time.monotonic() + WAIT_S
    while not (found := tcp_options.find(**port)):
        assert time.monotonic() < limit_s, "no connection was opened"
        time.sleep(0.02)
    # Options may be set after it is established.
    time.sleep(0.2)
    context.options = tcp_options.find(**port) or found


@behave.then(
    "its user timeout is {user_timeout_ms:d} ms and its keep-alive is {state:w}"
)
def then_options(context, user_timeout_ms, state):
    for options in context.options:
        assert options.user_timeout_ms == user_timeout_ms, context.options
        assert options.is_probed == (state == "on"), context.options


@behave.then("no keep-alive probe gives up earlier than its count says")
def then_not_shortened(context):
    assert not any(o.is_shortened for o in context.options), context.options


# Silence for longer than the user timeout


class _SilentServer:
    """Is silent for some time at one point and goes on.

    Attributes:
        connections: Connections that have carried requests.
        runs: Number of requests that it has read.
    """

    def __init__(self, silence, silence_s):
        self.connections = set()
        self.runs = 0
        self._silence = silence
        self._silence_s = silence_s

    def serve(self, listening):
        """Serve connections until the listening socket is closed."""
        while True:
            try:
                connection, address = listening.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection, address), daemon=True
            ).start()

    def _serve(self, connection, address):
        peer = scripted.AcceptedConnection(connection)
        with connection, contextlib.suppress(OSError):
            self._wait("before it reads the request")
            while (request := peer.read_request())[0] is not None:
                self.connections.add(address)
                self.runs += 1
                self._answer(peer, request[0])

    def _answer(self, peer, head):
        if "/stream/" in head or "/resumable/" in head:
            peer.start_stream(head)
            peer.chunk(scripted.event(1))
            self._wait("between two events")
            peer.chunk(scripted.event(2))
            peer.chunk(b"")
            return
        self._wait("before its answer")
        idle = f"Keep-Alive: timeout={IDLE_TIMEOUT_S}\r\n"
        peer.answer(head, b"answer", extra=idle)

    def _wait(self, where):
        if where == self._silence:
            time.sleep(self._silence_s)


@behave.given(
    "a gateway before a server that is silent for {silence_s:g} s: {where}"
)
def given_silent(context, silence_s, where):
    context.silence_s = silence_s
    context.silent_server = _SilentServer(where, silence_s)
    listening = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listening.close)
    threading.Thread(
        target=context.silent_server.serve, args=(listening,), daemon=True
    ).start()
    port = listening.getsockname()[1]
    table = gateway_rig.make_table(timeout_s=LONG_TIMEOUT_S)
    table.limits = types.Limits()
    context.rig = gateway_rig.GatewayRig(
        [gateway_rig.make_server("s", port)], table
    )
    context.closers.append(context.rig.close)


@behave.when("the gateway gets {requests}")
def when_sent(context, requests):
    count = 2 if requests.startswith("two ") else 1
    kind = requests.split()[1]
    body = b"x" * LARGE_BYTES if "3.9 MB" in requests else b""
    context.answers = []
    for number in range(count):
        if number:
            time.sleep(context.silence_s)
        data = gateway_rig.request_text(kind, f"r{number}", body=body)
        connection = gateway_rig.connect(context.rig.port)
        with connection:
            connection.settimeout(LONG_TIMEOUT_S)
            context.answers.append(
                gateway_rig.send_request(0, data, connection)
            )


@behave.then("each is served over the same connection and has run once")
def then_served_once(context):
    found = [(a.status, a.is_complete, a.body) for a in context.answers]
    server = context.silent_server
    assert all(a.status == 200 and a.is_complete for a in context.answers), (
        found,
        server.runs,
    )
    assert len(server.connections) == 1, server.connections
    assert server.runs == len(context.answers), server.runs
