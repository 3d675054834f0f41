"""Two machines of a zone are killed while a runner of that zone names a limit.

The nodes share one issuer of permits for each runner that names `Server-Limit`: the node
of the runner's zone that ranks first, or the second one. With all nodes of the zone gone,
each remaining node becomes the issuer for itself.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import lab  # noqa: E402

ZONES = {"cebu-a": "visayas-central", "iloilo-a": "visayas-west", "manila-a": "luzon"}
NODES = {"cebu-a": 4, "iloilo-a": 3, "manila-a": 2}
LIMIT_PER_S = 2.0
REQUESTS_PER_S = 24.0
TIME_LIMIT_S = 3.0
RETRIES = 1
LIMIT_AT_S = 4.0
KILL_AT_S = 12.0
# As long as `node_kill` with power lasts in the site file.
AWAY_S = 3.5
END_AT_S = 26.0
# The figures of the rule.
STABLE_S = 4.0
SPAN_S = 4.0
FACTOR = 1.5
SLACK = 5
PASSED_ON_S = 0.5


class LimitedRunner(lab.Runner):
    """Says in its answers which runner it is."""

    async def run(self, request, attempt, fields):
        return await super().run(request, attempt, [*fields, ("X-Runner", self.name)])


async def case(record):
    rng = random.Random(10)
    deployment = lab.Lab(record, ZONES)
    await deployment.store.start()
    for zone in ZONES:
        runner = LimitedRunner(record, deployment.store, f"i-{zone}", "front-desk", zone)
        deployment.runners.append(runner)
        await runner.start()
    await deployment.store.put("op", "config", CONFIG)
    deployment.add_nodes(NODES)
    try:
        await deployment.start_nodes()
        return await play(record, rng, deployment)
    finally:
        await deployment.close()


CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "ticket-lookup",
            "host": "kalibo.example",
            "prefix": "/ticket/",
            "type": "safe",
            "timeoutMs": 6000,
            "targetLatencyMs": 500,
            "priority": 2,
            "attempts": 2,
            "service": "front-desk",
        }
    ],
    "services": [{"name": "front-desk", "maxConns": 110}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


async def play(record, rng, deployment):
    # First time at which each node passed on a limited answer of each runner.
    passed_s = {}
    named_s = {}
    began_s = time.monotonic()
    killed = [node for node in deployment.nodes if node.zone == "manila-a"]
    state = {"away": set(), "tasks": []}

    async def client():
        for _ in range(1 + RETRIES):
            # The balancer takes nodes that are down out of rotation.
            up = [n for n in deployment.nodes if n not in state["away"]]
            node = rng.choice(up)
            answer = await deployment.call(
                node, "GET", "kalibo.example", "/ticket/1", deployment.new_id(), TIME_LIMIT_S
            )
            runner = answer.headers.get("x-runner")
            if runner and "server-limit" in answer.headers:
                passed_s.setdefault((node.ip, runner), time.monotonic())
            if answer.status != 503:
                return
            wait_s = float(answer.headers.get("retry-after", 0))
            if wait_s > TIME_LIMIT_S / 3:
                return
            await asyncio.sleep(wait_s)

    async def events():
        await asyncio.sleep(LIMIT_AT_S)
        for runner in deployment.runners:
            runner.limit_per_s = LIMIT_PER_S
            named_s[runner.name] = time.monotonic()
        record.write("limit named", limit_per_s=LIMIT_PER_S)
        await asyncio.sleep(KILL_AT_S - LIMIT_AT_S)
        if not lab.has_trouble():
            return
        for node in killed:
            node.kill()
            state["away"].add(node)
            record.write("killed", node=node.name)

        async def bring_back(node):
            await node.restart_after(AWAY_S)
            while not await node.is_ready():
                await asyncio.sleep(0.1)
            record.write("back", node=node.name)
            state["away"].discard(node)

        await asyncio.gather(*(bring_back(node) for node in killed))

    event_task = asyncio.create_task(events())
    clients = []
    while time.monotonic() - began_s < END_AT_S:
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.wait_for(event_task, 20)
    await asyncio.gather(*clients)
    excused = {node.ip for node in killed} if lab.has_trouble() else set()
    return any(
        [judge(record, runner, named_s[runner.name], passed_s, excused)
         for runner in deployment.runners]
    )


def judge(record, runner, named_s, passed_s, excused):
    """Return whether a runner got more in some 4 s than the rule allows."""
    counted = [
        at_s
        for at_s, _, sender in runner.arrivals
        if sender not in excused
        and at_s >= named_s + STABLE_S
        and at_s >= passed_s.get((sender, runner.name), float("inf")) + PASSED_ON_S
    ]
    worst = max(
        (sum(start_s <= s < start_s + SPAN_S for s in counted) for start_s in counted),
        default=0,
    )
    allowed = FACTOR * LIMIT_PER_S * SPAN_S + SLACK
    record.write("most in 4 s", runner=runner.name, got=worst, allowed=allowed)
    return worst > allowed


if __name__ == "__main__":
    lab.main(case, FOLDER)
