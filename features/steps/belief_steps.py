"""Steps on the followers and relays of the users' store."""

import asyncio
import json
import socket
import threading
import time

import behave
import msgspec

from bilberryturn import leases
from bilberryturn import rendezvous
from bilberryturn.edge import duties
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.gateway import internal_server
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import rows
from support import platform_data
from support import scripted

TIMES = intervals.from_bounds(2.5, 2.5, 4.0)
# A node's own first call to a slow store: 75 times the usual 4 ms.
SLOW_CALL_S = 0.3


class _Node:
    """A node's feeds, store followers and relay client."""

    def __init__(self, store_address, domain_peers, name):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.shared = shared_state.SharedState(
            "east",
            shared_state.RetryLimits(0.2, 1, 10),
            5.0,
            upstream.ConnectionPool(),
        )
        self.raw = peer_state.RawState()
        self.applier = feeds.Applier(self.shared, self.raw, name)
        self.server = internal_server.InternalServer(self._answer)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        asyncio.run_coroutine_threadsafe(
            self.server.start("127.0.0.1", port), self.loop
        ).result(5)
        self.followers = [
            followers.Follower(
                rows.OPERATOR_TABLE, store_address, 1.0, 0.0, "",
                followers.on_loop(self.loop, self.applier.on_config_read),
            ),
            followers.Follower(
                rows.SERVER_TABLE, store_address, 0.0, 0.2, "",
                followers.on_loop(self.loop, self.applier.on_servers_read),
            ),
        ]  # fmt: skip
        domain_peers.append(self.address)
        peers_known = threading.Event()
        peers_known.set()
        self.relay = relays.RelayClient(
            name,
            self.address,
            "east",
            "",
            TIMES,
            lambda: list(domain_peers),
            lambda: list(domain_peers),
            lambda: self.shared.usage.snapshot(time.time()),
            self.shared.own_reports,
            shared_clock.SharedClock(),
            self.followers,
            self.applier.known,
            followers.on_loop(self.loop, self.applier.apply_peer_state),
            peers_known,
            relays.RESTART_WAITS,
        )
        self.stopping = threading.Event()
        for job in (*self.followers, self.relay):
            threading.Thread(
                target=job.run, args=(self.stopping,), daemon=True
            ).start()

    def _answer(self, path, body):
        request = msgspec.json.decode(body, type=relays.StateRequest)
        self.applier.merge_suspects(request.lifetime, request.suspects)
        state = msgspec.json.encode(self.raw.state(request.known()))
        return internal_server.Reply(200, state)

    @property
    def version(self):
        return self.shared.table.version if self.shared.table else None

    def server_ids(self):
        return sorted(s.server_id for s in self.shared.directory.usable("app"))

    def close(self):
        self.stopping.set()
        self.loop.call_soon_threadsafe(self.server.stop)


@behave.given("a node's feeds on a stand-in of the users' store")
def given_feeds(context):
    platform_data.start_standin(context)
    context.peers = []
    context.standin.put("op", "config", platform_data.make_config(7))
    context.standin.put("servers", "good", platform_data.make_entry())
    context.node = _Node(context.standin.address, context.peers, "n1")
    context.closers.append(context.node.close)
    platform_data.wait_for(
        lambda: (
            context.node.version == 7 and context.node.server_ids() == ["good"]
        ),
        5,
        lambda: (context.node.version, context.node.server_ids()),
    )


@behave.when(
    "the store loses its change history while a server joins and another leaves"
)
def when_history_lost(context):
    context.standin.fault = "503"
    time.sleep(0.5)
    context.standin.put(
        "servers", "joined", platform_data.make_entry(addr="10.0.0.2:80")
    )
    context.standin.put(
        "servers", "good", platform_data.make_entry(state="draining", seq=2)
    )
    context.standin.compact_history()
    context.standin.fault = ""


@behave.then("the feeds apply both changes within {limit_s:d} s")
def then_both_applied(context, limit_s):
    platform_data.wait_for(
        lambda: context.node.server_ids() == ["joined"],
        limit_s,
        context.node.server_ids,
    )


