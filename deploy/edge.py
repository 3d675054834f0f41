"""Start a node on the users' platform from a checkout."""

import pathlib
import signal
import sys

# Until the node handles SIGHUP, its default action would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from bilberryturn.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
