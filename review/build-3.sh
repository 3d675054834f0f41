#!/bin/sh
# The stand-ins are Python and need only the standard library. This checks that
# the interpreter can run them.
cd "$(dirname "$0")" || exit 1
python3 - <<'END' || exit 1
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), sys.version
folders = ("standins-3", "11", "12", "13", "14", "15")
for folder in folders:
    for path in pathlib.Path(folder).glob("*.py"):
        ast.parse(path.read_text())
END
