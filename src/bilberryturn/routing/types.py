"""Define the data that routing decisions take and return."""

import enum
from typing import NamedTuple


class Repeatability(enum.Enum):
    """Says what may be sent to a second backend server."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    AT_MOST_ONCE = "at_most_once"


class Target(NamedTuple):
    """Names a service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describes the requests under one host and path prefix.

    Attributes:
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Time in which an answer, or its first event, is on time.
        gap_target_s: Longest pause between the events of a stream.
        priority: Rank; 0 is the highest.
        attempts: Most backend servers that may run one request.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    is_stream: bool
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    attempts: int
    is_public: bool
    targets: tuple[Target, ...]

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.repeatability is not Repeatability.AT_MOST_ONCE


class Engine(NamedTuple):
    """Describes the model engines of a service."""

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int


class Scaling(NamedTuple):
    """Bounds the backend servers that may be ordered in a failure domain.

    Attributes:
        boot_s: Time from the order until a new server takes requests.
        cheap_price: Price of a reclaimable server as share of another's.
        domain_prices: Price of a server second by failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    cheap_price: float | None
    domain_prices: dict[str, float]


class Service(NamedTuple):
    """Describes a group of equal backend servers."""

    name: str
    max_connections: int
    engine: Engine | None
    scaling: Scaling | None


class ClientAccount(NamedTuple):
    """Names the owner of keys; its priority goes before a route's."""

    name: str
    priority: int | None


class Limits(NamedTuple):
    """Bounds what a caller may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class BackendServer(NamedTuple):
    """Describes one lifetime of a backend server.

    Attributes:
        born_ms: Start of this lifetime, Unix milliseconds; 0 if not told.
        sequence: Grows with each report of one lifetime.
        is_cheap: Whether its failure domain may be reclaimed at any time.
    """

    server_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    is_cheap: bool
    started_ms: int
    sequence: int

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return what tells this lifetime from others of the same name."""
        return (self.server_id, self.started_ms)


class PromptPart(NamedTuple):
    """Names a part of a prompt that requests may share."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Describes the work of a generation, in the order it is read."""

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int
