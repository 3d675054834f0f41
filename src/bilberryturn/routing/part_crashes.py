"""Find the request, or the part of a prompt, that crashes backend servers.

Handles a request that crashes each server that it reaches and that its caller
retries through any node, and requests that are all different but share one part
of their prompt, on which each server crashes as it begins to answer. Sound
requests, which may all be alike, share their client account and their other
parts, and run on the servers that crash.

Each node reports which requests were about to be answered when their server
crashed, when it last saw an answer to a part, and how often to a request. From
the reports of all nodes it derives the fewest parts, or single requests, that
explain the crashes.
"""

import collections
from collections.abc import Iterable
import itertools
from typing import NamedTuple
from typing import TypeVar

from bilberryturn.routing import crash_causes
from bilberryturn.routing import crash_reports
from bilberryturn.routing import request_names
from bilberryturn.routing import types

# After this time a refused part or request is tried again.
CRASH_TTL_S = 300.0
# Time from the newest crash under a refused request to its first trial run, and
# by how much it grows with each further crash.
TRIAL_AFTER_S = 30.0
TRIAL_BACKOFF = 4
# An answer that has been coming for this long shows that its parts are sound.
SOUND_ANSWER_S = 1.0
# The time of an answer to a request is kept for so long, since an answer may be
# newer than the crash that a node learns of.
REQUEST_ANSWER_INTERVAL_S = 5.0
# Reports are at most this much ahead of the shared clock.
MAX_CLOCK_ERROR_S = 5.0
# Crashes begin to count, and expire, without a new report.
UPDATE_INTERVAL_S = 0.5
# New reports are weighed together.
MIN_UPDATE_INTERVAL_S = 0.1
# Prompts of hundreds of parts soon fill it.
MAX_ANSWERED_PARTS = 16384
# Bounds on the crashes that a node keeps; what it reports of them is less.
MAX_CRASHES = 200
MAX_CRASH_BYTES = 64 * 1024
MAX_NODES = 1000
# The parts of crashes are collected anew for those that expire.
INDEX_INTERVAL_S = 5.0

# Shared times of answers are this old at most.
ANSWER_REPORT_INTERVAL_S = 1.0

_Key = TypeVar("_Key")


class Evidence(NamedTuple):
    """What is known of a request.

    Attributes:
        crashes: Number of servers that crashed under it.
        answers: Number of its answers since it first crashed a server.
    """

    crashes: int
    answers: int


