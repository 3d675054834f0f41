"""Start stand-ins and daemons for demos, tests and benchmarks."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import zmq

from bilberryturn.tool import client as tool_client
from bilberryturn_standins import caller
from bilberryturn_standins import engine
from bilberryturn_standins import platform
from bilberryturn_standins import ports
from bilberryturn_standins import proxy
from bilberryturn_standins import server
from bilberryturn_standins import service

STATE_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
OPERATOR_TOKENS = {"ana": "token-of-ana", "ben": "token-of-ben"}
FAST_TIMING = {
    "heartbeat_interval_s": 0.3,
    "member_timeout_s": 1.2,
    "grant_timeout_s": 2.0,
    "entry_sync_interval_s": 0.25,
    "config_poll_interval_s": 0.5,
    "config_backstop_interval_s": 1.5,
    "vm_poll_interval_s": 0.3,
    "stall_timeout_s": 2.0,
    "lease_ttl_s": 3.0,
    "lease_margin_s": 0.5,
    "order_settle_s": 1.0,
    "usage_flush_interval_s": 0.3,
    "usage_window_s": 2.0,
    "usage_close_delay_s": 1.0,
    "drain_announce_s": 0.3,
    "isolated_key_limit_s": 4.0,
}


class Domain(NamedTuple):
    """A failure domain and the source address its nodes connect from."""

    name: str
    region: str
    source_address: str


DOMAINS = (
    Domain("santander", "north", "127.0.1.1"),
    Domain("oviedo", "north", "127.0.2.1"),
    Domain("bilbao", "east", "127.0.3.1"),
)


class EngineSpec(NamedTuple):
    """Parameters of an engine to start."""

    name: str
    failure_domain: str
    options: engine.EngineOptions = engine.EngineOptions()
    cheap: bool = False
    state: str = "running"


def wait_for(
    condition, description: str, timeout_s: float = STATE_TIMEOUT_S
) -> Any:
    """Wait until a condition holds and return its value.

    Raises:
        TimeoutError: The condition did not hold within timeout_s.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"waited {timeout_s} s for {description}")
        time.sleep(0.02)


