"""Limit the retries of a pool to a share of its requests."""

RETRY_RATIO = 0.2
MIN_LIMIT = 20.0
LIMIT_PER_SLOT = 2.0


class RetryBudget:
    """Budget that grows with each first attempt and shrinks with each retry.

    The budget may grow to twice the slots of the pool, because the loss of a
    server causes all of its requests to be retried at once, which is not a
    retry storm.
    """

    def __init__(self):
        self._limit = MIN_LIMIT
        self._budget = MIN_LIMIT

    def resize(self, slots: int) -> None:
        """Set the limit from the slots; an increase is added to the budget."""
        limit = max(MIN_LIMIT, LIMIT_PER_SLOT * slots)
        self._budget += max(0.0, limit - self._limit)
        self._limit = limit
        self._budget = min(self._budget, limit)

    def record_request(self) -> None:
        """Record a first attempt."""
        self._budget = min(self._limit, self._budget + RETRY_RATIO)

    def take(self) -> bool:
        """Return whether one retry is allowed, and spend it."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
