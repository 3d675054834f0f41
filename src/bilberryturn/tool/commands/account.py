"""List client accounts and show their usage."""

from bilberryturn.tool import declared
from bilberryturn.tool import output


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("account", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser("list", help="list client accounts")
    usage = actions.add_parser("usage", help="show reported usage")
    usage.add_argument("name", nargs="?", default="")
    for action, function in ((listing, run_list), (usage, run_usage)):
        action.add_argument("--json", action="store_true")
        action.set_defaults(run=function)


def run_list(options, client) -> int:
    """List the client accounts in force."""
    rows = declared.sections_of_kind(client, "client_account")
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, ["name", "weight", "profiles"])
    return 0


def run_usage(options, client) -> int:
    """Show the usage of frozen usage windows."""
    rows = [
        {"window": window["window"], **figure}
        for window in client.call("GET", "/usage")["windows"]
        for figure in window["figures"]
        if options.name in ("", figure["client_account"])
    ]
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(
        rows,
        [
            "window",
            "client_account",
            "profile",
            "requests",
            "input_tokens",
            "output_tokens",
            "late_requests",
        ],
    )
    return 0
