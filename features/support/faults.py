"""Builds rules for the fault proxy."""

from bilberryturn_standins import proxy


def cut_rules(cluster, domain_name, targets):
    """Return rules that cut the connections from and to a domain.

    Args:
        cluster: The cluster under test.
        domain_name: The domain to isolate.
        targets: Text that names "platform", "peers" or both.
    """
    domain = next(d for d in cluster.domains if d.name == domain_name)
    rules = []
    if "platform" in targets:
        rules.append(
            proxy.Rule(domain.source_address, cluster.platform.address, "cut")
        )
    if "peers" in targets:
        for node in cluster.nodes:
            is_own = node.domain == domain
            for other in cluster.domains:
                if (other == domain) == is_own:
                    continue
                rules.append(
                    proxy.Rule(
                        other.source_address, node.control_address, "cut"
                    )
                )
    return rules
