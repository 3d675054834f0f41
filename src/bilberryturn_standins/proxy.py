"""TCP proxy that injects faults by source and target address."""

import asyncio
import socket
import struct
from typing import NamedTuple

CHUNK_BYTES = 65536
# Modes that end open connections, and those that take no new ones.
ENDING_MODES = ("cut", "reset")
REFUSING_MODES = ("cut", "reset", "reset_new")


class Rule(NamedTuple):
    """The fault for connections from a source prefix to a target.

    Attributes:
        mode: "cut", "freeze", "half_open", "drop" or "delay". "reset" ends open
            and new connections with a TCP reset, "reset_new" only new ones.
            "silence" holds back all that is sent, and the end, of open
            connections while it lasts; connections that are opened meanwhile
            are accepted and never answered.
    """

    source_prefix: str
    target: str
    mode: str
    delay_s: float = 0.0


class FaultProxy:
    """Forwards TCP connections, with a listening port for each target."""

    def __init__(self, loop_thread, host: str = "127.0.0.1"):
        self.loop_thread = loop_thread
        self.host = host
        self.rules: list[Rule] = []
        self._servers: list[asyncio.Server] = []
        self._connections: dict[asyncio.Task, tuple[str, str, list]] = {}

    def listen(self, target: str, port: int = 0) -> str:
        """Forward a new port to a target and return the new address."""
        return self.loop_thread.call(self._listen(target, port))

    def set_rules(self, rules: list[Rule]) -> None:
        """Replace all rules and abort open connections that a rule cuts."""
        self.rules = list(rules)
        self.loop_thread.loop.call_soon_threadsafe(self._abort_cut_connections)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.loop_thread.call(self._stop())

    async def _stop(self) -> None:
        for listening in self._servers:
            listening.close()
        for task in list(self._connections):
            task.cancel()

    def _find_rule(self, source: str, target: str) -> Rule | None:
        for rule in self.rules:
            if not source.startswith(rule.source_prefix):
                continue
            if rule.target in ("*", target):
                return rule
        return None

    def _abort_cut_connections(self) -> None:
        for source, target, writers in list(self._connections.values()):
            rule = self._find_rule(source, target)
            if rule is None or rule.mode not in ENDING_MODES:
                continue
            for writer in writers:
                _end(writer, rule.mode)

    async def _listen(self, target: str, port: int) -> str:
        async def accept(reader, writer):
            await self._forward(reader, writer, target)

        listening = await asyncio.start_server(
            accept, self.host, port, backlog=512
        )
        self._servers.append(listening)
        return f"{self.host}:{listening.sockets[0].getsockname()[1]}"

    async def _forward(self, reader, writer, target: str) -> None:
        source = writer.get_extra_info("peername")[0]
        rule = self._find_rule(source, target)
        if rule is not None and rule.mode in REFUSING_MODES:
            _end(writer, rule.mode)
            return
        if rule is not None and rule.mode == "silence":
            await self._hold(reader, writer, source, target)
            return
        host, port = target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._connections[task] = (source, target, [writer, up_writer])
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, source, target, "request"),
                self._pump(up_reader, writer, source, target, "answer"),
            )
        except OSError:
            await self._wait_while_silent(source, target)
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.pop(task, None)
            writer.transport.abort()
            up_writer.transport.abort()

    async def _hold(self, reader, writer, source, target) -> None:
        """Read a connection until its end and never answer."""
        task = asyncio.current_task()
        self._connections[task] = (source, target, [writer])
        try:
            while await reader.read(CHUNK_BYTES):
                pass
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.pop(task, None)
            writer.transport.abort()

    async def _wait_while_silent(self, source: str, target: str) -> None:
        rule = self._find_rule(source, target)
        while rule is not None and rule.mode == "silence":
            await asyncio.sleep(0.02)
            rule = self._find_rule(source, target)

    async def _pump(self, reader, writer, source, target, direction) -> None:
        # TCP delivers nothing behind bytes that are missing.
        has_lost_bytes = False
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_while_silent(source, target)
            rule = self._find_rule(source, target)
            while rule is not None and rule.mode == "freeze":
                await asyncio.sleep(0.02)
                rule = self._find_rule(source, target)
            if rule is not None and rule.mode == "delay":
                await asyncio.sleep(rule.delay_s)
            has_lost_bytes |= _loses(rule, direction)
            if has_lost_bytes:
                continue
            writer.write(data)
            await writer.drain()
        await self._wait_while_silent(source, target)
        if not has_lost_bytes and writer.can_write_eof():
            writer.write_eof()


def _end(writer, mode: str) -> None:
    """End a connection at once, unless it has ended."""
    raw_socket = writer.get_extra_info("socket")
    if mode != "cut" and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


def _loses(rule: Rule | None, direction: str) -> bool:
    """Return whether bytes sent in a direction are lost."""
    if rule is None:
        return False
    return rule.mode == "drop" or (
        rule.mode == "half_open" and direction == "answer"
    )
