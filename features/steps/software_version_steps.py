"""Steps of software_versions.feature."""

import concurrent.futures
import json
import random
import threading
import time
from unittest import mock

import behave
import expression

from bilberryturn import leases
from bilberryturn.edge import stream_records
from bilberryturn.gateway import list_waits
from bilberryturn.platform import exceptions
from bilberryturn.platform import rows
from bilberryturn.routing import software_versions
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import gateway_rig
from support import peer_nodes
from support import platform_data
from support import scripted
from support import store_standin

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
    _know_versions(context.rig)


def _know_versions(rig):
    """Let a node know all reports, so that it takes one version for one."""

    async def know():
        rig.shared.software_versions.is_complete = True
        rig.shared.update_versions()

    rig.call(know)


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


class _Node:
    """A gateway with the store's records of streams.

    Attributes:
        reads: Streams that were looked up in the store.
    """

    def __init__(self, store, backend_servers):
        self.reads = []
        self.is_holder = False
        self.rig = gateway_rig.GatewayRig(backend_servers)
        self.recorder = stream_records.StreamRecorder(
            self.rig.shared.stream_origins,
            rows.RowStore(store_standin.DirectClient(store)),
            400.0,
            lambda: 1,
            lambda: self.is_holder,
        )
        read = self.recorder.read

        async def count_read(name):
            self.reads.append(name)
            return await read(name)

        self.rig.shared.stream_origins.read_stored = count_read
        self._stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.recorder.run, args=(self._stopping,), daemon=True
        )
        self.thread.start()

    def know(self, reports):
        """Learn the reports of all nodes so far, as from the store.

        Args:
            reports: The reports; None if they have not been read.
        """

        async def know():
            shared = self.rig.shared
            if reports is not None:
                shared.merge_reports("earlier", reports)
                shared.software_versions.is_complete = True
            self._observe()

        self.rig.call(know)

    def _observe(self):
        self.rig.shared.observe_versions()
        self.rig.shared.update_versions()

    def add(self, backend_servers):
        async def add():
            for server in backend_servers:
                self.rig.shared.directory.report(server, time.monotonic())
            self._observe()

        self.rig.call(add)

    def reports(self):
        return self.rig.shared.software_versions.own_reports()

    def stop(self):
        self._stopping.set()

    def close(self):
        self.stop()
        self.rig.close()


def _stream_script(version):
    """Return the script of a server whose streams go on once taken up."""

    def answer(peer, head, body, number):
        begin = int(scripted.header(head, "Last-Event-Id") or 0)
        peer.start_stream(head)
        last = EVENTS if begin else EVENTS_BEFORE_BREAK
        for event in range(begin + 1, last + 1):
            peer.chunk(_event(version, event))
        if not begin:
            # Goes on until the caller's node closes the connection.
            peer.connection.settimeout(5)
            peer.connection.recv(1)
            return "close"
        peer.chunk(b"")
        return None

    return answer


def _start_node(context, backend_servers, reports):
    node = _Node(context.store, backend_servers)
    context.closers.append(node.close)
    node.know(reports)
    return node


@behave.given("a store, a node and servers of versions {versions}")
def given_node(context, versions):
    context.store = store_standin.MemoryStore()
    names = versions.split(", ")
    context.backend_servers = _start_servers(
        context, names, [_stream_script(name) for name in names]
    )
    context.all_servers = list(context.servers)
    context.node = _start_node(context, context.backend_servers, {})


@behave.when("{count:d} callers each have 2 events of a stream")
def when_begin(context, count):
    context.callers = []
    for number in range(count):
        context.callers.append(_begin(context, number))
    _wait_for_write()


def _begin(context, number):
    """Return a caller's connection and the versions of its first events.

    There is none if the stream is refused.
    """
    connection = gateway_rig.connect(context.node.rig.port)
    connection.sendall(gateway_rig.request_text("resumable", f"a{number}"))
    received = b""
    while received.count(b"data: ") < EVENTS_BEFORE_BREAK:
        data = connection.recv(65536)
        assert data, received
        received += data
        if not received.startswith(b"HTTP/1.1 200 "):
            break
    return connection, _versions(received)


