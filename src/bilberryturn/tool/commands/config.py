"""Show the history of declarations."""

from bilberryturn.tool import output


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("config", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    log = actions.add_parser("log", help="list the changes")
    log.add_argument("--after", type=int, default=0)
    show = actions.add_parser("show", help="show one change")
    show.add_argument("version", type=int)
    for action, function in ((log, run_log), (show, run_show)):
        action.add_argument("--json", action="store_true")
        action.set_defaults(run=function)


def run_log(options, client) -> int:
    """List the changes that followed a version."""
    rows = client.call("GET", "/changes", query={"after": options.after})[
        "changes"
    ]
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, ["version", "author", "at", "changed", "removed"])
    return 0


def run_show(options, client) -> int:
    """Show one change."""
    change = client.call("GET", f"/changes/{options.version}")
    change.pop("token", None)
    if options.json:
        output.print_json(change)
        return 0
    print(f"version {change['version']} by {change['author']}")
    for name in change["removed"]:
        print(f"- [{name}]")
    for name, fields in change["changed"].items():
        print(f"[{name}]")
        for option, value in fields.items():
            print(f"{option} = {value}")
    return 0
