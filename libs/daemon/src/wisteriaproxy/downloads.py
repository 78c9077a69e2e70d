"""Streams answers and resumes interrupted long downloads on another VM."""

import logging

import anyio
import attrs

from wisteria_core import Refusal, ResultCode, RunState, VmId
from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead, CallScope, HttpExchange

from .const import ATTR_REQUEST_ID
from .forward import Forwarder, ForwardResult
from .headers import find_header
from .ranges import Download, parse_download

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_RANGE_HEADERS = frozenset({"range", "if-range"})

STALLED = Refusal(ResultCode.ANSWER_STALLED, "the download stalled", RunState.RAN)
READER_STALLED = Refusal(ResultCode.CANCELLED, "the caller stopped reading", RunState.RAN)


@attrs.define(eq=False)
class Relay:
    """Streams one answer to the caller.

    Parameters
    ----------
    head : CallHead
        The call, which is sent again with a range to resume a download.
    scope : CallScope
        Scope of the whole request; its deadline is lifted for a long download.
    """

    forwarder: Forwarder
    exchange: HttpExchange
    head: CallHead
    allowance: RetryAllowance
    scope: CallScope
    tried: frozenset[VmId] = frozenset()

    async def run(self, forwarded: ForwardResult, headers: tuple[str, ...]) -> ResultCode:
        """Send head and body; abort the connection if the answer can't be completed."""
        length = find_header(headers, "content-length")
        self.exchange.start(
            forwarded.head.status, drop_headers(headers, {"content-length"}), _parse_length(length)
        )
        if self.head.long:
            self.scope.deadline = float("inf")
        download = parse_download(forwarded.head) if self.head.long else None
        while True:
            failure = await self._relay_body(forwarded, download)
            if failure is None:
                self.exchange.finish()
                return ResultCode.OK
            if self.exchange.is_cancelled:
                return ResultCode.CANCELLED
            resumed = await self._resume(forwarded, download, failure)
            if resumed is None:
                self.exchange.abort()
                return failure.code
            forwarded = resumed

    async def _relay_body(
        self, forwarded: ForwardResult, download: Download | None
    ) -> Refusal | None:
        """Stream the body; return None at its end, else the failure that interrupted it."""
        assert forwarded.reply is not None
        while True:
            chunk = await self._receive(forwarded)
            if not isinstance(chunk, bytes):
                return chunk
            if not await self._send(chunk):
                return READER_STALLED
            if download is not None:
                download.sent_bytes += len(chunk)

    async def _receive(self, forwarded: ForwardResult) -> bytes | Refusal | None:
        assert forwarded.reply is not None
        if not self.head.long:
            return await forwarded.reply.body.receive()
        with anyio.move_on_after(self.head.stall_ms / _MS_PER_S):
            return await forwarded.reply.body.receive()
        return STALLED

    async def _send(self, chunk: bytes) -> bool:
        """Return False if the caller disconnected or exceeded the stall limit."""
        if not self.head.long:
            return await self.exchange.send(chunk)
        with anyio.move_on_after(self.head.stall_ms / _MS_PER_S):
            return await self.exchange.send(chunk)
        return False

    async def _resume(
        self, forwarded: ForwardResult, download: Download | None, failure: Refusal
    ) -> ForwardResult | None:
        """Return an answer with the missing range; None if the download can't be resumed."""
        if download is None or failure is READER_STALLED or not self.head.repeatable:
            return None
        if download.is_complete or not self.allowance.spend():
            return None
        if forwarded.reply is not None:
            forwarded.reply.cancel()
        if forwarded.vm_id is not None:
            self.tried |= {forwarded.vm_id}
        _LOGGER.info(
            "download_resumed",
            extra={
                ATTR_REQUEST_ID: self.head.request_id,
                "passed_bytes": download.sent_bytes,
                "code": int(failure.code),
            },
        )
        headers = drop_headers(self.head.headers, _RANGE_HEADERS)
        head = attrs.evolve(self.head, headers=(*headers, *download.make_headers()))
        deadline_at_ms = self.forwarder.clock.now_ms() + self.head.stall_ms
        answer = await self.forwarder.forward(
            head, deadline_at_ms, self.allowance, exclude=self.tried
        )
        if answer.reply is None or not download.is_continued_by(answer.head):
            return None
        return answer


def drop_headers(headers: tuple[str, ...], dropped: set[str] | frozenset[str]) -> tuple[str, ...]:
    """Drop headers by lower-case name from alternating names and values."""
    pairs = iter(headers)
    kept: list[str] = []
    for name, value in zip(pairs, pairs, strict=True):
        if name not in dropped:
            kept += (name, value)
    return tuple(kept)


def _parse_length(length: str | None) -> int | None:
    return None if length is None else int(length)
