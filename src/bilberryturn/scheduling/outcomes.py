"""Name how a grant can end."""

DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"
PREEMPTED = "preempted"
NOT_SENT = "not_sent"
