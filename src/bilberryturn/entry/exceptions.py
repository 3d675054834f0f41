"""Errors that are returned to callers.

Each class has a status, a code and a remedy. Whether the request ran is a
property of the request, not of the error class; see run_statement.
"""

from bilberryturn import exceptions

NOT_RUN = "not run"
MAY_HAVE_RUN = "may have run"


def run_statement(may_have_run: bool) -> str:
    """Return the statement of an error on whether the request ran.

    Args:
        may_have_run: Whether any byte of the request may have reached a
            backend server.
    """
    return MAY_HAVE_RUN if may_have_run else NOT_RUN


class RequestError(exceptions.BilberryturnError):
    """Base class of all errors that are returned to callers.

    Attributes:
        retry_after_s: Delay until a retry may succeed, or None if no retry
            will.
    """

    status = 500
    code = "internal_error"
    kind = "server_error"
    problem = "The router failed"
    remedy = "Try again; tell the operators the request identifier"

    def __init__(
        self,
        detail: str = "",
        remedy: str = "",
        retry_after_s: float | None = None,
    ):
        problem = f"{self.problem}: {detail}" if detail else self.problem
        super().__init__(problem, remedy or self.remedy)
        self.retry_after_s = retry_after_s


class InvalidBodyError(RequestError):
    """The body is not valid for the route."""

    status = 400
    code = "invalid_body"
    kind = "invalid_request_error"
    problem = "The body cannot be used"
    remedy = "Send a JSON object as described in docs/REFERENCE.md"


class BodyTooLargeError(RequestError):
    """The body exceeds the size limit."""

    status = 413
    code = "body_too_large"
    kind = "invalid_request_error"
    problem = "The body is too large"
    remedy = "Send a shorter body"


class MissingKeyError(RequestError):
    """The request has no key."""

    status = 401
    code = "missing_key"
    kind = "authentication_error"
    problem = "The request carries no key"
    remedy = "Send your key as `Authorization: Bearer KEY`"


class UnknownKeyError(RequestError):
    """The key is unknown or has been withdrawn."""

    status = 401
    code = "key_not_valid"
    kind = "authentication_error"
    problem = "The key is not granted or has been withdrawn"
    remedy = "Ask your operator for a new key"


class KeyInRequestError(RequestError):
    """The key appears outside the Authorization header."""

    status = 400
    code = "key_in_request"
    kind = "invalid_request_error"
    problem = "The key stands in the path, the query or the body"
    remedy = "Send the key in the Authorization header only"


class ProfileNotAllowedError(RequestError):
    """The client account may not use the profile."""

    status = 403
    code = "profile_not_allowed"
    kind = "permission_error"
    problem = "The client account may not use this profile"
    remedy = "Pick an allowed profile or ask your operator"


class UnknownProfileError(RequestError):
    """The profile is not declared."""

    status = 404
    code = "unknown_profile"
    kind = "invalid_request_error"
    problem = "The profile is not declared"
    remedy = "List the profiles with GET /v1/models"


class UnknownModelError(RequestError):
    """The profile does not include the model."""

    status = 404
    code = "unknown_model"
    kind = "invalid_request_error"
    problem = "The model is not available under this profile"
    remedy = "List the models with GET /v1/models"


class UnknownServiceError(RequestError):
    """The plain service is not declared."""

    status = 404
    code = "unknown_service"
    kind = "invalid_request_error"
    problem = "The service is not declared"
    remedy = "Correct the path /services/NAME/..."


class UnknownRouteError(RequestError):
    """The router does not serve the path."""

    status = 404
    code = "unknown_route"
    kind = "invalid_request_error"
    problem = "There is no such route"
    remedy = "See docs/REFERENCE.md for the routes"


class MethodNotAllowedError(RequestError):
    """The route does not support the method."""

    status = 405
    code = "method_not_allowed"
    kind = "invalid_request_error"
    problem = "The route does not take this method"
    remedy = "See docs/REFERENCE.md for the routes"


class QuarantinedError(RequestError):
    """The request has crashed backend servers."""

    status = 422
    code = "quarantined"
    kind = "invalid_request_error"
    problem = "This request has crashed backend servers"
    remedy = "Change the request; the same one is refused for some minutes"


class OverloadedError(RequestError):
    """There is not enough capacity for the class of the request."""

    status = 503
    code = "overloaded"
    kind = "overloaded_error"
    problem = "There is no capacity for this class of request in time"
    remedy = "Try again after the time in Retry-After"


class NoServerError(RequestError):
    """No backend server can serve the request."""

    status = 503
    code = "no_server"
    kind = "overloaded_error"
    problem = "No backend server for this request can be reached"
    remedy = "Try again after the time in Retry-After"


class StoppingError(RequestError):
    """The node is stopping."""

    status = 503
    code = "stopping"
    kind = "overloaded_error"
    problem = "This node is stopping"
    remedy = "Connect again; the balancer picks another node"


class NodeStoppedError(RequestError):
    """The node could not wait any longer for the request to end."""

    status = 502
    code = "node_stopped"
    problem = "This node stopped before the request had ended"
    remedy = "Try again if running the request twice does no harm"


class IsolatedError(RequestError):
    """The node cannot receive withdrawals of keys."""

    status = 503
    code = "isolated"
    kind = "overloaded_error"
    problem = "The node has been cut off for too long to trust keys"
    remedy = "Try again after the time in Retry-After or at another site"


class UpstreamFailedError(RequestError):
    """Backend servers failed."""

    status = 502
    code = "backend_failed"
    kind = "server_error"
    problem = "The backend server failed while it ran the request"
    remedy = "Try again if running the request twice does no harm"


class UpstreamRefusedError(RequestError):
    """The backend server rejected the request as invalid."""

    status = 400
    code = "backend_refused"
    kind = "invalid_request_error"
    problem = "The backend server refused the request"
    remedy = "Correct the request"


class DeadlineExceededError(RequestError):
    """The deadline of the request's class has passed."""

    status = 504
    code = "deadline_exceeded"
    kind = "server_error"
    problem = "The deadline of this class has passed"
    remedy = "Ask for a shorter answer or use another profile"


class StoreUnavailableError(RequestError):
    """A non-repeatable call cannot be recorded."""

    status = 503
    code = "store_unavailable"
    kind = "overloaded_error"
    problem = "The call may run only once and cannot be recorded now"
    remedy = "Try again with the same Idempotency-Key"


class MissingIdempotencyKeyError(RequestError):
    """A non-repeatable call has no idempotency key."""

    status = 400
    code = "missing_idempotency_key"
    kind = "invalid_request_error"
    problem = "The call may run only once and carries no Idempotency-Key"
    remedy = "Send an Idempotency-Key header that is unique for this call"


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was used with a different call."""

    status = 422
    code = "idempotency_key_reused"
    kind = "invalid_request_error"
    problem = "The Idempotency-Key belongs to a different call"
    remedy = "Use a new Idempotency-Key for a new call"


class OutcomeUnknownError(RequestError):
    """The same call was started before and its outcome is unknown."""

    status = 409
    code = "outcome_unknown"
    kind = "server_error"
    problem = "The call was started before and its outcome is not known"
    remedy = "Ask the service whether it took effect; it is not run again"


class CallerGoneError(RequestError):
    """The caller has closed the connection."""

    status = 499
    code = "caller_gone"
    problem = "The caller closed the connection"
    remedy = "Nothing needs to be done"
