"""A small deployment on loopback: the project's nodes, and stand-ins around them.

The nodes are the project's own program, started with the command of the deploy file.
The store, the runners and the clients are stand-ins that speak the users' pages. Only
the standard library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_ROWS = 500
HEARTBEAT_S = 1.2
READY_LIMIT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
# A case may take 120 s.
CASE_LIMIT_S = 100.0


class Broken(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {text}\n")
        self._file.flush()


class Request:
    """One HTTP request as a stand-in has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Reset a connection, as a server that gives up a channel does."""
    raw_socket = writer.get_extra_info("socket")
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class Store:
    """The platform's store, and its calls for duties.

    Attributes:
        duty_calls: Path, holder, fence number and body of each duty call.
    """

    def __init__(self, record):
        self._record = record
        self.rows = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Condition()
        self.duty_calls = []
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def put(self, table, key, value):
        """Write a row as the operator or a runner does; None removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        async with self._changed:
            self._version += 1
            self._write(table, key, text)
            self._changed.notify_all()

    def value(self, table, key):
        found = self.rows.get((table, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def _write(self, table, key, text):
        if text is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (text, self._version)
        self._changes.append((self._version, table, key, text))

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, value = await self._dispatch(request)
                writer.write(response(status, json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The channel is gone, or the case ends.
            pass
        finally:
            writer.close()

    async def _dispatch(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path in ("/usage", "/scale"):
            call = (
                path,
                request.headers.get("x-bilberryturn-duty-holder"),
                request.headers.get("x-bilberryturn-fence"),
                json.loads(request.body),
            )
            self.duty_calls.append(call)
            self._record.write("duty", path=path, holder=call[1], fence=call[2])
            return 200, {}
        if path == "/rows-get":
            return self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        if path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {}

    def _stamp(self, value):
        return {**value, "ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _get(self, fields):
        found = [
            {"table": table, "part": "", "key": key, "value": text, "ver": version}
            for (table, key), (text, version) in sorted(self.rows.items())
            if table == fields["table"]
            and fields.get("from", "") <= key
            and (not fields.get("to") or key < fields["to"])
        ]
        limit = min(int(fields.get("limit", MAX_ROWS)), MAX_ROWS)
        return 200, self._stamp(
            {"rows": found[:limit], "hasMore": len(found) > limit}
        )

    async def _feed(self, fields):
        since, table = int(fields["sinceRev"]), fields["table"]
        end_s = time.monotonic() + int(fields["waitMs"]) / 1000
        async with self._changed:
            while True:
                found = [c for c in self._changes if c[0] > since and c[1] == table]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass
        rows = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": text or "",
                "ver": version,
                **({} if text is not None else {"deleted": True}),
            }
            for version, _, key, text in found
        ]
        return 200, self._stamp({"rows": rows})

    async def _transact(self, body):
        async with self._changed:
            for check in body["expectRev"]:
                row = (check["table"], check["key"])
                if self.rows.get(row, ("", 0))[1] != check["ver"]:
                    return 412, {"rows": []}
            self._version += 1
            for write in body["write"]:
                self._write(write["table"], write["key"], write["value"])
            for row in body["remove"]:
                self._write(row["table"], row["key"], None)
            self._changed.notify_all()
        return 200, self._stamp({})


class Runner:
    """A runner that registers itself and serves with some slots.

    Attributes:
        limit_per_s: What it names in `Server-Limit`; None names nothing.
        arrivals: Time, request and sending machine of each request.
    """

    def __init__(self, record, store, name, service, zone, slots=6, work_s=0.05):
        self.name = name
        self.limit_per_s = None
        self.arrivals = []
        self.state = "ready"
        self._record = record
        self._store = store
        self._service = service
        self._zone = zone
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server = None
        self._task = None
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await self.report()
        self._task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    async def report(self):
        """Write the entry of this runner."""
        self._sequence += 1
        await self._store.put(
            "servers",
            self.name,
            {
                "service": self._service,
                "addr": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slot_count,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            },
        )

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request, peer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head_fields(self, request):
        """Return the headers of all answers to a request."""
        attempt = request.headers.get("x-bilberryturn-attempt-id", "")
        fields = [("X-Bilberryturn-Attempt-Id", attempt)]
        if self.limit_per_s is not None:
            fields.append(("Server-Limit", self.limit_per_s))
        return fields

    async def _answer(self, request, peer):
        attempt = request.headers.get("x-bilberryturn-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt, peer))
        self._record.write("arrives", runner=self.name, request=attempt, sender=peer)
        fields = self.head_fields(request)
        expected = request.headers.get("x-bilberryturn-expect-instance", self.name)
        if expected != self.name:
            fields.append(("X-Bilberryturn-Not-Run", "1"))
            return response(421, b"", fields)
        async with self._slots:
            return await self.run(request, attempt, fields)

    async def run(self, request, attempt, fields):
        """Run a request and return its answer."""
        await asyncio.sleep(self._work_s)
        body = f"answer to {attempt}".encode()
        self._record.write("runs", runner=self.name, request=attempt)
        return response(200, body, [*fields, ("X-Bilberryturn-Server-Seal", "s")])


class Node:
    """A node of the project, in a process of its own.

    Attributes:
        ip: Its own loopback address, which tells it from other nodes.
    """

    def __init__(self, lab, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self._lab = lab
        self._first = True
        self._restarter = None
        self.log_path = lab.folder / f"{name}.log"

    @property
    def front(self):
        return (self.ip, self._lab.ports["front"])

    def _write_settings(self):
        lab, ports = self._lab, self._lab.ports
        seeds = ",".join(f"{n.ip}:{ports['control']}" for n in lab.nodes[:3])
        values = {
            "node": self.name,
            "role": "edge",
            "class": "edge",
            "serves": "edge,ctl",
            "ip": self.ip,
            "zone": self.zone,
            "region": lab.zones[self.zone],
            **{f"zones.{zone}": region for zone, region in lab.zones.items()},
            "listen.front": f"{self.ip}:{ports['front']}",
            "listen.ready": f"{self.ip}:{ports['ready']}",
            "listen.control": f"{self.ip}:{ports['control']}",
            "seeds": seeds,
            "bootstrap": "true" if self._first else "false",
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "platform.addr": lab.store.address,
            "platform.writesPerS": 400,
            "platform.readsPerS": 2000,
            "cloud.addr": lab.store.address,
            "cloud.duties": "usage",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        path = lab.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in values.items()), "utf-8")
        return path

    async def start(self):
        path = self._write_settings()
        self._first = False
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._lab.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BILBERRYTURN_SETTINGS": str(path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)

    async def restart_after(self, delay_s):
        """Wait for the end of the process and start it again, as the platform does."""
        await self.process.wait()
        await asyncio.sleep(delay_s)
        await self.start()

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self._lab.ports["ready"]), 1
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


# The bounds of the small deployments.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2500,
    "rollbackSlackMs": 250,
    "maxSkewMs": 6000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "fenceEnforced": "false",
    "leaseMs": 3000,
    "thawMs": 300,
    "usageWindowS": 5,
    "usageTolerance": 0.05,
    "usageDelayS": 10,
    "recoveryS": 12,
    "maxDelayMs": 300,
    "reuseS": 10,
}


class Answer:
    """An answer as a client has read it; status 0 stands for none."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Lab:
    """All processes and stand-ins of one case."""

    def __init__(self, record, zones):
        """Initialize.

        Args:
            record: Where to write what happens.
            zones: Region by zone.
        """
        self.record = record
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.nodes = []
        self.runners = []
        self.ports = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        run = deploy["roles"]["edge"]["run"].split()
        self.command = [shutil.which(run[0]), *run[1:]]
        self._ids = itertools.count(1)

    def add_nodes(self, counts):
        """Add nodes; the addresses differ from those of other cases.

        Args:
            counts: Number of nodes by zone.
        """
        first = secrets.randbelow(200) + 20
        for zone_number, (zone, count) in enumerate(counts.items()):
            for number in range(1, count + 1):
                ip = f"127.{first}.{zone_number + 1}.{number}"
                self.nodes.append(Node(self, f"edge-{zone}-{number}", zone, ip))
        for name in ("front", "ready", "control"):
            self.ports[name] = _free_port([node.ip for node in self.nodes])

    async def start_nodes(self):
        await asyncio.gather(*(node.start() for node in self.nodes))
        end_s = time.monotonic() + READY_LIMIT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end_s or not node.is_running:
                    raise Broken(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def close(self):
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_id(self):
        return f"{next(self._ids):04x}{secrets.token_hex(4)}"

    async def call(self, node, method, host, path, attempt, timeout_s, key=None, body=b""):
        """Send one request on a channel of its own, as a client does."""
        self.record.write("sent", request=attempt, node=node.name, path=path)
        answer = await self._call(node, method, host, path, attempt, timeout_s, key, body)
        self.record.write(
            "answered",
            request=attempt,
            status=answer.status,
            retry_after=answer.headers.get("retry-after", "-"),
        )
        return answer

    async def _call(self, node, method, host, path, attempt, timeout_s, key, body):
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*node.front), CONNECT_TIMEOUT_S
                )
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {host}",
                    f"X-Bilberryturn-Attempt-Id: {attempt}",
                    f"X-Bilberryturn-Deadline-Ms: {int(timeout_s * 1000)}",
                ]
                if key:
                    lines.append(f"Authorization: Bearer {key}")
                if method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                return await _read_answer(reader)
        except (OSError, TimeoutError, EOFError, ValueError):
            return Answer(0, {}, b"")
        finally:
            if writer is not None:
                writer.close()


class Channel:
    """A client's channel that is kept for several requests."""

    def __init__(self, lab, node):
        self._lab = lab
        self._node = node
        self._reader = self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self._node.front), CONNECT_TIMEOUT_S
        )

    async def send(self, method, host, path, attempt, timeout_s, body=b"", extra=()):
        """Send a request; the answer has status 0 if it isn't complete."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Bilberryturn-Attempt-Id: {attempt}",
            f"X-Bilberryturn-Deadline-Ms: {int(timeout_s * 1000)}",
            *extra,
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        record = self._lab.record
        record.write("sent", request=attempt, node=self._node.name, path=path)
        answer = Answer(0, {}, b"")
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                answer = await _read_answer(self._reader)
        except (OSError, TimeoutError, EOFError, ValueError):
            pass
        record.write("answered", request=attempt, status=answer.status)
        return answer

    def close(self):
        if self._writer is not None:
            self._writer.close()


async def _read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        return Answer(status, headers, await reader.readexactly(length))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return Answer(status, headers, body)


def _free_port(ips):
    """Return a port below the ephemeral range that is free at all addresses."""
    for _ in range(200):
        port = 10_000 + secrets.randbelow(20_000)
        probes = []
        try:
            for ip in ips:
                probe = socket.socket()
                probes.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise Broken("no free port")


def has_trouble():
    """Return whether the disturbance of a case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 without a run.

    Args:
        case: Coroutine function that takes the record and returns whether the rule was
            broken.
        folder: Folder of the case.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write("case", trouble=has_trouble())
    asyncio.run(_run(case, record))


async def _run(case, record):
    """Run a case and end the process; its stand-ins end with it."""
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            is_broken = await case(record)
    except Exception as error:
        record.write("not run", error=f"{type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        _end(2)
    record.write("result", broken=is_broken)
    _end(1 if is_broken else 0)


def _end(status):
    """End the process without waiting for the tasks of the stand-ins."""
    sys.stderr.flush()
    os._exit(status)
