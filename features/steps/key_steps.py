"""Steps on keys and client accounts."""

import concurrent.futures
import json
import random
import threading
import time

import behave

from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from support import faults
from support import traffic

REVOCATION_LIMIT_S = 7.0


@behave.when(
    "the caller sends requests of every kind, with failures among them"
)
def step_every_kind(context):
    cluster = context.cluster
    first = next(iter(cluster.engines.values()))
    sender = cluster.caller(key=context.key, profile="front-desk")
    first.cut_after_tokens = 3
    sender.chat("a cut stream", 12)
    for stream in (True, False):
        sender.chat("plain", 8, stream)
    embedding = json.dumps({"input": "mat"}).encode()
    sender.request("POST", "/v1/embeddings", embedding)
    sender.call_service("catalogue", "search?mat=1", method="GET")
    sender.call_service("booking", "visits", idempotency_key="visit-1")
    for body in (b"{", context.key.encode(), b"{}"):
        sender.request("POST", "/v1/chat/completions", body)
    sender.request("GET", f"/services/catalogue/{context.key}")
    sender.chat("poison-pill", 4)
    cluster_module.wait_for(
        lambda: any(k.startswith("usage/batch") for k in cluster.platform.rows),
        "usage in the table",
    )


@behave.then(
    "no backend server, log, metric, table row or object holds the key"
)
def step_key_absent(context):
    cluster, key = context.cluster, context.key.encode()
    places = {
        "rows": json.dumps(list(cluster.platform.rows.items())).encode(),
        "objects": b"".join(cluster.platform.objects.values()),
    }
    standins = {**cluster.engines, **cluster.services}
    for name, standin in standins.items():
        places[name] = b"\n".join(standin.received)
        assert standin.received, name
    for node in cluster.nodes:
        places[f"log {node.name}"] = node.log_text().encode()
        metrics = cluster.caller(node).request("GET", "/metrics")
        places[f"metrics {node.name}"] = metrics.body
    places_with_key = [name for name, text in places.items() if key in text]
    assert not places_with_key, places_with_key
    empty = [name for name, text in places.items() if not text]
    assert empty in ([], ["objects"]), empty


@behave.when('two accounts call the service "{service}", one naming the other')
def step_two_accounts(context, service):
    cluster = context.cluster
    other = cluster.grant("head-office")
    forged_headers = {
        "X-Client-Account": "head-office",
        "X-Request-Id": "forged",
    }
    answers = [
        context.caller.request(
            "GET", f"/services/{service}/own", None, forged_headers
        ),
        cluster.caller(key=other).request("GET", f"/services/{service}/other"),
    ]
    assert [a.status for a in answers] == [200, 200], answers


@behave.then("the service has seen each call under the account of its key")
def step_accounts_seen(context):
    received = context.cluster.services["catalogue-1"].received
    accounts = {}
    for raw in received:
        lines = raw.decode().split("\n")
        names = [
            line.partition(": ")[2]
            for line in lines
            if line.lower().startswith("x-client-account: ")
        ]
        assert len(names) == 1, lines
        assert "forged" not in raw.decode()
        accounts[lines[0]] = names[0]
    assert accounts == {"/own": "workshop-laredo", "/other": "head-office"}


@behave.when(
    "callers stream {tokens:d} tokens through every node and keep"
    " idle connections"
)
def step_stream_everywhere(context, tokens):
    cluster = context.cluster
    context.streams, context.open_connections, context.ended_s = {}, {}, {}
    started = threading.Barrier(len(cluster.nodes) + 1)

    def stream(node):
        def on_token(answer):
            if len(answer.token_times_s) == 3:
                started.wait(30)

        sender = cluster.caller(node, context.key, "quote-draft")
        context.streams[node.name] = sender.chat(
            "a long quote", tokens, on_token=on_token
        )
        context.ended_s[node.name] = time.monotonic()

    context.threads = []
    for node in cluster.nodes:
        kept = cluster.caller(node, context.key, "front-desk")
        connection = kept.connect()
        body = json.dumps(caller.chat_body("hello", 2, False)).encode()
        answer = kept.request(
            "POST", "/v1/chat/completions", body, connection=connection
        )
        assert answer.status == 200, answer.body
        context.open_connections[node.name] = (kept, connection)
        thread = threading.Thread(target=stream, args=(node,), daemon=True)
        thread.start()
        context.threads.append(thread)
    started.wait(30)


