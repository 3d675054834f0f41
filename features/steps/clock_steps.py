"""Steps of clocks.feature: VMs whose time of day jumps."""

import collections
import random

import behave

from bilberryturn import leases
from bilberryturn.edge import shared_clock
from bilberryturn.edge import usage_windows
from bilberryturn.gateway import shared_state
from support import fakes

WINDOW_S = 5.0
DUE_S = 10.0
TOLERANCE = 0.05
# True time of day at the start of the simulation, in the middle of a window.
START_S = 1_000_002.0
STORE_CLOCK_S = 17.0
LEASE = leases.LeaseOptions(3.0, 0.5)
STEP_S = 0.05
DUTY_STEPS = 10
END_S = 60.0
# No request begins before the nodes have started.
TRAFFIC_S = 12.0
CALL_S = 0.004


class _World:
    """True time, the store and what really happened.

    Attributes:
        now_s: True seconds since the start.
        began: Requests that began, by window of the true time.
        sent: Reports in the order of arrival: window and counts.
    """

    def __init__(self):
        self.now_s = 0.0
        self.table = fakes.FakeTable()
        self.began = collections.Counter()
        self.sent = []
        self.jumps = []
        self.rng = random.Random(5)

    def true_time_s(self):
        return START_S + self.now_s

    def report_usage(self, window, counts, fence):
        self.sent.append((window, dict(counts)))
        return fakes.expression.Ok(None)


class _StoreWithClock:
    """The store as one VM sees it: each answer states the store's clock."""

    era = None
    has_seen_restore = False

    def __init__(self, world, clock):
        self._world = world
        self._clock = clock

    def _record(self, result):
        if result.is_ok():
            now_s = self._world.now_s
            self._clock.record_store_time(
                now_s + STORE_CLOCK_S, now_s - CALL_S / 2, now_s + CALL_S / 2
            )
        return result

    def read(self, key):
        return self._record(self._world.table.read(key))

    def scan(self, prefix):
        return self._record(self._world.table.scan(prefix))

    def transact(self, checks, writes):
        return self._record(self._world.table.transact(checks, writes))


class _Node:
    """One lifetime of a node: counts, their writer and the duties."""

    def __init__(self, world, number, is_first_start=True):
        self.world = world
        self.number = number
        self.name = f"n{number}@{world.rng.randrange(10**9)}"
        self._skew_s = (number - 2) * 0.02
        steady = lambda: world.now_s  # noqa: E731
        started_s = world.now_s
        self.clock = shared_clock.SharedClock(steady, self.time_of_day)
        self.samples = shared_clock.OffsetSamples(steady)
        store = _StoreWithClock(world, self.clock)
        self.usage = shared_state.UsageCounts(WINDOW_S, self.clock.now_s)
        self.writer = usage_windows.CountWriter(store, WINDOW_S)
        self.lease = leases.Lease("duties", self.name, LEASE, store, steady)
        self.keeper = shared_clock.OffsetKeeper(
            store, self.lease, self.clock, self.samples
        )
        self.reporter = usage_windows.Reporter(
            store, self.lease, world, WINDOW_S, DUE_S,
            (lambda: world.now_s - started_s) if is_first_start else None,
        )  # fmt: skip

    def time_of_day(self):
        """Return what the VM's clock shows."""
        jump_s = sum(
            seconds
            for numbers, begin_s, end_s, seconds in self.world.jumps
            if self.number in numbers and begin_s <= self.world.now_s < end_s
        )
        return self.world.true_time_s() + self._skew_s + jump_s

    def step(self, nodes):
        """Read the offset, write the counts, run the duties if held."""
        self.keeper.refresh()
        for node in nodes:
            self.samples.record(node.name, node.clock.local_offset_s())
        counts = self.usage.snapshot(self.clock.now_s())
        self.writer.update_usage(self.name, counts)
        self.writer.write(self.clock.now_s())
        self.lease.renew_or_acquire()
        if not self.lease.is_held():
            self.reporter.on_lease_lost()
            return
        self.keeper.step(self.world.now_s)
        if self.clock.is_synchronized:
            self.reporter.step(self.clock.now_s())


