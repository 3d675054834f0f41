"""Send a request to one backend server and read its response."""

import asyncio
import time

import h11

from bilberryturn import events
from bilberryturn import leases
from bilberryturn import server_sent_events
from bilberryturn.gateway import answer_ends
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import crash_checks
from bilberryturn.gateway import crash_records
from bilberryturn.gateway import delivery
from bilberryturn.gateway import loop_time
from bilberryturn.gateway import moves
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import time_limits
from bilberryturn.gateway import upstream
from bilberryturn.gateway import witnesses
from bilberryturn.platform import wire
from bilberryturn.routing import choice
from bilberryturn.routing import types

# Connecting takes milliseconds unless the server is unreachable.
CONNECT_TIMEOUT_S = 0.35
# Several peers may have to be asked for a connection.
DETOUR_TIMEOUT_S = 0.7
# Time after the deadline in which a server may still respond that it timed out.
DEADLINE_GRACE_S = 0.1
# Share of the remaining time after which an attempt of an idempotent request
# times out, so that the request can be retried on another server.
ATTEMPT_TIMEOUT_SHARE = 0.45


class Attempt:
    """Sends a request once, with a reservation and a connection of its own.

    Attributes:
        was_sent: Whether the request was written.
        via: Address of the peer that passed it on; None for a direct one.
        is_framed: Whether the response has a length or chunks; None before its
            head.
        limit_left_s: What was left of the time limit that the server was sent
            as the server closed the connection; None if it did not.
    """

    def __init__(
        self,
        request: attempt_types.RoutedRequest,
        chosen: choice.Choice,
        caller_delivery: delivery.Delivery,
        shared: shared_state.SharedState,
        moved_from: str | None = None,
    ):
        """Initialize an attempt.

        Args:
            request: The request.
            chosen: The server to send it to.
            caller_delivery: Delivers the response.
            shared: State that all requests share.
            moved_from: Names the copy of the run to go on with, if any.
        """
        self._moved_from = moved_from
        self._move: asyncio.Task[moves.MoveResult] | None = None
        self._move_reservation: choice.InFlightRequest | None = None
        self._request = request
        self._chosen = chosen
        self._delivery = caller_delivery
        self._shared = shared
        self._in_flight: choice.InFlightRequest | None = None
        self._connection: upstream.Connection | None = None
        self._has_response = False
        self._was_reused: bool | None = None
        self._sent_s = 0.0
        self._server_limit: time_limits.TimeLimit | None = None
        # Monotonic time of the first event of this attempt.
        self._first_event_s: float | None = None
        # What is buffered of the answer.
        self._holding = shared.memory.open(self._give_way)
        self._witness: witnesses.Witness | None = None
        self._time_limit: asyncio.Timeout | None = None
        # Whether the failure counted as a crash of the server.
        self._is_crash = False
        self.was_sent = False
        self.via: str | None = None
        self.is_framed: bool | None = None
        self.limit_left_s: float | None = None

    async def run(self, may_try_another: bool) -> attempt_types.AttemptResult:
        """Send the request, then release its reservation and connection.

        Args:
            may_try_another: Whether the request may be sent to another server,
                so that an attempt on a slow one can time out early.
        """
        self._delivery.begin_attempt()
        self._in_flight = self._shared.load_balancer.begin(
            self._chosen, self._request.requirements, time.monotonic()
        )
        result = None
        try:
            result = await self._run(may_try_another)
        finally:
            self._shared.evacuation.discard(self)
            if self._witness is not None:
                self._shared.witnesses.release(self._witness)
            if self._move is not None:
                self._shared.load_balancer.end(
                    self._move_reservation, None, time.monotonic()
                )
                if not isinstance(result, moves.MovedRun):
                    self._shared.unused_copies.release_after(self._move)
            self._end_attempt(None)
            if not isinstance(result, attempt_types.Response):
                self._holding.close()
        if isinstance(result, attempt_types.AttemptFailed):
            self._log(result.reason)
        elif isinstance(result, attempt_types.NotRun):
            self._log("not run")
        return result

    async def _run(self, may_try_another: bool) -> attempt_types.AttemptResult:
        request = self._request
        timeout_s = CONNECT_TIMEOUT_S
        if self._shared.reachability.is_doubtful:
            timeout_s = DETOUR_TIMEOUT_S
        try:
            self._connection = await self._shared.pool.acquire(
                self._chosen.server,
                min(timeout_s, request.deadline_s - time.monotonic()),
                request.route.is_retryable,
                request.requirements.home_regions,
            )
        except upstream.UpstreamError as error:
            self._end_attempt(None if error.is_path_failure else False)
            if error.is_disconnect and not error.is_path_failure:
                self._shared.availability.record_end(self._chosen.server)
            return attempt_types.AttemptFailed(error.reason, False)
        self._was_reused = self._connection.is_reused
        self.via = self._connection.via
        if self._shared.witnesses.is_expected(self._chosen.server.service):
            self._hold_witness()
        remaining_s = request.deadline_s - time.monotonic()
        self._server_limit = time_limits.TimeLimit(
            leases.boottime_s(), remaining_s
        )
        try:
            self._connection.send(
                request.incoming.method,
                request.incoming.target,
                self._headers(remaining_s),
                request.incoming.body,
            )
            self.was_sent = True
            self._sent_s = time.monotonic()
            async with asyncio.timeout(
                self._timeout_s(remaining_s, may_try_another)
            ) as self._time_limit:
                return await self._receive()
        except upstream.UpstreamError as error:
            is_at_limit = self._is_at_limit
            if self._move is not None and not is_at_limit:
                # The move goes on if this request is cancelled meanwhile.
                moved = await asyncio.shield(self._move)
                if isinstance(moved, moves.MovedRun):
                    return moved
            self._handle_failure(error, is_at_limit)
            return attempt_types.AttemptFailed(
                error.reason, error.was_sent, is_at_limit
            )
        except TimeoutError:
            if not self._has_response:
                self._connection.record_silence()
            self._end_attempt(None if self._is_path_failure else False)
            return attempt_types.AttemptFailed("no answer in time", True)

    def _timeout_s(self, remaining_s: float, may_try_another: bool) -> float:
        """Return the timeout of the complete response."""
        route = self._request.route
        is_idempotent = route.retry_policy is types.RetryPolicy.IDEMPOTENT
        if is_idempotent and may_try_another:
            return max(route.target_s, remaining_s * ATTEMPT_TIMEOUT_SHARE)
        return remaining_s + DEADLINE_GRACE_S

    def _headers(self, remaining_s: float) -> wire.Headers:
        request = self._request
        return wire.server_headers(
            request.incoming.headers,
            self._chosen.server.server_id,
            request.account.name if request.account else None,
            remaining_s,
            request.priority if request.service.engine else None,
            self._delivery.last_event_id,
            request.incoming.body,
            request.incoming.method,
            self._moved_from,
        )

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return the lifetime of the server of this attempt."""
        return self._chosen.server.lifetime

    def _give_way(self) -> None:
        if self._connection is not None:
            self._connection.give_way()

    def start_move(self) -> None:
        """Begin to move the stream to another server."""
        if self._move is not None or not self._delivery.can_resume:
            return
        shared, request = self._shared, self._request
        now_s = time.monotonic()
        # A move needs no permit, so it spares the servers that limit requests.
        excluded = {
            self._chosen.server.server_id,
            *shared.availability.limited(),
            *shared.availability.unavailable(request.priority, now_s),
        }
        chosen = shared.load_balancer.choose(
            request.requirements,
            [
                server
                for server in shared.candidates(request.requirements)
                if server.software_version
                == self._chosen.server.software_version
            ],
            now_s,
            frozenset(excluded),
        )
        if chosen is None:
            return
        if not shared.retry_budget(request.service.name).take(now_s):
            return
        # Its memory is copied, so nothing has to be prefilled.
        chosen = chosen._replace(uncached_tokens=0)
        # Other streams that are moved at the same time see this one's load.
        self._move_reservation = shared.load_balancer.begin(
            chosen, request.requirements, now_s
        )
        self._move = asyncio.get_running_loop().create_task(
            moves.move(
                shared.pool,
                self._chosen.server,
                request.incoming.headers.request_id,
                chosen,
            )
        )

    async def _receive(self) -> attempt_types.AttemptResult:
        """Read a response and return it, or forward it as a stream."""
        head = await self._read_own_head()
        if self._is_own(head):
            self._shared.availability.observe(self._chosen.server, head)
        if head.is_not_run and self._is_own_refusal(head):
            return attempt_types.NotRun(head.status)
        if not self._is_own(head):
            raise upstream.UpstreamError("answer to another request", True)
        if head.is_encoded or not head.is_sealed and head.status < 300:
            raise upstream.UpstreamError("not the server's own answer", True)
        if head.status < 300 and self._request.route.is_stream:
            return await self._stream(head)
        body = await self._read_body()
        await self._check_end(head, not body)
        if self._delivery.has_started:
            raise upstream.UpstreamError("resumption failed", True)
        self._delivery.count_request()
        if head.status < 500:
            # A server in trouble may answer an error without running it.
            self._record_answer(self._prompt if head.status < 300 else None)
        self._end_attempt(head.status < 500, head)
        return attempt_types.Response(head, body, self._holding)

    async def _read_head(self) -> wire.ServerResponse:
        event = await self._connection.next_event()
        if not isinstance(event, h11.Response):
            raise upstream.UpstreamError("no answer", True)
        if event.status_code > response_limits.MAX_STATUS:
            raise upstream.UpstreamError("no valid status", True)
        self._has_response = True
        head = wire.read_server_response(event.status_code, list(event.headers))
        self.is_framed = head.has_framing
        if not answer_ends.has_end(head, self._request.incoming.method):
            service = self._chosen.server.service
            self._shared.witnesses.record_unframed(service)
            self._hold_witness()
        return head

    def _hold_witness(self) -> None:
        if self._witness is None:
            self._witness = self._shared.witnesses.hold(
                self._chosen.server, self.via
            )

    async def _read_own_head(self) -> wire.ServerResponse:
        """Read a head, behind the copies of answers to earlier requests."""
        for _ in range(response_limits.MAX_LATE_COPIES):
            head = await self._read_head()
            is_late_copy = bool(head.request_id) and not self._is_own(head)
            if not self._connection.is_reused or not is_late_copy:
                return head
            await self._connection.skip_response()
        raise upstream.UpstreamError("too many late copies", True)

    def _is_own_refusal(self, head: wire.ServerResponse) -> bool:
        """Return whether a refusal belongs to the request that was sent.

        One that names no request may be a copy of an earlier one, unless the
        connection had no earlier request.
        """
        if self._is_own(head):
            return True
        return not head.request_id and not self._connection.is_reused

    def _is_own(self, head: wire.ServerResponse) -> bool:
        """Return whether a response belongs to the request that was sent."""
        return head.request_id == self._request.incoming.headers.request_id

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise upstream.UpstreamError("answer cut short", True)
            body += event.data
            if len(body) > response_limits.MAX_BUFFERED_BODY_BYTES:
                raise upstream.UpstreamError("answer too large", True)
            self._hold(len(body))

    def _hold(self, size_bytes: int) -> None:
        """Account for the bytes that are buffered of the answer."""
        if not self._holding.resize(size_bytes):
            raise upstream.UpstreamError(
                "no room for the answer", True, may_be_crash=False
            )

    async def _check_end(
        self, head: wire.ServerResponse, is_empty: bool
    ) -> None:
        """Check that a response has ended, and not only its connection."""
        if answer_ends.has_end(head, self._request.incoming.method):
            return
        is_stream = self._request.route.is_stream and head.status < 300
        wait_s = (
            witnesses.STREAM_WAIT_S if is_stream else witnesses.ANSWER_WAIT_S
        )
        # An answer that is there is judged also at the end of its time.
        self._extend_time_limit(wait_s + crash_checks.REFUSAL_TIMEOUT_S)
        answer = answer_ends.EndedAnswer(
            self._chosen.server,
            self._connection,
            self._server_limit,
            self._move,
            self._witness,
            wait_s,
        )
        await answer_ends.check(self._shared, answer, is_empty)

    def _extend_time_limit(self, time_s: float) -> None:
        """Let the attempt go on for at least a time."""
        end_s = asyncio.get_running_loop().time() + time_s
        if end_s > self._time_limit.when():
            self._time_limit.reschedule(end_s)

    async def _stream(
        self, head: wire.ServerResponse
    ) -> attempt_types.AttemptResult:
        """Forward complete events as they arrive."""
        if self._delivery.has_started and not head.is_event_stream:
            raise upstream.UpstreamError("resumption is no stream", True)
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise upstream.UpstreamError("stream cut short", True)
            await self._forward(head, bytes(event.data))
        if self._delivery.has_partial_event:
            raise upstream.UpstreamError(
                "stream ended inside an event", True, not head.has_framing
            )
        await self._check_end(head, self._first_event_s is None)
        self._delivery.end_stream(head)
        self._record_answer(self._prompt)
        self._end_attempt(True, head)
        return attempt_types.StreamCompleted()

    async def _forward(self, head: wire.ServerResponse, data: bytes) -> None:
        events_before = self._delivery.event_count
        if self._witness is not None:
            self._witness = self._shared.witnesses.renew(
                self._chosen.server, self.via, self._witness
            )
        try:
            for piece in server_sent_events.split_work(
                data, loop_time.BURST_PIECES
            ):
                await self._delivery.forward(head, piece.data)
                await self._connection.take_turns(piece.line_count)
            self._hold(self._delivery.partial_bytes)
        except server_sent_events.StreamError as error:
            raise upstream.UpstreamError(str(error), True) from error
        finally:
            if self._delivery.event_count > events_before:
                self._record_events()

    def _record_events(self) -> None:
        """Record that the caller was sent events of this attempt."""
        if self._first_event_s is None:
            self._first_event_s = time.monotonic()
        if self._in_flight is not None:
            self._shared.load_balancer.record_first_token(self._in_flight)
            engine = self._request.service.engine
            if engine is not None and engine.can_move:
                # The request runs from its first event on.
                self._shared.evacuation.add(self)

    @property
    def _is_path_failure(self) -> bool:
        connection = self._connection
        return connection is not None and connection.is_path_failure

    @property
    def _is_at_limit(self) -> bool:
        """Return whether the server may have stopped at its time limit."""
        ended_s = self._connection.ended_boottime_s
        return bool(ended_s) and self._server_limit.may_have_stopped(ended_s)

    def _handle_failure(
        self, error: upstream.UpstreamError, is_at_limit: bool
    ) -> None:
        """Release the server, and count a crash if it ended."""
        was_reused = bool(self._was_reused)
        is_path_failure = self._is_path_failure
        is_failure = error.was_sent and not (was_reused or is_path_failure)
        self._end_attempt(False if is_failure else None)
        if not error.was_sent or not error.may_be_crash or is_path_failure:
            return
        self._is_crash = crash_records.record(
            self._shared,
            crash_records.EarlyEnd(
                self._request,
                self._chosen.server,
                self._sent_s,
                self._first_event_s,
                error.is_disconnect,
                was_reused,
                self._has_response,
                is_at_limit,
            ),
        )
        if self._is_crash:
            self._shared.availability.record_end(self._chosen.server)

    def _record_answer(self, prompt: types.Prompt | None) -> None:
        self._shared.record_answer(prompt, self._request.crash_name)

    @property
    def _prompt(self) -> types.Prompt | None:
        return self._request.requirements.prompt

    def _end_attempt(
        self, outcome: bool | None, head: wire.ServerResponse | None = None
    ) -> None:
        """Release the connection and the reservation of the server.

        Args:
            outcome: As for LoadBalancer.end.
            head: Head of a response that ended cleanly, so that its connection
                may be reused; None closes the connection.
        """
        connection, self._connection = self._connection, None
        if connection is not None:
            self._record_end(connection)
            if head is not None and not head.closes_connection:
                self._shared.pool.release(connection, head.idle_timeout_s)
            else:
                connection.close()
        in_flight, self._in_flight = self._in_flight, None
        if in_flight is None:
            return
        opened = self._shared.load_balancer.end(
            in_flight, outcome, time.monotonic()
        )
        if opened:
            events.log(
                events.SERVER_CIRCUIT_OPEN, server=in_flight.server.server_id
            )

    def _record_end(self, connection: upstream.Connection) -> None:
        """Record what was left of the time limit as the server closed."""
        limit, ended_s = self._server_limit, connection.ended_boottime_s
        if limit is not None and ended_s:
            self.limit_left_s = round(limit.left_s(ended_s), 3)

    def move_state(self) -> str | None:
        """Return the state of the move of the run, for logs; None without."""
        if self._move is None:
            return None
        if not self._move.done():
            return "pending"
        result = self._move.result()
        return "moved" if isinstance(result, moves.MovedRun) else "not_moved"

    def _log(self, reason: str) -> None:
        chosen = self._chosen
        evidence = self._shared.part_crashes.evidence(
            self._request.crash_name, self._shared.time_of_day()
        )
        events.log(
            events.ATTEMPT_FAILED,
            request=self._request.incoming.headers.request_id,
            server=chosen.server.server_id,
            server_started_ms=chosen.server.started_ms,
            reason=reason,
            expected_s=round(chosen.expected_s, 3),
            running=chosen.running,
            servers_age_s=self._shared.servers_age_s(),
            answered_s=self._delivery.answered_s(),
            delivered_events=self._delivery.event_count,
            last_event=self._delivery.last_event_id,
            is_framed=self.is_framed,
            limit_left_s=self.limit_left_s,
            move=self.move_state(),
            prompt_parts=types.shared_parts(self._prompt),
            connection_reused=self._was_reused,
            via=self.via,
            is_crash=self._is_crash,
            crash_name=self._request.crash_name,
            known_crashes=evidence.crashes,
            known_answers=evidence.answers,
        )
