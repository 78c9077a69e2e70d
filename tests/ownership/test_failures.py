"""Individually injected failures, and the known limit of the protocol."""

import random

import pytest

from wisteria_core import VmId
from wisteria_ownership import AuditEvent, HandOver, HandOverReply, OwnershipConfig, describe

from .fleet import CONFIG, SLOTS, Envelope, Fleet, Process, ViolationError

SLOT = SLOTS[0]
SETTLE_MS = CONFIG.wait_out_ms + 2 * CONFIG.recheck_ms


def start_fleet(count: int) -> Fleet:
    fleet = Fleet()
    fleet.add(range(count))
    fleet.run(SETTLE_MS)
    return fleet


def holder_of(fleet: Fleet) -> Process:
    (process,) = fleet.deciders(SLOT)
    return process


def begin_stop(fleet: Fleet, process: Process) -> None:
    fleet.carry_out(process, process.machine.begin_stop(process.clock_ms(fleet.now_ms)))


def step_until_sent(fleet: Fleet, kind: type) -> Envelope:
    """Step the fleet until a message of that type is in transit; remove and return it."""
    for _ in range(50):
        for envelope in fleet.envelopes:
            if isinstance(envelope.message, kind):
                fleet.envelopes.remove(envelope)
                return envelope
        batch, fleet.envelopes = fleet.envelopes, []
        for envelope in batch:
            fleet.deliver(envelope)
        if not fleet.envelopes:
            fleet.step(random.Random(0))
    raise AssertionError(f"no {kind.__name__} was sent")


def test_lost_answer_to_a_hand_over_is_repeated() -> None:
    fleet = start_fleet(3)
    old = holder_of(fleet)
    begin_stop(fleet, old)
    step_until_sent(fleet, HandOverReply)
    assert holder_of(fleet) is not old
    fleet.run(2_000)
    assert old.machine.is_drained
    assert holder_of(fleet).machine.node.counts[AuditEvent.LATE_HAND_OVER_REFUSED.value] == 0


def test_hand_over_of_an_earlier_process_is_refused() -> None:
    fleet = start_fleet(3)
    old = holder_of(fleet)
    begin_stop(fleet, old)
    envelope = step_until_sent(fleet, HandOver)
    fleet.kill(old.vm_id)
    fleet.start(old.vm_id, len(fleet.lists) - 1)
    fleet.run(SETTLE_MS)
    assert holder_of(fleet).vm_id == old.vm_id
    fleet.deliver(envelope)
    assert holder_of(fleet).vm_id == old.vm_id


def test_silent_holder_keeps_the_slot_while_it_is_listed() -> None:
    fleet = start_fleet(4)
    old = holder_of(fleet)
    fleet.partitioned = frozenset([old.vm_id])
    fleet.run(10 * SETTLE_MS)
    assert holder_of(fleet) is old


def test_frozen_holder_acts_on_nothing_until_it_has_read_the_list() -> None:
    fleet = start_fleet(3)
    old = holder_of(fleet)
    fleet.pause(old.vm_id)
    fleet.now_ms += CONFIG.longest_lease_ms + 2 * CONFIG.fence_ms
    fleet.resume(old.vm_id)
    assert fleet.deciders(SLOT) == []
    fleet.run(SETTLE_MS)
    assert old.machine.needs_list
    assert fleet.deciders(SLOT) == []
    clock_ms = old.clock_ms(fleet.now_ms)
    newest = fleet.lists[-1]
    sent_before_gap_ms = old.clock_ms(0)
    old.machine.update_list(clock_ms, newest, requested_at_ms=sent_before_gap_ms)
    assert old.machine.needs_list
    fleet.read_list(old.vm_id, newest.version)
    for process in fleet.running():
        fleet.read_list(process.vm_id, newest.version)
    fleet.run(SETTLE_MS)
    assert holder_of(fleet) is old


def test_single_vm_scope_waits_once_and_stops_without_a_successor() -> None:
    fleet = start_fleet(1)
    only = holder_of(fleet)
    begin_stop(fleet, only)
    assert only.machine.is_drained
    assert fleet.deciders(SLOT) == []


def test_cold_start_with_a_dead_vm_opens_once_the_list_drops_it() -> None:
    fleet = Fleet()
    fleet.add(range(4))
    fleet.kill(VmId("vm-1"))
    fleet.run(SETTLE_MS)
    assert fleet.deciders(SLOT) == []
    fleet.delist(VmId("vm-1"))
    for process in fleet.running():
        fleet.read_list(process.vm_id, len(fleet.lists) - 1)
    fleet.run(SETTLE_MS)
    assert len(fleet.deciders(SLOT)) == 1


def start_alone_on_a_stale_list() -> tuple[Fleet, Process]:
    """Restart a partitioned VM on a list older than the one its previous process used."""
    fleet = Fleet()
    fleet.add([0])
    fleet.run(SETTLE_MS)
    fleet.add([1, 2, 3, 4])
    for process in fleet.running():
        fleet.read_list(process.vm_id, 1)
    fleet.run(SETTLE_MS)
    assert any(p.vm_id != "vm-0" for slot in SLOTS[:3] for p in fleet.deciders(slot))
    fleet.partitioned = frozenset([VmId("vm-0")])
    fleet.kill(VmId("vm-0"))
    fleet.start(VmId("vm-0"), 0)
    return fleet, fleet.processes[VmId("vm-0")]


def test_known_limit_restart_onto_a_stale_list_that_names_nobody_else() -> None:
    fleet, _ = start_alone_on_a_stale_list()
    with pytest.raises(ViolationError):
        fleet.run(SETTLE_MS)


def test_version_heard_from_any_daemon_closes_the_known_limit() -> None:
    fleet, stale = start_alone_on_a_stale_list()
    stale.machine.note_list_version(stale.clock_ms(fleet.now_ms), 1)
    fleet.run(SETTLE_MS)
    assert stale.machine.held_slots() == ()


def test_description_names_phase_and_counts() -> None:
    fleet = start_fleet(3)
    described = describe(holder_of(fleet).machine)
    assert {"phase": "holding", "slot": str(SLOT), "term": 2} in described["slots"]
    assert described["counts"]["acquired"] >= 1


def test_bad_times_are_refused() -> None:
    with pytest.raises(ValueError, match="fence_ms must be above 0"):
        OwnershipConfig(fence_ms=0)
