"""Collects what callers saw and finds violated invariants."""

import collections
import threading

from soak import testbed as testbed_module
from support import scripted

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time for which a node may have read a request and then drop it.
READ_SLACK_S = 0.2
# A request may cross the announcement of a close. Both sides may be late to
# run, so this is longer than the time that the bytes travel.
CROSSING_SLACK_S = 0.5
# Requests sent later than this after SIGTERM are answered whatever their
# servers do.
SENT_AFTER_STOP_S = 3.0
# Share of the grace period after which a node may cut a request.
CUT_SHARE = 5 / 6
# A node gives up a request that has less time left than this.
LIMIT_SLACK_S = 0.1
# Requests with a larger share of their time limit need not succeed.
SHORT_SHARE = 0.3


class InvariantChecker:
    """Collects the answers of all callers and invariant violations.

    Attributes:
        violations: Texts of the violations found.
        refused: Requests refused with a status that means not run.
        non_repeatable: Requests that may run at most once.
        success_count: Number of complete answers with status 200.
        results: Time in seconds and success of each answer to a request that
            its server answers well before the time limit.
        statuses: Number of complete answers by status.
        lost: Requests that got no complete answer.
        excuses: Number of lost requests by the reason that allows it.
    """

    def __init__(self):
        self.violations = []
        self.refused = set()
        self.non_repeatable = set()
        self.success_count = 0
        self.results = []
        self.statuses = collections.Counter()
        self.lost = []
        self.excuses = collections.Counter()
        self._lock = threading.Lock()

    def add_violation(self, text):
        with self._lock:
            self.violations.append(text)

    def add_lost(self, lost):
        """Record lost requests for check_lost."""
        with self._lock:
            self.lost.extend(lost)
            for entry in lost:
                self._record_kind(entry.sent.planned)

    def check_answer(self, planned, answer, at_s):
        """Check an answer and record it for check_end."""
        with self._lock:
            self._record_kind(planned)
            if answer.status in NOT_RUN_STATUSES:
                self.refused.add(planned.request)
            is_good = answer.status == 200 and answer.is_complete
            if planned.duration_s <= SHORT_SHARE * planned.limit_s:
                self.results.append((at_s, is_good))
            if answer.is_complete:
                self.statuses[answer.status] += 1
            self.success_count += is_good
        if answer.status == 200:
            self._check_body(planned.kind, planned.request, answer)

    def _record_kind(self, planned):
        if planned.kind in ("unsafe", "stream"):
            self.non_repeatable.add(planned.request)

    def _check_body(self, kind, request, answer):
        answered_id = answer.header("X-Bilberryturn-Attempt-Id")
        if answered_id != request:
            self.add_violation(f"{request}: got the answer to {answered_id}")
        if kind in ("safe", "unsafe"):
            expected = f"answer to {request}".encode()
        else:
            expected = b"".join(
                scripted.event(n + 1) for n in range(testbed_module.EVENTS)
            )
        if answer.is_complete and answer.body != expected:
            self.add_violation(
                f"{request}: a complete answer reads {answer.body!r}"
            )
        if not expected.startswith(answer.body):
            self.add_violation(
                f"{request}: a truncated answer reads {answer.body!r}"
            )

    def check_end(self, runs):
        """Compare the answers with the number of runs on backend servers."""
        for request in self.non_repeatable:
            if runs.get(request, 0) > 1:
                self.add_violation(f"{request}: ran {runs[request]} times")
        for request in self.refused & self.non_repeatable:
            if runs.get(request):
                self.add_violation(f"{request}: refused as not run, but ran")

    def check_lost(self, testbed):
        """Check that planned work has lost no request."""
        nodes = {node.name: node for node in testbed.nodes}
        for entry in self.lost:
            stop_s = nodes[entry.node_name].last_stop_s(entry.closed_s)
            excuse = _excuse(entry, testbed, stop_s)
            if excuse:
                self.excuses[excuse] += 1
            else:
                self.add_violation(_describe(entry, testbed.record, stop_s))


def _excuse(lost, testbed, stop_s):
    """Return why a request may be lost around planned work, or None."""
    sent = lost.sent
    request = sent.planned.request
    if lost.is_held:
        return None
    if not testbed.record.runs.get(request):
        return _excuse_unsent(lost)
    end_s = sent.first_s + sent.planned.limit_s - LIMIT_SLACK_S
    if lost.closed_s >= end_s:
        return "time limit"
    if stop_s is None or sent.last_s > stop_s + SENT_AFTER_STOP_S:
        return None
    cut_s = stop_s + CUT_SHARE * testbed.stop_grace_s
    # A request that still runs has no end.
    ended_s = testbed.record.ended_s.get(request, cut_s)
    if lost.closed_s >= cut_s and ended_s >= cut_s:
        return "end of the grace period"
    return None


def _excuse_unsent(lost):
    """Return why a node may drop a request that no server has received."""
    sent_s = lost.sent.sent_s
    if lost.is_unread:
        return "unread"
    if lost.closed_s - sent_s <= READ_SLACK_S:
        return "just sent"
    if lost.is_behind_lost:
        return "behind a lost request"
    announced_s = lost.announced_s
    if announced_s is not None and announced_s - sent_s <= CROSSING_SLACK_S:
        return "crossed a close"
    return None


def _describe(lost, record, stop_s):
    planned, first_s, last_s, sent_s = lost.sent
    after_stop = "no SIGTERM"
    if stop_s is not None:
        after_stop = (
            f"sent {first_s - stop_s:.2f} to {last_s - stop_s:.2f} s and closed"
            f" {lost.closed_s - stop_s:.2f} s after SIGTERM"
        )
    return (
        f"{planned.request}: lost at {lost.node_name}, {after_stop}, kept for"
        f" {lost.closed_s - sent_s:.3f} s, runs"
        f" {record.runs.get(planned.request, 0)}, duration"
        f" {planned.duration_s:.2f} s, limit {planned.limit_s:.0f} s"
        f"{', never closed' if lost.is_held else ''}"
    )
