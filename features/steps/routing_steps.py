"""Steps of routing.feature: decisions without I/O and with a set clock."""

import random

import behave

from bilberryturn.gateway import shared_state
from bilberryturn.routing import budget
from bilberryturn.routing import choice
from bilberryturn.routing import directory
from bilberryturn.routing import part_crashes
from bilberryturn.routing import provisioning
from bilberryturn.routing import table
from bilberryturn.routing import types
from support import gateway_rig

ENGINE = types.Engine(slots=64, kv_capacity_tokens=600_000, tokens_per_event=3)
SERVICE = types.Service("llm", 300, ENGINE, None)
DOMAINS = ("east", "west", "north")


# routes


@behave.given('routes "/a/" and "/a/b/" of host "h" and "/a/" of host "g"')
def given_routes(context):
    routes = [
        gateway_rig.make_route(
            "safe", name=host + prefix, host=host, prefix=prefix
        )
        for host, prefix in (("h", "/a/"), ("h", "/a/b/"), ("g", "/a/"))
    ]
    context.routes = table.RouteTable(1, routes, [], types.Limits(), None)


@behave.then("these requests match these routes")
def then_routes(context):
    for row in context.table:
        found = context.routes.find_route(row["host"], row["path"])
        name = found.name if found else "none"
        assert name == row["route"], (row, name)


@behave.given("a route split 90 to 10")
def given_split(context):
    context.route = gateway_rig.make_route("safe")._replace(
        targets=(types.Target("old", 90), types.Target("new", 10))
    )


@behave.then("2000 requests are split within 3 in 100 of the weights")
def then_shared(context):
    new = sum(
        table.choose_service(context.route, f"r{n}") == "new"
        for n in range(2000)
    )
    assert 140 <= new <= 260, new


@behave.then("a request always goes to the same target")
def then_same_side(context):
    for n in range(50):
        sides = {table.choose_service(context.route, f"r{n}") for _ in range(3)}
        assert len(sides) == 1


# directory


@behave.given("a directory that received the events {received}")
def given_directory(context, received):
    servers = directory.Directory()
    now_s = 100.0
    server = gateway_rig.make_server("s", 80)
    for item in received.split(", "):
        now_s += 0.1
        now_s = _apply_event(servers, server, item, now_s)
    servers.expire(now_s)
    context.directory = servers


def _apply_event(servers, server, item, now_s):
    restore_until_s = (
        now_s + directory.RESTORE_GRACE_S if "outage" in item else None
    )
    if item == "ready":
        newest = server._replace(sequence=int(now_s * 10))
        servers.report(newest, now_s)
    elif item == "draining":
        newest = server._replace(sequence=int(now_s * 10), is_leaving=True)
        servers.report(newest, now_s)
    elif item == "an older ready":
        servers.report(server._replace(sequence=1), now_s)
    elif item == "a new lifetime":
        servers.report(server._replace(started_ms=2, sequence=0), now_s)
    elif item == "an older draining":
        servers.report(server._replace(sequence=9, is_leaving=True), now_s)
    elif item.startswith("removed"):
        servers.remove("s", restore_until_s, now_s)
    elif item.startswith("a snapshot"):
        servers.replace_all([], now_s, restore_until_s)
    elif item.endswith(" s"):
        now_s += float(item[:-2])
    else:
        raise AssertionError(item)
    return now_s


@behave.then("the server is {state:w}")
def then_state(context, state):
    server = context.directory.find("s")
    is_usable = bool(context.directory.usable("app"))
    expected = {
        "usable": (True, True),
        "leaving": (True, False),
        "gone": (False, False),
    }[state]
    assert (server is not None, is_usable) == expected, server


# retry budgets and suspects


@behave.then(
    "over {count:d} seeded histories of {nodes:d} nodes no window holds more"
    " repeats than a fifth of its requests and the slack"
)
def then_budget(context, count, nodes):
    ratio, slack, window_s = 0.2, 58.0, 10.0
    limits = shared_state.RetryLimits(ratio, slack, window_s)
    for seed in range(count):
        rng = random.Random(seed)
        budgets = [
            budget.RetryBudget(ratio, limits.node_slack(nodes), window_s)
            for _ in range(nodes)
        ]
        firsts, repeats = [], []
        now_s = 0.0
        for _ in range(400):
            now_s += rng.expovariate(20)
            node = rng.randrange(nodes)
            if rng.random() < 0.3:
                budgets[node].record_request(now_s)
                firsts.append(now_s)
            elif budgets[node].take(now_s):
                repeats.append(now_s)
        for end_s in repeats:
            start_s = end_s - window_s
            sent = sum(start_s <= t <= end_s for t in repeats)
            allowed = slack + ratio * sum(
                start_s - window_s <= t <= end_s for t in firsts
            )
            assert sent <= allowed, (seed, sent, allowed)


def _crash(node, number, at_s, request="r"):
    """Record the crash of a server that was sent a request just before."""
    node.record_crash((f"s{number}", 1), (), request, at_s, at_s - 0.1)


