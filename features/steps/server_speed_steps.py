"""Steps of server_speeds.feature: decisions on a small model of engines."""

import time

import behave
import msgspec

from bilberryturn.edge import feeds
from bilberryturn.edge import peer_state
from bilberryturn.edge import relays
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.routing import answer_gaps
from bilberryturn.routing import server_speeds
from bilberryturn.routing import speed_samples
from bilberryturn.routing import types
from support import engine_model
from support import gateway_rig
from support import scripted

# A day of the deployment.
RUN_S = 42.0
URGENT = engine_model.KINDS[0]


@behave.given(
    "73 nodes in 6 failure domains and 70 engines of speeds {first:g},"
    " {second:g} and {third:g}"
)
def given_deployment(context, first, second, third):
    context.deploy = lambda uses_speeds: engine_model.Deployment(
        uses_speeds, (first, second, third)
    )


@behave.when("the same traffic runs with fixed costs and with measured speeds")
def when_both(context):
    context.fixed, context.measured = (
        context.deploy(False),
        context.deploy(True),
    )
    context.fixed.run(RUN_S)
    context.measured.run(RUN_S)


@behave.then("at least 15 in 100 more of the urgent streams are on time")
def then_urgent(context):
    before = context.fixed.on_time(URGENT)
    after = context.measured.on_time(URGENT)
    assert after >= before + 0.15, (before, after)


@behave.then("no kind is on time less often by more than 2 in 100")
def then_others(context):
    for kind in engine_model.KINDS:
        before = context.fixed.on_time(kind)
        after = context.measured.on_time(kind)
        assert after >= before - 0.02, (kind, before, after)


@behave.then(
    "the busiest engine gets at most 1.5 times the mean by what it takes"
)
def then_busiest(context):
    busiest = context.measured.busiest()
    assert busiest <= 1.5, (context.fixed.busiest(), busiest)


@behave.then("no poll was longer than 4 KB")
def then_poll(context):
    assert 0 < context.measured.poll_bytes <= 4096, context.measured.poll_bytes


@behave.when("one engine is 3 times slower from 10 s to 20 s")
def when_slow(context):
    context.control, context.measured = (
        context.deploy(True),
        context.deploy(True),
    )
    context.control.run(36.0)
    # An engine with steady traffic, so that less of it is no chance.
    context.engine = max(
        range(engine_model.ENGINES),
        key=lambda n: _count(context.control, n, 10.0, 36.0),
    )
    engine = context.measured.engines[context.engine]
    engine.slowdown = lambda now_s: 3.0 if 10 <= now_s < 20 else 1.0
    context.measured.run(36.0)


def _count(deployment, number, from_s, to_s):
    return sum(
        engine is deployment.engines[number] and from_s <= sent_s < to_s
        for sent_s, engine, _ in deployment.started
    )


def _counts(context, from_s, to_s):
    return [
        _count(deployment, context.engine, from_s, to_s)
        for deployment in (context.control, context.measured)
    ]


@behave.then(
    "from 15 s to 20 s it gets less than half of what it gets otherwise"
)
def then_left(context):
    without, with_slowness = _counts(context, 15.0, 20.0)
    assert with_slowness < without / 2, (without, with_slowness)


@behave.then("from 30 s on it gets at least half of that")
def then_used(context):
    without, with_slowness = _counts(context, 30.0, 36.0)
    assert with_slowness >= without / 2, (without, with_slowness)


@behave.then("all choices are the same")
def then_same(context):
    choices = [
        [(s, e.server.server_id) for s, e, _ in deployment.started]
        for deployment in (context.fixed, context.measured)
    ]
    assert choices[0] == choices[1]
    assert len(choices[0]) > 5000, len(choices[0])


def _measure(speeds, server, factor, answers, now_s=100.0):
    for answer in answers:
        speeds.observe_first_event(
            server.lifetime, answer, 3000, 4, 0.1 * factor, now_s
        )
        speeds.observe_gap(
            server.lifetime, answer, 0.03 * factor, 0.06 * factor, now_s
        )


@behave.given("estimates of two servers from 4 answers each")
def given_estimates(context):
    context.servers = [
        gateway_rig.make_server(name, 80, service="llm") for name in "ab"
    ]
    context.speeds = server_speeds.ServerSpeeds()
    context.speeds.retain(context.servers)
    for server, factor in zip(context.servers, (1.0, 3.0), strict=True):
        _measure(context.speeds, server, factor, range(4))
    assert context.speeds.service("llm", 100.5) is not None


def _estimates(context, now_s):
    context.speeds.service("llm", now_s)
    return [
        (context.speeds.relative_speed(s.lifetime), high_gap)
        for s in context.servers
        if (high_gap := context.speeds.high_gap_s(s.lifetime))
    ]


@behave.then("an answer 50 times slower or faster changes no estimate")
def then_robust(context):
    before = _estimates(context, 101.0)
    assert before[0][0] > 1.3 * before[1][0], before
    for now_s, factor in ((102.0, 50.0), (103.0, 0.02)):
        _measure(context.speeds, context.servers[0], factor, (4,), now_s - 0.1)
        assert _estimates(context, now_s) == before


@behave.then(
    "the estimates {estimates} and the samples {samples} change nothing"
)
def then_dropped(context, estimates, samples):
    before = _estimates(context, 101.0)
    key = speed_samples.key(context.servers[0].lifetime)
    context.estimates = estimates.replace("K", key).encode()
    samples = samples.replace("K", key).encode()
    assert context.speeds.merge(context.estimates, 101.5) is not None
    assert context.speeds.merge_samples("n", samples, 101.5) is not None
    assert _estimates(context, 102.0) == before


