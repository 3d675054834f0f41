"""Stand-in for a service with operations that are not idempotent."""

import asyncio

from aiohttp import web

from bilberryturn_standins import server


class ServiceStandin(server.StandinServer):
    """Serves any path and records each execution.

    Attributes:
        executions: Idempotency key, or else the path, of each executed call,
            in order.
        received: Raw bytes (path, headers and body) of each request.
    """

    def __init__(self, loop_thread, host="127.0.0.1", port=0):
        super().__init__(loop_thread, host, port)
        self.executions: list[str] = []
        self.received: list[bytes] = []
        self.delay_s = 0.0
        self.cut_before_answer = False
        self.cut_in_answer = False

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
        await asyncio.sleep(self.delay_s)
        if self.cut_before_answer:
            request.transport.abort()
            return web.Response(status=500)
        answer = {"done": key, "number": len(self.executions)}
        if not self.cut_in_answer:
            return web.json_response(answer)
        response = web.StreamResponse(headers={"Content-Length": "100"})
        await response.prepare(request)
        await response.write(b'{"done"')
        request.transport.abort()
        return response

    async def _health(self, request):
        return web.json_response({"state": "ready"})

    async def _control(self, request):
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})
