"""Steps of part_crashes.feature."""

import itertools
import random
import threading
import time
from unittest import mock

import behave
import msgspec

from bilberryturn.routing import crash_causes
from bilberryturn.routing import part_crashes
from bilberryturn.routing import table
from bilberryturn.routing import types
from soak import testbed as testbed_module
from support import gateway_rig
from support import platform_data
from support import scripted

DEADLY = "dead"
ENGINE = types.Engine(16, 100_000, 3)
# Pauses between two requests. A part at the beginning of the prompt is refused
# once the reports of all nodes can have arrived, which takes 3 s.
PAUSE_S = 0.15
LONG_PAUSE_S = 0.75
# All nodes know within this time that a server has started again.
RESTART_PAUSE_S = 1.6
_ids = itertools.count(1)


def _prompt_headers(parts):
    text = ",".join(f"{part}:100" for part in parts)
    return (
        f"X-Bilberryturn-Prefix-Hash: {text}\r\n"
        f"X-Bilberryturn-Tokens: {100 * len(parts)},20\r\n"
    )


class _CrashingServers:
    """Servers that crash as they begin to answer the deadly part.

    Attributes:
        deadly_count: Requests with the deadly part that reached a server.
    """

    def __init__(self, context, count):
        self.deadly_count = 0
        self._starts = itertools.count(2)
        self._servers = {}
        for number in range(count):
            server = scripted.ScriptedServer(self._script(f"s{number}"))
            context.closers.append(server.close)
            self._servers[f"s{number}"] = gateway_rig.make_server(
                f"s{number}", server.port
            )
        engine_service = types.Service("app", 100, ENGINE, None)
        routes = [
            gateway_rig.make_route("stream"),
            gateway_rig.make_route("resumable", attempts=1),
        ]
        accounts = {
            table.key_hash(gateway_rig.KEY): types.ClientAccount("shop", None)
        }
        route_table = table.RouteTable(
            1, routes, [engine_service], types.Limits(), accounts
        )
        self.rig = gateway_rig.GatewayRig(self._servers.values(), route_table)
        context.closers.append(self.rig.close)

    def _script(self, name):
        def script(peer, head, body, number):
            parts = scripted.header(head, "X-Bilberryturn-Prefix-Hash")
            peer.start_stream(head)
            if DEADLY in parts:
                self.deadly_count += 1
                self.restart(name)
                peer.reset()
                return "close"
            peer.chunk(scripted.event(1))
            peer.chunk(b"")
            return None

        return script

    def restart(self, name):
        """Report a new lifetime of a server, as after a crash."""
        server = self._servers[name]._replace(started_ms=next(self._starts))
        self._servers[name] = server

        async def report():
            self.rig.shared.directory.report(server, time.monotonic())

        self.rig.call(report)


@behave.given(
    "a gateway before {count:d} servers that crash as they answer a part"
    " {place}"
)
def given_servers(context, count, place):
    context.servers = _CrashingServers(context, count)
    context.is_first = "beginning" in place


@behave.when(
    "{count:d} requests with it and 12 sound ones of the same account arrive in"
    " turn"
)
def when_requests(context, count):
    context.deadly_answers = []
    context.sound_answers = []
    for number in range(count):
        last = f"a{number}"
        deadly = ["f1", "f2", DEADLY, last]
        if context.is_first:
            deadly = [DEADLY, f"f{number}", last]
        context.deadly_answers.append(_send(context, deadly))
        sound = ["f1", "f2", f"b{number}"]
        context.sound_answers.append(_send(context, sound))
        time.sleep(LONG_PAUSE_S if context.is_first else PAUSE_S)


def _send(context, parts, kind="stream"):
    data = gateway_rig.request_text(
        kind, f"p{next(_ids)}", extra=_prompt_headers(parts)
    )
    return gateway_rig.send_request(context.servers.rig.port, data)


@behave.given("a gateway that has an idle connection to such a server")
def given_idle(context):
    context.servers = _CrashingServers(context, 1)
    _send_sound(context)


