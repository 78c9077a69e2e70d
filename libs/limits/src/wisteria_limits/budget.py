"""Rate limiter of an entry daemon, which borrows tokens from slice owners in advance."""

from collections.abc import Iterable, Mapping

import attrs

from wisteria_core import FailureDomain, Refusal, ResultCode, VmId

from .account import BorrowingAccount
from .config import LimitsConfig
from .const import MAX_DOUBLINGS, OVERREQUEST_FACTOR, SLICES_PER_DOMAIN
from .demand import Demand
from .lenders import Lender, Lenders
from .loans import HeldLoan
from .models import (
    AccountRate,
    Admitted,
    BorrowItem,
    BorrowReply,
    BorrowRequest,
    Decided,
    LoanReport,
    Pending,
    Send,
    SliceId,
    Step,
)
from .slices import slices_for


@attrs.define
class _PendingRequest:
    """Request awaiting its reply.

    Parameters
    ----------
    sent_ms : int
        The leases of its loans start here.
    items : dict
        Milli-calls requested from each slice, by slice key.
    timed_out : bool
        Whether the reply is overdue; its tokens are no longer expected.
    """

    vm_id: VmId
    sent_ms: int
    items: dict[int, int]
    timed_out: bool = False


@attrs.define
class AccountBudget:
    """Rate limiter for client accounts at one entry daemon.

    Parameters
    ----------
    domain : FailureDomain
        Own failure domain; its slices are preferred.
    incarnation : int
        Tells this process from earlier ones on the VM.
    """

    vm_id: VmId
    domain: FailureDomain
    incarnation: int
    config: LimitsConfig = attrs.field(factory=LimitsConfig)
    _accounts: dict[str, BorrowingAccount] = attrs.field(factory=dict, init=False)
    _account_of: dict[int, str] = attrs.field(factory=dict, init=False)
    _lenders_of: dict[VmId, list[Lender]] = attrs.field(factory=dict, init=False)
    _pending_requests: dict[int, _PendingRequest] = attrs.field(factory=dict, init=False)
    _next_id: int = attrs.field(default=1, init=False)
    _next_round_ms: int = attrs.field(default=0, init=False)

    def configure(
        self,
        now_ms: int,
        rates: Iterable[AccountRate],
        domains: Iterable[FailureDomain],
        slices_per_domain: int = SLICES_PER_DOMAIN,
    ) -> tuple[Decided, ...]:
        """Apply the accounts of a configuration version.

        Returns refusals of calls waiting for an account that it no longer contains.
        """
        names = list(domains)
        earlier = self._accounts
        self._accounts = {}
        self._account_of = {}
        for rate in rates:
            account = earlier.pop(rate.account, None) or self._make_account(now_ms, rate)
            account.rate = rate
            shares = slices_for(rate, names, slices_per_domain)
            account.lenders.configure(now_ms, shares)
            self._accounts[rate.account] = account
            self._account_of.update(dict.fromkeys(account.lenders.by_key, rate.account))
        self._index_lenders()
        return tuple(
            Decided(waiter_id, _refuse_unknown_account(account.rate.account))
            for account in earlier.values()
            for waiter_id in account.waiting
        )

    def set_owners(self, owners: Mapping[SliceId, VmId]) -> None:
        """Set the slice owners, derived from the local VM list; other slices have none."""
        by_key = {slice_id.key: vm_id for slice_id, vm_id in owners.items()}
        for account in self._accounts.values():
            for key, lender in account.lenders.by_key.items():
                vm_id = by_key.get(key)
                if vm_id != lender.vm_id:
                    lender.vm_id = vm_id
                    lender.note_reply()
        self._index_lenders()

    def admit(self, now_ms: int, account: str) -> Admitted | Pending | Refusal:
        """Decide whether to admit a call.

        Returns
        -------
        Admitted
            A token was spent.
        Pending
            Waiting for a loan. Call `tick` before the event loop idles; a `Decided` follows.
        Refusal
            ``RATE_EXCEEDED`` or ``RATE_UNAVAILABLE``; the call was not run.
        """
        state = self._accounts.get(account)
        if state is None:
            return _refuse_unknown_account(account)
        waiter_id = self._next_id
        self._next_id += 1
        return state.admit(now_ms, waiter_id)

    def cancel(self, account: str, waiter_id: int) -> None:
        """Remove a waiting call whose caller has disconnected."""
        state = self._accounts.get(account)
        if state is not None:
            state.waiting.pop(waiter_id, None)

    def refund(self, now_ms: int, admitted: Admitted) -> int:
        """Refund the token of a call that did not run; return the milli-calls restored.

        A token is restored only until its loan expires or it is reported as spent; repeating
        has no effect.
        """
        state = self._accounts.get(admitted.account)
        if admitted.refunded or state is None:
            return 0
        admitted.refunded = True
        return state.loans.undo_draws(now_ms, admitted.draws)

    def on_reply(self, now_ms: int, vm_id: VmId, reply: BorrowReply) -> tuple[Decided, ...]:
        """Process an owner's reply; return the outcomes of waiting calls."""
        if reply.incarnation != self.incarnation:
            return ()
        pending = self._pending_requests.get(reply.request_id)
        if pending is None or pending.vm_id != vm_id:
            return ()
        del self._pending_requests[reply.request_id]
        for lender in self._lenders_of.get(vm_id, ()):
            lender.note_reply()
        expires_ms = pending.sent_ms + self.config.lease_ms
        affected: dict[str, BorrowingAccount] = {}
        for grant in reply.grants:
            account = self._find_account(grant.slice_key)
            if account is None or grant.slice_key not in pending.items:
                continue
            affected[account.rate.account] = account
            pending_milli = 0 if pending.timed_out else pending.items[grant.slice_key]
            lender = account.lenders.end_request(grant.slice_key, pending_milli)
            if not grant.held:
                lender.note_not_held(now_ms, self.config)
            account.round_granted_milli += grant.granted_milli
            lender.note_grant(
                now_ms, pending.items[grant.slice_key], grant.granted_milli, grant.left_milli
            )
            if grant.granted_milli > 0 and now_ms < expires_ms:
                loan = HeldLoan(
                    grant.slice_key, reply.request_id, vm_id, grant.granted_milli, expires_ms
                )
                account.loans.add(loan)
        return self._decide_waiting(now_ms, affected.values())

    def on_link_lost(self, now_ms: int, vm_id: VmId) -> tuple[Decided, ...]:
        """Treat all requests to the owner as timed out."""
        for pending in self._pending_requests.values():
            if pending.vm_id == vm_id:
                self._time_out(now_ms, pending)
        return self._decide_waiting(now_ms, self._accounts.values())

    def tick(self, now_ms: int) -> Step:
        """Run due requests, reports and time-outs; call every 20 ms and after each `Pending`."""
        self._expire_requests(now_ms)
        round_due = now_ms >= self._next_round_ms
        if round_due:
            self._next_round_ms = now_ms + self.config.round_interval_ms
        active = [account for account in self._accounts.values() if account.active(now_ms)]
        decided = self._decide_waiting(now_ms, active)
        items: dict[VmId, list[BorrowItem]] = {}
        reports: dict[VmId, list[LoanReport]] = {}
        for account in active:
            self._plan_requests(now_ms, account, round_due, items)
        for account in active:
            self._collect_reports(now_ms, account, items, reports)
        sends = [
            self._make_send(now_ms, vm_id, items.get(vm_id, []), reports.get(vm_id, []))
            for vm_id in {**items, **reports}
        ]
        return Step(tuple(sends), decided)

    def drop_all(self) -> None:
        """Discard all loans; they may have expired during a process suspension."""
        for account in self._accounts.values():
            account.loans.clear()

    def accounts(self) -> Mapping[str, BorrowingAccount]:
        """Return the state of each account, for diagnostics."""
        return self._accounts

    def _make_account(self, now_ms: int, rate: AccountRate) -> BorrowingAccount:
        return BorrowingAccount(
            rate,
            self.config,
            Lenders(self.config, self.vm_id, self.domain),
            Demand(self.config, now_ms),
            Demand(self.config, now_ms),
        )

    def _index_lenders(self) -> None:
        self._lenders_of = {}
        for account in self._accounts.values():
            for lender in account.lenders.by_key.values():
                if lender.vm_id is not None:
                    self._lenders_of.setdefault(lender.vm_id, []).append(lender)

    def _find_account(self, slice_key: int) -> BorrowingAccount | None:
        name = self._account_of.get(slice_key)
        return None if name is None else self._accounts[name]

    def _decide_waiting(
        self, now_ms: int, accounts: Iterable[BorrowingAccount]
    ) -> tuple[Decided, ...]:
        decided: list[Decided] = []
        for account in accounts:
            decided.extend(account.decide_waiting(now_ms))
        return tuple(decided)

    def _plan_requests(
        self,
        now_ms: int,
        account: BorrowingAccount,
        round_due: bool,
        items: dict[VmId, list[BorrowItem]],
    ) -> None:
        account.demand.update(now_ms)
        account.admitted.update(now_ms)
        if now_ms < account.next_request_ms:
            return
        borrow_amounts = account.borrow_amounts(now_ms)
        if not borrow_amounts.needed_milli and not (round_due and borrow_amounts.reserve_milli):
            return
        preferred = items.keys() | set(account.loans.owners_to_report())
        requested_before = account.lenders.requested_milli
        factor = OVERREQUEST_FACTOR << min(account.update_low_yield_rounds(now_ms), MAX_DOUBLINGS)
        chosen = account.lenders.choose(
            now_ms, borrow_amounts.needed_milli, borrow_amounts.reserve_milli, preferred, factor
        )
        if not chosen:
            return
        account.note_requested(now_ms, account.lenders.requested_milli - requested_before)
        for vm_id, wanted in chosen.items():
            items.setdefault(vm_id, []).extend(wanted)

    def _collect_reports(
        self,
        now_ms: int,
        account: BorrowingAccount,
        items: dict[VmId, list[BorrowItem]],
        reports: dict[VmId, list[LoanReport]],
    ) -> None:
        due = account.report_due(now_ms)
        if due:
            surplus = account.surplus_milli(now_ms)
            if surplus:
                account.return_tokens(now_ms, surplus)
            account.next_report_ms = now_ms + account.report_interval_ms
        for vm_id in account.loans.owners_to_report():
            if due or vm_id in items:
                reports.setdefault(vm_id, []).extend(account.loans.take_reports(vm_id))

    def _make_send(
        self, now_ms: int, vm_id: VmId, items: list[BorrowItem], reports: list[LoanReport]
    ) -> Send:
        request_id = self._next_id
        self._next_id += 1
        if items:
            wanted = {item.slice_key: item.needed_milli + item.reserve_milli for item in items}
            self._pending_requests[request_id] = _PendingRequest(vm_id, now_ms, wanted)
        request = BorrowRequest(
            self.vm_id,
            self.incarnation,
            request_id,
            self.config.lease_ms,
            tuple(items),
            tuple(reports),
        )
        return Send(vm_id, request)

    def _expire_requests(self, now_ms: int) -> None:
        for request_id, pending in list(self._pending_requests.items()):
            age_ms = now_ms - pending.sent_ms
            if age_ms >= self.config.reply_timeout_ms:
                self._time_out(now_ms, pending)
            if age_ms >= self.config.lease_ms:
                del self._pending_requests[request_id]

    def _time_out(self, now_ms: int, pending: _PendingRequest) -> None:
        if pending.timed_out:
            return
        pending.timed_out = True
        for slice_key, amount in pending.items.items():
            account = self._find_account(slice_key)
            if account is None:
                continue
            account.lenders.end_request(slice_key, amount)
        for lender in self._lenders_of.get(pending.vm_id, ()):
            lender.note_silence(now_ms, self.config)


def _refuse_unknown_account(account: str) -> Refusal:
    return Refusal(
        ResultCode.RATE_UNAVAILABLE,
        f"The configuration in force names no client account {account!r}.",
    )