@behave.then("the rest of a peer's message is applied")
def then_rest(context):
    shared = shared_state.SharedState(
        "d", shared_state.RetryLimits(0.2, 9.0, 1.0), 5.0,
        upstream.ConnectionPool(),
    )  # fmt: skip
    applier = feeds.Applier(shared, peer_state.RawState(), "n")
    state = peer_state.PeerState("r", None, {}, 1.0, 1.0, 1.0, 1.0)
    state.server_speeds = msgspec.Raw(context.estimates)
    applier.apply_peer_state(state, time.monotonic())
    assert applier.peer_revision == "r"


@behave.when("one of them starts again")
def when_restarts(context):
    context.former = context.servers[0]
    context.servers[0] = context.former._replace(started_ms=2)
    context.speeds.retain(context.servers)


@behave.then(
    "its estimate is the typical one, whatever comes of its former lifetime"
)
def then_typical(context):
    _measure(context.speeds, context.former, 9.0, range(4), 101.0)
    samples = msgspec.json.encode(
        {speed_samples.key(context.former.lifetime): [9, 40, 41, 42]}
    )
    assert context.speeds.merge_samples("n", samples, 101.0) is None
    context.speeds.service("llm", 101.5)
    for lifetime in (context.former.lifetime, context.servers[0].lifetime):
        assert context.speeds.relative_speed(lifetime) == 1.0
        assert context.speeds.high_gap_s(lifetime) is None


@behave.then("reads at {reads} give gaps of {low:d} and {high:d} ms")
def then_gaps(context, reads, low, high):
    taken = []

    class Speeds:
        def observe_gap(self, lifetime, answer, low_s, high_s, now_s):
            taken.append((round(low_s * 1000), round(high_s * 1000)))

    gaps, late_s = answer_gaps.AnswerGaps(Speeds(), ("a", 1), 0), -1.0
    for number, read in enumerate(reads.split()):
        at_ms, _, count = read.partition(":")
        at_ms, _, is_late = at_ms.partition("!")
        late_s = int(at_ms) / 1000 if is_late else late_s
        gaps.record_events(int(count or 1), number, int(at_ms) / 1000, late_s)
    gaps.end(9.0, late_s)
    assert taken == [(low, high)], taken


@behave.given(
    "a node and its relay with all that they can measure of 123 servers"
)
def given_full(context):
    servers = [
        gateway_rig.make_server(f"s{n}", 80, service="llm") for n in range(123)
    ]
    node, relay = server_speeds.ServerSpeeds(), server_speeds.ServerSpeeds()
    for speeds in (node, relay):
        speeds.retain(servers)
        for number, server in enumerate(servers):
            _measure(speeds, server, 0.05 if number % 2 else 50, range(8))
            speeds.observe_work(server.lifetime, 1e7, 100.0)
    context.request = msgspec.json.encode(node.own_samples(100.1))
    context.reply = relay.combined(100.1)
    assert len(msgspec.json.decode(context.reply)["servers"]) == 123


@behave.then("samples and estimates together have at most 4096 bytes")
def then_small(context):
    size = len(context.request) + len(context.reply)
    assert 2000 < size <= 4096, size


@behave.then(
    "a request and a reply without the new fields are decoded and change"
    " nothing"
)
def then_older(context):
    request = relays.StateRequest("n", "", {}, {})
    state = peer_state.PeerState("r", None, None, 1.0, 1.0, 1.0, 1.0)
    for message, field in (
        (request, "speed_samples"), (state, "server_speeds"),
    ):  # fmt: skip
        older = msgspec.json.decode(msgspec.json.encode(message))
        del older[field]
        decoded = msgspec.json.decode(
            msgspec.json.encode(older), type=type(message)
        )
        assert bytes(getattr(decoded, field)) == peer_state.NO_SPEEDS


@behave.given("a gateway before an engine that streams 8 events 30 ms apart")
def given_engine(context):
    def stream(peer, head, body, number):
        peer.start_stream(head)
        for event in range(8):
            time.sleep(0.03)
            peer.chunk(scripted.event(event + 1))
        peer.chunk(b"")

    engine = scripted.ScriptedServer(stream)
    routes = gateway_rig.make_table()
    routes.services["app"] = types.Service("app", 9, engine_model.ENGINE, None)
    server = gateway_rig.make_server("a", engine.port)
    context.rig = gateway_rig.GatewayRig([server], routes)
    context.closers.extend([context.rig.close, engine.close])
    context.rig.shared.server_speeds.retain([server])


@behave.when("a caller requests a stream with a prompt")
def when_stream(context):
    extra = (
        "X-Bilberryturn-Tokens: 3000,32\r\n"
        "X-Bilberryturn-Prefix-Hash: p:2000,q:1000\r\n"
    )
    answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text("stream", "s1", extra=extra)
    )
    assert answer.status == 200 and answer.is_complete, answer.head


@behave.then(
    "the gateway has samples of the first event, low and high gaps and work"
)
def then_samples(context):
    found = context.rig.shared.server_speeds.own_samples(time.monotonic())
    (values,) = found.values()
    kinds = {
        value // (speed_samples.MAX_BUCKET + 1) % len(speed_samples.Kind)
        for value in values[1:]
    }
    assert values[0] > 0 and kinds == set(speed_samples.Kind), found
