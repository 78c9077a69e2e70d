"""Token bucket of one slice, with its loans."""

from typing import Self

import attrs
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import JSONDecodeError

from .config import LimitsConfig
from .const import MICRO_PER_MILLI, PPM
from .models import LoanReport, SliceShare


@attrs.frozen
class LoanKey:
    """Identifies a loan within its slice."""

    borrower: str
    incarnation: int
    loan_id: int


@attrs.define
class Loan:
    """Tokens lent to one borrower, as recorded by the owner.

    Parameters
    ----------
    granted_milli, spent_milli, returned_milli : int
        Milli-calls granted, and those reported as spent and returned.
    expires_ms : int
        Time on the owner's clock from which the rest can no longer be spent.
    """

    granted_milli: int
    expires_ms: int
    spent_milli: int = 0
    returned_milli: int = 0

    @property
    def outstanding_milli(self) -> int:
        """Return the milli-calls that the borrower may still spend."""
        return self.granted_milli - self.spent_milli - self.returned_milli


@attrs.define
class SliceBucket:
    """Token bucket of one slice, held by its owner.

    Level plus outstanding loans never exceed the burst, so all borrowers together
    spend at most ``rate * w + burst`` of the slice in any window of length `w`.

    Parameters
    ----------
    refilled_ms : int
        Time up to which the level includes the refill.
    level_micro : int
        Micro-calls available for lending.
    loans : dict
        Outstanding loans, earliest expiry first.
    outstanding_milli : int
        Unspent milli-calls of these loans.
    """

    share: SliceShare
    config: LimitsConfig
    refilled_ms: int
    level_micro: int = 0
    loans: dict[LoanKey, Loan] = attrs.field(factory=dict)
    outstanding_milli: int = 0

    def lend(self, now_ms: int, key: LoanKey, needed_milli: int, reserve_milli: int) -> int:
        """Grant a loan within the current level and return the milli-calls granted.

        A repeated request returns the amount of its existing loan and creates no second one.
        """
        self.advance(now_ms)
        earlier = self.loans.get(key)
        if earlier is not None:
            return earlier.granted_milli
        available = self.level_milli
        needed = min(max(needed_milli, 0), available)
        reserve = min(max(reserve_milli, 0), (available - needed) // 2)
        granted = needed + reserve
        if granted:
            self.level_micro -= granted * MICRO_PER_MILLI
            self.outstanding_milli += granted
            self.loans[key] = Loan(granted, now_ms + self.config.owner_lease_ms)
        return granted

    def apply_report(self, now_ms: int, key: LoanKey, report: LoanReport) -> None:
        """Apply a borrower's report; duplicate and out-of-date reports have no effect."""
        self.advance(now_ms)
        loan = self.loans.get(key)
        if loan is None:
            return
        spent = max(report.spent_milli, loan.spent_milli)
        returned = max(report.returned_milli, loan.returned_milli)
        if spent + returned > loan.granted_milli:
            return
        self.outstanding_milli -= spent - loan.spent_milli + returned - loan.returned_milli
        self.level_micro += (returned - loan.returned_milli) * MICRO_PER_MILLI
        self._clamp_level()
        loan.spent_milli = spent
        loan.returned_milli = returned
        if not loan.outstanding_milli:
            del self.loans[key]

    def change_share(self, now_ms: int, share: SliceShare) -> None:
        """Replace rate and burst; the time up to `now_ms` is refilled at the previous rate."""
        self.advance(now_ms)
        self.share = share
        self.refilled_ms = max(self.refilled_ms, now_ms)
        self._clamp_level()

    def advance(self, now_ms: int) -> None:
        """Refill up to `now_ms`, removing each expired loan at its own expiry time."""
        while self.loans:
            key, loan = next(iter(self.loans.items()))
            if loan.expires_ms > now_ms:
                break
            self._refill(loan.expires_ms)
            self.outstanding_milli -= loan.outstanding_milli
            del self.loans[key]
        self._refill(now_ms)

    @property
    def level_milli(self) -> int:
        """Return the level in milli-calls, rounded down."""
        return self.level_micro // MICRO_PER_MILLI

    def to_bytes(self, now_ms: int) -> bytes:
        """Return the hand-over payload: level and outstanding loans with their remaining time."""
        self.advance(now_ms)
        loans = [
            _PackedLoan(
                key.borrower,
                key.incarnation,
                key.loan_id,
                loan.granted_milli,
                loan.spent_milli,
                loan.returned_milli,
                loan.expires_ms - now_ms,
            )
            for key, loan in self.loans.items()
        ]
        return _CONVERTER.dumps(_PackedBucket(self.level_micro, tuple(loans)))

    @classmethod
    def from_bytes(
        cls, now_ms: int, payload: bytes, share: SliceShare, config: LimitsConfig
    ) -> Self:
        """Restore a bucket from a hand-over payload; the transfer time adds no refill.

        Raises
        ------
        ValueError
            If the payload cannot be decoded.
        """
        try:
            packed = _CONVERTER.loads(payload, _PackedBucket)
        except (BaseValidationError, JSONDecodeError) as error:
            raise ValueError("slice hand-over cannot be read: malformed JSON or fields") from error
        bucket = cls(share, config, refilled_ms=now_ms, level_micro=packed.level_micro)
        for item in sorted(packed.loans, key=lambda item: item.remaining_ms):
            loan = Loan(
                item.granted_milli,
                now_ms + _stretch(item.remaining_ms, config),
                item.spent_milli,
                item.returned_milli,
            )
            bucket.loans[LoanKey(item.borrower, item.incarnation, item.loan_id)] = loan
            bucket.outstanding_milli += loan.outstanding_milli
        bucket._clamp_level()
        return bucket

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.refilled_ms
        if elapsed_ms <= 0:
            return
        slowest_ppm = PPM - self.config.drift_ppm
        gain = elapsed_ms * self.share.rate_milli_per_s * slowest_ppm // PPM
        if not gain:
            return
        self.refilled_ms = now_ms
        max_level = self._max_level_micro()
        if max_level > self.level_micro:
            self.level_micro = min(self.level_micro + gain, max_level)

    def _clamp_level(self) -> None:
        self.level_micro = max(0, min(self.level_micro, self._max_level_micro()))

    def _max_level_micro(self) -> int:
        """Return the maximum level beside the outstanding loans, in micro-calls.

        The refill of one clock step is subtracted for the resolution of the clocks.
        """
        clock_step_micro = self.share.rate_milli_per_s * self.config.clock_step_ms
        burst_micro = self.share.burst_milli * MICRO_PER_MILLI
        return burst_micro - clock_step_micro - self.outstanding_milli * MICRO_PER_MILLI


def _stretch(remaining_ms: int, config: LimitsConfig) -> int:
    """Extend a remaining time of another VM's clock by the possible drift and the margin."""
    return -(-remaining_ms * (PPM + 2 * config.drift_ppm) // PPM) + config.margin_ms


@attrs.frozen
class _PackedLoan:
    borrower: str
    incarnation: int
    loan_id: int
    granted_milli: int
    spent_milli: int
    returned_milli: int
    remaining_ms: int


@attrs.frozen
class _PackedBucket:
    level_micro: int
    loans: tuple[_PackedLoan, ...]


_CONVERTER = make_converter()
