"""Define how one attempt to run a request can end early."""

import msgspec

from bilberryturn import backends
from bilberryturn import messages

kinds = messages.kinds

MAX_MESSAGE_CHARACTERS = 500


class AttemptFailedError(Exception):
    """Reports that one attempt did not give a whole answer.

    Attributes:
        crashed: Whether the server seems to have crashed.
        may_have_run: Whether the server may have received the request.
    """

    def __init__(self, reason: str, crashed: bool, may_have_run: bool):
        super().__init__(reason)
        self.reason = reason
        self.crashed = crashed
        self.may_have_run = may_have_run


class StreamInterruptedError(Exception):
    """Reports that the connection of a stream ended too early."""

    def __init__(self, end: backends.CallEnd, head_received: bool):
        super().__init__(end.error)
        self.end = end
        self.head_received = head_received


class RevokedError(Exception):
    """Reports that the broker has taken the grant back."""

    def __init__(self, message: kinds.Preempted | kinds.Moved):
        super().__init__(type(message).__name__)
        self.message = message


class StatusError(Exception):
    """Reports an answer whose status is not 200."""

    def __init__(self, status: int, body: bytes):
        super().__init__(str(status))
        self.status = status
        self.body = body

    @property
    def engine_message(self) -> str:
        """Return the message of the engine's refusal."""
        try:
            message = msgspec.json.decode(self.body)["error"]["message"]
        except (msgspec.DecodeError, KeyError, TypeError):
            return ""
        return str(message)[:MAX_MESSAGE_CHARACTERS]
