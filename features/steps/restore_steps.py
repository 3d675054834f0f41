"""Steps of restores.feature: the store continues from an older copy."""

import json

import behave
import expression

from bilberryturn import leases
from bilberryturn.edge import config_order
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import orders
from bilberryturn.edge import peer_state
from bilberryturn.edge import presence
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import exceptions
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from bilberryturn.platform import tables
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import fakes
from support import gateway_rig
from support import store_standin


class _Client(store_standin.DirectClient):
    """Restores the store from a copy after a number of calls."""

    def __init__(self, standin, copy, calls):
        super().__init__(standin)
        self._copy = copy
        self._calls = calls

    def call(self, method, path, body=None):
        result = super().call(method, path, body)
        self._calls -= 1
        if self._calls == 0:
            self._standin.restore(self._copy)
        return result


def _connect(context):
    """Return a client of the store with an era of its own."""
    client = store_standin.DirectClient(context.standin)
    return rows.RowStore(client, era_tracker=store_era.EraTracker())


# Versions


@behave.given(
    "a node that follows a table up to a version that the store then loses"
)
def given_follows(context):
    context.standin = store_standin.MemoryStore()
    context.standin.put("t", "first", 1)
    context.copy = context.standin.copy()
    for number in range(3):
        context.standin.put("t", f"lost{number}", number)
    context.store = _connect(context)
    context.known = context.store.snapshot("t").ok


@behave.when("the store has given the same versions out again")
def when_again(context):
    names = ("a", "b", "c", "d")
    writes = [("t", name, 0) for name in names]
    context.standin.restore(context.copy, writes)


@behave.then("the node learns of all rows")
def then_learns(context):
    store, known = context.store, context.known
    found = store.wait_for_changes("t", known.version, 0.0, known.era)
    assert isinstance(found.error, exceptions.HistoryLostError), found
    keys = [row.key for row in store.snapshot("t").ok.rows]
    assert keys == ["a", "b", "c", "d", "first"], keys


@behave.given("a node that has read a row that is then replaced by another one")
def given_row(context):
    context.standin = store_standin.MemoryStore()
    copy = context.standin.copy()
    context.standin.put("t", "k", "lost")
    context.store = _connect(context)
    context.row = context.store.read("t/k").ok
    context.standin.restore(copy, [("t", "k", "new")])


@behave.when(
    "it writes where it expects the version, {when} it knows of the restore"
)
def when_writes(context, when):
    if when == "after":
        context.store.read("t/other")
    context.result = context.store.transact(
        {"t/k": context.row.version}, {"t/k": "mine"}
    )


@behave.then("it is told that it {told}")
def then_told(context, told):
    if told == "was not performed":
        assert isinstance(context.result.ok, tables.Aborted), context.result
        assert context.standin.value("t", "k") == "new"
        return
    error = context.result.error
    assert isinstance(error, exceptions.StoreRestoredError), context.result


@behave.given(
    "a table of {count:d} rows that the store restores between two pages"
)
def given_pages(context, count):
    context.standin = store_standin.MemoryStore()
    for number in range(count):
        if number == count - 100:
            copy = context.standin.copy()
        context.standin.put("t", f"{number:04d}", number)
    client = _Client(context.standin, copy, 1)
    context.store = rows.RowStore(client, era_tracker=store_era.EraTracker())


@behave.then("a snapshot is refused, and the next one holds {count:d} rows")
def then_pages(context, count):
    error = context.store.snapshot("t").error
    assert isinstance(error, exceptions.StoreRestoredError), error
    found = context.store.snapshot("t").ok
    assert (len(found.rows), found.era) == (count, 1)


# Rows that are written once


class _NoCalls:
    """Accepts all orders."""

    def order_servers(self, *arguments):
        return expression.Ok(None)


class _Vm:
    """What one node writes once."""

    def __init__(self, context, name):
        self.store = _connect(context)
        self.presence = presence.Presence(
            self.store, name, "east", f"{name}:1", ()
        )
        self.presence.register()


@behave.given(
    "two nodes that have written their addresses, which the copy lacks"
)
def given_addresses(context):
    context.standin = store_standin.MemoryStore()
    copy = context.standin.copy()
    context.vms = [_Vm(context, "a"), _Vm(context, "b")]
    for vm in context.vms:
        vm.presence.read()
    context.copy = copy


@behave.when("the store is restored and both nodes go on")
def when_both(context):
    context.standin.restore(context.copy)
    first, second = context.vms
    first.presence.read()
    context.known_meanwhile = first.presence.peers()
    for vm in (first, second):
        vm.store.read("t/any")
        vm.presence.register()
        vm.presence.read()


@behave.then("the store has both addresses")
def then_addresses(context):
    found = {key for table, key in context.standin.rows if table == "nodes"}
    assert found == {"east.a", "east.b"}, found


