"""Steps that send hostile input to every inbound surface."""

import json
import random
import socket
import typing

from aiohttp import web
import behave
import hypothesis
from hypothesis import strategies as st
import msgspec
import zmq

from bilberryturn import checks
from bilberryturn import conf
from bilberryturn import declarations
from bilberryturn import messages
from bilberryturn import scheduling
from bilberryturn.entry import bodies
from bilberryturn.entry import exceptions
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import ports
from bilberryturn_standins import server
from support import traffic

kinds = messages.kinds

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = st.dictionaries(
    st.sampled_from(
        ["messages", "model", "stream", "max_tokens", "stream_options",
         "prompt", "input", "max_completion_tokens", "n"]
    ),
    JSON_VALUES
    | st.lists(
        st.dictionaries(
            st.sampled_from(["role", "content", "x"]), JSON_VALUES
        ),
        max_size=3,
    ),
)  # fmt: skip
INI_LINES = st.lists(
    st.sampled_from(
        ["[node]", "[timing]", "[profile a]", "[key x]", "[service]",
         "tier = 1", "tier = x", "name = n", "lease_ttl_s = nan", "= 3",
         "models = a, b", "regions = a", "[client_account z]", "weight = -1",
         "weight = 1e400", "profiles = q", "[[", "]", "%(a)s = 1", "\0 = 1"]
    )
    | st.text(max_size=30),
    max_size=15,
).map("\n".join)  # fmt: skip


def fuzz_body(value):
    for route in ("chat/completions", "completions", "embeddings"):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        try:
            parsed = bodies.parse_model_request(route, value)
        except exceptions.RequestError as error:
            assert error.remedy
            continue
        parsed.prefix_blocks()
        bodies.canonical(parsed.fields)
        bodies.check_key_absent("bt_key", value)


def fuzz_frame(value):
    try:
        kinds.decode(value)
    except msgspec.DecodeError:
        pass


def fuzz_settings(text):
    settings, faults = conf.check_text(text, "x.ini")
    assert (settings is None) == bool(faults)
    assert checks.format_messages(faults) or not faults


def fuzz_declarations(text):
    sections, faults = checks.parse_ini(text, "x.ini")
    if not faults:
        declarations.check_sections(sections)
        declarations.Declarations(1, sections)


def fuzz_scheduler(numbers):
    queue = scheduling.PoolQueue(
        scheduling.PoolOptions(max_waiting=5), scheduling.TokenCounters()
    )
    now_s = 0.0
    for index, number in enumerate(numbers):
        now_s += abs(number) % 3 if number == number else 0
        queue.set_servers(
            [scheduling.ServerSpec("s", "a", index % 3 + 1)], now_s
        )
        request = scheduling.WaitingRequest(
            f"r{index % 7}", index % 4 - 1, f"a{index % 3}", 0.001,
            index, -5, now_s, now_s + number, now_s, "odd",
        )  # fmt: skip
        queue.submit(request, now_s)
        queue.progress("r1", -index, now_s)
        queue.finish(f"r{index % 5}", "odd", index, now_s)
        queue.tick(now_s)
        assert queue.waiting_count <= 5


SURFACES = {
    "a model body": (fuzz_body, FIELDS | st.binary(max_size=200)),
    "a message frame": (
        fuzz_frame,
        st.binary(max_size=200) | JSON_VALUES.map(msgspec.msgpack.encode),
    ),
    "a settings file": (fuzz_settings, INI_LINES),
    "a declaration": (fuzz_declarations, INI_LINES),
    "the scheduler": (
        fuzz_scheduler,
        st.lists(st.floats(-1e9, 1e9), max_size=20),
    ),
}


@behave.then("{surface} gives a typed error or a result for {count:d} inputs")
def step_surface(context, surface, count):
    function, strategy = SURFACES[surface]
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(strategy)(function))()


@behave.when("{count:d} hostile HTTP requests are sent (seed {seed:d})")
def step_hostile_http(context, count, seed):
    numbers = random.Random(seed)
    host, port = context.caller.address.rsplit(":", 1)
    starts = [
        b"POST /v1/chat/completions HTTP/1.1\r\n",
        b"GET /services/catalogue/\xff HTTP/1.1\r\n",
        b"GET / HTTP/9.9\r\n",
        b"\0\0\0\0",
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n",
        b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        b"POST /services/booking/x HTTP/1.1\r\nContent-Length: -5\r\n",
        b"DELETE /services/../../x HTTP/1.1\r\n",
    ]
    key = f"Authorization: Bearer {context.key}\r\n".encode()
    for _ in range(count):
        data = numbers.choice(starts)
        if numbers.random() < 0.5:
            data += b"X-Bilberryturn-Profile: front-desk\r\n" + key
        data += numbers.randbytes(numbers.randrange(40)) + b"\r\n\r\n"
        data += numbers.randbytes(numbers.randrange(200))
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.settimeout(0.05)
            try:
                connection.sendall(data)
                connection.recv(1000)
            except OSError:
                pass


