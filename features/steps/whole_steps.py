"""Steps of whole.feature: complete answers under faults."""

import threading
import time

import behave

from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import engine
from bilberryturn_standins import proxy
from support import traffic

SEED = 5
STALL_S = 4.0


def crash_engine(context, standin):
    standin.crash()


def cut_stream(context, standin):
    standin.cut_after_tokens = 10


def cut_path(context, standin):
    rules = [proxy.Rule("", standin.address, "cut")]
    context.cluster.proxy.set_rules(rules)
    time.sleep(1.0)
    context.cluster.proxy.set_rules([])


def disrupt_path(mode, delay_s=0.0):
    """Return a fault that disrupts the path to an engine for STALL_S."""

    def disrupt(context, standin):
        rules = [proxy.Rule("", standin.address, mode, delay_s)]
        context.cluster.proxy.set_rules(rules)
        time.sleep(STALL_S)
        context.cluster.proxy.set_rules([])

    return disrupt


def stall_engine(context, standin):
    standin.stall = True
    time.sleep(STALL_S)
    standin.stall = False


def duplicate_events(context, standin):
    standin.duplicate_events = True
    standin.cut_after_tokens = 10


def cut_without_resumption(context, standin):
    standin.refuse_resume = True
    standin.cut_after_tokens = 10


def slow_down(context, standin):
    standin.slow_factor = 10.0


FAULTS = {
    "a crash": crash_engine,
    "a cut of one stream": cut_stream,
    "a cut of its path": cut_path,
    "a frozen path": disrupt_path("freeze"),
    "a half-open path": disrupt_path("half_open"),
    "a slow path": disrupt_path("delay", 0.2),
    "a stall": stall_engine,
    "duplicates after a resumption": duplicate_events,
    "a cut without resumption": cut_without_resumption,
    "slowness": slow_down,
}


@behave.when(
    '{count:d} requests run and engine "{name}" has the fault: {fault}'
)
def step_fault(context, count, name, fault):
    standin = context.cluster.engines[name]

    def inject_fault():
        cluster_module.wait_for(
            lambda: standin.generated_tokens > 20,
            "the engine to generate tokens",
        )
        FAULTS[fault](context, standin)

    thread = threading.Thread(target=inject_fault, daemon=True)
    thread.start()
    context.outcomes = traffic.send_many(
        context.cluster, context.key, count, tokens=80, seed=SEED
    )
    thread.join(60)
    assert standin.generated_tokens > 20


@behave.when("{count:d} requests run concurrently over all nodes")
def step_concurrent_requests(context, count):
    context.outcomes = traffic.send_many(
        context.cluster, context.key, count, tokens=40, seed=SEED
    )


@behave.then("every answer equals the engine's own")
def step_all_correct(context):
    assert context.outcomes
    assert not traffic.describe_incorrect(context.outcomes), (
        traffic.describe_incorrect(context.outcomes)
    )


@behave.when(
    "other requests run while a poisoned one is sent through both entries"
)
def step_poison(context):
    cluster = context.cluster
    background = traffic.Traffic(
        cluster, [context.key], threads=8, tokens=30, seed=SEED
    ).start()
    background.wait_for_count(5)
    prompt = f"{engine.POISON} {SEED}"
    context.poisoned = []
    for _ in range(2):
        for node in cluster.nodes:
            context.poisoned.append(
                traffic.send_chat(
                    cluster, node, context.key, "front-desk", prompt, 9
                )
            )
    background.wait_for_count(len(background.outcomes) + 20)
    context.outcomes = background.stop()


@behave.then("the engines have crashed at most {count:d} times")
def step_crash_count(context, count):
    crash_count = sum(e.crashes for e in context.cluster.engines.values())
    assert 1 <= crash_count <= count, crash_count


@behave.then('the poisoned request is refused as "{code}" by every entry')
def step_quarantined(context, code):
    codes = [o.answer.code for o in context.poisoned]
    assert codes == [code] * len(codes), codes
