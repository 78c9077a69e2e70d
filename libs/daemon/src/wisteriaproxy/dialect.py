"""Conventions for headers and refusals, towards callers and towards backend servers."""

import secrets
from typing import Protocol

import attrs

from wisteria_config import Document, Route
from wisteria_core import Refusal, ResultCode, http_status, parse_digits
from wisteria_wire import AnswerHead, HttpRequest, HttpResponse

from .answers import encode_problem, make_answer_headers, make_problem_headers
from .calls import CallRegistry, RunningCall
from .headers import (
    HEADER_ACCOUNT,
    HEADER_CALL_TOKEN,
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    PRIORITY_NAMES,
    filter_answer_headers,
    filter_request_headers,
)
from .identify import Caller, identify_caller

_REQUEST_ID_BYTES = 12
_MAX_REQUEST_ID_CHARS = 128
_MAX_IDEMPOTENCY_KEY_CHARS = 255


@attrs.frozen
class RefusalAnswer:
    """A refusal as the daemon sends it to a caller.

    Parameters
    ----------
    headers : tuple of str
        Alternating names and values, without length and connection headers.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


@attrs.frozen
class RateLimit:
    """Rate that a backend server takes, in calls per second; 0 or more."""

    per_s: float


@attrs.frozen
class Unlimited:
    """An answer that names no rate limit."""


@attrs.frozen
class UnreadableLimit:
    """An answer whose rate limit can't be read, so that the last one stays in force."""

    text: str


UNLIMITED = Unlimited()


@attrs.frozen
class BackendNotice:
    """What a backend server's answer says about the server itself.

    Parameters
    ----------
    is_leaving : bool
        Whether the server is about to stop and must get no new calls.
    rate_limit : RateLimit, Unlimited or UnreadableLimit
        Calls per second that the server takes from all callers together, as far as it says so.
    """

    is_leaving: bool = False
    rate_limit: RateLimit | Unlimited | UnreadableLimit = UNLIMITED


class CallerDialect(Protocol):
    """Interprets requests of callers and formats the answers to them."""

    def read_request_id(self, request: HttpRequest) -> str:
        """Return the id that identifies the request in logs and answers."""

    def find_route(self, document: Document, request: HttpRequest) -> Route | None:
        """Return the route of the request, or None."""

    def identify(self, document: Document, route: Route, request: HttpRequest) -> Caller | Refusal:
        """Return the client account that the request runs for, or a refusal."""

    def read_deadline_ms(self, request: HttpRequest) -> int | Refusal | None:
        """Return the time limit that the request states, in milliseconds, or None."""

    def read_idempotency_key(self, request: HttpRequest, route: Route) -> str | Refusal:
        """Return the key under which the request runs at most once; empty for none."""

    def make_request_headers(self, request: HttpRequest, caller: Caller) -> tuple[str, ...]:
        """Return the headers for the backend server, as alternating names and values."""

    def make_refusal(self, refusal: Refusal, request_id: str) -> RefusalAnswer:
        """Return the answer for a refused request."""

    def make_answer_headers(self, head: AnswerHead, request_id: str) -> tuple[str, ...]:
        """Return the headers of a backend server's answer as sent to the caller."""


class BackendDialect(Protocol):
    """Formats requests to the backend server and validates its answers."""

    def make_headers(self, call: RunningCall, authority: str, remaining_ms: int) -> tuple[str, ...]:
        """Return the headers of the request, as alternating names and values."""

    def check_answer(self, call: RunningCall, answer: HttpResponse) -> Refusal | None:
        """Return a refusal if the answer is invalid or belongs to another call, else None."""

    def read_notice(self, call: RunningCall, answer: HttpResponse) -> BackendNotice | None:
        """Return what the answer says about its server; None if another one may have sent it."""

    def read_cold_ms(self, answer: HttpResponse, instance: str) -> int | None:
        """Return how long the server stays cold, as its health endpoint says; None if unknown.

        Parameters
        ----------
        instance : str
            Process that is asked; empty if it is not known.
        """

    def make_answer_headers(self, answer: HttpResponse) -> tuple[str, ...]:
        """Return the headers for the caller, as alternating names and values."""


