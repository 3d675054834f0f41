"""Steps of issuers.feature: the nodes that issue permits are away."""

import collections
import contextlib
import functools
import heapq
import itertools
import random
import types as python_types
from unittest import mock

import behave

from bilberryturn.gateway import issuer_checks
from bilberryturn.gateway import permits
from bilberryturn.gateway import upstream
from bilberryturn.routing import directory
from bilberryturn.routing import permits as routing_permits
from bilberryturn.routing import slow_start
from support import gateway_rig

# As the users' rule states.
SETTLE_S = 4.0
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
AWAY_AT_S = 10.0
END_S = 30.0
ASKS_PER_S = 40.0
SERVER = gateway_rig.make_server("s", 80, failure_domain="zone-0")


def _finish(coroutine):
    """Return the result of a coroutine that never has to wait."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("a permit had to wait")


class _Checks(issuer_checks.IssuerChecks):
    """Checks whose results come after the time that calls take."""

    def __init__(self, fleet, pool):
        super().__init__(pool)
        self._fleet = fleet

    def _start(self, node, now_s):
        is_silent = self._fleet.state[node] in ("frozen", "off")
        delay_s = issuer_checks.CHECK_TIMEOUT_S if is_silent else 0.04
        self._pending[node] = None
        self._fleet.later(now_s + delay_s, self._end_check, node, now_s)

    def _end_check(self, node, began_s):
        _finish(self._check(node, began_s))
        del self._pending[node]


class _Pool:
    """Calls other nodes of the fleet at once."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self._own = own

    async def call(self, address, call, timeout_s, max_body_bytes):
        fleet = self._fleet
        state = fleet.state[address]
        if state == "ended":
            raise upstream.UpstreamError("cannot connect", False, True)
        if state != "up" or fleet.is_lost(self._own, address):
            raise upstream.UpstreamError("no answer in time", True)
        if not fleet.nodes[address].can_issue():
            return upstream.Reply(issuer_checks.NO_ISSUER_STATUS, b"")
        if call.target == issuer_checks.PATH.encode():
            return upstream.Reply(200, b"")
        return upstream.Reply(200, fleet.nodes[address].issue(call.body))


class _Fleet:
    """Nodes that share the permits of a server, in virtual time.

    Attributes:
        arrivals: Times at which requests reached the server.
        state: Whether each node is up, ended, frozen or off.
        knows_at_s: Time from which on a node knows the others.
        is_lost: Returns whether a call from a node to another one is lost.
    """

    def __init__(self, nodes, domains, limit, seed=29):
        self.rng = random.Random(seed)
        self.limit = limit
        self.now_s = 0.0
        self.addresses = [f"10.{n % domains}.0.{n}:1" for n in range(nodes)]
        self.state = dict.fromkeys(self.addresses, "up")
        self.knows_at_s = collections.defaultdict(float)
        self.is_lost = lambda node, other: False
        self.arrivals = []
        self.nodes = {}
        self._later = []
        self._ids = itertools.count()
        with self.virtual_time():
            for address in self.addresses:
                self.start(address)
        self.order = routing_permits.issuers(
            SERVER.server_id, self.in_domain("zone-0"), self.addresses
        )

    def start(self, address):
        servers = directory.Directory()
        known_s = max(self.now_s, self.knows_at_s[address])
        self.later(known_s, servers.report, SERVER, known_s)
        pool = _Pool(self, address)
        self.nodes[address] = permits.Permits(
            servers,
            lambda server: slow_start.Limit(self.limit, False),
            pool,
            permits.Peers(
                address,
                self.in_domain,
                lambda: self.now_s >= self.knows_at_s[address],
            ),
            lambda: 1.7e9 + self.now_s,
            _Checks(self, pool),
        )

    def in_domain(self, domain):
        if not domain:
            return list(self.addresses)
        number = domain.rpartition("-")[2]
        return [a for a in self.addresses if a.split(".")[1] == number]

    def later(self, at_s, function, *arguments):
        heapq.heappush(
            self._later, (at_s, next(self._ids), function, arguments)
        )

    def leave(self, address, state):
        if self.state[address] == "up":
            self.state[address] = state

    def come_back(self, address):
        if self.state[address] in ("ended", "off"):
            self.start(address)
        self.state[address] = "up"

    def be_away(self, addresses, state, at_s, away_s):
        for address in addresses:
            self.later(at_s, self.leave, address, state)
            self.later(at_s + away_s, self.come_back, address)

    def virtual_time(self):
        """Return a context in which nodes see the fleet's time and luck."""
        clock = python_types.SimpleNamespace(monotonic=lambda: self.now_s)
        waits = functools.partial(routing_permits.Waits, self.rng)
        stack = contextlib.ExitStack()
        stack.enter_context(mock.patch.object(permits, "time", clock))
        stack.enter_context(mock.patch.object(routing_permits, "Waits", waits))
        return stack

    def run(self, end_s=END_S):
        next_s = 0.0
        with self.virtual_time():
            while next_s < end_s:
                while self._later and self._later[0][0] <= next_s:
                    self.now_s, _, function, arguments = heapq.heappop(
                        self._later
                    )
                    function(*arguments)
                self.now_s = next_s
                self._send(self.rng.choice(self.addresses))
                next_s += self.rng.expovariate(ASKS_PER_S + 4 * self.limit)

    def _send(self, address):
        node = self.nodes[address]
        if self.state[address] != "up":
            return
        if node.wait_s(SERVER.lifetime, 0, self.now_s) > 0:
            return
        if _finish(node.acquire(SERVER, 0)):
            self.arrivals.append(self.now_s)

    def most(self):
        """Return the most requests in any window."""
        settled = [t for t in self.arrivals if t >= SETTLE_S]
        window, most = collections.deque(), 0
        for at_s in settled:
            window.append(at_s)
            while window[0] <= at_s - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most

    def check_limit(self, name=""):
        allowed = LIMIT_RATIO * self.limit * WINDOW_S + LIMIT_SLACK
        assert self.most() <= allowed, (name, self.most(), allowed)

    def check_use(self, share, from_s, to_s):
        found = sum(from_s <= t < to_s for t in self.arrivals)
        least = share * self.limit * (to_s - from_s)
        assert found >= least, (found, least, from_s, to_s)


