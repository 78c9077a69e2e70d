"""Unit tests of the admission gate under overload."""

import math
from collections.abc import Callable

import pytest

from wisteria_admission import (
    AdmissionGate,
    ColdStartLimit,
    Dispatch,
    FixedLimiter,
    Outcome,
    Queued,
    Refuse,
    Ticket,
)
from wisteria_core import Priority, Refusal, ResultCode

TicketMaker = Callable[..., Ticket]
URGENT = Priority.URGENT


def make_full_gate(make_ticket: TicketMaker, slots: int = 10) -> AdmissionGate:
    """Return a gate whose unreserved slots and queue are filled by account "flood"."""
    gate = AdmissionGate(slots, limiter=FixedLimiter())
    for call in range(1_000, 1_000 + 8 * slots):
        gate.offer(0, make_ticket(call, "flood"))
    return gate


def test_urgent_takes_the_reserve_of_a_full_server(make_ticket: TicketMaker) -> None:
    gate = make_full_gate(make_ticket)
    assert gate.running() == 9
    assert gate.offer(1, make_ticket(1, priority=URGENT)).verdict == Dispatch(1)
    assert isinstance(gate.offer(1, make_ticket(2, priority=URGENT)).verdict, Queued)


def test_urgent_pushes_queued_ordinary_work_out_at_once(make_ticket: TicketMaker) -> None:
    gate = make_full_gate(make_ticket)
    assert gate.queued() == 40
    gate.offer(1, make_ticket(1, priority=URGENT))
    offer = gate.offer(1, make_ticket(2, priority=URGENT))
    assert isinstance(offer.verdict, Queued)
    (evicted,) = offer.evicted
    assert evicted.refusal.code is ResultCode.SHED
    assert evicted.refusal.retry_after_ms is not None
    assert gate.release(5, 1_000, Outcome.SUCCESS, 5) == [Dispatch(2)]


def test_a_flood_does_not_keep_a_neighbour_out(make_ticket: TicketMaker) -> None:
    gate = make_full_gate(make_ticket)
    offers = [gate.offer(1, make_ticket(call, "light")) for call in range(4)]
    assert all(isinstance(offer.verdict, Queued) for offer in offers)
    assert all(len(offer.evicted) == 1 for offer in offers)
    started = [
        action
        for call in range(1_000, 1_008)
        for action in gate.release(20, call, Outcome.SUCCESS, 20)
    ]
    light = [action for action in started if isinstance(action.call_id, int) and action.call_id < 4]
    assert len(light) == 4


def test_what_cannot_finish_in_time_is_refused_at_once(make_ticket: TicketMaker) -> None:
    gate = AdmissionGate(2, limiter=FixedLimiter())
    gate.offer(0, make_ticket(1))
    gate.release(100, 1, Outcome.SUCCESS, 100)
    gate.offer(100, make_ticket(2))
    gate.offer(100, make_ticket(3))
    verdict = gate.offer(100, make_ticket(4, deadline_at_ms=250)).verdict
    assert isinstance(verdict, Refusal)
    assert verdict.code is ResultCode.DEADLINE_UNREACHABLE
    assert verdict.retry_after_ms is not None


def test_queued_work_that_became_late_is_refused_before_its_deadline(
    make_ticket: TicketMaker,
) -> None:
    gate = AdmissionGate(2, limiter=FixedLimiter())
    gate.offer(0, make_ticket(1))
    assert isinstance(gate.offer(0, make_ticket(2, deadline_at_ms=100, cost_ms=40)).verdict, Queued)
    assert gate.tick(60) == []
    (action,) = gate.tick(90)
    assert isinstance(action, Refuse)
    assert action.refusal.code is ResultCode.DEADLINE_UNREACHABLE


def test_refusals_on_old_run_times_end_by_themselves(make_ticket: TicketMaker) -> None:
    gate = AdmissionGate(4, limiter=FixedLimiter())
    gate.offer(0, make_ticket(1, deadline_at_ms=60_000))
    gate.release(30_000, 1, Outcome.SUCCESS, 30_000)
    short = make_ticket(2, deadline_at_ms=31_000)
    assert isinstance(gate.offer(30_001, short).verdict, Refusal)
    later = make_ticket(3, deadline_at_ms=51_000)
    assert gate.offer(50_000, later).verdict == Dispatch(3)


def test_withdrawn_work_is_refused_and_its_place_taken(make_ticket: TicketMaker) -> None:
    gate = AdmissionGate(2, limiter=FixedLimiter())
    gate.offer(0, make_ticket(1))
    gate.offer(0, make_ticket(2, "gone"))
    gate.offer(0, make_ticket(3, "stays"))
    (action,) = gate.withdraw(5, lambda ticket: ticket.account == "gone")
    assert isinstance(action, Refuse)
    assert action.refusal.code is ResultCode.KEY_WITHDRAWN
    assert gate.release(9, 1, Outcome.SUCCESS, 9) == [Dispatch(3)]


def test_long_downloads_and_short_calls_leave_each_other_room(make_ticket: TicketMaker) -> None:
    gate = AdmissionGate(12, limiter=FixedLimiter())
    downloads = [gate.offer(0, make_ticket(call, is_long=True)).verdict for call in range(12)]
    assert sum(isinstance(verdict, Dispatch) for verdict in downloads) == gate.long_slots() == 3
    calls = [gate.offer(0, make_ticket(call)).verdict for call in range(100, 120)]
    assert sum(isinstance(verdict, Dispatch) for verdict in calls) == 8
    gate.release(1, 0, Outcome.SUCCESS, 1)
    assert gate.describe()["running_long"] == 3


def test_one_slot_serves_both_classes_in_turn(make_ticket: TicketMaker) -> None:
    gate = AdmissionGate(1, limiter=FixedLimiter())
    for call in range(4):
        gate.offer(0, make_ticket(call))
    for call in range(100, 104):
        gate.offer(0, make_ticket(call, is_long=True))
    order: list[object] = []
    running: object = 0
    for step in range(1, 7):
        (action,) = gate.release(step, running, Outcome.SUCCESS, 1)
        running = action.call_id
        order.append(running)
    assert order == [100, 1, 101, 2, 102, 3]


def test_a_deadline_passed_on_the_way_is_not_run(make_ticket: TicketMaker) -> None:
    verdict = AdmissionGate(4).offer(20, make_ticket(1, deadline_at_ms=20)).verdict
    assert isinstance(verdict, Refusal)
    assert verdict.code is ResultCode.DEADLINE_PASSED


@pytest.mark.parametrize("per_s", [1e305, 1e308, math.inf])
@pytest.mark.parametrize("is_named", [True, False])
def test_a_rate_limit_beyond_all_numbers_limits_nothing(
    make_ticket: TicketMaker, per_s: float, is_named: bool
) -> None:
    """Guards against a length of the queue that can't be computed, which stopped the gate."""
    gate = AdmissionGate(4, limiter=FixedLimiter())
    if is_named:
        gate.note_rate_limit(0, per_s)
    else:
        gate.cold_start.set_limit(0, ColdStartLimit(per_s, 20.0, 5_000))
    verdicts = [gate.offer(1_000, make_ticket(call)).verdict for call in range(20)]
    assert verdicts[:3] == [Dispatch(call) for call in range(3)]
    assert all(isinstance(verdict, Queued) for verdict in verdicts[3:16])
    assert gate.tick(1_050) == []
    assert gate.release(1_060, 0, Outcome.SUCCESS, 60) == [Dispatch(3)]
