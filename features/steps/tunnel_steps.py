"""Steps of tunnels.feature: nodes that reach servers through a peer."""

import asyncio
import itertools
import socket
import threading
import time
from unittest import mock

import behave

from bilberryturn import events
from bilberryturn.gateway import answer_ends
from bilberryturn.gateway import internal_server
from bilberryturn.gateway import tunnel_server
from bilberryturn.gateway import tunnels
from bilberryturn.gateway import upstream
from support import gateway_rig
from support import scripted
from support import tcp_options
from support import tunnel_rig

WHOLE = b"answer"
EVENTS = 5
_ids = itertools.count(1)


def _work(peer, head, body, number):
    if " /stream/" not in head:
        peer.answer(head, WHOLE)
        return
    peer.start_stream(head)
    for found in range(1, EVENTS + 1):
        peer.chunk(scripted.event(found))
    peer.chunk(b"")


def _start(context, servers, peers, script, domains=(), home_regions=()):
    context.logged = []

    def record(event, **fields):
        context.logged.append((event, fields))

    patch = mock.patch.object(events, "log", record)
    patch.start()
    context.closers.append(patch.stop)
    context.script = script

    def answer(peer, head, body, number):
        return context.script(peer, head, body, number)

    context.deployment = tunnel_rig.Deployment(
        context,
        answer,
        servers,
        ["here", *(domains or ["here"] * peers)],
        home_regions,
    )
    context.node, *context.peers = context.deployment.nodes


def _wait_until(condition, limit_s):
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s, "not in time"
        time.sleep(0.005)


def _logged(context, event, **fields):
    return [
        found
        for kind, found in context.logged
        if kind is event and fields.items() <= found.items()
    ]


def _send(context, kind, request, node=None):
    port = (node or context.node).rig.port
    # All differ, as requests that are alike may be taken for deadly ones.
    data = gateway_rig.request_text(kind, request, path=request)
    return gateway_rig.send_request(port, data)


@behave.given("{servers:d} servers, a node and {peers:d} peer")
@behave.given("{servers:d} servers, a node and {peers:d} peers")
def given_nodes(context, servers, peers):
    _start(context, servers, peers, _work)


@behave.given(
    "{servers:d} servers, a node and peers in the failure domains {domains},"
    " and requests at home in the region eu"
)
def given_home_regions(context, servers, domains):
    domains = domains.split(", ")
    _start(context, servers, len(domains), _work, domains, ["eu"])


@behave.then("none of them went through a peer in the failure domain far")
def then_not_far(context):
    far = {peer.address for peer in context.peers if peer.domain == "far"}
    assert far and not far & _ways(context), _ways(context)