class PartCrashes:
    """Collects the reports of all nodes and refuses requests and parts.

    Times are on the clock that all nodes share, in Unix seconds.
    """

    def __init__(self):
        self._own: collections.OrderedDict[
            tuple[str, crash_causes.Chain], crash_causes.Crash
        ] = collections.OrderedDict()
        self._own_answered: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._reported_answers: dict[str, float] = {}
        # Of each request under which servers crashed: when it was answered
        # before the first crash, and how often since that was known.
        self._answered_before: dict[str, float] = {}
        self._own_counts: dict[str, int] = {}
        # The last counts in this node's reports.
        self._reported_counts: dict[str, int] = {}
        # Evidence at which a refused request was last tried.
        self._trials: dict[str, tuple[float, int]] = {}
        self._others: collections.OrderedDict[str, crash_reports.NodeReports]
        self._others = collections.OrderedDict()
        # Last answers that other nodes reported, by part and by its number.
        self._others_answered: dict[str, float] = {}
        self._others_numbers: dict[int, float] = {}
        self._index: crash_reports.Suspects | None = None
        self._indexed_s = 0.0
        self._causes: dict[str, crash_causes.Cause] = {}
        self._new_causes: list[crash_causes.Cause] = []
        self._is_changed = False
        self._updated_s = 0.0

    def record_crash(
        self,
        server: types.Lifetime,
        parts: crash_causes.Chain,
        request: str,
        now_s: float,
        sent_s: float = 0.0,
    ) -> None:
        """Record a request that its server crashed on before answering it.

        Args:
            server: types.Lifetime of the server.
            parts: Shared parts of the prompt.
            request: Identifies the request across its retries.
            now_s: Present time.
            sent_s: Time at which the request was sent to the server.
        """
        name = f"{server[0]}/{server[1]}"
        crash = crash_causes.Crash(
            name,
            crash_reports.short_names(parts),
            *crash_reports.short_names((request,)),
            now_s,
            sent_s=sent_s,
        )
        key = (name, crash.suspects)
        known = self._own.get(key, crash)
        self._own[key] = known._replace(sent_s=max(known.sent_s, sent_s))
        self._drop_oldest()
        self._index = None
        self._is_changed = True
        if self.evidence(request, now_s).crashes >= crash_causes.MIN_CRASHES:
            # A retry may follow at once.
            self._updated_s = 0.0

    def withdraw(self, since_s: float) -> None:
        """Forget the crashes that this node recorded from a time on.

        Args:
            since_s: Time from which on it took failures of its own path to
                servers for crashes.
        """
        for key, crash in list(self._own.items()):
            if crash.at_s >= since_s:
                del self._own[key]
                self._index = None
                self._is_changed = True

    def _drop_oldest(self) -> None:
        """Keep the crashes of this node within their bounds."""
        size_bytes = sum(map(_size_bytes, self._own.values()))
        while len(self._own) > MAX_CRASHES or size_bytes > MAX_CRASH_BYTES:
            _, dropped = self._own.popitem(last=False)
            size_bytes -= _size_bytes(dropped)

    def evidence(self, request: str, now_s: float) -> Evidence:
        """Return the crashes and answers that are known of a request."""
        (name,) = crash_reports.short_names((request,))
        servers = {
            crash.server
            for crash in self._all_crashes(now_s)
            if crash.request == name
        }
        return Evidence(len(servers), self._answer_count(name))

    def record_answer(
        self, parts: crash_causes.Chain, now_s: float, request: str = ""
    ) -> None:
        """Record an answer.

        Args:
            parts: The parts that it shows to be sound.
            now_s: Present time.
            request: Identifies the request across its retries.
        """
        requests = _names(request)
        for name in (*crash_reports.short_names(parts), *requests):
            answered_s = self._own_answered.get(name, 0.0)
            is_kept = (
                name in requests
                and 0.0 <= now_s - answered_s < REQUEST_ANSWER_INTERVAL_S
            )
            self._own_answered[name] = answered_s if is_kept else now_s
            self._own_answered.move_to_end(name)
            self._is_changed = self._is_changed or name in self._causes
        while len(self._own_answered) > MAX_ANSWERED_PARTS:
            self._own_answered.popitem(last=False)
        if self._own or self._others:
            suspects = self._suspects(now_s)
            for name in requests:
                if suspects.count(name):
                    self._own_counts[name] = self._own_counts.get(name, 0) + 1

    def merge(self, node: str, reports: dict[str, int]) -> None:
        """Replace the reports of another node.

        Args:
            node: types.Lifetime of the node.
            reports: As from own_reports; other names are ignored.
        """
        decoded = crash_reports.decode(reports)
        if self._others.get(node, crash_reports.NO_REPORTS) == decoded:
            return
        self._others[node] = decoded
        if decoded == crash_reports.NO_REPORTS:
            del self._others[node]
        while len(self._others) > MAX_NODES:
            self._others.popitem(last=False)
        self._index = None
        self._is_changed = True

    def own_reports(self, now_s: float) -> dict[str, int]:
        """Return this node's reports, for other nodes."""
        suspects = self._suspects(now_s)
        crashes = [
            crash
            for crash in self._own.values()
            if _is_current(crash.at_s, now_s)
            and self._may_explain(crash, suspects, now_s)
        ]
        self._reported_answers = self._answers_to_report(suspects, now_s)
        self._reported_counts = self._counts_to_report(suspects)
        return {
            **crash_reports.encode_crashes(
                crashes, suspects, lambda part: self._answered_s(part, now_s)
            ),
            **crash_reports.encode_answers(self._reported_answers),
            **crash_reports.encode_answer_counts(
                self._reported_counts, suspects
            ),
        }

    def _counts_to_report(
        self, suspects: crash_reports.Suspects
    ) -> dict[str, int]:
        """Return how often this node saw requests answered, for its reports.

        A count stays as it was reported while the reports of all nodes show
        that the request is no suspect. Otherwise the row of each node would
        change with its answers to requests that are alike, although the others
        decide nothing else by them.
        """
        return {
            name: (
                self._reported_counts.get(name, 0)
                if self._is_cleared(name, suspects)
                else count
            )
            for name, count in self._own_counts.items()
        }

    def _is_cleared(
        self, request: str, suspects: crash_reports.Suspects
    ) -> bool:
        """Return whether the reported answers show that a request is sound."""
        reported = self._reported_counts.get(request, 0)
        needed = crash_causes.MIN_ANSWERS_PER_CRASH * suspects.count(request)
        return reported + self._others_count(request) >= needed

    def _may_explain(
        self,
        crash: crash_causes.Crash,
        suspects: crash_reports.Suspects,
        now_s: float,
    ) -> bool:
        """Return whether any suspect of a crash may be its cause.

        A request whose retry succeeded is no suspect, and most nodes need not
        hear of its crash. One that was answered may still crash other servers,
        so it is reported again once another crash is known.
        """
        return (
            any(map(suspects.is_shared, _names(crash.request)))
            or any(
                crash.at_s > self._answered_s(part, now_s)
                for part in crash.parts
            )
            or not self._answer_count(crash.request)
        )

    def _answer_count(self, request: str) -> int:
        """Return how often all nodes saw a request answered."""
        return self._own_counts.get(request, 0) + self._others_count(request)

    def _others_count(self, request: str) -> int:
        """Return how often the other nodes reported a request as answered."""
        return sum(
            reports.answer_counts.get(request, 0)
            for reports in self._others.values()
        )

    def _suspects(self, now_s: float) -> crash_reports.Suspects:
        """Return the suspects of all crashes; they expire a little later.

        Also brings the answers that other nodes reported up to date.
        """
        is_old = abs(now_s - self._indexed_s) >= INDEX_INTERVAL_S
        if self._index is None or is_old:
            self._index = crash_reports.Suspects(self._all_crashes(now_s))
            self._indexed_s = now_s
            self._answered_before = {
                name: self._answered_before.get(
                    name, self._answered_until(name, first_s)
                )
                for name, first_s in self._index.requests.items()
            }
            self._own_counts = {
                name: count
                for name, count in self._own_counts.items()
                if self._index.count(name)
            }
            others = self._others.values()
            self._others_answered = _newest(
                (reports.answered for reports in others), now_s
            )
            self._others_numbers = _newest(
                (reports.answered_numbers for reports in others), now_s
            )
        return self._index

    def _answers_to_report(
        self, suspects: crash_reports.Suspects, now_s: float
    ) -> dict[str, float]:
        """Return when this node last saw answers to suspected parts.

        The parts that are closest to refusal come first. An answer is reported
        for as long as the crashes that it clears. A time that was reported is
        kept for a while, so that the reports do not change with each answer.
        Requests are reported once they may come again.
        """
        found: dict[str, float] = {}
        for part in suspects.names:
            if part in suspects.requests and not suspects.is_shared(part):
                continue
            answered_s = self._own_answered_s(part)
            if not answered_s or not _is_current(answered_s, now_s):
                continue
            reported_s = self._reported_answers.get(part, 0.0)
            is_due = answered_s - reported_s >= ANSWER_REPORT_INTERVAL_S
            found[part] = answered_s if is_due else reported_s
        return found

    def refused(
        self, parts: crash_causes.Chain, now_s: float, request: str = ""
    ) -> crash_causes.Cause | None:
        """Return the cause for which a request is refused, or None.

        Args:
            parts: Shared parts of its prompt.
            now_s: Present time.
            request: Identifies the request across its retries.
        """
        interval_s = (
            MIN_UPDATE_INTERVAL_S if self._is_changed else UPDATE_INTERVAL_S
        )
        # The clock may go back as it is synchronized.
        if abs(now_s - self._updated_s) >= interval_s:
            self._update(now_s)
        if not self._causes:
            return None
        for part in crash_reports.short_names(parts):
            if part in self._causes:
                return self._causes[part]
        for name in _names(request):
            cause = self._causes.get(name)
            if cause is not None and not self._begin_trial(cause, now_s):
                return cause
        return None

    def _begin_trial(self, cause: crash_causes.Cause, now_s: float) -> bool:
        """Return whether a refused request runs once all the same.

        Only the node that saw its newest crash tries it, and only once for the
        same evidence, so that all nodes together try it rarely.
        """
        crashes = [
            crash
            for crash in self._all_crashes(now_s)
            if cause.part in crash.suspects
        ]
        if not crashes:
            # They have expired since the cause was derived.
            return True
        newest = max(crashes, key=lambda crash: (crash.at_s, crash.server))
        further = cause.crashes - crash_causes.MIN_CRASHES
        wait_s = TRIAL_AFTER_S * TRIAL_BACKOFF**further
        evidence = (newest.at_s, self._answer_count(cause.part))
        if (
            now_s - newest.at_s < wait_s
            or (newest.server, newest.suspects) not in self._own
            or self._trials.get(cause.part) == evidence
        ):
            return False
        self._trials[cause.part] = evidence
        return True

    def new_causes(self) -> list[crash_causes.Cause]:
        """Return the causes found since the last call."""
        new, self._new_causes = self._new_causes, []
        return new

    def _update(self, now_s: float) -> None:
        """Derive the causes from the reports."""
        causes = crash_causes.find_causes(
            self._all_crashes(now_s),
            self._answered(now_s),
            now_s,
            self._answer_counts(now_s),
        )
        found = {cause.part: cause for cause in causes}
        self._new_causes += [
            cause for part, cause in found.items() if part not in self._causes
        ]
        self._causes = found
        self._trials = {
            name: evidence
            for name, evidence in self._trials.items()
            if name in found
        }
        self._is_changed = False
        self._updated_s = now_s

    def _all_crashes(self, now_s: float) -> Iterable[crash_causes.Crash]:
        """Yield the crashes that all nodes reported and that still count."""
        nodes = (reports.crashes for reports in self._others.values())
        for crash in itertools.chain(self._own.values(), *nodes):
            if _is_current(crash.at_s, now_s):
                yield crash

    def _answer_counts(self, now_s: float) -> dict[str, int]:
        """Return how often each suspected request was answered."""
        suspects = self._suspects(now_s)
        return {
            name: self._answer_count(name)
            for name in suspects.requests
            if suspects.count(name) >= crash_causes.MIN_CRASHES
        }

    def _answered(self, now_s: float) -> dict[str, float]:
        """Return when each suspect was last answered by any node."""
        answered = {
            part: self._answered_s(part, now_s)
            for part in self._suspects(now_s).names
        }
        return {part: at_s for part, at_s in answered.items() if at_s}

    def _answered_until(self, name: str, until_s: float) -> float:
        """Return when this node saw an answer before a time, 0 if it didn't."""
        answered_s = self._own_answered.get(name, 0.0)
        return answered_s if answered_s < until_s else 0.0

    def _own_answered_s(self, name: str) -> float:
        """Return when this node last saw an answer that clears a suspect."""
        if name in self._answered_before:
            return self._answered_before[name]
        return self._own_answered.get(name, 0.0)

    def _answered_s(self, part: str, now_s: float) -> float:
        """Return when any node last saw a part answered, 0 if none did."""
        own_s = self._own_answered_s(part)
        if not _is_current(own_s, now_s):
            own_s = 0.0
        number = crash_reports.part_number(part)
        return max(
            own_s,
            self._others_answered.get(part, 0.0),
            self._others_numbers.get(number, 0.0),
        )


def _newest(
    answered: Iterable[dict[_Key, float]], now_s: float
) -> dict[_Key, float]:
    """Return the newest time of each key that still counts."""
    newest: dict[_Key, float] = {}
    for times in answered:
        for key, at_s in times.items():
            if _is_current(at_s, now_s):
                newest[key] = max(at_s, newest.get(key, 0.0))
    return newest


def _names(request: str) -> crash_causes.Chain:
    """Return the names of a request, that of its call first."""
    if not request:
        return ()
    (name,) = crash_reports.short_names((request,))
    call = request_names.call_name(name)
    return (name,) if call == name else (call, name)


def _size_bytes(crash: crash_causes.Crash) -> int:
    return sum(map(len, crash.suspects))


def _is_current(at_s: float, now_s: float) -> bool:
    """Return whether the time of a crash or an answer still counts.

    A time in the future was taken before the node knew the shared clock.
    """
    return -MAX_CLOCK_ERROR_S < now_s - at_s < CRASH_TTL_S
