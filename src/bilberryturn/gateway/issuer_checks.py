"""Find out whether nodes that issue permits before this one still do.

A node that replaces the issuer of a server's permits may hand out the whole
limit only while the issuer hands out none. A process that has ended says so:
nothing listens at its address. One that is frozen or cut off is silent, and may
go on at any moment.
"""

import asyncio
import enum
from typing import NamedTuple

from bilberryturn.gateway import response_limits
from bilberryturn.gateway import upstream

# Any other response shows that a node issues permits, also that of an earlier
# version, which doesn't know the path.
PATH = "/permit-issuer"
NO_ISSUER_STATUS = 503
# Longer than a call to another region takes.
CHECK_TIMEOUT_S = 0.3
# Time between the starts of two checks of a node.
CHECK_INTERVAL_S = 0.4
# Age of a check from which on it shows nothing, as the node may be back.
FRESH_S = 1.0
# A node that is silent for longer counts as gone.
SILENT_S = 2.0


class IssuerState(enum.Enum):
    """What is known of a node that issues permits."""

    PRESENT = "present"
    GONE = "gone"
    UNCERTAIN = "uncertain"


class _Finding(NamedTuple):
    """Result of a check.

    Attributes:
        checked_s: Monotonic time at which the check began.
        issues_nothing: Whether nothing listened at the address, or the node
            said that it issues no permits.
        silent_since_s: Monotonic time since which no check was answered; None
            if this one was.
    """

    checked_s: float
    issues_nothing: bool
    silent_since_s: float | None


class IssuerChecks:
    """Checks nodes for as long as their state is asked for."""

    def __init__(self, pool: upstream.ConnectionPool):
        self._pool = pool
        self._findings: dict[str, _Finding] = {}
        self._pending: dict[str, asyncio.Task] = {}

    def state(self, node: str, now_s: float) -> IssuerState:
        """Return the state of a node, and check it again if that is due.

        Args:
            node: HOST:PORT of the node.
            now_s: Present monotonic time.
        """
        known = self._findings.get(node)
        is_due = known is None or now_s - known.checked_s >= CHECK_INTERVAL_S
        if is_due and node not in self._pending:
            self._start(node, now_s)
            known = self._findings.get(node)
        if known is None or now_s - known.checked_s > FRESH_S:
            return IssuerState.UNCERTAIN
        if known.issues_nothing:
            return IssuerState.GONE
        if known.silent_since_s is None:
            return IssuerState.PRESENT
        is_gone = now_s - known.silent_since_s >= SILENT_S
        return IssuerState.GONE if is_gone else IssuerState.UNCERTAIN

    def _start(self, node: str, now_s: float) -> None:
        task = asyncio.get_running_loop().create_task(self._check(node, now_s))
        self._pending[node] = task
        task.add_done_callback(lambda _: self._pending.pop(node, None))

    async def _check(self, node: str, now_s: float) -> None:
        is_silent = False
        try:
            reply = await self._pool.call(
                node,
                upstream.Call(b"GET", PATH.encode(), b""),
                CHECK_TIMEOUT_S,
                response_limits.MAX_HEAD_BYTES,
            )
            issues_nothing = reply.status == NO_ISSUER_STATUS
        except upstream.UpstreamError as error:
            issues_nothing = error.is_refused
            is_silent = not issues_nothing
        self._findings[node] = _Finding(
            now_s, issues_nothing, self._silent_since_s(node, is_silent, now_s)
        )

    def _silent_since_s(
        self, node: str, is_silent: bool, now_s: float
    ) -> float | None:
        if not is_silent:
            return None
        known = self._findings.get(node)
        # Between two checks that are far apart it may have been there.
        if known is None or now_s - known.checked_s > FRESH_S:
            return now_s
        if known.silent_since_s is None:
            return now_s
        return known.silent_since_s
