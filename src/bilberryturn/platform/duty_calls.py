"""Send server orders and usage reports; one node at a time may do so."""

from collections.abc import Mapping

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import wire

# Names of the duties in the settings file.
USAGE = "usage"
SERVERS = "scale"


class DutyCalls:
    """Client of the interface for server orders and usage reports."""

    def __init__(self, client: http.HttpClient, vm_name: str):
        self._client = client
        self._vm_name = vm_name

    def report_usage(
        self, window: int, counts: Mapping[str, int], fencing_number: int
    ) -> expression.Result[None, exceptions.PlatformError]:
        """Report the number of requests of each client account in a window."""
        body = {"windowId": window, "counts": dict(counts)}
        return self._send("/usage", body, fencing_number)

    def order_servers(
        self,
        service: str,
        failure_domain: str,
        count: int,
        is_cheap: bool,
        fencing_number: int,
    ) -> expression.Result[None, exceptions.PlatformError]:
        """Order the number of servers of one kind in a failure domain.

        Returns:
            PlatformRefusedError with status 409 if none are available now.
        """
        body = {"service": service, "zone": failure_domain, "desired": count}
        if is_cheap:
            body["spot"] = True
        return self._send("/scale", body, fencing_number)

    def _send(
        self, path: str, body: dict, fencing_number: int
    ) -> expression.Result[None, exceptions.PlatformError]:
        result = self._client.call(
            "POST",
            path,
            body,
            headers=(
                f"{wire.DUTY_HOLDER}: {self._vm_name}",
                f"{wire.FENCING_NUMBER}: {fencing_number}",
            ),
        )
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError("duties", result.ok.status)
            )
        return expression.Ok(None)
