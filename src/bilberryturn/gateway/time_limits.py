"""Account for the time limit that a server is sent with a request.

The server stops work when it is over. If its answer has neither a length nor
chunks, it closes the connection then as it does behind a whole answer.
"""

from typing import NamedTuple

# A server may stop this much earlier, so that its answer is in time.
EARLY_STOP_S = 0.1
# Part of a short time limit by which it may do so.
EARLY_STOP_SHARE = 0.5


class TimeLimit(NamedTuple):
    """The time limit of one attempt.

    The server counts from its receipt of the request, so it stops later by the
    time that the request and the end of the answer are under way.

    Attributes:
        sent_s: Time since boot just before the request was sent. The server's
            time goes on while this machine is suspended.
        duration_s: What the server is sent.
    """

    sent_s: float
    duration_s: float

    def left_s(self, at_s: float) -> float:
        """Return the time that is left at a time since boot."""
        return self.sent_s + self.duration_s - at_s

    def may_have_stopped(self, ended_s: float) -> bool:
        """Return whether the server may have stopped at the limit.

        Args:
            ended_s: Time since boot at which it closed the connection.
        """
        early_s = min(EARLY_STOP_S, EARLY_STOP_SHARE * self.duration_s)
        return self.left_s(ended_s) <= max(0.0, early_s)
