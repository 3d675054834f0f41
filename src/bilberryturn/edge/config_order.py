"""Decide which configuration is newer, also after a restore of the store.

Within an era of the store the version tells. A restored store shows an older
configuration until the operator writes the lost one again; or the operator goes
on from there, with versions below the lost one or with the same numbers. A
configuration that this node has replaced is taken for the first case, and any
other one for the second.
"""

import collections
import enum
from typing import NamedTuple

# Stands for the era of a store that states none, and for an unknown one.
NO_ERA = -1
# A lower version that is new waits for this time, as the operator may be
# writing several versions again in order.
SETTLE_S = 0.75
# The operator writes lost configurations again within this time; after it the
# one in the store is valid.
REWRITE_WAIT_S = 30.0
MAX_REPLACED = 64


class Candidate(NamedTuple):
    """A configuration as the store or a peer shows it.

    Attributes:
        version: The operator's number of it.
        digest: Identifies its content.
        era: Last era in which the store showed it.
        written_era: Era in which it is known to have been written, or NO_ERA.
    """

    version: int
    digest: str
    era: int
    written_era: int

    def is_same(self, other: "Candidate") -> bool:
        """Return whether both are the same configuration."""
        return (self.version, self.digest) == (other.version, other.digest)


class Verdict(enum.Enum):
    """What to do with a candidate."""

    APPLY = enum.auto()
    KEEP = enum.auto()
    HOLD = enum.auto()


class ConfigOrder:
    """Orders configurations; without input, output or a clock.

    Attributes:
        current: The configuration in force, or None.
    """

    def __init__(self):
        self.current: Candidate | None = None
        self._replaced: collections.OrderedDict[tuple[int, str], None] = (
            collections.OrderedDict()
        )
        self._held: Candidate | None = None
        self._held_until_s = 0.0

    def decide(
        self, candidate: Candidate, now_s: float, from_store: bool
    ) -> Verdict:
        """Decide on a candidate; one to apply becomes the current one.

        Args:
            candidate: The configuration.
            now_s: Monotonic time.
            from_store: Whether this node read it itself; otherwise a peer has
                it in force.
        """
        current = self.current
        if current is None:
            return self._apply(candidate)
        if candidate.era == NO_ERA:
            candidate = candidate._replace(era=current.era)
        if candidate.is_same(current):
            if from_store:
                self._held = None
            self.current = current._replace(
                era=max(current.era, candidate.era),
                written_era=max(current.written_era, candidate.written_era),
            )
            return Verdict.KEEP
        if candidate.era < current.era:
            return self._decide_earlier(candidate, current)
        if candidate.version >= current.version:
            return self._apply(candidate)
        if candidate.era == current.era:
            return Verdict.KEEP
        if from_store:
            return self._hold(candidate, now_s)
        is_decided = candidate.written_era > current.era
        if is_decided and not self._was_replaced(candidate):
            return self._apply(candidate)
        return self._hold(candidate, now_s) if is_decided else Verdict.KEEP

    def release(self, now_s: float) -> bool:
        """Apply the held candidate if its time has come.

        Returns:
            Whether it is the current one now.
        """
        held = self._held
        if held is None or now_s < self._held_until_s:
            return False
        self._apply(held._replace(written_era=held.era))
        return True

    def _decide_earlier(
        self, candidate: Candidate, current: Candidate
    ) -> Verdict:
        """Decide on a candidate that the store last showed in an earlier era.

        A node that has only read the copy lacks a version that will be written
        again.
        """
        is_copy = current.written_era < current.era
        if is_copy and candidate.version > current.version:
            return self._apply(candidate)
        return Verdict.KEEP

    def _hold(self, candidate: Candidate, now_s: float) -> Verdict:
        if self._held is None or not self._held.is_same(candidate):
            was_replaced = self._was_replaced(candidate)
            self._held_until_s = now_s + (
                REWRITE_WAIT_S if was_replaced else SETTLE_S
            )
            self._held = candidate
        return Verdict.HOLD

    def _was_replaced(self, candidate: Candidate) -> bool:
        return (candidate.version, candidate.digest) in self._replaced

    def _apply(self, candidate: Candidate) -> Verdict:
        if self.current is not None:
            key = (self.current.version, self.current.digest)
            self._replaced[key] = None
            self._replaced.move_to_end(key)
        self._replaced.pop((candidate.version, candidate.digest), None)
        while len(self._replaced) > MAX_REPLACED:
            self._replaced.popitem(last=False)
        self.current = candidate
        self._held = None
        return Verdict.APPLY
