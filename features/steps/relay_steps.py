"""Steps of relays.feature: a relay and a node that polls it."""

import asyncio
import itertools
import random
import socket
import threading
import time
from unittest import mock

import behave
import expression
import msgspec

from bilberryturn import leases
from bilberryturn import rendezvous
from bilberryturn.edge import duties
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import presence
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import internal_server
from bilberryturn.platform import http
from bilberryturn.platform import rows
from bilberryturn.routing import directory
from support import peer_nodes
from support import platform_data
from support import scripted

SERVERS = 600
TIMES = intervals.from_bounds(5.0, 5.0, 5.0)
LEASE = leases.LeaseOptions(3.0, 0.5)


@behave.then(
    "over {count:d} seeded series of changes, lost replies, restarts of the"
    " relay and own readings the node has the relay's content"
)
def then_series(context, count):
    for seed in range(count):
        _run_series(random.Random(seed), seed)


def _run_series(rng, seed):
    store = {f"s{n}": platform_data.make_entry() for n in range(5)}
    version = 1
    relay, node = peer_nodes.Peer("relay"), peer_nodes.Peer("node")
    relay.read_config(version)
    relay.read_servers(store, True)
    for step in range(40):
        kind = rng.choice(
            ("change", "change", "config", "suspect", "poll", "poll", "lost",
             "restart", "own")
        )  # fmt: skip
        if kind == "change":
            relay.read_servers(_change_servers(rng, store, step), False)
        elif kind == "config":
            version += 1
            relay.read_config(version)
        elif kind == "suspect":
            relay.applier.merge_suspects(
                f"n{rng.randrange(3)}", {"f": rng.randrange(1, 4)}
            )
        elif kind == "poll":
            reply = relay.reply_to(node)
            node.applier.apply_peer_state(reply, leases.boottime_s())
        elif kind == "lost":
            relay.reply_to(node)
        elif kind == "restart":
            suspects = relay.raw.suspects
            relay = peer_nodes.Peer("relay")
            relay.read_config(version)
            relay.read_servers(store, True)
            for lifetime, counts in suspects.items():
                relay.applier.merge_suspects(lifetime, counts)
        else:
            node.read_config(version)
            node.read_servers(store, True)
    # The relay reads the store again after the node's own reading.
    relay.read_servers({}, False)
    node.applier.apply_peer_state(relay.reply_to(node), leases.boottime_s())
    assert node.content() == relay.content(), seed


def _change_servers(rng, store, step):
    """Change one entry of the store; returns the change."""
    server_id = f"s{rng.randrange(8)}"
    if server_id in store and rng.random() < 0.4:
        del store[server_id]
        return {server_id: None}
    address = f"10.0.0.{rng.randrange(1, 200)}:80"
    store[server_id] = platform_data.make_entry(
        addr=address, seq=step, born=step
    )
    return {server_id: store[server_id]}


@behave.given("a relay that has read 600 servers")
def given_relay(context):
    context.relay = peer_nodes.Peer("relay")
    context.relay.read_config(3)
    context.entries = {
        f"server-{n}": platform_data.make_entry() for n in range(SERVERS)
    }
    context.relay.read_servers(context.entries, True)
    context.known_revision = context.relay.raw.revision


@behave.given("a node that has the relay's content")
def given_node(context):
    context.peer = peer_nodes.Peer("node")
    context.peer.applier.apply_peer_state(
        context.relay.reply_to(context.peer), leases.boottime_s() - 10.0
    )
    assert len(context.peer.shared.directory.usable("app")) == SERVERS


@behave.when("the node polls the relay")
def when_polls(context):
    context.peer.applier.apply_peer_state(
        context.relay.reply_to(context.peer), leases.boottime_s()
    )


class _Suspensions:
    """Lets the clock that counts suspensions go ahead of the steady one."""

    def __init__(self, context):
        self.total_s = 0.0
        boottime_s = leases.boottime_s
        patch = mock.patch.object(
            leases, "boottime_s", lambda: boottime_s() + self.total_s
        )
        patch.start()
        context.closers.append(patch.stop)


@behave.given("a node that reads the servers' entries from a store")
def given_reading_node(context):
    context.peer = peer_nodes.Peer("node")
    context.follower = followers.Follower(
        rows.SERVER_TABLE, "127.0.0.1:1", 0.0, 0.0, "",
        context.peer.applier.on_servers_read,
    )  # fmt: skip


