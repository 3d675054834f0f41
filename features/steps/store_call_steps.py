"""Steps of store_calls.feature: calls of simulated nodes to the store."""

import collections
import json
import math
import random
from unittest import mock

import behave
import expression

from bilberryturn import leases
from bilberryturn import rendezvous
from bilberryturn.edge import duties
from bilberryturn.edge import orders
from bilberryturn.edge import usage_windows
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import rows
from bilberryturn.routing import table as route_tables
from bilberryturn.routing import types
from support import fakes
from support import gateway_rig
from support import simulated_fleet
from support import store_standin

REQUESTS_PER_S = 60.0
CRASH_INTERVAL_S = 4.0
# Requests that a server has in hand when it crashes, and the time after which
# their retries are answered.
LOST_REQUESTS = 5
RETRY_S = 0.6
POPULAR_REQUESTS = 8
SEED = 1


@behave.given(
    "{count:d} nodes in {domains:d} failure domains that have started"
)
def given_started(context, count, domains):
    context.fleet = simulated_fleet.Fleet(count, domains, SEED)
    context.fleet.power_up(is_first_start=True)
    context.fleet.run(6.0)
    assert len(context.fleet.relays()) == domains
    context.fleet.take_calls()


class _CrashTraffic:
    """Requests that are answered at all nodes while servers crash.

    Attributes:
        known_after_s: For each crash the time until all nodes knew of it.
    """

    def __init__(self, fleet, is_alike):
        self._fleet = fleet
        self._is_alike = is_alike
        self._number = 0
        self._due = 0.0
        self._next_crash_s = fleet.now_s + 1.0
        self._retries = []
        self._unknown = {}
        self.known_after_s = []

    def step(self):
        """Answer the requests of one step."""
        fleet = self._fleet
        self._due += REQUESTS_PER_S * simulated_fleet.STEP_S
        while self._due >= 1.0:
            self._due -= 1.0
            self._answer(fleet.rng.choice(fleet.nodes), *self._names())
        while self._retries and self._retries[0][0] <= fleet.now_s:
            self._answer(*self._retries.pop(0)[1:])
        if fleet.now_s >= self._next_crash_s:
            self._next_crash_s += CRASH_INTERVAL_S
            self._crash()
        for request, at_s in list(self._unknown.items()):
            if all(n.knows_crash(request) for n in fleet.nodes):
                self.known_after_s.append(fleet.now_s - at_s)
                del self._unknown[request]

    def check_all_known(self, bound_s):
        """Fail if a crash was not known to all nodes within a time."""
        assert len(self.known_after_s) >= 4, self.known_after_s
        late = [s for s in self.known_after_s if s > bound_s]
        assert not late, self.known_after_s
        now_s = self._fleet.now_s
        unknown = [at for at in self._unknown.values() if now_s - at > bound_s]
        assert not unknown, unknown

    def _names(self):
        """Return the parts and the name of a new request."""
        self._number += 1
        rng = self._fleet.rng
        if self._is_alike:
            return (), f"{rng.randrange(POPULAR_REQUESTS):016x}"
        request = f"{self._number:016x}_{rng.randrange(7):08x}"
        return ("system", f"tool{rng.randrange(5)}"), request

    def _answer(self, node, parts, request):
        node.shared.part_crashes.record_answer(
            parts, node.clock.now_s(), request
        )

    def _crash(self):
        fleet = self._fleet
        server = (f"s{fleet.rng.randrange(70)}", self._number)
        for _ in range(LOST_REQUESTS):
            node = fleet.rng.choice(fleet.nodes)
            names = self._names()
            self._record(node, server, *names)
            self._retries.append((fleet.now_s + RETRY_S, node, *names))
        # One that is not retried and has no other name in common.
        deadly = f"dead{self._number:012x}"
        self._record(fleet.rng.choice(fleet.nodes), server, (), deadly)
        self._unknown[deadly] = fleet.now_s

    def _record(self, node, server, parts, request):
        now_s = node.clock.now_s()
        node.shared.part_crashes.record_crash(
            server, parts, request, now_s, now_s - 0.3
        )


@behave.when(
    "requests that {share} are answered for {duration_s:d} s while servers"
    " crash"
)
def when_answered(context, share, duration_s):
    context.traffic = _CrashTraffic(context.fleet, share == "are alike")
    context.fleet.run(duration_s, context.traffic.step)
    context.calls = context.fleet.take_calls()


