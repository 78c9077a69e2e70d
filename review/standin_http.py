"""Small HTTP/1.1 server and client of the stand-ins."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass
class Request:
    """Request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Reply:
    """Answer of a stand-in.

    Parameters
    ----------
    is_silent : bool
        Send nothing, now or later, on this connection, and leave it open.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_silent: bool = False

    def encode(self) -> bytes:
        lines = [f"HTTP/1.1 {self.status} x", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


class BrokenError(Exception):
    """The peer closed the connection or sent something that can't be read.

    Parameters
    ----------
    partial : bytes
        What had arrived of a body.
    """

    def __init__(self, reason: str, partial: bytes = b"") -> None:
        super().__init__(reason)
        self.partial = partial


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        partial = getattr(error, "partial", b"")
        raise BrokenError(f"closed after {len(partial)} bytes of a head") from error
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a whole body with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    return b"".join(parts)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise BrokenError("the body was cut short", getattr(error, "partial", b"")) from error


Handler = Callable[[Request], Awaitable[Reply]]


class Server:
    """HTTP server; the handler is cancelled when the peer closes the connection."""

    def __init__(self, host: str, port: int, handle: Handler) -> None:
        self.host, self.port = host, port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD_BYTES, backlog=1_024
        )

    async def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (BrokenError, OSError):
            pass
        finally:
            self._tasks.discard(task)
            reset(writer)

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            first, headers = await read_head(reader)
            method, target, _ = first.split(" ", 2)
            body = await read_body(reader, headers)
            work = asyncio.ensure_future(self._handle(Request(method, target, headers, body)))
            gone = asyncio.ensure_future(_wait_for_close(reader))
            try:
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    return
                reply = work.result()
            finally:
                work.cancel()
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
            if reply.is_silent:
                await _wait_for_close(reader)
                return
            writer.write(reply.encode())
            await writer.drain()
            if reply.headers.get("Connection") == "close":
                writer.close()
                return


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed; bytes that arrive meanwhile stay in the buffer."""
    while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.02)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Answer:
    """What a client got: status 0 if the connection ended before a whole head."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    def describe(self) -> str:
        if not self.status:
            return "no answer, the connection was closed"
        whole = "whole" if self.is_whole else "CUT SHORT"
        length = self.headers.get("content-length", "-")
        return f"{self.status} body {len(self.body)} of {length} bytes, {whole}"


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader, method: str = "GET") -> Answer:
    """Read one answer as a client does; never raises for a broken one."""
    answer = Answer()
    try:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if method != "HEAD":
            answer.body = await read_body(reader, answer.headers)
        answer.is_whole = True
    except BrokenError as error:
        answer.body = error.partial
    except (ValueError, IndexError):
        answer.status = 0
    return answer
