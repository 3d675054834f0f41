"""Callers' connections that keep account of their unanswered requests."""

import collections
import socket
import struct
import time
from typing import NamedTuple

from support import gateway_rig

CONNECT_TIMEOUT_S = 1.0
# Time beyond the limit of a request until its caller gives up waiting.
ANSWER_SLACK_S = 2.0
TCP_INFO_BYTES = 104
# Offset of tcpi_last_ack_recv in struct tcp_info, in milliseconds.
LAST_ACK_RECEIVED_OFFSET = 56


class PlannedRequest(NamedTuple):
    """A request that a caller is about to send.

    Attributes:
        request: Identifier of the request.
        duration_s: Time that a backend server works on it.
        limit_s: Time that its caller waits.
    """

    kind: str
    request: str
    duration_s: float
    limit_s: float


class SentRequest(NamedTuple):
    """A request that was sent completely.

    Attributes:
        first_s: Monotonic time just before its first byte was sent.
        last_s: Monotonic time just before its last byte was sent.
        sent_s: Monotonic time just after its last byte was sent.
    """

    planned: PlannedRequest
    first_s: float
    last_s: float
    sent_s: float


class LostRequest(NamedTuple):
    """A request whose connection ended without a complete answer to it.

    Attributes:
        node_name: The node that the connection led to.
        closed_s: Monotonic time at which the connection ended.
        announced_s: Monotonic time at which a `Connection: close` arrived, or
            None.
        is_unread: Whether the node ended the connection with bytes of this
            request unread.
        is_behind_lost: Whether a request ahead of it on the connection was
            lost too.
        is_held: Whether the connection was still open when the caller gave up.
    """

    sent: SentRequest
    node_name: str
    closed_s: float
    announced_s: float | None
    is_unread: bool
    is_behind_lost: bool
    is_held: bool


class Connection:
    """A connection to a node; requests may be sent ahead of answers.

    Attributes:
        pending: Requests without a complete answer, in order.
        is_open: Whether further requests may be sent.
    """

    def __init__(self, node):
        self.pending: collections.deque[SentRequest] = collections.deque()
        self.is_open = True
        self._node = node
        self._socket = socket.create_connection(
            (node.ip, node.port), CONNECT_TIMEOUT_S
        )
        self._rest = b""
        self._last_request = ""
        self._announced_s = None
        self._was_reset = False
        self._is_held = False

    def send(self, planned, pieces, pause_s=0.0):
        """Send the pieces of a request with a pause between them."""
        first_s = time.monotonic()
        try:
            for number, piece in enumerate(pieces):
                if number:
                    time.sleep(pause_s)
                last_s = time.monotonic()
                self._socket.sendall(piece)
                self._last_request = planned.request
        except OSError as error:
            self._was_reset |= isinstance(error, ConnectionResetError)
            self.is_open = False
            return
        sent_s = time.monotonic()
        self.pending.append(SentRequest(planned, first_s, last_s, sent_s))

    def read_for(self, duration_s):
        """Read what arrives within a time.

        Returns:
            Whether the connection stays open.
        """
        end_s = time.monotonic() + duration_s
        while self.is_open and (left_s := end_s - time.monotonic()) > 0:
            self._socket.settimeout(left_s)
            try:
                data = self.recv(65536)
            except TimeoutError:
                break
            except OSError:
                data = b""
            self._rest += data
            self.is_open = bool(data) and self._announced_s is None
        return self.is_open

    def read_answer(self):
        """Read the answer to the oldest pending request.

        Returns:
            The request and its answer, which may be incomplete.
        """
        sent = self.pending[0]
        self._socket.settimeout(sent.planned.limit_s + ANSWER_SLACK_S)
        try:
            answer = gateway_rig.read_answer(self, self._rest)
        except OSError as error:
            self._is_held = isinstance(error, TimeoutError)
            answer = gateway_rig.Answer("", b"", False)
        self._rest = answer.rest
        self.is_open &= (
            answer.is_complete and answer.header("connection") != "close"
        )
        if answer.is_complete:
            self.pending.popleft()
        return sent.planned, answer

    def recv(self, size):
        """Receive bytes; notes how the node ends the connection."""
        try:
            data = self._socket.recv(size)
        except ConnectionResetError:
            self._was_reset = True
            raise
        if self._announced_s is None and b"connection: close" in data.lower():
            self._announced_s = time.monotonic()
        return data

    def close(self, is_answer_lost):
        """Close the connection.

        Args:
            is_answer_lost: Whether the answer to the oldest pending request
                did not arrive completely.

        Returns:
            The pending requests as lost ones.
        """
        closed_s = self._last_packet_s()
        self._socket.close()
        return [
            LostRequest(
                sent,
                self._node.name,
                closed_s,
                self._announced_s,
                self._was_reset and sent.planned.request == self._last_request,
                is_answer_lost and number > 0,
                self._is_held,
            )
            for number, sent in enumerate(self.pending)
        ]

    def _last_packet_s(self):
        """Return when the last packet of the node arrived.

        The kernel's time does not depend on how busy the callers' process is.
        """
        now_s = time.monotonic()
        if self._is_held:
            return now_s
        info = self._socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (age_ms,) = struct.unpack_from("I", info, LAST_ACK_RECEIVED_OFFSET)
        return now_s - age_ms / 1000
