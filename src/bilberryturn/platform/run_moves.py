"""Encode the request that moves a running request to another engine."""

from typing import NamedTuple
import urllib.parse

import msgspec

from bilberryturn.platform import decoding

METHOD = b"POST"
TARGET = b"/kv-move"
RELEASE_METHOD = b"DELETE"
_RELEASE_PREFIX = "/kv-handle/"

COPIED = 200
NO_SUCH_RUN = 404
# The run is stopped, but the destination has no room or cannot be reached.
NOT_COPIED = 503


class _Move(msgspec.Struct):
    id: str
    to: str
    # Whether the run stops before the copy is made.
    last: bool


class _Moved(msgspec.Struct, rename="camel"):
    result_handle: str


class Reply(NamedTuple):
    """Result of a request to move a run.

    Attributes:
        handle: Names the memory of the stopped run, or None.
        is_copied: Whether the destination has a copy of it, which can be used
            once; otherwise the source alone keeps it.
        may_have_stopped: Whether the run may have been stopped.
    """

    handle: str | None
    is_copied: bool
    may_have_stopped: bool


def encode(request_id: str, destination: str) -> bytes:
    """Return the body that stops a run and copies its memory.

    Args:
        request_id: Identifier of the running request.
        destination: HOST:PORT of the engine that gets the copy.
    """
    return msgspec.json.encode(_Move(request_id, destination, True))


def decode(status: int, body: bytes) -> Reply:
    """Decode the response."""
    if status == NO_SUCH_RUN:
        return Reply(None, False, False)
    if status not in (COPIED, NOT_COPIED):
        return Reply(None, False, True)
    try:
        handle = decoding.decode_json(body, type=_Moved).result_handle
    except msgspec.DecodeError:
        return Reply(None, False, True)
    return Reply(handle, status == COPIED, True)


def release_target(handle: str) -> bytes:
    """Return the target of the call that frees the memory of a run."""
    return f"{_RELEASE_PREFIX}{urllib.parse.quote(handle, safe='')}".encode()


def source_of(address: str, handle: str) -> str:
    """Return the value that names a copy by its source and handle."""
    return f"{address}/{handle}"
