"""Run the soak: python features/soak/run.py --seeds 1 2 3 --seconds 20."""

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
# After the last fault all bounds hold again; then good answers are counted.
SETTLE_S = 6.0
RECOVERY_S = 3.0
FEWEST_RECOVERED = 0.9


def run_seed(seed, seconds, node_count=3, caller_count=6, folder=None):
    """Run one seed; returns broken promises and the faults injected."""
    numbers = random.Random(seed)
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    world = testbed_module.Testbed(
        folder, node_count, 1 + ports.block_number(), numbers.random() < 0.5
    )
    verdicts = callers.Verdicts()
    stopping = threading.Event()
    drawn = faults.Faults(world, numbers)
    try:
        _wait_ready(world)
        threads = [
            callers.Caller(n, world, verdicts, stopping, seed * 100 + n)
            for n in range(caller_count)
        ]
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            drawn.step(time.monotonic())
            time.sleep(STEP_S)
        drawn.mend_all()
        time.sleep(SETTLE_S)
        recovered_s = time.monotonic()
        time.sleep(RECOVERY_S)
        stopping.set()
        for thread in threads:
            thread.join(10)
        # What is still on its way runs or is dropped before the comparison.
        time.sleep(1.0)
        _check(world, verdicts, recovered_s)
    finally:
        stopping.set()
        world.close()
    return verdicts, drawn.log, folder


def _wait_ready(world):
    end_s = time.monotonic() + START_LIMIT_S
    waiting = list(world.nodes)
    while waiting:
        assert time.monotonic() < end_s, "the nodes did not get ready"
        log = waiting[0].log_path.read_text("utf-8", "replace")
        if '"is_ready": true' in log:
            waiting.pop(0)
        else:
            time.sleep(0.1)


def _check(world, verdicts, recovered_s):
    verdicts.check_end(world.record.runs)
    verdicts.faults.extend(world.record.faults)
    good = [g for at_s, g in verdicts.recent if at_s >= recovered_s]
    if not good or sum(good) < FEWEST_RECOVERED * len(good):
        verdicts.fault(f"recovered: {sum(good)} of {len(good)} good answers")
    figures = {}
    fence = 0
    for path, body, headers in world.store.duty_calls:
        if path != "/usage":
            continue
        known = figures.setdefault(body["windowId"], body["counts"])
        if known != body["counts"]:
            verdicts.fault(f"window {body['windowId']} has two figures")
        found = int(headers["X-Bilberryturn-Fence"])
        if found < fence:
            verdicts.fault(f"fencing number {found} after {fence}")
        fence = max(fence, found)
    for node in world.nodes:
        log = node.log_path.read_text("utf-8", "replace")
        if "Traceback" in log or '"job_failed"' in log:
            verdicts.fault(f"{node.name}: an error in the log")


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
        verdicts, log, folder = run_seed(
            seed, options.seconds, options.nodes, options.callers
        )
        print(
            json.dumps(
                {
                    "seed": seed,
                    "good": verdicts.answered,
                    "answers": len(verdicts.recent),
                    "faults_injected": len(log),
                    "broken": verdicts.faults[:5],
                }
            ),
            flush=True,
        )
        if verdicts.faults:
            failed += 1
            print("\n".join(log), f"\nlogs: {folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
