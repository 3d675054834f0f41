"""Bound the retries of a pool to a share of its requests."""

RETRY_RATIO = 0.2
MIN_LIMIT = 20.0
LIMIT_PER_SLOT = 2.0


class RetryBudget:
    """Grows with each first attempt and shrinks with each retry.

    The budget may grow to twice the slots of the pool: the loss of a server
    makes all that it ran retry at once, which is no storm of retries.
    """

    def __init__(self):
        self._limit = MIN_LIMIT
        self._budget = MIN_LIMIT

    def resize(self, slots: int) -> None:
        """Fit the limit to the slots of the pool; new room is granted."""
        limit = max(MIN_LIMIT, LIMIT_PER_SLOT * slots)
        self._budget += max(0.0, limit - self._limit)
        self._limit = limit
        self._budget = min(self._budget, limit)

    def note_request(self) -> None:
        """Note a first attempt."""
        self._budget = min(self._limit, self._budget + RETRY_RATIO)

    def take(self) -> bool:
        """Return whether one retry is allowed, and spend it."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
