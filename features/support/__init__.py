"""Helpers shared by the steps of all features."""
