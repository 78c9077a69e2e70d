"""Account rates kept by counts that daemons exchange: each admits on its own."""

import math

import attrs

from wisteria_core import Refusal, ResultCode, VmId

from .models import AccountRate, Admitted

_MS_PER_S = 1_000
_MILLI = 1_000


@attrs.frozen
class SharedRateConfig:
    """Parameters of rates by exchanged counts.

    Parameters
    ----------
    smoothing_ms : int
        Time constant of the demand, in milliseconds: several exchanges of reports, and
        short against the windows in which an operator counts calls.
    reserve_part : float
        Part of the burst below which calls are admitted by share alone: what all daemons
        together may admit before they hear of one another.
    demand_part, even_part : float
        Parts of a rate that are divided by demand and evenly; the second lets a daemon
        without demand so far admit its first calls.
    borrow_factor : float
        Multiple of an even part of the spare tokens that a daemon may admit between two reports:
        all of them may do so at once.
    debt_part : float
        Part of the shares that is used while more was admitted than the rate allows.
    heard_ms : int
        Age of a report up to which its daemon counts as heard, in milliseconds.
    memory_ms : int
        Time for which the demand of a daemon that is no longer heard still counts: it may be
        cut off and use its share, in milliseconds.
    max_retry_after_ms : int
        Bound on the advice to a caller beyond its rate, in milliseconds.
    overage : float
        Part by which rate and burst are exceeded on purpose, so that calls within them are not
        refused because daemons differ in what they have heard.
    slack : float
        Calls added to the burst for the same reason.
    """

    smoothing_ms: int = 1_000
    reserve_part: float = 0.3
    demand_part: float = 0.9
    even_part: float = 0.1
    borrow_factor: float = 3.0
    debt_part: float = 0.8
    heard_ms: int = 1_000
    memory_ms: int = 30_000
    max_retry_after_ms: int = 5_000
    overage: float = 0.0
    slack: float = 0.0


@attrs.frozen
class AccountUse:
    """What one daemon has seen of one account.

    Parameters
    ----------
    demand_milli : int
        Calls offered, in thousandths of a call a second.
    admitted : int
        Calls admitted since the daemon's start.
    """

    account: str
    demand_milli: int
    admitted: int


@attrs.define
class _Heard:
    """Last report of one daemon."""

    incarnation: int
    uses: dict[str, AccountUse]
    heard_ms: int


