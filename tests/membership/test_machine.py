"""Status changes of a VM, neighbour selection and gossip."""

import random

import pytest

from wisteria_core import VmId, VmList, VmState
from wisteria_membership import (
    Membership,
    MembershipConfig,
    NewsKind,
    Status,
    StatusChanged,
    describe,
)
from wisteria_membership.const import BURST_S
from wisteria_membership.rumours import GossipBuffer
from wisteria_membership.sizes import estimate_bytes

from .fleet import STEP_MS, Fleet, make_vm

CONFIG = MembershipConfig()
SILENCE_MS = (CONFIG.max_unanswered + 2) * CONFIG.interval_ms


def test_lower_version_of_the_list_is_counted_and_ignored() -> None:
    vms = tuple(make_vm(number) for number in range(3))
    machine = Membership(vms[0].vm_id, 1, 0)
    machine.update_list(0, VmList(5, vms))
    assert machine.update_list(10, VmList(4, vms[:1])) == []
    assert machine.status(vms[2].vm_id) is Status.LIVE
    assert machine.lists_ignored == 1
    assert describe(machine)["older_lists_ignored"] == 1


@pytest.mark.parametrize(
    ("is_linked", "expected"), [(True, Status.PAUSED), (False, Status.UNREACHABLE)]
)
def test_silent_process_is_paused_while_its_connection_stands(
    is_linked: bool, expected: Status
) -> None:
    fleet = Fleet.of_size(2)
    first, second = fleet.machines
    fleet.machines[first].note_link(0, second, is_linked)
    fleet.paused.add(second)
    fleet.run(SILENCE_MS)
    assert fleet.machines[first].status(second) is expected
    fleet.paused.clear()
    fleet.run(CONFIG.interval_ms)
    assert fleet.machines[first].status(second) is Status.PAUSED
    fleet.run(CONFIG.stall_hold_ms + 3 * CONFIG.interval_ms)
    assert fleet.machines[first].usable(second)


def test_own_stall_is_no_evidence_against_others() -> None:
    fleet = Fleet.of_size(3)
    first, *others = fleet.machines
    fleet.run(SILENCE_MS)
    fleet.paused.add(first)
    fleet.run(10 * SILENCE_MS)
    fleet.paused.clear()
    fleet.step()
    assert all(fleet.machines[first].usable(other) for other in others)


def test_failed_calls_make_a_vm_unusable_until_a_probe_is_answered() -> None:
    fleet = Fleet.of_size(40)
    first, machine = next(iter(fleet.machines.items()))
    stranger = next(v for v in fleet.machines if v != first and v not in machine.neighbours())
    for _ in range(CONFIG.call_failures):
        machine.note_call_outcome(fleet.now_ms, stranger, False)
    assert machine.status(stranger) is Status.UNREACHABLE
    fleet.run(2 * CONFIG.interval_ms)
    assert machine.usable(stranger)


def test_one_reporter_is_not_enough() -> None:
    fleet = Fleet.of_size(40)
    victim = VmId("vm-0007")
    machine = next(m for v, m in fleet.machines.items() if victim not in m.neighbours())
    reporters = [v for v in fleet.machines if v not in (victim, machine.vm_id)][:2]
    for count, reporter in enumerate(reporters, start=1):
        source = fleet.machines[reporter]
        source._outbox.announce(NewsKind.UNREACHABLE, victim, 1)
        fleet.now_ms += CONFIG.interval_ms
        source.tick(fleet.now_ms)
        news = [r.news for r in source._outbox.gossip._items.values()]
        machine._handle_news(fleet.now_ms, news[-1])
        expected = Status.UNREACHABLE if count == CONFIG.reporters else Status.LIVE
        assert machine.status(victim) is expected
    machine.tick(fleet.now_ms + CONFIG.report_validity_ms + STEP_MS)
    assert machine.usable(victim)


