"""List, show and set profiles."""

from bilberryturn.tool import client as client_module
from bilberryturn.tool import declared
from bilberryturn.tool import output
from bilberryturn.tool.commands import apply

COLUMNS = ["name", "tier", "models", "first_token_target_s", "cheap"]


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("profile", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser("list", help="list profiles")
    show = actions.add_parser("show", help="show one profile")
    show.add_argument("name")
    setting = actions.add_parser("set", help="change options of a profile")
    setting.add_argument("name")
    setting.add_argument("options", nargs="+", metavar="OPTION=VALUE")
    setting.add_argument("--expect-version", type=int)
    setting.add_argument("--wait", type=float, default=10.0)
    for action, function in (
        (listing, run_list),
        (show, run_show),
        (setting, run_set),
    ):
        action.add_argument("--json", action="store_true")
        action.set_defaults(run=function)


def run_list(options, client) -> int:
    """List the profiles in force."""
    rows = declared.sections_of_kind(client, "profile")
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, COLUMNS)
    return 0


def _read_profile(client, name: str) -> tuple[int, dict[str, str]]:
    response = client.call("GET", "/declarations")
    fields = response["sections"].get(f"profile {name}")
    if fields is None:
        raise client_module.ToolError(
            f"The profile {name!r} is not declared",
            "List the profiles with `bilberryturn profile list`",
            client_module.EXIT_REFUSED,
        )
    return response["version"], fields


def run_show(options, client) -> int:
    """Show the options of one profile."""
    _, fields = _read_profile(client, options.name)
    if options.json:
        output.print_json(fields)
        return 0
    print(f"[profile {options.name}]")
    for option, value in fields.items():
        print(f"{option} = {value}")
    return 0


def run_set(options, client) -> int:
    """Change options of a profile and wait until they are in force."""
    version, fields = _read_profile(client, options.name)
    if options.expect_version is not None:
        version = options.expect_version
    changed = dict(fields)
    for text in options.options:
        option, separator, value = text.partition("=")
        if not separator:
            raise client_module.ToolError(
                f"{text!r} is not OPTION=VALUE",
                "Write for example tier=1",
                2,
            )
        changed[option.strip()] = value.strip()
    response = client.call(
        "POST",
        "/changes",
        {
            "expected_version": version,
            "changed": {f"profile {options.name}": changed},
            "wait_s": options.wait,
        },
    )
    return apply.report_change(options, response)
