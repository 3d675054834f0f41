"""Stand-ins for the users' store, runners and clients, and nodes to test.

Only the standard library is used. All addresses are on loopback.
"""

import base64
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "h.example"
# Of a whole script, in seconds.
TIME_LIMIT_S = 100


def free_port(ip="127.0.0.1"):
    """Return a port that nothing listens on."""
    with socket.create_server((ip, 0)) as probe:
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text):
        with self._lock:
            at_s = time.monotonic() - self._began_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store and duty interface, in memory."""

    def __init__(self, record):
        self.record = record
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                path, _, query = self.path.partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                if path == "/rows-get":
                    self._reply(*store.rows_get(values))
                elif path == "/rows-feed":
                    self._reply(*store.rows_feed(values))
                elif path == "/rows-parts":
                    self._reply(*store.rows_parts(values))
                else:
                    self._reply(404, {})

            def do_POST(self):
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size) or b"{}")
                if self.path == "/rows-tx":
                    self._reply(*store.rows_tx(body))
                else:
                    self._reply(200, {})

            def _reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @staticmethod
    def _now_ms():
        return int(time.monotonic() * 1000)

    def _put(self, table, part, key, value):
        self._rows[table, part, key] = (value, self._version)
        row = {"table": table, "part": part, "key": key}
        row |= {"value": value, "ver": self._version}
        self._changes.append(row)

    def _remove(self, table, part, key):
        if self._rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key}
            self._changes.append(row | {"ver": self._version, "deleted": True})

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a runner does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._version += 1
            self._put(table, part, key, data)
            self._changed.notify_all()

    def remove(self, table, key, part=""):
        with self._changed:
            self._version += 1
            self._remove(table, part, key)
            self._changed.notify_all()

    def rows_tx(self, body):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        with self._changed:
            expected = body.get("expectRev", [])
            for row in expected:
                if self._rows.get(name(row), ("", 0))[1] != row["ver"]:
                    present = [
                        dict(zip(("table", "part", "key"), name(r)))
                        | dict(zip(("value", "ver"), self._rows[name(r)]))
                        for r in expected
                        if name(r) in self._rows
                    ]
                    return 412, {"rows": present, "nowMs": self._now_ms()}
            self._version += 1
            for row in body.get("write", []):
                self._put(*name(row), row["value"])
            for row in body.get("remove", []):
                self._remove(*name(row))
            self._changed.notify_all()
            return 200, {"ver": self._version, "nowMs": self._now_ms()}

    def rows_get(self, values):
        table, part = values["table"], values.get("part", "")
        start, end = values.get("from", ""), values.get("to")
        limit = min(500, int(values.get("limit", 500)))
        with self._changed:
            found = [
                {"table": t, "part": p, "key": k, "value": v, "ver": ver}
                for (t, p, k), (v, ver) in sorted(self._rows.items())
                if t == table
                and p == part
                and k >= start
                and (end is None or k < end)
            ]
            return 200, {
                "rows": found[:limit],
                "hasMore": len(found) > limit,
                "ver": self._version,
                "nowMs": self._now_ms(),
            }

    def rows_parts(self, values):
        with self._changed:
            parts = {p for t, p, _ in self._rows if t == values["table"]}
            return 200, {"parts": sorted(parts), "hasMore": False}

    def rows_feed(self, values):
        table, since = values["table"], int(values["sinceRev"])
        end_s = time.monotonic() + int(values.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                found = [
                    row
                    for row in self._changes
                    if row["ver"] > since and row["table"] == table
                ]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    return 200, {
                        "rows": found,
                        "ver": self._version,
                        "nowMs": self._now_ms(),
                    }
                self._changed.wait(left_s)

    def close(self):
        self._server.shutdown()
        self._server.server_close()


def header(head, name):
    """Return the value of a header in a head, or None."""
    for line in head.split("\r\n")[1:]:
        found, _, value = line.partition(":")
        if found.lower() == name.lower():
            return value.strip()
    return None


class Runner:
    """A runner that serves one request at a time on a channel."""

    def __init__(
        self,
        lab,
        service,
        zone,
        answer=None,
        slots=16,
        version="v1",
        earlier=None,
    ):
        """Start a runner.

        Args:
            earlier: The ended runner whose id and address it has, if any.
        """
        self.lab = lab
        self.service = service
        self.runner_id = f"i-{os.urandom(5).hex()}"
        port = 0
        if earlier is not None:
            self.runner_id = earlier.runner_id
            port = int(earlier.address.rpartition(":")[2])
        self.born = int(time.time() * 1000)
        self.zone = zone
        self.slots = slots
        self.version = version
        self.answer = answer or self._answer
        self._sequence = 0
        self._connections = set()
        self._socket = socket.create_server(("127.0.0.1", port), backlog=256)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self, state="ready"):
        self._sequence += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "born": self.born,
            "seq": self._sequence,
        }

    def _beat(self):
        while not self._is_closed:
            self.lab.store.put("servers", self.runner_id, self.entry())
            time.sleep(1.2)

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                raw, _, buffer = buffer.partition(b"\r\n\r\n")
                head = raw.decode("latin-1")
                size = int(header(head, "Content-Length") or 0)
                while len(buffer) < size:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:size], buffer[size:]
                if self._refuses(connection, head):
                    continue
                if self.answer(self, connection, head, body) == "close":
                    return
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def _refuses(self, connection, head):
        """Answer what is not for this runner, and status checks."""
        if head.startswith("GET /healthz "):
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                b"X-Bilberryturn-Instance: "
                + self.runner_id.encode()
                + b"\r\n\r\n"
            )
            return True
        expected = header(head, "X-Bilberryturn-Expect-Instance")
        if expected in (None, self.runner_id):
            return False
        request = header(head, "X-Bilberryturn-Attempt-Id") or ""
        connection.sendall(
            b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
            b"X-Bilberryturn-Attempt-Id: " + request.encode() + b"\r\n\r\n"
        )
        return True

    def run(self, head, body):
        """Record that a request is run."""
        request = header(head, "X-Bilberryturn-Attempt-Id")
        tenant = header(head, "X-Bilberryturn-Tenant")
        path = head.split(" ", 2)[1]
        self.lab.runs.append((request, self.service, self.runner_id, tenant))
        self.lab.record.add(
            f"run {request} {path} at {self.service} {self.runner_id}"
            f" tenant {tenant} body {len(body)} B"
        )
        return request

    def reply(self, connection, head, body, status="200 OK", extra=""):
        request = header(head, "X-Bilberryturn-Attempt-Id")
        connection.sendall(
            (
                f"HTTP/1.1 {status}\r\nX-Bilberryturn-Attempt-Id: {request}\r\n"
                f"X-Bilberryturn-Server-Seal: seal.{request}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    @staticmethod
    def _answer(runner, connection, head, body):
        request = runner.run(head, body)
        time.sleep(0.02)
        runner.reply(connection, head, f"answer to {request}".encode())

    def close(self):
        self._is_closed = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()

    def crash(self):
        """End as a process does: all channels close at the same time."""
        self.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Node:
    """A node of the system, started as the deploy file says."""

    def __init__(self, lab, number, zone):
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{lab.subnet}.{1 + number}"
        self.zone = zone
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.control_port = free_port(self.ip)
        self.lab = lab
        self.process = None
        self.log_path = lab.folder / f"{self.name}.log"

    def settings(self, is_first):
        seeds = ",".join(f"{n.ip}:{n.control_port}" for n in self.lab.nodes[:3])
        zones = [f"zones.{z}=region-1" for z in self.lab.zones]
        lines = [
            f"node={self.name}",
            "role=edge",
            "class=edge",
            "serves=edge,ctl",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=region-1",
            *zones,
            f"listen.front={self.ip}:{self.port}",
            f"listen.ready={self.ip}:{self.ready_port}",
            f"listen.control={self.ip}:{self.control_port}",
            f"seeds={seeds}",
            f"bootstrap={'true' if is_first else 'false'}",
            "limits.cpuShare=0.537",
            "limits.cores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "heartbeatMs=1200",
            "bounds.seedLagS=3",
            "bounds.reuseAfterS=2",
            "bounds.stableMs=4000",
            "bounds.drainMs=2500",
            "bounds.graceS=8",
            "bounds.lossSlackMs=200",
            "bounds.configMs=2500",
            "bounds.rollbackSlackMs=250",
            "bounds.retryRatio=0.2",
            "bounds.retryWindowS=10",
            "bounds.retrySlack=58",
            "bounds.fenceEnforced=false",
            "bounds.leaseMs=3000",
            "bounds.thawMs=300",
            "bounds.usageWindowS=5",
            "bounds.usageTolerance=0.05",
            "bounds.usageDelayS=10",
            "bounds.recoveryS=12",
            f"platform.addr={self.lab.store.address}",
            "platform.form=table",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            f"cloud.addr={self.lab.store.address}",
            "cloud.duties=usage",
            "cloud.dutyPerS=50.0",
        ]
        return "\n".join(lines) + "\n"

    def start(self, is_first=False):
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text(self.settings(is_first))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].split()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self.lab.folder),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BILBERRYTURN_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port), 1) as s:
                s.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class CannotRun(Exception):
    """The case could not be played."""


def _give_up(*_):
    signal.alarm(0)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise CannotRun("its time is over")


class Lab:
    """All that a case starts."""

    def __init__(self, folder, zones=("z1",)):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
        self.record = Record(folder)
        self.zones = zones
        # Nodes also listen on a fixed port, so that each lab needs addresses
        # of its own.
        pid = os.getpid()
        self.subnet = f"127.{1 + pid // 256 % 250}.{pid % 256}"
        self.runs = []
        self.store = Store(self.record)
        self.runners = []
        self.nodes = []

    def add_runner(self, service, **options):
        zone = self.zones[len(self.runners) % len(self.zones)]
        runner = Runner(self, service, zone, **options)
        self.runners.append(runner)
        return runner

    def start_nodes(self, count):
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            self.nodes.append(Node(self, number, zone))
        for node in self.nodes:
            node.start(is_first=True)
        self.wait_ready(self.nodes)

    def wait_ready(self, nodes, limit_s=30):
        end_s = time.monotonic() + limit_s
        while not all(node.is_ready() for node in nodes):
            if time.monotonic() > end_s:
                raise CannotRun("a node is not ready")
            time.sleep(0.1)

    def publish(self, config, part=""):
        self.record.add(f"config {config['version']} in part {part!r}")
        self.store.put("op", "config", config, part)

    def close(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)
        for runner in self.runners:
            runner.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **changes):
    """Return a route with the prefix /NAME/."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return fields | changes


