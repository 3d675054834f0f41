"""Steps of narrow_links.feature: the bytes that a new configuration costs."""

import json
import random
import threading
import time

import behave

from bilberryturn.edge import followers
from bilberryturn.platform import rows
from support import peer_nodes
from support import platform_data

CONFIG_WAIT_S = 0.2
SERVER_PAUSE_S = 0.2


def _table_bytes(standin):
    """Return the size of the answers that hold all rows of both tables."""
    return sum(
        len(json.dumps(standin.get({"table": table, "limit": rows.PAGE_ROWS})))
        for table in (rows.SERVER_TABLE, rows.OPERATOR_TABLE)
    )


def _write_config(context, version):
    config = platform_data.make_config(version)
    config["routes"] += context.routes
    context.standin.put(rows.OPERATOR_TABLE, rows.CONFIG_KEY, config)


def _write_servers(context, sequence):
    for number in range(context.server_count):
        context.standin.put(
            rows.SERVER_TABLE,
            f"server-{number:03}",
            platform_data.make_entry(seq=sequence),
        )


@behave.given(
    "a store with {servers:d} servers and a configuration of {routes:d} routes"
)
def given_store(context, servers, routes):
    platform_data.start_standin(context)
    context.server_count = servers
    context.routes = peer_nodes.many_routes(random.Random(29), routes)
    context.version = 1
    _write_config(context, context.version)
    _write_servers(context, 1)


@behave.given("a node that has read both and follows a relay now")
def given_reader(context):
    context.peer = peer_nodes.Peer("node")
    applier = context.peer.applier
    raw = context.peer.raw
    context.followed = [
        followers.Follower(
            rows.SERVER_TABLE, context.standin.address, 0.0, SERVER_PAUSE_S, "",
            applier.on_servers_read,
            peer_readings=lambda: raw.peer_server_readings,
        ),
        followers.Follower(
            rows.OPERATOR_TABLE, context.standin.address, CONFIG_WAIT_S, 0.0,
            "", applier.on_config_read,
            peer_readings=lambda: raw.peer_configs,
        ),
    ]  # fmt: skip
    stopping = threading.Event()
    context.closers.append(stopping.set)
    for follower in context.followed:
        threading.Thread(
            target=follower.run, args=(stopping,), daemon=True
        ).start()
    _wait_until_read(context, 0.0)
    for follower in context.followed:
        follower.pause()
    # A call in progress ends.
    time.sleep(2 * CONFIG_WAIT_S)


def _wait_until_read(context, since_s):
    raw = context.peer.raw
    platform_data.wait_for(
        lambda: min(raw.config_read_s, raw.servers_read_s) > since_s,
        10,
        lambda: (raw.config_read_s, raw.servers_read_s, since_s),
    )


@behave.when(
    "the relay delivers {configs:d} newer configurations and {heartbeats:d}"
    " heartbeats of each server"
)
def when_delivers(context, configs, heartbeats):
    relay = peer_nodes.Peer("relay")
    for _ in range(configs):
        context.version += 1
        _write_config(context, context.version)
    for sequence in range(heartbeats):
        _write_servers(context, 2 + sequence)
    for table, read in (
        (rows.SERVER_TABLE, relay.applier.on_servers_read),
        (rows.OPERATOR_TABLE, relay.applier.on_config_read),
    ):
        changes = [
            rows.Change(key, 1, value)
            for _, key, value in context.standin.raw_rows({table})
        ]
        read(followers.Reading(changes, True, False, time.monotonic()))
    context.peer.applier.apply_peer_state(
        relay.reply_to(context.peer), time.monotonic()
    )
    assert context.peer.content()[0] == context.version


@behave.when("the node reads the store itself")
def when_reads(context):
    context.sent_before = context.standin.sent_bytes
    began_s = time.monotonic()
    for follower in context.followed:
        follower.activate()
    _wait_until_read(context, began_s)


@behave.then("the node has the newest configuration and {servers:d} servers")
def then_has(context, servers):
    version, found, _ = context.peer.content()
    assert version == context.version, version
    assert len(found) == servers, len(found)


@behave.then("the store has sent at most {share:g} times the size of both")
def then_sent(context, share):
    sent = context.standin.sent_bytes - context.sent_before
    limit = share * _table_bytes(context.standin)
    assert sent <= limit, (sent, limit)
