"""Steps on the contracts of the external interfaces."""

import concurrent.futures
import http.client
import json
import time

import behave

from bilberryturn import platform
from bilberryturn.platform import exceptions
from bilberryturn.platform import tables
from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import engine
from bilberryturn_standins import platform as platform_standin
from bilberryturn_standins import proxy
from bilberryturn_standins import server

MODEL = "tatami-small"


@behave.given("the stand-in of the platform")
def step_platform(context):
    context.loop_thread = server.LoopThread()
    standin = platform_standin.PlatformStandin(context.loop_thread).start()
    context.closers += [context.loop_thread.close, standin.stop]
    context.standin = standin

    def client(interface):
        return platform.HttpClient(interface, standin.address, 0.5)

    context.tables = platform.TableService(client("table"))
    context.objects = platform.ObjectStore(client("objects"))
    context.vms = platform.VmList(client("vms"))
    context.ordering = platform.Ordering(client("ordering"))
    context.reporting = platform.Reporting(client("reporting"))


def table_reads(context):
    result = context.tables.insert("a/b", {"x": [1, "é"]})
    assert result.ok == tables.Committed({"a/b": 1})
    row = context.tables.read("a/b").ok
    assert row == tables.Row("a/b", 1, {"x": [1, "é"]}), row


def table_stale(context):
    assert context.tables.insert("s", 1).ok == tables.Committed({"s": 1})
    assert context.tables.insert("s", 2).ok == tables.Aborted(("s",))
    assert context.tables.read("s").ok.value == 1


def table_scans(context):
    for number in range(620):
        context.tables.insert(f"p/{number:04d}", number)
    rows = context.tables.scan("p/").ok
    assert [row.value for row in rows] == list(range(620))
    assert [r.value for r in context.tables.scan("p/", "p/0600").ok][0] == 601
    assert len(context.tables.scan("p/", limit=7).ok) == 7


def is_unreachable(result):
    return isinstance(result.error, exceptions.PlatformUnreachableError)


def table_errors(context):
    context.standin.set_fault("table", "down")
    for result in (
        context.tables.read("x"),
        context.tables.scan("x"),
        context.tables.insert("x", 1),
    ):
        assert is_unreachable(result)
        assert result.error.remedy
    context.standin.set_fault("table", "none")


def table_lost_answer(context):
    context.standin.set_fault("table", "lose_answer", calls=1)
    assert is_unreachable(context.tables.insert("lost", 1))
    assert context.tables.read("lost").ok.value == 1


def table_atomic(context):
    context.tables.insert("one", 1)
    result = context.tables.transact({"one": 5, "two": 0}, {"one": 9, "two": 9})
    assert result.ok == tables.Aborted(("one",))
    assert context.tables.read("one").ok.value == 1
    assert context.tables.read("two").ok.version == 0


def table_absent(context):
    assert context.tables.read("none").ok == tables.Row("none", 0, None)


def table_slow(context):
    context.standin.set_fault("table", "slow", delay_s=3.0, calls=1)
    started_s = time.monotonic()
    assert is_unreachable(context.tables.read("x"))
    assert time.monotonic() - started_s < 3.0


def objects_store(context):
    assert context.objects.put("a/b", b"\0\1").is_ok()
    assert context.objects.get("a/b").ok == b"\0\1"


def objects_none(context):
    assert context.objects.get("none").ok is None


def objects_errors(context):
    context.standin.set_fault("objects", "down")
    assert is_unreachable(context.objects.get("a"))
    assert is_unreachable(context.objects.put("a", b""))
    context.standin.set_fault("objects", "none")


def objects_replace(context):
    context.objects.put("r", b"1")
    context.objects.put("r", b"2")
    assert context.objects.get("r").ok == b"2"


def vm(context, name, **fields):
    values = {
        "failure_domain": "d",
        "kind": "engine",
        "address": "127.0.0.1:1",
        "state": "running",
    }
    context.standin.set_vm(name, **{**values, **fields})


def vms_lag(context):
    context.standin.vm_list_lag_s = 0.3
    vm(context, "new")
    assert not [v for v in context.vms.fetch().ok if v.name == "new"]
    cluster_module.wait_for(
        lambda: [v for v in context.vms.fetch().ok if v.name == "new"],
        "the VM to be listed",
    )


