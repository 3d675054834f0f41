"""Show nodes, leases, pools and versions in force."""

from bilberryturn.tool import output


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("status", help=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options, client) -> int:
    """Print the state of the cluster from the view of one node."""
    state = client.call("GET", "/status")
    if options.json:
        output.print_json(state)
        return 0
    print(
        f"node {state['node']} in {state['failure_domain']},"
        f" version {state['version']}, {state['running']} requests running,"
        f" last platform response {state['platform_age_s']} s ago"
    )
    for title, columns in (
        ("members", ["name", "address", "version", "leaving", "heard_s"]),
        ("domains", ["name", "region", "members", "lowest_version",
                     "heard_s"]),
        ("leases", ["name", "held", "epoch"]),
        ("pools", ["pool", "slots", "busy", "free_slots", "waiting",
                   "wait_s"]),
    ):  # fmt: skip
        print()
        output.print_table(state[title], columns)
    return 0
