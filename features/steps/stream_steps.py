"""Steps of streams.feature: streams with unexpected bytes."""

import asyncio
import itertools
import random
import re
from unittest import mock

import behave

from bilberryturn import server_sent_events
from bilberryturn.entry import attempts
from bilberryturn.entry import completions
from bilberryturn.gateway import delivery
from bilberryturn.gateway import response_limits
from bilberryturn.gateway import shared_state
from bilberryturn.platform import wire
from support import counting
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
    "half of an event with an error's head": b"id: 4\ndata: to" + ERROR_HEAD,
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
    # Comments stand between the events.
    events = re.findall(
        rb"id: (\d+)[\r\n]+data: ([^\r\n]+)[\r\n]+", answer.body
    )
    expected = [(b"%d" % n, b"token-%d" % n) for n in range(1, count + 1)]
    assert events == expected, answer.body
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


# Line ends

LINE_ENDS = {"LF": (b"\n",), "CRLF": (b"\r\n",), "CR": (b"\r",)}
LINE_ENDS["mixed"] = (b"\n", b"\r\n", b"\r")


def _event(number, rng, line_ends):
    """Return an event each of whose lines has one of the line ends."""
    data = b""
    for line in (b"id: %d" % number, b"data: token-%d" % number, b""):
        # An LF behind a CR would be the rest of its line end.
        ends = [
            e for e in line_ends if line or not (data + e).endswith(b"\r\n")
        ]
        data += line + rng.choice(ends or line_ends)
    return data


def _events(count, line_ends):
    rng = random.Random(count)
    return [_event(n, rng, line_ends) for n in range(1, count + 1)]


@behave.given(
    "a gateway before a server that sends {count:d} events with {line_ends:w}"
    " line ends and an error's head in one write"
)
def given_hanging(context, count, line_ends):
    context.events = b"".join(_events(count, LINE_ENDS[line_ends]))

    def spoil(peer, head, body, number):
        if head.startswith("GET "):
            peer.answer(head, b"answer")
            return None
        peer.start_stream(head)
        peer.chunk(context.events + ERROR_HEAD)
        return "close"

    _start(context, [spoil])


@behave.when(
    "a caller requests the resumable stream, and then another one sends a safe"
    " request"
)
def when_both(context):
    when_requested(context, 0)
    context.other_answer = gateway_rig.send_request(
        context.rig.port, gateway_rig.request_text("safe", f"st{next(_ids)}")
    )


@behave.then(
    "the first caller has the {count:d} events, in a stream that is incomplete"
)
def then_events(context, count):
    assert context.answer.body == context.events, context.answer.body
    assert not context.answer.is_complete


@behave.then("the other caller has its answer")
def then_other(context):
    assert context.other_answer.body == b"answer", context.other_answer.head


@behave.given(
    "a gateway before a server that streams {count:d} events with mixed line"
    " ends"
)
def given_mixed(context, count):
    def stream(peer, head, body, number):
        peer.start_stream(head)
        for event in _events(count, LINE_ENDS["mixed"]):
            peer.chunk(event)
        peer.chunk(b"")

    _start(context, [stream])


MANY = {
    "events with LF line ends": lambda n: _events(n // 24 + 1, (b"\n",)),
    "events with CRLF line ends": lambda n: _events(n // 26 + 1, (b"\r\n",)),
    "events with CR line ends": lambda n: _events(n // 24 + 1, (b"\r",)),
    "events whose line ends are mixed": lambda n: _events(
        n // 25 + 1, LINE_ENDS["mixed"]
    ),
    "blank lines": lambda n: [b"\r\n\n"] * (n // 3),
    "one event of many lines": lambda n: [
        *[b"data: x\r\n"] * (n // 9),
        b"\r\n",
    ],
}


@behave.then(
    "each line of {what} is judged once and each byte read at most twice, from"
    " 1 KB to 1 MB and however it is cut"
)
def then_linear(context, what):
    for size_bytes in (1_000, 10_000, 100_000, 1_000_000):
        data = b"".join(MANY[what](size_bytes))
        for cut_bytes in (1, 7, 1000, 65536):
            # The smallest pieces take longest and show as much of less.
            if size_bytes <= 20_000 * cut_bytes:
                _check_linear(data, cut_bytes)


def _check_linear(data, cut_bytes):
    counting.CountingBuffer.handled_bytes = 0
    judged = []

    def judge(name):
        judged.append(name)
        return is_field_name(name)

    is_field_name = server_sent_events.is_field_name
    splitter = server_sent_events.EventSplitter(2_000_000)
    module = "bilberryturn.server_sent_events"
    with (
        mock.patch(f"{module}.bytearray", counting.CountingBuffer, create=True),
        mock.patch(f"{module}.is_field_name", judge),
    ):
        splitter.begin_attempt()
        received = [
            event.data
            for start in range(0, len(data), cut_bytes)
            for event in splitter.feed(data[start : start + cut_bytes])
        ]
    assert b"".join(received) + splitter.partial == data
    lines = [line for line in data.splitlines() if line]
    assert len(judged) == len(lines), (len(judged), len(lines))
    assert counting.CountingBuffer.handled_bytes <= 2 * len(data)


@behave.then(
    "{count:d} events with {line_ends:w} line ends, cut anywhere, are each"
    " yielded with their last byte and are unchanged together"
)
def then_byte_by_byte(context, count, line_ends):
    events = _events(count, LINE_ENDS[line_ends])
    splitter = server_sent_events.EventSplitter(1_000_000)
    sent = b""
    received = []
    for event in events:
        for position in range(len(event)):
            sent += event[position : position + 1]
            received += splitter.feed(event[position : position + 1])
            assert splitter.partial == sent[sum(map(_size, received)) :]
        # The LF behind a CR at the end of an event comes by itself.
        rest = event[sum(map(_size, received)) :]
        assert not rest
    ids = [e.event_id for e in received if e.event_id is not None]
    assert ids == [str(n) for n in range(1, count + 1)], ids
    assert b"".join(e.data for e in received) == b"".join(events)


def _size(event):
    return len(event.data)


# The entry for models


class _EngineStream:
    """Stands for the run of a request, whose engine sends some chunks."""

    def __init__(self, chunks):
        self._chunks = chunks

    def chunks(self, call):
        return iter(self._chunks)


def _decode(chunks):
    run = _EngineStream(chunks)
    return list(completions.ModelRun._decode_events(run, None))


@behave.then(
    "an engine's {count:d} events with {line_ends:w} line ends, cut anywhere,"
    " are decoded one by one"
)
def then_decoded(context, count, line_ends):
    data = b"".join(_events(count, LINE_ENDS[line_ends]))
    for cut_bytes in (1, 2, 3, 50, len(data)):
        chunks = [
            data[start : start + cut_bytes]
            for start in range(0, len(data), cut_bytes)
        ]
        found = [(event.id, event.data) for event in _decode(chunks)]
        expected = [(str(n), f"token-{n}") for n in range(1, count + 1)]
        assert found == expected, (cut_bytes, found)


@behave.then("an engine's event of more than 1 MB fails the attempt")
def then_too_large(context):
    chunks = itertools.repeat(b"data: x\n" * 1000, 1000)
    try:
        _decode(chunks)
    except attempts.AttemptFailedError:
        return
    raise AssertionError("the event was taken")
