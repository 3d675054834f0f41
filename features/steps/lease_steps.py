"""Steps on leases and on reports under a lease."""

import json
import random
import threading

import behave

from bilberryturn import leases
from bilberryturn import usage
from bilberryturn.usage import ledger
from support import fakes

OPTIONS = leases.LeaseOptions(10.0, 1.0)
STEPS = 600
STEP_S = 0.5
FAULTS = {
    "pauses": {"pause": 0.02},
    "lost answers": {"lost": 0.3, "restart": 0.01},
    "outages": {"outage": 0.01},
    "everything at once": {"pause": 0.02, "lost": 0.2, "outage": 0.01},
}


class Contender:
    """A process that renews or acquires its lease unless it is paused."""

    def __init__(self, name, table, clock):
        self.lease = leases.Lease("test", name, OPTIONS, table, clock)
        self.paused_until_s = 0.0


def contend(count, seed, pause=0.0, lost=0.0, outage=0.0, restart=0.0):
    """Run one simulation; returns overlaps and the holders by epoch."""
    rng = random.Random(seed)
    clock = fakes.FakeClock()
    table = fakes.FakeTable(seed, lost)
    contenders = [Contender(f"p{i}", table, clock) for i in range(count)]
    overlaps, holders = [], {}
    outage_until_s = 0.0
    for _ in range(STEPS):
        clock.now_s += STEP_S * rng.uniform(0.2, 2.0)
        if rng.random() < outage:
            outage_until_s = clock.now_s + rng.uniform(1, 120)
        table.is_down = clock.now_s < outage_until_s
        if rng.random() < restart:
            # A process crashes without a release and another replaces it.
            index = rng.randrange(count)
            contenders[index] = Contender(f"r{index}", table, clock)
        for contender in contenders:
            if clock.now_s < contender.paused_until_s:
                continue
            if rng.random() < pause:
                contender.paused_until_s = clock.now_s + rng.uniform(1, 40)
                continue
            if rng.random() < 0.4:
                contender.lease.renew_or_acquire()
        # Counts paused processes too: one that resumes acts on a lease that
        # it takes for held.
        holding = [c for c in contenders if c.lease.is_held()]
        if len(holding) > 1:
            overlaps.append((seed, clock.now_s))
        for contender in holding:
            holders.setdefault(contender.lease.epoch, set()).add(id(contender))
    return overlaps, holders


@behave.when(
    "{count:d} processes contend for a lease over {seeds:d} seeds with {case}"
)
def step_contend(context, count, seeds, case):
    context.histories = [
        contend(count, seed, **FAULTS[case]) for seed in range(seeds)
    ]


@behave.then("no two of them held the lease at the same time")
def step_no_overlap(context):
    overlaps = [o for found, _ in context.histories for o in found]
    assert not overlaps, overlaps[:3]


@behave.then("each epoch had one holder")
def step_epochs(context):
    assert any(len(holders) > 1 for _, holders in context.histories), (
        "no run had more than one epoch"
    )
    for _, holders in context.histories:
        assert all(len(found) == 1 for found in holders.values())


@behave.when("a holder releases its lease")
def step_release(context):
    clock = fakes.FakeClock()
    table = fakes.FakeTable()
    first = leases.Lease("test", "a", OPTIONS, table, clock)
    context.second = leases.Lease("test", "b", OPTIONS, table, clock)
    assert first.renew_or_acquire()
    assert not context.second.renew_or_acquire()
    first.release()
    assert not first.is_held()


@behave.then("the next process acquires it at its first attempt")
def step_acquires(context):
    assert context.second.renew_or_acquire()
    assert context.second.epoch == 2


WINDOWS = 3


def record_usage(table):
    """Store batches in WINDOWS windows; returns the recorded tokens."""
    store = usage.UsageStore(table)
    total = 0
    for window in range(5, 5 + WINDOWS):
        for number in range(4):
            row = ledger.UsageRow(f"account-{number % 2}", "chat", 1, 10, 7)
            batch = ledger.Batch(f"b-{window}-{number}", "n", window, 1, (row,))
            assert store.flush(batch, window).is_ok()
            total += 7
    return total


