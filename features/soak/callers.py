"""Callers that keep using their connections until the node closes them."""

import random
import threading
import time

from soak import connections
from support import gateway_rig

KINDS = ("safe", "unsafe", "resumable", "stream")
RETRY_PAUSE_S = 0.03
BODY = b"body of the request"
# Longer than any time limit: the backend server does not answer.
ENDLESS_S = 30.0
CALM_DURATION_S = 0.3
# Share of the callers that send short requests only, and so many of them.
QUICK_SHARE = 0.4
QUICK_DURATION_S = 0.06


class Caller(threading.Thread):
    """Sends requests over kept-alive connections, one round after another."""

    def __init__(self, number, testbed, checker, phases, seed):
        super().__init__(daemon=True)
        self._number = number
        self._testbed = testbed
        self._checker = checker
        self._phases = phases
        self._rng = random.Random(seed)
        self._is_quick = self._rng.random() < QUICK_SHARE
        self._connection = None
        self._retry_after_s = 0.0
        self._count = 0

    def run(self):
        while not self._phases.stopping.is_set():
            try:
                self._run_round()
            except OSError:
                # The node's process ended or is paused; choose a new node.
                self._phases.stopping.wait(RETRY_PAUSE_S)
            except (AssertionError, ValueError) as error:
                self._checker.add_violation(f"not an answer: {error}")
                self._close_connection(True)
        self._close_connection(False)

    def _run_round(self):
        if self._connection is None:
            node = self._rng.choice(self._testbed.nodes)
            self._connection = connections.Connection(node)
        send = self._rng.choices(
            (self._send_one, self._send_ahead, self._send_halves), (70, 15, 15)
        )[0]
        send()
        is_answer_lost = self._read_answers()
        is_done = self._rng.random() < 0.03
        if is_done or not self._connection.is_open:
            self._close_connection(is_answer_lost)
        self._phases.stopping.wait(self._pause_s())

    def _read_answers(self):
        """Read the pending answers; returns whether one is incomplete."""
        while self._connection.pending:
            planned, answer = self._connection.read_answer()
            if answer.head:
                self._checker.check_answer(planned, answer, time.monotonic())
            self._retry_after_s = float(answer.header("Retry-After") or 0)
            if not answer.is_complete:
                return True
        return False

    def _close_connection(self, is_answer_lost):
        if self._connection is None:
            return
        self._checker.add_lost(self._connection.close(is_answer_lost))
        self._connection = None

    # Ways to send.

    def _send_one(self):
        planned, data = self._next_request()
        self._connection.send(planned, [data])

    def _send_ahead(self):
        """Send requests before the answers to those ahead of them."""
        self._send_one()
        for _ in range(self._rng.choice((1, 1, 2))):
            gap_s = self._rng.choice((0.0, 0.01, self._rng.uniform(0, 2)))
            if not self._connection.read_for(gap_s):
                return
            self._send_one()

    def _send_halves(self):
        planned, data = self._next_request()
        cut = self._rng.randrange(1, len(data))
        pause_s = self._rng.choice((0.005, 0.3, self._rng.uniform(0, 2.5)))
        self._connection.send(planned, [data[:cut], data[cut:]], pause_s)

    def _pause_s(self):
        pause_s = self._rng.choice(
            (0.0, 0.0, self._rng.uniform(0, 0.005), self._rng.uniform(0, 0.05))
        )
        return max(pause_s, self._retry_after_s)

    def _next_request(self):
        self._count += 1
        kind = self._rng.choice(KINDS)
        request = f"c{self._number}-{self._count}-{kind}"
        planned = connections.PlannedRequest(
            kind,
            request,
            self._duration_s(),
            self._rng.choice((3.0, 6.0, 12.0)),
        )
        limit_ms = round(planned.limit_s * 1000)
        data = gateway_rig.request_text(
            kind,
            request,
            key="key-a",
            extra=f"X-Bilberryturn-Deadline-Ms: {limit_ms}\r\n",
            body=self._rng.choice((b"", BODY)),
            path=str(round(planned.duration_s * 1000)),
        )
        return planned, data

    def _duration_s(self):
        draw = self._rng.random()
        if self._phases.calm.is_set():
            return draw * CALM_DURATION_S
        if self._is_quick or draw < 0.5:
            return self._rng.uniform(0, QUICK_DURATION_S)
        if draw < 0.75:
            return self._rng.uniform(QUICK_DURATION_S, 1.0)
        if draw < 0.96:
            return self._rng.uniform(1.0, 7.0)
        return ENDLESS_S


class Phases:
    """Tells callers in which part of a run they are.

    Attributes:
        calm: Set when no more faults are injected; requests are short then.
        stopping: Set when callers must end.
    """

    def __init__(self):
        self.calm = threading.Event()
        self.stopping = threading.Event()
