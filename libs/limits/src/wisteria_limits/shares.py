"""Rate limiter that divides account rates by demand, from counts exchanged by daemons."""

import math
from collections.abc import Iterable

import attrs

from wisteria_core import Refusal, ResultCode, VmId

from .models import AccountRate, Admitted

_MS_PER_S = 1_000
NEGLIGIBLE_DEMAND = 0.01
"""Decayed count of calls below which an account has no demand."""


@attrs.frozen
class SharedRateConfig:
    """Parameters of the shared rate limiter.

    Parameters
    ----------
    smoothing_ms : int
        Time constant of the demand estimate, in milliseconds: several report intervals, but
        short compared to the windows in which operators count calls.
    reserve_fraction : float
        Fraction of the burst below which each daemon admits from its own share only. Covers
        what all daemons together may admit before they receive each other's reports.
    demand_fraction, even_fraction : float
        Fractions of a rate divided by demand and evenly. The even one lets a daemon without
        previous demand admit its first calls.
    borrow_factor : float
        Multiple of an even share of the spare tokens that a daemon may admit between two
        reports; bounded because all daemons may do so at once.
    debt_fraction : float
        Fraction of its share that a daemon uses while the fleet has exceeded the account's rate.
    heard_ms : int
        Age up to which the sums of the fleet count as recent, in milliseconds.
    max_retry_after_ms : int
        Maximum retry delay given to refused callers, in milliseconds.
    overage : float
        Fraction by which rate and burst are exceeded, so that calls within the rate are not
        refused because daemons have received different reports.
    slack : float
        Calls added to the burst for the same reason.
    """

    smoothing_ms: int = 1_000
    reserve_fraction: float = 0.2
    demand_fraction: float = 0.9
    even_fraction: float = 0.1
    borrow_factor: float = 1.25
    debt_fraction: float = 0.8
    heard_ms: int = 1_500
    max_retry_after_ms: int = 5_000
    overage: float = 0.0
    slack: float = 0.0


@attrs.frozen
class AccountDelta:
    """Calls of one account since the last report, of one daemon or summed over several.

    Parameters
    ----------
    offered : int
        Calls that arrived.
    admitted : int
        Calls that were admitted, less those refunded; it may be negative.
    """

    account: str
    offered: int
    admitted: int


@attrs.define
class _Account:
    """State of one account at this daemon.

    Parameters
    ----------
    fleet_level : float
        Estimated calls that the whole fleet may admit now; negative after too many.
    own_level : float
        Calls that this daemon may admit from its own share.
    offered, admitted : int
        Calls since the last report.
    sent_offered, sent_admitted : int
        Reported calls that the sums of the fleet have not contained yet.
    own_demand, fleet_demand : float
        Exponentially decayed counts of offered calls in those sums, of this daemon and of all; a
        rate when divided by the time constant.
    borrowed : int
        Calls admitted beyond the own share since the last report.
    last_retry_at_ms : int
        Latest retry time given to a refused caller.
    """

    rate: AccountRate
    refilled_ms: int
    share: float
    fleet_level: float = 0.0
    own_level: float = 1.0
    offered: int = 0
    admitted: int = 0
    sent_offered: int = 0
    sent_admitted: int = 0
    own_demand: float = 0.0
    fleet_demand: float = 0.0
    demand_ms: int = 0
    borrowed: int = 0
    last_retry_at_ms: int = 0


