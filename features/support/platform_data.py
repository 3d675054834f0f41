"""Shared data and helpers for scenarios of the users' platform."""

import time

from support import store_standin


def make_config(version):
    """Return an operator's configuration in its stored form."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/p/",
                "type": "safe",
                "timeoutMs": 1000,
                "service": "app",
            }
        ],
        "services": [{"name": "app", "maxConns": 9}],
        "tenants": [{"name": "w", "apiKeys": ["k"]}],
    }


def make_entry(**changes):
    """Return a server's entry in its stored form."""
    entry = {
        "service": "app",
        "addr": "10.0.0.1:80",
        "zone": "east",
        "state": "ready",
        "seq": 1,
        "slots": 4,
    }
    entry.update(changes)
    return entry


def start_standin(context):
    """Start a stand-in of the store for a scenario."""
    context.standin = store_standin.StoreStandin()
    context.closers.append(context.standin.close)


def wait_for(check, timeout_s, describe_state):
    """Wait until `check()` is true.

    Args:
        check: Function without arguments that returns a bool.
        timeout_s: Longest wait, in seconds.
        describe_state: Returns the message shown on a time-out.
    """
    deadline_s = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline_s, describe_state()
        time.sleep(0.02)
