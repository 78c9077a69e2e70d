"""When a failed attempt is retried, and the content of the final refusal."""

from random import Random

import attrs
import pytest

from wisteria_core import Refusal, ResultCode, RunState, VmId
from wisteria_routing import (
    Attempt,
    GiveUp,
    Retry,
    RetryAllowance,
    RetryBudget,
    decide_retry,
)
from wisteria_routing.retries import MAX_MOVES

NOT_RUN = Refusal(ResultCode.QUEUE_FULL, "the queue is full", RunState.NOT_RUN, 70)
LEAVING = Refusal(ResultCode.BACKEND_SERVER_LEAVING, "it is evacuated", RunState.NOT_RUN)
LINK_DOWN = Refusal(ResultCode.LINK_LOST, "the VM can't be reached", RunState.NOT_RUN)
DAEMON_STOPPING = Refusal(ResultCode.STOPPING, "this daemon is stopping", RunState.NOT_RUN)
NO_CONNECTION = Refusal(ResultCode.BACKEND_SERVER_FAILED, "no connection", RunState.NOT_RUN)
UNKNOWN = Refusal(ResultCode.LINK_LOST, "the link was lost", RunState.UNKNOWN)
RAN = Refusal(ResultCode.BACKEND_SERVER_FAILED, "it answered 500", RunState.RAN)
ATTEMPT = Attempt(1, frozenset({VmId("vm-1")}), NOT_RUN, False, 1_000, alternatives=2)


def decide(attempt: Attempt, remaining: int = 2) -> Retry | GiveUp:
    return decide_retry(0, attempt, RetryAllowance(remaining), RetryBudget(), Random(1))


def give_up(attempt: Attempt, remaining: int = 2) -> Refusal:
    decision = decide(attempt, remaining)
    assert isinstance(decision, GiveUp)
    return decision.refusal


def test_work_that_has_not_run_goes_to_another_server() -> None:
    decision = decide(ATTEMPT)
    assert isinstance(decision, Retry)
    assert decision.exclude == {"vm-1"}


@pytest.mark.parametrize("failure", [UNKNOWN, RAN])
def test_only_repeatable_work_that_may_have_run_is_repeated(failure: Refusal) -> None:
    attempt = attrs.evolve(ATTEMPT, failure=failure)
    assert give_up(attempt).run_state is failure.run_state
    assert isinstance(decide(attrs.evolve(attempt, repeatable=True)), Retry)


def test_not_run_is_never_said_after_an_attempt_that_may_have_run() -> None:
    attempt = attrs.evolve(ATTEMPT, earlier=RunState.UNKNOWN)
    assert give_up(attempt).run_state is RunState.UNKNOWN
    exhausted = give_up(attrs.evolve(attempt, repeatable=True), remaining=0)
    assert exhausted.code is ResultCode.RETRIES_EXHAUSTED
    assert exhausted.run_state is RunState.UNKNOWN


@pytest.mark.parametrize(
    "code", [ResultCode.POISON_REQUEST, ResultCode.KEY_WITHDRAWN, ResultCode.RETRIES_EXHAUSTED]
)
def test_final_refusals_are_not_repeated(code: ResultCode) -> None:
    refusal = give_up(attrs.evolve(ATTEMPT, failure=Refusal(code, "final")))
    assert refusal.code is code


def test_a_final_answer_says_when_to_come_back() -> None:
    assert give_up(ATTEMPT, remaining=0).retry_after_ms == 70
    lost = attrs.evolve(ATTEMPT, failure=UNKNOWN)
    assert give_up(lost).retry_after_ms is not None


def test_no_retry_without_another_server_or_time() -> None:
    assert isinstance(decide(attrs.evolve(ATTEMPT, alternatives=0)), GiveUp)
    assert isinstance(decide(attrs.evolve(ATTEMPT, deadline_at_ms=0)), GiveUp)


def test_giving_up_costs_nothing_and_a_retry_one_of_each() -> None:
    allowance, budget = RetryAllowance(1), RetryBudget()
    decide_retry(0, attrs.evolve(ATTEMPT, alternatives=0), allowance, budget, Random(1))
    assert allowance.remaining == 1
    decide_retry(0, ATTEMPT, allowance, budget, Random(1))
    assert allowance.remaining == 0
    spent = sum(budget.spend() for _ in range(100))
    assert spent == budget.config.burst - 1


# guards against refusing calls of a long queue, and spending retries, because a server was emptied,
# and against failing the parents of child calls because a daemon nearby has been stopped or killed
@pytest.mark.parametrize("failure", [LEAVING, LINK_DOWN, DAEMON_STOPPING, NO_CONNECTION])
def test_a_call_that_no_server_has_received_moves_at_once_and_costs_nothing(
    failure: Refusal,
) -> None:
    allowance, budget = RetryAllowance(0), RetryBudget()
    attempt = attrs.evolve(ATTEMPT, failure=failure)
    before = attrs.asdict(budget)
    decision = decide_retry(0, attempt, allowance, budget, Random(1))
    assert decision == Retry(0, ATTEMPT.tried, is_move=True)
    assert attrs.asdict(budget) == before


def test_moves_are_bounded_and_a_call_that_may_have_run_never_moves() -> None:
    attempt = attrs.evolve(ATTEMPT, failure=LEAVING, moves=MAX_MOVES)
    assert give_up(attempt, remaining=0).code is ResultCode.RETRIES_EXHAUSTED
    unknown = attrs.evolve(LEAVING, run_state=RunState.UNKNOWN)
    assert isinstance(decide(attrs.evolve(ATTEMPT, failure=unknown)), GiveUp)
    ran_before = attrs.evolve(ATTEMPT, failure=LEAVING, earlier=RunState.UNKNOWN)
    assert isinstance(decide(ran_before), GiveUp)


def test_delays_are_jittered_and_bounded() -> None:
    random = Random(5)
    delays = set()
    for _ in range(200):
        attempt = attrs.evolve(ATTEMPT, number=9)
        decision = decide_retry(0, attempt, RetryAllowance(1), RetryBudget(), random)
        assert isinstance(decision, Retry)
        delays.add(decision.delay_ms)
    assert len(delays) > 50
    assert max(delays) <= 200