def config(version, routes, tenants, limits=None):
    """Return an operator's configuration."""
    services = sorted({r["service"] for r in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 370}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        | (limits or {}),
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }


class Client:
    """One client channel to a node."""

    def __init__(self, lab, node, timeout_s=10):
        self.lab = lab
        self.node = node
        self.socket = socket.create_connection((node.ip, node.port), timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""

    def send(self, method, path, key, body=b"", headers=(), deadline_ms=6000):
        """Send a request; returns its id."""
        request = os.urandom(8).hex()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Bilberryturn-Attempt-Id: {request}",
            f"X-Bilberryturn-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.lab.record.add(
            f"sent {request} {method} {path} body {len(body)} B"
            f" to {self.node.name}"
        )
        self.socket.sendall(data)
        return request

    def read(self, request):
        """Return status, head and body; status 0 if the channel ended."""
        try:
            while b"\r\n\r\n" not in self._buffer:
                data = self.socket.recv(65536)
                if not data:
                    return self._ended(request, "closed without an answer")
                self._buffer += data
            raw, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            head = raw.decode("latin-1")
            size = int(header(head, "Content-Length") or 0)
            while len(self._buffer) < size:
                data = self.socket.recv(65536)
                if not data:
                    return self._ended(request, "closed inside its answer")
                self._buffer += data
        except OSError as error:
            return self._ended(request, f"failed: {type(error).__name__}")
        body, self._buffer = self._buffer[:size], self._buffer[size:]
        status = int(head.split(" ")[1])
        seal = header(head, "X-Bilberryturn-Server-Seal")
        self.lab.record.add(
            f"answered {request} {status} seal {seal} {body[:80]!r}"
        )
        return status, head, body

    def _ended(self, request, reason):
        self.lab.record.add(f"channel of {request} {reason}")
        return 0, "", b""

    def ask(self, method, path, key, body=b"", **options):
        return self.read(self.send(method, path, key, body, **options))

    def close(self):
        self.socket.close()


def main(folder, play):
    """Play a case and exit as its script has to.

    Args:
        folder: Folder of the case.
        play: Plays it with a lab and whether to cause the trouble; returns
            whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(folder)
    status = 2
    signal.signal(signal.SIGTERM, _give_up)
    signal.signal(signal.SIGALRM, _give_up)
    signal.alarm(TIME_LIMIT_S)
    try:
        held = play(lab, has_trouble)
        status = 0 if held else 1
        lab.record.add("the rule held" if held else "the rule was broken")
    except CannotRun as error:
        lab.record.add(f"cannot run: {error}")
    except Exception as error:
        lab.record.add(f"cannot run: {type(error).__name__}: {error}")
    finally:
        lab.close()
    # Threads of clients that still wait must not delay the end.
    os._exit(status)
