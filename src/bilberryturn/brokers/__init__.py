"""Manage grants for the pools of a failure domain: broker, client, router."""

from bilberryturn.brokers import broker
from bilberryturn.brokers import client
from bilberryturn.brokers import pools
from bilberryturn.brokers import router

Broker = broker.Broker
GrantClient = client.GrantClient
PoolName = pools.PoolName
PoolRouter = router.PoolRouter
server_specs = pools.server_specs

__all__ = [
    "Broker",
    "GrantClient",
    "PoolName",
    "PoolRouter",
    "server_specs",
]
