"""How requests and answers are written on the wire, apart from what is decided about them."""

import secrets
from typing import Protocol

import attrs

from wisteria_config import Document, Route
from wisteria_core import Refusal, ResultCode, http_status
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
    """An answer of the daemon itself.

    Parameters
    ----------
    headers : tuple of str
        Names and values in turn, without length or connection headers.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


class CallerDialect(Protocol):
    """Reads requests of callers and writes the answers to them."""

    def read_request_id(self, request: HttpRequest) -> str:
        """Return the id by which logs and answers name the request."""

    def find_route(self, document: Document, request: HttpRequest) -> Route | None:
        """Return the route of the request, or None."""

    def identify(self, document: Document, route: Route, request: HttpRequest) -> Caller | Refusal:
        """Return for whom the request runs, or why it may not."""

    def read_deadline_ms(self, request: HttpRequest) -> int | Refusal | None:
        """Return how long the caller waits, in milliseconds; None when it does not say."""

    def read_idempotency_key(self, request: HttpRequest, route: Route) -> str | Refusal:
        """Return the key under which the request runs at most once; empty for none."""

    def make_request_headers(self, request: HttpRequest, caller: Caller) -> tuple[str, ...]:
        """Return the headers that go on to the backend server, names and values in turn."""

    def make_refusal(self, refusal: Refusal, request_id: str) -> RefusalAnswer:
        """Return the answer that tells a caller of a refusal."""

    def make_answer_headers(self, head: AnswerHead, request_id: str) -> tuple[str, ...]:
        """Return the headers of a backend server's answer as the caller gets them."""


class BackendDialect(Protocol):
    """Writes requests to the backend server and judges its answers."""

    def make_headers(self, call: RunningCall, authority: str, remaining_ms: int) -> tuple[str, ...]:
        """Return the headers of the request, names and values in turn."""

    def check_answer(self, call: RunningCall, answer: HttpResponse) -> Refusal | None:
        """Return why an answer is not the answer to the call, or does not count; else None."""

    def make_answer_headers(self, answer: HttpResponse) -> tuple[str, ...]:
        """Return the headers that go back to the caller, names and values in turn."""


@attrs.frozen
class NativeCallerDialect:
    """The daemon's own interface for callers, and for child calls by call token."""

    registry: CallRegistry

    def read_request_id(self, request: HttpRequest) -> str:
        """Return the caller's request id, or a new one when it gave none that is usable."""
        text = request.find_header(HEADER_REQUEST_ID) or ""
        if 0 < len(text) <= _MAX_REQUEST_ID_CHARS and text.isascii() and text.isprintable():
            return text
        return secrets.token_hex(_REQUEST_ID_BYTES)

    def find_route(self, document: Document, request: HttpRequest) -> Route | None:
        """Return the route of the request; HEAD is answered by the route of GET."""
        path = request.target.partition("?")[0]
        host = request.find_header("host") or ""
        method = "GET" if request.method == "HEAD" else request.method
        return document.match_route(request.method, path, host) or document.match_route(
            method, path, host
        )

    def identify(self, document: Document, route: Route, request: HttpRequest) -> Caller | Refusal:
        """Return the caller of a key, or the parent of a call token."""
        return identify_caller(document, self.registry, route, request)

    def read_deadline_ms(self, request: HttpRequest) -> int | Refusal | None:
        """Return the time that the caller asks for."""
        text = request.find_header(HEADER_DEADLINE_MS)
        if text is None:
            return None
        if not text.isascii() or not text.isdigit() or int(text) == 0:
            return Refusal(
                ResultCode.BAD_DEADLINE, f"{HEADER_DEADLINE_MS} is not a number of ms above 0"
            )
        return int(text)

    def read_idempotency_key(self, request: HttpRequest, route: Route) -> str | Refusal:
        """Return the Idempotency-Key, which a route that must not run twice requires."""
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
        """Return the caller's headers without its key and what only a daemon may set."""
        return filter_request_headers(request.headers)

    def make_refusal(self, refusal: Refusal, request_id: str) -> RefusalAnswer:
        """Return a problem document."""
        return RefusalAnswer(
            http_status(refusal.code),
            make_problem_headers(refusal, request_id),
            encode_problem(refusal, request_id),
        )

    def make_answer_headers(self, head: AnswerHead, request_id: str) -> tuple[str, ...]:
        """Return the backend server's headers with the daemon's own."""
        return make_answer_headers(head, request_id)


@attrs.frozen
class NativeBackendDialect:
    """The daemon's own interface towards backend servers."""

    def make_headers(self, call: RunningCall, authority: str, remaining_ms: int) -> tuple[str, ...]:
        """Return the call's headers with call token, account, priority, deadline and id."""
        head = call.head
        own = (
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
            return own + head.headers
        return (*own, HEADER_IDEMPOTENCY_KEY, head.idempotency_key, *head.headers)

    def check_answer(self, call: RunningCall, answer: HttpResponse) -> Refusal | None:
        """Take every answer: one connection carries one request at a time."""
        return None

    def make_answer_headers(self, answer: HttpResponse) -> tuple[str, ...]:
        """Return the headers without those that a daemon sets."""
        return filter_answer_headers(answer.headers)
