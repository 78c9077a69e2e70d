"""HTTP/1.1 server for callers: parses requests and writes responses with backpressure."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import attrs
import httptools

from wisteria_core import ResultCode

from .budget import ByteBudget
from .const import (
    DEFAULT_CALLER_IDLE_TIMEOUT_MS,
    DEFAULT_REQUEST_TIMEOUT_MS,
    MAX_HEADER_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_REQUEST_BODY_BYTES,
)

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_LAST_CHUNK = b"0\r\n\r\n"
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.define(eq=False)
class HttpRequest:
    """A complete request of a caller.

    Parameters
    ----------
    method, target : str
        As received.
    headers : tuple of (str, str)
        Names in lower case, values as received.
    fault : ResultCode
        ``OK``, or why the request is rejected.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    keep_alive: bool
    exchange: "HttpExchange"
    fault: ResultCode = ResultCode.OK

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header with the lower-case `name`, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def count_header(self, name: str) -> int:
        """Return how often a header with the lower-case `name` occurs."""
        return sum(1 for key, _ in self.headers if key == name)


@attrs.define(eq=False)
class HttpExchange:
    """The response to one request.

    Parameters
    ----------
    held_bytes : int
        Bytes of the request's body that count towards the budget.
    """

    connection: "HttpServerConnection"
    keep_alive: bool
    is_head: bool = False
    started: bool = False
    on_cancel: Callable[[], None] | None = None
    is_cancelled: bool = False
    held_bytes: int = 0
    _chunked: bool = False
    _ended: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether the complete response has been written."""
        return self._ended

    def answer(self, status: int, headers: tuple[str, ...], body: bytes) -> None:
        """Send a complete response.

        Parameters
        ----------
        headers : tuple of str
            Alternating names and values, without length or connection headers.
        """
        framing = "" if status == HTTPStatus.NO_CONTENT else f"content-length: {len(body)}\r\n"
        head = self._encode_head(status, headers, framing)
        self.connection.write(head if self.is_head else head + body)
        self._complete()

    def start(self, status: int, headers: tuple[str, ...], length: int | None) -> None:
        """Send the head of a response whose body follows in parts."""
        self._chunked = length is None
        framing = (
            "transfer-encoding: chunked\r\n" if length is None else f"content-length: {length}\r\n"
        )
        self.connection.write(self._encode_head(status, headers, framing))

    async def send(self, data: bytes) -> bool:
        """Send a part of the body; False when the caller has disconnected."""
        if self.is_cancelled:
            return False
        if self.is_head:
            return True
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.connection.write(data)
        await self.connection.wait_writable()
        return not self.is_cancelled

    def finish(self) -> None:
        if self._chunked and not self.is_head:
            self.connection.write(_LAST_CHUNK)
        self._complete()

    def abort(self) -> None:
        """Abort the connection, so that the response can't appear complete."""
        self.connection.abort()

    def cancel(self) -> None:
        """Mark the exchange as cancelled because the caller has disconnected."""
        self.is_cancelled = True
        if self.on_cancel is not None:
            self.on_cancel()

    def _encode_head(self, status: int, headers: tuple[str, ...], framing: str) -> bytes:
        self.started = True
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}\r\n"]
        pairs = iter(headers)
        lines.extend(f"{name}: {value}\r\n" for name, value in zip(pairs, pairs, strict=True))
        lines.append(framing)
        if not self.keep_alive:
            lines.append("connection: close\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1", "replace")

    def _complete(self) -> None:
        if self._ended:
            return
        self._ended = True
        self.connection.finish_exchange(self)


RequestHandler = Callable[[HttpRequest], None]


