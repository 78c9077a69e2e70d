"""Account rate limits: borrows tokens for callers, lends from slices owned here."""

import asyncio
from collections.abc import Callable, Iterable

import anyio
import attrs

from wisteria_config import Document
from wisteria_core import Clock, FailureDomain, Refusal, VmId
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    Admitted,
    BorrowReply,
    BorrowRequest,
    Decided,
    Pending,
    SliceId,
    SliceOwner,
    SliceShare,
    slices_for,
)
from wisteria_ownership import SlotId

from .slots import SlotTable, rate_slot

_MS_PER_S = 1_000
TICK_MS = 20


@attrs.define(eq=False)
class _Waiter:
    """Call that waits for a token."""

    decided: anyio.Event = attrs.field(factory=anyio.Event)
    outcome: Admitted | Refusal | None = None


@attrs.define(eq=False)
class AccountRateLimiter:
    """Borrower and lender of account rate tokens in one daemon.

    Parameters
    ----------
    send : callable
        Sends a message to the daemon of a VM; the VM may be this one.
    slots : SlotTable
        Ownership of the slices: which this VM owns now, and which VM owns each other one.
    """

    budget: AccountBudget
    owner: SliceOwner
    clock: Clock
    send: Callable[[VmId, BorrowRequest | BorrowReply], None]
    slots: SlotTable
    shares: dict[SliceId, SliceShare] = attrs.field(factory=dict)
    _waiters: dict[int, _Waiter] = attrs.field(factory=dict)
    _is_tick_scheduled: bool = False

    async def admit(self, account: str) -> Admitted | Refusal:
        """Take a token; wait if it has to be borrowed."""
        verdict = self.budget.admit(self.clock.now_ms(), account)
        if not isinstance(verdict, Pending):
            return verdict
        waiter = _Waiter()
        self._waiters[verdict.waiter_id] = waiter
        self._schedule_tick()
        try:
            await waiter.decided.wait()
        finally:
            del self._waiters[verdict.waiter_id]
            self.budget.cancel(account, verdict.waiter_id)
        assert waiter.outcome is not None
        return waiter.outcome

    def refund(self, admitted: Admitted) -> None:
        """Return the token of a call that did not run."""
        self.budget.refund(self.clock.now_ms(), admitted)

    async def run_ticks(self) -> None:
        """Send due borrow requests, reports and returns until cancelled."""
        while True:
            await anyio.sleep(TICK_MS / _MS_PER_S)
            self.tick()

    def _schedule_tick(self) -> None:
        """Schedule one tick at the end of this loop iteration, for all its calls."""
        if self._is_tick_scheduled:
            return
        self._is_tick_scheduled = True
        asyncio.get_running_loop().call_soon(self.tick)

    def tick(self) -> None:
        """Resolve waiting calls and send due borrow requests."""
        self._is_tick_scheduled = False
        step = self.budget.tick(self.clock.now_ms())
        self._resolve_waiters(step.decided)
        for action in step.sends:
            self.send(action.vm_id, action.request)

    def handle_request(self, sender: VmId, request: BorrowRequest) -> None:
        """Answer from the slices that this VM owns now."""
        if request.borrower != sender:
            return
        now_ms = self.clock.now_ms()
        for slice_id in tuple(self.owner.held()):
            if not self.slots.may_decide(rate_slot(slice_id)):
                self.owner.drop(slice_id)
        reply = self.owner.answer(now_ms, request)
        if reply.grants:
            self.send(sender, reply)

    def handle_reply(self, sender: VmId, reply: BorrowReply) -> None:
        """Apply granted loans."""
        self._resolve_waiters(self.budget.on_reply(self.clock.now_ms(), sender, reply))
        self._schedule_tick()

    def note_link_lost(self, vm_id: VmId) -> None:
        """Treat pending borrow requests to the VM as timed out, as its link was lost."""
        self._resolve_waiters(self.budget.on_link_lost(self.clock.now_ms(), vm_id))

    def apply_document(self, document: Document) -> None:
        now_ms = self.clock.now_ms()
        names = tuple(FailureDomain(domain.name) for domain in document.failure_domains)
        rates = make_rates(document)
        self.shares = {}
        for rate in rates:
            self.shares.update(slices_for(rate, names))
        self._resolve_waiters(self.budget.configure(now_ms, rates, names))
        self.owner.configure(now_ms, self.shares)
        self.refresh_owners()

    def refresh_owners(self) -> None:
        """Recompute which VM owns each slice."""
        owners: dict[SliceId, VmId] = {}
        for slice_id in self.shares:
            vm_id = self.slots.preferred_holder(rate_slot(slice_id))
            if vm_id is not None:
                owners[slice_id] = vm_id
        self.budget.set_owners(owners)

    # SlotHandler

    def acquire(self, slot: SlotId, payload: bytes | None) -> None:
        self.owner.start(self.clock.now_ms(), _slice_of_slot(slot), payload)

    def release(self, slot: SlotId) -> bytes:
        return self.owner.release(self.clock.now_ms(), _slice_of_slot(slot)) or b""

    def drop(self, slot: SlotId) -> None:
        self.owner.drop(_slice_of_slot(slot))

    def _resolve_waiters(self, decided: Iterable[Decided]) -> None:
        for decision in decided:
            waiter = self._waiters.get(decision.waiter_id)
            if waiter is not None:
                waiter.outcome = decision.outcome
                waiter.decided.set()


def make_rates(document: Document) -> list[AccountRate]:
    """Return the rates of client accounts and of the public account for open routes."""
    rates = [
        AccountRate(account.name, account.rate_per_s, account.burst)
        for account in document.accounts
    ]
    public = document.public
    return [*rates, AccountRate("public", public.rate_per_s, public.burst)]


def _slice_of_slot(slot: SlotId) -> SliceId:
    return SliceId(slot.name, FailureDomain(slot.scope.name), slot.index)
