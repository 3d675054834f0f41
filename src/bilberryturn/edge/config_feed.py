"""Apply the operator's configurations in their order."""

import enum
import time

from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.edge import config_order
from bilberryturn.edge import peer_state
from bilberryturn.gateway import shared_state
from bilberryturn.platform import operator_config
from bilberryturn.routing import table


class Source(enum.Enum):
    """Where a configuration was read."""

    STORE = "store"
    PEER = "peer"


class ConfigApplier:
    """Puts configurations in force; runs on the event loop only."""

    def __init__(
        self, shared: shared_state.SharedState, raw: peer_state.RawState
    ):
        """Initialize without a configuration.

        Args:
            shared: State that the requests of this node use.
            raw: State that this node serves to its peers.
        """
        self._shared = shared
        self._raw = raw
        # The configuration that waits in the order.
        self._held: tuple[table.RouteTable, bytes, Source] | None = None

    def apply(
        self,
        value: bytes,
        source: Source,
        era: int,
        written_era: int,
    ) -> None:
        """Apply a configuration unless it is older than the one in force.

        Args:
            value: The configuration as stored.
            source: Where it was read.
            era: Last era in which the store showed it.
            written_era: Era in which it is known to have been written.
        """
        order = self._raw.config_order
        if value == self._raw.config and order.current is not None:
            same = order.current._replace(era=era, written_era=written_era)
            order.decide(same, time.monotonic(), source is Source.STORE)
            return
        result = operator_config.decode(value)
        if result.is_error():
            events.log(events.CONFIG_REFUSED, error=str(result.error))
            return
        candidate = config_order.Candidate(
            result.ok.version, peer_state.digest(value), era, written_era
        )
        verdict = order.decide(
            candidate, time.monotonic(), source is Source.STORE
        )
        if verdict is config_order.Verdict.APPLY:
            self._put_in_force(result.ok, value, source)
            return
        if verdict is config_order.Verdict.HOLD:
            self._held = (result.ok, value, source)
        events.log(
            events.CONFIG_STALE,
            version=candidate.version,
            current=order.current.version,
            source=source.value,
            era=era,
            verdict=verdict.name,
        )

    def _put_in_force(
        self, route_table: table.RouteTable, value: bytes, source: Source
    ) -> None:
        shared = self._shared
        previous = shared.table.version if shared.table else None
        self._raw.set_config(value)
        self._raw.peer_configs += source is Source.PEER
        shared.table = route_table
        metrics.set_gauge(
            metrics.CONFIG_VERSION, {}, float(route_table.version)
        )
        events.log(
            events.CONFIG_APPLIED,
            version=route_table.version,
            previous=previous,
            source=source.value,
            size_bytes=len(value),
        )

    def release(self) -> None:
        """Put the configuration in force that has waited long enough."""
        if self._held is None:
            return
        if self._raw.config_order.release(time.monotonic()):
            self._put_in_force(*self._held)
            self._held = None
