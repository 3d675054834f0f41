"""Allocate ports without conflicts between processes on one machine.

Ports lie below the ephemeral port range of the operating system, and each
process holds a file lock on its own block of ports.
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
    """A block of ports, locked until the process exits."""

    def __init__(self):
        self._next = 0
        self._lock_file = None
        self._first = 0
        for attempt in range(BLOCK_COUNT):
            block = (os.getpid() + attempt) % BLOCK_COUNT
            if self._lock(block):
                self._first = FIRST_PORT + block * PORTS_PER_BLOCK
                return
        raise RuntimeError("all blocks of ports are in use")

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
        """Return the next port of the block that can be bound.

        Raises:
            RuntimeError: No port of the block can be bound.
        """
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
        raise RuntimeError("no port of the block can be bound")


_block: PortBlock | None = None


def allocate() -> int:
    """Return a port from the block of this process."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.allocate()


def block_number() -> int:
    """Return the number of the block, unique per process on this machine."""
    return (allocate() - FIRST_PORT) // PORTS_PER_BLOCK
