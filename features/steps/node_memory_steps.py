"""Steps of node_memory.feature."""

import itertools
import pathlib
import random
import selectors
import socket
import threading
import time
from typing import NamedTuple
from unittest import mock

import behave

from bilberryturn.gateway import loop_time
from bilberryturn.gateway import memory
from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

MB = 1024 * 1024
BLOCK_BYTES = 65536
BLOCK_INTERVAL_S = 0.02
# Time in which bytes without end come.
ENDLESS_S = 6.0
SOUND_PER_S = 20
SOUND_TIMEOUT_S = 8.0
# Hexadecimal in /proc/net/tcp: queues of bytes to send and to read.
QUEUES_COLUMN = 4
_ids = itertools.count(1)


def _head(head, status, extra):
    request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
    return (
        f"HTTP/1.1 {status}\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
        f"{scripted.SEAL}{extra}\r\n"
    ).encode()


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _filled(piece):
    return piece * (BLOCK_BYTES // len(piece))


def _numbered_events(count):
    """Return chunks of 2,000 events each."""
    return [
        _chunk(b"".join(map(scripted.event, range(first, first + 2000))))
        for first in range(1, count, 2000)
    ]


CHUNKED = "Transfer-Encoding: chunked\r\n"
STREAM = f"Content-Type: text/event-stream\r\n{CHUNKED}"
BLOCK = b"x" * BLOCK_BYTES
# By what is sent: status, further header fields and the block that is repeated.
ENDLESS = {
    "header fields": ("200 OK", None, _filled(b"X-Filler: 0123456789\r\n")),
    "a body that ends with the channel": ("200 OK", "", BLOCK),
    "a chunked body": ("200 OK", CHUNKED, _chunk(BLOCK)),
    "a body of an error": ("500 Error", CHUNKED, _chunk(BLOCK)),
    "a body in chunks of one byte": (
        "200 OK",
        CHUNKED,
        _filled(_chunk(b"x")),
    ),
    "an event": ("200 OK", STREAM, _chunk(BLOCK)),
    "lines of an event": ("200 OK", STREAM, _chunk(_filled(b"data: x\n"))),
    "comments": ("200 OK", STREAM, _chunk(_filled(b":\n\n"))),
    "blank lines": ("200 OK", STREAM, _chunk(_filled(b"\n"))),
    "numbered events": ("200 OK", STREAM, None),
}
NUMBERED_EVENTS = _numbered_events(200_000)


class _Trial:
    """A node process, its servers and what callers see of it.

    Attributes:
        peak_bytes: Most memory that the node used, with what it hadn't read.
        unread_bytes: The part of it that the node hadn't read.
        sound: Status and duration of each sound request, and when it was sent
            after the trial began.
        ran: Identifiers of the requests that servers ran.
    """

    def __init__(self, context, memory_mb, script):
        self.peak_bytes = 0
        self.unread_bytes = 0
        self.sound = []
        self.ran = set()
        self._lock = threading.Lock()
        self._script = script
        self._testbed = testbed_module.start(
            context,
            1,
            self._answer,
            settings=(f"limits.memoryMb={memory_mb}",),
        )
        self.node = self._testbed.nodes[0]
        for name in self._testbed.backends:
            entry = self._testbed.entry(name, 2)
            self._testbed.store.put("servers", name, {**entry, "slots": 400})
        self.node.wait_ready()
        time.sleep(2.0)

    def _answer(self, peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        with self._lock:
            self.ran.add(request)
        if "/sound" in head.split("\r\n", 1)[0]:
            peer.answer(head, b"sound")
            return None
        return self._script(peer, head)

    def run(self, act, duration_s):
        """Call a function while sound requests are sent and memory is read."""
        self._start_s = time.monotonic()
        end_s = self._start_s + duration_s
        jobs = [
            threading.Thread(target=self._watch, args=(end_s,)),
            threading.Thread(target=act, args=(end_s,)),
        ]
        for job in jobs:
            job.start()
        sound = []
        while time.monotonic() < end_s:
            sound.append(threading.Thread(target=self._send_sound))
            sound[-1].start()
            time.sleep(1 / SOUND_PER_S)
        for job in (*jobs, *sound):
            job.join()

    def _send_sound(self):
        request = f"s{next(_ids)}"
        sent_s = time.monotonic()
        status = 0
        try:
            connection = socket.create_connection(
                (self.node.ip, self.node.port), SOUND_TIMEOUT_S
            )
            connection.settimeout(SOUND_TIMEOUT_S)
            data = gateway_rig.request_text(
                "safe", request, key="key-a", path="sound"
            )
            answer = gateway_rig.send_request(0, data, connection)
            status = answer.status
            connection.close()
        except OSError:
            # Counts as a request without an answer.
            pass
        self.sound.append(
            (status, time.monotonic() - sent_s, sent_s - self._start_s)
        )

    def _watch(self, end_s):
        while time.monotonic() < end_s and self.node.is_running():
            unread = self._unread_bytes()
            used = self._peak_rss_bytes() + unread
            if used > self.peak_bytes:
                self.peak_bytes, self.unread_bytes = used, unread
            time.sleep(0.05)

    def _peak_rss_bytes(self):
        path = pathlib.Path(f"/proc/{self.node.process.pid}/status")
        for line in path.read_text("ascii").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def _unread_bytes(self):
        """Return what the kernel holds for the node to read."""
        own = socket.inet_aton(self.node.ip)[::-1].hex().upper()
        unread = 0
        lines = pathlib.Path("/proc/net/tcp").read_text("ascii").splitlines()
        for line in lines[1:]:
            columns = line.split()
            # Other columns of listening sockets count connections.
            if columns[1].startswith(own) and columns[3] != "0A":
                unread += int(columns[QUEUES_COLUMN].partition(":")[2], 16)
        return unread

    def open(self, kind, path, body=b"", length=None):
        """Open a connection and send a request; returns both."""
        request = f"e{next(_ids)}"
        data = gateway_rig.request_text(
            kind, request, key="key-a", body=body, path=path
        )
        if length is not None:
            data = data.replace(
                b"Content-Length: 0\r\n", b"Content-Length: %d\r\n" % length
            )
        connection = socket.create_connection(
            (self.node.ip, self.node.port), SOUND_TIMEOUT_S
        )
        connection.sendall(data)
        return request, connection


@behave.given(
    "a node process of {memory_mb:d} MB before servers that send {what} without"
    " end"
)
def given_endless(context, memory_mb, what):
    status, extra, block = ENDLESS[what]

    def script(peer, head):
        if extra is None:
            peer.send(f"HTTP/1.1 {status}\r\n")
        else:
            peer.send(_head(head, status, extra))
        blocks = itertools.repeat(block) if block else NUMBERED_EVENTS
        end_s = time.monotonic() + ENDLESS_S
        for data in blocks:
            peer.send(data)
            if time.monotonic() >= end_s:
                break
            time.sleep(BLOCK_INTERVAL_S)
        peer.reset()
        return "close"

    context.trial = _Trial(context, memory_mb, script)


class _Reader:
    """Reads all answers of many callers on one thread.

    Attributes:
        received: By request: the first bytes, the last ones, and whether the
            connection was reset.
    """

    def __init__(self, connections):
        self.received = {}
        self._selector = selectors.DefaultSelector()
        for request, connection in connections:
            connection.setblocking(False)
            self._selector.register(connection, selectors.EVENT_READ, request)
            self.received[request] = (b"", b"")

    def run(self, end_s):
        """Read until a time, then close all connections."""
        while time.monotonic() < end_s and self._selector.get_map():
            for key, _ in self._selector.select(0.1):
                self._read(key)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _read(self, key):
        try:
            data = key.fileobj.recv(BLOCK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        first, last = self.received[key.data]
        self.received[key.data] = (
            (first + data)[:200],
            (last + data)[-200:],
        )
        if not data:
            self._selector.unregister(key.fileobj)
            key.fileobj.close()


@behave.when(
    "{count:d} callers send it a {kind:w} request each, with sound ones beside"
    " them"
)
def when_endless(context, count, kind):
    trial = context.trial

    def act(end_s):
        reader = _Reader(
            [trial.open(kind, f"endless{n}") for n in range(count)]
        )
        reader.run(end_s)
        context.received = reader.received

    trial.run(act, ENDLESS_S)


@behave.then("the node has used at most {limit:d} MB and runs on")
def then_used(context, limit):
    trial = context.trial
    assert trial.node.is_running(), trial.node.process.poll()
    peak_mb, unread_mb = trial.peak_bytes / MB, trial.unread_bytes / MB
    print(f"peak {peak_mb:.0f} MB, of which {unread_mb:.0f} MB unread")
    assert 0 < peak_mb <= limit, (peak_mb, unread_mb)


@behave.then("all sound requests are answered")
def then_sound(context):
    sound = context.trial.sound
    slowest_s = max(duration_s for _, duration_s, _ in sound)
    print(f"the slowest sound request took {slowest_s:.2f} s")
    # None has an answer if its caller gave up after SOUND_TIMEOUT_S.
    missing = [
        (status, round(duration_s, 2), round(at_s, 2))
        for status, duration_s, at_s in sound
        if status != 200
    ]
    assert not missing, (len(missing), len(sound), missing[:8])


@behave.then("no answer without end looks whole")
def then_not_whole(context):
    for first, last in context.received.values():
        is_success = first.startswith(b"HTTP/1.1 200")
        is_stream = b"chunked" in first.lower()
        assert not is_success or is_stream, first
        assert not (is_success and last.endswith(b"\r\n0\r\n\r\n")), last


@behave.given(
    "a node process of {memory_mb:d} MB before servers with answers of"
    " {size:g} MB"
)
def given_answers(context, memory_mb, size):
    def script(peer, head):
        # Requests are in hand for a while.
        time.sleep(2.0)
        peer.answer(head, b"x" * int(size * MB))

    context.trial = _Trial(context, memory_mb, script)


def _send_all(pairs, blocks, end_s):
    """Send the same bytes on all connections until they take no more."""
    pending = {connection: memoryview(blocks) for _, connection in pairs}
    for connection in pending:
        connection.setblocking(False)
    while pending and time.monotonic() < end_s:
        for connection, rest in list(pending.items()):
            try:
                sent = connection.send(rest[:BLOCK_BYTES])
                pending[connection] = rest[sent:]
            except BlockingIOError:
                continue
            except OSError:
                del pending[connection]
                continue
            if not pending[connection]:
                del pending[connection]
        time.sleep(0.002)


def _upload(trial, count, end_s):
    size = 4 * MB - 1000
    pairs = [trial.open("unsafe", f"up{n}", length=size) for n in range(count)]
    _send_all(pairs, b"x" * size, end_s)
    return pairs


def _upload_bytes(trial, count, end_s):
    pairs = []
    for number in range(count):
        request = f"e{next(_ids)}"
        head = gateway_rig.request_text(
            "unsafe", request, key="key-a", path=f"up{number}"
        ).replace(b"Content-Length: 0\r\n", CHUNKED.encode())
        connection = socket.create_connection(
            (trial.node.ip, trial.node.port), SOUND_TIMEOUT_S
        )
        connection.sendall(head)
        pairs.append((request, connection))
    _send_all(pairs, _chunk(b"x") * MB + _chunk(b""), end_s)
    return pairs


def _read_nothing(trial, count, end_s):
    return [trial.open("unsafe", f"large{n}") for n in range(count)]


def _send_heads(trial, count, end_s):
    pairs = []
    for number in range(count):
        connection = socket.create_connection(
            (trial.node.ip, trial.node.port), SOUND_TIMEOUT_S
        )
        connection.sendall(b"GET /safe/x HTTP/1.1\r\n")
        pairs.append((f"head{number}", connection))
    _send_all(pairs, _filled(b"X-Filler: 0123456789\r\n") * 100, end_s)
    return pairs


def _send_further(trial, count, end_s):
    pairs = [trial.open("unsafe", f"first{n}") for n in range(count)]
    _send_all(pairs, BLOCK * 100, end_s)
    return pairs


ACTS = {
    "upload 4 MB each": _upload,
    "upload 1 MB in chunks of one byte": _upload_bytes,
    "read nothing of their answers": _read_nothing,
    "send heads without end": _send_heads,
    "send further requests without end": _send_further,
}


@behave.when("{count:d} callers {act}, with sound requests beside them")
def when_callers(context, count, act):
    trial = context.trial

    def run(end_s):
        pairs = ACTS[act](trial, count, end_s)
        time.sleep(max(0.0, end_s - time.monotonic()))
        context.answers = {}
        for request, connection in pairs:
            connection.settimeout(1.0)
            try:
                answer = gateway_rig.read_answer(connection)
                context.answers[request] = answer.status
            except OSError:
                # The caller's connection was reset.
                pass
            connection.close()

    trial.run(run, ENDLESS_S)


@behave.then("what was refused as not run has not run")
def then_not_run(context):
    refused = {
        request
        for request, status in context.answers.items()
        if status in (408, 421, 429, 503)
    }
    assert not refused & context.trial.ran, refused & context.trial.ran


# Slow callers of a gateway in this process


@behave.given(
    "a gateway whose caller has read nothing of an answer of {size:g} MB"
)
def given_slow_caller(context, size):
    server = scripted.ScriptedServer(
        lambda peer, head, body, number: peer.answer(
            head, b"x" * int(size * MB)
        )
    )
    context.closers.append(server.close)
    context.rig = gateway_rig.GatewayRig(
        [gateway_rig.make_server("s1", server.port)]
    )
    context.closers.append(context.rig.close)
    context.caller = gateway_rig.connect(context.rig.port)
    context.closers.append(context.caller.close)
    context.caller.sendall(gateway_rig.request_text("unsafe", "slow"))
    limit_s = time.monotonic() + 5.0
    while not context.rig.server.busy_count() or _held(context) < MB / 2:
        assert time.monotonic() < limit_s, _held(context)
        time.sleep(0.02)


def _held(context):
    return context.rig.shared.memory.held_bytes


@behave.when("the caller reads the answer")
def when_reads(context):
    answer = gateway_rig.read_answer(context.caller)
    assert (answer.status, answer.is_complete) == (200, True), answer.status


@behave.then("the gateway holds no bytes within {limit_s:g} s")
def then_holds_none(context, limit_s):
    async def update():
        # A node does so each second.
        context.rig.server.update_memory()

    end_s = time.monotonic() + limit_s
    while _held(context) and time.monotonic() < end_s:
        context.rig.call(update)
        time.sleep(0.05)
    assert not _held(context), _held(context)


# The account without a network


@behave.given(
    "{count:d} seeded histories of requests that hold bytes on a node of"
    " {memory_mb:d} MB"
)
def given_histories(context, count, memory_mb):
    limit = memory.limit_bytes(memory_mb)
    context.limit_bytes = limit
    context.histories = [_history(seed, limit) for seed in range(count)]


class _History(NamedTuple):
    """What happened to an account.

    Attributes:
        peak_bytes: Most bytes held after a change.
        gave_way: Size of each holding that gave way, and the largest one then.
        left_bytes: Bytes in the account at the end.
    """

    peak_bytes: int
    gave_way: list[tuple[int, int]]
    left_bytes: int


def _history(seed, limit):
    rng = random.Random(seed)
    account = memory.MemoryAccount(limit)
    sizes, holdings, fixed, gave_way = {}, {}, [], []
    peak_bytes = 0
    for number in range(300):
        if rng.random() < 0.3:
            holdings[number] = account.open(
                lambda n=number: gave_way.append(
                    (sizes.pop(n), max([0, *sizes.values()]))
                )
            )
        if holdings:
            chosen = rng.choice(list(holdings))
            size = rng.randrange(limit // 3)
            if not holdings[chosen].has_given_way:
                sizes[chosen] = size
            if not holdings[chosen].resize(size) or rng.random() < 0.1:
                holdings.pop(chosen).close()
                sizes.pop(chosen, None)
        body = rng.choice((1000, 4 * MB))
        if rng.random() < 0.1 and account.fix(body):
            fixed.append(body)
        if fixed and rng.random() < 0.1:
            account.unfix(fixed.pop())
        held = account.held_bytes + account.fixed_bytes
        peak_bytes = max(peak_bytes, held)
    for holding in holdings.values():
        holding.close()
    for body in fixed:
        account.unfix(body)
    left = account.held_bytes + account.fixed_bytes
    return _History(peak_bytes, gave_way, left)


@behave.then("they never hold more than the account allows")
def then_within(context):
    assert context.limit_bytes == 32 * MB, context.limit_bytes
    peaks = [history.peak_bytes for history in context.histories]
    # Small running requests have no bound.
    assert max(peaks) <= context.limit_bytes + 300 * 1000, max(peaks)


@behave.then("only the request that holds most gives way")
def then_largest(context):
    gave_way = [pair for h in context.histories for pair in h.gave_way]
    assert len(gave_way) > 100, len(gave_way)
    assert all(size >= largest for size, largest in gave_way)


@behave.then("the account is empty once all have ended")
def then_empty(context):
    assert not any(history.left_bytes for history in context.histories)


class _Flood:
    """A connection with pieces without end.

    Attributes:
        pieces: Pieces that were cut.
        longest_turn: Most pieces in one turn.
    """

    def __init__(self, shared):
        self.pieces = 0
        self.longest_turn = 0
        self._turns = loop_time.Turns(shared)
        self._next_s = 0.0

    def take_turn(self, now_s):
        """Cut pieces until the turn ends."""
        if now_s < self._next_s:
            return
        wait_s, count = None, 0
        while wait_s is None and count < 1000:
            wait_s = self._turns.count(1)
            count += 1
        self.pieces += count
        self.longest_turn = max(self.longest_turn, count)
        self._next_s = now_s + (wait_s or 0.0)


FLOOD_S = 2.0
LIGHT_INTERVAL_S = 0.01


@behave.given("{count:d} connections with pieces without end on one event loop")
def given_connections(context, count):
    shared = loop_time.LoopTime()
    now_s = [1000.0]
    context.light_waits = []
    with mock.patch.object(loop_time.time, "monotonic", lambda: now_s[0]):
        context.floods = [_Flood(shared) for _ in range(count)]
        light = loop_time.Turns(shared)
        for step in range(int(FLOOD_S / 0.001)):
            now_s[0] = 1000.0 + step * 0.001
            if step % int(LIGHT_INTERVAL_S / 0.001) == 0:
                context.light_waits.append(light.count(4))
            for flood in context.floods:
                flood.take_turn(now_s[0])


@behave.then(
    "each has a turn of at most {limit:d} pieces before the others have theirs"
)
def then_turns(context, limit):
    longest = max(flood.longest_turn for flood in context.floods)
    assert 0 < longest <= limit, longest


@behave.then(
    "all of them cut at most {limit:d} pieces a second beyond what is free"
)
def then_share(context, limit):
    pieces = sum(flood.pieces for flood in context.floods)
    free = loop_time.BURST_PIECES + loop_time.PIECES_PER_TURN
    free += loop_time.FREE_PIECES_PER_S * FLOOD_S
    surplus = pieces - free * len(context.floods)
    assert surplus <= limit * FLOOD_S, (pieces, surplus)


@behave.then("a stream of {rate:d} pieces a second waits for nobody")
def then_light(context, rate):
    assert rate == 4 / LIGHT_INTERVAL_S
    assert not any(context.light_waits), max(filter(None, context.light_waits))
