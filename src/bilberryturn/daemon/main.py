"""Run the daemon bilberryturnd."""

import argparse
import logging
import signal
import sys
import threading

import zmq

from bilberryturn import checks
from bilberryturn import events
from bilberryturn.conf import loader
from bilberryturn.daemon import node

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 3


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
    result = loader.load(options.settings)
    if result.is_error():
        print(checks.format_messages(result.error), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = result.ok
    level = logging.getLevelNamesMapping()[settings.logging.level.upper()]
    events.configure(settings.node.name, level)
    return _run(node.Node(settings, options.settings))


def _run(running_node: node.Node) -> int:
    wake = threading.Event()
    pending_signals: list[int] = []

    def on_signal(signal_number, frame) -> None:
        pending_signals.append(signal_number)
        wake.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, on_signal)
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
        wake.wait()
        wake.clear()
        while pending_signals:
            if pending_signals.pop(0) != signal.SIGHUP:
                running_node.stop()
                # A second signal must not end the interpreter's shutdown.
                signal.signal(signal.SIGTERM, signal.SIG_IGN)
                signal.signal(signal.SIGINT, signal.SIG_IGN)
                return EXIT_OK
            running_node.reload()


if __name__ == "__main__":
    sys.exit(main())