@behave.given("a node where a request crashed three servers")
def given_crashes(context):
    context.node = part_crashes.PartCrashes()
    _crash(context.node, 0, 1001.0)
    _crash(context.node, 1, 1001.5)
    assert context.node.refused((), 1001.5, "r") is None
    _crash(context.node, 2, 1002.0)


@behave.then(
    "that node refuses it and other nodes do after merging its crash counts"
)
def then_refused(context):
    assert context.node.refused((), 1002.0, "r") is not None
    other = part_crashes.PartCrashes()
    reports = list(context.node.own_reports(1003.0).items())
    assert other.refused((), 1003.0, "r") is None
    other.merge("n1", dict(reports[:2]))
    assert other.refused((), 1003.2, "r") is None
    other.merge("n2", dict(reports[2:]))
    assert other.refused((), 1003.4, "r") is not None
    assert other.refused((), 1003.4, "q") is None
    expired_s = 1002.0 + part_crashes.CRASH_TTL_S
    assert other.refused((), expired_s, "r") is None, (
        "a crash count did not expire after CRASH_TTL_S"
    )


@behave.then("a successful attempt clears the crash count of a request")
def then_cleared(context):
    node = part_crashes.PartCrashes()
    for number in range(4):
        _crash(node, number, 1000.0 + number)
        node.record_answer((), 1000.5 + number, "r")
    assert node.refused((), 1008.0, "r") is None


# choice


@behave.given(
    "3 failure domains of 4 engines and long and latency-sensitive requests"
)
def given_engines(context):
    context.engines = [
        gateway_rig.make_server(f"{domain}-{n}", 80)._replace(
            service="llm", failure_domain=domain, slots=64, is_cheap=n > 0
        )
        for domain in DOMAINS
        for n in range(4)
    ]
    context.balancer = choice.LoadBalancer()
    context.rng = random.Random(7)


def _long_prompt(context, shared=None, domain="east"):
    part = shared or f"doc-{context.rng.randrange(200)}"
    prompt = types.Prompt(
        (types.PromptPart(part, 13_000), types.PromptPart("own", 4_000)),
        17_000,
        120,
    )
    return choice.Requirements(SERVICE, domain, prompt, gap_target_s=0.6)


def _short_prompt(context, domain="east"):
    prompt = types.Prompt(
        (
            types.PromptPart(f"chat-{context.rng.randrange(8)}", 300),
            types.PromptPart("own", 1_000),
        ),
        1_300,
        170,
    )
    return choice.Requirements(SERVICE, domain, prompt, gap_target_s=0.15)


def _send(context, requirements, now_s):
    found = context.balancer.choose(requirements, context.engines, now_s)
    ticket = context.balancer.begin(found, requirements, now_s)
    return found.server, ticket


@behave.then(
    "no long prompt goes to an engine that serves latency-sensitive requests"
)
def then_separated(context):
    used = {"long": set(), "short": set()}
    for n in range(300):
        domain = DOMAINS[n % 3]
        for kind, make in (("long", _long_prompt), ("short", _short_prompt)):
            server, ticket = _send(context, make(context, domain=domain), n)
            used[kind].add(server.server_id)
            context.balancer.end(ticket, True, n + 0.5)
    assert not used["long"] & used["short"], used


@behave.then("all nodes agree on those engines")
def then_agree(context):
    expected = choice.low_latency_servers(context.engines)
    for _ in range(5):
        context.rng.shuffle(context.engines)
        assert choice.low_latency_servers(context.engines) == expected
    assert len(expected) == 3, expected


@behave.when("200 long prompts arrive at once in one failure domain")
def when_burst(context):
    context.used = [
        _send(context, _long_prompt(context), 1.0)[0] for _ in range(200)
    ]


@behave.then("some spill to the other engines and failure domains")
def then_spill(context):
    low_latency = choice.low_latency_servers(context.engines)
    assert any(s.server_id in low_latency for s in context.used)
    assert {s.failure_domain for s in context.used} == set(DOMAINS)


@behave.then("prompts with one shared part go to one engine of their domain")
def then_same_engine(context):
    for n in range(20):
        servers = set()
        for turn in range(4):
            # Another node chooses the same engine without any history.
            context.balancer = choice.LoadBalancer()
            requirements = _long_prompt(context, shared=f"same-{n}")
            server, _ = _send(context, requirements, float(turn))
            servers.add(server.server_id)
        assert len(servers) == 1, servers


@behave.when("one engine fails 6 requests")
def when_fails(context):
    requirements = _short_prompt(context)
    context.failing, ticket = _send(context, requirements, 1.0)
    context.balancer.end(ticket, False, 1.0)
    for _ in range(5):
        found = choice.Choice(context.failing, 0.0, 0, 0)
        ticket = context.balancer.begin(found, requirements, 1.0)
        context.balancer.end(ticket, False, 1.0)


@behave.then("it gets none of the next 20 and some after it has recovered")
def then_avoided(context):
    for _ in range(20):
        server, ticket = _send(context, _short_prompt(context), 1.1)
        context.balancer.end(ticket, True, 1.1)
        assert server.server_id != context.failing.server_id
    later = set()
    for _ in range(40):
        server, _ = _send(context, _short_prompt(context), 60.0)
        later.add(server.server_id)
    assert context.failing.server_id in later


