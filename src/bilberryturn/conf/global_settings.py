"""Define the settings of a node and their defaults.

Each section of the INI file is a NamedTuple and each option is a field of it.
Fields without a default are required.
"""

from typing import NamedTuple


class Node(NamedTuple):
    """Identity and addresses of this node."""

    name: str
    failure_domain: str
    region: str
    caller_address: str
    control_address: str
    admin_address: str
    advertised_control_address: str = ""
    source_address: str = ""


class Peers(NamedTuple):
    """Control addresses of the nodes to contact first."""

    seeds: tuple[str, ...] = ()


class Platform(NamedTuple):
    """Addresses and timeout of the platform's interfaces."""

    table_address: str
    objects_address: str
    vms_address: str
    ordering_address: str
    reporting_address: str
    timeout_s: float = 2.0


class Security(NamedTuple):
    """Paths of key, token and certificate files."""

    key_hash_secret_file: str
    operator_tokens_file: str
    control_public_key_file: str = ""
    control_secret_key_file: str = ""
    tls_certificate_file: str = ""
    tls_private_key_file: str = ""


class Limits(NamedTuple):
    """Limits on the requests that a node accepts and buffers."""

    max_concurrent_requests: int = 300
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    max_answer_bytes: int = 32 * 1024 * 1024
    caller_timeout_s: float = 10.0
    max_waiting_per_pool: int = 1000
    upstream_buffer_bytes: int = 256 * 1024


class Timing(NamedTuple):
    """Intervals, timeouts and delays, in seconds."""

    heartbeat_interval_s: float = 1.0
    member_timeout_s: float = 3.0
    broker_reply_timeout_s: float = 0.5
    grant_timeout_s: float = 4.0
    entry_sync_interval_s: float = 0.5
    config_poll_interval_s: float = 1.0
    config_backstop_interval_s: float = 4.0
    vm_poll_interval_s: float = 1.0
    connect_timeout_s: float = 1.0
    stall_timeout_s: float = 5.0
    lease_ttl_s: float = 10.0
    lease_margin_s: float = 1.0
    order_settle_s: float = 3.0
    usage_flush_interval_s: float = 1.0
    usage_window_s: float = 60.0
    usage_close_delay_s: float = 5.0
    drain_announce_s: float = 1.0
    stop_deadline_s: float = 120.0
    isolated_key_limit_s: float = 60.0


class Logging(NamedTuple):
    """Options of the log."""

    level: str = "info"


class Settings(NamedTuple):
    """All sections of a settings file."""

    node: Node
    platform: Platform
    security: Security
    peers: Peers = Peers()
    limits: Limits = Limits()
    timing: Timing = Timing()
    logging: Logging = Logging()


SECTIONS: dict[str, type] = {
    "node": Node,
    "platform": Platform,
    "security": Security,
    "peers": Peers,
    "limits": Limits,
    "timing": Timing,
    "logging": Logging,
}
RELOADABLE_SECTIONS = frozenset({"limits", "timing", "logging"})
