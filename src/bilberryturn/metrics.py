"""Define the metrics of a node and render them.

Collectors are shared between threads. Every update takes a common lock because
the read-modify-write operations of the collectors are not atomic.
"""

import threading

import aioprometheus

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.65, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.066, 0.1, 0.2, 0.5, 1.0, 5.0)
MAX_ACCOUNT_LABELS = 200
OTHER_ACCOUNTS = "other"

REGISTRY = aioprometheus.Registry()
_lock = threading.Lock()
_account_labels: set[str] = set()


def _register(collector):
    REGISTRY.register(collector)
    return collector


FIRST_TOKEN_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_first_token_seconds",
        "Time from arrival to the first token, by tier and profile.",
        buckets=LATENCY_BUCKETS_S,
    )
)
TOKEN_GAP_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_token_gap_seconds",
        "Mean time between tokens of one answer, by tier and profile.",
        buckets=TOKEN_GAP_BUCKETS_S,
    )
)
QUEUE_WAIT_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_queue_wait_seconds",
        "Time from arrival to the grant, by tier and profile.",
        buckets=LATENCY_BUCKETS_S,
    )
)
ACCOUNT_FIRST_TOKEN_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_account_first_token_seconds",
        "Time from arrival to the first token, by client account.",
        buckets=LATENCY_BUCKETS_S,
    )
)
REQUESTS = _register(
    aioprometheus.Counter(
        "bilberryturn_requests_total", "Ended requests, by profile and outcome."
    )
)
REQUEST_DURATION_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_request_seconds",
        "Time from arrival to the end of a request, by route.",
        buckets=LATENCY_BUCKETS_S,
    )
)
REFUSALS = _register(
    aioprometheus.Counter(
        "bilberryturn_refusals_total", "Refused requests, by kind."
    )
)
TOKENS = _register(
    aioprometheus.Counter(
        "bilberryturn_tokens_total", "Tokens by kind: input, output, wasted."
    )
)
RETRIES = _register(
    aioprometheus.Counter(
        "bilberryturn_retries_total", "Attempts after the first, by reason."
    )
)
START_WAIT_S = _register(
    aioprometheus.Histogram(
        "bilberryturn_start_wait_seconds",
        "Time for which requests waited for the state of a starting node, by"
        " part of it and outcome.",
        buckets=LATENCY_BUCKETS_S,
    )
)
RECLAIMED_BYTES = _register(
    aioprometheus.Counter(
        "bilberryturn_reclaimed_bytes_total",
        "Bytes of requests that gave way as the node's memory was full.",
    )
)
PLACEMENTS = _register(
    aioprometheus.Counter(
        "bilberryturn_placements_total", "Granted requests, by cost class."
    )
)
RUNNING_REQUESTS = _register(
    aioprometheus.Gauge(
        "bilberryturn_running_requests", "Requests now in this node."
    )
)
POOL_WAITING = _register(
    aioprometheus.Gauge(
        "bilberryturn_pool_waiting", "Waiting requests, by pool and tier."
    )
)
POOL_RUNNING = _register(
    aioprometheus.Gauge(
        "bilberryturn_pool_running", "Granted requests, by pool."
    )
)
COLD_SERVERS = _register(
    aioprometheus.Gauge(
        "bilberryturn_cold_servers", "Servers that this node takes for cold."
    )
)
CUT_FROM_SERVERS = _register(
    aioprometheus.Gauge(
        "bilberryturn_cut_from_servers",
        "1 while this node reaches no server, so that peers connect to them.",
    )
)
TUNNELS = _register(
    aioprometheus.Gauge(
        "bilberryturn_tunnels",
        "Connections to servers that this node passes on for peers.",
    )
)
LEASE_HELD = _register(
    aioprometheus.Gauge("bilberryturn_lease_held", "1 while a lease is held.")
)
CONFIG_VERSION = _register(
    aioprometheus.Gauge(
        "bilberryturn_config_version", "Version of declarations in force."
    )
)
DOMAIN_DRAINED = _register(
    aioprometheus.Gauge(
        "bilberryturn_domain_drained",
        "1 while the operator has drained a failure domain.",
    )
)
HOME_REFUSALS = _register(
    aioprometheus.Counter(
        "bilberryturn_home_region_refusals_total",
        "Requests whose home regions have no server, by route and account.",
    )
)
CONTROL_BYTES = _register(
    aioprometheus.Counter(
        "bilberryturn_control_bytes_total", "Control bytes, by direction."
    )
)
RESUMED_STREAMS = _register(
    aioprometheus.Counter(
        "bilberryturn_resumed_streams_total",
        "Streams that callers took up again, by service and outcome.",
    )
)
CALL_BYTES = _register(
    aioprometheus.Counter(
        "bilberryturn_call_bytes_total",
        "Bytes of bodies that calls received, by interface and outcome.",
    )
)
CONTROL_MESSAGES = _register(
    aioprometheus.Counter(
        "bilberryturn_control_messages_total", "Control messages, by kind."
    )
)


def add(collector, labels: dict[str, str], value: float = 1) -> None:
    """Add a value to a counter or an observation to a histogram."""
    with _lock:
        collector.add(labels, value)


def set_gauge(collector, labels: dict[str, str], value: float) -> None:
    """Set a gauge."""
    with _lock:
        collector.set(labels, value)


def account_label(client_account: str) -> str:
    """Return the metric label of an account.

    At most MAX_ACCOUNT_LABELS accounts get a label of their own; all others
    share OTHER_ACCOUNTS.
    """
    if client_account in _account_labels:
        return client_account
    if len(_account_labels) >= MAX_ACCOUNT_LABELS:
        return OTHER_ACCOUNTS
    _account_labels.add(client_account)
    return client_account


def render() -> tuple[bytes, dict]:
    """Return all metrics in the text exposition format and the HTTP headers."""
    with _lock:
        return aioprometheus.render(REGISTRY, ["text/plain"])


def set_counter(collector, labels: dict[str, str], value: float) -> None:
    """Set a counter to a total that is counted elsewhere."""
    with _lock:
        collector.set(labels, value)
