"""Find the requests and parts of prompts that explain crashes of servers.

Sound requests share their parts with those that crash servers, and run on the
servers that crash. Of all explanations the one with the fewest parts, or single
requests, is taken. A crash of a server counts once for a request, however often
the server had it in hand.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bilberryturn.routing import request_names

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
# Answers for each crash that show that a request is sound. Its servers may
# crash for another reason, and one that crashes them has an answer at times.
MIN_ANSWERS_PER_CRASH = 1
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
        sent_s: Time at which the request was sent, on the same clock; 0 if it
            is not known.
    """

    server: str
    parts: Chain
    request: str
    at_s: float
    is_partial: bool = False
    sent_s: float = 0.0

    @property
    def suspects(self) -> Chain:
        """Return what may have caused the crash, the request itself last.

        The name of its call comes first, as requests with other prompts may
        have it too.
        """
        call = request_names.call_name(self.request)
        if call == self.request:
            return (*self.parts, self.request)
        return (call, *self.parts, self.request)

    def is_request(self, suspect: str) -> bool:
        """Return whether a suspect is the request and no part."""
        call = request_names.call_name(self.request)
        return suspect in (self.request, call)


class Cause(NamedTuple):
    """A part, or a single request, that explains crashes.

    Attributes:
        part: Identifier of the part, or that of the request.
        crashes: Number of server lifetimes that it explains.
        incidents: Number of incidents among them.
        is_request: Whether it is a single request.
    """

    part: str
    crashes: int
    incidents: int
    is_request: bool


class _Evidence:
    """Crashes by suspect, without those before the suspect's last answer.

    A prompt may have hundreds of parts, most of which come in few crashes or
    always together. Only one of those that come together is looked at.

    An answer shows that a part is sound, but not a whole request: one that
    crashes servers may be answered now and then. It is no suspect if it was
    answered as often as servers crashed under it.
    """

    def __init__(
        self,
        crashes: Iterable[Crash],
        answered: dict[str, float],
        now_s: float,
        answers: dict[str, int],
    ):
        self._answered = answered
        self._now_s = now_s
        self._times: dict[str, dict[str, float]] = {}
        # When the servers were sent a request, by its names.
        self._sent: dict[str, dict[str, float]] = {}
        # Parts that have another part behind them.
        self._followed: set[str] = set()
        self._requests: set[str] = set()
        crashes = list(crashes)
        candidates = _in_enough_crashes(crashes, answers)
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
        suspects = crash.suspects
        # The last suspect is the request, with the last part before it.
        last = len(suspects) - 2
        for position, part in enumerate(suspects):
            if part not in candidates:
                continue
            if crash.is_request(part):
                self._add_request(part, crash)
            elif crash.at_s <= self._answered.get(part, 0.0):
                continue
            chain.append(part)
            times = self._times.setdefault(part, {})
            earlier_s = times.get(crash.server, crash.at_s)
            times[crash.server] = min(earlier_s, crash.at_s)
            if position < last or (crash.is_partial and position <= last):
                self._followed.add(part)
        return chain

    def _add_request(self, name: str, crash: Crash) -> None:
        self._requests.add(name)
        sent = self._sent.setdefault(name, {})
        sent[crash.server] = max(sent.get(crash.server, 0.0), crash.sent_s)

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
        sent = self._sent.get(part, {})
        times_s = sorted(
            (at_s, sent.get(server, 0.0))
            for server, at_s in self._times[part].items()
            if server not in explained and at_s <= until_s
        )
        if len(times_s) < MIN_CRASHES:
            return None
        incidents = _count_incidents(times_s)
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
        is_answered = self._was_answered(cause.part)
        followers = {
            causes[part]
            for chain in self._chains
            if cause.part in chain
            for part in chain[chain.index(cause.part) + 1 :]
            if part in causes and part != cause.part
        }
        for follower in sorted(followers, key=self._rank, reverse=True):
            if self._was_answered(follower.part) and not is_answered:
                # Some of the crashes are those of a part without an answer.
                continue
            rest = explained | self.servers(follower.part)
            if self._cause(cause.part, rest) is None:
                return follower
        return None


def _count_incidents(times_s: list[tuple[float, float]]) -> int:
    """Return the number of incidents among crashes.

    Args:
        times_s: Time of each crash, and time at which its request was sent if
            the suspect is a request. One that was sent after a crash, such as a
            retry, was not in hand in that incident.
    """
    incidents = 0
    incident_s = -INCIDENT_S
    for at_s, sent_s in times_s:
        if at_s - incident_s >= INCIDENT_S or sent_s > incident_s:
            incidents += 1
            incident_s = at_s
    return incidents


def _in_enough_crashes(
    crashes: list[Crash], answers: dict[str, int]
) -> set[str]:
    """Return the suspects of enough servers' crashes to be a cause.

    Args:
        crashes: All crashes.
        answers: Number of answers to requests since their first crash.
    """
    servers: dict[str, set[str]] = {}
    for crash in crashes:
        for part in crash.suspects:
            servers.setdefault(part, set()).add(crash.server)
    return {
        suspect
        for suspect, found in servers.items()
        if len(found) >= MIN_CRASHES
        and answers.get(suspect, 0) < MIN_ANSWERS_PER_CRASH * len(found)
    }


def find_causes(
    crashes: Iterable[Crash],
    answered: dict[str, float],
    now_s: float,
    answers: dict[str, int] | None = None,
) -> list[Cause]:
    """Return the requests and parts that crash servers, the clearest first.

    Args:
        crashes: Reports of all nodes.
        answered: Time at which each part was last answered, and each request
            before its first crash.
        now_s: Present time.
        answers: Number of answers to each request since its first crash.
    """
    evidence = _Evidence(crashes, answered, now_s, answers or {})
    causes: list[Cause] = []
    explained: set[str] = set()
    while (cause := evidence.find_cause(explained)) is not None:
        causes.append(cause)
        explained |= evidence.servers(cause.part)
    return causes
