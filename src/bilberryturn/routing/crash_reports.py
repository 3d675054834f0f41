"""Encode what a node tells others of crashes, within a number of bytes.

A prompt may have hundreds of parts, any of which may be the cause of a crash.
If the parts of all crashes take too much room, those go first that cannot be
the cause, as they were answered since, and then those of a single crash.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import re
from typing import NamedTuple
import zlib

from bilberryturn.routing import crash_causes
from bilberryturn.routing import request_names

# Together they keep the row of a node under 10 KB.
MAX_CRASH_BYTES = 5500
MAX_ANSWER_BYTES = 3500
# Room that the names of servers and requests may take among the crashes, so
# that there is room for parts as well.
MAX_CRASH_BASE_BYTES = 3800
# Requests whose answers are counted in a report.
MAX_ANSWER_COUNTS = 8
# Fewer parts that were answered together are reported by name.
MIN_DIGESTED_PARTS = 8
# Encoding of a time and what separates it from the others.
TIME_BYTES = 20

_CRASH_PREFIX = "crash:"
_ANSWER_PREFIX = "answered:"
_DIGESTS_PREFIX = "answers:"
_COUNT_PREFIX = "answer-count:"
# Other names, which callers may make up, are replaced by a digest.
_PLAIN_NAME = re.compile(r"[0-9A-Za-z_.-]{1,32}")
_DIGEST_BYTES = 8
# Stands for the parts that a report leaves out.
_OMITTED = "*"
# Comes between a request and the time in ms since it was sent.
_AGE_SEPARATOR = "~"
MAX_AGE_DIGITS = 9


class NodeReports(NamedTuple):
    """The decoded reports of one node.

    Attributes:
        crashes: Its crashes.
        answered: Time at which it last saw answers to parts.
        answered_numbers: The same by the parts' numbers.
        answer_counts: Number of answers to requests since it knew of a crash
            under them.
    """

    crashes: tuple[crash_causes.Crash, ...]
    answered: dict[str, float]
    answered_numbers: dict[int, float]
    answer_counts: dict[str, int]


NO_REPORTS = NodeReports((), {}, {}, {})


def short_names(parts: crash_causes.Chain) -> crash_causes.Chain:
    """Return names of parts that fit into reports."""
    return tuple(
        part if _PLAIN_NAME.fullmatch(part) else _digest(part) for part in parts
    )


class Suspects:
    """The crashes of all nodes by what may have caused them.

    Attributes:
        names: All parts and requests, those under which most servers crashed
            first.
        requests: The requests among them with the time of their first crash.
    """

    def __init__(self, crashes: Iterable[crash_causes.Crash]):
        """Initialize from crashes; others need another object."""
        servers: dict[str, set[str]] = {}
        self.requests: dict[str, float] = {}
        for crash in crashes:
            for suspect in crash.suspects:
                servers.setdefault(suspect, set()).add(crash.server)
                if crash.is_request(suspect):
                    first_s = self.requests.get(suspect, crash.at_s)
                    self.requests[suspect] = min(first_s, crash.at_s)
        self._counts = {name: len(found) for name, found in servers.items()}
        self.names = sorted(self._counts, key=self._rank)

    def _rank(self, part: str) -> tuple[int, int]:
        # All nodes prefer the same ones of as many servers.
        return -self._counts[part], zlib.crc32(part.encode())

    def count(self, name: str) -> int:
        """Return how many servers crashed under a part or request."""
        return self._counts.get(name, 0)

    def is_shared(self, name: str) -> bool:
        """Return whether more than one server crashed under it."""
        return self.count(name) > 1


def encode_crashes(
    crashes: list[crash_causes.Crash],
    suspects: Suspects,
    answered_s: Callable[[str], float],
) -> dict[str, int]:
    """Return the names and times in ms of reports on crashes.

    Args:
        crashes: The crashes, the oldest first.
        suspects: All parts under which servers crashed.
        answered_s: Returns the time at which a part was last answered.
    """
    if sum(len(_crash_name(c)) + TIME_BYTES for c in crashes) > MAX_CRASH_BYTES:
        crashes = _reduce(crashes, suspects, answered_s)
    return {_crash_name(c): _to_ms(c.at_s) for c in crashes}


def encode_answers(answered: dict[str, float]) -> dict[str, int]:
    """Return the names and times in ms of reports on answers.

    Args:
        answered: Times by part, the most important part first.
    """
    parts_by_ms: dict[int, list[str]] = {}
    for part, at_s in answered.items():
        # The parts of one prompt are answered together.
        parts_by_ms.setdefault(_to_ms(at_s), []).append(part)
    reports: dict[str, int] = {}
    room_bytes = MAX_ANSWER_BYTES
    for at_ms, parts in parts_by_ms.items():
        encode = _names if len(parts) < MIN_DIGESTED_PARTS else _digests
        name = encode(parts, room_bytes - TIME_BYTES)
        if not name:
            break
        room_bytes -= len(name) + TIME_BYTES
        reports[name] = at_ms
    return reports


def encode_answer_counts(
    counts: dict[str, int], suspects: Suspects
) -> dict[str, int]:
    """Return the names and values of reports on the answers to requests.

    A request with as many answers as crashes is no suspect; more are not
    reported, so that the reports do not change with each answer.

    Args:
        counts: Number of answers by request.
        suspects: All requests; those with most crashes are reported.
    """
    found = [name for name in suspects.names if counts.get(name)]
    return {
        _COUNT_PREFIX + name: min(
            counts[name],
            crash_causes.MIN_ANSWERS_PER_CRASH * suspects.count(name),
        )
        for name in found[:MAX_ANSWER_COUNTS]
        if suspects.is_shared(name)
    }


def _names(parts: list[str], room_bytes: int) -> str:
    """Return the name of a report on some parts, empty without room."""
    name = _ANSWER_PREFIX + ",".join(parts)
    return name if len(name) <= room_bytes else ""


def _digests(parts: list[str], room_bytes: int) -> str:
    """Return the name of a report on many parts, or the first that fit.

    Their digests are short; one in 16 million sound parts is taken for another.
    """
    count = (room_bytes - len(_DIGESTS_PREFIX)) // 4
    if count <= 0:
        return ""
    data = b"".join(
        part_number(part).to_bytes(3, "big") for part in parts[:count]
    )
    return _DIGESTS_PREFIX + base64.b64encode(data).decode()


def part_number(part: str) -> int:
    """Return the number that stands for a part in reports on many answers."""
    return zlib.crc32(part.encode()) & 0xFFFFFF


def decode(reports: dict[str, int]) -> NodeReports:
    """Decode the reports of another node; other names are ignored."""
    crashes: list[crash_causes.Crash] = []
    answered: dict[str, float] = {}
    numbers: dict[int, float] = {}
    counts: dict[str, int] = {}
    for name, at_ms in reports.items():
        if name.startswith(_ANSWER_PREFIX):
            for part in name.removeprefix(_ANSWER_PREFIX).split(","):
                answered[part] = max(at_ms / 1000, answered.get(part, 0.0))
        elif name.startswith(_DIGESTS_PREFIX):
            for number in _decode_digests(name.removeprefix(_DIGESTS_PREFIX)):
                numbers[number] = max(at_ms / 1000, numbers.get(number, 0.0))
        elif name.startswith(_COUNT_PREFIX):
            counts[name.removeprefix(_COUNT_PREFIX)] = at_ms
        elif name.startswith(_CRASH_PREFIX):
            crash = _decode_crash(name.removeprefix(_CRASH_PREFIX), at_ms)
            crashes.append(crash)
    return NodeReports(tuple(crashes), answered, numbers, counts)


def _decode_crash(text: str, at_ms: int) -> crash_causes.Crash:
    server, _, names = text.rpartition(":")
    *parts, last = names.split(",")
    request, _, age_ms = last.partition(_AGE_SEPARATOR)
    sent_s = 0.0
    if age_ms.isascii() and age_ms.isdecimal():
        sent_s = (at_ms - int(age_ms[:MAX_AGE_DIGITS])) / 1000
    return crash_causes.Crash(
        server,
        tuple(part for part in parts if part != _OMITTED),
        request,
        at_ms / 1000,
        _OMITTED in parts,
        sent_s,
    )


def _decode_digests(text: str) -> Iterator[int]:
    try:
        data = base64.b64decode(text, validate=True)
    except ValueError:
        # Another node's malformed report changes nothing.
        return
    for start in range(0, len(data) - 2, 3):
        yield int.from_bytes(data[start : start + 3], "big")


def _reduce(
    crashes: list[crash_causes.Crash],
    suspects: Suspects,
    answered_s: Callable[[str], float],
) -> list[crash_causes.Crash]:
    """Leave parts out, so that the reports fit into their bytes.

    Crashes under requests that come again are kept before others.
    """
    room_bytes = MAX_CRASH_BASE_BYTES
    newest: list[crash_causes.Crash] = []
    by_importance = sorted(
        reversed(crashes),
        key=lambda crash: suspects.is_shared(
            request_names.call_name(crash.request)
        ),
        reverse=True,
    )
    for crash in by_importance:
        name = _crash_name(crash._replace(parts=(), is_partial=True))
        size_bytes = len(name) + TIME_BYTES
        if size_bytes > room_bytes:
            break
        room_bytes -= size_bytes
        newest.append(crash)
    room_bytes += MAX_CRASH_BYTES - MAX_CRASH_BASE_BYTES
    kept: list[set[str]] = [set() for _ in newest]
    for index, part in _by_importance(newest, suspects):
        if newest[index].at_s <= answered_s(part):
            continue
        room_bytes -= len(part) + 1
        if room_bytes < 0:
            break
        kept[index].add(part)
    reduced = [
        _keep_parts(crash, parts)
        for crash, parts in zip(newest, kept, strict=True)
    ]
    return sorted(reduced, key=lambda crash: crash.at_s)


def _by_importance(
    newest: list[crash_causes.Crash], suspects: Suspects
) -> Iterator[tuple[int, str]]:
    """Yield the number of a crash and a part, the last to be left out first.

    A cause comes with many crashes. Of the parts of one crash any may come
    again, whatever their place; each crash is reported with others first, so
    that none is always left out.
    """
    crashes_of: dict[str, list[int]] = {}
    for index, crash in enumerate(newest):
        for part in crash.parts:
            crashes_of.setdefault(part, []).append(index)
    for part in suspects.names:
        if not suspects.is_shared(part):
            break
        for index in crashes_of.get(part, ()):
            yield index, part
    for index, crash in enumerate(newest):
        salt = zlib.crc32(crash.server.encode())
        once = [part for part in crash.parts if not suspects.is_shared(part)]
        once.sort(key=lambda part: zlib.crc32(part.encode(), salt))  # noqa: B023
        for part in once:
            yield index, part


def _keep_parts(
    crash: crash_causes.Crash, kept: set[str]
) -> crash_causes.Crash:
    parts = tuple(part for part in crash.parts if part in kept)
    is_partial = crash.is_partial or len(parts) < len(crash.parts)
    return crash._replace(parts=parts, is_partial=is_partial)


def _digest(part: str) -> str:
    return hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def _crash_name(crash: crash_causes.Crash) -> str:
    omitted = (_OMITTED,) if crash.is_partial else ()
    request = crash.request
    if crash.sent_s:
        age_ms = max(0, _to_ms(crash.at_s) - _to_ms(crash.sent_s))
        request = f"{request}{_AGE_SEPARATOR}{age_ms}"
    names = ",".join((*crash.parts, *omitted, request))
    return f"{_CRASH_PREFIX}{crash.server}:{names}"


def _to_ms(at_s: float) -> int:
    return int(at_s * 1000)
