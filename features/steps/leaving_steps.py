"""Steps for leaving servers and stopping nodes."""

import contextlib
import json
import signal
import threading
import time
import types
from typing import NamedTuple

import behave
import werkzeug.test

from bilberryturn import entry
from bilberryturn import membership
from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from support import gateway_rig
from support import traffic

SEED = 3
REQUEST = "request-1."
NEXT_REQUEST = "request-2."
PROFILE = "quote-draft"
STREAM_TOKENS = 20
CALL_DELAY_S = 0.05
# Both last far longer than the stop's deadline.
LONG_CALL_S = 8.0
LONG_STREAM_TOKENS = 400
# Long enough to send a second request, far shorter than ANNOUNCE_S.
SHORT_CALL_S = 0.5
MB = 1024 * 1024
ANNOUNCE_S = 5


def mark_draining(context, name):
    set_mark(context, "backend_server", name, "draining")


def mark_leaving(context, name):
    set_mark(context, "vm", name, "leaving")


def set_mark(context, kind, name, mark):
    body = {"kind": kind, "name": name, "mark": mark, "wait_s": 30}
    context.cluster.nodes[0].admin().call("POST", "/marks", body)


def list_as_stopping(context, name):
    context.cluster.platform.set_vm(name, cheap=False, state="leaving")


def reclaim(context, name):
    """Announce a reclaim and crash the server 3 seconds later."""
    context.cluster.platform.set_vm(name, state="leaving")

    def crash_after_notice():
        time.sleep(3.0)
        standin = context.cluster.engines[name]
        standin.options = standin.options._replace(restart_s=3600.0)
        standin.crash()

    thread = threading.Thread(target=crash_after_notice, daemon=True)
    thread.start()
    context.closers.append(thread.join)


LEAVE_ACTIONS = {
    "an operator's drain": mark_draining,
    "an operator's mark": mark_leaving,
    "the platform's list": list_as_stopping,
    "a reclaim notice": reclaim,
}


@behave.when('traffic runs and engine "{name}" leaves after {trigger}')
def step_leave_by(context, name, trigger):
    context.leaving = context.cluster.engines[name]
    context.traffic = traffic.Traffic(
        context.cluster, [context.key], threads=8, tokens=30, seed=SEED
    ).start()
    cluster_module.wait_for(
        lambda: len(context.leaving.executions) > 5,
        "the engine to run requests",
    )
    LEAVE_ACTIONS[trigger](context, name)


@behave.then("it gets no new requests after {seconds:d} seconds")
def step_no_new_work(context, seconds):
    time.sleep(seconds)
    before = len(context.leaving.executions)
    count = len(context.traffic.outcomes)
    context.traffic.wait_for_count(count + 30)
    after = len(context.leaving.executions)
    assert after == before, (before, after)


@behave.then("no request of the traffic has failed")
def step_traffic_succeeded(context):
    outcomes = context.traffic.stop()
    assert outcomes
    assert not traffic.describe_incorrect(outcomes), traffic.describe_incorrect(
        outcomes
    )


