"""Write log lines on a background thread without blocking the caller."""

import queue
import threading
from typing import TextIO

from bilberryturn import events

# Lines queued while the reader of the log is slow; when the queue is full, new
# lines are dropped and counted.
MAX_QUEUED_LINES = 5000


class BoundedWriter:
    """File-like object that queues lines for a thread of its own to write.

    Attributes:
        dropped_count: Lines dropped because the queue was full.
    """

    def __init__(self, file: TextIO, max_lines: int = MAX_QUEUED_LINES):
        self.dropped_count = 0
        self._file = file
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._reported_count = 0
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped_count += 1

    def flush(self) -> None:
        """Do nothing; the thread flushes the file when the queue is empty."""

    def close(self, timeout_s: float = 1.0) -> None:
        """Wait until the queued lines are written, unless the queue is full.

        Args:
            timeout_s: Longest wait in seconds.
        """
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            try:
                self._file.write(line)
                if self.dropped_count != self._reported_count:
                    self._report_dropped_lines()
                if self._lines.empty():
                    self._file.flush()
            except (OSError, ValueError):
                # The log is closed or has no reader, so the error cannot be
                # reported.
                return

    def _report_dropped_lines(self) -> None:
        dropped = self.dropped_count - self._reported_count
        self._reported_count = self.dropped_count
        event = events.LOG_LINES_DROPPED
        self._file.write(
            f'{{"event": "{event.name}", "number": {event.number},'
            f' "dropped": {dropped}}}\n'
        )
