"""Start a node on the users' platform from a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from bilberryturn.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
