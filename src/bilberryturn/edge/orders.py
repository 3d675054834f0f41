"""Order backend servers while this node holds the lease."""

import expression

from bilberryturn import events
from bilberryturn import leases
from bilberryturn.gateway import shared_state
from bilberryturn.platform import duty_calls
from bilberryturn.platform import rows
from bilberryturn.platform import tables
from bilberryturn.routing import provisioning
from bilberryturn.routing import types

BASELINE_PREFIX = "fleet/"
# A server registers within one heartbeat interval (1.2 s) after its start; the
# baseline is recorded once the number has not grown for twice as long.
BASELINE_SETTLE_S = 2.4


class OrderSender:
    """Sends the server orders that the provisioning plan requires."""

    def __init__(
        self,
        store: rows.RowStore,
        lease: leases.Lease,
        calls: duty_calls.DutyCalls,
        shared: shared_state.SharedState,
    ):
        """Initialize the sender.

        Args:
            store: Stores the baseline of each service.
            lease: Lease that permits ordering; its epoch is the fencing number.
            calls: Client that sends the orders.
            shared: Provides the configured services and the known servers.
        """
        self._store = store
        self._lease = lease
        self._calls = calls
        self._shared = shared
        self._sent_orders = provisioning.SentOrders()
        self._baselines: dict[str, dict[str, int]] = {}
        # Services whose baseline the store lacked when this holder read it.
        self._unrecorded: set[str] = set()
        self._peak_sizes: dict[str, tuple[int, float]] = {}
        self._era = store.era

    def on_lease_lost(self) -> None:
        """Clear the sent orders; called while the lease is not held."""
        self._sent_orders.clear()
        self._unrecorded.clear()

    def step(self, now_s: float) -> None:
        """Send the orders that are due."""
        table = self._shared.table
        if table is None:
            return
        if self._store.era != self._era and self._restore_baselines():
            self._era = self._store.era
        for service in list(table.services.values()):
            if service.scaling is not None:
                self._step_service(service, now_s)

    def _step_service(self, service: types.Service, now_s: float) -> None:
        servers = self._shared.directory.usable(service.name)
        counts = provisioning.count_servers(servers)
        baseline = self._baseline(service.name, counts, now_s)
        if not baseline:
            return
        orders = provisioning.plan(service, baseline, counts)
        for order in self._sent_orders.due(orders, counts, now_s):
            if not self._lease.is_held():
                return
            result = self._send(order)
            self._sent_orders.record(order, now_s)
            events.log(
                events.ORDER_SENT if result.is_ok() else events.ORDER_REFUSED,
                order="servers",
                service=order.service,
                failure_domain=order.failure_domain,
                cheap=order.is_cheap,
                count=order.count,
                epoch=self._lease.epoch,
                servers_age_s=self._shared.servers_age_s(),
                error=None if result.is_ok() else str(result.error),
            )

    def _send(self, order: provisioning.Order) -> expression.Result:
        return self._calls.order_servers(
            order.service,
            order.failure_domain,
            order.count,
            order.is_cheap,
            self._lease.epoch,
        )

    def _baseline(
        self,
        service: str,
        counts: dict[str, provisioning.Counts],
        now_s: float,
    ) -> dict[str, int]:
        """Return the initial number of servers of a service by failure domain.

        This baseline is recorded in the store once and then cached; the result
        is empty while there is none.
        """
        known = self._baselines.get(service)
        if known is not None:
            return known
        key = BASELINE_PREFIX + service
        value = None
        if service not in self._unrecorded:
            found = self._store.read(key)
            if found.is_error():
                return {}
            value = found.ok.value
        if value is None:
            # Only a holder writes it, and the transaction fails if one has.
            self._unrecorded.add(service)
            value = {d: c.on_demand + c.cheap for d, c in counts.items()}
            if not self._is_settled(service, sum(value.values()), now_s):
                return {}
            result = self._store.transact(
                {key: 0, **self._lease.epoch_check()}, {key: value}
            )
            if result.is_error() or isinstance(result.ok, tables.Aborted):
                self._unrecorded.discard(service)
                return {}
        self._unrecorded.discard(service)
        self._baselines[service] = value
        return value

    def _restore_baselines(self) -> bool:
        """Write baselines that a restored store lacks.

        Returns:
            Whether the store has all of them.
        """
        return all(
            self._restore_baseline(BASELINE_PREFIX + service, value)
            for service, value in self._baselines.items()
        )

    def _restore_baseline(self, key: str, value: dict[str, int]) -> bool:
        found = self._store.read(key)
        if found.is_error():
            return False
        if found.ok.value is not None:
            return True
        result = self._store.transact(
            {key: 0, **self._lease.epoch_check()}, {key: value}
        )
        return result.is_ok() and isinstance(result.ok, tables.Committed)

    def _is_settled(self, service: str, size: int, now_s: float) -> bool:
        """Return whether the number of servers has stopped growing."""
        peak, since_s = self._peak_sizes.get(service, (0, now_s))
        if size > peak:
            peak, since_s = size, now_s
        self._peak_sizes[service] = (peak, since_s)
        return peak > 0 and now_s - since_s >= BASELINE_SETTLE_S
