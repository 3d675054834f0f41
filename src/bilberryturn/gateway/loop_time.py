"""Divide the time of the event loop among what is read.

Cutting an answer or an upload into pieces takes time for each piece, however
short it is. A connection with more pieces than one in order sends waits, so
that all such connections together take a bounded share of the loop.
"""

import asyncio
import time

# Pieces that are cut before others have their turn, of 2 us to 40 us each.
PIECES_PER_TURN = 16
# An engine writes less than a hundred events a second for one request, of three
# lines and a chunk each.
FREE_PIECES_PER_S = 1000
BURST_PIECES = 128
# Pieces a second of all the connections beyond that.
SHARED_PIECES_PER_S = 5000


class LoopTime:
    """What all connections together take; runs on the event loop."""

    def __init__(self):
        self._next_s = 0.0

    def reserve(self, pieces: float, now_s: float) -> float:
        """Return how long a connection waits for its surplus pieces."""
        self._next_s = max(self._next_s, now_s) + pieces / SHARED_PIECES_PER_S
        return self._next_s - now_s


class Turns:
    """The turns of one connection on the event loop."""

    def __init__(self, loop_time: LoopTime):
        self._loop_time = loop_time
        self._turn_pieces = 0
        # Pieces beyond what is free, as of a time.
        self._level = 0.0
        self._level_s = time.monotonic()

    def count(self, pieces: int) -> float | None:
        """Count pieces that were cut.

        Args:
            pieces: Lines of events, or parts of a body.

        Returns:
            Time to wait before the next piece; 0 to let others have their turn,
            None to go on at once.
        """
        self._turn_pieces += pieces
        if self._turn_pieces < PIECES_PER_TURN:
            return None
        return self._settle()

    async def take(self, pieces: int) -> None:
        """Count pieces that were cut, and wait as long as is due."""
        wait_s = self.count(pieces)
        if wait_s is not None:
            await asyncio.sleep(wait_s)

    async def begin(self) -> None:
        """Begin a turn after others had theirs, as bytes were waited for."""
        wait_s = self._settle()
        if wait_s:
            await asyncio.sleep(wait_s)

    def _settle(self) -> float:
        """End a turn; returns the time to wait for the surplus."""
        now_s = time.monotonic()
        elapsed_s = now_s - self._level_s
        self._level_s = now_s
        self._level = max(0.0, self._level - elapsed_s * FREE_PIECES_PER_S)
        self._level += self._turn_pieces
        self._turn_pieces = 0
        surplus = self._level - BURST_PIECES
        if surplus <= 0:
            return 0.0
        self._level = BURST_PIECES
        return self._loop_time.reserve(surplus, now_s)
