"""Messages that nodes exchange.

Messages are encoded as arrays, so a new field goes last and has a default.
"""

from typing import Any
from typing import Union

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of all messages."""


class PoolSummary(msgspec.Struct, array_like=True, frozen=True):
    """Load of one pool.

    Attributes:
        wait_s: Estimated queueing time by tier.
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
    """Shows the members of a failure domain that a node is alive.

    Attributes:
        incarnation: Increases with each start of the node.
        platform_age_s: Seconds since the platform last responded to the node.
        pools: Load of the pools for which the node is the broker.
        counters: Increase of the token counters since the last heartbeat.
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
    """Requests permission to run a request from the broker of a pool.

    Attributes:
        wait_budget_s: Maximum useful queueing time for a grant.
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
        is_proven: Whether the server has succeeded since its last failure.
    """

    request_id: str
    pool: str
    server: str
    address: str
    is_cheap: bool
    is_proven: bool = True


class Queued(Message):
    """Confirms that a request is queued."""

    request_id: str


class Refused(Message):
    """Rejects a request that has not run.

    Attributes:
        reason: One of the refusal reasons of the scheduling library.
        retry_after_s: Seconds after which the request may be retried.
    """

    request_id: str
    reason: str
    retry_after_s: float


class Preempted(Message):
    """Revokes a grant in favour of a request of a higher tier."""

    request_id: str
    pool: str
    server: str


class Moved(Message):
    """Requests that the entry move a request off a leaving server."""

    request_id: str
    pool: str
    server: str


class Release(Message):
    """Ends a queued request or a grant.

    Attributes:
        outcome: One of the outcomes of the scheduling library.
        first_token_s: Time from dispatch to the first token, 0 if none.
        cached_tokens: Prompt tokens that the engine reused from its cache.
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
    """Reports that an isolated request may share its server from now on."""

    request_id: str
    pool: str


class RunningGrant(msgspec.Struct, array_like=True, frozen=True):
    """One grant that an entry holds."""

    request_id: str
    server: str
    tier: int
    client_account: str
    output_tokens: int
    cheap: str


class EntrySync(Message):
    """Reports the queued and running requests of an entry in a pool.

    Attributes:
        running: All grants in full; sent to a broker without this state.
        progress: Output tokens by request; sent periodically.
        interval_s: Maximum time until the next sync.
    """

    reply_address: str
    pool: str
    waiting: tuple[str, ...]
    running: tuple[RunningGrant, ...] = ()
    progress: dict[str, int] = {}
    interval_s: float = 0.5


class SyncUnknown(Message):
    """Lists queued requests that are unknown to the broker."""

    pool: str
    request_ids: tuple[str, ...]


class HoldQuery(Message):
    """Requests an EntrySync of a pool.

    A broker without the state of the pool sends it to every member of the
    domain; it is also sent to an entry that reports unknown grants.
    """

    reply_address: str
    pool: str


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """A member of another failure domain."""

    name: str
    control_address: str
    incarnation: int


class DomainSummary(Message):
    """Sends the soft state of one failure domain to another.

    Attributes:
        lowest_version: Lowest declarations version in use in the domain.
        counters: Increase of the token counters by client account.
        quarantined: Remaining quarantine in seconds by request fingerprint.
        sequence: Increases with each summary of a sender.
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
    """Marks a request fingerprint as suspect, or clears it."""

    fingerprint: str
    marks: int
    ttl_s: float


class ConfigPush(Message):
    """Sends the changes committed after a version."""

    sender_address: str
    changes: tuple[dict[str, Any], ...]


class ConfigRequest(Message):
    """Requests the changes after a version from a node."""

    reply_address: str
    after_version: int


class ConfigState(Message):
    """Sends the complete declarations of a node."""

    version: int
    sections: dict[str, dict[str, str]]


class VmListPush(Message):
    """Sends the latest VM list that a node has read."""

    age_s: float
    vms: tuple[dict[str, Any], ...]


class UsageHold(Message):
    """Requests that a peer hold a usage batch until it is flushed."""

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
    """Notifies a peer that usage batches are in the table service."""

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
    """Return the encoded form of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Message:
    """Return the decoded message of a frame.

    Raises:
        msgspec.DecodeError: The frame is not a known message.
    """
    return _decoder.decode(frame)