BAD_ENTRIES = {
    "is not JSON": b"\xff{",
    "lacks its address": {"service": "app", "zone": "e", "state": "ready"},
    "has a list as service": platform_data.make_entry(service=["app"]),
    "has an unknown state": platform_data.make_entry(state="odd"),
    "has a port of 0": platform_data.make_entry(addr="10.0.0.1:0"),
    "has text as number": platform_data.make_entry(seq="one"),
    "is nested too deeply": b'{"extra": %s%s, %s'
    % (
        b"[" * 20_000,
        b"]" * 20_000,
        json.dumps(platform_data.make_entry()).encode()[1:],
    ),
    "has too large a number": platform_data.make_entry(slots=10**25),
    "has a port out of range": platform_data.make_entry(addr="10.0.0.1:65536"),
    "has a port of other digits": platform_data.make_entry(addr="10.0.0.1:8²"),
    "has a port of 5000 digits": platform_data.make_entry(
        addr="10.0.0.1:" + "8" * 5000
    ),
    "has a name as host": platform_data.make_entry(addr="h.example:80"),
}


@behave.when("an entry that {fault} is written")
def when_bad_entry(context, fault):
    if fault == "is not Base64":
        context.standin.put_text("servers", "bad", "***")
    else:
        context.standin.put("servers", "bad", BAD_ENTRIES[fault])
    context.standin.put(
        "servers", "later", platform_data.make_entry(addr="10.0.0.3:80")
    )


@behave.when("a node starts that reads the store")
def when_starts(context):
    context.node = _Node(context.standin.address, [], "n1")
    context.closers.append(context.node.close)


@behave.then("the feeds list only the valid servers")
def then_only_good(context):
    platform_data.wait_for(
        lambda: context.node.server_ids() == ["good", "later"],
        5,
        context.node.server_ids,
    )


@behave.when("the operator's row is {what}")
def when_operator(context, what):
    if what == "older":
        context.standin.put("op", "config", platform_data.make_config(6))
    elif what == "not JSON":
        context.standin.put("op", "config", b"{")
    elif what == "without versions":
        context.standin.put("op", "config", {"routes": []})
    else:
        context.standin.remove("op", "config")


@behave.then("version {version:d} stays in force")
def then_stays(context, version):
    time.sleep(0.6)
    assert context.node.version == version
    assert context.node.shared.table.find_route("h", "/p/x") is not None


@behave.given("a node that cannot reach the store")
def given_unreachable_store(context):
    with socket.create_server(("127.0.0.1", 0)) as probe:
        unused_address = f"127.0.0.1:{probe.getsockname()[1]}"
    context.unreachable_node = _Node(unused_address, context.peers, "n2")
    context.closers.append(context.unreachable_node.close)


@behave.given("a node that would be its relay but cannot reach the store")
def given_unreachable_relay(context):
    given_unreachable_store(context)
    domain = next(
        name
        for name in (f"east-{number}" for number in range(1000))
        if rendezvous.rank(context.peers, name)[0]
        == context.unreachable_node.address
    )
    nodes = getattr(context, "nodes", [context.node])
    for node in (*nodes, context.unreachable_node):
        node.relay._domain = domain


@behave.then(
    "the node's own reading of the store stays under {age_s:d} s old for"
    " {limit_s:d} s"
)
def then_own_reads_fresh(context, age_s, limit_s):
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        found_s = leases.boottime_s() - context.node.raw.servers_read_s
        assert found_s < age_s, found_s
        time.sleep(0.05)


