"""Parse pool names and find the servers of a pool in the VM list."""

from typing import NamedTuple

from bilberryturn import declarations
from bilberryturn import platform
from bilberryturn import scheduling
from bilberryturn.platform import vms

SERVICE_PREFIX = "service:"


class PoolName(NamedTuple):
    """The name of a pool: the servers of a failure domain for one target."""

    failure_domain: str
    target: str

    def __str__(self):
        return f"{self.failure_domain}/{self.target}"


def parse(text: str) -> PoolName:
    """Return the parts of a pool's name."""
    failure_domain, _, target = text.partition("/")
    return PoolName(failure_domain, target)


def service_target(service: str) -> str:
    """Return the pool target of a plain service."""
    return SERVICE_PREFIX + service


def serves(vm: platform.Vm, target: str) -> bool:
    """Return whether a VM can serve a pool target."""
    if target.startswith(SERVICE_PREFIX):
        name = target.removeprefix(SERVICE_PREFIX)
        return vm.kind == vms.PLAIN_SERVICE and name in vm.serves
    return vm.kind == vms.MODEL_ENGINE and target in vm.serves


def is_leaving(vm: platform.Vm, declared: declarations.Declarations) -> bool:
    """Return whether a server must not receive new requests."""
    if vm.state != vms.RUNNING:
        return True
    if vm.name in declared.backend_server_marks:
        return True
    mark = declared.vm_marks.get(vm.name)
    return mark is not None and mark.mark == "leaving"


def is_reclaimed(vm: platform.Vm) -> bool:
    """Return whether the platform is reclaiming a cheap server."""
    return vm.cheap and vm.state == vms.LEAVING


def server_specs(
    pool: PoolName,
    all_vms: tuple[platform.Vm, ...],
    declared: declarations.Declarations,
) -> list[scheduling.ServerSpec]:
    """Return the servers of a pool, without the stopped ones."""
    return [
        scheduling.ServerSpec(
            vm.name,
            vm.address,
            max(1, vm.slots),
            vm.cheap,
            is_leaving(vm, declared),
        )
        for vm in all_vms
        if vm.failure_domain == pool.failure_domain
        and vm.state != vms.STOPPED
        and serves(vm, pool.target)
    ]
