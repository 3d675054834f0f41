"""Steps for the path of single requests."""

import json
import pathlib
import socket
import time

import behave
import openai

from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import engine
from support import gateway_rig

PROMPT = "Which mats need new borders?"


def make_body(route, stream):
    if route == "chat/completions":
        return caller.chat_body(PROMPT, 20, stream)
    if route == "embeddings":
        return {"input": PROMPT}
    return {
        "prompt": PROMPT,
        "max_tokens": 20,
        "ignore_eos": True,
        "stream": stream,
    }


def expected_text(body):
    return "".join(engine.answer_tokens(body))


@behave.when('the caller sends these requests with profile "{profile}"')
def step_requests(context, profile):
    context.caller.profile = profile
    context.answers = []
    for row in context.table:
        body = make_body(row["route"], row["stream"] == "yes")
        answer = context.caller.request(
            "POST", f"/v1/{row['route']}", json.dumps(body).encode()
        )
        context.answers.append((body, answer))


@behave.then("each answer is complete and equals the engine's own")
@behave.then("the answer is complete and equals the engine's own")
def step_answers_equal(context):
    assert context.answers
    for body, answer in context.answers:
        assert answer.complete, (answer.status, answer.body, answer.failure)
        if "input" in body:
            assert len(answer.json()["data"][0]["embedding"]) == 8
            continue
        assert answer.text == expected_text(body), answer.text


@behave.when(
    'the caller sends a chat request with model "{model}" and no profile'
)
def step_model_profile(context, model):
    context.caller.profile = ""
    body = caller.chat_body(PROMPT, 20, True, model)
    answer = context.caller.request(
        "POST", "/v1/chat/completions", json.dumps(body).encode()
    )
    context.answers = [(body, answer)]


@behave.then("these paths respond")
def step_paths(context):
    for row in context.table:
        answer = context.caller.request("GET", row["path"])
        assert answer.status == int(row["status"]), answer.body
        assert row["contains"].encode() in answer.body, answer.body


def invalid_request(context, case):
    key = context.key
    chat = "/v1/chat/completions"
    valid_body = json.dumps(caller.chat_body("hello")).encode()
    headers = {"X-Bilberryturn-Profile": "front-desk"}
    escaped = "".join(f"\\u{ord(c):04x}" for c in key)
    cases = {
        "no key": ("POST", chat, valid_body, headers, ""),
        "unknown key": ("POST", chat, valid_body, headers, "bt_unknown"),
        "unknown profile": (
            "POST", chat, valid_body, {"X-Bilberryturn-Profile": "nope"}, key,
        ),
        "no profile": ("POST", chat, valid_body, {}, key),
        "unknown model": (
            "POST",
            chat,
            json.dumps(caller.chat_body("hello", model="gpt")).encode(),
            headers,
            key,
        ),
        "bad JSON": ("POST", chat, b"{", headers, key),
        "JSON list": ("POST", chat, b"[1]", headers, key),
        "no messages": ("POST", chat, b"{}", headers, key),
        "bad max_tokens": (
            "POST",
            chat,
            json.dumps(caller.chat_body("hello", -1)).encode(),
            headers,
            key,
        ),
        "body too large": (
            "POST", chat, b" " * (4 * 2**20 + 500), headers, key,
        ),
        "key in body": (
            "POST",
            chat,
            json.dumps(caller.chat_body(f"my key is {key}")).encode(),
            headers,
            key,
        ),
        "key escaped": (
            "POST",
            chat,
            valid_body.replace(b"hello", escaped.encode()),
            headers,
            key,
        ),
        "key in query": (
            "GET", f"/services/catalogue/x?k={key}", None, {}, key,
        ),
        "profile forbidden": (
            "POST",
            chat,
            valid_body,
            {"X-Bilberryturn-Profile": "history-digest"},
            context.cluster.grant("workshop-gijon"),
        ),
        "unknown route": ("GET", "/v2/nothing", None, {}, key),
        "wrong method": ("GET", chat, None, {}, key),
        "unknown service": ("GET", "/services/nothing/x", None, {}, key),
        "no idempotency key": (
            "POST", "/services/booking/collections", b"{}", {}, key,
        ),
        "path traversal": (
            "GET", "/services/catalogue/search/%2e%2e/x", None, {}, key,
        ),
    }  # fmt: skip
    return cases[case]


@behave.when("the caller sends an invalid request: {case}")
def step_invalid(context, case):
    method, path, body, headers, key = invalid_request(context, case)
    sender = context.cluster.caller(key=key)
    context.answer = sender.request(method, path, body, headers)


@behave.then('the error is {status:d} "{code}" and reports "{ran}"')
def step_error(context, status, code, ran):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.code == code, answer.error
    assert answer.ran == ran, answer.error
    assert answer.headers["x-bilberryturn-ran"] == ran
    assert answer.error["remedy"]


