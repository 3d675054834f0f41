"""Runs the soak test: features/soak/run.py --seeds 1 2 3 --seconds 20."""

import argparse
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
from typing import NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from bilberryturn_standins import ports  # noqa: E402
from soak import callers  # noqa: E402
from soak import checks  # noqa: E402
from soak import faults  # noqa: E402
from soak import testbed as testbed_module  # noqa: E402

STEP_S = 0.25
START_LIMIT_S = 20.0
START_LIMIT_PER_NODE_S = 1.0
# Time after the last fault until all bounds hold again. The success ratio is
# measured over the RECOVERY_S that follow.
SETTLE_S = 6.0
RECOVERY_S = 3.0
MIN_SUCCESS_RATIO = 0.9
# Longer than the time limit of any request.
JOIN_LIMIT_S = 20.0
GRACE_PERIODS_S = (4, 8)
# Of the seeds, every third has planned work only.
PLANNED_EVERY = 3
CALLERS_PER_NODE = 4


class Outcome(NamedTuple):
    """The outcome of one seed.

    Attributes:
        folder: Folder with the logs of the nodes.
        longest_step_s: Longest time between two faults, STEP_S on a machine
            that is not overloaded.
    """

    checker: checks.InvariantChecker
    faults: list[str]
    folder: pathlib.Path
    is_planned: bool
    stop_grace_s: int
    longest_step_s: float


def run_seed(
    seed,
    duration_s,
    node_count=3,
    caller_count=None,
    is_planned=False,
    folder=None,
    has_restores=False,
):
    """Run one seed.

    Args:
        seed: Seed of the faults and of the callers' requests.
        duration_s: Time in which faults are injected.
        node_count: Number of node processes.
        caller_count: Number of callers, or None for some for each node.
        is_planned: Whether only planned work happens, which loses no request;
            otherwise that depends on the seed.
        folder: Folder for the logs of the nodes.
        has_restores: Whether the store is restored from older copies, too.
    """
    rng = random.Random(seed)
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    has_separate_zones = rng.random() < 0.5
    is_planned = is_planned or seed % PLANNED_EVERY == 0
    testbed = testbed_module.Testbed(
        folder,
        node_count,
        1 + ports.block_number(),
        has_separate_zones,
        stop_grace_s=rng.choice(GRACE_PERIODS_S),
    )
    checker = checks.InvariantChecker()
    phases = callers.Phases()
    fault_injector = faults.FaultInjector(
        testbed, rng, is_planned, has_restores
    )
    try:
        _wait_ready(testbed)
        threads = [
            callers.Caller(n, testbed, checker, phases, seed * 1000 + n)
            for n in range(caller_count or CALLERS_PER_NODE * node_count)
        ]
        for thread in threads:
            thread.start()
        longest_step_s = _repeat(fault_injector.step, duration_s)
        fault_injector.revert_all()
        phases.calm.set()
        _wait_stopped(testbed)
        _repeat(testbed.restart_ended, SETTLE_S)
        recovered_s = time.monotonic()
        _repeat(testbed.restart_ended, RECOVERY_S)
        phases.stopping.set()
        for thread in threads:
            thread.join(JOIN_LIMIT_S)
        # Requests in flight run or are dropped before the comparison.
        time.sleep(1.0)
        _check(testbed, checker, recovered_s)
        if is_planned:
            checker.check_lost(testbed)
    finally:
        phases.stopping.set()
        testbed.close()
    return Outcome(
        checker,
        fault_injector.log,
        folder,
        is_planned,
        testbed.stop_grace_s,
        longest_step_s,
    )


def _repeat(action, duration_s):
    """Repeat an action for a time; returns the longest step."""
    longest_s = 0.0
    now_s = time.monotonic()
    end_s = now_s + duration_s
    while now_s < end_s:
        action()
        time.sleep(STEP_S)
        started_s, now_s = now_s, time.monotonic()
        longest_s = max(longest_s, now_s - started_s)
    return longest_s


