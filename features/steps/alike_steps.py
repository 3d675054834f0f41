"""Steps of alike_requests.feature."""

import concurrent.futures
import itertools
import random
import threading
import time
from typing import NamedTuple
from unittest import mock

import behave

from bilberryturn.entry import context as entry_context
from bilberryturn.entry import crash_watch
from bilberryturn.routing import part_crashes
from bilberryturn.routing import table
from bilberryturn.routing import types
from bilberryturn.scheduling import suspects
from support import gateway_rig
from support import scripted

DEADLY = "5c1e07a2"
SOUND = "91bd3f06"
ENGINE = types.Engine(16, 100_000, 3)
ANSWER_S = 0.8
# Nodes learn of crashes at other nodes within this time.
EXCHANGE_S = 0.4
SOUND_INTERVAL_S = 0.04
DEADLY_INTERVAL_S = 0.6
CALM_S = 1.0
TROUBLE_S = 9.0
# Time after the last crash in which reports are exchanged and servers start.
SETTLE_S = 1.0
# A request may meet the end of its server without a retry.
RUN_SHARE = 0.9


class _Fleet:
    """Servers of one service behind gateways that share their reports.

    Attributes:
        crashes_s: Times of the crashes.
        ran: Identifiers of the sound requests that servers began to run.
    """

    def __init__(self, context, gateways, servers, has_engine):
        self.crashes_s = []
        self.ran = set()
        self._has_engine = has_engine
        self._starts = itertools.count(2)
        self._lock = threading.Lock()
        self._in_hand = {}
        self._entries = {}
        for number in range(servers):
            name = f"s{number}"
            server = scripted.ScriptedServer(self._script(name))
            context.closers.append(server.close)
            self._entries[name] = gateway_rig.make_server(
                name, server.port, slots=16
            )
            self._in_hand[name] = set()
        kind = "stream" if has_engine else "unsafe"
        service = types.Service(
            "app", 100, ENGINE if has_engine else None, None
        )
        accounts = {
            table.key_hash(gateway_rig.KEY): types.ClientAccount("shop", None)
        }
        self.kind = kind
        self.rigs = []
        for _ in range(gateways):
            route_table = table.RouteTable(
                1,
                [gateway_rig.make_route(kind, attempts=1)],
                [service],
                types.Limits(),
                accounts,
            )
            rig = gateway_rig.GatewayRig(self._entries.values(), route_table)
            context.closers.append(rig.close)
            self.rigs.append(rig)

    def _script(self, name):
        def script(peer, head, body, number):
            request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
            with self._lock:
                in_hand = self._in_hand[name]
                in_hand.add(peer)
            if DEADLY in head:
                time.sleep(0.05)
                self._crash(name)
                return "close"
            self.ran.add(request)
            try:
                self._answer(peer, head)
            finally:
                with self._lock:
                    in_hand.discard(peer)
            return None

        return script

    def _answer(self, peer, head):
        if not self._has_engine:
            time.sleep(ANSWER_S)
            peer.answer(head, b"done")
            return
        time.sleep(ANSWER_S / 2)
        peer.start_stream(head)
        for number in (1, 2):
            peer.chunk(scripted.event(number))
            time.sleep(ANSWER_S / 4)
        peer.chunk(b"")

    def _crash(self, name):
        """End a server with all that it has in hand; it is back at once."""
        with self._lock:
            self.crashes_s.append(time.monotonic())
            lost, self._in_hand[name] = self._in_hand[name], set()
            entry = self._entries[name]
            restarted = entry._replace(started_ms=next(self._starts))
            self._entries[name] = restarted
        for rig in self.rigs:

            async def report(rig=rig):
                rig.shared.directory.report(restarted, time.monotonic())

            rig.call(report)
        for peer in lost:
            peer.reset()

    def exchange(self):
        """Let all gateways merge the reports of the others."""

        async def own(rig):
            return rig.shared.own_reports()

        async def merge(rig, node, reports):
            rig.shared.merge_reports(node, reports)

        found = [rig.call(own, rig) for rig in self.rigs]
        for number, rig in enumerate(self.rigs):
            for other, reports in enumerate(found):
                if other != number:
                    rig.call(merge, rig, f"n{other}", reports)

    def send(self, rig, request, path, prompt):
        """Send a request; returns its answer."""
        extra = ""
        if self._has_engine:
            extra = (
                f"X-Bilberryturn-Prefix-Hash: {prompt}\r\n"
                "X-Bilberryturn-Tokens: 200,20\r\n"
            )
        data = gateway_rig.request_text(
            self.kind, request, extra=extra, path=path
        )
        return gateway_rig.send_request(rig.port, data)


