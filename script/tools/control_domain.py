"""Simulated slot ownership in one failure domain: messages and time."""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import attrs
from script.tools.control_target import make_list, make_slots, size_on_link

from wisteria_core import VmId, VmList
from wisteria_ownership import Action, Ownership, OwnershipConfig, Send, SlotId

STEP_MS = 200
SETTLE_LIMIT_MS = 30_000
IDLE_MS = 10_000
MS_PER_S = 1_000


@attrs.define(eq=False)
class DomainSimulation:
    """The daemons of one failure domain of the target fleet, on one simulated clock."""

    vm_list: VmList
    slots: list[SlotId]
    now_ms: int = 0
    nodes: dict[VmId, Ownership] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    by_vm: Counter[VmId] = attrs.field(factory=Counter)
    busy_s: Counter[VmId] = attrs.field(factory=Counter)
    _in_flight: list[tuple[VmId, VmId, int, object]] = attrs.field(factory=list)

    def start(self, vm_id: VmId) -> None:
        """An earlier daemon of the VM ends without announcing it."""
        self.incarnations[vm_id] = self.incarnations.get(vm_id, 0) + 1
        node = Ownership(vm_id, self.incarnations[vm_id], self.now_ms, OwnershipConfig())
        self.nodes[vm_id] = node
        self._run(vm_id, lambda: node.update_list(self.now_ms, self.vm_list))
        self._run(vm_id, lambda: node.set_wanted(self.now_ms, self.slots))

    def publish(self, vm_list: VmList) -> None:
        self.vm_list = vm_list
        for vm_id, node in self.nodes.items():
            self._run(vm_id, lambda node=node: node.update_list(self.now_ms, vm_list))  # type: ignore[misc]

    def settle(self, wanted: int) -> int:
        """Run until `wanted` slots are held; return the simulated time taken, in ms."""
        started_ms = self.now_ms
        while self.count_held() < wanted and self.now_ms - started_ms < SETTLE_LIMIT_MS:
            self.step()
        return self.now_ms - started_ms

    def count_held(self) -> int:
        return sum(len(node.held_slots()) for node in self.nodes.values())

    def step(self) -> None:
        """Deliver the messages of the previous step, then tick every node."""
        self.now_ms += STEP_MS
        delivered, self._in_flight = self._in_flight, []
        for sender, recipient, incarnation, message in delivered:
            node = self.nodes.get(recipient)
            if node is not None:
                self._run(
                    recipient,
                    lambda n=node, s=sender, i=incarnation, m=message: n.handle(  # type: ignore[misc]
                        self.now_ms, s, i, m
                    ),
                )
        for vm_id, node in self.nodes.items():
            self._run(vm_id, lambda node=node: node.tick(self.now_ms))  # type: ignore[misc]

    def clear_counts(self) -> None:
        for counter in (self.sent, self.sent_bytes, self.by_vm, self.busy_s):
            counter.clear()

    def _run(self, vm_id: VmId, operation: Callable[[], Sequence[Action]]) -> None:
        started = time.perf_counter()
        actions = operation()
        self.busy_s[vm_id] += time.perf_counter() - started  # type: ignore[assignment]
        for action in actions:
            if isinstance(action, Send):
                self._send(vm_id, action)

    def _send(self, vm_id: VmId, action: Send) -> None:
        size = size_on_link(action.message)
        name = type(action.message).__name__
        self.sent[name] += 1
        self.sent_bytes[name] += size
        self.by_vm[vm_id] += size
        self._in_flight.append((vm_id, action.vm_id, self.incarnations[vm_id], action.message))


def count_domain(accounts: int) -> list[tuple[str, str, str]]:
    """Return the messages, bytes and time of ownership in one failure domain."""
    full_list = make_list(1)
    own_domain = full_list.vms[0].failure_domain
    slots = [s for s in make_slots(full_list, accounts) if s.scope.name == own_domain]
    simulation = DomainSimulation(full_list, slots)
    members = [vm.vm_id for vm in full_list if vm.failure_domain == own_domain]
    for vm_id in members:
        simulation.start(vm_id)
    label = f"{len(members)} VMs of a domain, {accounts} accounts, {len(slots)} slots"
    rows = _report(simulation, f"cold start ({label})", simulation.settle(len(slots)))
    simulation.clear_counts()
    idle_ms = sum(_step_once(simulation) for _ in range(IDLE_MS // STEP_MS))
    rows += _report(simulation, f"idle for 10 s ({label})", idle_ms)
    owner = next(vm_id for vm_id in members if simulation.nodes[vm_id].held_slots())
    simulation.clear_counts()
    simulation.start(owner)
    rows += _report(simulation, f"restart of an owner ({label})", simulation.settle(len(slots)))
    simulation.clear_counts()
    del simulation.nodes[owner]
    simulation.publish(VmList(2, tuple(vm for vm in full_list if vm.vm_id != owner)))
    rows += _report(simulation, f"loss of an owner ({label})", simulation.settle(len(slots)))
    return rows


def _step_once(simulation: DomainSimulation) -> int:
    simulation.step()
    return STEP_MS


def _report(
    simulation: DomainSimulation, label: str, elapsed_ms: int
) -> list[tuple[str, str, str]]:
    count = max(len(simulation.nodes), 1)
    total = simulation.sent_bytes.total()
    kinds = ", ".join(f"{name} {number:,}" for name, number in sorted(simulation.sent.items()))
    worst = max(simulation.by_vm.values(), default=0)
    busy_ms = MS_PER_S * max(simulation.busy_s.values(), default=0.0)
    return [
        (f"{label}: messages", kinds or "none", ""),
        (f"{label}: bytes per VM, highest of a VM", f"{total // count:,}, {worst:,}", "B"),
        (
            f"{label}: elapsed time, highest processor time of a VM",
            f"{elapsed_ms}, {busy_ms:.0f}",
            "ms",
        ),
    ]
