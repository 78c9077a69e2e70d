"""Data classes that name the parts of the fleet: VMs, failure domains, priorities."""

import enum
from collections.abc import Iterator
from typing import NewType

import attrs

VmId = NewType("VmId", str)
FailureDomain = NewType("FailureDomain", str)


class Priority(enum.IntEnum):
    """Importance of a call; the lower value is served first and shed last."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    BACKGROUND = 3


class VmState(enum.Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the platform's list, with the daemon that runs on it.

    Parameters
    ----------
    vm_id : VmId
        Name of the VM, unique over its whole life; a replacement has another name.
    host : str
        IP number of the VM.
    peer_port : int
        TCP port on which its daemon serves other daemons.
    caller_port : int
        TCP port on which its daemon serves callers.
    failure_domain : FailureDomain
        Failure domain that the VM stands in.
    service : str
        Service whose backend server runs on the VM.
    state : VmState
        Live or leaving.
    instance : str
        Present process of the backend server; empty where the platform names none.
    slots : int
        Calls that the backend server runs at once; 0 where the platform does not say.
    cold_ms : int
        Time for which the backend server stays slow after its start, in milliseconds.
    """

    vm_id: VmId
    host: str
    peer_port: int
    caller_port: int
    failure_domain: FailureDomain
    service: str
    state: VmState = VmState.LIVE
    instance: str = ""
    slots: int = 0
    cold_ms: int = 0


@attrs.frozen
class VmList:
    """One version of the platform's list of VMs.

    A VM that an earlier version named and this one does not is gone: the platform removes
    a VM only after it has stopped it.

    Parameters
    ----------
    version : int
        Rises with each change of the list.
    vms : tuple of Vm
        Live and leaving VMs, in any order.
    """

    version: int
    vms: tuple[Vm, ...]

    def __iter__(self) -> Iterator[Vm]:
        return iter(self.vms)

    def __len__(self) -> int:
        return len(self.vms)

    def find(self, vm_id: VmId) -> Vm | None:
        """Return the VM of that name, or None when the list does not name it."""
        return next((vm for vm in self.vms if vm.vm_id == vm_id), None)

    def in_domain(self, domain: FailureDomain) -> tuple[Vm, ...]:
        """Return the VMs of one failure domain."""
        return tuple(vm for vm in self.vms if vm.failure_domain == domain)

    def of_service(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs that run a backend server of `service`."""
        return tuple(vm for vm in self.vms if vm.service == service)
