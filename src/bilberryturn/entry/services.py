"""Route calls to plain services, non-repeatable ones at most once."""

from typing import NamedTuple
import urllib.parse

from bilberryturn import backends
from bilberryturn import brokers
from bilberryturn import declarations
from bilberryturn import metrics
from bilberryturn.entry import bodies
from bilberryturn.entry import context
from bilberryturn.entry import crash_watch
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.entry import grants
from bilberryturn.entry import idempotency
from bilberryturn.entry import unframed_answers
from bilberryturn.scheduling import outcomes

MAX_ATTEMPTS = 3
# From this status on an answer does not show that the call is sound.
ERROR_STATUS = 500
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")
SERVICE_INPUT_TOKENS = 100
PATH_CHARACTERS = "/:@!$&'()*+,;=~"


class ServiceCall(NamedTuple):
    """Call to a service as received from the caller."""

    service: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    idempotency_key: str


class ServiceResponse(NamedTuple):
    """Complete response of a service."""

    status: int
    content_type: str
    body: bytes
    is_recorded: bool = False


class ServiceRun:
    """Runs one call to a plain service."""

    def __init__(
        self,
        node: context.EntryContext,
        request: exchange.Exchange,
        call: ServiceCall,
        service: declarations.models.Service,
    ):
        self._node = node
        self._exchange = request
        self._call = call
        self._is_repeatable = is_repeatable(call, service)
        content = "\n".join((call.method, call.path, call.query)).encode()
        self._content = content + b"\n" + call.body
        self._crash_watch = crash_watch.CrashWatch(
            node,
            request,
            bodies.fingerprint(
                request.client_account,
                call.service.encode() + b"\n" + self._content,
            ),
        )
        target = brokers.pools.service_target(call.service)
        self._requirements = grants.GrantRequirements(
            (target,), SERVICE_INPUT_TOKENS, 0, len(call.body)
        )
        self._holder = grants.GrantHolder(node, request, self._requirements)
        self._upstream: backends.Call | None = None
        self._spare: unframed_answers.SpareConnection | None = None

    def run(self) -> ServiceResponse:
        """Return the response of the service.

        Raises:
            RequestError: The call failed; `may_have_run` of the exchange tells
                whether it may have run.
        """
        try:
            if self._is_repeatable:
                response = self._run_repeatable()
            else:
                response = self._run_once()
        finally:
            if self._upstream is not None:
                self._node.stream_loop.cancel(self._upstream)
            self._holder.release(outcomes.CANCELLED)
        if not response.is_recorded:
            self._node.record_usage(
                self._exchange.client_account,
                self._exchange.profile_name,
                1,
                0,
                0,
            ).wait()
        return response

    def _run_repeatable(self) -> ServiceResponse:
        while True:
            self._requirements.isolated = self._crash_watch.check()
            self._holder.obtain()
            self._requirements.attempts += 1
            grant = self._holder.grant
            server = grant.server
            end, response = self._send()
            if response is not None:
                if response.status < ERROR_STATUS:
                    self._crash_watch.record_success()
                return response
            self._exchange.add_trace_step(
                "failed", server=server, why=end.error
            )
            self._requirements.excluded_servers += (server,)
            if crash_watch.has_crashed(end, grant):
                self._crash_watch.record_crash()
            if self._requirements.attempts >= MAX_ATTEMPTS:
                raise exceptions.UpstreamFailedError(end.error)
            metrics.add(metrics.RETRIES, {"reason": "failed"})

    def _run_once(self) -> ServiceResponse:
        call = self._call
        if not call.idempotency_key:
            raise exceptions.MissingIdempotencyKeyError()
        record = idempotency.CallRecord(
            self._node.table,
            self._exchange.client_account,
            call.service,
            call.idempotency_key,
            self._content,
        )
        try:
            recorded = record.find()
            if recorded is None:
                self._requirements.isolated = self._crash_watch.check()
                self._holder.obtain()
                recorded = record.start()
        except exceptions.OutcomeUnknownError:
            self._exchange.may_have_run = True
            raise
        if recorded is not None:
            return ServiceResponse(*recorded, is_recorded=True)
        grant = self._holder.grant
        end, response = self._send()
        if response is None and crash_watch.has_crashed(end, grant):
            self._crash_watch.record_crash()
        if response is not None:
            record.finish(response.status, response.content_type, response.body)
            return response
        if not end.may_have_run:
            record.mark_not_run()
            raise exceptions.NoServerError(end.error, retry_after_s=1.0)
        raise exceptions.UpstreamFailedError(
            end.error,
            "Ask the service whether the call took effect; it is not repeated",
        )

    def _send(self) -> tuple[backends.CallEnd, ServiceResponse | None]:
        """Send the call to the granted server and read its response."""
        try:
            return self._send_and_read()
        finally:
            if self._spare is not None:
                self._spare.close()
                self._spare = None

    def _send_and_read(
        self,
    ) -> tuple[backends.CallEnd, ServiceResponse | None]:
        call, request = self._call, self._exchange
        path = "/" + urllib.parse.quote(call.path, safe=PATH_CHARACTERS)
        if call.query:
            path = f"{path}?{call.query}"
        upstream = self._holder.send(
            call.method, path, self._headers(), call.body or None
        )
        self._upstream = upstream
        server = (
            self._holder.grant.address,
            self._node.settings.node.source_address,
        )
        head, parts, size = None, [], 0
        while True:
            event = request.next_event()
            if getattr(event, "number", None) != upstream.number:
                continue
            if isinstance(event, backends.CallHead):
                head = event
                if unframed_answers.is_unframed(head, call.method):
                    self._spare = unframed_answers.SpareConnection(*server)
            elif isinstance(event, backends.CallData):
                self._node.stream_loop.mark_consumed(upstream, len(event.data))
                parts.append(event.data)
                size += len(event.data)
                if size > self._node.settings.limits.max_answer_bytes:
                    raise exceptions.UpstreamFailedError(
                        "the answer is too long"
                    )
            else:
                self._upstream = None
                break
        if not event.error and self._spare is not None:
            cut = unframed_answers.find_cut(self._spare, not size, *server)
            event = event._replace(error=cut)
        if event.error:
            if not event.may_have_run:
                self._holder.mark_not_sent()
            outcome = outcomes.FAILED
            if not event.may_have_run:
                outcome = outcomes.NOT_SENT
            self._holder.release(outcome)
            return event, None
        self._holder.release(outcomes.DONE)
        content_type = head.headers.get(
            "content-type", "application/octet-stream"
        )
        return event, ServiceResponse(
            head.status, content_type, b"".join(parts)
        )

    def _headers(self) -> tuple[str, ...]:
        """Return the forwarded headers, which never include the key."""
        call = self._call
        lines = [
            f"{name}: {call.headers[name]}"
            for name in FORWARDED_HEADERS
            if call.headers.get(name, "").isascii() and call.headers.get(name)
        ]
        if call.idempotency_key:
            lines.append(f"Idempotency-Key: {call.idempotency_key}")
        lines.append(f"X-Request-Id: {self._exchange.request_id}")
        lines.append(f"X-Client-Account: {self._exchange.client_account}")
        return tuple(lines)


