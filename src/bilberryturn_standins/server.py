"""Run aiohttp applications on one event loop in a background thread."""

import asyncio
from collections.abc import Callable
import concurrent.futures
import threading
from typing import Any

from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_S = 30.0


class LoopThread:
    """An event loop that runs in a daemon thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name="standins", daemon=True
        )
        self._thread.start()

    def call(self, coroutine) -> Any:
        """Run a coroutine on the loop and return its result."""
        future: concurrent.futures.Future = asyncio.run_coroutine_threadsafe(
            coroutine, self.loop
        )
        return future.result(CALL_TIMEOUT_S)

    def run(self, function: Callable[[], None]) -> None:
        """Run a function on the loop: at once if called there, else soon."""
        if threading.current_thread() is self._thread:
            function()
        else:
            self.loop.call_soon_threadsafe(function)

    def close(self) -> None:
        """Stop the loop and wait for its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(CALL_TIMEOUT_S)


class StandinServer:
    """Serves one application on a loopback address."""

    def __init__(
        self, loop_thread: LoopThread, host: str = "127.0.0.1", port: int = 0
    ):
        self.loop_thread = loop_thread
        self.host = host
        self.port = port
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the application."""
        raise NotImplementedError

    @property
    def address(self) -> str:
        """Return the address as IP address and port."""
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    def start(self) -> "StandinServer":
        """Start listening; port 0 is replaced by the port that was assigned."""
        self.loop_thread.call(self._start())
        return self

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._runner is None:
            return
        self.loop_thread.call(self._runner.cleanup())
        self._runner = None
        self._site = None

    def close_connections(self) -> None:
        """Close all connections at once, as the system does for a process."""
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.close()

    async def _start(self) -> None:
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(self.routes())
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.2
        )
        await self._runner.setup()
        await self.resume_listening()

    def close_listener(self) -> None:
        """Close the listening socket at once; on the event loop only."""
        if self._site is not None:
            self._site._server.close()

    async def pause_listening(self) -> None:
        """Close the listening socket so that new connections are refused."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def resume_listening(self) -> None:
        """Listen on the same port again."""
        if self._runner is None or self._site is not None:
            return
        self._site = web.TCPSite(
            self._runner, self.host, self.port, backlog=1024, reuse_address=True
        )
        await self._site.start()
        self.port = self._site._server.sockets[0].getsockname()[1]
