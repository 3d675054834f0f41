"""Steps of slow_start.feature: cold servers get few requests."""

import collections
import concurrent.futures
import contextlib
import heapq
import itertools
import json
import random
import time
import types as python_types
from unittest import mock

import behave

from bilberryturn import leases
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import peer_state
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import availability
from bilberryturn.gateway import exchange
from bilberryturn.gateway import permits
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import operator_config
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries
from bilberryturn.platform import wire
from bilberryturn.routing import choice
from bilberryturn.routing import slow_start
from bilberryturn.routing import types
from soak import testbed as testbed_module
from support import gateway_rig
from support import platform_data
from support import scripted

COLD_S = 3.0
COLD_PER_S = 5.9
ALLOWED_PER_S = COLD_PER_S * 1.5 + 5
DOMAINS = 6
START_UNIX_S = 1.7e9
# Age of the entries that nodes use: a reading by the relay and a poll.
MAX_ENTRY_AGE_S = 2.2
DURATION_S = 0.3
BUSY_SHARE = 0.1
# When servers become cold; nodes have known each other for long then.
COLD_AT_S = 6.0
# Time between the end of a server and its next start.
DOWN_S = 1.0
END_S = 12.0


class _Choosing(exchange.Exchange):
    """Chooses the servers of one request, as the gateway does."""

    def choose(self, request):
        self._request = request
        chosen = _finish(self._choose())
        if chosen is not None:
            self._excluded.add(chosen.server.server_id)
        return chosen


