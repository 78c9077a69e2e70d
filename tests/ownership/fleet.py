"""Simulated daemons on an unreliable network, with a check of the ownership invariant."""

import random
from collections.abc import Callable, Iterable

import attrs

from wisteria_core import FailureDomain, Vm, VmId, VmList, VmState
from wisteria_ownership import (
    Acquired,
    Action,
    Message,
    Ownership,
    OwnershipConfig,
    Released,
    ReleaseReason,
    Send,
    SlotFamily,
    SlotId,
    domain_scope,
    service_scope,
)

DOMAIN = FailureDomain("north-a")
SERVICES = ("yield", "refill")
CONFIG = OwnershipConfig(
    longest_lease_ms=2_000,
    drift_ppm=1_000,
    margin_ms=200,
    fence_ms=1_000,
    resend_ms=200,
    resend_max_ms=800,
    recheck_ms=1_500,
    settle_ms=300,
    stop_ms=2_000,
)
SLOTS = (
    SlotId(SlotFamily.RATE, "council", 0, domain_scope(DOMAIN)),
    SlotId(SlotFamily.RATE, "council", 1, domain_scope(DOMAIN)),
    SlotId(SlotFamily.RATE, "council", 2, domain_scope(DOMAIN)),
    SlotId(SlotFamily.LEDGER, "refill", 0, service_scope("refill")),
)
STEP_MS = 200
PPM = 1_000_000

Factory = Callable[[VmId, int, int, OwnershipConfig], Ownership]


class ViolationError(AssertionError):
    """The invariant of slot ownership is violated."""


@attrs.define
class Loan:
    """A lease given by a holder; ends when the slowest clock within the drift bound says so."""

    loan_id: int
    slot: SlotId
    ends_ms: float


@attrs.define(eq=False)
class Process:
    """One daemon: its state machine, its clock and the loans that it knows of."""

    vm_id: VmId
    incarnation: int
    offset_ms: int
    drift_ppm: int
    machine: Ownership
    list_version: int
    paused_at_ms: int | None = None
    known_loans: dict[SlotId, set[int]] = attrs.field(factory=dict)

    def clock_ms(self, now_ms: int) -> int:
        """Return the reading of this VM's own clock."""
        return self.offset_ms + now_ms * (PPM + self.drift_ppm) // PPM


@attrs.define
class Envelope:
    """A message in transit."""

    sender: VmId
    incarnation: int
    receiver: VmId
    message: Message


def make_vm(number: int, state: VmState = VmState.LIVE) -> Vm:
    """Return a VM whose service depends on its number."""
    service = SERVICES[number % len(SERVICES)]
    return Vm(VmId(f"vm-{number}"), "127.0.0.1", 7_000, 8_000, DOMAIN, service, state)