class _ScriptedRelay:
    """A scripted relay whose last store read has a given age.

    Attributes:
        age_s: Time since its last store read.
    """

    def __init__(self):
        self.raw = peer_state.RawState()
        self.raw.config = json.dumps(platform_data.make_config(9)).encode()
        self.raw.servers = {
            "good": json.dumps(platform_data.make_entry()).encode()
        }
        self.age_s = 0.0
        self._server = scripted.ScriptedServer(self._answer)
        self.address = f"127.0.0.1:{self._server.port}"

    def close(self):
        self._server.close()

    def _answer(self, peer, head, body, number):
        state = self._state(json.loads(body)["revision"])
        answer = msgspec.json.encode(state)
        peer.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n")
        peer.send(answer)

    def _state(self, known_revision):
        read_s = leases.boottime_s() - self.age_s
        self.raw.config_confirmed_s = self.raw.servers_confirmed_s = read_s
        self.raw.config_read_s = self.raw.servers_read_s = read_s
        return self.raw.state(peer_state.Known(known_revision))


@behave.given("a node that reads only from a relay")
def given_relay_only(context):
    context.scripted_relay = _ScriptedRelay()
    context.closers.append(context.scripted_relay.close)
    context.shared = shared_state.SharedState(
        "east",
        shared_state.RetryLimits(0.2, 1, 10),
        5.0,
        upstream.ConnectionPool(),
    )
    applier = context.applier = feeds.Applier(
        context.shared, peer_state.RawState(), "n1"
    )
    context.client = relays.RelayClient(
        "n1", "127.0.0.1:1", "east", "", TIMES, list, list, dict, dict,
        shared_clock.SharedClock(), [], applier.known,
        applier.apply_peer_state, threading.Event(), relays.RESTART_WAITS,
    )  # fmt: skip


ENTRY_CHANGES = {
    "reports that it drains": platform_data.make_entry(state="draining", seq=2),
    "has another address": platform_data.make_entry(addr="10.0.0.9:80", seq=2),
    "has a later sequence": platform_data.make_entry(seq=2),
}


@behave.when("a server's entry {change}")
def when_entry(context, change):
    context.known_revision = context.node.raw.revision
    read_s = context.node.raw.servers_read_s
    if change == "is removed":
        context.standin.remove("servers", "good")
    else:
        context.standin.put("servers", "good", ENTRY_CHANGES[change])
    # Waits until two full reads have begun after the change.
    for _ in range(2):
        platform_data.wait_for(
            lambda before_s=read_s: context.node.raw.servers_read_s > before_s,
            5,
            lambda: "the entries have not been read",
        )
        read_s = context.node.raw.servers_read_s


@behave.then("its relayed state is {expected}")
def then_relayed_state(context, expected):
    state = context.node.raw.state(peer_state.Known(context.known_revision))
    assert (state.servers is not None) == (expected == "new"), state
    seqs = [json.loads(v)["seq"] for v in context.node.raw.servers.values()]
    assert seqs in ([2], []), seqs


@behave.when(
    "the relay sends version 9 from a store read that is {age_s:d} s old"
)
def when_relay_sends(context, age_s):
    context.scripted_relay.age_s = age_s
    is_current = age_s < TIMES.servers_max_age_s
    assert context.client._query(context.scripted_relay.address) == is_current
    assert (context.shared.table is not None) == is_current


@behave.when("the relay sends version 9 in a form that {fault}")
def when_broken_config(context, fault):
    state = context.scripted_relay.raw.state(peer_state.Known(""))
    broken = {
        "is not Base64": {"config": "a"},
        "cannot be decompressed": {"is_config_compressed": True},
    }[fault]
    now_s = leases.boottime_s()
    context.applier.apply_peer_state(
        msgspec.structs.replace(
            state, config_age_s=0.0, servers_age_s=0.0, **broken
        ),
        now_s,
    )


@behave.then("the node has no configuration and asks for all content again")
def then_asks_again(context):
    assert context.shared.table is None
    assert context.shared.config_confirmed_s is None
    assert context.applier.peer_revision == ""


@behave.when('the node reads that server "good" has left')
def when_read_left(context):
    entry = json.dumps(platform_data.make_entry()).encode()
    now_s = leases.boottime_s()
    context.client._set_reads_store(True, is_relay=False)
    context.applier.apply_servers({"good": entry}, True, now_s - 2, False)
    context.applier.apply_servers({"good": None}, False, now_s, False)
    assert not context.shared.directory.usable("app")


