"""Decode JSON that other programs have written."""

from typing import Any

import msgspec


def decode_json(data: bytes | str, **options: Any) -> Any:
    """Return a decoded value.

    Args:
        data: The encoded value.
        **options: As for msgspec.json.decode.

    Raises:
        msgspec.DecodeError: The value cannot be decoded, or is nested so deeply
            that the decoder gives up.
    """
    try:
        return msgspec.json.decode(data, **options)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
