"""Measure router overhead: ratios of routed to direct engine requests.

Usage: python bench/path.py [--streams 1,32,256] [--tokens N] [--rounds N]

Both are measured alternately in one run against the same engine stand-in,
which runs in its own process. The callers are threads of this process.
"""

import argparse
import concurrent.futures
import pathlib
import statistics
import subprocess
import sys
import time

from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module

ENGINE_SLOTS = 512
TOKEN_INTERVAL_S = 0.03
CLOCK_TICKS = 100
SECTIONS = {
    "profile bench": {
        "tier": "0",
        "models": "tatami-small",
        "max_wait_s": "60",
        "deadline_s": "300",
        "first_token_target_s": "30",
    },
    "client_account bench": {},
}


def start_engine():
    """Start an engine in a child process; return the process and address."""
    code = (
        "import sys, time\n"
        "from bilberryturn_standins import engine, server\n"
        f"options = engine.EngineOptions(slots={ENGINE_SLOTS},"
        f" token_interval_s={TOKEN_INTERVAL_S}, first_token_s=0.02)\n"
        "standin = engine.EngineStandin(server.LoopThread(), options)\n"
        "print(standin.start().address, flush=True)\n"
        "sys.stdin.read()\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().strip()


def resource_usage(node):
    """Return CPU seconds and resident bytes of a daemon."""
    stat_text = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text()
    stat_fields = stat_text.rsplit(")", 1)[1].split()
    seconds = (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return seconds, int(line.split()[1]) * 1024


def measure(address, key, streams, tokens):
    """Run concurrent streams.

    Returns:
        Median time to the first token in seconds, tokens per second, and
        the median interval between tokens in seconds.
    """
    client = caller.Caller(address, key, "bench" if key else "", timeout_s=120)

    def send_request(number):
        return client.chat(
            f"bench {number} {time.monotonic()}",
            tokens,
            model="tatami-small",
        )

    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(streams) as pool:
        answers = list(pool.map(send_request, range(streams)))
    elapsed_s = time.monotonic() - started_s
    failed = [a for a in answers if not a.complete]
    if failed:
        raise SystemExit(f"{len(failed)} answers failed: {failed[0].error}")
    median_first_token_s = statistics.median(a.first_token_s for a in answers)
    gaps_s = [
        (a.token_times_s[-1] - a.token_times_s[0]) / (tokens - 1)
        for a in answers
    ]
    return (
        median_first_token_s,
        streams * tokens / elapsed_s,
        statistics.median(gaps_s),
    )


def main() -> int:
    """Print one row for each number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="1,32,256")
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    process, engine_address = start_engine()
    cluster = cluster_module.Cluster(
        cluster_module.DOMAINS[:1], 1, engines=(), timing={}
    )
    try:
        cluster.platform.set_vm(
            "engine-1",
            failure_domain="santander",
            kind="engine",
            address=engine_address,
            serves=["tatami-small"],
            slots=ENGINE_SLOTS,
        )
        cluster.start()
        cluster.apply(SECTIONS)
        key = cluster.grant("bench")
        node = cluster.nodes[0]
        time.sleep(1.0)
        measure(node.caller_address, key, 4, 20)
        idle_s, idle_bytes = resource_usage(node)
        print(f"resident when idle: {idle_bytes / 2**20:.1f} MB")
        for streams in map(int, options.streams.split(",")):
            report(options, streams, node, engine_address, key)
    finally:
        cluster.close()
        process.stdin.close()
        process.wait(10)
    return 0


def report(options, streams, node, engine_address, key):
    """Measure direct and routed requests alternately and print the ratios."""
    first_token_ratios, rate_ratios, gap_ratios, cpu_s_per_token = (
        [],
        [],
        [],
        [],
    )
    for _ in range(options.rounds):
        direct = measure(engine_address, "", streams, options.tokens)
        before_s, _ = resource_usage(node)
        routed = measure(node.caller_address, key, streams, options.tokens)
        after_s, resident_bytes = resource_usage(node)
        first_token_ratios.append(routed[0] / direct[0])
        rate_ratios.append(routed[1] / direct[1])
        gap_ratios.append(routed[2] / direct[2])
        cpu_s_per_token.append(
            (after_s - before_s) / (streams * options.tokens)
        )
    print(
        f"{streams:4} streams: first token"
        f" x{statistics.median(first_token_ratios):.2f}"
        f" tokens/s x{statistics.median(rate_ratios):.3f}"
        f" gap x{statistics.median(gap_ratios):.3f}"
        f" cpu {statistics.median(cpu_s_per_token) * 1e6:.0f} us/token"
        f" resident {resident_bytes / 2**20:.1f} MB"
        f" (routed first token {routed[0] * 1000:.0f} ms,"
        f" {routed[1]:.0f} tokens/s)"
    )


if __name__ == "__main__":
    sys.exit(main())
