"""Record what was sent, answered and run."""

import pathlib
import time


class Record:
    """Collects lines with the time since the start, and writes them."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, who: str, what: str) -> None:
        """Add a line."""
        elapsed_s = time.monotonic() - self._started_s
        self._lines.append(f"{elapsed_s:9.3f} s  {who:<12} {what}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n", "utf-8")
