"""Calls that a link carries: those sent to the peer, and those received from it."""

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_core import Refusal

from .body import BodyStream
from .codec import encode_answer
from .const import WINDOW_BYTES
from .models import AnswerHead, FrameKind

BYTE_COUNT = struct.Struct("!Q")
"""Encoding of a number of bytes, as credit or as the length of a body."""


class CallLink(Protocol):
    """Link as its calls see it."""

    def send_frame(self, kind: FrameKind, call_id: int, payload: bytes) -> None:
        """Write one frame."""

    def cancel_call(self, call_id: int) -> None:
        """Drop a pending call and tell the peer to cancel it."""

    def forget_served(self, call_id: int) -> None:
        """Drop a served call after its answer."""


@attrs.define(eq=False)
class PendingCall:
    """A call sent to the peer that has no complete answer yet."""

    link: CallLink
    call_id: int
    body: BodyStream = attrs.field(factory=BodyStream)
    _answer: AnswerHead | Refusal | None = None
    _ready: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait_answer(self) -> AnswerHead | Refusal:
        """Return the head of the answer, or a refusal when the link is lost."""
        await self._ready.wait()
        assert self._answer is not None
        return self._answer

    def cancel(self) -> None:
        self.link.cancel_call(self.call_id)

    def settle(self, answer: AnswerHead | Refusal) -> None:
        """Deliver the head to the waiting task; ignore a second head."""
        if self._answer is not None:
            return
        self._answer = answer
        self._ready.set()


@attrs.define(eq=False)
class ServedCall:
    """A call received from the peer and answered here.

    Parameters
    ----------
    reserved_bytes : int
        Bytes of its head and body that count towards the budget.
    """

    link: CallLink
    call_id: int
    on_cancel: Callable[[], None] | None = None
    is_cancelled: bool = False
    _credit: int = WINDOW_BYTES
    _credit_added: asyncio.Event | None = None
    _sent_bytes: int = 0
    reserved_bytes: int = 0

    def send_answer(self, head: AnswerHead) -> None:
        """Send the head; a complete head ends the call."""
        self.link.send_frame(FrameKind.ANSWER, self.call_id, encode_answer(head))
        if head.complete:
            self.link.forget_served(self.call_id)

    async def send_body(self, data: bytes) -> bool:
        """Send body bytes once there is credit; False when the call was cancelled."""
        while self._credit <= 0 and not self.is_cancelled:
            self._credit_added = asyncio.Event()
            await self._credit_added.wait()
        if self.is_cancelled:
            return False
        self._credit -= len(data)
        self._sent_bytes += len(data)
        self.link.send_frame(FrameKind.BODY, self.call_id, data)
        return True

    def finish_body(self) -> None:
        """Send the end of the body with its total length, which the peer verifies."""
        self.link.send_frame(FrameKind.BODY_END, self.call_id, BYTE_COUNT.pack(self._sent_bytes))
        self.link.forget_served(self.call_id)

    def abort_body(self, refusal: Refusal) -> None:
        """Tell the peer that the body is truncated, and why."""
        head = AnswerHead(0, code=refusal.code, run_state=refusal.run_state, reason=refusal.reason)
        self.link.send_frame(FrameKind.BODY_ABORT, self.call_id, encode_answer(head))
        self.link.forget_served(self.call_id)

    def add_credit(self, count: int) -> None:
        self._credit += count
        self._wake()

    def cancel(self) -> None:
        """Mark the call as cancelled, by the peer or because the link was lost."""
        self.is_cancelled = True
        self._wake()
        if self.on_cancel is not None:
            self.on_cancel()

    def _wake(self) -> None:
        if self._credit_added is not None:
            self._credit_added.set()
            self._credit_added = None
