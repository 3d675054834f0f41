"""Measure how fast the model engines of a service are.

Nodes take samples from the answers that pass through them and send them to
the relay of their failure domain, which returns estimates from the samples of
all its nodes. Of each answer the newest sample of each kind counts, and the
estimates are quantiles over answers, so that a single odd answer changes
nothing. Values travel as buckets of a logarithmic scale.
docs/design/server-speed.md gives the reasons.
"""

import base64
import collections
from collections.abc import Iterable
import enum
import hashlib
import math
import statistics
from typing import Any
from typing import NamedTuple

import msgspec

from bilberryturn.routing import types

# Samples count for this time. Longer than the spells of about 0.6 s in which
# engines are slow; short enough to follow a lasting change within 5 s.
WINDOW_S = 4.0
# Fewest answers for an estimate; one odd one leaves the median.
MIN_ANSWERS = 3
# Answers of one node to one server that are told apart.
ANSWER_SLOTS = 8
# Most answers of a kind that are kept for a server.
MAX_ANSWERS = 128
# An estimate without new samples returns to the typical value, or to the
# steady one of a fast server, with this half-life, so that a server that was
# left is tried again.
DECAY_HALF_LIFE_S = 2.0
# Estimates of a relay are used for this time; a failed one is replaced sooner.
ESTIMATE_TTL_S = 5.0
# Estimates are computed at most this often.
REFRESH_S = 0.25
# Ratio between neighbouring speed classes.
CLASS_RATIO = 1.3
# Classes as far apart as this differ by a ratio of at least CLASS_RATIO,
# wherever in its class a speed lies.
MIN_CLASS_DIFFERENCE = 2
# One server in this many is passed over at either end of the range of speeds:
# one with a fault, or one that prefills all the time, is no kind of its own.
SKIPPED_PART = 10
# A class changes when the speed is farther from its centre than this share of
# a class, so that a speed at a border does not change it at each sample.
CLASS_HYSTERESIS = 0.75
MAX_CLASS = 8
# Window of the steady speed, from which roles follow: failure domains measure
# the same engines in different moments, but should agree on roles. A domain
# that sends a tenth of an engine's requests has three answers in this time.
STEADY_WINDOW_S = 15.0
# Share of the answers whose low gap is taken as steady: an engine that often
# prefills alongside is not slower, and some of its answers met no prompt.
STEADY_SHARE = 0.1
# Without new answers the steady speed returns to the typical value.
STEADY_HALF_LIFE_S = 20.0
# The high gap of a server is this quantile of its answers' longest gaps.
HIGH_GAP_QUANTILE = 0.6
# Share of the answers whose prompt found no other before it.
IDLE_QUANTILE = 0.25
# Prompt tokens that take as long to prefill as an engine takes for an output
# token: for a first event nothing else shares the step (5.6 ms at 54.6 tokens
# per ms), later ones share it (0.121 ms for each running request).
FIRST_TOKEN_WORK = 300
OUTPUT_TOKEN_WORK = 7
# The work taken by a server is averaged with this time constant.
WORK_TIME_S = 5.0
# Unit of work in a message, in tokens.
WORK_UNIT_TOKENS = 64
# Scale of the samples: steps of a tenth from 1 ms on; the last is above 70 s.
BUCKET_RATIO = 1.1
MAX_BUCKET = 119
# Limits on what one poll carries: 4 KB with 123 servers in both directions.
MAX_POLL_SAMPLES = 96
MAX_POLL_SERVERS = 32
MAX_SERVERS = 512
MAX_WORK_UNITS = 9999
MAX_LOAD_PERCENT = 999
MAX_RATE = 10_000_000
KEY_CHARACTERS = 5


class Kind(enum.IntEnum):
    """Kinds of samples.

    FIRST_EVENT is the time to the first event for 1,000 tokens of work;
    LOW_GAP and HIGH_GAP are gaps between the events of one answer.
    """

    FIRST_EVENT = 0
    LOW_GAP = 1
    HIGH_GAP = 2


class Estimate(NamedTuple):
    """What is measured of one server.

    Attributes:
        speed_class: Class of its speed; 0 is the service's typical speed.
        steady_class: Class of its mean speed over a longer time.
        high_gap_s: Gap that few of its answers exceed; None if unknown.
        load: Work that the nodes of this failure domain give it, as a share
            of what it can do.
    """

    speed_class: int
    steady_class: int
    high_gap_s: float | None
    load: float

    @property
    def relative_speed(self) -> float:
        """Return the speed relative to the service's typical one."""
        return CLASS_RATIO**self.speed_class

    @property
    def steady_speed(self) -> float:
        """Return the mean speed relative to the service's typical one."""
        return CLASS_RATIO**self.steady_class


