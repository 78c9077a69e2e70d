"""Index of the VM list by scope, and the rendezvous ranking of VMs for each slot."""

import attrs

from wisteria_core import Vm, VmId, VmList, VmState, rendezvous_weight

from .const import NO_VERSION
from .messages import Scope, SlotId, domain_scope, service_scope


def outranks(slot: SlotId, one: VmId, other: VmId) -> bool:
    """Return whether `one` ranks before `other`; the same on every daemon."""
    return _sort_key(slot, one) < _sort_key(slot, other)


def _sort_key(slot: SlotId, vm_id: VmId) -> tuple[int, str]:
    return (-rendezvous_weight(slot.key, vm_id), vm_id)


@attrs.frozen
class RosterChange:
    """Difference between two versions of the VM list."""

    joined: frozenset[VmId] = frozenset()
    gone: frozenset[VmId] = frozenset()
    altered: frozenset[VmId] = frozenset()


@attrs.define
class Roster:
    """The newest VM list read, indexed by scope."""

    version: int = NO_VERSION
    vms: dict[VmId, Vm] = attrs.field(factory=dict)
    _members: dict[Scope, frozenset[VmId]] = attrs.field(factory=dict)
    _live: dict[Scope, list[VmId]] = attrs.field(factory=dict)
    _first: dict[SlotId, VmId | None] = attrs.field(factory=dict)

    def update(self, vm_list: VmList) -> RosterChange:
        """Replace the list by a newer one and return the difference."""
        before = self.vms
        self.vms = {vm.vm_id: vm for vm in vm_list}
        self.version = vm_list.version
        self._members = _index_by_scope(self.vms)
        self._live.clear()
        change = RosterChange(
            joined=frozenset(self.vms.keys() - before.keys()),
            gone=frozenset(before.keys() - self.vms.keys()),
            altered=frozenset(
                vm_id for vm_id, vm in self.vms.items() if before.get(vm_id, vm) != vm
            ),
        )
        self._update_first(change)
        return change

    def members(self, scope: Scope) -> frozenset[VmId]:
        """Return the live and leaving VMs of the scope."""
        return self._members.get(scope, frozenset())

    def is_live(self, vm_id: VmId) -> bool:
        vm = self.vms.get(vm_id)
        return vm is not None and vm.state is VmState.LIVE

    def is_gone(self, vm_id: VmId, listed_in: int) -> bool:
        """Return whether a VM contained in version `listed_in` has been removed since."""
        return self.version >= listed_in and vm_id not in self.vms

    def first(self, slot: SlotId) -> VmId | None:
        """Return the live VM that ranks first for the slot, if any."""
        if slot not in self._first:
            self._first[slot] = self._find_first(slot)
        return self._first[slot]

    def ranked(self, slot: SlotId) -> list[VmId]:
        """Return the live VMs of the slot's scope, best first."""
        return sorted(self._live_members(slot.scope), key=lambda vm_id: _sort_key(slot, vm_id))

    def _find_first(self, slot: SlotId) -> VmId | None:
        key = slot.key
        weights = [(-rendezvous_weight(key, vm), vm) for vm in self._live_members(slot.scope)]
        return min(weights)[1] if weights else None

    def _live_members(self, scope: Scope) -> list[VmId]:
        found = self._live.get(scope)
        if found is None:
            found = [vm_id for vm_id in self.members(scope) if self.is_live(vm_id)]
            self._live[scope] = found
        return found

    def _update_first(self, change: RosterChange) -> None:
        """Update the cached first VMs; rank all VMs again only for slots that lost their first."""
        touched = change.joined | change.altered
        for slot, first in list(self._first.items()):
            if first is None or not self.is_live(first):
                del self._first[slot]
                continue
            for vm_id in touched:
                if slot.scope.includes(self.vms[vm_id]) and self.is_live(vm_id):
                    first = first if outranks(slot, first, vm_id) else vm_id
            self._first[slot] = first


def _index_by_scope(vms: dict[VmId, Vm]) -> dict[Scope, frozenset[VmId]]:
    """Return the members of every non-empty scope, in one pass."""
    found: dict[Scope, set[VmId]] = {}
    for vm in vms.values():
        for scope in (domain_scope(vm.failure_domain), service_scope(vm.service)):
            found.setdefault(scope, set()).add(vm.vm_id)
    return {scope: frozenset(members) for scope, members in found.items()}
