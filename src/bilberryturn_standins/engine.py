"""Stand-in for a model engine with an OpenAI-compatible interface."""

import asyncio
import collections
import hashlib
import json
import time
from typing import Any
from typing import NamedTuple

from aiohttp import web

from bilberryturn_standins import server

POISON = "poison-pill"
PREFIX_BLOCK_CHARACTERS = 64
CACHE_EVENT_DROP_INTERVAL = 7  # every seventh cache event is lost
MAX_RETAINED_STREAMS = 2000


class EngineOptions(NamedTuple):
    """Configures the speed, capacity and behaviour of an engine."""

    models: tuple[str, ...] = ("tatami-small",)
    slots: int = 8
    token_interval_s: float = 0.005
    first_token_s: float = 0.01
    prefill_s_per_1k_characters: float = 0.002
    cached_blocks: int = 256
    load_lag_s: float = 0.5
    checks_fencing: bool = True
    restart_s: float = 1.0
    resume_grace_s: float = 2.0


def prompt_of(body: dict) -> str:
    """Return the prompt, from which the generated tokens are derived."""
    if "messages" not in body:
        return json.dumps(body.get("prompt", body.get("input", "")))
    messages = body["messages"]
    if body.get("continue_final_message"):
        messages = messages[:-1]
    return json.dumps([m["content"] for m in messages])


def answer_tokens(body: dict) -> list[str]:
    """Return the tokens generated for a request, the same on every engine."""
    prompt = prompt_of(body)
    digest = hashlib.sha256(prompt.encode()).digest()
    limit = body.get("max_tokens")
    count = 16 + digest[0] % 64
    if limit is not None:
        count = limit if body.get("ignore_eos") else min(limit, count)
    return [f" w{(digest[i % 32] * 31 + i) % 997}" for i in range(count)]


def _continued_text(body: dict) -> str:
    """Return the partial response that the request asks to continue."""
    if body.get("continue_final_message"):
        return body["messages"][-1]["content"]
    return body.get("continue_text", "")


def _abort_connection(request) -> None:
    """Abort the connection of a request if it is still open."""
    if request.transport is not None:
        request.transport.abort()


class Stream:
    """The token stream of one request and its progress."""

    def __init__(self, request_id: str, body: dict):
        self.request_id = request_id
        self.body = body
        self.continuation_offset = _continued_text(body).count(" w")
        limit = body.get("max_tokens")
        if limit is not None:
            body = {**body, "max_tokens": limit + self.continuation_offset}
        self.tokens = answer_tokens(body)
        self.generated = self.continuation_offset
        self.changed = asyncio.Condition()
        self.cancelled = False
        self.cached_tokens = 0
        self.readers = 0


