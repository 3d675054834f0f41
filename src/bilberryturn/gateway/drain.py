"""Times of a graceful shutdown."""

from typing import NamedTuple


class Drain(NamedTuple):
    """A graceful shutdown in progress.

    Attributes:
        started_s: Monotonic time of the signal.
    """

    started_s: float
