"""Steps of usage_windows.feature: holders that fail, freeze or are cut off."""

import random
import threading
import time

import behave
import expression

from bilberryturn import leases
from bilberryturn.edge import duties
from bilberryturn.edge import reported_windows
from bilberryturn.edge import shared_clock
from bilberryturn.edge import usage_windows
from bilberryturn.gateway import shared_state
from bilberryturn.platform import exceptions
from support import duty_checks
from support import fakes

WINDOW_S = 5.0
DUE_S = 10.0
START_S = 1_000_000.0
LEASE = leases.LeaseOptions(3.0, 0.5)


class _FakeReporting:
    """Records usage reports in the order of arrival.

    Attributes:
        sent: Window, counts and fencing number of each report.
        is_killed: Whether the next call ends the process.
    """

    def __init__(self, rng=None, lost_answer_probability=0.0):
        self.sent = []
        self._rng = rng
        self._lost_answer_probability = lost_answer_probability
        self.is_killed = False

    def report_usage(self, window, counts, fence):
        if self.is_killed:
            raise fakes.ProcessKilledError
        self.sent.append((window, dict(counts), fence))
        if self._rng and self._rng.random() < self._lost_answer_probability:
            return expression.Error(
                exceptions.PlatformUnreachableError("duties", "lost")
            )
        return expression.Ok(None)


class _PausingTable(fakes.FakeTable):
    """Freezes a process inside a call while the others run.

    Attributes:
        run_during_pause: Runs the other processes for some seconds, or None.
    """

    def __init__(self, seed, lost_answer_probability, rng):
        super().__init__(seed, lost_answer_probability)
        self._pause_rng = rng
        self.run_during_pause = None

    def _maybe_pause(self):
        if (
            self.run_during_pause is not None
            and self._pause_rng.random() < 0.02
        ):
            run, self.run_during_pause = self.run_during_pause, None
            run()

    def read(self, key):
        result = super().read(key)
        self._maybe_pause()
        return result

    def transact(self, checks, writes):
        self._maybe_pause()
        return super().transact(checks, writes)


class _ReporterProcess:
    """A process that may hold the duties lease and report usage."""

    def __init__(self, name, table, calls, clock):
        self.lease = leases.Lease("duties", name, LEASE, table, clock)
        self.reporter = usage_windows.Reporter(
            table, self.lease, calls, WINDOW_S, DUE_S,
            lambda: clock() - 1000.0,
        )  # fmt: skip

    def step(self, clock):
        self.lease.renew_or_acquire()
        if not self.lease.is_held():
            self.reporter.on_lease_lost()
            return
        self.reporter.step(START_S + clock() - 1000.0)


def _seal(table, node, window, counts):
    key = f"usage/{reported_windows.window_key(window)}/{node}@1"
    table.rows[key] = (1, {"counts": counts, "is_sealed": True})


@behave.then(
    "over {count:d} seeded runs no window has two sets of figures and no"
    " fencing number decreases"
)
def then_histories(context, count):
    condition = context.active_outline["condition"]
    for seed in range(count):
        _run_history(seed, condition)


