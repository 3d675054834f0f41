"""Nodes of a deployment and its store in simulated time, without a network.

Runs the code of the nodes that calls the store, on one thread, and counts the
calls by path and table.
"""

import collections
import contextlib
import json
import random
import time
from unittest import mock
import urllib.parse

import expression
import msgspec

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.edge import duties
from bilberryturn.edge import feeds
from bilberryturn.edge import followers
from bilberryturn.edge import intervals
from bilberryturn.edge import peer_state
from bilberryturn.edge import presence
from bilberryturn.edge import relays
from bilberryturn.edge import shared_clock
from bilberryturn.edge import usage_windows
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import upstream
from bilberryturn.platform import duty_calls
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from support import platform_data
from support import store_standin

STEP_S = 0.05
TICK_S = 0.25
WINDOW_S = 5.0
DUE_S = 10.0
TIMES = intervals.from_bounds(4.0, 4.0, 5.0)
LEASE = leases.LeaseOptions(3.0, duties.LEASE_MARGIN_S)
STORE_TIMEOUT_S = 1.5
UTC_S = 1_000_000.0


class _Client:
    """Calls the store for one thread of a node.

    Attributes:
        calls: Number of calls by path and table.
        waited_s: Time spent in calls without an answer, since it was reset.
    """

    def __init__(self, fleet, node, timeout_s):
        self._fleet = fleet
        self._node = node
        self._timeout_s = timeout_s
        self.calls = collections.Counter()
        self.waited_s = 0.0

    def call(self, method, path, body=None, **_):
        """Make a call, as platform.http.HttpClient does."""
        path, _, query = path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        writes = (body or {}).get("write", ())
        tables = sorted({w["table"] for w in writes})
        table = arguments.get("table") or "+".join(tables) or "-"
        for calls in (self._fleet.calls, self.calls):
            calls[path, table] += 1
        fault = self._fleet.fault_of(self._node)
        if fault == "silent":
            self.waited_s += self._timeout_s
            return expression.Error(
                exceptions.PlatformUnreachableError("store", "timed out")
            )
        if fault:
            return expression.Ok(http.Response(503, b"", {}))
        if path in ("/usage", "/scale"):
            self._fleet.reports.append((self._fleet.now_s, path, body))
            return expression.Ok(http.Response(200, b"{}", {}))
        # The simulation makes a call that waits only once it has its answer.
        arguments["waitMs"] = "0"
        status, value = self._fleet.store.dispatch(
            path, urllib.parse.urlencode(arguments), json.dumps(body)
        )
        headers = {"store-era": "0"}
        return expression.Ok(
            http.Response(status, json.dumps(value).encode(), headers)
        )


class _PeerClients(dict):
    """Clients of peers by address; has each that is asked for."""

    def __init__(self, fleet):
        super().__init__()
        self._fleet = fleet

    def get(self, address, default=None):
        if address not in self:
            self[address] = _PeerClient(self._fleet, address)
        return self[address]


class _PeerClient:
    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    def call(self, method, path, request, is_idempotent=True):
        node = self._fleet.by_address.get(self._address)
        if node is None:
            return expression.Error(
                exceptions.PlatformUnreachableError("peer", "refused")
            )
        return expression.Ok(http.Response(200, node.answer(request), {}))


