"""Injects seeded random faults, which may follow closely and overlap."""

import signal
import time

from bilberryturn_standins import proxy

# Longest duration of a fault; recovery is measured after it.
MAX_FAULT_S = 3.0
# Age of the oldest copy from which the store is restored.
MAX_LOST_S = 10.0


class FaultInjector:
    """Injects faults into processes, links and the store; reverts them.

    Attributes:
        log: Time and kind of each fault.
    """

    def __init__(self, testbed, rng, is_planned, has_restores=False):
        self._testbed = testbed
        self._rng = rng
        self._injections = PLANNED_WORK if is_planned else INJECTIONS
        if has_restores:
            self._injections += RESTORES
        self._has_restores = has_restores
        # Times and copies of the store, from which it can be restored.
        self._copies = []
        self._probability = 0.5 if is_planned else 0.25
        self._pending_reverts = []
        self._rules = {}
        self.log = []

    def step(self):
        """Revert faults that are due, restart nodes, maybe inject a fault."""
        now_s = time.monotonic()
        for due_s, revert in list(self._pending_reverts):
            if now_s >= due_s:
                self._pending_reverts.remove((due_s, revert))
                revert()
        self._testbed.restart_ended()
        if self._has_restores:
            self._copies = [
                (at_s, copy)
                for at_s, copy in self._copies
                if now_s - at_s <= MAX_LOST_S
            ]
            self._copies.append((now_s, self._testbed.store.copy()))
        if self._rng.random() < self._probability:
            inject = self._rng.choice(self._injections)
            text = inject(self, now_s)
            self.log.append(f"{now_s:.2f} {text}")

    def revert_all(self):
        """Revert all faults at once and restart ended nodes."""
        for _, revert in self._pending_reverts:
            revert()
        self._pending_reverts.clear()
        self._testbed.store.fault = ""
        self._testbed.restart_ended()

    def _schedule_revert(self, now_s, revert):
        self._pending_reverts.append(
            (now_s + self._rng.uniform(0.3, MAX_FAULT_S), revert)
        )

    def _node(self):
        return self._rng.choice(self._testbed.nodes)

    def kill(self, now_s):
        node = self._node()
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGKILL)
        return f"kill {node.name}"

    def kill_many(self, now_s):
        for node in self._testbed.nodes:
            if self._rng.random() < 0.6:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
        return "kill many"

    def stop(self, now_s):
        node = self._node()
        node.stop()
        return f"stop {node.name}"

    def stop_serving(self, now_s):
        """Stop a node that is not yet stopping, if there is one."""
        return self._stop_some(1)

    def stop_many_serving(self, now_s):
        """Stop several nodes at about the same time."""
        return self._stop_some(max(2, len(self._testbed.nodes) // 3))

    def _stop_some(self, count):
        serving = [n for n in self._testbed.nodes if n.is_serving()]
        chosen = self._rng.sample(serving, min(count, len(serving)))
        for node in chosen:
            node.stop()
        return "stop " + " ".join(node.name for node in chosen)

    def signal_stopping(self, now_s):
        """Send signals again to the nodes that are stopping."""
        stopping = [n for n in self._testbed.nodes if n.is_stopping]
        for node in stopping:
            for _ in range(self._rng.randint(1, 3)):
                node.signal(self._rng.choice((signal.SIGTERM, signal.SIGHUP)))
        return "signal again " + " ".join(node.name for node in stopping)

    def reload(self, now_s):
        node = self._node()
        node.signal(signal.SIGHUP)
        return f"reload {node.name}"

    def pause(self, now_s):
        node = self._node()
        process = node.process
        node.signal(signal.SIGSTOP)

        def resume():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

        self._schedule_revert(now_s, resume)
        return f"pause {node.name}"

    def _disturb_link(self, now_s, source, target, mode):
        link = (source, target)
        self._rules[link] = proxy.Rule(source, target, mode, 0.2)
        self._testbed.proxy.set_rules(list(self._rules.values()))

        def revert():
            self._rules.pop(link, None)
            self._testbed.proxy.set_rules(list(self._rules.values()))

        self._schedule_revert(now_s, revert)
        return f"{mode} {source} to {target}"

    def disturb_store_link(self, now_s):
        mode = self._rng.choice(("cut", "freeze", "half_open", "delay"))
        target = self._testbed.store.address
        return self._disturb_link(now_s, self._node().ip, target, mode)

    def disturb_server_link(self, now_s):
        mode = self._rng.choice(("cut", "freeze", "half_open", "delay", "drop"))
        server, _, _ = self._rng.choice(list(self._testbed.backends.values()))
        target = f"127.0.0.1:{server.port}"
        return self._disturb_link(now_s, "127.", target, mode)

    def inject_store_fault(self, now_s):
        fault = self._rng.choice(("503", "429", "lost", "silent"))
        self._testbed.store.fault = fault

        def revert():
            self._testbed.store.fault = ""

        self._schedule_revert(now_s, revert)
        return f"store {fault}"

    def compact_history(self, now_s):
        self._testbed.store.compact_history()
        return "history lost"

    def restore_store(self, now_s):
        """Continue from a copy; the operator and servers write theirs again."""
        store = self._testbed.store
        at_s, copy = self._rng.choice(self._copies)
        store.restore(copy, store.raw_rows(("op", "servers")))
        # Later copies belong to the history that is lost.
        self._copies = [(at_s, copy)]
        return f"restore, {now_s - at_s:.1f} s lost"

    def update_config(self, now_s):
        self._testbed.publish_config()
        return f"configuration {self._testbed.version}"

    def drain_server(self, now_s):
        name = self._rng.choice(list(self._testbed.backends))
        sequence = int(time.monotonic() * 1000)
        self._testbed.leaving.add(name)
        self._testbed.store.put(
            "servers", name, self._testbed.entry(name, sequence, "draining")
        )

        def rejoin():
            entry = self._testbed.entry(name, 1)
            entry["born"] = sequence
            self._testbed.leaving.discard(name)
            self._testbed.store.put("servers", name, entry)

        self._schedule_revert(now_s, rejoin)
        return f"leave {name}"


INJECTIONS = (
    FaultInjector.kill,
    FaultInjector.kill_many,
    FaultInjector.stop,
    FaultInjector.reload,
    FaultInjector.pause,
    FaultInjector.disturb_store_link,
    FaultInjector.disturb_server_link,
    FaultInjector.inject_store_fault,
    FaultInjector.compact_history,
    FaultInjector.update_config,
    FaultInjector.drain_server,
)

RESTORES = (
    FaultInjector.restore_store,
    FaultInjector.restore_store,
)

PLANNED_WORK = (
    FaultInjector.stop,
    FaultInjector.stop_serving,
    FaultInjector.stop_many_serving,
    FaultInjector.signal_stopping,
    FaultInjector.reload,
    FaultInjector.update_config,
    FaultInjector.drain_server,
)
