"""Detect requests that crash the servers that run them."""

MARK_TTL_S = 600.0
MARKS_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 10000

CLEAR = "clear"
ISOLATE = "isolate"
QUARANTINED = "quarantined"


class SuspectRegistry:
    """Counts crashes by request fingerprint.

    After one crash a request runs isolated; a crash of an isolated request
    quarantines it. Until then other requests, which may be like it, were on the
    same servers. A success clears the marks.
    """

    def __init__(self):
        self._marks: dict[str, tuple[int, float]] = {}

    def classify(self, fingerprint: str, now_s: float) -> str:
        """Return CLEAR, ISOLATE or QUARANTINED."""
        marks, until_s = self._marks.get(fingerprint, (0, 0.0))
        if now_s >= until_s:
            return CLEAR
        if marks >= MARKS_TO_QUARANTINE:
            return QUARANTINED
        return ISOLATE

    def remaining_s(self, fingerprint: str, now_s: float) -> float:
        """Return the remaining time to live of a fingerprint's marks."""
        return max(0.0, self._marks.get(fingerprint, (0, 0.0))[1] - now_s)

    def record_crash(
        self, fingerprint: str, now_s: float, was_isolated: bool
    ) -> int:
        """Record a crash during a request; returns the number of marks.

        Args:
            fingerprint: Identifies the request across its retries.
            now_s: Present time.
            was_isolated: Whether it ran alone on the server.
        """
        marks, until_s = self._marks.get(fingerprint, (0, 0.0))
        if now_s >= until_s:
            marks = 0
        marks = marks + 1 if was_isolated else max(marks, 1)
        self._set(fingerprint, marks, now_s + MARK_TTL_S, now_s)
        return marks

    def record_success(self, fingerprint: str) -> bool:
        """Clear the marks; returns whether there were any."""
        return self._marks.pop(fingerprint, None) is not None

    def merge(
        self, fingerprint: str, marks: int, ttl_s: float, now_s: float
    ) -> None:
        """Merge the marks of another node; 0 clears them."""
        if marks <= 0:
            self._marks.pop(fingerprint, None)
            return
        known, until_s = self._marks.get(fingerprint, (0, 0.0))
        if now_s >= until_s:
            known = 0
        ttl_s = min(max(ttl_s, 0.0), MARK_TTL_S)
        self._set(fingerprint, max(marks, known), now_s + ttl_s, now_s)

    def quarantined(self, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each quarantined fingerprint."""
        return {
            fingerprint: until_s - now_s
            for fingerprint, (marks, until_s) in self._marks.items()
            if marks >= MARKS_TO_QUARANTINE and until_s > now_s
        }

    def _set(self, fingerprint, marks, until_s, now_s) -> None:
        self._marks[fingerprint] = (marks, until_s)
        if len(self._marks) <= MAX_FINGERPRINTS:
            return
        unexpired = {k: v for k, v in self._marks.items() if v[1] > now_s}
        while len(unexpired) > MAX_FINGERPRINTS:
            unexpired.pop(next(iter(unexpired)))
        self._marks = unexpired