@attrs.define
class SharedRateLimiter:
    """Decentralized rate limiter for accounts whose rates are shared by all daemons.

    Daemons report offered and admitted calls several times per second and receive their sums over
    the fleet, from which each estimates the level of a fleet-wide token bucket. While it is high,
    a daemon admits all calls; when low, only from its own share, mostly proportional to its part
    of the demand. Admission needs no message to another daemon, and a partitioned daemon keeps its
    share. The state does not grow with the fleet.
    """

    vm_id: VmId
    config: SharedRateConfig = attrs.field(factory=SharedRateConfig)
    _accounts: dict[str, _Account] = attrs.field(init=False, factory=dict)
    _daemons: int = attrs.field(init=False, default=1)
    _heard_ms: int | None = attrs.field(init=False, default=None)
    _heard_daemons: int = attrs.field(init=False, default=0)

    def set_daemon_count(self, count: int) -> None:
        """Set the number of daemons that admit calls, including this one."""
        self._daemons = max(1, count)

    def apply_rates(self, now_ms: int, rates: dict[str, AccountRate]) -> None:
        """Apply the rates of a configuration; accounts that remain keep their state."""
        accounts: dict[str, _Account] = {}
        for name, rate in rates.items():
            account = self._accounts.get(name)
            if account is None:
                # start with a fleet level of 0, as earlier admissions are unknown
                account = _Account(rate, now_ms, 1.0 / self._daemons)
                account.own_level = self._max_own_level(account)
            self._refill(now_ms, account)
            account.rate = rate
            account.fleet_level = min(account.fleet_level, self._burst(account))
            account.own_level = min(account.own_level, self._max_own_level(account))
            accounts[name] = account
        self._accounts = accounts

    def admit(self, now_ms: int, name: str) -> Admitted | Refusal:
        """Decide whether to admit a call; accounts without a rate are not limited."""
        account = self._accounts.get(name)
        if account is None:
            return Admitted(name)
        account.offered += 1
        self._update_share(now_ms, account)
        self._refill(now_ms, account)
        has_spare_tokens = self._has_spare_tokens(now_ms, account)
        if not has_spare_tokens and account.own_level < 1.0:
            return Refusal(
                ResultCode.RATE_EXCEEDED,
                "the client account is over its rate and burst",
                retry_after_ms=self._assign_retry_ms(now_ms, account),
            )
        if account.own_level >= 1.0:
            account.own_level -= 1.0
        else:
            account.borrowed += 1
        account.fleet_level -= 1.0
        account.admitted += 1
        return Admitted(name)

    def refund(self, now_ms: int, admitted: Admitted) -> None:
        """Refund the token of a call that did not run; repeating it has no effect."""
        account = self._accounts.get(admitted.account)
        if admitted.refunded or account is None:
            return
        admitted.refunded = True
        self._refill(now_ms, account)
        account.admitted -= 1
        account.fleet_level = min(account.fleet_level + 1.0, self._burst(account))
        account.own_level = min(account.own_level + 1.0, self._max_own_level(account))

    def take_report(self, now_ms: int) -> tuple[AccountDelta, ...]:
        """Return the calls since the last report, which the caller must send now."""
        report = []
        for name, account in self._accounts.items():
            account.borrowed = 0
            if account.offered or account.admitted:
                report.append(AccountDelta(name, account.offered, account.admitted))
                account.sent_offered += account.offered
                account.sent_admitted += account.admitted
                account.offered = account.admitted = 0
        return tuple(report)

    def forget_sent(self) -> None:
        """Forget the reported calls that no sum contains yet: their report may be lost."""
        for account in self._accounts.values():
            account.sent_offered = account.sent_admitted = 0

    def apply_fleet(self, now_ms: int, daemons: int, uses: Iterable[AccountDelta]) -> None:
        """Apply calls summed over the fleet; each reported call is in exactly one sum.

        Parameters
        ----------
        daemons : int
            Number of daemons whose reports are summed; 0 if the sender doesn't know.
        """
        if daemons:
            self._heard_ms, self._heard_daemons = now_ms, daemons
        for use in uses:
            account = self._accounts.get(use.account)
            if account is None:
                continue
            own_offered = min(account.sent_offered, use.offered)
            own_admitted = _common_part(account.sent_admitted, use.admitted)
            account.sent_offered -= own_offered
            account.sent_admitted -= own_admitted
            self._decay_demand(now_ms, account)
            account.own_demand += own_offered
            account.fleet_demand += use.offered
            self._refill(now_ms, account)
            level = account.fleet_level - (use.admitted - own_admitted)
            account.fleet_level = min(level, self._burst(account))

    def describe(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Return share, levels and fleet demand (in calls/s) of each account."""
        return {
            name: {
                "share": round(account.share, 4),
                "own_level": round(account.own_level, 2),
                "fleet_level": round(account.fleet_level, 2),
                "demand_per_s": round(self._fleet_demand_per_s(now_ms, account), 2),
            }
            for name, account in self._accounts.items()
        }

    def _decay_demand(self, now_ms: int, account: _Account) -> None:
        decay = math.exp(-(now_ms - account.demand_ms) / self.config.smoothing_ms)
        account.own_demand *= decay
        account.fleet_demand *= decay
        account.demand_ms = now_ms

    def _fleet_demand_per_s(self, now_ms: int, account: _Account) -> float:
        """Return the calls per second that all daemons were offered."""
        self._decay_demand(now_ms, account)
        return account.fleet_demand * _MS_PER_S / self.config.smoothing_ms

    def _update_share(self, now_ms: int, account: _Account) -> None:
        # both from the same sums: comparing the own present demand with the others' earlier one
        # would make every daemon overestimate its share in a surge
        self._decay_demand(now_ms, account)
        has_demand = account.fleet_demand > NEGLIGIBLE_DEMAND
        by_demand = account.own_demand / account.fleet_demand if has_demand else 1 / self._daemons
        # daemons that the sums don't cover may have demand too
        by_demand *= min(1.0, self._heard_daemons / self._daemons) if self._heard_daemons else 1.0
        share = self.config.demand_fraction * by_demand + self.config.even_fraction / self._daemons
        # without recent sums the demand of the others may have grown, so don't raise the share
        account.share = share if self._has_recent_majority(now_ms) else min(account.share, share)

    def _has_recent_majority(self, now_ms: int) -> bool:
        """Return whether recent sums cover more than half of the daemons."""
        if self._daemons <= 1:
            return True
        is_recent = self._heard_ms is not None and now_ms - self._heard_ms <= self.config.heard_ms
        return is_recent and 2 * self._heard_daemons > self._daemons

    def _has_spare_tokens(self, now_ms: int, account: _Account) -> bool:
        """Return whether the fleet has tokens left beyond the reserve for unreported admissions."""
        spare = account.fleet_level - self._reserve(now_ms, account)
        return account.borrowed < spare * self.config.borrow_factor / self._daemons

    def _reserve(self, now_ms: int, account: _Account) -> float:
        """Return the level kept for calls that others may have admitted since the last sums."""
        if not self._has_recent_majority(now_ms):
            return math.inf
        age_ms = min(now_ms - (self._heard_ms or now_ms), self.config.heard_ms)
        unreported = self._fleet_demand_per_s(now_ms, account) * age_ms / _MS_PER_S
        return self.config.reserve_fraction * self._burst(account) + unreported

    def _refill(self, now_ms: int, account: _Account) -> None:
        elapsed_s = max(0, now_ms - account.refilled_ms) / _MS_PER_S
        account.refilled_ms = now_ms
        gained = self._rate_per_s(account) * elapsed_s
        account.fleet_level = min(account.fleet_level + gained, self._burst(account))
        fraction = self.config.debt_fraction if account.fleet_level < 0 else 1.0
        own_gained = gained * account.share * fraction
        account.own_level = min(account.own_level + own_gained, self._max_own_level(account))

    def _rate_per_s(self, account: _Account) -> float:
        return account.rate.rate * (1.0 + self.config.overage)

    def _burst(self, account: _Account) -> float:
        return account.rate.burst * (1.0 + self.config.overage) + self.config.slack

    def _max_own_level(self, account: _Account) -> float:
        """Return the maximum of the own level, at least one call."""
        reserve = self.config.reserve_fraction * self._burst(account)
        return max(1.0, reserve * account.share)

    def _assign_retry_ms(self, now_ms: int, account: _Account) -> int:
        """Return the retry delay of a refused caller; each gets the time of the next free token."""
        per_call_ms = _MS_PER_S / max(self._rate_per_s(account) * account.share, 0.001)
        account.last_retry_at_ms = round(max(now_ms, account.last_retry_at_ms) + per_call_ms)
        latest_ms = now_ms + self.config.max_retry_after_ms
        account.last_retry_at_ms = min(account.last_retry_at_ms, latest_ms)
        return max(1, account.last_retry_at_ms - now_ms)


def _common_part(sent: int, summed: int) -> int:
    """Return the part of a sum that may be the reported calls; both may be negative."""
    if sent > 0:
        return max(0, min(sent, summed))
    return min(0, max(sent, summed))
