"""Fetch the highest offered document from the peers that announced it."""

from collections.abc import Callable, Collection

import attrs

from wisteria_core import VmId

from ..models import Document
from ..versions import VersionOrder, VersionStamp, compare_versions
from .config import DisseminationConfig
from .models import DocumentChunk, DocumentDelta, SendTo
from .transfer import Received, Transfer, TransferFault

_MAX_OFFERS = 256


@attrs.frozen
class Held:
    """The document in force, which a delta may start from."""

    document: Document | None
    stamp: VersionStamp | None


@attrs.frozen
class Fetched:
    """A document came whole from a peer."""

    source: VmId
    stamp: VersionStamp
    received: Received


@attrs.define
class Fetcher:
    """Holds the offers of peers and at most one fetch.

    Parameters
    ----------
    config : DisseminationConfig
        Intervals and limits.
    refused : collection of VersionStamp
        Documents that are not fetched any more.
    is_near : callable
        Tells whether a VM is preferred as a source among those with the same version.
    """

    config: DisseminationConfig
    refused: Collection[VersionStamp]
    is_near: Callable[[VmId], bool]
    transfer: Transfer | None = None
    offers: dict[VmId, VersionStamp] = attrs.field(factory=dict)
    failures: int = 0

    def clear(self) -> None:
        """Forget all offers and the fetch."""
        self.transfer = None
        self.offers.clear()

    def keep_offers_of(self, vm_ids: Collection[VmId]) -> None:
        """Forget the offers of other VMs."""
        self.offers = {vm: stamp for vm, stamp in self.offers.items() if vm in vm_ids}

    def take_offer(
        self, source: VmId, stamp: VersionStamp, held: Held, now_ms: int
    ) -> SendTo | None:
        """Take note of a newer version at a peer; return the request that it gives rise to."""
        if source in self.offers or len(self.offers) < _MAX_OFFERS:
            self.offers[source] = stamp
        transfer = self.transfer
        if transfer is None or (transfer.source == source and transfer.target != stamp):
            return self._start_best(held, now_ms)
        return None

    def refresh(self, held: Held, now_ms: int) -> SendTo | None:
        """Go on after the document in force has changed."""
        transfer = self.transfer
        if transfer is not None and self._is_wanted(transfer.target, held):
            return None
        return self._start_best(held, now_ms)

    def check_progress(self, held: Held, now_ms: int) -> SendTo | None:
        """Go on with another peer when the current one is silent."""
        transfer = self.transfer
        if transfer is None or now_ms - transfer.progress_ms < self.config.fetch_timeout_ms:
            return None
        return self._give_up(transfer.source, held, now_ms)

    def take_part(
        self, source: VmId, part: DocumentDelta | DocumentChunk, held: Held, now_ms: int
    ) -> Fetched | SendTo | None:
        """Take a part of the document; return it when whole, or the next request."""
        transfer = self.transfer
        if transfer is None or transfer.source != source or not transfer.fits(part):
            return None
        before = transfer.request()
        outcome = _receive(transfer, part)
        match outcome:
            case TransferFault():
                return self._give_up(source, held, now_ms)
            case Received():
                self.transfer = None
                return Fetched(source, transfer.target, outcome)
        if transfer.request() == before:
            return None
        transfer.progress_ms = now_ms
        return SendTo(source, transfer.request())

    def _give_up(self, source: VmId, held: Held, now_ms: int) -> SendTo | None:
        self.failures += 1
        self.offers.pop(source, None)
        return self._start_best(held, now_ms)

    def _start_best(self, held: Held, now_ms: int) -> SendTo | None:
        """Ask for the highest offered version."""
        self.transfer = None
        self.offers = {
            vm: stamp for vm, stamp in self.offers.items() if self._is_wanted(stamp, held)
        }
        if not self.offers:
            return None
        source = max(self.offers, key=self._rank)
        self.transfer = Transfer(source, self.offers[source], held.document, held.stamp, now_ms)
        return SendTo(source, self.transfer.request())

    def _rank(self, vm_id: VmId) -> tuple[int, bool, str]:
        return self.offers[vm_id].version, self.is_near(vm_id), vm_id

    def _is_wanted(self, stamp: VersionStamp, held: Held) -> bool:
        newer = compare_versions(stamp, held.stamp) is VersionOrder.NEWER
        return newer and stamp not in self.refused


def _receive(
    transfer: Transfer, part: DocumentDelta | DocumentChunk
) -> Received | TransferFault | None:
    if isinstance(part, DocumentDelta):
        return transfer.take_delta(part)
    return transfer.take_chunk(part)
