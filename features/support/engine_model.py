"""A seeded model of engines of uneven speed behind many gateway nodes.

The figures are those of the deployment in docs/design/server-speed.md.
"""

import heapq
import itertools
import random
from typing import NamedTuple

import msgspec

from bilberryturn.routing import answer_gaps
from bilberryturn.routing import choice
from bilberryturn.routing import server_speeds
from bilberryturn.routing import types
from support import gateway_rig

ENGINE = types.Engine(16, 600_000, 4)
SERVICE = types.Service("llm", 300, ENGINE, None)
DOMAINS, NODES, ENGINES, POLL_S = 6, 73, 70, 0.6
CHUNK_TOKENS, CHUNK_MS = 1024, 18.8
SPELL_S, SPELL_SHARE, SPELL_FACTOR = 0.6, 0.15, 2.5


class Kind(NamedTuple):
    """A kind of requests; rates are streams a second of all nodes."""

    shared: int
    own: int
    events: int
    first_s: float
    gap_s: float
    rate: float
    burst: float
    prefixes: int


KINDS = (
    Kind(350, 1110, 43, 0.4, 0.12, 51.0, 1.6, 8),
    Kind(6300, 2890, 13, 0.6, 0.2, 88.0, 1.0, 20),
    Kind(13300, 3720, 30, 2.0, 0.5, 81.0, 2.8, 60),
)


class Engine:
    """Prefills prompts in chunks, urgent ones first, and decodes the others."""

    def __init__(self, number, speed, seed):
        self.server = gateway_rig.make_server(
            f"e{number}", 80, service="llm", slots=ENGINE.slots,
            failure_domain=f"d{number % DOMAINS}",
        )  # fmt: skip
        self.speed, self.slowdown = speed, lambda now_s: 1.0
        self.seed = seed
        self.waiting, self.running = [], []
        self.cached, self.is_stepping = set(), False

    def step_s(self, now_s):
        chunk_ms = CHUNK_MS if self.waiting and self.has_slot() else 0.0
        spell = random.Random(f"{self.seed}{int(now_s / SPELL_S)}").random()
        factor = SPELL_FACTOR if spell < SPELL_SHARE else 1.0
        ms = 5.61 + 0.121 * len(self.running) + chunk_ms
        return ms / 1000 / self.speed * factor * self.slowdown(now_s)

    def has_slot(self):
        return len(self.running) < ENGINE.slots

    def step(self):
        """End a step; returns the streams that have a new event."""
        for stream in self.running:
            stream.tokens += 1
        ready = [s for s in self.running if s.tokens % 4 == 0]
        self.running = [s for s in self.running if s.tokens < s.total]
        if self.waiting and self.has_slot():
            urgent = min(self.waiting, key=lambda s: KINDS.index(s.kind))
            urgent.prefill -= CHUNK_TOKENS
            if urgent.prefill <= 0:
                self.waiting.remove(urgent)
                self.running.append(urgent)
        return ready


class Stream:
    """One request on its engine, and what its node observes."""

    def __init__(self, node, kind, rng, now_s, number):
        prefix = f"{kind.own}-{rng.randrange(kind.prefixes)}"
        parts = (
            types.PromptPart(prefix, kind.shared),
            types.PromptPart(f"r{number}", kind.own),
        )
        prompt = types.Prompt(parts, kind.shared + kind.own, kind.events * 4)
        self.needs = choice.Requirements(
            SERVICE, node.domain, prompt, kind.gap_s
        )
        self.node, self.kind, self.sent_s = node, kind, now_s
        self.tokens, self.total = 0, kind.events * 4
        self.event_s = self.worst_s = self.first_s = 0.0
        self.choice = node.balancer.choose(self.needs, node.servers, now_s)
        self.lifetime = self.choice.server.lifetime
        self.load = node.balancer.begin(self.choice, self.needs, now_s)
        self.gaps = answer_gaps.AnswerGaps(node.speeds, self.lifetime, number)
        self.number = number

    def start(self, engine):
        prefix = self.needs.prompt.parts[0]
        self.prefill = self.kind.own
        if prefix.part_id not in engine.cached:
            self.prefill += prefix.tokens
            engine.cached.add(prefix.part_id)
        self.work = self.prefill + 7 * self.total
        engine.waiting.append(self)

    def record_event(self, now_s):
        if not self.first_s:
            self.first_s = now_s
            self.node.balancer.record_first_token(self.load)
            self.node.speeds.observe_first_event(
                self.lifetime, self.number, self.choice.uncached_tokens,
                ENGINE.tokens_per_event, now_s - self.sent_s, now_s,
            )  # fmt: skip
        else:
            self.worst_s = max(self.worst_s, now_s - self.event_s)
        self.event_s = now_s
        self.gaps.record_events(1, self.tokens, now_s, -1.0)
        if self.tokens >= self.total:
            self.gaps.end(now_s, -1.0)
            self.node.balancer.end(self.load, True, now_s)

    def is_late(self):
        return (
            self.worst_s > self.kind.gap_s
            or self.first_s - self.sent_s > self.kind.first_s
        )


