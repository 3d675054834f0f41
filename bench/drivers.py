"""Scheduling policies: the scheduling library and two baselines."""

import itertools

from bilberryturn import scheduling
from bilberryturn.scheduling import types

PROGRESS_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.1
RETRY_LIMIT = 3


class Record:
    """The progress and outcome of one request."""

    def __init__(self, arrival):
        self.arrival = arrival
        self.first_token_s: float | None = None
        self.done_s: float | None = None
        self.outcome = "waiting"
        self.wasted_tokens = 0
        self.attempts = 0
        self.resumed_tokens = 0
        self.was_cheap = False
        self.was_displaced = False


class Driver:
    """Base class of all policies."""

    name = ""

    def __init__(self, engines, deployment):
        self.engines = engines
        self.deployment = deployment
        self.records: dict[int, Record] = {}

    def on_arrival(self, arrival, now_s: float) -> None:
        """Record a new request and submit it."""
        self.records[arrival.number] = Record(arrival)
        self.submit(arrival, now_s)

    def submit(self, arrival, now_s: float) -> None:
        """Place or queue a request."""
        raise NotImplementedError

    def tick(self, now_s: float) -> None:
        """Run the work that is due at this step."""

    def on_reclaim_notice(self, engine, now_s: float) -> None:
        """Handle the notice that an engine will be reclaimed within seconds."""

    def on_engines_changed(self, now_s: float) -> None:
        """Handle an engine that started or stopped."""

    def start(self, engine, arrival, now_s: float) -> None:
        """Start a request on an engine."""
        record = self.records[arrival.number]
        record.attempts += 1
        record.was_cheap = record.was_cheap or engine.cheap
        record.outcome = "running"
        engine.start(arrival, record.resumed_tokens)

    def on_completion(self, finished, now_s: float) -> None:
        """Record the completion of a request."""
        record = self.records[finished.running.arrival.number]
        self.record_first_token(record, finished.running)
        record.done_s = now_s
        record.outcome = "done"

    def record_first_token(self, record, running) -> None:
        """Record the first token, unless an earlier attempt sent one."""
        if record.first_token_s is None:
            record.first_token_s = running.first_token_s

    def on_failure(self, engine, running, now_s: float) -> None:
        """Record that an engine failed while it ran a request."""
        record = self.records[running.arrival.number]
        self.record_first_token(record, running)
        record.wasted_tokens += int(running.tokens)
        record.outcome = "failed"

    def record_abandoned(self, record) -> None:
        """Record that the caller disconnected before the first token."""
        record.outcome = "gave up"

    def expire(self, queue, now_s: float) -> None:
        """Remove requests from a queue whose callers have given up waiting."""
        for arrival in list(queue):
            if now_s - arrival.at_s > arrival.kind.max_wait_s:
                queue.remove(arrival)
                self.record_abandoned(self.records[arrival.number])


class LeastOutstanding(Driver):
    """Chooses the server with the fewest requests; each has a FIFO queue."""

    name = "least-outstanding"

    def submit(self, arrival, now_s):
        """Choose a server immediately; it queues requests beyond its slots."""
        engine = self.choose_engine()
        engine.queue.append(arrival)
        self.start_queued(engine, now_s)

    def choose_engine(self):
        """Return the engine for the next request."""
        up = [e for e in self.engines.values() if e.is_up]
        return min(up, key=lambda e: (len(e.running) + len(e.queue), e.name))

    def start_queued(self, engine, now_s):
        """Start queued requests while the batch has free slots."""
        self.expire(engine.queue, now_s)
        while (
            engine.is_up and engine.queue and len(engine.running) < engine.slots
        ):
            self.start(engine, engine.queue.popleft(), now_s)

    def tick(self, now_s):
        """Start queued requests; resubmit those queued at stopped engines."""
        for engine in self.engines.values():
            if not engine.is_up:
                moved, engine.queue = list(engine.queue), type(engine.queue)()
                for arrival in moved:
                    self.submit(arrival, now_s)
            self.start_queued(engine, now_s)


class RoundRobin(LeastOutstanding):
    """Chooses the servers in turn; each has a FIFO queue."""

    name = "round-robin"

    def __init__(self, engines, deployment):
        super().__init__(engines, deployment)
        self._next_index = itertools.count()

    def choose_engine(self):
        """Return the next running engine in turn."""
        up = [e for e in self.engines.values() if e.is_up]
        return up[next(self._next_index) % len(up)]