def _send_sound(context):
    """Send a sound request, whose connection is then idle."""
    answer = _send(context, ["f1", "f2", f"b{next(_ids)}"], "resumable")
    assert (answer.status, answer.is_complete) == (200, True), answer.status


@behave.when(
    "{count:d} requests with the part arrive, each after the server has"
    " reconnected"
)
def when_reconnected(context, count):
    for number in range(count):
        _send_sound(context)
        _send(context, ["f1", "f2", DEADLY, f"a{number}"], "resumable")
        time.sleep(LONG_PAUSE_S)


@behave.then("at most {limit:d} requests with the part have reached servers")
def then_few(context, limit):
    assert context.servers.deadly_count <= limit, context.servers.deadly_count


@behave.then("the refused ones are told that they have not run")
def then_refused(context):
    refused = [a for a in context.deadly_answers if a.status == 503]
    assert len(refused) + context.servers.deadly_count >= len(
        context.deadly_answers
    ), [a.status for a in context.deadly_answers]
    assert all(a.header("Retry-After") for a in refused)


@behave.then("all sound requests that share the other parts have their answer")
def then_sound(context):
    statuses = [(a.status, a.is_complete) for a in context.sound_answers]
    assert all(s == (200, True) for s in statuses), statuses


# Evidence without a network


def _crash(server, at_s, *parts, request=None):
    """Return a crash under a request that isn't repeated, unless named."""
    request = request or f"r-{server}-{'-'.join(parts)}"
    return crash_causes.Crash(server, parts, request, at_s)


def _series(times_s, *chains):
    """Return a crash of one server after another, each under all chains."""
    return [
        _crash(f"s{number}", at_s, *chain)
        for number, at_s in enumerate(times_s)
        for chain in chains
    ]


NOW_S = 110.0
# By pattern: crashes, and when parts were last answered. Times in seconds.
PATTERNS = {
    "of two servers": (_series((100, 102), ("f", "dead")), {}),
    "of three servers at one moment": (
        _series((100, 100.1, 100.2), ("f", "dead")),
        {},
    ),
    "of three servers in two incidents": (
        _series((100, 100.1, 101), ("f", "dead")),
        {"f": 99.0},
    ),
    "under parts that always come together": (
        _series((100, 101, 102), ("f", "g", "dead")),
        {},
    ),
    "under a first part with ever other ones behind it": (
        [_crash(f"s{n}", 100 + n, "dead", f"g{n}") for n in range(4)],
        {},
    ),
    "under a part and a sound one that was answered meanwhile": (
        [
            *_series((100, 101, 102), ("f", "dead")),
            _crash("s9", 103, "f", "g"),
        ],
        {"f": 102.5},
    ),
    "under a part and one that ran beside it three times": (
        [
            *_series((100, 101, 102, 103), ("f", "dead")),
            *_series((100, 101, 102), ("h", "beside")),
        ],
        {},
    ),
    "under two parts in turn": (
        [
            _crash(f"s{n}", 100 + n, "f", "dead" if n % 2 else "evil")
            for n in range(6)
        ],
        {"f": 99.0},
    ),
    "at two moments under a part that was answered before": (
        _series((100, 100.1, 101), ("f", "dead")),
        {"f": 99.0, "dead": 99.0},
    ),
    "at three moments under a part that was answered before": (
        _series((100, 101, 102), ("f", "dead")),
        {"f": 101.5, "dead": 99.0},
    ),
    "of three servers before the part's last answer": (
        _series((100, 101, 102), ("f", "dead")),
        {"f": 102.1, "dead": 102.1},
    ),
    "under one request that its caller repeats": (
        [
            *(
                _crash(f"s{n}", 100 + n, "f", "g", request="r1")
                for n in range(4)
            ),
            _crash("s1", 101, "f", "h"),
        ],
        {"f": 99.0},
    ),
    "under a part in requests that their callers repeat once": (
        [
            _crash(f"s{n}", 100 + n, "f", "dead", request=f"r{n // 2}")
            for n in range(4)
        ],
        {"f": 99.0},
    ),
    # The sound part was answered until its requests came no more.
    "under a part and a sound one behind it that stopped coming": (
        _series((100, 101, 102, 103, 104), ("dead", "f")),
        {"f": 101.5},
    ),
    "of a whole failure domain under busy parts": (
        _series((100, 100.2, 100.3, 100.4, 100.7), ("f", "g"), ("h", "i")),
        {"f": 99.9, "g": 97.0, "h": 99.8, "i": 80.0},
    ),
}


