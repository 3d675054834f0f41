"""Steps of narrow_links.feature: large configurations and slow links."""

import asyncio
import itertools
import json
import random
import threading
import time
import zlib

import behave
import msgspec

from bilberryturn import leases
from bilberryturn.edge import config_change
from bilberryturn.edge import config_order
from bilberryturn.edge import config_transfer
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import internal_server
from bilberryturn.platform import rows
from support import narrow_link
from support import peer_nodes
from support import platform_data
from support import scripted

CONFIG_WAIT_S = 0.2
SERVER_PAUSE_S = 0.2
TIMES = intervals.from_bounds(4.0, 4.0, 5.0)


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
        read(followers.Reading(changes, True, False, leases.boottime_s()))
    context.peer.applier.apply_peer_state(
        relay.reply_to(context.peer), leases.boottime_s()
    )
    assert context.peer.content()[0] == context.version


@behave.when("the node reads the store itself")
def when_reads(context):
    context.sent_before = context.standin.sent_bytes
    began_s = leases.boottime_s()
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


class _RelayServer:
    """Answers polls and requests for the configuration of a relay."""

    def __init__(self, relay, loop):
        self._relay = relay
        self._configs = config_transfer.ConfigServer(relay.raw)
        server = internal_server.InternalServer(self._answer)
        asyncio.run_coroutine_threadsafe(
            server.start("127.0.0.1", 0), loop
        ).result(5)
        self.port = server._server.sockets[0].getsockname()[1]

    def _answer(self, path, body):
        if path == config_transfer.PATH:
            return self._configs.reply(body)
        # The relay reads the store all the while.
        now_s = leases.boottime_s()
        raw = self._relay.raw
        raw.config_read_s = raw.servers_read_s = now_s
        raw.config_confirmed_s = raw.servers_confirmed_s = now_s
        request = msgspec.json.decode(body, type=relays.StateRequest)
        state = raw.state(request.known())
        return internal_server.Reply(200, msgspec.json.encode(state))


def _start_loop(context):
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    context.closers.append(
        lambda: asyncio.run_coroutine_threadsafe(_end(loop), loop)
    )
    return loop


