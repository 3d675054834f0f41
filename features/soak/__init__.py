"""Randomized faults against the real programs, as separate processes."""
