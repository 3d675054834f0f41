"""Decode and encode the HTTP headers of the users' platform.

The header names are used in this package only.
"""

from typing import NamedTuple

from bilberryturn.routing import types

REQUEST_ID = b"x-bilberryturn-attempt-id"
# Remaining time of the caller in milliseconds, from when it sent the request.
DEADLINE = b"x-bilberryturn-deadline-ms"
# Despite its name not a hash, but the ordered list ID:TOKENS of the parts of
# the prompt.
PROMPT_PARTS = b"x-bilberryturn-prefix-hash"
PROMPT_TOKENS = b"x-bilberryturn-tokens"
# Set by a backend server to prove that it produced the response itself.
SEAL = b"x-bilberryturn-server-seal"
CLIENT_ACCOUNT = b"x-bilberryturn-tenant"
EXPECTED_SERVER = b"x-bilberryturn-expect-instance"
# Requests a second that a server in need takes from all nodes together.
SERVER_LIMIT = b"server-limit"
# Rejections in a second that a brittle server withstands.
SERVER_BRITTLE = b"server-brittle"
SERVER_LEAVING = b"server-leaving"
# Milliseconds for which the server stays cold.
COLD_LEFT = b"x-bilberryturn-cold-ms"
NOT_RUN = b"x-bilberryturn-not-run"
URGENCY = b"x-bilberryturn-request-urgency"
LAST_EVENT_ID = b"last-event-id"
# Names the request that brought the first event of the stream to take up.
RESUMES = b"resumes"
# Names the copy of a moved run.
MOVED_FROM = b"kv-from"
DUTY_HOLDER = "X-Bilberryturn-Duty-Holder"
FENCING_NUMBER = "X-Bilberryturn-Fence"
# In each answer of the store; one higher after each restore from a copy.
STORE_ERA = "store-era"

MOST_URGENT = 0
LEAST_URGENT = 9
_MAX_COLD_LEFT_S = 3600.0

# Set only by nodes and backend servers; removed from callers' requests.
_SYSTEM_HEADERS = frozenset(
    {
        CLIENT_ACCOUNT,
        EXPECTED_SERVER,
        URGENCY,
        DEADLINE,
        b"x-bilberryturn-hold",
        b"x-bilberryturn-pin-ms",
        b"x-bilberryturn-kv-backup",
        b"x-bilberryturn-expect-version",
        MOVED_FROM,
        b"kv-fetch",
        b"wait-ms",
        NOT_RUN,
        SEAL,
    }
)
# Forwarded even if the caller names them in its Connection header.
_END_TO_END = frozenset(
    {
        REQUEST_ID,
        PROMPT_PARTS,
        PROMPT_TOKENS,
        LAST_EVENT_ID,
        b"x-bilberryturn-model",
        b"x-bilberryturn-length-hint",
        b"host",
    }
)
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    }
)

Headers = list[tuple[bytes, bytes]]


class CallerHeaders(NamedTuple):
    """Values decoded from the headers of a caller's request.

    Attributes:
        caller_timeout_s: How long the caller waits, or None if not given.
        last_event_id: Event after which an interrupted stream resumes, or
            None.
        forwarded: Headers to forward to a backend server.
        resumed_request_id: Request that brought the first event of the stream
            to take up, or None.
    """

    request_id: str
    host: str
    key: str | None
    caller_timeout_s: float | None
    prompt: types.Prompt | None
    last_event_id: str | None
    forwarded: Headers
    resumed_request_id: str | None = None


def read_caller_headers(headers: Headers) -> CallerHeaders:
    """Decode the headers of a request; malformed values count as absent."""
    first_values: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()
    for name, value in headers:
        first_values.setdefault(name, value)
        if name == b"connection":
            connection_options.update(
                t.strip().lower() for t in value.split(b",")
            )
    dropped = (
        _HOP_BY_HOP
        | _SYSTEM_HEADERS
        | (connection_options - _END_TO_END)
        | {b"authorization"}
    )
    forwarded = [pair for pair in headers if pair[0] not in dropped]
    return CallerHeaders(
        request_id=_decode_text(first_values.get(REQUEST_ID, b"")),
        host=_decode_text(first_values.get(b"host", b"")),
        key=_bearer_token(first_values.get(b"authorization")),
        caller_timeout_s=_milliseconds_to_s(first_values.get(DEADLINE)),
        prompt=_decode_prompt(
            first_values.get(PROMPT_TOKENS), first_values.get(PROMPT_PARTS)
        ),
        last_event_id=_optional_text(first_values.get(LAST_EVENT_ID)),
        forwarded=forwarded,
        resumed_request_id=_optional_text(first_values.get(RESUMES)),
    )


