"""Send a request to backend servers until its caller has a response."""

import asyncio
import time

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.gateway import attempt_types
from bilberryturn.gateway import attempts
from bilberryturn.gateway import availability
from bilberryturn.gateway import delivery
from bilberryturn.gateway import moves
from bilberryturn.gateway import outcomes
from bilberryturn.gateway import shared_state
from bilberryturn.gateway import state_arrival
from bilberryturn.gateway import stream_origins
from bilberryturn.routing import choice
from bilberryturn.routing import crash_causes
from bilberryturn.routing import placement
from bilberryturn.routing import request_names
from bilberryturn.routing import table as route_tables
from bilberryturn.routing import types

# Shortest remaining time in which a request is sent to a server.
MIN_ATTEMPT_S = 0.05
# How a stream that was sent completely ends in the log.
STREAMED = "streamed"
# Sent as Retry-After if no server can take the request.
RETRY_AFTER_S = 0.3


class Exchange:
    """Routes one request, retries it as allowed and logs its end."""

    def __init__(
        self,
        incoming: delivery.IncomingRequest,
        caller: delivery.Caller,
        shared: shared_state.SharedState,
    ):
        self._incoming = incoming
        self._caller = caller
        self._shared = shared
        self._request: attempt_types.RoutedRequest | None = None
        self._delivery: delivery.Delivery | None = None
        self._chosen: choice.Choice | None = None
        self._attempt_in_progress = False
        # Admission of the request to the chosen server.
        self._admission: availability.Admission | None = None
        self._last_attempt: attempts.Attempt | None = None
        self._sent_count = 0
        # Status of the response that the end of a shutdown sent.
        self._stop_status = 0
        self._excluded: set[str] = set()
        # Version at which the stream began; None while any may serve it.
        self._version: str | None = None
        # Response to send if no other server has a better one.
        self._fallback: attempt_types.Response | None = None
        self._last_failure = ""
        # Whether a server may have stopped at the time limit. The clock of the
        # deadline stands still while the machine is suspended.
        self._is_time_over = False
        # Set if the request is refused for its crashes.
        self._crash_cause: crash_causes.Cause | None = None
        # Kept for the log, which covers refused requests too.
        self._route_name: str | None = None
        self._account_name: str | None = None
        self._home_regions: frozenset[str] | None = None
        # Time for which the request waited for the state of the node.
        self._waited_s: float | None = None
        # How a stream that the caller takes up was found to go on.
        self._resumption: str | None = None
        # Age of the list of servers as that was decided.
        self._resumption_list_age_s: float | None = None

    async def run(self) -> None:
        """Respond to the request; cancelling it releases its resources."""
        try:
            status, reason = await self._run()
        except asyncio.CancelledError:
            is_cut = self._shared.is_cut
            self._log(
                "node_stopped" if is_cut else "caller_gone", self._stop_status
            )
            raise
        finally:
            self._drop_fallback()
        self._log(reason, status)

    def end_at_stop(self) -> bool:
        """Respond to the request as the node ends, unless a stream has begun.

        The caller must cancel the exchange then.

        Returns:
            Whether a response was sent.
        """
        if self._delivery is not None and self._delivery.has_started:
            return False
        may_have_run = self._attempt_in_progress or self._sent_count > 0
        refusal = (
            outcomes.no_valid_response("node_stopped")
            if may_have_run
            else outcomes.NODE_STOPPING
        )
        self._stop_status, _ = self._refuse(refusal)
        return True

    async def _run(self) -> tuple[int, str]:
        refusal = await self._wait_for_state() or self._admit()
        refusal = refusal or await self._find_version()
        if refusal is not None:
            return self._refuse(refusal)
        is_complete = False
        try:
            status, reason = await self._serve()
            is_complete = reason == STREAMED
        finally:
            self._record_stream_end(is_complete)
        return status, reason

    async def _wait_for_state(self) -> outcomes.Refusal | None:
        """Wait for the state of a node that starts; returns a refusal, if any.

        It comes before the admission, for which all that arrives counts.
        """
        shared = self._shared
        began_s = time.monotonic()
        if not shared.arrival.is_open(began_s):
            return None
        incoming = self._incoming
        try:
            outcome = await shared.arrival.wait_for_all(
                incoming.arrived_s,
                lambda: self._timeout_s(self._find_route()),
                incoming.size_bytes(),
            )
        finally:
            self._waited_s = round(time.monotonic() - began_s, 3)
        return state_arrival.REFUSALS.get(outcome)

    def _find_route(self) -> types.Route | None:
        """Return the route of the request; None without a configuration."""
        table, incoming = self._shared.table, self._incoming
        if table is None:
            return None
        target = incoming.target.decode("latin-1")
        return table.find_route(incoming.headers.host, target.partition("?")[0])

    def _timeout_s(self, route: types.Route | None) -> float | None:
        """Return the time limit of the request, None if none is known."""
        limits_s = (
            route.timeout_s if route else None,
            self._incoming.headers.caller_timeout_s,
        )
        return min((x for x in limits_s if x is not None), default=None)

    def _admit(self) -> outcomes.Refusal | None:
        """Route and authenticate the request; returns a refusal, if any."""
        shared, incoming = self._shared, self._incoming
        table = shared.table
        if table is None:
            return outcomes.NO_CONFIG
        headers = incoming.headers
        target = incoming.target.decode("latin-1")
        route = self._find_route()
        if route is None:
            return outcomes.NO_ROUTE
        account = table.find_account(headers.key)
        if table.uses_keys and account is None and not route.is_public:
            return outcomes.BAD_KEY
        self._route_name = route.name
        self._account_name = account.name if account else None
        deadline_s = incoming.arrived_s + self._timeout_s(route)
        now_s = time.monotonic()
        if shared.drain and not shared.drain.accepts(now_s, deadline_s):
            return outcomes.NODE_STOPPING
        service_name = route_tables.choose_service(
            route, headers.resumed_request_id or headers.request_id
        )
        service = table.services.get(service_name)
        if service is None:
            return outcomes.no_server(RETRY_AFTER_S)
        prompt = headers.prompt if service.engine else None
        requirements = choice.Requirements(
            service,
            shared.failure_domain,
            prompt,
            route.gap_target_s,
            placement.home_regions(route, account),
        )
        self._home_regions = requirements.home_regions
        if not shared.has_home_region(requirements):
            shared.record_home_refusal(self._route_name, self._account_name)
            return outcomes.NO_HOME_REGION
        crash_name = request_names.name(
            account.name if account else "",
            target,
            incoming.body,
            prompt.parts[-1].part_id if prompt and prompt.parts else "",
        )
        self._crash_cause = shared.crash_cause(prompt, crash_name)
        if self._crash_cause is not None:
            return outcomes.crashes_servers(self._crash_cause.is_request)
        shared.retry_budget(service_name).record_request(now_s)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        self._request = attempt_types.RoutedRequest(
            incoming,
            route,
            service,
            account,
            priority,
            requirements,
            crash_name,
            deadline_s,
        )
        self._delivery = delivery.Delivery(self._caller, account, shared.usage)
        return None

    @property
    def _stream_name(self) -> str:
        """Return the name by which a caller takes the stream up again."""
        headers = self._incoming.headers
        if headers.last_event_id is None:
            return headers.request_id
        return headers.resumed_request_id or ""

    async def _find_version(self) -> outcomes.Refusal | None:
        """Find out which version began the stream to take up, if any.

        What another version writes does not fit the events that the caller
        has, so that it is better off without an answer.
        """
        shared, request = self._shared, self._request
        service = request.service.name
        is_taken_up = self._incoming.headers.last_event_id is not None
        if not self._is_resumable or not is_taken_up:
            return None
        origins, name = shared.stream_origins, self._stream_name
        if origins.known(name) is None and await self._has_one_version():
            servers = shared.candidates(request.requirements)
            # Servers of another version may join meanwhile.
            self._version = servers[0].software_version if servers else None
            self._record_resumption("one_version")
            return None
        origin = await origins.find(name, request.deadline_s)
        if origin is None or origin.service != service:
            self._record_resumption("unknown_origin")
            return outcomes.unknown_origin(RETRY_AFTER_S)
        self._version = origin.version
        if not self._of_version(shared.candidates(request.requirements)):
            self._record_resumption("no_server_of_version")
            return outcomes.no_server_of_version(RETRY_AFTER_S)
        self._record_resumption("same_version")
        return None

    async def _has_one_version(self) -> bool:
        """Return whether no other version can have begun the stream.

        Its server may have joined just before, so that only a list that is
        newer than the request shows it. It may also have left again while the
        node was cut off, of which only reports tell.
        """
        shared, service = self._shared, self._request.service.name
        if shared.is_mixed(service) or shared.list_waits.has_gap:
            return False
        has_newer_list = await shared.list_waits.wait(
            leases.boottime_s(), self._remaining_s() - MIN_ATTEMPT_S
        )
        if not has_newer_list or shared.list_waits.has_gap:
            return False
        return not shared.is_mixed(service)

    def _record_resumption(self, outcome: str) -> None:
        self._resumption = outcome
        self._resumption_list_age_s = self._shared.servers_age_s()
        self._shared.record_resumed_stream(self._request.service.name, outcome)

    @property
    def _is_resumable(self) -> bool:
        return self._request.route.is_resumable

    def _of_version(
        self, servers: list[types.BackendServer]
    ) -> list[types.BackendServer]:
        """Return the servers at which the stream may go on."""
        if self._version is None:
            return servers
        return [s for s in servers if s.software_version == self._version]

    def _record_stream_start(self, server: types.BackendServer) -> None:
        """Record the version that is to begin the stream before it does."""
        if self._is_resumable and not self._delivery.event_count:
            self._shared.stream_origins.begin(
                self._stream_name,
                stream_origins.Origin(server.service, server.software_version),
            )

    def _record_stream_end(self, is_complete: bool) -> None:
        """Forget the stream, unless its caller may take it up again."""
        if not self._is_resumable:
            return
        origins, name = self._shared.stream_origins, self._stream_name
        has_events = (
            self._delivery.event_count > 0
            or self._incoming.headers.last_event_id is not None
        )
        if has_events and not is_complete:
            origins.break_off(name, self._request.deadline_s)
        else:
            origins.end(name)

    async def _serve(self) -> tuple[int, str]:
        """Send the request to servers one after another."""
        may_have_run = False
        moved: moves.MovedRun | None = None
        while True:
            if self._is_time_over or self._remaining_s() < MIN_ATTEMPT_S:
                break
            may_send = moved or not self._sent_count
            if not may_send and not self._may_retry(may_have_run):
                break
            result = await self._attempt(moved)
            moved = None
            if result is None:
                break
            if isinstance(result, attempt_types.StreamCompleted):
                return 200, STREAMED
            if isinstance(result, moves.MovedRun):
                may_have_run = True
                if not self._may_send(result.chosen):
                    # Its failure domain was drained during the copy.
                    self._shared.unused_copies.release(result)
                    self._last_failure = "destination_drained"
                    continue
                self._last_failure = "moved"
                moved = result
                if not self._delivery.can_resume:
                    break
            elif isinstance(result, attempt_types.Response):
                if self._is_final(result):
                    return self._deliver(result)
                self._keep(result)
                may_have_run = True
            elif isinstance(result, attempt_types.NotRun):
                self._last_failure = "server_full"
            else:
                may_have_run = may_have_run or result.was_sent
                self._is_time_over = result.is_time_over
                self._last_failure = result.reason
        if moved is not None:
            self._shared.unused_copies.release(moved)
        return self._end_without_success(may_have_run)

    def _keep(self, response: attempt_types.Response) -> None:
        """Keep a response in case no other server has a better one."""
        self._drop_fallback()
        self._fallback = response
        response.holding.on_give_way = self._drop_fallback

    def _drop_fallback(self) -> None:
        if self._fallback is not None:
            self._fallback.holding.close()
            self._fallback = None

    def _remaining_s(self) -> float:
        return self._request.deadline_s - time.monotonic()

    def _may_retry(self, may_have_run: bool) -> bool:
        """Return whether the request may be retried on another server."""
        if may_have_run and not self._request.route.is_retryable:
            return False
        if may_have_run and not self._has_attempts_left():
            return False
        if not self._delivery.can_resume:
            return False
        now_s = time.monotonic()
        cause = self._shared.crash_cause(
            self._request.requirements.prompt, self._request.crash_name
        )
        if cause is not None:
            return False
        return self._shared.retry_budget(self._request.service.name).take(now_s)

    def _has_attempts_left(self) -> bool:
        return self._sent_count < self._request.route.attempts

    async def _choose_recorded(self) -> choice.Choice | None:
        """Return a server of the version that the store names, if it does.

        An earlier attempt was recorded and ended without an event. Another node
        may read its record as soon as this one sends events, so that the stream
        begins at another version only once the record is removed.
        """
        origins, name = self._shared.stream_origins, self._stream_name
        if not self._is_resumable or self._version is not None:
            return await self._choose()
        recorded = origins.pause(name)
        if recorded is None:
            return await self._choose()
        self._version = recorded.version
        try:
            chosen = await self._choose()
        finally:
            self._version = None
        if chosen is not None:
            return chosen
        limit_s = self._remaining_s() - MIN_ATTEMPT_S
        if limit_s <= 0 or not await origins.withdraw(name, limit_s):
            return None
        return await self._choose()

    async def _choose(self) -> choice.Choice | None:
        """Return a server that takes the request, if any.

        A request waits for a place at a brittle server for as long as its
        answer can be in time.
        """
        while True:
            chosen = await self._choose_now()
            if chosen is not None:
                return chosen
            if not await self._wait_for_place():
                return None

    async def _wait_for_place(self) -> bool:
        """Return whether there may be a place at a brittle server now."""
        available, servers = self._shared.availability, self._untried_servers()
        if not available.has_brittle(servers):
            return False
        return await available.wait_for_place(
            servers, self._request.priority, self._place_limit_s()
        )

    def _place_limit_s(self) -> float:
        """Return until when the request waits for a place."""
        return min(
            self._incoming.arrived_s + self._request.route.target_s,
            self._request.deadline_s - MIN_ATTEMPT_S,
        )

    def _untried_servers(self) -> list[types.BackendServer]:
        servers = self._of_version(
            self._shared.candidates(self._request.requirements)
        )
        return [s for s in servers if s.server_id not in self._excluded]

    async def _choose_now(self) -> choice.Choice | None:
        """Return a server that takes the request now, if any."""
        shared, request = self._shared, self._request
        not_permitted: set[str] = set()
        while True:
            now_s = time.monotonic()
            servers = shared.availability.spread(
                self._of_version(shared.candidates(request.requirements))
            )
            for unavailable in shared.availability.exclusions(
                request.priority, now_s, not_permitted
            ):
                chosen = shared.load_balancer.choose(
                    request.requirements,
                    servers,
                    now_s,
                    frozenset(self._excluded | unavailable),
                )
                if chosen is not None:
                    break
            if chosen is None:
                return None
            admission = await shared.availability.admit(
                chosen.server, request.priority, self._remaining_s()
            )
            # The failure domain may have been drained in the meantime.
            if admission is not None and self._may_send(chosen):
                self._admission = admission
                return chosen
            if admission is not None:
                shared.availability.release(admission)
            not_permitted.add(chosen.server.server_id)

    def _may_send(self, chosen: choice.Choice) -> bool:
        return self._shared.may_send(chosen.server, self._request.requirements)

    async def _attempt(
        self, moved: moves.MovedRun | None
    ) -> attempt_types.AttemptResult | None:
        """Send the request once; returns None if no server is available.

        Args:
            moved: The moved run to go on with, if any.
        """
        shared = self._shared
        chosen = moved.chosen if moved else await self._choose_recorded()
        if chosen is None:
            return None
        if moved and not await shared.availability.wait_for_permit(
            chosen.server,
            self._request.priority,
            self._request.deadline_s - MIN_ATTEMPT_S,
        ):
            shared.unused_copies.release(moved)
            return None
        self._chosen = chosen
        self._excluded.add(chosen.server.server_id)
        self._record_stream_start(chosen.server)
        attempt = attempts.Attempt(
            self._request,
            chosen,
            self._delivery,
            shared,
            moved.moved_from if moved else None,
        )
        self._last_attempt = attempt
        may_try_another = self._sent_count + 1 < self._request.route.attempts
        self._attempt_in_progress = True
        result = None
        try:
            result = await attempt.run(may_try_another)
            return result
        finally:
            self._attempt_in_progress = False
            self._end_admission(result)
            if self._delivery.event_count:
                # Another attempt goes on where this one stopped.
                self._version = chosen.server.software_version
            self._sent_count += attempt.was_sent
            if moved and not attempt.was_sent:
                shared.unused_copies.release(moved)

    def _end_admission(
        self, result: attempt_types.AttemptResult | None
    ) -> None:
        admission, self._admission = self._admission, None
        if admission is None:
            return
        status = None
        if isinstance(result, attempt_types.NotRun):
            status = result.status
        elif isinstance(result, attempt_types.Response):
            status = result.head.status
        was_accepted = isinstance(
            result, attempt_types.Response | attempt_types.StreamCompleted
        )
        self._shared.availability.release(
            admission,
            was_accepted and status not in availability.TURNED_AWAY,
            status,
        )

    def _is_final(self, response: attempt_types.Response) -> bool:
        """Return whether a response is sent to the caller without a retry."""
        if response.head.status < 500 or self._delivery.has_started:
            return True
        may_retry = self._request.route.is_retryable
        return not (may_retry and self._has_attempts_left())

    def _end_without_success(self, may_have_run: bool) -> tuple[int, str]:
        if self._delivery.has_started:
            self._caller.abort()
            return 200, f"stream_broken:{self._last_failure}"
        if self._fallback is not None:
            return self._deliver(self._fallback)
        if may_have_run:
            if self._is_time_over or self._remaining_s() <= MIN_ATTEMPT_S:
                return self._refuse(outcomes.TIMED_OUT)
            return self._refuse(
                outcomes.no_valid_response(self._last_failure or "failed")
            )
        wait_s = self._shared.availability.retry_after_s(
            self._shared.candidates(self._request.requirements),
            self._request.priority,
            time.monotonic(),
        )
        return self._refuse(outcomes.no_server(wait_s or RETRY_AFTER_S))

    def _deliver(self, response: attempt_types.Response) -> tuple[int, str]:
        status = response.head.status
        may_run_again = self._request.route.is_retryable
        if status in outcomes.NOT_RUN_STATUSES and not may_run_again:
            # The server did not state that it has not run the request.
            response.holding.close()
            refusal = outcomes.may_have_run(status)
            self._refuse(refusal)
            return refusal.status, f"{refusal.reason}:{status}"
        self._caller.send_response(status, response.head.headers, response.body)
        response.holding.close()
        return status, "answered"

    def _refuse(self, refusal: outcomes.Refusal) -> tuple[int, str]:
        self._caller.send_response(
            refusal.status, refusal.headers(), refusal.body()
        )
        return refusal.status, refusal.reason

    def _log(self, reason: str, status: int) -> None:
        shared, chosen = self._shared, self._chosen
        attempt, caller_delivery = self._last_attempt, self._delivery
        arrived_s = self._incoming.arrived_s
        duration_s = time.monotonic() - arrived_s
        first_chunk_s = (
            caller_delivery.first_chunk_s if caller_delivery else None
        )
        shared.record_ended_request(
            self._route_name or "none",
            self._account_name or "none",
            reason.partition(":")[0],
            duration_s,
            None if first_chunk_s is None else first_chunk_s - arrived_s,
        )
        events.log(
            events.REQUEST_ENDED,
            request=self._incoming.headers.request_id,
            route=self._route_name,
            client_account=self._account_name,
            home_regions=(
                None
                if self._home_regions is None
                else sorted(self._home_regions)
            ),
            status=status,
            reason=reason,
            server=chosen.server.server_id if chosen else None,
            software_version=chosen.server.software_version if chosen else None,
            resumes=self._incoming.headers.resumed_request_id,
            resumption=self._resumption,
            resumption_list_age_s=self._resumption_list_age_s,
            expected_s=round(chosen.expected_s, 3) if chosen else None,
            running=chosen.running if chosen else None,
            unread_tokens=chosen.uncached_tokens if chosen else None,
            sends=self._sent_count,
            via=attempt.via if attempt else None,
            delivered_events=(
                caller_delivery.event_count if caller_delivery else None
            ),
            last_event=(
                caller_delivery.last_event_id if caller_delivery else None
            ),
            is_framed=attempt.is_framed if attempt else None,
            limit_left_s=attempt.limit_left_s if attempt else None,
            move=attempt.move_state() if attempt else None,
            duration_s=round(duration_s, 4),
            waited_s=self._waited_s,
            config=shared.table.version if shared.table else None,
            config_age_s=shared.config_age_s(),
            servers_age_s=shared.servers_age_s(),
            age_at_stop_s=shared.age_at_stop_s(arrived_s),
            crash_cause=self._crash_cause.part if self._crash_cause else None,
            known_crashes=(
                self._crash_cause.crashes if self._crash_cause else None
            ),
        )
