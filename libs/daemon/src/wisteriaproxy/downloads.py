"""Passes a streamed answer to the caller, and resumes a long download on another VM."""

import logging

import anyio
import attrs

from wisteria_core import Refusal, ResultCode, RunState, VmId
from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead, CallScope, HttpExchange

from .const import ATTR_REQUEST_ID
from .forward import Forwarded, Forwarder
from .headers import find_header
from .ranges import Download, begin_download

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_RANGE_HEADERS = frozenset({"range", "if-range"})

STALLED = Refusal(ResultCode.ANSWER_STALLED, "the download stalled", RunState.RAN)
READER_STALLED = Refusal(ResultCode.CANCELLED, "the caller stopped reading", RunState.RAN)


@attrs.define(eq=False)
class Relay:
    """One streamed answer on its way to the caller.

    Parameters
    ----------
    head : CallHead
        The call, for asking again for the rest.
    scope : CancelScope
        Of the whole request; a long download is not bounded by its deadline.
    """

    forwarder: Forwarder
    exchange: HttpExchange
    head: CallHead
    allowance: RetryAllowance
    scope: CallScope
    tried: frozenset[VmId] = frozenset()

    async def run(self, forwarded: Forwarded, headers: tuple[str, ...]) -> ResultCode:
        """Send head and body; an answer that can't be made whole cuts the connection."""
        length = find_header(headers, "content-length")
        self.exchange.start(
            forwarded.head.status, drop_headers(headers, {"content-length"}), _to_int(length)
        )
        if self.head.long:
            self.scope.deadline = float("inf")
        download = begin_download(forwarded.head) if self.head.long else None
        while True:
            failure = await self._pass_on(forwarded, download)
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

    async def _pass_on(self, forwarded: Forwarded, download: Download | None) -> Refusal | None:
        """Pass the body on until its whole end (None) or what cut it."""
        assert forwarded.reply is not None
        while True:
            chunk = await self._receive(forwarded)
            if not isinstance(chunk, bytes):
                return chunk
            if not await self._send(chunk):
                return READER_STALLED
            if download is not None:
                download.passed += len(chunk)

    async def _receive(self, forwarded: Forwarded) -> bytes | Refusal | None:
        assert forwarded.reply is not None
        if not self.head.long:
            return await forwarded.reply.body.receive()
        with anyio.move_on_after(self.head.stall_ms / _MS_PER_S):
            return await forwarded.reply.body.receive()
        return STALLED

    async def _send(self, chunk: bytes) -> bool:
        """Send to the caller; False when it has gone or reads nothing for too long."""
        if not self.head.long:
            return await self.exchange.send(chunk)
        with anyio.move_on_after(self.head.stall_ms / _MS_PER_S):
            return await self.exchange.send(chunk)
        return False

    async def _resume(
        self, forwarded: Forwarded, download: Download | None, failure: Refusal
    ) -> Forwarded | None:
        """Return an answer that continues the download, or None when there is none."""
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
                "passed_bytes": download.passed,
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
    """Return headers, names and values in turn, without those of some lower-case names."""
    pairs = iter(headers)
    kept: list[str] = []
    for name, value in zip(pairs, pairs, strict=True):
        if name not in dropped:
            kept += (name, value)
    return tuple(kept)


def _to_int(length: str | None) -> int | None:
    return None if length is None else int(length)