@behave.then("no backend server has received a request")
def step_nothing_received(context):
    for standin in context.cluster.engines.values():
        assert not standin.received
    for standin in context.cluster.services.values():
        assert not standin.received


def send_raw(context, tokens):
    """Send a streamed request over a plain socket."""
    host, port = context.caller.address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)))
    body = json.dumps(caller.chat_body(PROMPT, tokens)).encode()
    connection.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
        b"Content-Type: application/json\r\n"
        b"X-Bilberryturn-Profile: quote-draft\r\n"
        + f"Authorization: Bearer {context.key}\r\n".encode()
        + f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    return connection


@behave.when(
    "a caller sends a request with an unknown key and a body in chunks"
)
def step_refused_chunks(context):
    host, port = context.cluster.nodes[0].caller_address.split(":")
    connection = gateway_rig.connect(int(port), host)
    context.closers.append(connection.close)
    connection.sendall(
        b"POST /services/booking/book HTTP/1.1\r\nHost: router\r\n"
        b"Authorization: Bearer unknown\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\n{}\r\n0\r\n\r\n"
    )
    context.answer = gateway_rig.read_answer(connection)
    context.following = gateway_rig.read_answer(connection, context.answer.rest)


@behave.then("the caller gets status {status:d} and nothing behind it")
def step_one_answer(context, status):
    assert context.answer.status == status, context.answer.head
    assert context.answer.header("Connection") == "close", context.answer.head
    assert not context.following.head, context.following.head


@behave.when(
    "a caller disconnects in the middle of a stream of {tokens:d} tokens"
)
def step_disconnect(context, tokens):
    connection = send_raw(context, tokens)
    received = b""
    while received.count(b"data:") < 5:
        received += connection.recv(4096)
    connection.close()


@behave.then("the engines stop generating")
def step_engines_stop(context):
    def generated():
        return sum(e.generated_tokens for e in context.cluster.engines.values())

    def has_stopped():
        before = generated()
        time.sleep(0.5)
        return generated() == before

    cluster_module.wait_for(has_stopped, "the engines to stop generating", 20)
    assert generated() < 400, generated()


def memory_bytes(node):
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


@behave.when(
    "a caller reads nothing of a stream of {tokens:d} tokens for {seconds:d}"
    " seconds"
)
def step_no_reading(context, tokens, seconds):
    for standin in context.cluster.engines.values():
        standin.options = standin.options._replace(token_interval_s=0.0)
    node = context.cluster.nodes[0]
    context.memory_before = memory_bytes(node)
    connection = send_raw(context, tokens)
    context.closers.append(connection.close)
    time.sleep(seconds)
    context.memory_after = memory_bytes(node)


@behave.then(
    "the memory of the node has not grown by more than {megabytes:d} MB"
)
def step_memory(context, megabytes):
    grown = context.memory_after - context.memory_before
    assert grown <= megabytes * 1024 * 1024, grown


def openai_client(context, key):
    return openai.OpenAI(
        api_key=key,
        base_url=f"http://{context.caller.address}/v1",
        max_retries=0,
    )


@behave.when(
    "an OpenAI client sends chat and embedding requests, streamed and not"
)
def step_openai(context):
    client = openai_client(context, context.key)
    context.body = caller.chat_body(PROMPT, 12)
    options = {
        "model": "profile:front-desk",
        "messages": context.body["messages"],
        "max_tokens": 12,
        "extra_body": {"ignore_eos": True},
    }
    stream = client.chat.completions.create(stream=True, **options)
    context.streamed = "".join(
        chunk.choices[0].delta.content or "" for chunk in stream
    )
    whole = client.chat.completions.create(**options)
    context.whole = whole.choices[0].message.content
    context.embedding = client.embeddings.create(
        model="profile:front-desk", input=PROMPT
    )
    context.models = [model.id for model in client.models.list()]


@behave.then("it gets the engine's own answers")
def step_openai_answers(context):
    expected = expected_text(context.body)
    assert context.streamed == expected, context.streamed
    assert context.whole == expected, context.whole
    assert len(context.embedding.data[0].embedding) == 8
    assert "profile:front-desk" in context.models


@behave.then("failures raise the exceptions of the client library")
def step_openai_errors(context):
    for key, model, error_type in (
        ("bt_none", "profile:front-desk", openai.AuthenticationError),
        (context.key, "profile:none", openai.NotFoundError),
    ):
        try:
            openai_client(context, key).chat.completions.create(
                model=model, messages=context.body["messages"]
            )
        except error_type as error:
            assert error.body["remedy"]
            continue
        raise AssertionError("no exception raised")
