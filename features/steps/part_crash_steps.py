"""Steps of part_crashes.feature."""

import itertools
import time

import behave

from bilberryturn.routing import table
from bilberryturn.routing import types
from support import gateway_rig
from support import scripted

DEADLY = "dead"
ENGINE = types.Engine(16, 100_000, 3)
# Time between two requests; the crashes spread over some seconds.
PAUSE_S = 0.15
_ids = itertools.count(1)


def _prompt_headers(parts):
    text = ",".join(f"{part}:100" for part in parts)
    return (
        f"X-Bilberryturn-Prefix-Hash: {text}\r\n"
        f"X-Bilberryturn-Tokens: {100 * len(parts)},20\r\n"
    )


class _CrashingServers:
    """Servers that crash as they begin to answer the deadly part.

    Attributes:
        deadly_count: Requests with the deadly part that reached a server.
    """

    def __init__(self, context, count):
        self.deadly_count = 0
        self._starts = itertools.count(2)
        self._servers = {}
        for number in range(count):
            server = scripted.ScriptedServer(self._script(f"s{number}"))
            context.closers.append(server.close)
            self._servers[f"s{number}"] = gateway_rig.make_server(
                f"s{number}", server.port
            )
        engine_service = types.Service("app", 100, ENGINE, None)
        route = gateway_rig.make_route("stream")
        accounts = {
            table.key_hash(gateway_rig.KEY): types.ClientAccount("shop", None)
        }
        route_table = table.RouteTable(
            1, [route], [engine_service], types.Limits(), accounts
        )
        self.rig = gateway_rig.GatewayRig(self._servers.values(), route_table)
        context.closers.append(self.rig.close)

    def _script(self, name):
        def script(peer, head, body, number):
            parts = scripted.header(head, "X-Bilberryturn-Prefix-Hash")
            peer.start_stream(head)
            if DEADLY in parts:
                self.deadly_count += 1
                self.restart(name)
                peer.reset()
                return "close"
            peer.chunk(scripted.event(1))
            peer.chunk(b"")
            return None

        return script

    def restart(self, name):
        """Report a new lifetime of a server, as after a crash."""
        server = self._servers[name]._replace(started_ms=next(self._starts))
        self._servers[name] = server

        async def report():
            self.rig.shared.directory.report(server, time.monotonic())

        self.rig.call(report)


@behave.given(
    "a gateway before {count:d} servers that crash as they answer a part"
    " {place}"
)
def given_servers(context, count, place):
    context.servers = _CrashingServers(context, count)
    context.is_first = "beginning" in place


@behave.when(
    "{count:d} requests with it and 12 sound ones of the same account arrive in"
    " turn"
)
def when_requests(context, count):
    context.deadly_answers = []
    context.sound_answers = []
    for number in range(count):
        last = f"a{number}"
        deadly = ["f1", "f2", DEADLY, last]
        if context.is_first:
            deadly = [DEADLY, f"f{number}", last]
        context.deadly_answers.append(_send(context, deadly))
        sound = ["f1", "f2", f"b{number}"]
        context.sound_answers.append(_send(context, sound))
        time.sleep(PAUSE_S)


def _send(context, parts):
    data = gateway_rig.request_text(
        "stream", f"p{next(_ids)}", extra=_prompt_headers(parts)
    )
    return gateway_rig.send_request(context.servers.rig.port, data)


@behave.then("at most {limit:d} requests with the part have reached servers")
def then_few(context, limit):
    assert context.servers.deadly_count <= limit, context.servers.deadly_count


@behave.then("the refused ones are told that they have not run")
def then_refused(context):
    refused = [a for a in context.deadly_answers if a.status == 503]
    assert len(refused) + context.servers.deadly_count >= len(
        context.deadly_answers
    ), [a.status for a in context.deadly_answers]
    assert all(a.header("Retry-After") for a in refused)


@behave.then("all sound requests that share the other parts have their answer")
def then_sound(context):
    statuses = [(a.status, a.is_complete) for a in context.sound_answers]
    assert all(s == (200, True) for s in statuses), statuses
