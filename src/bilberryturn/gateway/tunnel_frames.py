"""Frame the bytes of a server that a peer passes on.

A peer that ends closes its connections like a server that has sent all of its
answer, so that the end of an answer without length has to be stated.
"""

import struct

# Length of the bytes that follow, or one of the marks below.
_HEADER = struct.Struct("!I")
HEADER_BYTES = _HEADER.size
# The server closed its side in order.
END = 0
# The server reset the connection.
RESET = 0xFFFFFFFF


def header(length: int) -> bytes:
    """Return the bytes in front of a number of bytes, or a mark."""
    return _HEADER.pack(length)


def read_header(data: bytes) -> int:
    """Return the length or the mark at the begin of data."""
    return _HEADER.unpack_from(data)[0]
