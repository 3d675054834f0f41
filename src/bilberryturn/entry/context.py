"""State that is shared by the threads that serve callers."""

import collections
from collections.abc import Callable
import itertools
import threading
import time
from typing import Any
from typing import NamedTuple

from bilberryturn import backends
from bilberryturn import brokers
from bilberryturn import conf
from bilberryturn import declarations
from bilberryturn import messages
from bilberryturn import platform
from bilberryturn import scheduling

MAX_ENDED_TRACES = 2000


class Cancelled(NamedTuple):
    """Inbox event that cancels an exchange with a RequestError."""

    error: Exception


class RunningRequests:
    """Index of running requests, with the traces of recently ended ones."""

    def __init__(self, node_name: str, incarnation: int):
        self._prefix = f"{node_name}-{incarnation:x}"
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._running: dict[str, Any] = {}
        self._traces: collections.OrderedDict[str, list] = (
            collections.OrderedDict()
        )

    def new_id(self) -> str:
        """Return a request identifier that is never reused."""
        return f"{self._prefix}-{next(self._numbers):x}"

    def add(self, exchange) -> None:
        """Add a running request."""
        with self._lock:
            self._running[exchange.request_id] = exchange

    def remove(self, exchange) -> None:
        """Remove a request but keep its trace."""
        with self._lock:
            self._running.pop(exchange.request_id, None)
            self._traces[exchange.request_id] = exchange.trace
            while len(self._traces) > MAX_ENDED_TRACES:
                self._traces.popitem(last=False)

    def count(self) -> int:
        """Return the number of running requests."""
        with self._lock:
            return len(self._running)

    def all(self) -> list:
        """Return the running requests."""
        with self._lock:
            return list(self._running.values())

    def trace(self, request_id: str) -> list | None:
        """Return the trace of a request, or None if it is unknown."""
        with self._lock:
            running = self._running.get(request_id)
            if running is not None:
                return list(running.trace)
            return self._traces.get(request_id)


class SharedSuspects:
    """Thread-safe suspect registry that announces changes to peers."""

    def __init__(self, announce: Callable[[messages.kinds.SuspectMark], None]):
        self._registry = scheduling.SuspectRegistry()
        self._lock = threading.Lock()
        self._announce = announce

    def classify(self, fingerprint: str) -> str:
        """Return CLEAR, ISOLATE or QUARANTINED for a fingerprint."""
        with self._lock:
            return self._registry.classify(fingerprint, time.monotonic())

    def record_crash(self, fingerprint: str, was_isolated: bool) -> int:
        """Record a crash for a fingerprint; returns its number of marks."""
        now_s = time.monotonic()
        with self._lock:
            marks = self._registry.record_crash(
                fingerprint, now_s, was_isolated
            )
            ttl_s = self._registry.remaining_s(fingerprint, now_s)
        self._announce(messages.kinds.SuspectMark(fingerprint, marks, ttl_s))
        return marks

    def record_success(self, fingerprint: str) -> None:
        """Clear the marks of a fingerprint."""
        with self._lock:
            had_marks = self._registry.record_success(fingerprint)
        if had_marks:
            self._announce(messages.kinds.SuspectMark(fingerprint, 0, 0.0))

    def merge(self, message: messages.kinds.SuspectMark) -> None:
        """Merge a mark received from a peer."""
        with self._lock:
            self._registry.merge(
                message.fingerprint,
                message.marks,
                message.ttl_s,
                time.monotonic(),
            )

    def quarantined(self) -> dict[str, float]:
        """Return the remaining seconds of each quarantined fingerprint."""
        with self._lock:
            return self._registry.quarantined(time.monotonic())


class EntryContext:
    """Components and state of the node that requests use.

    Attributes:
        has_vm_list: Whether a VM list has been read.
        is_isolated: Whether the node has been cut off from key withdrawals
            for longer than the limit.
        is_draining: Whether the load balancer should use other nodes.
        is_stopping: Whether the node rejects new requests.
    """

    def __init__(
        self,
        settings: conf.Settings,
        hasher: declarations.KeyHasher,
        control: messages.ControlLoop,
        grants: brokers.GrantClient,
        router: brokers.PoolRouter,
        stream_loop: backends.StreamLoop,
        table: platform.TableService,
        running: RunningRequests,
        suspects: SharedSuspects,
        record_usage: Callable[[str, str, int, int, int], Any],
    ):
        self.settings = settings
        self.hasher = hasher
        self.control = control
        self.grants = grants
        self.router = router
        self.stream_loop = stream_loop
        self.table = table
        self.running = running
        self.suspects = suspects
        self.record_usage = record_usage
        self.declared = declarations.Declarations()
        self.has_vm_list = False
        self.is_isolated = False
        self.is_draining = False
        self.is_stopping = False
