"""Decide where a request goes; no input, output or clock."""