@attrs.define
class _Account:
    """What this daemon keeps for one account.

    Parameters
    ----------
    fleet_level : float
        Calls that the whole fleet may admit now as far as it is known here; below zero when
        it has admitted too many.
    own_level : float
        Calls that this daemon may admit out of its share.
    demand : float
        Offered calls, decayed; divided by the time constant it is a rate.
    borrowed : int
        Calls admitted beyond the own share since the last report to the peers.
    reported : float
        Offered calls a second as the last report told them.
    promised_ms : int
        Moment up to which refused callers have been told to come back.
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
    promised_ms: int = 0


@attrs.define
class SharedRateLimiter:
    """Admits calls within the account rates of the whole fleet.

    Daemons tell each other several times a second what they have admitted and were offered.
    Each follows the bucket of the whole fleet; while that is well filled it admits whatever
    comes. When it runs low, each admits its share alone: the part of the demand of all that it
    has itself. Nobody is asked for a call, and a daemon that is cut off keeps its share.

    Parameters
    ----------
    vm_id : VmId
        This VM.
    config : SharedRateConfig
        Parameters.
    """

    vm_id: VmId
    config: SharedRateConfig = attrs.field(factory=SharedRateConfig)
    _accounts: dict[str, _Account] = attrs.field(init=False, factory=dict)
    _heard: dict[VmId, _Heard] = attrs.field(init=False, factory=dict)
    _daemons: int = attrs.field(init=False, default=1)

    def set_daemon_count(self, count: int) -> None:
        """Set the number of daemons that admit calls, this one included."""
        self._daemons = max(1, count)

    def apply_rates(self, now_ms: int, rates: dict[str, AccountRate]) -> None:
        """Put the rates of a configuration in force; accounts that stay keep their state."""
        accounts: dict[str, _Account] = {}
        for name, rate in rates.items():
            account = self._accounts.get(name)
            if account is None:
                # a daemon that has just started does not know what was admitted before
                account = _Account(rate, now_ms, 1.0 / self._daemons)
                account.own_level = self._own_room(account)
            self._refill(now_ms, account)
            account.rate = rate
            account.fleet_level = min(account.fleet_level, self._burst(account))
            account.own_level = min(account.own_level, self._own_room(account))
            accounts[name] = account
        self._accounts = accounts

    def admit(self, now_ms: int, name: str) -> Admitted | Refusal:
        """Take one call's token; an account without a rate is not bounded."""
        account = self._accounts.get(name)
        if account is None:
            return Admitted(name)
        self._note_demand(now_ms, account)
        self._update_share(now_ms, name, account)
        self._refill(now_ms, account)
        is_plentiful = self._is_plentiful(now_ms, name, account)
        if not is_plentiful and account.own_level < 1.0:
            return Refusal(
                ResultCode.RATE_EXCEEDED,
                "the client account is over its rate and burst",
                retry_after_ms=self._promise(now_ms, account),
            )
        if account.own_level >= 1.0:
            account.own_level -= 1.0
        else:
            account.borrowed += 1
        account.fleet_level -= 1.0
        account.admitted += 1
        return Admitted(name)

    def refund(self, now_ms: int, admitted: Admitted) -> None:
        """Give the token of a call back that has not run."""
        account = self._accounts.get(admitted.account)
        if admitted.refunded or account is None:
            return
        admitted.refunded = True
        self._refill(now_ms, account)
        account.admitted -= 1
        account.fleet_level = min(account.fleet_level + 1.0, self._burst(account))
        account.own_level = min(account.own_level + 1.0, self._own_room(account))

    def report(self, now_ms: int) -> tuple[AccountUse, ...]:
        """Return what this daemon has seen, to be sent to its peers now."""
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
        """Take in what a peer has seen; a lost report is made up for by the next one."""
        earlier = self._heard.get(vm_id)
        is_same = earlier is not None and earlier.incarnation == incarnation
        self._heard[vm_id] = _Heard(incarnation, {one.account: one for one in uses}, now_ms)
        for use in uses:
            account = self._accounts.get(use.account)
            if account is None or earlier is None or not is_same:
                continue
            before = earlier.uses.get(use.account)
            admitted = use.admitted - (before.admitted if before is not None else 0)
            self._refill(now_ms, account)
            account.fleet_level = min(account.fleet_level - admitted, self._burst(account))

    def drop_stale_reports(self, now_ms: int) -> None:
        """Drop what was heard too long ago; call it about once a second."""
        oldest_ms = now_ms - self.config.memory_ms
        self._heard = {vm: heard for vm, heard in self._heard.items() if heard.heard_ms > oldest_ms}

    def describe(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Return share, levels and demand (calls/s) of each account."""
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
        """Return the offered calls a second."""
        decayed = account.demand * self._decay(now_ms, account)
        return decayed * _MS_PER_S / self.config.smoothing_ms

    def _update_share(self, now_ms: int, name: str, account: _Account) -> None:
        # as old as what is known of the others: in a surge each would take itself for the hottest
        own = account.reported
        others = sum(
            heard.uses[name].demand_milli for heard in self._heard.values() if name in heard.uses
        )
        total = own + others / _MILLI
        by_demand = own / total if total > 0 else 1.0 / self._daemons
        share = self.config.demand_part * by_demand + self.config.even_part / self._daemons
        # a daemon that hears few others can't tell how their demand has grown
        account.share = share if self._hears_most(now_ms) else min(account.share, share)

    def _hears_most(self, now_ms: int) -> bool:
        oldest_ms = now_ms - self.config.heard_ms
        heard = sum(1 for one in self._heard.values() if one.heard_ms >= oldest_ms)
        return 2 * heard >= self._daemons - 1

    def _is_plentiful(self, now_ms: int, name: str, account: _Account) -> bool:
        """Return whether the fleet has tokens to spare that the others do not take unheard."""
        spare = account.fleet_level - self._reserve(now_ms, name, account)
        return account.borrowed < spare * self.config.borrow_factor / self._daemons

    def _reserve(self, now_ms: int, name: str, account: _Account) -> float:
        """Return the level to leave for what others may have admitted since their reports."""
        unheard = 0.0
        for heard in self._heard.values():
            use = heard.uses.get(name)
            if use is not None:
                age_ms = min(now_ms - heard.heard_ms, self.config.heard_ms)
                unheard += use.demand_milli / _MILLI * age_ms / _MS_PER_S
        if not self._hears_most(now_ms) and self._daemons > 1:
            return math.inf
        return self.config.reserve_part * self._burst(account) + unheard

    def _refill(self, now_ms: int, account: _Account) -> None:
        elapsed_s = max(0, now_ms - account.refilled_ms) / _MS_PER_S
        account.refilled_ms = now_ms
        gained = self._per_s(account) * elapsed_s
        account.fleet_level = min(account.fleet_level + gained, self._burst(account))
        part = self.config.debt_part if account.fleet_level < 0 else 1.0
        own_gained = gained * account.share * part
        account.own_level = min(account.own_level + own_gained, self._own_room(account))

    def _per_s(self, account: _Account) -> float:
        return account.rate.rate * (1.0 + self.config.overage)

    def _burst(self, account: _Account) -> float:
        return account.rate.burst * (1.0 + self.config.overage) + self.config.slack

    def _own_room(self, account: _Account) -> float:
        """Return the highest level of the own share, one call at least."""
        reserve = self.config.reserve_part * self._burst(account)
        return max(1.0, reserve * account.share)

    def _promise(self, now_ms: int, account: _Account) -> int:
        """Return when a refused caller may come back; each is given the next free token."""
        per_call_ms = _MS_PER_S / max(self._per_s(account) * account.share, 0.001)
        account.promised_ms = round(max(now_ms, account.promised_ms) + per_call_ms)
        latest_ms = now_ms + self.config.max_retry_after_ms
        account.promised_ms = min(account.promised_ms, latest_ms)
        return max(1, account.promised_ms - now_ms)
