"""Build JSON responses, error responses and error events."""

import math
from typing import Any

import msgspec
import werkzeug.wrappers

from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange

RAN_HEADER = "X-Bilberryturn-Ran"

Response = werkzeug.wrappers.Response


def json_response(value: Any, status: int = 200) -> Response:
    """Return a value as JSON."""
    return Response(
        msgspec.json.encode(value), status, content_type="application/json"
    )


def _error_body(
    error: exceptions.RequestError, may_have_run: bool
) -> dict[str, Any]:
    return {
        "error": {
            "message": str(error),
            "type": error.kind,
            "code": error.code,
            "param": None,
            "remedy": error.remedy,
            "ran": exceptions.run_statement(may_have_run),
        }
    }


def error_response(
    error: exceptions.RequestError, may_have_run: bool
) -> Response:
    """Return an error in the OpenAI format."""
    response = json_response(_error_body(error, may_have_run), error.status)
    response.headers[RAN_HEADER] = exceptions.run_statement(may_have_run)
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        response.headers["Retry-After"] = str(seconds)
    return response


def error_event(
    error: exceptions.RequestError, http_exchange: exchange.Exchange
) -> bytes:
    """Return an error as the last event of a stream."""
    body = _error_body(error, http_exchange.may_have_run)
    return b"data: " + msgspec.json.encode(body) + b"\n\n"
