"""Track the limits that backend servers in need name in their answers.

A limit is how many requests a second a server takes, or how many rejections in
a second a brittle one withstands. It holds for all nodes together, for as long
as answers name it. Each node reports to the others what differs from what they
know, so that all of them know a limit, or its end, after one answer to any of
them.
"""

from typing import NamedTuple

from bilberryturn.routing import types

# Most limits that a node reports to the others; its row stays under 10 KB.
MAX_REPORTS = 100
# What a brittle server says holds for those of its service that have not been
# heard, so that few reports are enough.
MAX_BRITTLE_REPORTS = 20
# Some requests are sent to a server that takes none, to see whether it does
# again.
MIN_LIMIT_PER_S = 0.1

_PREFIX = "limit:"
_BRITTLE_PREFIX = "brittle:"


class _Observation(NamedTuple):
    """What an answer said of a server's limit.

    Attributes:
        limit_per_s: Requests a second; None if the answer named no limit.
        at_s: Time of the answer on the clock that all nodes share.
    """

    limit_per_s: float | None
    at_s: float


class ServerLimits:
    """The newest observation of each server by any node.

    Times are on the clock that all nodes share, in Unix seconds.
    """

    def __init__(
        self,
        prefix: str = _PREFIX,
        min_per_s: float = MIN_LIMIT_PER_S,
        max_reports: int = MAX_REPORTS,
    ):
        """Initialize without observations.

        Args:
            prefix: Begins the names of the reports.
            min_per_s: Lower limits count as this one.
            max_reports: Most limits that a node reports to the others.
        """
        self._prefix = prefix
        self._min_per_s = min_per_s
        self._max_reports = max_reports
        self._newest: dict[types.Lifetime, _Observation] = {}
        self._own: dict[types.Lifetime, _Observation] = {}

    def limit_per_s(self, lifetime: types.Lifetime) -> float | None:
        """Return the requests a second that a server takes; None if any."""
        observation = self._newest.get(lifetime)
        return None if observation is None else observation.limit_per_s

    def limited(self) -> list[types.Lifetime]:
        """Return the servers that have a limit."""
        return [
            lifetime
            for lifetime, observation in self._newest.items()
            if observation.limit_per_s is not None
        ]

    def observe(
        self, lifetime: types.Lifetime, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Record an answer; returns whether it changed the server's limit."""
        if limit_per_s is not None:
            limit_per_s = max(self._min_per_s, round(limit_per_s, 3))
        known = self._newest.get(lifetime)
        if known is None and limit_per_s is None:
            return False
        observation = _Observation(limit_per_s, now_s)
        self._newest[lifetime] = observation
        if known is not None and known.limit_per_s == limit_per_s:
            return False
        self._own[lifetime] = observation
        return True

    def merge(self, reports: dict[str, int]) -> None:
        """Merge another node's reports; older observations are ignored.

        Args:
            reports: As from own_reports; other names are ignored.
        """
        for name, at_ms in reports.items():
            decoded = self._decode(name)
            if decoded is None:
                continue
            lifetime, limit_per_s = decoded
            known = self._newest.get(lifetime)
            at_s = at_ms / 1000
            if known is not None and known.at_s >= at_s:
                continue
            self._newest[lifetime] = _Observation(limit_per_s, at_s)
            self._own.pop(lifetime, None)

    def own_reports(self) -> dict[str, int]:
        """Return this node's observations, for other nodes."""
        newest = sorted(self._own.items(), key=lambda item: item[1].at_s)
        return {
            self._encode(lifetime, observation.limit_per_s): int(
                observation.at_s * 1000
            )
            for lifetime, observation in newest[-self._max_reports :]
        }

    def retain(self, live: set[types.Lifetime]) -> None:
        """Drop the limits of server lifetimes that have ended."""
        for observations in (self._newest, self._own):
            for lifetime in observations.keys() - live:
                del observations[lifetime]

    def observed_s(self, lifetime: types.Lifetime) -> float:
        """Return when a server's limit or its end was last observed."""
        observation = self._newest.get(lifetime)
        return 0.0 if observation is None else observation.at_s

    def _encode(
        self, lifetime: types.Lifetime, limit_per_s: float | None
    ) -> str:
        limit = (
            "none" if limit_per_s is None else str(round(limit_per_s * 1000))
        )
        return f"{self._prefix}{limit}:{lifetime[1]}:{lifetime[0]}"

    def _decode(self, name: str) -> tuple[types.Lifetime, float | None] | None:
        """Return the server and its limit; None for another kind of report."""
        if not name.startswith(self._prefix):
            return None
        limit, _, rest = name.removeprefix(self._prefix).partition(":")
        started_ms, _, server_id = rest.partition(":")
        try:
            limit_per_s = None if limit == "none" else int(limit) / 1000
            return (server_id, int(started_ms)), limit_per_s
        except ValueError:
            return None


def brittleness() -> ServerLimits:
    """Return the rejections in a second that brittle servers withstand."""
    return ServerLimits(_BRITTLE_PREFIX, 0.0, MAX_BRITTLE_REPORTS)