@behave.then("neither node has forgotten the other meanwhile")
def then_not_forgotten(context):
    assert context.known_meanwhile == ["b:1"], context.known_meanwhile
    assert [vm.presence.peers() for vm in context.vms] == [["b:1"], ["a:1"]]


@behave.given("a holder that has recorded the first sizes and the time of day")
def given_recorded(context):
    context.standin = store_standin.MemoryStore()
    context.copy = context.standin.copy()
    context.steady = fakes.FakeClock()
    store = _connect(context)
    lease = leases.Lease(
        "duties", "a", leases.LeaseOptions(3.0, 0.5), store, context.steady
    )
    assert lease.renew_or_acquire()
    context.lease = lease
    context.time = shared_clock.SharedClock(context.steady, lambda: 5000.0)
    context.time.record_store_time(100.0, 1000.0, 1000.0)
    context.keeper = shared_clock.OffsetKeeper(
        store, lease, context.time, shared_clock.OffsetSamples(context.steady)
    )
    context.shared = shared_state.SharedState(
        "here",
        shared_state.RetryLimits(0.2, 1, 10),
        5.0,
        upstream.ConnectionPool(),
    )
    scaling = types.Scaling(1, 9, 2.0, None, {})
    service = types.Service("app", 100, None, scaling)
    context.shared.table = table.RouteTable(
        1, [], [service], types.Limits(), None
    )
    for number in range(3):
        server = gateway_rig.make_server(f"s{number}", 80)
        context.shared.directory.report(server, 0.0)
    context.orders = orders.OrderSender(
        store, lease, _NoCalls(), context.shared
    )
    _run_holder(context, 12.0)
    context.recorded = _recorded(context)
    assert None not in context.recorded, context.recorded


def _run_holder(context, duration_s):
    end_s = context.steady() + duration_s
    while context.steady() < end_s:
        context.steady.now_s += 0.5
        context.lease.renew_or_acquire()
        context.keeper.step(context.steady())
        context.orders.step(context.steady())


def _recorded(context):
    return (
        context.standin.value("fleet", "app"),
        context.standin.value("clock", "utc"),
    )


@behave.when("the store is restored to a copy without them")
def when_without(context):
    context.standin.restore(context.copy)
    server = gateway_rig.make_server("s9", 80)
    context.shared.directory.report(server, 0.0)
    _run_holder(context, 2.0)


@behave.then("the holder records the same first sizes again")
def then_sizes(context):
    assert _recorded(context)[0] == context.recorded[0], _recorded(context)


@behave.then("the holder records the same time of day again")
def then_time(context):
    assert _recorded(context)[1] == context.recorded[1], _recorded(context)


# Configurations


def _read_configuration(text):
    """Return a candidate from VERSION[CONTENT]@ERA[/WRITTEN]."""
    name, _, eras = text.partition("@")
    era, _, written = eras.partition("/")
    version = int(name.rstrip("abc"))
    return config_order.Candidate(
        version, name, int(era), int(written or config_order.NO_ERA)
    )


@behave.given("a node that learns of the configurations {sequence}")
def given_configurations(context, sequence):
    order = context.order = config_order.ConfigOrder()
    now_s = 1000.0
    for item in sequence.split(", "):
        kind, _, text = item.partition(" ")
        if kind == "wait":
            end_s = now_s + float(text)
            while now_s < end_s:
                now_s += 0.25
                order.release(now_s)
            continue
        candidate = _read_configuration(text)
        if kind == "feed":
            candidate = candidate._replace(written_era=candidate.era)
        order.decide(candidate, now_s, kind != "peer")


@behave.then("the configuration {name} is in force")
def then_in_force(context, name):
    assert context.order.current.digest == name, context.order.current


# Reports


def _read_reports(context, count, era, is_snapshot):
    """Read the row of a node that saw a request crash a number of servers."""
    reports = {
        f"crash:s{number}/1:request": (1_000 + number) * 1_000
        for number in range(count)
    }
    change = rows.Change("other@1", 1, json.dumps(reports).encode())
    context.applier.on_suspects_read(
        followers.Reading([change], is_snapshot, False, 0.0, era)
    )


@behave.given(
    "a node that knows {count:d} crashes of a request from another node"
)
def given_reports(context, count):
    context.shared = shared_state.SharedState(
        "here",
        shared_state.RetryLimits(0.2, 1, 10),
        5.0,
        upstream.ConnectionPool(),
        lambda: 1_010.0,
    )
    context.applier = feeds.Applier(
        context.shared, peer_state.RawState(), "own@1"
    )
    _read_reports(context, count, 0, True)
    assert context.shared.crash_cause(None, "request")


@behave.when(
    "it reads a copy of the store in which that node reports {count:d}"
)
def when_copy(context, count):
    _read_reports(context, count, 1, True)


@behave.then("it still refuses the request")
def then_still(context):
    assert context.shared.crash_cause(None, "request")


@behave.then("it follows what that node writes later")
def then_later(context):
    _read_reports(context, 0, 1, False)
    assert context.applier._raw.suspects["other@1"] == {}
