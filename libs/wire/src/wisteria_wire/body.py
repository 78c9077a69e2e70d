"""Body streaming with flow control, so that memory stays bounded."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from wisteria_core import Refusal

from .const import CREDIT_THRESHOLD_BYTES


def _ignore(_count: int) -> None:
    return None


@attrs.define
class BodyStream:
    """Byte stream from one writer to one reader, which marks its end explicitly.

    The writer calls `feed`, then `finish` or `fail`. The reader calls `receive` until it
    returns None (complete) or a refusal (truncated). A truncated body never ends with None.

    Parameters
    ----------
    on_consumed : callable
        Called with the number of bytes that the reader has consumed, so that the writer may
        send as many more.
    """

    on_consumed: Callable[[int], None] = _ignore
    received_bytes: int = 0
    _chunks: deque[bytes] = attrs.field(factory=deque)
    _unreported_bytes: int = 0
    _ended: bool = False
    _refusal: Refusal | None = None
    _ready: asyncio.Event | None = None

    @property
    def is_ended(self) -> bool:
        return self._ended

    def feed(self, data: bytes) -> None:
        if self._ended or not data:
            return
        self.received_bytes += len(data)
        self._chunks.append(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        self._wake()

    def fail(self, refusal: Refusal) -> None:
        """Mark the body as truncated, unless it has ended."""
        if self._ended:
            return
        self._ended = True
        self._refusal = refusal
        self._wake()

    async def receive(self) -> bytes | Refusal | None:
        """Return the next chunk, None at the end of a complete body, or why it was truncated."""
        while not self._chunks:
            if self._ended:
                return self._refusal
            self._ready = asyncio.Event()
            await self._ready.wait()
        chunk = self._chunks.popleft()
        self._report_consumed(len(chunk))
        return chunk

    def _report_consumed(self, count: int) -> None:
        self._unreported_bytes += count
        if self._unreported_bytes < CREDIT_THRESHOLD_BYTES and not (self._ended and self._chunks):
            return
        self.on_consumed(self._unreported_bytes)
        self._unreported_bytes = 0

    def _wake(self) -> None:
        if self._ready is not None:
            self._ready.set()
            self._ready = None


async def collect_body(body: BodyStream, limit: int) -> bytes | Refusal | None:
    """Read a complete body of at most `limit` bytes.

    Returns
    -------
    bytes, Refusal or None
        The body; why it was truncated; None when it is longer than `limit`.
    """
    parts: list[bytes] = []
    total = 0
    while True:
        chunk = await body.receive()
        if chunk is None:
            return b"".join(parts)
        if isinstance(chunk, Refusal):
            return chunk
        total += len(chunk)
        if total > limit:
            return None
        parts.append(chunk)
