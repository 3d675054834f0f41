"""Scale the backend servers of one failure domain.

An order is first recorded as an intent, in a transaction that checks the
epoch of the lease. The lease is checked again right before the order is sent.
A server is stopped only when no broker has a request running on it.
"""

from collections.abc import Callable
from typing import NamedTuple
import uuid

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import leases
from bilberryturn import messages
from bilberryturn import platform
from bilberryturn import scheduling
from bilberryturn.platform import tables
from bilberryturn.platform import vms
from bilberryturn.scheduling import scaling

kinds = messages.kinds

AUTHOR = "fleet-controller"
MARK_SECTION_KIND = "backend_server"


class ControllerOptions(NamedTuple):
    """Options of a controller.

    Attributes:
        failure_domain: Failure domain whose servers are scaled.
        settle_s: Delay between acquiring the lease and the first order, in
            which an order that the previous holder sent takes effect.
    """

    failure_domain: str
    settle_s: float = 3.0


class FleetView(NamedTuple):
    """Input of one controller run.

    Attributes:
        pools: Pool summaries reported by the brokers of the domain.
        declared: Declarations in force.
    """

    pools: tuple[kinds.PoolSummary, ...]
    declared: declarations.Declarations


class Controller:
    """Sends scaling orders while it holds the lease of the domain."""

    def __init__(
        self,
        options: ControllerOptions,
        lease: leases.Lease,
        table: platform.TableService,
        ordering: platform.Ordering,
        store: declarations.DeclarationStore,
        clock: Callable[[], float],
    ):
        self._options = options
        self._lease = lease
        self._table = table
        self._ordering = ordering
        self._store = store
        self._clock = clock
        self._settling_epoch = 0
        self._acquired_s = 0.0
        self._scalers: dict[str, scheduling.Scaler] = {}
        self._scaler_options: scaling.ScalerOptions | None = None

    def run(self, view: FleetView) -> int:
        """Send the orders that are due; returns how many were accepted."""
        if not self._lease.is_held() or not self._has_settle_time_passed():
            return 0
        result = self._ordering.servers(self._options.failure_domain)
        if result.is_error():
            return 0
        servers = result.ok
        self._update_scaler_options(view.declared)
        orders = self._drained_stop_orders(servers, view)
        for target in sorted({t for s in servers for t in s["serves"]}):
            orders.extend(self._decide_orders(target, servers, view))
        return sum(self._issue_order(order) for order in orders)

    def _has_settle_time_passed(self) -> bool:
        """Return whether the settle time of this epoch has passed.

        By then orders of the previous lease holder have taken effect.
        """
        if self._settling_epoch != self._lease.epoch:
            self._settling_epoch = self._lease.epoch
            self._acquired_s = self._clock()
            self._scalers.clear()
        waited_s = self._clock() - self._acquired_s
        return waited_s >= self._options.settle_s

    def _update_scaler_options(
        self, declared: declarations.Declarations
    ) -> None:
        domain = declared.failure_domains.get(self._options.failure_domain)
        options = scaling.ScalerOptions()
        if domain is not None:
            options = options._replace(
                min_running=domain.min_running,
                idle_stop_s=domain.idle_stop_s,
                orders_per_minute=domain.orders_per_minute,
            )
        if options != self._scaler_options:
            self._scaler_options = options
            self._scalers.clear()

    def _decide_orders(
        self, target: str, servers: list[dict], view: FleetView
    ) -> list[scaling.ScaleOrder]:
        serving = [
            server
            for server in servers
            if target in server["serves"]
            and not self._is_excluded(server, view.declared)
        ]
        names = (target, f"service:{target}")
        pool_names = {
            f"{self._options.failure_domain}/{name}" for name in names
        }
        summaries = [p for p in view.pools if p.pool in pool_names]
        views = _server_views(
            serving,
            sum(p.busy for p in summaries),
            view.declared.backend_server_marks,
        )
        scaler = self._scalers.setdefault(
            target, scheduling.Scaler(self._scaler_options)
        )
        orders = scaler.decide(
            views,
            sum(p.waiting for p in summaries),
            sum(p.cheap_waiting for p in summaries),
            self._clock(),
        )
        for order in orders:
            if order.desired == vms.STOPPED:
                self._mark_draining(order.server, view.declared)
        return [
            order
            for order in orders
            if order.desired == vms.RUNNING
            and not self._clear_drain_mark(order.server, view.declared)
        ]

    def _is_excluded(self, server: dict, declared) -> bool:
        """Return whether the platform or an operator removes a server."""
        if server.get("state") == vms.LEAVING:
            return True
        name = server["name"]
        mark = declared.backend_server_marks.get(name)
        if mark is not None and mark.author != AUTHOR:
            return True
        vm_mark = declared.vm_marks.get(name)
        return vm_mark is not None and vm_mark.mark == "leaving"

    def _mark_draining(self, server: str, declared) -> None:
        """Mark a server so that brokers send no more requests to it."""
        section = f"{MARK_SECTION_KIND} {server}"
        mark = {"mark": "draining", "author": AUTHOR}
        self._store.commit(declared, AUTHOR, {section: mark}, ())

    def _clear_drain_mark(self, server: str, declared) -> bool:
        """Remove the controller's mark from a server.

        Returns:
            Whether there was one; a start order then waits for the next run.
        """
        mark = declared.backend_server_marks.get(server)
        if mark is None or mark.author != AUTHOR:
            return False
        section = f"{MARK_SECTION_KIND} {server}"
        self._store.commit(declared, AUTHOR, {}, (section,))
        return True

    def _drained_stop_orders(
        self, servers: list[dict], view: FleetView
    ) -> list[scaling.ScaleOrder]:
        """Return stop orders for drained servers, which run no requests."""
        busy = {name for pool in view.pools for name in pool.busy_leaving}
        return [
            scaling.ScaleOrder(server["name"], vms.STOPPED)
            for server in servers
            if self._has_own_drain_mark(server["name"], view.declared)
            and server["name"] not in busy
            and server.get("state", vms.RUNNING) == vms.RUNNING
        ]

    def _has_own_drain_mark(self, server: str, declared) -> bool:
        mark = declared.backend_server_marks.get(server)
        return mark is not None and mark.author == AUTHOR

    def _issue_order(self, order: scaling.ScaleOrder) -> bool:
        """Record the intent, check the lease and send the order.

        Returns:
            Whether the platform accepted the order.
        """
        domain = self._options.failure_domain
        key = f"order/{domain}/{order.server}"
        row = self._table.read(key)
        if row.is_error() or not self._lease.is_held():
            return False
        epoch = self._lease.epoch
        intent = {
            "order_id": uuid.uuid4().hex,
            "desired": order.desired,
            "epoch": epoch,
        }
        result = self._table.transact(
            {key: row.ok.version, **self._lease.epoch_check()}, {key: intent}
        )
        if result.is_error() or not isinstance(result.ok, tables.Committed):
            return False
        if not self._lease.is_held():
            return False
        sent = self._ordering.send(
            intent["order_id"], domain, order.server, order.desired, epoch
        )
        if sent.is_error():
            events.log(
                events.ORDER_REFUSED,
                interface="ordering",
                server=order.server,
                error=str(sent.error),
            )
            return False
        events.log(
            events.ORDER_SENT,
            server=order.server,
            desired=order.desired,
            epoch=epoch,
        )
        return True


def _server_views(
    servers: list[dict], busy: int, marks: dict
) -> list[scaling.ServerView]:
    """Return the scaler's view of servers, with the load spread evenly."""
    running = [
        server["name"]
        for server in servers
        if server.get("state", vms.RUNNING) == vms.RUNNING
        and server["name"] not in marks
    ]
    busy_per_server = busy // len(running) if running else 0
    return [
        scaling.ServerView(
            server["name"],
            server["name"] in running,
            server.get("cheap", False),
            server.get("slots", 8),
            busy_per_server,
        )
        for server in servers
    ]
