"""A minimal HTTP/1.1 server on asyncio and httptools."""

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
    """A parsed request; header names are in lower case."""

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
        """Return the query parameters; of repeated parameters the last one."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))

    def header(self, name: bytes) -> str:
        """Return the first header with this lower-case name, or an empty string."""
        for field_name, value in self.headers:
            if field_name == name:
                return value.decode("latin-1")
        return ""

    def json(self) -> Any:
        """Return the body parsed as JSON; an empty body gives an empty object."""
        return orjson.loads(bytes(self.body) or b"{}")


@attrs.define
class Response:
    """A response with either a body or a stream of known length."""

    status: int = 200
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    stream_bytes: int = 0


Handler = Callable[[Request], Awaitable[Response | None]]


def respond_json(content: object, status: int = 200) -> Response:
    return Response(status, [(b"content-type", b"application/json")], orjson.dumps(content))


def render_head(response: Response, length: int) -> bytes:
    """Return the status line and headers of a response whose body has `length` bytes."""
    phrase = HTTPStatus(response.status).phrase
    lines = [f"HTTP/1.1 {response.status} {phrase}\r\n".encode()]
    lines.extend(name + b": " + value + b"\r\n" for name, value in response.headers)
    if response.status != HTTPStatus.NOT_MODIFIED:
        lines.append(b"content-length: %d\r\n" % length)
    lines.append(b"\r\n")
    return b"".join(lines)


class ServerConnection(asyncio.Protocol):
    """A client connection; pipelined requests are answered in order."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request = Request()
        self._pending_requests: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._server.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and drop those that wait."""
        self._server.connections.discard(self)
        self._transport = None
        self._pending_requests.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Pause a streamed response while the client reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse incoming bytes; a malformed request aborts the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._server.malformed += 1
            self.abort()

    def on_message_begin(self) -> None:
        self._request = Request()

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or a trailer field."""
        self._request.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; a body above the limit aborts the connection."""
        self._request.body += body
        if len(self._request.body) > MAX_BODY_BYTES:
            self.abort()

    def on_message_complete(self) -> None:
        """Queue the request behind earlier ones of the same connection."""
        self._request.method = self._parser.get_method().decode()
        self._pending_requests.append(self._request)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def abort(self) -> None:
        """Close the connection without a response."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        try:
            while self._pending_requests:
                await self._respond(self._pending_requests.popleft())
        finally:
            self._task = None

    async def _respond(self, request: Request) -> None:
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
        remaining = response.stream_bytes
        async with aclosing(cast(AsyncGenerator[bytes, None], stream)) as chunks:
            async for chunk in chunks:
                self._write(chunk)
                remaining -= len(chunk)
                await self._writable.wait()
        if remaining:
            self.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


class HttpServer:
    """An HTTP server that passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Takes a `Request`; returns a `Response`, or None to abort the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.accepted = 0
        self.malformed = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str = LOOPBACK, port: int = 0) -> int:
        """Listen on `host` and `port` (0 picks a free one) and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    async def async_stop(self) -> None:
        """Stop listening and abort each connection."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)
        self._server = None