@behave.given(
    "{servers:d} servers that answer without length, a node and {peers:d} peer"
)
@behave.given(
    "{servers:d} servers that answer without length, a node and {peers:d} peers"
)
def given_unframed(context, servers, peers):
    def answer(peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        peer.send(
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{scripted.SEAL}Connection: close\r\n\r\n"
        )
        peer.send(WHOLE)
        time.sleep(0.2)
        if not context.end:
            return "close"
        if "resets" in context.end:
            peer.reset()
        elif "peer" in context.end:
            context.peers[0].end_process()
            time.sleep(1.0)
        return "close"

    context.end = ""
    context.judged = []
    check = answer_ends.check

    async def record(shared, answer, is_empty):
        witness = answer.witness._connection
        ways = answer.connection.via, witness.via if witness else None
        context.judged.append(ways)
        await check(shared, answer, is_empty)

    patch = mock.patch.object(answer_ends, "check", record)
    patch.start()
    context.closers.append(patch.stop)
    _start(context, servers, peers, answer)


@behave.then("each answer was judged by a connection through its own peer")
def then_same_way(context):
    judged = context.judged[-len(context.answers) :]
    for via, witness_via in judged:
        assert via is not None and via == witness_via, judged


@behave.when("the connections of the node to all servers {kind}")
def when_cut(context, kind):
    context.deployment.cut(context.node, kind)


@behave.when("the connections heal")
def when_healed(context):
    context.deployment.cut(context.node, None)
    context.healed_s = time.monotonic()


def _traffic(context, time_s, node=None):
    """Send requests of several callers to a node for some time."""
    end_s = time.monotonic() + time_s
    context.statuses = []

    def call(kind):
        while time.monotonic() < end_s:
            answer = _send(context, kind, f"t{next(_ids)}", node)
            context.statuses.append(answer.status)
            time.sleep(0.15)

    callers = [
        threading.Thread(target=call, args=(kind,))
        for kind in ("safe", "safe", "unsafe", "stream")
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


@behave.when("callers send requests to the node for {time_s:g} s")
def when_traffic(context, time_s):
    _traffic(context, time_s)


@behave.then("all of these were served")
def then_all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@behave.then("the node has found that it is cut off")
def then_cut(context):
    assert context.node.is_cut
    assert _logged(context, events.SERVERS_UNREACHABLE)


@behave.when("a caller sends {count:d} {kind:w} requests to the node")
def when_requests(context, count, kind):
    context.requests = [f"r{next(_ids)}" for _ in range(count)]
    context.answers = [
        _send(context, kind, request) for request in context.requests
    ]


@behave.then("each request is answered and was run once")
def then_answered(context):
    found = [(a.status, a.is_complete) for a in context.answers]
    assert set(found) == {(200, True)}, found
    runs = [context.deployment.runs(name) for name in context.requests]
    assert set(runs) == {1}, runs


def _ways(context):
    def ended(name):
        return _logged(context, events.REQUEST_ENDED, request=name)

    # It is logged once the answer was sent.
    _wait_until(lambda: all(map(ended, context.requests)), 1.0)
    return {ended(name)[0]["via"] for name in context.requests}


@behave.then("each of them went through the peer")
def then_through_peer(context):
    assert _ways(context) == {context.peers[0].address}, _ways(context)


@behave.then("none of them went through the peer")
def then_direct(context):
    assert _ways(context) == {None}, _ways(context)


def _crashes(context):
    return list(context.node.shared.part_crashes._own.values())


@behave.then("the node counts no crash of a server")
def then_no_crash(context):
    assert not _crashes(context), _crashes(context)


@behave.then("the node counts a crash of a server")
def then_crash(context):
    assert len(_crashes(context)) == 1, _crashes(context)


@behave.then("the node has found within {limit_s:g} s that it is not cut off")
def then_healed(context, limit_s):
    _wait_until(lambda: not context.node.is_cut, limit_s)
    assert _logged(context, events.SERVERS_REACHABLE)


@behave.when(
    "one server is silent for 1.2 s while callers send requests to the node"
)
def when_one_silent(context):
    link = context.deployment.links[0]
    link.cut(context.node.ip, "silent")
    timer = threading.Timer(1.2, link.cut, (context.node.ip, None))
    timer.start()
    _traffic(context, 2.5)


@behave.when(
    "all servers are silent for 1 s while callers send requests to the node"
)
def when_all_silent(context):
    context.deployment.cut(context.node, "silent")
    timer = threading.Timer(1.0, context.deployment.cut, (context.node, None))
    timer.start()
    _traffic(context, 2.5)


def _end_server(context, number):
    context.deployment.links[number].close()
    context.deployment.servers[number].close()
    context.deployment.servers[number].end_connections()


@behave.when("one server has ended while callers send requests to the node")
def when_one_ended(context):
    _end_server(context, 0)
    _traffic(context, 2.5)


@behave.when("one server has ended")
def when_ended(context):
    _end_server(context, 0)


@behave.when("all servers have ended")
def when_all_ended(context):
    for number in range(len(context.deployment.servers)):
        _end_server(context, number)


@behave.then("the node has not found that it is cut off")
def then_not_cut(context):
    assert not _logged(context, events.SERVERS_UNREACHABLE)


@behave.then("the peer has had no tunnel")
@behave.then("the peers have had no tunnel")
def then_no_tunnel(context):
    used = [
        fields for _, fields in context.logged if fields.get("via") is not None
    ]
    assert not used, used


@behave.then(
    "an unsafe request to the node is refused as not run within {limit_s:g} s"
)
def then_refused(context, limit_s):
    began_s = time.monotonic()
    request = f"r{next(_ids)}"
    answer = _send(context, "unsafe", request)
    duration_s = time.monotonic() - began_s
    assert answer.status == 503, answer.status
    assert duration_s < limit_s, duration_s
    assert context.deployment.runs(request) == 0


def _cut_known(context, nodes):
    """Cut nodes off and let them find out by their callers' requests."""
    for node in nodes:
        context.deployment.cut(node, "hang")
    for node in nodes:
        while not node.is_cut:
            _send(context, "safe", f"t{next(_ids)}", node)


@behave.when("the node is cut off and knows it")
def when_node_cut(context):
    _cut_known(context, [context.node])


@behave.when("the node and {count:d} peers are cut off and know it")
def when_nodes_cut(context, count):
    _cut_known(context, [context.node, *context.peers[:count]])


@behave.when(
    "{count:d} of the peers say that a server refuses, and the others that they"
    " can't help"
)
def when_replies(context, count):
    for number, peer in enumerate(context.peers):
        status = tunnels.REFUSED if number < count else tunnels.CANNOT_HELP

        async def serve(address, reader, writer, status=status):
            await tunnel_server._reply(writer, status)

        peer.server._tunnel_handler = serve


def _connection_error(context):
    entry = context.deployment.entries[0]

    async def acquire():
        try:
            await context.node.pool.acquire(entry, 0.7, False)
        except upstream.UpstreamError as error:
            return error

    return context.node.rig.call(acquire)


@behave.then("a connection of the node to that server has no verdict")
def then_no_verdict(context):
    error = _connection_error(context)
    assert error is not None
    assert not error.is_refused, error


@behave.then("a connection of the node to that server is refused")
def then_connection_refused(context):
    error = _connection_error(context)
    assert error is not None
    assert error.is_refused, error
    assert not error.is_path_failure


@behave.when("an unsafe request is answered through the peer and its {end}")
def when_answer_ends(context, end):
    context.end = end
    context.answer = _send(context, "unsafe", f"r{next(_ids)}")


@behave.then("the caller sees no whole answer")
def then_not_whole(context):
    assert context.answer.status == 502, context.answer.status


@behave.when("servers reset the connections of a safe request")
def when_servers_reset(context):
    def reset(peer, head, body, number):
        peer.reset()
        return "close"

    context.script = reset
    answer = _send(context, "safe", f"r{next(_ids)}")
    assert answer.status == 502, answer.status


@behave.then("the node counts {count:d} crashes of servers")
def then_crashes(context, count):
    # Time in which a check ends.
    time.sleep(1.5)
    assert len(_crashes(context)) == count, _crashes(context)


@behave.then('a check of a server with the health path "{path}" gets an answer')
def then_answers(context, path):
    entry = context.deployment.entries[0]
    assert context.node.rig.call(context.node.pool.answers, entry, path, 1.0)


@behave.when("a peer ends during a resumable stream through it")
def when_peer_ends(context):
    def stream(peer, head, body, number):
        peer.start_stream(head)
        after = int(scripted.header(head, "Last-Event-Id") or 0)
        for found in range(after + 1, EVENTS + 1):
            peer.chunk(scripted.event(found))
            if found == 2:
                time.sleep(0.1)
                used = [p for p in context.peers if p.tunnels.count]
                assert len(used) == 1, used
                used[0].end_process()
                return "close"
        peer.chunk(b"")
        return None

    context.script = stream
    context.answer = _send(context, "resumable", f"r{next(_ids)}")


@behave.then("the caller has all events once and in order")
def then_all_events(context):
    expected = b"".join(map(scripted.event, range(1, EVENTS + 1)))
    assert context.answer.is_complete
    assert context.answer.body == expected, context.answer.body


@behave.when("a server resets the connection of an unsafe request")
def when_server_resets(context):
    def reset(peer, head, body, number):
        peer.reset()
        return "close"

    context.script = reset
    answer = _send(context, "unsafe", f"r{next(_ids)}")
    assert answer.status == 502, answer.status


def _begin_stream(context, on_begun):
    """Request a stream whose server calls a function within it."""

    def stream(peer, head, body, number):
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        on_begun(peer)
        peer.chunk(scripted.event(2))
        peer.chunk(b"")

    context.script = stream
    connection = gateway_rig.connect(context.node.rig.port)
    context.closers.append(connection.close)
    request = f"r{next(_ids)}"
    connection.sendall(gateway_rig.request_text("stream", request))
    received = b""
    while b"token-1" not in received:
        received += connection.recv(65536)
    return connection, received


@behave.when("a caller leaves during a stream through the peer")
def when_caller_leaves(context):
    context.closed = threading.Event()

    def wait_for_close(peer):
        peer.connection.settimeout(3)
        if not peer.connection.recv(10):
            context.closed.set()

    connection, _ = _begin_stream(context, wait_for_close)
    connection.close()


@behave.then("the server sees the close within {limit_s:g} s")
def then_close_seen(context, limit_s):
    assert context.closed.wait(limit_s)


@behave.when("the peer begins to stop during a stream through it")
def when_peer_stops(context):
    goes_on = threading.Event()
    connection, received = _begin_stream(context, lambda peer: goes_on.wait(3))
    assert context.peers[0].tunnels.count == 1
    context.peers[0].is_stopping = True
    goes_on.set()
    context.stream = gateway_rig.read_answer(connection, received)


@behave.then("the caller has the whole stream")
def then_whole_stream(context):
    assert context.stream.is_complete
    assert b"token-2" in context.stream.body


@behave.when(
    "a caller reads nothing for {time_s:g} s of a stream of {size_mb:d} MB"
)
def when_reads_nothing(context, time_s, size_mb):
    event = b"data: " + b"x" * 16_000 + b"\n\n"
    table = gateway_rig.make_table(2, timeout_s=time_s + 10)
    table.services = context.node.shared.table.services

    async def configure():
        context.node.shared.table = table

    context.node.rig.call(configure)

    def flood(peer):
        for _ in range(size_mb * 1_000_000 // len(event)):
            peer.chunk(event)

    connection, received = _begin_stream(context, flood)
    connection.settimeout(10)
    time.sleep(time_s)
    context.stream = gateway_rig.read_answer(connection, received)


@behave.when("a caller has begun a stream through the peer")
def when_begun(context):
    goes_on = threading.Event()
    context.closers.append(goes_on.set)
    _begin_stream(context, lambda peer: goes_on.wait(5))


@behave.then(
    "no keep-alive probe of its connections gives up earlier than its count"
)
def then_not_shortened(context):
    tunnel = int(context.peers[0].address.rpartition(":")[2])
    found = tcp_options.find(local_port=tunnel)
    for link in context.deployment.links:
        found += tcp_options.find(remote_port=link.port)
    assert any(options.is_probed for options in found), found
    assert not any(options.is_shortened for options in found), found


def _ask_tunnel(context, address):
    host, _, port = context.peers[0].address.rpartition(":")
    connection = gateway_rig.connect(int(port), host)
    context.closers.append(connection.close)
    connection.sendall(
        f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
    )
    reply = b""
    while b"\r\n\r\n" not in reply:
        data = connection.recv(4096)
        assert data, reply
        reply += data
    return int(reply.split()[1])


@behave.then("the peer replies {status:d} to a tunnel to its own address")
def then_own_address(context, status):
    assert _ask_tunnel(context, context.peers[0].address) == status


@behave.then(
    "the peer replies {status:d} to a tunnel to a port where nothing is known"
)
def then_unknown(context, status):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        assert _ask_tunnel(context, address) == status


@behave.then("the peer replies {status:d} to a tunnel to a server")
def then_server(context, status):
    assert _ask_tunnel(context, context.deployment.entries[0].address) == status


@behave.when("the peer checks whether it is cut off")
def when_peer_checks(context):
    peer = context.peers[0]

    async def check():
        peer.shared.reachability._check_task = asyncio.create_task(
            asyncio.sleep(3)
        )
        assert peer.shared.reachability.is_doubtful

    peer.rig.call(check)


@behave.when("the peer has as many tunnels as it takes")
def when_full(context):
    patch = mock.patch.object(tunnel_server, "MAX_TUNNELS", 3)
    patch.start()
    context.closers.append(patch.stop)
    for entry in context.deployment.entries:
        assert _ask_tunnel(context, entry.address) == 200


@behave.then(
    "a connection through the peer that is not read takes less than 1 MB from"
    " its server"
)
def then_bounded(context):
    sent = [0]

    def flood(peer, head, body, number):
        peer.connection.settimeout(1.0)
        # What the server's own system holds is not the peer's.
        peer.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024
        )
        try:
            while sent[0] < 50_000_000:
                sent[0] += peer.connection.send(b"x" * 16384)
        except TimeoutError:
            pass
        return "close"

    context.script = flood
    # The link would take what the peer doesn't.
    entry = gateway_rig.make_server("s9", context.deployment.servers[0].port)
    peer = context.peers[0]

    async def report():
        peer.shared.directory.report(entry, time.monotonic())

    peer.rig.call(report)

    async def request():
        connection = await context.node.pool.acquire(entry, 0.7, False)
        connection.send(b"GET", b"/x", [(b"host", b"h")], b"")
        return connection

    connection = context.node.rig.call(request)
    assert connection.via == peer.address
    time.sleep(1.5)
    assert 0 < sent[0] < 1_000_000, sent

    async def close():
        connection.close()

    context.node.rig.call(close)


@behave.given("a server that only the node knows")
def given_unknown(context):
    entry = gateway_rig.make_server("s9", context.deployment.servers[0].port)

    async def report():
        context.node.shared.directory.report(entry, time.monotonic())

    context.node.rig.call(report)
    context.node.pool.hidden = {entry.port}


@behave.when("the first peer answers 400 to all its calls")
def when_old_peer(context):
    peer = context.peers[0]

    async def replace():
        peer.server._tunnel_handler = None

    peer.rig.call(replace)
    assert isinstance(peer.server, internal_server.InternalServer)
