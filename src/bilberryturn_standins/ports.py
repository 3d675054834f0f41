"""Hand out ports that no other process on this machine will take.

Ports lie below the range from which the system takes ports for outgoing
connections, and each process locks a block of them.
"""

import fcntl
import os
import pathlib
import socket
import tempfile

FIRST_PORT = 10000
PORTS_PER_BLOCK = 200
BLOCK_COUNT = 110


class PortBlock:
    """Owns a block of ports until the process ends."""

    def __init__(self):
        self._next = 0
        self._lock_file = None
        self._first = 0
        for attempt in range(BLOCK_COUNT):
            block = (os.getpid() + attempt) % BLOCK_COUNT
            if self._lock(block):
                self._first = FIRST_PORT + block * PORTS_PER_BLOCK
                return
        raise RuntimeError("every block of ports is in use")

    def _lock(self, block: int) -> bool:
        folder = pathlib.Path(tempfile.gettempdir())
        file = (folder / f"bilberryturn-ports-{block}.lock").open("w")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            return False
        self._lock_file = file
        return True

    def allocate(self) -> int:
        """Return the next port of the block that can be bound."""
        for _ in range(PORTS_PER_BLOCK):
            port = self._first + self._next % PORTS_PER_BLOCK
            self._next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise RuntimeError("every port of the block is in use")


_block: PortBlock | None = None


def allocate() -> int:
    """Return a port of this process's block."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.allocate()


def block_number() -> int:
    """Return a number that no other process on this machine has."""
    return (allocate() - FIRST_PORT) // PORTS_PER_BLOCK
