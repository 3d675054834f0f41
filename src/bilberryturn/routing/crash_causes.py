"""Find the parts of prompts that explain crashes of backend servers.

Sound requests share their parts with those that crash servers, and run on the
servers that crash. Of all explanations the one with the fewest parts, or single
requests, is taken.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Crashes of servers from which a part is refused.
MIN_CRASHES = 3
# Servers that fail together, such as those of one failure domain, are one
# incident. Crashes this far apart are different incidents.
INCIDENT_S = 0.5
MIN_INCIDENTS = 2
# A part that was answered before its first crash needs more incidents, unless
# the answer is older than this.
MIN_INCIDENTS_IF_ANSWERED = 3
ANSWER_TTL_S = 60.0
# Time in which the reports of all nodes become known. Younger crashes count
# only against a part that no other one follows and that was not answered
# before: the reports that clear any other part may still be missing.
REPORT_DELAY_S = 3.0

Chain = tuple[str, ...]


class Crash(NamedTuple):
    """A request that was about to be answered when its server crashed.

    Attributes:
        server: Identifies the lifetime of the server.
        parts: The last shared parts of the request's prompt, in prefill order.
        request: Identifies the request across its retries.
        at_s: Time of the crash on the clock that all nodes share.
    """

    server: str
    parts: Chain
    request: str
    at_s: float

    @property
    def suspects(self) -> Chain:
        """Return what may have caused the crash, the request itself last."""
        return (*self.parts, self.request)


class Cause(NamedTuple):
    """A part, or a single request, that explains crashes.

    Attributes:
        part: Identifier of the part, or that of the request.
        crashes: Number of server lifetimes that it explains.
        incidents: Number of incidents among them.
        is_request: Whether it is a single request, which its fingerprint
            refuses.
    """

    part: str
    crashes: int
    incidents: int
    is_request: bool


class _Evidence:
    """Crashes by part, without those before the part's last answer."""

    def __init__(
        self,
        crashes: Iterable[Crash],
        answered: dict[str, float],
        now_s: float,
    ):
        self._answered = answered
        self._now_s = now_s
        self._times: dict[str, dict[str, float]] = {}
        self._followers: dict[str, set[str]] = {}
        self._requests: set[str] = set()
        for crash in crashes:
            self._requests.add(crash.request)
            for position, part in enumerate(crash.suspects):
                if crash.at_s <= answered.get(part, 0.0):
                    continue
                times = self._times.setdefault(part, {})
                earlier_s = times.get(crash.server, crash.at_s)
                times[crash.server] = min(earlier_s, crash.at_s)
                followers = self._followers.setdefault(part, set())
                followers.update(crash.suspects[position + 1 :])

    def find_cause(self, explained: set[str]) -> Cause | None:
        """Return the clearest cause of the other crashes, or None.

        Args:
            explained: Servers whose crash has another cause.
        """
        causes = {
            cause.part: cause
            for part in self._times
            if (cause := self._cause(part, explained))
        }
        if not causes:
            return None
        best = max(causes.values(), key=self._rank)
        seen: set[str] = set()
        while best.part not in seen:
            seen.add(best.part)
            best = self._better_follower(best, causes, explained) or best
        return best

    def servers(self, part: str) -> set[str]:
        """Return the servers that crashed under a part."""
        return set(self._times[part])

    def _cause(self, part: str, explained: set[str]) -> Cause | None:
        """Return a part as a cause if its evidence is sufficient."""
        is_answered = self._was_answered(part)
        has_follower = bool(self._followers[part] - self._requests)
        is_delayed = is_answered or has_follower
        until_s = self._now_s - (REPORT_DELAY_S if is_delayed else 0.0)
        times_s = sorted(
            at_s
            for server, at_s in self._times[part].items()
            if server not in explained and at_s <= until_s
        )
        if len(times_s) < MIN_CRASHES:
            return None
        incidents = 0
        incident_s = -INCIDENT_S
        for at_s in times_s:
            if at_s - incident_s >= INCIDENT_S:
                incidents += 1
                incident_s = at_s
        needed = MIN_INCIDENTS_IF_ANSWERED if is_answered else MIN_INCIDENTS
        if incidents < needed:
            return None
        return Cause(part, len(times_s), incidents, part in self._requests)

    def _was_answered(self, part: str) -> bool:
        """Return whether a part was answered not long before its crashes."""
        first_s = min(self._times[part].values())
        return first_s - self._answered.get(part, -ANSWER_TTL_S) < ANSWER_TTL_S

    def _rank(self, cause: Cause) -> tuple[bool, int, str]:
        """Order causes: a part that was never answered is clearer."""
        return not self._was_answered(cause.part), cause.crashes, cause.part

    def _better_follower(
        self, cause: Cause, causes: dict[str, Cause], explained: set[str]
    ) -> Cause | None:
        """Return a later part of the same prompts that leaves no other cause.

        Requests without the later part then stay allowed. The last one is the
        request itself: one that its caller repeats condemns no part.
        """
        followers = [
            causes[part]
            for part in self._followers[cause.part]
            if part in causes and part != cause.part
        ]
        for follower in sorted(followers, key=self._rank, reverse=True):
            rest = explained | self.servers(follower.part)
            if self._cause(cause.part, rest) is None:
                return follower
        return None


def find_causes(
    crashes: Iterable[Crash], answered: dict[str, float], now_s: float
) -> list[Cause]:
    """Return the parts that crash servers, the clearest first.

    Args:
        crashes: Reports of all nodes.
        answered: Time at which each part was last answered.
        now_s: Present time.
    """
    evidence = _Evidence(crashes, answered, now_s)
    causes: list[Cause] = []
    explained: set[str] = set()
    while (cause := evidence.find_cause(explained)) is not None:
        causes.append(cause)
        explained |= evidence.servers(cause.part)
    return causes
