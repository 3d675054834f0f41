"""Compare scheduling policies on the same seeded workload in one run.

Usage: python bench/policies.py [--seeds N] [--json FILE] [--quick]
"""

import argparse
import json
import statistics
import sys

import drivers
import fleet
import workload

STEP_S = 0.02
DURATION_S = 60.0
DRAIN_S = 60.0
DEMANDS = (0.7, 1.0, 1.5, 3.0)
FAULTS = ("none", "slow", "crash", "reclaim")
FAULT_FROM_S = 20.0
FAULT_TO_S = 40.0
NOTICE_S = 3.0
GAP_TARGET_S = 0.066
POLICIES = (
    drivers.SchedulingLibrary,
    drivers.LeastOutstanding,
    drivers.RoundRobin,
)
PAID_PRICE = 1.0
CHEAP_PRICE = 0.3
BUCKETS_S = (0.25, 0.65, 1, 2, 5, 10, 30, 60)
MAX_GOODPUT_LOSS = 0.05


def run(policy, deployment, demand, fault, seed):
    """Run one policy on one workload and return its driver."""
    engines = fleet.build(deployment)
    service_s = workload.mean_service_s(
        deployment, fleet.TOKEN_INTERVAL_S, fleet.PREFILL_S_PER_TOKEN
    )
    arrivals = workload.make_arrivals(
        deployment, demand, DURATION_S, service_s, seed
    )
    driver = policy(engines, deployment)
    position = 0
    for step in range(int((DURATION_S + DRAIN_S) / STEP_S)):
        now_s = step * STEP_S
        apply_fault(driver, engines, fault, step)
        while position < len(arrivals) and arrivals[position].at_s <= now_s:
            driver.on_arrival(arrivals[position], now_s)
            position += 1
        for engine in engines.values():
            for finished in engine.advance(now_s, STEP_S):
                driver.on_completion(finished, now_s)
        driver.tick(now_s)
    return driver


def apply_fault(driver, engines, fault, step):
    """Inject or clear the fault of a run at its step."""
    now_s = step * STEP_S
    is_begin = step == int(FAULT_FROM_S / STEP_S)
    is_end = step == int(FAULT_TO_S / STEP_S)
    if fault == "slow" and (is_begin or is_end):
        engines["paid-0"].slow_factor = 4.0 if is_begin else 1.0
    if fault == "crash":
        if is_begin:
            stop_engine(driver, engines["paid-0"], now_s)
        if step == int((FAULT_FROM_S + 5) / STEP_S):
            restart_engine(driver, engines["paid-0"], now_s)
    if fault == "reclaim":
        cheap = [e for e in engines.values() if e.cheap]
        for engine in cheap:
            if is_begin:
                driver.on_reclaim_notice(engine, now_s)
            if step == int((FAULT_FROM_S + NOTICE_S) / STEP_S):
                stop_engine(driver, engine, now_s)
            if is_end:
                restart_engine(driver, engine, now_s)


def stop_engine(driver, engine, now_s):
    """Stop an engine and fail its running requests."""
    engine.is_up = False
    driver.on_engines_changed(now_s)
    for number in list(engine.running):
        running = engine.stop(number)
        driver.records[number].was_displaced = True
        driver.on_failure(engine, running, now_s)


def restart_engine(driver, engine, now_s):
    """Restart an engine."""
    engine.is_up = True
    driver.on_engines_changed(now_s)


def meets_targets(record) -> bool:
    """Return whether a request met its first-token and token-gap targets."""
    kind = record.arrival.kind
    if record.outcome != "done" or record.first_token_s is None:
        return False
    first_s = record.first_token_s - record.arrival.at_s
    if first_s > kind.first_token_target_s:
        return False
    tokens = max(1, record.arrival.output_tokens - 1)
    gap_s = (record.done_s - record.first_token_s) / tokens
    return gap_s <= GAP_TARGET_S


def jain(values) -> float:
    """Return Jain's fairness index."""
    total = sum(values)
    if not total:
        return 1.0
    return total * total / (len(values) * sum(v * v for v in values))


