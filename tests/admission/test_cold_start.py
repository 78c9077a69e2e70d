"""Calls to a cold backend server stay within its rate in every second; a warm one has no limit."""

import math
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_admission import (
    AdmissionGate,
    ColdStart,
    ColdStartLimit,
    Dispatch,
    FixedLimiter,
    Offer,
    Outcome,
    Queued,
    Ticket,
)
from wisteria_admission.cold_start import CHECK_INTERVAL_MS
from wisteria_core import Priority, Refusal, ResultCode

SECOND_MS = 1_000
COLD_MS = 3_000
LIMIT = ColdStartLimit(per_s=10.5, burst=4, duration_ms=COLD_MS)
SLOTS = 99


def make_cold_start() -> ColdStart:
    cold_start = ColdStart()
    cold_start.set_limit(0, LIMIT)
    return cold_start


def make_gate() -> AdmissionGate:
    """Return a gate whose slots are no bottleneck."""
    gate = AdmissionGate(SLOTS, limiter=FixedLimiter())
    gate.set_slots(0, SLOTS)
    gate.cold_start.set_limit(0, LIMIT)
    return gate


def make_ticket(number: int, now_ms: int, priority: Priority = Priority.NORMAL) -> Ticket:
    return Ticket(number, "account", 1, priority, 0, now_ms + 5_000)


def send_all(cold_start: ColdStart, now_ms: int) -> int:
    sent = 0
    while cold_start.has_token(now_ms):
        cold_start.take(now_ms)
        sent += 1
    return sent


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=200), st.integers(1, 30), st.integers(1, 10))
def test_no_second_of_a_cold_phase_holds_more_than_the_rate_and_the_burst(
    gaps_ms: list[int], per_s: int, burst: int
) -> None:
    cold_start = ColdStart()
    cold_start.set_limit(0, ColdStartLimit(per_s, burst, COLD_MS))
    now_ms, sent = 0, []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        sent += [now_ms] * send_all(cold_start, now_ms)
    for start_ms in sent:
        assert sum(start_ms <= one < start_ms + SECOND_MS for one in sent) <= per_s + burst


def test_servers_of_a_service_without_a_limit_are_never_cold() -> None:
    cold_start = ColdStart()
    assert not cold_start.is_cold(0)
    assert not cold_start.is_check_due(0)
    assert cold_start.per_s(0) is None
    cold_start.set_limit(0, LIMIT)
    cold_start.set_limit(1, None)
    assert not cold_start.is_cold(1)


# guards against full load on a server that has started together with its daemon
def test_a_server_counts_as_cold_until_something_tells_otherwise() -> None:
    cold_start = make_cold_start()
    assert cold_start.is_cold(1_000_000)
    cold_start.note_answer(1_000_000)
    assert cold_start.is_cold(1_000_000 + COLD_MS - 1)
    assert not cold_start.is_cold(1_000_000 + COLD_MS)


def test_later_answers_do_not_extend_the_phase() -> None:
    cold_start = make_cold_start()
    cold_start.note_answer(0)
    cold_start.note_answer(2_000)
    assert not cold_start.is_cold(COLD_MS)


def test_the_health_endpoint_goes_before_other_sources() -> None:
    cold_start = make_cold_start()
    cold_start.note_check(0)
    cold_start.note_stated(10, 0)
    assert not cold_start.is_cold(10)
    cold_start = make_cold_start()
    cold_start.note_check(0)
    cold_start.note_stated(10, 2_000)
    cold_start.note_listed(20, 500)
    cold_start.note_answer(30)
    assert cold_start.is_cold(2_009)
    assert not cold_start.is_cold(2_010)


def test_checks_are_due_only_while_the_end_is_not_stated_and_seldom() -> None:
    cold_start = make_cold_start()
    assert cold_start.is_check_due(0)
    cold_start.note_check(0)
    assert not cold_start.is_check_due(CHECK_INTERVAL_MS - 1)
    assert cold_start.is_check_due(CHECK_INTERVAL_MS)
    cold_start.note_stated(CHECK_INTERVAL_MS, 2_000)
    assert not cold_start.is_check_due(3 * CHECK_INTERVAL_MS)


# guards against full load on a new process, because a check of the one before it was answered late
def test_a_check_from_before_a_restart_says_nothing() -> None:
    cold_start = make_cold_start()
    cold_start.note_check(0)
    cold_start.note_restart()
    cold_start.note_stated(10, 0)
    assert cold_start.is_cold(10)


