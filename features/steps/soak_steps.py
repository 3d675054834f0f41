"""Steps of soak.feature."""

import socket

import behave

from bilberryturn_standins import proxy
from bilberryturn_standins import server as loop_server
from soak import run

PARTS = (b"first", b"second", b"third")
ARRIVAL_LIMIT_S = 10.0
# Time after which a part that has not arrived counts as lost.
LOST_AFTER_S = 1.0


@behave.then(
    "a soak of {duration_s:d} s of {work} with seed {seed:d} violates no"
    " invariant"
)
def then_soak(context, duration_s, work, seed):
    outcome = run.run_seed(seed, duration_s, is_planned=work == "planned work")
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
