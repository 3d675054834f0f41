"""Run requests to models: attempts, streams, resumption, continuation."""

from collections.abc import Iterator
import time
from typing import Any

import msgspec
import sseclient

from bilberryturn import backends
from bilberryturn import events
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn.entry import bodies
from bilberryturn.entry import context
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.entry import grants
from bilberryturn.scheduling import suspects

kinds = messages.kinds

MAX_ATTEMPTS = 4
MAX_RESUMES = 2
USAGE_INCREMENT_TOKENS = 200
DONE_EVENT = b"data: [DONE]\n\n"
CONTROL_TIMEOUT_S = 2.0
CLIENT_ERRORS = range(400, 500)
RETRIED_STATUSES = frozenset({404, 408, 425, 429})


class AttemptFailedError(Exception):
    """Reports that one attempt did not give a whole answer.

    Attributes:
        crashed: Whether the server seems to have crashed.
        may_have_run: Whether the server may have received the request.
    """

    def __init__(self, reason: str, crashed: bool, may_have_run: bool):
        super().__init__(reason)
        self.reason = reason
        self.crashed = crashed
        self.may_have_run = may_have_run


class StreamCutError(Exception):
    """Reports that the connection of a stream ended too early."""

    def __init__(self, end: backends.CallEnd, heard: bool):
        super().__init__(end.error)
        self.end = end
        self.heard = heard


class RevokedError(Exception):
    """Reports that the broker has taken the grant back."""

    def __init__(self, message: kinds.Preempted | kinds.Moved):
        super().__init__(type(message).__name__)
        self.message = message


class StatusError(Exception):
    """Reports an answer whose status is not 200."""

    def __init__(self, status: int, body: bytes):
        super().__init__(str(status))
        self.status = status
        self.body = body


