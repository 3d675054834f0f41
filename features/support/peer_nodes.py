"""A node as its peers see it: what it has read and what it passes on."""

import json
import random
import string

import msgspec

from bilberryturn import leases
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import peer_state
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import rows
from support import platform_data


class Peer:
    """The content of one node, without its threads."""

    def __init__(self, name):
        self.shared = shared_state.SharedState(
            "east",
            shared_state.RetryLimits(0.2, 1, 10),
            5.0,
            upstream.ConnectionPool(),
        )
        self.raw = peer_state.RawState()
        self.applier = feeds.Applier(self.shared, self.raw, name)

    def read_servers(self, changed, is_snapshot, after_outage=False, age_s=0.0):
        """Apply a reading of the store, values as objects."""
        changes = [
            rows.Change(key, 1, value and json.dumps(value).encode())
            for key, value in changed.items()
        ]
        self.applier.on_servers_read(
            followers.Reading(
                changes, is_snapshot, after_outage, leases.boottime_s() - age_s
            )
        )

    def read_config(self, version):
        value = json.dumps(platform_data.make_config(version)).encode()
        change = rows.Change(rows.CONFIG_KEY, version, value)
        self.applier.on_config_read(
            followers.Reading([change], True, False, leases.boottime_s())
        )

    def read_suspects(self, reports):
        """Apply a reading of all reports, by lifetime of their node."""
        changes = [
            rows.Change(lifetime, 1, json.dumps(counts).encode())
            for lifetime, counts in reports.items()
        ]
        self.applier.on_suspects_read(
            followers.Reading(changes, True, False, leases.boottime_s())
        )

    def state_for(self, peer):
        """Return what a poll of a peer returns."""
        return self.raw.state(peer.applier.known())

    def reply_to(self, peer):
        """Return the reply to a poll of a peer, as it is on the wire."""
        return msgspec.json.decode(
            msgspec.json.encode(self.state_for(peer)), type=peer_state.PeerState
        )

    def content(self):
        """Return what requests see: configuration, servers, crash counts."""
        servers = {
            s.server_id: s._replace(sequence=0)
            for s in self.shared.directory.usable("app")
        }
        table = self.shared.table
        return table and table.version, servers, self.raw.suspects


def many_routes(rng, count):
    """Return routes with the fields and names of the users' operator."""

    def name(length):
        letters = string.ascii_lowercase + string.digits
        return "".join(rng.choices(letters, k=length))

    return [
        {
            "name": f"r-{name(7)}",
            "host": f"{name(6)}.example",
            "prefix": f"/{name(7)}/",
            "type": rng.choice(("stream", "safe", "unsafe")),
            "timeoutMs": rng.choice((2000, 6000, 12000)),
            "targetLatencyMs": rng.choice((524, 845, 2063)),
            "priority": rng.randrange(3),
            "service": rng.choice(("huvo11a", "wuno96b")),
            "attempts": rng.randrange(1, 4),
            "public": False,
            "sticky": True,
            "resumable": False,
            "itlTargetMs": rng.choice((0, 300, 800)),
        }
        for _ in range(count)
    ]


def relay_with_routes(count):
    """Return a relay that has read a configuration of many routes."""
    config = platform_data.make_config(8)
    config["routes"] += many_routes(random.Random(29), count)
    change = rows.Change(rows.CONFIG_KEY, 8, json.dumps(config).encode())
    relay = Peer("relay")
    relay.read_servers({}, True)
    relay.applier.on_config_read(
        followers.Reading([change], True, False, leases.boottime_s())
    )
    return relay