def server_headers(
    caller: CallerHeaders,
    server_id: str,
    client_account: str | None,
    caller_timeout_s: float,
    priority: int | None,
    last_event_id: str | None,
    body: bytes,
    method: bytes,
    moved_from: str | None = None,
) -> Headers:
    """Return the headers of a request to a backend server."""
    headers = [
        pair
        for pair in caller.forwarded
        if pair[0] != LAST_EVENT_ID or last_event_id is None
    ]
    headers.append(
        (DEADLINE, str(max(1, int(caller_timeout_s * 1000))).encode())
    )
    headers.append((EXPECTED_SERVER, server_id.encode()))
    if client_account is not None:
        headers.append((CLIENT_ACCOUNT, client_account.encode()))
    if priority is not None:
        urgency = min(LEAST_URGENT, max(MOST_URGENT, priority))
        headers.append((URGENCY, str(urgency).encode()))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode()))
    if moved_from is not None:
        headers.append((MOVED_FROM, moved_from.encode()))
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", str(len(body)).encode()))
    return headers


class ServerResponse(NamedTuple):
    """Values decoded from the head of a backend server's response.

    Attributes:
        is_not_run: Whether the server states that it did not run the request.
        closes_connection: Whether the server closes the connection after the
            response.
        has_framing: Whether the body has a length or chunks; otherwise it ends
            with its connection, also if the server crashed.
        idle_timeout_s: How long the server keeps an idle connection open.
        limit_per_s: Requests a second that the server takes from all nodes
            together, or None if it names no limit.
        is_leaving: Whether the server is about to end and takes no more
            requests.
        cold_left_s: Time for which the server stays cold; None if it does not
            say.
        is_event_stream: Whether the body consists of server-sent events.
        headers: Headers to forward to the caller.
        brittle_per_s: Rejections in a second that the server withstands; it
            falls over at more. None if it does not say that it is brittle.
    """

    status: int
    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    closes_connection: bool
    has_framing: bool
    idle_timeout_s: float | None
    retry_after_s: float | None
    limit_per_s: float | None
    is_leaving: bool
    is_event_stream: bool
    headers: Headers
    cold_left_s: float | None = None
    brittle_per_s: float | None = None


def read_server_response(status: int, headers: Headers) -> ServerResponse:
    """Decode the head of a backend server's response."""
    values = dict(headers)
    connection = values.get(b"connection", b"").lower()
    media_type, _, _ = values.get(b"content-type", b"").partition(b";")
    encoding = values.get(b"content-encoding", b"").strip().lower()
    return ServerResponse(
        status=status,
        request_id=_decode_text(values.get(REQUEST_ID, b"")),
        is_sealed=SEAL in values,
        is_not_run=NOT_RUN in values or status == 421,
        is_encoded=encoding not in (b"", b"identity"),
        closes_connection=b"close" in connection,
        has_framing=b"content-length" in values
        or b"transfer-encoding" in values,
        idle_timeout_s=_keep_alive_s(values.get(b"keep-alive")),
        retry_after_s=_bounded_float(values.get(b"retry-after")),
        limit_per_s=_bounded_float(values.get(SERVER_LIMIT)),
        is_leaving=values.get(SERVER_LEAVING, b"0").strip() != b"0",
        is_event_stream=media_type.strip().lower() == b"text/event-stream",
        headers=[pair for pair in headers if pair[0] not in _HOP_BY_HOP],
        cold_left_s=_cold_left_s(values.get(COLD_LEFT)),
        brittle_per_s=_bounded_float(values.get(SERVER_BRITTLE)),
    )


def _cold_left_s(value: bytes | None) -> float | None:
    cold_left_s = _milliseconds_to_s(value)
    # A longer time is taken for an error of the server.
    is_plausible = cold_left_s is not None and cold_left_s <= _MAX_COLD_LEFT_S
    return cold_left_s if is_plausible else None


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _optional_text(value: bytes | None) -> str | None:
    return None if value is None else _decode_text(value)


def _bearer_token(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = _decode_text(value).partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def _bounded_float(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None


def _milliseconds_to_s(value: bytes | None) -> float | None:
    number = _bounded_float(value)
    return None if number is None else number / 1000


def _keep_alive_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _bounded_float(number)
    return None


def _decode_prompt(
    tokens: bytes | None, parts: bytes | None
) -> types.Prompt | None:
    if tokens is None:
        return None
    try:
        counts = [int(item) for item in tokens.split(b",")]
        pairs = [
            item.strip().rpartition(b":") for item in (parts or b"").split(b",")
        ]
        prompt_parts = tuple(
            types.PromptPart(_decode_text(name), max(0, int(number)))
            for name, _, number in pairs
            if name
        )
    except ValueError:
        return None
    output = counts[1] if len(counts) > 1 else 0
    return types.Prompt(prompt_parts, max(0, counts[0]), max(0, output))