@behave.when(
    "the store is restored from a copy after {count:d} callers each have 2"
    " events"
)
def when_restored(context, count):
    copy = context.store.copy()
    when_begin(context, count)
    context.store.restore(copy)
    # Any call of the node learns of it; this one is of another client.
    context.node.recorder._store.snapshot(rows.SERVER_TABLE)
    _wait_for_write()


def _wait_for_write():
    time.sleep(3 * stream_records.MIN_WRITE_INTERVAL_S)


@behave.when("servers of versions {versions} join")
def when_join(context, versions):
    names = versions.split(", ")
    joined = _start_servers(
        context, names, [_stream_script(name) for name in names]
    )
    context.all_servers += context.servers
    joined = [s._replace(server_id=f"j{s.server_id}") for s in joined]
    context.backend_servers = [*joined, *context.backend_servers]
    context.node.add(joined)
    _wait_for_write()


@behave.given("another node that knows them")
def given_other(context):
    context.other = _start_node(context, context.backend_servers, {})
    context.other_servers = list(context.backend_servers)


@behave.when(
    "servers of versions {versions} join, of which the other node does not hear"
)
def when_join_unheard(context, versions):
    when_join(context, versions)


def _hear_of_nothing(node, time_s):
    """Let the server list of a node be as old as after a time."""

    async def age():
        node.rig.shared.list_waits.confirm(leases.boottime_s() - time_s)

    node.rig.call(age)


def _suspend(context, time_s):
    """Let the clock that counts suspensions go ahead of the steady one."""
    boottime_s = leases.boottime_s
    patch = mock.patch.object(
        leases, "boottime_s", lambda: boottime_s() + time_s
    )
    patch.start()
    context.closers.append(patch.stop)


def _recorded_end_script(context, version, on_end=lambda: None):
    """Return the script of a server that ends first attempts once recorded.

    Args:
        on_end: Called before it ends one.
    """
    go_on = _stream_script(version)

    def answer(peer, head, body, number):
        if scripted.header(head, "Last-Event-Id"):
            return go_on(peer, head, body, number)
        name = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        end_s = time.monotonic() + 1.0
        while time.monotonic() < end_s and not any(
            key.rpartition("/")[2] == name
            and json.loads(value)["version"] == version
            for key, _, value in _stored(context)
        ):
            time.sleep(0.005)
        on_end()
        return "close"

    return answer


def _begin_until_ended(context, count):
    """Begin streams until the first server has ended some attempts.

    Returns:
        For each of them, the versions of the events that its caller has.
    """
    first = context.servers[0]
    ended = []
    while len(first.requests) < count:
        before = len(first.requests)
        context.callers.append(_begin(context, len(context.callers)))
        if len(first.requests) > before:
            ended.append(context.callers[-1][1])
    return ended


@behave.when(
    "callers begin streams until an attempt at {version} ends without an event"
    " once it is recorded"
)
def when_attempt_ends(context, version):
    context.servers[0].script = _recorded_end_script(context, version)
    context.callers = []
    (versions,) = _begin_until_ended(context, 1)
    assert versions and version not in versions, versions


@behave.when(
    "callers begin streams until {count:d} attempts at {version} end without an"
    " event once they are recorded"
)
def when_attempts_end(context, count, version):
    context.servers[0].script = _recorded_end_script(context, version)
    context.callers = []
    context.ended = _begin_until_ended(context, count)


@behave.when(
    "callers begin streams until an attempt at {version} ends without an event"
    " once it is recorded, and the store rejects all writes from then on"
)
def when_attempt_ends_without_store(context, version):
    context.servers[0].script = _recorded_end_script(
        context, version, lambda: when_rejects(context)
    )
    context.callers = []
    context.ended = _begin_until_ended(context, 1)


@behave.then("these streams have begun at version {version}")
def then_begun_at(context, version):
    assert context.ended
    for versions in context.ended:
        assert set(versions) == {version}, context.ended


@behave.then("this stream has not begun")
def then_not_begun(context):
    assert context.ended == [[]], context.ended


@behave.when("the streams are taken up at the other node")
def when_take_up_at_other(context):
    context.taking = context.other
    _take_up(context)


@behave.when(
    "the first server starts again at version {version}, of which the node does"
    " not hear"
)
def when_restarts(context, version):
    context.servers[0].script = _stream_script(version)
    context.restarted = context.backend_servers[0]._replace(
        software_version=version, started_ms=int(time.time() * 1000)
    )


