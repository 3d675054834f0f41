#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, and checks that the build of
# the deploy file has run. They need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "run the build of the deploy file first" >&2; exit 1; }
python3 - <<'PYTHON'
import pathlib
import sys

failed = 0
for path in sorted(pathlib.Path().glob("*/*.py")):
    try:
        compile(path.read_text("utf-8"), str(path), "exec")
    except SyntaxError as error:
        print(error, file=sys.stderr)
        failed = 1
sys.exit(failed)
PYTHON
echo "stand-ins built"
