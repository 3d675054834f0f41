"""Rank nodes for a role by highest random weight."""

from collections.abc import Iterable
import hashlib


def rank(names: Iterable[str], role: str) -> list[str]:
    """Return the names in the order in which they should hold a role.

    Every node computes the same order from the same names, and the loss of a
    node moves only the roles that it held.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(
            f"{role}|{name}".encode(), digest_size=8
        ).digest()

    return sorted(names, key=weight, reverse=True)