@behave.when("the node hears of it")
def when_hears(context):
    version = context.restarted.software_version
    assert any(version in found for _, found in context.callers)
    context.node.add([context.restarted])


def _configure(node, config_version, service):
    """Let a configuration send all routes to a service."""

    async def configure():
        route_table = gateway_rig.make_table(
            config_version, targets=(types.Target(service, 1.0),)
        )
        route_table.services["other"] = types.Service("other", 100, None, None)
        node.rig.shared.table = route_table

    node.rig.call(configure)


@behave.given("a server of another service at version {version}")
def given_other_service(context, version):
    (server,) = _start_servers(context, [version], [_stream_script(version)])
    server = server._replace(server_id="o0", service="other")
    context.other_service_server = server
    for node in (context.node, context.other):
        _configure(node, 1, "app")
        node.add([server])


@behave.when("the configuration moves the route to the other service")
def when_moves(context):
    for node in (context.node, context.other):
        _configure(node, 2, "other")
        node.add([])


@behave.when("the streams are taken up at a node that starts then")
def when_take_up_at_new(context):
    servers = [s for s in context.backend_servers if s.service == "app"] + [
        context.other_service_server
    ]
    context.taking = _start_node(context, servers, context.node.reports())
    _configure(context.taking, 2, "other")
    context.taking.add([])
    _take_up(context)


def _routing(changes):
    """Return a route table with routes of resumable streams.

    Args:
        changes: Such as "h/a/ to app, other and h/b/ to app".
    """
    routes = []
    for text in changes.split(" and "):
        place, _, services = text.partition(" to ")
        host, _, prefix = place.partition("/")
        targets = tuple(
            types.Target(service, 1.0) for service in services.split(", ")
        )
        routes.append(
            gateway_rig.make_route("resumable", targets=targets)._replace(
                host=host, prefix=f"/{prefix}"
            )
        )
    return table.RouteTable(1, routes, [], types.Limits(body_bytes=1), None)


@behave.given("a route of {place} to service {service}")
def given_route(context, place, service):
    context.routing = _routing(f"{place} to {service}")


@behave.when("a configuration sends {changes}")
def when_sends(context, changes):
    routing = _routing(changes)
    context.moved = routing.moved_services(context.routing)
    context.routing = routing


@behave.then("streams of the services {services} may have begun elsewhere")
def then_moved(context, services):
    expected = set() if services == "none" else set(services.split(", "))
    assert context.moved == expected, context.moved


@behave.when("the node has heard of nothing for {time_s:g} s")
def when_unheard(context, time_s):
    _hear_of_nothing(context.node, time_s)


@behave.when("they take their streams up at the other node, which {state}")
def when_take_up_elsewhere(context, state):
    other = context.taking = context.other
    if state == "has heard of them again":
        other.add(context.backend_servers)
        _hear_of_nothing(other, 0.0)
    elif "suspended" in state:
        _hear_of_nothing(other, 0.0)
        _suspend(context, 3.0)
    else:
        _hear_of_nothing(other, 3.0)
    if "store" in state:

        async def lose_store():
            other.rig.shared.stream_origins.read_stored = _find_nothing

        other.rig.call(lose_store)
    _take_up(context)


@behave.when(
    "the streams are taken up at the other node, whose list is {age_s:g} s old"
)
def when_take_up_behind(context, age_s):
    context.taking = context.other
    _hear_of_nothing(context.other, age_s)
    _take_up(context)


@behave.when(
    "the streams are taken up at the other node, which hears of the servers"
    " {time_s:g} s later"
)
def when_take_up_before(context, time_s):
    other = context.taking = context.other
    _hear_of_nothing(other, 1.0)

    def hear():
        other.add(context.backend_servers)
        _hear_of_nothing(other, 0.0)

    timer = threading.Timer(time_s, hear)
    timer.start()
    _take_up(context)
    timer.join()


@behave.when(
    "the streams are taken up at the other node, which learns after {event}"
    " that only v1 serves"
)
def when_take_up_after(context, event):
    other = context.taking = context.other
    other.rig.shared.list_waits = list_waits.ListWaits(other.rig.shared.drain_s)
    _hear_of_nothing(other, 4.0 if "cut" in event else 1.0)

    def confirm():
        if "restore" in event:
            other.rig.shared.list_waits.mark_gap()
        _hear_of_nothing(other, 0.0)

    timer = threading.Timer(0.5, confirm)
    timer.start()
    _take_up(context)
    timer.join()


