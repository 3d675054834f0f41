"""Call the admin interface of a node."""

import io
import os
from typing import Any
import urllib.parse

import msgspec
import pycurl

from bilberryturn import exceptions

TIMEOUT_S = 90
ADDRESS_VARIABLE = "BILBERRYTURN_ADMIN"
TOKEN_VARIABLE = "BILBERRYTURN_TOKEN"
DEFAULT_ADDRESS = "127.0.0.1:8081"

EXIT_CONFLICT = 4
EXIT_REFUSED = 5
EXIT_UNREACHABLE = 6


class ToolError(exceptions.BilberryturnError):
    """A command failed.

    Attributes:
        exit_status: Exit status of the tool.
        faults: Faults in declarations, if they are the reason.
    """

    def __init__(self, problem, remedy, exit_status, faults=()):
        super().__init__(problem, remedy)
        self.exit_status = exit_status
        self.faults = faults


class AdminClient:
    """Calls the admin interface of one node as one operator."""

    def __init__(self, address: str = "", token: str = ""):
        self._address = address or os.environ.get(
            ADDRESS_VARIABLE, DEFAULT_ADDRESS
        )
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        query: dict[str, Any] | None = None,
    ) -> Any:
        """Send a request and return the decoded response body.

        Raises:
            ToolError: The node refused the request or cannot be reached.
        """
        buffer = io.BytesIO()
        curl = pycurl.Curl()
        url = f"http://{self._address}{path}"
        if query:
            url = f"{url}?{urllib.parse.urlencode(query)}"
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.TIMEOUT, TIMEOUT_S)
        curl.setopt(
            pycurl.HTTPHEADER,
            ["Expect:", f"Authorization: Bearer {self._token}"],
        )
        curl.setopt(pycurl.WRITEDATA, buffer)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, msgspec.json.encode(body))
        try:
            curl.perform()
        except pycurl.error as error:
            raise ToolError(
                f"The node at {self._address} cannot be reached:"
                f" {error.args[-1]}",
                f"Set --node or {ADDRESS_VARIABLE} to the admin address of a"
                " running node",
                EXIT_UNREACHABLE,
            ) from error
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        curl.close()
        return _decode_response(status, buffer.getvalue())


def _decode_response(status: int, content: bytes) -> Any:
    try:
        response = msgspec.json.decode(content)
    except msgspec.DecodeError:
        response = {}
    if status == 200:
        return response
    raise ToolError(
        response.get("problem", f"The node responded with status {status}"),
        response.get("remedy", "Check the address of the admin interface"),
        EXIT_CONFLICT if status == 409 else EXIT_REFUSED,
        response.get("faults", ()),
    )
