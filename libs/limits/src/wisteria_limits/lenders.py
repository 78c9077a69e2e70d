"""What a borrower believes of the slices of one account, and whom it asks."""

import attrs

from wisteria_core import FailureDomain, VmId

from .config import LimitsConfig
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
    vm_id : VmId or None
        Presumed owner; None when no VM is known to own it.
    level_milli : int
        Level at `seen_ms`, as last told, less what was asked since.
    silent_until_ms : int or None
        When to ask a silent owner again; None for one that replies.
    asked_milli : int
        Milli-calls asked for and not yet answered.
    """

    slice_id: SliceId
    share: SliceShare
    vm_id: VmId | None
    level_milli: int
    seen_ms: int
    silent_until_ms: int | None = None
    asked_milli: int = 0

    def available_milli(self, now_ms: int) -> int:
        """Return the level that is likely now."""
        refill = (now_ms - self.seen_ms) * self.share.rate_milli_per_s // 1_000
        return min(self.level_milli + refill, self.share.burst_milli)

    def usable(self, now_ms: int) -> bool:
        """Return whether the owner is known and worth asking."""
        if self.vm_id is None:
            return False
        return self.silent_until_ms is None or self.silent_until_ms <= now_ms

    def note_level(self, now_ms: int, level_milli: int) -> None:
        """Take in what the owner said was left."""
        self.level_milli = level_milli
        self.seen_ms = now_ms


@attrs.define
class Lenders:
    """The slices of one account, own failure domain first."""

    config: LimitsConfig
    domain: FailureDomain
    by_key: dict[int, Lender] = attrs.field(factory=dict)

    def configure(self, now_ms: int, shares: dict[SliceId, SliceShare]) -> None:
        """Put other shares in force, keeping what is known of slices that stay."""
        earlier = self.by_key
        self.by_key = {}
        for slice_id, share in shares.items():
            lender = earlier.get(slice_id.key)
            if lender is None:
                lender = Lender(slice_id, share, None, share.burst_milli, now_ms)
            lender.share = share
            self.by_key[slice_id.key] = lender

    def availability_milli(self, now_ms: int) -> int:
        """Return what the usable owners are likely to hold together."""
        return sum(
            lender.available_milli(now_ms)
            for lender in self.by_key.values()
            if lender.usable(now_ms)
        )

    def asked_milli(self) -> int:
        """Return what is asked for and not yet answered."""
        return sum(lender.asked_milli for lender in self.by_key.values())

    def silent_rate_milli_per_s(self) -> int:
        """Return the rate of the slices whose owners do not reply."""
        return sum(
            lender.share.rate_milli_per_s
            for lender in self.by_key.values()
            if lender.vm_id is None or lender.silent_until_ms is not None
        )

    def choose(
        self, now_ms: int, needed_milli: int, reserve_milli: int
    ) -> dict[VmId, list[BorrowItem]]:
        """Spread a wish over the owners and note it as asked.

        Owners of the own failure domain come first, then the others; among equals the one
        that is likely to hold most.
        """
        candidates = [
            (lender.slice_id.domain != self.domain, -lender.available_milli(now_ms), key, lender)
            for key, lender in self.by_key.items()
            if lender.usable(now_ms)
        ]
        chosen: dict[VmId, list[BorrowItem]] = {}
        for _, negative, key, lender in sorted(candidates, key=lambda entry: entry[:3]):
            if needed_milli <= 0 and reserve_milli <= 0:
                break
            available = -negative
            needed = min(needed_milli, available)
            reserve = min(reserve_milli, (available - needed) // 2)
            if needed <= 0 and reserve <= 0:
                continue
            needed_milli -= needed
            reserve_milli -= reserve
            lender.note_level(now_ms, available - needed - reserve)
            lender.asked_milli += needed + reserve
            assert lender.vm_id is not None
            chosen.setdefault(lender.vm_id, []).append(BorrowItem(key, needed, reserve))
        return chosen
