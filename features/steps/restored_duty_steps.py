"""Steps of restores.feature on duties: leases, fencing numbers and usage."""

import random

import behave
import expression

from bilberryturn import leases
from bilberryturn.edge import duties
from bilberryturn.edge import shared_clock
from bilberryturn.edge import usage_windows
from bilberryturn.gateway import shared_state
from bilberryturn.platform import exceptions
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from support import duty_checks
from support import fakes
from support import store_standin

WINDOW_S = 5.0
DUE_S = 10.0
# Simulated times of day minus steady times.
DAY_OFFSET_S = 1_000_000.0
LEASE = leases.LeaseOptions(3.0, 0.5)
STEP_S = 0.25
RUN_S = 70.0
COPY_INTERVAL_S = 0.5
NODES = ("a", "b", "c")


class _NoPeers:
    """A presence that knows no other node."""

    def count(self):
        return 1

    def domain_rank(self, purpose):
        return 0


class _Calls:
    """Receives the calls of one node."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def report_usage(self, window, counts, fence):
        self._fleet.reports.append(
            (self._fleet.clock(), window, dict(counts), fence, self._name)
        )
        if self._fleet.rng.random() < 0.1:
            return expression.Error(
                exceptions.PlatformUnreachableError("duties", "lost")
            )
        return expression.Ok(None)


class _Node:
    """One lifetime of a node; its usage counts end with it."""

    def __init__(self, fleet, name, lifetime, is_first):
        self.lifetime = f"{name}@{lifetime}"
        self.client = store_standin.DirectClient(fleet.standin)
        self.frozen_until_s = 0.0
        self.cut_until_s = 0.0
        clock = fleet.clock
        self._fleet = fleet
        self._clock = clock
        started_s = clock()
        self.usage = shared_state.UsageCounts(WINDOW_S)
        store = rows.RowStore(
            self.client, era_tracker=store_era.EraTracker(clock)
        )
        self.lease = leases.Lease("duties", name, LEASE, store, clock)
        self.writer = usage_windows.CountWriter(store, WINDOW_S)
        reporter = usage_windows.Reporter(
            store,
            self.lease,
            _Calls(fleet, name),
            WINDOW_S,
            DUE_S,
            (lambda: clock() - started_s) if is_first else None,
            clock,
        )
        self.reporter = reporter
        self.runner = duties.DutyRunner(
            self.lease,
            LEASE.ttl_s,
            _NoPeers(),
            None,
            reporter,
            None,
            is_first,
            lambda: not self.client.is_cut,
            shared_clock.SharedClock(),
            None,
            clock,
        )

    def step(self):
        """Run what the duty runner runs; returns whether the node acts."""
        day_s = DAY_OFFSET_S + self._clock()
        self.writer.update_usage(self.lifetime, self.usage.snapshot(day_s))
        if not self.client.is_cut:
            self.writer.write(day_s)
        if not self.runner._update_lease(self._clock()):
            return False
        self.reporter.step(day_s)
        return True


class _Fleet:
    """Three nodes before a store that is restored from older copies.

    Attributes:
        reports: Time, window, counts, fencing number and node of each report.
        actions: Time, fencing number and node of each moment at which a node
            acted as the holder.
        truth: Requests counted, by window.
    """

    def __init__(self, seed, condition, outages_s=(0.25, 1.0, 2.0, 5.0)):
        self.rng = random.Random(seed)
        self._outages_s = outages_s
        self.clock = fakes.FakeClock()
        self.standin = store_standin.MemoryStore()
        self.condition = condition
        self.reports = []
        self.actions = []
        self.truth = {}
        self._copies = []
        self._lifetimes = 0
        self._down_until_s = 0.0
        self.nodes = {name: self._start(name, True) for name in NODES}
        first_s = 1000.0 + self.rng.uniform(14.0, 30.0)
        self.restores_s = [first_s]
        if condition != "once":
            self.restores_s.append(first_s + self.rng.uniform(2.0, 16.0))

    def _start(self, name, is_first=False):
        self._lifetimes += 1
        return _Node(self, name, self._lifetimes, is_first)

    def run(self):
        while self.clock() < 1000.0 + RUN_S:
            self.clock.now_s += STEP_S
            self.tick()

    def tick(self):
        now_s, rng = self.clock(), self.rng
        self._update_store(now_s)
        for name in rng.sample(NODES, len(NODES)):
            self._disturb(name, now_s)
            node = self.nodes[name]
            node.client.is_cut = now_s < max(
                node.cut_until_s, self._down_until_s
            )
            if now_s < node.frozen_until_s:
                continue
            self._count(node, now_s)
            if node.step():
                self.actions.append((now_s, node.lease.epoch, name))

    def _count(self, node, now_s):
        day_s = DAY_OFFSET_S + now_s
        if self.rng.random() < 0.6:
            node.usage.count("shop", day_s)
            window = int(day_s // WINDOW_S)
            self.truth[window] = self.truth.get(window, 0) + 1

    def _update_store(self, now_s):
        """Keep copies, and restore one of them at the end of an outage."""
        if now_s < self._down_until_s:
            return
        if self._down_until_s:
            self._down_until_s = 0.0
            lost_s = self.rng.uniform(0.0, 13.0)
            older = [c for s, c in self._copies if now_s - s >= lost_s]
            copy = (older or [self._copies[0][1]])[-1]
            self.standin.restore(copy)
            # Later copies belong to the history that is lost.
            kept = [x for x in self._copies if x[1] is copy]
            self._copies = [(now_s, kept[0][1])]
        if not self._copies or now_s - self._copies[-1][0] >= COPY_INTERVAL_S:
            self._copies.append((now_s, self.standin.copy()))
        if self.restores_s and now_s >= self.restores_s[0]:
            self.restores_s.pop(0)
            self._down_until_s = now_s + self.rng.choice(self._outages_s)

    def _disturb(self, name, now_s):
        rng, node = self.rng, self.nodes[name]
        is_near = any(abs(s - now_s) < 9 for s in self.restores_s) or (
            now_s < self._down_until_s + 8
        )
        chance = 0.03 if is_near else 0.004
        chance *= 3 if node.lease.is_held() else 1
        if rng.random() > chance:
            return
        kinds = [k for k in ("kill", "cut", "fr") if k in self.condition]
        if not kinds:
            return
        kind = rng.choice(kinds)
        if kind == "kill":
            self.nodes[name] = self._start(name)
        elif kind == "cut":
            node.cut_until_s = now_s + rng.uniform(0.5, 8.0)
        else:
            node.frozen_until_s = now_s + rng.uniform(0.5, 8.0)


@behave.given("{count:d} seeded runs of three nodes with restores {condition}")
def given_runs(context, count, condition):
    context.fleets = [(seed, _Fleet(seed, condition)) for seed in range(count)]
    for _, fleet in context.fleets:
        fleet.run()


@behave.then("no window has two sets of figures")
def then_figures(context):
    for seed, fleet in context.fleets:
        assert fleet.reports, seed
        figures = {}
        for at_s, window, counts, _, name in fleet.reports:
            known = figures.setdefault(window, counts)
            assert known == counts, (seed, at_s, window, known, counts, name)


@behave.then("no fencing number has two holders or comes after a higher one")
def then_fences(context):
    for seed, fleet in context.fleets:
        assert fleet.actions, seed
        holders = {}
        highest = 0
        for at_s, fence, name in fleet.actions:
            assert holders.setdefault(fence, name) == name, (seed, at_s, fence)
            assert fence >= highest, (seed, at_s, fence, highest)
            highest = fence


@behave.then("no two holders alternate within the lease's time to live")
def then_no_alternation_after_restores(context):
    for seed, fleet in context.fleets:
        actions = [(at_s, name) for at_s, _, name in fleet.actions]
        duty_checks.check_no_alternation(actions, LEASE.ttl_s, seed)


@behave.then(
    "over {count:d} seeded runs with one restore after 2 s at most and no other"
    " fault each window is reported whole and in time"
)
def then_whole(context, count):
    for seed in range(count):
        fleet = _Fleet(seed, "once", (0.25, 1.0, 2.0))
        fleet.run()
        _check_whole(seed, fleet)


@behave.then(
    "over {count:d} seeded runs with one restore and no other fault each window"
    " is reported whole and in time"
)
def then_whole_after_longer_outages(context, count):
    for seed in range(count):
        fleet = _Fleet(seed, "once")
        fleet.run()
        _check_whole(seed, fleet)


def _check_whole(seed, fleet):
    reported = {}
    for at_s, window, counts, _, _ in fleet.reports:
        reported.setdefault(window, (at_s, counts))
    last = int((DAY_OFFSET_S + 1000.0 + RUN_S - DUE_S) // WINDOW_S)
    for window, total in fleet.truth.items():
        if window >= last:
            continue
        assert window in reported, (seed, window)
        at_s, counts = reported[window]
        late_s = at_s + DAY_OFFSET_S - (window + 1) * WINDOW_S - DUE_S
        assert counts == {"shop": total}, (seed, at_s, counts, total)
        assert late_s <= 0, (seed, window, late_s)


def _make_lease(context, name):
    client = store_standin.DirectClient(context.standin)
    store = rows.RowStore(
        client, era_tracker=store_era.EraTracker(context.clock)
    )
    return leases.Lease("duties", name, LEASE, store, context.clock)


@behave.given("a node that holds the duties lease")
def given_holder(context):
    context.clock = fakes.FakeClock()
    context.standin = store_standin.MemoryStore()
    context.copy = context.standin.copy()
    context.lease = _make_lease(context, "a")
    assert context.lease.renew_or_acquire()
    context.epoch = context.lease.epoch
    context.clock.now_s += 1.0
    assert context.lease.renew_or_acquire()


@behave.when("the store is restored and the node renews its lease")
def when_renews(context):
    context.standin.restore(context.copy)
    for _ in range(3):
        context.clock.now_s += 0.5
        context.lease.renew_or_acquire()


@behave.then("it holds the lease under a higher fencing number without a gap")
def then_renewed(context):
    assert context.lease.is_held()
    assert context.lease.epoch > context.epoch


@behave.given("a store whose copy holds no lease")
def given_free(context):
    context.clock = fakes.FakeClock()
    context.standin = store_standin.MemoryStore()
    context.copy = context.standin.copy()
    context.other = _make_lease(context, "b")
    context.other.observe()


@behave.when("a node acquires the lease and the store is restored")
def when_acquires(context):
    context.lease = _make_lease(context, "a")
    assert context.lease.renew_or_acquire()
    context.standin.restore(context.copy)


@behave.then("another node acquires it only when the holder's time is over")
def then_other(context):
    for _ in range(40):
        context.clock.now_s += 0.25
        if context.other.renew_or_acquire():
            break
        assert not context.other.is_held()
    assert context.other.is_held()
    assert not context.lease.is_held()


@behave.given(
    "a first node that reports windows, and another one that is cut off"
)
def given_cut_from_start(context):
    fleet = _Fleet(3, "once", (1.0,))
    for name in NODES[1:]:
        fleet.nodes[name].cut_until_s = RUN_S + 1000.0
    context.fleet = fleet
    context.fleets = [(3, fleet)]
    _run_until(fleet, fleet.restores_s[0])
    assert fleet.reports


def _run_until(fleet, end_s):
    while fleet.clock() < end_s:
        fleet.clock.now_s += STEP_S
        fleet.tick()


@behave.when(
    "the store is restored, the first node ends and the other one takes over"
)
def when_other_takes_over(context):
    fleet = context.fleet
    fleet.nodes["a"].frozen_until_s = RUN_S + 1000.0
    _run_until(fleet, fleet.clock() + 3.0)
    assert fleet.standin.era == 1
    fleet.nodes["b"].cut_until_s = 0.0
    _run_until(fleet, 1000.0 + RUN_S)


@behave.then("the other one reports later windows")
def then_later_windows(context):
    assert [r for r in context.fleet.reports if r[4] == "b"]


@behave.given(
    "another node that has not reached the store for {duration_s:d} s since its"
    " start"
)
def given_not_reached(context, duration_s):
    context.other = _make_lease(context, "b")
    context.clock.now_s += duration_s


@behave.when(
    "it ends, the store is restored and another node checks each {step_s:g} s"
)
def when_ends(context, step_s):
    other = _make_lease(context, "b")
    other.observe()
    for _ in range(10):
        context.clock.now_s += 0.5
        assert context.lease.renew_or_acquire()
        assert not other.renew_or_acquire()
    context.standin.restore(context.standin.copy())
    started_s = context.clock()
    while not other.renew_or_acquire():
        context.clock.now_s += step_s
    context.waited_s = context.clock() - started_s


@behave.then("that one holds the lease within {limit_s:g} s")
def then_within(context, limit_s):
    assert context.waited_s <= limit_s, context.waited_s