@behave.given(
    "{gateways:d} gateways before {servers:d} servers that {deadly} crashes"
)
def given_gateways(context, gateways, servers, deadly):
    context.fleet = _Fleet(context, gateways, servers, "part" in deadly)


def _every(interval_s, until_s, act):
    """Call a function with the number of the call, at a steady rate."""
    for number in itertools.count():
        if time.monotonic() >= until_s:
            return
        act(number)
        time.sleep(interval_s)


@behave.when("alike sound requests arrive while it comes again and again")
def when_arrive(context):
    fleet = context.fleet
    context.sound = []
    until_s = time.monotonic() + CALM_S + TROUBLE_S

    def send_sound(number):
        rig = fleet.rigs[number % len(fleet.rigs)]
        request = f"a{number}"
        context.sound.append((time.monotonic(), request))
        pool.submit(fleet.send, rig, request, "alike", f"{SOUND}:100,e440:100")

    def send_deadly(number):
        rig = fleet.rigs[number % len(fleet.rigs)]
        path, prompt = f"other{number}", f"{DEADLY}:100,{SOUND}:100,d{number}:9"
        if fleet.kind == "unsafe":
            path = DEADLY
        pool.submit(fleet.send, rig, f"d{number}", path, prompt)

    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        sending = [
            pool.submit(_every, SOUND_INTERVAL_S, until_s, send_sound),
            pool.submit(
                _every, EXCHANGE_S, until_s, lambda _: fleet.exchange()
            ),
        ]
        time.sleep(CALM_S)
        _every(DEADLY_INTERVAL_S, until_s, send_deadly)
        for job in sending:
            job.result()


@behave.then("it crashes at most {limit:d} servers")
def then_crashes(context, limit):
    crashes = len(context.fleet.crashes_s)
    assert 3 <= crashes <= limit, crashes


@behave.then("nearly all of the sound requests behind the last crash have run")
def then_run(context):
    from_s = max(context.fleet.crashes_s) + SETTLE_S
    late = [request for at_s, request in context.sound if at_s >= from_s]
    ran = sum(request in context.fleet.ran for request in late)
    assert len(late) >= 20, len(late)
    assert ran >= RUN_SHARE * len(late), (ran, len(late))


# Seeded traffic without a network

DEADLY_CALL = "de" * 8
SOUND_CALL = "50" * 8


class _Traffic(NamedTuple):
    """How the traffic of seeded runs differs from the usual one.

    Attributes:
        servers: Number of servers.
        sound_per_s: Rate of the sound requests that are alike.
        sound_names: Names of these requests; one for each client account.
        sound_nodes: Nodes at which they come, of all.
        others_per_s: Rate of other requests, no two alike.
        parts: Shared parts of all prompts.
        answered_share: Share of the deadly runs that are answered.
        has_bursts: Whether half of the servers are lost at once now and then.
        starts_late: Whether one node starts after the first crashes.
        crash_interval_s: Pause between crashes of any server for a reason of
            its own, 0 for none.
    """

    servers: int = 6
    sound_per_s: float = 10.0
    sound_names: tuple[str, ...] = (SOUND_CALL,)
    sound_nodes: int = 9
    others_per_s: float = 2.0
    parts: tuple[str, ...] = ()
    answered_share: float = 0.0
    has_bursts: bool = False
    starts_late: bool = False
    crash_interval_s: float = 0.0


