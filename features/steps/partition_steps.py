"""Steps for network partitions."""

import time

import behave

from bilberryturn_standins import cluster as cluster_module
from support import faults
from support import traffic

SEED = 17
PHASE_S = 3.0
CUT_S = 5.0


@behave.when(
    'traffic runs in every domain before, while and after "{domain}" is cut'
    " off from {what}"
)
def step_phases(context, domain, what):
    cluster = context.cluster
    context.phases = {}
    rules = {"before": [], "after": []}
    rules["while"] = faults.cut_rules(cluster, domain, what)
    for number, phase in enumerate(("before", "while", "after")):
        cluster.proxy.set_rules(rules[phase])
        # Right after a cut, grants from the other side may still be pending.
        running = [
            traffic.Traffic(
                cluster,
                [context.key],
                threads=2,
                nodes=[n for n in cluster.nodes if n.domain == traffic_domain],
                seed=SEED + number * 10 + position,
                pause_s=0.02,
            ).start()
            for position, traffic_domain in enumerate(cluster.domains)
        ]
        # Shorter than the limit on isolated keys, so no request may be refused.
        time.sleep(PHASE_S if phase != "while" else CUT_S - 2.0)
        context.phases[phase] = [t.stop() for t in running]
    context.outcomes = [
        outcome
        for phase in context.phases.values()
        for outcomes in phase
        for outcome in outcomes
    ]


@behave.then("in each phase every domain has answered its callers correctly")
def step_phases_correct(context):
    for phase, found in context.phases.items():
        for domain, outcomes in zip(
            context.cluster.domains, found, strict=True
        ):
            right = sum(o.is_correct for o in outcomes)
            print(f"{phase} {domain.name}: {right} of {len(outcomes)} correct")
            assert len(outcomes) >= 5, (phase, domain.name, len(outcomes))
            assert right == len(outcomes), traffic.describe_incorrect(outcomes)


@behave.then("all nodes of the cluster are ready again")
def step_ready_again(context):
    context.cluster.wait_ready()


@behave.when('traffic runs through node "{name}" only')
def step_one_node(context, name):
    context.traffic = traffic.Traffic(
        context.cluster,
        [context.key],
        threads=4,
        nodes=[context.cluster.node(name)],
        seed=SEED,
    ).start()
    context.traffic.wait_for_count(30)


@behave.when("the platform is down while the nodes are restarted one by one")
def step_restart_without_platform(context):
    cluster = context.cluster
    for interface in ("table", "objects", "vms", "ordering", "reporting"):
        cluster.platform.set_fault(interface, "down")
    for node in cluster.nodes:
        assert node.stop() == 0
        node.start()
        cluster_module.wait_for(
            lambda node=node: node.status().get("version", 0) > 1,
            "the declarations from a peer",
        )
        cluster.wait_ready()
