"""Steps on declarations."""

import threading
import time

import behave
import msgspec

from bilberryturn import declarations
from bilberryturn import messages
from bilberryturn import platform
from bilberryturn.tool import client as tool_client
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import ports
from support import declared
from support import faults
from support import tools

PROFILE = {"tier": "2", "models": "tatami-small"}


def fetch_declarations(node):
    return node.admin().call("GET", "/declarations")


def apply_change(context, node, number, wait_s=30, operator="ana"):
    admin = node.admin(operator)
    version = admin.call("GET", "/declarations")["version"]
    body = {
        "expected_version": version,
        "changed": {f"profile extra-{number}": PROFILE},
        "wait_s": wait_s,
    }
    context.accepted = admin.call("POST", "/changes", body)
    return context.accepted


@behave.when(
    '"{first}" and "{second}" apply different declarations on the same version'
)
def step_two_operators(context, first, second):
    nodes = [context.cluster.nodes[0], context.cluster.nodes[-1]]
    version = fetch_declarations(nodes[0])["version"]
    context.results = {}
    ready = threading.Barrier(2)

    def change(node, operator):
        body = {
            "expected_version": version,
            "changed": {f"profile of-{operator}": PROFILE},
            "wait_s": 30,
        }
        ready.wait(10)
        try:
            context.results[operator] = node.admin(operator).call(
                "POST", "/changes", body
            )
        except tool_client.ToolError as error:
            context.results[operator] = error

    threads = [
        threading.Thread(target=change, args=(node, name), daemon=True)
        for node, name in zip(nodes, (first, second), strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@behave.then("exactly one is accepted and the other's conflict names the first")
def step_one_conflict(context):
    accepted = [
        name
        for name, result in context.results.items()
        if isinstance(result, dict)
    ]
    assert len(accepted) == 1, context.results
    (rejected,) = set(context.results) - set(accepted)
    error = context.results[rejected]
    assert error.exit_status == tool_client.EXIT_CONFLICT, error
    assert f"by {accepted[0]}" in str(error), error
    context.accepted = context.results[accepted[0]]
    for node in context.cluster.nodes:
        assert (
            f"profile of-{rejected}" not in fetch_declarations(node)["sections"]
        )


@behave.then("the accepted declarations are in force on every node")
def step_in_force(context):
    version = context.accepted["version"]

    def all_in_force():
        found = [n.status().get("version", 0) for n in context.cluster.nodes]
        return all(v >= version for v in found)

    cluster_module.wait_for(all_in_force, f"version {version} everywhere")
    node_declarations = [
        fetch_declarations(node) for node in context.cluster.nodes
    ]
    assert all(
        h["sections"] == node_declarations[0]["sections"]
        for h in node_declarations
    )


@behave.when(
    "{count:d} changes are applied one after the other through different nodes"
)
def step_changes(context, count):
    context.applied = []
    nodes = context.cluster.nodes
    for number in range(count):
        node = nodes[number % len(nodes)]
        cluster_module.wait_for(
            lambda node=node: (
                node.status()["version"]
                >= (context.applied[-1][0]["version"] if context.applied else 0)
            ),
            "the last accepted version",
        )
        started_s = time.monotonic()
        answer = apply_change(context, node, number)
        context.applied.append((answer, time.monotonic() - started_s))


@behave.then(
    "each was in force on {ready:d} of {total:d} nodes within 7 seconds"
)
def step_each_in_force(context, ready, total):
    for answer, seconds in context.applied:
        assert answer["nodes_ready"] == ready, answer
        assert answer["nodes_total"] == total, answer
        assert not answer["pending_domains"], answer
        assert seconds <= 7.0, seconds


@behave.when(
    'a change is applied through node "{name}" waiting {seconds:d} seconds'
)
def step_apply_waiting(context, name, seconds):
    apply_change(context, context.cluster.node(name), "cut", seconds)


@behave.then('it is accepted with "{domain}" pending')
def step_pending(context, domain):
    assert context.accepted["pending_domains"] == [domain], context.accepted


class VersionWatch:
    """Records every node whose version goes back to an older one."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopping = threading.Event()
        self.reverted = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        highest = {}
        while not self._stopping.wait(0.05):
            for node in self._cluster.nodes:
                version = node.status().get("version")
                # A node that has just started has no version and reports not
                # ready; it must not serve an older version.
                if not version:
                    continue
                if version < highest.get(node.name, 0):
                    self.reverted.append((node.name, version, dict(highest)))
                highest[node.name] = max(version, highest.get(node.name, 0))

    def stop(self):
        self._stopping.set()
        self._thread.join(10)


def restart(context, node):
    node.kill()
    node.start()


def case_restart(context):
    restart(context, context.cluster.nodes[1])


def case_restart_platform_down(context):
    for interface in ("table", "objects", "vms"):
        context.cluster.platform.set_fault(interface, "down")
    restart(context, context.cluster.nodes[1])
    version = context.accepted["version"]
    cluster_module.wait_for(
        lambda: context.cluster.nodes[1].status().get("version") == version,
        "the node to boot from its peers",
    )
    for interface in ("table", "objects", "vms"):
        context.cluster.platform.set_fault(interface, "none")


def case_restart_all(context):
    for node in context.cluster.nodes:
        restart(context, node)


def case_isolated_domain(context):
    rules = faults.cut_rules(
        context.cluster, "oviedo", "the platform and all peers"
    )
    context.cluster.proxy.set_rules(rules)
    apply_change(context, context.cluster.nodes[0], "during", 1)
    context.cluster.proxy.set_rules([])


def case_replay_old_changes(context):
    node = context.cluster.nodes[1]
    table = platform.TableService(
        platform.HttpClient("table", context.cluster.platform.address, 2.0)
    )
    objects = platform.ObjectStore(
        platform.HttpClient("objects", context.cluster.platform.address, 2.0)
    )
    store = declarations.DeclarationStore(table, objects)
    log = store.changes_after(0).ok[:2]
    send_old_changes(context, node, log)


def send_old_changes(context, node, log):
    """Send old changes to a node as a faulty peer would."""
    folder = context.cluster.folder
    address = f"127.0.0.1:{ports.allocate()}"
    options = messages.LinkOptions(
        address,
        address,
        "",
        (folder / "control.public").read_text(),
        (folder / "control.secret").read_text(),
    )
    loop = messages.ControlLoop(options, lambda message: None)
    loop.start()
    rows = tuple(change.as_row() for change in log)
    state = {"profile old": PROFILE}
    deadline_s = time.monotonic() + 3
    while time.monotonic() < deadline_s:
        for message in (
            messages.kinds.ConfigPush(address, rows),
            messages.kinds.ConfigState(1, state),
        ):
            loop.send_from_any_thread(node.control_address, message)
        time.sleep(0.2)
    loop.stop()


def case_old_snapshot(context):
    standin = context.cluster.platform
    version, head = standin.rows["config/head"]
    first = standin.rows["config/change/000000000001"][1]["changed"]
    standin.objects["config/snapshot/1"] = msgspec.json.encode(first)
    standin.rows["config/head"] = (version, {**head, "snapshot_version": 1})
    restart(context, context.cluster.nodes[1])


def case_lost_answer(context):
    context.cluster.platform.set_fault(
        "table", "lose_answer", calls=1, match="config/head"
    )
    apply_change(context, context.cluster.nodes[0], "lost")


CASES = {
    "a node restarts": case_restart,
    "a node restarts while the platform is down": case_restart_platform_down,
    "all nodes restart": case_restart_all,
    "a node reconnects after a cut": case_isolated_domain,
    "an old change is replayed to a node": case_replay_old_changes,
    "a snapshot is old": case_old_snapshot,
    "a commit's answer is lost": case_lost_answer,
}


@behave.when("{count:d} changes are applied and then: {case}")
def step_case(context, count, case):
    context.watch = VersionWatch(context.cluster)
    context.closers.append(context.watch.stop)
    for number in range(count):
        apply_change(context, context.cluster.nodes[0], number)
    CASES[case](context)
    time.sleep(2.0)


@behave.then("no node was ever seen with an older version in force")
def step_never_reverted(context):
    assert not context.watch.reverted, context.watch.reverted


@behave.when("{count:d} changes are committed to the table service")
def step_commit_many(context, count):
    address = context.cluster.platform.address
    store = declarations.DeclarationStore(
        platform.TableService(platform.HttpClient("table", address, 2.0)),
        platform.ObjectStore(platform.HttpClient("objects", address, 2.0)),
    )
    current = store.catch_up(declarations.Declarations()).ok.declared
    for number in range(count):
        name = f"profile bulk-{number % 20}"
        result = store.commit(
            current, "ana", {name: {**PROFILE, "max_wait_s": str(number)}}, ()
        )
        assert result.is_ok(), result
        current = current.with_change(
            result.ok.version, result.ok.changed, result.ok.removed
        )
    context.store, context.current = store, current
    context.accepted = {"version": current.version}


@behave.when("a snapshot is written and a node is restarted")
def step_snapshot(context):
    assert context.store.write_snapshot(context.current)
    assert context.cluster.platform.objects
    # Removes the changes up to the snapshot, so that nodes must load it.
    rows = context.cluster.platform.rows
    for key in [k for k in rows if k.startswith("config/change/")]:
        if int(key.rsplit("/", 1)[1]) <= context.current.version:
            del rows[key]
    for node in context.cluster.nodes:
        node.kill()
    for node in context.cluster.nodes:
        node.start()


INVALID_DECLARATIONS = {
    "unknown option": "[profile chat]\nteir = 1\ntier = 1\n",
    "wrong form": "[profile chat]\ntier = high\n",
    "missing option": "[profile chat]\nmodels = a\n",
    "negative time": "[profile chat]\ntier = 1\nmax_wait_s = -1\n",
    "unknown kind": "[profil chat]\ntier = 1\n",
    "unknown reference": "[client_account x]\nprofiles = nope\n",
    "section twice": "[profile chat]\ntier = 1\n[profile chat]\ntier = 2\n",
    "keys in a file": "[key 12]\nclient_account = x\n",
    "every fault at once": (
        "[profile chat]\nteir = 1\ntier = x\n"
        "[client_account x]\nprofiles = nope\n"
    ),
}


@behave.when("declarations with this fault are applied: {fault}")
def step_apply_invalid(context, fault):
    node = context.cluster.nodes[0]
    context.version = fetch_declarations(node)["version"]
    folder = context.cluster.folder / "bad"
    folder.mkdir()
    file = folder / "bad.ini"
    if fault in INVALID_DECLARATIONS:
        file.write_text(INVALID_DECLARATIONS[fault])
        context.tool = tools.run_tool(node, "apply", str(folder))
        return
    sections = declared.sections_with_domains(context.cluster.domains)
    if fault == "account with keys":
        del sections["client_account workshop-laredo"]
    else:
        sections["profile late"] = PROFILE
    lines = []
    for name, options in sections.items():
        lines.append(f"[{name}]")
        lines.extend(f"{k} = {v}" for k, v in options.items())
    file.write_text("\n".join(lines))
    arguments = ["apply", str(folder)]
    if fault == "old version":
        arguments += ["--expect-version", "1"]
    context.tool = tools.run_tool(node, *arguments, operator="ben")


@behave.then("the tool ends with status {status:d} and names {names}")
def step_tool(context, status, names):
    found, output = context.tool
    assert found == status, (found, output)
    for name in names.split(", "):
        assert name.strip() in output, (name, output)


@behave.then("the version in force has not changed")
def step_unchanged(context):
    version = fetch_declarations(context.cluster.nodes[0])["version"]
    assert version == context.version
