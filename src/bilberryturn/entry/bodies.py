"""Parse and validate the bodies of requests."""

import hashlib
from typing import Any
import urllib.parse

import msgspec

from bilberryturn.entry import exceptions

PREFIX_BLOCK_CHARACTERS = 64
MAX_PREFIX_BLOCKS = 12
CHARACTERS_PER_TOKEN = 4
PROFILE_MODEL_PREFIX = "profile:"
MAX_NAME_CHARACTERS = 200


class ModelRequest(msgspec.Struct):
    """Validated request to a model.

    Attributes:
        fields: The complete decoded body.
        prompt: Text from which the number of input tokens is estimated and
            the prefixes are hashed.
    """

    route: str
    fields: dict[str, Any]
    model: str
    prompt: str
    is_stream: bool
    wants_usage: bool
    max_tokens: int | None

    @property
    def input_tokens(self) -> int:
        """Return the estimated number of input tokens."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)

    def prefix_blocks(self) -> tuple[str, ...]:
        """Return hashes of prompt prefixes, each twice as long as the last."""
        digest = hashlib.blake2b(digest_size=8)
        blocks = []
        start, end = 0, PREFIX_BLOCK_CHARACTERS
        while end <= len(self.prompt) and len(blocks) < MAX_PREFIX_BLOCKS:
            part = self.prompt[start:end]
            digest.update(part.encode("utf-8", "surrogatepass"))
            blocks.append(digest.hexdigest())
            start, end = end, end * 2
        return tuple(blocks)


def parse_model_request(route: str, body: bytes) -> ModelRequest:
    """Parse and validate the body of a request to a model.

    Args:
        route: "chat/completions", "completions" or "embeddings".
        body: Bytes of the body.

    Raises:
        InvalidBodyError: The body is not a valid JSON object of the route.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise exceptions.InvalidBodyError(str(error)) from error
    model = fields.get("model", "")
    if not isinstance(model, str) or len(model) > MAX_NAME_CHARACTERS:
        raise exceptions.InvalidBodyError("`model` is not a name")
    is_stream = fields.get("stream", False)
    if not isinstance(is_stream, bool):
        raise exceptions.InvalidBodyError("`stream` is not true or false")
    if is_stream and route == "embeddings":
        raise exceptions.InvalidBodyError("embeddings cannot be streamed")
    options = fields.get("stream_options") or {}
    if not isinstance(options, dict):
        raise exceptions.InvalidBodyError("`stream_options` is not an object")
    return ModelRequest(
        route,
        fields,
        model,
        _prompt(route, fields),
        is_stream,
        bool(options.get("include_usage")),
        _max_tokens(fields),
    )


def _max_tokens(fields: dict[str, Any]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise exceptions.InvalidBodyError(
                f"`{name}` is not a whole number above 0"
            )
        return value
    return None


def _prompt(route: str, fields: dict[str, Any]) -> str:
    if route == "chat/completions":
        return _chat_prompt(fields.get("messages"))
    name = "input" if route == "embeddings" else "prompt"
    value = fields.get(name)
    if isinstance(value, str) and value:
        return value
    if isinstance(value, list) and value:
        return msgspec.json.encode(value).decode()
    raise exceptions.InvalidBodyError(f"`{name}` is missing or empty")


def _chat_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise exceptions.InvalidBodyError("`messages` is missing or empty")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(
            message.get("role"), str
        ):
            raise exceptions.InvalidBodyError(
                "each of `messages` needs a `role`"
            )
        content = message.get("content")
        if content is not None and not isinstance(content, str | list):
            raise exceptions.InvalidBodyError(
                "`content` is neither a text nor a list"
            )
        text = content
        if not isinstance(content, str):
            text = msgspec.json.encode(content).decode()
        parts.append(f"{message['role']}\n{text}\n")
    return "".join(parts)


def fingerprint(client_account: str, content: bytes) -> str:
    """Return a hash that identifies equal requests of a client account."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(client_account.encode())
    digest.update(b"\0")
    digest.update(content)
    return digest.hexdigest()


def canonical(fields: dict[str, Any]) -> bytes:
    """Encode a JSON object so that equal objects give equal bytes."""
    return msgspec.json.encode(fields, order="deterministic")


def check_key_absent(key: str, *texts: str | bytes) -> None:
    """Check that the key would not be forwarded to a backend server.

    Args:
        key: Key of the caller; an empty key disables the check.
        texts: Paths, queries and bodies to be forwarded.

    Raises:
        KeyInRequestError: A text contains the key, plain, percent-encoded or
            with JSON escapes.
    """
    if not key:
        return
    for text in texts:
        if isinstance(text, bytes):
            text = text.decode("utf-8", "replace")
        if key in text or key in urllib.parse.unquote_plus(text):
            raise exceptions.KeyInRequestError()
        if "\\" in text and key in _unescaped(text):
            raise exceptions.KeyInRequestError()


def _unescaped(text: str) -> str:
    """Return JSON text with its escapes decoded, other text unchanged."""
    try:
        return msgspec.json.encode(msgspec.json.decode(text)).decode()
    except (msgspec.DecodeError, RecursionError, ValueError):
        return text
