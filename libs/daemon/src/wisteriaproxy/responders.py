"""The two ends of a forwarded call, and the call within one daemon."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_core import Refusal
from wisteria_wire import AnswerHead, BodyStream


class Responder(Protocol):
    """Serving end of one call: a link, or a `LocalCall` of the same daemon."""

    on_cancel: Callable[[], None] | None
    is_cancelled: bool

    def send_answer(self, head: AnswerHead) -> None:
        """Send the head; one with the complete body ends the call."""

    async def send_body(self, data: bytes) -> bool:
        """Send body bytes; False if the call was cancelled."""

    def finish_body(self) -> None:
        """Mark the body as complete."""

    def abort_body(self, refusal: Refusal) -> None:
        """Mark the body as truncated."""


class Reply(Protocol):
    """Entry end of one forwarded call."""

    body: BodyStream

    async def wait_answer(self) -> AnswerHead | Refusal:
        """Wait for the head of the answer."""

    def cancel(self) -> None:
        """Cancel the call."""


@attrs.define(eq=False)
class LocalCall:
    """Call within one daemon: both `Reply` and `Responder`."""

    window_bytes: int
    body: BodyStream = attrs.field(factory=BodyStream)
    on_cancel: Callable[[], None] | None = None
    is_cancelled: bool = False
    _answer: AnswerHead | None = None
    _answered: asyncio.Event = attrs.field(factory=asyncio.Event)
    _unconsumed_bytes: int = 0
    _window_opened: asyncio.Event | None = None

    def __attrs_post_init__(self) -> None:
        self.body.on_consumed = self._note_consumed

    async def wait_answer(self) -> AnswerHead | Refusal:
        await self._answered.wait()
        assert self._answer is not None
        return self._answer

    def send_answer(self, head: AnswerHead) -> None:
        self._answer = head
        if head.complete:
            self.body.feed(head.body)
            self.body.finish()
        self._answered.set()

    async def send_body(self, data: bytes) -> bool:
        """Queue bytes once the reader's flow-control window has room."""
        while self._unconsumed_bytes >= self.window_bytes and not self.is_cancelled:
            self._window_opened = asyncio.Event()
            await self._window_opened.wait()
        if self.is_cancelled:
            return False
        self._unconsumed_bytes += len(data)
        self.body.feed(data)
        return True

    def finish_body(self) -> None:
        self.body.finish()

    def abort_body(self, refusal: Refusal) -> None:
        self.body.fail(refusal)

    def cancel(self) -> None:
        """Cancel the call at the serving end as well."""
        if self.is_cancelled or self.body.is_ended:
            return
        self.is_cancelled = True
        self._wake_sender()
        if self.on_cancel is not None:
            self.on_cancel()

    def _note_consumed(self, count: int) -> None:
        self._unconsumed_bytes -= count
        self._wake_sender()

    def _wake_sender(self) -> None:
        if self._window_opened is not None:
            self._window_opened.set()
            self._window_opened = None
