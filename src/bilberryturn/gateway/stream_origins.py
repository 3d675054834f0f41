"""Remember at which software version each stream began.

A caller whose stream broke off takes it up again at any node and names the
request that brought its first event. While several versions serve, the nodes
keep the version of each running stream in the store, from its dispatch on, so
that it is known there when the caller has its first event, also after all nodes
have lost power.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import concurrent.futures
import threading
from typing import NamedTuple

# Streams that are remembered after they broke off, besides those that run.
MAX_BROKEN = 5000
# Longest name that a row's key may have.
MAX_NAME_BYTES = 100
# Time for a write that removes a row; requests wait for it.
REMOVAL_TIMEOUT_S = 0.5


class Origin(NamedTuple):
    """Where a stream began.

    Attributes:
        service: Name of the service.
        version: Version of its servers' software.
    """

    service: str
    version: str


class Changes(NamedTuple):
    """What the store does not hold yet.

    Attributes:
        writes: Origins by the name of their stream.
        removes: Names of streams that have ended.
    """

    writes: dict[str, Origin]
    removes: tuple[str, ...]


async def _find_none(name: str) -> Origin | None:
    return None


class StreamOrigins:
    """The streams of this node; safe on any thread.

    Attributes:
        read_stored: Returns the origin of a stream as the store holds it; None
            if it holds none or cannot be reached.
        hasten: Called as a request waits for a write.
    """

    def __init__(self, is_recorded: Callable[[str], bool]):
        """Initialize without streams.

        Args:
            is_recorded: Returns whether the store is to hold the streams of a
                service, as several versions serve.
        """
        self.read_stored: Callable[[str], Awaitable[Origin | None]] = _find_none
        self.hasten: Callable[[], None] = lambda: None
        self._is_recorded = is_recorded
        self._lock = threading.Lock()
        self._running: dict[str, Origin] = {}
        # Those between two attempts, without an event yet.
        self._pausing: set[str] = set()
        # Streams that broke off, with the time until which they are kept.
        self._broken: collections.OrderedDict[str, tuple[Origin, float]] = (
            collections.OrderedDict()
        )
        self._stored: dict[str, Origin] = {}
        self._removed: set[str] = set()
        # What writes without a confirmation may have stored.
        self._unconfirmed: dict[str, Origin] = {}
        # Requests that wait until the row of their stream is removed.
        self._removals: dict[str, concurrent.futures.Future] = {}

    def begin(self, name: str, origin: Origin) -> None:
        """Record a stream that is sent to a server."""
        if not is_name(name):
            return
        with self._lock:
            self._broken.pop(name, None)
            self._pausing.discard(name)
            self._running[name] = origin

    def end(self, name: str) -> None:
        """Forget a stream that is not taken up again."""
        with self._lock:
            self._forget(name)

    def break_off(self, name: str, until_s: float) -> None:
        """Keep a stream that its caller may take up until a time."""
        with self._lock:
            self._pausing.discard(name)
            origin = self._running.pop(name, None)
            if origin is not None:
                self._keep(name, origin, until_s)

    def known(self, name: str) -> Origin | None:
        """Return the origin of a stream that this node knows."""
        with self._lock:
            known = self._running.get(name)
            return known or self._broken.get(name, (None, 0.0))[0]

    def pause(self, name: str) -> Origin | None:
        """Write nothing on a stream without an event until its next attempt.

        Returns:
            What other nodes may read as its origin.
        """
        with self._lock:
            if name in self._running:
                self._pausing.add(name)
            return self._unconfirmed.get(name) or self._stored.get(name)

    async def withdraw(self, name: str, timeout_s: float) -> bool:
        """Remove the row of a stream that has no event yet.

        Args:
            name: Name of the stream.
            timeout_s: Longest time to wait, up to REMOVAL_TIMEOUT_S, in
                seconds.

        Returns:
            Whether the store has confirmed it.
        """
        removal: concurrent.futures.Future = concurrent.futures.Future()
        with self._lock:
            self._pausing.discard(name)
            self._running.pop(name, None)
            self._removed.add(name)
            self._removals[name] = removal
        self.hasten()
        try:
            async with asyncio.timeout(min(timeout_s, REMOVAL_TIMEOUT_S)):
                await asyncio.wrap_future(removal)
        except TimeoutError:
            return False
        finally:
            with self._lock:
                self._removals.pop(name, None)
        return True

    async def find(self, name: str, until_s: float) -> Origin | None:
        """Return the origin of a stream; None if it is not known.

        Args:
            name: Name of the stream.
            until_s: Monotonic time until which it may be taken up.
        """
        known = self.known(name)
        if known is not None or not is_name(name):
            return known
        origin = await self.read_stored(name)
        if origin is not None:
            with self._lock:
                # Removed there once the stream has ended here.
                self._stored[name] = origin
                self._removed.discard(name)
                self._keep(name, origin, until_s)
        return origin

    def expire(self, now_s: float) -> None:
        """Forget the streams that cannot be taken up any more."""
        with self._lock:
            for name, (_, until_s) in list(self._broken.items()):
                if now_s >= until_s:
                    self._forget(name)

    def _keep(self, name: str, origin: Origin, until_s: float) -> None:
        self._broken[name] = (origin, until_s)
        while len(self._broken) > MAX_BROKEN:
            self._forget(next(iter(self._broken)))

    def _forget(self, name: str) -> None:
        self._pausing.discard(name)
        self._running.pop(name, None)
        self._broken.pop(name, None)
        self._unconfirmed.pop(name, None)
        if self._stored.pop(name, None) is not None:
            self._removed.add(name)

    def changes(self, max_rows: int) -> Changes:
        """Return what to write to the store and to remove there next."""
        with self._lock:
            removes = tuple(sorted(self._removed)[:max_rows])
            writes: dict[str, Origin] = {}
            kept = {n: origin for n, (origin, _) in self._broken.items()}
            for name, origin in (kept | self._running).items():
                if len(writes) + len(removes) >= max_rows:
                    break
                is_new = self._stored.get(name) != origin
                if name in removes or name in self._pausing:
                    continue
                if is_new and self._is_recorded(origin.service):
                    writes[name] = origin
            self._unconfirmed.update(writes)
            return Changes(writes, removes)

    def confirm(self, changes: Changes) -> None:
        """Record that the store holds changes that were taken."""
        with self._lock:
            self._removed.difference_update(changes.removes)
            for name in changes.removes:
                self._stored.pop(name, None)
                self._unconfirmed.pop(name, None)
                removal = self._removals.pop(name, None)
                # It is cancelled if its request waits no longer.
                if removal and removal.set_running_or_notify_cancel():
                    removal.set_result(None)
            for name, origin in changes.writes.items():
                self._unconfirmed.pop(name, None)
                if name in self._running or name in self._broken:
                    self._stored[name] = origin
                else:
                    # It has ended in the meantime.
                    self._removed.add(name)

    def mark_unwritten(self) -> None:
        """Record that the store may hold none of the streams any more."""
        with self._lock:
            self._stored.clear()
            self._removed.clear()
            self._unconfirmed.clear()


def is_name(text: str) -> bool:
    """Return whether a text can name a stream in the store."""
    return 0 < len(text.encode()) <= MAX_NAME_BYTES
