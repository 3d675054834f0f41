"""Simulates nodes before brittle servers, in virtual time without a network.

The nodes' exchanges, choices and calls to each other are the product's; their
attempts and the servers are simulated.
"""

import asyncio
import collections
import contextlib
import heapq
import itertools
import random
import sys
import time
import types as python_types
from unittest import mock

from bilberryturn import events
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import exchange
from bilberryturn.gateway import permits
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from bilberryturn.routing import permits as permit_rules
from support import gateway_rig

START_UNIX_S = 1.7e9
SLOTS = 4
# Requests that a server lets wait before and after it lets fewer wait.
WIDE_ROOM = 12
NARROW_ROOM = 5
# Rejections in a second that a server withstands.
WITHSTOOD = 6
DOWN_S = 3.0
MEAN_RUN_S = 0.2
SERVER_PER_S = SLOTS / MEAN_RUN_S
# Servers say that they are brittle between these times.
BRITTLE_S = (5.0, 21.0)
NARROW_S = 9.0
END_S = 21.0
DOMAINS = 3
# Share of the nodes to which half of the callers send.
BUSY_SHARE = 0.1
TRIES = 2
MAX_ENTRY_AGE_S = 2.2


@python_types.coroutine
def park(register):
    """Wait until a function that is passed to `register` is called."""
    return (yield register)


class _Task:
    """Runs a coroutine that waits by `park` only."""

    def __init__(self, fleet, coroutine):
        self._tasks = fleet.tasks
        self._coroutine = coroutine
        self._tasks.add(self)
        self.resume(None)

    def resume(self, value):
        try:
            register = self._coroutine.send(value)
        except StopIteration:
            self._tasks.discard(self)
            return
        register(self.resume)

    def close(self):
        self._tasks.discard(self)
        self._coroutine.close()

    def add_done_callback(self, function):
        pass


