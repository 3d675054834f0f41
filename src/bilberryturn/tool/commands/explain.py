"""Show how a request was routed and why."""

from bilberryturn.tool import output


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("explain", help=__doc__)
    parser.add_argument("request_id", help="value of X-Request-Id")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options, client) -> int:
    """Print the trace of a request."""
    response = client.call("GET", f"/requests/{options.request_id}")
    if options.json:
        output.print_json(response)
        return 0
    rows = []
    for step in response["steps"]:
        details = {
            k: v for k, v in step.items() if k not in ("step", "after_s")
        }
        text = ", ".join(f"{k}={v}" for k, v in details.items())
        rows.append({**step, "details": text})
    output.print_table(rows, ["after_s", "step", "details"])
    return 0
