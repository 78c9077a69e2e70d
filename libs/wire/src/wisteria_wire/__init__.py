"""Framed, authenticated links between daemons and HTTP on the call path."""

from .body import BodyStream, collect_body
from .budget import UNBOUNDED_BYTES, ByteBudget
from .const import CALLER_BACKLOG, INLINE_BODY_BYTES, MAX_REQUEST_BODY_BYTES
from .http_client import CONNECT_FAILED, HttpCall, HttpClientPool, HttpResponse, encode_request
from .http_server import CallerLimits, HttpExchange, HttpRequest, HttpServerConnection
from .link import Link, LinkHandler
from .link_calls import PendingCall, ServedCall
from .models import AnswerHead, CallHead, Hello
from .pool import LinkPool
from .scope import CallScope
from .tls import PeerMaterial, make_caller_context

__all__ = [
    "CALLER_BACKLOG",
    "CONNECT_FAILED",
    "INLINE_BODY_BYTES",
    "MAX_REQUEST_BODY_BYTES",
    "UNBOUNDED_BYTES",
    "AnswerHead",
    "BodyStream",
    "ByteBudget",
    "CallHead",
    "CallScope",
    "CallerLimits",
    "Hello",
    "HttpCall",
    "HttpClientPool",
    "HttpExchange",
    "HttpRequest",
    "HttpResponse",
    "HttpServerConnection",
    "Link",
    "LinkHandler",
    "LinkPool",
    "PeerMaterial",
    "PendingCall",
    "ServedCall",
    "collect_body",
    "encode_request",
    "make_caller_context",
]