@behave.then("crashes {pattern} are put down to {causes}")
def then_causes(context, pattern, causes):
    crashes, answered = PATTERNS[pattern]
    found = crash_causes.find_causes(crashes, answered, NOW_S)
    names = sorted(cause.part for cause in found if not cause.is_request)
    expected = [] if causes == "nothing" else sorted(causes.split(", "))
    assert names == expected, found


def _exchange(nodes, now_s):
    reports = {name: n.own_reports(now_s) for name, n in nodes.items()}
    for name, node in nodes.items():
        for other, found in reports.items():
            if other != name:
                node.merge(other, found)


@behave.given("three nodes that each saw one of three crashes under a part")
def given_nodes(context):
    context.nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(3)}
    for number, node in enumerate(context.nodes.values()):
        node.record_answer(("f",), 999.0 + number)
        node.record_crash(
            (f"s{number}", 7), ("f", DEADLY), f"r{number}", 1000.0 + number
        )


@behave.then("none of them refuses it before they exchanged their reports")
def then_not_yet(context):
    for node in context.nodes.values():
        assert node.refused(("f", DEADLY), 1002.5) is None


@behave.then(
    "all of them refuse it after that, and a node that starts later too"
)
def then_all(context):
    _exchange(context.nodes, 1002.5)
    context.nodes["late"] = part_crashes.PartCrashes()
    _exchange(context.nodes, 1003.0)
    for node in context.nodes.values():
        assert node.refused(("f", DEADLY), 1003.0).part == DEADLY
        assert node.refused(("f", "g"), 1003.0) is None


@behave.then("they accept it again when the crashes have expired")
def then_expired(context):
    expired_s = 1002.0 + part_crashes.CRASH_TTL_S
    for node in context.nodes.values():
        assert node.refused(("f", DEADLY), expired_s) is None


def _quiet(nodes, now_s):
    for step in range(100):
        _exchange(nodes, now_s + step)
    return now_s + 100.0


def _many_prompts(nodes, now_s):
    for number in range(50):
        parts = (f"i{number}", f"j{number}")
        nodes["n2"].record_crash((f"t{number}", 1), parts, f"q{number}", now_s)
    _exchange(nodes, now_s)
    _exchange(nodes, now_s + 1.0)
    return now_s + 4.0


ANSWERED_CASES = {
    "and then nobody sent for 100 s": _quiet,
    "beside those of 50 other prompts": _many_prompts,
}


@behave.then(
    "a part that another node saw answered after its crashes {case} is not"
    " refused"
)
def then_answered(context, case):
    nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(3)}
    for number in range(4):
        crashed_s = 1000.0 + number
        nodes["n0"].record_crash(
            (f"s{number}", 7), ("f", f"g{number}"), f"r{number}", crashed_s
        )
        nodes["n1"].record_answer(("f", f"h{number}"), crashed_s + 0.5)
        _exchange(nodes, crashed_s + 0.5)
        _exchange(nodes, crashed_s + 0.7)
    now_s = ANSWERED_CASES[case](nodes, 1004.0)
    for name, node in nodes.items():
        assert node.refused(("f", "new"), now_s) is None, name


@behave.given(
    "three crashes of prompts with {count:d} shared parts that have the first"
    " alone in common"
)
def given_first_in_common(context, count):
    context.node = part_crashes.PartCrashes()
    for number in range(3):
        others = [f"g{number}-{n}" for n in range(count - 1)]
        crashed_s = 1000.0 + number
        context.node.record_crash(
            (f"s{number}", 1), (DEADLY, *others), f"r{number}", crashed_s
        )


