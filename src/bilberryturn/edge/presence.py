"""Discover the nodes through rows in the platform's store."""

import threading

from bilberryturn.platform import rows

# Key prefix of the nodes' rows in the system's own tables.
NODE_PREFIX = "nodes/"


class Presence:
    """Registers this node in the store and caches the known nodes."""

    def __init__(
        self,
        store: rows.RowStore,
        name: str,
        failure_domain: str,
        address: str,
        seeds: tuple[str, ...],
    ):
        """Initialize the presence of this node.

        Args:
            store: Store of the rows.
            name: Name of this node.
            failure_domain: Failure domain of this node.
            address: HOST:PORT at which peers reach this node.
            seeds: Peers from the settings; they may no longer exist.
        """
        self._store = store
        self._key = f"{NODE_PREFIX}{failure_domain}.{name}"
        self.own_address = address
        self._seeds = seeds
        self._nodes: dict[str, str] = {}
        self._lock = threading.Lock()
        self._is_written = False

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peers from the settings."""
        self._seeds = seeds

    def refresh(self) -> None:
        """Write this node's row unless it is written; read all rows."""
        if not self._is_written:
            result = self._store.transact({}, {self._key: self.own_address})
            self._is_written = result.is_ok()
        result = self._store.scan(NODE_PREFIX)
        if result.is_error():
            return
        with self._lock:
            self._nodes = {
                row.key: row.value
                for row in result.ok
                if isinstance(row.value, str)
            }

    def domain_peers(self) -> list[str]:
        """Return the addresses of the nodes of this failure domain."""
        prefix = self._key.rpartition(".")[0] + "."
        with self._lock:
            return [
                peer_address
                for key, peer_address in self._nodes.items()
                if key.startswith(prefix)
            ]

    def peers(self) -> list[str]:
        """Return the addresses of other nodes, seeds included."""
        with self._lock:
            found = set(self._nodes.values())
        return sorted((found | set(self._seeds)) - {self.own_address})

    def count(self) -> int:
        """Return how many nodes are known, this one included."""
        with self._lock:
            return max(1, len(self._nodes))
