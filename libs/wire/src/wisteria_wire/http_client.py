"""HTTP/1.1 client for the VM's backend server, with a bounded connection pool."""

import asyncio
import logging
import re
from collections import deque
from typing import cast

import anyio
import attrs
import httptools

from wisteria_core import Clock, Refusal, ResultCode, RunState

from .body import BodyStream
from .const import (
    DEFAULT_BACKEND_IDLE_TIMEOUT_MS,
    DEFAULT_CONNECT_TIMEOUT_MS,
    FRESH_CONNECTION_MAX_IDLE_MS,
    KEEP_ALIVE_MARGIN_MS,
    MAX_HEADER_BYTES,
    WINDOW_BYTES,
)
from .liveness import has_pending_error, set_tcp_timeouts

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset({204, 304})
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
    }
)


@attrs.define(eq=False)
class HttpResponse:
    """A response of the backend server whose body may still be arriving.

    Parameters
    ----------
    headers : tuple of str
        Alternating lower-case names and values, without hop-by-hop headers.
    length : int or None
        Content-Length of the body in bytes; None when the response has none.
    """

    status: int
    headers: tuple[str, ...]
    length: int | None
    body: BodyStream


def _ignore_consumed(_count: int) -> None:
    return None


def _make_refusal(code: ResultCode, reason: str, run_state: RunState) -> Refusal:
    return Refusal(code, reason, run_state)


CONNECT_FAILED = _make_refusal(
    ResultCode.BACKEND_SERVER_FAILED, "the backend server accepts no connection", RunState.NOT_RUN
)
CLOSED_BEFORE_RESPONSE = _make_refusal(
    ResultCode.BACKEND_SERVER_FAILED,
    "the backend server closed the connection before it answered",
    RunState.UNKNOWN,
)
RESPONSE_TRUNCATED = _make_refusal(
    ResultCode.ANSWER_TRUNCATED, "the answer was cut short", RunState.RAN
)


@attrs.define(eq=False)
class _PendingResponse:
    """The response head that a task is waiting for.

    It belongs to the request, not to the connection: the connection may already carry the
    next request when the waiting task runs.
    """

    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    answer: HttpResponse | Refusal | None = None


