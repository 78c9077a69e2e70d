"""Clients on kept and on new connections."""

import asyncio
import socket
import time
from collections import deque
from typing import Any

import attrs

from wrdsc.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

from .models import Sample

IDLE_LIMIT_S = 12.0
"""Clients reuse connections that were idle for up to four fifths of the idle time-out."""
CONNECT_LIMIT_S = 1.0
SLOW_BYTES, SLOW_PAUSE_S = 8_192, 0.05


@attrs.define(eq=False)
class Connection:
    """Client's connection to a daemon."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0
    idle_since_s: float = 0.0

    @property
    def is_usable(self) -> bool:
        return (
            not self.reader.at_eof()
            and not self.writer.is_closing()
            and time.monotonic() - self.idle_since_s < IDLE_LIMIT_S
        )


@attrs.define(eq=False)
class Clients:
    """Connections of the clients on one machine.

    Parameters
    ----------
    address : tuple of str and int
        Where the daemon takes requests.
    takes_new : bool
        Whether clients open connections; those that are open are used all the same.
    """

    address: tuple[str, int]
    takes_new: bool = True
    _idle: deque[Connection] = attrs.field(factory=deque)

    def has_kept(self) -> bool:
        """Return whether a connection is open and idle; close those that are worn out."""
        while self._idle and not self._idle[-1].is_usable:
            self._idle.pop().writer.transport.abort()
        return bool(self._idle)

    def close(self) -> None:
        for connection in self._idle:
            connection.writer.transport.abort()
        self._idle.clear()

    async def send(
        self, sample: Sample, body: bytes, *, on_new: bool, headers: dict[str, str]
    ) -> None:
        """Send a request, and fill in what came of it."""
        sample.sent_s = time.monotonic()
        connection = self._idle.pop() if not on_new and self.has_kept() else None
        if connection is None:
            connection = await self._connect(is_slow=sample.reads_slowly)
        if connection is None:
            sample.end, sample.ended_s = "refused", time.monotonic()
            return
        sample.number, connection.sent = connection.sent, connection.sent + 1
        keeps = False
        try:
            async with asyncio.timeout(sample.timeout_s + 1.0):
                sample.sent_s = time.monotonic()
                connection.writer.write(_encode(sample, body, headers))
                await connection.writer.drain()
                sample.written_s = time.monotonic()
                keeps = await _read_answer(connection.reader, sample)
        except asyncio.CancelledError:
            sample.end = "left"
            raise
        except TimeoutError:
            sample.end = "waited"
        except OSError:
            sample.end = "cut" if sample.status else "closed"
        finally:
            sample.ended_s = time.monotonic()
            if sample.end != "answered":
                sample.status = 0
            if keeps and sample.end == "answered":
                connection.idle_since_s = sample.ended_s
                self._idle.append(connection)
            else:
                connection.writer.transport.abort()

    async def _connect(self, *, is_slow: bool) -> Connection | None:
        found = socket.socket()
        found.setblocking(False)
        if is_slow:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                await asyncio.get_running_loop().sock_connect(found, self.address)
            limit = SLOW_BYTES if is_slow else 65_536
            return Connection(*await asyncio.open_connection(sock=found, limit=limit))
        except (OSError, TimeoutError):
            found.close()
            return None


def _encode(sample: Sample, body: bytes, headers: dict[str, str]) -> bytes:
    lines = [f"{sample.method} {sample.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(body)}"] if body else []
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_answer(reader: asyncio.StreamReader, sample: Sample) -> bool:
    """Read an answer and return whether the connection may be used again."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        sample.end = "cut" if error.partial else "closed"
        return False
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, Any] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    sample.status = int(first.split(" ")[1])
    sample.owner = headers.get(HEADER_ATTEMPT_ID, "")
    sample.signed = headers.get(HEADER_SIGNATURE, "")
    try:
        if headers.get("transfer-encoding") == "chunked":
            sample.body = await _read_chunks(reader)
        elif "content-length" in headers:
            sample.body = await _read_body(reader, int(headers["content-length"]), sample)
        else:
            sample.body = await reader.read()
    except (asyncio.IncompleteReadError, ValueError):
        sample.end = "cut"
        return False
    sample.end = "answered"
    return bool(headers.get("connection", "").lower() != "close")


async def _read_body(reader: asyncio.StreamReader, length: int, sample: Sample) -> bytes:
    body = bytearray()
    while len(body) < length:
        if sample.reads_slowly:
            await asyncio.sleep(SLOW_PAUSE_S)
        data = await reader.read(min(length - len(body), SLOW_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(bytes(body), length)
        body += data
    return bytes(body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)