class Node:
    """A gateway node that polls the first node of its failure domain."""

    def __init__(self, number, engines, uses_speeds):
        self.name, self.domain = f"n{number}", f"d{number % DOMAINS}"
        self.servers = [e.server for e in engines]
        self.speeds = server_speeds.ServerSpeeds()
        self.speeds.retain(self.servers)
        self.uses_speeds = uses_speeds
        self.balancer = choice.LoadBalancer(
            self.speeds if uses_speeds else None, random.Random(number)
        )

    def poll(self, relay, now_s):
        samples = msgspec.json.encode(self.speeds.own_samples(now_s))
        assert relay.speeds.merge_samples(self.name, samples, now_s) is None
        reply = relay.speeds.combined(now_s)
        assert self.speeds.merge(reply, now_s) is None
        return len(samples) + len(reply)


class Deployment:
    """Engines and nodes; runs seeded traffic and keeps the ended streams."""

    def __init__(self, uses_speeds, speeds=(0.7, 0.7, 1.7), seed=1):
        self.rng = random.Random(seed)
        order = [speeds[n % 3] for n in range(ENGINES)]
        self.rng.shuffle(order)
        self.engines = [
            Engine(n, s, f"{seed}-{n}-") for n, s in enumerate(order)
        ]
        self.nodes = [Node(n, self.engines, uses_speeds) for n in range(NODES)]
        self.by_id = {e.server.server_id: e for e in self.engines}
        self.ended, self.poll_bytes, self.started = [], 0, []
        self.queue, self.count = [], itertools.count()
        for number, node in enumerate(self.nodes[DOMAINS:]):
            self.push(0.01 * number, self._poll, node)
        for kind in KINDS:
            self.push(0.0, self._arrive, kind)

    def push(self, at_s, action, item):
        heapq.heappush(self.queue, (at_s, next(self.count), action, item))

    def run(self, until_s):
        while self.queue[0][0] < until_s:
            now_s, _, action, item = heapq.heappop(self.queue)
            action(item, now_s)

    def _poll(self, node, now_s):
        relay = self.nodes[int(node.domain[1:])]
        size = node.poll(relay, now_s)
        self.poll_bytes = max(self.poll_bytes, size)
        self.push(now_s + POLL_S, self._poll, node)

    def _arrive(self, kind, now_s):
        # Each kind has its burst in another fifth of every 10 s.
        in_burst = int(now_s / 2) % 5 == KINDS.index(kind)
        rate = kind.rate * (kind.burst if in_burst else 1.0)
        self.push(now_s + self.rng.expovariate(rate), self._arrive, kind)
        number = len(self.started)
        stream = Stream(
            self.rng.choice(self.nodes), kind, self.rng, now_s, number
        )
        engine = self.by_id[stream.choice.server.server_id]
        self.started.append((now_s, engine, stream))
        stream.start(engine)
        if not engine.is_stepping:
            engine.is_stepping = True
            self.push(now_s + engine.step_s(now_s), self._step, engine)

    def _step(self, engine, now_s):
        for stream in engine.step():
            stream.record_event(now_s)
            if stream.tokens >= stream.total:
                self.ended.append(stream)
        engine.is_stepping = bool(engine.running or engine.waiting)
        if engine.is_stepping:
            self.push(now_s + engine.step_s(now_s), self._step, engine)

    def on_time(self, kind, after_s=6.0):
        """Return the share of streams of a kind that met their targets."""
        streams = [
            s for s in self.ended if s.kind is kind and s.sent_s > after_s
        ]
        return sum(not s.is_late() for s in streams) / len(streams)

    def busiest(self, after_s=6.0):
        """Return the work of the busiest engine relative to the mean."""
        work = dict.fromkeys(self.engines, 0.0)
        for sent_s, engine, stream in self.started:
            if sent_s > after_s:
                work[engine] += stream.work
        mean = sum(work.values()) / sum(e.speed for e in self.engines)
        return max(work[e] / e.speed for e in self.engines) / mean
