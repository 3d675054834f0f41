"""Types that routing decisions take and return."""

import enum
from typing import NamedTuple

# A server between one start and the next: its identifier and its start in Unix
# milliseconds.
Lifetime = tuple[str, int]


class RetryPolicy(enum.Enum):
    """Which requests may be retried on another backend server."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    AT_MOST_ONCE = "at_most_once"


class Target(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests under one host and path prefix.

    Attributes:
        timeout_s: Longest time that a caller waits for the response.
        target_s: Target time to the response, or to its first event.
        gap_target_s: Target for the longest gap between events of a stream.
        priority: Priority; 0 is the highest.
        attempts: Most backend servers on which one request is tried.
        home_regions: Regions in which the requests may be served; empty if
            there is no restriction.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    is_stream: bool
    timeout_s: float
    target_s: float
    gap_target_s: float
    priority: int
    attempts: int
    is_public: bool
    targets: tuple[Target, ...]
    home_regions: frozenset[str] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run can be retried."""
        return self.retry_policy is not RetryPolicy.AT_MOST_ONCE

    @property
    def is_resumable(self) -> bool:
        """Return whether callers may take up streams that broke off."""
        return self.is_stream and self.is_retryable


class Engine(NamedTuple):
    """Properties of the model engines of a service.

    Attributes:
        can_move: Whether a running request can be moved to another engine.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int
    can_move: bool = False


class Scaling(NamedTuple):
    """Limits on the backend servers ordered in a failure domain.

    Attributes:
        boot_s: Time from the order until a new server accepts requests.
        cheap_price: Price of a reclaimable server as a share of the price of
            an on-demand server.
        domain_prices: Price of a server per second, by failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    cheap_price: float | None
    domain_prices: dict[str, float]


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    Attributes:
        cold_s: Seconds for which a server is cold after its start; 0 if its
            servers are never cold.
        cold_rate_per_s: Requests a second that a cold server takes from all
            nodes together; 0 for no limit.
        health_path: Path of the health check of its servers; "" if unknown.
    """

    name: str
    max_connections: int
    engine: Engine | None
    scaling: Scaling | None
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
    health_path: str = ""


class ClientAccount(NamedTuple):
    """Owner of API keys; its priority overrides that of a route.

    Attributes:
        home_regions: Regions in which its requests may be served; empty if
            there is no restriction.
    """

    name: str
    priority: int | None
    home_regions: frozenset[str] = frozenset()


class Limits(NamedTuple):
    """Size and time limits on the requests of a caller."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class BackendServer(NamedTuple):
    """A backend server between one start and the next.

    Attributes:
        started_ms: Start of this lifetime, Unix milliseconds; 0 if unknown.
        sequence: Increases with each report of one lifetime.
        is_cheap: Whether its failure domain may be reclaimed at any time.
        leaves_in_s: Time until a leaving server ends, as it last reported;
            None if unknown.
        cold_left_s: Time for which it stays cold, as it last reported; 0 if it
            is warm or did not say.
        cold_until_s: End of that time on the clock that all nodes share, in
            Unix seconds, counted from when the report was read.
        software_version: Version of its software; "" if it states none.
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
    leaves_in_s: float | None = None
    cold_left_s: float = 0.0
    cold_until_s: float = 0.0
    software_version: str = ""

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def lifetime(self) -> Lifetime:
        """Return the identity of this lifetime of the server."""
        return (self.server_id, self.started_ms)


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """A prompt and the length of its response; parts are in prefill order."""

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int


def shared_parts(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the parts that other requests may have in their prompt too.

    The last part belongs to the request itself or to its session.
    """
    if prompt is None:
        return ()
    return tuple(part.part_id for part in prompt.parts[:-1])
