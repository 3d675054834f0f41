"""Record non-repeatable calls so that each runs at most once.

The row of a call is inserted before its first byte is sent. A later call that
finds the row returns the recorded outcome, or an error if it is unknown.
"""

import base64
import hashlib
from typing import Any
from typing import NamedTuple
import uuid

from bilberryturn import platform
from bilberryturn.entry import exceptions
from bilberryturn.platform import tables

STARTED = "started"
DONE = "done"
NOT_RUN = "not_run"
MAX_RECORDED_BODY_BYTES = 64 * 1024
STORE_ATTEMPTS = 3


class RecordedResponse(NamedTuple):
    """Recorded response of an earlier run."""

    status: int
    content_type: str
    body: bytes


class CallRecord:
    """Idempotency record of one non-repeatable call."""

    def __init__(
        self,
        table: platform.TableService,
        client_account: str,
        service: str,
        idempotency_key: str,
        content: bytes,
    ):
        digest = hashlib.blake2b(idempotency_key.encode(), digest_size=16)
        self._table = table
        self._key = f"once/{client_account}/{service}/{digest.hexdigest()}"
        self._content = hashlib.blake2b(content, digest_size=16).hexdigest()
        self._token = uuid.uuid4().hex
        self._row_version = 0

    def find(self) -> RecordedResponse | None:
        """Return the response of an earlier run, or None if there was none.

        Raises:
            StoreUnavailableError: The row cannot be read.
            OutcomeUnknownError: An earlier run has no recorded outcome.
            IdempotencyKeyReusedError: The key was used with another call.
        """
        result = self._table.read(self._key)
        if result.is_error():
            raise exceptions.StoreUnavailableError(retry_after_s=2.0)
        return self._interpret(result.ok)

    def _interpret(self, row: tables.Row) -> RecordedResponse | None:
        self._row_version = row.version
        value = row.value
        if value is None:
            return None
        if value["content"] != self._content:
            raise exceptions.IdempotencyKeyReusedError()
        if value["state"] == NOT_RUN:
            return None
        if value["state"] == DONE and value["body"] is not None:
            return RecordedResponse(
                value["status"],
                value["content_type"],
                base64.b64decode(value["body"]),
            )
        raise exceptions.OutcomeUnknownError()

    def start(self) -> RecordedResponse | None:
        """Insert the row; returns None if this process may send the call.

        Raises:
            RequestError: The call must not be sent.
        """
        value = {
            "state": STARTED,
            "token": self._token,
            "content": self._content,
        }
        result = self._table.transact(
            {self._key: self._row_version}, {self._key: value}
        )
        if result.is_ok() and isinstance(result.ok, tables.Committed):
            self._row_version += 1
            return None
        row_result = self._table.read(self._key)
        if row_result.is_error():
            raise exceptions.StoreUnavailableError(retry_after_s=2.0)
        row = row_result.ok
        if row.value is not None and row.value.get("token") == self._token:
            self._row_version = row.version
            return None
        recorded = self._interpret(row)
        if recorded is None:
            # A concurrent writer has meanwhile recorded its call as not run.
            raise exceptions.StoreUnavailableError(retry_after_s=1.0)
        return recorded

    def finish(self, status: int, content_type: str, body: bytes) -> bool:
        """Record the outcome; returns whether that succeeded."""
        encoded = None
        if len(body) <= MAX_RECORDED_BODY_BYTES:
            encoded = base64.b64encode(body).decode()
        return self._write(
            {
                "state": DONE,
                "status": status,
                "content_type": content_type,
                "body": encoded,
            }
        )

    def mark_not_run(self) -> bool:
        """Record that the call was not sent."""
        return self._write({"state": NOT_RUN})

    def _write(self, fields: dict[str, Any]) -> bool:
        """Replace the row; retried because the reply to a write may be lost."""
        value = {**fields, "token": self._token, "content": self._content}
        for _ in range(STORE_ATTEMPTS):
            row = self._table.read(self._key)
            if row.is_error():
                continue
            stored = row.ok.value
            if stored is None or stored.get("token") != self._token:
                return False
            if stored["state"] == fields["state"]:
                return True
            result = self._table.transact(
                {self._key: row.ok.version}, {self._key: value}
            )
            if result.is_ok() and isinstance(result.ok, tables.Committed):
                return True
        return False
