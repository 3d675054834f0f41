"""Steps of limits.feature: servers that limit what they take."""

import collections
import concurrent.futures
import itertools
import random
import threading
import time

import behave

from bilberryturn.routing import permits
from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

# As the users' rule states: from this time after a limit was first named, no
# window holds more than half more than the limit, and some requests.
SETTLE_S = 4.0
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# Shares of the callers by node; the node that restarts has the second.
NODE_SHARES = (0.6, 0.28, 0.1, 0.02)
_ids = itertools.count(1)


class _LimitedServers:
    """Servers of which some name a limit in each answer.

    Attributes:
        arrivals: Monotonic times at which requests arrived, by server.
    """

    def __init__(self, limits):
        self._limits = limits
        self.arrivals = collections.defaultdict(list)

    def answer(self, peer, head, body, number):
        server = scripted.header(head, "X-Bilberryturn-Expect-Instance")
        self.arrivals[server].append(time.monotonic())
        time.sleep(0.03)
        limit = self._limits.get(server)
        extra = "" if limit is None else f"Server-Limit: {limit}\r\n"
        peer.answer(head, b"answer", extra=extra)


@behave.given(
    "{count:d} node processes before servers of which {limited} take {limit:g}"
    " requests a second"
)
def given_processes(context, count, limited, limit):
    context.limits = dict.fromkeys(limited.split(", "), limit)
    context.servers = _LimitedServers(context.limits)
    context.testbed = testbed_module.start(
        context, count, context.servers.answer
    )
    for node in context.testbed.nodes:
        node.wait_ready()


@behave.given("the store rejects all calls")
def given_store_away(context):
    context.testbed.store.fault = "503"
    # Until then nodes count as current what they read before.
    time.sleep(2.0)


@behave.when(
    "callers send {rate:d} requests a second for {duration_s:d} s, most of them"
    " to one node, and a node restarts"
)
def when_uneven(context, rate, duration_s):
    rng = random.Random(29)
    nodes = context.testbed.nodes
    started_s = time.monotonic()
    context.statuses = collections.Counter()
    restart = threading.Thread(target=_restart, args=(nodes[1], 5.0))
    restart.start()
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for number in range(rate * duration_s):
            delay_s = started_s + number / rate - time.monotonic()
            time.sleep(max(0.0, delay_s))
            node = rng.choices(nodes, NODE_SHARES)[0]
            node = node if node.is_serving() else nodes[0]
            pool.submit(_send, context, node)
    context.ended_s = time.monotonic()
    restart.join()


def _restart(node, after_s):
    time.sleep(after_s)
    node.stop()
    node.process.wait(10)
    node.start()


def _send(context, node):
    data = gateway_rig.request_text("safe", f"r{next(_ids)}", key="key-a")
    try:
        connection = gateway_rig.connect(node.port, node.ip)
        with connection:
            answer = gateway_rig.send_request(node.port, data, connection)
    except OSError:
        context.statuses["closed"] += 1
        return
    context.statuses[answer.status] += 1


@behave.then(
    "each of {limited} gets at most half more than its limit and 5 requests in"
    " any 4 s"
)
def then_kept(context, limited):
    for server, limit in context.limits.items():
        times_s = context.servers.arrivals[server]
        allowed = LIMIT_RATIO * limit * WINDOW_S + LIMIT_SLACK
        settled = [t for t in times_s if t >= times_s[0] + SETTLE_S]
        assert _most(settled) <= allowed, (server, _most(settled), allowed)


@behave.then("each of {limited} gets at least half of its limit")
def then_used(context, limited):
    for server, limit in context.limits.items():
        times_s = context.servers.arrivals[server]
        settled_s = times_s[0] + SETTLE_S
        found = sum(t >= settled_s for t in times_s)
        duration_s = context.ended_s - settled_s
        assert found >= 0.5 * limit * duration_s, (server, found, duration_s)


# Many nodes without a network


class _Fleet:
    """Nodes that share permits, in virtual time.

    Attributes:
        arrivals: Times at which requests reached the limited servers.
        asked: Requests for permits by the node that issues them.
    """

    def __init__(self, nodes, domains, servers, limited, limit):
        self.rng = random.Random(29)
        self.limit = limit
        self.nodes = [f"10.{n % domains}.0.{n}:1" for n in range(nodes)]
        self.servers = {
            f"s{n}": f"10.{n % domains}." if n < limited else None
            for n in range(servers)
        }
        self.arrivals = {s: [] for s, d in self.servers.items() if d}
        self.asked = collections.Counter()
        self.issuers = {node: permits.Issuer() for node in self.nodes}
        self.waits = {
            node: permits.Waits(random.Random(n))
            for n, node in enumerate(self.nodes)
        }
        self.order = {
            server: permits.issuers(
                server,
                [n for n in self.nodes if n.startswith(domain)],
                self.nodes,
            )
            for server, domain in self.servers.items()
            if domain
        }

    def restart(self, node):
        self.issuers[node] = permits.Issuer()
        self.waits[node] = permits.Waits(random.Random(1))

    def send(self, node, now_s):
        """Send one request as a node does, to the best server it may."""
        servers = sorted(
            self.servers,
            key=lambda s: (
                not node.startswith(self.servers[s] or "-"),
                self.rng.random(),
            ),
        )
        for server in servers[: 1 + 3]:
            if self.servers[server] is None:
                return
            lifetime = (server, 0)
            if self.waits[node].remaining_s(lifetime, 0, now_s) > 0:
                continue
            issuing_node = self.order[server][0]
            self.asked[issuing_node] += 1
            issuer = self.issuers[issuing_node]
            ask = permits.Ask(lifetime, self.limit, 0, node)
            wait_s = issuer.grant(ask, now_s)
            if not wait_s:
                self.arrivals[server].append(now_s)
                return
            self.waits[node].record(lifetime, 0, wait_s, now_s)


