"""Run the daemon bilberryturnd."""

import argparse
import logging
import signal
import sys

import zmq

from bilberryturn import checks
from bilberryturn import events
from bilberryturn.conf import loader
from bilberryturn.daemon import node

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 3
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main(arguments: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT arrives; returns the exit status.

    SIGHUP reloads the settings.
    """
    parser = argparse.ArgumentParser(
        prog="bilberryturnd",
        description="Route language-model traffic for callers.",
    )
    parser.add_argument("--settings", required=True, help="INI file to read")
    options = parser.parse_args(arguments)
    # All threads inherit this.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    result = loader.load(options.settings)
    if result.is_error():
        print(checks.format_messages(result.error), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = result.ok
    level = logging.getLevelNamesMapping()[settings.logging.level.upper()]
    events.configure(settings.node.name, level)
    return _run(node.Node(settings, options.settings))


def _run(running_node: node.Node) -> int:
    try:
        running_node.start()
    except (OSError, zmq.ZMQError) as error:
        print(
            f"Cannot bind an address: {error}. Change the addresses in"
            " [node] or stop the program that listens there.",
            file=sys.stderr,
        )
        return EXIT_FAILED
    while True:
        # Blocked signals interrupt no thread, and don't end the process at the
        # interpreter's shutdown.
        if signal.sigwait(HANDLED_SIGNALS) != signal.SIGHUP:
            running_node.stop()
            return EXIT_OK
        running_node.reload()


if __name__ == "__main__":
    sys.exit(main())
