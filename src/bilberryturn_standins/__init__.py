"""Provide small stand-ins of the outside systems for demos, tests, benches."""
