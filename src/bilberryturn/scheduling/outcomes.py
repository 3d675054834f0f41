"""Outcomes of a grant."""

DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"
PREEMPTED = "preempted"
NOT_SENT = "not_sent"
