"""Stand-in for the platform: tables, objects, VM list, orders and reports."""

import asyncio
import time
from typing import Any
from typing import NamedTuple

from aiohttp import web

from bilberryturn_standins import server


class Fault(NamedTuple):
    """A fault injected into one interface of the platform."""

    mode: str  # "down", "slow" or "lose_answer"
    until_s: float
    delay_s: float = 0.0
    remaining_calls: int = 1_000_000
    match: str = ""


class PlatformStandin(server.StandinServer):
    """Serves all platform interfaces from memory.

    Attributes:
        orders: Accepted orders, in order of arrival.
        refused_orders: Orders refused because of a stale fencing number.
        reports: Accepted usage reports, in order of arrival.
    """

    def __init__(self, loop_thread, host="127.0.0.1", port=0):
        super().__init__(loop_thread, host, port)
        self.rows: dict[str, tuple[int, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, dict] = {}
        self.published_vms: list[dict] = []
        self.vm_list_lag_s = 0.2
        self.checks_fencing = {"ordering": True, "reporting": True}
        self.fencing_seen: dict[str, int] = {}
        self.orders: list[dict] = []
        self.refused_orders: list[dict] = []
        self.reports: list[dict] = []
        self.refused_reports: list[dict] = []
        self.faults: dict[str, Fault] = {}
        self.counts: dict[str, int] = {}
        self.on_order = lambda order: None

    def routes(self):
        """Return the routes of all interfaces."""
        return [
            web.get(
                "/v1/rows/{key:.+}", self._with_faults("table", self._read)
            ),
            web.get("/v1/rows", self._with_faults("table", self._scan)),
            web.post(
                "/v1/transact", self._with_faults("table", self._transact)
            ),
            web.get(
                "/objects/{name:.+}", self._with_faults("objects", self._get)
            ),
            web.put(
                "/objects/{name:.+}", self._with_faults("objects", self._put)
            ),
            web.get("/vms", self._with_faults("vms", self._list_vms)),
            web.get("/servers", self._with_faults("ordering", self._servers)),
            web.post("/orders", self._with_faults("ordering", self._order)),
            web.post(
                "/usage-reports", self._with_faults("reporting", self._report)
            ),
            web.post("/control/faults", self._control_fault),
            web.post("/control/vms", self._control_vm),
        ]

    def set_fault(
        self,
        interface,
        mode,
        duration_s=3600.0,
        delay_s=0.0,
        calls=1_000_000,
        match="",
    ):
        """Inject a fault into one interface; mode "none" clears it."""
        if mode == "none":
            self.faults.pop(interface, None)
            return
        self.faults[interface] = Fault(
            mode, time.monotonic() + duration_s, delay_s, calls, match
        )

    def set_vm(self, name: str, **fields: Any) -> None:
        """Add or change a VM; it is published after vm_list_lag_s."""
        self.vms.setdefault(name, {"name": name}).update(fields)
        self._schedule_publication()

    def remove_vm(self, name: str) -> None:
        """Remove a VM; the removal is published after vm_list_lag_s."""
        self.vms.pop(name, None)
        self._schedule_publication()

    def _schedule_publication(self) -> None:
        snapshot = [dict(vm) for vm in self.vms.values()]

        def publish() -> None:
            self.published_vms = snapshot

        loop = self.loop_thread.loop
        loop.call_soon_threadsafe(
            lambda: loop.call_later(self.vm_list_lag_s, publish)
        )

    def _with_faults(self, interface, handler):
        async def guarded(request):
            self.counts[interface] = self.counts.get(interface, 0) + 1
            if request.body_exists:
                await request.read()
            fault = self.faults.get(interface)
            if fault is None or time.monotonic() > fault.until_s:
                return await handler(request)
            if fault.remaining_calls <= 0:
                return await handler(request)
            text = request.path + (await request.text())
            if fault.match not in text:
                return await handler(request)
            self.faults[interface] = fault._replace(
                remaining_calls=fault.remaining_calls - 1
            )
            await asyncio.sleep(fault.delay_s)
            if fault.mode == "down":
                request.transport.abort()
                return web.Response(status=503)
            response = await handler(request)
            if fault.mode == "lose_answer":
                request.transport.abort()
            return response

        return guarded

    async def _read(self, request):
        key = request.match_info["key"]
        version, value = self.rows.get(key, (0, None))
        return web.json_response({"version": version, "value": value})

    async def _scan(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "500"))
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        keys = [k for k in keys if k > after][:limit]
        rows = [
            {"key": k, "version": self.rows[k][0], "value": self.rows[k][1]}
            for k in keys
        ]
        return web.json_response({"rows": rows})

    async def _transact(self, request):
        body = await request.json()
        failed = [
            {"key": key, "version": self.rows.get(key, (0, None))[0]}
            for key, version in body["checks"].items()
            if self.rows.get(key, (0, None))[0] != version
        ]
        if failed:
            return web.json_response({"failed": failed}, status=409)
        for key, value in body["writes"].items():
            version = self.rows.get(key, (0, None))[0]
            self.rows[key] = (version + 1, value)
        return web.json_response({"committed": True})

    async def _get(self, request):
        name = request.match_info["name"]
        if name not in self.objects:
            return web.Response(status=404)
        return web.Response(body=self.objects[name])

    async def _put(self, request):
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response(status=204)

    async def _list_vms(self, request):
        return web.json_response({"vms": self.published_vms})

    async def _servers(self, request):
        failure_domain = request.query["failure_domain"]
        servers = [
            vm
            for vm in self.vms.values()
            if vm.get("kind") != "entry"
            and vm.get("failure_domain") == failure_domain
        ]
        return web.json_response({"servers": servers})

    def _is_stale(
        self, interface: str, scope: str, fencing_number: int
    ) -> bool:
        key = f"{interface}/{scope}"
        if fencing_number < self.fencing_seen.get(key, 0):
            return self.checks_fencing[interface]
        self.fencing_seen[key] = fencing_number
        return False

    async def _order(self, request):
        order = await request.json()
        order["received_s"] = time.monotonic()
        domain = order["failure_domain"]
        if self._is_stale("ordering", domain, order["fencing_number"]):
            self.refused_orders.append(order)
            return web.json_response({"error": "stale"}, status=412)
        if any(o["order_id"] == order["order_id"] for o in self.orders):
            return web.json_response({"state": "repeated"})
        self.orders.append(order)
        if order["server"] in self.vms:
            self.set_vm(order["server"], state=order["desired"])
        self.on_order(order)
        return web.json_response({"state": "accepted"})

    async def _report(self, request):
        report = await request.json()
        if self._is_stale("reporting", "usage", report["fencing_number"]):
            self.refused_reports.append(report)
            return web.json_response({"error": "stale"}, status=412)
        self.reports.append(report)
        return web.json_response({"state": "accepted"})

    async def _control_fault(self, request):
        self.set_fault(**(await request.json()))
        return web.json_response({})

    async def _control_vm(self, request):
        self.set_vm(**(await request.json()))
        return web.json_response({})
