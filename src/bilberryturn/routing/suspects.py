"""Stop requests that crash the backend servers that run them.

Pattern answered: one request that kills each server it reaches and that its
caller sends again, through any node.
"""

import collections
import hashlib

CRASHES_TO_REFUSE = 2
# Longer than a caller goes on sending the same request again.
MEMORY_S = 120.0
MAX_SUSPECTS = 4096


def fingerprint(client_account: str, target: str, body: bytes) -> str:
    """Return what identifies a request across its repeats."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (client_account.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Suspects:
    """Counts crashes by fingerprint."""

    def __init__(self):
        self._crashes: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def note_crash(self, print_: str, now_s: float) -> int:
        """Count a crash; returns how many are known."""
        count, _ = self._crashes.pop(print_, (0, 0.0))
        self._crashes[print_] = (count + 1, now_s)
        while len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)
        return count + 1

    def merge(self, print_: str, count: int, now_s: float) -> None:
        """Take the count of another node."""
        known, _ = self._crashes.get(print_, (0, 0.0))
        if count > known:
            self._crashes[print_] = (count, now_s)

    def clear(self, print_: str) -> None:
        """Forget a request that has run to a good end."""
        self._crashes.pop(print_, None)

    def is_refused(self, print_: str, now_s: float) -> bool:
        """Return whether a request must not run."""
        count, seen_s = self._crashes.get(print_, (0, 0.0))
        return count >= CRASHES_TO_REFUSE and now_s - seen_s < MEMORY_S

    def is_known(self, print_: str) -> bool:
        """Return whether a request has crashed a server."""
        return print_ in self._crashes
