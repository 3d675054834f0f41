"""Limit the retries to a service without coordination between nodes.

Each node spends only its own share: a fraction of the requests that it
received itself, and an equal part of the slack that all nodes share. The sum
over all nodes therefore stays within the limit, whatever the other nodes do.
"""

import collections
import math


class RetryBudget:
    """Counts first sends and retries of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float):
        """Initialize an empty budget.

        Args:
            ratio: Retries allowed for each first send.
            slack: Additional retries allowed, for this node alone.
            window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_sends: collections.deque[float] = collections.deque()
        self._retry_sends: collections.deque[float] = collections.deque()

    def resize(self, slack: float) -> None:
        """Set this node's part of the slack; it depends on the node count."""
        self._slack = slack

    def record_request(self, now_s: float) -> None:
        """Record the first send of a request."""
        self._first_sends.append(now_s)
        self._evict_expired(now_s)

    def take(self, now_s: float) -> bool:
        """Return whether a retry is allowed now, and spend it."""
        self._evict_expired(now_s)
        allowed = math.floor(self._slack + self._ratio * len(self._first_sends))
        if len(self._retry_sends) >= allowed:
            return False
        self._retry_sends.append(now_s)
        return True

    def _evict_expired(self, now_s: float) -> None:
        for times in (self._first_sends, self._retry_sends):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
