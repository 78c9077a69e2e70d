"""Simulated fleet of membership state machines with a shared clock."""

import random

import attrs

from wisteria_core import FailureDomain, Vm, VmId, VmList, VmState
from wisteria_membership import Action, Membership, MembershipMessage, Send

STEP_MS = 250


def make_vm(number: int, domains: int = 4, state: VmState = VmState.LIVE) -> Vm:
    """Return a VM whose failure domain and service follow from its number."""
    domain = FailureDomain(f"domain-{number % domains}")
    service = f"service-{number % 7}"
    return Vm(VmId(f"vm-{number:04}"), "127.0.0.1", 7_000, 8_000, domain, service, state)


@attrs.define(eq=False)
class Fleet:
    """State machines, the VM list, and a network with message loss and partitions."""

    vm_list: VmList
    now_ms: int = 0
    machines: dict[VmId, Membership] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    paused: set[VmId] = attrs.field(factory=set)
    partitioned: frozenset[VmId] = frozenset()
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    loss: float = 0.0
    seen: list[tuple[VmId, Action]] = attrs.field(factory=list)
    sent: dict[VmId, list[tuple[int, MembershipMessage]]] = attrs.field(factory=dict)

    @classmethod
    def of_size(cls, size: int, domains: int = 4) -> "Fleet":
        """Return a fleet in which every process has applied the first VM list."""
        fleet = cls(VmList(1, tuple(make_vm(number, domains) for number in range(size))))
        for vm in fleet.vm_list:
            fleet.start(vm.vm_id)
        return fleet

    def start(self, vm_id: VmId) -> None:
        """Start a process, or restart it with a higher incarnation."""
        self.incarnations[vm_id] = self.incarnations.get(vm_id, 0) + 1
        machine = Membership(vm_id, self.incarnations[vm_id], self.now_ms)
        self.machines[vm_id] = machine
        self.carry_out(vm_id, machine.update_list(self.now_ms, self.vm_list))

    def publish(self, vms: tuple[Vm, ...]) -> None:
        """Apply a new version of the VM list in every running process."""
        self.vm_list = VmList(self.vm_list.version + 1, vms)
        for vm_id in self.running():
            actions = self.machines[vm_id].update_list(self.now_ms, self.vm_list)
            self.carry_out(vm_id, actions)

    def running(self) -> list[VmId]:
        """Return the VMs whose process is not paused."""
        return [vm_id for vm_id in self.machines if vm_id not in self.paused]

    def step(self) -> None:
        """Advance the clock by `STEP_MS` and tick every running process."""
        self.now_ms += STEP_MS
        for vm_id in self.running():
            self.carry_out(vm_id, self.machines[vm_id].tick(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advance the clock by `duration_ms` in steps."""
        for _ in range(duration_ms // STEP_MS):
            self.step()

    def carry_out(self, sender: VmId, actions: list[Action]) -> None:
        """Deliver messages immediately and store all other actions."""
        for action in actions:
            if not isinstance(action, Send):
                self.seen.append((sender, action))
                continue
            self.sent.setdefault(sender, []).append((self.now_ms, action.message))
            if self.arrives(sender, action.vm_id):
                receiver = self.machines[action.vm_id]
                incarnation = self.incarnations[sender]
                answer = receiver.handle(self.now_ms, sender, incarnation, action.message)
                self.carry_out(action.vm_id, answer)

    def arrives(self, sender: VmId, receiver: VmId) -> bool:
        """Return whether the network delivers a message."""
        if receiver not in self.machines or receiver in self.paused:
            return False
        if (sender in self.partitioned) != (receiver in self.partitioned):
            return False
        return self.rng.random() >= self.loss