class EngineStandin(server.StandinServer):
    """Serves the HTTP interface of one engine.

    Attributes:
        received: Raw bytes (path, headers and body) of each /v1/ request.
        executions: Request identifiers in order of execution.
        generated_tokens: Tokens generated since the engine was created.
    """

    def __init__(
        self, loop_thread, options=EngineOptions(), host="127.0.0.1", port=0
    ):
        super().__init__(loop_thread, host, port)
        self.options = options
        self.slow_factor = 1.0
        self.stall = False
        self.down_until_s = 0.0
        self.crashes = 0
        self.received: list[bytes] = []
        self.executions: list[str] = []
        self.executed_bodies: list[dict] = []
        self.generated_tokens = 0
        self.cut_after_tokens: int | None = None
        self.duplicate_events = False
        self.refuse_resume = False
        self.fencing_seen = 0
        self.role = "mixed"
        self.orders: list[dict] = []
        self.loaded_models = set(options.models)
        self._running = 0
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._sequence = 0
        self._streams: dict[str, Stream] = {}
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._events: list[dict] = []
        self._load: collections.deque = collections.deque(maxlen=1000)
        self._transports: set = set()

    def routes(self):
        """Return the routes of the engine."""
        return [
            web.post("/v1/chat/completions", self._unless_down(self._complete)),
            web.post("/v1/completions", self._unless_down(self._complete)),
            web.post("/v1/embeddings", self._unless_down(self._embed)),
            web.get("/v1/models", self._unless_down(self._models)),
            web.get("/v1/streams/{id}", self._unless_down(self._resume)),
            web.delete("/v1/streams/{id}", self._unless_down(self._cancel)),
            web.get("/load", self._unless_down(self._report_load)),
            web.get("/cache-events", self._unless_down(self._cache_events)),
            web.get("/kv/{block}", self._unless_down(self._export_block)),
            web.put("/kv/{block}", self._unless_down(self._import_block)),
            web.post("/orders", self._unless_down(self._order)),
            web.get("/health", self._unless_down(self._health)),
            web.post("/control", self._control),
        ]

    def crash(self) -> None:
        """Abort all connections and refuse new ones until restarted."""
        self.crashes += 1
        self.down_until_s = time.monotonic() + self.options.restart_s
        # Closed first, so that a caller whose connection was aborted is
        # refused when it reconnects.
        self.loop_thread.run(self.close_listener)
        for transport in list(self._transports):
            transport.abort()
        for stream in self._streams.values():
            stream.cancelled = True
        self._streams.clear()
        self._blocks.clear()
        loop = self.loop_thread.loop
        loop.call_soon_threadsafe(
            lambda: asyncio.ensure_future(self._restart(), loop=loop)
        )

    async def _restart(self) -> None:
        """Refuse connections for the duration of the restart."""
        await self.pause_listening()
        await asyncio.sleep(self.options.restart_s)
        await self.resume_listening()

    def _unless_down(self, handler):
        async def handle(request):
            if time.monotonic() < self.down_until_s:
                request.transport.abort()
                return web.Response(status=503)
            self._transports.add(request.transport)
            try:
                if request.method in ("POST", "GET") and "/v1/" in request.path:
                    body = await request.read()
                    self._record(request, body)
                return await handler(request)
            finally:
                self._transports.discard(request.transport)

        return handle

    def _record(self, request, body: bytes) -> None:
        headers = b"\n".join(k + b": " + v for k, v in request.raw_headers)
        raw = request.path_qs.encode() + b"\n" + headers + b"\n" + body
        self.received.append(raw)

    async def _acquire_slot(self, priority: int) -> None:
        if self._running < self.options.slots:
            self._running += 1
            return
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((priority, self._sequence, future))
        self._waiting.sort(key=lambda entry: entry[:2])
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        while self._waiting:
            future = self._waiting.pop(0)[2]
            if not future.done():
                future.set_result(None)
                return
        self._running -= 1

    def _update_prefix_cache(self, prompt: str) -> int:
        """Update the prefix cache and return the cached character count."""
        cached, hit = 0, True
        for end in range(
            PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS
        ):
            block = hashlib.sha256(prompt[:end].encode()).hexdigest()[:16]
            hit = hit and block in self._blocks
            if hit:
                cached = end
            else:
                self._append_cache_event({"kind": "stored", "block": block})
            self._blocks[block] = 1
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.options.cached_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._append_cache_event({"kind": "removed", "block": block})
        return cached

    def _append_cache_event(self, event: dict) -> None:
        event = {"sequence": len(self._events) + 1, **event}
        event["published_s"] = time.monotonic() + self.options.load_lag_s
        self._events.append(event)

    def _interval_s(self) -> float:
        occupancy = self._running / max(1, self.options.slots)
        return (
            self.options.token_interval_s
            * self.slow_factor
            * (0.75 + 0.25 * occupancy)
        )

    async def _generate(self, stream: Stream, priority: int) -> None:
        await self._acquire_slot(priority)
        self.executions.append(stream.request_id)
        self.executed_bodies.append(stream.body)
        try:
            prompt = prompt_of(stream.body)
            cached = self._update_prefix_cache(prompt)
            stream.cached_tokens = cached // 4
            uncached = max(0, len(prompt) - cached)
            prefill = self.options.prefill_s_per_1k_characters * uncached / 1000
            await asyncio.sleep(
                (self.options.first_token_s + prefill) * self.slow_factor
            )
            while stream.generated < len(stream.tokens):
                if stream.cancelled:
                    return
                if self.stall:
                    await asyncio.sleep(0.02)
                    continue
                stream.generated += 1
                self.generated_tokens += 1
                async with stream.changed:
                    stream.changed.notify_all()
                if stream.generated < len(stream.tokens):
                    await asyncio.sleep(self._interval_s())
        finally:
            self._release_slot()
            self._load.append((time.monotonic(), self._running))
            async with stream.changed:
                stream.changed.notify_all()

    async def _complete(self, request):
        body = await request.json()
        if body.get("model") not in self.loaded_models:
            return web.json_response(
                {"error": {"message": "model is not loaded"}}, status=404
            )
        request_id = request.headers.get(
            "X-Request-Id", str(len(self.received))
        )
        if POISON in json.dumps(body):
            self.executions.append(request_id)
            await asyncio.sleep(0.01)
            self.crash()
            return web.Response(status=500)
        stream = Stream(request_id, body)
        self._streams[request_id] = stream
        while len(self._streams) > MAX_RETAINED_STREAMS:
            self._streams.pop(next(iter(self._streams)))
        task = asyncio.ensure_future(
            self._generate(stream, int(body.get("priority", 0)))
        )
        if body.get("stream"):
            return await self._send(request, stream, stream.continuation_offset)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            stream.cancelled = True
            raise
        text = "".join(stream.tokens[stream.continuation_offset :])
        choice = self._choice(request.path, text, is_final=True)
        return web.json_response(
            {
                "id": f"cmpl-{request_id}",
                "object": "chat.completion",
                "created": 0,
                "model": body["model"],
                "choices": [choice],
                "usage": self._usage(stream),
            }
        )

    def _usage(self, stream: Stream) -> dict[str, Any]:
        prompt_tokens = max(1, len(prompt_of(stream.body)) // 4)
        completion_tokens = stream.generated - stream.continuation_offset
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        }

    def _choice(self, path: str, text: str, is_final=False) -> dict:
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if "chat" not in path and "streams" not in path:
            choice["text"] = text
        elif is_final:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["delta"] = {"content": text}
        if is_final:
            choice["finish_reason"] = "stop"
        return choice

    async def _resume(self, request):
        stream = self._streams.get(request.match_info["id"])
        if stream is None or stream.cancelled or self.refuse_resume:
            return web.json_response(
                {"error": {"message": "stream is not known"}}, status=404
            )
        after = int(request.headers.get("Last-Event-ID", "0"))
        if self.duplicate_events:
            after = max(stream.continuation_offset, after - 3)
        return await self._send(request, stream, after)

    async def _send(self, request, stream: Stream, position: int):
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        stream.readers += 1
        try:
            return await self._send_events(request, response, stream, position)
        finally:
            stream.readers -= 1
            if stream.generated < len(stream.tokens):
                asyncio.get_running_loop().call_later(
                    self.options.resume_grace_s, self._cancel_if_unread, stream
                )

    def _cancel_if_unread(self, stream: Stream) -> None:
        if stream.readers == 0:
            stream.cancelled = True

    async def _send_events(self, request, response, stream, position):
        while True:
            async with stream.changed:
                while position >= stream.generated and position < len(
                    stream.tokens
                ):
                    if stream.cancelled:
                        _abort_connection(request)
                        return response
                    await stream.changed.wait()
            while position < stream.generated:
                position += 1
                cut_after = self.cut_after_tokens
                if cut_after is not None and position > cut_after:
                    self.cut_after_tokens = None
                    _abort_connection(request)
                    return response
                event = self._event(request.path, stream, position)
                await response.write(event)
                if self.duplicate_events and position % 3 == 0:
                    await response.write(event)
            if position >= len(stream.tokens):
                break
        final = {
            "id": f"cmpl-{stream.request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": stream.body["model"],
            "choices": [],
            "usage": self._usage(stream),
        }
        data = json.dumps(final, separators=(",", ":"))
        await response.write(f"id: {position + 1}\ndata: {data}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _event(self, path: str, stream: Stream, position: int) -> bytes:
        choice = self._choice(path, stream.tokens[position - 1])
        if "messages" not in stream.body:
            choice = {"index": 0, "text": stream.tokens[position - 1]}
            choice["finish_reason"] = None
        if position == len(stream.tokens):
            choice["finish_reason"] = "stop"
        chunk = {
            "id": f"cmpl-{stream.request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": stream.body["model"],
            "choices": [choice],
        }
        data = json.dumps(chunk, separators=(",", ":"))
        return f"id: {position}\ndata: {data}\n\n".encode()

    async def _embed(self, request):
        body = await request.json()
        self.executions.append(request.headers.get("X-Request-Id", ""))
        digest = hashlib.sha256(json.dumps(body["input"]).encode()).digest()
        vector = [byte / 255 for byte in digest[:8]]
        return web.json_response(
            {
                "object": "list",
                "model": body["model"],
                "data": [
                    {"object": "embedding", "index": 0, "embedding": vector}
                ],
                "usage": {"prompt_tokens": 8, "total_tokens": 8},
            }
        )

    async def _models(self, request):
        data = [{"id": m, "object": "model"} for m in self.loaded_models]
        return web.json_response({"object": "list", "data": data})

    async def _cancel(self, request):
        stream = self._streams.get(request.match_info["id"])
        if stream is not None:
            stream.cancelled = True
        return web.Response(status=204)

    async def _report_load(self, request):
        horizon_s = time.monotonic() - self.options.load_lag_s
        running = 0
        for at_s, value in self._load:
            if at_s <= horizon_s:
                running = value
        return web.json_response(
            {
                "running": running,
                "slots": self.options.slots,
                "role": self.role,
                "models": sorted(self.loaded_models),
            }
        )

    async def _cache_events(self, request):
        after = int(request.query.get("after", "0"))
        now_s = time.monotonic()
        events = [
            {"sequence": e["sequence"], "kind": e["kind"], "block": e["block"]}
            for e in self._events[after : after + 500]
            if e["published_s"] <= now_s
            and e["sequence"] % CACHE_EVENT_DROP_INTERVAL
        ]
        return web.json_response({"events": events})

    async def _export_block(self, request):
        block = request.match_info["block"]
        if block not in self._blocks:
            return web.Response(status=404)
        return web.Response(body=block.encode())

    async def _import_block(self, request):
        self._blocks[request.match_info["block"]] = 1
        return web.Response(status=204)

    async def _order(self, request):
        order = await request.json()
        number = order["fencing_number"]
        if self.options.checks_fencing and number < self.fencing_seen:
            return web.json_response({"error": "stale"}, status=412)
        self.fencing_seen = max(number, self.fencing_seen)
        self.orders.append(order)
        if order["kind"] == "load_model":
            self.loaded_models.add(order["model"])
        if order["kind"] == "change_role":
            self.role = order["role"]
        return web.json_response({"state": "accepted"})

    async def _health(self, request):
        return web.json_response({"state": "ready"})

    async def _control(self, request):
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})
