"""What a borrower believes of the slices of one account, and whom it asks."""

from collections.abc import Set

import attrs

from wisteria_core import FailureDomain, VmId, rendezvous_weight

from .config import LimitsConfig
from .const import (
    FULL_CONFIDENCE,
    GATHER_MILLI,
    LEAST_CONFIDENCE,
    LEAST_CONFIDENCE_SMALL,
    MILLI_PER_CALL,
    MS_PER_S,
    SMALL_SHARE_MILLI,
    SURPRISE_DIVISOR,
)
from .models import BorrowItem, SliceId, SliceShare


@attrs.define
class Lender:
    """One slice as the borrower sees it.

    Parameters
    ----------
    slice_id : SliceId
        Slice.
    share : SliceShare
        Its rate and burst.
    order : int
        Place among equals; differs between borrowers, so that they spread.
    level_milli : int
        Level at `seen_ms`, as last told, less what was asked since.
    vm_id : VmId or None
        Presumed owner; None when no VM is known to own it.
    silent_until_ms : int or None
        When to ask a silent owner again; None for one that replies.
    silence_ms : int
        Pause after the last request that got no answer.
    confidence : int
        Part of the refill that other borrowers likely leave, of `FULL_CONFIDENCE`.
    expected_milli : int
        Estimate of the level when it was last asked.
    """

    slice_id: SliceId
    share: SliceShare
    order: int
    level_milli: int
    seen_ms: int
    vm_id: VmId | None = None
    silent_until_ms: int | None = None
    silence_ms: int = 0
    confidence: int = FULL_CONFIDENCE
    expected_milli: int = 0

    def available_milli(self, now_ms: int) -> int:
        """Return the level that is likely now."""
        refill = (now_ms - self.seen_ms) * self.share.rate_milli_per_s // MS_PER_S
        refill = refill * self.confidence // FULL_CONFIDENCE
        return min(self.level_milli + refill, self.share.burst_milli)

    @property
    def small(self) -> bool:
        """Return whether calls have to be gathered from several such slices."""
        return self.share.burst_milli < SMALL_SHARE_MILLI

    def usable(self, now_ms: int) -> bool:
        """Return whether the owner is known and worth asking."""
        if self.vm_id is None:
            return False
        if self.silent_until_ms is not None and self.silent_until_ms > now_ms:
            return False
        contended = self.confidence < FULL_CONFIDENCE
        worthwhile = MILLI_PER_CALL if contended else GATHER_MILLI
        return self.small or self.available_milli(now_ms) >= worthwhile

    def note_silence(self, now_ms: int, config: LimitsConfig) -> None:
        """Leave the owner alone for a while, twice as long as the last time."""
        if self.silent_until_ms is not None and self.silent_until_ms > now_ms:
            return
        doubled = max(2 * self.silence_ms, config.silence_retry_ms)
        self.silence_ms = min(doubled, config.silence_retry_max_ms)
        self.silent_until_ms = now_ms + self.silence_ms

    def note_not_held(self, now_ms: int, config: LimitsConfig) -> None:
        """Leave the slice alone for a short while: its VM replies and does not own it (yet)."""
        self.silent_until_ms = now_ms + config.silence_retry_ms

    def note_reply(self) -> None:
        """Take the owner as present."""
        self.silent_until_ms = None
        self.silence_ms = 0

    def note_grant(self, now_ms: int, asked_milli: int, granted_milli: int, left: int) -> None:
        """Take in an owner's answer: its level, and whether the estimate held."""
        expected = min(asked_milli, self.expected_milli)
        if granted_milli < expected - expected // SURPRISE_DIVISOR:
            least = LEAST_CONFIDENCE_SMALL if self.small else LEAST_CONFIDENCE
            self.confidence = max(self.confidence // 2, least)
        elif granted_milli == asked_milli:
            self.confidence = min(self.confidence * 2, FULL_CONFIDENCE)
        self.note_level(now_ms, left)

    def note_level(self, now_ms: int, level_milli: int) -> None:
        """Take in what the owner said was left."""
        self.level_milli = level_milli
        self.seen_ms = now_ms


@attrs.define
class Lenders:
    """The slices of one account, own failure domain first.

    Parameters
    ----------
    config : LimitsConfig
        Parameters shared with the owners.
    vm_id : VmId
        Own VM.
    domain : FailureDomain
        Own failure domain.
    by_key : dict
        Each slice by its key.
    asked_milli : int
        Milli-calls asked for and not yet answered.
    """

    config: LimitsConfig
    vm_id: VmId
    domain: FailureDomain
    by_key: dict[int, Lender] = attrs.field(factory=dict)
    asked_milli: int = 0

    def configure(self, now_ms: int, shares: dict[SliceId, SliceShare]) -> None:
        """Put other shares in force, keeping what is known of slices that stay."""
        earlier = self.by_key
        self.by_key = {}
        for slice_id, share in shares.items():
            lender = earlier.get(slice_id.key)
            if lender is None:
                order = rendezvous_weight(slice_id.name, self.vm_id)
                lender = Lender(slice_id, share, order, share.burst_milli, now_ms)
            lender.share = share
            self.by_key[slice_id.key] = lender

    @property
    def small(self) -> bool:
        """Return whether calls have to be gathered from several slices."""
        return any(lender.small for lender in self.by_key.values())

    def availability_milli(self, now_ms: int) -> int:
        """Return what the usable owners are likely to hold together."""
        return sum(
            lender.available_milli(now_ms)
            for lender in self.by_key.values()
            if lender.usable(now_ms)
        )

    def end_asking(self, slice_key: int, amount_milli: int) -> Lender:
        """Note that a request to one slice was answered or given up, and return the lender."""
        self.asked_milli -= amount_milli
        return self.by_key[slice_key]

    def silent_rate_milli_per_s(self) -> int:
        """Return the rate of the slices whose owners do not reply."""
        return sum(
            lender.share.rate_milli_per_s
            for lender in self.by_key.values()
            if lender.vm_id is None or lender.silent_until_ms is not None
        )

    def choose(
        self,
        now_ms: int,
        needed_milli: int,
        reserve_milli: int,
        preferred: Set[VmId],
        overask: int,
    ) -> dict[VmId, list[BorrowItem]]:
        """Spread a wish over the owners and note it as asked.

        Owners of the own failure domain come first, then the others; among equals a VM that
        gets a message anyway, then the one that is likely to hold most. Small shares are
        gathered where most is likely, wherever that is, and asked for `overask` times what is
        needed.
        """
        candidates = [
            (
                *self._order(lender, preferred),
                -lender.available_milli(now_ms),
                lender.order,
                lender,
            )
            for lender in self.by_key.values()
            if lender.usable(now_ms)
        ]
        chosen: dict[VmId, list[BorrowItem]] = {}
        for _, _, negative, _, lender in sorted(candidates, key=lambda entry: entry[:4]):
            if needed_milli <= 0 and reserve_milli <= 0:
                break
            available = -negative
            needed = min(needed_milli, lender.share.burst_milli)
            reserve = min(reserve_milli, max(0, available - needed) // 2)
            if needed <= 0 and reserve <= 0:
                continue
            likely = available // overask if lender.small else available
            needed_milli -= min(needed, likely)
            reserve_milli -= reserve
            lender.expected_milli = available
            lender.note_level(now_ms, max(0, available - needed - reserve))
            self.asked_milli += needed + reserve
            assert lender.vm_id is not None
            chosen.setdefault(lender.vm_id, []).append(
                BorrowItem(lender.slice_id.key, needed, reserve)
            )
        return chosen

    def _order(self, lender: Lender, preferred: Set[VmId]) -> tuple[bool, bool]:
        if lender.small:
            return (False, False)
        return (lender.slice_id.domain != self.domain, lender.vm_id not in preferred)