class _HistorySimulation:
    """Simulates two reporter processes under a fault condition."""

    def __init__(self, seed, condition):
        self.rng = random.Random(seed)
        self.condition = condition
        self.clock = fakes.FakeClock()
        lost_answer_probability = 0.2 if condition == "loses answers" else 0.0
        self.table = _PausingTable(seed, lost_answer_probability, self.rng)
        self.calls = _FakeReporting(self.rng, 0.2)
        self.holders = [
            _ReporterProcess(f"h{n}", self.table, self.calls, self.clock)
            for n in range(2)
        ]

    def run(self):
        """Run for 60 simulated seconds and return the reports sent."""
        while self.clock() < 1060.0:
            self._tick(self.holders)
        return self.calls.sent

    def _tick(self, holders):
        clock, rng = self.clock, self.rng
        clock.now_s += 0.25
        has_freezes = self.condition == "fails while holders freeze"
        self.table.is_down = self.condition == "is down at times" and (
            clock() % 11 < 4
        )
        window = int((START_S + clock() - 1000.0) // WINDOW_S) - 1
        if rng.random() < 0.4:
            node = f"n{rng.randrange(3)}"
            counts = {"a": rng.randrange(9), "b": int(clock() * 4)}
            _seal(self.table, node, window, counts)
        for holder in rng.sample(holders, len(holders)):
            if has_freezes and len(holders) > 1:
                others = [h for h in holders if h is not holder]
                self.table.run_during_pause = lambda others=others: (
                    self._run_others(others)
                )
            holder.step(clock)
            self.table.run_during_pause = None

    def _run_others(self, others):
        """Run the other processes while one is frozen."""
        end_s = self.clock() + self.rng.uniform(3, 9)
        while self.clock() < end_s:
            self._tick(others)


def _run_history(seed, condition):
    sent = _HistorySimulation(seed, condition).run()
    _check_reports(sent, seed)
    if condition == "works":
        assert len({w for w, _, _ in sent}) >= 9, seed


def _check_reports(sent, seed):
    figures = {}
    highest = 0
    for window, counts, fence in sent:
        assert figures.setdefault(window, counts) == counts, (seed, window)
        assert fence >= highest, (seed, window, fence)
        highest = fence


@behave.given("3 nodes that count requests in a window")
def given_nodes(context):
    context.clock = fakes.FakeClock()
    context.rows = fakes.FakeTable()
    context.calls = _FakeReporting()
    context.holder = _ReporterProcess(
        "h", context.rows, context.calls, context.clock
    )
    context.first = int(START_S // WINDOW_S)
    for number in range(3):
        usage = shared_state.UsageCounts(WINDOW_S)
        usage.count("a", START_S + number)
        usage.count("b", START_S + number)
        windows = usage.snapshot(START_S + WINDOW_S)
        _seal(
            context.rows,
            f"n{number}",
            context.first,
            windows[context.first].counts,
        )


def _run_until(context, limit_s):
    while context.clock() < 1000.0 + limit_s:
        context.clock.now_s += 0.25
        context.holder.step(context.clock)


@behave.then("the report of that window holds all of them")
def then_all(context):
    _run_until(context, WINDOW_S + 3.0)
    assert context.calls.sent == [(context.first, {"a": 3, "b": 3}, 1)]


@behave.when("one of them never seals the next window")
def when_never(context):
    _run_until(context, WINDOW_S + 2.0)
    for number in range(2):
        _seal(context.rows, f"n{number}", context.first + 1, {"a": 1})


@behave.then("that window is reported without it before it is due")
def then_without(context):
    _run_until(context, 2 * WINDOW_S + DUE_S - 5.0)
    assert len(context.calls.sent) == 1, (
        "reported before the wait for the missing node ended"
    )
    _run_until(context, 2 * WINDOW_S + DUE_S - 1.0)
    assert context.calls.sent[1][:2] == (context.first + 1, {"a": 2})


@behave.given(
    "a duty runner that holds the lease and relays the store to no other node"
)
def given_duty_runner(context):  # fmt: skip
    context.clock = fakes.FakeClock()
    context.rows = fakes.FakeTable()
    lease = leases.Lease("duties", "h", LEASE, context.rows, context.clock)
    assert lease.renew_or_acquire()
    usage = shared_state.UsageCounts(WINDOW_S)
    usage.count("a", START_S)
    count_writer = usage_windows.CountWriter(context.rows, WINDOW_S)

    def write(is_last):
        count_writer.update_usage("h@1", usage.snapshot(START_S))
        count_writer.write(START_S)

    context.usage = usage
    context.duty_runner = duties.DutyRunner(
        lease, LEASE.ttl_s, _NoPeers(), write, None, None, False,
        lambda: False, shared_clock.SharedClock(), None, context.clock,
    )  # fmt: skip


class _NoPeers:
    """A view of the cluster without other nodes."""

    def __init__(self):
        self.first_read = threading.Event()

    def register(self):
        pass

    def read(self):
        self.first_read.set()

    def count(self):
        return 1

    def domain_rank(self, purpose):
        return 0


@behave.when("its node begins to stop")
def when_stops(context):
    context.duty_runner.hand_over()
    stopping = threading.Event()
    context.runner_thread = threading.Thread(
        target=context.duty_runner.run, args=(stopping,)
    )
    context.stopping = stopping
    context.runner_thread.start()


@behave.then("another node acquires the lease at its next check")
def then_acquired(context):
    end_s = time.monotonic() + 5
    while context.rows.rows["lease/duties"][1]["holder"]:
        assert time.monotonic() < end_s, "the lease was not released"
        time.sleep(0.01)
    other = leases.Lease("duties", "o", LEASE, context.rows, context.clock)
    assert other.renew_or_acquire()


@behave.then("when it has stopped its counts are written and sealed")
def then_sealed(context):
    context.usage.close()
    context.stopping.set()
    context.runner_thread.join(5)
    window = reported_windows.window_key(int(START_S // WINDOW_S))
    row = context.rows.rows[f"usage/{window}/h@1"][1]
    assert row.counts == {"a": 1}
    assert row.is_sealed


@behave.when("the store is unreachable for 5 s while the holder is running")
def when_away(context):
    _run_until(context, 2.0)
    assert context.holder.lease.is_held()
    context.rows.is_down = True
    _run_until(context, 7.0)
    assert not context.holder.lease.is_held()
    context.rows.is_down = False


@behave.then(
    "the holder acts again within 1 s of the recovery under the same fencing"
    " number"
)
def then_again(context):  # fmt: skip
    _run_until(context, 8.0)
    assert context.holder.lease.is_held()
    assert context.holder.lease.epoch == 1


@behave.when("the holder fails between freezing and sending the figures")
def when_dies(context):
    context.calls.is_killed = True
    try:
        _run_until(context, WINDOW_S + 3.0)
    except fakes.ProcessKilledError:
        pass
    context.calls.is_killed = False
    assert context.calls.sent == []
    # A late count must not change frozen figures.
    _seal(context.rows, "late", context.first, {"a": 50})


@behave.then(
    "its successor sends the same figures under a higher fencing number"
)
def then_successor(context):
    context.holder = _ReporterProcess(
        "successor", context.rows, context.calls, context.clock
    )
    _run_until(context, WINDOW_S + 12.0)
    assert context.calls.sent[0] == (context.first, {"a": 3, "b": 3}, 2)


@behave.then(
    "over {count:d} seeded runs of 3 nodes no holder acts before and after"
    " another one within the lease's time to live"
)
def then_no_alternation(context, count):
    for seed in range(count):
        _check_no_alternation(seed)


def _check_no_alternation(seed):
    rng = random.Random(1000 + seed)
    clock = fakes.FakeClock()
    table = fakes.FakeTable(seed)
    names = ("a", "b", "c")
    nodes = {name: _NodeLifetime(name, table, clock) for name in names}
    actions = []
    unreachable_until_s = dict.fromkeys(names, 0.0)
    for _ in range(600):
        clock.now_s += 0.25
        for name in names:
            if rng.random() < 0.02:
                unreachable_until_s[name] = clock() + rng.uniform(0, 6)
            # Only this node's connection to the store is cut.
            table.is_down = clock() < unreachable_until_s[name]
            # A holder is most often stopped right after its first actions.
            recent_holders = [n for _, n in actions[-2:]]
            has_just_taken_over = (
                name in recent_holders and len(set(recent_holders)) == 2
            )
            if rng.random() < (0.4 if has_just_taken_over else 0.01):
                nodes[name].stop(rng.random() < 0.8)
                nodes[name] = _NodeLifetime(name, table, clock)
            if nodes[name].may_act():
                actions.append((clock(), name))
    duty_checks.check_no_alternation(actions, LEASE.ttl_s, seed)


class _NodeLifetime:
    """One lifetime of a node that follows the duty runner's waits."""

    def __init__(self, name, table, clock):
        self.duty_runner = _make_duty_runner(name, table, clock)
        self._clock = clock

    def may_act(self):
        return self.duty_runner._update_lease(self._clock())

    def stop(self, is_graceful):
        if is_graceful:
            self.duty_runner._lease.release()


def _make_duty_runner(name, table, clock):
    lease = leases.Lease("duties", name, LEASE, table, clock)
    return duties.DutyRunner(
        lease, LEASE.ttl_s, _NoPeers(), None, None, None, False,
        lambda: True, shared_clock.SharedClock(), None, clock,
    )  # fmt: skip


@behave.when("the holder ends and all nodes start again")
def when_all_start(context):
    _run_until(context, 2.0)
    assert context.holder.lease.is_held()
    context.started_s = context.clock()
    context.starting = [
        _make_duty_runner(f"n{number}", context.rows, context.clock)
        for number in range(3)
    ]


@behave.then(
    "a node holds the lease within {limit_s:g} s and not before {earliest_s:g}"
    " s"
)
def then_resumed(context, limit_s, earliest_s):
    while not any(d._lease.is_held() for d in context.starting):
        context.clock.now_s += 0.25
        for duty_runner in context.starting:
            duty_runner._update_lease(context.clock())
    waited_s = context.clock() - context.started_s
    assert earliest_s <= waited_s <= limit_s, waited_s
