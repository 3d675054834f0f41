"""Runners: register in the store and answer requests.

Follows "Runners" and "Service discovery" of PROTOCOL.md.
"""

import asyncio
import itertools
import json
import time

from standins import http1
from standins import platform as platform_standin
from standins import records

HEARTBEAT_S = 1.2
IDLE_TIMEOUT_S = 5
ATTEMPT_ID = "x-bilberryturn-attempt-id"
_seals = itertools.count(1)


class Runner:
    """A sound runner; cases override `handle`.

    Attributes:
        attempt_ids: Attempt id of each request that it began to run.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        store: platform_standin.Platform,
        record: records.Record,
        **fields,
    ):
        """Initialize a runner.

        Args:
            server_id: Its id.
            service: Its service.
            zone: Its zone.
            store: Store in which it registers.
            record: Receives what it got and did.
            **fields: Further fields of its entry.
        """
        self.server_id = server_id
        self.service = service
        self._zone = zone
        self._store = store
        self._fields = fields
        self.record = record
        self.attempt_ids: list[str] = []
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task | None = None
        self.host, self.port = "", 0
        self._born_ms = 0

    @property
    def address(self) -> str:
        """Return IP:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self, host: str) -> None:
        """Listen, on the same port after a restart, and register."""
        self.host = host
        self._server = await asyncio.start_server(self._serve, host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat = asyncio.get_running_loop().create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await self.report("ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self, state: str, **fields) -> None:
        """Write the entry."""
        self._sequence += 1
        await self._store.put(
            "servers",
            self.server_id,
            {
                "service": self.service,
                "addr": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 64,
                "state": state,
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born_ms,
                **self._fields,
                **fields,
            },
        )

    async def drain(self, **fields) -> None:
        """Report `draining` and stop sending other reports."""
        self._heartbeat.cancel()
        await self.report("draining", **fields)
        self.record.add(self.server_id, f"draining {fields}")

    def crash(self) -> None:
        """End as a killed process: all connections close, no reports."""
        if not self._server.is_serving():
            return
        self.record.add(self.server_id, "crashed")
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            http1.reset(writer)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(
                    http1.read_request(reader), IDLE_TIMEOUT_S
                )
                if not await self._answer(request, reader, writer):
                    break
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer) -> bool:
        expected = request.headers.get("x-bilberryturn-expect-instance")
        attempt_id = request.headers.get(ATTEMPT_ID, "")
        if expected not in (None, self.server_id):
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Bilberryturn-Instance: "
                + self.server_id.encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        self.record.add(
            self.server_id,
            f"got {request.start.rsplit(' ', 1)[0]} id {attempt_id}",
        )
        return await self.handle(request, attempt_id, reader, writer)

    async def handle(self, request, attempt_id: str, reader, writer) -> bool:
        """Answer a request; returns whether the connection stays open."""
        self.attempt_ids.append(attempt_id)
        await self.answer(
            writer, attempt_id, b"answer to " + attempt_id.encode()
        )
        return True

    async def answer(
        self,
        writer,
        attempt_id: str,
        body: bytes,
        status: str = "200 OK",
        extra: str = "",
    ) -> None:
        """Send a whole answer with a length."""
        writer.write(
            self.head(
                attempt_id, status, extra + f"Content-Length: {len(body)}\r\n"
            )
            + body
        )
        await writer.drain()

    def head(self, attempt_id: str, status: str, extra: str) -> bytes:
        """Return the head of an answer."""
        return (
            f"HTTP/1.1 {status}\r\nX-Bilberryturn-Attempt-Id: {attempt_id}\r\n"
            f"X-Bilberryturn-Server-Seal: {self.server_id}.{next(_seals)}\r\n"
            f"Keep-Alive: timeout={IDLE_TIMEOUT_S}\r\n{extra}\r\n"
        ).encode()


def json_body(request: http1.Message) -> dict:
    """Return the decoded body of a call."""
    return json.loads(request.body)
