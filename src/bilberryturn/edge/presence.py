"""Let nodes find each other through the platform's store."""

import threading

from bilberryturn.platform import rows

# Rows of the system's own tables.
NODE_PREFIX = "nodes/"


class Presence:
    """Writes this node's row and remembers those of others."""

    def __init__(
        self,
        store: rows.RowStore,
        name: str,
        failure_domain: str,
        address: str,
        seeds: tuple[str, ...],
    ):
        """Set who this node is.

        Args:
            store: Where the rows are kept.
            name: Name of this node.
            failure_domain: Where it runs.
            address: Where peers ask it.
            seeds: Peers known from the settings; they may be gone.
        """
        self._store = store
        self._key = f"{NODE_PREFIX}{failure_domain}.{name}"
        self.own_address = address
        self._seeds = seeds
        self._nodes: dict[str, str] = {}
        self._lock = threading.Lock()
        self._is_written = False

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peers known from the settings."""
        self._seeds = seeds

    def refresh(self) -> None:
        """Write the own row once and read the others."""
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
