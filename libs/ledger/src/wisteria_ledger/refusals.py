"""Refusals of the ledger, each with the known run state of the request."""

from wisteria_core import Refusal, ResultCode, RunState

NOT_HELD = Refusal(
    ResultCode.OWNER_UNREACHABLE,
    "This VM does not decide for the key now. This attempt did not run; an earlier one may have.",
    RunState.NOT_RUN,
)
KEY_REUSED = Refusal(
    ResultCode.IDEMPOTENCY_KEY_REUSED,
    "The key belongs to a request with another body; this request did not run.",
    RunState.NOT_RUN,
)
OUTCOME_UNKNOWN = Refusal(
    ResultCode.OUTCOME_UNKNOWN,
    "Whether a request with this key ran is not known; this attempt adds no run. "
    "Find out before you send it under a new key.",
    RunState.UNKNOWN,
)
NOT_RETAINED = Refusal(
    ResultCode.ANSWER_NOT_RETAINED,
    "The request ran; its answer was not retained.",
    RunState.RAN,
)
LEDGER_FULL = Refusal(
    ResultCode.LEDGER_FULL,
    "Too many requests are remembered here; no request with this key has run.",
    RunState.NOT_RUN,
    retry_after_ms=1_000,
)
LEDGER_FULL_UNKNOWN = Refusal(
    ResultCode.LEDGER_FULL,
    "Whether a request with this key ran is not known, and no more can be remembered here.",
    RunState.UNKNOWN,
)
TIMESTAMP_IN_FUTURE = Refusal(
    ResultCode.BAD_REQUEST,
    "The key's time lies in the future, so this attempt did not run. "
    "Set the clock that makes the keys.",
    RunState.NOT_RUN,
)
