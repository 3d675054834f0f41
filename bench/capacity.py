"""Measure the marginal cost of state, messages, CPU time and memory.

Prints the control-plane resources that a node needs at the design size.
Usage: python bench/capacity.py
"""

import gc
import pathlib
import sys
import time
import tracemalloc

import zmq

from bilberryturn import brokers
from bilberryturn import declarations
from bilberryturn import membership
from bilberryturn import messages
from bilberryturn import scheduling
from bilberryturn.brokers import broker as broker_module
from bilberryturn.daemon import usage_recorder
from bilberryturn.declarations import changes
from bilberryturn.declarations import store
from bilberryturn.scheduling import servers
from bilberryturn_standins import cluster as cluster_module
from bilberryturn_standins import ports

kinds = messages.kinds

NODES = 350
DOMAINS = 5
BACKEND_SERVERS = 600
REQUESTS_PER_S = 3100.0
TOKENS_PER_S = 1.2e6
TOKEN_GAP_S = 0.066
ACCOUNTS = 1800
KEYS_PER_ACCOUNT = 5
MODELS = 24
CHANGES_PER_DAY = 2700.0
SECONDS_PER_DAY = 86400.0
CPU_SHARE_LIMIT = 0.017
MEMORY_LIMIT_BYTES = 64 * 2**20
BYTES_PER_S_LIMIT = 17e3
TABLE_READS_LIMIT = 2000.0
TABLE_WRITES_LIMIT = 300.0
FRAME_OVERHEAD_BYTES = 33 + 52  # CURVE, then TCP and IP headers
REPETITIONS = 3000
BURST_MESSAGES = 30  # one round of heartbeats or the requests of one second
BURSTS = 12
BURST_INTERVAL_S = 0.25


def cpu_time_s(function, repeat: int = REPETITIONS) -> float:
    """Return the mean CPU time of one call in seconds."""
    started_s = time.process_time()
    for _ in range(repeat):
        function()
    return (time.process_time() - started_s) / repeat


