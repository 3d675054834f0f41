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
import hashlib
import itertools
import re
from typing import NamedTuple

from bilberryturn.routing import crash_causes
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
MAX_ANSWERED_PARTS = 4096
# Bounds on the reports of one node; its row stays under 10 KB.
MAX_CRASH_REPORTS = 60
MAX_CRASH_REPORT_BYTES = 6000
MAX_ANSWER_REPORTS = 60
MAX_REPORTED_PARTS = 16
MAX_NODES = 1000
# Shared times of answers are this old at most.
ANSWER_REPORT_INTERVAL_S = 1.0

_CRASH_PREFIX = "crash:"
_ANSWER_PREFIX = "answered:"
# Other names, which callers may make up, are replaced by a digest.
_PLAIN_NAME = re.compile(r"[0-9A-Za-z_.-]{1,32}")
_DIGEST_BYTES = 8


class _NodeReports(NamedTuple):
    """The decoded reports of one node."""

    crashes: tuple[crash_causes.Crash, ...]
    answered: dict[str, float]


_NO_REPORTS = _NodeReports((), {})


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
        self._others: collections.OrderedDict[str, _NodeReports] = (
            collections.OrderedDict()
        )
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
        chain = _short_names(parts[-MAX_REPORTED_PARTS:])
        crash = crash_causes.Crash(
            name, chain, *_short_names((request,)), now_s
        )
        self._own.setdefault((name, crash.suspects), crash)
        while not self._has_room():
            self._own.popitem(last=False)
        self._is_changed = True

    def _has_room(self) -> bool:
        """Return whether the crash reports are within their bounds."""
        size_bytes = sum(len(_crash_name(c)) for c in self._own.values())
        return (
            len(self._own) <= MAX_CRASH_REPORTS
            and size_bytes <= MAX_CRASH_REPORT_BYTES
        )

    def record_answer(self, parts: crash_causes.Chain, now_s: float) -> None:
        """Record an answer that shows that its parts are sound."""
        for part in _short_names(parts):
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
        decoded = _decode(reports)
        if self._others.get(node, _NO_REPORTS) == decoded:
            return
        self._others[node] = decoded
        if decoded == _NO_REPORTS:
            del self._others[node]
        while len(self._others) > MAX_NODES:
            self._others.popitem(last=False)
        self._is_changed = True

    def own_reports(self, now_s: float) -> dict[str, int]:
        """Return this node's reports, for other nodes."""
        answered = self._answered(now_s)
        reports = {
            _crash_name(c): _to_ms(c.at_s)
            for c in self._own.values()
            if _is_current(c.at_s, now_s)
            and any(c.at_s > answered.get(part, 0.0) for part in c.parts)
        }
        self._reported_answers = self._answers_to_report(now_s)
        for part, at_s in self._reported_answers.items():
            reports[_ANSWER_PREFIX + part] = _to_ms(at_s)
        return reports

    def _answers_to_report(self, now_s: float) -> dict[str, float]:
        """Return when this node last saw answers to suspected parts.

        A time that was reported is kept for a while, so that the reports do
        not change with each answer.
        """
        found: dict[str, float] = {}
        for part in self._parts_to_clear(now_s):
            answered_s = self._own_answered[part]
            reported_s = self._reported_answers.get(part, 0.0)
            is_due = answered_s - reported_s >= ANSWER_REPORT_INTERVAL_S
            found[part] = answered_s if is_due else reported_s
        return found

    def _parts_to_clear(self, now_s: float) -> list[str]:
        """Return answered parts under crashes, the closest to refusal first.

        An answer is reported for as long as the crashes that it clears.
        """
        servers: dict[str, set[str]] = {}
        for crash in self._all_crashes(now_s):
            for part in crash.parts:
                servers.setdefault(part, set()).add(crash.server)
        parts = [
            part
            for part in servers
            if _is_current(self._own_answered.get(part, 0.0), now_s)
        ]
        parts.sort(key=lambda part: len(servers[part]), reverse=True)
        return parts[:MAX_ANSWER_REPORTS]

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
        for part in _short_names(parts):
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
            part: self._own_answered[part]
            for crash in self._all_crashes(now_s)
            for part in crash.parts
            if _is_current(self._own_answered.get(part, 0.0), now_s)
        }
        for reports in self._others.values():
            for part, at_s in reports.answered.items():
                if _is_current(at_s, now_s):
                    answered[part] = max(at_s, answered.get(part, 0.0))
        return answered


def is_report(name: str) -> bool:
    """Return whether a name stands for a report, not for a fingerprint."""
    return name.startswith((_CRASH_PREFIX, _ANSWER_PREFIX))


def _short_names(parts: crash_causes.Chain) -> crash_causes.Chain:
    """Return names of parts that fit into reports."""
    return tuple(
        part if _PLAIN_NAME.fullmatch(part) else _digest(part) for part in parts
    )


def _digest(part: str) -> str:
    return hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _crash_name(crash: crash_causes.Crash) -> str:
    return f"{_CRASH_PREFIX}{crash.server}:{','.join(crash.suspects)}"


def _is_current(at_s: float, now_s: float) -> bool:
    """Return whether the time of a crash or an answer still counts.

    A time in the future was taken before the node knew the shared clock.
    """
    return -MAX_CLOCK_ERROR_S < now_s - at_s < CRASH_TTL_S


def _to_ms(at_s: float) -> int:
    return int(at_s * 1000)


def _decode(reports: dict[str, int]) -> _NodeReports:
    crashes: list[crash_causes.Crash] = []
    answered: dict[str, float] = {}
    for name, at_ms in reports.items():
        if name.startswith(_ANSWER_PREFIX):
            answered[name.removeprefix(_ANSWER_PREFIX)] = at_ms / 1000
        elif name.startswith(_CRASH_PREFIX):
            server, _, names = name.removeprefix(_CRASH_PREFIX).rpartition(":")
            *parts, request = names.split(",")
            crashes.append(
                crash_causes.Crash(server, tuple(parts), request, at_ms / 1000)
            )
    return _NodeReports(tuple(crashes), answered)
