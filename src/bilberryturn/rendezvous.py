"""Rendezvous hashing: rank nodes for a role by highest random weight."""

from collections.abc import Iterable
import hashlib


def weight(name: str, role: str) -> bytes:
    """Return the weight of a name for a role; the highest weight wins."""
    return hashlib.blake2b(f"{role}|{name}".encode(), digest_size=8).digest()


def rank(names: Iterable[str], role: str) -> list[str]:
    """Return the names in their order of precedence for a role.

    Every node computes the same order from the same names, and the loss of a
    node moves only the roles that it held.
    """
    return sorted(names, key=lambda name: weight(name, role), reverse=True)
