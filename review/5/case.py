"""The first part of long prompts crashes each runner that answers on it."""

import asyncio
import pathlib
import time

from standins import clients
from standins import deployment
from standins import runners

STABLE_S = 4.0
RUNNERS = 8
# A crashed runner is back after this time.
DOWN_S = 3.0
CLIENT_TIMEOUT_S = 12.0
REPEAT_INTERVAL_S = 1.0
REQUESTS = 40
EVENTS = 5
EVENT_INTERVAL_S = 0.05
DEADLY_PART = "5c1e07a2"
# Shared parts of a prompt: the deadly one and those of the conversation so far.
SHARED_PARTS = 20
# Crashes after which the rule counts, and the requests that it allows then.
COUNTED_FROM_CRASH = 5
MAX_LATE_REQUESTS = 3


class Engine(runners.Runner):
    """A runner that a part of a prompt crashes.

    Attributes:
        arrivals_s: Time of each arrival of a request with that part.
        crashes_s: Time of each crash.
    """

    arrivals_s: list[float] = []
    crashes_s: list[float] = []

    async def handle(self, request, attempt_id, reader, writer) -> bool:
        """Stream an answer, or crash as it begins."""
        self.attempt_ids.append(attempt_id)
        prefix = request.headers.get("x-bilberryturn-prefix-hash", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")]
        has_part = DEADLY_PART in parts[:-1]
        if has_part:
            self.arrivals_s.append(time.monotonic())
        await asyncio.sleep(0.05)
        writer.write(
            self.head(
                attempt_id,
                "200 OK",
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n",
            )
        )
        if has_part and deployment.has_trouble():
            self.crashes_s.append(time.monotonic())
            self.crash()
            asyncio.create_task(self._come_back())
            return False
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start(self.host)


async def case(system: deployment.Deployment) -> bool:
    """Return whether requests with the part reach few enough runners."""
    await system.start_platform_and_config(
        [
            {
                "name": "diagnosis",
                "prefix": "/diagnosis/",
                "type": "stream",
                "service": "llm",
                "timeoutMs": CLIENT_TIMEOUT_S * 1000,
                "targetLatencyMs": 2000,
                "itlTargetMs": 600,
                "sticky": True,
                "resumable": False,
            }
        ],
        [
            {
                "name": "llm",
                "engine": {
                    "slots": 64,
                    "kvCapacity": 587476,
                    "stride": 3,
                    "moves": True,
                },
            }
        ],
    )
    for number in range(RUNNERS):
        engine = Engine(
            f"i-llm-{number}", "llm", "cebu-a", system.platform, system.record
        )
        await engine.start(system.ip(100 + number))
    await system.start_nodes(3)
    await asyncio.sleep(5.0)
    sent = []
    for number in range(REQUESTS):
        node = system.nodes[number % len(system.nodes)]
        sent.append(
            asyncio.create_task(
                clients.send(node.front, _request(number), system.record)
            )
        )
        await asyncio.sleep(REPEAT_INTERVAL_S)
    await asyncio.gather(*sent)
    return _has_held(system)


def _has_held(system) -> bool:
    crashes_s = sorted(Engine.crashes_s)
    late = []
    if len(crashes_s) >= COUNTED_FROM_CRASH:
        from_s = crashes_s[COUNTED_FROM_CRASH - 1] + STABLE_S
        late = [at_s for at_s in Engine.arrivals_s if at_s > from_s]
    system.record.add(
        "check",
        f"{REQUESTS} requests with the part, {len(Engine.arrivals_s)} reached"
        f" runners, {len(crashes_s)} crashed one, {len(late)} reached one over"
        f" {STABLE_S:g} s after crash {COUNTED_FROM_CRASH}",
    )
    if not Engine.arrivals_s:
        raise deployment.CannotRunError("no request reached a runner")
    return len(late) <= MAX_LATE_REQUESTS


def _request(number: int) -> clients.Request:
    conversation = [
        f"{number:04x}{part:04x}:60" for part in range(1, SHARED_PARTS)
    ]
    prefix = [f"{DEADLY_PART}:800", *conversation, f"{number:04x}ffff:250"]
    return clients.Request(
        "POST",
        f"/diagnosis/{number}",
        deployment.HOST,
        deployment.KEY,
        CLIENT_TIMEOUT_S,
        b'{"n":%d}' % number,
        "X-Bilberryturn-Model: m\r\nX-Bilberryturn-Tokens: 2190,80\r\n"
        f"X-Bilberryturn-Prefix-Hash: {','.join(prefix)}\r\n",
    )


if __name__ == "__main__":
    deployment.run_as_script(case, pathlib.Path(__file__).parent)