@behave.then("the relays have read the reports at most {limit:d} times")
def then_read(context, limit):
    found = context.calls["/rows-feed", "suspects"]
    assert 0 < found <= limit, found


@behave.then("each crash was known to all nodes within {bound_s:d} s")
def then_known(context, bound_s):
    context.traffic.check_all_known(bound_s)


# Outages

FAULTS = {"refuses": "503", "doesn't answer": "silent"}


@behave.when("the store {fault} the calls of all nodes for {duration_s:g} s")
def when_away(context, fault, duration_s):
    context.fleet.faults = {"": FAULTS[fault]}
    context.fleet.run(duration_s)
    context.fleet.faults = {}


@behave.when(
    "the store refuses the calls of the first {count:d} nodes of a failure"
    " domain for {duration_s:g} s"
)
def when_refused(context, count, duration_s):
    relay = context.fleet.relays()[0]
    ranked = rendezvous.rank(relay.presence.domain_peers(), relay.domain)
    context.fleet.faults = {
        node.name: "503"
        for node in context.fleet.nodes
        if node.address in ranked[:count]
    }
    context.fleet.run(duration_s)


@behave.when(
    "the operator writes version {version:d} {when}, {duration_s:g} s before"
    " the end"
)
def when_written(context, version, when, duration_s):
    fleet = context.fleet
    fleet.write_config(version)
    written_s = fleet.now_s
    context.in_force_after_s = {}

    def observe():
        for node in fleet.nodes:
            table = node.shared.table
            if table is not None and table.version == version:
                context.in_force_after_s.setdefault(
                    node.name, fleet.now_s - written_s
                )

    fleet.run(duration_s + 2 * simulated_fleet.STEP_S, observe)
    context.calls = fleet.take_calls()


@behave.then(
    "all nodes that are not turned away have version {version:d} within"
    " {bound_s:g} s"
)
def then_in_force(context, version, bound_s):
    fleet = context.fleet
    late = [
        node.name
        for node in fleet.nodes
        if node.name not in fleet.faults
        and context.in_force_after_s.get(node.name, math.inf) > bound_s
    ]
    assert not late, late


@behave.then("the nodes have tried to read the servers at most {limit:d} times")
def then_tried(context, limit):
    found = (
        context.calls["/rows-feed", "servers"]
        + context.calls["/rows-get", "servers"]
    )
    assert 0 < found <= limit, found


# Starts

FOLLOWED = ("servers", "op", "suspects")


@behave.when("all of them lose power and start again within {spread_s:g} s")
def when_power_fails(context, spread_s):
    fleet = context.fleet
    fleet.power_down()
    fleet.run(1.0)
    fleet.take_calls()
    context.ready_after_s = {}
    context.led_after_s = {}

    def observe():
        for node in fleet.nodes:
            after_s = fleet.now_s - node.started_s
            shared = node.shared
            if shared.table is not None and shared.directory.all_servers():
                context.ready_after_s.setdefault(node.name, after_s)
            if node.relay._relay or not node.relay._candidates():
                context.led_after_s.setdefault(node.name, after_s)

    fleet.power_up(is_first_start=False, spread_s=spread_s, act=observe)
    fleet.run(7.0 - spread_s, observe)
    context.calls = fleet.take_calls()
    assert len(fleet.nodes) == len(fleet.by_address)


@behave.then(
    "each has the configuration and the servers within {bound_s:g} s of its"
    " start"
)
def then_ready(context, bound_s):
    found = context.ready_after_s
    assert len(found) == len(context.fleet.nodes), len(found)
    assert max(found.values()) <= bound_s, found


@behave.then("each knows its relay within {bound_s:g} s of its start")
def then_led(context, bound_s):
    found = context.led_after_s
    assert len(found) == len(context.fleet.nodes), len(found)
    assert max(found.values()) <= bound_s, found


@behave.then(
    "within 7 s they have read the tables for relays at most {limit:d} times"
)
def then_read_tables(context, limit):
    found = sum(
        count
        for (path, table), count in context.calls.items()
        if path != "/rows-tx" and table in FOLLOWED
    )
    assert 0 < found <= limit, found


@behave.then("they have written no row in table {table}")
def then_not_written(context, table):
    assert not context.calls["/rows-tx", table], context.calls