@behave.when(
    "the store answers the other node after {time_s:g} s that it is away"
)
def when_slow_store(context, time_s):
    def read(key):
        time.sleep(time_s)
        return expression.Error(exceptions.PlatformRefusedError("store", 503))

    context.other.recorder._store.read = read


@behave.when("the other node's records stop")
def when_records_stop(context):
    context.other.stop()
    context.other.thread.join(5)


@behave.then("each of them within {time_s:g} s")
def then_within(context, time_s):
    assert max(context.took_s) < time_s, sorted(context.took_s)


async def _find_nothing(name):
    return None


@behave.then("no stream has events of two versions")
def then_not_joined(context):
    for (_, before), answer in zip(
        context.callers, context.answers, strict=True
    ):
        after = _versions(answer.body) if answer.status == 200 else []
        assert len({*before, *after}) == 1, (before, after)


@behave.then("{count} of them are refused")
def then_count_refused(context, count):
    refused = [a for a in context.answers if a.status == 503]
    for answer in refused:
        reason = json.loads(answer.body)["error"]["type"]
        assert reason in ("unknown_origin", "no_server_of_version"), reason
    expected = {"none": 0, "20": 20}.get(count)
    if expected is None:
        assert 0 < len(refused) < 20, len(refused)
    else:
        assert len(refused) == expected, len(refused)


@behave.when("the servers of version {version} leave while no node runs")
def when_leave(context, version):
    context.backend_servers = [
        s for s in context.backend_servers if s.software_version != version
    ]


@behave.when("the store rejects all writes")
def when_rejects(context):
    context.store.transact = lambda body: (503, {})


@behave.when("they take their streams up at {node}")
def when_take_up(context, node):
    reports = context.node.reports()
    if node == "the same node":
        context.taking = context.node
    else:
        if "lost power" in node:
            context.node.stop()
        if "not read" in node:
            reports = None
        context.taking = _start_node(context, context.backend_servers, reports)
    _take_up(context)


def _take_up(context):
    """Let all callers take their streams up at the same time."""
    for connection, _ in context.callers:
        connection.close()
    texts = [
        gateway_rig.request_text(
            "resumable",
            f"b{number}",
            extra=f"Last-Event-Id: 2\r\nResumes: a{number}\r\n",
        )
        for number in range(len(context.callers))
    ]
    began_s = time.monotonic()
    context.took_s = []

    def take_up(text):
        answer = gateway_rig.send_request(context.taking.rig.port, text)
        context.took_s.append(time.monotonic() - began_s)
        return answer

    with concurrent.futures.ThreadPoolExecutor(len(texts)) as executor:
        context.answers = list(executor.map(take_up, texts))


@behave.then("each of them has a whole stream of one version")
def then_one_version(context):
    for (_, before), answer in zip(
        context.callers, context.answers, strict=True
    ):
        assert answer.is_complete and answer.status == 200, answer.head
        found = before + _versions(answer.body)
        assert found == [before[0]] * EVENTS, found


@behave.then("all of them are refused with {reason}")
def then_refused(context, reason):
    for answer in context.answers:
        assert answer.status == 503, answer.head
        assert answer.header("Retry-After"), answer.head
        assert json.loads(answer.body)["error"]["type"] == reason


@behave.then(
    "no server has been sent a request with the identifier of an event"
)
def then_not_sent(context):
    for server in context.all_servers:
        for head, _ in server.requests:
            assert scripted.header(head, "Last-Event-Id") is None, head


def _stored(context):
    return context.store.raw_rows({rows.STREAM_TABLE})


@behave.then("the store holds no stream, and none was looked up")
def then_no_calls(context):
    assert not _stored(context)
    assert not context.taking.reads


@behave.then("the store holds no stream after the next write of each node")
def then_removed(context):
    _wait_for_write()
    assert not _stored(context), _stored(context)


@behave.then("the store holds {count:d} streams")
def then_holds(context, count):
    assert len(_stored(context)) == count


@behave.then("it holds none once the holder of the lease has cleaned up")
def then_cleaned(context):
    context.node.stop()
    holder = _start_node(context, context.backend_servers, {})
    holder.stop()
    holder.is_holder = True
    holder.recorder._waited_s = stream_records.CLEAN_INTERVAL_S
    holder.recorder.write()
    assert not _stored(context)


