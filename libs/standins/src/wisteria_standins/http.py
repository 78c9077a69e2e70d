"""A small HTTP/1.1 server on asyncio and httptools, enough for a stand-in."""

import asyncio
import logging
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from http import HTTPStatus
from typing import Any, cast
from urllib.parse import parse_qsl, urlsplit

import attrs
import httptools
import orjson

from .const import LOOPBACK, MAX_BODY_BYTES

_LOGGER = logging.getLogger(__name__)


@attrs.define
class Request:
    """One request as it came from the socket; header names are in lower case."""

    method: str = ""
    target: str = ""
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query's fields; the last of doubled fields counts."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))

    def header(self, name: bytes) -> str:
        """Return the first header of that lower-case name, or an empty string."""
        for found, value in self.headers:
            if found == name:
                return value.decode("latin-1")
        return ""

    def json(self) -> Any:
        """Return the body as JSON; an empty body is an empty object."""
        return orjson.loads(bytes(self.body) or b"{}")


@attrs.define
class Response:
    """An answer: a whole body, or a stream of a known length."""

    status: int = 200
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    stream_bytes: int = 0


Handler = Callable[[Request], Awaitable[Response | None]]


def respond_json(content: object, status: int = 200) -> Response:
    """Return an answer that holds `content` as JSON."""
    return Response(status, [(b"content-type", b"application/json")], orjson.dumps(content))


def render_head(response: Response, length: int) -> bytes:
    """Return the status line and headers of an answer whose body has `length` bytes."""
    phrase = HTTPStatus(response.status).phrase
    lines = [f"HTTP/1.1 {response.status} {phrase}\r\n".encode()]
    lines.extend(name + b": " + value + b"\r\n" for name, value in response.headers)
    if response.status != HTTPStatus.NOT_MODIFIED:
        lines.append(b"content-length: %d\r\n" % length)
    lines.append(b"\r\n")
    return b"".join(lines)


class ServerConnection(asyncio.Protocol):
    """One caller's connection; its requests are answered in their order."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request = Request()
        self._waiting: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and register with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._server.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work of a caller that has gone."""
        self._server.connections.discard(self)
        self._transport = None
        self._waiting.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold the stream back while the caller reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the stream go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request closes the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._server.malformed += 1
            self.abort()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = Request()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or a trailer."""
        self._request.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._request.body += body
        if len(self._request.body) > MAX_BODY_BYTES:
            self.abort()

    def on_message_complete(self) -> None:
        """Answer the request, after those before it."""
        self._request.method = self._parser.get_method().decode()
        self._waiting.append(self._request)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def abort(self) -> None:
        """Cut the connection without an answer."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        try:
            while self._waiting:
                await self._answer(self._waiting.popleft())
        finally:
            self._task = None

    async def _answer(self, request: Request) -> None:
        try:
            response = await self._server.handler(request)
        except (ValueError, KeyError, TypeError) as error:
            response = respond_json({"error": f"{type(error).__name__}: {error}"}, 400)
        except Exception as error:
            _LOGGER.exception("request_failed")
            response = respond_json({"error": type(error).__name__}, 500)
        if response is None:
            self.abort()
        elif response.stream is not None:
            await self._write_stream(response, response.stream)
        else:
            self._write(render_head(response, len(response.body)) + response.body)

    async def _write_stream(self, response: Response, stream: AsyncIterator[bytes]) -> None:
        self._write(render_head(response, response.stream_bytes))
        left = response.stream_bytes
        async with aclosing(cast(AsyncGenerator[bytes, None], stream)) as chunks:
            async for chunk in chunks:
                self._write(chunk)
                left -= len(chunk)
                await self._writable.wait()
        if left:
            self.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class HttpServer:
    """A listening server whose handler answers each request.

    Parameters
    ----------
    handler : callable
        Gets a `Request`; returns a `Response`, or None to cut the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.accepted = 0
        self.malformed = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Listen on `host` and `port` (0 takes a free one) and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    async def async_stop(self) -> None:
        """Stop listening and cut each connection."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)
        self._server = None
