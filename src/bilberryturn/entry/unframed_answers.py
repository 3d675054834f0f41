"""Judge whether an answer without length or chunks is complete.

Such an answer ends with its connection, which also ends if its server does.
The system closes all connections of a process that ends, so that another one
tells which it was.
"""

import socket
import time

from bilberryturn import backends

# The caller waits for this check.
CONNECT_TIMEOUT_S = 0.5
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Connections that a process leaves behind end within this time of each other.
WAIT_S = 0.1
# A connection that was opened just before the end may be one to the next
# process at the same address.
MIN_AGE_S = 0.02


class SpareConnection:
    """Another connection to the server of an answer that has begun."""

    def __init__(self, address: str, source_address: str):
        """Open the connection; without one nothing can be told by it.

        Args:
            address: HOST:PORT of the server.
            source_address: Local IP address to connect from, or empty for any.
        """
        self._socket: socket.socket | None = None
        try:
            self._socket = _connect(address, source_address)
        except OSError:
            pass
        self._opened_s = time.monotonic()

    def goes_on(self) -> bool | None:
        """Return whether the server goes on after its answer has ended.

        None if this connection cannot show it.
        """
        if self._socket is None:
            return None
        if time.monotonic() - self._opened_s < MIN_AGE_S:
            return None
        self._socket.settimeout(WAIT_S)
        try:
            self._socket.recv(1)
        except TimeoutError:
            return True
        except ConnectionError:
            # The server may take no further connection.
            return None
        return False

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def is_unframed(head: backends.CallHead, method: str) -> bool:
    """Return whether only the end of its connection ends an answer."""
    has_framing = (
        "content-length" in head.headers or "transfer-encoding" in head.headers
    )
    has_no_body = head.status in STATUSES_WITHOUT_BODY or method == "HEAD"
    return not has_framing and not has_no_body


def find_cut(
    spare: SpareConnection,
    is_empty: bool,
    address: str,
    source_address: str,
) -> str:
    """Return why an answer without framing may have been cut, or an empty text.

    Args:
        spare: Another connection to its server.
        is_empty: Whether the answer has no body.
        address: HOST:PORT of the server.
        source_address: Local IP address to connect from, or empty for any.
    """
    if is_empty:
        return "the answer ended at once"
    goes_on = spare.goes_on()
    if goes_on:
        return ""
    if goes_on is False or _is_refusing(address, source_address):
        return "the answer may be cut: its server has ended"
    return ""


def _is_refusing(address: str, source_address: str) -> bool:
    """Return whether nothing listens any more at an address."""
    try:
        _connect(address, source_address).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # A server that cannot be reached now had closed in good order.
        return False
    return False


def _connect(address: str, source_address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection(
        (host, int(port)),
        CONNECT_TIMEOUT_S,
        (source_address, 0) if source_address else None,
    )