def _finish(coroutine):
    """Return the result of a coroutine that never has to wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the choice of a server had to wait")


class _Node:
    """The state of one node."""

    def __init__(self, fleet, number):
        self.address = f"10.{number % DOMAINS}.0.{number}:1"
        self.domain = f"zone-{number % DOMAINS}"
        self.fleet = fleet
        self.known_nodes = None
        self.start()

    def start(self):
        self.shared = shared_state.SharedState(
            self.domain,
            shared_state.RetryLimits(0.2, 10.0, 10.0),
            5.0,
            _Pool(self.fleet, self.address),
            self.fleet.time_of_day,
            peers=permits.Peers(self.address, self.in_domain),
        )
        self.shared.table = self.fleet.table

    def in_domain(self, domain):
        nodes = self.known_nodes or self.fleet.addresses
        found = [a for a in nodes if self.fleet.domain_of(a) == domain]
        return found or list(nodes)


class _Pool(upstream.ConnectionPool):
    """Calls other nodes of the fleet at once, unless the path is cut."""

    def __init__(self, fleet, own):
        super().__init__()
        self._fleet = fleet
        self._own = own

    async def call(self, address, call, timeout_s, max_body_bytes):
        fleet = self._fleet
        if fleet.is_cut(self._own, address):
            raise upstream.UpstreamError("no answer in time", True)
        fleet.asked[address] += 1
        node = fleet.nodes[address]
        return upstream.Reply(
            200, node.shared.availability.permits.issue(call.body)
        )


class _Fleet:
    """Nodes that share permits, in virtual time.

    Attributes:
        arrivals: Times at which requests reached each server.
        is_cut: Returns whether a node doesn't reach another one.
    """

    def __init__(self, nodes, servers, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        service = types.Service("app", 100, None, None, COLD_S, COLD_PER_S)
        self.table = gateway_rig.make_table()
        self.table.services = {"app": service}
        self.asked = collections.Counter()
        self.is_cut = lambda node, other: False
        self.nodes = {}
        self.addresses = []
        with self.virtual_time():
            for number in range(nodes):
                self.add_node(number)
        self.servers = {}
        self.arrivals = collections.defaultdict(list)
        self.refused_s = []
        self.sent = 0
        self.down = set()
        self._ends = []
        self._later = []
        self._ids = itertools.count()
        for number in range(servers):
            server = gateway_rig.make_server(
                f"s{number}",
                80,
                failure_domain=f"zone-{number % DOMAINS}",
                started_ms=int((START_UNIX_S - 60) * 1000),
            )
            self.servers[server.server_id] = server
            for node in self.nodes.values():
                self.report(node, server)

    def add_node(self, number):
        node = _Node(self, number)
        self.nodes[node.address] = node
        self.addresses.append(node.address)
        return node

    def domain_of(self, address):
        return f"zone-{address.split('.')[1]}"

    def time_of_day(self):
        return START_UNIX_S + self.now_s

    def later(self, at_s, function, *arguments):
        heapq.heappush(
            self._later, (at_s, next(self._ids), function, arguments)
        )

    def report(self, node, server):
        node.shared.directory.report(server, self.now_s)

    def restart_server(self, server_id):
        """Start a server again; nodes read its new entry at various times."""
        server = self.servers[server_id]._replace(
            started_ms=int(self.time_of_day() * 1000)
        )
        self.servers[server_id] = server
        self.down.discard(server_id)
        for node in self.nodes.values():
            known_s = self.now_s + self.rng.uniform(0.1, MAX_ENTRY_AGE_S)
            self.later(known_s, self.report, node, server)

    def restart_node(self, node):
        node.start()
        for server in self.servers.values():
            self.report(node, server)

    def virtual_time(self):
        """Return a context in which nodes see the fleet's time."""
        clock = python_types.SimpleNamespace(monotonic=lambda: self.now_s)
        stack = contextlib.ExitStack()
        for module in (exchange, permits, availability):
            stack.enter_context(mock.patch.object(module, "time", clock))
        return stack

    def run(self, rate):
        busy = self.addresses[: int(len(self.addresses) * BUSY_SHARE)]
        next_s = 0.0
        while next_s < END_S:
            while self._later and self._later[0][0] <= next_s:
                self.now_s, _, function, arguments = heapq.heappop(self._later)
                function(*arguments)
            self.now_s = next_s
            self._end_requests()
            group = busy if self.rng.random() < 0.5 else self.addresses
            self._send(self.nodes[self.rng.choice(group)])
            next_s += self.rng.expovariate(rate)

    def _end_requests(self):
        while self._ends and self._ends[0][0] <= self.now_s:
            _, _, node, in_flight = heapq.heappop(self._ends)
            node.shared.load_balancer.end(in_flight, True, self.now_s)

    def _send(self, node):
        service = self.table.services["app"]
        requirements = choice.Requirements(service, node.domain, None)
        request = attempt_types.RoutedRequest(
            None,
            gateway_rig.make_route("safe"),
            service,
            None,
            self.rng.choice((0, 0, 1)),
            requirements,
            "",
            self.now_s + 5.0,
        )
        self.sent += 1
        choosing = _Choosing(None, None, node.shared)
        while True:
            chosen = choosing.choose(request)
            if chosen is None:
                self.refused_s.append(self.now_s)
                return
            in_flight = node.shared.load_balancer.begin(
                chosen, requirements, self.now_s
            )
            if chosen.server.server_id not in self.down:
                break
            # Nothing listens at its address.
            node.shared.load_balancer.end(in_flight, False, self.now_s)
            node.shared.availability.record_end(chosen.server)
        self.arrivals[chosen.server.server_id].append(self.now_s)
        heapq.heappush(
            self._ends,
            (self.now_s + DURATION_S, next(self._ids), node, in_flight),
        )


@behave.given("{nodes:d} nodes before {servers:d} warm servers, seed {seed:d}")
def given_fleet(context, nodes, servers, seed):
    # Nodes choose among cold servers at random.
    random.seed(seed)
    context.fleet = _Fleet(nodes, servers, seed)
    context.cold = []


@behave.given("the paths between nodes: {paths}")
def given_paths(context, paths):
    fleet = context.fleet
    half = set(fleet.addresses[::2])
    fleet.is_cut = {
        "all work": lambda node, other: False,
        "none works": lambda node, other: True,
        "none to a failure domain works": lambda node, other: (
            fleet.domain_of(other) == "zone-0"
        ),
        "only within halves": lambda node, other: (
            (node in half) != (other in half)
        ),
        "half of all work": lambda node, other: _hash(node, other) % 2 == 0,
    }[paths]


def _hash(node, other):
    return random.Random(f"{node}{other}").getrandbits(16)


