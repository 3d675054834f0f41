"""Keep the origins of streams in the platform's store."""

import asyncio
from collections.abc import Callable
import concurrent.futures
import threading

import msgspec

from bilberryturn import events
from bilberryturn.edge import intervals
from bilberryturn.gateway import stream_origins
from bilberryturn.platform import rows

# Shortest interval between writes: shorter than most prompts take to prefill,
# so that the record is there before the first event.
MIN_WRITE_INTERVAL_S = 0.2
# Longest pause after a write that failed.
MAX_BACKOFF_S = 2.0
# Share of the store's writes that all nodes together may use for it.
WRITE_SHARE = 0.25
# Rows in one transaction.
MAX_ROWS = 100
# Rows are left behind by nodes that were killed. They are removed once no
# stream needs them, by the node that holds the lease.
CLEAN_INTERVAL_S = 10.0
READERS = 4
# Time for a read, the wait for a reader included. A caller waits for it.
READ_TIMEOUT_S = 0.6


class _Row(msgspec.Struct):
    """Origin of one stream, as stored."""

    service: str
    version: str


class StreamRecorder:
    """Writes what changes of the streams' origins on a thread of its own."""

    def __init__(
        self,
        origins: stream_origins.StreamOrigins,
        store: rows.RowStore,
        writes_per_s: float,
        node_count: Callable[[], int],
        may_clean: Callable[[], bool],
    ):
        """Initialize the recorder.

        Args:
            origins: The streams of this node.
            store: The platform's store; its calls end soon.
            writes_per_s: Writes that the store takes from all nodes together.
            node_count: Returns the number of nodes.
            may_clean: Returns whether this node removes the rows of all nodes,
                as no stream needs them.
        """
        self._origins = origins
        self._store = store
        self._writes_per_s = writes_per_s
        self._node_count = node_count
        self._may_clean = may_clean
        self._era = store.era
        self._waited_s = 0.0
        self._failures = 0
        self._pause = intervals.Pause()
        self._has_rows = True
        self._readers = concurrent.futures.ThreadPoolExecutor(
            READERS, thread_name_prefix="streams"
        )
        origins.read_stored = self.read
        origins.hasten = self._pause.hasten

    def run(self, stopping: threading.Event) -> None:
        """Write until the node stops."""
        while not stopping.is_set():
            try:
                self.write()
            except Exception as error:
                # The next write starts from what the store has confirmed.
                events.log(
                    events.JOB_FAILED,
                    job="stream records",
                    error=f"{type(error).__name__}: {error}",
                )
            if self._failures:
                stopping.wait(self.interval_s())
            else:
                self._pause.wait(self.interval_s(), stopping)
        self._readers.shutdown(wait=False)

    def interval_s(self) -> float:
        """Return the pause until the next write of this node."""
        share_per_s = self._writes_per_s * WRITE_SHARE
        backoff_s = min(MAX_BACKOFF_S, MIN_WRITE_INTERVAL_S * 2**self._failures)
        return max(backoff_s, self._node_count() / share_per_s)

    def write(self) -> None:
        """Write what has changed, and remove what other nodes left behind."""
        era = self._store.era
        if self._era not in (None, era):
            # A restored store may lack what it held.
            self._origins.mark_unwritten()
        self._era = era
        changes = self._origins.changes(MAX_ROWS)
        if changes.writes or changes.removes:
            self._has_rows = True
            result = self._store.transact(
                {},
                {
                    _key(name): _Row(*origin)
                    for name, origin in changes.writes.items()
                },
                tuple(_key(name) for name in changes.removes),
            )
            if result.is_error():
                self._failures = min(self._failures + 1, 8)
                return
            self._failures = 0
            self._origins.confirm(changes)
            return
        self._waited_s += self.interval_s()
        if self._waited_s < CLEAN_INTERVAL_S or not self._has_rows:
            return
        self._waited_s = 0.0
        if self._may_clean():
            self._clean()

    def _clean(self) -> None:
        result = self._store.scan(f"{rows.STREAM_TABLE}/")
        if result.is_error():
            return
        keys = [row.key for row in result.ok]
        self._has_rows = len(keys) > MAX_ROWS
        if keys:
            self._store.transact({}, {}, tuple(keys[:MAX_ROWS]))

    async def read(self, name: str) -> stream_origins.Origin | None:
        """Return the origin of a stream as the store holds it."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                result = await loop.run_in_executor(
                    self._readers, self._store.read, _key(name)
                )
        except (TimeoutError, RuntimeError):
            # Many reads wait for a store that is away, or the node is stopping
            # and starts none.
            return None
        if result.is_error() or result.ok.value is None:
            return None
        try:
            row = msgspec.convert(result.ok.value, _Row)
        except msgspec.ValidationError as error:
            events.log(events.FRAME_REFUSED, member="store", problem=str(error))
            return None
        return stream_origins.Origin(row.service, row.version)


def _key(name: str) -> str:
    return f"{rows.STREAM_TABLE}/{name}"