def measure(driver) -> dict:
    """Return the measures of one run."""
    records = list(driver.records.values())
    by_tier, by_account, histogram = {}, {}, {}
    for record in records:
        kind = record.arrival.kind
        by_tier.setdefault(kind.tier, []).append(meets_targets(record))
        by_account.setdefault(record.arrival.account, []).append(
            meets_targets(record)
        )
        if record.first_token_s is not None:
            first_s = record.first_token_s - record.arrival.at_s
            bucket = next((b for b in BUCKETS_S if first_s <= b), "more")
            counts = histogram.setdefault(f"tier {kind.tier}", {})
            counts[str(bucket)] = counts.get(str(bucket), 0) + 1
    done = [r for r in records if r.outcome == "done"]
    tokens = sum(r.arrival.output_tokens for r in done)
    attainment_by_account = {
        a: statistics.mean(v) for a, v in by_account.items()
    }
    paid_count = sum(not e.cheap for e in driver.engines.values())
    cheap_count = sum(e.cheap for e in driver.engines.values())
    cost = (
        (paid_count * PAID_PRICE + cheap_count * CHEAP_PRICE)
        * DURATION_S
        / 3600
    )
    cheap_done = [r for r in done if r.was_cheap]
    displaced = [r for r in records if r.was_displaced]
    return {
        "attainment": {
            tier: statistics.mean(v) for tier, v in sorted(by_tier.items())
        },
        "goodput": tokens / DURATION_S,
        "goodput_in_target": sum(
            r.arrival.output_tokens for r in done if meets_targets(r)
        )
        / DURATION_S,
        "wasted": sum(r.wasted_tokens for r in records),
        "worst_account": min(attainment_by_account.values()),
        "mean_account": statistics.mean(attainment_by_account.values()),
        "jain": jain(list(attainment_by_account.values())),
        "tokens_per_cost": tokens / cost,
        "cheap_share": len(cheap_done) / max(1, len(done)),
        "displaced_done": sum(r.outcome == "done" for r in displaced)
        / max(1, len(displaced)),
        "unfinished": sum(r.outcome in ("waiting", "running") for r in records),
        "histogram": histogram,
    }


def average(results: list[dict]) -> dict:
    """Return the means of the measures over seeds."""
    merged = {}
    for name in results[0]:
        values = [r[name] for r in results]
        if name == "histogram":
            merged[name] = values[0]
        elif isinstance(values[0], dict):
            merged[name] = {
                k: statistics.mean(v.get(k, 0) for v in values)
                for k in values[0]
            }
        else:
            merged[name] = statistics.mean(values)
    return merged


def print_row(name: str, result: dict) -> None:
    """Print the measures of one policy."""
    tiers = " ".join(f"{v:5.2f}" for v in result["attainment"].values())
    print(
        f"  {name:18} tiers {tiers} | worst {result['worst_account']:.2f}"
        f" mean {result['mean_account']:.2f} jain {result['jain']:.3f}"
        f" | goodput {result['goodput']:7.0f}"
        f" in target {result['goodput_in_target']:7.0f}"
        f" | wasted {result['wasted']:6.0f}"
        f" | cheap {result['cheap_share']:.2f}"
        f" displaced {result['displaced_done']:.2f}"
        f" | tokens/cost {result['tokens_per_cost']:9.0f}"
    )


def check(label: str, demand: float, results: dict) -> list[str]:
    """Return the bounds that the scheduling library misses."""
    library_result = results[drivers.SchedulingLibrary.name]
    baselines = [
        r for n, r in results.items() if n != drivers.SchedulingLibrary.name
    ]
    violations = []
    if demand in (1.5, 3.0):
        if library_result["attainment"][0] < max(
            r["attainment"][0] for r in baselines
        ):
            violations.append(f"{label}: top tier")
        if library_result["worst_account"] < max(
            r["worst_account"] for r in baselines
        ):
            violations.append(f"{label}: worst account")
        best_goodput = max(r["goodput"] for r in baselines)
        if library_result["goodput"] < best_goodput * (1 - MAX_GOODPUT_LOSS):
            loss = 1 - library_result["goodput"] / best_goodput
            violations.append(f"{label}: goodput {loss:.1%} below the best")
    return violations


def main() -> int:
    """Run the comparison; return 1 if a bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", default="")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--histograms", action="store_true")
    options = parser.parse_args()
    faults = FAULTS[:1] if options.quick else FAULTS
    all_results, missed_bounds = {}, []
    for deployment in workload.DEPLOYMENTS:
        for fault in faults:
            for demand in DEMANDS:
                label = f"{deployment.name} fault={fault} demand={demand}"
                print(label)
                results = {}
                for policy in POLICIES:
                    runs = [
                        measure(run(policy, deployment, demand, fault, seed))
                        for seed in range(1, options.seeds + 1)
                    ]
                    results[policy.name] = average(runs)
                    print_row(policy.name, results[policy.name])
                    if options.histograms:
                        print(f"    {results[policy.name]['histogram']}")
                all_results[label] = results
                missed_bounds.extend(check(label, demand, results))
    for line in missed_bounds:
        print(f"missed: {line}")
    print(f"{len(missed_bounds)} bounds missed")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(all_results, file, indent=1)
    return 1 if missed_bounds else 0


if __name__ == "__main__":
    sys.exit(main())
