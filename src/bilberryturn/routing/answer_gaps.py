"""Take the gaps between the events of one answer."""

from typing import Protocol

from bilberryturn.routing import types


class Observer(Protocol):
    """Takes the samples."""

    def observe_gap(
        self,
        lifetime: types.Lifetime,
        answer: int,
        low_s: float,
        high_s: float,
        now_s: float,
    ) -> None:
        """Take a low gap of an answer and its longest gap until now."""


class AnswerGaps:
    """Takes the gaps between the events of one answer.

    A read that holds several events came late, or the server wrote them
    together: neither the gap before it nor the one after it is known.
    """

    # A sample is taken after each of these times, and at the end. Within the
    # first, three gaps fit on an engine that is three times slower.
    PERIOD_S = 0.5
    # The longest gap is that of this time.
    HIGH_PERIOD_S = 3.0
    MIN_GAPS = 3

    def __init__(self, speeds: Observer, lifetime: types.Lifetime, answer: int):
        """Initialize the gaps of an answer.

        Args:
            speeds: Takes the samples.
            lifetime: Lifetime of the server.
            answer: Tells the answers of this node apart.
        """
        self._speeds = speeds
        self._lifetime = lifetime
        self._answer = answer
        self._read_number = -1
        self._read_s: float | None = None
        self._pending_s: float | None = None
        self._gaps: list[float] = []
        self._began_s = 0.0
        self._high_s = 0.0
        self._high_began_s = 0.0

    def record_events(
        self, count: int, read_number: int, read_s: float, late_s: float
    ) -> None:
        """Record complete events.

        Args:
            count: Number of events.
            read_number: Number of the read that completed them.
            read_s: Monotonic time of that read.
            late_s: Last time at which the node itself was late.
        """
        if read_number == self._read_number:
            self._pending_s = self._read_s = None
            return
        self._settle(late_s)
        self._read_number = read_number
        if count > 1:
            self._read_s = None
            return
        if self._read_s is not None:
            self._pending_s = read_s - self._read_s
        self._read_s = read_s
        if not self._gaps:
            self._began_s = read_s
        elif read_s - self._began_s >= self.PERIOD_S:
            self._flush(read_s)

    def end(self, now_s: float, late_s: float) -> None:
        """Take the last sample of the answer."""
        self._settle(late_s)
        self._flush(now_s)

    def _settle(self, late_s: float) -> None:
        """Take the gap before the last read, as that held one event."""
        gap_s, self._pending_s = self._pending_s, None
        if gap_s is None or self._read_s is None:
            return
        if late_s < self._read_s - gap_s:
            self._gaps.append(gap_s)

    def _flush(self, now_s: float) -> None:
        gaps = sorted(self._gaps)
        if len(gaps) < self.MIN_GAPS:
            return
        self._gaps = []
        if now_s - self._high_began_s > self.HIGH_PERIOD_S:
            self._high_s, self._high_began_s = 0.0, now_s
        self._high_s = max(self._high_s, gaps[-1])
        self._speeds.observe_gap(
            self._lifetime,
            self._answer,
            gaps[len(gaps) // 4],
            self._high_s,
            now_s,
        )
