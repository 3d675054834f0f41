"""Decode requests of operators and build the responses."""

from typing import Any

import msgspec
import werkzeug.wrappers

from bilberryturn import exceptions

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response

DEFAULT_WAIT_S = 10.0


class ChangeBody(msgspec.Struct):
    """The body of a request to change declared sections."""

    expected_version: int
    changed: dict[str, dict[str, str]] = {}
    removed: tuple[str, ...] = ()
    wait_s: float = DEFAULT_WAIT_S


class GrantBody(msgspec.Struct):
    """The body of a request for a new key."""

    client_account: str
    label: str = ""
    wait_s: float = DEFAULT_WAIT_S


class MarkBody(msgspec.Struct):
    """The body of a request to set a mark; an empty mark removes it."""

    kind: str
    name: str
    mark: str
    wait_s: float = DEFAULT_WAIT_S


class AdminError(exceptions.BilberryturnError):
    """An operator's request cannot be carried out."""

    def __init__(self, status: int, problem: str, remedy: str):
        super().__init__(problem, remedy)
        self.status = status


def decode(request: Request, body_type: type) -> Any:
    """Return the body of a request.

    Raises:
        AdminError: The body is not valid for this type.
    """
    try:
        return msgspec.json.decode(request.get_data(), type=body_type)
    except msgspec.DecodeError as error:
        raise AdminError(
            400, f"The body cannot be used: {error}",
            "Use the command-line tool of the same release",
        ) from error  # fmt: skip


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(
        msgspec.json.encode(value), status, content_type="application/json"
    )


def error_response(
    status: int, problem: str, remedy: str, faults: list | None = None
) -> Response:
    """Return the response to a request that cannot be carried out."""
    return json_response(
        {"problem": problem, "remedy": remedy, "faults": faults or []}, status
    )