@behave.given("{event} meanwhile")
def given_event(context, event):
    fleet = context.fleet
    if event == "nodes restart":
        for at_s in range(1, int(END_S)):
            node = fleet.nodes[fleet.rng.choice(fleet.addresses)]
            fleet.later(at_s + 0.5, fleet.restart_node, node)
    elif event == "nodes join":
        fleet.later(COLD_AT_S - 0.5, _join, fleet)


def _join(fleet):
    """Add a node to each domain, which others learn of at various times."""
    before = list(fleet.addresses)
    joined = [fleet.add_node(100 + number) for number in range(DOMAINS)]
    for address in before:
        node = fleet.nodes[address]
        node.known_nodes = before
        known_s = fleet.now_s + fleet.rng.uniform(0.1, MAX_ENTRY_AGE_S)
        fleet.later(known_s, setattr, node, "known_nodes", None)
    for node in joined:
        for server in fleet.servers.values():
            fleet.report(node, server)


@behave.when("{cold} start again and {rate:d} requests a second arrive")
def when_start(context, cold, rate):
    fleet = context.fleet
    context.cold = [
        server_id
        for server_id, server in fleet.servers.items()
        if cold == "all servers"
        or (cold == "those of a domain" and server.failure_domain == "zone-0")
        or server_id == cold
    ]
    for server_id in context.cold:
        fleet.later(COLD_AT_S - DOWN_S, fleet.down.add, server_id)
        fleet.later(COLD_AT_S, fleet.restart_server, server_id)
    with fleet.virtual_time():
        fleet.run(rate)


@behave.then("no cold server gets more than its limit allows in any second")
def then_kept(context):
    for server_id in context.cold:
        most = _most(_cold_times_s(context, server_id))
        assert most <= ALLOWED_PER_S, (server_id, most)


def _most(times_s):
    """Return the most requests in any second."""
    return max(
        (
            sum(start_s <= t < start_s + 1 for t in times_s)
            for start_s in times_s
        ),
        default=0,
    )


def _cold_times_s(context, server_id):
    times_s = context.fleet.arrivals[server_id]
    return [t for t in times_s if COLD_AT_S <= t < COLD_AT_S + COLD_S]


@behave.then("all requests get a server")
def then_all(context):
    assert not context.fleet.refused_s, len(context.fleet.refused_s)


@behave.then("the cold servers get at least {percent:d}% of what they take")
def then_used(context, percent):
    found = [len(_cold_times_s(context, s)) for s in context.cold]
    taken = len(context.cold) * COLD_PER_S * COLD_S
    assert sum(found) >= percent / 100 * taken, (sum(found), taken)


@behave.then(
    "at least {percent:d}% of the requests get a server while all are cold"
)
def then_most(context, percent):
    fleet = context.fleet
    served = sum(len(_cold_times_s(context, s)) for s in context.cold)
    refused = sum(t >= COLD_AT_S for t in fleet.refused_s)
    share = served / (served + refused)
    assert share >= percent / 100, (served, refused)


@behave.given("{count:d} nodes that reach no issuer")
def given_isolated(context, count):
    context.nodes = {f"n{n}": slow_start.IsolatedShares() for n in range(count)}


@behave.when("all of them ask for a cold server all the time for {time_s:d} s")
def when_ask(context, time_s):
    context.granted_s = []
    for tick in range(time_s * 50):
        now_s = START_UNIX_S + tick / 50
        for node, shares in context.nodes.items():
            wait_s = shares.grant(
                ("s", 1), COLD_PER_S, node, list(context.nodes), now_s
            )
            if not wait_s:
                context.granted_s.append(now_s)


@behave.then("it gets {least:d} to {most:d} requests, in any second at most 3")
def then_turns(context, least, most):
    assert least <= len(context.granted_s) <= most, len(context.granted_s)
    assert _most(context.granted_s) <= 3, _most(context.granted_s)


# Decisions and decoding