class DaemonProcess:
    """A daemon that runs as a child process."""

    def __init__(self, name: str, domain: Domain, folder: pathlib.Path):
        self.name = name
        self.domain = domain
        self.settings_path = folder / f"{name}.ini"
        self.log_path = folder / f"{name}.log"
        self.caller_address = ""
        self.admin_address = ""
        self.control_address = ""
        self.advertised_address = ""
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bilberryturn.daemon.main",
                    "--settings",
                    str(self.settings_path),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            os.kill(self.process.pid, signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it to exit."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop the process gracefully and return its exit status."""
        self.thaw()
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the process to exit and return its exit status."""
        return self.process.wait(STOP_TIMEOUT_S)

    def admin(self, operator: str = "ana") -> tool_client.AdminClient:
        """Return a client of the admin interface for an operator."""
        return tool_client.AdminClient(
            self.admin_address, OPERATOR_TOKENS[operator]
        )

    def status(self) -> dict[str, Any]:
        """Return the status of the node, or {} if the call fails."""
        try:
            return self.admin().call("GET", "/status")
        except tool_client.ToolError:
            return {}

    def log_text(self) -> str:
        """Return the log output of the daemon."""
        return self.log_path.read_text("utf-8", "replace")


class Cluster:
    """The stand-ins and daemons of one run.

    If proxied is set, all traffic between nodes, and from nodes to the
    platform and the backend servers, passes through a fault-injecting proxy.
    """

    def __init__(
        self,
        domains: tuple[Domain, ...] = DOMAINS,
        nodes_per_domain: int = 2,
        engines: tuple[EngineSpec, ...] | None = None,
        proxied: bool = False,
        timing: dict[str, float] | None = None,
        limits: dict[str, int] | None = None,
        caller_ports: tuple[int, ...] = (),
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberryturn-"))
        self.domains = domains
        self.loop_thread = server.LoopThread()
        self.platform = platform.PlatformStandin(self.loop_thread).start()
        self.proxy = proxy.FaultProxy(self.loop_thread)
        self.proxied = proxied
        self.engines: dict[str, engine.EngineStandin] = {}
        self.services: dict[str, service.ServiceStandin] = {}
        self.nodes: list[DaemonProcess] = []
        self._timing = {**FAST_TIMING, **(timing or {})}
        self._limits = limits or {}
        self.platform_address = self.platform.address
        if proxied:
            self.platform_address = self.proxy.listen(self.platform.address)
        for spec in (
            engines if engines is not None else _default_engines(domains)
        ):
            self.add_engine(spec)
        self._write_secrets()
        self._add_nodes(nodes_per_domain, caller_ports)

    def add_engine(self, spec: EngineSpec) -> engine.EngineStandin:
        """Start an engine and add it to the VM list."""
        standin = engine.EngineStandin(
            self.loop_thread, spec.options, port=ports.allocate()
        ).start()
        self.engines[spec.name] = standin
        self.platform.set_vm(
            spec.name,
            failure_domain=spec.failure_domain,
            kind="engine",
            address=self._proxied_address(standin.address),
            state=spec.state,
            serves=list(spec.options.models),
            slots=spec.options.slots,
            cheap=spec.cheap,
            cost_per_hour=0.3 if spec.cheap else 1.0,
            checks_fencing=spec.options.checks_fencing,
        )
        return standin

    def add_service(
        self, name: str, failure_domain: str, serves: str
    ) -> service.ServiceStandin:
        """Start a service stand-in and add it to the VM list."""
        standin = service.ServiceStandin(
            self.loop_thread, port=ports.allocate()
        ).start()
        self.services[name] = standin
        self.platform.set_vm(
            name,
            failure_domain=failure_domain,
            kind="service",
            address=self._proxied_address(standin.address),
            state="running",
            serves=[serves],
            slots=16,
        )
        return standin

    def _proxied_address(self, address: str) -> str:
        return self.proxy.listen(address) if self.proxied else address

    def _write_secrets(self) -> None:
        public, secret = zmq.curve_keypair()
        (self.folder / "control.public").write_bytes(public)
        (self.folder / "control.secret").write_bytes(secret)
        (self.folder / "key-hash.secret").write_text("stand-in secret")
        (self.folder / "operators").write_text(
            "".join(f"{n} = {t}\n" for n, t in OPERATOR_TOKENS.items())
        )

    def _add_nodes(self, nodes_per_domain: int, caller_ports) -> None:
        for domain in self.domains:
            for number in range(1, nodes_per_domain + 1):
                name = f"{domain.name}-{number}"
                node = DaemonProcess(name, domain, self.folder)
                index = len(self.nodes)
                port = ports.allocate()
                if index < len(caller_ports):
                    port = caller_ports[index]
                node.caller_address = f"127.0.0.1:{port}"
                node.admin_address = f"127.0.0.1:{ports.allocate()}"
                node.control_address = f"127.0.0.1:{ports.allocate()}"
                node.advertised_address = self._proxied_address(
                    node.control_address
                )
                self.nodes.append(node)
                self.platform.set_vm(
                    name,
                    failure_domain=domain.name,
                    region=domain.region,
                    kind="entry",
                    address=node.advertised_address,
                    state="running",
                )
        for node in self.nodes:
            self.write_settings(node)

    def write_settings(self, node: DaemonProcess, **changes: Any) -> None:
        """Write the settings file of a node.

        Args:
            node: The node.
            **changes: Timing options that override those of the cluster.
        """
        seeds = [n.advertised_address for n in self.nodes[:2]]
        seeds += [
            n.advertised_address for n in self.nodes if n.domain == node.domain
        ]
        address = self.platform_address
        sections = {
            "node": {
                "name": node.name,
                "failure_domain": node.domain.name,
                "region": node.domain.region,
                "caller_address": node.caller_address,
                "control_address": node.control_address,
                "admin_address": node.admin_address,
                "advertised_control_address": node.advertised_address,
                "source_address": node.domain.source_address,
            },
            "peers": {"seeds": ", ".join(dict.fromkeys(seeds))},
            "platform": {
                "table_address": address,
                "objects_address": address,
                "vms_address": address,
                "ordering_address": address,
                "reporting_address": address,
                "timeout_s": 1.0,
            },
            "security": {
                "key_hash_secret_file": self.folder / "key-hash.secret",
                "operator_tokens_file": self.folder / "operators",
                "control_public_key_file": self.folder / "control.public",
                "control_secret_key_file": self.folder / "control.secret",
            },
            "timing": {**self._timing, **changes},
            "limits": self._limits,
        }
        lines = []
        for section, options in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{k} = {v}" for k, v in options.items())
            lines.append("")
        node.settings_path.write_text("\n".join(lines))

    def node(self, name: str) -> DaemonProcess:
        """Return a node by name."""
        return next(node for node in self.nodes if node.name == name)

    def start(self) -> "Cluster":
        """Start all daemons and wait until their membership converges."""
        for node in self.nodes:
            node.start()
        self.wait_ready()
        return self

    def wait_ready(self) -> None:
        """Wait until every running node lists all running nodes and all VMs."""
        running = [node for node in self.nodes if node.is_running]
        wait_for(
            lambda: all(self._has_full_view(node, running) for node in running),
            "every node to list all running nodes and VMs",
        )

    def _has_full_view(self, node: DaemonProcess, running) -> bool:
        status = node.status()
        if status.get("vms", 0) < len(self.platform.vms):
            return False
        local_names = {n.name for n in running if n.domain == node.domain}
        other_domains = {n.domain.name for n in running} - {node.domain.name}
        member_names = {m["name"] for m in status["members"]}
        domains = {
            d["name"]: d["members"]
            for d in status["domains"]
            if d["heard_s"] < 3
        }
        if member_names != local_names or set(domains) < other_domains:
            return False
        return all(
            domains[name] == sum(1 for n in running if n.domain.name == name)
            for name in other_domains
        )

    def apply(
        self, sections: dict[str, dict[str, str]], node=None
    ) -> dict[str, Any]:
        """Commit declarations through a node and return the admin response."""
        admin = (node or self.nodes[0]).admin()
        version = admin.call("GET", "/declarations")["version"]
        return admin.call(
            "POST",
            "/changes",
            {
                "expected_version": version,
                "changed": sections,
                "wait_s": 30,
            },
        )

    def grant(self, client_account: str, node=None) -> str:
        """Grant an API key, wait until it is in force and return it."""
        answer = (
            (node or self.nodes[0])
            .admin()
            .call(
                "POST",
                "/keys",
                {"client_account": client_account, "wait_s": 30},
            )
        )
        return answer["key"]

    def caller(
        self, node: DaemonProcess | None = None, key: str = "", profile=""
    ) -> caller.Caller:
        """Return a client of a node."""
        node = node or self.nodes[0]
        return caller.Caller(node.caller_address, key, profile)

    def close(self) -> None:
        """Kill all daemons, stop the stand-ins and delete the files."""
        for node in self.nodes:
            node.thaw()
            node.kill()
        self.proxy.stop()
        for standin in (*self.engines.values(), *self.services.values()):
            standin.stop()
        self.platform.stop()
        self.loop_thread.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _default_engines(domains: tuple[Domain, ...]) -> tuple[EngineSpec, ...]:
    return tuple(EngineSpec(f"engine-{d.name}", d.name) for d in domains)
