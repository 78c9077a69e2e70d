"""A minimal HTTP/1.1 client with keep-alive, for generated load and child calls."""

import asyncio
import hashlib
from typing import cast

import attrs
import httptools

from .const import LOOPBACK, MS_PER_S


@attrs.define
class Answer:
    """Response to one call, or the reason why there is none.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no response arrived.
    headers : dict
        Headers by lower-case name; of repeated headers the last one.
    body : bytes
        The first `Call.keep_bytes` bytes of the body.
    length : int
        Number of body bytes received.
    digest : str
        BLAKE2b digest of the body in hexadecimal; empty if not requested.
    complete : bool
        True if the response ended as its framing announced.
    error : str
        Why the response is missing or incomplete; empty otherwise.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    length: int = 0
    digest: str = ""
    complete: bool = False
    error: str = ""


@attrs.frozen
class Call:
    """A request to send.

    Parameters
    ----------
    method, path : str
        HTTP method and path; the path may include a query.
    headers : tuple of (str, str)
        Headers other than Host and Content-Length.
    body : bytes
        Request body.
    keep_bytes : int
        Maximum number of response body bytes to keep.
    with_digest : bool
        Whether to compute the digest of the response body.
    read_delay_ms : int
        Pause after each received part of the body, in milliseconds, to simulate a slow reader.
    """

    method: str = "GET"
    path: str = "/"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    keep_bytes: int = 64 * 1024
    with_digest: bool = False
    read_delay_ms: int = 0

    def render(self, host: str) -> bytes:
        """Return the request as bytes for the socket."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {host}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.body or self.method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + self.body


class ClientConnection(asyncio.Protocol):
    """A keep-alive connection that carries one call at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[Answer] | None = None
        self._answer = Answer()
        self._kept = bytearray()
        self._hash = hashlib.blake2b(digest_size=16)
        self._call = Call()
        self._close_after = False
        self.unsolicited_chunks = 0

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the call in flight with an error."""
        self._transport = None
        self._finish("connection lost" if exc is None else f"connection lost: {exc}")

    def data_received(self, data: bytes) -> None:
        """Parse incoming bytes; data without a call in flight closes the connection."""
        if self._pending is None:
            self.unsolicited_chunks += 1
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(f"malformed response: {error}")
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or a trailer field."""
        self._answer.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._answer.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Count, hash and store a part of the body."""
        self._answer.length += len(body)
        if self._call.with_digest:
            self._hash.update(body)
        remaining_bytes = self._call.keep_bytes - len(self._kept)
        if remaining_bytes > 0:
            self._kept += body[:remaining_bytes]
        if self._call.read_delay_ms and self._transport is not None:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(self._call.read_delay_ms / MS_PER_S, self._resume)

    def on_message_complete(self) -> None:
        """Complete the call; an interim (1xx) response is skipped."""
        if self._answer.status < 200:
            self._answer = Answer()
            return
        self._answer.complete = True
        self._close_after = not self._parser.should_keep_alive()
        self._finish("")

    async def async_call(self, call: Call, host: str, timeout_ms: int | None = None) -> Answer:
        """Send `call` and return its response; a timeout aborts the connection."""
        if self._transport is None:
            return Answer(error="connection lost")
        self._reset(call)
        done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending = done
        self._transport.write(call.render(host))
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        try:
            answer = await asyncio.wait_for(done, timeout_s)
        except TimeoutError:
            self._pending = None
            self.close()
            return attrs.evolve(self._answer, error="timeout")
        except asyncio.CancelledError:
            self._pending = None
            self.close()
            raise
        if self._close_after:
            self.close()
        return answer

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _reset(self, call: Call) -> None:
        self._call = call
        self._answer = Answer()
        self._kept = bytearray()
        self._hash = hashlib.blake2b(digest_size=16)

    def _resume(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def _finish(self, error: str) -> None:
        done, self._pending = self._pending, None
        if done is None or done.done():
            return
        self._answer.error = error
        self._answer.body = bytes(self._kept)
        if self._call.with_digest:
            self._answer.digest = self._hash.hexdigest()
        done.set_result(self._answer)


class Client:
    """Client of one address with a bounded pool of keep-alive connections.

    Parameters
    ----------
    port : int
        TCP port of the server.
    host : str
        IP address of the server.
    max_connections : int
        Maximum number of open connections; further calls wait for a free one.
    """

    def __init__(self, port: int, host: str = LOOPBACK, max_connections: int = 256) -> None:
        self.host = host
        self.port = port
        self.opened = 0
        self._idle: list[ClientConnection] = []
        self._connection_slots = asyncio.Semaphore(max_connections)

    async def async_call(self, call: Call, timeout_ms: int | None = None) -> Answer:
        """Send `call` on an idle or new connection; connection errors are returned, not raised."""
        async with self._connection_slots:
            try:
                connection = await self._acquire_connection()
            except OSError as error:
                return Answer(error=f"connect failed: {error.strerror or error}")
            answer = await connection.async_call(call, f"{self.host}:{self.port}", timeout_ms)
            if connection.is_open:
                self._idle.append(connection)
            return answer

    async def _acquire_connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        _, created = await loop.create_connection(ClientConnection, self.host, self.port)
        self.opened += 1
        return created

    def close(self) -> None:
        """Abort the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
