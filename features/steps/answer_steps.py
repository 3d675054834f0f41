"""Steps of answers.feature: answers that end early."""

import itertools
import queue
import socket
import subprocess
import sys
import threading
import time

import behave

from bilberryturn import backends
from bilberryturn.platform import http
from bilberryturn.routing import types
from bilberryturn_standins import ports
from support import gateway_rig
from support import scripted
from support import stream_process

BODY = b"answer"
EVENTS = 5
HEAD = (
    "HTTP/1.1 200 OK\r\n"
    "X-Bilberryturn-Attempt-Id: {request}\r\n"
    f"{scripted.SEAL}"
    "Content-Type: text/event-stream\r\n"
    "Content-Length: 6\r\n\r\n"
)
TIMEOUT_S = 5.0
_ids = itertools.count(1)


class _CuttingServer:
    """Cuts the head of each answer after a number of bytes.

    Attributes:
        cut: Number of bytes of the head that it sends.
        port: Port that it listens on.
    """

    def __init__(self, context, resets):
        self.cut = 0
        self._resets = resets
        server = scripted.ScriptedServer(self._answer)
        self.port = server.port
        context.closers.append(server.close)

    def cuts(self):
        """Yield each place at which a head can be cut."""
        for self.cut in range(1, len(HEAD.format(request="r" * 4)) - 1):
            yield self.cut

    def _answer(self, peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id") or "rrrr"
        peer.send(HEAD.format(request=request)[: self.cut])
        if self._resets:
            # Waits until the bytes have arrived, as a reset discards them.
            time.sleep(0.01)
            peer.reset()
        return "close"


@behave.given(
    "a gateway before a server that cuts its answers in their head and {end:w}"
)
def given_cutting_gateway(context, end):
    context.server = _CuttingServer(context, end == "resets")
    context.rig = gateway_rig.GatewayRig([])
    context.closers.append(context.rig.close)


@behave.when(
    "a {kind:w} request is sent for each byte at which a head can be cut"
)
def when_each_cut(context, kind):
    context.answers = []
    for cut in context.server.cuts():
        entry = gateway_rig.make_server(f"s{cut}", context.server.port)

        async def report(entry=entry):
            context.rig.shared.directory.replace_all(
                [entry], time.monotonic(), None
            )

        context.rig.call(report)
        data = gateway_rig.request_text(kind, f"r{cut:03d}", path=f"p{cut}")
        answer = gateway_rig.send_request(context.rig.port, data)
        context.answers.append((cut, answer))


@behave.then("no caller gets a success")
def then_no_success(context):
    found = [
        (cut, answer.status, answer.body)
        for cut, answer in context.answers
        if 200 <= answer.status < 300
    ]
    assert not found, found
    statuses = {answer.status for _, answer in context.answers}
    assert statuses == {502}, statuses


@behave.given("a server that cuts its answers in their head and closes")
def given_cutting_server(context):
    context.server = _CuttingServer(context, False)


def _call_backend(context, loop):
    events = queue.Queue()
    options = backends.CallOptions(
        "GET",
        f"http://127.0.0.1:{context.server.port}/x",
        (),
        None,
        TIMEOUT_S,
        TIMEOUT_S,
    )
    loop.submit(options, events.put)
    while not isinstance(event := events.get(timeout=10), backends.CallEnd):
        pass
    return bool(event.error)


def _call_platform(context, client):
    return client.call("GET", "/x").is_error()


@behave.when(
    "a client of {what} calls it for each byte at which a head can be cut"
)
def when_client(context, what):
    if what == "the platform":
        address = f"127.0.0.1:{context.server.port}"
        client, call = http.HttpClient("x", address, TIMEOUT_S), _call_platform
    else:
        client, call = backends.StreamLoop(), _call_backend
        client.start()
        context.closers.append(client.stop)
    context.results = [
        (cut, call(context, client)) for cut in context.server.cuts()
    ]


@behave.then("each call has failed")
def then_failed(context):
    succeeded = [cut for cut, has_failed in context.results if not has_failed]
    assert not succeeded, succeeded


def _unframed(end, on_end=None):
    def answer(peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        is_stream = "event" in end or "first" in end
        gap_s = 1.5 / EVENTS if "1.5 s" in end else 0.0
        kind = "Content-Type: text/event-stream\r\n" if is_stream else ""
        peer.send(
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{scripted.SEAL}{kind}Connection: close\r\n\r\n"
        )
        if not is_stream:
            peer.send(BODY)
        if is_stream and "first" not in end:
            for number in range(1, EVENTS + 1):
                peer.send(scripted.event(number))
                time.sleep(gap_s)
        if "inside" in end:
            peer.send(scripted.event(EVENTS + 1)[:9])
        time.sleep(1.0 if end.endswith("after 1.0 s") else 0.1)
        if end.startswith("reset"):
            peer.reset()
        if on_end is not None:
            on_end()
        return "close"

    return answer


@behave.given(
    "a gateway before a server whose answers have no length and that {end}"
)
def given_unframed(context, end):
    context.process_ends = False

    def on_end():
        if context.process_ends:
            context.server.end_connections()

    _start_gateway(context, _unframed(end, on_end))


@behave.given("the server takes one connection only")
def given_single(context):
    context.server.most = 1


def _start_gateway(context, script):
    context.server = scripted.ScriptedServer(script)
    context.closers.append(context.server.close)
    context.backend_server = gateway_rig.make_server("s1", context.server.port)
    context.rig = gateway_rig.GatewayRig([context.backend_server])
    context.closers.append(context.rig.close)


@behave.given("the server closes idle connections after {idle_s:g} s")
def given_idle(context, idle_s):
    context.server.idle_s = idle_s


class _Process:
    """A backend server that is killed, and its next process beside it."""

    def __init__(self, context):
        self.port = ports.allocate()
        self._started = []
        context.closers.append(self.close)
        self._running = self._start()
        self._listen(self._running)

    def _start(self):
        process = subprocess.Popen(
            [
                sys.executable,
                stream_process.__file__,
                str(self.port),
                str(EVENTS),
                "0.05",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._started.append(process)
        process.stdout.readline()
        return process

    def _listen(self, process):
        process.stdin.write("listen\n")
        process.stdin.flush()
        process.stdout.readline()

    def replace(self, delay_s):
        """Kill the process after a delay; another one listens at once."""
        following = self._start()
        time.sleep(delay_s)
        self._running.kill()
        self._listen(following)
        self._running = following

    def close(self):
        for process in self._started:
            process.kill()
            process.wait()
            process.stdin.close()
            process.stdout.close()


@behave.given("a gateway before a process whose answers have no length")
def given_process(context):
    context.process = _Process(context)
    server = gateway_rig.make_server("s1", context.process.port)
    context.rig = gateway_rig.GatewayRig([server])
    context.closers.append(context.rig.close)


@behave.when(
    "the process is killed in each of {count:d} {kind:w} requests and another"
    " one listens at once"
)
def when_killed(context, count, kind):
    context.answers = []
    for number in range(count):
        data = gateway_rig.request_text(kind, f"k{next(_ids)}")
        connection = gateway_rig.connect(context.rig.port)
        connection.sendall(data)
        # Between two events, which come each 0.05 s.
        context.process.replace(0.0)
        time.sleep(0.01 * number)
        context.answers.append(gateway_rig.read_answer(connection))
        connection.close()


@behave.then("no caller takes an answer for whole that isn't")
def then_none_whole(context):
    events = b"".join(scripted.event(n + 1) for n in range(EVENTS))
    found = [
        answer.body
        for answer in context.answers
        if answer.status == 200 and answer.is_complete and answer.body != events
    ]
    assert not found, (len(found), len(context.answers), found[0])


@behave.then(
    "the caller gets {count:d} events and notices that the stream was cut"
)
def then_cut(context, count):
    answer = context.answer
    events = b"".join(scripted.event(n) for n in range(1, count + 1))
    assert answer.body == events, answer.body
    assert not answer.is_complete


@behave.then("the caller sees a cut stream")
def then_cut_stream(context):
    then_cut(context, EVENTS)


# Servers that end while an answer without length or chunks is read


def _server_states(context):
    """Return by name what is reported of the server, and at which time."""
    known = context.backend_server
    leaving = known._replace(is_leaving=True, sequence=2)
    now_s = time.monotonic()
    directory = context.rig.shared.directory
    return {
        "is due to leave": lambda: directory.report(
            leaving._replace(leaves_in_s=1.0), now_s
        ),
        "has drained for long": lambda: directory.report(leaving, now_s - 10),
        "is to leave in 9 s": lambda: directory.report(
            leaving._replace(leaves_in_s=9.0), now_s
        ),
        "was removed": lambda: directory.remove(known.server_id, None, now_s),
        "listens again": lambda: None,
        "has started again": lambda: directory.report(
            known._replace(started_ms=known.started_ms + 1), now_s
        ),
        "listens no more": context.server.close,
    }


@behave.when(
    "the server {state} while it answers a {kind:w} request, and its process"
    " {goes}"
)
def when_process_ends(context, state, kind, goes):
    context.process_ends = goes == "ends"
    when_server_ends(context, state, kind)


@behave.when("the server {state} while it answers a {kind:w} request")
def when_server_ends(context, state, kind):
    async def report():
        _server_states(context)[state]()

    def end_server():
        time.sleep(0.05)
        context.rig.call(report)

    ending = threading.Thread(target=end_server)
    ending.start()
    context.answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text(kind, f"u{next(_ids)}")
    )
    ending.join(5)


@behave.given(
    "a gateway before a server that answers {status} and closes behind the head"
)
def given_empty(context, status):
    def answer(peer, head, body, number):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        peer.send(
            f"HTTP/1.1 {status}\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{scripted.SEAL}Connection: close\r\n\r\n"
        )
        return "close"

    _start_gateway(context, answer)


# Uploads, and statuses that no answer has

UPLOAD_BYTES = 3_900_000


class _UploadServer:
    """Answers as soon as it has read the head of a request.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, context, end):
        self._end = end
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        context.closers.append(self._socket.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(4096)
            if not data:
                connection.close()
                return
            received += data
        head, _, rest = received.partition(b"\r\n\r\n")
        text = head.decode("latin-1")
        request = scripted.header(text, "X-Bilberryturn-Attempt-Id")
        is_stream = " /stream/" in text
        kind = "Content-Type: text/event-stream\r\n" if is_stream else ""
        events = b"".join(scripted.event(n + 1) for n in range(EVENTS))
        whole = events if is_stream else BODY
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
            f"{scripted.SEAL}{kind}Connection: close\r\n\r\n".encode()
            + whole
        )
        # The other side has read the answer by then.
        time.sleep(0.05)
        if "ends its side" in self._end:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(0.03)
        if self._end.endswith("resets"):
            scripted.AcceptedConnection(connection).reset()
        elif self._end.startswith("reads the rest"):
            left = UPLOAD_BYTES - len(rest)
            while left > 0 and (data := connection.recv(65536)):
                left -= len(data)
        connection.close()


@behave.given(
    "a gateway before a server that answers uploads without a length, then"
    " {end}"
)
def given_uploads(context, end):
    server = _UploadServer(context, end)
    changed = gateway_rig.make_table()
    changed.limits = types.Limits(body_bytes=2 * UPLOAD_BYTES)
    context.rig = gateway_rig.GatewayRig(
        [gateway_rig.make_server("s1", server.port)], changed
    )
    context.closers.append(context.rig.close)


@behave.when(
    "a caller uploads 3.9 MB in a {kind:w} request over HTTP/{version}"
)
def when_upload(context, kind, version):
    data = gateway_rig.request_text(
        kind, f"w{next(_ids)}", body=b"x" * UPLOAD_BYTES
    ).replace(b"HTTP/1.1", f"HTTP/{version}".encode(), 1)
    connection = gateway_rig.connect(context.rig.port)
    connection.sendall(data)
    context.answer = (
        _read_until_closed(connection)
        if version == "1.0"
        else gateway_rig.read_answer(connection)
    )
    connection.close()


def _read_until_closed(connection):
    """Read an answer that is complete if its connection ends in order."""
    received, is_complete = b"", True
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        is_complete = False
    head, _, body = received.partition(b"\r\n\r\n")
    return gateway_rig.Answer(head.decode("latin-1"), body, is_complete)


@behave.then("the caller sees no whole success")
def then_no_whole(context):
    answer = context.answer
    assert answer.status != 200 or not answer.is_complete, answer.body
    assert answer.status in (0, 200, 502), answer.head


@behave.given(
    "a gateway before a server that answers with the status line {status}"
)
def given_status_line(context, status):
    def answer(peer, head, body, number):
        peer.answer(head, BODY, status=status)
        return "close"

    _start_gateway(context, answer)
