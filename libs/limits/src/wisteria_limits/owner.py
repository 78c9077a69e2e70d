"""Lender side of the rate limits."""

import logging
from collections.abc import Iterable, Mapping

import attrs

from .bucket import LoanKey, SliceBucket
from .config import LimitsConfig
from .models import BorrowItem, BorrowReply, BorrowRequest, Grant, SliceId, SliceShare

_LOGGER = logging.getLogger(__name__)


@attrs.define
class SliceOwner:
    """Lends tokens from the slices that this VM owns.

    The caller ensures through slot ownership and fencing that this VM owns the slice at
    each call.
    """

    config: LimitsConfig = attrs.field(factory=LimitsConfig)
    _shares: dict[SliceId, SliceShare] = attrs.field(factory=dict, init=False)
    _buckets: dict[int, SliceBucket] = attrs.field(factory=dict, init=False)
    _held: dict[SliceId, int] = attrs.field(factory=dict, init=False)
    _withdrawn_ms: dict[SliceId, int] = attrs.field(factory=dict, init=False)

    def configure(self, now_ms: int, shares: Mapping[SliceId, SliceShare]) -> None:
        """Apply the shares of a configuration version and drop slices it no longer contains.

        A slice that returns later refills only after its earlier loans have expired.
        """
        self._shares = dict(shares)
        for slice_id in list(self._held):
            share = shares.get(slice_id)
            if share is None:
                self.drop(slice_id)
                self._withdrawn_ms[slice_id] = now_ms
                continue
            self._buckets[slice_id.key].change_share(now_ms, share)

    def start(self, now_ms: int, slice_id: SliceId, payload: bytes | None = None) -> bool:
        """Start lending from a slice; one that is already held is left unchanged.

        Parameters
        ----------
        now_ms : int
            Local time; loans of a failed predecessor must have expired by then.
        payload : bytes, optional
            Hand-over payload of the previous owner. Without one, the slice starts empty; with an
            unreadable one, it also refills only after all loans that it may contain have expired.

        Returns False if the current configuration does not contain the slice.
        """
        share = self._shares.get(slice_id)
        if share is None:
            return False
        if slice_id in self._held:
            return True
        self._held[slice_id] = slice_id.key
        self._buckets[slice_id.key] = self._make_bucket(now_ms, slice_id, share, payload)
        return True

    def release(self, now_ms: int, slice_id: SliceId) -> bytes | None:
        """Stop lending from a slice; return its hand-over payload, or None if it is not held."""
        bucket = self._buckets.get(slice_id.key)
        if bucket is None:
            return None
        self.drop(slice_id)
        return bucket.to_bytes(now_ms)

    def drop(self, slice_id: SliceId) -> None:
        """Stop lending from a slice and discard its state."""
        self._held.pop(slice_id, None)
        self._buckets.pop(slice_id.key, None)

    def drop_all(self) -> None:
        """Drop all slices, as after a process suspension."""
        self._held.clear()
        self._buckets.clear()

    def held(self) -> Iterable[SliceId]:
        return tuple(self._held)

    def bucket(self, slice_id: SliceId) -> SliceBucket | None:
        """Return the bucket of a held slice, for diagnostics."""
        return self._buckets.get(slice_id.key)

    def answer(self, now_ms: int, request: BorrowRequest) -> BorrowReply:
        """Apply the reports of a request, grant loans and return the reply.

        The daemon sends no reply if `grants` is empty, as for a request without items.
        """
        for report in request.reports:
            bucket = self._buckets.get(report.slice_key)
            if bucket is not None:
                key = LoanKey(request.borrower, request.incarnation, report.loan_id)
                bucket.apply_report(now_ms, key, report)
        key = LoanKey(request.borrower, request.incarnation, request.request_id)
        lendable = request.lease_ms <= self.config.lease_ms
        grants = tuple(self._grant(now_ms, key, item, lendable) for item in request.items)
        return BorrowReply(request.incarnation, request.request_id, grants)

    def _make_bucket(
        self, now_ms: int, slice_id: SliceId, share: SliceShare, payload: bytes | None
    ) -> SliceBucket:
        if payload is None:
            return SliceBucket(share, self.config, self._refill_from_ms(now_ms, slice_id))
        try:
            return SliceBucket.from_bytes(now_ms, payload, share, self.config)
        except ValueError:
            _LOGGER.warning("slice_payload_unreadable", extra={"slot": slice_id.name})
            return SliceBucket(share, self.config, now_ms + self.config.wait_out_ms)

    def _refill_from_ms(self, now_ms: int, slice_id: SliceId) -> int:
        withdrawn_ms = self._withdrawn_ms.pop(slice_id, None)
        if withdrawn_ms is None:
            return now_ms
        return max(now_ms, withdrawn_ms + self.config.wait_out_ms)

    def _grant(self, now_ms: int, key: LoanKey, item: BorrowItem, lendable: bool) -> Grant:
        bucket = self._buckets.get(item.slice_key)
        if bucket is None or not lendable:
            return Grant(item.slice_key, held=False, granted_milli=0, left_milli=0)
        granted = bucket.lend(now_ms, key, item.needed_milli, item.reserve_milli)
        return Grant(item.slice_key, True, granted, bucket.level_milli)
