"""Steps of limits.feature: servers that limit what they take."""

import collections
import concurrent.futures
import itertools
import pathlib
import random
import tempfile
import threading
import time

import behave

from bilberryturn_standins import ports
from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

# As the users' rule states: from this time after a limit was first named, no
# window holds more than half more than the limit, and some requests.
SETTLE_S = 4.0
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
READY_LIMIT_S = 30.0
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
    context.testbed = testbed_module.Testbed(
        pathlib.Path(tempfile.mkdtemp(prefix="limits-")),
        count,
        1 + ports.block_number(),
        False,
        context.servers.answer,
    )
    context.closers.append(context.testbed.close)
    for node in context.testbed.nodes:
        _wait_ready(node)


def _wait_ready(node):
    limit_s = time.monotonic() + READY_LIMIT_S
    while '"is_ready": true' not in node.log_path.read_text("utf-8"):
        assert node.is_running(), node.process.poll()
        assert time.monotonic() < limit_s, "the node is not ready"
        time.sleep(0.05)


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
        most = max(
            sum(start_s <= t < start_s + WINDOW_S for t in settled)
            for start_s in settled or [0.0]
        )
        assert most <= allowed, (server, most, context.statuses)


@behave.then("each of {limited} gets at least half of its limit")
def then_used(context, limited):
    for server, limit in context.limits.items():
        times_s = context.servers.arrivals[server]
        settled_s = times_s[0] + SETTLE_S
        found = sum(t >= settled_s for t in times_s)
        duration_s = context.ended_s - settled_s
        assert found >= 0.5 * limit * duration_s, (server, found, duration_s)


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

    context.answering.rig.call(report)


@behave.given("two servers, of which one turns requests away for {time_s:g} s")
def given_turning(context, time_s):
    refusal = _refusal(f"Retry-After: {time_s}\r\n")

    def turn_away_once(peer, head, body, number):
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
    assert 1 <= context.before <= count, context.before


@behave.when("a caller sends {count:d} requests {after_s:g} s after the first")
def when_after(context, count, after_s):
    time.sleep(max(0.0, context.first_s + after_s - time.monotonic()))
    when_in_turn(context, count)


@behave.then("the turning server has got another request")
def then_another(context):
    assert context.answering.count() > context.before


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
