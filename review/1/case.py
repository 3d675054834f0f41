"""A stream with CRLF line ends is followed by bytes that are no events."""

import asyncio
import pathlib
import signal

from standins import clients
from standins import deployment
from standins import runners

ROUTE_TIMEOUT_S = 6.0
# The rule looks at the requests half a second after their route's timeout.
ANSWER_LIMIT_S = ROUTE_TIMEOUT_S + 0.5
CLIENT_TIMEOUT_S = 12.0
EVENTS = 12
LOOKUPS_PER_NODE = 20
GRACE_S = 8.0
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class StreamRunner(runners.Runner):
    """Streams events whose lines end with CRLF.

    Attributes:
        is_faulty: Whether it writes an error's head into its next stream.
    """

    is_faulty = False

    async def handle(self, request, attempt_id, reader, writer) -> bool:
        """Stream all events, which are ready at once."""
        self.attempt_ids.append(attempt_id)
        events = b"".join(
            b"id: %d\r\ndata: piece-%d\r\n\r\n" % (n, n)
            for n in range(1, EVENTS + 1)
        )
        is_faulty, self.is_faulty = self.is_faulty, False
        if is_faulty:
            events += ERROR_HEAD
            self.record.add(self.server_id, "writes an error into the stream")
        writer.write(
            self.head(
                attempt_id,
                "200 OK",
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n",
            )
            + b"%x\r\n%s\r\n" % (len(events), events)
        )
        if is_faulty:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def case(system: deployment.Deployment) -> bool:
    """Return whether the node of the faulty stream goes on answering."""
    await system.start_platform_and_config(
        [
            {
                "name": "chat",
                "prefix": "/chat/",
                "type": "stream",
                "service": "llm",
                "timeoutMs": CLIENT_TIMEOUT_S * 1000,
                "targetLatencyMs": 500,
                "itlTargetMs": 150,
            },
            {
                "name": "lookup",
                "prefix": "/lookup/",
                "type": "safe",
                "service": "desk",
                "timeoutMs": ROUTE_TIMEOUT_S * 1000,
                "targetLatencyMs": 400,
                "attempts": 2,
            },
        ],
        [{"name": "llm"}, {"name": "desk"}],
    )
    engine = StreamRunner(
        "i-llm-1", "llm", "cebu-a", system.platform, system.record
    )
    await engine.start(system.ip(100))
    for number in (1, 2):
        runner = runners.Runner(
            f"i-desk-{number}", "desk", "cebu-a", system.platform, system.record
        )
        await runner.start(system.ip(100 + number))
    await system.start_nodes(3)

    # Each node serves a sound stream and lookups first.
    for node in system.nodes:
        chat = await clients.send(node.front, _chat(), system.record)
        lookup = await clients.send(node.front, _lookup(), system.record)
        if chat.status != 200 or not chat.is_complete or lookup.status != 200:
            raise deployment.CannotRunError("a sound request failed")
    # The nodes are in touch.
    await asyncio.sleep(5.0)
    engine.is_faulty = deployment.has_trouble()
    stream = asyncio.create_task(
        clients.send(system.nodes[0].front, _chat(), system.record)
    )
    await asyncio.sleep(1.0)
    lookups = [
        asyncio.create_task(clients.send(node.front, _lookup(), system.record))
        for node in system.nodes
        for _ in range(LOOKUPS_PER_NODE)
    ]
    answers = await asyncio.gather(stream, *lookups)
    await _record_states(system)
    return _has_held(system, answers[1:])


def _has_held(system, answers: list[clients.Answer]) -> bool:
    """Check that most requests unanswered in time are answered soon after."""
    overdue = [
        a for a in answers if not a.status or a.duration_s > ROUTE_TIMEOUT_S
    ]
    unanswered = [
        a for a in overdue if not a.status or a.duration_s > ANSWER_LIMIT_S
    ]
    system.record.add(
        "check",
        f"{len(answers)} lookups, {len(overdue)} unanswered at the route's"
        f" {ROUTE_TIMEOUT_S:g} s, {len(unanswered)} half a second later",
    )
    return 2 * len(unanswered) <= len(overdue)


async def _record_states(system) -> None:
    """Record whether the nodes still answer and stop, which isn't judged."""
    for node in system.nodes:
        is_ready = await node.is_ready()
        system.record.add(
            "platform", f"{node.name}: ready {is_ready}, sends SIGTERM"
        )
        node.send_signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    for node in system.nodes:
        has_ended = node.process.poll() is not None
        system.record.add("platform", f"{node.name}: ended {has_ended}")


def _chat() -> clients.Request:
    return clients.Request(
        "POST",
        "/chat/a",
        deployment.HOST,
        deployment.KEY,
        CLIENT_TIMEOUT_S,
        b"{}",
    )


def _lookup() -> clients.Request:
    return clients.Request(
        "GET",
        "/lookup/a",
        deployment.HOST,
        deployment.KEY,
        CLIENT_TIMEOUT_S,
    )


if __name__ == "__main__":
    deployment.run_as_script(case, pathlib.Path(__file__).parent)
