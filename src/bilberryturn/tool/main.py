"""Run the command-line tool bilberryturn."""

import argparse
import sys

from bilberryturn.tool import client
from bilberryturn.tool import commands
from bilberryturn.tool import output

EXIT_OK = 0
EXIT_FAULTS = 3


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="bilberryturn",
        description="Operate a bilberryturn router.",
        epilog="Exit status: 0 done, 2 wrong usage, 3 faults found,"
        " 4 conflict with another operator, 5 refused, 6 node unreachable,"
        " 7 accepted but not yet in force everywhere.",
    )
    parser.add_argument(
        "--node", default="", help="admin address of a node (IP:PORT)"
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for module in commands.ALL:
        module.add_parser(subparsers)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns the exit status."""
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options, client.AdminClient(options.node))
    except client.ToolError as error:
        if getattr(options, "json", False):
            output.print_json(
                {
                    "problem": error.problem,
                    "remedy": error.remedy,
                    "faults": list(error.faults),
                }
            )
        for fault in error.faults:
            print(
                f"{fault['number']} {fault['file']}: [{fault['section']}]"
                f" {fault['option']}: {fault['problem']}."
                f" {fault['remedy']}.",
                file=sys.stderr,
            )
        print(f"bilberryturn: {error}", file=sys.stderr)
        return error.exit_status
    except BrokenPipeError:
        return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
