"""Samples of the speed of model engines, and their form in messages."""

import base64
import enum
import hashlib
import math
from typing import NamedTuple

from bilberryturn.routing import types

# Samples count for this time. Longer than the spells of about 0.6 s in which
# engines are slow; short enough to follow a lasting change within 5 s.
WINDOW_S = 4.0
# Window of the steady speed, from which roles follow: failure domains measure
# the same engines in different moments, but should agree on roles. A domain
# that sends a tenth of an engine's requests has three answers in this time.
STEADY_WINDOW_S = 15.0
# Fewest answers for an estimate; one odd one leaves the median.
MIN_ANSWERS = 3
# Answers of one node to one server that are told apart.
ANSWER_SLOTS = 8
# Most answers of a kind that are kept for a server.
MAX_ANSWERS = 128
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
KEY_CHARACTERS = 5


class Kind(enum.IntEnum):
    """Kinds of samples.

    FIRST_EVENT is the time to the first event for 1,000 tokens of work;
    LOW_GAP and HIGH_GAP are gaps between the events of one answer.
    """

    FIRST_EVENT = 0
    LOW_GAP = 1
    HIGH_GAP = 2


class Sample(NamedTuple):
    """A sample for the relay; without a kind, work given to the server."""

    taken_s: float
    key: str
    kind: Kind | None
    answer: int
    value: int


class ServerSamples:
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
        """Keep the newest sample of an answer."""
        answers = self.answers[kind]
        if len(answers) >= MAX_ANSWERS and answer not in answers:
            del answers[next(iter(answers))]
        answers[answer] = (now_s, bucket)

    def add_work(self, tokens: float, now_s: float) -> None:
        """Add work that is sent to the server."""
        self.work = self.work_per_s(now_s) * WORK_TIME_S + tokens
        self.work_updated_s = now_s

    def work_per_s(self, now_s: float) -> float:
        """Return the tokens a second that it is sent."""
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
        return value_s(values[max(1, int(share * (len(values) - 1)))])

    def has_answers(self, since_s: float) -> bool:
        """Return whether a sample was taken since a time."""
        return any(
            taken_s >= since_s
            for answers in self.answers.values()
            for taken_s, _ in answers.values()
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


def bucket_of(value_s: float) -> int:
    """Return the bucket of a value in seconds."""
    scaled = math.log(max(value_s, 0.001) * 1000) / math.log(BUCKET_RATIO)
    return min(MAX_BUCKET, round(scaled))


def value_s(bucket: int) -> float:
    """Return the value of a bucket in seconds."""
    return BUCKET_RATIO**bucket / 1000
