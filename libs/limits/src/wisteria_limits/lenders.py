"""A borrower's estimates of an account's slices, and the choice of lenders."""

from collections.abc import Set

import attrs

from wisteria_core import FailureDomain, VmId, rendezvous_weight

from .config import LimitsConfig
from .const import (
    FULL_CONFIDENCE,
    MILLI_PER_CALL,
    MIN_CONFIDENCE,
    MIN_CONFIDENCE_SMALL,
    MIN_REQUEST_LEVEL_MILLI,
    MS_PER_S,
    SHORTFALL_DIVISOR,
    SMALL_SHARE_MILLI,
)
from .models import BorrowItem, SliceId, SliceShare


@attrs.define
class Lender:
    """A borrower's estimate of one slice.

    Parameters
    ----------
    tie_breaker : int
        Sort key among equal slices; differs between borrowers to spread their requests.
    level_milli : int
        Estimated level at `level_at_ms`: last reported by the owner, less later requests.
    vm_id : VmId or None
        Presumed owner; None if unknown.
    silent_until_ms : int or None
        End of the back-off of an unresponsive owner; None if it replies.
    silence_ms : int
        Back-off after the last request without a reply.
    confidence : int
        Fraction of the refill that other borrowers are expected to leave, in units of
        ``1 / FULL_CONFIDENCE``.
    expected_milli : int
        Estimated level at the time of the last request.
    """

    slice_id: SliceId
    share: SliceShare
    tie_breaker: int
    level_milli: int
    level_at_ms: int
    vm_id: VmId | None = None
    silent_until_ms: int | None = None
    silence_ms: int = 0
    confidence: int = FULL_CONFIDENCE
    expected_milli: int = 0

    def available_milli(self, now_ms: int) -> int:
        """Return the estimated current level."""
        refill = (now_ms - self.level_at_ms) * self.share.rate_milli_per_s // MS_PER_S
        refill = refill * self.confidence // FULL_CONFIDENCE
        return min(self.level_milli + refill, self.share.burst_milli)

    @property
    def small(self) -> bool:
        """Return whether the burst is so small that tokens must come from several slices."""
        return self.share.burst_milli < SMALL_SHARE_MILLI

    def usable(self, now_ms: int) -> bool:
        """Return whether the owner is known, responsive and likely to have tokens."""
        if self.vm_id is None:
            return False
        if self.silent_until_ms is not None and self.silent_until_ms > now_ms:
            return False
        contended = self.confidence < FULL_CONFIDENCE
        min_level_milli = MILLI_PER_CALL if contended else MIN_REQUEST_LEVEL_MILLI
        return self.small or self.available_milli(now_ms) >= min_level_milli

    def note_silence(self, now_ms: int, config: LimitsConfig) -> None:
        """Send the owner no requests for a back-off that doubles each time, up to a maximum."""
        if self.silent_until_ms is not None and self.silent_until_ms > now_ms:
            return
        doubled = max(2 * self.silence_ms, config.silence_retry_ms)
        self.silence_ms = min(doubled, config.silence_retry_max_ms)
        self.silent_until_ms = now_ms + self.silence_ms

    def note_not_held(self, now_ms: int, config: LimitsConfig) -> None:
        """Back off briefly, as the VM does not own the slice (yet)."""
        self.silent_until_ms = now_ms + config.silence_retry_ms

    def note_reply(self) -> None:
        self.silent_until_ms = None
        self.silence_ms = 0

    def note_grant(self, now_ms: int, requested_milli: int, granted_milli: int, left: int) -> None:
        """Update level and confidence from an owner's reply."""
        expected = min(requested_milli, self.expected_milli)
        if granted_milli < expected - expected // SHORTFALL_DIVISOR:
            min_confidence = MIN_CONFIDENCE_SMALL if self.small else MIN_CONFIDENCE
            self.confidence = max(self.confidence // 2, min_confidence)
        elif granted_milli == requested_milli:
            self.confidence = min(self.confidence * 2, FULL_CONFIDENCE)
        self.note_level(now_ms, left)

    def note_level(self, now_ms: int, level_milli: int) -> None:
        """Set the level as of `now_ms`."""
        self.level_milli = level_milli
        self.level_at_ms = now_ms


@attrs.define
class Lenders:
    """Slices of one account, preferring those of the own failure domain.

    Parameters
    ----------
    domain : FailureDomain
        Own failure domain.
    by_key : dict
        Lenders by slice key.
    requested_milli : int
        Milli-calls in requests that await a reply.
    """

    config: LimitsConfig
    vm_id: VmId
    domain: FailureDomain
    by_key: dict[int, Lender] = attrs.field(factory=dict)
    requested_milli: int = 0

    def configure(self, now_ms: int, shares: dict[SliceId, SliceShare]) -> None:
        """Replace the shares; slices that remain keep their estimates."""
        earlier = self.by_key
        self.by_key = {}
        for slice_id, share in shares.items():
            lender = earlier.get(slice_id.key)
            if lender is None:
                tie_breaker = rendezvous_weight(slice_id.name, self.vm_id)
                lender = Lender(slice_id, share, tie_breaker, share.burst_milli, now_ms)
            lender.share = share
            self.by_key[slice_id.key] = lender

    @property
    def small(self) -> bool:
        return any(lender.small for lender in self.by_key.values())

    def availability_milli(self, now_ms: int) -> int:
        """Return the estimated total level of the usable slices."""
        return sum(
            lender.available_milli(now_ms)
            for lender in self.by_key.values()
            if lender.usable(now_ms)
        )

    def end_request(self, slice_key: int, amount_milli: int) -> Lender:
        """Subtract a request that was answered or timed out, and return the slice's lender."""
        self.requested_milli -= amount_milli
        return self.by_key[slice_key]

    def silent_rate_milli_per_s(self) -> int:
        """Return the total rate of the slices whose owner is unknown or unresponsive."""
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
        overrequest_factor: int,
    ) -> dict[VmId, list[BorrowItem]]:
        """Distribute an amount over the slice owners and record it as requested.

        Slices of the own failure domain come first; among equals, VMs in `preferred`, which get a
        message anyway, then higher estimated levels. Small slices are ordered by estimated level
        alone; they get requests until their levels add up to `overrequest_factor` times the need.
        """
        candidates = [
            (
                *self._preference(lender, preferred),
                -lender.available_milli(now_ms),
                lender.tie_breaker,
                lender,
            )
            for lender in self.by_key.values()
            if lender.usable(now_ms)
        ]
        chosen: dict[VmId, list[BorrowItem]] = {}
        for _, _, negative_level, _, lender in sorted(candidates, key=lambda entry: entry[:4]):
            if needed_milli <= 0 and reserve_milli <= 0:
                break
            available = -negative_level
            needed = min(needed_milli, lender.share.burst_milli)
            reserve = min(reserve_milli, max(0, available - needed) // 2)
            if needed <= 0 and reserve <= 0:
                continue
            likely = available // overrequest_factor if lender.small else available
            needed_milli -= min(needed, likely)
            reserve_milli -= reserve
            lender.expected_milli = available
            lender.note_level(now_ms, max(0, available - needed - reserve))
            self.requested_milli += needed + reserve
            assert lender.vm_id is not None
            chosen.setdefault(lender.vm_id, []).append(
                BorrowItem(lender.slice_id.key, needed, reserve)
            )
        return chosen

    def _preference(self, lender: Lender, preferred: Set[VmId]) -> tuple[bool, bool]:
        if lender.small:
            return (False, False)
        return (lender.slice_id.domain != self.domain, lender.vm_id not in preferred)