@behave.when("the servers go through 50 successive lifetimes")
def when_lifetimes(context):
    context.tickets = []
    for started_ms in range(50):
        context.engines = [
            e._replace(started_ms=started_ms) for e in context.engines
        ]
        _, ticket = _send(context, _long_prompt(context), 1.0)
        if started_ms == 10:
            context.running = ticket
            continue
        context.balancer.end(ticket, True, 1.0)


@behave.then(
    "the load balancer keeps only live lifetimes and those with open requests"
)
def then_retained(context):
    live = {e.lifetime for e in context.engines}
    context.balancer.retain(live)
    expected = live | {context.running.server.lifetime}
    assert set(context.balancer._loads) == expected
    context.balancer.end(context.running, True, 2.0)
    context.balancer.retain(live)
    assert set(context.balancer._loads) == live


# provisioning


@behave.given(
    "a service with a baseline of 3 servers in each of 3 failure domains"
)
def given_service(context):
    context.baseline = dict.fromkeys(DOMAINS, 3)
    context.scaling = types.Scaling(
        1, 8, 4.0, 0.2, {"east": 1.0, "west": 0.8, "north": 1.25}
    )
    context.counts = {d: provisioning.Counts(3, 0) for d in DOMAINS}


def _orders(context):
    service = types.Service("llm", 100, ENGINE, context.scaling)
    return provisioning.plan(service, context.baseline, context.counts)


@behave.when("no cheap server runs yet")
def when_none_running(context):
    pass


@behave.when("all cheap servers run")
def when_all_running(context):
    context.counts = {d: provisioning.Counts(1, 6) for d in DOMAINS}


@behave.when("one failure domain is reclaimed")
def when_one_reclaimed(context):
    when_all_running(context)
    context.counts["east"] = provisioning.Counts(1, 0)


@behave.when("two failure domains are reclaimed")
def when_two_reclaimed(context):
    when_one_reclaimed(context)
    context.counts["west"] = provisioning.Counts(1, 0)


@behave.when("two failure domains and a part of the third are reclaimed")
def when_part_reclaimed(context):
    when_two_reclaimed(context)
    context.counts["north"] = provisioning.Counts(1, 4)


@behave.when("all cheap servers are reclaimed")
def when_all_reclaimed(context):
    context.counts = {d: provisioning.Counts(1, 0) for d in DOMAINS}


@behave.when("the maximum is 2 servers per failure domain")
def when_lower_maximum(context):
    context.scaling = context.scaling._replace(maximum=2)
    context.baseline = dict.fromkeys(DOMAINS, 2)
    context.counts = {d: provisioning.Counts(2, 0) for d in DOMAINS}


@behave.when("no cheap servers are offered")
def when_no_cheap(context):
    context.scaling = context.scaling._replace(cheap_price=None)


@behave.when("cheap servers cost two thirds of the on-demand price")
def when_two_thirds(context):
    context.scaling = context.scaling._replace(cheap_price=0.667)


@behave.then(
    "the plan orders {on_demand:d} on-demand and {cheap:d} cheap servers"
)
def then_orders(context, on_demand, cheap):  # fmt: skip
    orders = _orders(context)
    found = [
        sum(o.count for o in orders if o.is_cheap == kind)
        for kind in (False, True)
    ]
    assert found == [on_demand, cheap], orders


@behave.then(
    "over 300 seeded steps the ordered servers never fall below the baseline"
)
def then_never_below(context):  # fmt: skip
    rng = random.Random(11)
    initial = sum(context.baseline.values())
    for _ in range(300):
        before = sum(sum(c) for c in context.counts.values())
        for order in _orders(context):
            counts = context.counts[order.failure_domain]
            if order.is_cheap:
                grown = min(order.count, counts.cheap + rng.randrange(2))
                counts = counts._replace(cheap=grown)
            elif order.count < counts.on_demand:
                counts = counts._replace(on_demand=order.count)
            else:
                grown = min(order.count, counts.on_demand + rng.randrange(2))
                counts = counts._replace(on_demand=grown)
            context.counts[order.failure_domain] = counts
        after = sum(sum(c) for c in context.counts.values())
        assert after >= min(before, initial), (before, after)
        if rng.random() < 0.1:
            lost = rng.choice(DOMAINS)
            context.counts[lost] = context.counts[lost]._replace(cheap=0)


@behave.then("an order is sent every 3 s until it is fulfilled")
def then_repeated(context):
    sent_orders = provisioning.SentOrders()
    order = provisioning.Order("llm", "east", True, 3)
    unmet = {"east": provisioning.Counts(1, 0)}
    met = {"east": provisioning.Counts(1, 3)}
    sent_s = []
    for tenth in range(100):
        now_s = tenth / 10
        counts = unmet if now_s < 5 else met
        for due in sent_orders.due([order], counts, now_s):
            sent_orders.record(due, now_s)
            sent_s.append(now_s)
    assert sent_s == [0.0, 3.0], sent_s