async def _end(loop):
    """End the connections and the loop, which would log those left open."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    loop.call_soon(loop.stop)


@behave.given(
    "a relay with a configuration of {count:d} routes behind a link of"
    " {mbps:g} Mbit/s"
)
def given_relay_behind(context, count, mbps):
    context.relay = peer_nodes.relay_with_routes(count)
    context.loop = _start_loop(context)
    server = _RelayServer(context.relay, context.loop)
    context.link = narrow_link.NarrowLink(server.port, mbps)
    context.closers.append(context.link.close)
    context.peers = []
    context.stopping = threading.Event()
    context.closers.append(context.stopping.set)


def _addresses_behind(address):
    """Return addresses of nodes that rank after one, which they poll."""
    for number in itertools.count(1):
        own = f"10.0.0.{number}:1"
        if relays.candidates(own, {address}, "east"):
            yield own


@behave.when("{count:d} node that has no store polls it")
@behave.when("{count:d} nodes that have no store poll it")
def when_poll(context, count):
    address = context.link.address
    context.began_s = time.monotonic()
    for own in itertools.islice(_addresses_behind(address), count):
        peer = peer_nodes.Peer(own)
        on_loop = followers.on_loop
        fetcher = config_transfer.ConfigFetcher(
            "",
            lambda peer=peer: peer.raw.config,
            on_loop(context.loop, peer.applier.apply_fetched_config),
            lambda _: None,
        )
        peers_known = threading.Event()
        peers_known.set()
        client = relays.RelayClient(
            own, own, "east", "", TIMES, lambda: [address], list, dict, dict,
            shared_clock.SharedClock(), [], peer.applier.known,
            on_loop(context.loop, peer.applier.apply_peer_state), peers_known,
            relays.RESTART_WAITS, offer_config=fetcher.offer,
        )  # fmt: skip
        for job in (fetcher, client):
            threading.Thread(
                target=job.run, args=(context.stopping,), daemon=True
            ).start()
        context.peers.append(peer)


@behave.then("all nodes have the configuration within {bound_s:d} s")
def then_all_have(context, bound_s):
    digest = context.relay.raw.config_digest
    platform_data.wait_for(
        lambda: all(p.raw.config_digest == digest for p in context.peers),
        context.began_s + bound_s - time.monotonic(),
        lambda: sum(p.raw.config_digest == digest for p in context.peers),
    )


@behave.given("a node that fetches the configuration")
def given_fetching(context):
    context.given_up = threading.Event()
    raw = context.relay.raw
    fetcher = config_transfer.ConfigFetcher(
        "", bytes, lambda *_: None, lambda _: context.given_up.set()
    )
    threading.Thread(
        target=fetcher.run, args=(context.stopping,), daemon=True
    ).start()
    fetcher.offer(
        config_transfer.Offer(context.link.address, raw.config_digest, 0, 0)
    )
    time.sleep(0.3)


@behave.when("the link stalls")
def when_stalls(context):
    context.link.is_stalled = True


@behave.then("the node has given up the peer within {bound_s:d} s")
def then_given_up(context, bound_s):
    assert context.given_up.wait(bound_s)


@behave.when("{count:d} nodes fetch it from the relay")
def when_fetch(context, count):
    context.config_server = config_transfer.ConfigServer(context.relay.raw)
    context.replies = [_fetch(context) for _ in range(count)]


def _fetch(context, base_digest=""):
    request = config_transfer.ConfigRequest(base_digest)
    return context.config_server.reply(msgspec.msgpack.encode(request))


@behave.then("one of them is asked to come back")
def then_busy(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200, 200, config_transfer.BUSY_STATUS], statuses


@behave.then("it gets the configuration after one transfer has ended")
def then_after(context):
    context.replies[0].on_sent()
    assert _fetch(context).status == 200
    assert _fetch(context).status == config_transfer.BUSY_STATUS


@behave.then(
    "the reply to a node that fetches large ones holds the configuration"
)
def then_inline(context):
    known = peer_state.Known("", accepts_compressed=True, fetches_config=True)
    assert context.relay.raw.state(known).config is not None


@behave.when("the operator adds {count:d} routes")
def when_adds(context, count):
    context.digest_before = context.relay.raw.config_digest
    context.config_before = context.relay.raw.config
    config = json.loads(context.config_before)
    config["version"] += 1
    config["routes"] += peer_nodes.many_routes(random.Random(31), count)
    change = rows.Change(rows.CONFIG_KEY, 9, json.dumps(config).encode())
    context.relay.applier.on_config_read(
        followers.Reading([change], False, False, leases.boottime_s())
    )


@behave.then(
    "a node with the configuration before gets it from the relay for {size:d}"
    " bytes"
)
def then_change(context, size):
    context.config_server = config_transfer.ConfigServer(context.relay.raw)
    body = _fetch(context, context.digest_before).body
    reply = msgspec.msgpack.decode(body, type=config_transfer.ConfigReply)
    config = config_change.apply(reply.change, context.config_before, 10**7)
    assert config == context.relay.raw.config
    assert len(body) <= size, len(body)


@behave.then("a node with any other one gets all of it")
def then_all(context):
    for digest in ("", "0123456789abcdef"):
        body = _fetch(context, digest).body
        reply = msgspec.msgpack.decode(body, type=config_transfer.ConfigReply)
        config = config_change.apply(reply.change, b"", 10**7)
        assert config == context.relay.raw.config
        context.config_server = config_transfer.ConfigServer(context.relay.raw)


def _random_config(rng):
    pieces = rng.choices(("a},", "b},", "{},", "},", "c", ""), k=12)
    return "".join(pieces).encode()


@behave.then(
    "over {count:d} seeded pairs the change between them leads to the second"
)
def then_round_trip(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        base, config = _random_config(rng), _random_config(rng)
        change = config_change.between(base, "d", config)
        found = config_change.apply(change, base, 1000)
        assert found == config, (seed, base, config, change)


@behave.then("a change with {what} is not applied")
def then_refused(context, what):
    change = {
        "a range outside of its source": config_change.Change(
            "d", [(1, 9)], b""
        ),
        "a negative range": config_change.Change("d", [(-1, 1)], b""),
        "a result that is too large": config_change.Change(
            "d", [(0, 2)] * 600, b""
        ),
    }[what]
    change.text = zlib.compress(change.text)
    try:
        config_change.apply(change, b"ab", 1000)
    except config_change.ChangeError:
        return
    raise AssertionError(what)


@behave.given("a node with version 8 of the store's era 1")
def given_in_force(context):
    context.known = peer_state.Known(
        "", "own digest", in_force=config_order.Candidate(8, "own digest", 1, 1)
    )


OFFERED = {
    "version 9 of the same era": {"config_version": 9},
    "version 7 of the same era": {"config_version": 7},
    "version 8 of the same era, other text": {},
    "version 7 of a later era": {"config_version": 7, "config_era": 2},
    "version 8 of the same era, same text": {"config_digest": ""},
    "version 9, confirmed 9 s ago": {"config_version": 9, "config_age_s": 9.0},
}


@behave.then("a large configuration with {offered} is {fetched}")
def then_is_fetched(context, offered, fetched):
    fields = {
        "config_age_s": 0.1,
        "config_digest": "other digest",
        "config_version": 8,
        "config_era": 1,
    }
    state = peer_state.PeerState(
        "r.1", None, None, servers_age_s=0.1, config_read_age_s=0.1,
        servers_read_age_s=0.1, **(fields | OFFERED[offered]),
    )  # fmt: skip
    reply = msgspec.json.encode(state)

    def answer(peer, head, body, number):
        peer.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n")
        peer.send(reply)

    server = scripted.ScriptedServer(answer)
    context.closers.append(server.close)
    address = f"127.0.0.1:{server.port}"
    own = next(_addresses_behind(address))
    offers = []
    peers_known, stopping = threading.Event(), threading.Event()
    peers_known.set()
    relays.RelayClient(
        own, own, "east", "", TIMES, lambda: [address], list, dict, dict,
        shared_clock.SharedClock(), [], lambda: context.known,
        lambda *_: stopping.set(), peers_known, relays.RESTART_WAITS,
        offer_config=offers.append,
    ).run(stopping)  # fmt: skip
    assert bool(offers) == (fetched == "fetched"), offers