def make_reporter(table, reporting, lease):
    return usage.Reporter(lease, table, reporting, lambda: 100.0, 0.5)


def report_with_interruption(interruption, at, after, checks_fencing):
    """Run a reporter that is interrupted at one call, then a successor.

    Returns the reports, the recorded total and whether the call happened.
    """
    clock = fakes.FakeClock()
    table = fakes.FakeTable()
    total = record_usage(table)
    reporting = fakes.FakeReporting(checks_fencing)
    reached = threading.Event()
    resume = threading.Event()

    def interrupt():
        reached.set()
        if interruption == "killed":
            raise fakes.ProcessKilledError
        resume.wait(30)

    calls = fakes.InterruptedCalls(at, after, interrupt)
    own_table = fakes.InterruptedTable(table, calls)
    lease = leases.Lease("usage-reporter", "a", OPTIONS, table, clock)
    assert lease.renew_or_acquire()
    first = make_reporter(own_table, reporting, lease)
    original_send = reporting.send
    first._reporting = type("R", (), {"send": staticmethod(
        calls.wrap(original_send))})()  # fmt: skip

    def run():
        try:
            first.run()
        except fakes.ProcessKilledError:
            pass

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    while thread.is_alive() and not reached.is_set():
        reached.wait(0.01)
    successor = leases.Lease("usage-reporter", "b", OPTIONS, table, clock)
    successor.renew_or_acquire()
    clock.now_s += OPTIONS.ttl_s + OPTIONS.margin_s + 0.1
    assert successor.renew_or_acquire()
    assert not lease.is_held()
    make_reporter(table, reporting, successor).run()
    resume.set()
    thread.join(30)
    assert not thread.is_alive()
    make_reporter(table, reporting, successor).run()
    return reporting, total, reached.is_set()


@behave.when(
    "a reporter is {interruption} at each of its steps and a successor takes"
    " over, with fencing {fencing}"
)
def step_interrupt_reporter(context, interruption, fencing):
    context.runs = []
    for at in range(1, 100):
        reached_any = False
        for after in (False, True):
            reporting, total, reached = report_with_interruption(
                interruption, at, after, fencing == "checked"
            )
            context.runs.append((at, after, reporting, total))
            reached_any = reached_any or reached
        if not reached_any:
            break
    assert at > 20, at


@behave.then("each window was reported with the same figures every time")
def step_same_figures(context):
    for at, after, reporting, _ in context.runs:
        reported_texts = {}
        for window, text, _ in reporting.reports:
            assert reported_texts.setdefault(window, text) == text, (at, after)
        assert len(reported_texts) == WINDOWS, (at, after, reported_texts)


@behave.then("the reported sums equal the recorded sums")
def step_sums(context):
    for at, after, reporting, total in context.runs:
        reported_texts = {w: text for w, text, _ in reporting.reports}
        found = sum(
            figure["output_tokens"]
            for text in reported_texts.values()
            for figure in json.loads(text)
        )
        assert found == total, (at, after, found, total)


@behave.when("a batch is flushed after its window has closed")
def step_late(context):
    clock = fakes.FakeClock()
    table = fakes.FakeTable()
    store = usage.UsageStore(table)
    reporting = fakes.FakeReporting(True)
    lease = leases.Lease("usage-reporter", "a", OPTIONS, table, clock)
    assert lease.renew_or_acquire()
    row = ledger.UsageRow("account", "chat", 1, 1, 5)
    store.flush(ledger.Batch("early", "n", 5, 1, (row,)), 5)
    usage.Reporter(lease, table, reporting, lambda: 7.0, 0.5).run()
    late = ledger.Batch("late", "n", 5, 1, (row,))
    for _ in range(2):
        assert store.flush(late, 8).is_ok()
    usage.Reporter(lease, table, reporting, lambda: 20.0, 0.5).run()
    context.reports = [
        (window, figure)
        for window, text, _ in reporting.reports
        for figure in json.loads(text)
    ]


@behave.then("it is counted once, in a later window, marked as late")
def step_counted_late(context):
    found = [
        (window, f["requests"], f["late_requests"])
        for window, f in context.reports
    ]
    assert found == [(5, 1, 0), (8, 1, 1)], found
