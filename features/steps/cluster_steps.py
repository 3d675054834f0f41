"""Steps that build and change clusters."""

import behave

from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import engine
from support import declared


def build(context, domains=3, nodes=2, proxied=False, engines=None, **options):
    """Start a cluster with the usual declarations and services."""
    chosen = cluster_module.DOMAINS[:domains]
    context.cluster = cluster_module.Cluster(
        chosen, nodes, engines, proxied, **options
    )
    context.cluster.add_service("booking-1", chosen[0].name, "booking")
    context.cluster.add_service("catalogue-1", chosen[0].name, "catalogue")
    context.cluster.start()
    context.cluster.apply(declared.sections_with_domains(chosen))
    context.key = context.cluster.grant("workshop-laredo")
    context.caller = context.cluster.caller(key=context.key)
    return context.cluster


@behave.given("a cluster of {domains:d} domains with {nodes:d} node each")
@behave.given("a cluster of {domains:d} domains with {nodes:d} nodes each")
def step_cluster(context, domains, nodes):
    build(context, domains, nodes)


@behave.given(
    "a proxied cluster of {domains:d} domains with {nodes:d} node each"
)
@behave.given(
    "a proxied cluster of {domains:d} domains with {nodes:d} nodes each"
)
def step_proxied_cluster(context, domains, nodes):
    build(context, domains, nodes, proxied=True)


@behave.given(
    "a cluster of {domains:d} domain with {nodes:d} nodes and engines"
)
@behave.given(
    "a cluster of {domains:d} domains with {nodes:d} nodes and engines"
)
def step_cluster_with_engines(context, domains, nodes):
    build(context, domains, nodes, engines=read_engines(context))


@behave.given(
    "a proxied cluster of {domains:d} domains with {nodes:d} nodes and engines"
)
def step_proxied_with_engines(context, domains, nodes):
    build(context, domains, nodes, True, read_engines(context))


def read_engines(context):
    """Return the engines that a table describes."""
    specs = []
    for row in context.table:
        options = engine.EngineOptions(
            slots=int(row.get("slots") or 8),
            token_interval_s=float(row.get("token_interval_s") or 0.005),
            restart_s=float(row.get("restart_s") or 1.0),
            checks_fencing=(row.get("checks_fencing") or "yes") == "yes",
        )
        specs.append(
            cluster_module.EngineSpec(
                row["name"],
                row["domain"],
                options,
                (row.get("cheap") or "no") == "yes",
                row.get("state") or "running",
            )
        )
    return tuple(specs)


@behave.given("every engine takes {seconds:f} seconds for a token")
def step_slow_engines(context, seconds):
    for standin in context.cluster.engines.values():
        standin.options = standin.options._replace(token_interval_s=seconds)
