"""Decode the operator's configuration from the store."""

import expression
import msgspec

from bilberryturn.platform import decoding
from bilberryturn.platform import exceptions
from bilberryturn.routing import table
from bilberryturn.routing import types


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    # The kind of request: safe, unsafe or stream.
    type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: list[_Split] = []
    attempts: int = 1
    # Whether callers need no key.
    public: bool = False
    resumable: bool = False
    # Maximum gap between events, not between individual tokens.
    itl_target_ms: float = 0.0
    home_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    # Capacity of the engine's KV cache in tokens.
    kv_capacity: int = 0
    # Tokens per stream event.
    stride: int = 1
    # Whether a running request can be moved to another engine.
    moves: bool = False


class _Scaling(msgspec.Struct, rename="camel"):
    # Both bounds apply per failure domain, not to the whole service.
    min: int = 0
    max: int = 0
    boot_s: float = 5.0
    spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None
    # Time for which a server is cold after its start, and the requests a second
    # that it takes then; absent or 0 means no limit.
    cold_s: float | None = None
    cold_per_s: float | None = None
    health_path: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Account(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    home_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Account] | None = None


def decode(
    value: bytes,
) -> expression.Result[table.RouteTable, exceptions.PlatformError]:
    """Return the route table of an encoded operator configuration."""
    try:
        config = decoding.decode_json(value, type=_Config, strict=False)
    except msgspec.DecodeError as error:
        return expression.Error(
            exceptions.PlatformFormatError("configuration", str(error))
        )
    accounts = None
    if config.tenants is not None:
        accounts = {
            table.key_hash(key): types.ClientAccount(
                account.name,
                account.priority,
                frozenset(account.home_regions or ()),
            )
            for account in config.tenants
            for key in account.api_keys
        }
    return expression.Ok(
        table.RouteTable(
            config.version,
            [_route(route) for route in config.routes],
            [_service(service) for service in config.services],
            types.Limits(
                config.limits.max_header_bytes,
                config.limits.max_body_bytes,
                config.limits.header_timeout_ms / 1000,
                config.limits.idle_timeout_ms / 1000,
            ),
            accounts,
        )
    )


def _route(route: _Route) -> types.Route:
    targets = tuple(
        types.Target(part.service, part.weight) for part in route.split
    )
    if not targets and route.service is not None:
        targets = (types.Target(route.service, 1.0),)
    return types.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        retry_policy=_retry_policy(route),
        is_stream=route.type == "stream",
        timeout_s=route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        gap_target_s=route.itl_target_ms / 1000,
        priority=route.priority,
        attempts=max(1, route.attempts),
        is_public=route.public,
        targets=targets,
        home_regions=frozenset(route.home_regions or ()),
    )


def _retry_policy(route: _Route) -> types.RetryPolicy:
    if route.type == "safe":
        return types.RetryPolicy.IDEMPOTENT
    if route.type == "stream" and route.resumable:
        return types.RetryPolicy.RESUMABLE
    return types.RetryPolicy.AT_MOST_ONCE


def _service(service: _Service) -> types.Service:
    engine = scaling = None
    if service.engine is not None:
        engine = types.Engine(
            service.engine.slots,
            service.engine.kv_capacity,
            max(1, service.engine.stride),
            service.engine.moves,
        )
    if service.scaling is not None:
        scaling = types.Scaling(
            service.scaling.min,
            service.scaling.max,
            service.scaling.boot_s,
            service.scaling.spot_price,
            service.scaling.zone_prices,
        )
    return types.Service(
        service.name,
        service.max_conns,
        engine,
        scaling,
        max(0.0, service.cold_s or 0.0),
        max(0.0, service.cold_per_s or 0.0),
        service.health_path,
    )
