"""What an attempt to send a request takes and returns."""

from typing import NamedTuple

from bilberryturn.gateway import delivery
from bilberryturn.gateway import memory
from bilberryturn.gateway import moves
from bilberryturn.platform import wire
from bilberryturn.routing import choice
from bilberryturn.routing import types


class RoutedRequest(NamedTuple):
    """A request with its route, service and account.

    Attributes:
        priority: Priority that is sent to the server; 0 is the highest.
        crash_name: Identifies the request across its retries, to find one that
            crashes servers.
        deadline_s: Monotonic time at which the caller stops waiting.
    """

    incoming: delivery.IncomingRequest
    route: types.Route
    service: types.Service
    account: types.ClientAccount | None
    priority: int
    requirements: choice.Requirements
    crash_name: str
    deadline_s: float


class Response(NamedTuple):
    """A complete response of a server.

    Attributes:
        holding: The bytes of the body in the node's account of memory.
    """

    head: wire.ServerResponse
    body: bytes
    holding: memory.Holding


class NotRun(NamedTuple):
    """Result of an attempt that the server reports as not run.

    Attributes:
        status: Status of the server's answer.
    """

    status: int


class AttemptFailed(NamedTuple):
    """Result of an attempt that failed.

    Attributes:
        reason: Short cause for logs.
        was_sent: Whether the server may have run the request.
        is_time_over: Whether the server may have stopped at the time limit of
            the request, so that no time is left for another one.
    """

    reason: str
    was_sent: bool
    is_time_over: bool = False


class StreamCompleted(NamedTuple):
    """Result of an attempt whose stream was forwarded to its end."""


AttemptResult = (
    Response | NotRun | AttemptFailed | StreamCompleted | moves.MovedRun
)