class ServiceSpeeds(NamedTuple):
    """The measured speeds of a service whose servers differ.

    Attributes:
        tokens_per_s: Prompt tokens that a typical server prefills in a second.
        estimates: What is known of each server.
        fast: The servers whose steady speed is above the middle of the range.
        slow_speed: Relative speed of the others; the median, as coarse as
            that so that failure domains agree.
        fast_speed: Relative speed of the fast ones.
    """

    tokens_per_s: float
    estimates: dict[types.Lifetime, Estimate]
    fast: frozenset[types.Lifetime]
    slow_speed: float
    fast_speed: float

    def group_speed(self, lifetime: types.Lifetime) -> float:
        """Return the relative speed of a server's group."""
        return self.fast_speed if lifetime in self.fast else self.slow_speed


class Change(NamedTuple):
    """A change of the speeds of a service's servers, for the log.

    Attributes:
        in_effect: Whether the speeds differ, so that choices depend on them.
        speeds: Relative speed of each server whose class changed.
    """

    service: str
    in_effect: bool
    speeds: dict[str, float]


class _Message(msgspec.Struct):
    """Estimates in a message.

    Attributes:
        rates: Tokens a second of a typical server, by service.
        servers: Speed class, steady class, bucket of the high gap (-1 if
            unknown) and load in percent, by key of the server.
    """

    rates: dict[str, int]
    servers: dict[str, tuple[int, int, int, int]]


class _Sample(NamedTuple):
    """A sample for the relay; without a kind, work given to the server."""

    taken_s: float
    key: str
    kind: Kind | None
    answer: int
    value: int


class _ServerSamples:
    """The samples of one server, from this node and those that poll it."""

    def __init__(self, server: types.BackendServer):
        self.server = server
        self.key = key(server.lifetime)
        # The newest sample of each answer: when it was taken, and its bucket.
        self.answers: dict[Kind, dict[tuple[str, int], tuple[float, int]]] = {
            kind: {} for kind in Kind
        }
        self.work = 0.0
        self.work_updated_s = 0.0
        self.speed_class = 0
        self.log_speed = 0.0
        self.steady_class = 0
        self.steady_log_speed = 0.0

    def add(
        self, kind: Kind, answer: tuple[str, int], bucket: int, now_s: float
    ) -> None:
        answers = self.answers[kind]
        if len(answers) >= MAX_ANSWERS and answer not in answers:
            del answers[next(iter(answers))]
        answers[answer] = (now_s, bucket)

    def add_work(self, tokens: float, now_s: float) -> None:
        self.work = self.work_per_s(now_s) * WORK_TIME_S + tokens
        self.work_updated_s = now_s

    def work_per_s(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.work_updated_s)
        return self.work * math.exp(-age_s / WORK_TIME_S) / WORK_TIME_S

    def quantile(
        self, kind: Kind, share: float, now_s: float, window_s: float = WINDOW_S
    ) -> float | None:
        """Return a quantile in seconds; None with too few answers."""
        answers = self.answers[kind]
        values = []
        for answer, (taken_s, bucket) in list(answers.items()):
            if taken_s < now_s - STEADY_WINDOW_S:
                del answers[answer]
            elif taken_s >= now_s - window_s:
                values.append(bucket)
        if len(values) < MIN_ANSWERS:
            return None
        values.sort()
        # Neither the lowest nor the highest, which may be odd.
        return _value_s(values[max(1, int(share * (len(values) - 1)))])

    def has_answers(self, since_s: float) -> bool:
        return any(
            taken_s >= since_s
            for answers in self.answers.values()
            for taken_s, _ in answers.values()
        )