@attrs.frozen
class NativeCallerDialect:
    """The native HTTP interface for callers, and for child calls that carry a call token."""

    registry: CallRegistry

    def read_request_id(self, request: HttpRequest) -> str:
        """Return the caller's request id, or a new one if it is missing or invalid."""
        text = request.find_header(HEADER_REQUEST_ID) or ""
        if 0 < len(text) <= _MAX_REQUEST_ID_CHARS and text.isascii() and text.isprintable():
            return text
        return secrets.token_hex(_REQUEST_ID_BYTES)

    def find_route(self, document: Document, request: HttpRequest) -> Route | None:
        """Return the route of the request; a HEAD request may use a route for GET."""
        path = request.target.partition("?")[0]
        host = request.find_header("host") or ""
        method = "GET" if request.method == "HEAD" else request.method
        return document.match_route(request.method, path, host) or document.match_route(
            method, path, host
        )

    def identify(self, document: Document, route: Route, request: HttpRequest) -> Caller | Refusal:
        """Return the caller that the key or the call token stands for, or a refusal."""
        return identify_caller(document, self.registry, route, request)

    def read_deadline_ms(self, request: HttpRequest) -> int | Refusal | None:
        """Return the value of the deadline header."""
        text = request.find_header(HEADER_DEADLINE_MS)
        if text is None:
            return None
        found = parse_digits(text)
        if not found:
            return Refusal(
                ResultCode.BAD_DEADLINE, f"{HEADER_DEADLINE_MS} is not a number of ms above 0"
            )
        return found

    def read_idempotency_key(self, request: HttpRequest, route: Route) -> str | Refusal:
        """Return the Idempotency-Key, which is required on a route that is not repeatable."""
        if request.count_header(HEADER_IDEMPOTENCY_KEY) > 1:
            return Refusal(ResultCode.BAD_REQUEST, "Idempotency-Key occurs more than once")
        key = request.find_header(HEADER_IDEMPOTENCY_KEY) or ""
        if len(key) > _MAX_IDEMPOTENCY_KEY_CHARS:
            return Refusal(
                ResultCode.BAD_REQUEST,
                f"Idempotency-Key is longer than {_MAX_IDEMPOTENCY_KEY_CHARS} characters",
            )
        if not key and not route.repeatable:
            return Refusal(
                ResultCode.IDEMPOTENCY_KEY_REQUIRED,
                "the route must not run twice: send an Idempotency-Key",
            )
        return key

    def make_request_headers(self, request: HttpRequest, caller: Caller) -> tuple[str, ...]:
        """Return the caller's headers without its key and without headers reserved for daemons."""
        return filter_request_headers(request.headers)

    def make_refusal(self, refusal: Refusal, request_id: str) -> RefusalAnswer:
        """Return the refusal as a problem document (RFC 9457)."""
        return RefusalAnswer(
            http_status(refusal.code),
            make_problem_headers(refusal, request_id),
            encode_problem(refusal, request_id),
        )

    def make_answer_headers(self, head: AnswerHead, request_id: str) -> tuple[str, ...]:
        """Return the backend server's headers together with those of the daemon."""
        return make_answer_headers(head, request_id)


@attrs.frozen
class NativeBackendDialect:
    """The native HTTP interface towards backend servers."""

    def make_headers(self, call: RunningCall, authority: str, remaining_ms: int) -> tuple[str, ...]:
        """Return the call's headers with call token, account, priority, deadline and request id."""
        head = call.head
        daemon_headers = (
            "host",
            authority,
            HEADER_CALL_TOKEN,
            call.token,
            HEADER_ACCOUNT,
            head.account,
            HEADER_PRIORITY,
            PRIORITY_NAMES[head.priority],
            HEADER_DEADLINE_MS,
            str(max(remaining_ms, 0)),
            HEADER_REQUEST_ID,
            head.request_id,
        )
        if not head.idempotency_key:
            return daemon_headers + head.headers
        return (*daemon_headers, HEADER_IDEMPOTENCY_KEY, head.idempotency_key, *head.headers)

    def check_answer(self, call: RunningCall, answer: HttpResponse) -> Refusal | None:
        """Accept every answer, because a connection carries one request at a time."""
        return None

    def read_notice(self, call: RunningCall, answer: HttpResponse) -> BackendNotice | None:
        """Return an empty notice: the health endpoint reports draining instead."""
        return BackendNotice()

    def read_cold_ms(self, answer: HttpResponse, instance: str) -> int | None:
        """Return None: the health endpoint does not say."""
        return None

    def make_answer_headers(self, answer: HttpResponse) -> tuple[str, ...]:
        """Return the headers without those reserved for daemons."""
        return filter_answer_headers(answer.headers)
