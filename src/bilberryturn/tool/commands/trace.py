"""Follow a request through the log files of nodes."""

import argparse
import pathlib

import msgspec

from bilberryturn import events
from bilberryturn.tool import output

# Changes in a node's state, or in its view of the servers and the platform,
# that may explain the outcome of a request.
_STATE_EVENTS = frozenset(
    event.name
    for event in (
        events.CONFIG_APPLIED,
        events.SERVER_CHANGED,
        events.SERVER_CIRCUIT_OPEN,
        events.PLATFORM_UNREACHABLE,
        events.PLATFORM_REACHABLE,
        events.READINESS_CHANGED,
        events.NODE_STARTED,
        events.NODE_STOPPING,
        events.JOB_FAILED,
    )
)
# State changes of the request's nodes to show, up to the request's last line.
DEFAULT_LINES_BEFORE = 12
_HIDDEN_FIELDS = frozenset({"event", "node", "number", "severity", "timestamp"})


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser(
        "trace",
        help=__doc__,
        description="Print the log lines of a request and the latest state"
        " changes of its nodes before its end, in the order of time.",
    )
    parser.add_argument("request_id", help="identifier of the request")
    parser.add_argument("files", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--before",
        type=_count,
        default=DEFAULT_LINES_BEFORE,
        help=f"state changes to show (default {DEFAULT_LINES_BEFORE})",
    )
    parser.set_defaults(run=run)


def _count(text: str) -> int:
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError("must be 0 or greater")
    return number


def run(options, client) -> int:
    """Print the lines; returns 1 if no line has the request's identifier."""
    lines = [line for file in options.files for line in read_lines(file)]
    found = select_lines(lines, options.request_id, options.before)
    if not found:
        print(
            f"No log line contains request {options.request_id}. Pass the logs"
            " of all nodes from the time when it was sent."
        )
        return 1
    output.print_table(
        [
            {
                "timestamp": line.get("timestamp", ""),
                "node": line.get("node", ""),
                "event": f"{line.get('number', '')} {line['event']}",
                "details": ", ".join(
                    f"{key}={value}"
                    for key, value in line.items()
                    if key not in _HIDDEN_FIELDS and value is not None
                ),
            }
            for line in found
        ],
        ["timestamp", "node", "event", "details"],
    )
    return 0


def read_lines(file: pathlib.Path) -> list[dict]:
    """Return the events in a log file, skipping lines that are not events.

    Raises:
        OSError: The file cannot be read.
    """
    found = []
    with file.open("rb") as log:
        for raw in log:
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(raw[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict) and "event" in line:
                found.append(line)
    return found


def select_lines(lines: list[dict], request_id: str, before: int) -> list[dict]:
    """Return a request's lines and the state changes before their end.

    Args:
        lines: Events of all logs.
        request_id: Identifier of the request.
        before: How many of the latest state changes to include.
    """
    request_lines = [
        line for line in lines if line.get("request") == request_id
    ]
    if not request_lines:
        return []
    last_timestamp = max(line.get("timestamp", "") for line in request_lines)
    nodes = {line.get("node") for line in request_lines}
    state_lines = sorted(
        (
            line
            for line in lines
            if line["event"] in _STATE_EVENTS
            and line.get("node") in nodes
            and line.get("timestamp", "") <= last_timestamp
        ),
        key=lambda line: line.get("timestamp", ""),
    )
    shown = state_lines[-before:] if before else []
    return sorted(
        [*shown, *request_lines], key=lambda line: line.get("timestamp", "")
    )
