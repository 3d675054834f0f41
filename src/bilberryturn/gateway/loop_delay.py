"""Notice when the event loop of the node itself is late."""

import asyncio
import math
import time

# A hundred wake-ups in two seconds take about a thousandth of a processor.
INTERVAL_S = 0.02
# Shorter delays are small beside the gaps between events, of 14 ms and more.
LATE_S = 0.01


class LoopDelay:
    """Wakes up regularly and records when it was late.

    Attributes:
        late_s: Monotonic time at which the loop was last found late.
    """

    def __init__(self):
        self.late_s = -math.inf

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            due_s = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            now_s = time.monotonic()
            if now_s - due_s > LATE_S:
                self.late_s = now_s
