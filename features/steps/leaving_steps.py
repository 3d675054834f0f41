"""Steps for leaving servers and stopping nodes."""

import threading
import time

import behave

from bilberryturn import membership
from bilberryturn_standins import cluster as cluster_module
from support import traffic

SEED = 3


def mark_draining(context, name):
    set_mark(context, "backend_server", name, "draining")


def mark_leaving(context, name):
    set_mark(context, "vm", name, "leaving")


def set_mark(context, kind, name, mark):
    body = {"kind": kind, "name": name, "mark": mark, "wait_s": 30}
    context.cluster.nodes[0].admin().call("POST", "/marks", body)


def list_as_stopping(context, name):
    context.cluster.platform.set_vm(name, cheap=False, state="leaving")


def reclaim(context, name):
    """Announce a reclaim and crash the server 3 seconds later."""
    context.cluster.platform.set_vm(name, state="leaving")

    def crash_after_notice():
        time.sleep(3.0)
        standin = context.cluster.engines[name]
        standin.options = standin.options._replace(restart_s=3600.0)
        standin.crash()

    thread = threading.Thread(target=crash_after_notice, daemon=True)
    thread.start()
    context.closers.append(thread.join)


LEAVE_ACTIONS = {
    "an operator's drain": mark_draining,
    "an operator's mark": mark_leaving,
    "the platform's list": list_as_stopping,
    "a reclaim notice": reclaim,
}


@behave.when('traffic runs and engine "{name}" leaves after {trigger}')
def step_leave_by(context, name, trigger):
    context.leaving = context.cluster.engines[name]
    context.traffic = traffic.Traffic(
        context.cluster, [context.key], threads=8, tokens=30, seed=SEED
    ).start()
    cluster_module.wait_for(
        lambda: len(context.leaving.executions) > 5,
        "the engine to run requests",
    )
    LEAVE_ACTIONS[trigger](context, name)


@behave.then("it gets no new requests after {seconds:d} seconds")
def step_no_new_work(context, seconds):
    time.sleep(seconds)
    before = len(context.leaving.executions)
    count = len(context.traffic.outcomes)
    context.traffic.wait_for_count(count + 30)
    after = len(context.leaving.executions)
    assert after == before, (before, after)


@behave.then("no request of the traffic has failed")
def step_traffic_succeeded(context):
    outcomes = context.traffic.stop()
    assert outcomes
    assert not traffic.describe_incorrect(outcomes), traffic.describe_incorrect(
        outcomes
    )


@behave.when("a node is stopped while it streams {count:d} answers")
def step_stop(context, count):
    node = context.cluster.nodes[0]
    all_streaming = threading.Barrier(count + 1)
    context.outcomes = []

    def stream(number):
        prompt = f"planned stop {SEED}-{number}"

        def on_token(answer):
            if len(answer.token_times_s) == 2:
                all_streaming.wait(30)

        outcome = traffic.send_chat(
            context.cluster,
            node,
            context.key,
            "quote-draft",
            prompt,
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
    all_streaming.wait(30)
    context.exit_status = node.stop()
    for thread in threads:
        thread.join(30)
    assert len(context.outcomes) == count


@behave.then("the node has exited with status {status:d}")
def step_status(context, status):
    assert context.exit_status == status, context.exit_status


@behave.when("traffic through the other nodes runs while {victim} is killed")
def step_kill_nodes(context, victim):
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
            "the declarations to be applied again",
        )
    context.traffic.wait_for_count(len(context.traffic.outcomes) + 10)
