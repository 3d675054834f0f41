"""Track the backend servers that may be used.

Handles entries that expire together while the store is unreachable, delayed
reports of servers that already announced that they leave, in their entry or in
an answer, and whole failure domains that are reclaimed at once.
"""

from typing import NamedTuple

from bilberryturn.routing import types

# The users specify that a live server restores an expired entry within about
# this time after the store is reachable again.
RESTORE_GRACE_S = 2.0
# Tombstones of leaving lifetimes are kept longer than any report of them can be
# delayed.
TOMBSTONE_S = 30.0


class Change(NamedTuple):
    """Change of the known state of one server."""

    server_id: str
    kind: str


class Departure(NamedTuple):
    """When a leaving lifetime of a server was reported and ends.

    Attributes:
        reported_s: Monotonic time of the first report that it leaves.
        end_s: Monotonic time at which it ends, or None if it did not say.
    """

    reported_s: float
    end_s: float | None


class Directory:
    """Applies reports about backend servers in the order received."""

    def __init__(self):
        self._servers: dict[str, types.BackendServer] = {}
        self._tombstones: dict[tuple[str, int], float] = {}
        # Monotonic time until which a server may restore its lapsed entry.
        self._restore_until_s: dict[str, float] = {}
        self._departures: dict[tuple[str, int], Departure] = {}
        # Last sequence number of the lifetimes that are gone, and when.
        self._gone: dict[tuple[str, int], tuple[int, float]] = {}

    def departure(self, lifetime: tuple[str, int]) -> Departure | None:
        """Return when a leaving server ends; None if it stays."""
        return self._departures.get(lifetime)

    def has_ended(self, lifetime: tuple[str, int]) -> bool:
        """Return whether a server was removed or has started again."""
        return lifetime in self._gone or self.has_restarted(lifetime)

    def has_restarted(self, lifetime: tuple[str, int]) -> bool:
        """Return whether a server has started again after a lifetime."""
        known = self._servers.get(lifetime[0])
        return known is not None and known.lifetime != lifetime

    def usable(self, service: str) -> list[types.BackendServer]:
        """Return the servers of a service that take new requests."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and not server.is_leaving
        ]

    def find(self, server_id: str) -> types.BackendServer | None:
        """Return a server by its identifier."""
        return self._servers.get(server_id)

    def all_servers(self) -> list[types.BackendServer]:
        """Return all known servers, leaving ones included."""
        return list(self._servers.values())

    def report(
        self,
        server: types.BackendServer,
        now_s: float,
        is_restored: bool = False,
    ) -> Change | None:
        """Apply one report; out-of-order reports are ignored.

        Args:
            server: The server as reported.
            now_s: Present time in seconds.
            is_restored: Whether the report may come from an older copy of the
                store, so that a server that is gone stands in it.
        """
        gone_sequence, _ = self._gone.get(server.lifetime, (-1, 0.0))
        if is_restored and server.sequence <= gone_sequence:
            return None
        self._restore_until_s.pop(server.server_id, None)
        known = self._servers.get(server.server_id)
        if known is not None and (server.started_ms, server.sequence) < (
            known.started_ms,
            known.sequence,
        ):
            return None
        is_same_report = known is not None and (
            (known.lifetime, known.sequence)
            == (server.lifetime, server.sequence)
        )
        if is_same_report:
            # The time for which it stays cold counts from the first reading.
            server = server._replace(cold_until_s=known.cold_until_s)
        if (server.server_id, server.started_ms) in self._tombstones:
            server = server._replace(is_leaving=True)
        if server.is_leaving:
            self._tombstones[server.lifetime] = now_s
            end_s = None
            if server.leaves_in_s is not None:
                end_s = now_s + server.leaves_in_s
            self._departures.setdefault(
                server.lifetime, Departure(now_s, end_s)
            )
        self._servers[server.server_id] = server
        if known is None:
            return Change(server.server_id, "joined")
        if known.started_ms != server.started_ms:
            return Change(server.server_id, "restarted")
        if server.is_leaving and not known.is_leaving:
            return Change(server.server_id, "leaving")
        return None

    def mark_leaving(
        self, server: types.BackendServer, now_s: float
    ) -> Change | None:
        """Apply an answer that says that its server leaves.

        Reports that say otherwise are older. Returns None if it is known.
        """
        if server.lifetime in self._tombstones:
            return None
        self._tombstones[server.lifetime] = now_s
        self._departures.setdefault(server.lifetime, Departure(now_s, None))
        known = self._servers.get(server.server_id)
        if known is not None and known.lifetime == server.lifetime:
            self._servers[server.server_id] = known._replace(is_leaving=True)
        return Change(server.server_id, "leaving")

    def remove(
        self, server_id: str, restore_until_s: float | None, now_s: float
    ) -> Change | None:
        """Apply the removal of an entry.

        Args:
            server_id: Server whose entry was removed.
            restore_until_s: Monotonic time until which the server may restore
                an entry that lapsed while the store was away; None if it has
                left.
            now_s: Present time in seconds.
        """
        if server_id not in self._servers:
            return None
        if restore_until_s is None:
            return self._drop(server_id, now_s)
        if server_id in self._restore_until_s:
            return None
        self._restore_until_s[server_id] = restore_until_s
        return Change(server_id, "lapsed")

    def replace_all(
        self,
        servers: list[types.BackendServer],
        now_s: float,
        restore_until_s: float | None,
        is_restored: bool = False,
    ) -> list[Change]:
        """Replace all entries by a snapshot.

        Args:
            servers: The servers of the snapshot.
            now_s: Present time in seconds.
            restore_until_s: As for remove, for the servers it lacks.
            is_restored: As for report.
        """
        present = {server.server_id for server in servers}
        changes = [
            self.report(server, now_s, is_restored) for server in servers
        ]
        for server_id in list(self._servers):
            if server_id not in present:
                changes.append(self.remove(server_id, restore_until_s, now_s))
        return [change for change in changes if change is not None]

    def expire(self, now_s: float) -> list[Change]:
        """Drop entries that were not restored within the grace period."""
        present = {server.lifetime for server in self._servers.values()}
        for key, tombstoned_s in list(self._tombstones.items()):
            # A server whose entry still says that it is ready keeps its
            # tombstone.
            if key in present:
                self._tombstones[key] = now_s
            elif now_s - tombstoned_s > TOMBSTONE_S:
                del self._tombstones[key]
                self._departures.pop(key, None)
        overdue = [
            server_id
            for server_id, restore_until_s in self._restore_until_s.items()
            if now_s >= restore_until_s
        ]
        for key, (_, gone_s) in list(self._gone.items()):
            if now_s - gone_s > TOMBSTONE_S:
                del self._gone[key]
        return [self._drop(server_id, now_s) for server_id in overdue]

    def _drop(self, server_id: str, now_s: float) -> Change:
        self._restore_until_s.pop(server_id, None)
        server = self._servers.pop(server_id)
        self._gone[server.lifetime] = (server.sequence, now_s)
        return Change(server_id, "gone")
