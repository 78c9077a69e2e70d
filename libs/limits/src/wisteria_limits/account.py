"""Borrower-side state of one account."""

from collections import OrderedDict

import attrs

from wisteria_core import Refusal, ResultCode

from .config import LimitsConfig
from .const import (
    LOW_YIELD_DIVISOR,
    MAX_DOUBLINGS,
    MILLI_PER_CALL,
    MS_PER_S,
    REPORT_INTERVAL_BURST_DIVISOR,
)
from .demand import Demand
from .lenders import Lenders
from .loans import HeldLoans
from .models import AccountRate, Admitted, Decided, Pending


@attrs.define
class BorrowAmounts:
    """Milli-calls to borrow for waiting calls and as a reserve for expected calls."""

    needed_milli: int
    reserve_milli: int


@attrs.define
class BorrowingAccount:
    """Loans, demand estimate and waiting calls of one account at one entry daemon.

    Parameters
    ----------
    demand : Demand
        Estimate of the local arrival rate.
    admitted : Demand
        Estimate of the local admission rate.
    waiting : OrderedDict
        Decision deadline on the local clock by waiter id, oldest first.
    next_request_ms : int
        Earliest time of the next request for tokens.
    low_yield_rounds : int
        Consecutive request rounds with only a small part of the tokens granted.
    next_report_ms : int
        Latest time to report spent tokens.
    round_requested_milli, round_granted_milli : int
        Milli-calls in the current round of requests.
    """

    rate: AccountRate
    config: LimitsConfig
    lenders: Lenders
    demand: Demand
    admitted: Demand
    loans: HeldLoans = attrs.field(factory=HeldLoans)
    waiting: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    next_request_ms: int = 0
    low_yield_rounds: int = 0
    next_report_ms: int = 0
    round_requested_milli: int = 0
    round_granted_milli: int = 0

    def active(self, now_ms: int) -> bool:
        """Return whether the account has waiting calls, loans, open requests or recent arrivals."""
        if self.waiting or self.loans.held() or self.lenders.requested_milli:
            return True
        arrival_ms = self.demand.last_arrival_ms
        return arrival_ms is not None and now_ms - arrival_ms <= self.config.idle_return_ms

    def draw(self, now_ms: int) -> Admitted | None:
        """Spend one call's token; return None if the loans held don't cover it."""
        draws = self.loans.draw(now_ms, MILLI_PER_CALL)
        if draws is None:
            return None
        self.admitted.add(now_ms, MILLI_PER_CALL)
        return Admitted(self.rate.account, draws)

    def admit(self, now_ms: int, waiter_id: int) -> Admitted | Pending | Refusal:
        """Admit or refuse a call, or queue it until a loan arrives."""
        self.demand.add(now_ms, MILLI_PER_CALL)
        if not self.waiting:
            admitted = self.draw(now_ms)
            if admitted is not None:
                return admitted
        if not self._may_borrow(now_ms):
            return self.make_refusal()
        until_ms = now_ms + self.config.wait_limit_ms
        self.waiting[waiter_id] = until_ms
        return Pending(waiter_id, until_ms)

    def decide_waiting(self, now_ms: int) -> list[Decided]:
        """Admit waiting calls while tokens last; refuse those that expired or can't be served."""
        decided = []
        while self.waiting:
            waiter_id, until_ms = next(iter(self.waiting.items()))
            admitted = self.draw(now_ms)
            if admitted is not None:
                decided.append(Decided(waiter_id, admitted))
            elif until_ms <= now_ms or not self._worth_waiting(now_ms):
                decided.append(Decided(waiter_id, self.make_refusal()))
            else:
                break
            del self.waiting[waiter_id]
        return decided

    def make_refusal(self) -> Refusal:
        """Return a refusal with the code that applies now.

        ``RATE_UNAVAILABLE`` if the slices of unresponsive owners have enough rate to cover the
        difference between demand and admissions, otherwise ``RATE_EXCEEDED``.
        """
        missing = self.demand.milli_per_s - self.admitted.milli_per_s
        silent = self.lenders.silent_rate_milli_per_s()
        wait_ms = -(-(len(self.waiting) + 1) * MS_PER_S // self.rate.rate)
        if silent and missing <= silent:
            return Refusal(
                ResultCode.RATE_UNAVAILABLE,
                "The VMs that hold the rest of this account's rate do not answer.",
                retry_after_ms=max(wait_ms, self.config.silence_retry_ms),
            )
        return Refusal(
            ResultCode.RATE_EXCEEDED,
            "The client account is over its rate and burst.",
            retry_after_ms=wait_ms,
        )

    def borrow_amounts(self, now_ms: int) -> BorrowAmounts:
        """Return the amounts to request from the slice owners now."""
        needed = len(self.waiting) * MILLI_PER_CALL - self.loans.total_milli
        requested = self.lenders.requested_milli
        target = self.target_milli(now_ms)
        held = self.loans.total_milli + requested
        reserve = target - held if held < target // 2 or needed > 0 else 0
        return BorrowAmounts(
            max(0, needed - requested), max(0, reserve - max(0, needed - requested))
        )

    def update_low_yield_rounds(self, now_ms: int) -> int:
        """Update and return the number of consecutive low-yield rounds."""
        low_yield = self.round_granted_milli * LOW_YIELD_DIVISOR < self.round_requested_milli
        recent = now_ms - self.next_request_ms < self.config.idle_return_ms
        self.low_yield_rounds = self.low_yield_rounds + 1 if low_yield and recent else 0
        return self.low_yield_rounds

    def note_requested(self, now_ms: int, amount_milli: int) -> None:
        """Start a round; its back-off doubles with each consecutive low-yield round."""
        pause_ms = self.config.request_interval_ms << min(self.low_yield_rounds, MAX_DOUBLINGS)
        self.next_request_ms = now_ms + min(pause_ms, self.config.request_interval_max_ms)
        self.round_requested_milli = amount_milli
        self.round_granted_milli = 0

    def report_due(self, now_ms: int) -> bool:
        """Return whether to report spent tokens without waiting for the next request."""
        if now_ms >= self.next_report_ms:
            return True
        if self.lenders.small and self.surplus_milli(now_ms):
            return True
        limit = self.rate.burst * MILLI_PER_CALL // self.config.report_burst_divisor
        return self.loans.unreported_milli >= max(limit, MILLI_PER_CALL)

    @property
    def report_interval_ms(self) -> int:
        """Return the maximum delay of a report, which limits the number of unreported tokens."""
        refill_ms = self.rate.burst * MS_PER_S // self.rate.rate
        slowest_ms = min(
            refill_ms // REPORT_INTERVAL_BURST_DIVISOR, self.config.report_interval_max_ms
        )
        return max(slowest_ms, self.config.report_interval_ms)

    def target_milli(self, now_ms: int) -> int:
        """Return the reserve to hold for expected calls, in milli-calls."""
        arrival_ms = self.demand.last_arrival_ms
        if arrival_ms is None or now_ms - arrival_ms > self.config.idle_return_ms:
            return 0
        ahead = self.demand.milli_per_s * self.config.reserve_ms // MS_PER_S
        burst_share = self.demand.milli_per_s * self.rate.burst // self.rate.rate
        burst_share //= self.config.reserve_burst_divisor
        target = min(ahead + MILLI_PER_CALL, burst_share)
        return target - target % MILLI_PER_CALL

    def surplus_milli(self, now_ms: int) -> int:
        """Return the milli-calls to return to their owners; none while calls wait.

        Tokens beyond twice the reserve are surplus; all are if no reserve is wanted or they don't
        cover one call, unless a request awaits its reply.
        """
        if self.waiting:
            return 0
        target = self.target_milli(now_ms)
        if self.loans.total_milli < MILLI_PER_CALL or not target:
            return self.loans.total_milli if not self.lenders.requested_milli else 0
        return max(0, self.loans.total_milli - 2 * target)

    def return_tokens(self, now_ms: int, amount_milli: int) -> None:
        """Return surplus tokens and add them to the estimated levels of their slices."""
        for slice_key, part in self.loans.return_tokens(now_ms, amount_milli).items():
            lender = self.lenders.by_key.get(slice_key)
            if lender is not None:
                lender.level_milli += part

    def _may_borrow(self, now_ms: int) -> bool:
        """Return whether enough tokens can be expected for the waiting calls and one more."""
        if (
            not self.lenders.requested_milli
            and self.next_request_ms > now_ms + self.config.wait_limit_ms
        ):
            return False
        obtainable = self.lenders.availability_milli(now_ms) + self.lenders.requested_milli
        obtainable += self.loans.total_milli
        return obtainable >= (len(self.waiting) + 1) * MILLI_PER_CALL

    def _worth_waiting(self, now_ms: int) -> bool:
        """Return whether tokens can still be expected for the oldest waiting call."""
        if self.lenders.requested_milli:
            return True
        obtainable = self.loans.total_milli + self.lenders.availability_milli(now_ms)
        return obtainable >= MILLI_PER_CALL