@behave.when("the node is suspended for {time_s:g} s during the call")
def when_suspended_in_call(context, time_s):
    suspensions = _Suspensions(context)

    def snapshot(table):
        suspensions.total_s += time_s
        return expression.Ok(rows.Changes([], 1))

    context.follower._store = mock.Mock(snapshot=snapshot)
    context.follower._run_step()


@behave.when(
    "a node is suspended for {time_s:g} s during its poll of the relay"
)
def when_suspended_in_poll(context, time_s):
    suspensions = _Suspensions(context)
    peer = context.peer = peer_nodes.Peer("node")
    client = relays.RelayClient(
        "n1", "10.0.0.1:1", "east", "", TIMES, list, list, dict, dict,
        shared_clock.SharedClock(), [], peer.applier.known,
        peer.applier.apply_peer_state, threading.Event(),
        relays.RESTART_WAITS,
    )  # fmt: skip

    def reply(*arguments, **options):
        state = context.relay.state_for(peer)
        suspensions.total_s += time_s
        return expression.Ok(http.Response(200, msgspec.json.encode(state), {}))

    client._clients["10.0.0.2:1"] = mock.Mock(call=reply)
    client._query("10.0.0.2:1")


@behave.then("its list of servers is at least {age_s:g} s old")
def then_old(context, age_s):
    found_s = context.peer.shared.servers_age_s()
    assert found_s is None or found_s >= age_s, found_s


@behave.when(
    "the relay is suspended for {time_s:g} s while a server leaves, of which"
    " the node reads"
)
def when_relay_suspended(context, time_s):
    context.suspended_s = time_s
    context.relay.read_servers({}, False, age_s=time_s)
    left = dict(context.entries)
    left.popitem()
    context.peer.read_servers(left, True, age_s=1.0)


@behave.when(
    "the node polls the relay, whose steady clock stood still meanwhile"
)
def when_polls_suspended(context):
    steady_s = time.monotonic
    with mock.patch.object(
        time, "monotonic", lambda: steady_s() - context.suspended_s
    ):
        reply = context.relay.reply_to(context.peer)
    context.peer.applier.apply_peer_state(reply, leases.boottime_s())


@behave.when("all servers report a heartbeat")
def when_heartbeats(context):
    context.relay.read_servers(
        {key: {**entry, "seq": 9} for key, entry in context.entries.items()},
        False,
    )


@behave.when("one server reports that it drains")
def when_drains(context):
    entry = {**context.entries["server-7"], "state": "draining", "seq": 10}
    context.relay.read_servers({"server-7": entry}, False)


@behave.then("a poll for the changes is under {limit:d} bytes")
def then_small(context, limit):
    state = context.relay.raw.state(
        peer_state.Known(context.known_revision, accepts_changes=True)
    )
    size_bytes = len(msgspec.json.encode(state))
    assert size_bytes < limit, size_bytes


@behave.then("a peer that {knows} gets the whole content")
def then_whole(context, knows):
    raw = context.relay.raw
    revision, accepts_changes = {
        "knows no revision": ("", True),
        "knows the revision of another process": ("0a0b0c0d.1", True),
        "knows a revision that is not retained": (
            f"{raw.revision.partition('.')[0]}.99999",
            True,
        ),
        "does not accept changes": (context.known_revision, False),
    }[knows]
    state = raw.state(
        peer_state.Known(revision, accepts_changes=accepts_changes)
    )
    assert state.is_complete
    assert len(state.servers) == SERVERS and state.config


@behave.when(
    "the store is back from an outage without the entries of the servers"
)
def when_lapsed(context):
    context.relay.read_servers(
        dict.fromkeys(context.entries), False, after_outage=True
    )


@behave.then("the node still uses 600 servers")
def then_still(context):
    usable = context.peer.shared.directory.usable("app")
    assert len(usable) == SERVERS, len(usable)


@behave.then("it uses none after the time to restore them")
def then_none(context):
    node_directory = context.peer.shared.directory
    node_directory.expire(time.monotonic() + directory.RESTORE_GRACE_S + 0.1)
    assert not node_directory.usable("app")


@behave.when(
    "the store rejects the calls of both for {outage_s:d} s while another node"
    " reads it"
)
def when_rejects(context, outage_s):
    context.outage_end_s = leases.boottime_s() + outage_s
    reader = peer_nodes.Peer("reader")
    for ago_s in range(outage_s, 0, -1):
        reader.read_servers(context.entries, True)
        for peer in (context.relay, context.peer):
            reply = msgspec.structs.replace(
                reader.reply_to(peer), servers_age_s=0.3
            )
            peer.applier.apply_peer_state(reply, context.outage_end_s - ago_s)


