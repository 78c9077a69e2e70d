"""Clients that keep their connections to a daemon."""

import asyncio
import socket

import attrs
from tests.platform.standins import Reply
from tests.platform.support import HOST, KEY, read_reply

from .support import CALLERS, Fleet, Machine

ETHERNET_SEGMENT_BYTES = 1_460


@attrs.define(eq=False)
class KeptClient:
    """A client that sends its requests one after the other on a kept connection.

    Parameters
    ----------
    receive_bytes : int
        Size of the receive buffer of the kernel; 0 for the default.
    """

    fleet: Fleet
    machine: Machine
    receive_bytes: int = 0
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        return self._writer is not None

    async def connect(self) -> None:
        sock = socket.socket()
        if self.receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
            # the segments of the loopback device, and the buffers to match, hold 64 KB
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        sock.setblocking(False)
        try:
            address = (self.machine.host, CALLERS)
            await asyncio.get_running_loop().sock_connect(sock, address)
            self._reader, self._writer = await asyncio.open_connection(sock=sock, limit=4_096)
        except OSError:
            sock.close()
            raise

    async def call(
        self,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2_000,
        body: bytes = b"",
        attempt: str | None = None,
        pause_s: float = 0.0,
        **headers: str,
    ) -> Reply:
        """Send a request and return its answer; status 0 if there is none, `closes` if it is short.

        Parameters
        ----------
        pause_s : float
            Time for which the client reads nothing after it has sent the request.
        """
        if self._writer is None:
            await self.connect()
        assert self._reader is not None
        assert self._writer is not None
        sent = {
            "host": HOST,
            "wisteriaproxy-attempt-id": attempt or self.fleet.make_attempt(),
            "wisteriaproxy-timeout-ms": str(timeout_ms),
            "authorization": f"Bearer {KEY}",
            "content-length": str(len(body)) if body else "",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items() if value]
        try:
            async with asyncio.timeout(timeout_ms / 1_000 + 1):
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await asyncio.sleep(pause_s)
                reply = await _read_kept_reply(self._reader)
        except (OSError, TimeoutError):
            reply = Reply(0, closes=True)
        if reply.closes or reply.headers.get("connection") == "close":
            self.close()
        return reply

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def _read_kept_reply(reader: asyncio.StreamReader) -> Reply:
    head, body = b"", bytearray()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        reply = read_reply(head)
        length = reply.headers.get("content-length")
        if length is not None:
            while len(body) < int(length):
                data = await reader.read(int(length) - len(body))
                if not data:
                    raise ConnectionResetError
                body += data
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return attrs.evolve(read_reply(head), body=bytes(body), closes=True)
    return attrs.evolve(reply, body=bytes(body), closes=False)