def allocated_bytes(build) -> int:
    """Return the bytes allocated by the object that build returns."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


class RecordingLoop:
    """Stand-in for a control loop that records messages, sending none."""

    def __init__(self):
        self.options = messages.LinkOptions("127.0.0.1:1", "127.0.0.1:1")
        self.sent = []

    def send(self, address, message):
        """Record a message."""
        self.sent.append(message)


def key_sections(count: int) -> dict[str, dict[str, str]]:
    """Return declaration sections of granted keys."""
    return {
        f"key {number:032x}": {
            "client_account": f"account-{number % ACCOUNTS}",
            "label": "",
            "author": "ana",
        }
        for number in range(count)
    }


def account_sections(count: int) -> dict[str, dict[str, str]]:
    """Return declaration sections of client accounts."""
    return {
        f"client_account account-{number}": {"weight": "1"}
        for number in range(count)
    }


def member(number: int) -> membership.Member:
    """Return a member as learned from a heartbeat."""
    return membership.Member(
        f"domain-{number}", f"10.0.0.{number}:7000", 1, 1, False, 0.0, 0.0
    )


def directory(members: int) -> membership.Directory:
    """Return a directory with the given number of members."""
    result = membership.Directory(member(0), "domain", "region", 3.0)
    for number in range(1, members):
        result.members[f"domain-{number}"] = member(number)
    return result


def heartbeat(pools: int = 1, accounts: int = 9) -> kinds.Heartbeat:
    """Return a heartbeat of a node that is the broker of some pools."""
    summary = kinds.PoolSummary("domain/model-7", 3, (0.0,) * 5, 1, 130, 120)
    return kinds.Heartbeat(
        "domain-17",
        "domain",
        "region",
        "10.0.0.17:7000",
        1764800000000,
        123456,
        False,
        0.5,
        (summary,) * pools,
        {f"account-{n}": 1234.5 for n in range(accounts)},
    )


def domain_summary(members: int) -> kinds.DomainSummary:
    """Return the summary a relay sends of a domain with all models."""
    waits_s = (0.0, 0.0, 0.4, 1.2, 8.5)
    return kinds.DomainSummary(
        "domain-1",
        "domain",
        "region",
        tuple(
            kinds.MemberInfo(f"domain-{n}", f"10.0.0.{n}:7000", 1764800000000)
            for n in range(members)
        ),
        123456,
        tuple(
            kinds.PoolSummary(f"domain/model-{n}", 3, waits_s, 1, 650, 600)
            for n in range(MODELS)
        ),
        {},
        {},
        1764800000000,
    )


def request(number: int) -> kinds.GrantRequest:
    """Return a grant request with a long prompt."""
    return kinds.GrantRequest(
        f"domain-17-1a23f9c1766-{number:x}",
        "10.0.0.17:7000",
        "domain/model-7",
        1,
        f"account-{number % ACCOUNTS}",
        1.0,
        800,
        387,
        30.0,
        0.65,
        "reserved",
        tuple(f"{n:016x}" for n in range(7)),
    )


def broker_of(server_count: int, slots: int):
    """Return a broker with a pool of servers that is ready to grant."""
    loop = RecordingLoop()
    members = directory(1)
    broker = brokers.Broker(
        broker_module.BrokerOptions("127.0.0.1:1"),
        loop,
        members,
        time.monotonic,
    )
    pool = broker._get_or_create_pool("domain/model-7")
    pool.unsynced_addresses.clear()
    pool.queue.set_servers(
        [
            scheduling.ServerSpec(f"s{n}", "10.1.0.1:8000", slots, ramped=False)
            for n in range(server_count)
        ],
        time.monotonic(),
    )
    return broker, loop


def run_grant_cycle(broker, loop, number: int) -> None:
    """Run one request, grant and release through a broker."""
    broker.request(request(number))
    granted = loop.sent[-1]
    broker.release(
        kinds.Release(
            granted.request_id, granted.pool, granted.server, "done", 387,
            0.2, 25.0, 100,
        )
    )  # fmt: skip
    loop.sent.clear()


def message_cpu_time() -> tuple[float, float]:
    """Measure messages over a CURVE connection.

    Returns:
        CPU seconds per message at one end, and the share of messages
        delivered.
    """
    public, secret = (part.decode() for part in zmq.curve_keypair())
    loops, count = [], [0]

    def receive(message):
        count[0] += 1

    for _ in range(2):
        address = f"127.0.0.1:{ports.allocate()}"
        options = messages.LinkOptions(address, address, "", public, secret)
        loops.append(messages.ControlLoop(options, receive))
        loops[-1].start()
    target = loops[1].options.own_address
    message = heartbeat()
    while count[0] == 0:
        loops[0].send_from_any_thread(target, message)
        time.sleep(0.05)
    time.sleep(0.5)
    count[0] = 0

    def burst():
        for _ in range(BURST_MESSAGES):
            loops[0].send(target, message)

    before = time.process_time()
    for _ in range(BURSTS):
        loops[0].submit(burst)
        time.sleep(BURST_INTERVAL_S)
    sent = BURSTS * BURST_MESSAGES
    used_s = time.process_time() - before
    for loop in loops:
        loop.stop()
    idle_share = idle_loop_cpu_share()
    per_message_s = (used_s - 2 * idle_share * BURSTS * BURST_INTERVAL_S) / max(
        1, count[0]
    )
    return max(per_message_s, 0.0) / 2, count[0] / max(1, sent)


def idle_loop_cpu_share() -> float:
    """Return the CPU time per second of an idle control loop."""
    address = f"127.0.0.1:{ports.allocate()}"
    loop = messages.ControlLoop(
        messages.LinkOptions(address, address), lambda message: None
    )
    loop.start()
    before = time.process_time()
    time.sleep(1.0)
    used_s = time.process_time() - before
    loop.stop()
    return used_s


def measure_idle_daemon(callers: int) -> tuple[float, int, float]:
    """Measure an idle daemon.

    Args:
        callers: Limit of concurrent requests.

    Returns:
        Its share of a core, its resident bytes, and the table calls per
        second of a node.
    """
    timing = {
        "heartbeat_interval_s": 1.0,
        "member_timeout_s": 3.0,
        "entry_sync_interval_s": 0.5,
        "config_poll_interval_s": 1.0,
        "config_backstop_interval_s": 4.0,
        "vm_poll_interval_s": 1.0,
        "lease_ttl_s": 10.0,
        "lease_margin_s": 1.0,
        "usage_flush_interval_s": 1.0,
        "usage_window_s": 60.0,
    }
    cluster = cluster_module.Cluster(
        cluster_module.DOMAINS[:1],
        6,
        engines=(),
        timing=timing,
        limits={"max_concurrent_requests": callers},
    )
    try:
        cluster.start()
        time.sleep(4.0)
        node = cluster.nodes[-1]
        before_s = cpu_seconds(node)
        table_before = cluster.platform.counts.get("table", 0)
        time.sleep(10.0)
        core_share = (cpu_seconds(node) - before_s) / 10.0
        calls = cluster.platform.counts.get("table", 0) - table_before
        status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        return core_share, int(line.split()[1]) * 1024, calls / 10.0 / 6
    finally:
        cluster.close()


def cpu_seconds(node) -> float:
    """Return the CPU time that a daemon has used, in seconds."""
    text = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text()
    parts = text.rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) / 100


def print_row(name: str, value: str) -> None:
    """Print a name and its value in columns."""
    print(f"{name:58} {value}")


def main() -> int:
    """Print the measured costs and the resources derived from them."""
    members = NODES // DOMAINS
    requests_per_s = REQUESTS_PER_S / NODES
    slot_time_s = TOKENS_PER_S / REQUESTS_PER_S * TOKEN_GAP_S
    running_streams = requests_per_s * slot_time_s
    pools_per_node = MODELS * DOMAINS / NODES
    stride = directory(members).intervals_per_heartbeat

    print("# Marginal costs")
    idle_core_share, resident_bytes, table_calls_per_s = measure_idle_daemon(
        300
    )
    _, control_resident_bytes, _ = measure_idle_daemon(4)
    print_row("idle daemon, 6 nodes: share of a core", f"{idle_core_share:.4f}")
    print_row("idle daemon: resident", f"{resident_bytes / 2**20:.1f} MB")
    print_row(
        "with threads for 4 callers", f"{control_resident_bytes / 2**20:.1f} MB"
    )
    print_row("idle daemon: table calls a second", f"{table_calls_per_s:.2f}")
    message_s, delivered = message_cpu_time()
    print_row("one message, one end", f"{message_s * 1e6:.0f} us")
    print_row("share of messages delivered", f"{delivered:.3f}")
    heartbeat_message = heartbeat()
    frame = kinds.encode(heartbeat_message)
    print_row("heartbeat: bytes", f"{len(frame)}")
    decode_s = cpu_time_s(lambda: kinds.decode(frame))
    print_row("heartbeat: decode", f"{decode_s * 1e6:.1f} us")
    owner, loop = broker_of(25, 130)
    numbers = iter(range(10**9))
    cycle_s = cpu_time_s(lambda: run_grant_cycle(owner, loop, next(numbers)))
    print_row("broker: request, grant and release", f"{cycle_s * 1e6:.0f} us")
    request_bytes = len(kinds.encode(request(1)))
    grant_bytes = len(
        kinds.encode(
            kinds.Granted(
                request(1).request_id, "domain/model-7", "runner-123",
                "10.1.0.1:8000", False,
            )
        )
    )  # fmt: skip
    release_bytes = len(
        kinds.encode(
            kinds.Release(
                request(1).request_id, "domain/model-7", "runner-123",
                "done", 387, 0.2, 25.0, 100,
            )
        )
    )  # fmt: skip
    print_row(
        "request, grant, release: bytes",
        f"{request_bytes}, {grant_bytes}, {release_bytes}",
    )
    key_count = 2000
    key_bytes = allocated_bytes(
        lambda: declarations.Declarations(1, key_sections(key_count))
    )
    print_row("declared key: memory", f"{key_bytes / key_count:.0f} B")
    account_bytes = allocated_bytes(
        lambda: declarations.Declarations(1, account_sections(key_count))
    )
    print_row("declared account: memory", f"{account_bytes / key_count:.0f} B")
    member_bytes = allocated_bytes(lambda: directory(500)) / 500
    print_row("member: memory", f"{member_bytes:.0f} B")
    grant_memory = allocated_bytes(
        lambda: [
            servers.RunningRequest(request(n), "s", 0.0, 0, 0.0)
            for n in range(1000)
        ]
    )
    print_row("running grant: memory", f"{grant_memory / 1000:.0f} B")
    declared = declarations.Declarations(
        1,
        {
            **account_sections(ACCOUNTS),
            **key_sections(ACCOUNTS * KEYS_PER_ACCOUNT),
        },
    )
    change = changes.Change(
        2, "ana", "t", {"key 1": {"client_account": "account-1"}}
    )
    apply_s = cpu_time_s(lambda: store.apply_changes(declared, [change]), 50)
    print_row("apply a change to 10,800 sections", f"{apply_s * 1e3:.2f} ms")
    check_s = cpu_time_s(
        lambda: declarations.check_sections(declared.sections), 1
    )
    print_row("check 10,800 sections on commit", f"{check_s * 1e3:.0f} ms")

    print("\n# Per node at the design size")
    heartbeats_per_s = (members - 1) / stride
    sync_interval_s = 0.5 + running_streams * 40 / 4000
    sync_pools = min(MODELS, running_streams)
    syncs_per_s = sync_pools / sync_interval_s
    sync_bytes_per_s = syncs_per_s * (60 + FRAME_OVERHEAD_BYTES) + (
        running_streams * 32 / sync_interval_s
    )
    bytes_per_request = (
        request_bytes + grant_bytes + release_bytes + 3 * FRAME_OVERHEAD_BYTES
    )
    heartbeat_bytes_per_s = heartbeats_per_s * (
        len(frame) + FRAME_OVERHEAD_BYTES
    )
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_bytes_per_s = changes_per_s * (2 * (len(frame) + 85) * members)
    usage_bytes_per_s = (
        2 * (requests_per_s + 1) * (150 + 2 * FRAME_OVERHEAD_BYTES)
    )
    sent_bytes_per_s = (
        heartbeat_bytes_per_s
        + sync_bytes_per_s
        + requests_per_s * bytes_per_request
        + usage_bytes_per_s
    )
    print_row(
        "members of its domain, heartbeat every", f"{members}, {stride} s"
    )
    print_row("running streams", f"{running_streams:.0f}")
    print_row("heartbeats sent: bytes a second", f"{heartbeat_bytes_per_s:.0f}")
    print_row("syncs sent: bytes a second", f"{sync_bytes_per_s:.0f}")
    print_row(
        "requests: bytes sent a second",
        f"{requests_per_s * bytes_per_request:.0f}",
    )
    print_row("usage held by peers: bytes a second", f"{usage_bytes_per_s:.0f}")
    print_row(
        "changes of declarations: bytes a second", f"{change_bytes_per_s:.0f}"
    )
    print_limit(
        "bytes sent a second",
        sent_bytes_per_s + change_bytes_per_s,
        BYTES_PER_S_LIMIT,
        1e3,
        "KB",
    )
    print_limit(
        "bytes sent and received a second",
        2 * (sent_bytes_per_s + change_bytes_per_s),
        BYTES_PER_S_LIMIT,
        1e3,
        "KB",
    )
    summary_bytes = len(kinds.encode(domain_summary(members)))
    forwards_per_s = (DOMAINS - 1) * (members - 1) / stride
    print_row("summary of a domain: bytes", f"{summary_bytes}")
    print_row(
        "additionally forwarded by a relay: bytes a second",
        f"{forwards_per_s * (summary_bytes + FRAME_OVERHEAD_BYTES):.0f}",
    )
    messages_per_s = 2 * (
        heartbeats_per_s
        + syncs_per_s
        + 3 * requests_per_s
        + 4 * (requests_per_s + 1)
    )
    print_row("messages sent and received a second", f"{messages_per_s:.0f}")
    core_share = (
        idle_core_share
        + messages_per_s * message_s
        + requests_per_s * cycle_s
        + changes_per_s * apply_s
    )
    print_limit("share of a core", core_share, CPU_SHARE_LIMIT, 0.01, "%")
    state_bytes = (
        ACCOUNTS * account_bytes / key_count
        + ACCOUNTS * KEYS_PER_ACCOUNT * key_bytes / key_count
        + (members + NODES) * member_bytes
        + 2 * running_streams * grant_memory / 1000
        + (NODES + BACKEND_SERVERS) * 600
    )
    print_row("state: memory", f"{state_bytes / 2**20:.1f} MB")
    print_limit(
        "memory for control",
        control_resident_bytes + state_bytes,
        MEMORY_LIMIT_BYTES,
        2**20,
        "MB",
    )
    print_row("pools brokered by the node", f"{pools_per_node:.2f}")
    print("\n# The platform's table service")
    reads_per_s = DOMAINS * 2 / 1.0 + (NODES - DOMAINS * 2) / 4.0
    reads_per_s += DOMAINS * 3 / 2.5 + 3 / 2.5
    flush_interval_s = max(
        1.0, NODES // usage_recorder.NODES_PER_SECOND_OF_FLUSH_INTERVAL
    )
    writes_per_s = (
        (DOMAINS + 1) / 2.5 + changes_per_s + NODES / flush_interval_s
    )
    print_limit("reads a second", reads_per_s, TABLE_READS_LIMIT, 1, "")
    print_limit("writes a second", writes_per_s, TABLE_WRITES_LIMIT, 1, "")
    return 0


def print_limit(name, value, limit, unit, suffix) -> None:
    """Print a value, its limit and whether it is within the limit."""
    fits = "fits" if value <= limit else "DOES NOT FIT"
    print_row(
        name,
        f"{value / unit:.2f} {suffix} of {limit / unit:.2f} {suffix}: {fits}",
    )


if __name__ == "__main__":
    sys.exit(main())