@behave.when(
    "the relay reads {later_s:g} s later that the entry of one server is gone"
)
def when_gone(context, later_s):
    read_s = context.outage_end_s + later_s
    context.relay.read_servers(
        {"server-7": None},
        False,
        after_outage=True,
        age_s=leases.boottime_s() - read_s,
    )


@behave.when(
    "the store is back after {outage_s:d} s and the relay reads {later_s:g} s"
    " later that the entry of one server is gone"
)
def when_back(context, outage_s, later_s):
    context.outage_end_s = leases.boottime_s() + outage_s
    context.relay.read_servers({}, False, True, -outage_s)
    when_gone(context, later_s)


@behave.then("the relay uses {count:d} servers")
def then_relay_uses(context, count):
    usable = context.relay.shared.directory.usable("app")
    assert len(usable) == count, len(usable)


@behave.then("the relay uses {count:d} servers {later_s:g} s after the outage")
def then_relay_uses_later(context, count, later_s):
    context.relay.shared.directory.expire(context.outage_end_s + later_s)
    then_relay_uses(context, count)


@behave.when(
    "a reply waits 3 s for the node's event loop while a server leaves"
)
def when_waits(context):
    reply = context.relay.reply_to(context.peer)
    # Received 3 s ago, applied now; the relay saw the departure in between.
    context.peer.applier.apply_peer_state(reply, leases.boottime_s() - 3.0)
    context.relay.read_servers({"server-7": None}, False, age_s=2.0)


@behave.then("the node uses {count:d} servers")
def then_uses(context, count):
    usable = context.peer.shared.directory.usable("app")
    assert len(usable) == count, len(usable)


class _StartingNode:
    """The parts of a node that read the store, with their threads."""

    def __init__(self, store_address, number):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.peer = peer_nodes.Peer(f"n{number}")
        self.server = internal_server.InternalServer(self._answer)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        asyncio.run_coroutine_threadsafe(
            self.server.start("127.0.0.1", int(address.rpartition(":")[2])),
            self.loop,
        ).result(5)
        store = rows.RowStore(http.HttpClient("store", store_address, 1.5))
        applier = self.peer.applier
        node_presence = presence.Presence(
            store, f"n{number}", "east", address, (),
            followers.on_loop(self.loop, applier.set_nodes),
        )  # fmt: skip
        self.follower = followers.Follower(
            rows.SERVER_TABLE, store_address, 0.0, 0.2, "",
            followers.on_loop(self.loop, applier.on_servers_read),
        )  # fmt: skip
        config_follower = followers.Follower(
            rows.OPERATOR_TABLE, store_address, 0.5, 0.0, "",
            followers.on_loop(self.loop, applier.on_config_read),
        )  # fmt: skip
        clock = shared_clock.SharedClock()
        relay = relays.RelayClient(
            f"n{number}", address, "east", "", TIMES,
            node_presence.domain_peers, node_presence.peers, dict, dict, clock,
            [self.follower, config_follower], applier.known,
            followers.on_loop(self.loop, applier.apply_peer_state),
            node_presence.first_read, relays.FIRST_START_WAITS,
            needs_reading=self.peer.shared.list_waits.is_awaited,
        )  # fmt: skip
        self.peer.shared.list_waits.hasten = lambda: (
            self.follower.hasten(),
            relay.hasten(),
        )
        lease = leases.Lease("duties", f"n{number}", LEASE, store)
        duty_runner = duties.DutyRunner(
            lease, LEASE.ttl_s, node_presence, lambda _: None, None, None, True,
            lambda: relay.reads_store, clock, None,
        )  # fmt: skip
        self.stopping = threading.Event()
        for job in (self.follower, config_follower, relay, duty_runner):
            threading.Thread(
                target=job.run, args=(self.stopping,), daemon=True
            ).start()

    def _answer(self, path, body):
        request = msgspec.json.decode(body, type=relays.StateRequest)
        if request.needs_reading:
            self.follower.hasten()
        state = self.peer.raw.state(request.known())
        return internal_server.Reply(200, msgspec.json.encode(state))

    def has_read_store(self):
        return self.peer.raw.servers_read_s > 0

    def close(self):
        self.stopping.set()
        self.loop.call_soon_threadsafe(self.server.stop)


@behave.given("a stand-in of the users' store")
def given_store(context):
    platform_data.start_standin(context)
    context.standin.put("op", "config", platform_data.make_config(7))
    context.standin.put("servers", "good", platform_data.make_entry())