def vms_leaving(context):
    vm(context, "old", state="leaving", cheap=True)
    cluster_module.wait_for(
        lambda: [
            v
            for v in context.vms.fetch().ok
            if v.name == "old" and v.state == "leaving" and v.cheap
        ],
        "the VM to leave",
    )


def vms_errors(context):
    context.standin.set_fault("vms", "down")
    assert is_unreachable(context.vms.fetch())
    context.standin.set_fault("vms", "none")


def vms_invalid(context):
    context.standin.published_vms = [{"name": 5}]
    result = context.vms.fetch()
    assert isinstance(result.error, exceptions.PlatformRefusedError)


def send_order(context, number, order_id="o1", desired="running"):
    return context.ordering.send(order_id, "d", "s", desired, number)


def ordering_accepts(context):
    vm(context, "s", state="stopped")
    assert send_order(context, 3).is_ok()
    found = context.ordering.servers("d").ok
    assert [s["state"] for s in found if s["name"] == "s"] == ["running"]


def ordering_idempotent(context):
    orders_before = len(context.standin.orders)
    assert send_order(context, 3).is_ok()
    assert send_order(context, 3).is_ok()
    assert len(context.standin.orders) - orders_before <= 1


def is_stale(result):
    return isinstance(result.error, exceptions.StaleFencingNumberError)


def ordering_old(context):
    assert send_order(context, 9, "o9").is_ok()
    assert is_stale(send_order(context, 8, "o8"))


def ordering_ignores(context):
    context.standin.checks_fencing["ordering"] = False
    assert send_order(context, 9, "o10").is_ok()
    assert send_order(context, 1, "o11").is_ok()


def reports_accept(context):
    assert context.reporting.send(1, [{"requests": 1}], 4).is_ok()
    assert context.standin.reports[-1]["window"] == 1


def reports_old(context):
    context.reporting.send(2, [], 9)
    assert is_stale(context.reporting.send(3, [], 8))


def reports_ignore(context):
    context.standin.checks_fencing["reporting"] = False
    assert context.reporting.send(4, [], 1).is_ok()


def reports_errors(context):
    context.standin.set_fault("reporting", "down")
    assert is_unreachable(context.reporting.send(5, [], 99))


CLAUSES = {
    "table service": {
        "reads what is written": table_reads,
        "refuses a stale version": table_stale,
        "scans in pages and order": table_scans,
        "errors are typed": table_errors,
        "may commit unanswered": table_lost_answer,
        "writes all or nothing": table_atomic,
        "absent rows have version 0": table_absent,
        "a slow answer times out": table_slow,
    },
    "object store": {
        "returns what is stored": objects_store,
        "returns None if absent": objects_none,
        "errors are typed": objects_errors,
        "replaces an object": objects_replace,
    },
    "VM list": {
        "lags behind": vms_lag,
        "shows leaving VMs": vms_leaving,
        "errors are typed": vms_errors,
        "rejects invalid entries": vms_invalid,
    },
    "ordering": {
        "accepts an order": ordering_accepts,
        "is idempotent": ordering_idempotent,
        "refuses old numbers": ordering_old,
        "may ignore old numbers": ordering_ignores,
    },
    "usage intake": {
        "accepts a report": reports_accept,
        "refuses old numbers": reports_old,
        "may ignore old numbers": reports_ignore,
        "errors are typed": reports_errors,
    },
}


@behave.then("the {interface} keeps each clause")
def step_clauses(context, interface):
    for row in context.table:
        CLAUSES[interface][row["clause"]](context)


@behave.given("the stand-in of an engine")
def step_engine(context):
    context.loop_thread = server.LoopThread()
    options = engine.EngineOptions(
        slots=2, token_interval_s=0.01, load_lag_s=0.3, restart_s=0.5
    )
    context.engine = engine.EngineStandin(context.loop_thread, options).start()
    context.closers += [context.loop_thread.close, context.engine.stop]
    context.caller = caller.Caller(context.engine.address)


def chat(context, prompt, tokens=12, stream=True, **fields):
    return context.caller.chat(prompt, tokens, stream, MODEL, **fields)


