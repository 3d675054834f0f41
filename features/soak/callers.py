"""Sends requests through random nodes and checks the answers."""

import random
import socket
import threading
import time

from soak import testbed as testbed_module
from support import gateway_rig
from support import scripted

KINDS = ("safe", "unsafe", "resumable", "stream")
NOT_RUN_STATUSES = (408, 421, 429, 503)
PAUSE_S = 0.03


class InvariantChecker:
    """Collects the answers of all callers and invariant violations.

    Attributes:
        violations: Texts of the violations found.
        refused: Requests refused with a status that means not run.
        non_repeatable: Requests that may run at most once.
        success_count: Number of complete answers with status 200.
        results: Time in seconds and success of each answer.
    """

    def __init__(self):
        self.violations = []
        self.refused = set()
        self.non_repeatable = set()
        self.success_count = 0
        self.results = []
        self._lock = threading.Lock()

    def add_violation(self, text):
        with self._lock:
            self.violations.append(text)

    def check_answer(self, kind, request, answer, at_s):
        """Check an answer and record it for check_end."""
        with self._lock:
            if kind in ("unsafe", "stream"):
                self.non_repeatable.add(request)
            if answer.status in NOT_RUN_STATUSES:
                self.refused.add(request)
            is_good = answer.status == 200 and answer.is_complete
            self.results.append((at_s, is_good))
            self.success_count += is_good
        if answer.status == 200:
            self._check_body(kind, request, answer)

    def _check_body(self, kind, request, answer):
        answered_id = answer.header("X-Bilberryturn-Attempt-Id")
        if answered_id != request:
            self.add_violation(f"{request}: got the answer to {answered_id}")
        if kind in ("safe", "unsafe"):
            expected = f"answer to {request}".encode()
        else:
            expected = b"".join(
                scripted.event(n + 1) for n in range(testbed_module.EVENTS)
            )
        if answer.is_complete and answer.body != expected:
            self.add_violation(
                f"{request}: a complete answer reads {answer.body!r}"
            )
        if not expected.startswith(answer.body):
            self.add_violation(
                f"{request}: a truncated answer reads {answer.body!r}"
            )

    def check_end(self, runs):
        """Compare the answers with the number of runs on backend servers."""
        for request in self.non_repeatable:
            if runs.get(request, 0) > 1:
                self.add_violation(f"{request}: ran {runs[request]} times")
        for request in self.refused & self.non_repeatable:
            if runs.get(request):
                self.add_violation(f"{request}: refused as not run, but ran")


class Caller(threading.Thread):
    """Sends requests one after another over kept-alive connections."""

    def __init__(self, number, testbed, checker, stopping, seed):
        super().__init__(daemon=True)
        self._number = number
        self._testbed = testbed
        self._checker = checker
        self._stopping = stopping
        self._rng = random.Random(seed)
        self._connection = None

    def run(self):
        count = 0
        while not self._stopping.is_set():
            count += 1
            kind = self._rng.choice(KINDS)
            request = f"c{self._number}-{count}-{kind}"
            try:
                self._send_request(kind, request)
            except OSError:
                # The node's process ended or is paused; choose a new node.
                self._close_connection()
            self._stopping.wait(PAUSE_S)

    def _send_request(self, kind, request):
        if self._connection is None:
            node = self._rng.choice(self._testbed.nodes)
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
        self._checker.check_answer(kind, request, answer, time.monotonic())
        should_close = (
            not answer.is_complete or answer.header("connection") == "close"
        )
        if should_close or self._rng.random() < 0.1:
            self._close_connection()

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None
