"""Heartbeat overlay: selects a few stable neighbours on hash rings."""

from collections.abc import Iterable

import attrs

from wisteria_core import Vm, VmId, VmList, rendezvous_weight


@attrs.define
class Overlay:
    """Selects the neighbours of one VM.

    Each ring orders the VMs by a different hash. The neighbour on a ring is the next VM of the
    local failure domain, or the next VM of another failure domain. Each VM is therefore selected
    by few others, and a change of the VM list changes few neighbours.
    """

    vm_id: VmId
    same_domain: int
    other_domains: int
    _weights: dict[VmId, tuple[int, ...]] = attrs.field(factory=dict)

    def find_neighbours(self, vm_list: VmList) -> tuple[VmId, ...]:
        """Return the neighbours, or none if this VM is not on the list."""
        own = vm_list.find(self.vm_id)
        if own is None:
            return ()
        self._update_weights(vm_list)
        same = [vm for vm in vm_list if vm.failure_domain == own.failure_domain and vm != own]
        other = [vm for vm in vm_list if vm.failure_domain != own.failure_domain]
        chosen: dict[VmId, None] = {}
        for ring in range(self.same_domain):
            self._add_neighbour(ring, same, chosen)
        for ring in range(self.same_domain, self.same_domain + self.other_domains):
            self._add_neighbour(ring, other, chosen)
        return tuple(chosen)

    def _update_weights(self, vm_list: VmList) -> None:
        rings = range(self.same_domain + self.other_domains)
        known = self._weights
        self._weights = {
            vm.vm_id: known.get(vm.vm_id)
            or tuple(rendezvous_weight(f"ring-{ring}", vm.vm_id) for ring in rings)
            for vm in vm_list
        }

    def _add_neighbour(self, ring: int, candidates: Iterable[Vm], chosen: dict[VmId, None]) -> None:
        """Add the next unchosen VM on the ring."""
        own = self._weights[self.vm_id][ring]
        remaining = [vm.vm_id for vm in candidates if vm.vm_id not in chosen]
        if remaining:
            next_vm = min(remaining, key=lambda vm_id: self._distance(vm_id, ring, own))
            chosen[next_vm] = None

    def _distance(self, vm_id: VmId, ring: int, own: int) -> tuple[bool, int, VmId]:
        weight = self._weights[vm_id][ring]
        return (weight <= own, weight, vm_id)
