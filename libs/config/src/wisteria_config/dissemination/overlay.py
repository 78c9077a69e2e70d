"""Select the VMs that read the configuration service, and the peers of each VM.

Every VM computes both from its own list of VMs. Differences between lists cost efficiency, not
safety.
"""

from collections.abc import Collection, Iterable

import attrs

from wisteria_core import (
    FailureDomain,
    Vm,
    VmId,
    VmList,
    VmState,
    rank_by_rendezvous,
    rendezvous_weight,
)

from .config import DisseminationConfig

_READER_KEY = "configuration-reader"


def live_vms(vms: Iterable[Vm], excluded: Collection[VmId]) -> list[Vm]:
    """Return the live VMs that are not excluded."""
    return [vm for vm in vms if vm.state is VmState.LIVE and vm.vm_id not in excluded]


def pick_readers(names: Iterable[str], term: int, count: int) -> list[str]:
    """Return the VMs of a failure domain that watch the configuration service in a term."""
    return rank_by_rendezvous(f"{_READER_KEY}-{term}", names)[:count]


def find_neighbours(vm_id: VmId, vms: Iterable[Vm], rings: int) -> list[VmId]:
    """Return the next and the previous VM on each ring of the overlay.

    Each ring orders all VMs by a different hash, so that the union of the rings is a random
    regular graph: it stays connected when many VMs fail, and its diameter grows with the
    logarithm of the number of VMs.
    """
    names = [vm.vm_id for vm in vms if vm.vm_id != vm_id]
    found: list[VmId] = []
    for ring in range(rings):
        found += _find_on_ring(vm_id, names, f"ring-{ring}")
    return list(dict.fromkeys(found))


def _find_on_ring(vm_id: VmId, names: list[VmId], ring: str) -> list[VmId]:
    if not names:
        return []
    own = (rendezvous_weight(ring, vm_id), vm_id)
    places = [(rendezvous_weight(ring, name), name) for name in names]
    after = [place for place in places if place > own]
    before = [place for place in places if place < own]
    following = min(after or places)
    preceding = max(before or places)
    return [following[1], preceding[1]]


def pick_peers_to_ask(vm_id: VmId, vms: VmList, per_domain: int, turn: int) -> list[VmId]:
    """Return peers in every failure domain to query; each turn selects the next ones.

    Leaving and excluded VMs are queried as well: they may know a version that no other VM has.
    """
    domains: dict[str, list[str]] = {}
    for vm in vms:
        if vm.vm_id != vm_id:
            domains.setdefault(vm.failure_domain, []).append(vm.vm_id)
    picked: list[VmId] = []
    for names in domains.values():
        ranked = rank_by_rendezvous(f"ask-{vm_id}", names)
        count = min(per_domain, len(ranked))
        start = turn * per_domain
        picked += [VmId(ranked[(start + step) % len(ranked)]) for step in range(count)]
    return picked


@attrs.define
class FleetView:
    """Roles and peers that a VM derives from the platform's list of VMs.

    Parameters
    ----------
    vm_id : VmId
        Own VM.
    failure_domain : FailureDomain
        Its failure domain.
    config : DisseminationConfig
        Numbers of readers, rings and peers to query.
    vms : VmList or None
        The latest list; None until the first is received.
    domains : dict
        Failure domain of each other VM in the list.
    neighbours : list of VmId
        VMs that announcements are sent to.
    """

    vm_id: VmId
    failure_domain: FailureDomain
    config: DisseminationConfig
    vms: VmList | None = None
    domains: dict[VmId, FailureDomain] = attrs.field(factory=dict)
    neighbours: list[VmId] = attrs.field(factory=list)
    _readers: list[str] = attrs.field(factory=list)
    _term: int = -1
    _domain_vms: list[VmId] = attrs.field(factory=list)
    _turn: int = 0

    def update_vms(self, vms: VmList, excluded: Collection[VmId]) -> None:
        """Recompute readers and neighbours from a new list, without excluded VMs."""
        self.vms = vms
        self.domains = {vm.vm_id: vm.failure_domain for vm in vms if vm.vm_id != self.vm_id}
        live = live_vms(vms, excluded)
        self._domain_vms = [vm.vm_id for vm in live if vm.failure_domain == self.failure_domain]
        self._term = -1
        self.neighbours = find_neighbours(self.vm_id, live, self.config.rings)

    def is_reader(self, version: int) -> bool:
        """Return whether the own VM watches the configuration service.

        A term is a range of versions, so that the load of reading whole documents rotates among
        the VMs without synchronized clocks.
        """
        term = version // self.config.versions_per_term
        if term != self._term:
            self._term = term
            self._readers = pick_readers(self._domain_vms, term, self.config.readers_per_domain)
        return self.vm_id in self._readers

    def is_same_domain(self, vm_id: VmId) -> bool:
        return self.domains.get(vm_id) == self.failure_domain

    def next_neighbour(self) -> VmId | None:
        if not self.neighbours:
            return None
        self._turn += 1
        return self.neighbours[self._turn % len(self.neighbours)]

    def pick_peers_to_ask(self, turn: int) -> list[VmId]:
        """Return the peers to query in this turn."""
        if self.vms is None:
            return []
        return pick_peers_to_ask(self.vm_id, self.vms, self.config.ask_per_domain, turn)
