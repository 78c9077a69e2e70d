"""Calls that must not run twice: finds the owner of the idempotency key and asks it to run."""

import attrs

from wisteria_ownership import SlotId
from wisteria_routing import RetryAllowance
from wisteria_wire import CallHead

from .forward import Forwarded, Forwarder
from .responders import Responder
from .serving import ServingPort


@attrs.define(eq=False)
class OnceRouter:
    """Sends a non-repeatable call to the owner of its idempotency key."""

    forwarder: Forwarder
    serving: ServingPort

    async def forward(
        self, head: CallHead, deadline_at_ms: int, allowance: RetryAllowance
    ) -> Forwarded:
        """Send a call to be run at most once."""
        return await self.forwarder.forward(head, deadline_at_ms, allowance)

    async def serve(self, responder: Responder, head: CallHead) -> None:
        """Serve a call of another daemon."""
        await self.serving.serve(responder, head)

    def acquire(self, slot: SlotId, payload: bytes | None) -> None:
        """Begin to decide for a range of keys."""

    def release(self, slot: SlotId) -> bytes:
        """Stop deciding for a range of keys and return its hand-over."""
        return b""

    def drop(self, slot: SlotId) -> None:
        """Stop deciding for a range of keys."""