@behave.given(
    "{nodes:d} nodes in {domains:d} failure domains before {servers:d} servers,"
    " {limited:d} of which take {limit:g} requests a second"
)
def given_fleet(context, nodes, domains, servers, limited, limit):
    context.fleet = _Fleet(nodes, domains, servers, limited, limit)


@behave.when(
    "{rate:d} requests a second arrive for {duration_s:d} s, half of them at a"
    " tenth of the nodes, and a node restarts each {each_s:d} s"
)
def when_arrive(context, rate, duration_s, each_s):
    fleet = context.fleet
    context.duration_s = duration_s
    busy = fleet.nodes[: max(1, len(fleet.nodes) // 10)]
    restart_s = each_s
    now_s = 0.0
    while now_s < duration_s:
        now_s += fleet.rng.expovariate(rate)
        if now_s >= restart_s:
            restart_s += each_s
            fleet.restart(fleet.rng.choice(fleet.nodes))
        nodes = busy if fleet.rng.random() < 0.5 else fleet.nodes
        fleet.send(fleet.rng.choice(nodes), now_s)


@behave.then(
    "no limited server gets more than half more than its limit and 5 requests"
    " in any 4 s"
)
def then_none_more(context):
    fleet = context.fleet
    allowed = LIMIT_RATIO * fleet.limit * WINDOW_S + LIMIT_SLACK
    for server, times_s in fleet.arrivals.items():
        assert _most(times_s) <= allowed, (server, _most(times_s), allowed)


def _most(times_s):
    """Return the most requests in any window."""
    return max(
        (
            sum(start_s <= t < start_s + WINDOW_S for t in times_s)
            for start_s in times_s
        ),
        default=0,
    )


@behave.then(
    "the limited servers get at least {quarters:d} quarters of what they take"
)
def then_not_idle(context, quarters):
    fleet = context.fleet
    found = sum(len(times_s) for times_s in fleet.arrivals.values())
    taken = len(fleet.arrivals) * fleet.limit * context.duration_s
    assert found >= quarters / 4 * taken, (found, taken)


@behave.then("no node is asked for more than {count:d} permits a second")
def then_asked(context, count):
    # At 1 ms each, the processor time that control may cost a node.
    most = max(context.fleet.asked.values())
    assert most <= count * context.duration_s, most


@behave.given("an issuer of a server that takes {limit:g} request a second")
def given_issuer(context, limit):
    context.issuer = permits.Issuer()
    context.limit = limit


@behave.when(
    "{count:d} nodes ask for requests of both tiers all the time for"
    " {duration_s:d} s"
)
def when_both_tiers(context, count, duration_s):
    rng = random.Random(29)
    context.granted = {0: [], 1: []}
    waits = permits.Waits(rng)
    for tick in range(duration_s * 20):
        now_s = tick / 20
        for node, tier in itertools.product(range(count), (1, 0)):
            lifetime = (f"s{node}", 0)
            if waits.remaining_s(lifetime, tier, now_s) > 0:
                continue
            ask = permits.Ask(("s", 0), context.limit, tier, f"n{node}")
            wait_s = context.issuer.grant(ask, now_s)
            if wait_s:
                waits.record(lifetime, tier, wait_s, now_s)
            else:
                context.granted[tier].append(now_s)
    context.duration_s = duration_s


@behave.then(
    "the higher tier gets at least {least:d} of at most {most:d} permits"
)
def then_higher(context, least, most):
    higher, lower = (len(context.granted[tier]) for tier in (0, 1))
    assert higher >= least and higher + lower <= most, (higher, lower)


@behave.then("the lower tier gets a permit in any {time_s:d} s")
def then_lower(context, time_s):
    times_s = [0.0, *context.granted[1], context.duration_s]
    longest_s = max(b - a for a, b in itertools.pairwise(times_s))
    assert longest_s <= time_s, times_s


# One gateway


class _Answering:
    """A server with a script of its own, and a sound one."""

    def __init__(self, context, *scripts):
        self.servers = [scripted.ScriptedServer(script) for script in scripts]
        for server in self.servers:
            context.closers.append(server.close)
        self.entries = [
            gateway_rig.make_server(f"s{number}", server.port)
            for number, server in enumerate(self.servers)
        ]
        self.rig = gateway_rig.GatewayRig(self.entries)
        context.closers.append(self.rig.close)

    def count(self):
        """Return how many requests the first server got."""
        return len(self.servers[0].requests)

    def send(self):
        data = gateway_rig.request_text("safe", f"r{next(_ids)}")
        return gateway_rig.send_request(self.rig.port, data)


def _sound(peer, head, body, number):
    peer.answer(head, b"answer")


def _refusal(headers):
    def refuse(peer, head, body, number):
        peer.answer(
            head,
            status="503 Service Unavailable",
            extra=f"X-Bilberryturn-Not-Run: 1\r\n{headers}",
        )

    return refuse


def _leaving_answer(peer, head, body, number):
    peer.answer(head, b"answer", extra="Server-Leaving: 1\r\n")


@behave.given("two servers, of which one says in {answer} that it leaves")
def given_leaving(context, answer):
    script = {
        "an answer": _leaving_answer,
        "a refusal": _refusal("Server-Leaving: 1\r\n"),
    }[answer]
    context.answering = _Answering(context, script, _sound)


@behave.when("a caller sends {count:d} safe requests in turn")
def when_in_turn(context, count):
    context.answers = [context.answering.send() for _ in range(count)]


@behave.then("all of them are answered")
def then_answered(context):
    assert {a.status for a in context.answers} == {200}


@behave.then("the leaving server got 1 request")
def then_one(context):
    assert context.answering.count() == 1, context.answering.count()


@behave.when("the store reports the leaving server as ready again")
def when_ready_again(context):
    entry = context.answering.entries[0]._replace(sequence=9)

    async def report():
        now_s = time.monotonic()
        servers = context.answering.rig.shared.directory
        servers.report(entry, now_s)
        # Longer than a delayed report may arrive.
        servers.expire(now_s + 60.0)
        servers.report(entry._replace(sequence=10), now_s + 60.0)

    context.answering.rig.call(report)


@behave.given("two servers, of which one turns requests away for {time_s:g} s")
def given_turning(context, time_s):
    refusal = _refusal(f"Retry-After: {time_s}\r\n")
    context.turned_s = time_s
    context.arrivals_s = []

    def turn_away_once(peer, head, body, number):
        context.arrivals_s.append(time.monotonic())
        if number == 1:
            context.first_s = time.monotonic()
            refusal(peer, head, body, number)
        else:
            _sound(peer, head, body, number)

    context.answering = _Answering(context, turn_away_once, _sound)


@behave.when("callers send {count:d} safe requests over {time_s:g} s")
def when_over(context, count, time_s):
    context.answers = []
    for _ in range(count):
        context.answers.append(context.answering.send())
        time.sleep(time_s / count)


@behave.then("the turning server got at most {count:d} requests")
def then_turning(context, count):
    context.before = context.answering.count()
    # On a slow machine the last requests come when its time is over.
    end_s = context.first_s + context.turned_s
    meanwhile = sum(1 for at_s in context.arrivals_s if at_s < end_s)
    assert 1 <= meanwhile <= count, (meanwhile, context.before)


@behave.when("a caller sends {count:d} requests {after_s:g} s after the first")
def when_after(context, count, after_s):
    time.sleep(max(0.0, context.first_s + after_s - time.monotonic()))
    when_in_turn(context, count)


@behave.then("the turning server has got another request")
def then_another(context):
    assert context.answering.count() > context.before


@behave.given(
    "two servers, of which one turns requests away for {time_s:d} s and the"
    " other refuses"
)
def given_refusing(context, time_s):
    context.answering = _Answering(
        context, _refusal(f"Retry-After: {time_s}\r\n"), _refusal("")
    )


@behave.then("each of them is refused with Retry-After under {limit_s:g} s")
def then_soon(context, limit_s):
    for answer in context.answers:
        assert answer.status == 503, answer.head
        assert float(answer.header("Retry-After")) < limit_s, answer.head


@behave.given(
    "two servers that turn requests away, for {first_s:d} s and for"
    " {second_s:d} s"
)
def given_both(context, first_s, second_s):
    context.answering = _Answering(
        context,
        _refusal(f"Retry-After: {first_s}\r\n"),
        _refusal(f"Retry-After: {second_s}\r\n"),
    )


@behave.then(
    "the last one is refused with Retry-After between {low_s:g} and {high_s:g}"
    " s"
)
def then_refused(context, low_s, high_s):
    answer = context.answers[-1]
    assert answer.status == 503, answer.status
    assert low_s <= float(answer.header("Retry-After")) <= high_s, answer.head
