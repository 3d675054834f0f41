"""Decode the entries with which backend servers register themselves."""

import ipaddress
from typing import Annotated

import expression
import msgspec

from bilberryturn.platform import decoding
from bilberryturn.platform import exceptions
from bilberryturn.routing import types

_READY = "ready"
_DRAINING = "draining"


# More than any server has; the store also holds entries of other writers.
_MAX_SLOTS = 1_000_000
# A longer time is taken for an error of its writer.
_MAX_COLD_LEFT_MS = 3_600_000
_MAX_VERSION_CHARACTERS = 100
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    seq: _Count
    slots: Annotated[int, msgspec.Meta(le=_MAX_SLOTS)] = 1
    # Whether the platform may reclaim the server at any time.
    spot: bool = False
    # Start time of the server process in Unix milliseconds.
    born: _Count = 0
    # Time until a server that is taken away ends.
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")
    # Time for which the server stays cold; decoded apart, so that a bad value
    # doesn't lose the entry.
    cold_left_ms: msgspec.Raw = msgspec.Raw(b"0")
    # Version of the server's software, a text by its writer's rules.
    version: msgspec.Raw = msgspec.Raw(b'""')


def decode(
    server_id: str, value: bytes
) -> expression.Result[types.BackendServer, exceptions.PlatformError]:
    """Return the server of an entry.

    Args:
        server_id: Key of the entry.
        value: The encoded entry; other programs may have written it.

    Returns:
        The server, or PlatformFormatError for an entry to be skipped.
    """
    try:
        entry = decoding.decode_json(value, type=_Entry)
    except msgspec.DecodeError as error:
        return _malformed(str(error))
    if entry.state not in (_READY, _DRAINING):
        return _malformed(f"state {entry.state!r} is unknown")
    host, _, port = entry.addr.rpartition(":")
    if not _is_ip_address(host) or not _is_port(port):
        return _malformed(f"address {entry.addr[:100]!r} is not IP:PORT")
    return expression.Ok(
        types.BackendServer(
            server_id=server_id,
            service=entry.service,
            host=host,
            port=int(port),
            failure_domain=entry.zone,
            slots=max(1, entry.slots),
            is_leaving=entry.state == _DRAINING,
            is_cheap=entry.spot,
            started_ms=entry.born,
            sequence=entry.seq,
            leaves_in_s=(
                None if entry.leaves_ms is None else entry.leaves_ms / 1000
            ),
            cold_left_s=_cold_left_s(entry.cold_left_ms),
            software_version=_version(entry.version),
        )
    )


def _cold_left_s(value: msgspec.Raw) -> float:
    """Return the time for which a server stays cold.

    A value that is no number, negative or implausibly long counts as not cold:
    a server that has just started is cold without it.
    """
    try:
        cold_left_ms = decoding.decode_json(bytes(value), type=float)
    except msgspec.DecodeError:
        return 0.0
    is_plausible = 0 <= cold_left_ms <= _MAX_COLD_LEFT_MS
    return cold_left_ms / 1000 if is_plausible else 0.0


def _version(value: msgspec.Raw) -> str:
    """Return a version as text; one of another type as it is stored."""
    text = bytes(value).decode(errors="replace")
    try:
        text = decoding.decode_json(bytes(value), type=str)
    except msgspec.DecodeError:
        pass
    return text[:_MAX_VERSION_CHARACTERS]


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    # isdigit alone accepts digits that int does not.
    is_number = text.isascii() and text.isdigit() and len(text) <= 5
    return is_number and 0 < int(text) < 65536


def _malformed(reason: str) -> expression.Result:
    return expression.Error(
        exceptions.PlatformFormatError("server entry", reason)
    )
