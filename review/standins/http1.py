"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import socket
import struct
from typing import NamedTuple

MAX_HEAD_BYTES = 65536


class Message(NamedTuple):
    """Start line, headers by name in lower case, and body."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
        OSError: The connection was reset.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return start, headers


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request with a length or chunks."""
    start, headers = await read_head(reader)
    return Message(start, headers, await _read_framed(reader, headers))


async def _read_framed(reader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; empty at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()