@behave.when("a node is stopped while it streams {count:d} answers")
def step_stop(context, count):
    node = context.cluster.nodes[0]
    all_streaming = threading.Barrier(count + 1)
    context.outcomes = []

    def stream(number):
        prompt = f"planned stop {SEED}-{number}"

        def on_token(answer):
            if len(answer.token_times_s) == 2:
                all_streaming.wait(30)

        outcome = traffic.send_chat(
            context.cluster,
            node,
            context.key,
            "quote-draft",
            prompt,
            300,
            on_token=on_token,
        )
        context.outcomes.append(outcome)

    threads = [
        threading.Thread(target=stream, args=(n,), daemon=True)
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    all_streaming.wait(30)
    context.exit_status = node.stop()
    for thread in threads:
        thread.join(30)
    assert len(context.outcomes) == count


@behave.then("the node has exited with status {status:d}")
def step_status(context, status):
    assert context.exit_status == status, context.exit_status


class _SentRequest(NamedTuple):
    """A request on a kept connection and what came back."""

    name: str
    answer: gateway_rig.Answer

    def is_whole(self, is_stream):
        """Return whether the answer is complete, a stream with its end."""
        answer = self.answer
        if not answer.is_complete:
            return False
        if not is_stream or answer.status != 200:
            return True
        return answer.body.rstrip().endswith(b"data: [DONE]")


class _KeptConnection:
    """A caller that sends one request after another on its connection.

    It ignores an announced close and connects again only when the connection
    has been closed, until its node is gone.
    """

    def __init__(self, node, key, kind, number):
        self._node = node
        self._key = key
        self._kind = kind
        self._number = number
        self._connection = None
        self.sent: list[_SentRequest] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self):
        self._thread.join(90)
        assert not self._thread.is_alive(), "a caller did not finish"

    def _run(self):
        while self._node.is_running:
            name = f"kept-{SEED}-{self._number}-{len(self.sent)}."
            try:
                self._connect()
            except OSError:
                time.sleep(0.01)
                continue
            self.sent.append(_SentRequest(name, self._send(name)))
        self._close()

    def _connect(self):
        if self._connection is None:
            host, port = self._node.caller_address.split(":")
            self._connection = gateway_rig.connect(int(port), host)
            self._connection.settimeout(60)

    def _close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send(self, name):
        try:
            self._connection.sendall(_kept_request(self._kind, self._key, name))
            answer = gateway_rig.read_answer(self._connection)
        except OSError:
            answer = gateway_rig.Answer("", b"", False)
        if not answer.is_complete:
            self._close()
        return answer


def _kept_request(kind, key, name, tokens=STREAM_TOKENS, body=b"{}"):
    """Return the bytes of a request that its server recognizes by its name."""
    path, extra = "/services/booking/book", ""
    if "stream" in kind:
        path = "/v1/chat/completions"
        body = json.dumps(caller.chat_body(name, tokens)).encode()
        extra = f"X-Bilberryturn-Profile: {PROFILE}\r\n"
    elif "repeatable" in kind:
        path = f"/services/catalogue/search/{name}"
    else:
        extra = f"Idempotency-Key: {name}\r\n"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: router\r\n"
        f"Authorization: Bearer {key}\r\n{extra}"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _received_bytes(cluster):
    standins = (*cluster.engines.values(), *cluster.services.values())
    return b"\n".join(data for s in standins for data in s.received)


@behave.when(
    "a node is stopped while {count:d} callers send {kind} back to back"
)
def step_stop_kept(context, count, kind):
    node = context.cluster.nodes[0]
    for service in context.cluster.services.values():
        service.delay_s = CALL_DELAY_S
    context.kind = kind
    context.callers = [
        _KeptConnection(node, context.key, kind, n) for n in range(count)
    ]
    cluster_module.wait_for(
        lambda: all(len(c.sent) > 3 for c in context.callers),
        "every caller to have answers",
    )
    started_s = time.monotonic()
    context.exit_status = node.stop()
    context.stop_s = time.monotonic() - started_s
    for kept in context.callers:
        kept.join()


@behave.then(
    "the node has exited with status {status:d} within {limit_s:d} seconds"
)
def step_status_within(context, status, limit_s):
    assert context.exit_status == status, context.exit_status
    assert context.stop_s <= limit_s, context.stop_s


@behave.then("each request that a server received has a whole answer")
def step_kept_whole(context):
    received = _received_bytes(context.cluster)
    sent = [request for kept in context.callers for request in kept.sent]
    passed_on = [r for r in sent if r.name.encode() in received]
    assert passed_on
    lost = [
        (request.name, request.answer.head, request.answer.body[-200:])
        for request in passed_on
        if not request.is_whole(context.kind == "streams")
    ]
    assert not lost, (len(passed_on), lost)
    false_refusals = [
        request.name
        for request in passed_on
        if b'"not run"' in request.answer.body
    ]
    assert not false_refusals, false_refusals


@behave.then("each refusal announced that its connection closes")
def step_refusals_close(context):
    answers = [request.answer for c in context.callers for request in c.sent]
    refusals = [answer for answer in answers if answer.status == 503]
    kept = [a.head for a in refusals if a.header("Connection") != "close"]
    assert not kept, (len(refusals), len(kept), kept[0])


