#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 compile; they need only the standard
# library.
set -euo pipefail
cd "$(dirname "$0")"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
for file in standins-2/*.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$file" "$folder/out.pyc"
done
python3 -c 'import asyncio, sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer"; asyncio.timeout'
