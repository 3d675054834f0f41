"""Generate seeded workloads that mix short chats and long drafts."""

import math
import random
from typing import NamedTuple


class RequestClass(NamedTuple):
    """A request class of a deployment.

    Attributes:
        share: Share of all requests.
        output_tokens: Mean response length; lengths are log-normal.
        first_token_target_s: Target for the time to the first token.
        max_wait_s: Waiting time after which the caller disconnects.
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
    """The servers of one pool and its workload."""

    name: str
    classes: tuple[RequestClass, ...]
    paid_servers: int
    cheap_servers: int
    slots: int
    accounts: tuple[float, ...]


class Arrival(NamedTuple):
    """One request of a workload and its arrival time."""

    number: int
    at_s: float
    kind: RequestClass
    account: str
    input_tokens: int
    output_tokens: int
    prefix: str


# Shares of requests: both deployments have a few large client accounts and
# many small ones.
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
    """Return the mean time in seconds for which a request occupies a slot."""
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
    """Return arrivals with bursts, at a multiple of the capacity.

    Args:
        deployment: Servers and request classes.
        demand: Offered load as a multiple of the capacity of all servers.
        duration_s: Time over which requests arrive.
        service_s: Mean time for which a request occupies a slot.
        seed: Seed of the random generator.
    """
    rng = random.Random(seed)
    servers = deployment.paid_servers + deployment.cheap_servers
    rate = demand * servers * deployment.slots / service_s
    arrivals = []
    now_s = 0.0
    while True:
        # The rate varies by 50 % with a period of 15 s.
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
