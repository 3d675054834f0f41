"""Finds the open connections of this process and reads their options."""

import os
import pathlib
import socket
from typing import NamedTuple

# Columns of /proc/net/tcp.
LOCAL_COLUMN = 1
REMOTE_COLUMN = 2
STATE_COLUMN = 3
TIMER_COLUMN = 5
ESTABLISHED = "01"
KEEPALIVE_TIMER = "02"


class Options(NamedTuple):
    """Options of a connection by which the kernel may end it.

    Attributes:
        idle_s: Time without data after which probes begin.
        interval_s: Time between two probes.
        probe_count: Probes without an answer after which it ends.
        user_timeout_ms: Time after which data that is not acknowledged, or not
            taken, ends it, and probes that are not answered; 0 if not set.
    """

    is_probed: bool
    idle_s: int
    interval_s: int
    probe_count: int
    user_timeout_ms: int

    @property
    def is_shortened(self):
        """Return whether the user timeout ends the probes early."""
        probed_s = self.idle_s + self.interval_s * self.probe_count
        return self.is_probed and 0 < self.user_timeout_ms < probed_s * 1000


def find(local_port=None, remote_port=None):
    """Return the options of this process's connections with a port."""
    found = []
    for entry in pathlib.Path("/proc/self/fd").iterdir():
        try:
            descriptor = os.dup(int(entry.name))
        except OSError:
            continue
        if not pathlib.Path(f"/proc/self/fd/{descriptor}").is_socket():
            os.close(descriptor)
            continue
        with socket.socket(fileno=descriptor) as connection:
            if connection.family != socket.AF_INET:
                continue
            try:
                local, remote = (
                    connection.getsockname(),
                    connection.getpeername(),
                )
            except OSError:
                # It listens or has ended.
                continue
            if local_port in (None, local[1]) and remote_port in (
                None,
                remote[1],
            ):
                found.append(_read(connection))
    return found


def _read(connection):
    tcp = socket.IPPROTO_TCP
    return Options(
        bool(connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        connection.getsockopt(tcp, socket.TCP_KEEPIDLE),
        connection.getsockopt(tcp, socket.TCP_KEEPINTVL),
        connection.getsockopt(tcp, socket.TCP_KEEPCNT),
        connection.getsockopt(tcp, socket.TCP_USER_TIMEOUT),
    )


def have_keepalive_timer(source_ips, target_ports):
    """Return for each open connection whether its keep-alive timer runs.

    Args:
        source_ips: Local addresses of connections of any process.
        target_ports: Ports on loopback that they are connected to.
    """
    sources = {socket.inet_aton(ip)[::-1].hex().upper() for ip in source_ips}
    targets = {f"{port:04X}" for port in target_ports}
    found = []
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        source = columns[LOCAL_COLUMN].partition(":")[0]
        target = columns[REMOTE_COLUMN].partition(":")[2]
        if (
            columns[STATE_COLUMN] == ESTABLISHED
            and source in sources
            and target in targets
        ):
            timer = columns[TIMER_COLUMN].partition(":")[0]
            found.append(timer == KEEPALIVE_TIMER)
    return found
