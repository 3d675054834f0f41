"""Assemble a response from the events of one or more attempts."""

from collections.abc import Callable
import time

import msgspec
import sseclient

from bilberryturn.entry import attempts


class AssembledResponse:
    """Response that the caller has received so far.

    Attributes:
        texts: Text of each token.
        last_event_id: Number of the last event of the current attempt.
        first_token_at_s: Monotonic time of the first token, 0 if none.
        input_tokens: Input tokens reported by the engine, 0 if unknown.
        cached_tokens: Input tokens that the engine read from its cache, -1 if
            unknown.
    """

    def __init__(self, wants_usage: bool, on_tokens: Callable[[int], None]):
        self._wants_usage = wants_usage
        self._on_tokens = on_tokens
        self._response_id = ""
        self.texts: list[str] = []
        self.last_event_id = 0
        self.first_token_at_s = 0.0
        self.last_token_at_s = 0.0
        self.input_tokens = 0
        self.cached_tokens = -1

    @property
    def output_tokens(self) -> int:
        """Return the tokens generated for the caller so far."""
        return len(self.texts)

    @property
    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(self.texts)

    @property
    def mean_gap_s(self) -> float:
        """Return the mean time between tokens, 0 for fewer than two."""
        if self.output_tokens < 2:
            return 0.0
        span_s = self.last_token_at_s - self.first_token_at_s
        return span_s / (self.output_tokens - 1)

    def start_attempt(self) -> None:
        """Reset the event number; a new attempt numbers its events anew."""
        self.last_event_id = 0

    def process_event(self, event: sseclient.Event) -> bytes | None:
        """Return the event to forward to the caller, or None.

        Events whose number has been received before are dropped.

        Raises:
            AttemptFailedError: The event is malformed.
        """
        try:
            return self._process_event(event)
        except (
            msgspec.DecodeError,
            AttributeError,
            LookupError,
            TypeError,
            ValueError,
        ):
            raise attempts.AttemptFailedError(
                "the stream holds an event of unknown form", False, True
            ) from None

    def _process_event(self, event: sseclient.Event) -> bytes | None:
        if event.id is not None and event.id.isdigit():
            number = int(event.id)
            if number <= self.last_event_id:
                return None
            self.last_event_id = number
        chunk = msgspec.json.decode(event.data)
        usage = chunk.get("usage")
        if usage:
            self._record_usage(usage)
        choices = chunk.get("choices") or []
        if not choices:
            return self._usage_event(chunk) if usage else None
        text = _text_of(choices[0])
        if text:
            self._record_token(text)
        if not self._response_id:
            self._response_id = chunk.get("id", "")
        if chunk.get("id") != self._response_id:
            chunk["id"] = self._response_id
            return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
        return b"data: " + event.data.encode() + b"\n\n"

    def _usage_event(self, chunk: dict) -> bytes | None:
        """Return the usage over all attempts if the caller requested it."""
        if not self._wants_usage:
            return None
        chunk["id"] = self._response_id or chunk.get("id", "")
        chunk["usage"]["completion_tokens"] = self.output_tokens
        chunk["usage"]["total_tokens"] = (
            chunk["usage"].get("prompt_tokens", 0) + self.output_tokens
        )
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def _record_token(self, text: str) -> None:
        self.last_token_at_s = time.monotonic()
        if not self.first_token_at_s:
            self.first_token_at_s = self.last_token_at_s
        self.texts.append(text)
        self._on_tokens(1)

    def record_buffered_response(self, body: bytes) -> None:
        """Record the usage of a response that was not streamed.

        Raises:
            AttemptFailedError: The response is malformed.
        """
        try:
            usage = msgspec.json.decode(body).get("usage") or {}
            count = int(usage.get("completion_tokens") or 0)
            self._record_usage(usage)
        except (msgspec.DecodeError, AttributeError, TypeError, ValueError):
            raise attempts.AttemptFailedError(
                "the answer is of unknown form", False, True
            ) from None
        self.first_token_at_s = self.last_token_at_s = time.monotonic()
        self.texts = [""] * count
        self._on_tokens(count)

    def _record_usage(self, usage: dict) -> None:
        self.input_tokens = int(usage.get("prompt_tokens") or 0)
        details = usage.get("prompt_tokens_details") or {}
        self.cached_tokens = int(details.get("cached_tokens") or 0)


def _text_of(choice: dict) -> str:
    delta = choice.get("delta")
    if isinstance(delta, dict):
        return delta.get("content") or ""
    return choice.get("text") or ""
