"""In-memory fakes of platform interfaces and of a clock."""

import json
import random

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import tables


class FakeClock:
    """A clock that advances only when a test sets `now_s`."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class FakeTable:
    """An in-memory table whose calls fail or lose answers at random.

    Attributes:
        rows: Version and value by key.
        is_down: Whether all calls fail as unreachable.
        era: None, as this table is never restored.
    """

    era = None
    has_seen_restore = False

    def __init__(
        self, seed=0, lost_answer_probability=0.0, unreachable_probability=0.0
    ):
        self.rows = {}
        self._rng = random.Random(seed)
        self._lost_answer_probability = lost_answer_probability
        self._unreachable_probability = unreachable_probability
        self.is_down = False

    def _should_fail(self):
        return (
            self.is_down or self._rng.random() < self._unreachable_probability
        )

    def _unreachable(self):
        return expression.Error(
            exceptions.PlatformUnreachableError("table", "fault")
        )

    def read(self, key):
        if self._should_fail():
            return self._unreachable()
        version, value = self.rows.get(key, (0, None))
        return expression.Ok(tables.Row(key, version, value))

    def scan(self, prefix, after="", limit=0):
        if self._should_fail():
            return self._unreachable()
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        keys = [k for k in keys if k > after]
        rows = [tables.Row(k, *self.rows[k]) for k in keys]
        return expression.Ok(rows[:limit] if limit else rows)

    def transact(self, checks, writes):
        if self._should_fail():
            return self._unreachable()
        failed = tuple(
            key
            for key, version in checks.items()
            if self.rows.get(key, (0, None))[0] != version
        )
        if not failed:
            for key, value in writes.items():
                version = self.rows.get(key, (0, None))[0]
                self.rows[key] = (version + 1, value)
        if self._rng.random() < self._lost_answer_probability:
            return self._unreachable()
        if failed:
            return expression.Ok(tables.Aborted(failed))
        return expression.Ok(
            tables.Committed(
                {key: self.rows[key][0] for key in writes if key in checks}
            )
        )

    def insert(self, key, value):
        return self.transact({key: 0}, {key: value})


class ProcessKilledError(BaseException):
    """Simulates the end of a process in the middle of a step."""


class InterruptedCalls:
    """Counts calls of external interfaces and interrupts one of them.

    Attributes:
        call_number: Number of the call to interrupt, from 1.
        after: Whether the call takes effect before the interruption.
    """

    def __init__(self, call_number, after, interrupt):
        self.call_number = call_number
        self.after = after
        self.interrupt = interrupt
        self.count = 0

    def wrap(self, function):
        def call(*arguments, **options):
            self.count += 1
            is_due = self.count == self.call_number
            if is_due and not self.after:
                self.interrupt()
            result = function(*arguments, **options)
            if is_due and self.after:
                self.interrupt()
            return result

        return call


class InterruptedTable:
    """Forwards calls to a table through InterruptedCalls."""

    def __init__(self, table, calls):
        self.read = calls.wrap(table.read)
        self.scan = calls.wrap(table.scan)
        self.transact = calls.wrap(table.transact)


class FakeReporting:
    """Records reports; rejects stale fencing numbers if configured to."""

    def __init__(self, checks_fencing):
        self.reports = []
        self.refused = []
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0

    def send(self, window, figures, fencing_number):
        if (
            self._checks_fencing
            and fencing_number < self._highest_fencing_number
        ):
            self.refused.append((window, fencing_number))
            return expression.Error(
                exceptions.StaleFencingNumberError("reporting", fencing_number)
            )
        self._highest_fencing_number = max(
            self._highest_fencing_number, fencing_number
        )
        self.reports.append((window, json.dumps(figures), fencing_number))
        return expression.Ok(None)


class FakeOrdering:
    """An ordering interface with one running and one stopped server."""

    def __init__(self, checks_fencing):
        self.accepted = []
        self._states = {"s1": "running", "s2": "stopped"}
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0

    def servers(self, failure_domain):
        return expression.Ok(
            [
                {"name": name, "serves": ["m"], "slots": 8, "state": state}
                for name, state in self._states.items()
            ]
        )

    def send(self, order_id, failure_domain, server, desired, fencing_number):
        if (
            self._checks_fencing
            and fencing_number < self._highest_fencing_number
        ):
            return expression.Error(
                exceptions.StaleFencingNumberError("ordering", fencing_number)
            )
        self._highest_fencing_number = max(
            self._highest_fencing_number, fencing_number
        )
        self._states[server] = desired
        self.accepted.append((server, desired, fencing_number))
        return expression.Ok(None)