class ServerSpeeds:
    """Estimates the speed of each server lifetime from samples."""

    def __init__(self):
        self._servers: dict[types.Lifetime, _ServerSamples] = {}
        self._by_key: dict[str, _ServerSamples] = {}
        # Samples for the relay, whose thread takes them; appending to a deque
        # and popping from it are atomic.
        self._unsent: collections.deque[_Sample] = collections.deque(
            maxlen=4 * MAX_POLL_SAMPLES
        )
        self._refreshed_s = -math.inf
        self._rates: dict[str, float] = {}
        self._estimates: dict[types.Lifetime, Estimate] = {}
        self._in_effect: dict[str, ServiceSpeeds] = {}
        self._answers = 0
        # What was last returned for the log and the metrics.
        self._logged: dict[str, dict[str, float]] = {}
        self._counted: set[tuple[str, str]] = set()
        self._received: _Message | None = None
        self._received_s = -math.inf

    def retain(self, servers: Iterable[types.BackendServer]) -> None:
        """Measure these servers; samples of other lifetimes are dropped."""
        known = self._servers
        self._servers = {
            s.lifetime: known.get(s.lifetime) or _ServerSamples(s)
            for s in servers
        }
        self._by_key = {s.key: s for s in self._servers.values()}

    # Samples of this node.

    def next_answer(self) -> int:
        """Return a number that tells an answer of this node from others."""
        self._answers += 1
        return self._answers

    def observe_first_event(
        self,
        lifetime: types.Lifetime,
        answer: int,
        uncached_tokens: int,
        tokens_per_event: int,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Take the time to the first event of an answer.

        Args:
            lifetime: Lifetime of the server.
            answer: Tells the answers of this node apart.
            uncached_tokens: Prompt tokens to be prefilled, as estimated.
            tokens_per_event: Tokens that an event holds.
            elapsed_s: Time from sending the request to its first event.
            now_s: Present time.
        """
        work = uncached_tokens + FIRST_TOKEN_WORK * tokens_per_event
        self._observe(
            lifetime, Kind.FIRST_EVENT, answer, elapsed_s * 1000 / work, now_s
        )

    def observe_gap(
        self,
        lifetime: types.Lifetime,
        answer: int,
        low_s: float,
        high_s: float,
        now_s: float,
    ) -> None:
        """Take a low gap of an answer and its longest gap until now."""
        self._observe(lifetime, Kind.LOW_GAP, answer, low_s, now_s)
        self._observe(lifetime, Kind.HIGH_GAP, answer, high_s, now_s)

    def observe_work(
        self, lifetime: types.Lifetime, tokens: float, now_s: float
    ) -> None:
        """Record the work of a request that is sent to a server."""
        server = self._servers.get(lifetime)
        if server is None:
            return
        server.add_work(tokens, now_s)
        units = min(MAX_WORK_UNITS, round(tokens / WORK_UNIT_TOKENS))
        self._unsent.append(_Sample(now_s, server.key, None, 0, units))

    def _observe(
        self,
        lifetime: types.Lifetime,
        kind: Kind,
        answer: int,
        value_s: float,
        now_s: float,
    ) -> None:
        server = self._servers.get(lifetime)
        if server is None:
            return
        slot, bucket = answer % ANSWER_SLOTS, _bucket(value_s)
        server.add(kind, ("", slot), bucket, now_s)
        self._unsent.append(_Sample(now_s, server.key, kind, slot, bucket))

    # Messages.

    def own_samples(self, now_s: float) -> dict[str, list[int]]:
        """Return the samples since the last call, by key of the server.

        The first number of a server is the work that it was given, the others
        are answer, kind and bucket in one. May be called on another thread.
        """
        taken: dict[str, list[int]] = {}
        seen: set[tuple[str, Kind, int]] = set()
        while self._unsent:
            try:
                # The newest first, which replaces older ones of its answer.
                sample = self._unsent.pop()
            except IndexError:
                break
            if sample.taken_s < now_s - WINDOW_S:
                continue
            if sample.key not in taken and len(taken) >= MAX_POLL_SERVERS:
                continue
            values = taken.setdefault(sample.key, [0])
            if sample.kind is None:
                values[0] = min(MAX_WORK_UNITS, values[0] + sample.value)
                continue
            name = (sample.key, sample.kind, sample.answer)
            if name not in seen and len(seen) < MAX_POLL_SAMPLES:
                seen.add(name)
                number = sample.answer * len(Kind) + sample.kind
                values.append(number * (MAX_BUCKET + 1) + sample.value)
        return taken

    def merge_samples(self, node: str, data: bytes, now_s: float) -> str | None:
        """Take the samples of a node that polls this one.

        Args:
            node: Identifies the node.
            data: Its samples, encoded.
            now_s: Present time.

        Returns:
            What is wrong with the message, which is dropped as a whole; None
            if it was taken.
        """
        try:
            message = msgspec.json.decode(data, type=dict[str, list[int]])
        except msgspec.DecodeError as error:
            return str(error)
        limit = ANSWER_SLOTS * len(Kind) * (MAX_BUCKET + 1)
        if len(message) > MAX_POLL_SERVERS or not all(
            values
            and len(values) <= 1 + MAX_POLL_SAMPLES
            and 0 <= values[0] <= MAX_WORK_UNITS
            and all(0 <= value < limit for value in values[1:])
            for values in message.values()
        ):
            return "samples outside their limits"
        for name, (work, *values) in message.items():
            server = self._by_key.get(name)
            if server is None:
                continue
            server.add_work(work * WORK_UNIT_TOKENS, now_s)
            for value in values:
                number, bucket = divmod(value, MAX_BUCKET + 1)
                slot, kind = divmod(number, len(Kind))
                server.add(Kind(kind), (node, slot), bucket, now_s)
        return None

    def combined(self, now_s: float) -> bytes:
        """Return the estimates for nodes that poll this one."""
        self._refresh(now_s)
        servers = {}
        for lifetime, estimate in list(self._estimates.items())[:MAX_SERVERS]:
            high_gap = estimate.high_gap_s
            load = min(MAX_LOAD_PERCENT, round(100 * estimate.load))
            bucket = -1 if high_gap is None else _bucket(high_gap)
            steady = estimate.steady_class
            if estimate.speed_class or steady or bucket >= 0 or load:
                servers[self._servers[lifetime].key] = (
                    estimate.speed_class,
                    steady,
                    bucket,
                    load,
                )
        rates = {name: round(rate) for name, rate in self._rates.items()}
        return msgspec.json.encode(_Message(rates, servers))

    def merge(self, data: bytes, now_s: float) -> str | None:
        """Take the estimates of the relay.

        Returns:
            What is wrong with the message, which is dropped as a whole; None
            if it was taken.
        """
        try:
            message = msgspec.json.decode(data, type=_Message)
        except msgspec.DecodeError as error:
            return str(error)
        if len(message.servers) > MAX_SERVERS or not all(
            abs(speed_class) <= MAX_CLASS
            and abs(steady_class) <= MAX_CLASS
            and -1 <= bucket <= MAX_BUCKET
            and 0 <= load <= MAX_LOAD_PERCENT
            for speed_class, steady_class, bucket, load in (
                message.servers.values()
            )
        ):
            return "estimates outside their limits"
        if not all(0 < rate <= MAX_RATE for rate in message.rates.values()):
            return "rates outside their limits"
        self._received, self._received_s = message, now_s
        self._refreshed_s = -math.inf
        return None

    # Estimates.

    def service(self, name: str, now_s: float) -> ServiceSpeeds | None:
        """Return the speeds of a service; None unless its servers differ."""
        self._refresh(now_s)
        return self._in_effect.get(name)

    def relative_speed(self, lifetime: types.Lifetime) -> float:
        """Return the speed relative to the service's typical one."""
        estimate = self._estimates.get(lifetime)
        return 1.0 if estimate is None else estimate.relative_speed

    def high_gap_s(self, lifetime: types.Lifetime) -> float | None:
        """Return the gap that few answers exceed; None if unknown."""
        estimate = self._estimates.get(lifetime)
        return None if estimate is None else estimate.high_gap_s

    def new_changes(self, now_s: float) -> list[Change]:
        """Return what changed since the last call, by service."""
        self._refresh(now_s)
        changes = []
        known = self._logged
        self._logged = {
            name: {
                server_id: round(estimate.relative_speed, 2)
                for (server_id, _), estimate in speeds.estimates.items()
            }
            for name, speeds in self._in_effect.items()
        }
        for name in known.keys() | self._logged.keys():
            before, after = known.get(name, {}), self._logged.get(name, {})
            changed = {
                server_id: speed
                for server_id, speed in after.items()
                if before.get(server_id, 1.0) != speed
            }
            if changed or bool(before) != bool(after):
                changes.append(Change(name, bool(after), changed))
        return changes

    def class_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of servers by service and relative speed.

        Speeds that no server has any more are returned once, with 0.
        """
        counts = collections.Counter(
            (name, str(speed))
            for name, speeds in self._logged.items()
            for speed in speeds.values()
        )
        result = dict.fromkeys(self._counted, 0) | counts
        self._counted = set(counts)
        return result

    def _refresh(self, now_s: float) -> None:
        elapsed_s = now_s - self._refreshed_s
        if elapsed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        by_service: dict[str, list[_ServerSamples]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.server.service, []).append(server)
        received = None
        if now_s - self._received_s < ESTIMATE_TTL_S:
            received = self._received
        self._estimates, self._in_effect, self._rates = {}, {}, {}
        for name, servers in by_service.items():
            if received is not None:
                estimates = _received_estimates(received, servers)
                rate = received.rates.get(name)
            else:
                rate = self._estimate_speeds(servers, elapsed_s, now_s)
                estimates = {
                    s.server.lifetime: Estimate(
                        s.speed_class,
                        s.steady_class,
                        s.quantile(Kind.HIGH_GAP, HIGH_GAP_QUANTILE, now_s),
                        s.work_per_s(now_s)
                        / (rate * CLASS_RATIO**s.speed_class)
                        if rate
                        else 0.0,
                    )
                    for s in servers
                }
            self._estimates.update(estimates)
            if rate is None:
                continue
            self._rates[name] = rate
            speeds = _service_speeds(rate, estimates)
            if speeds is not None:
                self._in_effect[name] = speeds

    def _estimate_speeds(
        self, servers: list[_ServerSamples], elapsed_s: float, now_s: float
    ) -> float | None:
        """Estimate the speed classes of the servers of one service.

        Returns:
            Tokens a second of a typical server; None if not measured.
        """
        recent = _relative_logs(servers, now_s, WINDOW_S, 0.5)
        steady = _relative_logs(servers, now_s, STEADY_WINDOW_S, STEADY_SHARE)
        decay = 0.5 ** (elapsed_s / DECAY_HALF_LIFE_S)
        steady_decay = 0.5 ** (elapsed_s / STEADY_HALF_LIFE_S)
        for server in servers:
            lifetime = server.server.lifetime
            if lifetime in steady:
                server.steady_log_speed = steady[lifetime]
            else:
                server.steady_log_speed *= steady_decay
            if lifetime in recent:
                server.log_speed = recent[lifetime]
            elif not server.has_answers(now_s - WINDOW_S):
                goal = max(0.0, server.steady_log_speed)
                server.log_speed = goal + decay * (server.log_speed - goal)
            server.speed_class = _class(server.log_speed, server.speed_class)
            server.steady_class = _class(
                server.steady_log_speed, server.steady_class
            )
        # Behind other prompts the first event is late, so that the rate is
        # taken from answers that found none.
        first_event_s = [
            value * CLASS_RATIO**server.speed_class
            for server in servers
            if (
                value := server.quantile(Kind.FIRST_EVENT, IDLE_QUANTILE, now_s)
            )
            is not None
        ]
        if not first_event_s:
            return None
        return 1000 / statistics.median(first_event_s)


class AnswerGaps:
    """Takes the gaps between the events of one answer.

    A read that holds several events came late, or the server wrote them
    together: neither the gap before it nor the one after it is known.
    """

    # A sample is taken after each of these times, and at the end. Within the
    # first, three gaps fit on an engine that is three times slower.
    PERIOD_S = 0.5
    # The longest gap is that of this time.
    HIGH_PERIOD_S = 3.0
    MIN_GAPS = 3

    def __init__(
        self, speeds: ServerSpeeds, lifetime: types.Lifetime, answer: int
    ):
        """Initialize the gaps of an answer.

        Args:
            speeds: Takes the samples.
            lifetime: Lifetime of the server.
            answer: Tells the answers of this node apart.
        """
        self._speeds = speeds
        self._lifetime = lifetime
        self._answer = answer
        self._read_number = -1
        self._read_s: float | None = None
        self._pending_s: float | None = None
        self._gaps: list[float] = []
        self._began_s = 0.0
        self._high_s = 0.0
        self._high_began_s = 0.0

    def record_events(
        self, count: int, read_number: int, read_s: float, late_s: float
    ) -> None:
        """Record complete events.

        Args:
            count: Number of events.
            read_number: Number of the read that completed them.
            read_s: Monotonic time of that read.
            late_s: Last time at which the node itself was late.
        """
        if read_number == self._read_number:
            self._pending_s = self._read_s = None
            return
        self._settle(late_s)
        self._read_number = read_number
        if count > 1:
            self._read_s = None
            return
        if self._read_s is not None:
            self._pending_s = read_s - self._read_s
        self._read_s = read_s
        if not self._gaps:
            self._began_s = read_s
        elif read_s - self._began_s >= self.PERIOD_S:
            self._flush(read_s)

    def end(self, now_s: float, late_s: float) -> None:
        """Take the last sample of the answer."""
        self._settle(late_s)
        self._flush(now_s)

    def _settle(self, late_s: float) -> None:
        """Take the gap before the last read, as that held one event."""
        gap_s, self._pending_s = self._pending_s, None
        if gap_s is None or self._read_s is None:
            return
        if late_s < self._read_s - gap_s:
            self._gaps.append(gap_s)

    def _flush(self, now_s: float) -> None:
        gaps = sorted(self._gaps)
        if len(gaps) < self.MIN_GAPS:
            return
        self._gaps = []
        if now_s - self._high_began_s > self.HIGH_PERIOD_S:
            self._high_s, self._high_began_s = 0.0, now_s
        self._high_s = max(self._high_s, gaps[-1])
        self._speeds.observe_gap(
            self._lifetime,
            self._answer,
            gaps[len(gaps) // 4],
            self._high_s,
            now_s,
        )


def work_tokens(prompt: types.Prompt, uncached_tokens: int) -> float:
    """Return the work of a request, in tokens of a prompt."""
    return uncached_tokens + OUTPUT_TOKEN_WORK * prompt.max_output_tokens


def key(lifetime: types.Lifetime) -> str:
    """Return the short name of a server lifetime in messages."""
    server_id, started_ms = lifetime
    digest = hashlib.blake2b(
        f"{started_ms}|{server_id}".encode(), digest_size=6
    )
    return base64.urlsafe_b64encode(digest.digest()).decode()[:KEY_CHARACTERS]


def _relative_logs(
    servers: list[_ServerSamples], now_s: float, window_s: float, share: float
) -> dict[types.Lifetime, float]:
    """Return the logarithms of the measured relative speeds.

    The low gaps depend on the speed alone; the first event is later on a
    server with a queue as well, and counts where no gaps were measured.
    """
    logs: dict[types.Lifetime, float] = {}
    for kind in (Kind.FIRST_EVENT, Kind.LOW_GAP):
        values = {
            s.server.lifetime: value
            for s in servers
            if (value := s.quantile(kind, share, now_s, window_s)) is not None
        }
        if values:
            typical = statistics.median(values.values())
            logs |= {
                lifetime: math.log(typical / value)
                for lifetime, value in values.items()
            }
    return logs


def _received_estimates(
    message: _Message, servers: list[_ServerSamples]
) -> dict[types.Lifetime, Estimate]:
    estimates = {}
    for server in servers:
        lifetime = server.server.lifetime
        values: Any = message.servers.get(server.key, (0, 0, -1, 0))
        speed_class, steady_class, bucket, load = values
        # This node goes on from here if it loses the relay.
        server.speed_class = speed_class
        server.log_speed = speed_class * math.log(CLASS_RATIO)
        server.steady_class = steady_class
        server.steady_log_speed = steady_class * math.log(CLASS_RATIO)
        estimates[lifetime] = Estimate(
            speed_class,
            steady_class,
            None if bucket < 0 else _value_s(bucket),
            load / 100,
        )
    return estimates


def _service_speeds(
    tokens_per_s: float, estimates: dict[types.Lifetime, Estimate]
) -> ServiceSpeeds | None:
    """Divide the servers by speed; returns None if they hardly differ."""
    classes = {name: e.steady_class for name, e in estimates.items()}
    ordered = sorted(classes.values())
    skipped = len(ordered) // SKIPPED_PART
    slowest, fastest = ordered[skipped], ordered[-1 - skipped]
    if fastest - slowest < MIN_CLASS_DIFFERENCE:
        return None
    middle = (slowest + fastest) / 2
    fast = frozenset(name for name, c in classes.items() if c > middle)
    return ServiceSpeeds(
        tokens_per_s,
        estimates,
        fast,
        _median_speed(c for name, c in classes.items() if name not in fast),
        _median_speed(c for name, c in classes.items() if name in fast),
    )


def _median_speed(classes: Iterable[int]) -> float:
    return CLASS_RATIO ** statistics.median(classes)


def _class(log_speed: float, known: int) -> int:
    position = log_speed / math.log(CLASS_RATIO)
    if abs(position - known) <= CLASS_HYSTERESIS:
        return known
    return max(-MAX_CLASS, min(MAX_CLASS, round(position)))


def _bucket(value_s: float) -> int:
    scaled = math.log(max(value_s, 0.001) * 1000) / math.log(BUCKET_RATIO)
    return min(MAX_BUCKET, round(scaled))


def _value_s(bucket: int) -> float:
    return BUCKET_RATIO**bucket / 1000