def is_repeatable(
    call: ServiceCall, service: declarations.models.Service
) -> bool:
    """Return whether a call may be sent more than once."""
    if call.method in service.repeatable_methods:
        return True
    return any(
        call.path.startswith(prefix.lstrip("/"))
        for prefix in service.repeatable_paths
    )


def check_call(call: ServiceCall) -> None:
    """Check that a call can be forwarded safely.

    Raises:
        InvalidBodyError: The path contains `..`, or the query or the
            idempotency key is not printable ASCII, or the key is too long.
    """
    if ".." in call.path.split("/"):
        raise exceptions.InvalidBodyError(
            "the path holds `..`", "Send the path without `..`"
        )
    if not call.query.isascii() or not call.query.isprintable():
        raise exceptions.InvalidBodyError(
            "the query holds characters that must be percent-encoded",
            "Percent-encode the query",
        )
    key = call.idempotency_key
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not (
        key.isascii() and (key.isprintable() or not key)
    ):
        raise exceptions.InvalidBodyError(
            "the Idempotency-Key cannot be used",
            f"Use up to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII"
            " characters",
        )


def check_key_absent(key: str, call: ServiceCall) -> None:
    """Raise an error if the forwarded parts of a call contain the key."""
    forwarded = [call.headers.get(name, "") for name in FORWARDED_HEADERS]
    bodies.check_key_absent(
        key, call.path, call.query, call.body, call.idempotency_key, *forwarded
    )
