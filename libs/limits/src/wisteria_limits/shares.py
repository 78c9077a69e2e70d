"""Rate limiter that divides account rates by demand, from counts exchanged by daemons."""

import math

import attrs

from wisteria_core import Refusal, ResultCode, VmId

from .models import AccountRate, Admitted

_MS_PER_S = 1_000
_MILLI = 1_000


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
        Age up to which a peer's report counts as recent, in milliseconds.
    report_retention_ms : int
        Time for which a peer's last report is kept, in milliseconds. A peer without new reports
        may be partitioned and still using its share.
    max_retry_after_ms : int
        Maximum retry delay given to refused callers, in milliseconds.
    overage : float
        Fraction by which rate and burst are exceeded, so that calls within the rate are not
        refused because daemons have received different reports.
    slack : float
        Calls added to the burst for the same reason.
    """

    smoothing_ms: int = 1_000
    reserve_fraction: float = 0.3
    demand_fraction: float = 0.9
    even_fraction: float = 0.1
    borrow_factor: float = 3.0
    debt_fraction: float = 0.8
    heard_ms: int = 1_000
    report_retention_ms: int = 30_000
    max_retry_after_ms: int = 5_000
    overage: float = 0.0
    slack: float = 0.0


@attrs.frozen
class AccountUse:
    """Demand and admissions of one account at one daemon, as reported to its peers.

    Parameters
    ----------
    demand_milli : int
        Offered milli-calls per second.
    admitted : int
        Calls admitted since the daemon started.
    """

    account: str
    demand_milli: int
    admitted: int


@attrs.define
class _PeerReport:
    """Last report received from one peer."""

    incarnation: int
    uses: dict[str, AccountUse]
    heard_ms: int


@attrs.define
class _Account:
    """State of one account at this daemon.

    Parameters
    ----------
    fleet_level : float
        Estimated calls that the whole fleet may admit now; negative after too many.
    own_level : float
        Calls that this daemon may admit from its own share.
    demand : float
        Exponentially decayed count of offered calls; a rate when divided by the time constant.
    borrowed : int
        Calls admitted beyond the own share since the last report to the peers.
    reported : float
        Offered calls per second as last reported to the peers.
    last_retry_at_ms : int
        Latest retry time given to a refused caller.
    """

    rate: AccountRate
    refilled_ms: int
    share: float
    fleet_level: float = 0.0
    own_level: float = 1.0
    admitted: int = 0
    demand: float = 0.0
    demand_ms: int = 0
    borrowed: int = 0
    reported: float = 0.0
    last_retry_at_ms: int = 0


@attrs.define
class SharedRateLimiter:
    """Decentralized rate limiter for accounts whose rates are shared by all daemons.

    Daemons exchange counts of offered and admitted calls several times per second, and each
    estimates the level of a fleet-wide token bucket. While it is high, a daemon admits all
    calls; when low, only from its own share, mostly proportional to its part of the demand.
    Admission needs no message to another daemon, and a partitioned daemon keeps its share.
    """

    vm_id: VmId
    config: SharedRateConfig = attrs.field(factory=SharedRateConfig)
    _accounts: dict[str, _Account] = attrs.field(init=False, factory=dict)
    _reports: dict[VmId, _PeerReport] = attrs.field(init=False, factory=dict)
    _daemons: int = attrs.field(init=False, default=1)

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
        self._note_demand(now_ms, account)
        self._update_share(now_ms, name, account)
        self._refill(now_ms, account)
        has_spare_tokens = self._has_spare_tokens(now_ms, name, account)
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

    def report(self, now_ms: int) -> tuple[AccountUse, ...]:
        """Return the report that the caller must send to all peers now."""
        for account in self._accounts.values():
            account.borrowed = 0
            account.reported = self._demand_at(now_ms, account)
        return tuple(
            AccountUse(name, int(account.reported * _MILLI), account.admitted)
            for name, account in self._accounts.items()
        )

    def note_report(
        self, now_ms: int, vm_id: VmId, incarnation: int, uses: tuple[AccountUse, ...]
    ) -> None:
        """Apply a peer's report. Counts are cumulative, so the next report replaces a lost one."""
        earlier = self._reports.get(vm_id)
        is_same = earlier is not None and earlier.incarnation == incarnation
        self._reports[vm_id] = _PeerReport(incarnation, {one.account: one for one in uses}, now_ms)
        for use in uses:
            account = self._accounts.get(use.account)
            if account is None or earlier is None or not is_same:
                continue
            before = earlier.uses.get(use.account)
            admitted = use.admitted - (before.admitted if before is not None else 0)
            self._refill(now_ms, account)
            account.fleet_level = min(account.fleet_level - admitted, self._burst(account))

    def drop_stale_reports(self, now_ms: int) -> None:
        """Drop reports past their retention time; call about once per second."""
        oldest_ms = now_ms - self.config.report_retention_ms
        self._reports = {
            vm: known for vm, known in self._reports.items() if known.heard_ms > oldest_ms
        }

    def describe(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Return share, levels and demand (in calls/s) of each account."""
        return {
            name: {
                "share": round(account.share, 4),
                "own_level": round(account.own_level, 2),
                "fleet_level": round(account.fleet_level, 2),
                "demand_per_s": round(self._demand_at(now_ms, account), 2),
            }
            for name, account in self._accounts.items()
        }

    def _note_demand(self, now_ms: int, account: _Account) -> None:
        account.demand = account.demand * self._decay(now_ms, account) + 1.0
        account.demand_ms = now_ms

    def _decay(self, now_ms: int, account: _Account) -> float:
        return math.exp(-(now_ms - account.demand_ms) / self.config.smoothing_ms)

    def _demand_at(self, now_ms: int, account: _Account) -> float:
        """Return the offered calls per second."""
        decayed = account.demand * self._decay(now_ms, account)
        return decayed * _MS_PER_S / self.config.smoothing_ms

    def _update_share(self, now_ms: int, name: str, account: _Account) -> None:
        # the own demand as last reported: comparing current demand with the older reports of
        # the peers would make every daemon overestimate its share in a surge
        own = account.reported
        others = sum(
            known.uses[name].demand_milli for known in self._reports.values() if name in known.uses
        )
        total = own + others / _MILLI
        by_demand = own / total if total > 0 else 1.0 / self._daemons
        share = self.config.demand_fraction * by_demand + self.config.even_fraction / self._daemons
        # without recent reports the demand of the peers may have grown, so don't raise the share
        account.share = share if self._has_recent_majority(now_ms) else min(account.share, share)

    def _has_recent_majority(self, now_ms: int) -> bool:
        """Return whether at least half of the peers have sent a recent report."""
        oldest_ms = now_ms - self.config.heard_ms
        known = sum(1 for one in self._reports.values() if one.heard_ms >= oldest_ms)
        return 2 * known >= self._daemons - 1

    def _has_spare_tokens(self, now_ms: int, name: str, account: _Account) -> bool:
        """Return whether the fleet has tokens left beyond the reserve for unreported admissions."""
        spare = account.fleet_level - self._reserve(now_ms, name, account)
        return account.borrowed < spare * self.config.borrow_factor / self._daemons

    def _reserve(self, now_ms: int, name: str, account: _Account) -> float:
        """Return the level kept for calls that peers may have admitted since their reports."""
        unreported = 0.0
        for known in self._reports.values():
            use = known.uses.get(name)
            if use is not None:
                age_ms = min(now_ms - known.heard_ms, self.config.heard_ms)
                unreported += use.demand_milli / _MILLI * age_ms / _MS_PER_S
        if not self._has_recent_majority(now_ms) and self._daemons > 1:
            return math.inf
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
