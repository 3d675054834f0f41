"""Derive polling intervals and timeouts from the bounds of a deployment.

A change reaches most nodes in two hops, from the store to a relay and from the
relay to the node. Even if the connection of either hop fails just before the
change, all nodes must receive the change within the bound.
"""

import threading
import time
from typing import NamedTuple

# Shares of the time within which a configuration must be in force: the longest
# wait of a long poll to the store, and the maximum age of a relay's reading.
# The rest is left for one request to the relay and for the node's own first
# call to the store.
CONFIG_WAIT_SHARE = 0.4
CONFIG_MAX_AGE_SHARE = 0.56
# The same for the time within which a leaving server must stop receiving new
# requests.
SERVER_POLL_SHARE = 0.28
SERVERS_MAX_AGE_SHARE = 0.6
# Share of the shorter of both bounds.
RELAY_POLL_SHARE = 0.2
# Shares of the time within which all nodes must know a request that crashes its
# servers: the longest wait of a long poll for the crash counts, and the pause
# between these calls. A write by any relay ends the long polls of all of them,
# so that without a pause the calls grow with the square of their number. The
# rest is left for two polls of a relay and one write of the count.
SUSPECT_WAIT_SHARE = 0.15
SUSPECT_PAUSE_SHARE = 0.15
# The interval between polls varies by this share in both directions, so that
# nodes that start together do not poll together.
RELAY_POLL_JITTER = 0.2
# State that the store confirmed to a peer within this time is as valid as a
# reading of the store. An outage that ended within this time is recent.
FRESH_S = 3.0
# Shortest pause between calls that are hastened, as requests wait for them.
HASTENED_PAUSE_S = 0.1
# A reachable node of the same failure domain answers within this time.
MAX_RELAY_TIMEOUT_S = 0.5


class Pause:
    """The pause between two calls of a thread, which others may end early."""

    def __init__(self):
        self._hastened = threading.Event()

    def hasten(self) -> None:
        """End this pause or the next one early; safe on any thread."""
        self._hastened.set()

    def wait(self, pause_s: float, stopping: threading.Event) -> None:
        """Wait for a time or until the next call is hastened.

        Args:
            pause_s: The time in seconds.
            stopping: Ends the wait, if the next call is hastened then.
        """
        began_s = time.monotonic()
        if self._hastened.wait(pause_s):
            self._hastened.clear()
            rest_s = min(pause_s, HASTENED_PAUSE_S)
            stopping.wait(max(0.0, began_s + rest_s - time.monotonic()))


class Intervals(NamedTuple):
    """Intervals and timeouts of reading the store and polling a relay.

    Attributes:
        config_wait_s: Longest time for which the store holds a call until
            the configuration changes (long poll).
        config_max_age_s: Age of a relay's reading of the configuration from
            which the relay is skipped as stale.
        server_poll_s: Pause between readings of the servers' entries.
        servers_max_age_s: Age of a relay's reading of the entries from which
            the relay is skipped as stale.
        suspect_wait_s: Longest time for which the store holds a call until
            a crash count changes (long poll).
        suspect_pause_s: Pause between these calls.
        relay_poll_s: Mean pause between polls of a relay.
        relay_timeout_s: Timeout of a request to a relay.
    """

    config_wait_s: float
    config_max_age_s: float
    server_poll_s: float
    servers_max_age_s: float
    suspect_wait_s: float
    suspect_pause_s: float
    relay_poll_s: float
    relay_timeout_s: float

    @property
    def max_relay_poll_s(self) -> float:
        """Return the longest pause between polls of a relay."""
        return self.relay_poll_s * (1 + RELAY_POLL_JITTER)


def from_bounds(drain_s: float, config_s: float, settle_s: float) -> Intervals:
    """Return the intervals that meet the bounds of a deployment.

    Args:
        drain_s: Seconds within which a leaving server must stop receiving
            new requests.
        config_s: Seconds within which a configuration must be in force.
        settle_s: Seconds within which all nodes must know a request that
            crashes its servers.
    """
    relay_poll_s = RELAY_POLL_SHARE * min(drain_s, config_s)
    return Intervals(
        CONFIG_WAIT_SHARE * config_s,
        CONFIG_MAX_AGE_SHARE * config_s,
        SERVER_POLL_SHARE * drain_s,
        SERVERS_MAX_AGE_SHARE * drain_s,
        SUSPECT_WAIT_SHARE * settle_s,
        SUSPECT_PAUSE_SHARE * settle_s,
        relay_poll_s,
        min(relay_poll_s, MAX_RELAY_TIMEOUT_S),
    )
