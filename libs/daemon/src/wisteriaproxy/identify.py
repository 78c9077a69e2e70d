"""Identifies callers by key or call token, or as the public account."""

import re
from collections.abc import Iterator
from itertools import islice
from urllib.parse import unquote_to_bytes

import attrs

from wisteria_config import PUBLIC_ACCOUNT, Document, Route
from wisteria_core import Refusal, ResultCode
from wisteria_wire import HttpRequest

from .calls import CallRegistry, RunningCall
from .headers import BEARER_PREFIX, HEADER_AUTHORIZATION, HEADER_CALL_TOKEN

MIN_KEY_CHARS = 8
MAX_KEY_CHARS = 512
# limits the scan for keys other than the presented one, at about 1 us for the digest of each word;
# the search for the presented key has no such limit
MAX_SCANNED_WORDS = 512
MAX_SCANNED_BODY_BYTES = 65_536
_WORD = re.compile(rb"[A-Za-z0-9_.~+/=:-]{%d,%d}" % (MIN_KEY_CHARS, MAX_KEY_CHARS))
_SEPARATORS = re.compile(rb"[/=:.~+]")

MISPLACED_KEY = Refusal(
    ResultCode.BAD_REQUEST, "a key may stand in the Authorization header and nowhere else"
)


@attrs.frozen(eq=False)
class Caller:
    """The client account that a call runs for.

    Parameters
    ----------
    key_id, key_digest : str
        Key of the request or, for a child call, of the request that started the chain; empty on
        open routes.
    parent : RunningCall or None
        Call that made this one; None if a client made it or the parent is not known for certain.
    is_internal : bool
        Whether an admitted call made this one, even if it is not known which.
    likely_parent : RunningCall or None
        Most likely parent of an internal call; accurate enough for ranking only.
    """

    account: str
    weight: int
    key_id: str = ""
    key_digest: str = ""
    parent: RunningCall | None = None
    is_internal: bool = False
    likely_parent: RunningCall | None = None


def identify_caller(
    document: Document, registry: CallRegistry, route: Route, request: HttpRequest
) -> Caller | Refusal:
    """Return the caller that a request runs for, or a refusal.

    A child call runs for the account of its parent, even if it also carries a key.
    """
    for name in (HEADER_AUTHORIZATION, HEADER_CALL_TOKEN):
        if request.count_header(name) > 1:
            return Refusal(ResultCode.BAD_REQUEST, f"the header {name} occurs more than once")
    token = request.find_header(HEADER_CALL_TOKEN)
    if token is not None:
        return _identify_child(registry, route, token)
    caller = _identify_client(document, route, request)
    if isinstance(caller, Refusal):
        return caller
    return _refuse_misplaced_key(document, request) or caller


def _identify_child(registry: CallRegistry, route: Route, token: str) -> Caller | Refusal:
    parent = registry.find(token)
    if parent is None:
        return Refusal(ResultCode.BAD_CALL_TOKEN, "the call token belongs to no running call")
    head = parent.head
    if not route.open and not route.permits(head.account):
        return _forbid()
    return Caller(head.account, head.weight, head.key_id, head.key_digest, parent)


def _identify_client(document: Document, route: Route, request: HttpRequest) -> Caller | Refusal:
    authorization = request.find_header(HEADER_AUTHORIZATION)
    if route.open:
        return Caller(PUBLIC_ACCOUNT, document.public.weight)
    if authorization is None:
        return Refusal(ResultCode.KEY_MISSING, "the route needs a key: Authorization: Bearer <key>")
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return Refusal(ResultCode.KEY_MISSING, "the key must be given as Authorization: Bearer")
    record = document.find_key(authorization[len(BEARER_PREFIX) :].strip())
    if record is None:
        return Refusal(ResultCode.KEY_UNKNOWN, "the key is not known or has been withdrawn")
    account = document.find_account(record.account)
    if account is None:
        return Refusal(ResultCode.KEY_UNKNOWN, "the key belongs to no client account")
    if not route.permits(record.account):
        return _forbid()
    return Caller(record.account, account.weight, record.id, record.sha256)


def _forbid() -> Refusal:
    return Refusal(ResultCode.ROUTE_FORBIDDEN, "the client account may not use this route")


def _refuse_misplaced_key(document: Document, request: HttpRequest) -> Refusal | None:
    """Refuse a key in a place that is forwarded to the backend server."""
    texts = [
        value.encode("latin-1", "replace")
        for name, value in request.headers
        if name not in (HEADER_AUTHORIZATION, HEADER_CALL_TOKEN)
    ]
    target = request.target.encode("latin-1", "replace")
    texts += [target, request.body[:MAX_SCANNED_BODY_BYTES]]
    if b"%" in target:
        texts.append(unquote_to_bytes(target))
    presented = (request.find_header(HEADER_AUTHORIZATION) or "")[len(BEARER_PREFIX) :].strip()
    presented_bytes = presented.encode("latin-1", "replace")
    if presented_bytes and (
        presented_bytes in request.body or any(presented_bytes in text for text in texts)
    ):
        return MISPLACED_KEY
    words = islice((word for text in texts for word in _split_words(text)), MAX_SCANNED_WORDS)
    return MISPLACED_KEY if any(_is_key(document, word) for word in words) else None


def _split_words(text: bytes) -> Iterator[bytes]:
    """Yield words long enough for a key, and their separated parts."""
    for word in _WORD.findall(text):
        yield word
        if _SEPARATORS.search(word):
            yield from (part for part in _SEPARATORS.split(word) if len(part) >= MIN_KEY_CHARS)


def _is_key(document: Document, word: bytes) -> bool:
    return document.find_key(word.decode()) is not None
