"""Runs gateways that can be cut off from servers, and their peers."""

import asyncio

from bilberryturn.gateway import internal_server
from bilberryturn.gateway import permits
from bilberryturn.gateway import tunnel_server
from bilberryturn.gateway import upstream
from bilberryturn.routing import types
from support import gateway_rig
from support import partial_link
from support import scripted

HEALTH_PATH = "/healthz"
# Nodes and servers are in the failure domain "here" unless a test says else.
REGIONS = {"here": "eu", "near": "eu", "far": "asia"}


class CuttablePool(upstream.ConnectionPool):
    """Opens connections, of which those to some ports may hang.

    Attributes:
        hanging: Ports at which no connection is established.
        hidden: Ports of servers behind no link, which hang in any cut.
    """

    def __init__(self, source_ip):
        super().__init__(source_ip)
        self.hanging = set()
        self.hidden = set()

    async def open(self, host, port, timeout_s, new_protocol):
        if port in self.hanging:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        return await super().open(host, port, timeout_s, new_protocol)


class Node:
    """A gateway with its internal port.

    Attributes:
        ip: Address that it connects from.
        domain: Its failure domain, as others know it.
        address: Address at which peers reach it.
        is_stopping: Whether it takes no new tunnels.
    """

    def __init__(self, ip, servers, domains, domain, home_regions):
        self.ip = ip
        self.domain = domain
        self.is_stopping = False
        self.pool = CuttablePool(ip)
        with partial_link.socket.create_server((ip, 0)) as probe:
            port = probe.getsockname()[1]
        self.address = f"{ip}:{port}"
        domains[self.address] = domain
        table = gateway_rig.make_table(home_regions=frozenset(home_regions))
        table.services["app"] = types.Service(
            "app", 100, None, None, health_path=HEALTH_PATH
        )

        def in_domain(domain):
            found = [a for a, known in domains.items() if known == domain]
            return found or list(domains)

        self.rig = gateway_rig.GatewayRig(
            servers,
            table,
            REGIONS,
            pool=self.pool,
            peers=permits.Peers(self.address, in_domain),
        )
        self.shared = self.rig.shared
        self.rig.call(self._listen, ip, port)

    async def _listen(self, ip, port):
        self.tunnels = tunnel_server.TunnelServer(
            self.shared.directory,
            self.shared.reachability,
            self.shared.memory,
            lambda: self.is_stopping,
            ip,
        )
        self.server = internal_server.InternalServer(
            lambda path, body: internal_server.Reply(400), self.tunnels.serve
        )
        await self.server.start(ip, port)

    @property
    def is_cut(self):
        return self.shared.reachability.is_cut

    def end_process(self):
        """Close all connections of the internal port, as the system does."""

        async def end():
            self.server.stop()
            check = self.shared.reachability._check_task
            tasks = [*self.server._tasks, *([check] if check else [])]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.rig.call(end)

    def close(self):
        self.end_process()
        self.rig.close()


class Deployment:
    """Servers behind links, and nodes.

    Attributes:
        servers: The scripted servers; health checks don't reach their script.
        links: The links in front of them.
        checks: Number of health checks that the servers received.
    """

    def __init__(self, context, script, server_count, domains, home_regions=()):
        """Start the servers and a node in each of some failure domains."""
        self.checks = 0
        self._script = script
        self.servers = [
            scripted.ScriptedServer(self._answer) for _ in range(server_count)
        ]
        self.links = [partial_link.PartialLink(s.port) for s in self.servers]
        self.entries = [
            gateway_rig.make_server(f"s{number}", link.port)
            for number, link in enumerate(self.links)
        ]
        known = {}
        self.nodes = [
            Node(f"127.0.0.{number}", self.entries, known, domain, home_regions)
            for number, domain in enumerate(domains, 11)
        ]
        closers = (*self.servers, *self.links, *self.nodes)
        context.closers.extend(part.close for part in closers)

    def _answer(self, peer, head, body, number):
        if head.startswith(f"GET {HEALTH_PATH} "):
            self.checks += 1
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return "close"
        return self._script(peer, head, body, number)

    def runs(self, request):
        """Return how many servers received a request."""
        return sum(
            scripted.header(head, "X-Bilberryturn-Attempt-Id") == request
            for server in self.servers
            for head, _ in server.requests
        )

    def cut(self, node, kind):
        """Cut a node off from all servers, or heal it if the kind is None."""
        node.pool.hanging = (
            {link.port for link in self.links} | node.pool.hidden
            if kind == "hang"
            else set()
        )
        for link in self.links:
            link.cut(node.ip, None if kind == "hang" else kind)
