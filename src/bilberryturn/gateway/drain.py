"""Decide which requests a node accepts during a graceful shutdown."""

from typing import NamedTuple

# New connections are still accepted for this long after SIGTERM: the load
# balancer polls the readiness once a second and needs two failures.
LISTEN_S = 3.0
# Until then all requests are accepted. Shorter than the time for which the
# node listens, as the signal may be handled late.
ACCEPT_ALL_S = 2.5
# Part of the grace period reserved for the last writes to the store. Running
# requests keep five sixths of it.
MAX_WRITE_RESERVE_S = 1.2
WRITE_RESERVE_SHARE = 0.15
# Time between the deadline of a request and the end of its response.
RESPONSE_MARGIN_S = 0.2


class Drain(NamedTuple):
    """A graceful shutdown in progress; all times are monotonic.

    Attributes:
        started_s: Time of the signal.
        listen_until_s: Time until which new connections are accepted.
        accept_until_s: Time until which all requests are accepted.
        end_s: Time until which accepted requests can finish.
        kill_s: End of the grace period.
    """

    started_s: float
    listen_until_s: float
    accept_until_s: float
    end_s: float
    kill_s: float

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Return whether to accept a request that has been read completely.

        Args:
            now_s: Present time.
            deadline_s: Time at which its caller stops waiting.
        """
        if now_s <= self.accept_until_s:
            return True
        return deadline_s + RESPONSE_MARGIN_S <= self.end_s


def plan(started_s: float, grace_s: float) -> Drain:
    """Return the times of a shutdown.

    Args:
        started_s: Monotonic time of the signal.
        grace_s: Time from the signal until the process is killed.
    """
    reserve_s = min(MAX_WRITE_RESERVE_S, WRITE_RESERVE_SHARE * grace_s)
    end_s = started_s + grace_s - reserve_s
    return Drain(
        started_s,
        min(started_s + LISTEN_S, end_s),
        min(started_s + ACCEPT_ALL_S, end_s),
        end_s,
        started_s + grace_s,
    )