class Node:
    """One node: what its threads do, each when it is due.

    Attributes:
        clients: Clients of the store by thread.
        started_s: Time of its start.
    """

    def __init__(self, fleet, domain, name, address, is_first_start):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.address = address
        self.lifetime = f"{self.name}@{fleet.starts}"
        self.own_reports = {}
        # The default is the clock of the time before the simulation.
        self.clock = shared_clock.SharedClock(time_of_day=fleet.time_of_day_s)
        self.clients = {}
        self._eras = store_era.EraTracker()
        self.shared = shared_state.SharedState(
            domain,
            shared_state.RetryLimits(0.2, 1, 10),
            WINDOW_S,
            upstream.ConnectionPool(),
            self.clock.now_s,
        )
        self.raw = peer_state.RawState()
        self.applier = feeds.Applier(
            self.shared,
            self.raw,
            self.lifetime,
            lambda nodes: self.presence.take_nodes(nodes),
        )
        store = rows.RowStore(
            self._client("duties", STORE_TIMEOUT_S),
            self.clock.record_store_time,
            self._eras,
        )
        self._samples = shared_clock.OffsetSamples()
        self.writer = usage_windows.CountWriter(store, WINDOW_S)
        self.presence = presence.Presence(
            store, self.name, domain, self.address, (), self.applier.set_nodes
        )
        self.followers = [
            self._follower(
                rows.SERVER_TABLE,
                0.0,
                TIMES.server_poll_s,
                self.applier.on_servers_read,
            ),
            self._follower(
                rows.OPERATOR_TABLE,
                TIMES.config_wait_s,
                0.0,
                self.applier.on_config_read,
            ),
            self._follower(
                rows.SUSPECT_TABLE,
                TIMES.suspect_wait_s,
                TIMES.suspect_pause_s,
                self.applier.on_suspects_read,
            ),
        ]
        self._waits = (
            relays.FIRST_START_WAITS if is_first_start else relays.RESTART_WAITS
        )
        self.relay = relays.RelayClient(
            self.lifetime, self.address, domain, "", TIMES,
            self.presence.domain_peers, self.presence.peers, self._usage,
            lambda: self.own_reports, self.clock, self.followers,
            self.applier.known, self.applier.apply_peer_state,
            self.presence.first_read, self._waits, self._eras,
        )  # fmt: skip
        self.relay._clients = _PeerClients(fleet)
        self.duties = self._duty_runner(store, is_first_start)
        self.started_s = fleet.now_s
        self._polls = {}
        self._relay_starts = True
        # Time at which each thread goes on, and what it does then.
        self._jobs = [
            [fleet.now_s, self._tick],
            [fleet.now_s, self._run_duties],
            [fleet.now_s, self._run_relay],
            *(
                [fleet.now_s, lambda f=f: self._run_follower(f)]
                for f in self.followers
            ),
        ]

    def _client(self, thread, timeout_s):
        client = _Client(self.fleet, self, timeout_s)
        self.clients[thread] = client
        return client

    def _follower(self, table, wait_s, pause_s, deliver):
        follower = followers.Follower(
            table, "", wait_s, pause_s, "", deliver, self._eras
        )
        client = self._client(table, wait_s + followers.CALL_TIMEOUT_S)
        follower._store = rows.RowStore(client, era_tracker=self._eras)
        return follower

    def _duty_runner(self, store, is_first_start):
        lease = self.lease = leases.Lease("duties", self.name, LEASE, store)
        started_s = self.fleet.now_s
        reporter = usage_windows.Reporter(
            store,
            lease,
            duty_calls.DutyCalls(self.clients["duties"], self.name),
            WINDOW_S,
            DUE_S,
            (lambda: self.fleet.now_s - started_s) if is_first_start else None,
        )
        return duties.DutyRunner(
            lease, LEASE.ttl_s, self.presence, self._write, reporter, None,
            is_first_start, lambda: self.relay.reads_store, self.clock,
            shared_clock.OffsetKeeper(store, lease, self.clock, self._samples),
        )  # fmt: skip

    def _usage(self):
        return self.shared.usage.snapshot(self.clock.now_s())

    def _write(self, is_last):
        """Write the counts, as edge.node does."""
        self.writer.update_usage(self.lifetime, self._usage())
        self.writer.update_suspects(self.lifetime, self.own_reports)
        interval_s = usage_windows.write_interval_s(self.presence.count())
        self.writer.write(self.clock.now_s(), interval_s)

    def answer(self, request):
        """Answer a poll, as edge.node does."""
        self.writer.update_usage(request.lifetime, request.usage)
        self.writer.update_suspects(request.lifetime, request.suspects)
        self.applier.merge_suspects(request.lifetime, request.suspects)
        self._samples.record(request.lifetime, request.clock_offset_s)
        state = msgspec.structs.replace(
            self.raw.state(request.known()),
            store_s=self.clock.store_s(),
            utc_offset_s=self.clock.utc_offset_s,
        )
        return msgspec.json.encode(state)

    def knows_crash(self, request):
        """Return whether the node knows of a crash under a request."""
        evidence = self.shared.part_crashes.evidence(
            request, self.clock.now_s()
        )
        return evidence.crashes > 0

    def step(self, now_s):
        """Run the threads that are due."""
        for job in self._jobs:
            if now_s >= job[0]:
                job[0] = now_s + job[1]()

    def _tick(self):
        self.applier.expire()
        self.own_reports = self.shared.own_reports()
        self.applier.set_own_suspects(self.own_reports)
        return TICK_S

    def _run_duties(self):
        self.duties._step()
        return duties.STEP_INTERVAL_S + self._waited_s("duties")

    def _run_relay(self):
        if self._relay_starts:
            waited_s = self.fleet.now_s - self.started_s
            has_nodes = self.presence.first_read.is_set()
            if not has_nodes and waited_s < self._waits.peers_s:
                return 0.0
            self.relay.begin()
            self._relay_starts = False
        self.relay._step()
        return self.relay._pause_s()

    def _run_follower(self, follower):
        table = follower._table
        if table not in self._polls:
            if not follower.active.is_set():
                return 0.0
            self._polls[table] = self.fleet.now_s
        if follower._since is not None and not self.fleet.fault_of(self):
            waited_s = self.fleet.now_s - self._polls[table]
            changed = self.fleet.store.last_version(table) > follower._since
            if not changed and waited_s < follower._wait_s:
                return 0.0
        del self._polls[table]
        return follower._run_step() + self._waited_s(table)

    def _waited_s(self, thread):
        client = self.clients[thread]
        waited_s, client.waited_s = client.waited_s, 0.0
        return waited_s


