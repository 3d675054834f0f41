"""Send requests through random nodes and check what comes back."""

import random
import socket
import threading
import time

from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

KINDS = ("safe", "unsafe", "resumable", "stream")
PROMISES = (408, 421, 429, 503)
PAUSE_S = 0.03


class Verdicts:
    """Collects answers and broken promises of all callers."""

    def __init__(self):
        self.faults = []
        self.refused = set()
        self.unrepeatable = set()
        self.answered = 0
        self.recent = []
        self._lock = threading.Lock()

    def fault(self, text):
        with self._lock:
            self.faults.append(text)

    def note(self, kind, request, answer, at_s):
        """Check one answer and keep what the end has to be compared with."""
        with self._lock:
            if kind in ("unsafe", "stream"):
                self.unrepeatable.add(request)
            if answer.status in PROMISES:
                self.refused.add(request)
            is_good = answer.status == 200 and answer.is_complete
            self.recent.append((at_s, is_good))
            self.answered += is_good
        if answer.status == 200:
            self._check_body(kind, request, answer)

    def _check_body(self, kind, request, answer):
        found = answer.header("X-Bilberryturn-Attempt-Id")
        if found != request:
            self.fault(f"{request}: got the answer to {found}")
        if kind in ("safe", "unsafe"):
            expected = f"answer to {request}".encode()
        else:
            expected = b"".join(
                scripted.event(n + 1) for n in range(testbed_module.EVENTS)
            )
        if answer.is_complete and answer.body != expected:
            self.fault(f"{request}: a whole answer reads {answer.body!r}")
        if not expected.startswith(answer.body):
            self.fault(f"{request}: a part reads {answer.body!r}")

    def check_end(self, runs):
        """Compare promises with what the backend servers ran."""
        for request in self.unrepeatable:
            if runs.get(request, 0) > 1:
                self.fault(f"{request}: ran {runs[request]} times")
        for request in self.refused & self.unrepeatable:
            if runs.get(request):
                self.fault(f"{request}: refused as not run, but ran")


class Caller(threading.Thread):
    """Sends one request after the other on kept connections."""

    def __init__(self, number, world, verdicts, stopping, seed):
        super().__init__(daemon=True)
        self._number = number
        self._world = world
        self._verdicts = verdicts
        self._stopping = stopping
        self._numbers = random.Random(seed)
        self._connection = None

    def run(self):
        count = 0
        while not self._stopping.is_set():
            count += 1
            kind = self._numbers.choice(KINDS)
            request = f"c{self._number}-{count}-{kind}"
            try:
                self._ask(kind, request)
            except OSError:
                # The node's process ended or is paused; another is next.
                self._drop()
            self._stopping.wait(PAUSE_S)

    def _ask(self, kind, request):
        if self._connection is None:
            node = self._numbers.choice(self._world.nodes)
            self._connection = socket.create_connection((node.ip, node.port), 1)
            self._connection.settimeout(4)
        data = gateway_rig.request_text(
            kind,
            request,
            key="key-a",
            extra="X-Bilberryturn-Deadline-Ms: 3000\r\n",
        )
        self._connection.sendall(data)
        answer = gateway_rig.read_answer(self._connection)
        self._verdicts.note(kind, request, answer, time.monotonic())
        closes = (
            not answer.is_complete or answer.header("connection") == "close"
        )
        if closes or self._numbers.random() < 0.1:
            self._drop()

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None
