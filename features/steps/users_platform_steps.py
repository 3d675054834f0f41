"""Steps of users_platform.feature."""

import contextlib
import io
import json
import os
import pathlib
import random
import socket
import tempfile
import threading
import time
import tomllib
from unittest import mock

import behave

from bilberryturn import events
from bilberryturn import log_writer
from bilberryturn.edge import node
from bilberryturn.edge import presence
from bilberryturn.platform import duty_calls
from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import operator_config
from bilberryturn.platform import rows
from bilberryturn.platform import server_entries
from bilberryturn.platform import settings_file
from bilberryturn.platform import store_era
from bilberryturn.platform import tables
from bilberryturn.platform import wire
from bilberryturn.tool import main as tool_main
from support import platform_data

STORE_FAULTS = {
    "works": "",
    "answers 503": "503",
    "answers 429": "429",
    "loses its answers": "lost",
    "stays silent": "silent",
    "answers garbage": "garbage",
}
ERRORS = {
    "refused": exceptions.PlatformRefusedError,
    "unreachable": exceptions.PlatformUnreachableError,
    "unreadable": exceptions.PlatformFormatError,
}

# Row interface


@behave.given("a stand-in of the users' store that {condition}")
def given_standin(context, condition):
    platform_data.start_standin(context)
    context.standin.put("t", "k", {"x": 1})
    context.standin.fault = STORE_FAULTS[condition]
    client = http.HttpClient("store", context.standin.address, 0.5)
    context.store = rows.RowStore(client)


def _version(number):
    """Return a version of the era in which the stand-in begins."""
    return store_era.RowVersion(0, number)


@behave.then("a read gives {outcome}")
def then_read(context, outcome):
    result = context.store.read("t/k")
    if outcome == "the row":
        assert result.ok == tables.Row("t/k", _version(1), {"x": 1}), result
        return
    assert isinstance(result.error, ERRORS[outcome]), result.error


@behave.then("a transaction gives {outcome}")
def then_transaction(context, outcome):
    result = context.store.transact({"t/new": 0}, {"t/new": 5})
    if outcome == "committed":
        version = _version(2)
        assert result.ok.versions == {"t/new": version}, result
        assert context.store.read("t/new").ok == tables.Row("t/new", version, 5)
        return
    assert isinstance(result.error, ERRORS[outcome]), result.error


@behave.then("a transaction with an old version fails and writes nothing")
def then_old_version(context):
    result = context.store.transact({"t/k": 99, "t/z": 0}, {"t/k": 2, "t/z": 3})
    assert isinstance(result.ok, tables.Aborted), result
    assert context.store.read("t/k").ok.value == {"x": 1}
    assert context.store.read("t/z").ok.version == 0


@behave.when("{count:d} rows are written to a table")
def when_rows(context, count):
    for number in range(count):
        context.standin.put("many", f"{number:05d}", number)


@behave.then("a snapshot holds all of them once")
def then_snapshot(context):
    found = [r.value for r in context.store.scan("many/").ok]
    assert found == list(range(1100)), len(found)