@behave.when("{count:d} nodes of one failure domain start together")
def when_start(context, count):
    context.starting = [
        _StartingNode(context.standin.address, n) for n in range(count)
    ]
    for node in context.starting:
        context.closers.append(node.close)
    platform_data.wait_for(
        lambda: all(
            node.peer.shared.directory.usable("app")
            for node in context.starting
        ),
        10,
        lambda: [node.peer.content() for node in context.starting],
    )


@behave.then("one of them reads the servers from the store")
def then_one_reads(context):
    reading = [n for n in context.starting if n.has_read_store()]
    assert len(reading) == 1, len(reading)


@behave.then(
    "each of {count:d} requests at each node has a newer list within"
    " {limit_s:g} s"
)
def then_newer_list(context, count, limit_s):
    rng = random.Random(59)
    for node in context.starting * count:
        time.sleep(rng.uniform(0.0, 0.3))
        since_s = leases.boottime_s()
        is_newer = asyncio.run_coroutine_threadsafe(
            node.peer.shared.list_waits.wait(since_s, 3.0), node.loop
        ).result(5)
        took_s = leases.boottime_s() - since_s
        assert is_newer and took_s < limit_s, took_s


@behave.given("a node whose requests wait for a newer list of servers")
def given_waiting(context):
    context.client = relays.RelayClient(
        "n1", "10.0.0.1:1", "east", "", TIMES, list, list, dict, dict,
        shared_clock.SharedClock(), [], lambda: peer_state.Known(""),
        lambda *_: None, threading.Event(), relays.RESTART_WAITS,
        needs_reading=lambda: True,
    )  # fmt: skip


@behave.then(
    "all but {early:d} of its next {count:d} polls come at the usual interval"
)
def then_slow_down(context, early, count):
    pauses_s = [context.client._pause_s() for _ in range(count)]
    usual_s = TIMES.relay_poll_s * (1 - intervals.RELAY_POLL_JITTER)
    assert sum(pause_s < usual_s for pause_s in pauses_s) <= early, pauses_s[:9]


@behave.given("a relay and a node that have the same servers")
def given_same(context):
    context.entries = {f"s{n}": platform_data.make_entry() for n in range(3)}
    context.relay = peer_nodes.Peer("relay")
    context.peer = peer_nodes.Peer("node")
    for peer in (context.relay, context.peer):
        peer.read_config(3)
        peer.read_servers(context.entries, True, age_s=1.0)


@behave.given("an own reading of the node that began then")
def given_own_reading(context):
    context.began_s = leases.boottime_s()


@behave.when("a server {changes} and the relay tells the node")
def when_relay_tells(context, changes):
    changed = dict(context.entries)
    if changes == "joins":
        changed["s9"] = platform_data.make_entry()
    else:
        del changed["s0"]
    context.relay.read_servers(changed, True)
    when_polls(context)
    assert context.peer.content() == context.relay.content()


@behave.when("the own reading ends between the node's next poll and its reply")
def when_own_reading_ends(context):
    reply = context.relay.reply_to(context.peer)
    context.peer.read_servers(
        context.entries, True, age_s=leases.boottime_s() - context.began_s
    )
    context.peer.applier.apply_peer_state(reply, leases.boottime_s())
    context.relay.read_servers({}, False)


@behave.then("the node has the relay's content")
def then_same(context):
    assert context.peer.content() == context.relay.content()


@behave.given("a relay that has not read the store")
def given_unread(context):
    unread = peer_nodes.Peer("relay")

    def answer(peer, head, body, number):
        reply = msgspec.json.encode(unread.raw.state(peer_state.Known("")))
        peer.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n")
        peer.send(reply)

    server = scripted.ScriptedServer(answer)
    context.closers.append(server.close)
    context.relay_address = f"127.0.0.1:{server.port}"


@behave.when("a node of a deployment that {starts} polls it once")
def when_polls_once(context, starts):
    waits = {
        "starts for the first time": relays.FIRST_START_WAITS,
        "was in use before": relays.RESTART_WAITS,
    }[starts]
    # An address of the node that ranks after the relay's.
    own = next(
        own
        for number in itertools.count(1)
        if relays.candidates(
            own := f"10.0.0.{number}:1", {context.relay_address}, "east"
        )
    )
    peers_known = threading.Event()
    peers_known.set()
    stopping = threading.Event()
    context.client = relays.RelayClient(
        "n1", own, "east", "", TIMES,
        lambda: [context.relay_address], list, dict, dict,
        shared_clock.SharedClock(), [], lambda: peer_state.Known(""),
        lambda *_: stopping.set(), peers_known, waits,
    )  # fmt: skip
    context.client.run(stopping)


