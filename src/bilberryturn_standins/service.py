"""Stand-in for a service with operations that are not idempotent."""

import asyncio

from aiohttp import web

from bilberryturn_standins import server

# A call whose query holds this text ends the service for a while.
POISON = "poison-pill"
RESTART_S = 0.5
# Time after the beginning of an answer at which the process is replaced.
REPLACED_AFTER_S = 0.2


class ServiceStandin(server.StandinServer):
    """Serves any path and records each execution.

    Attributes:
        executions: Idempotency key, or else the path, of each executed call,
            in order.
        received: Raw bytes (path, headers and body) of each request.
        crashes: How often a call has ended the service.
    """

    def __init__(self, loop_thread, host="127.0.0.1", port=0):
        super().__init__(loop_thread, host, port)
        self.executions: list[str] = []
        self.received: list[bytes] = []
        self.crashes = 0
        self.delay_s = 0.0
        self.cut_before_answer = False
        self.cut_in_answer = False
        self.ends_in_answer = False
        self.is_replaced_in_answer = False

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/health", self._health),
            web.post("/control", self._control),
            web.route("*", "/{path:.*}", self._execute),
        ]

    async def _execute(self, request):
        body = await request.read()
        headers = b"\n".join(k + b": " + v for k, v in request.raw_headers)
        raw = request.path_qs.encode() + b"\n" + headers + b"\n" + body
        self.received.append(raw)
        key = request.headers.get("Idempotency-Key", request.path)
        self.executions.append(key)
        if POISON in request.query_string:
            return await self._crash(request)
        await asyncio.sleep(self.delay_s)
        if self.cut_before_answer:
            request.transport.abort()
            return web.Response(status=500)
        answer = {"done": key, "number": len(self.executions)}
        if self.ends_in_answer:
            return await self._end(request)
        if self.is_replaced_in_answer:
            return await self._be_replaced(request)
        if not self.cut_in_answer:
            return web.json_response(answer)
        response = web.StreamResponse(headers={"Content-Length": "100"})
        await response.prepare(request)
        await response.write(b'{"done"')
        request.transport.abort()
        return response

    async def _end(self, request):
        """End inside an answer whose head names no length, then restart."""
        self.ends_in_answer = False
        self.close_listener()
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b'Connection: close\r\n\r\n{"done"'
        )
        request.transport.close()
        asyncio.get_running_loop().create_task(self._restart())
        return web.Response(status=500)

    async def _be_replaced(self, request):
        """End inside an answer without a length as another process listens."""
        self.is_replaced_in_answer = False
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b'Connection: close\r\n\r\n{"done"'
        )
        await asyncio.sleep(REPLACED_AFTER_S)
        self.close_connections()
        return web.Response(status=500)

    async def _crash(self, request):
        """Abort the connection and refuse new ones until restarted."""
        self.crashes += 1
        self.close_listener()
        request.transport.abort()
        asyncio.get_running_loop().create_task(self._restart())
        return web.Response(status=500)

    async def _restart(self):
        await self.pause_listening()
        await asyncio.sleep(RESTART_S)
        await self.resume_listening()

    async def _health(self, request):
        return web.json_response({"state": "ready"})

    async def _control(self, request):
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})
