"""Numbered result codes and the refusal value that carries them."""

import enum

import attrs


class RunState(enum.Enum):
    """Whether a request reached a backend server."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Outcome of a call. The hundreds group the causes; numbers are never reused."""

    OK = 0

    # 1xx: the request itself
    BAD_REQUEST = 100
    HEADER_TOO_LARGE = 101
    BODY_TOO_LARGE = 102
    UNKNOWN_ROUTE = 103
    IDEMPOTENCY_KEY_REQUIRED = 104
    IDEMPOTENCY_KEY_REUSED = 105
    BAD_DEADLINE = 106
    BAD_CALL_TOKEN = 107
    RANGE_NOT_SATISFIABLE = 108

    # 2xx: keys and client accounts
    KEY_MISSING = 200
    KEY_UNKNOWN = 201
    KEY_WITHDRAWN = 202
    ROUTE_FORBIDDEN = 203
    RATE_EXCEEDED = 210
    RATE_UNAVAILABLE = 211

    # 3xx: overload
    QUEUE_FULL = 300
    DEADLINE_UNREACHABLE = 301
    DEADLINE_PASSED = 302
    SHED = 303
    RETRIES_EXHAUSTED = 304
    CANCELLED = 305

    # 4xx: at most once
    OUTCOME_UNKNOWN = 400
    OWNER_UNREACHABLE = 401
    ANSWER_NOT_RETAINED = 402
    LEDGER_FULL = 403

    # 5xx: backend servers and links
    NO_BACKEND_SERVER = 500
    BACKEND_SERVER_FAILED = 501
    BACKEND_SERVER_LEAVING = 502
    POISON_REQUEST = 503
    LINK_LOST = 504
    ANSWER_TRUNCATED = 505
    ANSWER_STALLED = 506

    # 6xx: the daemon itself
    NOT_READY = 600
    STOPPING = 601
    CONFIGURATION_INVALID = 602
    INTERNAL = 603


_HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.HEADER_TOO_LARGE: 431,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.IDEMPOTENCY_KEY_REQUIRED: 400,
    ResultCode.IDEMPOTENCY_KEY_REUSED: 422,
    ResultCode.BAD_DEADLINE: 400,
    ResultCode.BAD_CALL_TOKEN: 403,
    ResultCode.RANGE_NOT_SATISFIABLE: 416,
    ResultCode.KEY_MISSING: 401,
    ResultCode.KEY_UNKNOWN: 401,
    ResultCode.KEY_WITHDRAWN: 401,
    ResultCode.ROUTE_FORBIDDEN: 403,
    ResultCode.RATE_EXCEEDED: 429,
    ResultCode.RATE_UNAVAILABLE: 503,
    ResultCode.QUEUE_FULL: 503,
    ResultCode.DEADLINE_UNREACHABLE: 503,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.SHED: 503,
    ResultCode.RETRIES_EXHAUSTED: 503,
    ResultCode.CANCELLED: 499,
    ResultCode.OUTCOME_UNKNOWN: 409,
    ResultCode.OWNER_UNREACHABLE: 503,
    ResultCode.ANSWER_NOT_RETAINED: 409,
    ResultCode.LEDGER_FULL: 503,
    ResultCode.NO_BACKEND_SERVER: 503,
    ResultCode.BACKEND_SERVER_FAILED: 502,
    ResultCode.BACKEND_SERVER_LEAVING: 503,
    ResultCode.POISON_REQUEST: 422,
    ResultCode.LINK_LOST: 502,
    ResultCode.ANSWER_TRUNCATED: 502,
    ResultCode.ANSWER_STALLED: 504,
    ResultCode.NOT_READY: 503,
    ResultCode.STOPPING: 503,
    ResultCode.CONFIGURATION_INVALID: 500,
    ResultCode.INTERNAL: 500,
}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status that a caller sees with `code`."""
    return _HTTP_STATUS[code]


@attrs.frozen
class Refusal:
    """A call that ends without a backend server's answer.

    Parameters
    ----------
    code : ResultCode
        Numbered cause.
    reason : str
        One sentence for the caller; holds no secret.
    run_state : RunState
        ``NOT_RUN`` only when no byte can have reached a backend server.
    retry_after_ms : int or None
        When to come back, in milliseconds; None when waiting does not help.
    """

    code: ResultCode
    reason: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_ms: int | None = None
