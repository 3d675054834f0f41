"""Demonstrate request routing on one machine with stand-ins and six daemons."""

import argparse
import pathlib
import signal
import sys
import threading

from bilberryturn import declarations
from bilberryturn_standins import cluster as cluster_module

FIRST_CALLER_PORT = 8080
EXAMPLES = pathlib.Path("examples/declarations")


def main(arguments: list[str] | None = None) -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--once", action="store_true", help="stop after the first answers"
    )
    options = parser.parse_args(arguments)
    stopping = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stopping.set())
    print("starting stand-ins and six daemons ...", flush=True)
    cluster = cluster_module.Cluster(caller_ports=(FIRST_CALLER_PORT,))
    cluster.add_service("booking-1", "santander", "booking")
    cluster.add_service("catalogue-1", "oviedo", "catalogue")
    try:
        cluster.start()
        key = _apply_declarations(cluster)
        _send_examples(cluster, key)
        node = cluster.nodes[0]
        print(f"admin interface: {node.admin_address}, operator token:"
              f" {cluster_module.OPERATOR_TOKENS['ana']}")  # fmt: skip
        print(f"demo ready: http://{node.caller_address} key {key}", flush=True)
        if not options.once:
            stopping.wait()
        print("stopping ...", flush=True)
        return _stop(cluster)
    finally:
        cluster.close()


def _apply_declarations(cluster: cluster_module.Cluster) -> str:
    sections, faults = declarations.check_files(str(EXAMPLES))
    if faults:
        raise SystemExit("\n".join(str(fault) for fault in faults))
    answer = cluster.apply(sections)
    print(
        f"declarations: version {answer['version']} in force on"
        f" {answer['nodes_ready']} of {answer['nodes_total']} nodes"
    )
    return cluster.grant("workshop-laredo")


def _send_examples(cluster: cluster_module.Cluster, key: str) -> None:
    caller = cluster.caller(key=key, profile="front-desk")
    answer = caller.chat("When can you renew six mats?", max_tokens=12)
    print(f"streamed answer: {answer.text!r} complete={answer.complete}")
    answer = caller.chat("Thank you.", max_tokens=8, stream=False)
    print(f"whole answer: {answer.text!r}")
    answer = caller.call_service(
        "booking", "collections", b'{"mats": 6}', idempotency_key="demo-1"
    )
    print(f"booking: {answer.body.decode()}")


def _stop(cluster: cluster_module.Cluster) -> int:
    """Stop all daemons gracefully; return 0 if all exit with status 0."""
    for node in cluster.nodes:
        node.signal(signal.SIGTERM)
    statuses = [node.wait() for node in cluster.nodes]
    return 0 if not any(statuses) else 1


if __name__ == "__main__":
    sys.exit(main())
