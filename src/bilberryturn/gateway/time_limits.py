"""Account for the time limit that a server is sent with a request."""

from typing import NamedTuple


class TimeLimit(NamedTuple):
    """The time limit of one attempt, at which its server stops work.

    The server counts from its receipt of the request, so it stops later than
    this by the time that the request takes to arrive.

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
