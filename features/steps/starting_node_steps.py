"""Steps of starting_node.feature."""

import asyncio
import json
import random
import signal
import threading
import time
from unittest import mock

import behave

from bilberryturn import leases
from bilberryturn.edge import duties
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import presence
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import drain
from bilberryturn.gateway import memory
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import state_arrival
from bilberryturn.gateway import upstream
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from bilberryturn_standins import proxy
from soak import testbed as testbed_module
from support import gateway_rig
from support import platform_data
from support import scripted
from support import store_standin

WHOLE = b"answer"
KB = 1024
MB = 1024 * KB
# Longer than a refused request may have waited.
LATE_S = 6.0
LONG_S = 20
LEASE = leases.LeaseOptions(3.0, 0.5)


def _start_rig(context, began_s=None):
    context.server = scripted.ScriptedServer(
        lambda peer, head, body, number: peer.answer(head, WHOLE)
    )
    context.closers.append(context.server.close)
    context.rig = gateway_rig.GatewayRig([])
    context.closers.append(context.rig.close)
    context.route_table = context.rig.shared.table
    context.rig.shared.table = None
    context.rig.shared.arrival.begin(began_s or time.monotonic())


def _read(context, *parts):
    """Let the gateway read parts of its state one after the other."""
    shared = context.rig.shared

    async def read(part):
        if part == "configuration":
            shared.table = context.route_table
        else:
            shared.list_waits.confirm(leases.boottime_s())
        if part == "servers":
            server = gateway_rig.make_server("s0", context.server.port)
            shared.directory.report(server, time.monotonic())
        shared.record_arrival()

    for part in parts:
        context.rig.call(read, part)
        # Requests that wake too early would run or be refused here.
        time.sleep(0.1)


def _waiting_count(context):
    return len(context.rig.shared.arrival._waiting)


@behave.given("a starting gateway that {state}")
def given_starting(context, state):
    if state.startswith("has listened"):
        _start_rig(context, time.monotonic() - LATE_S)
        return
    _start_rig(context)
    if state.startswith("knows its configuration"):
        _read(context, "configuration")
    elif state.startswith("has read"):
        _read(context, "configuration", "empty list")


@behave.given("its routes have a time limit of {timeout_s:g} s")
def given_limit(context, timeout_s):
    table = gateway_rig.make_table(timeout_s=timeout_s)
    if context.rig.shared.table is not None:
        context.rig.shared.table = table


@behave.when("{count:d} callers send it a request each")
def when_many(context, count):
    # A busy machine must not end a wait before the scenario does.
    for name in ("MAX_WAIT_S", "START_S"):
        patch = mock.patch.object(state_arrival, name, LONG_S)
        patch.start()
        context.closers.append(patch.stop)
    context.route_table = gateway_rig.make_table(timeout_s=3 * LONG_S)
    limit = f"X-Bilberryturn-Deadline-Ms: {3000 * LONG_S}\r\n"
    context.connections = []
    for number in range(count):
        connection = gateway_rig.connect(context.rig.port)
        context.closers.append(connection.close)
        connection.sendall(
            gateway_rig.request_text("unsafe", f"r{number}", extra=limit)
        )
        context.connections.append(connection)
    platform_data.wait_for(
        lambda: _waiting_count(context) == count,
        LONG_S / 2,
        lambda: _waiting_count(context),
    )


@behave.when("it reads the {first:w} and then the {second:w}")
def when_read(context, first, second):
    _read(context, first, second)


@behave.when("a caller with a time limit of {limit_ms:d} ms sends it a request")
def when_one(context, limit_ms):
    started_s = time.monotonic()
    context.answer = gateway_rig.send_request(
        context.rig.port,
        gateway_rig.request_text(
            "unsafe", "r", extra=f"X-Bilberryturn-Deadline-Ms: {limit_ms}\r\n"
        ),
    )
    context.took_s = time.monotonic() - started_s