@behave.then("the first part is refused and the others are not")
def then_only_first_refused(context):
    assert context.node.refused((DEADLY,), 1006.0) is not None
    assert context.node.refused(("g0-0", "g2-13"), 1006.0) is None


PLACES = {"beginning": 0.0, "middle": 0.5, "end": 1.0}


def _long_prompt(number, count, place, deadly=DEADLY):
    """Return parts that no other prompt has, but for the deadly one."""
    parts = [f"{number:04x}{n:04x}" for n in range(count)]
    parts[int(PLACES[place] * (count - 1))] = deadly
    return tuple(parts)


@behave.given(
    "three nodes that each saw a crash of a prompt with {count:d} shared parts"
    " that have the one at the {place:w} alone in common"
)
def given_long_prompts(context, count, place):
    context.nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(3)}
    for number, node in enumerate(context.nodes.values()):
        prompt = _long_prompt(number, count, place)
        node.record_crash(
            (f"s{number}", 1), prompt, f"r{number}", 1000.0 + number
        )


@behave.when("they exchange their reports")
def when_exchange(context):
    for now_s in (1003.0, 1004.0, 1005.0):
        _exchange(context.nodes, now_s)


def _check_refused(nodes, now_s, deadly, count=400):
    for name, node in nodes.items():
        cause = node.refused((deadly,), now_s)
        assert cause is not None and cause.part == deadly, name
        for number in range(8):
            others = [
                part
                for part in _long_prompt(number, count, "end")
                if part != deadly
            ]
            assert node.refused(tuple(others), now_s) is None, name


@behave.then("all of them refuse that part and no other one")
def then_first_refused(context):
    _check_refused(context.nodes, 1006.5, DEADLY)


@behave.given(
    "{nodes:d} nodes of which each sees a crash of another prompt of {count:d}"
    " shared parts in turn, with the one at the {place:w} alone in common"
)
def given_more_than_reported(context, nodes, count, place):
    context.node_count = nodes
    context.place, context.part_count = place, count


@behave.then(
    "all of them refuse that part and no other one after {crashes:d} crash of"
    " each, whatever its name"
)
def then_found_in_part(context, crashes):
    for deadly in ("dead", "beef", "cafe", "f00d", "5eed", "c0de"):
        nodes = {
            f"n{n}": part_crashes.PartCrashes()
            for n in range(context.node_count)
        }
        now_s = 1000.0
        for number in range(crashes * len(nodes)):
            node = nodes[f"n{number % len(nodes)}"]
            prompt = _long_prompt(
                number, context.part_count, context.place, deadly
            )
            node.record_crash((f"s{number}", 1), prompt, f"r{number}", now_s)
            now_s += 1.0
            _exchange(nodes, now_s)
        _check_refused(nodes, now_s + 3.0, deadly, context.part_count)


@behave.given(
    "three nodes that each saw a crash in a conversation with {count:d} shared"
    " parts"
)
def given_conversation(context, count):
    context.nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(3)}
    context.prompt = _long_prompt(0, count, "middle")
    for number, node in enumerate(context.nodes.values()):
        node.record_crash(
            (f"s{number}", 1), context.prompt, f"r{number}", 1000.0 + number
        )


@behave.given(
    "a fourth one that saw it answered without the part in the middle"
)
def given_answered_prompt(context):
    sound = tuple(part for part in context.prompt if part != DEADLY)
    context.nodes["n3"] = part_crashes.PartCrashes()
    context.nodes["n3"].record_answer(sound, 1002.5)


@behave.then("all of them refuse the part in the middle and no other one")
def then_middle_refused(context):
    _check_refused(context.nodes, 1006.5, DEADLY, len(context.prompt))


def _many_crashes(count, parts, kind):
    node = part_crashes.PartCrashes()
    for number in range(count):
        prompt = _long_prompt(
            number if kind == "other" else 0, parts, "beginning"
        )
        node.record_crash(
            (f"server-{number}", 1_700_000_000_000),
            prompt,
            f"{number:08x}-{number:08x}",
            1000.0 + number,
        )
        node.record_answer(prompt[1::2], 1000.5 + number)
    return node


