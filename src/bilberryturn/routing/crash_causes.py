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
        parts: The shared parts of the request's prompt, in prefill order.
        request: Identifies the request across its retries.
        at_s: Time of the crash on the clock that all nodes share.
        is_partial: Whether some of the parts are missing.
    """

    server: str
    parts: Chain
    request: str
    at_s: float
    is_partial: bool = False

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
    """Crashes by suspect, without those before the suspect's last answer.

    A prompt may have hundreds of parts, most of which come in few crashes or
    always together. Only one of those that come together is looked at.
    """

    def __init__(
        self,
        crashes: Iterable[Crash],
        answered: dict[str, float],
        now_s: float,
    ):
        self._answered = answered
        self._now_s = now_s
        self._times: dict[str, dict[str, float]] = {}
        # Parts that have another part behind them.
        self._followed: set[str] = set()
        self._requests: set[str] = set()
        crashes = list(crashes)
        candidates = _in_enough_crashes(crashes)
        chains = [self._add(crash, candidates) for crash in crashes]
        representatives = self._representatives(chains)
        self._times = {p: self._times[p] for p in representatives}
        self._chains = [
            [part for part in chain if part in representatives]
            for chain in chains
        ]

    def _add(self, crash: Crash, candidates: set[str]) -> list[str]:
        """Add a crash; returns what may have caused it, in order."""
        chain: list[str] = []
        self._requests.add(crash.request)
        last = len(crash.parts) - 1
        for position, part in enumerate(crash.suspects):
            if part not in candidates:
                continue
            if crash.at_s <= self._answered.get(part, 0.0):
                continue
            chain.append(part)
            times = self._times.setdefault(part, {})
            earlier_s = times.get(crash.server, crash.at_s)
            times[crash.server] = min(earlier_s, crash.at_s)
            if position < last or (crash.is_partial and position <= last):
                self._followed.add(part)
        return chain

    def _representatives(self, chains: list[list[str]]) -> set[str]:
        """Return one of the parts with the same evidence, the last in a prompt.

        Requests without the last one then stay allowed.
        """
        numbers: dict[tuple[bool, frozenset], int] = {}
        group_of: dict[str, int] = {}
        found: dict[int, str] = {}
        for part, times in self._times.items():
            evidence = self._was_answered(part), frozenset(times.items())
            group = numbers.setdefault(evidence, len(numbers))
            group_of[part] = group
            found[group] = max(part, found.get(group, part))
        for chain in chains:
            last_of = {group_of[part]: part for part in chain}
            for part in chain:
                group = group_of[part]
                if part == found[group]:
                    found[group] = last_of[group]
        return set(found.values())

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
        is_delayed = is_answered or part in self._followed
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
        followers = {
            causes[part]
            for chain in self._chains
            if cause.part in chain
            for part in chain[chain.index(cause.part) + 1 :]
            if part in causes and part != cause.part
        }
        for follower in sorted(followers, key=self._rank, reverse=True):
            rest = explained | self.servers(follower.part)
            if self._cause(cause.part, rest) is None:
                return follower
        return None


def _in_enough_crashes(crashes: list[Crash]) -> set[str]:
    """Return the suspects of enough servers' crashes to be a cause."""
    servers: dict[str, set[str]] = {}
    for crash in crashes:
        for part in crash.suspects:
            servers.setdefault(part, set()).add(crash.server)
    return {p for p, found in servers.items() if len(found) >= MIN_CRASHES}


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