ALL = (0, 1, 2, 3, 4)
HALF = (0, 1, 2)
# By fault: the jumps, as VMs, begin, end and seconds.
JUMPS = {
    "no clock jumps": [],
    "all clocks jump 30 s ahead for 8 s": [(ALL, 18.0, 26.0, 30.0)],
    "half of the clocks jump 12 s back for 6 s": [(HALF, 20.0, 26.0, -12.0)],
    "the holder's clock jumps 4 s ahead for 6 s": [((0,), 21.0, 27.0, 4.0)],
    "the holder's clock jumps 4 s back for 6 s": [((0,), 21.0, 27.0, -4.0)],
    "all clocks jump 3 s back at the end of a window": [
        (ALL, 23.1, 29.0, -3.0)
    ],
    "a node starts while its clock is 30 s ahead": [((3,), 19.0, 40.0, 30.0)],
    "a node starts while its clock is 30 s back": [((3,), 19.0, 40.0, -30.0)],
    "the holder ends and its successor starts while clocks are ahead": [
        (ALL, 19.0, 40.0, 8.0)
    ],
    "all clocks jump 30 s ahead while the store is unreachable": [
        (ALL, 19.0, 26.0, 30.0)
    ],
    "all nodes start again while their clocks are 20 s ahead": [
        (ALL, 19.0, 30.0, 20.0)
    ],
    "all clocks are 2 s ahead for 300 s": [(ALL, 20.0, 320.0, 2.0)],
}
RESTART_S = 20.0
# By fault: the VMs whose process ends and starts again at RESTART_S.
RESTARTED = {
    "a node starts while its clock is 30 s ahead": (3,),
    "a node starts while its clock is 30 s back": (3,),
    "the holder ends and its successor starts while clocks are ahead": (0,),
    "all nodes start again while their clocks are 20 s ahead": ALL,
}
OUTAGE_S = (18.0, 22.0)


@behave.given("5 nodes whose VMs' clocks differ by up to 40 ms")
def given_nodes(context):
    context.world = _World()
    context.nodes = [_Node(context.world, number) for number in ALL]


def _run(context, fault, end_s):
    world, nodes = context.world, context.nodes
    world.jumps = JUMPS[fault]
    steps = 0
    while world.now_s < end_s:
        world.now_s = round(world.now_s + STEP_S, 6)
        steps += 1
        if world.now_s == RESTART_S:
            for number in RESTARTED.get(fault, ()):
                # The counts reach a peer or the store before the end.
                nodes[number].step(nodes)
                nodes[number] = _Node(world, number, is_first_start=False)
        world.table.is_down = "unreachable" in fault and (
            OUTAGE_S[0] <= world.now_s < OUTAGE_S[1]
        )
        if world.now_s >= TRAFFIC_S:
            node = world.rng.choice(nodes)
            node.usage.count("a")
            world.began[int(world.true_time_s() // WINDOW_S)] += 1
        if steps % DUTY_STEPS == 0:
            for node in nodes:
                node.step(nodes)


@behave.when("all clocks are 2 s ahead for 300 s")
def when_ahead(context):
    _run(context, "all clocks are 2 s ahead for 300 s", 315.0)


def _register(fault):
    @behave.when(fault)
    def when_fault(context):
        _run(context, fault, END_S)


for _fault in JUMPS:
    if not _fault.endswith("300 s"):
        _register(_fault)


@behave.then(
    "every window is reported once and holds the requests that began in it"
)
def then_reported(context):
    world = context.world
    figures = {}
    for window, counts in world.sent:
        assert figures.setdefault(window, counts) == counts, window
    first = int((START_S + TRAFFIC_S) // WINDOW_S)
    last = int((START_S + END_S - DUE_S) // WINDOW_S)
    for window in range(first, last):
        reported = figures.get(window, {}).get("a", 0)
        allowed = TOLERANCE * world.began[window]
        assert abs(reported - world.began[window]) <= allowed, (
            window, reported, world.began[window], figures,
        )  # fmt: skip


@behave.then("the shared time is at most {limit_s:f} s ahead")
def then_slow(context, limit_s):
    for node in context.nodes:
        ahead_s = node.clock.now_s() - context.world.true_time_s()
        assert 0.0 < ahead_s <= limit_s, ahead_s


@behave.given("a clock that has read the store's clock in 4 ms")
def given_clock(context):
    context.steady = fakes.FakeClock()
    clock = shared_clock.SharedClock(context.steady, lambda: START_S)
    clock.set_utc_offset(START_S)
    now_s = context.steady()
    clock.record_store_time(1.0, now_s - 0.004, now_s)
    context.clock, context.before_s = clock, clock.now_s()


@behave.when("an answer of the store takes 900 ms")
def when_slow(context):
    context.steady.now_s += 2.0
    now_s = context.steady()
    # The store answered at once; its answer was late.
    context.clock.record_store_time(3.0 - 0.9, now_s - 0.9, now_s)


@behave.then("the clock has moved by less than 3 ms")
def then_unmoved(context):
    moved_s = context.clock.now_s() - context.before_s - 2.0
    assert abs(moved_s) < 0.003, moved_s
