"""The document in force, and the deltas that led to it."""

from collections import deque

import attrs

from ..canonical import canonical_bytes
from ..delta import Delta, compute_delta, encode_delta, merge_deltas
from ..models import Document
from ..versions import VersionStamp


@attrs.frozen
class _LogEntry:
    """A logged delta from one version in force to the next."""

    base: VersionStamp
    delta: Delta
    size: int


@attrs.define
class History:
    """Holds the document in force in encoded form, and the deltas of recent versions for peers.

    Parameters
    ----------
    max_log_bytes : int
        Maximum total encoded size of the deltas kept.
    """

    max_log_bytes: int
    document: Document | None = None
    stamp: VersionStamp | None = None
    raw: bytes = b""
    _entries: deque[_LogEntry] = attrs.field(factory=deque)
    _log_bytes: int = 0

    def replace(self, document: Document, stamp: VersionStamp, raw: bytes | None = None) -> None:
        """Put `document` in force; `raw` is its canonical form, if known."""
        if self.document is not None and self.stamp is not None:
            self._append(self.stamp, compute_delta(self.document, document))
        self.document = document
        self.stamp = stamp
        self.raw = canonical_bytes(document) if raw is None else raw

    def _append(self, base: VersionStamp, delta: Delta) -> None:
        entry = _LogEntry(base, delta, len(encode_delta(delta)))
        self._entries.append(entry)
        self._log_bytes += entry.size
        while self._log_bytes > self.max_log_bytes:
            self._log_bytes -= self._entries.popleft().size

    def encode_delta_since(self, base: VersionStamp) -> bytes | None:
        """Return the encoded delta from `base` to the document in force, or None.

        None means that no delta is known or that it is at least half as long as the document.
        """
        entries = list(self._entries)
        start = next((index for index, entry in enumerate(entries) if entry.base == base), None)
        if start is None:
            return None
        delta = entries[start].delta
        for entry in entries[start + 1 :]:
            delta = merge_deltas(delta, entry.delta)
        body = encode_delta(delta)
        return body if 2 * len(body) < len(self.raw) else None
