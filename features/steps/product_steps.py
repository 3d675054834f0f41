"""Steps for the tool, settings, logs, metrics and security."""

import argparse
import json
import pathlib
import shlex
import signal
import socket
import ssl
import threading
import time

import behave
import trustme
import zmq

from bilberryturn import checks
from bilberryturn import conf
from bilberryturn import events
from bilberryturn import messages
from bilberryturn.conf import global_settings
from bilberryturn.daemon import jobs
from bilberryturn.declarations import models
from bilberryturn.tool import main as tool_main
from bilberryturn_standins import caller
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import ports
from support import declared
from support import tools

ROOT = pathlib.Path(__file__).parent.parent.parent
PROMPT_MARKER = "marked-prompt-8c1f"


@behave.when("the caller has received an answer and usage has been reported")
def step_after_report(context):
    context.caller.profile = "front-desk"
    answer = context.caller.chat("hello", 8)
    assert answer.complete, answer.body
    context.request_id = answer.headers["x-request-id"]
    cluster_module.wait_for(
        lambda: context.cluster.platform.reports, "a usage report"
    )


@behave.then("these commands exit with this status and print this text")
def step_commands(context):
    node = context.cluster.nodes[0]
    for row in context.table:
        command = row["command"].replace("{request}", context.request_id)
        arguments = shlex.split(command)
        status, output = tools.run_tool(node, *arguments)
        assert status == int(row["status"]), (command, status, output)
        assert row["prints"] in output, (command, output)
        if status == 0:
            status, output = tools.run_tool(node, *arguments, "--json")
            assert status == 0, (command, output)
            lines = [x for x in output.splitlines() if "waiting" not in x]
            json.loads("\n".join(lines))


@behave.then(
    "the tool with an invalid token exits with status {status:d} and names"
    ' "{text}"'
)
def step_no_token(context, status, text):
    node = context.cluster.nodes[0]
    exit_status, output = tools.run_tool(node, "status", token="wrong")
    assert exit_status == status and text in output, (exit_status, output)


@behave.then(
    "the tool with an unreachable node exits with status {status:d} and names"
    ' "{text}"'
)
def step_wrong_address(context, status, text):
    node = context.cluster.nodes[0]
    node.kill()
    exit_status, output = tools.run_tool(node, "status")
    assert exit_status == status and text in output, (exit_status, output)


@behave.when(
    "a key is granted with the tool, used, and withdrawn during a stream"
)
def step_key_lifecycle(context):
    cluster = context.cluster
    for standin in cluster.engines.values():
        standin.options = standin.options._replace(token_interval_s=0.05)
    node = cluster.nodes[0]
    status, output = tools.run_tool(node, "key", "grant", "head-office")
    assert status == 0, output
    key = output.split("key   ")[1].split()[0]
    key_hash = output.split("hash  ")[1].split()[0]
    assert "hash" in output and "2 of 2 nodes" in output
    started = threading.Event()
    sender = cluster.caller(cluster.nodes[1], key, "front-desk")
    context.sender = sender
    context.streams = []

    def stream():
        context.streams.append(
            sender.chat("go", 400, on_token=lambda a: started.set())
        )

    thread = threading.Thread(target=stream, daemon=True)
    thread.start()
    assert started.wait(20)
    status, output = tools.run_tool(node, "key", "withdraw", key_hash[:12])
    assert status == 0, output
    thread.join(20)


@behave.then("the stream has ended and the key is refused")
def step_stream_ended(context):
    assert context.streams[0].code == "key_not_valid", context.streams
    assert context.sender.chat("again").code == "key_not_valid"


GOOD_SETTINGS = {
    "node": {
        "name": "n",
        "failure_domain": "d",
        "region": "r",
        "caller_address": "127.0.0.1:1",
        "control_address": "127.0.0.1:2",
        "admin_address": "127.0.0.1:3",
    },
    "platform": {
        f"{name}_address": "127.0.0.1:4"
        for name in ("table", "objects", "vms", "ordering", "reporting")
    },
    "security": {
        "key_hash_secret_file": __file__,
        "operator_tokens_file": __file__,
    },
}


@behave.then("one check of the settings reports all these faults")
def step_faults(context):
    sections = {name: dict(v) for name, v in GOOD_SETTINGS.items()}
    for row in context.table:
        option, _, value = row["line"].partition("=")
        sections.setdefault(row["section"], {})[option.strip()] = value
    text = "\n".join(
        f"[{name}]\n" + "\n".join(f"{k} = {v}" for k, v in options.items())
        for name, options in sections.items()
    )
    settings, faults = conf.check_text(text, "node.ini")
    assert settings is None
    formatted = checks.format_messages(faults)
    for row in context.table:
        matching = [
            line
            for line in formatted.splitlines()
            if line.startswith(row["number"]) and row["names"] in line
        ]
        assert matching, (row["line"], formatted)
    assert len(faults) == len(context.table.rows), formatted