@behave.then("the node knows no server")
def then_no_server(context):
    assert not context.shared.directory.usable("app")


@behave.when("the relay reads the store again without a change")
def when_relay_reads_again(context):
    context.scripted_relay.age_s = 0.0
    assert context.client._query(context.scripted_relay.address)


@behave.then("the node has version {version:d} in force")
def then_in_force(context, version):
    assert context.shared.table is not None
    assert context.shared.table.version == version
    assert context.shared.directory.usable("app")


@behave.when("the operator writes version {version:d}")
def when_version(context, version):
    context.standin.put("op", "config", platform_data.make_config(version))


@behave.then(
    "the unreachable node has version {version:d} in force within {limit_s:d} s"
)
def then_unreachable_in_force(context, version, limit_s):  # fmt: skip
    platform_data.wait_for(
        lambda: context.unreachable_node.version == version,
        limit_s,
        lambda: context.unreachable_node.version,
    )


@behave.given(
    "{count:d} nodes of one failure domain on a stand-in of the users' store"
)
def given_several(context, count):
    given_feeds(context)
    context.nodes = [context.node]
    for number in range(count - 1):
        node = _Node(context.standin.address, context.peers, f"m{number}")
        context.closers.append(node.close)
        context.nodes.append(node)


def _readers(context):
    return [n for n in context.nodes if n.relay.reads_store]


@behave.then("only 1 of them reads the store after {limit_s:d} s")
def then_one_reader(context, limit_s):
    platform_data.wait_for(
        lambda: len(_readers(context)) == 1,
        limit_s,
        lambda: len(_readers(context)),
    )


def _settled_readers(nodes, rejected):
    """Return the nodes that read the store after six polls by each."""
    reading_nodes = set(nodes)
    for _ in range(6):
        for node in nodes:
            relay_candidates = relays.candidates(node, set(nodes), "east")
            if any(
                a in reading_nodes and a not in rejected
                for a in relay_candidates
            ):
                reading_nodes.discard(node)
            else:
                reading_nodes.add(node)
    return reading_nodes


@behave.then(
    "in domains of 2 to 60 nodes where the store rejects up to 2 relays"
    " no more other nodes read it than there are relays"
)
def then_few_read(context):
    for size in range(2, 61):
        nodes = [f"10.0.0.{n}:80" for n in range(size)]
        ranked = rendezvous.rank(nodes, "east")
        relay_count = 1 + size // relays.NODES_PER_RELAY
        for missing in range(min(size - 1, 3)):
            rejected = set(ranked[:missing])
            readers = _settled_readers(nodes, rejected) - rejected
            assert len(readers) <= max(1, relay_count), (size, missing, readers)


@behave.then("a follower calls it at most {count:d} times in {limit_s:d} s")
def then_calls(context, count, limit_s):
    follower = followers.Follower(
        "op", context.standin.address, 0.0, 0.0, "", lambda *_: None
    )
    calls_before = len(context.standin.calls)
    stopping = threading.Event()
    thread = threading.Thread(target=follower.run, args=(stopping,))
    thread.start()
    time.sleep(limit_s)
    stopping.set()
    thread.join()
    found = len(context.standin.calls) - calls_before
    assert 0 < found <= count, found


@behave.when("the node that reads the store is stopped")
def when_reader_stops(context):
    reader = _readers(context)[0]
    reader.close()
    context.nodes.remove(reader)


@behave.then(
    "the others have version {version:d} in force within {limit_s:d} s"
)
def then_others(context, version, limit_s):  # fmt: skip
    platform_data.wait_for(
        lambda: all(n.version == version for n in context.nodes),
        limit_s,
        lambda: [n.version for n in context.nodes],
    )


@behave.given("bounds of {drain_s:g}, {config_s:g} and {settle_s:g} s")
def given_bounds(context, drain_s, config_s, settle_s):
    context.bounds = (drain_s, config_s, settle_s)
    context.times = intervals.from_bounds(drain_s, config_s, settle_s)