class _Fleet:
    """Nodes that read the store's servers and each other's reports."""

    def __init__(self):
        self.now_s = 1000.0
        self.rows = {}
        self.nodes = {}
        self.starts = 0
        self.versions = {"v1"}
        # When each version was last seen to serve by a node that lived on.
        self.served_s = {}

    def servers(self):
        return [
            gateway_rig.make_server(v, 1, software_version=v)
            for v in sorted(self.versions)
        ]

    def start(self):
        self.starts += 1
        node = software_versions.SoftwareVersions()
        self.nodes[f"n{self.starts}"] = node
        return node

    def step(self):
        """Let each node read the servers, then the reports of all."""
        for node in self.nodes.values():
            node.observe(self.servers(), self.now_s)
        if self.nodes:
            self.served_s.update(dict.fromkeys(self.versions, self.now_s))
        for name, node in self.nodes.items():
            self.rows[name] = dict(node.own_reports())
        for node in self.nodes.values():
            for reports in self.rows.values():
                node.merge(reports)
            node.is_complete = True
        self.now_s += 1.0


@behave.then(
    "over {count:d} seeded series of releases, restarts and losses of all"
    " nodes no node with all reports takes two versions for one"
)
def then_series(context, count):
    window_s = 12.0
    for seed in range(count):
        rng = random.Random(seed)
        fleet = _Fleet()
        for _ in range(3):
            fleet.start()
        fleet.step()
        for step in range(60):
            kind = rng.choice(("join", "leave", "restart", "lose", "wait"))
            if kind == "join":
                fleet.versions.add(f"v{rng.randrange(4)}")
            elif kind == "leave" and len(fleet.versions) > 1:
                fleet.versions.discard(rng.choice(sorted(fleet.versions)))
            elif kind == "restart":
                del fleet.nodes[rng.choice(sorted(fleet.nodes))]
                fleet.start()
            elif kind == "lose":
                fleet.nodes.clear()
                if rng.random() < 0.5:
                    fleet.versions = {f"v{rng.randrange(4)}"}
                fleet.now_s += rng.choice((1.0, 3.0))
                for _ in range(3):
                    fleet.start()
            fleet.step()
            recent = {
                version
                for version, served_s in fleet.served_s.items()
                if served_s > fleet.now_s - window_s
            }
            for name, node in fleet.nodes.items():
                is_mixed = node.is_mixed(
                    "app", fleet.servers(), window_s, fleet.now_s
                )
                assert is_mixed or len(recent) == 1, (seed, step, name, recent)


@behave.given("a relay that has not read the reports")
def given_unread_reports(context):
    context.relay = peer_nodes.Peer("relay")
    context.relay.read_config(1)
    context.relay.read_servers({}, True)
    context.peer = peer_nodes.Peer("node")


@behave.when("a node polls it, and again after the relay has read them")
def when_polls_twice(context):
    context.known = []
    versions = context.peer.shared.software_versions
    for _ in range(2):
        reply = context.relay.reply_to(context.peer)
        context.peer.applier.apply_peer_state(reply, leases.boottime_s())
        context.known.append(versions.is_complete)
        context.relay.read_suspects({})


@behave.then("the node knows all reports only after the second poll")
def then_second(context):
    assert context.known == [False, True], context.known


@behave.given("servers of a service at version v1")
def given_first_version(context):
    context.peer = peer_nodes.Peer("node")
    context.peer.read_config(1)
    context.peer.read_suspects({})
    context.peer.read_servers(
        {"s": platform_data.make_entry(version="v1")}, True
    )


@behave.when("{count:d} entries with long names of versions and services come")
def when_long(context, count):
    context.peer.read_servers(
        {
            f"o{number}": platform_data.make_entry(
                version=f"{number}" + "v" * 5000,
                service="app" if number % 2 else f"{number}" + "s" * 5000,
            )
            for number in range(count)
        },
        False,
    )


@behave.then("the reports are under {size:d} bytes and name version v1")
def then_small(context, size):
    reports = context.peer.shared.own_reports()
    assert len(json.dumps(reports)) < size, len(json.dumps(reports))
    assert "version:app:v1" in reports, sorted(reports)[:3]