@behave.then("the node reads the store itself")
def then_reads(context):
    assert context.client._is_reading


@behave.then("the node does not read the store itself")
def then_does_not_read(context):
    assert not context.client._is_reading


@behave.given("a node behind a relay, both turned away by the store")
def given_turned_away(context):
    platform_data.start_standin(context)
    context.standin.put("op", "config", platform_data.make_config(7))
    context.standin.put("servers", "good", platform_data.make_entry())
    context.standin.fault = "503"
    given_unread(context)
    context.node_peer = peer_nodes.Peer("n1")
    applier = context.node_peer.applier
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    context.closers.append(lambda: loop.call_soon_threadsafe(loop.stop))
    own = next(
        own
        for number in itertools.count(1)
        if relays.candidates(
            own := f"10.0.0.{number}:1", {context.relay_address}, "east"
        )
    )
    followed = [
        followers.Follower(
            table, context.standin.address, 0.0, 0.2, "",
            followers.on_loop(loop, deliver),
        )
        for table, deliver in (
            (rows.SERVER_TABLE, applier.on_servers_read),
            (rows.OPERATOR_TABLE, applier.on_config_read),
            (rows.SUSPECT_TABLE, applier.on_suspects_read),
        )
    ]  # fmt: skip
    peers_known = threading.Event()
    peers_known.set()
    context.client = relays.RelayClient(
        "n1", own, "east", "", TIMES,
        lambda: [context.relay_address], list, dict, dict,
        shared_clock.SharedClock(), followed, applier.known,
        followers.on_loop(loop, applier.apply_peer_state), peers_known,
        relays.RESTART_WAITS,
    )  # fmt: skip
    stopping = threading.Event()
    context.closers.append(stopping.set)
    for job in (*followed, context.client):
        threading.Thread(target=job.run, args=(stopping,), daemon=True).start()


@behave.then("the node makes at most {count:d} calls to the store in 5 s")
def then_few_calls(context, count):
    time.sleep(5)
    found = len(context.standin.calls)
    assert 0 < found <= count, found
    assert not context.client.reads_store


@behave.when("the store accepts calls again")
def when_accepts(context):
    context.standin.fault = ""


@behave.then("the node has the configuration and the servers")
def then_has_all(context):
    platform_data.wait_for(
        lambda: (
            context.node_peer.shared.table is not None
            and context.node_peer.shared.directory.usable("app")
        ),
        10,
        context.node_peer.content,
    )
    assert context.client.reads_store


def _node_rows(count):
    return {f"nodes/east.n{n}": f"10.0.0.{n}:1" for n in range(count)}


@behave.given("a node that has read {count:d} nodes")
def given_nodes_read(context, count):
    platform_data.start_standin(context)
    for key, address in _node_rows(count).items():
        context.standin.put("nodes", key.partition("/")[2], address)
    store = rows.RowStore(
        http.HttpClient("store", context.standin.address, 1.5)
    )
    context.presence = presence.Presence(store, "n0", "east", "10.0.0.0:1", ())
    context.presence.read()


@behave.when("a relay answers with {first:d} nodes, then with {second:d}")
def when_answers(context, first, second):
    context.counts = []
    peer = peer_nodes.Peer("n0")
    peer.applier._deliver_nodes = context.presence.take_nodes
    for count in (first, second):
        unread = peer_nodes.Peer("relay")
        unread.applier.set_nodes(_node_rows(count))
        peer.applier.apply_peer_state(
            unread.reply_to(peer), leases.boottime_s()
        )
        context.counts.append(len(context.presence.domain_peers()))


@behave.then("the node knows {first:d} nodes, then {second:d}")
def then_knows(context, first, second):
    assert context.counts == [first, second], context.counts


def _crash_server(shared, number):
    # Each server is sent the request after the one before has crashed.
    shared.record_crash(
        (f"s{number}", 1), None, "request", time.monotonic() - 0.01
    )
    time.sleep(0.05)


@behave.when(
    "the node reports {count:d} crashes of a request and polls the relay"
)
def when_own_crashes(context, count):
    shared = context.peer.shared
    for number in range(count):
        _crash_server(shared, number)
    context.relay.applier.merge_suspects("node", shared.own_reports())
    when_polls(context)


