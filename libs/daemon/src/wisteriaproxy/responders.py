"""Where a serving daemon sends an answer: a link, or the entry side of the same daemon."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_core import Refusal
from wisteria_wire import AnswerHead, BodyStream


class Responder(Protocol):
    """The answer side of one call."""

    on_cancel: Callable[[], None] | None
    is_cancelled: bool

    def send_answer(self, head: AnswerHead) -> None:
        """Send the head; a complete head ends the call."""

    async def send_body(self, data: bytes) -> bool:
        """Send body bytes; False when nobody waits for them."""

    def finish_body(self) -> None:
        """Mark the body as whole."""

    def abort_body(self, refusal: Refusal) -> None:
        """Mark the body as cut."""


class Reply(Protocol):
    """The entry side of one call that was sent on."""

    body: BodyStream

    async def wait_answer(self) -> AnswerHead | Refusal:
        """Return the head of the answer."""

    def cancel(self) -> None:
        """Give the call up."""


@attrs.define(eq=False)
class LocalCall:
    """A call served by the same daemon; both a reply and a responder."""

    window_bytes: int
    body: BodyStream = attrs.field(factory=BodyStream)
    on_cancel: Callable[[], None] | None = None
    is_cancelled: bool = False
    _answer: AnswerHead | None = None
    _ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    _outstanding: int = 0
    _room: asyncio.Event | None = None

    def __attrs_post_init__(self) -> None:
        self.body.on_consumed = self._note_consumed

    async def wait_answer(self) -> AnswerHead | Refusal:
        """Return the head of the answer."""
        await self._ready.wait()
        assert self._answer is not None
        return self._answer

    def send_answer(self, head: AnswerHead) -> None:
        """Hand the head over to the waiting side."""
        self._answer = head
        if head.complete:
            self.body.feed(head.body)
            self.body.finish()
        self._ready.set()

    async def send_body(self, data: bytes) -> bool:
        """Pass body bytes on once the reader has room."""
        while self._outstanding >= self.window_bytes and not self.is_cancelled:
            self._room = asyncio.Event()
            await self._room.wait()
        if self.is_cancelled:
            return False
        self._outstanding += len(data)
        self.body.feed(data)
        return True

    def finish_body(self) -> None:
        """Mark the body as whole."""
        self.body.finish()

    def abort_body(self, refusal: Refusal) -> None:
        """Mark the body as cut."""
        self.body.fail(refusal)

    def cancel(self) -> None:
        """Give the call up; the serving side stops its work."""
        if self.is_cancelled or self.body.is_ended:
            return
        self.is_cancelled = True
        self._wake()
        if self.on_cancel is not None:
            self.on_cancel()

    def _note_consumed(self, count: int) -> None:
        self._outstanding -= count
        self._wake()

    def _wake(self) -> None:
        if self._room is not None:
            self._room.set()
            self._room = None
