"""Steps for orders to the platform."""

import threading
import time

import behave

from bilberryturn import declarations
from bilberryturn import fleet
from bilberryturn import leases
from bilberryturn import messages
from bilberryturn.fleet import controller as controller_module
from bilberryturn_standins import cluster as cluster_module
from support import fakes
from support import traffic


@behave.given("the platform {manner} fencing numbers")
def step_fencing(context, manner):
    checks = manner == "checks"
    context.cluster.platform.checks_fencing["ordering"] = checks


def declare_min_running(context, count, idle_stop_s="300"):
    domain = context.cluster.domains[0]
    context.cluster.apply(
        {
            f"failure_domain {domain.name}": {
                "region": domain.region,
                "min_running": str(count),
                "idle_stop_s": idle_stop_s,
                "orders_per_minute": "600",
            }
        }
    )


def holder(context):
    """Return the node that holds the fleet lease."""

    def find():
        for node in context.cluster.nodes:
            for lease in node.status().get("leases", ()):
                if lease["held"] and lease["name"].startswith("fleet/"):
                    return node
        return None

    return cluster_module.wait_for(find, "a node to hold the fleet lease")


def accepted_orders(context):
    return context.cluster.platform.orders


@behave.when(
    "more servers are ordered while the holder of the fleet lease is frozen"
    " and thawed"
)
def step_frozen_controller(context):
    timing = cluster_module.FAST_TIMING
    freeze_s = timing["lease_ttl_s"] + 2 * timing["lease_margin_s"] + 1.0
    for count in (2, 3, 4):
        previous_holder = holder(context)
        before = len(accepted_orders(context))
        # The order is still in flight when its sender, the holder, is frozen.
        context.cluster.platform.set_fault(
            "ordering", "slow", delay_s=0.5, calls=1, match="order_id"
        )
        declare_min_running(context, count)
        time.sleep(0.4 * (count - 1))
        previous_holder.freeze()
        time.sleep(freeze_s)
        others = [n for n in context.cluster.nodes if n is not previous_holder]
        cluster_module.wait_for(
            lambda others=others: any(
                lease["held"]
                for node in others
                for lease in node.status().get("leases", ())
                if lease["name"].startswith("fleet/")
            ),
            "a successor to hold the fleet lease",
        )
        previous_holder.thaw()
        cluster_module.wait_for(
            lambda before=before: len(accepted_orders(context)) > before,
            "the order to be accepted",
        )
    time.sleep(2.0)


@behave.then("every accepted order carried the newest epoch")
def step_epochs_grow(context):
    epochs = [order["fencing_number"] for order in accepted_orders(context)]
    assert epochs, "no order was accepted"
    assert epochs == sorted(epochs), epochs


@behave.then("all {count:d} engines were ordered to run once")
def step_all_ordered(context, count):
    running = [
        order["server"]
        for order in accepted_orders(context)
        if order["desired"] == "running"
    ]
    assert len(set(running)) == count - 1, running
    assert all(
        vm["state"] == "running"
        for vm in context.cluster.platform.vms.values()
        if vm["kind"] == "engine"
    )
    assert not [
        o for o in accepted_orders(context) if o["desired"] == "stopped"
    ]


@behave.when(
    "answers of the ordering interface are lost while servers are ordered"
)
def step_lost_orders(context):
    context.cluster.platform.set_fault(
        "ordering", "lose_answer", calls=2, match="order_id"
    )
    declare_min_running(context, 3)
    cluster_module.wait_for(
        lambda: (
            sum(
                vm["state"] == "running"
                for vm in context.cluster.platform.vms.values()
                if vm["kind"] == "engine"
            )
            == 3
        ),
        "all engines to run",
    )
    time.sleep(1.0)


@behave.then("no server got conflicting orders")
def step_no_contradiction(context):
    desired = {}
    for order in accepted_orders(context):
        desired.setdefault(order["server"], set()).add(order["desired"])
    assert all(len(found) == 1 for found in desired.values()), desired


