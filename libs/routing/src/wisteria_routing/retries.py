"""Decides whether a failed attempt is retried on another backend server."""

from random import Random

import attrs

from wisteria_core import Refusal, ResultCode, RunState

from .allowance import RetryAllowance
from .budget import RetryBudget
from .config import RetryConfig
from .models import Attempt, GiveUp, Retry

_RETRIABLE = frozenset(
    {
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.SHED,
        ResultCode.NO_BACKEND_SERVER,
        ResultCode.BACKEND_SERVER_FAILED,
        ResultCode.BACKEND_SERVER_LEAVING,
        ResultCode.LINK_LOST,
        ResultCode.ANSWER_TRUNCATED,
        ResultCode.ANSWER_STALLED,
        ResultCode.NOT_READY,
        ResultCode.STOPPING,
        ResultCode.INTERNAL,
    }
)
_UNREACHED = frozenset(
    {
        ResultCode.BACKEND_SERVER_FAILED,
        ResultCode.BACKEND_SERVER_LEAVING,
        ResultCode.LINK_LOST,
        ResultCode.STOPPING,
    }
)
"""Codes which together with "not run" mean that the call has not been sent to a backend server."""
MAX_MOVES = 3
"""Attempts of a call that may end before a backend server has received it."""
_RETRY_AFTER_CODES = _RETRIABLE | {ResultCode.RETRIES_EXHAUSTED}


def merge_run_states(first: RunState, second: RunState) -> RunState:
    """Return the combined run state of two attempts: ran, else unknown, else not run."""
    for state in (RunState.RAN, RunState.UNKNOWN):
        if state in (first, second):
            return state
    return RunState.NOT_RUN


def decide_retry(
    now_ms: int,
    attempt: Attempt,
    allowance: RetryAllowance,
    budget: RetryBudget,
    random: Random,
    config: RetryConfig | None = None,
) -> Retry | GiveUp:
    """Decide whether a failed attempt is retried.

    A retry consumes one retry of `allowance` and one token of `budget`; giving up consumes none,
    and neither does moving a call that no backend server has received.

    Parameters
    ----------
    allowance : RetryAllowance
        Retry allowance of the request; the failed attempt must have been settled or written off.
    budget : RetryBudget
        Retry budget of the called service.
    random : Random
        Generator for the jitter of the delay.

    Returns
    -------
    Retry or GiveUp
        The run state of the final refusal covers all attempts.
    """
    config = config or RetryConfig()
    if not _is_retry_safe(attempt):
        return GiveUp(_refuse(attempt, attempt.failure.code, attempt.failure.reason, config))
    delay_ms = _delay_ms(attempt.number, random, config)
    if attempt.alternatives < 1 or now_ms + delay_ms >= attempt.deadline_at_ms:
        return GiveUp(_refuse(attempt, attempt.failure.code, attempt.failure.reason, config))
    if _is_move(attempt):
        return Retry(0, attempt.tried, is_move=True)
    if allowance.remaining < 1 or not budget.has_token(now_ms, attempt.priority):
        reason = f"no retry is left after: {attempt.failure.reason}"
        return GiveUp(_refuse(attempt, ResultCode.RETRIES_EXHAUSTED, reason, config))
    allowance.spend()
    budget.spend()
    return Retry(delay_ms, attempt.tried)


def _is_retry_safe(attempt: Attempt) -> bool:
    if attempt.failure.code not in _RETRIABLE:
        return False
    state = merge_run_states(attempt.earlier, attempt.failure.run_state)
    return attempt.repeatable or state is RunState.NOT_RUN


def _is_move(attempt: Attempt) -> bool:
    if attempt.moves >= MAX_MOVES or attempt.failure.run_state is not RunState.NOT_RUN:
        return False
    return attempt.failure.code in _UNREACHED


def _delay_ms(number: int, random: Random, config: RetryConfig) -> int:
    bound_ms = min(config.max_delay_ms, config.base_delay_ms << min(number - 1, 16))
    return random.randint(0, bound_ms)


def _refuse(attempt: Attempt, code: ResultCode, reason: str, config: RetryConfig) -> Refusal:
    retry_after_ms = attempt.failure.retry_after_ms
    if retry_after_ms is None and code in _RETRY_AFTER_CODES:
        retry_after_ms = config.retry_after_ms
    return attrs.evolve(
        attempt.failure,
        code=code,
        reason=reason,
        run_state=merge_run_states(attempt.earlier, attempt.failure.run_state),
        retry_after_ms=retry_after_ms,
    )
