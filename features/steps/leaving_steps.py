"""Steps on leaving servers and stopping nodes."""

import threading
import time

import behave

from bilberryturn import membership
from bilberryturn_standins import cluster as cluster_module
from support import traffic

SEED = 3


def drain(context, name):
    mark(context, "backend_server", name, "draining")


def leave(context, name):
    mark(context, "vm", name, "leaving")


def mark(context, kind, name, text):
    body = {"kind": kind, "name": name, "mark": text, "wait_s": 30}
    context.cluster.nodes[0].admin().call("POST", "/marks", body)


def list_as_stopping(context, name):
    context.cluster.platform.set_vm(name, cheap=False, state="leaving")


def reclaim(context, name):
    """Give notice and take the server away seconds later."""
    context.cluster.platform.set_vm(name, state="leaving")

    def take_away():
        time.sleep(3.0)
        standin = context.cluster.engines[name]
        standin.options = standin.options._replace(restart_s=3600.0)
        standin.crash()

    thread = threading.Thread(target=take_away, daemon=True)
    thread.start()
    context.closers.append(thread.join)


WAYS = {
    "an operator's drain": drain,
    "an operator's mark": leave,
    "the platform's list": list_as_stopping,
    "a reclaim notice": reclaim,
}


@behave.when('traffic runs and engine "{name}" leaves by {how}')
def step_leave_by(context, name, how):
    context.leaving = context.cluster.engines[name]
    context.traffic = traffic.Traffic(
        context.cluster, [context.key], threads=8, tokens=30, seed=SEED
    ).start()
    cluster_module.wait_for(
        lambda: len(context.leaving.executions) > 5, "work on the engine"
    )
    WAYS[how](context, name)


@behave.then("it gets no new work after {seconds:d} seconds")
def step_no_new_work(context, seconds):
    time.sleep(seconds)
    before = len(context.leaving.executions)
    count = len(context.traffic.outcomes)
    context.traffic.wait_for_count(count + 30)
    after = len(context.leaving.executions)
    assert after == before, (before, after)


@behave.then("no request of the traffic has failed")
def step_traffic_right(context):
    outcomes = context.traffic.stop()
    assert outcomes
    assert not traffic.describe_incorrect(outcomes), traffic.describe_incorrect(
        outcomes
    )


@behave.when("a node is stopped while it streams {count:d} answers")
def step_stop(context, count):
    node = context.cluster.nodes[0]
    running = threading.Barrier(count + 1)
    context.outcomes = []

    def stream(number):
        body_prompt = f"planned stop {SEED}-{number}"

        def on_token(answer):
            if len(answer.token_times_s) == 2:
                running.wait(30)

        outcome = traffic.send_chat(
            context.cluster,
            node,
            context.key,
            "quote-draft",
            body_prompt,
            300,
            on_token=on_token,
        )
        context.outcomes.append(outcome)

    threads = [
        threading.Thread(target=stream, args=(n,), daemon=True)
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    running.wait(30)
    context.exit_status = node.stop()
    for thread in threads:
        thread.join(30)
    assert len(context.outcomes) == count


@behave.then("the node has ended with status {status:d}")
def step_status(context, status):
    assert context.exit_status == status, context.exit_status


@behave.when("traffic through the other nodes runs while {victim} is killed")
def step_kill(context, victim):
    cluster = context.cluster
    domain = cluster.domains[0]
    members = [n for n in cluster.nodes if n.domain == domain]
    ranked = membership.rank(
        [n.name for n in members], f"{domain.name}/tatami-small"
    )
    if victim == "a whole domain":
        victims = members
    elif victim == "another entry":
        victims = [cluster.node(ranked[-1])]
    else:
        victims = [cluster.node(ranked[0])]
    others = [n for n in cluster.nodes if n not in victims]
    context.traffic = traffic.Traffic(
        cluster, [context.key], 8, tokens=20, nodes=others, seed=SEED
    ).start()
    context.traffic.wait_for_count(20)
    for node in victims:
        node.kill()
    context.traffic.wait_for_count(len(context.traffic.outcomes) + 60)


@behave.when("every node is restarted in turn under traffic")
def step_rolling(context):
    cluster = context.cluster
    context.traffic = traffic.Traffic(
        cluster, [context.key], 8, tokens=20, seed=SEED
    ).start()
    context.traffic.wait_for_count(10)
    for node in cluster.nodes:
        assert node.stop() == 0
        node.start()
        cluster.wait_ready()
        cluster_module.wait_for(
            lambda node=node: node.status().get("version", 0) > 1,
            "the declarations to be in force again",
        )
    context.traffic.wait_for_count(len(context.traffic.outcomes) + 10)
