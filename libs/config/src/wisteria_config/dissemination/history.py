"""The document in force, and the deltas that led to it."""

from collections import deque

import attrs

from ..canonical import canonical_bytes
from ..delta import Delta, compute_delta, encode_delta, join_deltas
from ..models import Document
from ..versions import VersionStamp


@attrs.frozen
class _Step:
    """The delta from one version in force to the next."""

    base: VersionStamp
    delta: Delta
    size: int


@attrs.define
class History:
    """Serves the document in force to peers, as a delta where one is known.

    Parameters
    ----------
    max_log_bytes : int
        Bound on the encoded size of the deltas that are kept.
    """

    max_log_bytes: int
    document: Document | None = None
    stamp: VersionStamp | None = None
    raw: bytes = b""
    _steps: deque[_Step] = attrs.field(factory=deque)
    _log_bytes: int = 0

    def put(self, document: Document, stamp: VersionStamp, raw: bytes | None = None) -> None:
        """Take `document` in force; `raw` is its canonical form where the caller has it."""
        if self.document is not None and self.stamp is not None:
            self._log(self.stamp, compute_delta(self.document, document))
        self.document = document
        self.stamp = stamp
        self.raw = canonical_bytes(document) if raw is None else raw

    def _log(self, base: VersionStamp, delta: Delta) -> None:
        step = _Step(base, delta, len(encode_delta(delta)))
        self._steps.append(step)
        self._log_bytes += step.size
        while self._log_bytes > self.max_log_bytes:
            self._log_bytes -= self._steps.popleft().size

    def encode_since(self, base: VersionStamp) -> bytes | None:
        """Return the encoded delta from `base` to now, or None when the whole is better."""
        steps = list(self._steps)
        start = next((index for index, step in enumerate(steps) if step.base == base), None)
        if start is None:
            return None
        delta = steps[start].delta
        for step in steps[start + 1 :]:
            delta = join_deltas(delta, step.delta)
        body = encode_delta(delta)
        return body if 2 * len(body) < len(self.raw) else None
