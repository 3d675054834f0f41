"""Grant, withdraw and list keys."""

from bilberryturn.tool import output
from bilberryturn.tool.commands import apply


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("key", help=__doc__)
    actions = parser.add_subparsers(dest="action", required=True)
    grant = actions.add_parser("grant", help="create a key, shown only once")
    grant.add_argument("client_account")
    grant.add_argument("--label", default="")
    withdraw = actions.add_parser("withdraw", help="withdraw a key")
    withdraw.add_argument("name", help="key, or a prefix of its hash")
    listing = actions.add_parser("list", help="list keys by hash")
    listing.add_argument("--account", default="")
    for action, function in (
        (grant, run_grant),
        (withdraw, run_withdraw),
        (listing, run_list),
    ):
        action.add_argument("--json", action="store_true")
        action.set_defaults(run=function)
    for action in (grant, withdraw):
        action.add_argument("--wait", type=float, default=10.0)


def run_grant(options, client) -> int:
    """Create a key and print it; it cannot be shown again."""
    response = client.call(
        "POST",
        "/keys",
        {
            "client_account": options.client_account,
            "label": options.label,
            "wait_s": options.wait,
        },
    )
    if not options.json:
        print(f"key   {response['key']}")
        print(f"hash  {response['hash']}")
    return apply.report_change(options, response)


def run_withdraw(options, client) -> int:
    """Withdraw a key; running requests that use it are ended."""
    response = client.call(
        "DELETE", f"/keys/{options.name}", query={"wait_s": options.wait}
    )
    return apply.report_change(options, response)


def run_list(options, client) -> int:
    """List keys by hash."""
    rows = [
        row
        for row in client.call("GET", "/keys")["keys"]
        if options.account in ("", row["client_account"])
    ]
    if options.json:
        output.print_json(rows)
        return 0
    output.print_table(rows, ["hash", "client_account", "label", "author"])
    return 0
