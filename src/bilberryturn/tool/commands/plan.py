"""Show what would change if declarations were applied."""

from typing import NamedTuple

from bilberryturn import declarations
from bilberryturn.tool import client as client_module
from bilberryturn.tool import output


class Plan(NamedTuple):
    """Difference between declaration files and the declarations in force.

    Attributes:
        version: Version in force.
        changed: Options of added and changed sections, by section.
        removed: Sections to remove.
        current: Options of the sections in force, by section.
    """

    version: int
    changed: dict[str, dict[str, str]]
    removed: tuple[str, ...]
    current: dict[str, dict[str, str]]


def make_plan(path: str, client) -> Plan:
    """Compare a declaration file or folder with the declarations in force.

    Raises:
        ToolError: The declarations contain faults.
    """
    sections, faults = declarations.check_files(path)
    if faults:
        raise client_module.ToolError(
            f"The declarations contain {len(faults)} faults",
            "Correct them; nothing has been changed",
            3,
            [fault._asdict() for fault in faults],
        )
    response = client.call("GET", "/declarations")
    changed, removed = declarations.difference(response["sections"], sections)
    return Plan(response["version"], changed, removed, response["sections"])


def print_plan(plan: Plan) -> None:
    """Print the added, changed and removed sections."""
    print(f"version in force: {plan.version}")
    for name in plan.removed:
        print(f"- [{name}]")
    for name, options in plan.changed.items():
        before = plan.current.get(name)
        print(f"{'+' if before is None else '~'} [{name}]")
        for option in sorted({*options, *(before or {})}):
            old, new = (before or {}).get(option), options.get(option)
            if old != new:
                print(f"    {option}: {old or '(unset)'} -> {new or '(unset)'}")
    if not plan.changed and not plan.removed:
        print("nothing to change")


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("plan", help=__doc__)
    parser.add_argument("path", help="declaration file or folder")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options, client) -> int:
    """Print the plan."""
    plan = make_plan(options.path, client)
    if options.json:
        output.print_json(
            {
                "version": plan.version,
                "changed": plan.changed,
                "removed": plan.removed,
            }
        )
        return 0
    print_plan(plan)
    return 0
