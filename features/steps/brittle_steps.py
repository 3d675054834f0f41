"""Steps of brittle_servers.feature: servers that fall over."""

import collections
import concurrent.futures
import itertools
import random
import threading
import time

import behave

from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from soak import testbed as testbed_module
from support import brittle_fleet
from support import gateway_rig
from support import scripted

ENDS_AT_S = 12.0
BURST_EVERY_S = 5.0
MOST_REJECTED = 6
SLOTS = 4
RUN_S = 0.2
# A caller that is refused sends again after this time if it is told none.
RETRY_S = 0.1
_ids = itertools.count(1)


def _burst(now_s):
    return 2.5 if now_s % BURST_EVERY_S < 1.0 else 0.6


LOADS = {
    "0.6": lambda now_s: 0.6,
    "0.8, and a server ends": lambda now_s: 0.8,
    "1.8": lambda now_s: 1.8,
    "0.6, and 2.5 in one second of five": _burst,
}


@behave.given(
    "simulated runs of {nodes:d} nodes before {servers:d} brittle servers,"
    " seeds {first:d} to {last:d}"
)
def given_runs(context, nodes, servers, first, last):
    context.fleets = [
        brittle_fleet.Fleet(nodes, servers, seed)
        for seed in range(first, last + 1)
    ]


@behave.given("a third of the nodes reach none of the others")
def given_cut(context):
    for fleet in context.fleets:
        cut = set(list(fleet.nodes)[::3])
        fleet.is_cut = lambda node, other, cut=cut: (
            (node in cut) != (other in cut)
        )


@behave.when("callers send a load of {load}")
def when_load(context, load):
    for fleet in context.fleets:
        fleet.load = LOADS[load]
        if load.endswith("a server ends"):
            fleet.later(ENDS_AT_S, fleet.servers["s0"].end)
        fleet.run()


@behave.then("in no run servers fall over more than {most:d} times")
def then_falls(context, most):
    falls = [fleet.falls() for fleet in context.fleets]
    assert max(falls) <= most, falls


@behave.then(
    "in each run callers are served at least {percent:d}% of what is possible"
)
def then_served(context, percent):
    shares = [fleet.served / fleet.possible() for fleet in context.fleets]
    assert min(shares) >= percent / 100, shares


@behave.then(
    "an answer with Server-Brittle {value} states {rejections} rejections"
)
def then_decoded(context, value, rejections):
    headers = [(b"server-brittle", value.encode())]
    found = wire.read_server_response(200, headers).brittle_per_s
    expected = None if rejections == "no" else float(rejections)
    assert found == expected, found


# A gateway in process


class _BrittleServer:
    """Lets few requests wait, and counts those that it turns away."""

    def __init__(self, room):
        self.room = room
        self.is_brittle = True
        self.rejected_s = []
        self.most = 0
        self._count = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(SLOTS)

    def answer(self, peer, head, body, number):
        extra = ""
        if self.is_brittle:
            extra = f"Server-Brittle: {MOST_REJECTED}\r\n"
        with self._lock:
            is_full = self.is_brittle and self._count >= self.room
            if is_full:
                self.rejected_s.append(time.monotonic())
            else:
                self._count += 1
                self.most = max(self.most, self._count)
        if is_full:
            extra += "X-Bilberryturn-Not-Run: 1\r\n"
            peer.answer(
                head, b"full", status="503 Service Unavailable", extra=extra
            )
            return
        with self._slots:
            time.sleep(RUN_S)
        with self._lock:
            self._count -= 1
        peer.answer(head, b"answer", extra=extra)


@behave.given(
    "a gateway before a brittle server that takes {room:d} requests at once"
)
def given_gateway(context, room):
    context.server = _BrittleServer(room)
    backend = scripted.ScriptedServer(context.server.answer)
    context.closers.append(backend.close)
    entry = gateway_rig.make_server("s0", backend.port, slots=SLOTS)
    context.rig = gateway_rig.GatewayRig([entry])
    context.closers.append(context.rig.close)
    # An answer tells that it is brittle.
    _send(context)


def _send(context):
    data = gateway_rig.request_text("safe", f"r{next(_ids)}")
    return gateway_rig.send_request(context.rig.port, data)


def _send_until(context, end_s):
    statuses = collections.Counter()
    while time.monotonic() < end_s:
        answer = _send(context)
        statuses[answer.status] += 1
        if answer.status != 200:
            time.sleep(float(answer.header("Retry-After") or RETRY_S))
    return statuses


@behave.when(
    "{callers:d} callers send requests all the time for {duration_s:d} s"
)
def when_callers_send(context, callers, duration_s):
    end_s = time.monotonic() + duration_s
    context.statuses = collections.Counter()
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        for statuses in pool.map(
            lambda _: _send_until(context, end_s), range(callers)
        ):
            context.statuses.update(statuses)


@behave.then("it turns at most {most:d} requests away in any second")
def then_rejected(context, most):
    times_s = context.server.rejected_s
    found = max(
        (sum(t <= other < t + 1.0 for other in times_s) for t in times_s),
        default=0,
    )
    assert found <= most, (found, len(times_s), context.statuses)


@behave.then("at least {count:d} of these requests are answered")
def then_answered(context, count):
    assert context.statuses[200] >= count, context.statuses


@behave.when(
    "the server is no longer brittle and {callers:d} callers send a request"
    " each"
)
def when_sound(context, callers):
    context.server.is_brittle = False
    _send(context)
    context.server.most = 0
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        list(pool.map(lambda _: _send(context), range(callers)))


@behave.then("it gets at least {count:d} requests at once")
def then_at_once(context, count):
    assert context.server.most >= count, context.server.most


# What a node knows