def expected(prompt, tokens=12):
    return "".join(engine.answer_tokens(caller.chat_body(prompt, tokens)))


def call(context, method, path, body=None, headers=None):
    host, port = context.engine.address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), 10)
    data = None if body is None else json.dumps(body)
    connection.request(method, path, data, headers or {})
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


def engine_equal(context):
    streamed, whole = chat(context, "a"), chat(context, "a", stream=False)
    assert streamed.text == whole.text == expected("a")


def raw_events(context, path="/v1/chat/completions", method="POST",
               body=None, headers=None):  # fmt: skip
    _, content = call(context, method, path, body, headers)
    return [
        int(line[4:])
        for line in content.decode().splitlines()
        if line.startswith("id: ")
    ]


def make_chat_body(prompt, tokens=12, **fields):
    return caller.chat_body(prompt, tokens, True, MODEL, **fields)


def engine_numbered(context):
    numbers = raw_events(context, body=make_chat_body("numbers"))
    assert numbers == list(range(1, 14)), numbers


def engine_resumes(context):
    headers = {"X-Request-Id": "r1"}
    context.engine.cut_after_tokens = 5
    try:
        call(
            context,
            "POST",
            "/v1/chat/completions",
            make_chat_body("r"),
            headers,
        )
    except http.client.HTTPException:
        pass
    numbers = raw_events(
        context, "/v1/streams/r1", "GET", None, {"Last-Event-ID": "5"}
    )
    assert numbers == list(range(6, 14)), numbers


def engine_cancels(context):
    headers = {"X-Request-Id": "c1"}
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            call,
            context,
            "POST",
            "/v1/chat/completions",
            make_chat_body("c", 500),
            headers,
        )
        cluster_module.wait_for(
            lambda: context.engine.generated_tokens > 3, "tokens"
        )
        assert call(context, "DELETE", "/v1/streams/c1")[0] == 204
        try:
            running.result(10)
        except http.client.HTTPException:
            pass
    assert context.engine.generated_tokens < 100


def engine_continues(context):
    text = "".join(engine.answer_tokens(make_chat_body("go on"))[:4])
    body = make_chat_body("go on", 8, continue_final_message=True)
    body["messages"].append({"role": "assistant", "content": text})
    answer = context.caller.request(
        "POST", "/v1/chat/completions", json.dumps(body).encode()
    )
    assert text + answer.text == expected("go on")


def engine_priorities(context):
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        for number in range(2):
            pool.submit(chat, context, f"long {number}", 60)
        cluster_module.wait_for(
            lambda: context.engine._running == 2, "a full batch"
        )
        low = pool.submit(chat, context, "low", 5, priority=5)
        time.sleep(0.1)
        high = pool.submit(chat, context, "high", 5, priority=0)
        low.result(20)
        high.result(20)
    prompts = [b["messages"][0]["content"] for b in
               context.engine.executed_bodies]  # fmt: skip
    assert prompts.index("high") < prompts.index("low"), prompts


def engine_limited(context):
    highest = 0
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [pool.submit(chat, context, f"b{n}", 20) for n in range(6)]
        while not all(f.done() for f in futures):
            highest = max(highest, context.engine._running)
            time.sleep(0.005)
    assert highest == 2, highest


def load(context):
    return json.loads(call(context, "GET", "/load")[1])["running"]


def engine_load_lags(context):
    chat(context, "load", 3)
    chat(context, "load 2", 3)
    cluster_module.wait_for(
        lambda: load(context) == 0 and context.engine._load, "the report"
    )


def usage(answer):
    return next(e["usage"] for e in answer.events if e.get("usage"))


def engine_counts_cached(context):
    prompt = "the same beginning " * 20
    details = "prompt_tokens_details"
    first = usage(chat(context, prompt))[details]["cached_tokens"]
    second = usage(chat(context, prompt))[details]["cached_tokens"]
    assert first == 0 and second > 50, (first, second)


def cache_events(context):
    content = call(context, "GET", "/cache-events?after=0")[1]
    return [e["sequence"] for e in json.loads(content)["events"]]


