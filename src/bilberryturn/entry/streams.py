"""Iterate over the body of a streamed response and log its outcome."""

from collections.abc import Iterator

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.entry import responses


class Stream:
    """Body of a streamed response; its end is always logged."""

    def __init__(self, node, http_exchange, run, first: bytes, chunks):
        self._node = node
        self._http_exchange = http_exchange
        self._run = run
        self._first: bytes | None = first
        self._chunks: Iterator[bytes] = chunks
        self._outcome = ""

    def __iter__(self):
        return self

    def __next__(self) -> bytes:
        if self._first is not None:
            first, self._first = self._first, None
            return first
        if self._outcome:
            raise StopIteration
        try:
            return next(self._chunks)
        except StopIteration:
            self._outcome = "done"
            raise
        except exceptions.RequestError as error:
            self._outcome = error.code
            metrics.add(metrics.REFUSALS, {"kind": error.code})
            return responses.error_event(error, self._http_exchange)

    def close(self) -> None:
        """End the run after the last chunk or when the caller disconnects."""
        self._chunks.close()
        self._node.running.remove(self._http_exchange)
        if not self._outcome:
            events.log(
                events.CALLER_GONE, request_id=self._http_exchange.request_id
            )
        exchange.log_end(
            self._http_exchange,
            self._outcome or exceptions.CallerGoneError.code,
            output_tokens=self._run.output_tokens,
        )
