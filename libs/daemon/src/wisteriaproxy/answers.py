"""Problem documents and headers of answers, and refusals in answer heads."""

import json

from wisteria_core import Refusal, http_status
from wisteria_wire import AnswerHead

from .headers import (
    HEADER_REQUEST_ID,
    HEADER_RESULT,
    HEADER_RETRIES,
    HEADER_RETRY_AFTER,
    HEADER_RUN_STATE,
    RUN_STATE_TEXTS,
)

PROBLEM_TYPE = "application/problem+json"
_MS_PER_S = 1_000


def encode_problem(refusal: Refusal, request_id: str) -> bytes:
    """Return the RFC 9457 problem document of a refusal."""
    code = refusal.code
    problem = {
        "type": f"urn:wisteriaproxy:result:{int(code)}",
        "title": code.name.lower().replace("_", " "),
        "status": http_status(code),
        "detail": refusal.reason,
        "code": int(code),
        "run": RUN_STATE_TEXTS[refusal.run_state],
        "request_id": request_id,
    }
    if refusal.retry_after_ms is not None:
        problem["retry_after_ms"] = refusal.retry_after_ms
    return json.dumps(problem, separators=(",", ":")).encode()


def make_problem_headers(refusal: Refusal, request_id: str) -> tuple[str, ...]:
    """Return the headers of a refusal, as alternating names and values."""
    headers = (
        "content-type",
        PROBLEM_TYPE,
        HEADER_REQUEST_ID,
        request_id,
        HEADER_RESULT,
        str(int(refusal.code)),
        HEADER_RUN_STATE,
        RUN_STATE_TEXTS[refusal.run_state],
    )
    if refusal.retry_after_ms is None:
        return headers
    seconds = -(-refusal.retry_after_ms // _MS_PER_S)
    return (*headers, HEADER_RETRY_AFTER, str(max(seconds, 1)))


def make_answer_headers(head: AnswerHead, request_id: str) -> tuple[str, ...]:
    """Return the headers of a backend server's answer as sent to the caller."""
    return (
        *head.headers,
        HEADER_REQUEST_ID,
        request_id,
        HEADER_RESULT,
        str(int(head.code)),
        HEADER_RUN_STATE,
        RUN_STATE_TEXTS[head.run_state],
        HEADER_RETRIES,
        str(head.spent),
    )


def refusal_to_head(refusal: Refusal, spent: int = 0) -> AnswerHead:
    """Return the answer head that transmits a refusal to another daemon."""
    return AnswerHead(
        status=http_status(refusal.code),
        code=refusal.code,
        run_state=refusal.run_state,
        reason=refusal.reason,
        retry_after_ms=refusal.retry_after_ms,
        spent=spent,
    )


def head_to_refusal(head: AnswerHead) -> Refusal:
    """Return the refusal that an answer head of another daemon transmits."""
    return Refusal(head.code, head.reason, head.run_state, head.retry_after_ms)