@behave.then("the duty client resets its connection when a call times out")
def then_resets(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    client = http.HttpClient(
        "duties",
        f"127.0.0.1:{listener.getsockname()[1]}",
        0.3,
        drops_unsent=True,
    )
    result = duty_calls.DutyCalls(client, "vm").report_usage(1, {"a": 1}, 5)
    assert isinstance(result.error, exceptions.PlatformUnreachableError)
    accepted, _ = listener.accept()
    accepted.settimeout(2)
    try:
        while accepted.recv(65536):
            pass
    except ConnectionResetError:
        return
    raise AssertionError(
        "the connection was closed gracefully instead of reset"
    )


# Settings

SETTINGS = """node=edge-1
ip=10.1.0.1
zone=east
region=r
zones.east=r
listen.front=10.1.0.1:80
listen.ready=10.1.0.1:81
listen.control=10.1.0.1:82
seeds=10.1.0.1:82,10.1.0.2:82
platform.addr=10.2.0.1:80
cloud.addr=10.2.0.2:80
cloud.duties=usage,scale
bounds.graceS=8
bootstrap=true
"""
BAD_SETTINGS = {
    "is complete": ("", ""),
    "has unknown names": ("bootstrap=true", "bootstrap=true\nnew.x=1\nodd"),
    "lacks the node's name": ("node=edge-1\n", ""),
    "lacks the store": ("platform.addr=10.2.0.1:80\n", ""),
    "has a port of text": ("10.1.0.1:80", "10.1.0.1:http"),
    "has text as bound": ("graceS=8", "graceS=long"),
}


@behave.then("a settings file that {fault} gives {outcome}")
def then_settings(context, fault, outcome):
    if fault == "cannot be read":
        result = settings_file.load("/nowhere/settings.conf")
        assert result.error[0].number == "E289"
        return
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.conf"
        path.write_text(SETTINGS.replace(*BAD_SETTINGS[fault]))
        result = settings_file.load(os.fspath(path))
    if outcome == "settings":
        assert result.ok.name == "edge-1"
        assert result.ok.stop_grace_s == 8
        assert result.ok.is_first_start
        return
    assert [f.option for f in result.error] == [outcome.rpartition(" ")[2]]
    assert all(fault.remedy for fault in result.error)


RELOADS = {
    "names other seeds": ("seeds=10.1.0.1:82,", "seeds=10.9.9.9:82,"),
    "has a longer grace": ("graceS=8", "graceS=11"),
    "names another store": ("addr=10.2.0.1:80", "addr=10.2.0.9:80"),
    "cannot be used": ("graceS=8", "graceS=x"),
}


@behave.given("a node of the gateway that has started")
def given_node(context):
    context.path = pathlib.Path(tempfile.mkdtemp()) / "settings.conf"
    context.path.write_text(SETTINGS, "utf-8")
    settings = settings_file.load(str(context.path)).ok
    context.node = node.EdgeNode(settings, str(context.path))
    context.node._node_presence = presence.Presence(
        None, "n", "east", "", tuple(str(s) for s in settings.seeds)
    )


@behave.when("its settings file {change} and it reloads its settings")
def when_settings_reloaded(context, change):
    old, new = RELOADS[change]
    context.path.write_text(SETTINGS.replace(old, new), "utf-8")
    with mock.patch.object(events, "log") as log:
        context.node._reload()
    context.logged = log.call_args


@behave.then("the reload {effect}")
def then_reload(context, effect):
    current_settings = context.node._settings
    peers = context.node._node_presence.peers()
    if effect == "keeps what was":
        assert context.logged.args == (events.SETTINGS_REFUSED,)
        assert current_settings.stop_grace_s == 8 and "10.1.0.1:82" in peers
        return
    assert context.logged.args == (events.SETTINGS_RELOADED,)
    need_restart = context.logged.kwargs["need_restart"]
    assert need_restart == (["store"] if "store" in effect else []), (
        need_restart
    )
    assert ("10.9.9.9:82" in peers) == ("seeds" in effect), peers
    assert current_settings.stop_grace_s == (11 if "grace" in effect else 8)


# Arbitrary bytes


def _corrupt(rng, data):
    data = bytearray(data)
    for _ in range(rng.randrange(1, 6)):
        offset = rng.randrange(len(data))
        kind = rng.randrange(3)
        if kind == 0:
            data[offset] = rng.randrange(256)
        elif kind == 1:
            del data[offset : offset + rng.randrange(1, 9)]
        else:
            data[offset:offset] = rng.randbytes(rng.randrange(1, 9))
        if not data:
            data = bytearray(b"x")
    return bytes(data)


@behave.then(
    "{count:d} seeded inputs of each kind give a result or a typed error"
)
def then_fuzz(context, count):
    rng = random.Random(23)
    config = json.dumps(platform_data.make_config(3)).encode()
    entry = json.dumps(platform_data.make_entry()).encode()
    names = (
        wire.REQUEST_ID,
        wire.DEADLINE,
        wire.PROMPT_PARTS,
        wire.PROMPT_TOKENS,
        b"authorization",
        b"connection",
        b"host",
        b"keep-alive",
        b"retry-after",
    )
    for _ in range(count):
        operator_config.decode(_corrupt(rng, config)).is_ok()
        server_entries.decode("s", _corrupt(rng, entry)).is_ok()
        text = _corrupt(rng, SETTINGS.encode()).decode("utf-8", "replace")
        settings_file.check_text(text, "file").is_ok()
        headers = [
            (name, _corrupt(rng, b"a1:20,b2:3,900 Bearer k")) for name in names
        ]
        read = wire.read_caller_headers(headers)
        assert read.caller_timeout_s is None or read.caller_timeout_s >= 0
        wire.read_server_response(200, headers)


# Logs


def _line(second, node, event, **fields):
    return json.dumps(
        {
            "timestamp": f"2026-01-01T00:00:{second:02d}Z",
            "node": node,
            "number": 1,
            "event": event,
            **fields,
        }
    )


@behave.given("the logs of two nodes")
def given_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.logs = [pathlib.Path(folder.name) / n for n in ("a.log", "b.log")]
    context.logs[0].write_text(
        "\n".join(
            [
                "Traceback of something else",
                _line(9, "a", "server_changed", server="s1", change="gone"),
                _line(5, "a", "request_ended", request="r7", status=502),
                _line(4, "a", "attempt_failed", request="r7", server="s1"),
                _line(3, "a", "config_applied", version=8),
                _line(3, "a", "request_ended", request="r6", status=200),
            ]
        )
    )
    context.logs[1].write_text(_line(2, "b", "config_applied", version=8))


def _trace(context, request):
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        status = tool_main.main(
            ["trace", request, *(str(log) for log in context.logs)]
        )
    return status, text.getvalue()


@behave.when('the operator traces request "{request}" in them')
def when_traced(context, request):
    context.status, context.printed = _trace(context, request)


@behave.then(
    "the state changes before it and its own lines are printed in order"
)
def then_traced(context):
    assert context.status == 0
    positions = [
        context.printed.index(word)
        for word in ("config_applied", "attempt_failed", "request_ended")
    ]
    assert positions == sorted(positions), context.printed
    assert "gone" not in context.printed, (
        "an event after the request was printed"
    )
    assert "r6" not in context.printed


@behave.then("an unknown request is reported as unknown")
def then_unknown(context):
    status, text = _trace(context, "r99")
    assert status == 1
    assert "r99" in text


class _BlockedLog:
    """A log stream whose writes block until `released` is set."""

    def __init__(self):
        self.text = io.StringIO()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(20)
        self.text.write(text)

    def flush(self):
        pass


@behave.then(
    "{count:d} lines are written without blocking while nothing reads them and"
    " the dropped ones are counted"
)
def then_lines_dropped(context, count):
    log = _BlockedLog()
    writer = log_writer.BoundedWriter(log, max_lines=100)
    for number in range(count):
        writer.write(f"line {number}\n")
    assert writer.dropped_count >= count - 102, writer.dropped_count
    log.released.set()
    deadline_s = time.monotonic() + 5
    while "log_lines_dropped" not in log.text.getvalue():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    written_count = log.text.getvalue().count("line ")
    assert written_count + writer.dropped_count == count, (
        written_count,
        writer.dropped_count,
    )
    writer.close()


# Deployment

ROOT = pathlib.Path(__file__).resolve().parents[2]


@behave.then(
    "requirements.txt pins only what pyproject.toml pins, at the same versions"
)
def then_pins(context):
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))
    pins = set(declared["project"]["dependencies"])
    required = (ROOT / "requirements.txt").read_text("utf-8").split()
    assert required, "requirements.txt is empty"
    assert set(required) <= pins, set(required) - pins


@behave.then("the deploy file runs a program that exists")
def then_program(context):
    text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
    for role in tomllib.loads(text)["roles"].values():
        assert (ROOT / role["run"].split()[1]).is_file()
