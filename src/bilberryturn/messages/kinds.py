"""Define every message that nodes exchange.

Messages are arrays on the wire; new fields go last and have a default.
"""

from typing import Any
from typing import Union

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Is the base of all messages."""


class PoolSummary(msgspec.Struct, array_like=True, frozen=True):
    """Describes the load of one pool.

    Attributes:
        wait_s: Estimated wait by tier.
        busy_leaving: Leaving servers that still run requests.
    """

    pool: str
    free_slots: int
    wait_s: tuple[float, ...]
    cheap_free_slots: int = 0
    slots: int = 0
    busy: int = 0
    waiting: int = 0
    cheap_waiting: int = 0
    busy_leaving: tuple[str, ...] = ()


class Heartbeat(Message):
    """Tells the members of a failure domain that a node is alive.

    Attributes:
        incarnation: Greater after each start of the node.
        platform_age_s: Seconds since the node heard from the platform.
        pools: Load of the pools whose broker the node is.
        counters: Growth of token counters since the last heartbeat.
    """

    name: str
    failure_domain: str
    region: str
    control_address: str
    incarnation: int
    config_version: int
    leaving: bool = False
    platform_age_s: float = 0.0
    pools: tuple[PoolSummary, ...] = ()
    counters: dict[str, float] = {}


class GrantRequest(Message):
    """Asks the broker of a pool for permission to run a request.

    Attributes:
        wait_budget_s: Longest useful wait for a grant.
        prefix_blocks: Hashes of the prompt's leading blocks.
        excluded_servers: Servers on which this request must not run.
        isolated: Whether the request must run alone on a server.
    """

    request_id: str
    reply_address: str
    pool: str
    tier: int
    client_account: str
    weight: float
    input_tokens: int
    output_tokens: int
    wait_budget_s: float
    first_token_target_s: float
    cheap: str
    prefix_blocks: tuple[str, ...] = ()
    excluded_servers: tuple[str, ...] = ()
    isolated: bool = False
    preemptions: int = 0
    is_retry: bool = False
    waited_s: float = 0.0


class Granted(Message):
    """Permits one request to run on one backend server.

    Attributes:
        is_proven: Whether the server has done well since its last failure.
    """

    request_id: str
    pool: str
    server: str
    address: str
    is_cheap: bool
    is_proven: bool = True


class Queued(Message):
    """Confirms that a request waits."""

    request_id: str


class Refused(Message):
    """Refuses a request that has not run.

    Attributes:
        reason: One of the refusal reasons of the scheduling library.
        retry_after_s: When to try again.
    """

    request_id: str
    reason: str
    retry_after_s: float


class Preempted(Message):
    """Takes a grant back in favour of a higher tier."""

    request_id: str
    pool: str
    server: str


class Moved(Message):
    """Asks the entry to move a request off a leaving server."""

    request_id: str
    pool: str
    server: str


class Release(Message):
    """Ends a wait or a grant.

    Attributes:
        outcome: One of the outcomes of the scheduling library.
        first_token_s: Time from dispatch to the first token, 0 if none.
        cached_tokens: Prompt tokens the engine took from its cache.
    """

    request_id: str
    pool: str
    server: str
    outcome: str
    output_tokens: int
    first_token_s: float
    duration_s: float
    cached_tokens: int = 0


class ProbationPassed(Message):
    """Tells that a request that ran alone may have company now."""

    request_id: str
    pool: str


class RunningGrant(msgspec.Struct, array_like=True, frozen=True):
    """Describes one grant that an entry holds."""

    request_id: str
    server: str
    tier: int
    client_account: str
    output_tokens: int
    cheap: str


class EntrySync(Message):
    """Tells a broker what an entry waits for and runs in a pool.

    Attributes:
        running: Every grant in full; sent to a broker that has to learn them.
        progress: Output tokens by request; sent at an interval.
        interval_s: Time after which the next sync comes at the latest.
    """

    reply_address: str
    pool: str
    waiting: tuple[str, ...]
    running: tuple[RunningGrant, ...] = ()
    progress: dict[str, int] = {}
    interval_s: float = 0.5


class SyncUnknown(Message):
    """Names waiting requests that the broker does not know."""

    pool: str
    request_ids: tuple[str, ...]


class HoldQuery(Message):
    """Asks every member of the domain for an EntrySync of a pool."""

    reply_address: str
    pool: str


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """Names a member of another failure domain."""

    name: str
    control_address: str
    incarnation: int


class DomainSummary(Message):
    """Carries soft state from one failure domain to another.

    Attributes:
        lowest_version: Lowest declarations version in force in the domain.
        counters: Growth of token counters by client account.
        quarantined: Request fingerprints and their remaining seconds.
        sequence: Grows with each summary of a sender.
    """

    sender: str
    failure_domain: str
    region: str
    members: tuple[MemberInfo, ...]
    lowest_version: int
    pools: tuple[PoolSummary, ...]
    counters: dict[str, float]
    quarantined: dict[str, float]
    sequence: int
    platform_age_s: float = 0.0


class SuspectMark(Message):
    """Marks or clears a request fingerprint."""

    fingerprint: str
    marks: int
    ttl_s: float


class ConfigPush(Message):
    """Carries committed changes after a version."""

    sender_address: str
    changes: tuple[dict[str, Any], ...]


class ConfigRequest(Message):
    """Asks a node for the changes after a version."""

    reply_address: str
    after_version: int


class ConfigState(Message):
    """Carries the whole declarations of a node."""

    version: int
    sections: dict[str, dict[str, str]]


class VmListPush(Message):
    """Carries the newest VM list that a node has read."""

    age_s: float
    vms: tuple[dict[str, Any], ...]


class UsageHold(Message):
    """Asks a peer to hold a usage batch until it is flushed."""

    owner: str
    batch_id: str
    window: int
    revision: int
    rows: tuple[tuple[str, str, int, int, int], ...]
    reply_address: str = ""


class UsageHeld(Message):
    """Confirms that a peer holds a usage batch."""

    batch_id: str
    revision: int


class UsageFlushed(Message):
    """Tells a peer that a usage batch is in the table service."""

    batch_ids: tuple[str, ...]


AnyMessage = Union[  # noqa: UP007  msgspec reads the union at run time
    Heartbeat,
    GrantRequest,
    Granted,
    Queued,
    Refused,
    Preempted,
    Moved,
    Release,
    ProbationPassed,
    EntrySync,
    SyncUnknown,
    HoldQuery,
    DomainSummary,
    SuspectMark,
    ConfigPush,
    ConfigRequest,
    ConfigState,
    VmListPush,
    UsageHold,
    UsageHeld,
    UsageFlushed,
]

_decoder = msgspec.msgpack.Decoder(AnyMessage)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the wire form of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Message:
    """Return the message of a frame.

    Raises:
        msgspec.DecodeError: The frame is not a known message.
    """
    return _decoder.decode(frame)
