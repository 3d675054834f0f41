"""Obtain and release grants for an exchange."""

import time

from bilberryturn import backends
from bilberryturn import events
from bilberryturn import messages
from bilberryturn import metrics
from bilberryturn.entry import context
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.scheduling import outcomes
from bilberryturn.scheduling import types

kinds = messages.kinds

MAX_POOLS_TRIED = 3
NO_SERVER_RETRY_AFTER_S = 2.0
PROBATION_TOKENS = 8
# A transfer is ended by the request's deadline. The timeout of curl is longer
# by this margin and serves as a fallback.
TRANSFER_MARGIN_S = 5.0


class GrantRequirements:
    """Requirements of an exchange that brokers are asked to meet."""

    def __init__(
        self,
        targets: tuple[str, ...],
        input_tokens: int,
        output_tokens: int,
        request_bytes: int,
        prefix_blocks: tuple[str, ...] = (),
        isolated: bool = False,
    ):
        self.targets = targets
        self.input_tokens = input_tokens
        self.output_tokens = output_tokens
        self.request_bytes = request_bytes
        self.prefix_blocks = prefix_blocks
        self.isolated = isolated
        self.excluded_servers: tuple[str, ...] = ()
        self.preemptions = 0
        self.attempts = 0


class GrantHolder:
    """Obtains one grant at a time and releases it exactly once."""

    def __init__(
        self,
        node: context.EntryContext,
        request: exchange.Exchange,
        requirements: GrantRequirements,
    ):
        self._node = node
        self._exchange = request
        self._requirements = requirements
        self._held_grant = None
        self._dispatched_s = 0.0
        self._prior_may_have_run = False
        self.grant: kinds.Granted | None = None
        self.first_token_s = 0.0
        self.output_tokens = 0
        self.cached_tokens = -1

    @property
    def target(self) -> str:
        """Return the model or service of the current grant's pool."""
        return self.grant.pool.partition("/")[2]

    def obtain(self) -> kinds.Granted:
        """Wait for a grant.

        Raises:
            RequestError: No grant was obtained; the request was not sent.
        """
        refusing_pools: set[str] = set()
        while True:
            answer = self._request_grant(frozenset(refusing_pools))
            if isinstance(answer, kinds.Granted):
                return self._accept(answer)
            pool = answer[0]
            refusal = answer[1]
            self._exchange.add_trace_step(
                "refused", pool=pool, reason=refusal.reason
            )
            refusing_pools.add(pool)
            is_last = len(refusing_pools) >= MAX_POOLS_TRIED or not pool
            if is_last or refusal.reason != types.REASON_NO_SERVER:
                raise _refusal_error(refusal)

    def _request_grant(self, excluded_pools: frozenset[str]):
        """Return a grant, or the name of the pool and its refusal."""
        request = self._exchange
        chosen: list[str] = []

        def send_on_control_thread() -> None:
            message = self._build_request(excluded_pools)
            if message is None:
                request.deliver(
                    kinds.Refused(
                        request.request_id,
                        types.REASON_NO_SERVER,
                        NO_SERVER_RETRY_AFTER_S,
                    )
                )
                return
            chosen.append(message.pool)
            self._node.grants.request_grant(message, request.deliver)

        self._node.control.submit(send_on_control_thread)
        try:
            while True:
                event = request.next_event()
                if isinstance(event, kinds.Granted):
                    return event
                if isinstance(event, kinds.Refused):
                    return (chosen[0] if chosen else ""), event
        except BaseException:
            self._node.control.submit(
                self._node.grants.cancel, request.request_id
            )
            self._node.control.submit(
                self._node.grants.release,
                request.request_id, outcomes.CANCELLED, 0, 0.0, 0.0, -1,
            )  # fmt: skip
            raise

    def _build_request(self, excluded_pools) -> kinds.GrantRequest | None:
        """Build the message to the best pool; runs on the control thread."""
        request, requirements = self._exchange, self._requirements
        profile = request.profile
        now_s = time.monotonic()
        choice = self._node.router.choose(
            requirements.targets,
            profile.tier,
            profile.first_token_target_s,
            requirements.request_bytes,
            excluded_pools,
            now_s,
        )
        if choice is None:
            return None
        request.add_trace_step("asked", pool=choice.pool, why=choice.reason)
        waited_s = now_s - request.arrived_s
        account = self._node.declared.client_accounts.get(
            request.client_account
        )
        budget_s = min(profile.max_wait_s, request.deadline_s - now_s)
        if requirements.attempts == 0:
            budget_s = min(budget_s, profile.max_wait_s - waited_s)
        return kinds.GrantRequest(
            request.request_id,
            self._node.control.options.own_address,
            choice.pool,
            profile.tier,
            request.client_account,
            account.weight if account else 1.0,
            requirements.input_tokens,
            requirements.output_tokens,
            max(0.0, budget_s),
            profile.first_token_target_s - waited_s,
            profile.cheap,
            requirements.prefix_blocks,
            requirements.excluded_servers,
            requirements.isolated,
            requirements.preemptions,
            requirements.attempts > requirements.preemptions,
            waited_s,
        )

    def _accept(self, granted: kinds.Granted) -> kinds.Granted:
        request = self._exchange
        self.grant = granted
        self._held_grant = self._node.grants.held_grants.get(request.request_id)
        self._dispatched_s = time.monotonic()
        self.first_token_s = 0.0
        self.output_tokens = 0
        self.cached_tokens = -1
        request.add_trace_step("granted", server=granted.server)
        labels = {"tier": str(request.tier), "profile": request.profile_name}
        if self._requirements.attempts == 0:
            waited_s = self._dispatched_s - request.arrived_s
            metrics.add(metrics.QUEUE_WAIT_S, labels, waited_s)
        cost_class = "cheap" if granted.is_cheap else "paid"
        metrics.add(metrics.PLACEMENTS, {"cost_class": cost_class})
        return granted

    def count_tokens(self, count: int) -> None:
        """Count generated tokens for fairness and the sync with the broker."""
        if self.output_tokens == 0 and count > 0:
            self.first_token_s = time.monotonic() - self._dispatched_s
        self.output_tokens += count
        if self._held_grant is not None:
            self._held_grant.output_tokens = self.output_tokens
        if (
            self._requirements.isolated
            and self.output_tokens == PROBATION_TOKENS
        ):
            self._node.control.submit(
                self._node.grants.end_probation, self._exchange.request_id
            )

    def release(self, outcome: str) -> None:
        """Release the grant; does nothing if it is already released."""
        if self.grant is None:
            return
        self.grant = None
        self._held_grant = None
        self._node.control.submit(
            self._node.grants.release,
            self._exchange.request_id,
            outcome,
            self.output_tokens,
            self.first_token_s,
            time.monotonic() - self._dispatched_s,
            self.cached_tokens,
        )

    def send(
        self,
        method: str,
        path: str,
        headers: tuple[str, ...],
        body: bytes | None,
    ) -> backends.Call:
        """Send a request to the granted server.

        From here on the request counts as possibly run, unless the CallEnd
        event reports that no byte was sent.
        """
        request = self._exchange
        timing = self._node.settings.timing
        self._prior_may_have_run = request.may_have_run
        request.may_have_run = True
        options = backends.CallOptions(
            method,
            f"http://{self.grant.address}{path}",
            headers,
            body,
            timing.connect_timeout_s,
            request.deadline_s - time.monotonic() + TRANSFER_MARGIN_S,
            self._node.settings.node.source_address,
            self._node.settings.limits.upstream_buffer_bytes,
        )
        return self._node.stream_loop.submit(options, request.deliver)

    def mark_not_sent(self) -> None:
        """Record that no byte of the last request was sent."""
        self._exchange.may_have_run = self._prior_may_have_run


def _refusal_error(refusal: kinds.Refused) -> exceptions.RequestError:
    events.log(
        events.REQUEST_REFUSED,
        request_id=refusal.request_id,
        reason=refusal.reason,
    )
    if refusal.reason == types.REASON_NO_SERVER:
        return exceptions.NoServerError(retry_after_s=refusal.retry_after_s)
    return exceptions.OverloadedError(
        refusal.reason, retry_after_s=refusal.retry_after_s
    )
