"""Numbered result codes, and the refusals that carry them."""

import enum

import attrs


class RunState(enum.Enum):
    """Whether a backend server has run the request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Numbered outcome of a call, grouped by cause in hundreds; numbers are never reused."""

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

    # 4xx: at-most-once execution
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
    MEMORY_FULL = 604


@attrs.frozen
class ResultInfo:
    """What a result code means to a caller.

    Parameters
    ----------
    status : int
        HTTP status of the response to the caller.
    meaning : str
        One sentence for the reference page.
    """

    status: int
    meaning: str


RESULTS: dict[ResultCode, ResultInfo] = {
    ResultCode.OK: ResultInfo(200, "The backend server's answer, whatever its HTTP status."),
    ResultCode.BAD_REQUEST: ResultInfo(
        400, "The request breaks HTTP/1.1 or a rule of this interface."
    ),
    ResultCode.HEADER_TOO_LARGE: ResultInfo(431, "The head of the request is larger than allowed."),
    ResultCode.BODY_TOO_LARGE: ResultInfo(413, "The body of the request is larger than allowed."),
    ResultCode.UNKNOWN_ROUTE: ResultInfo(
        404, "No route of the configuration matches method and path."
    ),
    ResultCode.IDEMPOTENCY_KEY_REQUIRED: ResultInfo(
        400, "The route must not run twice and the request has no Idempotency-Key."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: ResultInfo(
        422, "The Idempotency-Key was used before with another request."
    ),
    ResultCode.BAD_DEADLINE: ResultInfo(
        400, "The deadline header is not a number of milliseconds above 0."
    ),
    ResultCode.BAD_CALL_TOKEN: ResultInfo(
        403, "The call token of the child call matches no running call."
    ),
    ResultCode.RANGE_NOT_SATISFIABLE: ResultInfo(
        416, "The requested range is outside the content."
    ),
    ResultCode.KEY_MISSING: ResultInfo(401, "The route needs a key and the request has none."),
    ResultCode.KEY_UNKNOWN: ResultInfo(401, "The key is not in the configuration, or no longer."),
    ResultCode.KEY_WITHDRAWN: ResultInfo(
        401, "The key was withdrawn while the request was queued or running."
    ),
    ResultCode.ROUTE_FORBIDDEN: ResultInfo(403, "The client account may not use the route."),
    ResultCode.RATE_EXCEEDED: ResultInfo(429, "The client account is over its rate and burst."),
    ResultCode.RATE_UNAVAILABLE: ResultInfo(
        503, "The VMs that hold the rest of the account's rate do not answer."
    ),
    ResultCode.QUEUE_FULL: ResultInfo(503, "The queue of the backend server is full."),
    ResultCode.DEADLINE_UNREACHABLE: ResultInfo(
        503, "The call cannot complete before its deadline."
    ),
    ResultCode.DEADLINE_PASSED: ResultInfo(504, "The deadline has passed."),
    ResultCode.SHED: ResultInfo(503, "Load of this rank is being shed."),
    ResultCode.RETRIES_EXHAUSTED: ResultInfo(
        503, "The retry allowance of the request or of the service is exhausted."
    ),
    ResultCode.CANCELLED: ResultInfo(
        499, "The caller has disconnected or the parent call has ended."
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultInfo(
        409, "An earlier attempt under the key may have run; it is not run again."
    ),
    ResultCode.OWNER_UNREACHABLE: ResultInfo(
        503, "The VM that owns the Idempotency-Key cannot be reached."
    ),
    ResultCode.ANSWER_NOT_RETAINED: ResultInfo(
        409, "The request ran, but its answer is no longer kept."
    ),
    ResultCode.LEDGER_FULL: ResultInfo(
        503, "The ledger has no room to record another request that must not run twice."
    ),
    ResultCode.NO_BACKEND_SERVER: ResultInfo(
        503, "No backend server of the service can take the call."
    ),
    ResultCode.BACKEND_SERVER_FAILED: ResultInfo(
        502, "The backend server refused the connection, cut it, or failed."
    ),
    ResultCode.BACKEND_SERVER_LEAVING: ResultInfo(503, "The backend server takes no new work."),
    ResultCode.POISON_REQUEST: ResultInfo(
        422, "Backend servers crashed whenever they ran this request."
    ),
    ResultCode.LINK_LOST: ResultInfo(502, "The link to the serving daemon was lost."),
    ResultCode.ANSWER_TRUNCATED: ResultInfo(502, "The answer was truncated."),
    ResultCode.ANSWER_STALLED: ResultInfo(504, "The answer stopped arriving."),
    ResultCode.NOT_READY: ResultInfo(
        503, "The daemon has no configuration or VM list in force yet."
    ),
    ResultCode.STOPPING: ResultInfo(503, "The daemon is stopping."),
    ResultCode.CONFIGURATION_INVALID: ResultInfo(500, "The configuration document is invalid."),
    ResultCode.INTERNAL: ResultInfo(500, "The daemon failed; its log says why."),
    ResultCode.MEMORY_FULL: ResultInfo(
        503, "The daemon holds as many bytes of other requests as its memory allows."
    ),
}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status with which `code` is reported to a caller."""
    return RESULTS[code].status


@attrs.frozen
class Refusal:
    """The end of a call that gets no answer from a backend server.

    Parameters
    ----------
    code : ResultCode
        Numbered cause.
    reason : str
        One sentence for the caller; must not contain secrets.
    run_state : RunState
        ``NOT_RUN`` only when no backend server can have run the request.
    retry_after_ms : int or None
        Time after which a retry may succeed, in milliseconds; None when waiting does not help.
    """

    code: ResultCode
    reason: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_ms: int | None = None