def test_a_new_process_is_cold_and_one_that_is_known_is_not_new() -> None:
    cold_start = make_cold_start()
    cold_start.note_instance("i-1")
    cold_start.note_answer(0)
    cold_start.note_instance("i-1")
    assert not cold_start.is_cold(COLD_MS)
    cold_start.note_instance("i-2")
    assert cold_start.is_cold(COLD_MS)
    cold_start.note_answer(COLD_MS)
    # a sender with an old list
    cold_start.note_instance("i-1")
    cold_start.note_instance("")
    assert not cold_start.is_cold(2 * COLD_MS)


def test_a_server_that_becomes_cold_while_it_runs_is_limited_again() -> None:
    cold_start = make_cold_start()
    cold_start.note_check(0)
    cold_start.note_stated(0, 0)
    cold_start.note_listed(5_000, 1_000)
    assert cold_start.is_cold(5_999)
    assert not cold_start.is_cold(6_000)


def test_a_time_of_the_list_may_shorten_a_phase_but_does_not_extend_it() -> None:
    cold_start = make_cold_start()
    cold_start.note_answer(0)
    cold_start.note_listed(100, 1_000)
    assert not cold_start.is_cold(1_100)
    cold_start = make_cold_start()
    cold_start.note_listed(0, 1_000)
    cold_start.note_listed(100, 9_000)
    assert not cold_start.is_cold(1_000)


def test_the_wait_is_bounded_by_the_end_of_the_phase() -> None:
    cold_start = make_cold_start()
    send_all(cold_start, 0)
    assert cold_start.wait_ms(0, 1_000) == math.inf or cold_start.wait_ms(0, 1_000) > COLD_MS
    cold_start.note_answer(0)
    assert cold_start.wait_ms(1_000, 1_000) == COLD_MS - 1_000
    assert cold_start.wait_ms(COLD_MS, 1_000) == 0


# guards against a second burst within a second, by a daemon that has just been started again
def test_a_daemon_that_has_started_sends_no_burst() -> None:
    assert send_all(make_cold_start(), 0) == 0


# guards against overloading a server that starts under load, which crashes it again and again
def test_the_gate_sends_a_cold_server_its_rate_and_a_warm_one_all() -> None:
    gate = make_gate()
    started: Counter[int] = Counter()
    for number, now_ms in enumerate(range(0, 6_000, 5)):
        verdict = gate.offer(now_ms, make_ticket(number, now_ms)).verdict
        if isinstance(verdict, Dispatch):
            started[now_ms // SECOND_MS] += 1
        actions = gate.tick(now_ms)
        started[now_ms // SECOND_MS] += sum(isinstance(one, Dispatch) for one in actions)
        for call in list(gate._short.running):
            gate.cold_start.note_answer(now_ms)
            gate.release(now_ms, call, Outcome.SUCCESS, 5)
    assert all(
        count <= LIMIT.per_s + LIMIT.burst for second, count in started.items() if second < 3
    )
    assert started[4] >= 150


def test_urgent_calls_take_the_tokens_of_a_cold_server_first() -> None:
    gate = make_gate()
    send_all(gate.cold_start, 0)
    queued = [gate.offer(1, make_ticket(n, 1)) for n in range(5)]
    assert any(isinstance(one.verdict, Queued) for one in queued)
    urgent: Offer = gate.offer(2, make_ticket(10, 2, Priority.URGENT))
    assert isinstance(urgent.verdict, Queued)
    first, *_ = [one for one in gate.tick(100) if isinstance(one, Dispatch)]
    assert first.call_id == 10


# guards against callers that use up their only retry while the server is still cold
def test_callers_are_told_to_return_when_the_server_is_warm() -> None:
    gate = make_gate()
    gate.cold_start.note_check(0)
    gate.cold_start.note_stated(0, 1_500)
    verdicts = [gate.offer(100, make_ticket(n, 100)).verdict for n in range(SLOTS)]
    advice = [one.retry_after_ms for one in verdicts if isinstance(one, Refusal)]
    assert advice
    assert all(after_ms is not None and 1_400 <= after_ms <= 1_500 for after_ms in advice)


def test_calls_beyond_a_short_queue_are_refused_at_once() -> None:
    gate = make_gate()
    send_all(gate.cold_start, 0)
    verdicts = [gate.offer(0, make_ticket(n, 0)).verdict for n in range(SLOTS)]
    refusals = [one for one in verdicts if isinstance(one, Refusal)]
    assert len(refusals) >= SLOTS - 4
    assert {one.code for one in refusals} <= {
        ResultCode.QUEUE_FULL,
        ResultCode.SHED,
        ResultCode.DEADLINE_UNREACHABLE,
    }
