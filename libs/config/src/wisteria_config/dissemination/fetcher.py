"""Fetch the highest announced document from the peers that offer it."""

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
class BaseDocument:
    """The document in force, as the base of a delta."""

    document: Document | None
    stamp: VersionStamp | None


@attrs.frozen
class FetchedDocument:
    """A complete document from a peer."""

    source: VmId
    stamp: VersionStamp
    received: Received


@attrs.define
class Fetcher:
    """Tracks the versions that peers offer and runs at most one fetch.

    Parameters
    ----------
    config : DisseminationConfig
        Intervals and limits.
    refused : collection of VersionStamp
        Documents that were refused and are not fetched again.
    is_same_domain : callable
        Returns whether a VM is in the own failure domain; such VMs are preferred as sources
        of the same version.
    """

    config: DisseminationConfig
    refused: Collection[VersionStamp]
    is_same_domain: Callable[[VmId], bool]
    transfer: Transfer | None = None
    offers: dict[VmId, VersionStamp] = attrs.field(factory=dict)
    failures: int = 0

    def clear(self) -> None:
        self.transfer = None
        self.offers.clear()

    def retain_offers(self, vm_ids: Collection[VmId]) -> None:
        """Discard the offers of all VMs except `vm_ids`."""
        self.offers = {vm: stamp for vm, stamp in self.offers.items() if vm in vm_ids}

    def add_offer(
        self, source: VmId, stamp: VersionStamp, base: BaseDocument, now_ms: int
    ) -> SendTo | None:
        """Record a newer version that a peer offers; return the request to send, if any."""
        if source in self.offers or len(self.offers) < _MAX_OFFERS:
            self.offers[source] = stamp
        transfer = self.transfer
        if transfer is None or (transfer.source == source and transfer.target != stamp):
            return self._fetch_best_offer(base, now_ms)
        return None

    def refresh(self, base: BaseDocument, now_ms: int) -> SendTo | None:
        """Continue or replace the fetch after the document in force has changed."""
        transfer = self.transfer
        if transfer is not None and self._is_wanted(transfer.target, base):
            return None
        return self._fetch_best_offer(base, now_ms)

    def check_progress(self, base: BaseDocument, now_ms: int) -> SendTo | None:
        """Switch to another peer if the fetch timed out without progress."""
        transfer = self.transfer
        if transfer is None or now_ms - transfer.progress_ms < self.config.fetch_timeout_ms:
            return None
        return self._abandon_source(transfer.source, base, now_ms)

    def handle_part(
        self, source: VmId, part: DocumentDelta | DocumentChunk, base: BaseDocument, now_ms: int
    ) -> FetchedDocument | SendTo | None:
        """Handle a delta or chunk; return the complete document, or the next request."""
        transfer = self.transfer
        if transfer is None or transfer.source != source or not transfer.matches_target(part):
            return None
        before = transfer.request()
        outcome = _receive(transfer, part)
        match outcome:
            case TransferFault():
                return self._abandon_source(source, base, now_ms)
            case Received():
                self.transfer = None
                return FetchedDocument(source, transfer.target, outcome)
        if transfer.request() == before:
            return None
        transfer.progress_ms = now_ms
        return SendTo(source, transfer.request())

    def _abandon_source(self, source: VmId, base: BaseDocument, now_ms: int) -> SendTo | None:
        self.failures += 1
        self.offers.pop(source, None)
        return self._fetch_best_offer(base, now_ms)

    def _fetch_best_offer(self, base: BaseDocument, now_ms: int) -> SendTo | None:
        self.transfer = None
        self.offers = {
            vm: stamp for vm, stamp in self.offers.items() if self._is_wanted(stamp, base)
        }
        if not self.offers:
            return None
        source = max(self.offers, key=self._rank)
        self.transfer = Transfer(source, self.offers[source], base.document, base.stamp, now_ms)
        return SendTo(source, self.transfer.request())

    def _rank(self, vm_id: VmId) -> tuple[int, bool, str]:
        return self.offers[vm_id].version, self.is_same_domain(vm_id), vm_id

    def _is_wanted(self, stamp: VersionStamp, base: BaseDocument) -> bool:
        newer = compare_versions(stamp, base.stamp) is VersionOrder.NEWER
        return newer and stamp not in self.refused


def _receive(
    transfer: Transfer, part: DocumentDelta | DocumentChunk
) -> Received | TransferFault | None:
    if isinstance(part, DocumentDelta):
        return transfer.receive_delta(part)
    return transfer.receive_chunk(part)
