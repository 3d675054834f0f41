"""Judge whether an answer without length or chunks is complete.

Such an answer ends with its connection, which also ends if its server does.
"""

import socket

from bilberryturn import backends

# The caller waits for this check.
CONNECT_TIMEOUT_S = 0.5
STATUSES_WITHOUT_BODY = frozenset({204, 304})


def find_cut(
    head: backends.CallHead,
    method: str,
    is_empty: bool,
    address: str,
    source_address: str,
) -> str:
    """Return why an answer may have been cut, or an empty text.

    Args:
        head: Head of the answer.
        method: Method of the call.
        is_empty: Whether the answer has no body.
        address: HOST:PORT of the server.
        source_address: Local IP address to connect from, or empty for any.
    """
    is_framed = (
        "content-length" in head.headers or "transfer-encoding" in head.headers
    )
    has_no_body = head.status in STATUSES_WITHOUT_BODY or method == "HEAD"
    if is_framed or has_no_body:
        return ""
    if is_empty:
        return "the answer ended at once"
    if _is_refusing(address, source_address):
        return "the answer may be cut: its server has ended"
    return ""


def _is_refusing(address: str, source_address: str) -> bool:
    """Return whether nothing listens any more at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection(
            (host, int(port)),
            CONNECT_TIMEOUT_S,
            (source_address, 0) if source_address else None,
        ).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # A server that cannot be reached now had closed in good order.
        return False
    return False
