"""Steps of cut_nodes.feature: nodes that reach no server."""

import collections
import socket
import threading

import behave

from bilberryturn.gateway import upstream
from bilberryturn_standins import proxy
from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted
from support import single_tries

SEED = 59
LIMIT_S = 3.0
# As the users' rule states.
GRACE_S = 4.0
AFTER_S = 2.0
# Time in which requests are sent after that.
SERVED_AGAIN_S = 1.0
LEAST_RATIO = 2 / 3
# Nodes that reach all servers serve at least this share.
LEAST_UNCUT_SHARE = 0.9
CUT_NODES = {
    "three nodes of two domains": (0, 1, 3),
    "all nodes of a domain": (0, 3, 6),
    "seven nodes": (0, 1, 2, 3, 5, 6, 8),
}
CONNECT_TIMEOUT_S = 1.0
MODES = {
    "connections go silent": "silence",
    "connections are reset": "reset",
    "open connections go on and new ones are reset": "reset_new",
}


def _describe(tries):
    statuses = collections.Counter(t.status for t in tries)
    served = sum(t.is_served for t in tries)
    lost = [t for t in tries if not t.status]
    return (
        f"{served} of {len(tries)} served, by status {dict(statuses)},"
        f" without an answer {lost}"
    )


def _share(tries):
    return sum(t.is_served for t in tries) / len(tries)


@behave.given(
    "{nodes:d} node processes in {domains:d} failure domains before"
    " {servers:d} servers"
)
def given_nodes(context, nodes, domains, servers):
    context.testbed = testbed_module.start(
        context, nodes, None, domain_count=domains
    )
    assert len(context.testbed.backends) == servers
    for node in context.testbed.nodes:
        node.wait_ready()


@behave.when(
    "callers send {rate:d} requests a second, and from {begin_s:g} s to"
    " {end_s:g} s {nodes} are cut off from all servers: {way}"
)
def when_cut(context, rate, begin_s, end_s, nodes, way):
    testbed = context.testbed
    cut = [testbed.nodes[number] for number in CUT_NODES[nodes]]
    rules = [
        proxy.Rule(node.ip, f"127.0.0.1:{server.port}", MODES[way])
        for node in cut
        for server, _, _ in testbed.backends.values()
    ]
    context.cut_names = {node.name for node in cut}
    context.cut_s = (begin_s, end_s)
    context.traffic = single_tries.Traffic(testbed, rate, LIMIT_S, SEED)
    context.traffic.run(
        end_s + AFTER_S + SERVED_AGAIN_S,
        (
            (begin_s, lambda: testbed.proxy.set_rules(rules)),
            (end_s, lambda: testbed.proxy.set_rules([])),
        ),
    )
    at_cut, at_others = _in_cut(context)
    print(f"at cut nodes: {_describe(at_cut)}")
    print(f"at others: {_describe(at_others)}")
    print(f"after the cut: {_describe(_after(context))}")


def _in_cut(context):
    """Return the tries that count at the cut nodes and at the others."""
    begin_s, end_s = context.cut_s
    first = [
        t
        for t in context.traffic.tries
        if begin_s + GRACE_S <= t.sent_s < end_s
    ]
    return (
        [t for t in first if t.node_name in context.cut_names],
        [t for t in first if t.node_name not in context.cut_names],
    )


def _after(context):
    again_s = context.cut_s[1] + AFTER_S
    return [t for t in context.traffic.tries if t.sent_s >= again_s]


@behave.then(
    "from 4 s after its begin the cut nodes serve at least two thirds as often"
    " as the others"
)
def then_served(context):
    at_cut, at_others = _in_cut(context)
    figures = f"cut: {_describe(at_cut)}; others: {_describe(at_others)}"
    assert _share(at_others) >= LEAST_UNCUT_SHARE, figures
    assert _share(at_cut) >= LEAST_RATIO * _share(at_others), figures


@behave.then("from 2 s after the end of the cut all requests are served")
def then_served_again(context):
    late = _after(context)
    failed = [t for t in late if not t.is_served]
    assert late and not failed, (len(late), failed)


@behave.then(
    "no request that may run once has run twice or was refused though it has"
    " run"
)
def then_once(context):
    problems = context.traffic.problems()
    assert not problems, problems
    assert context.traffic.checker.non_repeatable


@behave.then("no node has failed in a way that it does not handle")
def then_no_failure(context):
    lines = [
        line
        for node in context.testbed.nodes
        for line in node.log_path.read_text("utf-8").splitlines()
    ]
    found = [line for line in lines if '"job_failed"' in line]
    assert not found, found


# Connections that end early


def _reset_all(listening):
    while True:
        try:
            connection, _ = listening.accept()
        except OSError:
            return
        scripted.AcceptedConnection(connection).reset()


@behave.given("a server that resets each new connection")
def given_resetting(context):
    listening = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listening.close)
    threading.Thread(target=_reset_all, args=(listening,), daemon=True).start()
    context.port = listening.getsockname()[1]


@behave.when("a node opens {count:d} connections to it")
def when_opened(context, count):
    server = gateway_rig.make_server("s", context.port)
    rig = gateway_rig.GatewayRig([server])
    context.closers.append(rig.close)
    context.ends = collections.Counter()
    for _ in range(count):
        context.ends[rig.call(_open, rig.shared.pool, server)] += 1


async def _open(pool, server):
    """Open a connection and return how that ended."""
    try:
        connection = await pool.acquire(server, CONNECT_TIMEOUT_S, False)
    except upstream.UpstreamError:
        return "failed"
    except OSError as error:
        return repr(error)
    connection.close()
    return "open"


@behave.then("each is open or has failed as connections do")
def then_ends(context):
    assert context.ends.keys() <= {"open", "failed"}, dict(context.ends)
