"""Account for the bytes that all requests of a node hold together.

A bound on each request doesn't keep a node within its memory, as there are many
of them. Whoever holds bytes for a request reports them here. Beyond the limit
of the node the request that holds most gives way, so that those that hold
little go on whatever a server or a caller sends.
"""

from collections.abc import Callable

from bilberryturn import events
from bilberryturn import metrics

# Share of the node's memory for the bytes of requests. The rest is for the
# program, what it knows of the deployment and copies of bytes on their way.
REQUEST_SHARE = 0.2
# Memory of a node whose settings state none.
DEFAULT_MEMORY_MB = 300
MB = 1024 * 1024
# Requests up to this size run however many large ones are running.
SMALL_REQUEST_BYTES = 64 * 1024


class MemoryAccount:
    """The bytes in hand for all requests; runs on the event loop.

    Attributes:
        held_bytes: Bytes that may give way.
        fixed_bytes: Bytes of requests that servers run, which may not.
    """

    def __init__(self, limit_bytes: int):
        """Initialize without bytes.

        Args:
            limit_bytes: Most bytes that requests may hold together.
        """
        self.held_bytes = 0
        self.fixed_bytes = 0
        self._limit_bytes = limit_bytes
        self._holdings: set[Holding] = set()

    def open(self, on_give_way: Callable[[], None]) -> "Holding":
        """Return an empty holding of a request.

        Args:
            on_give_way: Called once the holding has left the account, to end
                what the request is doing and free its memory.
        """
        return Holding(self, on_give_way)

    def fix(self, size_bytes: int) -> bool:
        """Keep the bytes of a request until it has run; returns whether it may.

        Args:
            size_bytes: Bytes that don't give way until they are passed to
                unfix.
        """
        is_large = size_bytes > SMALL_REQUEST_BYTES
        if is_large and self.fixed_bytes + size_bytes > self._limit_bytes / 2:
            return False
        self.fixed_bytes += size_bytes
        self._reclaim()
        return True

    def unfix(self, size_bytes: int) -> None:
        """Release the bytes of a request that has run."""
        self.fixed_bytes -= size_bytes

    def update(self, holding: "Holding", size_bytes: int) -> None:
        """Change the size of a holding, and let others give way for it."""
        self.held_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        if size_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        self._reclaim()

    def _reclaim(self) -> None:
        room_bytes = self._limit_bytes - self.fixed_bytes
        while self.held_bytes > max(room_bytes, self._limit_bytes / 2):
            largest = max(self._holdings, key=lambda h: h.size_bytes)
            events.log(
                events.MEMORY_RECLAIMED,
                size_bytes=largest.size_bytes,
                held_bytes=self.held_bytes,
                fixed_bytes=self.fixed_bytes,
                limit_bytes=self._limit_bytes,
            )
            metrics.add(metrics.RECLAIMED_BYTES, {}, largest.size_bytes)
            self.held_bytes -= largest.size_bytes
            self._holdings.discard(largest)
            largest.give_way()


class Holding:
    """The bytes that one request holds for one purpose.

    Attributes:
        size_bytes: Bytes in the account.
        has_given_way: Whether its bytes had to be freed.
        on_give_way: Called if so.
    """

    def __init__(self, account: MemoryAccount, on_give_way: Callable[[], None]):
        self.size_bytes = 0
        self.has_given_way = False
        self.on_give_way = on_give_way
        self._account = account

    def resize(self, size_bytes: int) -> bool:
        """Set the number of bytes; returns whether the request may go on."""
        if not self.has_given_way and size_bytes != self.size_bytes:
            self._account.update(self, size_bytes)
        return not self.has_given_way

    def close(self) -> None:
        """Leave the account; the holding isn't used any more."""
        self.resize(0)
        # Whoever is called refers to the holding; both would stay in memory
        # until the next collection of cycles.
        self.on_give_way = _do_nothing

    def give_way(self) -> None:
        """End what the request is doing; called by the account."""
        self.size_bytes = 0
        self.has_given_way = True
        self.on_give_way()


def _do_nothing() -> None:
    pass


def limit_bytes(memory_mb: float) -> int:
    """Return the bytes that requests may hold on a node.

    Args:
        memory_mb: Memory of the node; 0 if its settings state none.
    """
    return int((memory_mb or DEFAULT_MEMORY_MB) * MB * REQUEST_SHARE)
