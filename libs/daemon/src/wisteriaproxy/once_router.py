"""The entry side of calls that must not run twice: sends them to the owner of their key."""

from random import Random

import anyio
import attrs

from wisteria_core import Clock, Refusal, ResultCode, RunState, VmId
from wisteria_ledger import slot_for
from wisteria_routing import RetryAllowance
from wisteria_wire import AnswerHead, CallHead

from .answers import head_to_refusal, refusal_to_head
from .forward import Forwarded, Forwarder
from .once import make_run_key
from .responders import Reply
from .slots import SlotTable, ledger_slot

_MS_PER_S = 1_000
MAX_PAUSE_MS = 200

OWNER_UNREACHABLE = Refusal(
    ResultCode.OWNER_UNREACHABLE,
    "the VM that decides about the key can't be reached",
    retry_after_ms=1_000,
)


@attrs.define(eq=False)
class AtMostOnceRouter:
    """Finds the owner of an idempotency key and asks it to run the call.

    Only an attempt that truly did not run is made again, to whoever owns the key then.
    """

    forwarder: Forwarder
    slots: SlotTable
    clock: Clock
    random: Random

    async def forward(
        self, head: CallHead, deadline_at_ms: int, allowance: RetryAllowance
    ) -> Forwarded:
        """Send a call to be run at most once."""
        retries = 0
        while True:
            forwarded = await self._attempt(head, deadline_at_ms, allowance)
            forwarded.retries += retries
            if not self._may_ask_again(forwarded.head, deadline_at_ms):
                return forwarded
            if not allowance.spend():
                return forwarded
            retries = forwarded.retries + 1
            await anyio.sleep(self.random.randint(1, MAX_PAUSE_MS) / _MS_PER_S)

    async def _attempt(
        self, head: CallHead, deadline_at_ms: int, allowance: RetryAllowance
    ) -> Forwarded:
        owner = self._find_owner(head)
        if owner is None:
            return Forwarded(refusal_to_head(OWNER_UNREACHABLE), None, None)
        loan_id = object()
        lent = allowance.lend(loan_id)
        remaining_ms = deadline_at_ms - self.clock.now_ms()
        reply = await self.forwarder.send(
            owner, attrs.evolve(head, allowance=lent, remaining_ms=remaining_ms)
        )
        if isinstance(reply, Refusal):
            allowance.settle(loan_id, lent)
            return Forwarded(refusal_to_head(OWNER_UNREACHABLE), None, owner)
        return await self._wait(reply, owner, allowance, loan_id, lent)

    async def _wait(
        self, reply: Reply, owner: VmId, allowance: RetryAllowance, loan_id: object, lent: int
    ) -> Forwarded:
        answer: AnswerHead | Refusal | None = None
        try:
            answer = await reply.wait_answer()
        finally:
            if answer is None:
                allowance.write_off(loan_id)
                reply.cancel()
        if isinstance(answer, Refusal):
            if answer.run_state is RunState.NOT_RUN:
                allowance.settle(loan_id, lent)
                answer = OWNER_UNREACHABLE
            else:
                allowance.write_off(loan_id)
            return Forwarded(refusal_to_head(answer), None, owner)
        allowance.settle(loan_id, lent - answer.spent)
        return Forwarded(answer, reply, owner, answer.spent)

    def _find_owner(self, head: CallHead) -> VmId | None:
        slot_id = slot_for(head.service, make_run_key(head))
        return self.slots.preferred_holder(ledger_slot(head.service, slot_id.index))

    def _may_ask_again(self, head: AnswerHead, deadline_at_ms: int) -> bool:
        """Return whether the owner could not be asked, or was not the owner."""
        if head.code is ResultCode.OK or head.run_state is not RunState.NOT_RUN:
            return False
        if head_to_refusal(head).code is not ResultCode.OWNER_UNREACHABLE:
            return False
        return self.clock.now_ms() + MAX_PAUSE_MS < deadline_at_ms
