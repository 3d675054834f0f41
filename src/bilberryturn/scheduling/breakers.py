"""Circuit breaker that stops sending requests to a failing server."""

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


class CircuitBreaker:
    """Opens after consecutive failures and admits one probe at a time."""

    def __init__(self):
        self._failures = 0
        self._open_until_s = 0.0
        self._open_s = INITIAL_OPEN_S
        self._is_open = False
        self._is_probing = False

    @property
    def is_open(self) -> bool:
        """Return whether the breaker is open, or half-open for probes."""
        return self._is_open

    def allows(self, now_s: float) -> bool:
        """Return whether a request may go to the server now."""
        if not self._is_open:
            return True
        return now_s >= self._open_until_s and not self._is_probing

    def record_start(self, now_s: float) -> None:
        """Record a dispatch; on an open breaker it is a probe."""
        if self._is_open:
            self._is_probing = True

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._is_open = False
        self._is_probing = False
        self._open_s = INITIAL_OPEN_S

    def record_failure(self, now_s: float) -> bool:
        """Record a failure; returns whether this opened the breaker.

        While the breaker is open, only the failure of a probe counts, because
        all requests that were running when the server crashed fail together.
        """
        if self._is_open:
            if self._is_probing:
                self._is_probing = False
                self._open_s = min(self._open_s * 2, MAX_OPEN_S)
                self._open_until_s = now_s + self._open_s
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return False
        self._is_open = True
        self._open_until_s = now_s + self._open_s
        return True

    def record_abandoned(self) -> None:
        """Record the end of a probe without a result."""
        self._is_probing = False
