"""Discover the nodes through rows in the platform's store."""

from collections.abc import Callable
import threading

from bilberryturn import leases
from bilberryturn import rendezvous
from bilberryturn.platform import rows
from bilberryturn.platform import store_era
from bilberryturn.platform import tables

# Key prefix of the nodes' rows in the system's own tables.
NODE_PREFIX = "nodes/"
# Time after a restore of the store in which all nodes write their rows again.
REWRITE_WAIT_S = 10.0


class Presence:
    """Registers this node in the store and caches the known nodes."""

    def __init__(
        self,
        store: rows.RowStore,
        name: str,
        failure_domain: str,
        address: str,
        seeds: tuple[str, ...],
        deliver: Callable[[dict[str, str]], None] | None = None,
    ):
        """Initialize the presence of this node.

        Args:
            store: Store of the rows.
            name: Name of this node.
            failure_domain: Failure domain of this node.
            address: HOST:PORT at which peers reach this node.
            seeds: Peers from the settings; they may no longer exist.
            deliver: Receives the addresses of the nodes as read, by key.
        """
        self._store = store
        self._key = f"{NODE_PREFIX}{failure_domain}.{name}"
        self.own_address = address
        self._seeds = seeds
        self._nodes: dict[str, str] = {}
        self._lock = threading.Lock()
        self._is_written = False
        self._written_era: int | None = None
        self._deliver = deliver
        # Set after the first attempt to read the nodes.
        self.first_read = threading.Event()
        # Whether the last attempt succeeded.
        self.has_reached_store = False

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peers from the settings."""
        self._seeds = seeds

    def register(self) -> None:
        """Write this node's row unless it is written or was read.

        A row that was written before a restore of the store may be gone.
        """
        if self._is_written and self._written_era == self._store.era:
            return
        result = self._store.transact({}, {self._key: self.own_address})
        self._is_written = result.is_ok()
        self._written_era = self._store.era

    def read(self) -> None:
        """Read the rows of all nodes; this one need not be registered yet."""
        result = self._store.scan(NODE_PREFIX)
        self.has_reached_store = result.is_ok()
        if result.is_ok():
            nodes = {
                row.key: row.value
                for row in result.ok
                if isinstance(row.value, str)
            }
            self._recognize_own_row(result.ok)
            nodes[self._key] = self.own_address
            with self._lock:
                if self._is_recently_restored():
                    nodes = {**nodes, **self._nodes}
                self._nodes = nodes
            if self._deliver is not None:
                self._deliver(nodes)
        self.first_read.set()

    def _recognize_own_row(self, found: list[tables.Row]) -> None:
        """Skip the write of a row that an earlier start of this node left."""
        for row in found:
            if row.key != self._key or row.value != self.own_address:
                continue
            self._is_written = True
            self._written_era = (
                row.version.era
                if isinstance(row.version, store_era.RowVersion)
                else None
            )

    def _is_recently_restored(self) -> bool:
        """Return whether the store may lack rows that are written again."""
        if not self._store.has_seen_restore:
            return False
        return leases.boottime_s() - self._store.era_began_s < REWRITE_WAIT_S

    def take_nodes(self, nodes: dict[str, str]) -> None:
        """Take the nodes that a peer knows, unless it knows fewer.

        Rows of nodes are never removed, so that fewer nodes are an older state
        or that of a peer that has just started.
        """
        with self._lock:
            if len(nodes) >= len(self._nodes):
                self._nodes = nodes

    def are_known(self) -> bool:
        """Return whether the nodes have been read."""
        with self._lock:
            return bool(self._nodes)

    def domain_peers(self) -> list[str]:
        """Return the addresses of the nodes of this failure domain."""
        own = _domain_of(self._key)
        with self._lock:
            return [
                peer_address
                for key, peer_address in self._nodes.items()
                if _domain_of(key) == own
            ]

    def addresses(self, domain: str) -> list[str]:
        """Return the addresses of the nodes of a failure domain.

        All known nodes if it has none.
        """
        with self._lock:
            nodes = {**self._nodes, self._key: self.own_address}
        found = [a for key, a in nodes.items() if _domain_of(key) == domain]
        return found or list(nodes.values())

    def peers(self) -> list[str]:
        """Return the addresses of other nodes, seeds included."""
        with self._lock:
            found = set(self._nodes.values())
        return sorted((found | set(self._seeds)) - {self.own_address})

    def domain_rank(self, purpose: str) -> int:
        """Return the rank of this failure domain for a purpose; 0 is first.

        All nodes that know each other compute the same ranks.
        """
        own = _domain_of(self._key)
        with self._lock:
            domains = {_domain_of(key) for key in self._nodes} | {own}
        return rendezvous.rank(domains, purpose).index(own)

    def count(self) -> int:
        """Return how many nodes are known, this one included."""
        with self._lock:
            return max(1, len(self._nodes))


def _domain_of(key: str) -> str:
    """Return the failure domain of a node's row."""
    return key.removeprefix(NODE_PREFIX).rpartition(".")[0]
