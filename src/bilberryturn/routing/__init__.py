"""Routing decisions, free of I/O and clock access."""
