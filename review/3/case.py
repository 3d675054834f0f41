"""Streams without length or chunks are moved away from reclaimed runners."""

import asyncio
import itertools
import os
import pathlib
import re

from standins import clients
from standins import deployment
from standins import runners

EVENTS = 40
EVENT_INTERVAL_S = 0.2
CLIENT_TIMEOUT_S = 15.0
STREAMS = 24
# Notice of the runners that are taken away, in seconds.
NOTICE_S = 2.9
COPY_S = 0.1
# Framing of the streams: "none" (they end with their channel) or "chunks".
FRAMING = os.environ.get("FRAMING", "none")

_handles = itertools.count(1)
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Run:
    """A request that a runner works on."""

    def __init__(self):
        self.created = 0
        self.is_stopped = False


class Engine(runners.Runner):
    """A runner that streams, and moves its runs as PROTOCOL.md says."""

    # Copies by source address and handle.
    copies: dict[str, tuple[str, int]] = {}

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self._runs: dict[str, Run] = {}

    async def handle(self, request, attempt_id, reader, writer) -> bool:
        """Serve a stream or a call that moves one."""
        if request.start.startswith("POST /kv-move "):
            return await self._move(request, writer)
        after = int(request.headers.get("last-event-id", 0))
        copy = request.headers.get("kv-from")
        if copy is not None:
            found = self.copies.pop(copy, None)
            if found is None or found[0] != attempt_id:
                await self.answer(
                    writer,
                    attempt_id,
                    b"",
                    "503 Service Unavailable",
                    "X-Bilberryturn-Not-Run: 1\r\n",
                )
                return True
            self.record.add(
                self.server_id, f"goes on with id {attempt_id} after {after}"
            )
        return await self._stream(attempt_id, after, writer)

    async def _stream(self, attempt_id: str, after: int, writer) -> bool:
        run = self._runs[attempt_id] = Run()
        framing = "Connection: close\r\n"
        if FRAMING == "chunks":
            framing = "Transfer-Encoding: chunked\r\n"
        writer.write(
            self.head(
                attempt_id,
                "200 OK",
                "Content-Type: text/event-stream\r\n" + framing,
            )
        )
        for number in range(after + 1, EVENTS + 1):
            self._write(
                writer, b"id: %d\ndata: piece-%d\n\n" % (number, number)
            )
            await writer.drain()
            run.created = number
            await asyncio.sleep(EVENT_INTERVAL_S)
            if run.is_stopped:
                # Closed without its end.
                self.record.add(
                    self.server_id, f"stopped id {attempt_id} after {number}"
                )
                return False
        del self._runs[attempt_id]
        self.record.add(self.server_id, f"id {attempt_id} ran to its end")
        if FRAMING == "chunks":
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        return False

    @staticmethod
    def _write(writer, data: bytes) -> None:
        if FRAMING == "chunks":
            data = b"%x\r\n%s\r\n" % (len(data), data)
        writer.write(data)

    async def _move(self, request, writer) -> bool:
        call = runners.json_body(request)
        run = self._runs.pop(call["id"], None)
        if run is None:
            await self.answer(writer, "", b"{}", "404 Not Found")
            return True
        run.is_stopped = bool(call.get("last"))
        await asyncio.sleep(EVENT_INTERVAL_S + COPY_S)
        handle = f"h{next(_handles)}"
        self.copies[f"{self.address}/{handle}"] = (call["id"], run.created)
        self.record.add(
            self.server_id, f"copied id {call['id']} to {call['to']}: {handle}"
        )
        body = b'{"resultHandle":"%s","created":%d}' % (
            handle.encode(),
            run.created,
        )
        await self.answer(writer, "", body)
        return True

    async def leave(self) -> None:
        """Be taken away: report it with notice, then end."""
        await self.drain(spot=True, leaves_ms=NOTICE_S * 1000)
        await asyncio.sleep(NOTICE_S)
        self.crash()
        await self._store.remove("servers", self.server_id)


async def case(system: deployment.Deployment) -> bool:
    """Return whether no stream ends as complete before its last piece."""
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
                    "handoffS": 5.0,
                },
            }
        ],
    )
    engines = [
        Engine(
            f"i-llm-{number}",
            "llm",
            "cebu-a",
            system.platform,
            system.record,
            spot=number > 2,
        )
        for number in (1, 2, 3, 4)
    ]
    for number, engine in enumerate(engines):
        await engine.start(system.ip(100 + number))
    await system.start_nodes(3)
    await asyncio.sleep(5.0)
    streams = []
    for number in range(STREAMS):
        node = system.nodes[number % len(system.nodes)]
        streams.append(
            asyncio.create_task(
                clients.send(node.front, _request(number), system.record)
            )
        )
        await asyncio.sleep(0.05)
    if deployment.has_trouble():
        await asyncio.gather(
            *(e.leave() for e in engines if e.server_id > "i-llm-2")
        )
    return _has_held(system, await asyncio.gather(*streams))


def _has_held(system, answers: list[clients.Answer]) -> bool:
    """Check each stream that its client saw end as complete."""
    cut_short = 0
    complete = 0
    for answer in answers:
        pieces = [int(n) for n in _EVENT_ID.findall(answer.body)]
        if answer.status != 200 or not answer.is_complete:
            continue
        complete += 1
        if pieces != list(range(1, EVENTS + 1)):
            cut_short += 1
            system.record.add(
                "check",
                f"id {answer.attempt_id} ended as complete with"
                f" {len(pieces)} of {EVENTS} pieces",
            )
    system.record.add(
        "check",
        f"{len(answers)} streams, {complete} ended as complete,"
        f" {cut_short} of them before their last piece",
    )
    if not complete:
        raise deployment.CannotRunError("no stream was complete")
    return cut_short == 0


def _request(number: int) -> clients.Request:
    return clients.Request(
        "POST",
        f"/diagnosis/{number}",
        deployment.HOST,
        deployment.KEY,
        CLIENT_TIMEOUT_S,
        b'{"n":%d}' % number,
        "X-Bilberryturn-Model: m\r\nX-Bilberryturn-Tokens: 1460,160\r\n"
        f"X-Bilberryturn-Prefix-Hash: 5c1e07a2:800,{number:08x}:660\r\n",
    )


if __name__ == "__main__":
    deployment.run_as_script(case, pathlib.Path(__file__).parent)