@behave.then(
    "a node that saw {count:d} crashes and answers of prompts with {parts:d}"
    " {kind:w} parts reports under {limit:d} bytes"
)
def then_small(context, count, parts, kind, limit):
    node = _many_crashes(count, parts, kind)
    reports = node.own_reports(1000.0 + count)
    assert reports
    size_bytes = len(msgspec.json.encode(reports))
    assert size_bytes < limit, size_bytes


@behave.given(
    "a node that saw crashes of prompts with {count:d} shared parts while its"
    " clock was {ahead_s:d} s ahead"
)
def given_clock_ahead(context, count, ahead_s):
    context.node = part_crashes.PartCrashes()
    for number in range(3):
        prompt = _long_prompt(number, count, "beginning")
        context.node.record_crash(
            (f"s{number}", 1), prompt, f"r{number}", 1000.0 + ahead_s
        )


@behave.then("it reports in each of the next {duration_s:d} s")
def then_reports(context, duration_s):
    for step in range(duration_s * 4):
        reports = context.node.own_reports(1000.0 + step / 4)
        is_dated = step / 4 > 5.0
        assert bool(reports) == is_dated, (step, reports)


@behave.then(
    "the search in {count:d} crashes of prompts with 400 {kind:w} parts looks"
    " at a part at most {limit:d} times"
)
def then_few_steps(context, count, kind, limit):
    crashes = [
        crash_causes.Crash(
            f"s{number}",
            _long_prompt(number if kind == "other" else 0, 400, "beginning"),
            f"r{number}",
            1000.0 + number,
        )
        for number in range(count)
    ]
    evidence = crash_causes._Evidence
    with mock.patch.object(
        evidence, "_cause", autospec=True, side_effect=evidence._cause
    ) as look:
        causes = crash_causes.find_causes(crashes, {}, 1100.0)
    assert len(causes) == 1, causes
    assert look.call_count <= limit, look.call_count


NAMES = {
    "of 8 digits": "{:08x}",
    "of 3000 digits": "{:03000x}",
    "with colons": "a:{}:b",
    "not in ASCII": "\xe9{}",
}


@behave.given(
    "a node that saw {count:d} crashes of prompts with parts whose names are"
    " {names}"
)
def given_names(context, count, names):
    context.node = part_crashes.PartCrashes()
    for number in range(count):
        others = [NAMES[names].format(number * 100 + n) for n in range(9)]
        context.node.record_crash(
            (f"server-{number}", 1_700_000_000_000),
            (DEADLY, *others),
            NAMES[names].format(number),
            1000.0 + number / 10,
        )


@behave.then("its reports are under {limit:d} bytes")
def then_size(context, limit):
    size_bytes = len(msgspec.json.encode(context.node.own_reports(1010.0)))
    assert size_bytes < limit, size_bytes


@behave.then("another node that merges them refuses no part but the first")
def then_only_first(context):
    other = part_crashes.PartCrashes()
    other.merge("n1", context.node.own_reports(1010.0))
    assert other.refused((DEADLY,), 1010.0) is not None
    assert [cause.part for cause in other.new_causes()] == [DEADLY]


@behave.given(
    "a node whose clock was {error_s:d} s off as it saw a part answered"
)
def given_wrong_clock(context, error_s):
    context.nodes = {f"n{n}": part_crashes.PartCrashes() for n in range(3)}
    for at_s in (990.0, 990.0 + error_s):
        context.nodes["n0"].record_answer(("f", DEADLY), at_s)
    # It asks for the first time with that clock, too.
    context.nodes["n0"].refused(("f",), 990.0 + error_s)


@behave.when(
    "three servers crash under the part and the nodes exchange their reports"
)
def when_crashes(context):
    for number, node in enumerate(context.nodes.values()):
        crashed_s = 1000.0 + number
        node.record_crash(
            (f"s{number}", 7), ("f", DEADLY), f"r{number}", crashed_s
        )
        for other in context.nodes.values():
            other.record_answer(("f",), crashed_s + 0.5)
    for now_s in (1003.0, 1004.0, 1005.0):
        _exchange(context.nodes, now_s)


