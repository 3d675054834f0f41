"""Callers that try each request once, at a node of their own choice."""

import concurrent.futures
import random
import socket
import threading
import time
from typing import NamedTuple

from soak import callers
from soak import checks
from soak import connections
from support import gateway_rig

CONNECT_TIMEOUT_S = 1.0
# Time beyond the limit of a request until its caller gives up waiting.
ANSWER_SLACK_S = 1.0
MAX_RUNNING = 150
# How long servers work on requests.
DURATIONS_S = (0.0, 0.02, 0.06, 0.15, 0.3)


class Try(NamedTuple):
    """The first and only try of a request.

    Attributes:
        sent_s: Seconds after the traffic began.
        duration_s: Time until it ended for the caller.
        status: Status of the answer, or 0.
        error: Why there is no answer, or "".
        is_served: Whether it has got a whole answer with status 200.
    """

    request: str
    node_name: str
    sent_s: float
    duration_s: float
    status: int
    error: str
    is_served: bool


class Traffic:
    """Requests of all kinds from callers that try once.

    Alike requests come again and again, so that one is refused if a fault of a
    path is taken for a crash of servers under it.

    Attributes:
        tries: All tries that have ended.
        checker: Checks the answers.
    """

    def __init__(self, testbed, rate_per_s, limit_s, seed):
        self.tries = []
        self.checker = checks.InvariantChecker()
        self._testbed = testbed
        self._rate_per_s = rate_per_s
        self._limit_s = limit_s
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._began_s = 0.0

    def run(self, duration_s, events=()):
        """Send requests for some time and wait until all have ended.

        Args:
            duration_s: Time in which requests are sent.
            events: Pairs of a time after the begin, in seconds, and a function
                that is called then.
        """
        self._began_s = time.monotonic()
        acting = threading.Thread(target=self._act, args=(events,))
        acting.start()
        with concurrent.futures.ThreadPoolExecutor(MAX_RUNNING) as pool:
            for number in range(int(self._rate_per_s * duration_s)):
                self._wait_until(number / self._rate_per_s)
                pool.submit(self._try, *self._next(number))
        acting.join()

    def problems(self):
        """Return false answers and false numbers of runs, as texts."""
        self.checker.check_end(self._testbed.record.runs)
        return [*self.checker.violations, *self._testbed.record.violations]

    def _act(self, events):
        for at_s, function in events:
            self._wait_until(at_s)
            function()

    def _wait_until(self, at_s):
        time.sleep(max(0.0, self._began_s + at_s - time.monotonic()))

    def _next(self, number):
        kind = self._rng.choice(callers.KINDS)
        planned = connections.PlannedRequest(
            kind,
            f"t{number}-{kind}",
            self._rng.choice(DURATIONS_S),
            self._limit_s,
        )
        body = self._rng.choice((b"", callers.BODY))
        return planned, body, self._rng.choice(self._testbed.nodes)

    def _try(self, planned, body, node):
        sent_s = time.monotonic()
        problem = ""
        try:
            answer = self._send(planned, body, node)
        except OSError as error:
            problem = repr(error)
            answer = gateway_rig.Answer("", b"", False)
        except (AssertionError, ValueError) as error:
            self.checker.add_violation(f"{planned.request}: {error!r}")
            answer = gateway_rig.Answer("", b"", False)
        ended_s = time.monotonic()
        self.checker.check_answer(planned, answer, ended_s)
        ended = Try(
            planned.request,
            node.name,
            sent_s - self._began_s,
            ended_s - sent_s,
            answer.status,
            problem,
            answer.status == 200 and answer.is_complete,
        )
        with self._lock:
            self.tries.append(ended)

    def _send(self, planned, body, node):
        limit_ms = round(planned.limit_s * 1000)
        data = gateway_rig.request_text(
            planned.kind,
            planned.request,
            key="key-a",
            extra=f"X-Bilberryturn-Deadline-Ms: {limit_ms}\r\n",
            body=body,
            path=str(round(planned.duration_s * 1000)),
        )
        with socket.create_connection(
            (node.ip, node.port), CONNECT_TIMEOUT_S
        ) as connection:
            connection.settimeout(planned.limit_s + ANSWER_SLACK_S)
            return gateway_rig.send_request(0, data, connection)