@behave.given("the deadline of a node's stop is {deadline_s:d} second")
def step_stop_deadline(context, deadline_s):
    node = context.cluster.nodes[0]
    _reload(context, node, stop_deadline_s=deadline_s)


def _reload(context, node, **timing):
    """Change settings of a running node."""
    context.cluster.write_settings(node, **timing)
    node.signal(signal.SIGHUP)
    cluster_module.wait_for(
        lambda: "settings_reloaded" in node.log_text(),
        "the settings to be reloaded",
    )


@behave.when("the node is stopped while a caller waits for {kind}")
def step_stop_waiting(context, kind):
    node = context.cluster.nodes[0]
    for service in context.cluster.services.values():
        service.delay_s = LONG_CALL_S
    connection = _connect(context, node)
    connection.sendall(
        _kept_request(kind, context.key, REQUEST, LONG_STREAM_TOKENS)
    )
    cluster_module.wait_for(
        lambda: REQUEST.encode() in _received_bytes(context.cluster),
        "a server to receive the request",
    )
    started_s = time.monotonic()
    node.signal(signal.SIGTERM)
    context.answer = gateway_rig.read_answer(connection)
    context.exit_status = node.wait()
    context.stop_s = time.monotonic() - started_s


def _connect(context, node):
    host, port = node.caller_address.split(":")
    connection = gateway_rig.connect(int(port), host)
    connection.settimeout(60)
    context.closers.append(connection.close)
    return connection


@behave.then(
    "the caller is told that the node has stopped and the request may have run"
)
def step_told_stopped(context):
    answer = context.answer
    assert answer.is_complete, answer.body[-300:]
    last = answer.body.strip().rpartition(b"\n")[2].removeprefix(b"data: ")
    error = json.loads(last).get("error", {})
    assert error.get("code") == "node_stopped", last
    assert error["ran"] == "may have run", last


class _ObservedRequests(entry.RunningRequests):
    """Counts the requests that a stop would wait for.

    Attributes:
        on_add: Called for each of them.
    """

    def __init__(self):
        super().__init__("node", 1)
        self.added_count = 0
        self.on_add = None

    def add(self, exchange):
        super().add(exchange)
        self.added_count += 1
        if self.on_add is not None:
            self.on_add()


@behave.given("the application of a node")
def step_application(context):
    context.node = types.SimpleNamespace(
        is_draining=True, is_stopping=False, running=_ObservedRequests()
    )
    context.application = entry.Application(context.node)


@behave.when("a request comes {when} the node begins to refuse requests")
def step_come(context, when):
    def begin():
        context.node.is_stopping = True

    if when == "after":
        begin()
    else:
        context.node.running.on_add = begin
    context.response = werkzeug.test.Client(context.application).get(
        "/services/catalogue/search"
    )


@behave.then("it is refused and the stop has not waited for it")
def step_refused_unseen(context):
    assert context.response.json["error"]["code"] == "stopping"
    assert context.node.running.added_count == 0


@behave.then("it is refused and the stop has waited for its refusal")
def step_refused_seen(context):
    assert context.response.json["error"]["code"] == "stopping"
    assert context.node.running.added_count == 1
    assert context.node.running.count() == 0


@behave.when("a node gets SIGTERM, then SIGHUP and SIGTERM until it is gone")
def step_signalled_throughout(context):
    node = context.cluster.nodes[0]
    node.signal(signal.SIGTERM)
    limit_s = time.monotonic() + cluster_module.STOP_TIMEOUT_S
    while node.is_running:
        assert time.monotonic() < limit_s, "the node does not end"
        node.signal(signal.SIGHUP)
        node.signal(signal.SIGTERM)
        time.sleep(0.002)
    context.exit_status = node.wait()