@behave.when("the callers leave")
def when_leave(context):
    for connection in context.connections:
        connection.close()


@behave.when("it begins to stop")
def when_stop(context):
    context.rig.shared.drain = drain.plan(time.monotonic(), 8.0)


@behave.when("the stop ends")
def when_ends(context):
    context.rig.call(context.rig.server.end_all)


def _answers(context):
    return [gateway_rig.read_answer(c) for c in context.connections]


@behave.then("all of them get the whole answer")
def then_all(context):
    found = [(a.status, a.body) for a in _answers(context)]
    assert found == [(200, WHOLE)] * len(found), found


@behave.then("all of them get 503 with {reason:w}")
def then_all_refused(context, reason):
    found = [(a.status, _reason(a)) for a in _answers(context)]
    assert found == [(503, reason)] * len(found), found
    assert not context.server.requests, context.server.requests


@behave.then("each of them has run once")
def then_once(context):
    found = [
        scripted.header(head, "X-Bilberryturn-Attempt-Id")
        for head, _ in context.server.requests
    ]
    assert len(found) == len(set(found)) == len(context.connections), found


@behave.then("no request waits any more")
def then_none_waits(context):
    account = context.rig.shared.memory

    def left():
        return _waiting_count(context), account.held_bytes, account.fixed_bytes

    platform_data.wait_for(lambda: left() == (0, 0, 0), 2, left)


@behave.then("no server gets a request")
def then_unsent(context):
    time.sleep(0.3)
    assert not context.server.requests, context.server.requests


@behave.then(
    "a request whose time limit is {limit} waits for {wait_s:g} s at most"
)
def then_wait(context, limit, wait_s):
    timeout_s = None if limit == "unknown" else float(limit.split()[0])
    found = state_arrival.wait_until_s(100.0, timeout_s)
    assert round(found, 6) == 100 + wait_s, found


def _reason(answer):
    return json.loads(answer.body)["error"]["type"]


@behave.then("the caller is refused with {reason:w}")
def then_refused(context, reason):
    assert context.answer.status == 503, context.answer.head
    assert _reason(context.answer) == reason, context.answer.body
    assert not context.server.requests, context.server.requests


@behave.then("it has waited for between {least_s:g} and {most_s:g} s")
def then_waited(context, least_s, most_s):
    assert least_s <= context.took_s < most_s, context.took_s


@behave.then("its request has not waited")
def then_not_waited(context):
    assert context.took_s < state_arrival.MAX_WAIT_S, context.took_s
    assert not context.rig.shared.arrival.is_open(time.monotonic())


# Account of memory, without a network


@behave.given(
    "an account of {size_mb:d} MB and {count:d} requests of up to {size_kb:d}"
    " KB that wait"
)
def given_account(context, size_mb, count, size_kb):
    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    context.account = memory.MemoryAccount(size_mb * MB)
    context.arrival = state_arrival.StateArrival(context.account)
    now_s = time.monotonic()
    context.arrival.begin(now_s)
    rng = random.Random(1)
    context.sizes = [rng.randrange(1, size_kb) * KB for _ in range(count)]
    context.waits = [
        context.loop.create_task(
            context.arrival.wait(state_arrival.Part.CONFIG, now_s + 60, size)
        )
        for size in context.sizes
    ]
    context.peak_bytes = 0

    async def begin():
        for _ in range(3):
            await asyncio.sleep(0)
            held_bytes = context.account.held_bytes
            context.peak_bytes = max(context.peak_bytes, held_bytes)

    context.loop.run_until_complete(begin())


@behave.then("the account holds at most {size_mb:d} MB")
def then_holds(context, size_mb):
    assert 0 < context.peak_bytes <= size_mb * MB, context.peak_bytes


