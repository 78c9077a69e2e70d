"""Invariants: only the list sets GONE, statuses converge, sent bytes stay within the budget."""

from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from wisteria_core import VmId
from wisteria_membership import MembershipConfig, Status, StatusChanged
from wisteria_membership.const import BURST_S, MS_PER_S
from wisteria_membership.sizes import estimate_bytes

from .fleet import Fleet, make_vm

CONFIG = MembershipConfig()
WINDOW_MS = 10_000
CONVERGED_MS = 40_000

indexes = st.integers(min_value=0, max_value=1_000)


class MembershipFleet(RuleBasedStateMachine):
    """Applies message loss, partitions, pauses, restarts and leaves in fleets of several sizes."""

    @initialize(size=st.sampled_from([3, 9, 25]), seed=indexes)
    def start_fleet(self, size: int, seed: int) -> None:
        self.fleet = Fleet.of_size(size)
        self.fleet.rng.seed(seed)
        self.size = size

    def pick(self, number: int) -> VmId:
        return sorted(self.fleet.machines)[number % len(self.fleet.machines)]

    @rule(duration_ms=st.sampled_from([250, 1_000, 5_000]), loss=st.sampled_from([0.0, 0.2]))
    def pass_time(self, duration_ms: int, loss: float) -> None:
        self.fleet.loss = loss
        self.fleet.run(duration_ms)

    @rule(number=indexes)
    def pause(self, number: int) -> None:
        self.fleet.paused.add(self.pick(number))

    @rule()
    def resume_all(self) -> None:
        self.fleet.paused.clear()

    @rule(number=indexes)
    def restart(self, number: int) -> None:
        vm_id = self.pick(number)
        self.fleet.paused.discard(vm_id)
        self.fleet.start(vm_id)

    @rule(number=indexes, is_leaving=st.booleans())
    def leave(self, number: int, is_leaving: bool) -> None:
        vm_id = self.pick(number)
        if vm_id in self.fleet.paused:
            return
        machine = self.fleet.machines[vm_id]
        change = machine.begin_leave if is_leaving else machine.end_leave
        self.fleet.carry_out(vm_id, change(self.fleet.now_ms))

    @rule(number=indexes, count=st.integers(min_value=0, max_value=12))
    def partition_network(self, number: int, count: int) -> None:
        names = sorted(self.fleet.machines)
        self.fleet.partitioned = frozenset(names[number % len(names) :][:count])

    @rule(number=indexes, other=indexes, is_ok=st.booleans())
    def note_call(self, number: int, other: int, is_ok: bool) -> None:
        machine = self.fleet.machines[self.pick(number)]
        target = self.pick(other)
        actions = machine.note_call_outcome(self.fleet.now_ms, target, is_ok)
        self.fleet.carry_out(machine.vm_id, actions)

    @rule(number=indexes)
    def replace(self, number: int) -> None:
        """Replace a VM by a new one in the VM list."""
        gone = self.pick(number)
        self.fleet.paused.discard(gone)
        del self.fleet.machines[gone]
        kept = tuple(vm for vm in self.fleet.vm_list if vm.vm_id != gone)
        new = make_vm(self.size)
        self.size += 1
        self.fleet.publish((*kept, new))
        self.fleet.start(new.vm_id)

    @invariant()
    def only_the_list_says_gone(self) -> None:
        for machine_id in self.fleet.running():
            machine = self.fleet.machines[machine_id]
            for vm in self.fleet.vm_list:
                if machine.list_version == self.fleet.vm_list.version and vm.vm_id != machine_id:
                    assert machine.status(vm.vm_id) is not Status.GONE
        changes = [action for _, action in self.fleet.seen if isinstance(action, StatusChanged)]
        named = {vm.vm_id for vm in self.fleet.vm_list}
        assert all(c.vm_id not in named for c in changes if c.new is Status.GONE)
        self.fleet.seen.clear()

    @invariant()
    def bytes_stay_under_the_budget(self) -> None:
        since_ms = self.fleet.now_ms - WINDOW_MS
        bound = CONFIG.bytes_per_s * (WINDOW_MS // MS_PER_S + BURST_S)
        for vm_id, sent in self.fleet.sent.items():
            sent[:] = [item for item in sent if item[0] > since_ms]
            assert sum(estimate_bytes(message) for _, message in sent) <= bound, vm_id

    def teardown(self) -> None:
        """Check that all VMs agree on who is live and who is leaving once all faults have ended."""
        fleet = self.fleet
        fleet.paused.clear()
        fleet.partitioned = frozenset()
        fleet.loss = 0.0
        for vm_id in fleet.running():
            fleet.carry_out(vm_id, fleet.machines[vm_id].update_list(fleet.now_ms, fleet.vm_list))
        fleet.run(CONVERGED_MS)
        for machine in fleet.machines.values():
            for vm_id, other in fleet.machines.items():
                if vm_id != machine.vm_id:
                    expected = Status.LEAVING if other.is_leaving else Status.LIVE
                    assert machine.status(vm_id) is expected, (machine.vm_id, vm_id)


SETTINGS: dict[str, Any] = {
    "derandomize": True,
    "deadline": None,
    "database": None,
    "suppress_health_check": list(HealthCheck),
}
MembershipFleet.TestCase.settings = settings(max_examples=15, stateful_step_count=25, **SETTINGS)
TestMembershipFleet = MembershipFleet.TestCase
