"""All machines are killed once while the runners of a service are full.

Each node counts the repeats that it has sent in its own memory, so that a node that starts
again has its whole share of the repeats once more.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import lab  # noqa: E402

ZONES = {"cebu-a": "visayas-central", "iloilo-a": "visayas-west", "manila-a": "luzon"}
NODES = {"cebu-a": 4, "iloilo-a": 3, "manila-a": 2}
RUNNERS_PER_ZONE = 2
REQUESTS_PER_S = 3.0
TIME_LIMIT_S = 6.0
RETRIES = 1
FULL_AT_S = 2.0
KILL_AT_S = 7.0
RESTART_S = 0.5
END_AT_S = 18.0
# The figures of the rule.
WINDOW_S = 10.0
RATIO = 0.2
SLACK = 58
STEP_S = 0.1


class FullRunner(lab.Runner):
    """A runner that is full from some time on.

    Attributes:
        is_full: Whether its slots and its queue are taken.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_full = False

    async def _answer(self, request, peer):
        if not self.is_full:
            return await super()._answer(request, peer)
        attempt = request.headers.get("x-bilberryturn-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt, peer))
        self._record.write("arrives", runner=self.name, request=attempt, answers=503)
        fields = [*self.head_fields(request), ("X-Bilberryturn-Not-Run", "1")]
        return lab.response(503, b"", fields)


async def case(record):
    deployment = lab.Lab(record, ZONES)
    await deployment.store.start()
    for zone in ZONES:
        for number in range(RUNNERS_PER_ZONE):
            name = f"i-{zone}-{number}"
            runner = FullRunner(record, deployment.store, name, "front-desk", zone)
            deployment.runners.append(runner)
            await runner.start()
    await deployment.store.put("op", "config", CONFIG)
    deployment.add_nodes(NODES)
    try:
        await deployment.start_nodes()
        return await play(record, deployment)
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
}


async def play(record, deployment):
    rng = random.Random(10)
    turns = itertools.cycle(deployment.nodes)
    sent = []
    away = set()
    began_s = time.monotonic()

    async def client():
        end_s = time.monotonic() + TIME_LIMIT_S
        for _ in range(1 + RETRIES):
            if len(away) == len(deployment.nodes):
                return
            attempt = deployment.new_id()
            sent.append(time.monotonic())
            answer = await deployment.call(
                next(node for node in turns if node not in away),
                "GET",
                "kalibo.example",
                f"/ticket/{attempt}",
                attempt,
                end_s - time.monotonic(),
            )
            wait_s = float(answer.headers.get("retry-after", 0.1))
            left_s = end_s - time.monotonic()
            if answer.status == 200 or wait_s > left_s / 3:
                return
            await asyncio.sleep(wait_s)

    async def bring_back(node):
        await node.restart_after(RESTART_S)
        while not await node.is_ready():
            await asyncio.sleep(0.1)
        record.write("back", node=node.name)
        away.discard(node)

    async def events():
        await asyncio.sleep(FULL_AT_S)
        for runner in deployment.runners:
            runner.is_full = True
        record.write("full", runners="all")
        await asyncio.sleep(KILL_AT_S - FULL_AT_S)
        if not lab.has_trouble():
            return
        record.write("killed", nodes="all")
        for node in deployment.nodes:
            away.add(node)
            node.kill()
        await asyncio.gather(*(bring_back(node) for node in deployment.nodes))

    event_task = asyncio.create_task(events())
    clients = []
    while time.monotonic() - began_s < END_AT_S:
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await event_task
    await asyncio.gather(*clients)
    return judge(record, deployment, sent, began_s)


def judge(record, deployment, sent, began_s):
    """Return whether some window has more repeats than the rule allows."""
    arrivals = sorted(
        (at_s, attempt) for runner in deployment.runners for at_s, attempt, _ in runner.arrivals
    )
    seen = collections.Counter()
    repeats = []
    for at_s, attempt in arrivals:
        seen[attempt] += 1
        if seen[attempt] > 1:
            repeats.append(at_s)

    def sent_in(from_s):
        return sum(from_s <= at_s < from_s + WINDOW_S for at_s in sent)

    worst = (float("-inf"), 0, 0.0, 0.0)
    start_s = began_s
    while start_s < began_s + END_AT_S:
        found = sum(start_s <= at_s < start_s + WINDOW_S for at_s in repeats)
        # Those of this window, of the one before or of the one half a window before.
        requests = max(sent_in(start_s - shift_s) for shift_s in (0, WINDOW_S / 2, WINDOW_S))
        allowed = RATIO * requests + SLACK
        worst = max(worst, (found - allowed, found, allowed, start_s - began_s))
        start_s += STEP_S
    record.write(
        "worst window", repeats=worst[1], allowed=round(worst[2], 1), from_s=round(worst[3], 1)
    )
    return worst[0] > 0


if __name__ == "__main__":
    lab.main(case, FOLDER)
