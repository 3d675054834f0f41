"""Make seeded demand of mixed short chats and long drafts."""

import math
import random
from typing import NamedTuple


class RequestClass(NamedTuple):
    """Describes a class of work in a deployment.

    Attributes:
        share: Share of all requests.
        output_tokens: Mean length of answers; lengths vary widely.
        first_token_target_s: Target of the class.
        max_wait_s: Time after which the caller gives up.
    """

    name: str
    tier: int
    share: float
    input_tokens: int
    output_tokens: int
    first_token_target_s: float
    max_wait_s: float
    cheap: str


class Deployment(NamedTuple):
    """Describes the shape of a fleet and its demand in one pool."""

    name: str
    classes: tuple[RequestClass, ...]
    paid_servers: int
    cheap_servers: int
    slots: int
    accounts: tuple[float, ...]


class Arrival(NamedTuple):
    """Describes one request that is going to be sent."""

    number: int
    at_s: float
    kind: RequestClass
    account: str
    input_tokens: int
    output_tokens: int
    prefix: str


# A few large accounts and many small ones, as both deployments have.
ACCOUNTS = (0.3, 0.25, 0.2, 0.05, 0.05, 0.04, 0.04, 0.03, 0.02, 0.02)

TALLER = Deployment(
    "taller",
    (
        RequestClass("question", 0, 0.45, 120, 60, 0.65, 5.0, "never"),
        RequestClass("history", 1, 0.25, 400, 150, 2.0, 15.0, "reserved"),
        RequestClass("quote", 2, 0.2, 800, 400, 5.0, 30.0, "reserved"),
        RequestClass("digest", 3, 0.1, 1500, 500, 30.0, 60.0, "always"),
    ),
    2,
    1,
    8,
    ACCOUNTS,
)
KALIBO = Deployment(
    "kalibo",
    (
        RequestClass("walk-in", 0, 0.3, 100, 50, 0.65, 5.0, "never"),
        RequestClass("bench-draft", 1, 0.45, 1200, 450, 3.0, 20.0, "reserved"),
        RequestClass("note", 2, 0.25, 300, 200, 10.0, 60.0, "always"),
    ),
    1,
    1,
    12,
    ACCOUNTS,
)
DEPLOYMENTS = (TALLER, KALIBO)


def mean_service_s(
    deployment: Deployment, token_interval_s: float, prefill_s: float
) -> float:
    """Return the mean time for which a request holds a slot."""
    return sum(
        kind.share
        * (
            kind.input_tokens * prefill_s
            + kind.output_tokens * token_interval_s
        )
        for kind in deployment.classes
    )


def make_arrivals(
    deployment: Deployment,
    demand: float,
    duration_s: float,
    service_s: float,
    seed: int,
) -> list[Arrival]:
    """Return arrivals with bursts at a multiple of the capacity.

    Args:
        deployment: Shape of fleet and demand.
        demand: Offered work as a multiple of what all servers can do.
        duration_s: Time over which requests arrive.
        service_s: Mean time for which a request holds a slot.
        seed: Seed of all random choices.
    """
    rng = random.Random(seed)
    servers = deployment.paid_servers + deployment.cheap_servers
    rate = demand * servers * deployment.slots / service_s
    arrivals = []
    now_s = 0.0
    while True:
        # The rate swings by half over a quarter of a minute.
        rate_factor = 1.0 + 0.5 * math.sin(2 * math.pi * now_s / 15.0)
        now_s += rng.expovariate(rate * rate_factor)
        if now_s >= duration_s:
            return arrivals
        kind = rng.choices(
            deployment.classes, [c.share for c in deployment.classes]
        )[0]
        index = rng.choices(
            range(len(deployment.accounts)), deployment.accounts
        )[0]
        account = f"account-{index}"
        sigma = 0.8
        length_factor = rng.lognormvariate(-sigma * sigma / 2, sigma)
        output_tokens = max(4, int(kind.output_tokens * length_factor))
        arrivals.append(
            Arrival(
                len(arrivals),
                now_s,
                kind,
                account,
                kind.input_tokens,
                output_tokens,
                f"{account}/{kind.name}/{rng.randrange(3)}",
            )
        )
