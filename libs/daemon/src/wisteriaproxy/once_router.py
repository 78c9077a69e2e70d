"""Routes at-most-once calls to the owner of their idempotency key."""

from random import Random

import anyio
import attrs

from wisteria_core import Clock, Refusal, ResultCode, RunState, VmId
from wisteria_ledger import slot_for
from wisteria_routing import RetryAllowance
from wisteria_wire import AnswerHead, CallHead

from .answers import head_to_refusal, refusal_to_head
from .forward import Forwarder, ForwardResult, describe_destination
from .once import make_run_key
from .responders import Reply
from .slots import SlotTable, ledger_slot

_MS_PER_S = 1_000
MAX_RETRY_DELAY_MS = 200

OWNER_UNREACHABLE = Refusal(
    ResultCode.OWNER_UNREACHABLE,
    "the VM that decides about the key can't be reached",
    retry_after_ms=1_000,
)


@attrs.define(eq=False)
class AtMostOnceRouter:
    """Sends calls to the VM that owns their idempotency key.

    An attempt is repeated only if the call certainly did not run. The owner is determined anew
    for each attempt, because it may have changed.
    """

    forwarder: Forwarder
    slots: SlotTable
    clock: Clock
    random: Random

    async def forward(
        self,
        head: CallHead,
        deadline_at_ms: int,
        allowance: RetryAllowance,
        *,
        sent: list[str] | None = None,
    ) -> ForwardResult:
        """Send until answered or no retry is allowed."""
        retries = 0
        while True:
            forwarded = await self._attempt(head, deadline_at_ms, allowance)
            if sent is not None and forwarded.vm_id is not None:
                vm = self.forwarder.fleet.find_vm(forwarded.vm_id)
                sent.append(describe_destination(forwarded.vm_id, vm))
            forwarded.retries += retries
            if not self._may_retry(forwarded.head, deadline_at_ms):
                return forwarded
            if not allowance.spend():
                return forwarded
            retries = forwarded.retries + 1
            await anyio.sleep(self.random.randint(1, MAX_RETRY_DELAY_MS) / _MS_PER_S)

    async def _attempt(
        self, head: CallHead, deadline_at_ms: int, allowance: RetryAllowance
    ) -> ForwardResult:
        owner = self._find_owner(head)
        if owner is None:
            return ForwardResult(refusal_to_head(OWNER_UNREACHABLE), None, None)
        attempt_id = object()
        lent = allowance.lend(attempt_id)
        remaining_ms = deadline_at_ms - self.clock.now_ms()
        reply = await self.forwarder.send(
            owner, attrs.evolve(head, allowance=lent, remaining_ms=remaining_ms)
        )
        if isinstance(reply, Refusal):
            allowance.settle(attempt_id, lent)
            return ForwardResult(refusal_to_head(OWNER_UNREACHABLE), None, owner)
        return await self._wait(reply, owner, allowance, attempt_id, lent)

    async def _wait(
        self, reply: Reply, owner: VmId, allowance: RetryAllowance, attempt_id: object, lent: int
    ) -> ForwardResult:
        answer: AnswerHead | Refusal | None = None
        try:
            answer = await reply.wait_answer()
        finally:
            if answer is None:
                allowance.write_off(attempt_id)
                reply.cancel()
        if isinstance(answer, Refusal):
            if answer.run_state is RunState.NOT_RUN:
                allowance.settle(attempt_id, lent)
                answer = OWNER_UNREACHABLE
            else:
                allowance.write_off(attempt_id)
            return ForwardResult(refusal_to_head(answer), None, owner)
        allowance.settle(attempt_id, lent - answer.spent)
        return ForwardResult(answer, reply, owner, answer.spent)

    def _find_owner(self, head: CallHead) -> VmId | None:
        slot_id = slot_for(head.service, make_run_key(head))
        return self.slots.preferred_holder(ledger_slot(head.service, slot_id.index))

    def _may_retry(self, head: AnswerHead, deadline_at_ms: int) -> bool:
        """Return whether the call did not run because its owner was not reached or has changed."""
        if head.code is ResultCode.OK or head.run_state is not RunState.NOT_RUN:
            return False
        if head_to_refusal(head).code is not ResultCode.OWNER_UNREACHABLE:
            return False
        return self.clock.now_ms() + MAX_RETRY_DELAY_MS < deadline_at_ms
