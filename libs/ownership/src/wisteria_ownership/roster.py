"""The VMs of each scope by the daemon's own list, and who ranks first for a slot."""

import attrs

from wisteria_core import Vm, VmId, VmList, VmState, rendezvous_weight

from .const import NO_VERSION
from .messages import Scope, SlotId, domain_scope, service_scope


def outranks(slot: SlotId, one: VmId, other: VmId) -> bool:
    """Return whether `one` ranks before `other` for `slot`, alike on every daemon."""
    return _sort_key(slot, one) < _sort_key(slot, other)


def _sort_key(slot: SlotId, vm_id: VmId) -> tuple[int, str]:
    return (-rendezvous_weight(slot.key, vm_id), vm_id)


@attrs.frozen
class RosterChange:
    """What a newer list changed."""

    joined: frozenset[VmId] = frozenset()
    gone: frozenset[VmId] = frozenset()
    altered: frozenset[VmId] = frozenset()


@attrs.define
class Roster:
    """The newest list that the daemon has read, indexed by scope."""

    version: int = NO_VERSION
    vms: dict[VmId, Vm] = attrs.field(factory=dict)
    _members: dict[Scope, frozenset[VmId]] = attrs.field(factory=dict)
    _live: dict[Scope, list[VmId]] = attrs.field(factory=dict)
    _first: dict[SlotId, VmId | None] = attrs.field(factory=dict)

    def update(self, vm_list: VmList) -> RosterChange:
        """Take in a newer list and return the difference."""
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
        """Return live and leaving VMs of the scope."""
        return self._members.get(scope, frozenset())

    def is_live(self, vm_id: VmId) -> bool:
        """Return whether the list names the VM as live."""
        vm = self.vms.get(vm_id)
        return vm is not None and vm.state is VmState.LIVE

    def is_gone(self, vm_id: VmId, named_in: int) -> bool:
        """Return whether a VM that version `named_in` names has since been removed."""
        return self.version >= named_in and vm_id not in self.vms

    def first(self, slot: SlotId) -> VmId | None:
        """Return the live VM that ranks first for the slot, or None when there is none."""
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
        """Mend the cached ranks: only a change of the first VM costs a whole ranking."""
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
    """Return the members of every scope that has any, in one pass over the list."""
    found: dict[Scope, set[VmId]] = {}
    for vm in vms.values():
        for scope in (domain_scope(vm.failure_domain), service_scope(vm.service)):
            found.setdefault(scope, set()).add(vm.vm_id)
    return {scope: frozenset(members) for scope, members in found.items()}
