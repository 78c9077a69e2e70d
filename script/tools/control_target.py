"""The target fleet: its VM list, its slots, and the size of its messages on a link."""

from script.tools.control_fleet import FRAME_HEADER_BYTES, TLS_RECORD_BYTES

from wisteria_core import FailureDomain, Vm, VmId, VmList
from wisteria_ledger import LEDGER_SLOTS_PER_SERVICE
from wisteria_limits import AccountRate, SliceId, slices_for
from wisteria_ownership import SlotId
from wisteriaproxy.control import encode_control
from wisteriaproxy.slots import ledger_slot, rate_slot

VMS = 2_700
DOMAINS = 11
SERVICES = 370


def make_list(version: int, vms: int = VMS) -> VmList:
    """The VMs are spread over the failure domains and services."""
    return VmList(version, tuple(make_vm(number) for number in range(vms)))


def make_vm(number: int) -> Vm:
    host = f"10.{number % DOMAINS}.{number // 250 % 250}.{number % 250}"
    domain = FailureDomain(f"domain-{number % DOMAINS:02d}")
    service = f"service-{number % SERVICES:03d}"
    return Vm(VmId(f"vm-{number:05d}"), host, 7_000, 8_000, domain, service)


def domains_of(vm_list: VmList) -> tuple[FailureDomain, ...]:
    return tuple(sorted({vm.failure_domain for vm in vm_list}))


def make_slots(vm_list: VmList, accounts: int) -> list[SlotId]:
    """Return every slot of a configuration, as a daemon lists them."""
    domains = domains_of(vm_list)
    shares: dict[SliceId, object] = {}
    for number in range(accounts + 1):
        shares.update(slices_for(AccountRate(f"account-{number:03d}", 100, 100), domains))
    slots = [rate_slot(slice_id) for slice_id in shares]
    services = sorted({vm.service for vm in vm_list})
    return slots + [
        ledger_slot(service, index)
        for service in services
        for index in range(LEDGER_SLOTS_PER_SERVICE)
    ]


def size_on_link(message: object) -> int:
    """Return the size in bytes, with frame header and TLS record."""
    payload = encode_control(message)
    assert isinstance(payload, bytes)
    return len(payload) + FRAME_HEADER_BYTES + TLS_RECORD_BYTES