@behave.then("a change is applied in time although {what}")
def then_in_time(context, what):
    drain_s, config_s, _ = context.bounds
    times = context.times
    poll_s = times.max_relay_poll_s
    if what == "the relay has just lost the store":
        config = times.config_max_age_s + poll_s + SLOW_CALL_S
        servers = times.servers_max_age_s + poll_s + SLOW_CALL_S
    else:
        poll_s += times.relay_timeout_s
        config = times.config_wait_s + poll_s + SLOW_CALL_S
        servers = times.server_poll_s + poll_s + SLOW_CALL_S
    assert config < config_s, config
    assert servers < drain_s, servers


@behave.then("a relay on a slow store is still current")
def then_current(context):
    times = context.times
    assert times.config_wait_s + SLOW_CALL_S < times.config_max_age_s
    # The age of a read counts from the start of its call.
    assert times.server_poll_s + 2 * SLOW_CALL_S < times.servers_max_age_s


@behave.then("a crash is known on every node in time")
def then_crash_known(context):
    times = context.times
    write_s = duties.WRITE_INTERVAL_S + duties.STEP_INTERVAL_S
    known_s = write_s + times.suspect_pause_s + times.suspect_wait_s
    assert known_s + 2 * times.max_relay_poll_s < context.bounds[2], known_s


# Restores of the store


@behave.when(
    "the store is restored to version {old:d} after all nodes have version"
    " {new:d}"
)
def when_restored(context, old, new):
    copy = context.standin.copy()
    context.nodes = [context.node, context.unreachable_node]
    context.standin.put("op", "config", platform_data.make_config(new))
    platform_data.wait_for(
        lambda: all(node.version == new for node in context.nodes),
        5,
        lambda: [node.version for node in context.nodes],
    )
    assert context.standin.value("op", "config")["version"] == new
    context.standin.restore(copy)
    assert context.standin.value("op", "config")["version"] == old


@behave.then("all nodes keep version {version:d} for {duration_s:d} s")
def then_keep(context, version, duration_s):
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        _release(context)
        versions = [node.version for node in context.nodes]
        assert versions == [version, version], versions
        time.sleep(0.05)


def _release(context):
    for node in context.nodes:
        node.loop.call_soon_threadsafe(node.applier.expire)


@behave.then(
    "when the operator writes version {version:d} all nodes have it within"
    " {limit_s:d} s"
)
def then_follow(context, version, limit_s):
    context.standin.put("op", "config", platform_data.make_config(version))

    def have_it():
        _release(context)
        return all(node.version == version for node in context.nodes)

    platform_data.wait_for(
        have_it, limit_s, lambda: [node.version for node in context.nodes]
    )


def _put_server(context, name, sequence):
    entry = platform_data.make_entry(addr="10.0.0.2:80", seq=sequence)
    context.standin.put("servers", name, entry)


def _wait_for_servers(context, names, limit_s):
    def uses():
        context.node.loop.call_soon_threadsafe(context.node.applier.expire)
        return context.node.server_ids() == names

    platform_data.wait_for(uses, limit_s, context.node.server_ids)


@behave.when(
    "one server leaves, another one joins and the store is restored to before"
)
def when_servers(context):
    _put_server(context, "left", 5)
    _wait_for_servers(context, ["good", "left"], 3)
    copy = context.standin.copy()
    context.standin.remove("servers", "left")
    _put_server(context, "joined", 1)
    _wait_for_servers(context, ["good", "joined"], 3)
    context.standin.restore(copy)


@behave.then("the node uses the one that joined and not the one that left")
def then_uses(context):
    end_s = time.monotonic() + 1.2
    while time.monotonic() < end_s:
        found = context.node.server_ids()
        assert found == ["good", "joined"], found
        time.sleep(0.05)


@behave.then(
    "it drops the one that joined when that one does not write its entry again"
)
def then_drops(context):
    _wait_for_servers(context, ["good"], 4)


@behave.then("it uses the one that left when that one writes its entry again")
def then_left_again(context):
    _put_server(context, "left", 6)
    _wait_for_servers(context, ["good", "left"], 3)
