"""A small HTTP/1.1 client over kept-open connections, for load and for child calls."""

import asyncio
import hashlib
from typing import cast

import attrs
import httptools

from .const import LOOPBACK, MS_PER_S


@attrs.define
class Answer:
    """What came back for one call.

    Parameters
    ----------
    status : int
        HTTP status; 0 when no answer came.
    headers : dict
        Headers by lower-case name; the last of doubled ones.
    body : bytes
        The first bytes of the body, as many as were asked to be kept.
    length : int
        Length of the body that came, in bytes.
    digest : str
        BLAKE2b digest of the body in hexadecimal; empty when it was not asked for.
    complete : bool
        True when the answer ended as its framing says.
    error : str
        Why there is no whole answer; empty otherwise.
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
    """One request as the client sends it.

    Parameters
    ----------
    method, path : str
        Request line; the path may carry a query.
    headers : tuple of (str, str)
        Headers besides Host and Content-Length.
    body : bytes
        Body of the request.
    keep_bytes : int
        How many bytes of the answer's body to keep.
    with_digest : bool
        Whether to compute the digest of the answer's body.
    read_delay_ms : int
        Pause after each part of the body that comes, to play a slow reader.
    """

    method: str = "GET"
    path: str = "/"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    keep_bytes: int = 64 * 1024
    with_digest: bool = False
    read_delay_ms: int = 0

    def render(self, host: str) -> bytes:
        """Return the request's bytes."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {host}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.body or self.method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + self.body


class ClientConnection(asyncio.Protocol):
    """One kept-open connection that carries one call at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._done: asyncio.Future[Answer] | None = None
        self._answer = Answer()
        self._kept = bytearray()
        self._hash = hashlib.blake2b(digest_size=16)
        self._call = Call()
        self._close_after = False
        self.surplus = 0

    @property
    def is_open(self) -> bool:
        """Return True while calls can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call in flight as cut."""
        self._transport = None
        self._finish("connection lost" if exc is None else f"connection lost: {exc}")

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody asked for are counted."""
        if self._done is None:
            self.surplus += 1
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(f"malformed answer: {error}")
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or a trailer."""
        self._answer.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Take the status."""
        self._answer.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Count, hash and keep a part of the body."""
        self._answer.length += len(body)
        if self._call.with_digest:
            self._hash.update(body)
        room = self._call.keep_bytes - len(self._kept)
        if room > 0:
            self._kept += body[:room]
        if self._call.read_delay_ms and self._transport is not None:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(self._call.read_delay_ms / MS_PER_S, self._resume)

    def on_message_complete(self) -> None:
        """End the call; an interim answer is passed over."""
        if self._answer.status < 200:
            self._answer = Answer()
            return
        self._answer.complete = True
        self._close_after = not self._parser.should_keep_alive()
        self._finish("")

    async def async_call(self, call: Call, host: str, timeout_ms: int | None = None) -> Answer:
        """Send `call` and return its answer; after the timeout the connection is cut."""
        if self._transport is None:
            return Answer(error="connection lost")
        self._reset(call)
        done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._done = done
        self._transport.write(call.render(host))
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        try:
            answer = await asyncio.wait_for(done, timeout_s)
        except TimeoutError:
            self._done = None
            self.close()
            return attrs.evolve(self._answer, error="timeout")
        except asyncio.CancelledError:
            self._done = None
            self.close()
            raise
        if self._close_after:
            self.close()
        return answer

    def close(self) -> None:
        """Cut the connection."""
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
        done, self._done = self._done, None
        if done is None or done.done():
            return
        self._answer.error = error
        self._answer.body = bytes(self._kept)
        if self._call.with_digest:
            self._answer.digest = self._hash.hexdigest()
        done.set_result(self._answer)


class Client:
    """Calls to one address over a bounded pool of kept-open connections.

    Parameters
    ----------
    port : int
        TCP port to call.
    host : str
        IP number to call.
    max_connections : int
        Connections open at most; a call beyond them waits for one.
    """

    def __init__(self, port: int, host: str = LOOPBACK, max_connections: int = 256) -> None:
        self.host = host
        self.port = port
        self.opened = 0
        self._idle: list[ClientConnection] = []
        self._room = asyncio.Semaphore(max_connections)

    async def async_call(self, call: Call, timeout_ms: int | None = None) -> Answer:
        """Send `call` on an idle connection or a new one; never raises for a lost one."""
        async with self._room:
            try:
                connection = await self._take()
            except OSError as error:
                return Answer(error=f"connect failed: {error.strerror or error}")
            answer = await connection.async_call(call, f"{self.host}:{self.port}", timeout_ms)
            if connection.is_open:
                self._idle.append(connection)
            return answer

    async def _take(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(ClientConnection, self.host, self.port)
        self.opened += 1
        return made

    def close(self) -> None:
        """Cut the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
