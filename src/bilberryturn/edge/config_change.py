"""Describe a configuration by what it has in common with an earlier one.

A configuration is stored as a whole, and most versions change few of its
routes. Both sides have the earlier one, so only the text between the common
pieces is sent.
"""

import itertools
import zlib

import msgspec

# Ends the entry of a route, a service or a client account.
_PIECE_END = b"},"


class Change(msgspec.Struct):
    """A configuration made of ranges of an earlier one and of new text.

    Attributes:
        base_digest: Digest of the earlier configuration; "" if there is none.
        ranges: Offset and length of each range, in order, in the earlier
            configuration followed by the new text.
        text: The new text, compressed (zlib).
    """

    base_digest: str
    ranges: list[tuple[int, int]]
    text: bytes


class ChangeError(ValueError):
    """A change does not describe a configuration; fetch all of it."""


def whole(config: bytes) -> Change:
    """Return a configuration without reference to an earlier one."""
    return Change("", [(0, len(config))], zlib.compress(config))


def between(base: bytes, base_digest: str, config: bytes) -> Change:
    """Return what leads from one configuration to another.

    Args:
        base: The earlier configuration.
        base_digest: Its digest.
        config: The configuration to describe.
    """
    offsets: dict[bytes, int] = {}
    for offset, piece in _pieces(base):
        offsets.setdefault(piece, offset)
    ranges: list[tuple[int, int]] = []
    text = bytearray()
    for _, piece in _pieces(config):
        offset = offsets.get(piece)
        if offset is None:
            offset = len(base) + len(text)
            text += piece
        _append(ranges, offset, len(piece))
    return Change(base_digest, ranges, zlib.compress(bytes(text)))


def apply(change: Change, base: bytes, max_bytes: int) -> bytes:
    """Return the configuration that a change describes.

    Args:
        change: The change.
        base: The earlier configuration.
        max_bytes: Size from which the change is refused.

    Raises:
        ChangeError: The change is malformed or the result too large.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(change.text, max_bytes)
    except zlib.error as error:
        raise ChangeError(f"its text cannot be decompressed: {error}") from None
    if sum(length for _, length in change.ranges) > max_bytes:
        raise ChangeError(f"it has over {max_bytes} bytes")
    source = base + text
    if any(
        offset < 0 or length < 0 or offset + length > len(source)
        for offset, length in change.ranges
    ):
        raise ChangeError("a range is outside of its source")
    return b"".join(source[o : o + length] for o, length in change.ranges)


def _pieces(config: bytes) -> list[tuple[int, bytes]]:
    """Return the pieces of a configuration with their offsets."""
    pieces = [piece + _PIECE_END for piece in config.split(_PIECE_END)]
    pieces[-1] = pieces[-1].removesuffix(_PIECE_END)
    ends = itertools.accumulate(len(piece) for piece in pieces)
    return [
        (end - len(piece), piece)
        for end, piece in zip(ends, pieces, strict=True)
    ]


def _append(ranges: list[tuple[int, int]], offset: int, length: int) -> None:
    """Append a range, joined with the last one if it goes on there."""
    if ranges and sum(ranges[-1]) == offset:
        last_offset, last_length = ranges[-1]
        ranges[-1] = (last_offset, last_length + length)
        return
    ranges.append((offset, length))