class ModelRun:
    """Runs one request to a model to its end."""

    def __init__(
        self,
        node: context.EntryContext,
        request: exchange.Exchange,
        body: bodies.ModelRequest,
        models: tuple[str, ...],
    ):
        self._node = node
        self._exchange = request
        self._body = body
        self._max_tokens = min(
            body.max_tokens or request.profile.max_output_tokens,
            request.profile.max_output_tokens,
        )
        expected = request.profile.expected_output_tokens
        self._demand = grants.Demand(
            models,
            body.input_tokens,
            min(self._max_tokens, expected),
            len(body.prompt) + expected * 200,
            body.prefix_blocks(),
        )
        self._holder = grants.GrantHolder(node, request, self._demand)
        self._fingerprint = bodies.fingerprint(
            request.client_account, bodies.canonical(body.fields)
        )
        self._text: list[str] = []
        self._answer_id = ""
        self._last_event_id = 0
        self._first_token_at_s = 0.0
        self._last_token_at_s = 0.0
        self._reported_tokens = 0
        self._input_tokens = 0
        self._call: backends.Call | None = None
        self._is_over = False

    @property
    def output_tokens(self) -> int:
        """Return the tokens generated for the caller so far."""
        return len(self._text)

    def whole(self) -> tuple[bytes, str]:
        """Return the whole answer and its content type.

        Raises:
            RequestError: There is no answer.
        """
        try:
            for result in self._attempts(self._whole_attempt):
                self._close("done")
                return result
            raise exceptions.UpstreamFailedError()
        finally:
            self._close("cancelled")

    def stream(self) -> Iterator[bytes]:
        """Yield server-sent events; the caller gets each of them once.

        Raises:
            RequestError: The answer has failed; what was yielded stands.
        """
        try:
            yield from self._attempts(self._stream_attempt)
            self._close("done")
            yield DONE_EVENT
        finally:
            self._close("cancelled")

    def _attempts(self, attempt) -> Iterator[Any]:
        while True:
            self._check_suspect()
            try:
                self._holder.obtain()
            except exceptions.RequestError:
                self._abort_call()
                raise
            self._demand.attempts += 1
            try:
                yield from attempt()
                self._succeed()
                return
            except RevokedError as error:
                self._give_way(error.message)
            except AttemptFailedError as error:
                self._after_failure(error)
            except StatusError as error:
                self._after_status(error)

    def _check_suspect(self) -> None:
        verdict = self._node.suspects.verdict(self._fingerprint)
        if verdict == suspects.QUARANTINED:
            raise exceptions.QuarantinedError()
        self._demand.isolated = verdict == suspects.ISOLATE

    def _succeed(self) -> None:
        self._holder.release("done")
        self._node.suspects.succeeded(self._fingerprint)

    def _give_way(self, message: kinds.Preempted | kinds.Moved) -> None:
        """Stop on this server; the text so far is kept."""
        self._cancel_upstream()
        self._demand.preemptions += 1
        if isinstance(message, kinds.Moved):
            self._exclude(message.server)
        self._exchange.note("revoked", why=type(message).__name__)
        self._holder.release("preempted")
        reason = type(message).__name__.lower()
        metrics.add(metrics.RETRIES, {"reason": reason})
        self._waste()

    def _waste(self) -> None:
        """Count what a whole answer loses when it starts again."""
        if self._body.is_stream:
            return
        metrics.add(
            metrics.TOKENS, {"kind": "wasted"}, self._holder.output_tokens
        )

    def _exclude(self, server: str) -> None:
        excluded = dict.fromkeys(self._demand.excluded_servers)
        excluded[server] = None
        self._demand.excluded_servers = tuple(excluded)

    def _after_failure(self, error: AttemptFailedError) -> None:
        """Prepare the next attempt, or raise the final error."""
        server = self._holder.grant.server
        self._exchange.note(
            "failed", server=server, why=error.reason, crashed=error.crashed
        )
        self._holder.release("failed" if error.may_have_run else "not_sent")
        self._exclude(server)
        self._waste()
        if error.crashed:
            marks = self._node.suspects.crashed(self._fingerprint)
            if marks >= suspects.MARKS_TO_QUARANTINE:
                events.log(
                    events.REQUEST_QUARANTINED,
                    request_id=self._exchange.request_id,
                    fingerprint=self._fingerprint,
                )
                raise exceptions.QuarantinedError()
        if self._demand.attempts - self._demand.preemptions >= MAX_ATTEMPTS:
            raise exceptions.UpstreamFailedError(error.reason)
        metrics.add(metrics.RETRIES, {"reason": "failed"})
        events.log(
            events.REQUEST_RETRIED,
            request_id=self._exchange.request_id,
            server=server,
            reason=error.reason,
        )

    def _after_status(self, error: StatusError) -> None:
        """Try another server, or pass the engine's refusal on."""
        is_final = (
            error.status in CLIENT_ERRORS
            and error.status not in RETRIED_STATUSES
        )
        if is_final:
            self._holder.release("done")
            raise exceptions.UpstreamRefusedError(_engine_message(error.body))
        self._after_failure(
            AttemptFailedError(f"status {error.status}", False, True)
        )

    def _upstream_body(self) -> bytes:
        """Return the body for the engine, a continuation if text exists."""
        fields = dict(self._body.fields)
        fields["model"] = self._holder.target
        fields["priority"] = self._exchange.tier
        fields.pop("max_completion_tokens", None)
        if self._body.route != "embeddings":
            fields["max_tokens"] = self._max_tokens - self.output_tokens
        if self._body.is_stream:
            fields["stream_options"] = {"include_usage": True}
        if not self._text:
            return msgspec.json.encode(fields)
        text = "".join(self._text)
        if self._body.route != "chat/completions":
            fields["continue_text"] = text
            return msgspec.json.encode(fields)
        fields["messages"] = [
            *fields["messages"],
            {"role": "assistant", "content": text},
        ]
        fields["continue_final_message"] = True
        fields["add_generation_prompt"] = False
        return msgspec.json.encode(fields)

    def _headers(self) -> tuple[str, ...]:
        """Return all headers for the engine; none comes from the caller."""
        accept = "application/json"
        if self._body.is_stream:
            accept = "text/event-stream"
        return (
            "Content-Type: application/json",
            f"Accept: {accept}",
            f"X-Request-Id: {self._exchange.request_id}",
        )

    def _whole_attempt(self) -> Iterator[tuple[bytes, str]]:
        call = self._holder.send(
            "POST",
            f"/v1/{self._body.route}",
            self._headers(),
            self._upstream_body(),
        )
        self._call = call
        limit = self._node.settings.limits.max_answer_bytes
        parts: list[bytes] = []
        size = 0
        head: backends.CallHead | None = None
        while True:
            event = self._next(call)
            if isinstance(event, backends.CallHead):
                head = event
            elif isinstance(event, backends.CallData):
                self._node.stream_loop.consumed(call, len(event.data))
                parts.append(event.data)
                size += len(event.data)
                if size > limit:
                    self._cancel_upstream()
                    raise exceptions.UpstreamFailedError(
                        f"the answer is longer than {limit} bytes"
                    )
            elif isinstance(event, backends.CallEnd):
                self._call = None
                if event.error:
                    raise self._failure(event, heard=head is not None)
                break
        body = b"".join(parts)
        if head.status != 200:
            raise StatusError(head.status, body)
        self._note_whole(body)
        yield body, head.headers.get("content-type", "application/json")

    def _failure(
        self, end: backends.CallEnd, heard: bool
    ) -> AttemptFailedError:
        """Interpret the early end of a call.

        A connection that ends before the answer began, although it was made
        and the request was sent, is what a crash of the server looks like,
        unless the server had failed before this request and not recovered.
        """
        if not end.may_have_run:
            self._holder.note_not_sent()
        crashed = (
            end.may_have_run
            and end.connected
            and self._holder.grant.is_proven
            and "timed out" not in end.error.lower()
        )
        return AttemptFailedError(end.error, crashed, end.may_have_run)

    def _note_whole(self, body: bytes) -> None:
        try:
            usage = msgspec.json.decode(body).get("usage") or {}
            count = int(usage.get("completion_tokens") or 0)
        except (msgspec.DecodeError, AttributeError, TypeError, ValueError):
            raise AttemptFailedError(
                "the answer is of unknown form", False, True
            ) from None
        self._first_token_at_s = time.monotonic()
        self._last_token_at_s = self._first_token_at_s
        self._holder.note_tokens(count)
        self._note_usage(usage)
        self._text.extend("" for _ in range(count))

    def _note_usage(self, usage: dict) -> None:
        self._input_tokens = int(usage.get("prompt_tokens") or 0)
        details = usage.get("prompt_tokens_details") or {}
        self._holder.cached_tokens = int(details.get("cached_tokens") or 0)

    def _next(self, call: backends.Call):
        """Return the next event of a call; other calls' ends are dropped."""
        stall_s = self._node.settings.timing.stall_timeout_s
        if not self._body.is_stream:
            stall_s = None
        while True:
            event = self._exchange.next_event(stall_s)
            if event is None:
                self._cancel_upstream()
                raise AttemptFailedError("the stream stalled", False, True)
            if isinstance(event, kinds.Preempted | kinds.Moved):
                if self._is_current(event):
                    raise RevokedError(event)
                continue
            if getattr(event, "number", None) == call.number:
                return event

    def _is_current(self, event: kinds.Preempted | kinds.Moved) -> bool:
        grant = self._holder.grant
        return grant is not None and grant.server == event.server

    def _stream_attempt(self) -> Iterator[bytes]:
        self._last_event_id = 0
        call = self._holder.send(
            "POST",
            f"/v1/{self._body.route}",
            self._headers(),
            self._upstream_body(),
        )
        resumes = 0
        while True:
            self._call = call
            try:
                yield from self._events(call)
                return
            except StreamCutError as error:
                self._call = None
                failure = self._failure(error.end, error.heard)
                if not self._may_resume(failure, error, resumes):
                    raise failure from error
            except StatusError:
                if resumes == 0:
                    raise
                raise AttemptFailedError(
                    "the engine does not resume the stream", False, True
                ) from None
            resumes += 1
            self._exchange.note("resumed", after_event=self._last_event_id)
            metrics.add(metrics.RETRIES, {"reason": "resumed"})
            call = self._holder.send(
                "GET",
                f"/v1/streams/{self._exchange.request_id}",
                (
                    "Accept: text/event-stream",
                    f"Last-Event-ID: {self._last_event_id}",
                ),
                None,
            )

    def _may_resume(self, failure, error, resumes: int) -> bool:
        if resumes >= MAX_RESUMES or self._last_event_id == 0:
            return False
        # A resumption that heard nothing means that the server is gone.
        return resumes == 0 or error.heard

    def _events(self, call: backends.Call) -> Iterator[bytes]:
        """Yield the new events of one connection until the answer ends."""
        for event in self._decoded(call):
            if event.data == "[DONE]":
                self._finish_call(call)
                return
            chunk = self._take_event(event)
            if chunk is not None:
                yield chunk
        raise StreamCutError(
            backends.CallEnd(call.number, "the stream has no end", True, True),
            True,
        )

    def _decoded(self, call: backends.Call) -> Iterator[sseclient.Event]:
        """Yield the events of one connection."""
        source = _ChunkSource(self, call)
        try:
            yield from sseclient.SSEClient(source).events()
        except UnicodeDecodeError:
            raise AttemptFailedError(
                "the stream is not text", False, True
            ) from None

    def chunks(self, call: backends.Call) -> Iterator[bytes]:
        """Yield the body of a stream as it arrives."""
        heard = False
        while True:
            event = self._next(call)
            if isinstance(event, backends.CallHead):
                heard = True
                if event.status != 200:
                    raise StatusError(event.status, self._rest(call))
            elif isinstance(event, backends.CallData):
                self._node.stream_loop.consumed(call, len(event.data))
                yield event.data
            elif isinstance(event, backends.CallEnd):
                if event.error:
                    raise StreamCutError(event, heard)
                return

    def _rest(self, call: backends.Call) -> bytes:
        """Return the body of a refusal."""
        parts = []
        while True:
            event = self._next(call)
            if isinstance(event, backends.CallData):
                parts.append(event.data)
            if isinstance(event, backends.CallEnd):
                return b"".join(parts)

    def _take_event(self, event) -> bytes | None:
        """Return what the caller gets for an event, or None for nothing.

        Events that came before, by their number, are dropped.

        Raises:
            AttemptFailedError: The event has not the form that it should.
        """
        try:
            return self._take_checked_event(event)
        except (
            msgspec.DecodeError,
            AttributeError,
            LookupError,
            TypeError,
            ValueError,
        ):
            raise AttemptFailedError(
                "the stream holds an event of unknown form", False, True
            ) from None

    def _take_checked_event(self, event) -> bytes | None:
        if event.id is not None and event.id.isdigit():
            number = int(event.id)
            if number <= self._last_event_id:
                return None
            self._last_event_id = number
        chunk = msgspec.json.decode(event.data)
        usage = chunk.get("usage")
        if usage:
            self._note_usage(usage)
        choices = chunk.get("choices") or []
        if not choices:
            return self._usage_event(chunk) if usage else None
        text = _text_of(choices[0])
        if text:
            self._note_token(text)
        if not self._answer_id:
            self._answer_id = chunk.get("id", "")
        if chunk.get("id") != self._answer_id:
            chunk["id"] = self._answer_id
            return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
        return b"data: " + event.data.encode() + b"\n\n"

    def _usage_event(self, chunk: dict) -> bytes | None:
        """Return the usage over all attempts if the caller wants it."""
        if not self._body.wants_usage:
            return None
        chunk["id"] = self._answer_id or chunk.get("id", "")
        chunk["usage"]["completion_tokens"] = self.output_tokens
        chunk["usage"]["total_tokens"] = (
            chunk["usage"].get("prompt_tokens", 0) + self.output_tokens
        )
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def _note_token(self, text: str) -> None:
        self._last_token_at_s = time.monotonic()
        if not self._first_token_at_s:
            self._first_token_at_s = self._last_token_at_s
        self._text.append(text)
        self._holder.note_tokens(1)
        unreported = self.output_tokens - self._reported_tokens
        if unreported >= USAGE_INCREMENT_TOKENS:
            self._record(0, 0)

    def _finish_call(self, call: backends.Call) -> None:
        """Drop what may follow the end of the answer."""
        self._call = None
        self._node.stream_loop.cancel(call)

    def _abort_call(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            self._node.stream_loop.cancel(call)

    def _cancel_upstream(self) -> None:
        """Close the connection and tell the engine to stop generating."""
        call = self._call
        self._abort_call()
        grant = self._holder.grant
        if call is None or grant is None:
            return
        options = backends.CallOptions(
            "DELETE",
            f"http://{grant.address}/v1/streams/{self._exchange.request_id}",
            (),
            None,
            CONTROL_TIMEOUT_S,
            CONTROL_TIMEOUT_S,
            self._node.settings.node.source_address,
        )
        self._node.stream_loop.submit(options, lambda event: None)

    def _record(self, requests: int, input_tokens: int):
        """Add to the usage what has not been added yet."""
        fresh = self.output_tokens - self._reported_tokens
        self._reported_tokens = self.output_tokens
        return self._node.record_usage(
            self._exchange.client_account,
            self._exchange.profile_name,
            requests,
            input_tokens,
            fresh,
        )

    def _close(self, outcome: str) -> None:
        """End the run: upstream, grant, usage and metrics, each once."""
        if self._is_over:
            return
        self._is_over = True
        self._cancel_upstream()
        self._holder.release(outcome)
        if self.output_tokens or outcome == "done":
            held = self._record(
                1, self._input_tokens or self._body.input_tokens
            )
            if outcome == "done":
                held.wait()
        self._observe(outcome)

    def _observe(self, outcome: str) -> None:
        request = self._exchange
        labels = {"tier": str(request.tier), "profile": request.profile_name}
        if self._first_token_at_s:
            first_s = self._first_token_at_s - request.arrived_s
            metrics.add(metrics.FIRST_TOKEN_S, labels, first_s)
            account = metrics.account_label(request.client_account)
            metrics.add(
                metrics.ACCOUNT_FIRST_TOKEN_S,
                {"client_account": account},
                first_s,
            )
        if self._body.is_stream and self.output_tokens > 1:
            span_s = self._last_token_at_s - self._first_token_at_s
            metrics.add(
                metrics.TOKEN_GAP_S, labels, span_s / (self.output_tokens - 1)
            )
        kind = "output" if outcome == "done" else "wasted"
        metrics.add(metrics.TOKENS, {"kind": kind}, self.output_tokens)
        metrics.add(metrics.TOKENS, {"kind": "input"}, self._input_tokens)
        request.note("ended", outcome=outcome, output_tokens=self.output_tokens)


class _ChunkSource:
    """Shows a call's chunks to the event decoder.

    A cut raises out of the iteration, so that the decoder cannot take the
    half of an event that came last for a whole one.
    """

    def __init__(self, run: ModelRun, call: backends.Call):
        self._run = run
        self._call = call

    def __iter__(self):
        return self._run.chunks(self._call)

    def close(self) -> None:
        """Do nothing; the run ends the call."""


def _text_of(choice: dict) -> str:
    delta = choice.get("delta")
    if isinstance(delta, dict):
        return delta.get("content") or ""
    return choice.get("text") or ""


def _engine_message(body: bytes) -> str:
    """Return the message of an engine's refusal."""
    try:
        return str(msgspec.json.decode(body)["error"]["message"])[:500]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
