"""Start a node on the users' platform from a checkout."""

import pathlib
import signal
import sys

# The node unblocks the signals that it handles. Until then their default action
# would end the process. Threads started meanwhile never receive them.
signal.pthread_sigmask(
    signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from bilberryturn.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