@behave.when("{count:d} of them start again at another address")
def when_moved(context, count):
    fleet = context.fleet
    for node in fleet.nodes[:count]:
        fleet.replace(node, f"10.9.0.{node.name[1:]}:1")
    fleet.run(4.0)
    context.calls = fleet.take_calls()


@behave.then("they have written {count:d} rows in table {table}")
def then_written(context, count, table):
    assert context.calls["/rows-tx", table] == count, context.calls
    addresses = {
        json.loads(value)
        for _, _, value in context.fleet.store.raw_rows([table])
    }
    assert addresses == set(context.fleet.by_address), addresses


# The lease


@behave.when("{duration_s:g} s pass")
def when_passes(context, duration_s):
    context.fleet.run(duration_s)
    context.calls = context.fleet.take_calls()


@behave.when("the store refuses the calls of the holder for {duration_s:g} s")
def when_holder_refused(context, duration_s):
    fleet = context.fleet
    with fleet.simulated_time():
        (context.holder,) = (n for n in fleet.nodes if n.lease.is_held())
    fleet.faults = {context.holder.name: "503"}
    fleet.run(duration_s)
    fleet.faults = {}
    context.holder.clients["duties"].calls.clear()


@behave.then("it has read the lease at most {limit:d} times since")
def then_left(context, limit):
    found = context.holder.clients["duties"].calls["/rows-get", "lease"]
    assert 0 < found <= limit, found
    assert not context.holder.lease.may_resume


@behave.then("the nodes have read the lease at most {limit:d} times")
def then_lease_read(context, limit):
    found = context.calls["/rows-get", "lease"]
    assert 0 < found <= limit, found


@behave.then("the nodes behind relays have not read it")
def then_not_read(context):
    relays = context.fleet.relays()
    found = {
        node.name: node.clients["duties"].calls["/rows-get", "lease"]
        for node in context.fleet.nodes
        if node not in relays
    }
    # Each has looked at it once as it started.
    assert max(found.values()) <= 1, found


