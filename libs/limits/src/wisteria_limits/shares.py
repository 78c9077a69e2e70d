"""Account rates divided among daemons by demand: each admits its share on its own."""

import math

import attrs

from wisteria_core import Refusal, ResultCode, VmId

from .models import AccountRate, Admitted

_MS_PER_S = 1_000


@attrs.frozen
class ShareConfig:
    """Parameters of shares by demand.

    Parameters
    ----------
    smoothing_ms : int
        Time constant of the demand, in milliseconds: several exchanges of reports, and
        short against the windows in which an operator counts calls.
    demand_part : float
        Part of a rate that is divided by demand.
    even_part : float
        Part of a rate that is divided evenly, so that a daemon without demand so far can
        admit the first calls; both parts together stay under the overage that the operator
        allows.
    memory_ms : int
        Time for which the demand of a daemon that is no longer heard still counts: it may be
        cut off and use its share, in milliseconds.
    max_retry_after_ms : int
        Bound on the advice to a caller beyond its rate, in milliseconds.
    """

    smoothing_ms: int = 1_000
    demand_part: float = 0.95
    even_part: float = 0.15
    memory_ms: int = 30_000
    max_retry_after_ms: int = 5_000


@attrs.frozen
class AccountDemand:
    """Calls that one daemon was offered for one account, in thousandths of a call a second."""

    account: str
    milli_per_s: int


@attrs.define
class _Heard:
    """Last report of one daemon."""

    demands: dict[str, int]
    heard_ms: int


@attrs.define
class _Account:
    """What this daemon keeps for one account.

    Parameters
    ----------
    level : float
        Calls that may be admitted now.
    demand : float
        Offered calls, decayed; divided by the time constant it is a rate.
    promised_ms : int
        Moment up to which refused callers have been told to come back.
    """

    rate: AccountRate
    level: float
    refilled_ms: int
    share: float
    demand: float = 0.0
    demand_ms: int = 0
    promised_ms: int = 0


@attrs.define
class DemandShares:
    """Admits calls within this daemon's shares of the account rates.

    Daemons tell each other several times a second what they were offered. The share of one is
    its part of the demand of all, so that the rate is found where the calls are. Nobody is
    asked for a call, and a daemon that is cut off keeps the share that it had.

    Parameters
    ----------
    vm_id : VmId
        This VM.
    config : ShareConfig
        Parameters.
    """

    vm_id: VmId
    config: ShareConfig = attrs.field(factory=ShareConfig)
    _accounts: dict[str, _Account] = attrs.field(init=False, factory=dict)
    _heard: dict[VmId, _Heard] = attrs.field(init=False, factory=dict)
    _daemons: int = attrs.field(init=False, default=1)

    def set_daemons(self, count: int) -> None:
        """Set the number of daemons that admit calls, this one included."""
        self._daemons = max(1, count)

    def apply_rates(self, now_ms: int, rates: dict[str, AccountRate]) -> None:
        """Put the rates of a configuration in force; accounts that stay keep their state."""
        accounts: dict[str, _Account] = {}
        for name, rate in rates.items():
            known = self._accounts.get(name)
            if known is None:
                share = min(1.0, (self.config.demand_part + self.config.even_part) / self._daemons)
                known = _Account(rate, rate.burst * share, now_ms, share)
            self._refill(now_ms, known)
            known.rate = rate
            known.level = min(known.level, self._room(known))
            accounts[name] = known
        self._accounts = accounts

    def admit(self, now_ms: int, name: str) -> Admitted | Refusal:
        """Take one call's token; an account without a rate is not bounded."""
        account = self._accounts.get(name)
        if account is None:
            return Admitted(name)
        self._note_demand(now_ms, account)
        account.share = self._compute_share(now_ms, name, account)
        self._refill(now_ms, account)
        if account.level >= 1.0:
            account.level -= 1.0
            return Admitted(name)
        return Refusal(
            ResultCode.RATE_EXCEEDED,
            "the client account is over its rate and burst",
            retry_after_ms=self._promise(now_ms, account),
        )

    def refund(self, now_ms: int, admitted: Admitted) -> None:
        """Give the token of a call back that has not run."""
        account = self._accounts.get(admitted.account)
        if admitted.refunded or account is None:
            return
        admitted.refunded = True
        self._refill(now_ms, account)
        account.level = min(account.level + 1.0, self._room(account))

    def report(self, now_ms: int) -> tuple[AccountDemand, ...]:
        """Return the demand at this daemon, for its peers."""
        demands = (
            AccountDemand(name, int(self._demand_at(now_ms, account) * _MS_PER_S))
            for name, account in self._accounts.items()
        )
        return tuple(one for one in demands if one.milli_per_s)

    def note_report(self, now_ms: int, vm_id: VmId, demands: tuple[AccountDemand, ...]) -> None:
        """Take in the demand at a peer."""
        self._heard[vm_id] = _Heard({one.account: one.milli_per_s for one in demands}, now_ms)

    def forget_silent(self, now_ms: int) -> None:
        """Drop what was heard too long ago; call it about once a second."""
        oldest_ms = now_ms - self.config.memory_ms
        self._heard = {vm: heard for vm, heard in self._heard.items() if heard.heard_ms > oldest_ms}

    def describe(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Return share, level and demand (calls/s) of each account."""
        return {
            name: {
                "share": round(account.share, 4),
                "level": round(account.level, 2),
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

    def _compute_share(self, now_ms: int, name: str, account: _Account) -> float:
        own = self._demand_at(now_ms, account)
        others = sum(heard.demands.get(name, 0) for heard in self._heard.values()) / _MS_PER_S
        even = self.config.even_part / self._daemons
        return min(1.0, self.config.demand_part * own / (own + others) + even)

    def _refill(self, now_ms: int, account: _Account) -> None:
        elapsed_ms = max(0, now_ms - account.refilled_ms)
        account.refilled_ms = now_ms
        gained = account.rate.rate * account.share * elapsed_ms / _MS_PER_S
        account.level = min(account.level + gained, self._room(account))

    @staticmethod
    def _room(account: _Account) -> float:
        """Return the highest level: the share of the burst, and one call at least."""
        return max(1.0, account.rate.burst * account.share)

    def _promise(self, now_ms: int, account: _Account) -> int:
        """Return when a refused caller may come back; each is given the next free token."""
        per_call_ms = _MS_PER_S / max(account.rate.rate * account.share, 0.001)
        account.promised_ms = round(max(now_ms, account.promised_ms) + per_call_ms)
        latest_ms = now_ms + self.config.max_retry_after_ms
        account.promised_ms = min(account.promised_ms, latest_ms)
        return max(1, account.promised_ms - now_ms)
