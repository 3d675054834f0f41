"""Read the settings file that the users' platform writes.

Lines have the form a.b=value. Unknown names are ignored.
"""

from typing import NamedTuple

import expression

from bilberryturn import checks

DEFAULT_HEARTBEAT_S = 1.2
DEFAULT_STORE_WRITES_PER_S = 400.0


class Address(NamedTuple):
    """IP address and port of a TCP endpoint."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class VmSettings(NamedTuple):
    """Settings of the process on one VM.

    Attributes:
        callers: Address on which callers connect.
        readiness: Address of the load balancer's readiness probe.
        peers: Address on which this node serves its state to other nodes,
            or None.
        stop_grace_s: Time from SIGTERM until the process is killed.
        settle_s: Time without faults after which all bounds hold again.
        heartbeat_s: Interval in which servers write their entries.
        drain_s: Time within which a leaving server must stop receiving new
            requests.
        lease_s: Time within which a duty must not alternate between two
            holders.
        repeat_ratio: Retries allowed per request, over all nodes.
        repeat_slack: Retries allowed in addition to the ratio, over all
            nodes.
        usage_due_s: Time from the end of a window until its usage report
            is due.
        is_first_start: Whether the deployment starts for the first time.
        memory_mb: Memory of the VM; a process that uses more is ended. 0 if it
            is not stated.
        store_writes_per_s: Writes that the store takes from all nodes
            together.
        evacuate_s: Time within which a drained failure domain must stop
            receiving requests.
    """

    name: str
    ip: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    callers: Address
    readiness: Address
    peers: Address | None
    seeds: tuple[Address, ...]
    store: Address
    duties: Address | None
    duty_names: tuple[str, ...]
    stop_grace_s: float
    settle_s: float
    heartbeat_s: float
    drain_s: float
    config_s: float
    lease_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    usage_window_s: float
    usage_due_s: float
    is_first_start: bool
    memory_mb: float = 0.0
    store_writes_per_s: float = DEFAULT_STORE_WRITES_PER_S
    evacuate_s: float = 5.0

    @property
    def operator_s(self) -> float:
        """Return the time in which changes of the operator's rows are due.

        Drained failure domains are read with the configuration.
        """
        return min(self.config_s, self.evacuate_s)

    def domain_regions(self) -> dict[str, str]:
        """Return the region of each failure domain whose region is known."""
        regions = {**self.regions}
        if self.region:
            regions[self.failure_domain] = self.region
        return {domain: region for domain, region in regions.items() if region}


def parse_lines(text: str) -> dict[str, str]:
    """Return the values of a settings file by name."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            values[name.strip()] = value.strip()
    return values


class _Reader:
    """Converts values to their types and collects the faults."""

    def __init__(self, values: dict[str, str], path: str):
        self._values = values
        self._path = path
        self.faults: list[checks.CheckMessage] = []

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, "")
        if value:
            return value
        if default is None:
            self._fault(name, "the value is missing", "Add it")
            return ""
        return default

    def number(self, name: str, default: float) -> float:
        value = self._values.get(name, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self._fault(name, f"{value!r} is not a number", "Write a number")
            return default

    def address(self, name: str, required: bool) -> Address | None:
        value = self.text(name, None if required else "")
        if not value:
            return None
        return self._address(name, value)

    def addresses(self, name: str) -> tuple[Address, ...]:
        values = [v for v in self.text(name, "").split(",") if v.strip()]
        found = [self._address(name, value.strip()) for value in values]
        return tuple(address for address in found if address is not None)

    def _address(self, name: str, value: str) -> Address | None:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self._fault(
                name, f"{value!r} is not HOST:PORT", "Write an IP and a port"
            )
            return None
        return Address(host, int(port))

    def _fault(self, name: str, problem: str, remedy: str) -> None:
        section, _, option = name.rpartition(".")
        self.faults.append(
            checks.CheckMessage(
                "E290", self._path, section, option, problem, remedy
            )
        )


def load(
    path: str,
) -> expression.Result[VmSettings, list[checks.CheckMessage]]:
    """Read and check the settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or every fault found.
    """
    text = checks.read_text(
        path, "E289", "Set BILBERRYTURN_SETTINGS to a readable UTF-8 file"
    )
    if text.is_error():
        return expression.Error(text.error)
    return check_text(text.ok, path)


def check_text(
    text: str, path: str
) -> expression.Result[VmSettings, list[checks.CheckMessage]]:
    """Parse and check the text of a settings file."""
    values = parse_lines(text)
    reader = _Reader(values, path)
    settings = VmSettings(
        name=reader.text("node"),
        ip=reader.text("ip"),
        failure_domain=reader.text("zone"),
        region=reader.text("region", ""),
        regions={
            name.partition(".")[2]: value
            for name, value in values.items()
            if name.startswith("zones.")
        },
        callers=reader.address("listen.front", required=True),
        readiness=reader.address("listen.ready", required=True),
        peers=reader.address("listen.control", required=False),
        seeds=reader.addresses("seeds"),
        store=reader.address("platform.addr", required=True),
        duties=reader.address("cloud.addr", required=False),
        duty_names=tuple(
            n for n in reader.text("cloud.duties", "").split(",") if n
        ),
        stop_grace_s=reader.number("bounds.graceS", 8.0),
        settle_s=reader.number("bounds.stableMs", 4000) / 1000,
        heartbeat_s=reader.number("heartbeatMs", DEFAULT_HEARTBEAT_S * 1000)
        / 1000,
        drain_s=reader.number("bounds.drainMs", 2500) / 1000,
        config_s=reader.number("bounds.configMs", 2500) / 1000,
        lease_s=reader.number("bounds.leaseMs", 3000) / 1000,
        repeat_ratio=reader.number("bounds.retryRatio", 0.2),
        repeat_window_s=reader.number("bounds.retryWindowS", 10.0),
        repeat_slack=reader.number("bounds.retrySlack", 10.0),
        usage_window_s=reader.number("bounds.usageWindowS", 5.0),
        usage_due_s=reader.number("bounds.usageDelayS", 10.0),
        is_first_start=reader.text("bootstrap", "false") == "true",
        memory_mb=reader.number("limits.memoryMb", 0.0),
        store_writes_per_s=reader.number(
            "platform.writesPerS", DEFAULT_STORE_WRITES_PER_S
        ),
        evacuate_s=reader.number("bounds.evacuateMs", 5000) / 1000,
    )
    if reader.faults:
        return expression.Error(reader.faults)
    return expression.Ok(settings)
