"""Property test: at most one VM decides for a slot under faults of network, list and processes."""

import random
from typing import Any, ClassVar

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from wisteria_core import VmId, VmState
from wisteria_ownership import Ownership

from .fleet import CONFIG, SLOTS, STEP_MS, Factory, Fleet

MAX_VMS = 8
SETTINGS: dict[str, Any] = {
    "derandomize": True,
    "deadline": None,
    "database": None,
    "suppress_health_check": list(HealthCheck),
}
SETTLE_MS = 2 * CONFIG.wait_out_ms + CONFIG.recheck_ms + 4 * CONFIG.resend_max_ms

indexes = st.integers(min_value=0, max_value=1_000)
seeds = st.integers(min_value=0, max_value=2**32 - 1)


class FleetMachine(RuleBasedStateMachine):
    """Applies faults in any order; the fleet checks the invariant at every step."""

    factory: ClassVar[Factory] = Ownership

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(factory=type(self).factory)
        self.started = 0

    @initialize(count=st.integers(min_value=1, max_value=6), seed=seeds)
    def start_fleet(self, count: int, seed: int) -> None:
        self.fleet.add(range(count))
        self.started = count
        if seed % 2:
            self.fleet.run(SETTLE_MS)

    def pick(self, names: list[VmId], number: int) -> VmId | None:
        return sorted(names)[number % len(names)] if names else None

    @rule(steps=st.sampled_from([1, 3, 8, 20]), seed=seeds, loss=st.sampled_from([0, 0.1, 0.5]))
    def pass_time(self, steps: int, seed: int, loss: float) -> None:
        rng = random.Random(seed)
        for _ in range(steps):
            self.fleet.step(rng, loss=loss, delayed=0.2 if loss else 0.0)

    @rule(seed=seeds, steps=st.sampled_from([5, 20]))
    def pass_time_and_read_lists(self, seed: int, steps: int) -> None:
        for process in self.fleet.running():
            self.fleet.read_list(process.vm_id, len(self.fleet.lists) - 1)
        self.pass_time(steps, seed, 0)

    @rule(seed=seeds, count=st.integers(min_value=1, max_value=10))
    def deliver_delayed(self, seed: int, count: int) -> None:
        self.fleet.deliver_delayed(random.Random(seed), count)

    @rule(number=indexes, version=indexes)
    def read_list(self, number: int, version: int) -> None:
        vm_id = self.pick([p.vm_id for p in self.fleet.running()], number)
        if vm_id is not None:
            self.fleet.read_list(vm_id, version % len(self.fleet.lists))

    @precondition(lambda self: len(self.fleet.vms) < MAX_VMS)
    @rule()
    def join(self) -> None:
        self.fleet.add([self.started])
        self.started += 1

    @rule(number=indexes)
    def kill_any(self, number: int) -> None:
        vm_id = self.pick(list(self.fleet.processes), number)
        if vm_id is not None:
            self.fleet.kill(vm_id)

    @rule(slot=st.sampled_from(SLOTS))
    def kill_holder_and_delist(self, slot: Any) -> None:
        for process in self.fleet.deciders(slot):
            self.fleet.kill(process.vm_id)
            if process.vm_id in self.fleet.vms:
                self.fleet.delist(process.vm_id)

    @rule(number=indexes)
    def delist_stopped(self, number: int) -> None:
        stopped = [vm_id for vm_id in self.fleet.vms if self.is_stopped(vm_id)]
        vm_id = self.pick(stopped, number)
        if vm_id is not None:
            self.fleet.delist(vm_id)

    def is_stopped(self, vm_id: VmId) -> bool:
        """Return whether the process is dead or has been suspended for longer than the fence."""
        process = self.fleet.processes.get(vm_id)
        if process is None:
            return True
        paused_at_ms = process.paused_at_ms
        return (
            paused_at_ms is not None
            and self.fleet.now_ms - paused_at_ms > CONFIG.fence_ms + STEP_MS
        )

    @rule(number=indexes, version=indexes)
    def restart(self, number: int, version: int) -> None:
        """Restart a VM on a list no older than the one that its previous process used."""
        vm_id = self.pick(list(self.fleet.vms), number)
        if vm_id is None:
            return
        oldest = self.fleet.read_versions[vm_id]
        newest = len(self.fleet.lists) - 1
        self.fleet.processes.pop(vm_id, None)
        self.fleet.start(vm_id, oldest + version % (newest - oldest + 1))

    @rule(number=indexes)
    def pause(self, number: int) -> None:
        vm_id = self.pick([p.vm_id for p in self.fleet.running()], number)
        if vm_id is not None:
            self.fleet.pause(vm_id)

    @rule(slot=st.sampled_from(SLOTS))
    def pause_holder_past_lease_and_delist(self, slot: Any) -> None:
        for process in self.fleet.deciders(slot):
            if process.paused_at_ms is None and process.vm_id in self.fleet.vms:
                self.fleet.pause(process.vm_id)
                self.pass_time(20, 0, 0)
                self.fleet.delist(process.vm_id)

    @rule(number=indexes)
    def resume(self, number: int) -> None:
        paused = [p.vm_id for p in self.fleet.processes.values() if p.paused_at_ms is not None]
        vm_id = self.pick(paused, number)
        if vm_id is not None:
            self.fleet.resume(vm_id)

    @rule(number=indexes, is_announced=st.booleans())
    def leave(self, number: int, is_announced: bool) -> None:
        vm_id = self.pick([p.vm_id for p in self.fleet.running()], number)
        if vm_id is None:
            return
        if vm_id in self.fleet.vms and is_announced:
            self.fleet.mark_leaving(vm_id)
        process = self.fleet.processes[vm_id]
        clock_ms = process.clock_ms(self.fleet.now_ms)
        self.fleet.carry_out(process, process.machine.begin_stop(clock_ms))

    @rule(slot=st.sampled_from(SLOTS), seed=seeds)
    def stop_holder_past_first_successor(self, slot: Any, seed: int) -> None:
        """Hand the slot to a VM that does not rank first and that few VMs know as its holder."""
        for process in self.fleet.deciders(slot):
            if process.paused_at_ms is not None:
                continue
            others = [v for v in process.machine.node.roster.ranked(slot) if v != process.vm_id]
            clock_ms = process.clock_ms(self.fleet.now_ms)
            for vm_id in others[:1]:
                process.machine.note_reachable(clock_ms, vm_id, False)
            self.fleet.carry_out(process, process.machine.begin_stop(clock_ms))
            self.pass_time(5, seed, 0)
            if process.vm_id in self.fleet.vms and process.machine.is_drained:
                self.fleet.kill(process.vm_id)
                self.fleet.delist(process.vm_id)

    @rule(slot=st.sampled_from(SLOTS))
    def partition_holder(self, slot: Any) -> None:
        self.fleet.partitioned = frozenset(process.vm_id for process in self.fleet.deciders(slot))

    @rule(members=st.integers(min_value=0, max_value=2**MAX_VMS - 1))
    def partition_network(self, members: int) -> None:
        chosen = [v for i, v in enumerate(sorted(self.fleet.vms)) if members >> i & 1]
        self.fleet.partitioned = frozenset(chosen)

    @rule()
    def heal_partition(self) -> None:
        self.fleet.partitioned = frozenset()

    @rule(number=indexes, is_reachable=st.booleans(), other=indexes)
    def note_reachable(self, number: int, is_reachable: bool, other: int) -> None:
        vm_id = self.pick([p.vm_id for p in self.fleet.running()], number)
        peer = self.pick(list(self.fleet.vms), other)
        if vm_id is not None and peer is not None:
            process = self.fleet.processes[vm_id]
            clock_ms = process.clock_ms(self.fleet.now_ms)
            process.machine.note_reachable(clock_ms, peer, is_reachable)

    def teardown(self) -> None:
        """Check that every slot with a live VM has one holder after all faults have ended."""
        fleet = self.fleet
        fleet.end_faults()
        for process in fleet.processes.values():
            for vm_id in fleet.vms:
                clock_ms = process.clock_ms(fleet.now_ms)
                process.machine.note_reachable(clock_ms, vm_id, True)
        fleet.run(SETTLE_MS)
        for vm_id in list(fleet.vms):
            process_or_none = fleet.processes.get(vm_id)
            if process_or_none is None or process_or_none.machine.is_drained:
                fleet.delist(vm_id)
        for process in list(fleet.processes.values()):
            fleet.read_list(process.vm_id, len(fleet.lists) - 1)
        fleet.run(SETTLE_MS)
        live = [vm for vm in fleet.vms.values() if vm.state is VmState.LIVE]
        for slot in SLOTS:
            if any(slot.scope.includes(vm) for vm in live):
                assert len(fleet.deciders(slot)) == 1, f"{slot} has no holder"


FleetMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=40, **SETTINGS)
TestFleet = FleetMachine.TestCase
