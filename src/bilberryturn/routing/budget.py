"""Bound repeated sends to a service without a message for each request.

Each node spends only its own share: a fraction of the requests that it saw
itself, and an equal part of the slack that all nodes have together. Whatever
the others do, the sum stays within the bound.
"""

import collections
import math


class RepeatBudget:
    """Counts first and repeated sends of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float):
        """Set the bound.

        Args:
            ratio: Repeats allowed for each first send.
            slack: Repeats allowed besides, for this node alone.
            window_s: Length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_sends: collections.deque[float] = collections.deque()
        self._repeat_sends: collections.deque[float] = collections.deque()

    def resize(self, slack: float) -> None:
        """Set the repeats allowed besides; more nodes share the whole."""
        self._slack = slack

    def note_request(self, now_s: float) -> None:
        """Note a request that a caller sent."""
        self._first_sends.append(now_s)
        self._evict_expired(now_s)

    def take(self, now_s: float) -> bool:
        """Return whether a repeat is allowed now, and spend it."""
        self._evict_expired(now_s)
        allowed = math.floor(self._slack + self._ratio * len(self._first_sends))
        if len(self._repeat_sends) >= allowed:
            return False
        self._repeat_sends.append(now_s)
        return True

    def _evict_expired(self, now_s: float) -> None:
        for times in (self._first_sends, self._repeat_sends):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