def test_new_process_ends_the_notice_of_the_old_one() -> None:
    fleet = Fleet.of_size(12)
    leaving_vm = VmId("vm-0005")
    fleet.run(SILENCE_MS)
    fleet.carry_out(leaving_vm, fleet.machines[leaving_vm].begin_leave(fleet.now_ms))
    fleet.run(SILENCE_MS)
    others = [m for v, m in fleet.machines.items() if v != leaving_vm]
    assert {m.status(leaving_vm) for m in others} == {Status.LEAVING}
    fleet.start(leaving_vm)
    fleet.run(2 * SILENCE_MS)
    assert {m.status(leaving_vm) for m in others} == {Status.LIVE}


def test_list_calls_a_vm_leaving_and_then_gone() -> None:
    fleet = Fleet.of_size(3)
    vms = list(fleet.vm_list)
    machine = fleet.machines[vms[0].vm_id]
    fleet.publish((*vms[:2], make_vm(2, state=VmState.LEAVING)))
    assert machine.status(vms[2].vm_id) is Status.LEAVING
    fleet.publish(tuple(vms[:2]))
    assert machine.status(vms[2].vm_id) is Status.GONE
    changes = [a for _, a in fleet.seen if isinstance(a, StatusChanged)]
    assert changes[-1].new is Status.GONE


def test_gossip_sends_the_newest_first_and_a_bounded_number_of_times() -> None:
    fleet = Fleet.of_size(4)
    source = next(iter(fleet.machines.values()))
    gossip = GossipBuffer(fleet_size=4)
    for number in range(3):
        source._outbox.announce(NewsKind.UNREACHABLE, VmId(f"vm-{number}"), 1)
    for entry in source._outbox.gossip._items.values():
        gossip.add(entry.news)
    first = gossip.select(100)
    assert [news.subject for news in first] == ["vm-2", "vm-1"]
    sent = [news for _ in range(50) for news in gossip.select(10_000)]
    assert len(sent) + len(first) == 3 * gossip.max_transmissions()


def test_in_degree_is_small_whatever_the_size() -> None:
    for size in (12, 60, 240):
        fleet = Fleet.of_size(size)
        chosen = [v for m in fleet.machines.values() for v in m.neighbours()]
        assert max(chosen.count(v) for v in fleet.machines) <= 12
        assert all(len(set(m.neighbours())) <= 6 for m in fleet.machines.values())


def test_change_of_the_list_moves_few_neighbours() -> None:
    fleet = Fleet.of_size(60)
    before = {v: set(m.neighbours()) for v, m in fleet.machines.items()}
    removed = random.Random(1).choice(sorted(fleet.machines))
    fleet.machines.pop(removed)
    fleet.publish(tuple(vm for vm in fleet.vm_list if vm.vm_id != removed))
    moved = [v for v, m in fleet.machines.items() if set(m.neighbours()) != before[v]]
    assert len(moved) <= 24


def test_news_of_a_leaving_vm_stays_within_the_budget_whatever_the_size() -> None:
    for size in (60, 240):
        fleet = Fleet.of_size(size)
        fleet.run(8_000)
        fleet.sent.clear()
        for number in range(0, size, 20):
            leaving_vm = VmId(f"vm-{number:04}")
            fleet.carry_out(leaving_vm, fleet.machines[leaving_vm].begin_leave(fleet.now_ms))
        fleet.run(8_000)
        sent = [sum(estimate_bytes(message) for _, message in item) for item in fleet.sent.values()]
        assert max(sent) <= CONFIG.bytes_per_s * (8 + BURST_S)


def test_silent_vm_that_is_no_neighbour_any_more_is_probed() -> None:
    fleet = Fleet.of_size(12)
    machine = next(iter(fleet.machines.values()))
    silent = machine.neighbours()[0]
    fleet.paused.add(silent)
    fleet.run(SILENCE_MS)
    assert not machine.usable(silent)
    machine._neighbours = tuple(v for v in machine.neighbours() if v != silent)
    fleet.paused.clear()
    fleet.run(2 * CONFIG.interval_ms + CONFIG.stall_hold_ms)
    assert machine.usable(silent)
