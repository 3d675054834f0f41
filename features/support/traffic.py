"""Runs callers in the background and checks their answers."""

import concurrent.futures
import json
import random
import threading
import time
from typing import NamedTuple

from bilberryturn_standins import caller
from bilberryturn_standins import engine


class Outcome(NamedTuple):
    """A caller's request and its answer."""

    node: str
    profile: str
    body: dict
    answer: caller.Answer
    started_s: float

    @property
    def is_correct(self) -> bool:
        expected = "".join(engine.answer_tokens(self.body))
        return self.answer.complete and self.answer.text == expected


def send_chat(
    cluster, node, key, profile, prompt, tokens, stream=True, on_token=None
):
    body = caller.chat_body(prompt, tokens, stream)
    sender = cluster.caller(node, key, profile)
    started_s = time.monotonic()
    answer = sender.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        on_token=on_token,
    )
    return Outcome(node.name, profile, body, answer, started_s)


def send_many(cluster, key, count, tokens=20, profile="quote-draft", seed=1):
    """Send requests concurrently over all running nodes.

    Returns:
        The outcomes, in the order of the requests.
    """
    rng = random.Random(seed)
    nodes = [node for node in cluster.nodes if node.is_running]
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(
                send_chat,
                cluster,
                nodes[i % len(nodes)],
                key,
                profile,
                f"request {seed}-{i} {rng.random()}",
                tokens + i % 7,
                i % 4 != 0,
            )
            for i in range(count)
        ]
        return [future.result() for future in futures]


class Traffic:
    """Sends requests from several threads until it is stopped.

    A caller retries at the next node if its node is stopping or the
    connection is refused or closed, as it would behind a load balancer.
    """

    def __init__(
        self, cluster, keys, threads=6, tokens=12, nodes=None,
        profiles=("quote-draft",), seed=1, reconnect=True, pause_s=0.0,
    ):  # fmt: skip
        self._cluster = cluster
        self._keys = keys
        self._tokens = tokens
        self._nodes = nodes or cluster.nodes
        self._profiles = profiles
        self._seed = seed
        self._reconnect = reconnect
        self._pause_s = pause_s
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.outcomes: list[Outcome] = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(threads)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join(90)
            assert not thread.is_alive(), "a caller did not finish within 90 s"
        return self.outcomes

    def wait_for_count(self, count, timeout_s=60):
        deadline_s = time.monotonic() + timeout_s
        while len(self.outcomes) < count:
            assert time.monotonic() < deadline_s, len(self.outcomes)
            time.sleep(0.02)

    def _run(self, number):
        rng = random.Random(self._seed * 1000 + number)
        node_index = number
        sent = 0
        while not self._stopping.is_set():
            sent += 1
            key = self._keys[number % len(self._keys)]
            profile = self._profiles[number % len(self._profiles)]
            prompt = f"seed {self._seed} caller {number} request {sent}"
            tokens = self._tokens + rng.randrange(8)
            node = self._nodes[node_index % len(self._nodes)]
            outcome = send_chat(
                self._cluster, node, key, profile, prompt, tokens
            )
            if self._reconnect and self._should_use_next_node(outcome):
                node_index += 1
                time.sleep(0.05)
                continue
            with self._lock:
                self.outcomes.append(outcome)
            time.sleep(self._pause_s)

    def _should_use_next_node(self, outcome) -> bool:
        """Return whether the caller retries at the next node."""
        answer = outcome.answer
        if answer.status == 0:
            refused = ("ConnectionRefused", "RemoteDisconnected",
                       "ConnectionReset")  # fmt: skip
            return answer.failure.startswith(refused)
        return answer.code == "stopping"


def describe_incorrect(outcomes):
    """Return the identifying fields of each incorrect outcome."""
    return [
        (
            o.node,
            o.profile,
            o.answer.status,
            o.answer.code,
            o.answer.failure,
            len(o.answer.token_times_s),
            o.answer.headers.get("x-request-id"),
        )
        for o in outcomes
        if not o.is_correct
    ]


def received_ids(cluster) -> set[str]:
    """Return the identifiers of requests that reached a backend server."""
    found = set()
    standins = (*cluster.engines.values(), *cluster.services.values())
    for standin in standins:
        for request_bytes in standin.received:
            for line in request_bytes.split(b"\n"):
                if line.lower().startswith(b"x-request-id: "):
                    found.add(line[14:].decode())
    return found


def check_not_run_refusals(cluster, answers):
    """Check that no request refused as "not run" reached a server."""
    seen = received_ids(cluster)
    for answer in answers:
        if answer.ran != "not run":
            continue
        request_id = answer.headers.get("x-request-id")
        assert request_id not in seen, (request_id, answer.code)
