"""Types that scheduling decisions take and return."""

from typing import NamedTuple

NEVER_CHEAP = "never"
RESERVED_CHEAP = "reserved"

REASON_DEADLINE = "deadline"
REASON_QUEUE_FULL = "queue_full"
REASON_SHED = "shed"
REASON_RETRY_BUDGET = "retry_budget"
REASON_NO_SERVER = "no_server"


class PoolOptions(NamedTuple):
    """Scheduling policy of a pool.

    Attributes:
        max_waiting: Maximum length of the queue.
        starvation_share: A waiting tier gets one in this many dispatches once
            its first request has waited for starvation_wait_s.
        max_preemptions: How often one request may be preempted.
        cheap_preference: Factor on the expected time of a cheap server.
        ramp_s: Ramp-up time until a joining server offers all its slots.
        no_server_wait_s: How long a request waits if no server could run it.
    """

    max_waiting: int = 1000
    starvation_share: int = 20
    starvation_wait_s: float = 5.0
    max_preemptions: int = 2
    cheap_preference: float = 0.6
    ramp_s: float = 5.0
    no_server_wait_s: float = 5.0
    preemption: bool = True
    admission: bool = True


class ServerSpec(NamedTuple):
    """A backend server of a pool."""

    name: str
    address: str
    slots: int
    cheap: bool = False
    leaving: bool = False
    ramped: bool = True


class WaitingRequest(NamedTuple):
    """A request that waits for a grant.

    Attributes:
        grant_deadline_s: Time after which a grant is no longer useful.
        first_token_deadline_s: Time at which the first token is due.
        prefix_blocks: Hashes of the leading blocks of the prompt.
        isolated: Whether it must run alone on a server.
        preemptions: How often it has been preempted.
    """

    request_id: str
    tier: int
    client_account: str
    weight: float
    input_tokens: int
    output_tokens: int
    arrived_s: float
    grant_deadline_s: float
    first_token_deadline_s: float
    cheap: str = RESERVED_CHEAP
    prefix_blocks: tuple[str, ...] = ()
    excluded_servers: tuple[str, ...] = ()
    isolated: bool = False
    preemptions: int = 0
    is_retry: bool = False
    reply_address: str = ""


class Grant(NamedTuple):
    """Permission for a request to run on a server."""

    request: WaitingRequest
    server: str
    address: str
    is_cheap: bool


class Refusal(NamedTuple):
    """Refusal of a waiting request, which has not run."""

    request: WaitingRequest
    reason: str
    retry_after_s: float


class Preemption(NamedTuple):
    """Revocation of a grant in favour of a request of a higher tier.

    Attributes:
        beneficiary_tier: Tier of the request that needs the slot.
        victim_tier: Tier of the preempted request.
    """

    request_id: str
    server: str
    reply_address: str
    beneficiary_tier: int
    victim_tier: int


Decision = Grant | Refusal | Preemption
