"""Track which versions of their software the servers of a service have.

What two versions write does not fit together, so a stream goes on only at the
version that began it. Servers of several versions serve side by side during a
release; afterwards, streams that the earlier one began may still be taken up.
A node that has just started must know of them too, so the nodes that read the
store report which versions came and left.
"""

from typing import NamedTuple

from bilberryturn.routing import types

# Versions that are remembered; reports of as many have under 10 KB. A release
# brings one for each service.
MAX_VERSIONS = 50
# Time for which a version that left is remembered beyond the longest stream.
MARGIN_S = 5.0

_PREFIX = "version:"
# Stands for the versions of services whose streams a service may be sent.
_OTHER_SERVICE = ":other-service"
# Nodes put a configuration in force at about the same time; one report is
# enough.
MIN_MOVE_INTERVAL_MS = 1000


class _Version(NamedTuple):
    service: str
    version: str


class _Sighting(NamedTuple):
    """The last change of a version's presence; later ones order after it.

    Attributes:
        at_ms: Time on the clock that all nodes share, in Unix milliseconds.
        is_present: Whether servers had the version from then on.
    """

    at_ms: int
    is_present: bool


class SoftwareVersions:
    """The versions of each service, as any node has seen them come and leave.

    Times are on the clock that all nodes share, in Unix seconds.

    Attributes:
        is_complete: Whether the earlier reports of all nodes are known.
    """

    def __init__(self):
        self.is_complete = False
        self._newest: dict[_Version, _Sighting] = {}
        self._own: dict[_Version, _Sighting] = {}

    def observe(self, servers: list[types.BackendServer], now_s: float) -> None:
        """Record the versions of the servers that the store lists.

        Args:
            servers: All servers, leaving ones included.
            now_s: Present time.
        """
        present = {_Version(s.service, s.software_version) for s in servers}
        services = {version.service for version in present}
        at_ms = int(now_s * 1000)
        for version in present:
            known = self._newest.get(version)
            if known is None or not known.is_present:
                self._record(version, _Sighting(at_ms, True))
        for version, known in list(self._newest.items()):
            # A service without servers may be one that this node cannot see.
            is_gone = version not in present and version.service in services
            if is_gone and known.is_present:
                self._record(version, _Sighting(at_ms, False))

    def record_moves(self, services: set[str], now_s: float) -> None:
        """Record that routes now send streams to or from other services.

        Args:
            services: Services at which such streams began or may be taken up.
            now_s: Present time.
        """
        at_ms = int(now_s * 1000)
        for service in services:
            moved = _Version(service, _OTHER_SERVICE)
            known = self._newest.get(moved)
            if known is None or at_ms - known.at_ms >= MIN_MOVE_INTERVAL_MS:
                self._record(moved, _Sighting(at_ms, False))

    def _record(self, version: _Version, sighting: _Sighting) -> None:
        known = self._newest.get(version)
        if known is not None and sighting.at_ms <= known.at_ms:
            # The clocks of the nodes differ slightly.
            sighting = sighting._replace(at_ms=known.at_ms + 1)
        self._newest[version] = self._own[version] = sighting
        while len(self._newest) > MAX_VERSIONS:
            self._forget_one()

    def _forget_one(self) -> None:
        """Forget the version that left first, or else the one that came last.

        A service may have had its present version for long; entries of other
        writers may bring versions without end.
        """
        gone = [v for v, s in self._newest.items() if not s.is_present]
        if gone:
            forgotten = min(gone, key=lambda v: self._newest[v])
        else:
            forgotten = max(self._newest, key=lambda v: self._newest[v])
        del self._newest[forgotten]
        self._own.pop(forgotten, None)

    def is_mixed(
        self,
        service: str,
        servers: list[types.BackendServer],
        window_s: float,
        now_s: float,
    ) -> bool:
        """Return whether streams of several versions may be taken up.

        Args:
            service: Name of the service.
            servers: Its servers that this node may use.
            window_s: Time within which a stream may be taken up.
            now_s: Present time.
        """
        if not self.is_complete:
            return True
        since_ms = (now_s - window_s - MARGIN_S) * 1000
        versions = {
            version.version
            for version, sighting in self._newest.items()
            if version.service == service
            and (sighting.is_present or sighting.at_ms > since_ms)
        }
        versions.update(server.software_version for server in servers)
        return len(versions) > 1 or _OTHER_SERVICE in versions

    def merge(self, reports: dict[str, int]) -> None:
        """Merge another node's reports; older sightings are ignored.

        Args:
            reports: As from own_reports; other names are ignored.
        """
        for name, value in reports.items():
            version = _decode(name)
            if version is None:
                continue
            sighting = _Sighting(value // 2, bool(value % 2))
            known = self._newest.get(version)
            if known is None or known < sighting:
                self._newest[version] = sighting
                self._own.pop(version, None)

    def own_reports(self) -> dict[str, int]:
        """Return this node's sightings that no other has seen later."""
        return {
            f"{_PREFIX}{version.service}:{version.version}": (
                2 * sighting.at_ms + sighting.is_present
            )
            for version, sighting in self._own.items()
        }


def _decode(name: str) -> _Version | None:
    """Return the version that a report names; None for another report."""
    if not name.startswith(_PREFIX):
        return None
    service, separator, version = name.removeprefix(_PREFIX).partition(":")
    return _Version(service, version) if separator else None
