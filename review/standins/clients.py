"""Clients: send one request on a connection of its own and read the answer."""

import asyncio
import itertools
import time
from typing import NamedTuple
import uuid

from standins import http1
from standins import records

_numbers = itertools.count(1)


def new_attempt_id() -> str:
    """Return an id that no other request has."""
    return f"{next(_numbers):04d}{uuid.uuid4().hex[:12]}"


class Answer(NamedTuple):
    """What the client has seen.

    Attributes:
        status: Status; 0 if no head arrived.
        is_complete: Whether the whole body arrived, as its framing tells.
        duration_s: Time from the sending to the end of the answer, or until
            the client gave up.
    """

    attempt_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    duration_s: float


class Request(NamedTuple):
    """A request of a client."""

    method: str
    path: str
    host: str
    key: str
    timeout_s: float
    body: bytes = b""
    extra: str = ""


async def send(
    address: tuple[str, int], request: Request, record: records.Record
) -> Answer:
    """Send a request; closes the connection when its time limit is over."""
    attempt_id = new_attempt_id()
    started_s = time.monotonic()
    record.add(
        "client",
        f"sends {request.method} {request.path} id {attempt_id}"
        f" to {address[0]}",
    )
    seen = _Seen()
    try:
        async with asyncio.timeout(request.timeout_s):
            await _exchange(address, request, attempt_id, seen)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if seen.writer is not None:
            seen.writer.transport.abort()
    answer = Answer(
        attempt_id,
        seen.status,
        seen.headers,
        seen.body,
        seen.is_complete,
        time.monotonic() - started_s,
    )
    record.add(
        "client",
        f"id {attempt_id} ended: status {answer.status or 'none'},"
        f" {len(answer.body)} bytes,"
        f" {'whole' if answer.is_complete else 'not whole'},"
        f" after {answer.duration_s:.3f} s",
    )
    return answer


class _Seen:
    def __init__(self):
        self.writer: asyncio.StreamWriter | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


async def _exchange(
    address: tuple[str, int], request: Request, attempt_id: str, seen: _Seen
) -> None:
    reader, seen.writer = await asyncio.open_connection(*address)
    length = f"Content-Length: {len(request.body)}\r\n" if request.body else ""
    seen.writer.write(
        (
            f"{request.method} {request.path} HTTP/1.1\r\n"
            f"Host: {request.host}\r\n"
            f"X-Bilberryturn-Attempt-Id: {attempt_id}\r\n"
            f"X-Bilberryturn-Deadline-Ms: {int(request.timeout_s * 1000)}\r\n"
            f"Authorization: Bearer {request.key}\r\n"
            f"{request.extra}{length}\r\n"
        ).encode()
        + request.body
    )
    start, seen.headers = await http1.read_head(reader)
    seen.status = int(start.split(" ", 2)[1])
    if "chunked" in seen.headers.get("transfer-encoding", "").lower():
        while chunk := await http1.read_chunk(reader):
            seen.body += chunk
    else:
        length = int(seen.headers.get("content-length", 0))
        while len(seen.body) < length:
            data = await reader.read(65536)
            if not data:
                return
            seen.body += data
    seen.is_complete = True
