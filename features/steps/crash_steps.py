"""Steps of crashes.feature."""

import itertools
import time

import behave

from bilberryturn.routing import table
from bilberryturn.routing import types
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import service as service_standin
from support import gateway_rig
from support import scripted

SUSPECT_PATH = "suspect"
# Time in which a node finds out whether a server has ended.
SETTLE_S = 0.3


class _Service:
    """One backend server at a time, replaced as soon as it has ended.

    Attributes:
        received: Times that a server received the request under test.
        crashes: Servers that ended under it.
    """

    def __init__(self, context, respond, timeout_s=3.0):
        self.received = 0
        self.crashes = 0
        self._context = context
        self._respond = respond
        self._starts = itertools.count(1)
        self._ids = itertools.count(1)
        self._server = None
        routes = [
            gateway_rig.make_route(kind, attempts=1, timeout_s=timeout_s)
            for kind in ("safe", "unsafe", "resumable")
        ]
        accounts = {
            table.key_hash(gateway_rig.KEY): types.ClientAccount("shop", None)
        }
        route_table = table.RouteTable(
            1,
            routes,
            [types.Service("app", 100, None, None)],
            types.Limits(),
            accounts,
        )
        self._rig = gateway_rig.GatewayRig([], route_table)
        context.closers.append(self._rig.close)
        self.start()

    def start(self):
        """Start a server in place of the one that has ended."""
        self._server = scripted.ScriptedServer(self._script)
        self._context.closers.append(self._server.close)
        entry = gateway_rig.make_server(
            "s1", self._server.port, started_ms=next(self._starts)
        )

        async def report():
            self._rig.shared.directory.report(entry, time.monotonic())

        self._rig.call(report)

    def end(self, peer, resets=True):
        """End the server while it answers a request."""
        self.crashes += 1
        self._server.close()
        if resets:
            peer.reset()
        return "close"

    def _script(self, peer, head, body, number):
        if SUSPECT_PATH not in head:
            peer.answer(head, b"sound")
            return None
        self.received += 1
        return self._respond(self, peer, head)

    def send(self, kind, path):
        """Send a request; returns its answer."""
        data = gateway_rig.request_text(kind, f"c{next(self._ids)}", path=path)
        return gateway_rig.send_request(self._rig.port, data)


def _end(service, peer, head):
    return service.end(peer)


def _end_or_fail(service, peer, head):
    if service.received % 2 == 0:
        peer.answer(head, b"error", status="500 Internal Server Error")
        return None
    return service.end(peer)


def _end_after_event(service, peer, head):
    peer.start_stream(head)
    peer.chunk(scripted.event(1))
    time.sleep(0.05)
    return service.end(peer)


def _end_late(service, peer, head):
    peer.start_stream(head)
    peer.chunk(scripted.event(1))
    time.sleep(1.2)
    return service.end(peer)


def _end_at_limit(service, peer, head):
    limit_ms = int(scripted.header(head, "X-Bilberryturn-Deadline-Ms"))
    time.sleep(limit_ms / 1000)
    return service.end(peer)


def _end_unframed_at_limit(service, peer, head):
    request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
    peer.send(
        f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
        f"{scripted.SEAL}\r\nhalf"
    )
    limit_ms = int(scripted.header(head, "X-Bilberryturn-Deadline-Ms"))
    time.sleep(limit_ms / 1000)
    return service.end(peer, resets=False)


def _close_kept(service, peer, head):
    peer.reset()
    return "close"


@behave.given(
    "a server that ends under a request, and is back with a kept connection"
)
def given_kept(context):
    context.service = _Service(context, _end)
    context.keeps_connection = True


@behave.given(
    "a server that ends under a request, and each second time answers 500"
)
def given_errors(context):
    context.service = _Service(context, _end_or_fail)
    context.keeps_connection = False


@behave.given("a server that ends at the time limit of a request, {when}")
def given_limit(context, when):
    respond = {
        "before its answer": _end_at_limit,
        "in an answer without a length": _end_unframed_at_limit,
    }[when]
    context.service = _Service(context, respond, timeout_s=0.2)
    context.keeps_connection = False


@behave.given(
    "a server that ends after the first event of its answer to a request"
)
def given_event(context):
    context.service = _Service(context, _end_after_event)
    context.keeps_connection = False


@behave.given("a server that closes kept connections as a request comes")
def given_closes(context):
    context.service = _Service(context, _close_kept)
    context.keeps_connection = True


@behave.given("a server that ends 1.2 s after the first event")
def given_late(context):
    context.service = _Service(context, _end_late)
    context.keeps_connection = False


@behave.when("a caller sends the request {count:d} times as {kind}")
def when_sends(context, count, kind):
    service = context.service
    context.sent = count
    for _ in range(count):
        if context.keeps_connection:
            sound = service.send("safe", "sound")
            assert sound.status == 200, sound.status
        crashes = service.crashes
        context.answer = service.send(kind, SUSPECT_PATH)
        time.sleep(SETTLE_S)
        if service.crashes > crashes:
            service.start()


@behave.then("it has crashed {count:d} servers")
def then_crashed(context, count):
    assert context.service.crashes == count, context.service.crashes


@behave.then("the caller sees that it has not run")
def then_refused(context):
    answer = context.answer
    assert (answer.status, answer.header("x-bilberryturn-server-seal")) == (
        503,
        None,
    ), answer.status


@behave.then("the server gets the request each time")
def then_gets(context):
    received = context.service.received
    assert received == context.sent, (received, context.sent)


@behave.given("{count:d} catalogue servers")
def given_catalogue(context, count):
    domain = context.cluster.domains[0].name
    names = [f"catalogue-{number}" for number in range(2, count + 1)]
    for name in names:
        context.cluster.add_service(name, domain, "catalogue")

    def are_listed():
        return all(
            set(names)
            <= {vm["name"] for vm in node.admin().call("GET", "/vms")["vms"]}
            for node in context.cluster.nodes
        )

    cluster_module.wait_for(are_listed, "the nodes to list the servers")


def _search(context, node, query):
    caller = context.cluster.caller(node, context.key)
    return caller.call_service("catalogue", f"search?q={query}", method="GET")


@behave.when(
    "a search that ends catalogue servers is sent {count:d} times to each entry"
)
def when_searches(context, count):
    for _ in range(count):
        for node in context.cluster.nodes:
            _search(context, node, service_standin.POISON)
            time.sleep(2 * service_standin.RESTART_S)


@behave.then("at most {count:d} catalogue servers have ended")
def then_ended(context, count):
    services = context.cluster.services
    crashes = sum(service.crashes for service in services.values())
    assert 1 <= crashes <= count, crashes


@behave.then("each entry refuses the search as quarantined")
def then_quarantined(context):
    for node in context.cluster.nodes:
        answer = _search(context, node, service_standin.POISON)
        assert answer.code == "quarantined", (answer.status, answer.body)


@behave.then("other searches are answered")
def then_answered(context):
    def is_answered():
        # An open circuit breaker may exclude restarted servers briefly.
        return _search(context, context.cluster.nodes[0], "mat").status == 200

    cluster_module.wait_for(is_answered, "an answer to another search")
