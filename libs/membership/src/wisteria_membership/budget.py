"""The bound on control bytes: a token bucket in bytes."""

import attrs

from .const import BURST_S, MS_PER_S


@attrs.define
class ByteBudget:
    """Bytes that may still be sent; heartbeats may overdraw it, news and extras may not."""

    bytes_per_s: int
    at_ms: int
    milli_bytes: int = 0

    def available(self, now_ms: int) -> int:
        """Return the bytes that may be sent now."""
        elapsed_ms = max(now_ms - self.at_ms, 0)
        self.at_ms = now_ms
        ceiling = BURST_S * self.bytes_per_s * MS_PER_S
        self.milli_bytes = min(self.milli_bytes + elapsed_ms * self.bytes_per_s, ceiling)
        return self.milli_bytes // MS_PER_S

    def spend(self, count: int) -> None:
        """Take `count` bytes off."""
        self.milli_bytes -= count * MS_PER_S
