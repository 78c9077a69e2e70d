"""HTTP headers on the call path."""

from wisteria_core import Priority, RunState

# in requests of callers
HEADER_AUTHORIZATION = "authorization"
HEADER_IDEMPOTENCY_KEY = "idempotency-key"
HEADER_DEADLINE_MS = "wisteria-deadline-ms"
HEADER_REQUEST_ID = "wisteria-request-id"

# in requests to backend servers, which copy the call token to their child calls
HEADER_CALL_TOKEN = "wisteria-call"
HEADER_ACCOUNT = "wisteria-account"
HEADER_PRIORITY = "wisteria-priority"

# in answers to callers
HEADER_RESULT = "wisteria-result"
HEADER_RUN_STATE = "wisteria-run"
HEADER_RETRY_AFTER = "retry-after"
HEADER_RETRIES = "wisteria-retries"

RESERVED_PREFIX = "wisteria-"
BEARER_PREFIX = "bearer "

RUN_STATE_TEXTS = {
    RunState.RAN: "ran",
    RunState.NOT_RUN: "not-run",
    RunState.UNKNOWN: "unknown",
}

PRIORITY_NAMES = {priority: priority.name.lower() for priority in Priority}

_DROPPED_REQUEST_HEADERS = frozenset(
    {
        HEADER_AUTHORIZATION,
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def filter_request_headers(headers: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """Return the headers to forward to a backend server, as alternating names and values.

    The key, hop-by-hop headers and headers reserved for daemons are dropped.
    """
    kept: list[str] = []
    for name, value in headers:
        if name in _DROPPED_REQUEST_HEADERS or name.startswith(RESERVED_PREFIX):
            continue
        kept += (name, value)
    return tuple(kept)


def filter_answer_headers(headers: tuple[str, ...]) -> tuple[str, ...]:
    """Drop headers reserved for daemons."""
    kept: list[str] = []
    pairs = iter(headers)
    for name, value in zip(pairs, pairs, strict=True):
        if not name.startswith(RESERVED_PREFIX):
            kept += (name, value)
    return tuple(kept)


def find_header(headers: tuple[str, ...], name: str) -> str | None:
    """Search alternating names and values for a lower-case name."""
    for index in range(0, len(headers), 2):
        if headers[index] == name:
            return headers[index + 1]
    return None
