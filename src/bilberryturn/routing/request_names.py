"""Identify requests across their retries.

A request has two names. The name of its call stands for its client account,
target and body, and that of its prompt for its last part as well: requests
with equal bodies may still have different prompts.
"""

import hashlib

_DIGEST_BYTES = 8
_PROMPT_DIGEST_BYTES = 4
_SEPARATOR = "_"


def name(
    client_account: str, target: str, body: bytes, last_part: str = ""
) -> str:
    """Return a name that is equal for all retries of a request.

    Args:
        client_account: Name of the client account.
        target: Path and query.
        body: The body.
        last_part: Identifier of the last part of the prompt, if it has one.
    """
    call = _digest((client_account.encode(), target.encode(), body))
    if not last_part:
        return call
    prompt = _digest((last_part.encode(),), _PROMPT_DIGEST_BYTES)
    return f"{call}{_SEPARATOR}{prompt}"


def call_name(request: str) -> str:
    """Return the part of a request's name that stands for its call."""
    return request.partition(_SEPARATOR)[0]


def _digest(parts: tuple[bytes, ...], size_bytes: int = _DIGEST_BYTES) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
