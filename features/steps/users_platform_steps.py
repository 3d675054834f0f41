"""Steps of users_platform.feature."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import random
import socket
import tempfile
import threading
import time
import tomllib

import behave
import msgspec

from bilberryturn import log_writer
from bilberryturn import rendezvous
from bilberryturn.edge import duties
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import relays
from bilberryturn.gateway import beliefs
from bilberryturn.gateway import small_server
from bilberryturn.gateway import upstream
from bilberryturn.platform import duty_calls
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import operator_config
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries
from bilberryturn.platform import settings_file
from bilberryturn.platform import tables
from bilberryturn.platform import wire
from bilberryturn.tool import main as tool_main
from support import scripted
from support import store_standin

TROUBLES = {
    "works": "",
    "answers 503": "503",
    "answers 429": "429",
    "loses its answers": "lost",
    "stays silent": "silent",
    "answers garbage": "garbage",
}
ERRORS = {
    "refused": exceptions.PlatformRefusedError,
    "unreachable": exceptions.PlatformUnreachableError,
    "unreadable": exceptions.PlatformFormatError,
}

TIMES = intervals.from_bounds(2.5, 2.5, 4.0)
# Own first call to a slow store: 75 times its usual 4 ms.
SLOW_CALL_S = 0.3


def _config(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/p/",
                "type": "safe",
                "timeoutMs": 1000,
                "service": "app",
            }
        ],
        "services": [{"name": "app", "maxConns": 9}],
        "tenants": [{"name": "w", "apiKeys": ["k"]}],
    }


def _entry(**changes):
    entry = {
        "service": "app",
        "addr": "10.0.0.1:80",
        "zone": "east",
        "state": "ready",
        "seq": 1,
        "slots": 4,
    }
    entry.update(changes)
    return entry


def _start_standin(context):
    context.standin = store_standin.StoreStandin()
    context.closers.append(context.standin.close)


def _wait_for(check, limit_s, what):
    end_s = time.monotonic() + limit_s
    while not check():
        assert time.monotonic() < end_s, what()
        time.sleep(0.02)


# the row interface


@behave.given("a stand-in of the users' store that {trouble}")
def given_standin(context, trouble):
    _start_standin(context)
    context.standin.put("t", "k", {"x": 1})
    context.standin.fault = TROUBLES[trouble]
    client = http.HttpClient("store", context.standin.address, 0.5)
    context.store = rows.RowStore(client)


@behave.then("a read gives {outcome}")
def then_read(context, outcome):
    result = context.store.read("t/k")
    if outcome == "the row":
        assert result.ok == tables.Row("t/k", 1, {"x": 1}), result
        return
    assert isinstance(result.error, ERRORS[outcome]), result.error


@behave.then("a transaction gives {outcome}")
def then_transaction(context, outcome):
    result = context.store.transact({"t/new": 0}, {"t/new": 5})
    if outcome == "committed":
        assert result.ok.versions == {"t/new": 2}, result
        assert context.store.read("t/new").ok == tables.Row("t/new", 2, 5)
        return
    assert isinstance(result.error, ERRORS[outcome]), result.error


@behave.then("a transaction with an old version fails and writes nothing")
def then_old_version(context):
    result = context.store.transact({"t/k": 99, "t/z": 0}, {"t/k": 2, "t/z": 3})
    assert isinstance(result.ok, tables.Failed), result
    assert context.store.read("t/k").ok.value == {"x": 1}
    assert context.store.read("t/z").ok.version == 0


@behave.when("{count:d} rows are written to a table")
def when_rows(context, count):
    for number in range(count):
        context.standin.put("many", f"{number:05d}", number)


@behave.then("a snapshot holds all of them once")
def then_snapshot(context):
    found = [r.value for r in context.store.scan("many/").ok]
    assert found == list(range(1100)), len(found)


@behave.then("the duty client resets its connection when it gives up")
def then_resets(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    client = http.HttpClient(
        "duties",
        f"127.0.0.1:{listener.getsockname()[1]}",
        0.3,
        drops_unsent=True,
    )
    result = duty_calls.DutyCalls(client, "vm").report_usage(1, {"a": 1}, 5)
    assert isinstance(result.error, exceptions.PlatformUnreachableError)
    accepted, _ = listener.accept()
    accepted.settimeout(2)
    try:
        while accepted.recv(65536):
            pass
    except ConnectionResetError:
        return
    raise AssertionError("the connection was closed in order, not reset")


# feeds


class _Node:
    """Holds the feeds and the relay client of one node."""

    def __init__(self, store_address, domain_peers, name):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.shared = beliefs.Shared(
            "east",
            beliefs.RepeatLimits(0.2, 1, 10),
            5.0,
            upstream.ConnectionPool(),
        )
        self.raw = feeds.Raw()
        self.applier = feeds.Applier(self.shared, self.raw)
        self.server = small_server.SmallServer(self._answer)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        asyncio.run_coroutine_threadsafe(
            self.server.start("127.0.0.1", port), self.loop
        ).result(5)
        self.followers = [
            followers.Follower(
                rows.OPERATOR_TABLE, store_address, 1.0, 0.0, "",
                followers.on_loop(self.loop, self._take_config),
            ),
            followers.Follower(
                rows.SERVER_TABLE, store_address, 0.0, 0.2, "",
                followers.on_loop(self.loop, self._take_servers),
            ),
        ]  # fmt: skip
        domain_peers.append(self.address)
        self.relay = relays.RelayClient(
            name,
            self.address,
            "east",
            "",
            TIMES,
            lambda: list(domain_peers),
            lambda: list(domain_peers),
            lambda: self.shared.usage.snapshot(time.time()),
            lambda: self.shared.suspects.own_counts(time.monotonic()),
            self.followers,
            followers.on_loop(self.loop, self.applier.peer),
        )
        self.stopping = threading.Event()
        for job in (*self.followers, self.relay):
            threading.Thread(
                target=job.run, args=(self.stopping,), daemon=True
            ).start()

    def _answer(self, path, body):
        question = msgspec.json.decode(body, type=relays.Question)
        self.applier.suspects(question.lifetime, question.suspects)
        state = msgspec.json.encode(self.raw.state(question.revision))
        return small_server.Reply(200, state)

    def _take_config(self, changes, is_snapshot, after_outage, called_s):
        self.raw.config_read_s = time.monotonic()
        self.applier.config_confirmed(time.monotonic())
        for row in changes.rows:
            if row.key == rows.CONFIG_KEY and row.value is not None:
                self.applier.config(row.value, time.monotonic(), "store")

    def _take_servers(self, changes, is_snapshot, after_outage, called_s):
        self.raw.servers_read_s = called_s
        self.applier.servers(
            {row.key: row.value for row in changes.rows},
            is_snapshot,
            called_s,
            after_outage,
        )

    @property
    def version(self):
        return self.shared.table.version if self.shared.table else None

    def known(self):
        return sorted(s.server_id for s in self.shared.directory.usable("app"))

    def close(self):
        self.stopping.set()
        self.loop.call_soon_threadsafe(self.server.stop)


@behave.given("a node's feeds on a stand-in of the users' store")
def given_feeds(context):
    _start_standin(context)
    context.peers = []
    context.standin.put("op", "config", _config(7))
    context.standin.put("servers", "good", _entry())
    context.node = _Node(context.standin.address, context.peers, "n1")
    context.closers.append(context.node.close)
    _wait_for(
        lambda: context.node.version == 7 and context.node.known() == ["good"],
        5,
        lambda: (context.node.version, context.node.known()),
    )


@behave.when(
    "the store forgets its history while a server joins and another leaves"
)
def when_forgets(context):
    context.standin.fault = "503"
    time.sleep(0.5)
    context.standin.put("servers", "joined", _entry(addr="10.0.0.2:80"))
    context.standin.put("servers", "good", _entry(state="draining", seq=2))
    context.standin.forget_history()
    context.standin.fault = ""


@behave.then("the feeds know both within {limit_s:d} s")
def then_both(context, limit_s):
    _wait_for(
        lambda: context.node.known() == ["joined"], limit_s, context.node.known
    )


BAD_ENTRIES = {
    "is no JSON": b"\xff{",
    "lacks its address": {"service": "app", "zone": "e", "state": "ready"},
    "has a list as service": _entry(service=["app"]),
    "has an unknown state": _entry(state="odd"),
    "has a port of 0": _entry(addr="10.0.0.1:0"),
    "has text as number": _entry(seq="one"),
}


@behave.when("an entry that {fault} is written")
def when_bad_entry(context, fault):
    if fault == "is no Base64":
        context.standin.put_text("servers", "bad", "***")
    else:
        context.standin.put("servers", "bad", BAD_ENTRIES[fault])
    context.standin.put("servers", "later", _entry(addr="10.0.0.3:80"))


@behave.then("the feeds know only the good server")
def then_only_good(context):
    _wait_for(
        lambda: context.node.known() == ["good", "later"],
        5,
        context.node.known,
    )


@behave.when("the operator's row is {what}")
def when_operator(context, what):
    if what == "older":
        context.standin.put("op", "config", _config(6))
    elif what == "no JSON":
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


@behave.given("a node whose own way to the store is cut")
def given_cut(context):
    with socket.create_server(("127.0.0.1", 0)) as probe:
        dead = f"127.0.0.1:{probe.getsockname()[1]}"
    context.cut = _Node(dead, context.peers, "n2")
    context.closers.append(context.cut.close)


@behave.given("a node that would be its relay but is cut from the store")
def given_cut_relay(context):
    given_cut(context)
    domain = next(
        name
        for name in (f"east-{number}" for number in range(1000))
        if rendezvous.rank(context.peers, name)[0] == context.cut.address
    )
    nodes = getattr(context, "nodes", [context.node])
    for node in (*nodes, context.cut):
        node.relay._domain = domain


@behave.then(
    "the node's own reading of the store stays under {age_s:d} s old for"
    " {limit_s:d} s"
)
def then_reads(context, age_s, limit_s):
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        found_s = time.monotonic() - context.node.raw.servers_read_s
        assert found_s < age_s, found_s
        time.sleep(0.05)


class _Relay:
    """Answers as a relay whose own reading has a given age.

    Attributes:
        age_s: Time since it read the store.
    """

    def __init__(self):
        self.raw = feeds.Raw()
        self.raw.config = json.dumps(_config(9)).encode()
        self.raw.servers = {"good": json.dumps(_entry()).encode()}
        self.age_s = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            peer = scripted.Peer(accepted)
            while (request := peer.read_request())[0] is not None:
                known = json.loads(request[1])["revision"]
                body = msgspec.json.encode(self._state(known))
                peer.send(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                peer.send(body)

    def _state(self, known):
        heard_s = time.monotonic() - self.age_s
        self.raw.config_heard_s = self.raw.servers_heard_s = heard_s
        self.raw.config_read_s = self.raw.servers_read_s = heard_s
        return self.raw.state(known)


@behave.given("a node that hears only from a relay")
def given_relay_only(context):
    context.told = _Relay()
    context.closers.append(context.told.close)
    context.shared = beliefs.Shared(
        "east",
        beliefs.RepeatLimits(0.2, 1, 10),
        5.0,
        upstream.ConnectionPool(),
    )
    applier = context.applier = feeds.Applier(context.shared, feeds.Raw())
    context.client = relays.RelayClient(
        "n1", "127.0.0.1:1", "east", "", TIMES, list, list, dict, dict, [],
        applier.peer,
    )  # fmt: skip


ENTRY_CHANGES = {
    "says that it leaves": _entry(state="draining", seq=2),
    "has another address": _entry(addr="10.0.0.9:80", seq=2),
    "has a later sequence": _entry(seq=2),
}


@behave.when("a server's entry {change}")
def when_entry(context, change):
    context.known = context.node.raw.revision
    read_s = context.node.raw.servers_read_s
    if change == "is removed":
        context.standin.remove("servers", "good")
    else:
        context.standin.put("servers", "good", ENTRY_CHANGES[change])
    # Two whole readings have begun after the change.
    for _ in range(2):
        _wait_for(
            lambda before_s=read_s: context.node.raw.servers_read_s > before_s,
            5,
            lambda: "no reading of the entries",
        )
        read_s = context.node.raw.servers_read_s


@behave.then("its relay content is {told}")
def then_told(context, told):
    state = context.node.raw.state(context.known)
    assert (state.servers is not None) == (told == "new"), state
    seqs = [json.loads(v)["seq"] for v in context.node.raw.servers.values()]
    assert seqs in ([2], []), seqs


@behave.when(
    "the relay tells version 9 while it has not heard the store for {age_s:d} s"
)
def when_told_late(context, age_s):
    context.told.age_s = age_s
    is_current = age_s < TIMES.servers_current_s
    assert context.client._ask(context.told.address) == is_current
    assert (context.shared.table is not None) == is_current


@behave.when('the node reads that server "good" has left')
def when_read_left(context):
    entry = json.dumps(_entry()).encode()
    now_s = time.monotonic()
    context.applier.servers({"good": entry}, True, now_s - 2, False)
    context.applier.servers({"good": None}, False, now_s, False)
    assert not context.shared.directory.usable("app")


@behave.then("the node knows no server")
def then_no_server(context):
    assert not context.shared.directory.usable("app")


@behave.when("the relay hears the store again without a change")
def when_told_again(context):
    context.told.age_s = 0.0
    assert context.client._ask(context.told.address)


@behave.then("the node has version {version:d} in force")
def then_in_force(context, version):
    assert context.shared.table is not None
    assert context.shared.table.version == version
    assert context.shared.directory.usable("app")


@behave.when("the operator writes version {version:d}")
def when_version(context, version):
    context.standin.put("op", "config", _config(version))


@behave.then(
    "the cut node has version {version:d} in force within {limit_s:d} s"
)
def then_cut(context, version, limit_s):  # fmt: skip
    _wait_for(
        lambda: context.cut.version == version,
        limit_s,
        lambda: context.cut.version,
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
def then_one(context, limit_s):
    _wait_for(
        lambda: len(_readers(context)) == 1,
        limit_s,
        lambda: len(_readers(context)),
    )


def _settled_readers(nodes, turned_away):
    """Return who reads once all have asked a few times."""
    reads = set(nodes)
    for _ in range(6):
        for node in nodes:
            asked = relays.candidates(node, set(nodes), "east")
            if any(a in reads and a not in turned_away for a in asked):
                reads.discard(node)
            else:
                reads.add(node)
    return reads


@behave.then(
    "in domains of 2 to 60 nodes of which up to 2 relays are turned away"
    " no more others read than there are relays"
)
def then_few_read(context):
    for size in range(2, 61):
        nodes = [f"10.0.0.{n}:80" for n in range(size)]
        ranked = rendezvous.rank(nodes, "east")
        relay_count = 1 + size // relays.NODES_A_RELAY
        for missing in range(min(size - 1, 3)):
            turned_away = set(ranked[:missing])
            readers = _settled_readers(nodes, turned_away) - turned_away
            assert len(readers) <= max(1, relay_count), (size, missing, readers)


@behave.then("a follower calls it at most {count:d} times in {limit_s:d} s")
def then_calls(context, count, limit_s):
    follower = followers.Follower(
        "op", context.standin.address, 0.0, 0.0, "", lambda *_: None
    )
    before = len(context.standin.calls)
    stopping = threading.Event()
    thread = threading.Thread(target=follower.run, args=(stopping,))
    thread.start()
    time.sleep(limit_s)
    stopping.set()
    thread.join()
    found = len(context.standin.calls) - before
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
    _wait_for(
        lambda: all(n.version == version for n in context.nodes),
        limit_s,
        lambda: [n.version for n in context.nodes],
    )


@behave.given("bounds of {drain_s:g}, {config_s:g} and {settle_s:g} s")
def given_bounds(context, drain_s, config_s, settle_s):
    context.bounds = (drain_s, config_s, settle_s)
    context.times = intervals.from_bounds(drain_s, config_s, settle_s)


@behave.then("a change is heard in time although {what}")
def then_in_time(context, what):
    drain_s, config_s, _ = context.bounds
    times = context.times
    ask_s = times.longest_ask_s
    if what == "the relay has just lost the store":
        config = times.config_current_s + ask_s + SLOW_CALL_S
        servers = times.servers_current_s + ask_s + SLOW_CALL_S
    else:
        ask_s += times.ask_timeout_s
        config = times.config_wait_s + ask_s + SLOW_CALL_S
        servers = times.server_poll_s + ask_s + SLOW_CALL_S
    assert config < config_s, config
    assert servers < drain_s, servers


@behave.then("a relay on a slow store is still current")
def then_current(context):
    times = context.times
    assert times.config_wait_s + SLOW_CALL_S < times.config_current_s
    # A reading counts from the start of its call.
    assert times.server_poll_s + 2 * SLOW_CALL_S < times.servers_current_s


@behave.then("a crash is known everywhere in time")
def then_crash_known(context):
    times = context.times
    heard_s = duties.WRITE_S + duties.STEP_S + times.suspect_poll_s
    assert heard_s + 2 * times.longest_ask_s < context.bounds[2], heard_s


# settings

SETTINGS = """node=edge-1
ip=10.1.0.1
zone=east
region=r
zones.east=r
listen.front=10.1.0.1:80
listen.ready=10.1.0.1:81
listen.control=10.1.0.1:82
seeds=10.1.0.1:82,10.1.0.2:82
platform.addr=10.2.0.1:80
cloud.addr=10.2.0.2:80
cloud.duties=usage,scale
bounds.graceS=8
bootstrap=true
"""
BAD_SETTINGS = {
    "is complete": ("", ""),
    "has unknown names": ("bootstrap=true", "bootstrap=true\nnew.x=1\nodd"),
    "lacks the node's name": ("node=edge-1\n", ""),
    "lacks the store": ("platform.addr=10.2.0.1:80\n", ""),
    "has a port of text": ("10.1.0.1:80", "10.1.0.1:http"),
    "has text as bound": ("graceS=8", "graceS=long"),
}


@behave.then("a settings file that {fault} gives {outcome}")
def then_settings(context, fault, outcome):
    if fault == "cannot be read":
        result = settings_file.load("/nowhere/settings.conf")
        assert result.error[0].number == "E289"
        return
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.conf"
        path.write_text(SETTINGS.replace(*BAD_SETTINGS[fault]))
        result = settings_file.load(os.fspath(path))
    if outcome == "settings":
        assert result.ok.name == "edge-1"
        assert result.ok.stop_grace_s == 8
        assert result.ok.is_first_start
        return
    assert [f.option for f in result.error] == [outcome.rpartition(" ")[2]]
    assert all(fault.remedy for fault in result.error)


# any bytes


def _spoil(numbers, data):
    data = bytearray(data)
    for _ in range(numbers.randrange(1, 6)):
        place = numbers.randrange(len(data))
        kind = numbers.randrange(3)
        if kind == 0:
            data[place] = numbers.randrange(256)
        elif kind == 1:
            del data[place : place + numbers.randrange(1, 9)]
        else:
            data[place:place] = numbers.randbytes(numbers.randrange(1, 9))
        if not data:
            data = bytearray(b"x")
    return bytes(data)


@behave.then(
    "{count:d} seeded inputs of each kind give a result or a typed error"
)
def then_fuzz(context, count):
    numbers = random.Random(23)
    config = json.dumps(_config(3)).encode()
    entry = json.dumps(_entry()).encode()
    names = (
        wire.REQUEST_ID,
        wire.PATIENCE,
        wire.PROMPT_PARTS,
        wire.PROMPT_TOKENS,
        b"authorization",
        b"connection",
        b"host",
        b"keep-alive",
        b"retry-after",
    )
    for _ in range(count):
        operator_config.decode(_spoil(numbers, config)).is_ok()
        server_entries.decode("s", _spoil(numbers, entry)).is_ok()
        text = _spoil(numbers, SETTINGS.encode()).decode("utf-8", "replace")
        settings_file.check_text(text, "file").is_ok()
        headers = [
            (name, _spoil(numbers, b"a1:20,b2:3,900 Bearer k"))
            for name in names
        ]
        read = wire.read_caller_headers(headers)
        assert read.patience_s is None or read.patience_s >= 0
        wire.read_server_answer(200, headers)


# logs


def _line(second, node, event, **fields):
    return json.dumps(
        {
            "timestamp": f"2026-01-01T00:00:{second:02d}Z",
            "node": node,
            "number": 1,
            "event": event,
            **fields,
        }
    )


@behave.given("the logs of two nodes")
def given_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.logs = [pathlib.Path(folder.name) / n for n in ("a.log", "b.log")]
    context.logs[0].write_text(
        "\n".join(
            [
                "Traceback of something else",
                _line(9, "a", "server_changed", server="s1", change="gone"),
                _line(5, "a", "request_ended", request="r7", status=502),
                _line(4, "a", "attempt_failed", request="r7", server="s1"),
                _line(3, "a", "config_applied", version=8),
                _line(3, "a", "request_ended", request="r6", status=200),
            ]
        )
    )
    context.logs[1].write_text(_line(2, "b", "config_applied", version=8))


def _trace(context, request):
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        status = tool_main.main(
            ["trace", request, *(str(log) for log in context.logs)]
        )
    return status, text.getvalue()


@behave.when('the operator traces request "{request}" in them')
def when_traced(context, request):
    context.status, context.printed = _trace(context, request)


@behave.then("the beliefs before it and its own lines are printed in order")
def then_traced(context):
    assert context.status == 0
    places = [
        context.printed.index(word)
        for word in ("config_applied", "attempt_failed", "request_ended")
    ]
    assert places == sorted(places), context.printed
    assert "gone" not in context.printed, "what came later explains nothing"
    assert "r6" not in context.printed


@behave.then("an unknown request is said to be unknown")
def then_unknown(context):
    status, text = _trace(context, "r99")
    assert status == 1
    assert "r99" in text


class _Pipe:
    """Is a log whose reader does nothing until it is released."""

    def __init__(self):
        self.text = io.StringIO()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(20)
        self.text.write(text)

    def flush(self):
        pass


@behave.then(
    "{count:d} lines are written at once while nobody reads and the lost ones"
    " are counted"
)
def then_bounded(context, count):
    pipe = _Pipe()
    writer = log_writer.BoundedWriter(pipe, max_lines=100)
    for number in range(count):
        writer.write(f"line {number}\n")
    assert writer.dropped_count >= count - 102, writer.dropped_count
    pipe.released.set()
    end_s = time.monotonic() + 5
    while "log_lines_dropped" not in pipe.text.getvalue():
        assert time.monotonic() < end_s
        time.sleep(0.01)
    kept = pipe.text.getvalue().count("line ")
    assert kept + writer.dropped_count == count, (kept, writer.dropped_count)
    writer.close()


# deployment

ROOT = pathlib.Path(__file__).resolve().parents[2]


@behave.then(
    "requirements.txt pins only what pyproject.toml pins, at the same versions"
)
def then_pins(context):
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))
    pins = set(declared["project"]["dependencies"])
    required = (ROOT / "requirements.txt").read_text("utf-8").split()
    assert required, "nothing is required"
    assert set(required) <= pins, set(required) - pins


@behave.then("the deploy file runs a program that exists")
def then_program(context):
    text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
    for role in tomllib.loads(text)["roles"].values():
        assert (ROOT / role["run"].split()[1]).is_file()
