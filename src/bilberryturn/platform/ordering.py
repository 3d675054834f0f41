"""Order the start and stop of backend servers in a failure domain."""

import urllib.parse

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http

STALE_FENCING_STATUS = 412


class Ordering:
    """Client of the ordering interface.

    Each order states the desired state of a server, not a change of it.
    """

    def __init__(self, client: http.HttpClient):
        self._client = client

    def send(
        self,
        order_id: str,
        failure_domain: str,
        server: str,
        desired: str,
        fencing_number: int,
    ) -> expression.Result[None, exceptions.PlatformError]:
        """Order the desired state of one server.

        Args:
            order_id: Idempotency key; a retried order has no further effect.
            failure_domain: Failure domain of the server.
            server: Name of the server.
            desired: "running" or "stopped".
            fencing_number: Epoch of the lease under which the order is sent.
        """
        result = self._client.call(
            "POST",
            "/orders",
            {
                "order_id": order_id,
                "failure_domain": failure_domain,
                "server": server,
                "desired": desired,
                "fencing_number": fencing_number,
            },
        )
        return interpret_fenced_response(result, "ordering", fencing_number)

    def servers(
        self, failure_domain: str
    ) -> expression.Result[list[dict], exceptions.PlatformError]:
        """Return the current state of the servers in a failure domain."""
        query = urllib.parse.urlencode({"failure_domain": failure_domain})
        result = self._client.call_json("GET", f"/servers?{query}")
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(result.ok["servers"])


def interpret_fenced_response(result, interface: str, fencing_number: int):
    """Convert a response to a result; 412 means a stale fencing number."""
    if result.is_error():
        return expression.Error(result.error)
    if result.ok.status == STALE_FENCING_STATUS:
        return expression.Error(
            exceptions.StaleFencingNumberError(interface, fencing_number)
        )
    if result.ok.status != 200:
        return expression.Error(
            exceptions.PlatformRefusedError(interface, result.ok.status)
        )
    return expression.Ok(None)