@attrs.define(eq=False)
class Fleet:
    """Simulation of the platform, the network and the processes on one global clock."""

    factory: Factory = Ownership
    config: OwnershipConfig = CONFIG
    now_ms: int = 0
    lists: list[VmList] = attrs.field(factory=list)
    processes: dict[VmId, Process] = attrs.field(factory=dict)
    read_versions: dict[VmId, int] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    vms: dict[VmId, Vm] = attrs.field(factory=dict)
    envelopes: list[Envelope] = attrs.field(factory=list)
    delayed: list[Envelope] = attrs.field(factory=list)
    partitioned: frozenset[VmId] = frozenset()
    loans: list[Loan] = attrs.field(factory=list)
    loan_count: int = 0
    transcript: list[str] = attrs.field(factory=list)
    observe: Callable[[VmId, Action], None] | None = None

    # --- platform

    def publish(self) -> None:
        """Publish a new version of the VM list."""
        self.lists.append(VmList(len(self.lists), tuple(self.vms.values())))

    def add(self, numbers: Iterable[int]) -> None:
        """Add VMs to the list and start their processes."""
        vms = [make_vm(number) for number in numbers]
        self.vms.update((vm.vm_id, vm) for vm in vms)
        self.publish()
        for vm in vms:
            self.start(vm.vm_id, len(self.lists) - 1)

    def delist(self, vm_id: VmId) -> None:
        """Remove a stopped VM from the list."""
        del self.vms[vm_id]
        self.publish()

    def mark_leaving(self, vm_id: VmId) -> None:
        """Publish a list that marks a VM as leaving."""
        self.vms[vm_id] = attrs.evolve(self.vms[vm_id], state=VmState.LEAVING)
        self.publish()

    # --- processes

    def start(self, vm_id: VmId, version: int) -> None:
        """Start a process on the given version of the list."""
        count = self.incarnations.get(vm_id, 0) + 1
        self.incarnations[vm_id] = count
        number = int(vm_id.removeprefix("vm-"))
        process = Process(
            vm_id=vm_id,
            incarnation=count,
            offset_ms=number * 1_000_003,
            drift_ppm=self.config.drift_ppm * (1 if number % 2 else -1),
            machine=None,  # type: ignore[arg-type]
            list_version=version,
        )
        clock_ms = process.clock_ms(self.now_ms)
        process.machine = self.factory(vm_id, count, clock_ms, self.config)
        self.processes[vm_id] = process
        self.carry_out(process, process.machine.set_wanted(clock_ms, SLOTS))
        self.read_list(vm_id, version)

    def read_list(self, vm_id: VmId, version: int) -> None:
        """Let a process read a list version, but none older than its last."""
        process = self.processes[vm_id]
        process.list_version = max(version, process.list_version)
        self.read_versions[vm_id] = process.list_version
        clock_ms = process.clock_ms(self.now_ms)
        vm_list = self.lists[process.list_version]
        self.carry_out(process, process.machine.update_list(clock_ms, vm_list))

    def kill(self, vm_id: VmId) -> None:
        """Kill a process."""
        del self.processes[vm_id]

    def pause(self, vm_id: VmId) -> None:
        """Suspend a process; its clock keeps running."""
        self.processes[vm_id].paused_at_ms = self.now_ms

    def resume(self, vm_id: VmId) -> None:
        """Resume a suspended process, which at first acts on outdated state."""
        self.processes[vm_id].paused_at_ms = None
        self.check()

    def running(self) -> list[Process]:
        """Return the processes that are not suspended."""
        return [p for p in self.processes.values() if p.paused_at_ms is None]

    # --- time and messages

    def step(self, rng: random.Random, loss: float = 0.0, delayed: float = 0.0) -> None:
        """Advance by one step: every process ticks, then messages arrive in any order."""
        self.now_ms += STEP_MS
        self.check()
        for process in self.running():
            self.carry_out(process, process.machine.tick(process.clock_ms(self.now_ms)))
        self.lend()
        batch, self.envelopes = self.envelopes, []
        if loss or delayed:
            rng.shuffle(batch)
        for envelope in batch:
            if rng.random() < delayed:
                self.delayed.append(envelope)
            if rng.random() >= loss:
                self.deliver(envelope)
        self.check()

    def run(self, duration_ms: int, rng: random.Random | None = None) -> None:
        """Advance the time on a network without faults."""
        for _ in range(duration_ms // STEP_MS):
            self.step(rng or random.Random(0))
            self.drain()

    def drain(self) -> None:
        """Deliver all messages in transit, and the replies to them."""
        for _ in range(20):
            batch, self.envelopes = self.envelopes, []
            for envelope in batch:
                self.deliver(envelope)

    def deliver_delayed(self, rng: random.Random, count: int) -> None:
        """Deliver some delayed messages of any age."""
        for _ in range(min(count, len(self.delayed))):
            self.deliver(self.delayed.pop(rng.randrange(len(self.delayed))))

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message unless a network partition separates sender and receiver."""
        process = self.processes.get(envelope.receiver)
        if process is None or (envelope.sender in self.partitioned) != (
            envelope.receiver in self.partitioned
        ):
            return
        if process.paused_at_ms is not None:
            self.delayed.append(envelope)
            return
        clock_ms = process.clock_ms(self.now_ms)
        actions = process.machine.handle(
            clock_ms, envelope.sender, envelope.incarnation, envelope.message
        )
        self.carry_out(process, actions)
        self.check()

    def carry_out(self, process: Process, actions: list[Action]) -> None:
        """Execute the actions that a state machine returned."""
        for action in actions:
            if self.observe is not None:
                self.observe(process.vm_id, action)
            match action:
                case Send(vm_id=receiver, message=message):
                    envelope = Envelope(process.vm_id, process.incarnation, receiver, message)
                    self.envelopes.append(envelope)
                case Acquired(slot=slot, payload=payload):
                    text = (payload or b"").decode()
                    process.known_loans[slot] = {int(word) for word in text.split()}
                case Released(slot=slot, reason=ReleaseReason.HAND_OVER):
                    known = process.known_loans.get(slot, set())
                    payload = " ".join(map(str, sorted(known))).encode()
                    clock_ms = process.clock_ms(self.now_ms)
                    machine = process.machine
                    self.carry_out(process, machine.supply_payload(clock_ms, slot, payload))

    # --- invariant

    def deciders(self, slot: SlotId) -> list[Process]:
        """Return the processes that would decide now, including suspended ones: they may resume."""
        return [
            process
            for process in self.processes.values()
            if process.machine.may_decide(process.clock_ms(self.now_ms), slot)
        ]

    def lend(self) -> None:
        """Let each running decider give a lease of the longest duration."""
        lease_ms = self.config.longest_lease_ms * PPM / (PPM - self.config.drift_ppm)
        for slot in SLOTS:
            for process in self.deciders(slot):
                if process.paused_at_ms is None:
                    self.loan_count += 1
                    self.loans.append(Loan(self.loan_count, slot, self.now_ms + lease_ms))
                    process.known_loans.setdefault(slot, set()).add(self.loan_count)

    def check(self) -> None:
        """Raise ViolationError if a slot has two deciders, or one that misses an unexpired loan."""
        self.loans = [loan for loan in self.loans if loan.ends_ms > self.now_ms]
        for slot in SLOTS:
            deciders = self.deciders(slot)
            if len(deciders) > 1:
                names = [process.vm_id for process in deciders]
                raise ViolationError(f"{slot} has the deciders {names} at {self.now_ms} ms")
            for process in deciders:
                known = process.known_loans.get(slot, set())
                unknown = {x.loan_id for x in self.loans if x.slot == slot} - known
                if unknown:
                    raise ViolationError(f"{process.vm_id} does not know of loans on {slot}")

    def end_faults(self) -> None:
        """End every fault: resume suspended processes, delist dead VMs, let all read the list."""
        self.partitioned = frozenset()
        for process in list(self.processes.values()):
            if process.paused_at_ms is not None:
                self.resume(process.vm_id)
        for vm_id in list(self.vms):
            if vm_id not in self.processes or self.processes[vm_id].machine.is_drained:
                self.delist(vm_id)
        for process in list(self.processes.values()):
            self.read_list(process.vm_id, len(self.lists) - 1)
