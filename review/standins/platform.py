"""The platform's store (tables) and duty interface, in memory.

Follows "The platform's metadata store" and "Singleton duties" of PROTOCOL.md.
"""

import asyncio
import base64
import json
import time
import urllib.parse

from standins import http1
from standins import records

TRANSACTION_S = 0.005
MAX_PAGE_ROWS = 500


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


class Platform:
    """Serves both interfaces on one loopback address.

    Attributes:
        address: HOST:PORT.
        duty_calls: Time, path, body and headers of each accepted call.
    """

    def __init__(self, record: records.Record):
        self._record = record
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self.duty_calls: list[tuple[float, str, dict, dict[str, str]]] = []
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    # Writes of the operator and the runners.

    async def put(self, table: str, key: str, value: dict) -> None:
        """Write a row; returns once the store has acknowledged it."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        async with self._changed:
            self._write((table, "", key), text)
            self._changed.notify_all()

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        async with self._changed:
            if (table, "", key) in self._rows:
                self._write((table, "", key), None)
                self._changed.notify_all()

    def value(self, table: str, key: str):
        """Return the decoded value of a row, or None."""
        found = self._rows.get((table, "", key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def _write(self, row_id: tuple[str, str, str], text: str | None) -> None:
        self._version += 1
        self._apply(row_id, text)

    def _apply(self, row_id: tuple[str, str, str], text: str | None) -> None:
        if text is None:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = (text, self._version)
        self._changes.append((self._version, row_id, text))

    # Calls.

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await http1.read_request(reader)
                status, value = await self._dispatch(request)
                body = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _dispatch(self, request: http1.Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ", 2)
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        if (method, path) == ("GET", "/rows-get"):
            return 200, self._get(arguments)
        if (method, path) == ("GET", "/rows-feed"):
            return await self._feed(arguments)
        if (method, path) == ("POST", "/rows-tx"):
            return await self._transact(json.loads(request.body))
        if (method, path) in (("POST", "/usage"), ("POST", "/scale")):
            body = json.loads(request.body)
            self.duty_calls.append(
                (time.monotonic(), path, body, request.headers)
            )
            self._record.add("platform", f"{path} {body}")
            return 200, {}
        return 404, {}

    def _get(self, arguments: dict[str, str]) -> dict:
        limit = min(int(arguments.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        start, end = arguments.get("from", ""), arguments.get("to", "")
        wanted = (arguments["table"], arguments.get("part", ""))
        found = [
            self._row(row_id, text, version)
            for row_id, (text, version) in sorted(
                self._rows.items(), key=lambda item: item[0][2].encode()
            )
            if row_id[:2] == wanted
            and row_id[2] >= start
            and (not end or row_id[2] < end)
        ]
        return {
            "rows": found[:limit],
            "hasMore": len(found) > limit,
            "ver": self._version,
            "nowMs": _now_ms(),
        }

    async def _feed(self, arguments: dict[str, str]) -> tuple[int, dict]:
        since = int(arguments["sinceRev"])
        if since > self._version:
            return 410, {}
        end_s = time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
        table = arguments["table"]
        async with self._changed:
            while True:
                found = [
                    change
                    for change in self._changes
                    if change[0] > since and change[1][0] == table
                ]
                remaining_s = end_s - time.monotonic()
                if found or remaining_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    pass
        rows = []
        for version, row_id, text in found:
            row = self._row(row_id, text or "", version)
            if text is None:
                row["deleted"] = True
            rows.append(row)
        return 200, {"rows": rows, "ver": self._version, "nowMs": _now_ms()}

    async def _transact(self, body: dict) -> tuple[int, dict]:
        await asyncio.sleep(TRANSACTION_S)
        async with self._changed:
            checked = {
                _row_id(check): check["ver"]
                for check in body.get("expectRev", [])
            }
            if any(
                self._rows.get(row_id, ("", 0))[1] != version
                for row_id, version in checked.items()
            ):
                rows = [
                    self._row(row_id, *self._rows[row_id])
                    for row_id in checked
                    if row_id in self._rows
                ]
                return 412, {"rows": rows}
            writes = body.get("write", [])
            removes = body.get("remove", [])
            if any(w["table"] in ("op", "servers") for w in writes + removes):
                return 403, {}
            self._version += 1
            for write in writes:
                self._apply(_row_id(write), write["value"])
            for remove in removes:
                self._apply(_row_id(remove), None)
            self._changed.notify_all()
            return 200, {"ver": self._version, "nowMs": _now_ms()}

    @staticmethod
    def _row(row_id: tuple[str, str, str], text: str, version: int) -> dict:
        table, part, key = row_id
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": text,
            "ver": version,
        }


def _row_id(reference: dict) -> tuple[str, str, str]:
    return reference["table"], reference.get("part", ""), reference["key"]
