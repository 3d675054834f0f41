"""Encode the request that moves a running request to another engine."""

from typing import NamedTuple

import msgspec

from bilberryturn.platform import decoding

METHOD = b"POST"
TARGET = b"/kv-move"


class _Move(msgspec.Struct):
    id: str
    to: str
    # Whether the run stops before the copy is made.
    last: bool


class _Moved(msgspec.Struct, rename="camel"):
    result_handle: str


class Moved(NamedTuple):
    """Result of a move: the copy is at the destination.

    Attributes:
        handle: Names the copy; it can be used once.
    """

    handle: str


def encode(request_id: str, destination: str) -> bytes:
    """Return the body that stops a run and copies its memory.

    Args:
        request_id: Identifier of the running request.
        destination: HOST:PORT of the engine that gets the copy.
    """
    return msgspec.json.encode(_Move(request_id, destination, True))


def decode(status: int, body: bytes) -> Moved | None:
    """Decode the response; returns None if there is no copy."""
    if status != 200:
        return None
    try:
        return Moved(decoding.decode_json(body, type=_Moved).result_handle)
    except msgspec.DecodeError:
        return None


def source_of(address: str, handle: str) -> str:
    """Return the value that names a copy by its source and handle."""
    return f"{address}/{handle}"
