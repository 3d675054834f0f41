"""Steps of tiers.feature: the scheduler alone and tiers end to end."""

import random
import time

import behave

from bilberryturn import scheduling
from bilberryturn.scheduling import types
from support import traffic


def make_request(number, tier, account, now_s, **fields):
    values = {
        "request_id": f"r{number}",
        "tier": tier,
        "client_account": account,
        "weight": 1.0,
        "input_tokens": 20,
        "output_tokens": 50,
        "arrived_s": now_s,
        "grant_deadline_s": now_s + 1000.0,
        "first_token_deadline_s": now_s + 0.65,
        "cheap": "always",
    }
    return scheduling.WaitingRequest(**{**values, **fields})


def make_queue(servers, **options):
    counters = scheduling.TokenCounters()
    queue = scheduling.PoolQueue(
        scheduling.PoolOptions(ramp_s=0.0, **options), counters
    )
    queue.set_servers(servers, 0.0)
    return queue


class RandomRun:
    """Runs random scheduler operations and checks every decision."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.seed = seed
        self.max_waiting = 12
        self.server_specs = [
            scheduling.ServerSpec(
                f"s{i}", "a", self.rng.randint(1, 3), i % 2 == 1
            )
            for i in range(self.rng.randint(1, 4))
        ]
        self.queue = make_queue(
            self.server_specs,
            max_waiting=self.max_waiting,
            starvation_share=5,
            starvation_wait_s=3.0,
            admission=False,
        )
        self.now_s = 0.0
        self.request_count = 0
        self.violations = []

    def add_violation(self, kind, *details):
        self.violations.append((self.seed, self.request_count, kind, *details))

    def run(self, steps):
        for _ in range(steps):
            self.now_s += self.rng.uniform(0.0, 0.8)
            running = list(self.queue.table.running)
            choice = self.rng.random()
            if choice < 0.5:
                self.submit()
            elif choice < 0.85 and running:
                self.finish(self.rng.choice(running))
            elif choice < 0.9:
                self.drain_random_servers()
            else:
                self.check(self.queue.tick(self.now_s), None)
            self.check_bounds()
        return self.violations

    def submit(self):
        self.request_count += 1
        rng = self.rng
        request = make_request(
            self.request_count,
            rng.randrange(5),
            f"account-{rng.randrange(4)}",
            self.now_s,
            grant_deadline_s=self.now_s + rng.uniform(1, 40),
            cheap=rng.choice(["never", "reserved", "always"]),
            preemptions=rng.choice([0, 0, 0, 1, 2]),
            isolated=rng.random() < 0.05,
        )
        self.check(self.queue.submit(request, self.now_s), request)

    def finish(self, request_id):
        outcome = self.rng.choice(["done", "done", "failed", "cancelled"])
        tokens = self.rng.randrange(100)
        decisions = self.queue.finish(
            request_id, outcome, tokens, self.now_s, 0.1, 1.0
        )
        self.check(decisions, None)

    def drain_random_servers(self):
        specs = [
            spec._replace(leaving=self.rng.random() < 0.3)
            for spec in self.server_specs
        ]
        self.queue.set_servers(specs, self.now_s)
        self.check(self.queue.tick(self.now_s), None)

    def check(self, decisions, arriving):
        for decision in decisions:
            if isinstance(decision, types.Refusal):
                self.check_refusal(decision, arriving)
            elif isinstance(decision, types.Preemption):
                if decision.victim_tier <= decision.beneficiary_tier:
                    self.add_violation("preempted for a lower tier", decision)
            else:
                self.check_grant(decision)

    def check_refusal(self, refusal, arriving):
        if refusal.reason == types.REASON_SHED:
            if refusal.request.tier < arriving.tier:
                self.add_violation("shed for a lower tier", refusal, arriving)
        elif refusal.reason == types.REASON_QUEUE_FULL:
            waiting = self.queue.waiting_by_tier()
            if any(tier > refusal.request.tier for tier in waiting):
                self.add_violation("refused while a lower tier waits", refusal)

    def check_grant(self, grant):
        request = grant.request
        server = self.queue.table.servers[grant.server]
        if server.spec.leaving:
            self.add_violation("granted a leaving server", grant)
        waited_s = self.now_s - request.arrived_s
        for other in self.queue._waiting.values():
            if other.tier >= request.tier or other.isolated:
                continue
            if other.arrived_s == self.now_s or waited_s >= 3.0:
                continue
            is_usable = not server.spec.cheap or self.queue.table.allows_cheap(
                other
            )
            if is_usable and other.arrived_s <= request.arrived_s:
                self.add_violation("passed over a higher tier", request, other)

    def check_bounds(self):
        if self.queue.waiting_count > self.max_waiting:
            self.add_violation("the queue is too long")
        for server in self.queue.table.servers.values():
            if len(server.running) > server.spec.slots:
                self.add_violation("too many requests", server.spec)


@behave.when("the scheduler executes {count:d} random runs of {steps:d} steps")
def step_random_runs(context, count, steps):
    context.violations = [
        violation
        for seed in range(count)
        for violation in RandomRun(seed).run(steps)
    ]


def check_no_violation(context, *kinds):
    violations = [f for f in context.violations if f[2] in kinds]
    assert not violations, violations[:2]


@behave.then("no higher tier was ever shed or preempted for a lower one")
def step_no_shed(context):
    check_no_violation(
        context,
        "shed for a lower tier",
        "preempted for a lower tier",
        "refused while a lower tier waits",
    )


@behave.then(
    "no lower tier was granted a slot that a higher one could use, but for"
    " its guaranteed share"
)
def step_tier_order(context):
    check_no_violation(
        context, "passed over a higher tier", "granted a leaving server"
    )


@behave.then("no server ever had more requests than slots")
def step_slots(context):
    check_no_violation(context, "too many requests")


@behave.then("every queue stayed within its bound")
def step_bound(context):
    check_no_violation(context, "the queue is too long")


class Simulation:
    """Runs a queue in simulated time; each request runs for one second."""

    def __init__(self, slots=4, **options):
        self.queue = make_queue(
            [scheduling.ServerSpec("s", "a", slots)],
            admission=False,
            preemption=False,
            **options,
        )
        self.now_s = 0.0
        self.request_count = 0
        self.completions = []
        self.granted = []

    def submit(self, tier, account, **fields):
        self.request_count += 1
        request = make_request(
            self.request_count, tier, account, self.now_s, **fields
        )
        self.record_grants(self.queue.submit(request, self.now_s))

    def record_grants(self, decisions):
        for decision in decisions:
            if isinstance(decision, types.Grant):
                self.granted.append((self.now_s, decision.request))
                self.completions.append(
                    (self.now_s + 1.0, decision.request.request_id)
                )

    def advance(self, step_s):
        self.now_s += step_s
        due = [
            completion
            for completion in self.completions
            if completion[0] <= self.now_s
        ]
        self.completions = [
            completion
            for completion in self.completions
            if completion[0] > self.now_s
        ]
        for _, request_id in due:
            self.record_grants(
                self.queue.finish(request_id, "done", 50, self.now_s, 0.1, 1.0)
            )


@behave.when(
    "tier 0 requests twice the capacity for {seconds:d} seconds and tier 4"
    " sends one request"
)
def step_starvation(context, seconds):
    simulation = Simulation()
    for step in range(seconds * 8):
        simulation.submit(0, f"account-{step % 3}")
        if step == 40:
            simulation.submit(4, "patient")
        simulation.advance(0.125)
    context.simulation = simulation


@behave.then("the request of tier 4 was granted within {seconds:d} seconds")
def step_granted(context, seconds):
    waits = [
        at_s - request.arrived_s
        for at_s, request in context.simulation.granted
        if request.tier == 4
    ]
    assert len(waits) == 1 and waits[0] <= seconds, waits


@behave.then("tier 0 got at least {share:d} of 100 grants")
def step_share(context, share):
    tiers = [request.tier for _, request in context.simulation.granted]
    assert tiers.count(0) * 100 >= share * len(tiers)


@behave.when(
    "one account sends 20 times as many requests as another at twice the"
    " capacity"
)
def step_unequal_demand(context):
    simulation = Simulation()
    for step in range(600):
        simulation.submit(1, "large")
        if step % 20 == 0:
            simulation.submit(1, "small")
        simulation.advance(0.125)
    context.simulation = simulation


@behave.then("all requests of the small account were granted")
def step_small_account_served(context):
    accounts = [r.client_account for _, r in context.simulation.granted]
    assert accounts.count("small") >= 29, accounts.count("small")


@behave.when("an account returns after it was idle while another was served")
def step_account_returns(context):
    simulation = Simulation(max_waiting=5000)
    for _ in range(200):
        simulation.submit(1, "steady")
        simulation.advance(0.125)
    context.grants_before_return = len(simulation.granted)
    for _ in range(200):
        simulation.submit(1, "steady")
        simulation.submit(1, "returned")
        simulation.advance(0.125)
    context.simulation = simulation


@behave.then("the two get equal shares from then on")
def step_equal_shares(context):
    accounts = [
        r.client_account
        for _, r in context.simulation.granted[context.grants_before_return :]
    ]
    difference = accounts.count("steady") - accounts.count("returned")
    assert abs(difference) <= 4, difference


@behave.when("a server fails while it runs {count:d} requests")
def step_server_dies(context, count):
    breaker = scheduling.CircuitBreaker()
    opened = [breaker.record_failure(10.0) for _ in range(count)]
    assert opened.count(True) == 1, opened
    context.breaker = breaker


@behave.then(
    "it is probed after {seconds:d} second, with a longer delay after each"
    " failed probe"
)
def step_probe(context, seconds):
    breaker, now_s, wait_s = context.breaker, 10.0, float(seconds)
    for _ in range(4):
        assert not breaker.allows(now_s + wait_s - 0.01)
        now_s += wait_s
        assert breaker.allows(now_s)
        breaker.record_start(now_s)
        assert not breaker.allows(now_s)
        breaker.record_failure(now_s)
        wait_s *= 2
    breaker.record_start(now_s + wait_s)
    breaker.record_success()
    assert breaker.allows(now_s)


@behave.when("{count:d} isolated requests wait for one server that others use")
def step_isolated(context, count):
    queue = make_queue([scheduling.ServerSpec("s", "a", 8)], admission=False)
    for number in range(4):
        queue.submit(make_request(number, 1, "x", 0.0), 0.0)
    for number in range(10, 10 + count):
        # Higher numbers have earlier arrival times, as retries of older
        # requests do.
        request = make_request(
            number, 1, "x", 1.0 - number / 100, isolated=True, is_retry=True
        )
        queue.submit(request, 1.0)
    context.queue = queue
    context.ran = []
    for number in range(4):
        queue.finish(f"r{number}", "done", 5, 2.0, 0.1, 1.0)
    while queue.table.running:
        running = list(queue.table.running)
        context.ran.append(running)
        queue.end_probation(running[0], 3.0)
        context.reserved_after_probation = queue.table.servers["s"].reserved_for
        queue.finish(running[0], "done", 5, 4.0, 0.1, 1.0)


@behave.then("all of them run in turn, each alone until its probation is over")
def step_isolated_ran(context):
    assert len(context.ran) == 12, context.ran
    assert all(len(running) == 1 for running in context.ran), context.ran
    order = [running[0] for running in context.ran]
    assert order == [f"r{n}" for n in range(21, 9, -1)], order
    assert context.queue.waiting_count == 0
    assert context.reserved_after_probation == ""


@behave.when(
    "reserved requests with a target of {target:f} seconds fill {paid:d} paid"
    " and {cheap:d} cheap slots"
)
def step_reserve(context, target, paid, cheap):
    queue = make_queue(
        [
            scheduling.ServerSpec("paid", "a", paid),
            scheduling.ServerSpec("cheap", "b", cheap, True),
        ],
        admission=False,
        preemption=False,
    )
    for number in range(20):
        request = make_request(
            number, 1, "x", 0.0, cheap="reserved", first_token_deadline_s=target
        )
        queue.submit(request, 0.0)
    context.cheap_running = len(queue.table.servers["cheap"].running)
    context.paid_running = len(queue.table.servers["paid"].running)
    for number in range(100, 120):
        queue.submit(make_request(number, 3, "x", 0.0, cheap="always"), 0.0)
    context.queue = queue


@behave.then(
    "at most {count:d} of them run on cheap servers, whatever order they came"
    " in"
)
def step_reserved(context, count):
    # A request is assumed to run for one second until a run was measured.
    assert context.cheap_running == count, context.cheap_running
    assert context.paid_running == 4, context.paid_running


@behave.then("requests that are always cheap fill the rest")
def step_rest_filled(context):
    running = len(context.queue.table.running)
    assert running == 12, running


@behave.when("tier 3 floods the engine while tier 0 sends occasional requests")
def step_flood(context):
    flood = traffic.Traffic(
        context.cluster,
        [context.key],
        threads=24,
        tokens=60,
        profiles=("history-digest",),
        seed=19,
    ).start()
    flood.wait_for_count(4)
    context.urgent = []
    for number in range(12):
        context.urgent.append(
            traffic.send_chat(
                context.cluster,
                context.cluster.nodes[number % 2],
                context.key,
                "front-desk",
                f"urgent {number}",
                8,
            )
        )
        time.sleep(0.1)
    context.outcomes = flood.stop()


@behave.then("every request of tier 0 is answered and none was refused")
def step_urgent(context):
    assert not traffic.describe_incorrect(context.urgent), (
        traffic.describe_incorrect(context.urgent)
    )
    first_token_times_s = sorted(o.answer.first_token_s for o in context.urgent)
    print(
        "time to first token of tier 0:",
        [round(f, 3) for f in first_token_times_s],
    )


@behave.then("some requests of tier 3 are answered too")
def step_some_answered(context):
    correct_count = sum(o.is_correct for o in context.outcomes)
    print(f"tier 3: {correct_count} of {len(context.outcomes)} correct")
    assert correct_count >= 10, correct_count


@behave.then('every refusal that says "not run" is true')
def step_not_run(context):
    traffic.check_not_run_refusals(
        context.cluster, [o.answer for o in context.outcomes]
    )