@behave.then("each usage window that has ended has been reported in time")
def then_reported(context):
    fleet = context.fleet
    window_s, due_s = simulated_fleet.WINDOW_S, simulated_fleet.DUE_S
    reported_s = {}
    for at_s, path, body in fleet.reports:
        if path == "/usage":
            end_s = (body["windowId"] + 1) * window_s - simulated_fleet.UTC_S
            reported_s.setdefault(body["windowId"], at_s - end_s)
    first = min(reported_s)
    last = int((simulated_fleet.UTC_S + fleet.now_s - due_s) // window_s) - 1
    assert last - first >= 4, reported_s
    missing = set(range(first, last + 1)) - reported_s.keys()
    assert not missing, missing
    assert max(reported_s.values()) <= due_s, reported_s


# Usage


@behave.given(
    "{count:d} nodes that send their last counts of a window within"
    " {spread_s:g} s of its end"
)
def given_sealing(context, count, spread_s):
    rng = random.Random(SEED)
    context.sent_after_s = {
        f"n{number}": rng.uniform(0.05, spread_s) for number in range(count)
    }


class _WindowEnd:
    """A relay that gets and writes the counts of a window that has ended.

    Attributes:
        calls: Times of its calls to the store, from the end of the window.
        written_s: Time at which the store had all counts.
    """

    WINDOW = 200

    def __init__(self, sent_after_s, phase_s):
        end_s = (self.WINDOW + 1) * simulated_fleet.WINDOW_S
        standin = store_standin.MemoryStore()
        client = store_standin.DirectClient(standin)
        writer = usage_windows.CountWriter(
            rows.RowStore(client), simulated_fleet.WINDOW_S
        )
        for lifetime in sent_after_s:
            writer.update_usage(lifetime, self._counts(is_sealed=False))
        writer.write(end_s - 0.01)
        self.calls = []
        self.written_s = None
        for tenth in range(31):
            after_s = tenth / 10
            for lifetime, sent_s in sent_after_s.items():
                if after_s >= sent_s:
                    writer.update_usage(lifetime, self._counts(is_sealed=True))
            if tenth % 10 == round(10 * phase_s):
                version = standin.version
                writer.write(
                    end_s + after_s, usage_windows.MAX_WRITE_INTERVAL_S
                )
                if standin.version > version:
                    self.calls.append(after_s)
            found = standin.raw_rows(["usage"])
            if self.written_s is None and all(
                json.loads(value)["is_sealed"] for _, _, value in found
            ):
                self.written_s = after_s

    def _counts(self, is_sealed):
        counts = shared_state.WindowCounts({"shop": 1}, is_sealed)
        return {self.WINDOW: counts}


@behave.when(
    "their relay looks once a second for what to write, at {count:d} phases"
)
def when_looks(context, count):
    context.window_ends = [
        _WindowEnd(context.sent_after_s, phase / count)
        for phase in range(count)
    ]


@behave.then("it writes the ended window in one call")
def then_one_call(context):
    calls = [window_end.calls for window_end in context.window_ends]
    assert all(len(found) == 1 for found in calls), calls


@behave.then("it has written all counts before the window is summed")
def then_written_in_time(context):
    written = [window_end.written_s for window_end in context.window_ends]
    assert None not in written, written
    assert max(written) < usage_windows.SUM_DELAY_S, written


# Orders


class _CountingClient(store_standin.DirectClient):
    """Calls a store and counts the calls by path and table."""

    def __init__(self, standin):
        super().__init__(standin)
        self.calls = collections.Counter()

    def call(self, method, path, body=None):
        table = "fleet" if "fleet" in f"{path}{body}" else ""
        self.calls[path.partition("?")[0], table] += 1
        return super().call(method, path, body)


class _Holder:
    """A holder of the lease that orders servers, and what it knows."""

    def __init__(self, standin, clock, services):
        self.client = _CountingClient(standin)
        self.services = services
        self._clock = clock
        store = rows.RowStore(self.client)
        self._lease = leases.Lease(
            "duties", "a", simulated_fleet.LEASE, store, clock
        )
        self._shared = shared_state.SharedState(
            "east",
            shared_state.RetryLimits(0.2, 1, 10),
            simulated_fleet.WINDOW_S,
            upstream.ConnectionPool(),
        )
        scaling = types.Scaling(1, 9, 2.0, None, {})
        self._shared.table = route_tables.RouteTable(
            1,
            [],
            [types.Service(name, 100, None, scaling) for name in services],
            types.Limits(),
            None,
        )
        self._calls = mock.Mock()
        self._calls.order_servers.return_value = expression.Ok(None)
        self._orders = orders.OrderSender(
            store, self._lease, self._calls, self._shared
        )

    def start_server(self, service, number):
        """Let a server of a service start."""
        server = gateway_rig.make_server(f"{service}-{number}", 80)
        self._shared.directory.report(server._replace(service=service), 0.0)

    def run(self, duration_s):
        """Run the duty, and return the services with orders."""
        for _ in range(int(duration_s / duties.STEP_INTERVAL_S)):
            self._clock.now_s += duties.STEP_INTERVAL_S
            self._lease.renew_or_acquire()
            if self._lease.is_held():
                self._orders.step(self._clock())
        return {c.args[0] for c in self._calls.order_servers.call_args_list}


@behave.given(
    "a holder of the lease and {count:d} services whose servers start within"
    " {duration_s:d} s"
)
def given_holder(context, count, duration_s):
    context.standin = store_standin.MemoryStore()
    context.clock = fakes.FakeClock()
    services = [f"service-{number}" for number in range(count)]
    context.holder = _Holder(context.standin, context.clock, services)
    for number in range(duration_s):
        for service in services:
            context.holder.start_server(service, number)
        context.holder.run(1.0)


@behave.when("{duration_s:d} s pass for the holder")
def when_passes_for_holder(context, duration_s):
    context.ordered = context.holder.run(duration_s)


@behave.then(
    "it has read the first numbers {count:d} times and recorded them once each"
)
def then_read_once(context, count):
    calls = context.holder.client.calls
    assert calls["/rows-get", "fleet"] == count, calls
    assert calls["/rows-tx", "fleet"] == count, calls
    assert context.ordered == set(context.holder.services), context.ordered


@behave.then("a holder that follows it orders by the recorded numbers")
def then_follows(context):
    services = context.holder.services
    follower = _Holder(context.standin, context.clock, services)
    ordered = follower.run(12.0)
    assert ordered == set(services), ordered
    assert follower.client.calls["/rows-tx", "fleet"] == 0
