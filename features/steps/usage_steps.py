"""Steps of usage.feature: usage reports of a cluster under faults."""

import collections
import time

import behave

from bilberryturn_standins import cluster as cluster_module
from support import traffic

SEED = 13
REQUESTS = 24


def send(context, nodes=None, count=REQUESTS, seed=SEED):
    nodes = nodes or [n for n in context.cluster.nodes if n.is_running]
    outcomes = []
    for number in range(count):
        outcomes.append(
            traffic.send_chat(
                context.cluster,
                nodes[number % len(nodes)],
                context.key,
                "quote-draft" if number % 3 else "front-desk",
                f"usage {seed}-{number}",
                5 + number % 4,
                number % 2 == 0,
            )
        )
    context.outcomes = getattr(context, "outcomes", []) + outcomes


def find_reporter_node(context):
    def find():
        for node in context.cluster.nodes:
            for lease in node.status().get("leases", ()):
                if lease["held"] and lease["name"] == "usage-reporter":
                    return node
        return None

    return cluster_module.wait_for(
        find, "a node that holds the usage-reporter lease"
    )


def no_fault(context):
    send(context)


def kill_node(context):
    victim = context.cluster.nodes[1]
    send(context, [victim], 10)
    victim.kill()
    send(context)


def kill_reporter(context):
    send(context)
    find_reporter_node(context).kill()
    send(context, seed=SEED + 1)


def freeze_node(context):
    victim = context.cluster.nodes[1]
    send(context, [victim], 10)
    victim.freeze()
    send(context, [context.cluster.nodes[0]], 10, SEED + 1)
    time.sleep(5.0)
    victim.thaw()
    time.sleep(1.0)
    send(context, seed=SEED + 2)


def table_down(context):
    platform = context.cluster.platform
    send(context)
    platform.set_fault("table", "down", duration_s=6.0)
    send(context, seed=SEED + 1)
    time.sleep(6.5)
    send(context, seed=SEED + 2)


def table_loses_answers(context):
    context.cluster.platform.set_fault(
        "table", "lose_answer", calls=12, match="usage/"
    )
    send(context)
    time.sleep(1.0)
    send(context, seed=SEED + 1)


def reporting_loses_answers(context):
    context.cluster.platform.set_fault("reporting", "lose_answer", calls=3)
    send(context)


def table_down_and_kill(context):
    platform = context.cluster.platform
    platform.set_fault("table", "down")
    victim = context.cluster.nodes[1]
    send(context, [victim], 10)
    victim.kill()
    time.sleep(4.0)
    platform.set_fault("table", "none")
    send(context, seed=SEED + 1)


def restart_all(context):
    send(context)
    for node in context.cluster.nodes:
        assert node.stop() == 0
        node.start()
        context.cluster.wait_ready()
        cluster_module.wait_for(
            lambda node=node: node.status().get("version", 0) > 1,
            "the declarations",
        )
    send(context, seed=SEED + 1)


FAULTS = {
    "nothing fails": no_fault,
    "a node is killed after its answers": kill_node,
    "the reporter is killed": kill_reporter,
    "a node is frozen and thawed": freeze_node,
    "the table is down for 6 seconds": table_down,
    "the table loses answers": table_loses_answers,
    "the reporting interface loses answers": reporting_loses_answers,
    "the table is down and a node is killed": table_down_and_kill,
    "every node is restarted": restart_all,
}


@behave.when("requests run while {fault}")
def step_requests_run(context, fault):
    FAULTS[fault](context)
    assert not traffic.describe_incorrect(context.outcomes), (
        traffic.describe_incorrect(context.outcomes)
    )


def expected_usage(outcomes):
    usage_totals = collections.Counter()
    for outcome in outcomes:
        tokens = outcome.answer.text.count(" w")
        usage_totals[outcome.profile, "requests"] += 1
        usage_totals[outcome.profile, "output_tokens"] += tokens
    return usage_totals


def reported_usage(platform):
    usage_totals = collections.Counter()
    windows = {}
    for report in platform.reports:
        windows[report["window"]] = report["figures"]
    for figures in windows.values():
        for figure in figures:
            assert figure["client_account"] == "workshop-laredo", figure
            for name in ("requests", "output_tokens"):
                usage_totals[figure["profile"], name] += figure[name]
    return usage_totals


@behave.then("the reports hold exactly the answered requests and tokens")
def step_exact(context):
    expected = expected_usage(context.outcomes)
    platform = context.cluster.platform
    try:
        cluster_module.wait_for(
            lambda: reported_usage(platform) == expected,
            "the reports to be complete",
            40,
        )
    except TimeoutError:
        raise AssertionError((reported_usage(platform), expected)) from None
    # Reports must not change once all requests have been reported.
    time.sleep(4.0)
    assert reported_usage(platform) == expected


@behave.then("no window was reported with different figures")
def step_no_difference(context):
    figures_by_window = {}
    for report in context.cluster.platform.reports:
        first_figures = figures_by_window.setdefault(
            report["window"], report["figures"]
        )
        assert first_figures == report["figures"], report["window"]
