"""Bound the retries of a pool to a share of its requests."""

RETRY_SHARE = 0.2
LARGEST_BUDGET = 20.0
FIRST_BUDGET = 10.0


class RetryBudget:
    """Grows with each first attempt and shrinks with each retry."""

    def __init__(self):
        self._budget = FIRST_BUDGET

    def note_request(self) -> None:
        """Note a first attempt."""
        self._budget = min(LARGEST_BUDGET, self._budget + RETRY_SHARE)

    def take(self) -> bool:
        """Return whether one retry is allowed, and spend it."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
