"""Runs the soak test: features/soak/run.py --seeds 1 2 3 --seconds 20."""

import argparse
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from bilberryturn_standins import ports  # noqa: E402
from soak import callers  # noqa: E402
from soak import faults  # noqa: E402
from soak import testbed as testbed_module  # noqa: E402

STEP_S = 0.25
START_LIMIT_S = 20.0
# Time after the last fault until all bounds hold again. The success ratio is
# measured over the RECOVERY_S that follow.
SETTLE_S = 6.0
RECOVERY_S = 3.0
MIN_SUCCESS_RATIO = 0.9


def run_seed(seed, seconds, node_count=3, caller_count=6, folder=None):
    """Run one seed.

    Returns:
        The checker with the violations found, the log of injected faults and
        the folder with the logs of the nodes.
    """
    rng = random.Random(seed)
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    testbed = testbed_module.Testbed(
        folder, node_count, 1 + ports.block_number(), rng.random() < 0.5
    )
    checker = callers.InvariantChecker()
    stopping = threading.Event()
    fault_injector = faults.FaultInjector(testbed, rng)
    try:
        _wait_ready(testbed)
        threads = [
            callers.Caller(n, testbed, checker, stopping, seed * 100 + n)
            for n in range(caller_count)
        ]
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            fault_injector.step(time.monotonic())
            time.sleep(STEP_S)
        fault_injector.revert_all()
        time.sleep(SETTLE_S)
        recovered_s = time.monotonic()
        time.sleep(RECOVERY_S)
        stopping.set()
        for thread in threads:
            thread.join(10)
        # Requests in flight run or are dropped before the comparison.
        time.sleep(1.0)
        _check(testbed, checker, recovered_s)
    finally:
        stopping.set()
        testbed.close()
    return checker, fault_injector.log, folder


def _wait_ready(testbed):
    end_s = time.monotonic() + START_LIMIT_S
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
    fence = 0
    for path, body, headers in testbed.store.duty_calls:
        if path != "/usage":
            continue
        first_counts = figures.setdefault(body["windowId"], body["counts"])
        if first_counts != body["counts"]:
            checker.add_violation(f"window {body['windowId']} has two figures")
        reported_fence = int(headers["X-Bilberryturn-Fence"])
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
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    seeds = list(options.seeds)
    if options.fresh:
        seeds = [
            random.SystemRandom().randrange(10_000, 10_000_000)
            for _ in range(options.fresh)
        ]
    failed = 0
    for seed in seeds:
        checker, log, folder = run_seed(
            seed, options.seconds, options.nodes, options.callers
        )
        print(
            json.dumps(
                {
                    "seed": seed,
                    "good": checker.success_count,
                    "answers": len(checker.results),
                    "faults_injected": len(log),
                    "broken": checker.violations[:5],
                }
            ),
            flush=True,
        )
        if checker.violations:
            failed += 1
            print("\n".join(log), f"\nlogs: {folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
