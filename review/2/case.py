"""A resumable stream goes on elsewhere after bytes that are no events."""

import asyncio
import pathlib
import re

from standins import clients
from standins import deployment
from standins import runners

EVENTS = 20
EVENT_INTERVAL_S = 0.1
# Events that the faulty runner sends one by one, and those that it then
# sends together with bytes that are no events.
SENT_SINGLY = 5
SENT_TOGETHER = 1
STREAMS = 12
CLIENT_TIMEOUT_S = 12.0
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 0\r\n\r\n"
)

_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Engine(runners.Runner):
    """A runner whose streams can be resumed.

    Attributes:
        is_faulty: Whether it spoils streams from their first piece on.
    """

    is_faulty = False

    async def handle(self, request, attempt_id, reader, writer) -> bool:
        """Stream the pieces after the one that the request names."""
        self.attempt_ids.append(attempt_id)
        after = int(request.headers.get("last-event-id", 0))
        self.record.add(self.server_id, f"runs id {attempt_id} after {after}")
        writer.write(
            self.head(
                attempt_id,
                "200 OK",
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n",
            )
        )
        for number in range(after + 1, EVENTS + 1):
            if self.is_faulty and number > SENT_SINGLY:
                last = number + SENT_TOGETHER
                events = b"".join(map(_event, range(number, last)))
                self.record.add(
                    self.server_id,
                    f"spoils id {attempt_id} behind {last - 1}",
                )
                writer.write(_chunk(events + ERROR_HEAD))
                await writer.drain()
                return False
            writer.write(_chunk(_event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def case(system: deployment.Deployment) -> bool:
    """Return whether no client misses a piece."""
    await system.start_platform_and_config(
        [
            {
                "name": "notes",
                "prefix": "/notes/",
                "type": "stream",
                "service": "llm",
                "timeoutMs": CLIENT_TIMEOUT_S * 1000,
                "targetLatencyMs": 800,
                "itlTargetMs": 250,
                "attempts": 2,
                "sticky": True,
                "resumable": True,
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
    engines = [
        Engine(f"i-llm-{n}", "llm", "cebu-a", system.platform, system.record)
        for n in (1, 2, 3)
    ]
    for number, engine in enumerate(engines):
        await engine.start(system.ip(100 + number))
    await system.start_nodes(3)
    await asyncio.sleep(5.0)
    engines[0].is_faulty = deployment.has_trouble()
    streams = []
    for number in range(STREAMS):
        node = system.nodes[number % len(system.nodes)]
        streams.append(
            asyncio.create_task(
                clients.send(node.front, _request(number), system.record)
            )
        )
        await asyncio.sleep(0.2)
    return _has_held(system, await asyncio.gather(*streams))


def _has_held(system, answers: list[clients.Answer]) -> bool:
    complete = broken = 0
    for answer in answers:
        pieces = [int(n) for n in _EVENT_ID.findall(answer.body)]
        if answer.status != 200:
            continue
        complete += answer.is_complete
        # A stream may break off, but not lack a piece before its last one.
        expected = list(range(1, EVENTS + 1))
        if not answer.is_complete:
            expected = expected[: len(pieces)]
        if pieces == expected:
            continue
        broken += 1
        missing = sorted(set(range(1, pieces[-1] + 1)) - set(pieces))
        system.record.add(
            "check",
            f"id {answer.attempt_id}"
            f" {'ended as complete' if answer.is_complete else 'broke off'}"
            f" with pieces {pieces}, without {missing}",
        )
    system.record.add(
        "check",
        f"{len(answers)} streams, {complete} ended as complete,"
        f" {broken} lack a piece or have one twice",
    )
    if not complete:
        raise deployment.CannotRunError("no stream was complete")
    return broken == 0


def _request(number: int) -> clients.Request:
    return clients.Request(
        "POST",
        f"/notes/{number}",
        deployment.HOST,
        deployment.KEY,
        CLIENT_TIMEOUT_S,
        b'{"n":%d}' % number,
        "X-Bilberryturn-Model: m\r\nX-Bilberryturn-Tokens: 1460,80\r\n"
        f"X-Bilberryturn-Prefix-Hash: {number:07x}a:800,{number:07x}b:660\r\n",
    )


if __name__ == "__main__":
    deployment.run_as_script(case, pathlib.Path(__file__).parent)