class _Store(store_standin.MemoryStore):
    def last_version(self, table):
        """Return the version of the last change of a table."""
        for version, changed, _, _ in reversed(self.changes):
            if changed == table:
                return version
        return 0


class Fleet:
    """All nodes and the store.

    Attributes:
        now_s: Simulated time.
        calls: Number of calls by path and table.
        reports: Time, path and body of each order and usage report.
        faults: Fault of the calls by node name; all nodes under "".
    """

    def __init__(self, node_count, domain_count, seed):
        self.now_s = 1000.0
        self.calls = collections.Counter()
        self.reports = []
        self.faults = {}
        self.by_address = {}
        self.starts = 0
        self.rng = random.Random(seed)
        self.nodes = []
        self._node_count = node_count
        self._domain_count = domain_count
        self.store = _Store()
        self.write_config(1)
        for number in range(70):
            self.store.put("servers", f"s{number}", platform_data.make_entry())

    @contextlib.contextmanager
    def simulated_time(self):
        """Replace the clocks, and the log, while nodes run."""
        with (
            mock.patch.object(time, "monotonic", lambda: self.now_s),
            mock.patch.object(time, "clock_gettime", lambda _: self.now_s),
            mock.patch.object(time, "time", self.time_of_day_s),
            mock.patch.object(random, "uniform", self.rng.uniform),
            mock.patch.object(events, "log"),
        ):
            yield

    def time_of_day_s(self):
        """Return the time of day of all VMs."""
        return UTC_S + self.now_s

    def write_config(self, version):
        """Write a configuration, as the operator does."""
        self.store.put("op", "config", platform_data.make_config(version))

    def fault_of(self, node):
        """Return the fault of a node's calls, empty for none."""
        return self.faults.get("") or self.faults.get(node.name, "")

    def power_up(self, is_first_start, spread_s=0.3, act=None):
        """Start all nodes anew within some time."""
        self.starts += 1
        self.power_down()
        starting = sorted(
            (self.now_s + self.rng.uniform(0.0, spread_s), number)
            for number in range(self._node_count)
        )
        while starting:
            while starting and starting[0][0] <= self.now_s:
                number = starting.pop(0)[1]
                domain = f"zone-{number % self._domain_count}"
                self._start(
                    domain, f"n{number}", f"10.0.0.{number}:1", is_first_start
                )
            self.run(STEP_S, act)

    def _start(self, domain, name, address, is_first_start):
        with self.simulated_time():
            node = Node(self, domain, name, address, is_first_start)
        self.nodes.append(node)
        self.by_address[address] = node

    def replace(self, node, address):
        """End a node and start it again at another address."""
        self.nodes.remove(node)
        del self.by_address[node.address]
        self.starts += 1
        self._start(node.domain, node.name, address, is_first_start=False)

    def power_down(self):
        """End all nodes; the store keeps its rows."""
        self.by_address = {}
        self.nodes = []

    def run(self, duration_s, act=None):
        """Run for some simulated time; `act` is called in each step."""
        end_s = self.now_s + duration_s
        with self.simulated_time():
            while self.now_s < end_s - 1e-6:
                self.now_s += STEP_S
                if act is not None:
                    act()
                for node in self.nodes:
                    node.step(self.now_s)

    def take_calls(self):
        """Return the calls since the last time by path and table."""
        calls, self.calls = self.calls, collections.Counter()
        return calls

    def relays(self):
        """Return the nodes that are relays of their failure domain."""
        with self.simulated_time():
            return [n for n in self.nodes if not n.relay._candidates()]
