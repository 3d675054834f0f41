"""Derive how often to read and ask from the bounds of a deployment.

A change reaches most nodes in two steps, from the store to a relay and from
the relay to the node. Either may have just lost its way when the change comes,
and the change must still be known everywhere in time.
"""

from typing import NamedTuple

# Shares of the time in which a configuration must be in force: how long the
# store holds a call back, and how old a relay's reading may be. The rest is
# for one question and for the asker's own first call to the store.
CONFIG_WAIT_SHARE = 0.4
CONFIG_MAX_AGE_SHARE = 0.56
# The same for the time in which a leaving server must get nothing new.
SERVER_POLL_SHARE = 0.28
SERVERS_MAX_AGE_SHARE = 0.6
# Share of the shorter of both bounds.
RELAY_POLL_SHARE = 0.2
# Share of the time in which a request that crashes its servers must be known
# everywhere; besides it a count is asked for twice and written once.
SUSPECT_POLL_SHARE = 0.3
# Questions are spread by this share of their interval, so that nodes that
# start together do not ask together.
RELAY_POLL_JITTER = 0.2
# What a peer has heard within this time is as good as the store's word.
FRESH_S = 3.0
# A node of the same failure domain answers sooner, or not at all.
MAX_RELAY_TIMEOUT_S = 0.5


class Intervals(NamedTuple):
    """Says how often a node reads the store and asks its relay.

    Attributes:
        config_wait_s: How long the store holds a call back until the
            configuration changes.
        config_max_age_s: Age of a reading of the configuration from which a
            relay is passed over.
        server_poll_s: Pause between readings of the servers' entries.
        servers_max_age_s: Age of a reading of the entries from which a relay
            is passed over.
        suspect_poll_s: Pause between readings of the counted crashes.
        relay_poll_s: Mean pause between questions to a relay.
        relay_timeout_s: Longest time of a question.
    """

    config_wait_s: float
    config_max_age_s: float
    server_poll_s: float
    servers_max_age_s: float
    suspect_poll_s: float
    relay_poll_s: float
    relay_timeout_s: float

    @property
    def max_relay_poll_s(self) -> float:
        """Return the longest pause between questions."""
        return self.relay_poll_s * (1 + RELAY_POLL_JITTER)


def from_bounds(drain_s: float, config_s: float, settle_s: float) -> Intervals:
    """Return the intervals that keep the bounds of a deployment.

    Args:
        drain_s: Time in which a leaving server must get nothing new.
        config_s: Time in which a configuration must be in force.
        settle_s: Time in which a request that crashes its servers must be
            known everywhere.
    """
    relay_poll_s = RELAY_POLL_SHARE * min(drain_s, config_s)
    return Intervals(
        CONFIG_WAIT_SHARE * config_s,
        CONFIG_MAX_AGE_SHARE * config_s,
        SERVER_POLL_SHARE * drain_s,
        SERVERS_MAX_AGE_SHARE * drain_s,
        SUSPECT_POLL_SHARE * settle_s,
        relay_poll_s,
        min(relay_poll_s, MAX_RELAY_TIMEOUT_S),
    )
