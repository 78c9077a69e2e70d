"""One account at one entry daemon: loans held, demand, waiting calls."""

from collections import OrderedDict

import attrs

from wisteria_core import Refusal, ResultCode

from .config import LimitsConfig
from .const import (
    MILLI_PER_CALL,
    MOST_DOUBLINGS,
    MS_PER_S,
    POOR_YIELD_DIVISOR,
    REPORT_INTERVAL_BURST_DIVISOR,
)
from .demand import Demand
from .lenders import Lenders
from .loans import HeldLoans
from .models import AccountRate, Admitted, Decided, Pending


@attrs.define
class Wish:
    """Milli-calls to borrow: for waiting calls, and ahead of need."""

    needed_milli: int
    reserve_milli: int


@attrs.define
class BorrowingAccount:
    """State of one account at the borrower.

    Parameters
    ----------
    rate : AccountRate
        Figures of the whole account.
    lenders : Lenders
        Its slices.
    demand : Demand
        Estimate of the local arrivals.
    admitted : Demand
        Estimate of the local admissions.
    waiting : OrderedDict
        Waiter id to the reading by which it must be decided, oldest first.
    """

    rate: AccountRate
    config: LimitsConfig
    lenders: Lenders
    demand: Demand
    admitted: Demand
    loans: HeldLoans = attrs.field(factory=HeldLoans)
    waiting: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    next_ask_ms: int = 0
    poor_rounds: int = 0
    next_report_ms: int = 0
    round_asked_milli: int = 0
    round_granted_milli: int = 0

    def active(self, now_ms: int) -> bool:
        """Return whether the account has calls, loans or requests to look after."""
        if self.waiting or self.loans.held() or self.lenders.asked_milli:
            return True
        arrival_ms = self.demand.last_arrival_ms
        return arrival_ms is not None and now_ms - arrival_ms <= self.config.idle_return_ms

    def draw(self, now_ms: int) -> Admitted | None:
        """Take one call's token, or None when too little is held."""
        draws = self.loans.draw(now_ms, MILLI_PER_CALL)
        if draws is None:
            return None
        self.admitted.add(now_ms, MILLI_PER_CALL)
        return Admitted(self.rate.account, draws)

    def admit(self, now_ms: int, waiter_id: int) -> Admitted | Pending | Refusal:
        """Decide a call, or let it wait for a loan."""
        self.demand.add(now_ms, MILLI_PER_CALL)
        if not self.waiting:
            admitted = self.draw(now_ms)
            if admitted is not None:
                return admitted
        if not self._may_borrow(now_ms):
            return self.refuse()
        until_ms = now_ms + self.config.wait_limit_ms
        self.waiting[waiter_id] = until_ms
        return Pending(waiter_id, until_ms)

    def serve_waiting(self, now_ms: int) -> list[Decided]:
        """Let waiting calls go on while tokens last; refuse those whose time is up."""
        decided = []
        while self.waiting:
            waiter_id, until_ms = next(iter(self.waiting.items()))
            admitted = self.draw(now_ms)
            if admitted is not None:
                decided.append(Decided(waiter_id, admitted))
            elif until_ms <= now_ms or not self._worth_waiting(now_ms):
                decided.append(Decided(waiter_id, self.refuse()))
            else:
                break
            del self.waiting[waiter_id]
        return decided

    def refuse(self) -> Refusal:
        """Return the refusal that is true of this moment.

        The rate is exceeded unless the owners that do not reply could make up what is missing.
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

    def wish(self, now_ms: int) -> Wish:
        """Return what is worth asking for now."""
        needed = len(self.waiting) * MILLI_PER_CALL - self.loans.total_milli
        asked = self.lenders.asked_milli
        target = self.target_milli(now_ms)
        held = self.loans.total_milli + asked
        reserve = target - held if held < target // 2 or needed > 0 else 0
        return Wish(max(0, needed - asked), max(0, reserve - max(0, needed - asked)))

    def judge_round(self, now_ms: int) -> int:
        """Return how many rounds in a row were granted little, up to the last one."""
        poor = self.round_granted_milli * POOR_YIELD_DIVISOR < self.round_asked_milli
        recent = now_ms - self.next_ask_ms < self.config.idle_return_ms
        self.poor_rounds = self.poor_rounds + 1 if poor and recent else 0
        return self.poor_rounds

    def note_asked(self, now_ms: int, amount_milli: int) -> None:
        """Pace the requests: the pause doubles while little of a round is granted."""
        pause_ms = self.config.ask_interval_ms << min(self.poor_rounds, MOST_DOUBLINGS)
        self.next_ask_ms = now_ms + min(pause_ms, self.config.ask_interval_max_ms)
        self.round_asked_milli = amount_milli
        self.round_granted_milli = 0

    def report_due(self, now_ms: int) -> bool:
        """Return whether spent tokens should be reported without waiting for a request."""
        if now_ms >= self.next_report_ms:
            return True
        if self.lenders.small and self.surplus_milli(now_ms):
            return True
        limit = self.rate.burst * MILLI_PER_CALL // self.config.report_burst_divisor
        return self.loans.unreported_milli >= max(limit, MILLI_PER_CALL)

    @property
    def report_interval_ms(self) -> int:
        """Return the longest delay of a report, which keeps unreported tokens few."""
        refill_ms = self.rate.burst * MS_PER_S // self.rate.rate
        slowest_ms = min(
            refill_ms // REPORT_INTERVAL_BURST_DIVISOR, self.config.report_interval_max_ms
        )
        return max(slowest_ms, self.config.report_interval_ms)

    def target_milli(self, now_ms: int) -> int:
        """Return the milli-calls that should be held ahead of need."""
        arrival_ms = self.demand.last_arrival_ms
        if arrival_ms is None or now_ms - arrival_ms > self.config.idle_return_ms:
            return 0
        ahead = self.demand.milli_per_s * self.config.reserve_ms // MS_PER_S
        fair = self.demand.milli_per_s * self.rate.burst // self.rate.rate
        fair //= self.config.reserve_burst_divisor
        target = min(ahead + MILLI_PER_CALL, fair)
        return target - target % MILLI_PER_CALL

    def surplus_milli(self, now_ms: int) -> int:
        """Return the milli-calls that are better given back."""
        if self.waiting:
            return 0
        target = self.target_milli(now_ms)
        if self.loans.total_milli < MILLI_PER_CALL or not target:
            return self.loans.total_milli if not self.lenders.asked_milli else 0
        return max(0, self.loans.total_milli - 2 * target)

    def give_back(self, now_ms: int, amount_milli: int) -> None:
        """Return tokens that are better lent elsewhere, and expect them at their owners."""
        for slice_key, part in self.loans.give_back(now_ms, amount_milli).items():
            lender = self.lenders.by_key.get(slice_key)
            if lender is not None:
                lender.level_milli += part

    def _may_borrow(self, now_ms: int) -> bool:
        """Return whether the calls waiting and one more can hope for tokens."""
        if not self.lenders.asked_milli and self.next_ask_ms > now_ms + self.config.wait_limit_ms:
            return False
        hoped = self.lenders.availability_milli(now_ms) + self.lenders.asked_milli
        hoped += self.loans.total_milli
        return hoped >= (len(self.waiting) + 1) * MILLI_PER_CALL

    def _worth_waiting(self, now_ms: int) -> bool:
        """Return whether the oldest waiting call can hope for tokens."""
        if self.lenders.asked_milli:
            return True
        hoped = self.loans.total_milli + self.lenders.availability_milli(now_ms)
        return hoped >= MILLI_PER_CALL
