"""Carry callers' requests to backend servers and the answers back."""
