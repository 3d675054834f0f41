"""Choose the running request to preempt for one of a higher tier."""

from collections.abc import Container

from bilberryturn.scheduling import servers
from bilberryturn.scheduling import types


def find_victim(
    table: servers.ServerTable,
    request: types.WaitingRequest,
    already_chosen: Container[str],
    max_preemptions: int,
) -> servers.RunningRequest | None:
    """Return the running request to preempt, or None.

    It is the newest one of the lowest tier, so that the least work is moved.

    Args:
        table: Servers and running requests of the pool.
        request: Request of a higher tier that needs a slot.
        already_chosen: Requests that are already being preempted.
        max_preemptions: How often one request may be preempted.
    """
    candidates = [
        entry
        for entry in table.running.values()
        if entry.request.tier > request.tier
        and entry.request.preemptions < max_preemptions
        and entry.request.request_id not in already_chosen
        and entry.server not in request.excluded_servers
        and _is_eligible(table, entry.server, request)
    ]
    return max(
        candidates,
        key=lambda entry: (entry.request.tier, entry.started_s),
        default=None,
    )


def _is_eligible(
    table: servers.ServerTable, name: str, request: types.WaitingRequest
) -> bool:
    server = table.servers.get(name)
    if server is None or server.spec.leaving:
        return False
    return not server.spec.cheap or table.allows_cheap(request)
