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
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def resize(self, slack: float) -> None:
        """Set the repeats allowed besides; more nodes share the whole."""
        self._slack = slack

    def note_request(self, now_s: float) -> None:
        """Note a request that a caller sent."""
        self._firsts.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float) -> bool:
        """Return whether a repeat is allowed now, and spend it."""
        self._forget(now_s)
        allowed = math.floor(self._slack + self._ratio * len(self._firsts))
        if len(self._repeats) >= allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