TRAFFIC = {
    "at all nodes": _Traffic(),
    "at one node": _Traffic(sound_nodes=1),
    "of several client accounts": _Traffic(
        sound_names=tuple(f"{n}{SOUND_CALL[1:]}" for n in range(4))
    ),
    "with prompts": _Traffic(
        sound_names=(f"{SOUND_CALL}_1",), parts=("f", "g")
    ),
    "without prompts on three servers": _Traffic(servers=3),
    "with a tenth of its runs answered": _Traffic(answered_share=0.1),
    "while several servers are lost at once": _Traffic(has_bursts=True),
    "with a node that starts later": _Traffic(starts_late=True),
    "beside hundreds of other requests": _Traffic(others_per_s=100.0),
    "while servers crash without a cause": _Traffic(crash_interval_s=2.0),
    "that are rare": _Traffic(sound_per_s=1.0),
}


class _Run(NamedTuple):
    """A request that a server has in hand."""

    server: int
    node: str
    request: str
    sent_s: float
    end_s: float
    is_retry: bool


class _AlikeRuns:
    """Nodes and servers under seeded traffic, in steps of 0.02 s.

    Attributes:
        late_count: Deadly requests sent later than 4 s after the third crash.
        sound_sent: Sound requests from 4 s after the third crash on.
        sound_refused: Those of them that were refused.
    """

    NODES = 9
    STEP_S = 0.02
    CALM_S = 5.0
    TROUBLE_S = 45.0
    DOWN_S = 3.0
    ANSWER_S = 0.6
    REPORT_S = 2.0
    LATE_S = 4.0

    def __init__(self, seed, traffic):
        self._rng = random.Random(seed)
        self._traffic = traffic
        self._nodes = {
            f"n{n}": part_crashes.PartCrashes() for n in range(self.NODES)
        }
        self._up_at_s = [0.0] * traffic.servers
        self._starts = [0] * traffic.servers
        self._running = []
        # Last reports of nodes that were started anew.
        self._ended = {}
        self._others = itertools.count()
        self._now_s = 1000.0
        self.deadly_crashes_s = []
        self.late_count = 0
        self.sound_sent = 0
        self.sound_refused = 0

    def run(self):
        traffic = self._traffic
        deadly_from_s = self._now_s + self.CALM_S
        end_s = deadly_from_s + self.TROUBLE_S
        next_report_s = next_burst_s = self._now_s
        while self._now_s < end_s:
            self._now_s += self.STEP_S
            self._finish()
            if self._rng.random() < traffic.sound_per_s * self.STEP_S:
                number = self._rng.randrange(traffic.sound_nodes)
                name = self._rng.choice(traffic.sound_names)
                self._send(f"n{number}", name)
            if self._rng.random() < traffic.others_per_s * self.STEP_S:
                self._send(self._any_node(), f"{next(self._others):016x}")
            is_due = self._rng.random() < self.STEP_S
            if is_due and self._now_s >= deadly_from_s:
                self._send(self._any_node(), DEADLY_CALL)
            if self._now_s >= next_report_s:
                next_report_s = self._now_s + self.REPORT_S
                self._exchange()
            if traffic.has_bursts and self._now_s >= next_burst_s:
                next_burst_s = self._now_s + 11.0
                for server in range(traffic.servers // 2):
                    self._crash(server)
            if traffic.crash_interval_s and self._rng.random() < (
                self.STEP_S / traffic.crash_interval_s
            ):
                self._crash(self._rng.randrange(traffic.servers))
            if traffic.starts_late and len(self.deadly_crashes_s) == 3:
                self._replace_node("n8")

    def _any_node(self):
        return f"n{self._rng.randrange(self.NODES)}"

    def _replace_node(self, name):
        """Start a node anew; what it had reported stays in the store."""
        if name not in self._ended:
            self._ended[name] = self._nodes[name].own_reports(self._now_s)
            self._nodes[name] = part_crashes.PartCrashes()

    def _exchange(self):
        found = {
            name: node.own_reports(self._now_s)
            for name, node in self._nodes.items()
        }
        found |= {f"{name}-ended": r for name, r in self._ended.items()}
        for name, node in self._nodes.items():
            for other, reports in found.items():
                if other != name:
                    node.merge(other, reports)

    def _send(self, node, request, is_retry=False):
        crashes_s = self.deadly_crashes_s
        is_late = (
            len(crashes_s) >= 3 and self._now_s > crashes_s[2] + self.LATE_S
        )
        is_sound = request in self._traffic.sound_names and not is_retry
        if is_sound and is_late:
            self.sound_sent += 1
        cause = self._nodes[node].refused(
            self._traffic.parts, self._now_s, request
        )
        if cause is not None:
            self.sound_refused += is_sound and is_late
            return
        up = [n for n, at_s in enumerate(self._up_at_s) if self._now_s >= at_s]
        if not up:
            return
        self.late_count += is_late and request == DEADLY_CALL
        duration_s = self.ANSWER_S * self._rng.uniform(0.5, 1.5)
        if request == DEADLY_CALL:
            duration_s = 0.05
        run = _Run(
            self._rng.choice(up),
            node,
            request,
            # A retry is sent a little later than the crash before it.
            self._now_s + 0.001,
            self._now_s + duration_s,
            is_retry,
        )
        self._running.append(run)

    def _finish(self):
        ended = [run for run in self._running if self._now_s >= run.end_s]
        for run in ended:
            if run not in self._running:
                continue
            share = self._traffic.answered_share
            is_deadly = run.request == DEADLY_CALL
            if is_deadly and self._rng.random() >= share:
                self.deadly_crashes_s.append(self._now_s)
                self._crash(run.server)
                continue
            self._running.remove(run)
            parts = () if is_deadly else self._traffic.parts
            self._nodes[run.node].record_answer(parts, self._now_s, run.request)

    def _crash(self, server):
        if self._now_s < self._up_at_s[server]:
            return
        lifetime = (f"s{server}", self._starts[server])
        self._starts[server] += 1
        self._up_at_s[server] = self._now_s + self.DOWN_S
        lost = [run for run in self._running if run.server == server]
        for run in lost:
            self._running.remove(run)
            self._nodes[run.node].record_crash(
                lifetime,
                self._traffic.parts,
                run.request,
                self._now_s,
                run.sent_s,
            )
        for run in lost:
            if not run.is_retry:
                self._send(run.node, run.request, is_retry=True)


@behave.given(
    "{count:d} seeded runs of alike requests beside a deadly call, {traffic}"
)
def given_runs(context, count, traffic):
    context.runs = []
    for seed in range(count):
        run = _AlikeRuns(seed, TRAFFIC[traffic])
        run.run()
        assert len(run.deadly_crashes_s) >= 3, "too few crashes"
        context.runs.append(run)


@behave.then("in each run the call is refused in time")
def then_in_time(context):
    late = [run.late_count for run in context.runs]
    assert max(late) <= 3, late


@behave.then("in each run the sound requests go on")
def then_go_on(context):
    refused = [(run.sound_refused, run.sound_sent) for run in context.runs]
    assert all(r <= 0.1 * sent for r, sent in refused), refused


# Reports


@behave.given("a node that saw {count:d} crashes under a request")
def given_crashes(context, count):
    context.node = part_crashes.PartCrashes()
    for number in range(count):
        at_s = 1000.0 + number
        context.node.record_crash(
            (f"s{number}", 1), (), SOUND_CALL, at_s, at_s - 0.5
        )


@behave.when("the request is answered {count:d} times within {duration_s:d} s")
def when_answered(context, count, duration_s):
    context.reports = []
    for number in range(count):
        context.now_s = 1003.0 + number * duration_s / count
        context.node.record_answer((), context.now_s, SOUND_CALL)
        context.reports.append(context.node.own_reports(context.now_s))


@behave.then("its reports changed at most {limit:d} times")
def then_changed(context, limit):
    pairs = itertools.pairwise(context.reports)
    changes = sum(before != after for before, after in pairs)
    assert changes <= limit, changes


@behave.then("another node that merges them does not refuse the request")
def then_not_refused(context):
    other = part_crashes.PartCrashes()
    other.merge("n1", context.reports[-1])
    assert other.refused((), context.now_s, SOUND_CALL) is None


def _exchange(nodes, now_s):
    """Let all nodes merge the reports of the others."""
    found = {name: node.own_reports(now_s) for name, node in nodes.items()}
    for name, node in nodes.items():
        for other in found.keys() - {name}:
            node.merge(other, found[other])


@behave.given("{count:d} nodes that know {crashes:d} crashes under a request")
def given_knowing(context, count, crashes):
    context.nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(count)}
    for number in range(crashes):
        at_s = 1000.0 + number
        context.nodes["n0"].record_crash(
            (f"s{number}", 1), (), SOUND_CALL, at_s, at_s - 0.5
        )
    _exchange(context.nodes, 1003.0)


