"""Start nodes with the command of the deploy file, and end all processes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from standins import platform as platform_standin
from standins import records

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
READY_LIMIT_S = 20.0
# Every case ends within this time.
CASE_LIMIT_S = 110.0
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class CannotRunError(Exception):
    """The case could not be brought about."""


def has_trouble() -> bool:
    """Return whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Node:
    """A node of the system on a loopback address of its own."""

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.ip = ip
        self.zone = zone
        ports = _free_ports(ip)
        self.front_port = next(ports)
        self.ready_port = next(ports)
        self.control_port = next(ports)
        self._settings_path = folder / f"{name}.conf"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self.front_port

    def write_settings(self, lines: list[str], is_first: bool) -> None:
        """Write the settings file of DEPLOY.md."""
        own = [
            f"node={self.name}",
            "role=edge",
            "class=edge",
            "serves=edge,ctl",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=here",
            f"zones.{self.zone}=here",
            f"listen.front={self.ip}:{self.front_port}",
            f"listen.ready={self.ip}:{self.ready_port}",
            f"listen.control={self.ip}:{self.control_port}",
            f"bootstrap={'true' if is_first else 'false'}",
        ]
        text = "\n".join(own + lines) + "\n"
        self._settings_path.write_text(text, "utf-8")

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = shlex.split(deploy["roles"]["edge"]["run"])
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(DEPENDENCIES),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BILBERRYTURN_SETTINGS": str(self._settings_path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return line.startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False

    def last_log_line(self) -> str:
        """Return the last line that the process has written."""
        return self.log_path.read_text("utf-8").rpartition("\n")[0][-300:]

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """Nodes and the platform of one case, with the bounds of kalibo-bench.

    Attributes:
        BOUNDS: Settings under `bounds`.
    """

    BOUNDS = {
        "seedLagS": "3",
        "reuseAfterS": "2",
        "stableMs": "4000",
        "ackMs": "5000",
        "catchUpS": "4",
        "drainMs": "2500",
        "graceS": "8",
        "lossSlackMs": "200",
        "configMs": "2500",
        "rollbackSlackMs": "250",
        "maxSkewMs": "6000",
        "revokeStrict": "false",
        "revokeMs": "5000",
        "retryRatio": "0.2",
        "retryWindowS": "10",
        "retrySlack": "58",
        "fenceEnforced": "false",
        "leaseMs": "3000",
        "thawMs": "300",
        "usageWindowS": "5",
        "usageTolerance": "0.05",
        "usageDelayS": "10",
        "recoveryS": "12",
        "maxDelayMs": "300",
        "reuseS": "10",
    }

    def __init__(self, folder: pathlib.Path, record: records.Record):
        self.folder = folder
        self.record = record
        self.platform = platform_standin.Platform(record)
        # Loopback addresses of this run.
        self._subnet = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.nodes: list[Node] = []
        self._version = 0

    def ip(self, number: int) -> str:
        """Return a loopback address of this run."""
        return f"{self._subnet}.{number}"

    async def start_platform_and_config(
        self, routes: list[dict], services: list[dict]
    ) -> None:
        """Start the platform and write the first config."""
        await self.platform.start(self.ip(250))
        await self.publish(routes, services)

    async def publish(self, routes: list[dict], services: list[dict]) -> None:
        """Write the next version of the config, as the operator does."""
        self._version += 3
        await self.platform.put(
            "op",
            "config",
            {
                "version": self._version,
                "routes": [
                    {"host": HOST, "public": False, "attempts": 1, **route}
                    for route in routes
                ],
                "services": [
                    {"healthPath": "/healthz", "maxConns": 370, **service}
                    for service in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
            },
        )
        self.record.add("operator", f"config {self._version} confirmed")

    async def start_nodes(self, count: int, duties: str = "usage") -> None:
        """Start nodes of one zone and wait until all are ready."""
        self.nodes = [
            Node(f"edge-cebu-a-{n}", self.ip(n), "cebu-a", self.folder)
            for n in range(1, count + 1)
        ]
        seeds = ",".join(f"{n.ip}:{n.control_port}" for n in self.nodes[:3])
        lines = [
            f"seeds={seeds}",
            "discovery=platform",
            "entry=vip",
            "heartbeatMs=1200",
            *(f"bounds.{name}={v}" for name, v in self.BOUNDS.items()),
            f"platform.addr={self.platform.address}",
            "platform.form=table",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            f"cloud.addr={self.platform.address}",
            f"cloud.duties={duties}",
            "cloud.dutyPerS=50.0",
        ]
        for node in self.nodes:
            node.write_settings(lines, is_first=True)
            node.start()
        limit_s = asyncio.get_running_loop().time() + READY_LIMIT_S
        for node in self.nodes:
            while not await node.is_ready():
                if asyncio.get_running_loop().time() > limit_s:
                    raise CannotRunError(
                        f"{node.name} is not ready: {node.last_log_line()}"
                    )
                if node.process.poll() is not None:
                    raise CannotRunError(
                        f"{node.name} has ended: {node.last_log_line()}"
                    )
                await asyncio.sleep(0.1)
        for node in self.nodes:
            node.write_settings(lines, is_first=False)
        self.record.add("platform", f"{count} nodes are ready")

    def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)


Case = Callable[[Deployment], Awaitable[bool]]


def main(case: Case, folder: pathlib.Path) -> int:
    """Run a case and write record.txt into its folder.

    Args:
        case: Returns whether the rule held.
        folder: The folder of the case.

    Returns:
        The exit status.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = records.Record(folder / "record.txt")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    if not DEPENDENCIES.is_dir():
        print("target/deps is missing; run the build of the deploy file")
        return COULD_NOT_RUN
    deployment = Deployment(temporary, record)
    try:
        has_held = asyncio.run(_run(case, deployment))
    except (CannotRunError, OSError, TimeoutError, RuntimeError) as error:
        record.add("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error}")
        return COULD_NOT_RUN
    finally:
        deployment.end()
        record.write()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    print("the rule held" if has_held else "the rule was broken")
    return RULE_HELD if has_held else RULE_BROKEN


async def _run(case: Case, deployment: Deployment) -> bool:
    async with asyncio.timeout(CASE_LIMIT_S):
        return await case(deployment)


def _free_ports(ip: str) -> Iterator[int]:
    """Yield ports that no process uses on an address.

    They lie below the range from which the nodes' own connections take their
    ports.
    """
    for port in range(8220, 9400):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        yield port


def run_as_script(case: Case, folder: pathlib.Path) -> None:
    """Run a case and exit, without waiting for the stand-ins' open calls."""
    status = main(case, folder)
    sys.stdout.flush()
    os._exit(status)
