"""Carry one request to backend servers until the caller has its answer."""

import asyncio
import time
from typing import NamedTuple
from typing import Protocol

import h11

from bilberryturn import events
from bilberryturn.gateway import beliefs
from bilberryturn.gateway import events_stream
from bilberryturn.gateway import outcomes
from bilberryturn.gateway import upstream
from bilberryturn.platform import wire
from bilberryturn.routing import choice
from bilberryturn.routing import suspects
from bilberryturn.routing import table as route_tables
from bilberryturn.routing import types

# A connection is established within milliseconds, or the server is gone.
CONNECT_TIMEOUT_S = 0.35
# How long past its deadline a server may still answer that it gave up.
SERVER_GRACE_S = 0.1
# Share of the remaining time after which a repeatable request tries another
# server.
HEDGE_SHARE = 0.45
# A request is not repeated for less than this remaining time.
SHORTEST_ATTEMPT_S = 0.05
# Longest answer that is held back until it is whole.
MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
# When a caller may come back if no server can take its request.
RETRY_AFTER_S = 0.3


class Caller(Protocol):
    """Takes the answer of one request."""

    def send_answer(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""

    def start_stream(self, status: int, headers: wire.Headers) -> None:
        """Send the head of a stream."""

    async def send_part(self, data: bytes) -> None:
        """Send a part of a stream; waits while the caller reads slowly."""

    def end_stream(self) -> None:
        """End a whole stream."""

    def abort(self) -> None:
        """Close the connection so that the answer looks incomplete."""


class Incoming(NamedTuple):
    """Holds a request as a caller sent it."""

    method: bytes
    target: bytes
    headers: wire.CallerHeaders
    body: bytes
    arrived_s: float


class _Answer(NamedTuple):
    """Holds a whole answer of a server."""

    head: wire.ServerAnswer
    body: bytes


class _NotRun(NamedTuple):
    """Says that a server states that it did not run the request."""

    retry_after_s: float | None


class _Failed(NamedTuple):
    """Says that an attempt failed; was_sent tells whether it may have run."""

    reason: str
    was_sent: bool


class _Streamed(NamedTuple):
    """Says that a stream reached its end."""


_Result = _Answer | _NotRun | _Failed | _Streamed


class Exchange:
    """Finds servers for one request until it is answered."""

    def __init__(
        self, incoming: Incoming, caller: Caller, shared: beliefs.Shared
    ):
        self._incoming = incoming
        self._caller = caller
        self._shared = shared
        self._splitter = events_stream.EventSplitter()
        self._stream_started = False
        self._sent_count = 0
        self._excluded: set[str] = set()
        self._ticket: choice.Ticket | None = None
        self._connection: upstream.Connection | None = None
        self._usage_counted = False
        self._route: types.Route | None = None
        self._account: types.ClientAccount | None = None
        self._chosen: choice.Choice | None = None
        self._first_part_s: float | None = None
        self._last_failure = ""

    async def run(self) -> None:
        """Answer the request; a cancelled run frees what it holds."""
        try:
            status, reason = await self._run()
        except asyncio.CancelledError:
            self._log("caller_gone", 0)
            raise
        finally:
            self._release(None)
        self._log(reason, status)

    async def _run(self) -> tuple[int, str]:
        shared = self._shared
        table = shared.table
        if table is None:
            return self._refuse(outcomes.NO_CONFIG)
        headers = self._incoming.headers
        path = self._incoming.target.decode("latin-1").partition("?")[0]
        route = table.find_route(headers.host, path)
        if route is None:
            return self._refuse(outcomes.NO_ROUTE)
        account = table.find_account(headers.key)
        if table.uses_keys and account is None and not route.is_public:
            return self._refuse(outcomes.BAD_KEY)
        self._route = route
        self._account = account
        patience_s = route.timeout_s
        if headers.patience_s is not None:
            patience_s = min(patience_s, headers.patience_s)
        self._deadline_s = self._incoming.arrived_s + patience_s
        self._print = suspects.fingerprint(
            account.name if account else "",
            self._incoming.target.decode("latin-1"),
            self._incoming.body,
        )
        if shared.suspects.is_refused(self._print, time.monotonic()):
            return self._refuse(outcomes.CRASHES_SERVERS)
        service_name = route_tables.choose_service(route, headers.request_id)
        service = table.services.get(service_name)
        if service is None:
            return self._refuse(outcomes.no_server(RETRY_AFTER_S))
        self._service = service
        shared.budget(service_name).note_request(time.monotonic())
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        self._priority = priority
        self._wish = choice.Wish(
            service,
            shared.failure_domain,
            headers.prompt if service.engine else None,
            route.gap_target_s,
        )
        return await self._serve()

    async def _serve(self) -> tuple[int, str]:
        """Send the request to one server after the other."""
        fallback: _Answer | None = None
        retry_after_s: float | None = None
        may_have_run = False
        while True:
            left_s = self._deadline_s - time.monotonic()
            if left_s < SHORTEST_ATTEMPT_S:
                break
            if self._sent_count and not self._may_repeat(may_have_run):
                break
            chosen = self._choose()
            if chosen is None:
                break
            result = await self._attempt(chosen, left_s)
            if isinstance(result, _Streamed):
                return 200, "streamed"
            if isinstance(result, _Answer):
                if self._is_final(result):
                    self._deliver(result)
                    return result.head.status, "answered"
                fallback = result
                may_have_run = True
            elif isinstance(result, _NotRun):
                retry_after_s = result.retry_after_s
                self._last_failure = "server_full"
            else:
                may_have_run = may_have_run or result.was_sent
                self._last_failure = result.reason
        return self._give_up(fallback, retry_after_s, may_have_run)

    def _may_repeat(self, may_have_run: bool) -> bool:
        """Return whether the request may go to one more server."""
        if may_have_run and not self._route.may_run_again:
            return False
        if may_have_run and self._sent_count >= self._route.attempts:
            return False
        now_s = time.monotonic()
        if self._shared.suspects.is_refused(self._print, now_s):
            return False
        return self._shared.budget(self._service.name).take(now_s)

    def _choose(self) -> choice.Choice | None:
        now_s = time.monotonic()
        servers = self._shared.directory.usable(self._service.name)
        return self._shared.chooser.choose(
            self._wish, servers, now_s, frozenset(self._excluded)
        )

    def _is_final(self, answer: _Answer) -> bool:
        """Return whether an answer goes to the caller as it is."""
        if answer.head.status < 500:
            return True
        if self._stream_started:
            return True
        return not (
            self._route.may_run_again
            and self._sent_count < self._route.attempts
        )

    def _give_up(
        self,
        fallback: _Answer | None,
        retry_after_s: float | None,
        may_have_run: bool,
    ) -> tuple[int, str]:
        if self._stream_started:
            self._caller.abort()
            return 200, f"stream_broken:{self._last_failure}"
        if fallback is not None:
            self._deliver(fallback)
            return fallback.head.status, "answered"
        if may_have_run:
            if time.monotonic() >= self._deadline_s - SHORTEST_ATTEMPT_S:
                return self._refuse(outcomes.TIMED_OUT)
            return self._refuse(
                outcomes.may_have_run(self._last_failure or "failed")
            )
        return self._refuse(outcomes.no_server(retry_after_s or RETRY_AFTER_S))

    async def _attempt(self, chosen: choice.Choice, left_s: float) -> _Result:
        """Send the request to one server and handle its answer."""
        shared = self._shared
        server = chosen.server
        self._chosen = chosen
        self._splitter.drop_partial()
        self._excluded.add(server.server_id)
        self._ticket = shared.chooser.begin(chosen, self._wish, _now())
        try:
            connection = await shared.pool.open(
                server,
                min(CONNECT_TIMEOUT_S, left_s),
                self._route.may_run_again,
            )
        except upstream.UpstreamError as error:
            self._release(False)
            self._log_attempt(chosen, error.reason)
            return _Failed(error.reason, False)
        self._connection = connection
        was_reused = connection.is_reused
        left_s = self._deadline_s - _now()
        try:
            connection.send(
                self._incoming.method,
                self._incoming.target,
                self._server_headers(server, left_s),
                self._incoming.body,
            )
            self._sent_count += 1
            async with asyncio.timeout(self._answer_limit_s(left_s)):
                result = await self._receive()
        except upstream.UpstreamError as error:
            crashed = error.was_sent and not was_reused
            self._release(False if crashed else None)
            if crashed and not self._stream_started:
                self._note_crash()
            result = _Failed(error.reason, error.was_sent)
        except TimeoutError:
            self._release(False)
            result = _Failed("no answer in time", True)
        if isinstance(result, _Failed):
            self._log_attempt(chosen, result.reason)
        elif isinstance(result, _NotRun):
            self._log_attempt(chosen, "not run")
        return result

    def _answer_limit_s(self, left_s: float) -> float:
        """Return how long to wait for the whole answer of an attempt."""
        limit_s = left_s + SERVER_GRACE_S
        may_hedge = (
            self._route.repeatability is types.Repeatability.IDEMPOTENT
            and self._sent_count < self._route.attempts
        )
        if may_hedge:
            limit_s = max(self._route.target_s, left_s * HEDGE_SHARE)
        return limit_s

    def _server_headers(
        self, server: types.BackendServer, left_s: float
    ) -> wire.Headers:
        return wire.server_headers(
            self._incoming.headers,
            server.server_id,
            self._account.name if self._account else None,
            left_s,
            self._priority if self._service.engine else None,
            self._splitter.last_event_id,
            self._incoming.body,
            self._incoming.method,
        )

    async def _receive(self) -> _Result:
        """Read one answer; stream it or return it whole."""
        event = await self._connection.next_event()
        if not isinstance(event, h11.Response):
            raise upstream.UpstreamError("no answer", True)
        head = wire.read_server_answer(event.status_code, list(event.headers))
        if head.is_not_run:
            self._release(None, keep=False)
            return _NotRun(head.retry_after_s)
        if head.request_id != self._incoming.headers.request_id:
            raise upstream.UpstreamError("answer to another request", True)
        if head.is_encoded or not head.is_sealed and head.status < 300:
            raise upstream.UpstreamError("not the server's own answer", True)
        if head.status < 300 and self._route.is_stream:
            return await self._stream(head)
        body = await self._read_whole()
        if self._stream_started:
            raise upstream.UpstreamError("resumption failed", True)
        self._count_usage()
        self._shared.suspects.clear(self._print)
        self._release(head.status < 500, keep=not head.closes, head=head)
        return _Answer(head, body)

    async def _read_whole(self) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise upstream.UpstreamError("answer cut short", True)
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
            if size_bytes > MAX_WHOLE_ANSWER_BYTES:
                raise upstream.UpstreamError("answer too large", True)

    async def _stream(self, head: wire.ServerAnswer) -> _Result:
        """Pass on events as they arrive, whole ones only."""
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise upstream.UpstreamError("stream cut short", True)
            whole = self._splitter.feed(bytes(event.data))
            if whole:
                await self._pass_on(head, whole)
        if self._splitter.has_partial:
            raise upstream.UpstreamError("stream ended inside an event", True)
        if not self._stream_started:
            self._caller.start_stream(head.status, head.headers)
        self._caller.end_stream()
        self._shared.suspects.clear(self._print)
        self._release(True, keep=not head.closes, head=head)
        return _Streamed()

    async def _pass_on(self, head: wire.ServerAnswer, whole: bytes) -> None:
        if not self._stream_started:
            self._stream_started = True
            self._first_part_s = _now()
            self._count_usage()
            self._caller.start_stream(head.status, head.headers)
        if self._ticket is not None:
            self._shared.chooser.first_token(self._ticket)
        await self._caller.send_part(whole)

    def _deliver(self, answer: _Answer) -> None:
        self._caller.send_answer(
            answer.head.status, answer.head.headers, answer.body
        )

    def _refuse(self, refusal: outcomes.Refusal) -> tuple[int, str]:
        self._caller.send_answer(
            refusal.status, refusal.headers(), refusal.body()
        )
        return refusal.status, refusal.reason

    def _count_usage(self) -> None:
        if self._usage_counted or self._account is None:
            return
        self._usage_counted = True
        self._shared.usage.note(self._account.name)

    def _note_crash(self) -> None:
        count = self._shared.suspects.note_crash(self._print, _now())
        if count == suspects.CRASHES_TO_REFUSE:
            events.log(
                events.REQUEST_QUARANTINED,
                request=self._incoming.headers.request_id,
                fingerprint=self._print,
                crashes=count,
            )

    def _release(
        self,
        outcome: bool | None,
        keep: bool = False,
        head: wire.ServerAnswer | None = None,
    ) -> None:
        """Free the connection and the claim on the server."""
        connection, self._connection = self._connection, None
        if connection is not None:
            if keep and head is not None:
                self._shared.pool.give_back(connection, head.idle_timeout_s)
            else:
                connection.close()
        ticket, self._ticket = self._ticket, None
        if ticket is None:
            return
        opened = self._shared.chooser.end(ticket, outcome, _now())
        if opened:
            events.log(
                events.SERVER_CIRCUIT_OPEN, server=ticket.server.server_id
            )

    def _log_attempt(self, chosen: choice.Choice, reason: str) -> None:
        events.log(
            events.ATTEMPT_FAILED,
            request=self._incoming.headers.request_id,
            server=chosen.server.server_id,
            reason=reason,
            expected_s=round(chosen.expected_s, 3),
            running=chosen.running,
            servers_age_s=self._shared.servers_age_s(),
        )

    def _log(self, reason: str, status: int) -> None:
        route, account, chosen = self._route, self._account, self._chosen
        now_s = _now()
        duration_s = now_s - self._incoming.arrived_s
        self._shared.note_ended(
            route.name if route else "none",
            account.name if account else "none",
            reason.partition(":")[0],
            duration_s,
            None
            if self._first_part_s is None
            else self._first_part_s - self._incoming.arrived_s,
        )
        events.log(
            events.REQUEST_ENDED,
            request=self._incoming.headers.request_id,
            route=route.name if route else None,
            client_account=account.name if account else None,
            status=status,
            reason=reason,
            server=chosen.server.server_id if chosen else None,
            expected_s=round(chosen.expected_s, 3) if chosen else None,
            running=chosen.running if chosen else None,
            unread_tokens=chosen.uncached_tokens if chosen else None,
            sends=self._sent_count,
            duration_s=round(duration_s, 4),
            config=self._shared.table.version if self._shared.table else None,
            config_age_s=self._shared.config_age_s(),
            servers_age_s=self._shared.servers_age_s(),
        )


def _now() -> float:
    return time.monotonic()
