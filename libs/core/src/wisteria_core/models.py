"""Data classes shared by every library: VMs, failure domains, priorities."""

import enum
from collections.abc import Iterator
from typing import NewType

import attrs

VmId = NewType("VmId", str)
FailureDomain = NewType("FailureDomain", str)


class Priority(enum.IntEnum):
    """Importance of a call; lower values are served first and shed last."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    BACKGROUND = 3


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM in the platform's list, and the addresses of the daemon on it.

    Parameters
    ----------
    vm_id : VmId
        Name of the VM, never reused; a replacement VM gets another name.
    host : str
        IP address of the VM.
    peer_port : int
        TCP port on which its daemon serves other daemons.
    caller_port : int
        TCP port on which its daemon serves callers.
    failure_domain : FailureDomain
        Failure domain in which the VM runs.
    service : str
        Service whose backend server runs on the VM.
    state : VmState
        Whether the VM is live or leaving.
    instance : str
        Current process of the backend server; empty if the platform does not report it.
    slots : int
        Number of calls that the backend server runs at once; 0 if the platform does not report
        it.
    cold_ms : int
        Warm-up time in milliseconds during which the backend server is slow after its start.
    started_ms : int
        Start of the backend server's process in Unix time; 0 if the platform does not report it.
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
    started_ms: int = 0


@attrs.frozen
class VmList:
    """A version of the platform's list of VMs.

    A VM that is missing from this version but was in an earlier one no longer runs: the
    platform removes a VM only after it has stopped it.

    Parameters
    ----------
    version : int
        Increases with each change of the list.
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
        """Return the VM named `vm_id`, or None when it is not in the list."""
        return next((vm for vm in self.vms if vm.vm_id == vm_id), None)

    def in_domain(self, domain: FailureDomain) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.failure_domain == domain)

    def of_service(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.service == service)
