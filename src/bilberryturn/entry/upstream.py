"""Build requests to model engines, which never identify the caller."""

import msgspec

from bilberryturn.entry import bodies


def build_body(
    body: bodies.ModelRequest,
    model: str,
    priority: int,
    max_tokens: int,
    text: str,
) -> bytes:
    """Return the body of a request to an engine.

    Args:
        body: Request of the caller.
        model: Model to run.
        priority: Tier of the request; 0 is the highest priority.
        max_tokens: Maximum number of tokens still to generate.
        text: Text generated so far, which the engine continues.
    """
    fields = dict(body.fields)
    fields["model"] = model
    fields["priority"] = priority
    fields.pop("max_completion_tokens", None)
    if body.route != "embeddings":
        fields["max_tokens"] = max_tokens
    if body.is_stream:
        fields["stream_options"] = {"include_usage": True}
    if not text:
        return msgspec.json.encode(fields)
    if body.route != "chat/completions":
        fields["continue_text"] = text
        return msgspec.json.encode(fields)
    fields["messages"] = [
        *fields["messages"],
        {"role": "assistant", "content": text},
    ]
    fields["continue_final_message"] = True
    fields["add_generation_prompt"] = False
    return msgspec.json.encode(fields)


def build_headers(request_id: str, is_stream: bool) -> tuple[str, ...]:
    """Return all headers of a request to an engine."""
    accept = "text/event-stream" if is_stream else "application/json"
    return (
        "Content-Type: application/json",
        f"Accept: {accept}",
        f"X-Request-Id: {request_id}",
    )
