"""Check settings and declarations without contacting a node."""

from bilberryturn import conf
from bilberryturn import declarations
from bilberryturn.tool import output

EXIT_FAULTS = 3


def add_parser(subparsers) -> None:
    """Add the command to the parser."""
    parser = subparsers.add_parser("check", help=__doc__)
    parser.add_argument(
        "--settings", action="append", default=[], help="settings file"
    )
    parser.add_argument("paths", nargs="*", help="declaration files or folders")
    parser.add_argument("--json", action="store_true")
    parser.set_defaults(run=run)


def run(options, client) -> int:
    """Print every fault; returns 3 if there are any."""
    faults = []
    for path in options.settings:
        result = conf.load(path)
        if result.is_error():
            faults.extend(result.error)
    for path in options.paths:
        faults.extend(declarations.check_files(path)[1])
    if options.json:
        output.print_json({"faults": [f._asdict() for f in faults]})
        return EXIT_FAULTS if faults else 0
    for fault in faults:
        print(fault)
    print(f"{len(faults)} faults")
    return EXIT_FAULTS if faults else 0
