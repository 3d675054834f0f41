"""Find the part of a prompt that crashes the backend servers.

Handles requests that are all different but share one part of their prompt, on
which each server crashes as it begins to answer. Sound requests share their
client account and their other parts, and run on the servers that crash.

Each node reports which requests were about to be answered when their server
crashed, and when it last saw an answer to a part. From the reports of all nodes
it derives the fewest parts, or single requests, that explain the crashes.
"""

import collections
from collections.abc import Iterable
import itertools
from typing import TypeVar

from bilberryturn.routing import crash_causes
from bilberryturn.routing import crash_reports
from bilberryturn.routing import types

# After this time a refused part is tried again.
CRASH_TTL_S = 300.0
# An answer that has been coming for this long shows that its parts are sound.
SOUND_ANSWER_S = 1.0
# Reports are at most this much ahead of the shared clock.
MAX_CLOCK_ERROR_S = 5.0
# Crashes begin to count, and expire, without a new report.
UPDATE_INTERVAL_S = 0.5
# New reports are weighed together.
MIN_UPDATE_INTERVAL_S = 0.1
# Prompts of hundreds of parts soon fill it.
MAX_ANSWERED_PARTS = 16384
# Bounds on the crashes that a node keeps; what it reports of them is less.
MAX_CRASHES = 60
MAX_CRASH_BYTES = 64 * 1024
MAX_NODES = 1000
# The parts of crashes are collected anew for those that expire.
INDEX_INTERVAL_S = 5.0

_Key = TypeVar("_Key")
# Shared times of answers are this old at most.
ANSWER_REPORT_INTERVAL_S = 1.0


class PartCrashes:
    """Collects the reports of all nodes and refuses parts.

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
    ) -> None:
        """Record a request that its server crashed on before answering it.

        Args:
            server: types.Lifetime of the server.
            parts: Shared parts of the prompt.
            request: Identifies the request across its retries.
            now_s: Present time.
        """
        if not parts:
            return
        name = f"{server[0]}/{server[1]}"
        crash = crash_causes.Crash(
            name,
            crash_reports.short_names(parts),
            *crash_reports.short_names((request,)),
            now_s,
        )
        self._own.setdefault((name, crash.suspects), crash)
        self._drop_oldest()
        self._index = None
        self._is_changed = True

    def _drop_oldest(self) -> None:
        """Keep the crashes of this node within their bounds."""
        size_bytes = sum(map(_size_bytes, self._own.values()))
        while len(self._own) > MAX_CRASHES or size_bytes > MAX_CRASH_BYTES:
            _, dropped = self._own.popitem(last=False)
            size_bytes -= _size_bytes(dropped)

    def record_answer(self, parts: crash_causes.Chain, now_s: float) -> None:
        """Record an answer that shows that its parts are sound."""
        for part in crash_reports.short_names(parts):
            self._own_answered[part] = now_s
            self._own_answered.move_to_end(part)
            self._is_changed = self._is_changed or part in self._causes
        while len(self._own_answered) > MAX_ANSWERED_PARTS:
            self._own_answered.popitem(last=False)

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
            and any(
                crash.at_s > self._answered_s(p, now_s) for p in crash.parts
            )
        ]
        self._reported_answers = self._answers_to_report(suspects, now_s)
        return {
            **crash_reports.encode_crashes(
                crashes, suspects, lambda part: self._answered_s(part, now_s)
            ),
            **crash_reports.encode_answers(self._reported_answers),
        }

    def _suspects(self, now_s: float) -> crash_reports.Suspects:
        """Return the parts of all crashes; they expire a little later.

        Also brings the answers that other nodes reported up to date.
        """
        is_old = abs(now_s - self._indexed_s) >= INDEX_INTERVAL_S
        if self._index is None or is_old:
            self._index = crash_reports.Suspects(self._all_crashes(now_s))
            self._indexed_s = now_s
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
        """
        found: dict[str, float] = {}
        for part in suspects.parts:
            answered_s = self._own_answered.get(part)
            if answered_s is None or not _is_current(answered_s, now_s):
                continue
            reported_s = self._reported_answers.get(part, 0.0)
            is_due = answered_s - reported_s >= ANSWER_REPORT_INTERVAL_S
            found[part] = answered_s if is_due else reported_s
        return found

    def refused(
        self, parts: crash_causes.Chain, now_s: float
    ) -> crash_causes.Cause | None:
        """Return the cause for which requests with these parts are refused."""
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
        return None

    def new_causes(self) -> list[crash_causes.Cause]:
        """Return the causes found since the last call."""
        new, self._new_causes = self._new_causes, []
        return new

    def _update(self, now_s: float) -> None:
        """Derive the causes from the reports."""
        causes = crash_causes.find_causes(
            self._all_crashes(now_s), self._answered(now_s), now_s
        )
        found = {c.part: c for c in causes if not c.is_request}
        self._new_causes += [
            cause for part, cause in found.items() if part not in self._causes
        ]
        self._causes = found
        self._is_changed = False
        self._updated_s = now_s

    def _all_crashes(self, now_s: float) -> Iterable[crash_causes.Crash]:
        """Yield the crashes that all nodes reported and that still count."""
        nodes = (reports.crashes for reports in self._others.values())
        for crash in itertools.chain(self._own.values(), *nodes):
            if _is_current(crash.at_s, now_s):
                yield crash

    def _answered(self, now_s: float) -> dict[str, float]:
        """Return when each suspected part was last answered by any node."""
        answered = {
            part: self._answered_s(part, now_s)
            for part in self._suspects(now_s).parts
        }
        return {part: at_s for part, at_s in answered.items() if at_s}

    def _answered_s(self, part: str, now_s: float) -> float:
        """Return when any node last saw a part answered, 0 if none did."""
        own_s = self._own_answered.get(part, 0.0)
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


def _size_bytes(crash: crash_causes.Crash) -> int:
    return sum(map(len, crash.suspects))


def _is_current(at_s: float, now_s: float) -> bool:
    """Return whether the time of a crash or an answer still counts.

    A time in the future was taken before the node knew the shared clock.
    """
    return -MAX_CLOCK_ERROR_S < now_s - at_s < CRASH_TTL_S
