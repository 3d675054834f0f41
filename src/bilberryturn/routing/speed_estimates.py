"""Estimate the speeds of a service's engines from their samples."""

from collections.abc import Iterable
import math
import statistics
from typing import NamedTuple

from bilberryturn.routing import speed_samples
from bilberryturn.routing import types

# Ratio between neighbouring speed classes.
CLASS_RATIO = 1.3
# Classes as far apart as this differ by a ratio of at least CLASS_RATIO,
# wherever in its class a speed lies.
MIN_CLASS_DIFFERENCE = 2
# One server in this many is passed over at either end of the range of speeds:
# one with a fault, or one that prefills all the time, is no kind of its own.
SKIPPED_PART = 10
# A class changes when the speed is farther from its centre than this share of
# a class, so that a speed at a border does not change it at each sample.
CLASS_HYSTERESIS = 0.75
MAX_CLASS = 8


class Estimate(NamedTuple):
    """What is measured of one server.

    Attributes:
        speed_class: Class of its speed; 0 is the service's typical speed.
        steady_class: Class of its mean speed over a longer time.
        high_gap_s: Gap that few of its answers exceed; None if unknown.
        load: Work that the nodes of this failure domain give it, as a share
            of what it can do.
    """

    speed_class: int
    steady_class: int
    high_gap_s: float | None
    load: float

    @property
    def relative_speed(self) -> float:
        """Return the speed relative to the service's typical one."""
        return CLASS_RATIO**self.speed_class

    @property
    def steady_speed(self) -> float:
        """Return the mean speed relative to the service's typical one."""
        return CLASS_RATIO**self.steady_class


class ServiceSpeeds(NamedTuple):
    """The measured speeds of a service whose servers differ.

    Attributes:
        tokens_per_s: Prompt tokens that a typical server prefills in a second.
        estimates: What is known of each server.
        fast: The servers whose steady speed is above the middle of the range.
        slow_speed: Relative speed of the others; the median, as coarse as
            that so that failure domains agree.
        fast_speed: Relative speed of the fast ones.
    """

    tokens_per_s: float
    estimates: dict[types.Lifetime, Estimate]
    fast: frozenset[types.Lifetime]
    slow_speed: float
    fast_speed: float

    def group_speed(self, lifetime: types.Lifetime) -> float:
        """Return the relative speed of a server's group."""
        return self.fast_speed if lifetime in self.fast else self.slow_speed


def relative_logs(
    servers: list[speed_samples.ServerSamples],
    now_s: float,
    window_s: float,
    share: float,
) -> dict[types.Lifetime, float]:
    """Return the logarithms of the measured relative speeds.

    The low gaps depend on the speed alone; the first event is later on a
    server with a queue as well, and counts where no gaps were measured.
    """
    logs: dict[types.Lifetime, float] = {}
    for kind in (speed_samples.Kind.FIRST_EVENT, speed_samples.Kind.LOW_GAP):
        values = {
            s.server.lifetime: value
            for s in servers
            if (value := s.quantile(kind, share, now_s, window_s)) is not None
        }
        if values:
            typical = statistics.median(values.values())
            logs |= {
                lifetime: math.log(typical / value)
                for lifetime, value in values.items()
            }
    return logs


def service_speeds(
    tokens_per_s: float, estimates: dict[types.Lifetime, Estimate]
) -> ServiceSpeeds | None:
    """Divide the servers by speed; returns None if they hardly differ."""
    classes = {name: e.steady_class for name, e in estimates.items()}
    ordered = sorted(classes.values())
    skipped = len(ordered) // SKIPPED_PART
    slowest, fastest = ordered[skipped], ordered[-1 - skipped]
    if fastest - slowest < MIN_CLASS_DIFFERENCE:
        return None
    middle = (slowest + fastest) / 2
    fast = frozenset(name for name, c in classes.items() if c > middle)
    return ServiceSpeeds(
        tokens_per_s,
        estimates,
        fast,
        _median_speed(c for name, c in classes.items() if name not in fast),
        _median_speed(c for name, c in classes.items() if name in fast),
    )


def _median_speed(classes: Iterable[int]) -> float:
    return CLASS_RATIO ** statistics.median(classes)


def class_of(log_speed: float, known: int) -> int:
    """Return the class of a speed that had a known class before."""
    position = log_speed / math.log(CLASS_RATIO)
    if abs(position - known) <= CLASS_HYSTERESIS:
        return known
    return max(-MAX_CLASS, min(MAX_CLASS, round(position)))
