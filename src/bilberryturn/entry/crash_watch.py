"""Refuse a request that crashes the servers that run it."""

from bilberryturn import backends
from bilberryturn import events
from bilberryturn import messages
from bilberryturn.entry import context
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.scheduling import suspects


class CrashWatch:
    """Counts the crashes of one request, whichever entry it came to."""

    def __init__(
        self,
        node: context.EntryContext,
        request: exchange.Exchange,
        fingerprint: str,
    ):
        """Initialize the watch.

        Args:
            node: Shares the marks with the other entries.
            request: The request, for the log.
            fingerprint: Identifies the request across its retries.
        """
        self._suspects = node.suspects
        self._exchange = request
        self._fingerprint = fingerprint
        self._is_isolated = False

    def check(self) -> bool:
        """Return whether the request may only run alone on its server.

        Raises:
            QuarantinedError: It must not run at all.
        """
        classification = self._suspects.classify(self._fingerprint)
        if classification == suspects.QUARANTINED:
            raise exceptions.QuarantinedError()
        self._is_isolated = classification == suspects.ISOLATE
        return self._is_isolated

    def record_crash(self) -> None:
        """Count a crash during the attempt that was checked last."""
        marks = self._suspects.record_crash(
            self._fingerprint, self._is_isolated
        )
        if marks >= suspects.MARKS_TO_QUARANTINE:
            events.log(
                events.REQUEST_QUARANTINED,
                request_id=self._exchange.request_id,
                fingerprint=self._fingerprint,
            )

    def record_success(self) -> None:
        """Clear the crashes, as a server has run the request."""
        self._suspects.record_success(self._fingerprint)


def has_crashed(end: backends.CallEnd, grant: messages.kinds.Granted) -> bool:
    """Return whether the premature end of a call counts as a crash.

    It does if the connection was established, the server may have received the
    request and the call did not time out. It does not if the server had already
    failed before this request and not recovered.
    """
    return (
        end.may_have_run
        and end.is_connected
        and grant.is_proven
        and "timed out" not in end.error.lower()
    )