@behave.then("all of these nodes refuse the part")
def then_all_refuse(context):
    for name, node in context.nodes.items():
        assert node.refused(("f", "g"), 1006.0) is None, name
        cause = node.refused(("f", DEADLY), 1006.0)
        assert cause is not None and cause.part == DEADLY, name


@behave.given(
    "{nodes:d} nodes that report {crashes:d} crashes within {duration_s:d} s"
)
def given_many_reports(context, nodes, crashes, duration_s):
    rng = random.Random(1)
    others = [part_crashes.PartCrashes() for _ in range(nodes)]
    context.reports = []
    for number in range(crashes):
        now_s = 1000.0 + number * duration_s / crashes
        name = rng.randrange(nodes)
        parts = ("f1", DEADLY if number % 4 == 0 else f"g{number}")
        others[name].record_crash(
            (f"s{number // 4}", 1), parts, f"r{number}", now_s
        )
        found = others[name].own_reports(now_s)
        context.reports.append((now_s, f"n{name}", found))


@behave.then(
    "a node that checks {requests:d} requests meanwhile weighs them at most"
    " {limit:d} times"
)
def then_weighed(context, requests, limit):
    node = part_crashes.PartCrashes()
    checks = requests // len(context.reports)
    with mock.patch.object(
        crash_causes, "find_causes", wraps=crash_causes.find_causes
    ) as find_causes:
        for now_s, name, found in context.reports:
            node.merge(name, found)
            for _ in range(checks):
                node.refused(("f1", "x"), now_s)
    assert find_causes.call_count <= limit, find_causes.call_count
    last_s = context.reports[-1][0]
    assert node.refused(("f1", DEADLY), last_s + 1.0).part == DEADLY


@behave.then("a node whose reports were malformed changes nothing")
def then_malformed(context):
    node = part_crashes.PartCrashes()
    names = ("crash:", "crash:::", "crash:s/1:", "answered:", "crash", "x")
    node.merge("n9", {name: 1_000_000 for name in names})
    assert node.refused(("", "f"), 1000.0) is None
    assert crash_causes.find_causes([], {}, 1000.0) == []


# Node processes


class _CrashLog:
    """Servers that crash on each request and start again.

    Crashes count by the first part of the prompt, or else by the path.

    Attributes:
        testbed: Registers the servers; set once it has started.
    """

    def __init__(self):
        self.testbed = None
        self._crashes = {}
        self._starts = itertools.count(1)
        self._lock = threading.Lock()

    def answer(self, peer, head, body, number):
        parts = scripted.header(head, "X-Bilberryturn-Prefix-Hash")
        deadly = (parts or head.split(" ")[1]).partition(":")[0]
        server = scripted.header(head, "X-Bilberryturn-Expect-Instance")
        with self._lock:
            self._crashes[deadly] = self.count(deadly) + 1
            entry = self.testbed.entry(server, 1)
            entry["born"] = next(self._starts)
            self.testbed.store.put("servers", server, entry)
        peer.reset()
        return "close"

    def count(self, part):
        """Return the number of servers that crashed under a part."""
        return self._crashes.get(part, 0)


@behave.given(
    "{count:d} node processes of one failure domain before 3 servers that crash"
)
def given_processes(context, count):
    context.crash_log = _CrashLog()
    context.testbed = testbed_module.start(
        context, count, context.crash_log.answer
    )
    context.crash_log.testbed = context.testbed
    nodes = context.testbed.nodes
    platform_data.wait_for(
        lambda: all(
            '"is_ready": true' in n.log_path.read_text("utf-8") for n in nodes
        ),
        30,
        lambda: "the nodes are not ready",
    )
    # The nodes know each other and have found their relay.
    time.sleep(6)


def _send_to(node, part):
    request = f"p{next(_ids)}"
    return _send_to_node(
        node,
        gateway_rig.request_text(
            "stream",
            request,
            key="key-a",
            extra=_prompt_headers([part, request]),
            body=request.encode(),
        ),
    )


