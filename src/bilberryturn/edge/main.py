"""Entry point of a node on the users' platform."""

import asyncio
import gc
import os
import sys

from bilberryturn import checks
from bilberryturn import events
from bilberryturn import log_writer
from bilberryturn.edge import node
from bilberryturn.platform import settings_file

SETTINGS_VARIABLE = "BILBERRYTURN_SETTINGS"
EXIT_OK = 0
EXIT_BAD_SETTINGS = 3


def main() -> int:
    """Run until a signal requests a stop; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    result = settings_file.load(path)
    if result.is_error():
        print(checks.format_messages(result.error), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    writer = log_writer.BoundedWriter(sys.stdout)
    events.configure(result.ok.name, file=writer)
    gc.freeze()
    try:
        asyncio.run(_run(result.ok, path))
    finally:
        writer.close()
    # Threads that are still blocked in calls to the store must not delay the
    # exit.
    sys.stdout.flush()
    os._exit(EXIT_OK)


async def _run(settings: settings_file.VmSettings, path: str) -> None:
    await node.EdgeNode(settings, path).run()