def _make_node(names):
    shared = shared_state.SharedState(
        "here",
        shared_state.RetryLimits(0.2, 90.0, 10.0),
        5.0,
        upstream.ConnectionPool(),
    )
    shared.table = gateway_rig.make_table()
    for name in names:
        entry = gateway_rig.make_server(name, 80)
        shared.directory.report(entry, time.monotonic())
    return shared


@behave.given("a node with a brittle service of servers {names} of a service")
def given_node(context, names):
    context.names = names.split(" and ")
    context.node = _make_node(context.names)


@behave.given("a second node with the same brittle service")
def given_other_node(context):
    context.other = _make_node(context.names)


@behave.when("an answer of server {name} says {statement}")
def when_answer(context, name, statement):
    number = statement.partition("withstands ")[2].partition(" ")[0]
    headers = [(b"server-brittle", number.encode())] if number else []
    context.node.availability.observe(
        context.node.directory.find(name),
        wire.read_server_response(200, headers),
    )


@behave.when("the second node gets the reports of the first")
def when_reports(context):
    context.other.merge_reports("node", context.node.own_reports())


@behave.then("the {node} takes {names} for brittle")
def then_brittle(context, node, names):
    shared = context.other if "second" in node else context.node
    found = {server for server, _ in shared.availability.brittle()}
    expected = set() if names == "none" else set(names.split(", "))
    assert found == expected, found


# Node processes

WIDE_ROOM = 16
NARROW_ROOM = 9
NARROW_AFTER_S = 4.0
DOWN_S = 3.0
# Time after the first answer at which a server ends, if one is to.
PROCESS_ENDS_AT_S = 7.0
PROCESS_PER_S = 60.0


class _FallingServer(_BrittleServer):
    """Lets fewer requests wait after some seconds, and may fall over."""

    def __init__(self):
        super().__init__(WIDE_ROOM)
        self.falls = 0
        self.backend = None
        self._is_down = False

    def answer(self, peer, head, body, number):
        if self._is_down:
            return "close"
        super().answer(peer, head, body, number)
        recent = [
            t for t in self.rejected_s[-20:] if t > time.monotonic() - 1.0
        ]
        if self.room == NARROW_ROOM and len(recent) > MOST_REJECTED:
            self.falls += not self._is_down
            self.end()
        return "close" if self._is_down else None

    def narrow(self):
        self.rejected_s.clear()
        self.room = NARROW_ROOM

    def end(self):
        if self._is_down:
            return
        self._is_down = True
        # New connections are reset.
        self.backend.most = 0
        self.backend.end_connections()
        threading.Timer(DOWN_S, self._start).start()

    def _start(self):
        self.rejected_s.clear()
        self.backend.most = None
        self._is_down = False


@behave.given("{count:d} node processes before {servers:d} brittle servers")
def given_processes(context, count, servers):
    context.falling = {}

    def answer(peer, head, body, number):
        server = scripted.header(head, "X-Bilberryturn-Expect-Instance")
        return context.falling[server].answer(peer, head, body, number)

    testbed = testbed_module.start(context, count, answer)
    context.testbed = testbed
    # The testbed has two servers of this service.
    for number in range(servers - 2):
        testbed.add_backend(f"app{number}", "app")
    for name, (backend, _, service) in testbed.backends.items():
        if service == "app":
            falling = context.falling[name] = _FallingServer()
            falling.backend = backend
            entry = {**testbed.entry(name, 2), "slots": SLOTS}
            testbed.store.put("servers", name, entry)
    assert len(context.falling) == servers
    for node in testbed.nodes:
        node.wait_ready()
    # All nodes have read the entries by then.
    time.sleep(2.0)


@behave.when("callers of all nodes send a load of {load} for {duration_s:d} s")
def when_process_load(context, load, duration_s):
    rng = random.Random(59)
    began_s = time.monotonic()
    servers = list(context.falling.values())
    timers = [threading.Timer(NARROW_AFTER_S, s.narrow) for s in servers]
    if load.endswith("a server ends"):
        timers.append(threading.Timer(PROCESS_ENDS_AT_S, servers[0].end))
    for timer in timers:
        timer.start()
    at_s, calls = 0.0, []
    with concurrent.futures.ThreadPoolExecutor(150) as pool:
        while at_s < duration_s:
            time.sleep(max(0.0, began_s + at_s - time.monotonic()))
            calls.append((at_s, pool.submit(_call_nodes, context, rng)))
            at_s += rng.expovariate(LOADS[load](at_s) * PROCESS_PER_S)
    counted = [call.result() for at_s, call in calls if at_s >= NARROW_AFTER_S]
    context.sent, context.served = len(counted), sum(counted)
    context.possible = min(
        context.sent, PROCESS_PER_S * (duration_s - NARROW_AFTER_S)
    )


def _call_nodes(context, rng):
    """Return whether a caller is served, who tries twice."""
    for _ in range(2):
        node = rng.choice(context.testbed.nodes)
        data = gateway_rig.request_text("safe", f"p{next(_ids)}", key="key-a")
        try:
            with gateway_rig.connect(node.port, node.ip) as connection:
                answer = gateway_rig.send_request(node.port, data, connection)
        except OSError:
            continue
        if answer.status == 200:
            return True
        time.sleep(float(answer.header("Retry-After") or RETRY_S))
    return False


@behave.then("the servers fall over at most {most:d} times")
def then_process_falls(context, most):
    falls = {name: s.falls for name, s in context.falling.items()}
    print("falls", falls, "served", context.served, "of", context.sent)
    assert sum(falls.values()) <= most, (falls, context.served, context.sent)


@behave.then("callers get at least {percent:d}% of what the servers can serve")
def then_process_served(context, percent):
    share = context.served / context.possible
    assert share >= percent / 100, (share, context.served, context.sent)