class _Server:
    """A server with slots and a room in which requests wait."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_down = False
        self.falls = 0
        self.rejected_s = collections.deque()
        self._running = {}
        self._waiting = collections.deque()
        self._ids = itertools.count()

    def room(self):
        return NARROW_ROOM if self.fleet.now_s >= NARROW_S else WIDE_ROOM

    def headers(self):
        begin_s, end_s = BRITTLE_S
        if begin_s <= self.fleet.now_s < end_s:
            return [(b"server-brittle", b"%d" % WITHSTOOD)]
        return []

    async def serve(self):
        """Return the status of the answer; 0 if refused, None if cut."""
        if self.is_down:
            return 0
        if len(self._running) >= SLOTS and len(self._waiting) >= self.room():
            self._reject()
            return 503
        return await park(self._enter)

    def _reject(self):
        now_s = self.fleet.now_s
        if now_s < NARROW_S:
            return
        self.rejected_s.append(now_s)
        while self.rejected_s[0] <= now_s - 1.0:
            self.rejected_s.popleft()
        if len(self.rejected_s) > WITHSTOOD:
            self.falls += 1
            self.end()

    def _enter(self, resume):
        self._waiting.append(resume)
        self._start_next()

    def _start_next(self):
        while self._waiting and len(self._running) < SLOTS:
            resume = self._waiting.popleft()
            number = next(self._ids)
            self._running[number] = resume
            run_s = self.fleet.rng.uniform(0.5, 1.5) * MEAN_RUN_S
            self.fleet.later(run_s, self._finish, number)

    def _finish(self, number):
        resume = self._running.pop(number, None)
        if resume is not None:
            self._start_next()
            resume(200)

    def end(self):
        """End the server, which is back after some seconds."""
        self.is_down = True
        cut = [*self._running.values(), *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.rejected_s.clear()
        self.fleet.later(DOWN_S, self._start)
        for resume in cut:
            self.fleet.later(0.0, resume, None)

    def _start(self):
        self.is_down = False
        self.fleet.report_start(self.name)


class _Attempt:
    """Sends a request to a simulated server."""

    fleet = None

    def __init__(self, request, chosen, caller_delivery, shared, moved_from):
        self._request = request
        self._chosen = chosen
        self._delivery = caller_delivery
        self._shared = shared
        self.was_sent = False
        self.is_framed = True
        self.limit_left_s = None
        self.via = None

    def move_state(self):
        return None

    async def run(self, may_try_another):
        fleet, shared, server = self.fleet, self._shared, self._chosen.server
        self._delivery.begin_attempt()
        in_flight = shared.load_balancer.begin(
            self._chosen, self._request.requirements, fleet.now_s
        )
        await fleet.sleep(fleet.delay_s())
        backend = fleet.servers[server.server_id]
        status = await backend.serve()
        self.was_sent = status != 0
        await fleet.sleep(fleet.delay_s())
        outcome = {200: True, 503: None}.get(status, False)
        shared.load_balancer.end(in_flight, outcome, fleet.now_s)
        if not status:
            shared.availability.record_end(server)
            return attempt_types.AttemptFailed("ended", self.was_sent)
        headers = backend.headers()
        if status == 503:
            headers.append((wire.NOT_RUN, b"1"))
        head = wire.read_server_response(status, headers)
        shared.availability.observe(server, head)
        if status == 503:
            fields = attempt_types.NotRun._fields
            return attempt_types.NotRun(*(status for _ in fields))
        holding = shared.memory.open(lambda: None)
        return attempt_types.Response(head, b"", holding)


class _Caller:
    """Receives the answer to one try."""

    status = 0
    retry_after_s = 0.0

    def send_response(self, status, headers, body):
        self.status = status
        for name, value in headers:
            if name.lower() == b"retry-after":
                self.retry_after_s = float(value)

    def abort(self):
        self.status = 0


class _Pool(upstream.ConnectionPool):
    """Calls other nodes, unless the path is cut."""

    def __init__(self, fleet, own):
        super().__init__()
        self._fleet = fleet
        self._own = own

    async def call(self, address, call, timeout_s, max_body_bytes):
        fleet = self._fleet
        fleet.calls += 1
        if fleet.is_cut(self._own, address):
            await fleet.sleep(timeout_s)
            raise upstream.UpstreamError("no answer in time", True)
        await fleet.sleep(fleet.delay_s())
        node = fleet.nodes[address].shared.availability
        path = call.target.decode()
        if path == permits.PATH:
            body = node.permits.issue(call.body)
        else:
            issue = {"/place": "issue", "/place-end": "end"}[path]
            body = getattr(node.places, issue)(call.body)
        await fleet.sleep(fleet.delay_s())
        return upstream.Reply(200, body)


class _Node:
    """The state of one node."""

    def __init__(self, fleet, number):
        self.address = f"10.{number % DOMAINS}.0.{number}:1"
        self.domain = f"zone-{number % DOMAINS}"
        self.shared = shared_state.SharedState(
            self.domain,
            shared_state.RetryLimits(0.2, 10.0, 10.0),
            5.0,
            _Pool(fleet, self.address),
            fleet.time_of_day,
            peers=permits.Peers(self.address, fleet.in_domain),
        )
        self.shared.table = gateway_rig.make_table()


class Fleet:
    """Nodes, servers and callers.

    Attributes:
        load: Returns the load as a share of what the servers take at a time.
        is_cut: Returns whether a node doesn't reach another one.
        calls: Calls between nodes.
        sent: Requests of callers that began while fewer may wait.
        served: Those of them that were served.
    """

    def __init__(self, nodes, servers, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.load = lambda now_s: 0.6
        self.is_cut = lambda node, other: False
        self.calls = 0
        self.sent = 0
        self.served = 0
        self.waited_s = 0.0
        self.tasks = set()
        self._later = []
        self._ids = itertools.count()
        self._request_ids = itertools.count()
        seeded = python_types.SimpleNamespace(
            Random=lambda: random.Random(self.rng.random())
        )
        with (
            self._virtual_time(),
            mock.patch.object(permit_rules, "random", seeded),
        ):
            made = [_Node(self, number) for number in range(nodes)]
        self.nodes = {node.address: node for node in made}
        self._addresses = list(self.nodes)
        self.servers = {f"s{n}": _Server(self, f"s{n}") for n in range(servers)}
        self.entries = {
            name: gateway_rig.make_server(
                name,
                80,
                slots=SLOTS,
                failure_domain=f"zone-{number % DOMAINS}",
                started_ms=int((START_UNIX_S - 60) * 1000),
            )
            for number, name in enumerate(self.servers)
        }
        for node in made:
            node.shared.set_node_count(nodes)
            for entry in self.entries.values():
                node.shared.directory.report(entry, 0.0)

    def in_domain(self, domain):
        found = [
            a
            for a in self._addresses
            if not domain or f"zone-{a.split('.')[1]}" == domain
        ]
        return found or self._addresses

    def time_of_day(self):
        return START_UNIX_S + self.now_s

    def delay_s(self):
        """Return the time of one way between two processes."""
        return self.rng.uniform(0.0003, 0.002)

    def later(self, after_s, function, *arguments):
        heapq.heappush(
            self._later,
            (self.now_s + after_s, next(self._ids), function, arguments),
        )

    async def sleep(self, time_s):
        await park(lambda resume: self.later(time_s, resume, None))

    def create_task(self, coroutine):
        return _Task(self, coroutine)

    def report_start(self, name):
        """Tell all nodes of a server that started again, at various times."""
        entry = self.entries[name]._replace(
            started_ms=int(self.time_of_day() * 1000)
        )
        self.entries[name] = entry
        for node in self.nodes.values():
            self.later(
                self.rng.uniform(0.1, MAX_ENTRY_AGE_S),
                node.shared.directory.report,
                entry,
                self.now_s,
            )

    def falls(self):
        """Return how often servers fell over."""
        return sum(server.falls for server in self.servers.values())

    def per_s(self):
        """Return the requests a second that all servers serve."""
        return SERVER_PER_S * len(self.servers)

    def possible(self):
        """Return the requests that the servers can serve of those sent."""
        return min(self.sent, self.per_s() * (END_S - 1.0 - NARROW_S))

    @contextlib.contextmanager
    def _virtual_time(self):
        clock = python_types.SimpleNamespace(
            monotonic=lambda: self.now_s, time=self.time_of_day
        )
        loop = python_types.SimpleNamespace(
            sleep=self.sleep,
            get_running_loop=lambda: self,
            CancelledError=asyncio.CancelledError,
            Task=asyncio.Task,
        )
        with contextlib.ExitStack() as stack:
            for name, module in list(sys.modules.items()):
                if not name.startswith("bilberryturn.gateway."):
                    continue
                if getattr(module, "time", None) is time:
                    stack.enter_context(
                        mock.patch.object(module, "time", clock)
                    )
                if name.rpartition(".")[2] in (
                    "availability",
                    "exchange",
                    "places",
                    "issuer_checks",
                ):
                    stack.enter_context(
                        mock.patch.object(module, "asyncio", loop)
                    )
            attempt = type("_Attempt", (_Attempt,), {"fleet": self})
            stack.enter_context(
                mock.patch.object(exchange.attempts, "Attempt", attempt)
            )
            stack.enter_context(
                mock.patch.object(events, "log", lambda *args, **fields: None)
            )
            yield

    def run(self):
        """Let callers send until the servers aren't brittle any more."""
        random.seed(self.rng.random())
        self.later(0.0, self._arrive)
        self.later(0.5, self._share_reports)
        with self._virtual_time():
            while self._later and self._later[0][0] < END_S:
                self.now_s, _, function, arguments = heapq.heappop(self._later)
                function(*arguments)
            while self.tasks:
                next(iter(self.tasks)).close()

    def _share_reports(self):
        """Pass on what nodes report to each other, every half second."""
        reports = {}
        for node in self.nodes.values():
            reports.update(node.shared.own_reports())
        for address, node in self.nodes.items():
            if reports:
                node.shared.merge_reports(address, reports)
        self.later(0.5, self._share_reports)

    def _arrive(self):
        rate = self.load(self.now_s) * self.per_s()
        self.later(self.rng.expovariate(rate), self._arrive)
        _Task(self, self._call())

    def _pick_node(self):
        busy = max(1, int(len(self._addresses) * BUSY_SHARE))
        is_busy = self.rng.random() < 0.5
        group = self._addresses[:busy] if is_busy else self._addresses
        return self.nodes[self.rng.choice(group)]

    async def _call(self):
        began_s = self.now_s
        is_counted = NARROW_S <= began_s < END_S - 1.0
        self.sent += is_counted
        for _ in range(TRIES):
            caller = await self._try_once(self._pick_node())
            if caller.status == 200:
                self.served += is_counted
                self.waited_s += is_counted * (self.now_s - began_s)
                return
            await self.sleep(
                (caller.retry_after_s or 0.1) * self.rng.uniform(1.0, 1.5)
            )

    async def _try_once(self, node):
        caller = _Caller()
        name = b"r%d" % next(self._request_ids)
        headers = wire.read_caller_headers(
            [
                (b"host", b"h.example"),
                (wire.REQUEST_ID, name),
                (b"authorization", b"Bearer " + gateway_rig.KEY.encode()),
            ]
        )
        incoming = exchange.delivery.IncomingRequest(
            b"GET", b"/safe/x", headers, b"", self.now_s
        )
        await exchange.Exchange(incoming, caller, node.shared).run()
        return caller