class HttpClientConnection(asyncio.Protocol):
    """A connection to the backend server; carries one request at a time."""

    def __init__(self, pool: "HttpClientPool") -> None:
        self.idle_since_ms = 0
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._pending: _PendingResponse | None = None
        self._body: BodyStream | None = None
        self._buffered_bytes = 0
        self._is_closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[str] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._overhead_bytes = 0
        self._length: int | None = None
        self._is_chunked = False
        self._is_complete = False
        self._was_closed_by_peer = False
        self.max_idle_ms = DEFAULT_BACKEND_IDLE_TIMEOUT_MS
        self.fresh_max_idle_ms = FRESH_CONNECTION_MAX_IDLE_MS

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and accepts another request."""
        return (
            not self._is_closed and self._transport is not None and not self._transport.is_closing()
        )

    def is_reusable(self, now_ms: int) -> bool:
        """Whether the backend server probably still holds the idle connection open."""
        return self.is_usable and now_ms - self.idle_since_ms <= self.max_idle_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP time-outs."""
        # uvloop's TLS transport is no subclass of asyncio.Transport
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_timeouts(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that no request is waiting for abort the connection."""
        if self._pending is None:
            self.abort()
            return
        body, body_bytes = self._body, self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            self.abort()
            return
        has_progressed = self._body is not body or self._body_bytes != body_bytes
        if has_progressed or self._is_complete:
            self._overhead_bytes = 0
        else:
            self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_HEADER_BYTES:
            # the parser holds an unfinished header line, and skips interim responses and chunk
            # extensions without a callback that could count them
            _LOGGER.info("response_overhead_exceeded", extra={"bytes": self._overhead_bytes})
            self.abort()

    def eof_received(self) -> bool:
        """Record whether the backend server closed the connection in an orderly way."""
        assert self._transport is not None
        self._was_closed_by_peer = not has_pending_error(self._transport)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress."""
        self._is_closed = True
        self._pool.forget(self)
        if self._body is not None and self._is_close_delimited and self._was_closed_by_peer:
            self._body.finish()
        elif self._body is not None:
            self._body.fail(RESPONSE_TRUNCATED)
        elif self._pending is not None:
            self._settle(CLOSED_BEFORE_RESPONSE)

    async def send(self, data: bytes) -> HttpResponse | Refusal:
        """Send a request and return the head of its response."""
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._body = None
        self._is_complete = False
        self._overhead_bytes = 0
        pending = _PendingResponse()
        self._pending = pending
        self._transport.write(data)
        await pending.ready.wait()
        assert pending.answer is not None
        return pending.answer

    def abort(self) -> None:
        """Abort the connection, which cancels the request at the backend server."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new response; reject a second one for the same request."""
        if self._is_complete:
            raise ValueError("unexpected bytes after the response")
        self._headers = []
        self._header_bytes = 0
        self._length = None
        self._is_chunked = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("response headers exceed the size limit")
        key = name.decode("latin-1").lower()
        if key == "content-length":
            self._length = int(value)
            return
        if key == "transfer-encoding":
            self._is_chunked = True
        elif key == "keep-alive":
            self._apply_keep_alive(value.decode("latin-1"))
        if key not in _HOP_BY_HOP_HEADERS:
            self._headers += (key, value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Deliver the head to the waiting task, unless it is informational (1xx)."""
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS:
            return
        self._buffered_bytes = 0
        self._body = BodyStream(on_consumed=self._resume_reading)
        self._settle(HttpResponse(status, tuple(self._headers), self._length, self._body))

    def on_body(self, data: bytes) -> None:
        """Forward body bytes; pause reading while the reader lags behind."""
        if self._body is None:
            return
        self._body.feed(data)
        self._body_bytes += len(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > WINDOW_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the body and return the connection to the pool."""
        if self._body is None:
            return
        body, self._body = self._body, None
        self._is_complete = True
        body.finish()
        self._pending = None
        # the connection is the next request's from now on, whoever still reads this body
        body.on_consumed = _ignore_consumed
        if self._buffered_bytes > WINDOW_BYTES and self._transport is not None:
            self._transport.resume_reading()
        if not self._parser.should_keep_alive():
            self.close()
        self._pool.release(self)

    @property
    def _is_close_delimited(self) -> bool:
        """Whether the end of the response is marked by the end of the connection (RFC 9112)."""
        if not self._pool.allows_close_delimited:
            return False
        bodiless = self._parser.get_status_code() in _BODILESS_STATUSES
        return self._length is None and not self._is_chunked and not bodiless

    def _apply_keep_alive(self, text: str) -> None:
        """Stop reusing the connection shortly before the backend server's keep-alive time-out."""
        announced = _KEEP_ALIVE_TIMEOUT.search(text)
        if announced is not None:
            limit_ms = max(0, int(announced[1]) * _MS_PER_S - KEEP_ALIVE_MARGIN_MS)
            self.max_idle_ms = min(DEFAULT_BACKEND_IDLE_TIMEOUT_MS, limit_ms)
            self.fresh_max_idle_ms = self.max_idle_ms

    def _resume_reading(self, count: int) -> None:
        self._buffered_bytes -= count
        if self._buffered_bytes <= WINDOW_BYTES and self.is_usable and self._transport is not None:
            self._transport.resume_reading()

    def _settle(self, answer: HttpResponse | Refusal) -> None:
        if self._pending is None or self._pending.answer is not None:
            return
        self._pending.answer = answer
        self._pending.ready.set()


class HttpClientPool:
    """Bounded pool of connections to one backend server.

    Parameters
    ----------
    host, port
        Address on which the backend server listens.
    max_connections : int
        Maximum of open connections; a request beyond it waits for a free one.
    clock : Clock
        Source of milliseconds.
    allows_close_delimited : bool
        Whether a response without a length is complete when the backend server closes the
        connection in an orderly way.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int,
        clock: Clock,
        allows_close_delimited: bool = False,
    ) -> None:
        self.allows_close_delimited = allows_close_delimited
        self._host = host
        self._port = port
        self._clock = clock
        self._permits = anyio.Semaphore(max_connections, max_value=max_connections)
        self._idle: deque[HttpClientConnection] = deque()
        self._busy: set[HttpClientConnection] = set()
        self._authority = f"{host}:{port}"

    @property
    def authority(self) -> str:
        """Host and port, as in the Host header field."""
        return self._authority

    async def send(self, data: bytes, fresh: bool = False) -> "HttpCall | Refusal":
        """Send an encoded request and return the call with the head of its response.

        Parameters
        ----------
        fresh : bool
            Do not reuse a connection that the backend server may be about to close, which would
            leave the outcome unknown: one that has been idle for long, unless the backend
            server announced a keep-alive time-out.
        """
        try:
            self._permits.acquire_nowait()
        except anyio.WouldBlock:
            await self._permits.acquire()
        connection = self._reuse_idle(fresh) or await self._connect()
        if connection is None:
            self._permits.release()
            return CONNECT_FAILED
        self._busy.add(connection)
        try:
            answer = await connection.send(data)
        except BaseException:
            connection.abort()
            raise
        if isinstance(answer, Refusal):
            return answer
        return HttpCall(connection, answer)

    def release(self, connection: HttpClientConnection) -> None:
        """Return a connection to the pool after a complete response."""
        self._release_permit(connection)
        if not connection.is_usable:
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def forget(self, connection: HttpClientConnection) -> None:
        self._release_permit(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close the idle connections, so that the next request opens one."""
        while self._idle:
            self._idle.popleft().close()

    async def async_unload(self) -> None:
        for connection in [*self._idle, *self._busy]:
            connection.close()
        self._idle.clear()

    def _release_permit(self, connection: HttpClientConnection) -> None:
        if connection in self._busy:
            self._busy.discard(connection)
            self._permits.release()

    def _reuse_idle(self, fresh: bool) -> HttpClientConnection | None:
        """Return a reusable connection, or None.

        The longest idle one is used first, so that no connection reaches its idle time-out
        while the pool is in use: a later burst would have to open it again.
        """
        now_ms = self._clock.now_ms()
        while self._idle and not self._idle[0].is_reusable(now_ms):
            self._idle.popleft().close()
        if not self._idle:
            return None
        if not fresh:
            return self._idle.popleft()
        newest = self._idle[-1]
        if newest.is_usable and now_ms - newest.idle_since_ms <= newest.fresh_max_idle_ms:
            return self._idle.pop()
        return None

    async def _connect(self) -> HttpClientConnection | None:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(DEFAULT_CONNECT_TIMEOUT_MS / _MS_PER_S):
                _, connection = await loop.create_connection(
                    lambda: HttpClientConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError):
            return None
        except BaseException:
            self._permits.release()
            raise
        return connection


@attrs.define(eq=False)
class HttpCall:
    """A request whose response head has arrived."""

    connection: HttpClientConnection
    answer: HttpResponse

    def cancel(self) -> None:
        """Abort the connection unless the response has ended."""
        if not self.answer.body.is_ended:
            self.connection.abort()


def encode_request(method: str, target: str, headers: tuple[str, ...], body: bytes) -> bytes:
    """Encode an HTTP/1.1 request.

    Parameters
    ----------
    headers : tuple of str
        Alternating names and values, without a Content-Length.
    """
    pairs = iter(headers)
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    lines.extend(f"{name}: {value}\r\n" for name, value in zip(pairs, pairs, strict=True))
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body
