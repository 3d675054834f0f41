"""Exceptions that end one attempt to run a request."""

import msgspec

from bilberryturn import backends
from bilberryturn import messages

kinds = messages.kinds

MAX_MESSAGE_CHARACTERS = 500


class AttemptFailedError(Exception):
    """The attempt did not give a complete response.

    Attributes:
        crashed: Whether the server appears to have crashed.
        may_have_run: Whether the server may have received the request.
    """

    def __init__(self, reason: str, crashed: bool, may_have_run: bool):
        super().__init__(reason)
        self.reason = reason
        self.crashed = crashed
        self.may_have_run = may_have_run


class StreamInterruptedError(Exception):
    """The connection of a stream ended before the response did.

    Attributes:
        end: Event that ended the connection.
        head_received: Whether the response head had been received.
    """

    def __init__(self, end: backends.CallEnd, head_received: bool):
        super().__init__(end.error)
        self.end = end
        self.head_received = head_received


class RevokedError(Exception):
    """The broker has revoked the grant."""

    def __init__(self, message: kinds.Preempted | kinds.Moved):
        super().__init__(type(message).__name__)
        self.message = message


class StatusError(Exception):
    """The status of the response is not 200."""

    def __init__(self, status: int, body: bytes):
        super().__init__(str(status))
        self.status = status
        self.body = body

    @property
    def engine_message(self) -> str:
        """Return the engine's error message, or an empty string."""
        try:
            message = msgspec.json.decode(self.body)["error"]["message"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return ""
        return str(message)[:MAX_MESSAGE_CHARACTERS]