@behave.when(
    "the request is answered {rate:d} times a second for {duration_s:d} s, now"
    " here, now there"
)
def when_answered_everywhere(context, rate, duration_s):
    rng = random.Random(1)
    context.changes = 0
    last = {}
    for number in range(rate * duration_s):
        context.now_s = 1003.0 + number / rate
        name = rng.choice(list(context.nodes))
        node = context.nodes[name]
        node.record_answer((), context.now_s, SOUND_CALL)
        reports = node.own_reports(context.now_s)
        context.changes += reports != last.get(name, {})
        last[name] = reports
        if number % (2 * rate) == 0:
            _exchange(context.nodes, context.now_s)


@behave.then(
    "the reports of all nodes together changed at most {limit:d} times"
)
def then_changed_together(context, limit):
    assert 0 < context.changes <= limit, context.changes


@behave.then("no node refuses the request")
def then_none_refuses(context):
    for node in context.nodes.values():
        assert node.refused((), context.now_s, SOUND_CALL) is None


@behave.given(
    "a node that saw a crash under {count:d} requests without prompts"
)
def given_one_crash(context, count):
    context.node = part_crashes.PartCrashes()
    context.requests = [f"{number:016x}" for number in range(count)]
    for request in context.requests:
        context.node.record_crash(("s0", 1), (), request, 1000.0, 999.9)