@attrs.frozen
class CallerLimits:
    """Size limits and time-outs of a caller's connection.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    request_timeout_ms : int
        Time from the first byte of a request within which the last must arrive.
    idle_timeout_ms : int
        Time after which a connection without a request is closed.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_REQUEST_BODY_BYTES
    request_timeout_ms: int = DEFAULT_REQUEST_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_CALLER_IDLE_TIMEOUT_MS


DEFAULT_LIMITS = CallerLimits()


class HttpServerConnection(asyncio.Protocol):
    """A caller's connection; requests are answered in the order of their arrival."""

    def __init__(
        self,
        handler: RequestHandler,
        connections: set["HttpServerConnection"],
        read_limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
        budget: ByteBudget | None = None,
    ) -> None:
        self._budget = budget or ByteBudget()
        self._loop: asyncio.AbstractEventLoop
        self._read_limits = read_limits
        self._limits = read_limits()
        self._expires_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._handler = handler
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._current: HttpExchange | None = None
        self._pipelined: deque[HttpRequest] = deque()
        self._writable: asyncio.Event | None = None
        self._closing = False
        self._overhead_bytes = 0
        self._held_bytes = 0
        self._reset()

    # callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle time-out."""
        # uvloop's TLS transport is no subclass of asyncio.Transport
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._loop = asyncio.get_running_loop()
        self._set_timeout(self._limits.idle_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and drop the pipelined ones."""
        self._connections.discard(self)
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        for request in self._pipelined:
            self._release(request.exchange)
        self._pipelined.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._current is not None:
            self._current.cancel()
            self._release(self._current)
        self.resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading while too many requests are pipelined."""
        if self._closing:
            return
        headers, progress = self._headers, (self._received_bytes, self._headers_complete)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ResultCode.BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(
                self._fault if self._fault is not ResultCode.OK else ResultCode.BAD_REQUEST
            )
        else:
            is_same_request = self._headers is headers
            is_unchanged = progress == (self._received_bytes, self._headers_complete)
            has_stalled = is_same_request and is_unchanged
            self._bound_overhead(len(data) if has_stalled else 0)
        if len(self._pipelined) >= MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Block writers until the caller has read enough."""
        self._writable = asyncio.Event()

    def resume_writing(self) -> None:
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new request and its time-out."""
        self._reset()
        self._limits = self._read_limits()
        self._set_timeout(self._limits.request_timeout_ms)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; a trailer only counts towards the size limit."""
        self._count_header_bytes(len(name) + len(value))
        if self._headers_complete:
            return
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Send 100 Continue to a caller that expects it before it sends the body."""
        self._headers_complete = True
        self._reserve(self._read_declared_bytes())
        if any(name == "expect" for name, _ in self._headers) and self._current is None:
            self.write(_CONTINUE_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; skip it if there is no memory for the body."""
        self._received_bytes += len(data)
        if self._received_bytes > self._limits.body_bytes:
            self._fault = ResultCode.BODY_TOO_LARGE
            raise ValueError("request body exceeds the size limit")
        self._reserve(self._received_bytes)
        if self._fault is ResultCode.OK:
            self._body += data

    def on_message_complete(self) -> None:
        """Serve the request, or queue it until the one before it has been answered."""
        request = self._make_request(self._fault)
        self._expires_at = None
        if self._current is not None:
            self._pipelined.append(request)
            return
        self._serve(request)

    # called by HttpExchange

    def write(self, data: bytes) -> None:
        """Write to the caller unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def wait_writable(self) -> None:
        if self._writable is not None:
            await self._writable.wait()

    def finish_exchange(self, exchange: HttpExchange) -> None:
        """Serve the next pipelined request, wait for one, or close the connection."""
        self._current = None
        self._release(exchange)
        if not exchange.keep_alive:
            self.close()
            return
        if self._pipelined:
            self._serve(self._pipelined.popleft())
            return
        self._set_timeout(self._limits.idle_timeout_ms)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Close after the write buffer has been flushed."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def close_when_idle(self) -> None:
        """Close now, or after the response in progress."""
        if self._current is None:
            self.close()
        else:
            self._current.keep_alive = False

    def abort(self) -> None:
        """Close at once and discard the write buffer."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    # internal

    def _set_timeout(self, timeout_ms: int) -> None:
        """Set the time by which the next request must start or the current one be complete."""
        self._expires_at = self._loop.time() + timeout_ms / _MS_PER_S
        if self._timer is None:
            self._timer = self._loop.call_at(self._expires_at, self._check_expiry)

    def _check_expiry(self) -> None:
        self._timer = None
        if self._expires_at is None or self._closing:
            return
        if self._loop.time() < self._expires_at:
            self._timer = self._loop.call_at(self._expires_at, self._check_expiry)
        elif self._current is None:
            self.close()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._headers_complete = False
        self._header_bytes = 0
        self._body = bytearray()
        self._received_bytes = 0
        self._fault = ResultCode.OK

    def _read_declared_bytes(self) -> int:
        """Return the announced length of the body; 0 if it isn't announced."""
        text = next((value for name, value in self._headers if name == "content-length"), "")
        return min(int(text), self._limits.body_bytes) if text.isdigit() and len(text) < 20 else 0

    def _reserve(self, count: int) -> None:
        """Reserve memory for the body up to `count` bytes, or drop what there is of it."""
        missing = count - self._held_bytes
        if missing <= 0 or self._fault is not ResultCode.OK:
            return
        if self._budget.reserve(missing):
            self._held_bytes += missing
            return
        self._fault = ResultCode.MEMORY_FULL
        self._body = bytearray()
        self._budget.release(self._held_bytes)
        self._held_bytes = 0

    def _release(self, exchange: HttpExchange) -> None:
        self._budget.release(exchange.held_bytes)
        exchange.held_bytes = 0

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._limits.header_bytes:
            self._fault = ResultCode.HEADER_TOO_LARGE
            raise ValueError("request head exceeds the size limit")

    def _bound_overhead(self, received_bytes: int) -> None:
        """Refuse a request that goes on without completing its head or adding to its body.

        The parser holds an unfinished header line, and skips chunk extensions, without a callback
        that could count them. Line ends and separators may double the bytes of a head.
        """
        self._overhead_bytes = self._overhead_bytes + received_bytes if received_bytes else 0
        if self._overhead_bytes > 2 * self._limits.header_bytes:
            self._refuse(ResultCode.HEADER_TOO_LARGE)

    def _make_request(self, fault: ResultCode) -> HttpRequest:
        method = (
            "GET"
            if fault not in (ResultCode.OK, ResultCode.MEMORY_FULL)
            else self._parser.get_method().decode("latin-1")
        )
        is_complete = fault in (ResultCode.OK, ResultCode.MEMORY_FULL)
        keep_alive = is_complete and self._parser.should_keep_alive()
        held_bytes, self._held_bytes = self._held_bytes, 0
        exchange = HttpExchange(self, keep_alive, method == "HEAD", held_bytes=held_bytes)
        # the buffer isn't kept beside its copy
        body, self._body = bytes(self._body), bytearray()
        return HttpRequest(
            method=method,
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=body,
            keep_alive=keep_alive,
            exchange=exchange,
            fault=fault,
        )

    def _refuse(self, fault: ResultCode) -> None:
        self._closing = True
        request = self._make_request(fault)
        if self._current is not None:
            self._pipelined.append(request)
            return
        self._serve(request)

    def _serve(self, request: HttpRequest) -> None:
        self._current = request.exchange
        self._handler(request)


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