class SchedulingLibrary(Driver):
    """Schedules with the scheduling library."""

    name = "bilberryturn"

    def __init__(self, engines, deployment, options=None):
        super().__init__(engines, deployment)
        self.counters = scheduling.TokenCounters()
        self.queue = scheduling.PoolQueue(
            options or scheduling.PoolOptions(), self.counters
        )
        self._leaving: set[str] = set()
        self._next_progress_s = 0.0
        self._next_tick_s = 0.0
        self.on_engines_changed(-100.0)

    def on_engines_changed(self, now_s):
        """Update the servers of the queue."""
        specs = [
            scheduling.ServerSpec(
                e.name, "", e.slots, e.cheap, e.name in self._leaving
            )
            for e in self.engines.values()
            if e.is_up
        ]
        self._leaving &= {e.name for e in self.engines.values() if e.is_up}
        self.queue.set_servers(specs, now_s)

    def on_reclaim_notice(self, engine, now_s):
        """Preempt all requests of a reclaimed server immediately."""
        self._leaving.add(engine.name)
        self.on_engines_changed(now_s)
        for number in list(engine.running):
            self.records[number].was_displaced = True
            self.preempt(engine, number, now_s)
        self.apply_decisions(self.queue.tick(now_s), now_s)

    def request(self, arrival, record, now_s):
        """Return an arrival as a request for the queue."""
        kind = arrival.kind
        deadline_s = arrival.at_s + kind.max_wait_s
        if record.attempts:
            deadline_s = now_s + kind.max_wait_s
        return scheduling.WaitingRequest(
            str(arrival.number),
            kind.tier,
            arrival.account,
            1.0,
            arrival.input_tokens,
            kind.output_tokens,
            arrival.at_s,
            deadline_s,
            arrival.at_s + kind.first_token_target_s,
            kind.cheap,
            tuple(f"{arrival.prefix}/{i}" for i in range(4)),
            preemptions=record.attempts,
        )

    def submit(self, arrival, now_s):
        """Submit a request to the queue."""
        record = self.records[arrival.number]
        record.outcome = "waiting"
        request = self.request(arrival, record, now_s)
        self.apply_decisions(self.queue.submit(request, now_s), now_s)

    def apply_decisions(self, decisions, now_s):
        """Apply grants, refusals and preemptions of the queue."""
        for decision in decisions:
            if isinstance(decision, types.Grant):
                arrival = self.records[int(decision.request.request_id)].arrival
                self.start(self.engines[decision.server], arrival, now_s)
            elif isinstance(decision, types.Refusal):
                record = self.records[int(decision.request.request_id)]
                record.outcome = f"refused {decision.reason}"
            else:
                engine = self.engines[decision.server]
                self.preempt(engine, int(decision.request_id), now_s)

    def preempt(self, engine, number, now_s):
        """Preempt a request and resubmit it; its generated text is kept."""
        running = engine.stop(number)
        if running is None:
            return
        record = self.records[number]
        self.record_first_token(record, running)
        record.resumed_tokens = int(running.tokens)
        decisions = self.queue.finish(
            str(number), "preempted", int(running.tokens), now_s
        )
        self.apply_decisions(decisions, now_s)
        self.submit(record.arrival, now_s)

    def on_completion(self, finished, now_s):
        """Release the slot and report the measured times to the queue."""
        super().on_completion(finished, now_s)
        running = finished.running
        record = self.records[running.arrival.number]
        entry = self.queue.table.running.get(str(running.arrival.number))
        started_s = entry.started_s if entry else now_s
        first_s = (running.first_token_s or now_s) - started_s
        tokens = running.arrival.output_tokens - record.resumed_tokens
        decisions = self.queue.finish(
            str(running.arrival.number),
            "done",
            tokens,
            now_s,
            max(first_s, 0.001),
            now_s - started_s,
            1.0 if finished.cached_share else 0.0,
        )
        self.apply_decisions(decisions, now_s)

    def on_failure(self, engine, running, now_s):
        """Resubmit the request to continue after its generated text."""
        record = self.records[running.arrival.number]
        self.record_first_token(record, running)
        record.resumed_tokens = int(running.tokens)
        decisions = self.queue.finish(
            str(running.arrival.number), "failed", int(running.tokens), now_s
        )
        self.apply_decisions(decisions, now_s)
        if record.attempts > RETRY_LIMIT:
            record.outcome = "failed"
            return
        self.submit(record.arrival, now_s)

    def tick(self, now_s):
        """Report progress and let the queue expire waiting requests."""
        if now_s >= self._next_progress_s:
            self._next_progress_s = now_s + PROGRESS_INTERVAL_S
            for engine in self.engines.values():
                for number, running in engine.running.items():
                    kept = self.records[number].resumed_tokens
                    self.queue.progress(
                        str(number), int(running.tokens) - kept, now_s
                    )
        if now_s >= self._next_tick_s:
            self._next_tick_s = now_s + TICK_INTERVAL_S
            self.apply_decisions(self.queue.tick(now_s), now_s)