@behave.then("the requests that gave way were larger than those that wait")
def then_larger(context):
    pairs = list(zip(context.sizes, context.waits, strict=True))
    gave_way = [size for size, wait in pairs if wait.done()]
    waiting = [size for size, wait in pairs if not wait.done()]
    assert gave_way and waiting, (len(gave_way), len(waiting))
    assert min(gave_way) >= max(waiting), (min(gave_way), max(waiting))
    context.waiting_count = len(waiting)


@behave.when("the state arrives")
def when_arrives(context):
    context.arrival.update(set(state_arrival.Part))
    context.outcomes = context.loop.run_until_complete(
        asyncio.gather(*context.waits)
    )


@behave.then("the requests that did not give way go on")
def then_go_on(context):
    found = context.outcomes.count(state_arrival.Outcome.KNOWN)
    assert found == context.waiting_count, (found, context.waiting_count)
    refused = context.outcomes.count(state_arrival.Outcome.NO_ROOM)
    assert found + refused == len(context.outcomes), context.outcomes


@behave.then("the account is empty")
def then_account_empty(context):
    assert context.account.held_bytes == 0, context.account.held_bytes


# Readiness, without ticks


def _apply(context, reader, key, value=None):
    """Let the node apply a snapshot of a table with one row or none."""
    changes = []
    if value is not None:
        changes.append(rows.Change(key, 1, json.dumps(value).encode()))
    reading = followers.Reading(changes, True, False, leases.boottime_s(), 0)
    context.node._applied(reader)(reading)


@behave.when("the node reads its configuration and one server")
def when_reads(context):
    shared = shared_state.SharedState(
        "here",
        shared_state.RetryLimits(0.2, 90.0, 10.0),
        5.0,
        upstream.ConnectionPool(),
    )
    context.node.shared = shared
    context.applier = feeds.Applier(shared, peer_state.RawState(), "n@1")
    config = platform_data.make_config(1)
    _apply(context, context.applier.on_config_read, rows.CONFIG_KEY, config)
    assert not context.node._is_ready
    entry = platform_data.make_entry()
    _apply(context, context.applier.on_servers_read, "s0", entry)


@behave.when("the node reads that there is no server any more")
def when_reads_none(context):
    _apply(context, context.applier.on_servers_read, "s0")


@behave.then("the node says that it is {said}")
def then_says(context, said):
    assert context.node._is_ready == (said == "ready"), said


# A process


@behave.given("a node process whose store takes {delay_s:g} s for each answer")
def given_process(context, delay_s):
    context.testbed = testbed_module.start(
        context, 1, lambda peer, head, body, number: peer.answer(head, WHOLE)
    )
    context.node = context.testbed.nodes[0]
    context.node.wait_ready()
    store_address = context.testbed.store.address
    context.testbed.proxy.set_rules(
        [proxy.Rule("", store_address, "delay", delay_s)]
    )


@behave.when(
    "it is killed and starts again, and {count:d} callers send requests as soon"
    " as it listens"
)
def when_restarted(context, count):
    node = context.node
    node.signal(signal.SIGKILL)
    node.process.wait()
    node.log_path.write_text("", "utf-8")
    node.start()
    context.connections = []
    limit_s = time.monotonic() + testbed_module.READY_LIMIT_S
    while len(context.connections) < count:
        assert time.monotonic() < limit_s, "the node does not listen"
        try:
            connection = gateway_rig.connect(node.port, node.ip)
        except ConnectionRefusedError:
            time.sleep(0.002)
            continue
        context.closers.append(connection.close)
        number = len(context.connections)
        connection.sendall(
            gateway_rig.request_text("unsafe", f"r{number}", key="key-a")
        )
        context.connections.append(connection)


def _log_entries(context):
    text = context.node.log_path.read_text("utf-8")
    # The last line may not be whole yet.
    return [json.loads(line) for line in text.split("\n")[:-1]]


def _logged(context, event):
    return [e for e in _log_entries(context) if e["event"] == event]