@behave.given(
    "{nodes:d} nodes in {domains:d} failure domains before a server that takes"
    " {limit:g} requests a second"
)
def given_fleet(context, nodes, domains, limit):
    context.fleet = _Fleet(nodes, domains, limit)


STATES = {"end": "ended", "freeze": "frozen", "lose power": "off"}


@behave.when(
    "{which} that may issue its permits, as they {are_away}, are away for"
    " {away_s:g} s"
)
def when_away(context, which, are_away, away_s):
    fleet = context.fleet
    context.away_s = away_s
    addresses = {
        "the first node": fleet.order[:1],
        "the first two nodes": fleet.order[:2],
        "all nodes of a domain": fleet.in_domain("zone-0"),
    }[which]
    fleet.be_away(addresses, STATES[are_away], AWAY_AT_S, away_s)
    fleet.run()


@behave.when(
    "the first node ends for {down_s:g} s and reaches neither store nor nodes"
    " for {unknown_s:g} s more"
)
def when_unknowing(context, down_s, unknown_s):
    fleet = context.fleet
    first = fleet.order[0]
    context.away_s = down_s + unknown_s
    fleet.be_away([first], "ended", AWAY_AT_S, down_s)
    knows_at_s = AWAY_AT_S + context.away_s
    fleet.later(AWAY_AT_S, fleet.knows_at_s.update, {first: knows_at_s})
    fleet.run()


@behave.then(
    "the server gets at most half more than its limit and 5 requests in any 4 s"
)
def then_kept(context):
    context.fleet.check_limit()


@behave.then(
    "it gets at least {share:g} of its limit meanwhile, and 3 quarters again"
    " 6 s later"
)
def then_used(context, share):
    back_s = AWAY_AT_S + context.away_s
    context.fleet.check_use(share, AWAY_AT_S, back_s)
    context.fleet.check_use(0.75, back_s + 6.0, END_S)


@behave.when("for {time_s:g} s {paths}")
def when_paths(context, paths, time_s):
    fleet = context.fleet
    first, third = fleet.order[0], set(fleet.addresses[::3])
    lost = {
        "half of the calls are lost": lambda node, other: (
            fleet.rng.random() < 1 / 2
        ),
        "two thirds of the calls are lost": lambda node, other: (
            fleet.rng.random() < 2 / 3
        ),
        "a third of the nodes miss the first one": lambda node, other: (
            other == first and node in third
        ),
    }[paths]
    fleet.later(AWAY_AT_S, setattr, fleet, "is_lost", lost)
    whole = fleet.is_lost
    fleet.later(AWAY_AT_S + time_s, setattr, fleet, "is_lost", whole)
    fleet.run()


@behave.given(
    "seeds {first:d} to {last:d} of {least:d} to {most:d} nodes before a server"
    " that takes {low:g} to {high:g} requests a second"
)
def given_seeds(context, first, last, least, most, low, high):
    context.fleets = {}
    for seed in range(first, last + 1):
        rng = random.Random(seed)
        limit = round(rng.uniform(low, high), 1)
        context.fleets[seed] = _Fleet(rng.randint(least, most), 3, limit, seed)


@behave.when("nodes and failure domains are away one after another and at once")
def when_series(context):
    for fleet in context.fleets.values():
        rng = fleet.rng
        at_s = 5.0
        while at_s < END_S - 5.0:
            addresses = rng.choice(
                (
                    fleet.order[:1],
                    fleet.order[:2],
                    fleet.in_domain("zone-0"),
                    rng.sample(fleet.addresses, 2),
                )
            )
            state = rng.choice(list(STATES.values()))
            fleet.be_away(addresses, state, at_s, rng.uniform(1.0, 6.0))
            at_s += rng.uniform(0.5, 8.0)
        fleet.run()


@behave.then(
    "the server gets at most half more than its limit and 5 requests in any 4 s"
    " of each"
)
def then_all_kept(context):
    for seed, fleet in context.fleets.items():
        fleet.check_limit(f"seed {seed}")


@behave.then("it gets at least half of its limit over all")
def then_half(context):
    found = sum(len(fleet.arrivals) for fleet in context.fleets.values())
    taken = sum(fleet.limit * END_S for fleet in context.fleets.values())
    assert found >= taken / 2, (found, taken)


@behave.when("the first {count:d} nodes lose power and never come back")
def when_gone(context, count):
    fleet = context.fleet
    for address in fleet.order[:count]:
        fleet.later(AWAY_AT_S - 5.0, fleet.leave, address, "off")
    fleet.run()


@behave.then("it gets at least {share:g} of its limit from {from_s:g} s on")
def then_used_later(context, share, from_s):
    context.fleet.check_use(share, from_s, END_S)
