"""Measure how fast the model engines of a service are.

Nodes take samples from the answers that pass through them and send them to
the relay of their failure domain, which returns estimates from the samples of
all its nodes. Of each answer the newest sample of each kind counts, and the
estimates are quantiles over answers, so that a single odd answer changes
nothing. Values travel as buckets of a logarithmic scale.
docs/design/server-speed.md gives the reasons.
"""

import collections
from collections.abc import Iterable
import math
import statistics
from typing import Any
from typing import NamedTuple

import msgspec

from bilberryturn.routing import speed_estimates
from bilberryturn.routing import speed_samples
from bilberryturn.routing import types

# An estimate without new samples returns to the typical value, or to the
# steady one of a fast server, with this half-life, so that a server that was
# left is tried again.
DECAY_HALF_LIFE_S = 2.0
# Estimates of a relay are used for this time; a failed one is replaced sooner.
ESTIMATE_TTL_S = 5.0
# Estimates are computed at most this often.
REFRESH_S = 0.25
# Share of the answers whose low gap is taken as steady: an engine that often
# prefills alongside is not slower, and some of its answers met no prompt.
STEADY_SHARE = 0.1
# Without new answers the steady speed returns to the typical value.
STEADY_HALF_LIFE_S = 20.0
# The high gap of a server is this quantile of its answers' longest gaps.
HIGH_GAP_QUANTILE = 0.6
# Share of the answers whose prompt found no other before it.
IDLE_QUANTILE = 0.25
# Limits on what one poll carries: 4 KB with 123 servers in both directions.
MAX_POLL_SAMPLES = 96
MAX_POLL_SERVERS = 32
MAX_SERVERS = 128
MAX_WORK_UNITS = 9999
MAX_LOAD_PERCENT = 999
MAX_RATE = 10_000_000


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


