"""State of a call on the serving side."""

import asyncio
import enum

import attrs

from wisteria_admission import Outcome
from wisteria_core import Refusal
from wisteria_wire import CallHead, CallScope

from .calls import RunningCall
from .responders import Responder


class Phase(enum.Enum):
    """Progress of a served call."""

    WAITING = "waiting"
    SENT = "sent"
    ANSWERED = "answered"


@attrs.define(eq=False)
class ServedState:
    """Serving state of one call."""

    head: CallHead
    responder: Responder
    scope: CallScope
    deadline_at_ms: int
    phase: Phase = Phase.WAITING
    outcome: Outcome = Outcome.CANCELLED
    sent_at_ms: int = 0
    verdict: Refusal | None = None
    decided: asyncio.Event = attrs.field(factory=asyncio.Event)
    end_reason: Refusal | None = None
    call: RunningCall | None = None

    def count_spent(self) -> int:
        """Count retries spent by the call and its child calls."""
        return self.call.count_spent() if self.call is not None else 0
