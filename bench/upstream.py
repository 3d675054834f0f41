"""Compare reading many streams with one curl multi loop or with threads.

Usage: python bench/upstream.py [--streams N] [--tokens N] [--rounds N]

Both deliver each chunk to the thread that would write it to the caller, and
measure CPU time of this process only; the engine stand-in runs in its own.
"""

import argparse
import json
import queue
import resource
import statistics
import sys
import threading
import time

import path as path_bench
import pycurl

from bilberryturn import backends
from bilberryturn_standins import caller


def body(tokens: int) -> bytes:
    """Return the body of a streamed request."""
    return json.dumps(
        caller.chat_body("bench", tokens, True, "tatami-small")
    ).encode()


def read_with_multi_loop(address: str, streams: int, tokens: int) -> None:
    """Read with one loop; a thread per stream waits on its event queue."""
    loop = backends.StreamLoop()
    loop.start()

    def consume():
        inbox = queue.SimpleQueue()
        call = loop.submit(options(address, tokens), inbox.put)
        while True:
            event = inbox.get()
            if isinstance(event, backends.CallData):
                loop.mark_consumed(call, len(event.data))
            elif isinstance(event, backends.CallEnd):
                return

    run_threads(consume, streams)
    loop.stop()


def options(address: str, tokens: int) -> backends.CallOptions:
    """Return the call that both variants make."""
    return backends.CallOptions(
        "POST",
        f"http://{address}/v1/chat/completions",
        ("Content-Type: application/json",),
        body(tokens),
        5.0,
        120.0,
    )


def read_with_threads(address: str, streams: int, tokens: int) -> None:
    """Read with a blocking transfer in each thread."""
    call = options(address, tokens)

    def consume():
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *call.headers])
        curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: None)
        curl.perform()
        curl.close()

    run_threads(consume, streams)


def run_threads(function, count: int) -> None:
    """Run a function in several threads and wait for all of them."""
    threads = [threading.Thread(target=function) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure(read, address, streams, tokens) -> tuple[float, float]:
    """Return CPU seconds per token and elapsed seconds."""
    before = resource.getrusage(resource.RUSAGE_SELF)
    started_s = time.monotonic()
    read(address, streams, tokens)
    elapsed_s = time.monotonic() - started_s
    after = resource.getrusage(resource.RUSAGE_SELF)
    used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return used / (streams * tokens), elapsed_s


def main() -> int:
    """Print the CPU time of both variants and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="32,256")
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=3)
    parsed = parser.parse_args()
    process, address = path_bench.start_engine()
    try:
        for streams in map(int, parsed.streams.split(",")):
            multi, threads = [], []
            for _ in range(parsed.rounds):
                multi.append(
                    measure(
                        read_with_multi_loop, address, streams, parsed.tokens
                    )
                )
                threads.append(
                    measure(read_with_threads, address, streams, parsed.tokens)
                )
            multi_loop_s, threads_s = (
                statistics.median(x[0] for x in runs)
                for runs in (multi, threads)
            )
            print(
                f"{streams:4} streams: multi loop"
                f" {multi_loop_s * 1e6:.0f} us/token,"
                f" threads {threads_s * 1e6:.0f} us/token,"
                f" ratio {multi_loop_s / threads_s:.2f}"
            )
    finally:
        process.stdin.close()
        process.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