@behave.when(
    "the body size limit is lowered to {size:d} bytes and the node reloads its"
    " settings"
)
def step_lower_limit(context, size):
    node = context.cluster.nodes[0]
    context.settings_text = node.settings_path.read_text()
    node.settings_path.write_text(
        context.settings_text.replace(
            "[limits]", f"[limits]\nmax_body_bytes = {size}"
        )
    )
    node.signal(signal.SIGHUP)
    cluster_module.wait_for(
        lambda: "settings_reloaded" in node.log_text(), "the reload"
    )


@behave.then("a body of {size:d} bytes is refused")
def step_body_refused(context, size):
    context.caller.profile = "front-desk"
    answer = context.caller.chat("x" * size, 3)
    assert answer.code == "body_too_large", answer.body


@behave.when("the settings contain a fault and the node reloads them")
def step_bad_settings(context):
    node = context.cluster.nodes[0]
    node.settings_path.write_text(
        context.settings_text.replace("[timing]", "[timing]\nlease_ttl = 1")
    )
    node.signal(signal.SIGHUP)
    cluster_module.wait_for(
        lambda: "settings_refused" in node.log_text(), "the refusal"
    )


@behave.then(
    "the log contains event {number:d} and a body of {size:d} bytes is accepted"
)
def step_still_serves(context, number, size):
    log = context.cluster.nodes[0].log_text()
    assert f'"number": {number}' in log and "E102" in log
    answer = context.caller.chat("x" * 20, 3)
    assert answer.complete, answer.body


@behave.when("requests with a marked prompt have succeeded and failed")
def step_marked(context):
    context.texts = []
    for profile in ("front-desk", "quote-draft", "nothing"):
        for stream in (True, False):
            context.caller.profile = profile
            answer = context.caller.chat(
                f"{PROMPT_MARKER} {profile}", 9, stream
            )
            context.texts.append(answer.text)
    engine = next(iter(context.cluster.engines.values()))
    engine.cut_after_tokens = 4
    context.caller.profile = "front-desk"
    context.texts.append(context.caller.chat(f"{PROMPT_MARKER} cut", 30).text)


@behave.then("each log line is JSON with an event number of the catalogue")
def step_numbered(context):
    catalogue = {event.number: event.name for event in events.ALL_EVENTS}
    for node in context.cluster.nodes:
        lines = node.log_text().splitlines()
        assert lines
        for line in lines:
            entry = json.loads(line)
            assert catalogue[entry["number"]] == entry["event"], line
            assert entry["node"] == node.name


@behave.then("no log contains the marked prompt, an answer or the key")
def step_log_content(context):
    for node in context.cluster.nodes:
        log = node.log_text()
        assert PROMPT_MARKER not in log
        assert context.key not in log
        for text in context.texts:
            assert not text or text.strip() not in log


@behave.then("the metrics contain")
def step_metrics(context):
    body = context.caller.request("GET", "/metrics").body.decode()
    for row in context.table:
        assert row["text"] in body, (row["text"], body[:500])


@behave.then("docs/EVENTS.md names every event")
def step_events(context):
    text = (ROOT / "docs" / "EVENTS.md").read_text("utf-8")
    for event in events.ALL_EVENTS:
        row = f"| {event.number} | `{event.name}` |"
        assert row in text, row
    numbers = [event.number for event in events.ALL_EVENTS]
    assert len(numbers) == len(set(numbers))


def command_names():
    parser = tool_main.build_parser()
    for action in parser._actions:
        if not isinstance(action, argparse._SubParsersAction):
            continue
        for name, subparser in action.choices.items():
            nested_actions = [
                a
                for a in subparser._actions
                if isinstance(a, argparse._SubParsersAction)
            ]
            if not nested_actions:
                yield name
            for nested_action in nested_actions:
                yield from (
                    f"{name} {choice}" for choice in nested_action.choices
                )


