"""Decide which drained failure domains are the newest that the store showed.

Handles restores of the store, which bring an older state of the rows back, and
peers that are behind this node's own reading or don't know the rows.
"""

from bilberryturn.edge import config_order
from bilberryturn.platform import rows


class DrainedDomains:
    """The drained failure domains; without input, output or a clock.

    Attributes:
        domains: The drained failure domains, or None until they were read.
        era: Era of the store in which they were read.
        confirmed_s: Boot time at which the store confirmed them.
    """

    def __init__(self):
        self.domains: frozenset[str] | None = None
        self.era = config_order.NO_ERA
        self.confirmed_s = -1e9

    def apply_reading(
        self,
        reading: rows.DrainRows,
        is_snapshot: bool,
        era: int,
        confirmed_s: float,
    ) -> bool:
        """Apply a reading of the store.

        Args:
            reading: The rows that were read.
            is_snapshot: Whether these are all rows and not only changes.
            era: Era of the store.
            confirmed_s: Boot time at which the store answered.

        Returns:
            Whether the drained failure domains changed.
        """
        if era < self.era:
            # A peer has told of a restore since; the rows are read again.
            return False
        domains = reading.drained
        if not is_snapshot:
            domains = (self.domains or frozenset()) - reading.undone | domains
        return self._set(domains, era, max(confirmed_s, self.confirmed_s))

    def apply_peer(
        self, domains: list[str] | None, era: int, confirmed_s: float
    ) -> bool:
        """Apply a peer's list unless this node has a newer one.

        Args:
            domains: The drained failure domains; None if the peer doesn't know
                them.
            era: Era of the store in which the peer has them.
            confirmed_s: Boot time at which the store confirmed them.

        Returns:
            Whether the drained failure domains changed.
        """
        if domains is None or (era, confirmed_s) <= (
            self.era,
            self.confirmed_s,
        ):
            return False
        return self._set(frozenset(domains), era, confirmed_s)

    def _set(
        self, domains: frozenset[str], era: int, confirmed_s: float
    ) -> bool:
        has_changed = domains != self.domains
        self.domains, self.era, self.confirmed_s = domains, era, confirmed_s
        return has_changed
