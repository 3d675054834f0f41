"""Put declarations in force on all nodes."""

from bilberryturn.tool import output
from bilberryturn.tool.commands import plan

EXIT_PENDING = 7


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("apply", help=__doc__)
    parser.add_argument("path", help="declaration file or folder")
    parser.add_argument(
        "--expect-version",
        type=int,
        help="refuse if another version is in force",
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=10.0,
        help="seconds to wait until the change is in force",
    )
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options, client) -> int:
    """Apply declarations and wait until they are in force."""
    planned = plan.make_plan(options.path, client)
    expected = planned.version
    if options.expect_version is not None:
        expected = options.expect_version
    if not planned.changed and not planned.removed:
        if not options.json:
            print(f"nothing to change; version {planned.version} in force")
            return 0
        output.print_json({"version": planned.version, "pending_domains": []})
        return 0
    if not options.json:
        plan.print_plan(planned)
    output.print_progress("waiting until the change is in force ...")
    response = client.call(
        "POST",
        "/changes",
        {
            "expected_version": expected,
            "changed": planned.changed,
            "removed": planned.removed,
            "wait_s": options.wait,
        },
    )
    return report_change(options, response)


def report_change(options, response) -> int:
    """Print where a change is in force; returns the exit status."""
    if options.json:
        output.print_json(response)
    else:
        output.print_in_force(response)
    return EXIT_PENDING if response["pending_domains"] else 0
