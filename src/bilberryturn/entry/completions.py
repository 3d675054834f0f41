"""Run requests to models: attempts, streams, resumption, continuation."""

from collections.abc import Iterator
from typing import Any

import sseclient

from bilberryturn import backends
from bilberryturn import events
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn import server_sent_events
from bilberryturn.entry import answers
from bilberryturn.entry import attempts
from bilberryturn.entry import bodies
from bilberryturn.entry import context
from bilberryturn.entry import crash_watch
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.entry import grants
from bilberryturn.entry import upstream
from bilberryturn.scheduling import outcomes

kinds = messages.kinds

MAX_ATTEMPTS = 4
MAX_RESUMES = 2
USAGE_INCREMENT_TOKENS = 200
DONE_EVENT = b"data: [DONE]\n\n"
CONTROL_TIMEOUT_S = 2.0
# A response that is not streamed shows no progress. Its server counts as
# stalled only when it is slower by this factor than the profile's target time
# per token.
BUFFERED_STALL_FACTOR = 4.0
MAX_EVENT_BYTES = 1024 * 1024
CLIENT_ERRORS = range(400, 500)
RETRIED_STATUSES = frozenset({404, 408, 425, 429})


class ModelRun:
    """Runs one request to a model until it completes or fails."""

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
        self._requirements = grants.GrantRequirements(
            models,
            body.input_tokens,
            min(self._max_tokens, expected),
            len(body.prompt) + expected * 200,
            body.prefix_blocks(),
        )
        self._holder = grants.GrantHolder(node, request, self._requirements)
        self._crash_watch = crash_watch.CrashWatch(
            node,
            request,
            bodies.fingerprint(
                request.client_account, bodies.canonical(body.fields)
            ),
        )
        self._response = answers.AssembledResponse(
            body.wants_usage, self._count_tokens
        )
        self._reported_tokens = 0
        self._call: backends.Call | None = None
        self._is_closed = False

    @property
    def output_tokens(self) -> int:
        """Return the tokens generated for the caller so far."""
        return self._response.output_tokens

    def complete(self) -> tuple[bytes, str]:
        """Return the complete response body and its content type.

        Raises:
            RequestError: The request failed.
        """
        try:
            for result in self._run_attempts(self._buffered_attempt):
                self._close(outcomes.DONE)
                return result
            raise exceptions.UpstreamFailedError()
        finally:
            self._close(outcomes.CANCELLED)

    def stream(self) -> Iterator[bytes]:
        """Yield server-sent events, each of them exactly once.

        Raises:
            RequestError: The request failed; events already yielded remain
                valid.
        """
        try:
            yield from self._run_attempts(self._stream_attempt)
            self._close(outcomes.DONE)
            yield DONE_EVENT
        finally:
            self._close(outcomes.CANCELLED)

    def _run_attempts(self, attempt) -> Iterator[Any]:
        while True:
            self._requirements.isolated = self._crash_watch.check()
            try:
                self._holder.obtain()
            except exceptions.RequestError:
                self._abort_call()
                raise
            self._requirements.attempts += 1
            try:
                yield from attempt()
                self._finish_attempt()
                return
            except attempts.RevokedError as error:
                self._handle_revocation(error.message)
            except attempts.AttemptFailedError as error:
                self._handle_failure(error)
            except attempts.StatusError as error:
                self._handle_error_status(error)

    def _count_tokens(self, count: int) -> None:
        """Count tokens for fairness; report streamed usage in increments."""
        self._holder.count_tokens(count)
        unreported = self.output_tokens - self._reported_tokens
        if self._body.is_stream and unreported >= USAGE_INCREMENT_TOKENS:
            self._report_usage(0, 0)

    def _finish_attempt(self) -> None:
        self._holder.cached_tokens = self._response.cached_tokens
        self._holder.release(outcomes.DONE)
        self._crash_watch.record_success()

    def _handle_revocation(
        self, message: kinds.Preempted | kinds.Moved
    ) -> None:
        """Stop the attempt on this server; keep the text generated so far."""
        self._cancel_upstream()
        self._requirements.preemptions += 1
        if isinstance(message, kinds.Moved):
            self._exclude(message.server)
        self._exchange.add_trace_step("revoked", why=type(message).__name__)
        self._holder.release(outcomes.PREEMPTED)
        reason = type(message).__name__.lower()
        metrics.add(metrics.RETRIES, {"reason": reason})
        self._count_wasted_tokens()

    def _count_wasted_tokens(self) -> None:
        """Count the tokens that a non-streamed response loses on a retry."""
        if self._body.is_stream:
            return
        metrics.add(
            metrics.TOKENS, {"kind": "wasted"}, self._holder.output_tokens
        )

    def _exclude(self, server: str) -> None:
        excluded = dict.fromkeys(self._requirements.excluded_servers)
        excluded[server] = None
        self._requirements.excluded_servers = tuple(excluded)

    def _handle_failure(self, error: attempts.AttemptFailedError) -> None:
        """Prepare the next attempt, or raise the final error."""
        server = self._holder.grant.server
        self._exchange.add_trace_step(
            "failed", server=server, why=error.reason, crashed=error.crashed
        )
        self._holder.release(
            outcomes.FAILED if error.may_have_run else outcomes.NOT_SENT
        )
        self._exclude(server)
        self._count_wasted_tokens()
        if error.crashed:
            self._crash_watch.record_crash()
            self._crash_watch.check()
        if (
            self._requirements.attempts - self._requirements.preemptions
            >= MAX_ATTEMPTS
        ):
            raise exceptions.UpstreamFailedError(error.reason)
        metrics.add(metrics.RETRIES, {"reason": "failed"})
        events.log(
            events.REQUEST_RETRIED,
            request_id=self._exchange.request_id,
            server=server,
            reason=error.reason,
        )

    def _handle_error_status(self, error: attempts.StatusError) -> None:
        """Prepare a retry, or raise the engine's client error."""
        is_final = (
            error.status in CLIENT_ERRORS
            and error.status not in RETRIED_STATUSES
        )
        if is_final:
            self._holder.release(outcomes.DONE)
            raise exceptions.UpstreamRefusedError(error.engine_message)
        self._handle_failure(
            attempts.AttemptFailedError(f"status {error.status}", False, True)
        )

    def _send_request(self) -> backends.Call:
        """Send the request, or its continuation, to the granted server."""
        body = upstream.build_body(
            self._body,
            self._holder.target,
            self._exchange.tier,
            self._max_tokens - self.output_tokens,
            self._response.text,
        )
        headers = upstream.build_headers(
            self._exchange.request_id, self._body.is_stream
        )
        return self._holder.send(
            "POST", f"/v1/{self._body.route}", headers, body
        )

    def _buffered_attempt(self) -> Iterator[tuple[bytes, str]]:
        call = self._send_request()
        self._call = call
        limit = self._node.settings.limits.max_answer_bytes
        parts: list[bytes] = []
        size = 0
        head: backends.CallHead | None = None
        while True:
            event = self._next_event(call)
            if isinstance(event, backends.CallHead):
                head = event
            elif isinstance(event, backends.CallData):
                self._node.stream_loop.mark_consumed(call, len(event.data))
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
                    raise self._classify_failure(
                        event, head_received=head is not None
                    )
                break
        body = b"".join(parts)
        if head.status != 200:
            raise attempts.StatusError(head.status, body)
        self._response.record_buffered_response(body)
        yield body, head.headers.get("content-type", "application/json")

    def _classify_failure(
        self, end: backends.CallEnd, head_received: bool
    ) -> attempts.AttemptFailedError:
        """Classify the premature end of a call."""
        if not end.may_have_run:
            self._holder.mark_not_sent()
        crashed = crash_watch.has_crashed(end, self._holder.grant)
        return attempts.AttemptFailedError(end.error, crashed, end.may_have_run)

    def _next_event(self, call: backends.Call):
        """Return the next event of a call; discard those of other calls."""
        while True:
            event = self._exchange.next_event(self._stall_limit_s())
            if event is None:
                self._cancel_upstream()
                raise attempts.AttemptFailedError(
                    "the answer stalled", False, True
                )
            if isinstance(event, kinds.Preempted | kinds.Moved):
                if self._is_current(event):
                    raise attempts.RevokedError(event)
                continue
            if getattr(event, "number", None) == call.number:
                return event

    def _stall_limit_s(self) -> float:
        """Return the maximum time without data from the server, in seconds."""
        stall_s = self._node.settings.timing.stall_timeout_s
        if self._body.is_stream:
            return stall_s
        token_s = self._exchange.profile.token_gap_target_s
        return stall_s + self._max_tokens * token_s * BUFFERED_STALL_FACTOR

    def _is_current(self, event: kinds.Preempted | kinds.Moved) -> bool:
        grant = self._holder.grant
        return grant is not None and grant.server == event.server

    def _stream_attempt(self) -> Iterator[bytes]:
        self._response.start_attempt()
        call = self._send_request()
        resumes = 0
        while True:
            self._call = call
            try:
                yield from self._forward_events(call)
                return
            except attempts.StreamInterruptedError as error:
                self._call = None
                failure = self._classify_failure(error.end, error.head_received)
                if not self._may_resume(failure, error, resumes):
                    raise failure from error
            except attempts.StatusError:
                if resumes == 0:
                    raise
                raise attempts.AttemptFailedError(
                    "the engine does not resume the stream", False, True
                ) from None
            resumes += 1
            self._exchange.add_trace_step(
                "resumed", after_event=self._response.last_event_id
            )
            metrics.add(metrics.RETRIES, {"reason": "resumed"})
            call = self._holder.send(
                "GET",
                f"/v1/streams/{self._exchange.request_id}",
                (
                    "Accept: text/event-stream",
                    f"Last-Event-ID: {self._response.last_event_id}",
                ),
                None,
            )

    def _may_resume(self, failure, error, resumes: int) -> bool:
        if resumes >= MAX_RESUMES or self._response.last_event_id == 0:
            return False
        # If a resumption receives no response head, the server is unreachable.
        return resumes == 0 or error.head_received

    def _forward_events(self, call: backends.Call) -> Iterator[bytes]:
        """Yield the new events of one connection until the response ends."""
        for event in self._decode_events(call):
            if event.data == "[DONE]":
                # Data after the end of the response is discarded.
                self._abort_call()
                return
            chunk = self._response.process_event(event)
            if chunk is not None:
                yield chunk
        raise attempts.StreamInterruptedError(
            backends.CallEnd(call.number, "the stream has no end", True, True),
            True,
        )

    def _decode_events(self, call: backends.Call) -> Iterator[sseclient.Event]:
        """Yield the decoded events of one connection."""
        source = _CallBody(self, call)
        try:
            yield from sseclient.SSEClient(source).events()
        except UnicodeDecodeError:
            raise attempts.AttemptFailedError(
                "the stream is not text", False, True
            ) from None
        except server_sent_events.EventTooLargeError as error:
            raise attempts.AttemptFailedError(str(error), False, True) from None

    def chunks(self, call: backends.Call) -> Iterator[bytes]:
        """Yield the body of a stream as it arrives."""
        head_received = False
        while True:
            event = self._next_event(call)
            if isinstance(event, backends.CallHead):
                head_received = True
                if event.status != 200:
                    raise attempts.StatusError(
                        event.status, self._read_error_body(call)
                    )
            elif isinstance(event, backends.CallData):
                self._node.stream_loop.mark_consumed(call, len(event.data))
                yield event.data
            elif isinstance(event, backends.CallEnd):
                if event.error:
                    raise attempts.StreamInterruptedError(event, head_received)
                return

    def _read_error_body(self, call: backends.Call) -> bytes:
        """Return the body of an error response."""
        parts = []
        while True:
            event = self._next_event(call)
            if isinstance(event, backends.CallData):
                parts.append(event.data)
            if isinstance(event, backends.CallEnd):
                return b"".join(parts)

    def _abort_call(self) -> None:
        """Close the connection to the engine if there is one."""
        call, self._call = self._call, None
        if call is not None:
            self._node.stream_loop.cancel(call)

    def _cancel_upstream(self) -> None:
        """Close the connection and request the engine to stop generating."""
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

    def _report_usage(self, requests: int, input_tokens: int):
        """Report the output tokens that have not been reported yet."""
        unreported_tokens = self.output_tokens - self._reported_tokens
        self._reported_tokens = self.output_tokens
        return self._node.record_usage(
            self._exchange.client_account,
            self._exchange.profile_name,
            requests,
            input_tokens,
            unreported_tokens,
        )

    def _close(self, outcome: str) -> None:
        """End the run once: upstream call, grant, usage and metrics."""
        if self._is_closed:
            return
        self._is_closed = True
        self._cancel_upstream()
        self._holder.release(outcome)
        if self.output_tokens or outcome == outcomes.DONE:
            usage_report = self._report_usage(
                1, self._response.input_tokens or self._body.input_tokens
            )
            if outcome == outcomes.DONE:
                usage_report.wait()
        self._record_metrics(outcome)

    def _record_metrics(self, outcome: str) -> None:
        request = self._exchange
        labels = {"tier": str(request.tier), "profile": request.profile_name}
        if self._response.first_token_at_s:
            first_s = self._response.first_token_at_s - request.arrived_s
            metrics.add(metrics.FIRST_TOKEN_S, labels, first_s)
            account = metrics.account_label(request.client_account)
            metrics.add(
                metrics.ACCOUNT_FIRST_TOKEN_S,
                {"client_account": account},
                first_s,
            )
        if self._body.is_stream and self.output_tokens > 1:
            metrics.add(metrics.TOKEN_GAP_S, labels, self._response.mean_gap_s)
        kind = "output" if outcome == outcomes.DONE else "wasted"
        metrics.add(metrics.TOKENS, {"kind": kind}, self.output_tokens)
        metrics.add(
            metrics.TOKENS, {"kind": "input"}, self._response.input_tokens
        )
        request.add_trace_step(
            "ended", outcome=outcome, output_tokens=self.output_tokens
        )


class _CallBody:
    """Iterable over the body of a call, for the event decoder.

    An interruption raises an exception from the iteration, so that the decoder
    cannot mistake a truncated last event for a complete one.
    """

    def __init__(self, run: ModelRun, call: backends.Call):
        self._run = run
        self._call = call

    def __iter__(self) -> Iterator[bytes]:
        """Yield one event at a time, in a form that the decoder cuts rightly.

        The decoder joins events whose line ends are mixed, and copies an event
        anew for each of its lines.
        """
        splitter = server_sent_events.EventSplitter(MAX_EVENT_BYTES)
        for data in self._run.chunks(self._call):
            # The decoder skips lines that are no fields.
            for event in splitter.feed(data, is_event_stream=False):
                yield _with_line_feeds(event.data)
        yield _with_line_feeds(splitter.partial)

    def close(self) -> None:
        """Do nothing; the ModelRun ends the call."""


def _with_line_feeds(event: bytes) -> bytes:
    """Return an event whose lines end with LF, or no bytes for a blank one."""
    lines = [line for line in event.splitlines() if line]
    return b"\n".join([*lines, b"", b""]) if lines else b""
