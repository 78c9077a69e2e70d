"""Bound on the bytes of requests that a daemon holds for its callers and peers."""

import attrs

UNBOUNDED_BYTES = 2**62
"""Limit of a daemon whose memory is not bounded."""


@attrs.define(eq=False)
class ByteBudget:
    """Bytes held at the same time, counted by those who hold them.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be held.
    refused : int
        Number of reservations that were refused.
    """

    limit_bytes: int = UNBOUNDED_BYTES
    held_bytes: int = 0
    refused: int = 0

    def reserve(self, count: int) -> bool:
        """Count bytes as held; return False if there is no room for all of them."""
        if self.held_bytes + count > self.limit_bytes:
            self.refused += 1
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        self.held_bytes -= count
