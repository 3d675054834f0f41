"""Request grants from brokers; runs on the control thread.

Every answer is passed to the thread that serves the caller, by a callback.
"""

from collections.abc import Callable

import msgspec

from bilberryturn import membership
from bilberryturn import messages
from bilberryturn.brokers import pools
from bilberryturn.scheduling import outcomes

kinds = messages.kinds

BYTES_PER_GRANT = 40
SYNC_BYTES_PER_S = 4000


class PendingRequest:
    """A grant request that is neither granted nor refused yet."""

    def __init__(self, message: kinds.GrantRequest, deliver, now_s: float):
        self.message = message
        self.deliver = deliver
        self.arrived_s = now_s
        self.sent_s = now_s
        self.broker = ""
        self.is_confirmed = False


class HeldGrant:
    """A grant in use; the serving thread updates output_tokens."""

    def __init__(self, message: kinds.GrantRequest, server: str, deliver):
        self.message = message
        self.server = server
        self.deliver = deliver
        self.output_tokens = 0


class GrantClient:
    """Tracks the pending grant requests and the grants of one entry."""

    def __init__(
        self,
        own_address: str,
        reply_timeout_s: float,
        sync_interval_s: float,
        control: messages.ControlLoop,
        directory: membership.Directory,
        clock: Callable[[], float],
    ):
        self._own_address = own_address
        self._reply_timeout_s = reply_timeout_s
        self._sync_interval_s = sync_interval_s
        self._next_sync_s = 0.0
        self._control = control
        self._directory = directory
        self._clock = clock
        self.pending_requests: dict[str, PendingRequest] = {}
        self.held_grants: dict[str, HeldGrant] = {}

    def request_grant(
        self,
        message: kinds.GrantRequest,
        deliver: Callable[[kinds.Message], None],
    ) -> None:
        """Send a grant request; the callback receives the answers."""
        pending = PendingRequest(message, deliver, self._clock())
        self.pending_requests[message.request_id] = pending
        self._send(pending)

    def _find_broker(self, pool: str) -> tuple[str, str] | None:
        name = pools.parse(pool)
        ranked = self._directory.brokers(
            name.failure_domain, pool, self._clock()
        )
        return ranked[0] if ranked else None

    def _send(self, pending: PendingRequest) -> None:
        broker = self._find_broker(pending.message.pool)
        now_s = self._clock()
        pending.sent_s = now_s
        pending.is_confirmed = False
        if broker is None:
            pending.broker = ""
            return
        pending.broker = broker[0]
        waited_s = now_s - pending.arrived_s
        message = msgspec.structs.replace(
            pending.message,
            wait_budget_s=max(0.0, pending.message.wait_budget_s - waited_s),
            first_token_target_s=pending.message.first_token_target_s
            - waited_s,
            waited_s=pending.message.waited_s + waited_s,
        )
        self._control.send(broker[1], message)

    def granted(self, message: kinds.Granted) -> None:
        """Deliver a grant, or release it if its request is not pending."""
        pending = self.pending_requests.pop(message.request_id, None)
        if pending is None:
            held = self.held_grants.get(message.request_id)
            if held is not None and held.server == message.server:
                return
            self._send_release(
                message.request_id,
                message.pool,
                message.server,
                outcomes.CANCELLED,
            )
            return
        self.held_grants[message.request_id] = HeldGrant(
            pending.message, message.server, pending.deliver
        )
        pending.deliver(message)

    def queued(self, message: kinds.Queued) -> None:
        """Mark a pending request as confirmed by the broker."""
        pending = self.pending_requests.get(message.request_id)
        if pending is not None:
            pending.is_confirmed = True

    def refused(self, message: kinds.Refused) -> None:
        """Deliver a refusal."""
        pending = self.pending_requests.pop(message.request_id, None)
        if pending is not None:
            pending.deliver(message)

    def revoked(self, message: kinds.Preempted | kinds.Moved) -> None:
        """Deliver a preemption or a move to the holder of the grant."""
        held = self.held_grants.get(message.request_id)
        if held is not None and held.server == message.server:
            held.deliver(message)

    def cancel(self, request_id: str) -> None:
        """Cancel a pending request."""
        pending = self.pending_requests.pop(request_id, None)
        if pending is not None:
            self._send_release(
                request_id, pending.message.pool, "", outcomes.CANCELLED
            )

    def release(
        self,
        request_id: str,
        outcome: str,
        output_tokens: int,
        first_token_s: float,
        duration_s: float,
        cached_tokens: int,
    ) -> None:
        """Release a grant and report how its request ended."""
        held = self.held_grants.pop(request_id, None)
        if held is None:
            return
        self._send_release(
            request_id, held.message.pool, held.server, outcome,
            output_tokens, first_token_s, duration_s, cached_tokens,
        )  # fmt: skip

    def end_probation(self, request_id: str) -> None:
        """Notify the broker that a request may share its server again."""
        held = self.held_grants.get(request_id)
        if held is None:
            return
        broker = self._find_broker(held.message.pool)
        if broker is not None:
            self._control.send(
                broker[1],
                kinds.ProbationPassed(request_id, held.message.pool),
            )

    def _send_release(
        self, request_id, pool, server, outcome, output_tokens=0,
        first_token_s=0.0, duration_s=0.0, cached_tokens=-1,
    ) -> None:  # fmt: skip
        broker = self._find_broker(pool)
        if broker is None:
            return
        self._control.send(
            broker[1],
            kinds.Release(
                request_id, pool, server, outcome, output_tokens,
                first_token_s, duration_s, cached_tokens,
            ),
        )  # fmt: skip

    def tick(self) -> None:
        """Retry unconfirmed requests whose broker did not reply in time.

        The broker is marked as suspect, so that the retry goes to the next one.
        """
        now_s = self._clock()
        for pending in list(self.pending_requests.values()):
            if pending.is_confirmed:
                continue
            if now_s - pending.sent_s < self._reply_timeout_s:
                continue
            if pending.broker:
                self._directory.suspect(pending.broker, now_s)
            self._send(pending)

    def members_changed(self) -> None:
        """Resend requests whose broker no longer ranks first."""
        for pending in list(self.pending_requests.values()):
            broker = self._find_broker(pending.message.pool)
            if broker is not None and broker[0] != pending.broker:
                self._send(pending)

    def sync(self) -> None:
        """Report the pending requests and the grants to their brokers.

        The interval grows with the number of grants, to bound the traffic.
        """
        now_s = self._clock()
        if now_s < self._next_sync_s:
            return
        interval_s = self._sync_interval_s + (
            len(self.held_grants) * BYTES_PER_GRANT / SYNC_BYTES_PER_S
        )
        self._next_sync_s = now_s + interval_s - self._sync_interval_s / 2
        names = {
            pending.message.pool for pending in self.pending_requests.values()
        }
        names.update(h.message.pool for h in self.held_grants.values())
        for pool in names:
            broker = self._find_broker(pool)
            if broker is None:
                continue
            progress = {
                request_id: held.output_tokens
                for request_id, held in self.held_grants.items()
                if held.message.pool == pool
            }
            self._control.send(
                broker[1],
                kinds.EntrySync(
                    self._own_address,
                    pool,
                    self._waiting_in(pool),
                    progress=progress,
                    interval_s=interval_s,
                ),
            )

    def _waiting_in(self, pool: str) -> tuple[str, ...]:
        return tuple(
            request_id
            for request_id, pending in self.pending_requests.items()
            if pending.message.pool == pool
        )

    def answer_query(self, message: kinds.HoldQuery) -> None:
        """Answer a broker's query with all requests and grants of its pool."""
        running = tuple(
            kinds.RunningGrant(
                request_id,
                held.server,
                held.message.tier,
                held.message.client_account,
                held.output_tokens,
                held.message.cheap,
            )
            for request_id, held in self.held_grants.items()
            if held.message.pool == message.pool
        )
        self._control.send(
            message.reply_address,
            kinds.EntrySync(
                self._own_address,
                message.pool,
                self._waiting_in(message.pool),
                running,
            ),
        )

    def sync_unknown(self, message: kinds.SyncUnknown) -> None:
        """Resend the confirmed requests that the broker does not know."""
        for request_id in message.request_ids:
            pending = self.pending_requests.get(request_id)
            if pending is not None and pending.is_confirmed:
                self._send(pending)
