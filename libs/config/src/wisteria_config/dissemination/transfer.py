"""Fetch of one document from a peer."""

import attrs

from wisteria_core import VmId, digest

from ..canonical import canonical_bytes
from ..const import MAX_DOCUMENT_BYTES
from ..delta import apply_delta, decode_delta
from ..models import Document, DocumentErrors
from ..validation import validate_document
from ..versions import VersionStamp
from .models import NO_VERSION, DocumentChunk, DocumentDelta, DocumentFetch


@attrs.frozen
class TransferFault:
    """A peer sent data that does not match its announcement."""

    reason: str


@attrs.frozen
class Received:
    """A complete encoded document with the result of its validation."""

    outcome: Document | DocumentErrors
    raw: bytes


@attrs.define
class Transfer:
    """State of a fetch: requests a delta first, then the whole document in chunks.

    Parameters
    ----------
    source : VmId
        Peer that announced the document.
    target : VersionStamp
        Identity of the document to fetch.
    base : Document or None
        Document in force, used as the base of a delta.
    base_stamp : VersionStamp or None
        Identity of the base.
    progress_ms : int
        Time of the last progress.
    """

    source: VmId
    target: VersionStamp
    base: Document | None
    base_stamp: VersionStamp | None
    progress_ms: int
    _buffer: bytearray = attrs.field(factory=bytearray)

    def request(self) -> DocumentFetch:
        base = self.base_stamp
        return DocumentFetch(
            version=self.target.version,
            digest=self.target.digest,
            base_version=base.version if base else NO_VERSION,
            base_digest=base.digest if base else b"",
            offset=len(self._buffer),
        )

    def matches_target(self, message: DocumentDelta | DocumentChunk) -> bool:
        return VersionStamp(message.version, message.digest) == self.target

    def receive_delta(self, message: DocumentDelta) -> Received | None:
        """Return the document that a delta results in, or None if the whole must be fetched."""
        if self.base is None or self.base_stamp is None:
            return None
        base = VersionStamp(message.base_version, message.base_digest)
        received = self._apply(self.base, message.body) if base == self.base_stamp else None
        if received is None:
            self._discard_base()
        return received

    def _apply(self, base: Document, body: bytes) -> Received | None:
        delta = decode_delta(body)
        if isinstance(delta, DocumentErrors):
            return None
        outcome = apply_delta(base, delta)
        if isinstance(outcome, DocumentErrors):
            return None
        raw = canonical_bytes(outcome)
        return Received(outcome, raw) if digest(raw) == self.target.digest else None

    def _discard_base(self) -> None:
        self.base = None
        self.base_stamp = None

    def receive_chunk(self, message: DocumentChunk) -> Received | TransferFault | None:
        """Return the document once its last chunk has arrived, else None."""
        if message.offset != len(self._buffer):
            return None
        if not message.data or message.total_bytes > MAX_DOCUMENT_BYTES:
            return TransferFault("empty chunk, or document larger than allowed")
        self._discard_base()
        self._buffer += message.data
        if len(self._buffer) < message.total_bytes:
            return None
        return self._finish(bytes(self._buffer))

    def _finish(self, raw: bytes) -> Received | TransferFault:
        if digest(raw) != self.target.digest:
            return TransferFault("document digest differs from the announced one")
        outcome = validate_document(raw)
        if isinstance(outcome, Document) and canonical_bytes(outcome) != raw:
            return TransferFault("document is not in canonical form")
        return Received(outcome, raw)
