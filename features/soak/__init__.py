"""Soak tests: random faults against nodes that run as processes."""