@behave.when("the retry of each is answered before the next report")
def when_retried(context):
    for request in context.requests:
        context.node.record_answer((), 1000.2, request)


@behave.then("it reports nothing")
def then_nothing(context):
    reports = context.node.own_reports(1000.25)
    assert not reports, reports


# Trial runs of a refused request


@behave.given("{count:d} nodes that refuse a request after three crashes")
def given_refusing(context, count):
    def make():
        nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(count)}
        for number in range(3):
            at_s = 1000.0 + number
            nodes[f"n{number}"].record_crash(
                (f"s{number}", 1), (), DEADLY_CALL, at_s, at_s - 0.05
            )
        return nodes

    context.make_nodes = make


def _send_everywhere(nodes, from_s, duration_s, run):
    """Offer a request to each node four times a second.

    Args:
        nodes: The nodes by name.
        from_s: Time of the first offer.
        duration_s: How long it is offered.
        run: Called with the node and the time if the node lets it run.
    """
    step_s = 0.25
    for step in range(int(duration_s / step_s)):
        now_s = from_s + step * step_s
        if step % 8 == 0:
            found = {n: node.own_reports(now_s) for n, node in nodes.items()}
            for name, node in nodes.items():
                for other in found:
                    if other != name:
                        node.merge(other, found[other])
        for name, node in nodes.items():
            if node.refused((), now_s, DEADLY_CALL) is None:
                run(node, now_s, f"{name}-{step}")