@behave.when("idle servers are stopped while long streams run")
def step_idle_stop(context):
    stopped_s = {}

    def record_stop(order):
        if order["desired"] == "stopped":
            stopped_s[order["server"]] = time.monotonic()
            standin = context.cluster.engines[order["server"]]
            context.running_at_stop = standin._running

    context.cluster.platform.on_order = record_stop
    declare_min_running(context, 1, idle_stop_s="1")
    results = []

    def stream(number):
        results.append(
            traffic.send_chat(
                context.cluster,
                context.cluster.nodes[number % 2],
                context.key,
                "quote-draft",
                f"long {number}",
                300,
            )
        )

    threads = [
        threading.Thread(target=stream, args=(n,), daemon=True)
        for n in range(1)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    context.outcomes = results
    cluster_module.wait_for(lambda: stopped_s, "a server to be stopped")
    time.sleep(2.0)
    context.stopped = stopped_s


@behave.then("one engine was ordered to stop, after its last request")
def step_one_stopped(context):
    assert len(context.stopped) == 1, context.stopped
    assert context.running_at_stop == 0, context.running_at_stop


class FakeStore:
    """Replaces the declaration store; fails when a mark is committed."""

    def commit(self, *arguments):
        raise AssertionError("the controller committed a mark")


def make_controller(table, ordering, lease, clock):
    return fleet.Controller(
        fleet.ControllerOptions("d", 0.0),
        lease,
        table,
        ordering,
        FakeStore(),
        clock,
    )


def fleet_view():
    declared = declarations.Declarations(
        1,
        {
            "failure_domain d": {
                "region": "r",
                "min_running": "2",
                "orders_per_minute": "600",
            }
        },
    )
    summary = messages.kinds.PoolSummary("d/m", 0, (0.0,))
    return controller_module.FleetView((summary,), declared)


class InterruptedOrdering:
    """Forwards calls to the ordering interface through InterruptedCalls."""

    def __init__(self, ordering, calls):
        self.servers = calls.wrap(ordering.servers)
        self._send = ordering.send
        self._calls = calls
        self.interrupted_send = False

    def send(self, *arguments):
        self.interrupted_send = (
            self._calls.count + 1 == self._calls.call_number
            and not self._calls.after
        )
        return self._calls.wrap(self._send)(*arguments)


def run_with_freeze(at, after, checks_fencing):
    """Freeze a controller at one call while a successor takes over.

    Returns:
        The ordering interface, whether the controller was frozen right before
        a send, and whether the call was reached at all.
    """
    clock = fakes.FakeClock()
    table = fakes.FakeTable()
    ordering = fakes.FakeOrdering(checks_fencing)
    reached, resume = threading.Event(), threading.Event()

    def interrupt():
        reached.set()
        resume.wait(30)

    calls = fakes.InterruptedCalls(at, after, interrupt)
    options = leases.LeaseOptions(10.0, 1.0)
    first_lease = leases.Lease("fleet/d", "a", options, table, clock)
    assert first_lease.renew_or_acquire()
    interrupted_ordering = InterruptedOrdering(ordering, calls)
    first = make_controller(
        fakes.InterruptedTable(table, calls),
        interrupted_ordering,
        first_lease,
        clock,
    )
    thread = threading.Thread(
        target=first.run, args=(fleet_view(),), daemon=True
    )
    thread.start()
    while thread.is_alive() and not reached.is_set():
        reached.wait(0.01)
    successor = leases.Lease("fleet/d", "b", options, table, clock)
    successor.renew_or_acquire()
    clock.now_s += options.ttl_s + options.margin_s + 0.1
    assert successor.renew_or_acquire()
    make_controller(table, ordering, successor, clock).run(fleet_view())
    resume.set()
    thread.join(30)
    assert not thread.is_alive()
    return ordering, interrupted_ordering.interrupted_send, reached.is_set()


@behave.when(
    "a controller is frozen at each of its steps and a successor goes on; the"
    " platform {manner} fencing"
)
def step_frozen_steps(context, manner):
    context.frozen = []
    for at in range(1, 50):
        reached_any = False
        for after in (False, True):
            ordering, in_send, reached = run_with_freeze(
                at, after, manner == "checks"
            )
            context.frozen.append((at, after, ordering, in_send))
            reached_any = reached_any or reached
        if not reached_any:
            break
    assert at > 4, at


@behave.then("no stale order was accepted, except {exception}")
def step_no_old_order(context, exception):
    exceptions = 0
    for at, after, ordering, in_send in context.frozen:
        epochs = [epoch for _, _, epoch in ordering.accepted]
        if epochs == sorted(epochs):
            continue
        exceptions += 1
        assert in_send, (at, after, ordering.accepted)
    assert (exceptions > 0) == (exception != "none"), exceptions


@behave.then("no accepted order conflicts with another")
def step_no_contradicting(context):
    for at, after, ordering, _ in context.frozen:
        desired = {}
        for server, state, _ in ordering.accepted:
            desired.setdefault(server, set()).add(state)
        assert all(len(s) == 1 for s in desired.values()), (at, after)
        assert ordering.accepted, (at, after)
