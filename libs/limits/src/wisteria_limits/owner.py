"""Every slice that one VM owns, and its answers to borrowers."""

import logging
from collections.abc import Iterable, Mapping

import attrs

from .bucket import LoanKey, SliceBucket
from .config import LimitsConfig
from .models import BorrowItem, BorrowReply, BorrowRequest, Grant, SliceId, SliceShare

_LOGGER = logging.getLogger(__name__)


@attrs.define
class SliceOwner:
    """Lender of the slices that this VM owns.

    The caller makes sure, by the ownership of slots and its fence, that a slice is held here
    at the moment of each call.

    Parameters
    ----------
    config : LimitsConfig
        Parameters shared with the borrowers.
    """

    config: LimitsConfig = attrs.field(factory=LimitsConfig)
    _shares: dict[SliceId, SliceShare] = attrs.field(factory=dict, init=False)
    _buckets: dict[int, SliceBucket] = attrs.field(factory=dict, init=False)
    _held: dict[SliceId, int] = attrs.field(factory=dict, init=False)
    _withdrawn_ms: dict[SliceId, int] = attrs.field(factory=dict, init=False)

    def configure(self, now_ms: int, shares: Mapping[SliceId, SliceShare]) -> None:
        """Put the shares of a configuration version in force; a slice that it lacks is dropped.

        When a later version names that slice again it refills only after its loans have ended.
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
        """Begin to lend from a slice; one that is held already stays as it is.

        Parameters
        ----------
        now_ms : int
            This VM's clock, after any wait-out.
        slice_id : SliceId
            Slice that this VM owns from now on.
        payload : bytes, optional
            Hand-over of the earlier owner. Without one the slice starts empty. After one that
            cannot be read it refills only when every loan that it may tell of has ended.

        Returns
        -------
        bool
            False when the configuration in force does not name the slice.
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
        """Stop lending from a slice and return its hand-over, or None if it was not held."""
        bucket = self._buckets.get(slice_id.key)
        if bucket is None:
            return None
        self.drop(slice_id)
        return bucket.to_bytes(now_ms)

    def drop(self, slice_id: SliceId) -> None:
        """Stop lending from a slice without a hand-over."""
        self._held.pop(slice_id, None)
        self._buckets.pop(slice_id.key, None)

    def drop_all(self) -> None:
        """Stop lending from every slice, as after a pause of the process."""
        self._held.clear()
        self._buckets.clear()

    def held(self) -> Iterable[SliceId]:
        """Return the slices lent from here."""
        return tuple(self._held)

    def bucket(self, slice_id: SliceId) -> SliceBucket | None:
        """Return the bucket of a held slice, for diagnostics."""
        return self._buckets.get(slice_id.key)

    def answer(self, now_ms: int, request: BorrowRequest) -> BorrowReply:
        """Take in the reports of a request, lend, and return the reply.

        A request with no items needs no reply; the daemon sends none when `grants` is empty.
        """
        for report in request.reports:
            bucket = self._buckets.get(report.slice_key)
            if bucket is not None:
                key = LoanKey(request.borrower, request.incarnation, report.loan_id)
                bucket.settle(now_ms, key, report)
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