def engine_events(context):
    chat(context, "x" * 1500)
    assert not cache_events(context), "cache events arrived without delay"
    cluster_module.wait_for(lambda: cache_events(context), "events")
    found = cache_events(context)
    assert found == sorted(found)
    assert set(range(1, max(found))) - set(found), "cache events have no gap"


def engine_exports_kv(context):
    assert call(context, "GET", "/kv/none")[0] == 404
    assert call(context, "PUT", "/kv/b1", {})[0] == 204
    assert call(context, "GET", "/kv/b1")[0] == 200


def load_order(context, number, model="second"):
    order = {"kind": "load_model", "model": model, "fencing_number": number}
    return call(context, "POST", "/orders", order)[0]


def engine_old_orders(context):
    assert load_order(context, 5) == 200
    assert load_order(context, 4) == 412


def engine_may_ignore_old_orders(context):
    options = context.engine.options
    context.engine.options = options._replace(checks_fencing=False)
    assert load_order(context, 5) == 200
    assert load_order(context, 4) == 200


def engine_loads(context):
    body = caller.chat_body("m", 3, False, "second")
    path = "/v1/chat/completions"
    assert call(context, "POST", path, body)[0] == 404
    load_order(context, 1)
    assert call(context, "POST", path, body)[0] == 200


def engine_role(context):
    order = {"kind": "change_role", "role": "prefill", "fencing_number": 3}
    assert call(context, "POST", "/orders", order)[0] == 200
    report = json.loads(call(context, "GET", "/load")[1])
    assert report["role"] == "prefill", report
    order = {**order, "role": "decode", "fencing_number": 2}
    assert call(context, "POST", "/orders", order)[0] == 412


def engine_crashes(context):
    answer = chat(context, engine.POISON, 3)
    assert answer.failure and context.engine.crashes == 1
    refused = chat(context, "after", 3)
    assert "ConnectionRefused" in refused.failure, refused.failure
    cluster_module.wait_for(
        lambda: chat(context, "after", 3).complete, "the restart"
    )


ENGINE_CLAUSES = {
    "whole and streamed are equal": engine_equal,
    "events are numbered": engine_numbered,
    "a stream can be resumed": engine_resumes,
    "a stream can be cancelled": engine_cancels,
    "a message can be continued": engine_continues,
    "priorities are honoured": engine_priorities,
    "the batch is limited": engine_limited,
    "the load report lags": engine_load_lags,
    "cached prefixes are counted": engine_counts_cached,
    "cache events lag and have gaps": engine_events,
    "KV cache is exported": engine_exports_kv,
    "old orders are refused": engine_old_orders,
    "old orders may be ignored": engine_may_ignore_old_orders,
    "a model can be loaded": engine_loads,
    "a role can be changed": engine_role,
    "a poisoned prompt crashes it": engine_crashes,
}


@behave.then("the engine keeps the clause: {clause}")
def step_engine_clause(context, clause):
    ENGINE_CLAUSES[clause](context)


PROXY_DELAY_S = 0.3
PROXY_TIMEOUT_S = 1.5


@behave.then('a request through the proxy under "{mode}" gets {result}')
def step_proxy(context, mode, result):
    faults = proxy.FaultProxy(context.loop_thread)
    context.closers.append(faults.stop)
    address = faults.listen(context.engine.address)
    if mode != "none":
        rule = proxy.Rule("", context.engine.address, mode, PROXY_DELAY_S)
        faults.set_rules([rule])
    client_timeout_s = 20.0 if mode == "freeze" else PROXY_TIMEOUT_S
    sender = caller.Caller(address, timeout_s=client_timeout_s)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(sender.chat, "through", 3, False, MODEL)
        if mode == "freeze":
            time.sleep(PROXY_TIMEOUT_S)
            assert not running.done()
            faults.set_rules([])
        answer = running.result(30)
    if result.startswith("an answer"):
        assert answer.complete, answer.failure
        is_delayed = result != "an answer"
        assert answer.total_s > PROXY_DELAY_S or not is_delayed, answer.total_s
    elif result == "no answer":
        assert "timed out" in answer.failure, answer.failure
    else:
        assert answer.failure and answer.total_s < PROXY_TIMEOUT_S
