"""Evacuations of failure domains: in force everywhere, whatever a daemon or the store forgets."""

import pytest

from wisteria_core import FailureDomain
from wisteriaproxy.mesh.const import RELAY_BLIND_MS, RELAY_BLIND_SPREAD_MS
from wisteriaproxy.mesh.entries import StorePosition
from wisteriaproxy.mesh.evacuations import EvacuationRecord
from wisteriaproxy.mesh.roster import RECOVERY_GRACE_MS

from .control_fleet import ControlFleet

SETTLE_MS = 5_000
SPREAD_MS = 1_000
"""Time within which every daemon must know of an evacuation."""
NORTH, SOUTH = FailureDomain("north"), FailureDomain("south")


def settle(size: int) -> ControlFleet:
    fleet = ControlFleet(size)
    fleet.run(SETTLE_MS)
    return fleet


def make_record() -> EvacuationRecord:
    record = EvacuationRecord()
    assert record.apply(0, StorePosition(1, 5), frozenset({NORTH}))
    return record


def test_a_record_that_was_never_read_is_not_known() -> None:
    record = EvacuationRecord()
    assert not record.is_known
    assert record.apply(0, StorePosition(1, 1), frozenset())
    assert record.is_known


def test_an_older_position_changes_nothing() -> None:
    record = make_record()
    assert not record.apply(1, StorePosition(1, 4), frozenset())
    assert record.in_force == {NORTH}


def test_an_evacuation_that_is_taken_back_ends_at_once() -> None:
    record = make_record()
    assert record.apply(1, StorePosition(1, 6), frozenset())
    assert record.in_force == frozenset()


def test_the_same_evacuations_at_a_later_position_are_no_news() -> None:
    record = make_record()
    assert not record.apply(1, StorePosition(1, 6), frozenset({NORTH}))


# guards against calls to an evacuated failure domain because a restored store has forgotten it
def test_an_evacuation_that_a_restored_store_lacks_stays_in_force_for_a_while() -> None:
    record = make_record()
    record.apply(100, StorePosition(2, 1), frozenset({SOUTH}))
    assert record.in_force == {NORTH, SOUTH}
    assert not record.expire(100 + RECOVERY_GRACE_MS - 1)
    assert record.in_force == {NORTH, SOUTH}
    assert record.expire(100 + RECOVERY_GRACE_MS)
    assert record.in_force == {SOUTH}


def test_an_evacuation_written_again_after_a_restore_ends_only_when_taken_back() -> None:
    record = make_record()
    record.apply(100, StorePosition(2, 1), frozenset())
    record.apply(200, StorePosition(2, 2), frozenset({NORTH}))
    assert not record.expire(100 + RECOVERY_GRACE_MS)
    record.apply(300, StorePosition(2, 3), frozenset())
    assert record.in_force == frozenset()


@pytest.mark.parametrize("size", [30, 195])
def test_an_evacuation_is_in_force_everywhere_within_a_second(size: int) -> None:
    fleet = settle(size)
    fleet.evacuate("d1")
    fleet.run(SPREAD_MS)
    assert fleet.count_heeding("d1") == size
    fleet.evacuate()
    fleet.run(SPREAD_MS)
    assert fleet.count_heeding() == size


def test_an_evacuation_costs_messages_in_proportion_to_the_fleet() -> None:
    fleet = settle(195)
    before = fleet.sent["Evacuations"]
    fleet.evacuate("d1")
    fleet.run(SPREAD_MS)
    assert fleet.sent["Evacuations"] - before <= 3 * 195


# guards against calls to an evacuated failure domain by a daemon that started after the evacuation
def test_a_daemon_that_starts_later_knows_of_the_evacuation() -> None:
    fleet = ControlFleet(30)
    fleet.evacuate("d1")
    fleet.run(SETTLE_MS)
    assert fleet.count_heeding("d1") == 30


def test_a_restore_of_an_older_copy_ends_no_evacuation_anywhere() -> None:
    fleet = settle(30)
    fleet.evacuate("d1")
    fleet.run(SPREAD_MS)
    fleet.restore_without_evacuations()
    fleet.run(SPREAD_MS)
    assert fleet.count_heeding("d1") == 30
    fleet.evacuate("d1")
    fleet.run(RECOVERY_GRACE_MS)
    assert fleet.count_heeding("d1") == 30


# guards against missing evacuations while the relays still run an earlier version
def test_daemons_read_the_store_themselves_while_relays_pass_on_no_evacuations() -> None:
    fleet = settle(30)
    older = set(fleet.relays())
    fleet = ControlFleet(30)
    for vm_id in older:
        fleet.daemons[vm_id].is_older = True
    fleet.run(SETTLE_MS)
    fleet.evacuate("d1")
    fleet.run(RELAY_BLIND_MS + RELAY_BLIND_SPREAD_MS + SPREAD_MS)
    assert fleet.count_heeding("d1") == 30 - len(older)