@behave.then("a server that {states} is {state} {after_s:g} s after its start")
def then_state(context, states, state, after_s):
    started_ms = 1_700_000_000_000
    now_s = started_ms / 1000 + after_s
    changes = {
        "states nothing": {},
        "states a cold time that ends 8 s after its start": {
            "cold_until_s": started_ms / 1000 + 8
        },
        "states no start": {"started_ms": 0},
        "states a start in an hour": {"started_ms": started_ms + 3_600_000},
        "has a service without a limit": {"service": "plain"},
    }[states]
    server = gateway_rig.make_server(
        "s", 80, **{"started_ms": started_ms, **changes}
    )
    config = _config()
    if server.service == "plain":
        config["services"].append({"name": "plain"})
    table = operator_config.decode(json.dumps(config).encode()).ok
    limit = slow_start.limit_per_s(
        server, table.services[server.service], now_s
    )
    assert limit == {"cold": COLD_PER_S, "warm": None}[state], limit


@behave.then(
    "an entry with coldLeftMs {value} states a cold time of {time_s:g} s"
)
def then_entry(context, value, time_s):
    entry = json.dumps(platform_data.make_entry(coldLeftMs="VALUE"))
    result = server_entries.decode(
        "s", entry.replace('"VALUE"', value).encode()
    )
    assert result.ok.cold_left_s == time_s, result


@behave.then("an answer with X-Bilberryturn-Cold-Ms {value} states {time_s}")
def then_answer(context, value, time_s):
    head = wire.read_server_response(
        200, [(b"x-bilberryturn-cold-ms", value.encode())]
    )
    expected = None if time_s == "nothing" else float(time_s)
    assert head.cold_left_s == expected, head


# A relay and a node


class _Peer:
    """A node without its threads, whose time is set."""

    def __init__(self, name):
        self.now_s = START_UNIX_S
        self.shared = shared_state.SharedState(
            "east",
            shared_state.RetryLimits(0.2, 1, 10),
            5.0,
            upstream.ConnectionPool(),
            lambda: self.now_s,
        )
        self.raw = peer_state.RawState()
        self.applier = feeds.Applier(self.shared, self.raw, name)

    def read_config(self):
        self.applier.on_config_read(_reading(rows.CONFIG_KEY, _config()))

    def read(self, entry):
        self.applier.on_servers_read(_reading("s", entry))

    def poll(self, relay):
        state = relay.raw.state(self.applier.known())
        self.applier.apply_peer_state(state, leases.boottime_s())


def _config():
    config = platform_data.make_config(1)
    config["services"][0].update(coldS=COLD_S, coldPerS=COLD_PER_S)
    return config


def _reading(key, value):
    change = rows.Change(key, 1, json.dumps(value).encode())
    return followers.Reading([change], True, False, leases.boottime_s())


@behave.given("a node behind a relay that has read a warm server")
def given_relay(context):
    context.relay, context.node = _Peer("relay"), _Peer("node")
    context.relay.read_config()
    context.relay.read(platform_data.make_entry(seq=1))
    context.node.poll(context.relay)
    # From now on the relay passes on only what has changed.
    assert context.node.applier.peer_revision == context.relay.raw.revision


@behave.when("the server's next entry says that it is cold for {left_ms:d} ms")
def when_cold(context, left_ms):
    context.sequence = getattr(context, "sequence", 1) + 1
    context.relay.read(
        platform_data.make_entry(seq=context.sequence, coldLeftMs=left_ms)
    )
    context.node.poll(context.relay)


@behave.when("{time_s:g} s pass at the relay")
def when_pass(context, time_s):
    context.relay.now_s += time_s
    context.node.now_s += time_s


@behave.when("the relay reads the same entry again")
def when_same(context):
    context.sequence -= 1
    when_cold(context, 2500)


@behave.then("the node and the relay take the server for {state}")
def then_take(context, state):
    for peer in (context.relay, context.node):
        assert (peer.shared.availability.cold() == {"s"}) == (state == "cold")


@behave.then("a heartbeat with the same end is not passed on")
def then_not_passed(context):
    revision = context.relay.raw.revision
    when_pass(context, 0.5)
    when_cold(context, 2100)
    assert context.relay.raw.revision == revision


# One gateway


