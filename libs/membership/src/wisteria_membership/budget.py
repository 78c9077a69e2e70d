"""Token bucket that limits the bytes of control messages."""

import attrs

from .const import BURST_S, MS_PER_S


@attrs.define
class ByteBudget:
    """Token bucket of bytes to send.

    Heartbeats may overdraw it. News may not, and heartbeats are expedited only while the bucket
    holds a reserve.
    """

    bytes_per_s: int
    updated_ms: int
    milli_bytes: int = 0

    def available(self, now_ms: int) -> int:
        """Refill the bucket and return the bytes that may be sent now."""
        elapsed_ms = max(now_ms - self.updated_ms, 0)
        self.updated_ms = now_ms
        capacity = BURST_S * self.bytes_per_s * MS_PER_S
        self.milli_bytes = min(self.milli_bytes + elapsed_ms * self.bytes_per_s, capacity)
        return self.milli_bytes // MS_PER_S

    def spend(self, count: int) -> None:
        self.milli_bytes -= count * MS_PER_S
