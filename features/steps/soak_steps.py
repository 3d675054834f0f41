"""Steps of soak.feature."""

import asyncio
import socket

import behave

from bilberryturn.gateway import internal_server
from bilberryturn_standins import proxy
from bilberryturn_standins import server as loop_server
from soak import run

PARTS = (b"first", b"second", b"third")
ARRIVAL_LIMIT_S = 10.0
# Time after which a part that has not arrived counts as lost.
LOST_AFTER_S = 1.0
# Iterations of the event loop in which a connection is certainly accepted.
LOOP_ITERATIONS = 8


@behave.then(
    "a soak of {duration_s:d} s of {work} with seed {seed:d} violates no"
    " invariant"
)
def then_soak(context, duration_s, work, seed):
    outcome = run.run_seed(
        seed,
        duration_s,
        is_planned=work == "planned work",
        has_restores="restores" in work,
    )
    checker = outcome.checker
    assert checker.success_count > 0, "no request was answered"
    assert not checker.violations, (
        checker.violations[:5],
        outcome.faults,
        outcome.folder,
    )


def _receive(connection, limit_s):
    connection.settimeout(limit_s)
    try:
        return connection.recv(4096)
    except TimeoutError:
        return b""


@behave.when(
    "a proxy is in mode {mode} while a server sends the second of three parts"
)
def when_parts_lost(context, mode):
    loop = loop_server.LoopThread()
    fault_proxy = proxy.FaultProxy(loop)
    listener = socket.create_server(("127.0.0.1", 0))
    target = f"127.0.0.1:{listener.getsockname()[1]}"
    host, port = fault_proxy.listen(target).split(":")
    connection = socket.create_connection((host, int(port)), 5)
    accepted, _ = listener.accept()
    context.received = []
    for part, rules in zip(
        PARTS, ([], [proxy.Rule("127.", target, mode)], []), strict=True
    ):
        fault_proxy.set_rules(rules)
        accepted.sendall(part)
        limit_s = LOST_AFTER_S if context.received else ARRIVAL_LIMIT_S
        context.received.append(_receive(connection, limit_s))
    for opened in (connection, accepted, listener):
        opened.close()
    fault_proxy.stop()
    loop.close()


@behave.then("only the first part arrives")
def then_first_arrives(context):
    assert context.received == [PARTS[0], b"", b""], context.received


async def _serve_peer(iterations, errors):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, report: errors.append(report))
    server = internal_server.InternalServer(
        lambda path, body: internal_server.Reply(200)
    )
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    await server.start("127.0.0.1", port)
    connection = socket.create_connection(("127.0.0.1", port))
    for _ in range(iterations):
        await asyncio.sleep(0)
    return connection


@behave.when(
    "an internal server ends at several moments after a peer has connected"
)
def when_internal_server_ends(context):
    context.errors = []
    for iterations in range(LOOP_ITERATIONS):
        asyncio.run(_serve_peer(iterations, context.errors)).close()


@behave.then("it reports no error")
def then_no_error(context):
    assert not context.errors, context.errors
