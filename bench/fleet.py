"""Simulate engines with continuous batching in virtual time."""

import collections
from typing import NamedTuple

TOKEN_INTERVAL_S = 0.02
PREFILL_S_PER_TOKEN = 0.0004
CACHED_PREFIXES = 8
CACHED_SHARE = 0.7


class RunningRequest:
    """A request that runs on an engine."""

    def __init__(self, arrival, tokens_before: int, prefill_s: float):
        self.arrival = arrival
        self.prefill_left_s = prefill_s
        self.tokens = float(tokens_before)
        self.first_token_s: float | None = None
        self.last_token_s = 0.0


class Completion(NamedTuple):
    """The completion of a request by an engine."""

    server: str
    running: RunningRequest
    cached_share: float


class Engine:
    """An engine with a prefix cache; tokens slow down as its batch fills."""

    def __init__(self, name: str, slots: int, cheap: bool):
        self.name = name
        self.slots = slots
        self.cheap = cheap
        self.slow_factor = 1.0
        self.is_up = True
        self.running: dict[int, RunningRequest] = {}
        self.queue: collections.deque = collections.deque()
        self.cached: dict[int, float] = {}
        self._prefixes: collections.OrderedDict = collections.OrderedDict()

    def start(self, arrival, tokens_before: int = 0) -> RunningRequest:
        """Add a request to the batch."""
        cached_share = CACHED_SHARE if arrival.prefix in self._prefixes else 0.0
        self._prefixes[arrival.prefix] = None
        self._prefixes.move_to_end(arrival.prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        uncached_tokens = (
            arrival.input_tokens * (1 - cached_share) + tokens_before
        )
        running = RunningRequest(
            arrival, tokens_before, uncached_tokens * PREFILL_S_PER_TOKEN
        )
        self.running[arrival.number] = running
        self.cached[arrival.number] = cached_share
        return running

    def stop(self, number: int) -> RunningRequest | None:
        """Remove a request from the batch."""
        self.cached.pop(number, None)
        return self.running.pop(number, None)

    def advance(self, now_s: float, step_s: float) -> list[Completion]:
        """Generate tokens for one step and return the completed requests."""
        if not self.is_up or not self.running:
            return []
        occupancy = len(self.running) / self.slots
        interval_s = (
            TOKEN_INTERVAL_S * self.slow_factor * (0.75 + 0.25 * occupancy)
        )
        completions = []
        for number, running in list(self.running.items()):
            remaining_s = step_s
            if running.prefill_left_s > 0:
                used_s = min(remaining_s, running.prefill_left_s)
                running.prefill_left_s -= used_s / self.slow_factor
                remaining_s -= used_s
            if remaining_s <= 0:
                continue
            running.tokens += remaining_s / interval_s
            if running.first_token_s is None and running.tokens >= 1:
                running.first_token_s = now_s
            if running.tokens >= running.arrival.output_tokens:
                running.last_token_s = now_s
                cached = self.cached.get(number, 0.0)
                self.stop(number)
                completions.append(Completion(self.name, running, cached))
        return completions


def build(deployment) -> dict[str, Engine]:
    """Return the engines of a deployment's pool."""
    names = [(f"paid-{i}", False) for i in range(deployment.paid_servers)]
    names += [(f"cheap-{i}", True) for i in range(deployment.cheap_servers)]
    return {n: Engine(n, deployment.slots, cheap) for n, cheap in names}