@behave.then(
    "within {duration_s:d} s it crashes at most {limit:d} servers more if it is"
    " deadly"
)
def then_few_more(context, duration_s, limit):
    crashed = []

    def crash(node, now_s, server):
        crashed.append(now_s)
        node.record_crash((server, 1), (), DEADLY_CALL, now_s, now_s - 0.05)

    _send_everywhere(context.make_nodes(), 1004.0, duration_s, crash)
    assert 1 <= len(crashed) <= limit, crashed


@behave.then("it is released within {duration_s:d} s if it is sound")
def then_released(context, duration_s):
    answered = []

    def answer(node, now_s, server):
        answered.append(now_s)
        node.record_answer((), now_s, DEADLY_CALL)

    nodes = context.make_nodes()
    _send_everywhere(nodes, 1004.0, duration_s, answer)
    now_s = 1004.0 + duration_s
    for node in nodes.values():
        assert node.refused((), now_s, DEADLY_CALL) is None, answered


@behave.then(
    "it runs again once its crashes have expired since the last look at them"
)
def then_expired(context):
    nodes = context.make_nodes()
    node = nodes["n0"]
    for name, other in nodes.items():
        node.merge(name, other.own_reports(1004.0) if name != "n0" else {})
    first_expires_s = 1000.0 + part_crashes.CRASH_TTL_S
    last_expires_s = first_expires_s + 2.0
    # The causes are derived less often than requests come.
    assert node.refused((), first_expires_s - 0.1, DEADLY_CALL) is not None
    interval_s = 2.0 + 0.1 + part_crashes.UPDATE_INTERVAL_S
    with mock.patch.object(part_crashes, "UPDATE_INTERVAL_S", interval_s):
        node.refused((), last_expires_s + 0.1, DEADLY_CALL)
    assert node.refused((), last_expires_s + 5.0, DEADLY_CALL) is None


# The firms' own entries


class _Entry:
    """The part of an entry that its crash watches use."""

    def __init__(self):
        self.peers = []
        self.suspects = entry_context.SharedSuspects(self._announce)

    def _announce(self, message):
        for peer in self.peers:
            peer.suspects.merge(message)

    def watch(self):
        """Return the watch of a request that is about to be sent."""
        return crash_watch.CrashWatch(self, mock.Mock(request_id="r"), "alike")

    def classify(self):
        return self.suspects.classify("alike")


@behave.given(
    "two entries that share their marks, with four alike requests in hand"
)
def given_entries(context):
    context.entries = _Entry(), _Entry()
    first, second = context.entries
    first.peers, second.peers = [second], [first]
    context.watches = [e.watch() for e in (first, first, second, second)]
    assert not any(watch.check() for watch in context.watches)


@behave.when("the engine of three of them crashes, and then that of the fourth")
def when_engines_crash(context):
    for watch in context.watches:
        watch.record_crash()


@behave.then("such requests run alone, and none is quarantined")
def then_alone(context):
    for entry in context.entries:
        assert entry.classify() == suspects.ISOLATE, entry.classify()


@behave.then("an answer to one of them clears both entries")
def then_cleared(context):
    context.entries[1].watch().record_success()
    for entry in context.entries:
        assert entry.classify() == suspects.CLEAR, entry.classify()


@behave.then("a second crash under one that ran alone quarantines it")
def then_quarantined_alone(context):
    for is_alone in (False, True):
        watch = context.entries[0].watch()
        assert watch.check() == is_alone
        watch.record_crash()
    for entry in context.entries:
        assert entry.classify() == suspects.QUARANTINED, entry.classify()