class ServerSpeeds:
    """Estimates the speed of each server lifetime from samples."""

    def __init__(self):
        self._servers: dict[types.Lifetime, speed_samples.ServerSamples] = {}
        self._by_key: dict[str, speed_samples.ServerSamples] = {}
        # Samples for the relay, whose thread takes them; appending to a deque
        # and popping from it are atomic.
        self._unsent: collections.deque[speed_samples.Sample] = (
            collections.deque(maxlen=4 * MAX_POLL_SAMPLES)
        )
        self._refreshed_s = -math.inf
        self._rates: dict[str, float] = {}
        self._estimates: dict[types.Lifetime, speed_estimates.Estimate] = {}
        self._in_effect: dict[str, speed_estimates.ServiceSpeeds] = {}
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
            s.lifetime: known.get(s.lifetime) or speed_samples.ServerSamples(s)
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
        work = (
            uncached_tokens + speed_samples.FIRST_TOKEN_WORK * tokens_per_event
        )
        self._observe(
            lifetime,
            speed_samples.Kind.FIRST_EVENT,
            answer,
            elapsed_s * 1000 / max(1, work),
            now_s,
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
        self._observe(
            lifetime, speed_samples.Kind.LOW_GAP, answer, low_s, now_s
        )
        self._observe(
            lifetime, speed_samples.Kind.HIGH_GAP, answer, high_s, now_s
        )

    def observe_work(
        self, lifetime: types.Lifetime, tokens: float, now_s: float
    ) -> None:
        """Record the work of a request that is sent to a server."""
        server = self._servers.get(lifetime)
        if server is None:
            return
        server.add_work(tokens, now_s)
        units = min(
            MAX_WORK_UNITS, round(tokens / speed_samples.WORK_UNIT_TOKENS)
        )
        self._unsent.append(
            speed_samples.Sample(now_s, server.key, None, 0, units)
        )

    def _observe(
        self,
        lifetime: types.Lifetime,
        kind: speed_samples.Kind,
        answer: int,
        value_s: float,
        now_s: float,
    ) -> None:
        server = self._servers.get(lifetime)
        if server is None:
            return
        slot, bucket = (
            answer % speed_samples.ANSWER_SLOTS,
            speed_samples.bucket_of(value_s),
        )
        server.add(kind, ("", slot), bucket, now_s)
        self._unsent.append(
            speed_samples.Sample(now_s, server.key, kind, slot, bucket)
        )

    # Messages.

    def own_samples(self, now_s: float) -> dict[str, list[int]]:
        """Return the samples since the last call, by key of the server.

        The first number of a server is the work that it was given, the others
        are answer, kind and bucket in one. May be called on another thread.
        """
        taken: dict[str, list[int]] = {}
        seen: set[tuple[str, speed_samples.Kind, int]] = set()
        while self._unsent:
            try:
                # The newest first, which replaces older ones of its answer.
                sample = self._unsent.pop()
            except IndexError:
                break
            if sample.taken_s < now_s - speed_samples.WINDOW_S:
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
                number = sample.answer * len(speed_samples.Kind) + sample.kind
                values.append(
                    number * (speed_samples.MAX_BUCKET + 1) + sample.value
                )
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
        limit = (
            speed_samples.ANSWER_SLOTS
            * len(speed_samples.Kind)
            * (speed_samples.MAX_BUCKET + 1)
        )
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
            server.add_work(work * speed_samples.WORK_UNIT_TOKENS, now_s)
            for value in values:
                number, bucket = divmod(value, speed_samples.MAX_BUCKET + 1)
                slot, kind = divmod(number, len(speed_samples.Kind))
                server.add(
                    speed_samples.Kind(kind), (node, slot), bucket, now_s
                )
        return None

    def combined(self, now_s: float) -> bytes:
        """Return the estimates for nodes that poll this one."""
        self._refresh(now_s)
        servers = {}
        for lifetime, estimate in list(self._estimates.items())[:MAX_SERVERS]:
            high_gap = estimate.high_gap_s
            load = min(MAX_LOAD_PERCENT, round(100 * estimate.load))
            bucket = (
                -1 if high_gap is None else speed_samples.bucket_of(high_gap)
            )
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
            abs(speed_class) <= speed_estimates.MAX_CLASS
            and abs(steady_class) <= speed_estimates.MAX_CLASS
            and -1 <= bucket <= speed_samples.MAX_BUCKET
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

    def service(
        self, name: str, now_s: float
    ) -> speed_estimates.ServiceSpeeds | None:
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
        by_service: dict[str, list[speed_samples.ServerSamples]] = {}
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
                    s.server.lifetime: speed_estimates.Estimate(
                        s.speed_class,
                        s.steady_class,
                        s.quantile(
                            speed_samples.Kind.HIGH_GAP,
                            HIGH_GAP_QUANTILE,
                            now_s,
                        ),
                        s.work_per_s(now_s)
                        / (rate * speed_estimates.CLASS_RATIO**s.speed_class)
                        if rate
                        else 0.0,
                    )
                    for s in servers
                }
            self._estimates.update(estimates)
            if rate is None:
                continue
            self._rates[name] = rate
            speeds = speed_estimates.service_speeds(rate, estimates)
            if speeds is not None:
                self._in_effect[name] = speeds

    def _estimate_speeds(
        self,
        servers: list[speed_samples.ServerSamples],
        elapsed_s: float,
        now_s: float,
    ) -> float | None:
        """Estimate the speed classes of the servers of one service.

        Returns:
            Tokens a second of a typical server; None if not measured.
        """
        recent = speed_estimates.relative_logs(
            servers, now_s, speed_samples.WINDOW_S, 0.5
        )
        steady = speed_estimates.relative_logs(
            servers, now_s, speed_samples.STEADY_WINDOW_S, STEADY_SHARE
        )
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
            elif not server.has_answers(now_s - speed_samples.WINDOW_S):
                goal = max(0.0, server.steady_log_speed)
                server.log_speed = goal + decay * (server.log_speed - goal)
            server.speed_class = speed_estimates.class_of(
                server.log_speed, server.speed_class
            )
            server.steady_class = speed_estimates.class_of(
                server.steady_log_speed, server.steady_class
            )
        # Behind other prompts the first event is late, so that the rate is
        # taken from answers that found none.
        first_event_s = [
            value * speed_estimates.CLASS_RATIO**server.speed_class
            for server in servers
            if (
                value := server.quantile(
                    speed_samples.Kind.FIRST_EVENT, IDLE_QUANTILE, now_s
                )
            )
            is not None
        ]
        if not first_event_s:
            return None
        return 1000 / statistics.median(first_event_s)


def _received_estimates(
    message: _Message, servers: list[speed_samples.ServerSamples]
) -> dict[types.Lifetime, speed_estimates.Estimate]:
    estimates = {}
    for server in servers:
        lifetime = server.server.lifetime
        values: Any = message.servers.get(server.key, (0, 0, -1, 0))
        speed_class, steady_class, bucket, load = values
        # This node goes on from here if it loses the relay.
        server.speed_class = speed_class
        server.log_speed = speed_class * math.log(speed_estimates.CLASS_RATIO)
        server.steady_class = steady_class
        server.steady_log_speed = steady_class * math.log(
            speed_estimates.CLASS_RATIO
        )
        estimates[lifetime] = speed_estimates.Estimate(
            speed_class,
            steady_class,
            None if bucket < 0 else speed_samples.value_s(bucket),
            load / 100,
        )
    return estimates
