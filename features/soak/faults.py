"""Draw faults by a seed; they come in series and overlap."""

import signal
import time

from bilberryturn_standins import proxy

# The longest fault; recovery is judged after it.
LONGEST_S = 3.0


class Faults:
    """Injects faults from outside the nodes and mends them."""

    def __init__(self, world, numbers):
        self._world = world
        self._numbers = numbers
        self._mends = []
        self._rules = {}
        self.log = []

    def step(self, now_s):
        """Mend what is due and maybe inject the next fault."""
        for due_s, mend in list(self._mends):
            if now_s >= due_s:
                self._mends.remove((due_s, mend))
                mend()
        self._world.restart_ended()
        if self._numbers.random() < 0.25:
            inject = self._numbers.choice(INJECTIONS)
            text = inject(self, now_s)
            self.log.append(f"{now_s:.2f} {text}")

    def mend_all(self):
        """End all faults."""
        for _, mend in self._mends:
            mend()
        self._mends.clear()
        self._world.store.fault = ""
        self._world.restart_ended()

    def _later(self, now_s, mend):
        self._mends.append(
            (now_s + self._numbers.uniform(0.3, LONGEST_S), mend)
        )

    def _node(self):
        return self._numbers.choice(self._world.nodes)

    def kill(self, now_s):
        node = self._node()
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGKILL)
        return f"kill {node.name}"

    def kill_many(self, now_s):
        for node in self._world.nodes:
            if self._numbers.random() < 0.6:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
        return "kill many"

    def stop(self, now_s):
        node = self._node()
        node.signal(signal.SIGTERM)
        return f"stop {node.name}"

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

        self._later(now_s, resume)
        return f"pause {node.name}"

    def _link(self, now_s, source, target, mode):
        place = (source, target)
        self._rules[place] = proxy.Rule(source, target, mode, 0.2)
        self._world.proxy.set_rules(list(self._rules.values()))

        def mend():
            self._rules.pop(place, None)
            self._world.proxy.set_rules(list(self._rules.values()))

        self._later(now_s, mend)
        return f"{mode} {source} to {target}"

    def store_link(self, now_s):
        mode = self._numbers.choice(("cut", "freeze", "half_open", "delay"))
        target = self._world.store.address
        return self._link(now_s, self._node().ip, target, mode)

    def server_link(self, now_s):
        mode = self._numbers.choice(
            ("cut", "freeze", "half_open", "delay", "drop")
        )
        server, _, _ = self._numbers.choice(list(self._world.backends.values()))
        target = f"127.0.0.1:{server.port}"
        return self._link(now_s, "127.", target, mode)

    def store_trouble(self, now_s):
        fault = self._numbers.choice(("503", "429", "lost", "silent"))
        self._world.store.fault = fault

        def mend():
            self._world.store.fault = ""

        self._later(now_s, mend)
        return f"store {fault}"

    def history(self, now_s):
        self._world.store.compact_history()
        return "history lost"

    def config(self, now_s):
        self._world.publish_config()
        return f"configuration {self._world.version}"

    def leave(self, now_s):
        name = self._numbers.choice(list(self._world.backends))
        sequence = int(time.monotonic() * 1000)
        self._world.store.put(
            "servers", name, self._world.entry(name, sequence, "draining")
        )

        def rejoin():
            entry = self._world.entry(name, 1)
            entry["born"] = sequence
            self._world.store.put("servers", name, entry)

        self._later(now_s, rejoin)
        return f"leave {name}"


INJECTIONS = (
    Faults.kill,
    Faults.kill_many,
    Faults.stop,
    Faults.reload,
    Faults.pause,
    Faults.store_link,
    Faults.server_link,
    Faults.store_trouble,
    Faults.history,
    Faults.config,
    Faults.leave,
)
