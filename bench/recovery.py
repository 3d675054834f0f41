"""Measure brokers: control traffic per request, failover, over-granting.

Usage: python bench/recovery.py [--rounds N]
"""

import argparse
import re
import statistics
import sys
import threading
import time

from bilberryturn import membership
from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import engine
from bilberryturn_standins import proxy

POOL = "santander/tatami-small"
SLOTS = 4
SECTIONS = {
    "profile bench": {
        "tier": "0",
        "models": "tatami-small",
        "max_wait_s": "60",
        "first_token_target_s": "30",
    },
    "client_account bench": {},
}


def build(proxied: bool = False, slots: int = 64):
    """Start three nodes of one failure domain with default timing."""
    timing = {
        "heartbeat_interval_s": 1.0,
        "member_timeout_s": 3.0,
        "grant_timeout_s": 4.0,
        "stall_timeout_s": 30.0,
        "entry_sync_interval_s": 0.5,
    }
    options = engine.EngineOptions(slots=slots)
    cluster = cluster_module.Cluster(
        cluster_module.DOMAINS[:1],
        3,
        (cluster_module.EngineSpec("engine-1", "santander", options),),
        proxied,
        timing,
    )
    cluster.start()
    cluster.apply(SECTIONS)
    return cluster, cluster.grant("bench")


def control_counters(cluster) -> dict[str, float]:
    """Return the control messages and bytes that all nodes have sent."""
    totals = {"messages": 0.0, "bytes": 0.0}
    for node in cluster.nodes:
        text = cluster.caller(node).request("GET", "/metrics").body.decode()
        for name in totals:
            pattern = rf'control_{name}_total{{direction="sent"}} ([0-9.e+]+)'
            match = re.search(pattern, text)
            totals[name] += float(match.group(1)) if match else 0.0
    return totals


def measure_control_traffic() -> None:
    """Print control messages and bytes per request and per node-second."""
    cluster, key = build()
    try:
        clients = [
            caller.Caller(node.caller_address, key, "bench")
            for node in cluster.nodes
        ]
        time.sleep(3.0)
        before = control_counters(cluster)
        time.sleep(10.0)
        idle = control_counters(cluster)
        started_s = time.monotonic()
        count = 300
        for number in range(count):
            clients[number % 3].chat(f"r {number}", 2)
        elapsed_s = time.monotonic() - started_s
        time.sleep(1.5)
        after = control_counters(cluster)
        for name in ("messages", "bytes"):
            rate = (idle[name] - before[name]) / 10.0
            excess = after[name] - idle[name] - rate * (elapsed_s + 1.5)
            print(
                f"control {name}: {rate / 3:.1f} per node-second idle,"
                f" {excess / count:.2f} per request"
            )
    finally:
        cluster.close()


def measure_failover(round_number: int) -> float:
    """Kill the broker of a pool and measure the failover.

    Returns:
        The longest time to first token in seconds.
    """
    cluster, key = build()
    try:
        ranking = membership.rank([n.name for n in cluster.nodes], POOL)
        broker, other = cluster.node(ranking[0]), cluster.node(ranking[1])
        client = caller.Caller(other.caller_address, key, "bench")
        for number in range(5):
            client.chat(f"warm {round_number} {number}", 2)
        broker.kill()
        killed_s = time.monotonic()
        longest_s = 0.0
        while time.monotonic() - killed_s < 6.0:
            answer = client.chat(f"r {time.monotonic()}", 2)
            if not answer.complete:
                raise SystemExit(f"a request failed: {answer.error}")
            longest_s = max(longest_s, answer.first_token_s)
        return longest_s
    finally:
        cluster.close()


def peak_load() -> int:
    """Partition all nodes, so that each acts as the broker of the pool.

    Returns:
        Peak number of concurrent requests at the engine.
    """
    cluster, key = build(proxied=True, slots=SLOTS)
    try:
        standin = cluster.engines["engine-1"]
        standin.options = standin.options._replace(token_interval_s=0.1)
        cluster.proxy.set_rules(
            [proxy.Rule("", n.control_address, "cut") for n in cluster.nodes]
        )
        time.sleep(5.0)
        threads = []
        for node in cluster.nodes:
            for number in range(SLOTS * 2):
                client = caller.Caller(node.caller_address, key, "bench")
                threads.append(
                    threading.Thread(
                        target=client.chat,
                        args=(f"s {node.name} {number}", 20),
                        daemon=True,
                    )
                )
        for thread in threads:
            thread.start()
        peak = 0
        deadline_s = time.monotonic() + 2.0
        while time.monotonic() < deadline_s:
            peak = max(peak, standin._running + len(standin._waiting))
            time.sleep(0.01)
        for thread in threads:
            thread.join(60)
        return peak
    finally:
        cluster.close()


def main() -> int:
    """Print the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    measure_control_traffic()
    times = [measure_failover(number) for number in range(options.rounds)]
    print(
        "broker killed: longest time to first token"
        f" {statistics.median(times):.2f} s (median of {options.rounds}),"
        f" {max(times):.2f} s at most"
    )
    print(
        f"three partitioned brokers: {peak_load()} requests at an engine with"
        f" {SLOTS} slots"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