@behave.then("the node accepts the request until it has crashed a third server")
def then_third(context):
    shared = context.peer.shared
    assert shared.crash_cause(None, "request") is None
    _crash_server(shared, 2)
    assert shared.crash_cause(None, "request") is not None


@behave.given("a relay that has read a configuration of {count:d} routes")
def givenmany_routes(context, count):
    context.relay = peer_nodes.relay_with_routes(count)
    context.peer = peer_nodes.Peer("node")


@behave.then(
    "over a link of {link_mbps:d} Mbit/s all nodes of the relay have it within"
    " {bound_s:d} s"
)
def then_link(context, link_mbps, bound_s):
    times = intervals.from_bounds(bound_s, bound_s, 5.0)
    reply = msgspec.json.encode(context.relay.state_for(context.peer))
    total_bits = 8 * len(reply) * relays.NODES_PER_RELAY
    sending_s = total_bits / (link_mbps * 1e6)
    assert times.max_relay_poll_s + sending_s <= bound_s, (
        len(reply),
        sending_s,
    )
    when_polls(context)
    assert context.peer.content()[0] == 8


@behave.then("a node that has it from another relay gets it at no cost")
def then_known(context):
    context.peer.applier.peer_revision = "another.1"
    context.relay.read_servers({}, False)
    state = context.relay.state_for(context.peer)
    assert state.is_complete and state.config is None
    when_polls(context)
    assert context.peer.applier.peer_revision == context.relay.raw.revision


@behave.given("{count:d} nodes that rank behind {peers:d} peers and poll them")
def given_ranked(context, count, peers):
    context.are_silent = threading.Event()
    context.closers.append(context.are_silent.set)
    reader = peer_nodes.Peer("relay")
    lock = threading.Lock()
    stopping = threading.Event()
    context.closers.append(stopping.set)

    def answer(peer, head, body, number):
        if context.are_silent.is_set():
            stopping.wait(60)
            return "close"
        with lock:
            reader.read_config(7)
            reader.read_servers({"good": platform_data.make_entry()}, True)
            reply = msgspec.json.encode(reader.raw.state(peer_state.Known("")))
        peer.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n")
        peer.send(reply)
        return None

    addresses = set()
    for _ in range(peers):
        server = scripted.ScriptedServer(answer)
        context.closers.append(server.close)
        addresses.add(f"127.0.0.1:{server.port}")
    last = (
        own
        for own in (f"10.0.0.{number}:1" for number in itertools.count(1))
        if rendezvous.rank(addresses | {own}, "east")[-1] == own
    )
    context.ranked = [
        _start_ranked(context, own, addresses, stopping)
        for own in itertools.islice(last, count)
    ]
    platform_data.wait_for(
        lambda: all(p.shared.table is not None for p in context.ranked),
        10,
        lambda: [p.content() for p in context.ranked],
    )


def _start_ranked(context, own, addresses, stopping):
    """Start the parts of a node that read the store; returns its content."""
    peer = peer_nodes.Peer(own)
    applier = peer.applier
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    context.closers.append(lambda: loop.call_soon_threadsafe(loop.stop))
    times = intervals.from_bounds(4.0, 4.0, 5.0)
    followed = [
        followers.Follower(
            table, context.standin.address, wait_s, pause_s, "",
            followers.on_loop(loop, deliver),
        )
        for table, wait_s, pause_s, deliver in (
            (rows.SERVER_TABLE, 0.0, times.server_poll_s,
             applier.on_servers_read),
            (rows.OPERATOR_TABLE, times.config_wait_s, 0.0,
             applier.on_config_read),
        )
    ]  # fmt: skip
    peers_known = threading.Event()
    peers_known.set()
    client = relays.RelayClient(
        own, own, "east", "", times, lambda: list(addresses), list, dict, dict,
        shared_clock.SharedClock(), followed, applier.known,
        followers.on_loop(loop, applier.apply_peer_state), peers_known,
        relays.RESTART_WAITS,
    )  # fmt: skip
    for job in (*followed, client):
        threading.Thread(target=job.run, args=(stopping,), daemon=True).start()
    return peer


@behave.when(
    "the peers stop to answer and the operator writes version {version:d}"
)
def when_silent(context, version):
    context.are_silent.set()
    context.standin.put("op", "config", platform_data.make_config(version))


@behave.then("the nodes have version {version:d} in force within {bound_s:d} s")
def then_in_force(context, version, bound_s):
    platform_data.wait_for(
        lambda: all(p.shared.table.version == version for p in context.ranked),
        bound_s,
        lambda: [p.content() for p in context.ranked],
    )
