"""The owner's side of one slice: a token bucket that counts what it has lent."""

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
    """Name of a loan within its slice."""

    borrower: str
    incarnation: int
    loan_id: int


@attrs.define
class Loan:
    """Tokens lent, on the owner's clock.

    Parameters
    ----------
    granted_milli, spent_milli, returned_milli : int
        Milli-calls lent, and reported as spent and as given back.
    expires_ms : int
        When the borrower can no longer spend the rest.
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

    Level plus outstanding loans never exceed the burst share, so every window of `w` ms sees
    at most ``rate * w + burst`` of the slice spent, wherever it is spent.

    Parameters
    ----------
    share : SliceShare
        Rate and burst of the slice.
    config : LimitsConfig
        Lease, drift bound and margin.
    refilled_ms : int
        Reading up to which the level counts the refill.
    level_micro : int
        Micro-calls that can be lent.
    loans : dict
        Outstanding loans, earliest expiry first.
    """

    share: SliceShare
    config: LimitsConfig
    refilled_ms: int
    level_micro: int = 0
    loans: dict[LoanKey, Loan] = attrs.field(factory=dict)
    outstanding_milli: int = 0

    def lend(self, now_ms: int, key: LoanKey, needed_milli: int, reserve_milli: int) -> int:
        """Lend what the level allows and return the milli-calls granted.

        A request that was granted before gets the same answer and no second loan.
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

    def settle(self, now_ms: int, key: LoanKey, report: LoanReport) -> None:
        """Take in a report; earlier and repeated ones change nothing."""
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
        self._trim()
        loan.spent_milli = spent
        loan.returned_milli = returned
        if not loan.outstanding_milli:
            del self.loans[key]

    def change_share(self, now_ms: int, share: SliceShare) -> None:
        """Put another rate and burst in force; the earlier refill counts at the earlier rate."""
        self.advance(now_ms)
        self.share = share
        self.refilled_ms = max(self.refilled_ms, now_ms)
        self._trim()

    def advance(self, now_ms: int) -> None:
        """Refill up to `now_ms`, ending each loan at its own moment on the way."""
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
        """Return the whole milli-calls that can be lent."""
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
        """Return the bucket that a hand-over describes; time on the way adds no refill.

        Raises
        ------
        ValueError
            If the payload cannot be read.
        """
        try:
            packed = _CONVERTER.loads(payload, _PackedBucket)
        except (BaseValidationError, JSONDecodeError) as error:
            raise ValueError("the hand-over of a slice cannot be read") from error
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
        bucket._trim()
        return bucket

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.refilled_ms
        if elapsed_ms <= 0:
            return
        slowest = PPM - self.config.drift_ppm
        gain = elapsed_ms * self.share.rate_milli_per_s * slowest // PPM
        if not gain:
            return
        self.refilled_ms = now_ms
        room = self._room_micro()
        if room > self.level_micro:
            self.level_micro = min(self.level_micro + gain, room)

    def _trim(self) -> None:
        self.level_micro = max(0, min(self.level_micro, self._room_micro()))

    def _room_micro(self) -> int:
        """Return the highest level that the burst allows beside the outstanding loans."""
        early_micro = self.share.rate_milli_per_s * self.config.clock_step_ms
        burst_micro = self.share.burst_milli * MICRO_PER_MILLI
        return burst_micro - early_micro - self.outstanding_milli * MICRO_PER_MILLI


def _stretch(remaining_ms: int, config: LimitsConfig) -> int:
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
