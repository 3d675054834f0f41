"""List backend servers and drain them."""

from bilberryturn.tool import output
from bilberryturn.tool.commands import vm

COLUMNS = ["name", "failure_domain", "kind", "serves", "slots", "state",
           "cheap", "mark"]  # fmt: skip


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("backend", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser("list", help="list backend servers")
    listing.add_argument("--json", action="store_true")
    listing.set_defaults(run=run_list)
    for name, mark, text in (
        ("drain", "draining", "send no new requests to a backend server"),
        ("undrain", "", "send requests to a backend server again"),
    ):
        action = actions.add_parser(name, help=text)
        vm.add_mark_arguments(action)
        action.set_defaults(run=vm.run_mark, kind="backend_server", mark=mark)


def run_list(options, client) -> int:
    """List the backend servers last reported by the platform."""
    rows = [
        row
        for row in client.call("GET", "/vms")["vms"]
        if row["kind"] != "entry"
    ]
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, COLUMNS)
    return 0
