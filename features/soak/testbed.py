"""Starts gateway nodes, backend servers and a store on loopback."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from bilberryturn_standins import ports
from bilberryturn_standins import proxy
from bilberryturn_standins import server as loop_server
from support import scripted
from support import store_standin

ROOT = pathlib.Path(__file__).resolve().parents[2]
STOP_GRACE_S = 4
TIMEOUT_MS = 12_000
# Time after its start in which a node reads the store and becomes ready.
STARTING_S = 3.0
READY_LIMIT_S = 30.0
# In the log line of a node that becomes ready.
READY_LINE = '"is_ready": true'
MIN_BACKENDS = 5
NODES_PER_BACKEND = 2
EVENTS = 6
HEALTH_PATH = "/healthz"
ROUTES = {
    "safe": {"type": "safe", "attempts": 2, "service": "app"},
    "unsafe": {"type": "unsafe", "attempts": 1, "service": "app"},
    "resumable": {
        "type": "stream",
        "attempts": 2,
        "resumable": True,
        "service": "llm",
    },
    "stream": {"type": "stream", "attempts": 1, "service": "llm"},
}


class BackendRecord:
    """Records the requests that all backend servers ran.

    Attributes:
        runs: Number of runs by request identifier.
        ended_s: Monotonic time at which the last run of a request ended.
        violations: Invariant violations seen by backend servers.
    """

    def __init__(self):
        self.runs = {}
        self.ended_s = {}
        self.violations = []
        self._lock = threading.Lock()

    def record_run(self, head, keys):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        with self._lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            if any(key in head for key in keys):
                self.violations.append(f"{request}: a backend server saw a key")
            account = scripted.header(head, "X-Bilberryturn-Tenant")
            if account != "workshop":
                self.violations.append(f"{request}: ran for {account}")

    def record_end(self, head):
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        with self._lock:
            self.ended_s[request] = time.monotonic()


class Node:
    """A gateway node that runs as a process and can be restarted.

    Attributes:
        is_stopping: Whether its process has got SIGTERM.
    """

    def __init__(self, testbed, number):
        self.number = number
        self.name = f"edge-{number}"
        self.ip = f"127.0.{testbed.subnet}.{number + 1}"
        self.port = ports.allocate()
        self.ready_port = ports.allocate()
        self.peer_port = ports.allocate()
        self._testbed = testbed
        self.process = None
        self._started_s = 0.0
        # Times of the first SIGTERM of each process.
        self._stops_s = []
        self.is_stopping = False
        self.log_path = testbed.folder / f"{self.name}.log"

    def write_settings(self, is_first):
        testbed = self._testbed
        seeds = ",".join(f"{n.ip}:{n.peer_port}" for n in testbed.nodes[:3])
        zone = testbed.zone_of(self.number)
        lines = [
            f"node={self.name}",
            f"ip={self.ip}",
            f"zone=zone-{zone}",
            f"listen.front={self.ip}:{self.port}",
            f"listen.ready={self.ip}:{self.ready_port}",
            f"listen.control={self.ip}:{self.peer_port}",
            f"seeds={seeds}",
            f"bootstrap={'true' if is_first else 'false'}",
            f"platform.addr={testbed.store_address}",
            f"cloud.addr={testbed.store_address}",
            "cloud.duties=usage",
            f"bounds.graceS={testbed.stop_grace_s}",
            "bounds.leaseMs=2000",
            "bounds.usageWindowS=2",
            "bounds.usageDelayS=6",
            *testbed.settings,
        ]
        self.settings_path = testbed.folder / f"{self.name}.conf"
        self.settings_path.write_text("\n".join(lines) + "\n", "utf-8")

    def start(self, is_first=False):
        self.write_settings(is_first)
        self._started_s = time.monotonic()
        self.is_stopping = False
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "deploy/edge.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "BILBERRYTURN_SETTINGS": str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def wait_ready(self, count=1):
        """Wait until the node has become ready for the given time."""
        limit_s = time.monotonic() + READY_LIMIT_S
        while self.log_path.read_text("utf-8").count(READY_LINE) < count:
            assert self.is_running(), self.process.poll()
            assert time.monotonic() < limit_s, "the node is not ready"
            time.sleep(0.05)

    def is_serving(self):
        """Return whether the node has had time to start and is not stopping."""
        age_s = time.monotonic() - self._started_s
        return self.is_running() and not self.is_stopping and age_s > STARTING_S

    def stop(self):
        """Send SIGTERM, which may be sent again to a node that stops."""
        if self.is_running() and not self.is_stopping:
            self.is_stopping = True
            self._stops_s.append(time.monotonic())
        self.signal(signal.SIGTERM)

    def last_stop_s(self, before_s):
        """Return the time of the last first SIGTERM before a time, or None."""
        return max(
            (at_s for at_s in self._stops_s if at_s <= before_s), default=None
        )

    def kill_overdue(self):
        """Kill a node that has not ended within its grace period."""
        if not self.is_stopping:
            return
        if time.monotonic() > self._stops_s[-1] + self._testbed.stop_grace_s:
            self.signal(signal.SIGKILL)


def start(context, node_count, script, **options):
    """Return a testbed of one failure domain that ends with the scenario."""
    testbed = Testbed(
        pathlib.Path(tempfile.mkdtemp(prefix="testbed-")),
        node_count,
        1 + ports.block_number(),
        False,
        script,
        **options,
    )
    context.closers.append(testbed.close)
    return testbed


class Testbed:
    """All nodes, backend servers and the store of one seed.

    Attributes:
        leaving: Names of the servers whose answers announce a close.
    """

    def __init__(
        self,
        folder,
        node_count,
        subnet,
        has_separate_zones,
        script=None,
        stop_grace_s=STOP_GRACE_S,
        timeout_ms=TIMEOUT_MS,
        settings=(),
        app_options=None,
        domain_count=None,
    ):
        self.folder = folder
        self.subnet = subnet
        self.has_separate_zones = has_separate_zones
        self.stop_grace_s = stop_grace_s
        self._timeout_ms = timeout_ms
        # Further lines of the nodes' settings.
        self.settings = settings
        # Failure domains over which nodes and servers are spread.
        self._domain_count = domain_count
        # Further fields of the service app in the configuration.
        self._app_options = app_options or {}
        self._script = script or self._answer
        self.keys = ["key-a", "key-b"]
        self.version = 0
        self.record = BackendRecord()
        self.store = store_standin.StoreStandin()
        self._loop = loop_server.LoopThread()
        self.proxy = proxy.FaultProxy(self._loop)
        self.store_address = self.proxy.listen(self.store.address)
        self.backends = {}
        self._stopping = threading.Event()
        self.leaving = set()
        for number in range(max(MIN_BACKENDS, node_count // NODES_PER_BACKEND)):
            self.add_backend(f"s{number}", "llm" if number % 5 < 3 else "app")
        self.publish_config()
        self.nodes = []
        self.nodes.extend(Node(self, n) for n in range(node_count))
        for node in self.nodes:
            node.start(is_first=True)

    def zone_of(self, number):
        """Return the number of a node's failure domain, as a text."""
        if self._domain_count:
            return str(number % self._domain_count)
        return str(number)[-1] if self.has_separate_zones else "0"

    def _zone_of_server(self, name):
        position = list(self.backends).index(name)
        return f"zone-{position % (self._domain_count or 1)}"

    def add_backend(self, name, service, **fields):
        """Start a server and write its entry, with further fields."""
        server = scripted.ScriptedServer(self._serve)
        address = self.proxy.listen(f"127.0.0.1:{server.port}")
        self.backends[name] = (server, address, service)
        self.store.put("servers", name, {**self.entry(name, 1), **fields})

    def entry(self, name, sequence, state="ready"):
        """Return a server's entry in its stored form."""
        _, address, service = self.backends[name]
        return {
            "service": service,
            "addr": address,
            "zone": self._zone_of_server(name),
            "state": state,
            "seq": sequence,
            "slots": 16,
        }

    def publish_config(self):
        """Write the next version of the configuration to the store.

        Odd versions move a route to another service and have one more route
        and one more key than even ones.
        """
        self.version += 1
        routes = dict(ROUTES)
        keys = list(self.keys)
        if self.version % 2:
            routes["unsafe"] = {**routes["unsafe"], "service": "llm"}
            routes["extra"] = routes["safe"]
            keys.append("key-extra")
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": kind,
                        "host": "h.example",
                        "prefix": f"/{kind}/",
                        "timeoutMs": self._timeout_ms,
                        "targetLatencyMs": 500,
                        **route,
                    }
                    for kind, route in routes.items()
                ],
                "services": [
                    {
                        "name": "app",
                        "maxConns": 50,
                        "healthPath": HEALTH_PATH,
                        **self._app_options,
                    },
                    {
                        "name": "llm",
                        "maxConns": 50,
                        "healthPath": HEALTH_PATH,
                        "engine": {
                            "slots": 16,
                            "kvCapacity": 100000,
                            "stride": 3,
                        },
                    },
                ],
                "tenants": [{"name": "workshop", "apiKeys": keys}],
            },
        )

    def _serve(self, peer, head, body, number):
        """Answer health checks; the rest is up to the script."""
        if not head.startswith(f"GET {HEALTH_PATH} "):
            return self._script(peer, head, body, number)
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return "close"

    def _answer(self, peer, head, body, number):
        """Answer after the milliseconds that end the path of a request."""
        self.record.record_run(head, ("key-a", "key-b"))
        path = head.split(" ", 2)[1]
        duration_s = int(path.rpartition("/")[2]) / 1000
        is_stream = not path.startswith(("/safe/", "/unsafe/"))
        send = self._send_stream if is_stream else self._send_answer
        result = send(peer, head, duration_s)
        self.record.record_end(head)
        return result

    def _send_answer(self, peer, head, duration_s):
        if self._stopping.wait(duration_s):
            return "close"
        request = scripted.header(head, "X-Bilberryturn-Attempt-Id")
        body = f"answer to {request}".encode()
        server = scripted.header(head, "X-Bilberryturn-Expect-Instance")
        if server not in self.leaving:
            peer.answer(head, body)
            return None
        peer.answer(head, body, extra="Connection: close\r\n")
        return "close"

    def _send_stream(self, peer, head, duration_s):
        peer.start_stream(head)
        after = int(scripted.header(head, "Last-Event-Id") or 0)
        for event_number in range(after + 1, EVENTS + 1):
            peer.chunk(scripted.event(event_number))
            if self._stopping.wait(duration_s / EVENTS):
                return "close"
        peer.chunk(b"")
        return None

    def restart_ended(self):
        """Kill nodes that stop too long and restart those that have ended."""
        for node in self.nodes:
            node.kill_overdue()
            if not node.is_running():
                node.start()

    def close(self):
        """Stop all nodes, backend servers, the proxy and the store."""
        self._stopping.set()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            node.process.wait(10)
        self.proxy.stop()
        for server, _, _ in self.backends.values():
            server.close()
        self.store.close()
