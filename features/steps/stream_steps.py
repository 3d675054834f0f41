"""Steps of streams.feature: streams with unexpected bytes."""

import asyncio
import itertools
import re

import behave

from bilberryturn.gateway import delivery
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import shared_state
from bilberryturn.platform import wire
from support import gateway_rig
from support import scripted

ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# By name: what a server sends behind event 3 in the same write.
SPOILED = {
    "an error's head": ERROR_HEAD,
    "an error's text": b"Internal Server Error\n\n",
    "an event that is too large": b"data: "
    + b"x" * (response_limits.MAX_EVENT_BYTES + 1),
    "event 3 again": scripted.event(3),
    "event 2 again": scripted.event(2),
    "an identifier that is an error's head": b"id: " + ERROR_HEAD,
    "an identifier of 5000 digits": b"id: %s1\ndata: x\n\n" % (b"0" * 5000),
    "half of an event": b"id: 4\nda",
    "an event without an identifier": b"data: x\n\n",
    "an event with an empty one": b"id:\ndata: x\n\n",
    "a comment": b": still there\n\n",
}
_ids = itertools.count(1)


@behave.given(
    "a gateway before a server that sends events 1 and 2, then in one write"
    " event 3 and {what}, and one that resumes"
)
def given_spoiled(context, what):
    context.spoiled = SPOILED[what]
    context.event_count = 6

    def spoil(peer, head, body, number):
        peer.start_stream(head)
        peer.chunk(scripted.event(1))
        peer.chunk(scripted.event(2))
        peer.chunk(scripted.event(3) + context.spoiled)
        return "close"

    _start(context, [spoil, _resume(context)])


def _resume(context):
    def resume(peer, head, body, number):
        after = int(scripted.header(head, "Last-Event-Id") or 0)
        peer.start_stream(head)
        for event_number in range(after + 1, context.event_count + 1):
            peer.chunk(scripted.event(event_number))
        peer.chunk(b"")

    return resume


def _start(context, scripts):
    """Start a gateway that sends a request to one server after another."""
    context.servers = [scripted.ScriptedServer(s) for s in scripts]
    for server in context.servers:
        context.closers.append(server.close)
    # The second one is in another failure domain, so it is chosen last.
    context.rig = gateway_rig.GatewayRig(
        [
            gateway_rig.make_server(
                f"s{n}", server.port, failure_domain="there" if n else "here"
            )
            for n, server in enumerate(context.servers)
        ]
    )
    context.closers.append(context.rig.close)


@behave.when("a caller requests the resumable stream of {count:d} events")
def when_requested(context, count):
    context.answer = gateway_rig.send_request(
        context.rig.port,
        gateway_rig.request_text("resumable", f"st{next(_ids)}"),
    )


@behave.then(
    "the caller has all {count:d} events once and in order, in a stream that is"
    " complete"
)
def then_whole(context, count):
    answer = context.answer
    numbers = [int(n) for n in re.findall(rb"(?m)^id: (\d+)", answer.body)]
    assert numbers == list(range(1, count + 1)), answer.body
    assert answer.status == 200 and answer.is_complete


@behave.then("the second server was asked to go on behind event {number}")
def then_behind(context, number):
    heads = [head for head, _ in context.servers[1].requests]
    assert len(heads) == 1, heads
    assert scripted.header(heads[0], "Last-Event-Id") == number, heads[0]


@behave.then(
    "the caller has the events that were sent to it, in a stream that is"
    " incomplete"
)
def then_prefix(context):
    sent = b"".join(scripted.event(n) for n in (1, 2, 3)) + context.spoiled
    assert context.answer.body == sent, context.answer.body
    assert not context.answer.is_complete


@behave.then("the second server was not asked")
def then_not_asked(context):
    assert not context.servers[1].requests


class _StalledCaller:
    """A caller that takes one chunk and waits for ever with the second."""

    def __init__(self):
        self.chunks = []

    def start_stream(self, status, headers):
        pass

    async def send_chunk(self, data):
        if self.chunks:
            await asyncio.Event().wait()
        self.chunks.append(data)


@behave.given("a caller that takes no more bytes after event 1")
def given_stalled(context):
    context.delivery = delivery.Delivery(
        _StalledCaller(), None, shared_state.UsageCounts(5.0)
    )


@behave.when(
    "events 2 and 3 are forwarded to it and the attempt is cancelled meanwhile"
)
def when_cancelled(context):
    head = wire.read_server_response(
        200, [(b"content-type", b"text/event-stream")]
    )

    async def run():
        await context.delivery.forward(head, scripted.event(1))
        try:
            async with asyncio.timeout(0.05):
                await context.delivery.forward(
                    head, scripted.event(2) + scripted.event(3)
                )
        except TimeoutError:
            return
        raise AssertionError("the caller took the events")

    asyncio.run(run())


@behave.then("the stream would be resumed behind event {number}")
def then_resumed_behind(context, number):
    assert context.delivery.last_event_id == number