def hostile_value(kind, numbers):
    """Return a value that has the type of a field and little sense."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is tuple:
        return tuple(
            hostile_value(arguments[0], numbers)
            for _ in range(numbers.randrange(3))
        )
    if origin is dict:
        return {
            f"k{n}": hostile_value(arguments[1], numbers)
            for n in range(numbers.randrange(3))
        }
    if kind is str:
        return numbers.choice(
            ["", "x", "santander/tatami-small", "127.0.0.1:1", "\0", "ü" * 50]
        )
    if kind is bool:
        return numbers.random() < 0.5
    if kind is int:
        return numbers.choice([-1, 0, 1, 2**62, -(2**62)])
    if kind is float:
        return numbers.choice([-1.0, 0.0, 1e300, -1e300, 0.5])
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return hostile_message(kind, numbers)
    return numbers.choice([None, 1, "x", {"a": 1}])


def hostile_message(kind, numbers):
    hints = typing.get_type_hints(kind)
    return kind(
        *(
            hostile_value(hints[name], numbers)
            for name in kind.__struct_fields__
        )
    )


@behave.when("{count:d} hostile messages are sent to a node (seed {seed:d})")
def step_hostile_messages(context, count, seed):
    numbers = random.Random(seed)
    folder = context.cluster.folder
    node = context.cluster.nodes[0]
    every = typing.get_args(kinds.AnyMessage)
    with zmq.Context() as zmq_context:
        push = zmq_context.socket(zmq.PUSH)
        push.setsockopt(zmq.LINGER, 2000)
        public = (folder / "control.public").read_bytes()
        push.curve_serverkey = push.curve_publickey = public
        push.curve_secretkey = (folder / "control.secret").read_bytes()
        push.connect(f"tcp://{node.control_address}")
        for _ in range(count):
            if numbers.random() < 0.2:
                push.send(numbers.randbytes(numbers.randrange(100)))
                continue
            # A peer with the key is trusted with declarations.
            kind = numbers.choice(every)
            if kind in (kinds.ConfigState, kinds.ConfigPush):
                continue
            push.send(kinds.encode(hostile_message(kind, numbers)))
        push.close()


@behave.then("the node still answers its caller")
def step_still_answers(context):
    node = context.cluster.nodes[0]

    def is_correct():
        return traffic.send_chat(
            context.cluster, node, context.key, "front-desk", "hi", 5
        ).is_correct

    cluster_module.wait_for(is_correct, "an answer", 30)
    assert node.is_running


@behave.then("the nodes still know each other")
def step_know(context):
    context.cluster.wait_ready()


def event(data):
    return b"data: " + data + b"\n\n"


NONSENSE = {
    "events without JSON": (200, event(b"{nonsense") * 3),
    "events of numbers": (200, event(b"17") * 3 + event(b"[DONE]")),
    "wrong types": (
        200,
        event(b'{"choices": 5}')
        + event(b'{"choices": [7], "usage": "x"}')
        + event(b"[DONE]"),
    ),
    "binary": (200, bytes(range(256)) * 20),
    "an HTML page": (200, b"<html><body>no</body></html>"),
    "no end": (200, event(b'{"choices":[{"delta":{"content":"a"}}]}')),
    "an empty body": (200, b""),
    "status 500": (500, b"{}"),
    "a huge event": (200, event(b'"' + b"x" * 5_000_000 + b'"')),
}


class NonsenseServer(server.StandinServer):
    """Answers every request with the same bytes."""

    status, content = 200, b""

    def routes(self):
        return [web.route("*", "/{path:.*}", self._answer)]

    async def _answer(self, request):
        await request.read()
        return web.Response(
            status=self.status,
            body=self.content,
            headers={"Content-Type": "text/event-stream"},
        )


@behave.when("the engines are replaced by one that answers with {nonsense}")
def step_nonsense(context, nonsense):
    cluster = context.cluster
    for name in cluster.engines:
        cluster.platform.set_vm(name, state="stopped")
    standin = NonsenseServer(cluster.loop_thread, port=ports.allocate())
    standin.status, standin.content = NONSENSE[nonsense]
    standin.start()
    context.closers.append(standin.stop)
    cluster.platform.set_vm(
        "nonsense",
        failure_domain=cluster.domains[0].name,
        kind="engine",
        address=standin.address,
        state="running",
        serves=["tatami-small"],
        slots=4,
    )
    node = cluster.nodes[0]
    cluster_module.wait_for(
        lambda: any(
            vm["name"] == "nonsense"
            for vm in node.admin().call("GET", "/vms")["vms"]
        ),
        "the server to be known",
    )


@behave.then("the caller gets a typed error and the node goes on")
def step_typed(context):
    context.caller.profile = "front-desk"
    for stream in (True, False):
        answer = context.caller.chat("hello", 6, stream)
        if not stream and answer.status == 200:
            # A whole answer is passed on as the engine gave it.
            continue
        assert answer.code in ("backend_failed", "no_server", "overloaded"), (
            stream,
            answer.status,
            answer.error,
            answer.text,
        )
    cluster = context.cluster
    cluster.platform.set_vm("nonsense", state="stopped")
    for name in cluster.engines:
        cluster.platform.set_vm(name, state="running")
    step_still_answers(context)
