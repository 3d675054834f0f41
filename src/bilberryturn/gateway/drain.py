"""Decide which requests a node accepts during a graceful shutdown."""

from typing import NamedTuple

# Time between the deadline of a request and the end of its response.
RESPONSE_MARGIN_S = 0.2


class Drain(NamedTuple):
    """A graceful shutdown in progress.

    Attributes:
        started_s: Monotonic time of the signal.
        accept_until_s: Monotonic time until which the load balancer may send
            callers here; until then all requests are accepted.
        end_s: Monotonic time until which accepted requests can finish.
    """

    started_s: float
    accept_until_s: float
    end_s: float

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Return whether to accept a request that has been read completely.

        Args:
            now_s: Present monotonic time.
            deadline_s: Monotonic time at which its caller stops waiting.
        """
        if now_s <= self.accept_until_s:
            return True
        return deadline_s + RESPONSE_MARGIN_S <= self.end_s
