"""Define the numbered log events and write them as JSON lines.

docs/EVENTS.md documents the events; a test checks that it lists all of them.
"""

import logging
import sys
from typing import Any
from typing import NamedTuple

import structlog


class Event(NamedTuple):
    """A kind of log line.

    Attributes:
        number: Unique number of the event.
        name: Name of the event in log lines.
        level: Level of the logging module.
    """

    number: int
    name: str
    level: int


NODE_STARTED = Event(1001, "node_started", logging.INFO)
NODE_STOPPING = Event(1002, "node_stopping", logging.INFO)
NODE_STOPPED = Event(1003, "node_stopped", logging.INFO)
SETTINGS_RELOADED = Event(1004, "settings_reloaded", logging.INFO)
SETTINGS_REFUSED = Event(1005, "settings_refused", logging.ERROR)
JOB_FAILED = Event(1006, "job_failed", logging.ERROR)
WATCHDOG_UNAVAILABLE = Event(1008, "watchdog_unavailable", logging.WARNING)

# Written directly by log_writer, not by log().
LOG_LINES_DROPPED = Event(1007, "log_lines_dropped", logging.WARNING)

MEMBER_JOINED = Event(1101, "member_joined", logging.INFO)
MEMBER_LOST = Event(1102, "member_lost", logging.WARNING)
FRAME_REFUSED = Event(1103, "frame_refused", logging.WARNING)
DOMAIN_UNREACHABLE = Event(1104, "domain_unreachable", logging.WARNING)

CONFIG_APPLIED = Event(1201, "config_applied", logging.INFO)
CONFIG_COMMITTED = Event(1202, "config_committed", logging.INFO)
CONFIG_CONFLICT = Event(1203, "config_conflict", logging.WARNING)
CONFIG_STALE = Event(1204, "config_stale", logging.WARNING)
KEY_WITHDRAWN_IN_USE = Event(1205, "key_withdrawn_in_use", logging.INFO)
PLATFORM_UNREACHABLE = Event(1206, "platform_unreachable", logging.WARNING)
PLATFORM_REACHABLE = Event(1207, "platform_reachable", logging.INFO)
STORE_HISTORY_LOST = Event(1208, "store_history_lost", logging.INFO)
CONFIG_REFUSED = Event(1209, "config_refused", logging.ERROR)
READINESS_CHANGED = Event(1210, "readiness_changed", logging.INFO)
PEER_STATE_TAKEN = Event(1211, "peer_state_taken", logging.INFO)
CLOCK_OFFSET_SET = Event(1212, "clock_offset_set", logging.INFO)
PERMIT_NOT_ANSWERED = Event(1213, "permit_not_answered", logging.WARNING)
STORE_RESTORED = Event(1214, "store_restored", logging.WARNING)
DOMAIN_DRAINED = Event(1215, "domain_drained", logging.WARNING)
DOMAIN_DRAIN_UNDONE = Event(1216, "domain_drain_undone", logging.INFO)
DRAIN_KEY_REFUSED = Event(1217, "drain_key_refused", logging.WARNING)
STATE_ARRIVED = Event(1218, "state_arrived", logging.INFO)
CONFIG_NOT_FETCHED = Event(1219, "config_not_fetched", logging.WARNING)

REQUEST_REFUSED = Event(1301, "request_refused", logging.INFO)
REQUEST_ENDED = Event(1302, "request_ended", logging.INFO)
REQUEST_FAILED = Event(1303, "request_failed", logging.WARNING)
REQUEST_RETRIED = Event(1304, "request_retried", logging.INFO)
REQUEST_QUARANTINED = Event(1305, "request_quarantined", logging.WARNING)
REQUEST_PREEMPTED = Event(1306, "request_preempted", logging.INFO)
RUN_MOVED = Event(1309, "run_moved", logging.INFO)
RUN_NOT_MOVED = Event(1310, "run_not_moved", logging.WARNING)
PART_QUARANTINED = Event(1311, "part_quarantined", logging.WARNING)
CRASH_COUNTED = Event(1312, "crash_counted", logging.INFO)
COPY_RELEASED = Event(1313, "copy_released", logging.INFO)
MEMORY_RECLAIMED = Event(1314, "memory_reclaimed", logging.WARNING)
CALLER_GONE = Event(1307, "caller_gone", logging.INFO)
ATTEMPT_FAILED = Event(1308, "attempt_failed", logging.INFO)

BROKER_TOOK_OVER = Event(1401, "broker_took_over", logging.INFO)
SERVER_CIRCUIT_OPEN = Event(1402, "server_circuit_open", logging.WARNING)
SERVER_LEAVING = Event(1403, "server_leaving", logging.INFO)
GRANT_EXPIRED = Event(1404, "grant_expired", logging.WARNING)
SERVER_CHANGED = Event(1405, "server_changed", logging.INFO)
SERVER_ENTRY_REFUSED = Event(1406, "server_entry_refused", logging.WARNING)
SERVER_LIMIT_CHANGED = Event(1407, "server_limit_changed", logging.INFO)
SERVER_COLD_CHANGED = Event(1408, "server_cold_changed", logging.INFO)
SERVER_BRITTLE_CHANGED = Event(1409, "server_brittle_changed", logging.INFO)
SERVERS_UNREACHABLE = Event(1410, "servers_unreachable", logging.WARNING)
SERVERS_REACHABLE = Event(1411, "servers_reachable", logging.INFO)

LEASE_ACQUIRED = Event(1501, "lease_acquired", logging.INFO)
LEASE_LOST = Event(1502, "lease_lost", logging.WARNING)
ORDER_SENT = Event(1503, "order_sent", logging.INFO)
ORDER_REFUSED = Event(1504, "order_refused", logging.WARNING)

USAGE_FLUSH_FAILED = Event(1601, "usage_flush_failed", logging.WARNING)
USAGE_WINDOW_FROZEN = Event(1602, "usage_window_frozen", logging.INFO)
USAGE_WINDOW_REPORTED = Event(1603, "usage_window_reported", logging.INFO)
USAGE_TAKEN_OVER = Event(1604, "usage_taken_over", logging.INFO)
USAGE_WINDOW_INCOMPLETE = Event(
    1605, "usage_window_incomplete", logging.WARNING
)
USAGE_WINDOW_SKIPPED = Event(1606, "usage_window_skipped", logging.WARNING)

ALL_EVENTS: tuple[Event, ...] = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)


def configure(
    node_name: str, level: int = logging.INFO, file: Any = None
) -> None:
    """Configure the log to write JSON lines with the node's name.

    Args:
        node_name: Name of this node.
        level: Lowest level to write.
        file: File-like object to write to; standard error if None.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=file or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    global _node_name
    _node_name = node_name


_node_name = ""
_logger = structlog.get_logger()


def log(event: Event, **fields: Any) -> None:
    """Log an event; fields must never contain a key, prompt or response."""
    _logger.log(
        event.level,
        event.name,
        number=event.number,
        node=_node_name,
        severity=logging.getLevelName(event.level).lower(),
        **fields,
    )