@behave.then(
    "docs/REFERENCE.md names every setting, declared option, command and metric"
)
def step_reference(context):
    text = (ROOT / "docs" / "REFERENCE.md").read_text("utf-8")
    expected_names = []
    for name, section in global_settings.SECTIONS.items():
        expected_names.append(f"[{name}]")
        expected_names.extend(f"`{option}`" for option in section._fields)
    for kind, section in models.SECTION_KINDS.items():
        expected_names.append(f"[{kind} ")
        expected_names.extend(f"`{option}`" for option in section._fields)
    expected_names.extend(f"`{name}`" for name in command_names())
    source = (ROOT / "src" / "bilberryturn" / "metrics.py").read_text()
    expected_names.extend(
        f"`{part.split(chr(34))[0]}`"
        for part in source.split('"bilberryturn_')[1:]
        for part in ["bilberryturn_" + part]
    )
    missing = [name for name in expected_names if name not in text]
    assert not missing, missing


@behave.given("a cluster of 1 domain with TLS for callers")
def step_tls(context):
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    cluster = cluster_module.Cluster(cluster_module.DOMAINS[:1], 1)
    context.cluster = cluster
    certificate.cert_chain_pems[0].write_to_path(cluster.folder / "c.pem")
    certificate.private_key_pem.write_to_path(cluster.folder / "k.pem")
    node = cluster.nodes[0]
    text = node.settings_path.read_text()
    node.settings_path.write_text(
        text.replace(
            "[security]",
            f"[security]\ntls_certificate_file = {cluster.folder}/c.pem\n"
            f"tls_private_key_file = {cluster.folder}/k.pem",
        )
    )
    context.tls = ssl.create_default_context()
    authority.configure_trust(context.tls)
    cluster.start()
    cluster.apply(declared.sections_with_domains(cluster.domains))
    context.key = cluster.grant("workshop-laredo")


@behave.then("a caller that trusts the certificate gets an answer")
def step_tls_answer(context):
    sender = caller.Caller(
        context.cluster.nodes[0].caller_address,
        context.key,
        "front-desk",
        tls=context.tls,
    )
    answer = sender.chat("hello", 6)
    assert answer.complete, (answer.status, answer.failure, answer.body)


@behave.then("a caller without TLS gets no answer")
def step_no_tls(context):
    sender = caller.Caller(
        context.cluster.nodes[0].caller_address, context.key, "front-desk"
    )
    answer = sender.chat("hello", 6)
    assert not answer.complete, answer.status


@behave.when("a peer with unknown keys sends heartbeats to a node")
def step_unknown_peer(context):
    node = context.cluster.nodes[0]
    folder = context.cluster.folder
    heartbeat = messages.kinds.Heartbeat(
        "stranger", node.domain.name, node.domain.region, "127.0.0.1:9", 1, 1
    )
    public, secret = (part.decode() for part in zmq.curve_keypair())
    address = f"127.0.0.1:{ports.allocate()}"
    server_key = (folder / "control.public").read_text()
    with zmq.Context() as zmq_context:
        for curve in (True, False):
            push = zmq_context.socket(zmq.PUSH)
            push.setsockopt(zmq.LINGER, 0)
            if curve:
                push.curve_serverkey = server_key.encode()
                push.curve_publickey = public.encode()
                push.curve_secretkey = secret.encode()
            push.connect(f"tcp://{node.control_address}")
            for _ in range(20):
                try:
                    push.send(messages.kinds.encode(heartbeat), zmq.NOBLOCK)
                except zmq.ZMQError:
                    pass
                time.sleep(0.05)
            push.close()
    assert address


@behave.then("the node's member list holds only nodes of the cluster")
def step_only_members(context):
    status = context.cluster.nodes[0].status()
    names = {m["name"] for m in status["members"]}
    assert names == {n.name for n in context.cluster.nodes}, names


@behave.when("{count:d} connections send an incomplete request each")
def step_slow_senders(context, count):
    host, port = context.caller.address.rsplit(":", 1)
    for _ in range(count):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x")
        context.closers.append(connection.close)


@behave.then("the caller still gets an answer")
def step_caller_served(context):
    context.caller.profile = "front-desk"
    answer = context.caller.chat("hello", 6)
    assert answer.complete, (answer.status, answer.failure)


@behave.when("a job's work and its interval function each raise an exception")
def step_failing_job(context):
    context.runs = []
    calls = []

    def interval_s():
        calls.append(1)
        if len(calls) == 3:
            raise RuntimeError("the members changed during the call")
        return 0.01

    def work():
        context.runs.append(1)
        if len(context.runs) == 2:
            raise RuntimeError("work failed")

    runner = jobs.JobRunner()
    runner.call_periodically("test", interval_s, work)
    runner.start()
    context.closers.append(runner.stop)


@behave.then("the job has run {count:d} times despite the exceptions")
def step_job_ran(context, count):
    cluster_module.wait_for(
        lambda: len(context.runs) >= count, "the job to run", 20
    )
