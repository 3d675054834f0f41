"""Steps of software_versions.feature."""

import time

import behave

from bilberryturn.routing import types
from support import gateway_rig
from support import scripted

EVENTS = 5
EVENTS_BEFORE_BREAK = 2


def _event(version, number):
    return b"id: %d\ndata: %s\n\n" % (number, version.encode())


def _script(version, breaks_after=None):
    """Return the script of a server that names its version in each event."""

    def answer(peer, head, body, number):
        begin = int(scripted.header(head, "Last-Event-Id") or 0)
        peer.start_stream(head)
        for event in range(begin + 1, EVENTS + 1):
            if breaks_after is not None and event > breaks_after:
                return "close"
            peer.chunk(_event(version, event))
        peer.chunk(b"")
        return None

    return answer


def _start_servers(context, versions, scripts):
    context.servers = []
    backend_servers = []
    for number, (version, script) in enumerate(
        zip(versions, scripts, strict=True)
    ):
        server = scripted.ScriptedServer(script)
        context.closers.append(server.close)
        context.servers.append(server)
        backend_servers.append(
            gateway_rig.make_server(
                f"s{number}", server.port, software_version=version
            )
        )
    return backend_servers


def _start_rig(context, versions, scripts):
    backend_servers = _start_servers(context, versions, scripts)
    context.rig = gateway_rig.GatewayRig(backend_servers)
    context.closers.append(context.rig.close)


@behave.given(
    "servers of versions {versions} of which the first breaks streams off"
)
def given_breaking(context, versions):
    names = versions.split(", ")
    first, *others = names
    scripts = [_script(first, EVENTS_BEFORE_BREAK), *map(_script, others)]
    _start_rig(context, names, scripts)


@behave.given(
    "servers of versions {versions} of which the first breaks answers off"
    " before any event"
)
def given_silent(context, versions):
    names = versions.split(", ")
    first, *others = names
    _start_rig(context, names, [_script(first, 0), *map(_script, others)])


@behave.when("a caller asks for a stream")
def when_asks(context):
    context.answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text("resumable", "r1")
    )


def _versions(body):
    lines = body.decode().splitlines()
    return [line[6:] for line in lines if line.startswith("data: ")]


@behave.then("the answer is {how} and all of it is from version {version}")
def then_from(context, how, version):
    found = _versions(context.answer.body)
    count = {"whole": EVENTS, "cut": EVENTS_BEFORE_BREAK}[how]
    assert context.answer.is_complete == (how == "whole")
    assert found == [version] * count, found


@behave.given("servers of versions {versions} of engines that can be moved")
def given_movable(context, versions):
    names = versions.split(", ")
    backend_servers = _start_servers(
        context, names, [_holding_script(name) for name in names]
    )
    engine = types.Engine(8, 100_000, 1, can_move=True)
    route_table = gateway_rig.make_table()
    route_table.services["app"] = types.Service("app", 100, engine, None)
    context.backend_servers = backend_servers
    context.rig = gateway_rig.GatewayRig(backend_servers, route_table)
    context.closers.append(context.rig.close)


def _holding_script(version):
    """Return the script of a server whose streams stop after two events."""

    def answer(peer, head, body, number):
        if " /kv-move " in head:
            return "close"
        peer.start_stream(head)
        for event in range(1, EVENTS_BEFORE_BREAK + 1):
            peer.chunk(_event(version, event))
        time.sleep(3)
        return "close"

    return answer


@behave.when(
    "a stream runs at version {version} and its engine is about to end"
)
def when_ends(context, version):
    connection = gateway_rig.connect(context.rig.port)
    context.closers.append(connection.close)
    connection.sendall(gateway_rig.request_text("resumable", "r1"))
    received = b""
    while received.count(b"data: ") < EVENTS_BEFORE_BREAK:
        received += connection.recv(65536)
    assert b"data: %s" % version.encode() in received
    number = next(i for i, s in enumerate(context.servers) if s.requests)
    ending = context.backend_servers[number]

    async def end():
        shared, now_s = context.rig.shared, time.monotonic()
        shared.directory.report(
            ending._replace(is_leaving=True, leaves_in_s=1.0, sequence=2), now_s
        )
        shared.evacuation.step(now_s)

    context.rig.call(end)
    context.ending = context.servers[number]
    time.sleep(0.5)


@behave.then("the stream is not moved")
def then_not_moved(context):
    heads = [head for head, _ in context.ending.requests]
    assert len(heads) == 1, heads


@behave.given("a route that is split between two services")
def given_split(context):
    backend_servers = [
        server._replace(service=service)
        for server, service in zip(
            _start_servers(
                context, ["v1", "v1"], [_script("first"), _script("second")]
            ),
            ("app", "other"),
            strict=True,
        )
    ]
    targets = (types.Target("app", 1.0), types.Target("other", 1.0))
    route_table = gateway_rig.make_table(targets=targets)
    route_table.services["other"] = types.Service("other", 100, None, None)
    context.rig = gateway_rig.GatewayRig(backend_servers, route_table)
    context.closers.append(context.rig.close)


@behave.when(
    "{count:d} callers each begin a stream and take it up by its first request"
)
def when_all_take_up(context, count):
    context.streams = []
    for number in range(count):
        texts = (
            gateway_rig.request_text("resumable", f"a{number}"),
            gateway_rig.request_text(
                "resumable",
                f"b{number}",
                extra=f"Last-Event-Id: 2\r\nResumes: a{number}\r\n",
            ),
        )
        answers = [
            gateway_rig.send_request(context.rig.port, text) for text in texts
        ]
        context.streams.append(
            {version for a in answers for version in _versions(a.body)}
        )


@behave.then("each stream has reached one service")
def then_one_service(context):
    assert all(len(found) == 1 for found in context.streams), context.streams
    assert len(set.union(*context.streams)) == 2
