"""Decode the entries with which backend servers register themselves."""

import expression
import msgspec

from bilberryturn.platform import exceptions
from bilberryturn.routing import types

_READY = "ready"
_DRAINING = "draining"


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    seq: int
    slots: int = 1
    # Whether the platform may reclaim the server at any time.
    spot: bool = False
    # Start time of the server process in Unix milliseconds.
    born: int = 0
    # Time until a server that is taken away ends.
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")


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
        entry = msgspec.json.decode(value, type=_Entry)
    except msgspec.DecodeError as error:
        return _malformed(str(error))
    if entry.state not in (_READY, _DRAINING):
        return _malformed(f"state {entry.state!r} is unknown")
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return _malformed(f"address {entry.addr!r} is not HOST:PORT")
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
        )
    )


def _malformed(reason: str) -> expression.Result:
    return expression.Error(
        exceptions.PlatformFormatError("server entry", reason)
    )