def _send_to_node(node, data):
    connection = gateway_rig.connect(node.port, node.ip)
    try:
        return gateway_rig.send_request(node.port, data, connection)
    finally:
        connection.close()


@behave.when("each node in turn sees 3 crashes under a part of its own")
def when_each_sees(context):
    context.parts = {}
    for number, node in enumerate(context.testbed.nodes):
        part = context.parts[node.name] = f"{DEADLY}{number}"

        def has_crashed(node=node, part=part):
            _send_to(node, part)
            time.sleep(RESTART_PAUSE_S)
            return context.crash_log.count(part) >= 3

        platform_data.wait_for(has_crashed, 20, lambda: context.crash_log)


@behave.then(
    "{delay_s:d} s after the crashes the other nodes refuse each of the parts"
)
def then_others_refuse(context, delay_s):
    time.sleep(delay_s)
    for observer, part in context.parts.items():
        for node in context.testbed.nodes:
            answer = _send_to(node, part)
            count = context.crash_log.count(part)
            assert (answer.status, count) == (503, 3), (
                f"{node.name} did not refuse the part that {observer} saw",
                answer.status,
                count,
            )


def _send_deadly_to(node):
    return _send_to_node(
        node,
        gateway_rig.request_text(
            "unsafe", f"p{next(_ids)}", key="key-a", path=DEADLY
        ),
    )


@behave.when("the same request crashes a server at each node in turn")
def when_same_request(context):
    for node in context.testbed.nodes:
        _send_deadly_to(node)
        time.sleep(RESTART_PAUSE_S)


@behave.then("{delay_s:d} s after the third crash all of them refuse it")
def then_all_refuse(context, delay_s):
    time.sleep(delay_s - RESTART_PAUSE_S)
    for node in context.testbed.nodes:
        answer = _send_deadly_to(node)
        count = context.crash_log.count(f"/unsafe/{DEADLY}")
        assert (answer.status, count) == (503, 3), (
            f"{node.name} did not refuse the request",
            answer.status,
            count,
        )