@behave.then("some of them waited for the state")
def then_some(context):
    (arrived,) = _logged(context, "state_arrived")
    assert arrived["waiting"] > 0, arrived
    waited = [e["waited_s"] for e in _logged(context, "request_ended")]
    assert any(waited), waited


@behave.then("the node was ready as soon as the state had arrived")
def then_ready(context):
    context.node.wait_ready()
    found = [entry["event"] for entry in _log_entries(context)]
    arrived_index = found.index("state_arrived")
    ready_index = found.index("readiness_changed")
    # The requests that waited end in later turns of the event loop.
    between = found[arrived_index:ready_index]
    assert between and "request_ended" not in between, found


# What a starting node calls


class _RecordingClient(store_standin.DirectClient):
    """Records the paths of its calls."""

    def __init__(self, standin):
        super().__init__(standin)
        self.calls = []

    def call(self, method, path, body=None):
        self.calls.append(path.partition("?")[0].strip("/"))
        return super().call(method, path, body)


OWN_ADDRESS = "10.0.0.1:1"
OWN_ROWS = {
    "stands": OWN_ADDRESS,
    "is missing": None,
    "has another address": "10.0.0.2:1",
}


@behave.given("a store in which the row of a node {row}")
def given_own_row(context, row):
    context.standin = store_standin.MemoryStore()
    context.copy = context.standin.copy()
    if OWN_ROWS[row] is not None:
        context.standin.put("nodes", "east.n1", OWN_ROWS[row])


@behave.when("the node starts again and its duties take their first step")
def when_first_step(context):
    context.client = _RecordingClient(context.standin)
    store = rows.RowStore(context.client, era_tracker=store_era.EraTracker())
    context.presence = presence.Presence(store, "n1", "east", OWN_ADDRESS, ())
    lease = leases.Lease("duties", "n1", LEASE, store)
    duties.DutyRunner(
        lease, LEASE.ttl_s, context.presence, lambda _: None, None, None, False,
        lambda: False, shared_clock.SharedClock(), None,
    )._step()  # fmt: skip


@behave.then("it calls {calls}")
def then_calls(context, calls):
    assert context.client.calls == calls.split(", then "), context.client.calls
    assert context.presence.count() == 1


@behave.then("its row stands in the store")
def then_row(context):
    found = context.standin.value("nodes", "east.n1")
    assert found == OWN_ADDRESS, found


@behave.then("its row stands in the store again after a restore that lost it")
def then_row_again(context):
    context.standin.restore(context.copy)
    # Any answer shows the new era.
    context.presence.read()
    context.presence.register()
    then_row(context)


@behave.when("a node starts again and the store {answers} its first call")
def when_reads_first(context, answers):
    tables = (rows.SERVER_TABLE, rows.OPERATOR_TABLE, rows.SUSPECT_TABLE)
    context.followers = {
        table: followers.Follower(table, "127.0.0.1:9", 0.0, 0.2, "", None)
        for table in tables
    }
    # The node does not rank first, and its relay is not there.
    relay = "127.0.0.1:9"
    own = next(
        own
        for number in range(1, 100)
        if relays.candidates(own := f"10.0.0.{number}:1", {relay}, "east")
    )
    peers_known, stopping = threading.Event(), threading.Event()
    peers_known.set()
    client = relays.RelayClient(
        "n1", own, "east", "", intervals.from_bounds(5.0, 5.0, 5.0),
        lambda: [relay], list, dict, dict, shared_clock.SharedClock(),
        list(context.followers.values()), lambda: peer_state.Known(""), None,
        peers_known, relays.RESTART_WAITS,
        is_store_reached=lambda: answers == "answers",
    )  # fmt: skip
    with mock.patch.object(client, "_pause_s", lambda: stopping.set() or 0.0):
        client.run(stopping)


@behave.then("it reads {tables} at once")
def then_reads_tables(context, tables):
    found = [t for t, f in context.followers.items() if f.active.is_set()]
    assert found == tables.split(", "), found
