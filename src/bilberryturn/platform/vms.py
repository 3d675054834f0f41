"""Read the platform's list of VMs, which may be stale."""

import expression
import msgspec

from bilberryturn.platform import exceptions
from bilberryturn.platform import http

ENTRY = "entry"
MODEL_ENGINE = "engine"
PLAIN_SERVICE = "service"

RUNNING = "running"
STOPPED = "stopped"
LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, omit_defaults=True):
    """One VM of the list.

    Attributes:
        name: Unique name.
        failure_domain: Failure domain in which it runs.
        kind: ENTRY, MODEL_ENGINE or PLAIN_SERVICE.
        address: IP address and port; the control address of an entry VM.
        state: RUNNING, STOPPED or LEAVING.
        serves: Models or services that it can run.
        slots: Number of requests that it runs concurrently.
        cheap: Whether it can be reclaimed at short notice.
        cost_per_hour: Price while it runs.
        checks_fencing: Whether it rejects orders with a stale fencing number.
    """

    name: str
    failure_domain: str
    kind: str
    address: str
    state: str = RUNNING
    serves: tuple[str, ...] = ()
    slots: int = 8
    cheap: bool = False
    cost_per_hour: float = 1.0
    checks_fencing: bool = True
    region: str = ""


class VmList:
    """Client of the VM list's HTTP interface."""

    def __init__(self, client: http.HttpClient):
        self._client = client

    def fetch(
        self,
    ) -> expression.Result[tuple[Vm, ...], exceptions.PlatformError]:
        """Return the list that the platform published last."""
        result = self._client.call_json("GET", "/vms")
        if result.is_error():
            return expression.Error(result.error)
        try:
            vms = msgspec.convert(result.ok["vms"], tuple[Vm, ...])
        except (msgspec.ValidationError, KeyError, TypeError):
            return expression.Error(exceptions.PlatformRefusedError("vms", 200))
        return expression.Ok(vms)