def _wait_stopped(testbed):
    """Wait until the nodes that are stopping have started again."""
    while any(node.is_stopping for node in testbed.nodes):
        testbed.restart_ended()
        time.sleep(STEP_S)


def _wait_ready(testbed):
    limit_s = START_LIMIT_S + START_LIMIT_PER_NODE_S * len(testbed.nodes)
    end_s = time.monotonic() + limit_s
    waiting = list(testbed.nodes)
    while waiting:
        assert time.monotonic() < end_s, "the nodes were not ready in time"
        log = waiting[0].log_path.read_text("utf-8", "replace")
        if '"is_ready": true' in log:
            waiting.pop(0)
        else:
            time.sleep(0.1)


def _check(testbed, checker, recovered_s):
    checker.check_end(testbed.record.runs)
    checker.violations.extend(testbed.record.violations)
    successes = [g for at_s, g in checker.results if at_s >= recovered_s]
    if not successes or sum(successes) < MIN_SUCCESS_RATIO * len(successes):
        checker.add_violation(
            f"recovered: {sum(successes)} of {len(successes)} good answers"
        )
    figures = {}
    holders = {}
    fence = 0
    for path, body, headers in testbed.store.duty_calls:
        if path != "/usage":
            continue
        first_counts = figures.setdefault(body["windowId"], body["counts"])
        if first_counts != body["counts"]:
            checker.add_violation(f"window {body['windowId']} has two figures")
        reported_fence = int(headers["X-Bilberryturn-Fence"])
        holder = headers["X-Bilberryturn-Duty-Holder"]
        if holders.setdefault(reported_fence, holder) != holder:
            checker.add_violation(
                f"fencing number {reported_fence} has two holders"
            )
        if reported_fence < fence:
            checker.add_violation(
                f"fencing number {reported_fence} after {fence}"
            )
        fence = max(fence, reported_fence)
    for node in testbed.nodes:
        log = node.log_path.read_text("utf-8", "replace")
        if "Traceback" in log or '"job_failed"' in log:
            checker.add_violation(f"{node.name}: an error in the log")


def main():
    parser = argparse.ArgumentParser(description="Soak the gateway.")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--fresh", type=int, default=0, help="fresh seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--callers", type=int, help="default: 4 for each node")
    parser.add_argument(
        "--planned", action="store_true", help="only planned work"
    )
    parser.add_argument(
        "--restores", action="store_true", help="restores of the store, too"
    )
    options = parser.parse_args()
    seeds = list(options.seeds)
    if options.fresh:
        seeds = [
            random.SystemRandom().randrange(10_000, 10_000_000)
            for _ in range(options.fresh)
        ]
    failed = 0
    for seed in seeds:
        outcome = run_seed(
            seed,
            options.seconds,
            options.nodes,
            options.callers,
            options.planned,
            has_restores=options.restores,
        )
        _print_outcome(seed, outcome)
        failed += bool(outcome.checker.violations)
    return 1 if failed else 0


def _print_outcome(seed, outcome):
    """Print the outcome; the logs of a seed without a violation are removed."""
    checker = outcome.checker
    summary = {
        "seed": seed,
        "is_planned": outcome.is_planned,
        "stop_grace_s": outcome.stop_grace_s,
        "longest_step_s": round(outcome.longest_step_s, 2),
        "good": checker.success_count,
        "statuses": checker.statuses,
        "lost": len(checker.lost),
        "excuses": checker.excuses,
        "faults_injected": len(outcome.faults),
        "broken": len(checker.violations),
    }
    print(json.dumps(summary), flush=True)
    if not checker.violations:
        shutil.rmtree(outcome.folder)
        return
    lines = [*outcome.faults, *checker.violations, f"logs: {outcome.folder}"]
    print("\n".join(lines), flush=True)


if __name__ == "__main__":
    sys.exit(main())
