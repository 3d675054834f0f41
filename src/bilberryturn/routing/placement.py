"""Decide in which failure domains a request may be served.

Handles requests that must stay in their home regions, and failure domains that
the operator has drained, several or all at once.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from bilberryturn.routing import types


class Placement:
    """The regions of failure domains and the drained failure domains."""

    def __init__(self, regions: Mapping[str, str] | None = None):
        """Initialize without drained failure domains.

        Args:
            regions: Region by failure domain; a domain that it lacks is in no
                region.
        """
        self._regions = dict(regions or {})
        self._drained: frozenset[str] = frozenset()

    @property
    def drained(self) -> frozenset[str]:
        """Return the drained failure domains."""
        return self._drained

    def set_drained(self, failure_domains: frozenset[str]) -> frozenset[str]:
        """Set the drained failure domains.

        Returns:
            The failure domains that are newly drained or no longer drained.
        """
        changed = self._drained ^ failure_domains
        self._drained = failure_domains
        return changed

    def allows(
        self, server: types.BackendServer, home_regions: frozenset[str] | None
    ) -> bool:
        """Return whether a request may be sent to a server.

        Args:
            server: The server.
            home_regions: Regions in which the request may be served; None if
                it may be served in all of them.
        """
        if server.failure_domain in self._drained:
            return False
        return self._is_home(server, home_regions)

    def allowed(
        self,
        servers: list[types.BackendServer],
        home_regions: frozenset[str] | None,
    ) -> list[types.BackendServer]:
        """Return the servers to which a request may be sent, in their order.

        Args:
            servers: The servers to choose from.
            home_regions: As for allows.
        """
        if not self._drained and home_regions is None:
            return servers
        return [s for s in servers if self.allows(s, home_regions)]

    def has_home(
        self,
        servers: Iterable[types.BackendServer],
        home_regions: frozenset[str] | None,
    ) -> bool:
        """Return whether a server is in a home region, drained or not."""
        return any(self._is_home(s, home_regions) for s in servers)

    def domains_that_may_forward(
        self, failure_domain: str, home_regions: frozenset[str]
    ) -> set[str]:
        """Return the failure domains whose nodes may have a request's body.

        Args:
            failure_domain: The one of the node that has the request.
            home_regions: Regions in which the request may be served.
        """
        regions = {*home_regions, self._regions.get(failure_domain)}
        return {
            domain
            for domain, region in self._regions.items()
            if region in regions
        }

    def _is_home(
        self, server: types.BackendServer, home_regions: frozenset[str] | None
    ) -> bool:
        if home_regions is None:
            return True
        return self._regions.get(server.failure_domain) in home_regions


def home_regions(
    route: types.Route, account: types.ClientAccount | None
) -> frozenset[str] | None:
    """Return the regions in which a request may be served.

    Returns:
        The regions that both route and account allow, which may be none; None
        if neither has home regions.
    """
    account_regions = account.home_regions if account else frozenset()
    if route.home_regions and account_regions:
        return route.home_regions & account_regions
    return route.home_regions or account_regions or None