@behave.when("a node is stopped and a caller sends a request {when} a response")
def step_stop_between(context, when):
    node = context.cluster.nodes[0]
    _reload(context, node, drain_announce_s=ANNOUNCE_S)
    for service in context.cluster.services.values():
        service.delay_s = SHORT_CALL_S
    first, second = (
        _kept_request("repeatable call", context.key, name)
        for name in (REQUEST, NEXT_REQUEST)
    )
    node.signal(signal.SIGTERM)
    cluster_module.wait_for(
        lambda: "node_stopping" in node.log_text(), "the node to be stopping"
    )
    context.connection = _connect(context, node)
    if when == "ahead of":
        context.connection.sendall(first + second)
        context.answers = gateway_rig.read_answers(context.connection, 2)
        return
    context.connection.sendall(first)
    context.answers = [gateway_rig.read_answer(context.connection)]
    with contextlib.suppress(OSError):
        context.connection.sendall(second)


@behave.then("no close is announced before the last of both answers")
def step_both_answered(context):
    assert [a.status for a in context.answers] == [200, 200]
    announced = [a.header("Connection") for a in context.answers]
    assert announced == [None, "close"], announced


@behave.then("the connection is closed without a run of the request")
def step_closed(context):
    assert context.answers[0].header("Connection") == "close"
    following = gateway_rig.read_answer(context.connection)
    assert not following.head, following.head
    received = _received_bytes(context.cluster)
    assert NEXT_REQUEST.encode() not in received


@behave.when(
    "a caller sends a body of {size_mb:d} MB to a node that stops and refuses"
    " requests"
)
def step_large_body(context, size_mb):
    node = context.cluster.nodes[0]
    for service in context.cluster.services.values():
        service.delay_s = LONG_CALL_S
    # Keeps the node from ending.
    running = _connect(context, node)
    running.sendall(_kept_request("repeatable call", context.key, REQUEST))
    cluster_module.wait_for(
        lambda: REQUEST.encode() in _received_bytes(context.cluster),
        "a server to receive the request",
    )
    node.signal(signal.SIGTERM)
    cluster_module.wait_for(
        lambda: _call_models(context, node).code == "stopping",
        "the node to refuse requests",
    )
    connection = _connect(context, node)
    connection.sendall(
        _kept_request(
            "repeatable call",
            context.key,
            NEXT_REQUEST,
            body=b"x" * (size_mb * MB),
        )
    )
    context.answer = gateway_rig.read_answer(connection)


def _call_models(context, node):
    return context.cluster.caller(node, context.key).request(
        "GET", "/v1/models"
    )


@behave.then("the caller gets the whole refusal")
def step_whole_refusal(context):
    answer = context.answer
    assert answer.status == 503 and answer.is_complete, answer.head
    assert json.loads(answer.body)["error"]["code"] == "stopping", answer.body


@behave.when("traffic through the other nodes runs while {victim} is killed")
def step_kill_nodes(context, victim):
    cluster = context.cluster
    domain = cluster.domains[0]
    members = [n for n in cluster.nodes if n.domain == domain]
    ranked = membership.rank(
        [n.name for n in members], f"{domain.name}/tatami-small"
    )
    if victim == "a whole domain":
        victims = members
    elif victim == "another entry":
        victims = [cluster.node(ranked[-1])]
    else:
        victims = [cluster.node(ranked[0])]
    others = [n for n in cluster.nodes if n not in victims]
    context.traffic = traffic.Traffic(
        cluster, [context.key], 8, tokens=20, nodes=others, seed=SEED
    ).start()
    context.traffic.wait_for_count(20)
    for node in victims:
        node.kill()
    context.traffic.wait_for_count(len(context.traffic.outcomes) + 60)


@behave.when("every node is restarted in turn under traffic")
def step_rolling(context):
    cluster = context.cluster
    context.traffic = traffic.Traffic(
        cluster, [context.key], 8, tokens=20, seed=SEED
    ).start()
    context.traffic.wait_for_count(10)
    for node in cluster.nodes:
        assert node.stop() == 0
        node.start()
        cluster.wait_ready()
        cluster_module.wait_for(
            lambda node=node: node.status().get("version", 0) > 1,
            "the declarations to be applied again",
        )
    context.traffic.wait_for_count(len(context.traffic.outcomes) + 10)