@behave.when('the key is withdrawn through node "{name}"')
def step_withdraw(context, name):
    context.withdrawn_s = time.monotonic()
    node = context.cluster.node(name)
    answer = node.admin().call(
        "DELETE", f"/keys/{context.key}", query={"wait_s": 30}
    )
    assert not answer["pending_domains"], answer


@behave.then('within {seconds:d} seconds every stream ends with "{code}"')
def step_streams_end(context, seconds, code):
    for thread in context.threads:
        thread.join(60)
    for name, answer in context.streams.items():
        assert answer.code == code, (name, answer.error, answer.failure)
        assert answer.ran == "may have run", answer.error
        assert not answer.complete
        after_s = context.ended_s[name] - context.withdrawn_s
        assert after_s <= seconds, (name, after_s)
    assert len(context.streams) == len(context.cluster.nodes)


@behave.then("every node refuses the key on new and on open connections")
def step_key_refused(context):
    body = json.dumps(caller.chat_body("hello", 2, False)).encode()
    for node in context.cluster.nodes:
        kept, connection = context.open_connections[node.name]
        answers = [
            kept.request(
                "POST", "/v1/chat/completions", body, connection=connection
            ),
            kept.request("POST", "/v1/chat/completions", body),
        ]
        for answer in answers:
            assert answer.code == "key_not_valid", (node.name, answer.body)
            assert answer.ran == "not run"
        connection.close()


@behave.when(
    "{count:d} keys are granted and every second one withdrawn through two"
    " nodes"
)
def step_race(context, count):
    rng = random.Random(7)
    nodes = [context.cluster.nodes[0], context.cluster.nodes[-1]]
    rng.shuffle(nodes)

    def grant(index):
        admin = nodes[index % 2].admin()
        body = {"client_account": "head-office", "wait_s": 30}
        key = admin.call("POST", "/keys", body)["key"]
        if index % 4 < 2:
            return key, True
        other = nodes[(index + 1) % 2].admin()
        other.call("DELETE", f"/keys/{key}", query={"wait_s": 30})
        return key, False

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        context.granted_keys = list(pool.map(grant, range(count)))


@behave.then("valid keys work and withdrawn keys are refused on every node")
def step_race_result(context):
    for node in context.cluster.nodes:
        for key, is_kept in context.granted_keys:
            answer = context.cluster.caller(node, key).request(
                "GET", "/v1/models"
            )
            expected = 200 if is_kept else 401
            assert answer.status == expected, (node.name, is_kept, answer.body)


@behave.when('domain "{domain}" is cut from {what}')
def step_cut(context, domain, what):
    context.cluster.proxy.set_rules(
        faults.cut_rules(context.cluster, domain, what)
    )


@behave.when("all cuts are mended")
def step_remove_cuts(context):
    context.cluster.proxy.set_rules([])


@behave.when("the platform's {interface} is down")
def step_platform_down(context, interface):
    context.cluster.platform.set_fault(interface, "down")


@behave.when("the platform's {interface} is up again")
def step_platform_up(context, interface):
    context.cluster.platform.set_fault(interface, "none")


def send_front_desk_chat(context, name, prompt="hello"):
    node = context.cluster.node(name)
    return traffic.send_chat(
        context.cluster, node, context.key, "front-desk", prompt, 5
    )


@behave.then('node "{name}" answers its caller at first')
@behave.then('node "{name}" answers its caller')
def step_answers(context, name):
    outcome = send_front_desk_chat(context, name)
    assert outcome.is_correct, traffic.describe_incorrect([outcome])


@behave.then('node "{name}" answers its caller again')
def step_answers_again(context, name):
    cluster_module.wait_for(
        lambda: send_front_desk_chat(context, name).is_correct,
        f"{name} to answer",
        40,
    )


@behave.then('after the limit node "{name}" answers with error isolated')
def step_isolated(context, name):
    cluster_module.wait_for(
        lambda: send_front_desk_chat(context, name).answer.code == "isolated",
        f"{name} to refuse keys",
        40,
    )
    assert send_front_desk_chat(context, name).answer.ran == "not run"


@behave.then('after the limit node "{name}" answers with an answer')
def step_not_isolated(context, name):
    limit_s = cluster_module.FAST_TIMING["isolated_key_limit_s"]
    backstop_s = cluster_module.FAST_TIMING["config_backstop_interval_s"]
    until_s = time.monotonic() + limit_s + 3 * backstop_s + 3
    while time.monotonic() < until_s:
        outcome = send_front_desk_chat(context, name)
        assert outcome.is_correct, traffic.describe_incorrect([outcome])
        time.sleep(0.3)