def _answer(peer, head, body, number):
    peer.answer(head, b"answer")


@behave.given("a gateway before two servers, of which {cold} just started")
def given_gateway(context, cold):
    context.backends = [scripted.ScriptedServer(_answer) for _ in range(2)]
    table = gateway_rig.make_table()
    table.services = {"app": types.Service("app", 100, None, None, 30.0, 2.0)}
    now_ms = int(time.time() * 1000)
    context.rig = gateway_rig.GatewayRig(
        [
            gateway_rig.make_server(
                f"s{number}",
                backend.port,
                started_ms=now_ms if cold == "both" or number == 0 else 1,
            )
            for number, backend in enumerate(context.backends)
        ],
        table,
    )
    context.closers.append(context.rig.close)
    for backend in context.backends:
        context.closers.append(backend.close)


@behave.when(
    "callers send {rate:d} safe requests a second for {duration_s:d} s"
)
def when_send(context, rate, duration_s):
    started_s = time.monotonic()
    context.answers = []
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        for number in range(rate * duration_s):
            time.sleep(max(0, started_s + number / rate - time.monotonic()))
            data = gateway_rig.request_text("safe", f"cold-{number}")
            context.answers.append(
                pool.submit(gateway_rig.send_request, context.rig.port, data)
            )
    context.answers = [future.result() for future in context.answers]


@behave.then("the first server gets between {least:d} and {most:d} requests")
def then_between(context, least, most):
    count = len(context.backends[0].requests)
    assert least <= count <= most, count


@behave.then("all requests are answered")
def then_answered(context):
    assert {a.status for a in context.answers} == {200}


@behave.then("the others are refused with Retry-After of at most {most_s:g} s")
def then_refused(context, most_s):
    refused = [a for a in context.answers if a.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer.head
        retry_after_s = float(answer.header("Retry-After"))
        assert 0 < retry_after_s <= most_s, repr(answer.head)


# Real processes


@behave.given("{count:d} node processes before warm servers of a service")
def given_processes(context, count):
    context.arrivals = collections.defaultdict(list)

    def answer(peer, head, body, number):
        server = scripted.header(head, "X-Bilberryturn-Expect-Instance")
        context.arrivals[server].append(time.monotonic())
        # Servers that are never busy would not share the requests.
        time.sleep(0.2)
        peer.answer(head, b"answer")

    context.testbed = testbed_module.start(
        context, count, answer, app_options={"coldS": 4, "coldPerS": 2}
    )
    for node in context.testbed.nodes:
        node.wait_ready()


@behave.when("callers send {rate:d} requests a second, and a server starts")
def when_server_starts(context, rate):
    nodes = context.testbed.nodes
    rng = random.Random(29)
    started_s = time.monotonic()
    context.statuses = []
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        for number in range(rate * 10):
            if number == rate * 2:
                context.started_s = time.monotonic()
                context.testbed.add_backend(
                    "s9", "app", born=int(time.time() * 1000)
                )
            time.sleep(max(0, started_s + number / rate - time.monotonic()))
            node = rng.choices(nodes, (0.6, 0.3, 0.1))[0]
            context.statuses.append(pool.submit(_send, node, number))
    context.statuses = [future.result() for future in context.statuses]


def _send(node, number):
    data = gateway_rig.request_text("safe", f"r{number}", key="key-a")
    with gateway_rig.connect(node.port, node.ip) as connection:
        return gateway_rig.send_request(node.port, data, connection).status


@behave.then("it gets at most {most:d} requests in any second while it is cold")
def then_most_cold(context, most):
    cold_s = [t for t in context.arrivals["s9"] if t < context.started_s + 4]
    assert 0 < _most(cold_s) <= most, _most(cold_s)


@behave.then("all are answered, and it gets more once it is warm")
def then_warm(context):
    # It is warm for 3 s and was cold for 4 s.
    assert set(context.statuses) == {200}, collections.Counter(context.statuses)
    times_s = context.arrivals["s9"]
    warm = sum(t > context.started_s + 5 for t in times_s)
    cold = sum(t < context.started_s + 4 for t in times_s)
    assert warm > cold, (warm, cold)
