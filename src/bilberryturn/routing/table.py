"""Find the route and the client account of a request."""

import hashlib
import secrets

from bilberryturn.routing import types

# API keys are kept only as keyed hashes; the secret is generated at process
# start.
_HASH_SECRET = secrets.token_bytes(16)


def key_hash(key: str) -> bytes:
    """Return the keyed hash under which an API key is stored."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, key=_HASH_SECRET, digest_size=16).digest()


class RouteTable:
    """Routes, services and client accounts of one configuration version.

    Attributes:
        version: Version of the configuration; increases with each change.
        longest_stream_s: Longest time limit of a stream that can be taken up.
    """

    def __init__(
        self,
        version: int,
        routes: list[types.Route],
        services: list[types.Service],
        limits: types.Limits,
        accounts: dict[bytes, types.ClientAccount] | None,
    ):
        """Index the routes by host.

        Args:
            version: Version of the configuration.
            routes: All routes.
            services: All services.
            limits: Limits on what callers may send.
            accounts: Accounts by hash of their API key; None if keys are not
                used.
        """
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.longest_stream_s = max(
            (r.timeout_s for r in routes if r.is_resumable),
            default=0.0,
        )
        self._accounts = accounts
        self._by_host: dict[str, list[types.Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> types.Route | None:
        """Return the route of the host with the longest matching prefix."""
        name = host.lower().partition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def moved_services(self, earlier: "RouteTable") -> set[str]:
        """Return the services of streams that an earlier table sends elsewhere.

        Args:
            earlier: The table before this one.

        Returns:
            Services that such streams began at, and that this table sends them
            to.
        """
        prefixes = {
            (host, route.prefix)
            for table in (earlier, self)
            for host, routes in table._by_host.items()
            for route in routes
        }
        moved: set[str] = set()
        for host, prefix in prefixes:
            before = earlier.find_route(host, prefix)
            after = self.find_route(host, prefix)
            if before is None or after is None or not after.is_resumable:
                continue
            if before.targets != after.targets:
                targets = (*before.targets, *after.targets)
                moved.update(target.service for target in targets)
        return moved

    @property
    def uses_keys(self) -> bool:
        """Return whether requests are authenticated by API key."""
        return self._accounts is not None

    def find_account(self, key: str | None) -> types.ClientAccount | None:
        """Return the account that owns an API key."""
        if key is None or self._accounts is None:
            return None
        return self._accounts.get(key_hash(key))


def choose_service(route: types.Route, request_id: str) -> str:
    """Return one of a route's services, in proportion to their weights.

    Args:
        route: The route.
        request_id: Identifies the request, or the one whose stream it takes up.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    digest = hashlib.blake2b(request_id.encode("utf-8"), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