class _Fleet:
    """Servers and nodes under seeded traffic, in steps of 0.05 s.

    Attributes:
        deadly_crash_times_s: Times of the crashes by the deadly part.
        late_count: Requests with the part that were sent later than 4 s after
            its fifth crash.
        refused_sound: Sound parts that a node refused.
    """

    SERVERS = 6
    NODES = 9
    STEP_S = 0.05
    RESTART_S = 3.2
    ANSWER_S = 2.0
    PREFILL_S = 0.4
    EXCHANGE_S = 2.0
    LATE_S = 4.0

    def __init__(self, seed, share, exchange_s=EXCHANGE_S, place=None):
        self._exchange_s = exchange_s
        self._place = place
        self._sent_count = 0
        self._rng = random.Random(seed)
        self._share = share
        self._nodes = {
            f"n{n}": part_crashes.PartCrashes() for n in range(self.NODES)
        }
        self._up_at_s = [0.0] * self.SERVERS
        self._starts = [0] * self.SERVERS
        self._running = []
        self.deadly_crash_times_s = []
        self.late_count = 0
        self.refused_sound = set()

    def run(self, duration_s):
        now_s = 1000.0
        next_exchange_s = now_s
        outage_s = now_s + self._rng.uniform(2, duration_s)
        end_s = now_s + duration_s
        while now_s < end_s:
            now_s += self.STEP_S
            self._finish(now_s)
            if self._rng.random() < 0.35:
                self._send(now_s)
            if now_s >= outage_s:
                # All servers of one failure domain end together.
                outage_s = end_s
                for server in (0, 1, 2):
                    self._crash(server, now_s)
            if now_s >= next_exchange_s:
                next_exchange_s = now_s + self._exchange_s
                _exchange(self._nodes, now_s)

    def _parts(self):
        if self._place is not None:
            return self._long_parts()
        first = self._rng.choice(("f1", "f1", "f2", "f3"))
        if self._rng.random() < self._share:
            return ("f1", DEADLY)
        return (first, f"g{self._rng.randrange(30)}")

    def _long_parts(self):
        """Return a conversation of 400 parts, the first of two that repeat."""
        self._sent_count += 1
        # Sound requests come first, about 10 s long.
        is_deadly = self._sent_count > 70 and self._rng.random() < self._share
        if self._place == "first, others never again":
            number = self._rng.randrange(2**16)
            first = DEADLY if is_deadly else f"f{number % 3}"
            return (first, *(f"{number:04x}{n:04x}" for n in range(399)))
        conversation = self._rng.randrange(2)
        parts = [f"c{conversation}{n:04x}" for n in range(400)]
        if is_deadly:
            parts[200] = DEADLY
        return tuple(parts)

    def _send(self, now_s):
        node = self._nodes[self._rng.choice(list(self._nodes))]
        parts = self._parts()
        cause = node.refused(parts, now_s)
        if cause is not None:
            if cause.part != DEADLY:
                self.refused_sound.add(cause.part)
            return
        servers = [s for s, at_s in enumerate(self._up_at_s) if now_s >= at_s]
        if not servers:
            return
        if DEADLY in parts and len(self.deadly_crash_times_s) >= 5:
            late_s = self.deadly_crash_times_s[4] + self.LATE_S
            self.late_count += now_s > late_s
        server = self._rng.choice(servers)
        self._running.append((server, node, parts, now_s + self.PREFILL_S))

    def _finish(self, now_s):
        for entry in list(self._running):
            server, node, parts, first_s = entry
            if entry not in self._running:
                continue
            if DEADLY in parts and now_s >= first_s:
                self.deadly_crash_times_s.append(now_s)
                self._crash(server, now_s)
            elif now_s >= first_s + self.ANSWER_S:
                self._running.remove(entry)
                node.record_answer(parts, now_s)

    def _crash(self, server, now_s):
        lifetime = (f"s{server}", self._starts[server])
        self._starts[server] += 1
        self._up_at_s[server] = now_s + self.RESTART_S
        for entry in [e for e in self._running if e[0] == server]:
            self._running.remove(entry)
            _, node, parts, first_s = entry
            if now_s - first_s >= part_crashes.SOUND_ANSWER_S:
                node.record_answer(parts, now_s)
            else:
                request = f"r{first_s}{node}"
                node.record_crash(lifetime, parts, request, now_s)


@behave.then(
    "in {runs:d} seeded runs at share {share:g} the part is refused within 5"
    " crashes and 4 s, and no sound part is"
)
def then_random(context, runs, share):
    for seed in range(runs):
        fleet = _Fleet(seed, share)
        fleet.run(40.0)
        assert fleet.late_count <= 3, (seed, fleet.late_count)
        assert not fleet.refused_sound, (seed, fleet.refused_sound)


@behave.then(
    "in {runs:d} seeded runs with an exchange of reports every {exchange_s:g} s"
    " the part is refused in time, and no sound part is"
)
def then_random_late(context, runs, exchange_s):
    for seed in range(runs):
        fleet = _Fleet(seed, 0.05, exchange_s)
        fleet.run(40.0)
        assert fleet.late_count <= 3, (seed, fleet.late_count)
        assert not fleet.refused_sound, (seed, fleet.refused_sound)


@behave.given(
    "{runs:d} seeded runs of traffic with 400 parts, the deadly one {place}"
)
def given_long_runs(context, runs, place):
    context.fleets = [_Fleet(seed, 0.2, place=place) for seed in range(runs)]
    for fleet in context.fleets:
        fleet.run(50.0)
        assert len(fleet.deadly_crash_times_s) >= 3, "too few crashes"


@behave.then("in each run the part is refused within 5 crashes and 4 s")
def then_refused_in_time(context):
    late = [fleet.late_count for fleet in context.fleets]
    assert max(late) <= 3, late


@behave.then("in no run a sound part is refused")
def then_no_sound(context):
    refused = [fleet.refused_sound for fleet in context.fleets]
    assert not any(refused), refused
