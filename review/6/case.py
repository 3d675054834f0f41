"""A runner that fails part of its requests answers 503 after it has worked on them.

Its answers don't bear `X-Bilberryturn-Not-Run`, so they don't state that it has not run the
request. The node hands the status on, which promises the client just that.
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
REQUESTS_PER_S = 10.0
TIME_LIMIT_S = 6.0
RETRIES = 1
# As `srv_grey` in the site file: a share of one runner's requests, for some seconds.
GREY_AT_S = 4.0
GREY_S = 6.5
GREY_SHARE = 0.45
END_AT_S = 14.0


class BookingRunner(lab.Runner):
    """Records bookings.

    Attributes:
        is_grey: Whether it fails part of its requests.
        bookings: Attempt and order of each booking that it has recorded.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_grey = False
        self.bookings = []
        self._rng = random.Random(self.name)

    async def run(self, request, attempt, fields):
        await asyncio.sleep(self._work_s)
        order = request.body.decode()
        self.bookings.append((attempt, order))
        seal = ("X-Bilberryturn-Server-Seal", "s")
        if self.is_grey and self._rng.random() < GREY_SHARE:
            # The booking is recorded; a service that it needs afterwards is away.
            self._record.write("runs", runner=self.name, request=attempt, answers=503)
            return lab.response(503, b"mail service unavailable", [*fields, seal])
        self._record.write("runs", runner=self.name, request=attempt, answers=200)
        return lab.response(200, f"booked {order}".encode(), [*fields, seal])


async def case(record):
    deployment = lab.Lab(record, ZONES)
    await deployment.store.start()
    for zone in ZONES:
        runner = BookingRunner(record, deployment.store, f"i-{zone}", "front-desk", zone)
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
            "name": "booking-order",
            "host": "kalibo.example",
            "prefix": "/booking/",
            "type": "unsafe",
            "timeoutMs": 6000,
            "targetLatencyMs": 500,
            "priority": 2,
            "attempts": 1,
            "service": "front-desk",
        }
    ],
    "services": [{"name": "front-desk", "maxConns": 110}],
}


async def play(record, deployment):
    rng = random.Random(6)
    refused = set()
    began_s = time.monotonic()

    async def client(order):
        """Book once; sent again only after an answer that promises it has not run."""
        left_s = TIME_LIMIT_S
        for _ in range(1 + RETRIES):
            attempt = deployment.new_id()
            answer = await deployment.call(
                rng.choice(deployment.nodes),
                "POST",
                "kalibo.example",
                "/booking/1",
                attempt,
                left_s,
                body=order.encode(),
            )
            if answer.status not in (408, 421, 429, 503):
                return
            refused.add(attempt)
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.1)))

    async def events():
        await asyncio.sleep(GREY_AT_S)
        if not lab.has_trouble():
            return
        deployment.runners[0].is_grey = True
        record.write("grey", runner=deployment.runners[0].name)
        await asyncio.sleep(GREY_S)
        deployment.runners[0].is_grey = False

    event_task = asyncio.create_task(events())
    clients = []
    while time.monotonic() - began_s < END_AT_S:
        clients.append(asyncio.create_task(client(f"order-{len(clients)}")))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await event_task
    await asyncio.gather(*clients)
    bookings = [b for runner in deployment.runners for b in runner.bookings]
    broken = [attempt for attempt, _ in bookings if attempt in refused]
    orders = [order for _, order in bookings]
    twice = sum(1 for order in set(orders) if orders.count(order) > 1)
    record.write("refused and run", count=len(broken))
    record.write("orders recorded twice", count=twice)
    return bool(broken)


if __name__ == "__main__":
    lab.main(case, FOLDER)
