"""List VMs and mark them as joining or leaving."""

from bilberryturn.tool import output
from bilberryturn.tool.commands import apply

COLUMNS = ["name", "failure_domain", "kind", "address", "state", "cheap",
           "mark"]  # fmt: skip


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("vm", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser("list", help="list VMs")
    listing.add_argument("--json", action="store_true")
    listing.set_defaults(run=run_list)
    for name, mark in (("join", "joining"), ("leave", "leaving")):
        action = actions.add_parser(name, help=f"mark a VM as {mark}")
        add_mark_arguments(action)
        action.set_defaults(run=run_mark, kind="vm", mark=mark)


def add_mark_arguments(action) -> None:
    """Add the arguments of a command that sets a mark."""
    action.add_argument("name")
    action.add_argument("--wait", type=float, default=10.0)
    action.add_argument("--json", action="store_true")


def run_list(options, client) -> int:
    """List the VMs last reported by the platform."""
    rows = client.call("GET", "/vms")["vms"]
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, COLUMNS)
    return 0


def run_mark(options, client) -> int:
    """Set or remove a mark and wait until it is in force."""
    response = client.call(
        "POST",
        "/marks",
        {
            "kind": options.kind,
            "name": options.name,
            "mark": options.mark,
            "wait_s": options.wait,
        },
    )
    return apply.report_change(options, response)
