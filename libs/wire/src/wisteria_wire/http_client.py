"""HTTP/1.1 towards the backend server of the VM, over a bounded pool of connections."""

import asyncio
import re
from collections import deque
from typing import cast

import anyio
import attrs
import httptools

from wisteria_core import Clock, Refusal, ResultCode, RunState

from .body import BodyStream
from .const import (
    DEFAULT_CONNECT_TIMEOUT_MS,
    DEFAULT_IDLE_CONNECTION_MS,
    FRESH_CONNECTION_MS,
    KEEP_ALIVE_MARGIN_MS,
    MAX_HEADER_BYTES,
    WINDOW_BYTES,
)
from .liveness import bound_silence, has_pending_error

_MS_PER_S = 1_000
_INFORMATIONAL = 200
_BODILESS_STATUSES = frozenset({204, 304})
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)
_HOP_HEADERS = frozenset(
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
    """An answer of the backend server whose body may still arrive.

    Parameters
    ----------
    headers : tuple of str
        Names in lower case and values in turn, without hop-by-hop headers.
    length : int or None
        Declared length of the body in bytes; None when it is chunked.
    """

    status: int
    headers: tuple[str, ...]
    length: int | None
    body: BodyStream


def _fail(code: ResultCode, reason: str, run_state: RunState) -> Refusal:
    return Refusal(code, reason, run_state)


CONNECT_FAILED = _fail(
    ResultCode.BACKEND_SERVER_FAILED, "the backend server accepts no connection", RunState.NOT_RUN
)
CUT_BEFORE_ANSWER = _fail(
    ResultCode.BACKEND_SERVER_FAILED,
    "the backend server closed the connection before it answered",
    RunState.UNKNOWN,
)
CUT_IN_ANSWER = _fail(ResultCode.ANSWER_TRUNCATED, "the answer was cut short", RunState.RAN)


@attrs.define(eq=False)
class _Awaited:
    """The head of an answer that a task waits for.

    It belongs to the request, not to the connection: the connection may carry the next
    request before the task has run.
    """

    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    answer: HttpResponse | Refusal | None = None


class HttpClientConnection(asyncio.Protocol):
    """One connection to the backend server; carries one request at a time."""

    def __init__(self, pool: "HttpClientPool") -> None:
        self.idle_since_ms = 0
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._awaited: _Awaited | None = None
        self._body: BodyStream | None = None
        self._buffered = 0
        self._lost = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[str] = []
        self._header_bytes = 0
        self._length: int | None = None
        self._is_chunked = False
        self._is_complete = False
        self._was_closed_by_peer = False
        self.idle_limit_ms = DEFAULT_IDLE_CONNECTION_MS
        self.fresh_limit_ms = FRESH_CONNECTION_MS

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not self._lost and self._transport is not None and not self._transport.is_closing()

    def is_alive(self, now_ms: int) -> bool:
        """Return whether an idle connection can be expected to be open at the other end."""
        return self.is_usable and now_ms - self.idle_since_ms <= self.idle_limit_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take note of the connection."""
        # uvloop's TLS transport is no subclass of asyncio.Transport
        self._transport = cast(asyncio.Transport, transport)
        bound_silence(self._transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; bytes beyond the awaited answer end the connection."""
        if self._awaited is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            self.abort()

    def eof_received(self) -> bool:
        """Note that the backend server closed the connection in an orderly way."""
        assert self._transport is not None
        self._was_closed_by_peer = not has_pending_error(self._transport)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is under way."""
        self._lost = True
        self._pool.forget(self)
        if self._body is not None and self._ends_with_connection and self._was_closed_by_peer:
            self._body.finish()
        elif self._body is not None:
            self._body.fail(CUT_IN_ANSWER)
        elif self._awaited is not None:
            self._settle(CUT_BEFORE_ANSWER)

    async def send(self, data: bytes) -> HttpResponse | Refusal:
        """Send a request and return the head of its answer."""
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._body = None
        self._is_complete = False
        awaited = _Awaited()
        self._awaited = awaited
        self._transport.write(data)
        await awaited.ready.wait()
        assert awaited.answer is not None
        return awaited.answer

    def abort(self) -> None:
        """Cut the connection, which cancels the request at the backend server."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    # httptools

    def on_message_begin(self) -> None:
        """Start a new answer; a second one belongs to no request."""
        if self._is_complete:
            raise ValueError("bytes after the answer")
        self._headers = []
        self._header_bytes = 0
        self._length = None
        self._is_chunked = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the answer."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("headers too large")
        key = name.decode("latin-1").lower()
        if key == "content-length":
            self._length = int(value)
            return
        if key == "transfer-encoding":
            self._is_chunked = True
        elif key == "keep-alive":
            self._note_keep_alive(value.decode("latin-1"))
        if key not in _HOP_HEADERS:
            self._headers += (key, value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Hand the head over."""
        status = self._parser.get_status_code()
        if status < _INFORMATIONAL:
            return
        self._buffered = 0
        self._body = BodyStream(on_consumed=self._resume)
        self._settle(HttpResponse(status, tuple(self._headers), self._length, self._body))

    def on_body(self, data: bytes) -> None:
        """Pass body bytes on; stop reading when the reader is behind."""
        if self._body is None:
            return
        self._body.feed(data)
        self._buffered += len(data)
        if self._buffered > WINDOW_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the body and make the connection free again."""
        if self._body is None:
            return
        body, self._body = self._body, None
        self._is_complete = True
        body.finish()
        self._awaited = None
        if not self._parser.should_keep_alive():
            self.close()
        self._pool.release(self)

    @property
    def _ends_with_connection(self) -> bool:
        """Whether the answer states no length and may end with its connection."""
        if not self._pool.allows_close_delimited:
            return False
        bodiless = self._parser.get_status_code() in _BODILESS_STATUSES
        return self._length is None and not self._is_chunked and not bodiless

    def _note_keep_alive(self, text: str) -> None:
        """Use the connection a little shorter than the backend server keeps it open."""
        stated = _KEEP_ALIVE_TIMEOUT.search(text)
        if stated is not None:
            limit_ms = max(0, int(stated[1]) * _MS_PER_S - KEEP_ALIVE_MARGIN_MS)
            self.idle_limit_ms = min(DEFAULT_IDLE_CONNECTION_MS, limit_ms)
            self.fresh_limit_ms = self.idle_limit_ms

    def _resume(self, count: int) -> None:
        self._buffered -= count
        if self._buffered <= WINDOW_BYTES and self.is_usable and self._transport is not None:
            self._transport.resume_reading()

    def _settle(self, answer: HttpResponse | Refusal) -> None:
        if self._awaited is None or self._awaited.answer is not None:
            return
        self._awaited.answer = answer
        self._awaited.ready.set()


class HttpClientPool:
    """Connections to one backend server.

    Parameters
    ----------
    host, port
        Where the backend server listens.
    max_connections : int
        Bound on open connections; a request beyond it waits for a free one.
    clock : Clock
        Source of milliseconds.
    allows_close_delimited : bool
        Whether an answer without length is whole when its connection is closed in order.
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
        self._places = anyio.Semaphore(max_connections, max_value=max_connections)
        self._idle: deque[HttpClientConnection] = deque()
        self._busy: set[HttpClientConnection] = set()
        self._authority = f"{host}:{port}"

    @property
    def authority(self) -> str:
        """Host and port, as in the Host header."""
        return self._authority

    async def send(self, data: bytes, fresh: bool = False) -> "HttpCall | Refusal":
        """Send the bytes of a request and return the call with the head of its answer.

        Parameters
        ----------
        fresh : bool
            Use no connection that the backend server may be closing, which would leave the
            outcome unknown: one that has stood idle for long, unless it stated how long it
            keeps it open.
        """
        try:
            self._places.acquire_nowait()
        except anyio.WouldBlock:
            await self._places.acquire()
        connection = self._take_idle(fresh) or await self._connect()
        if connection is None:
            self._places.release()
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
        """Take back a connection whose answer is complete."""
        self._give_place_back(connection)
        if not connection.is_usable:
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def forget(self, connection: HttpClientConnection) -> None:
        """Drop a connection that is closed."""
        self._give_place_back(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    async def async_unload(self) -> None:
        """Close every connection."""
        for connection in [*self._idle, *self._busy]:
            connection.close()
        self._idle.clear()

    def _give_place_back(self, connection: HttpClientConnection) -> None:
        if connection in self._busy:
            self._busy.discard(connection)
            self._places.release()

    def _take_idle(self, fresh: bool) -> HttpClientConnection | None:
        """Return a connection that can be used, None when there is none.

        The one that has stood idle for longest goes first, so that none is closed for being
        idle while the pool is in use: a later burst would have to open it again.
        """
        now_ms = self._clock.now_ms()
        while self._idle and not self._idle[0].is_alive(now_ms):
            self._idle.popleft().close()
        if not self._idle:
            return None
        if not fresh:
            return self._idle.popleft()
        newest = self._idle[-1]
        if newest.is_usable and now_ms - newest.idle_since_ms <= newest.fresh_limit_ms:
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
            self._places.release()
            raise
        return connection


@attrs.define(eq=False)
class HttpCall:
    """A request whose answer has begun."""

    connection: HttpClientConnection
    answer: HttpResponse

    def cancel(self) -> None:
        """Cut the connection unless the answer has arrived whole."""
        if not self.answer.body.is_ended:
            self.connection.abort()


def encode_request(method: str, target: str, headers: tuple[str, ...], body: bytes) -> bytes:
    """Return the bytes of an HTTP/1.1 request.

    Parameters
    ----------
    headers : tuple of str
        Names and values in turn, without a length header.
    """
    pairs = iter(headers)
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    lines.extend(f"{name}: {value}\r\n" for name, value in zip(pairs, pairs, strict=True))
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body
