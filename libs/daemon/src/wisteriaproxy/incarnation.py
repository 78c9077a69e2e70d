"""Number of one daemon start on a VM."""

import secrets
import time

_NS_PER_MS = 1_000_000
INCARNATION_RANDOM_BITS = 5


def make_incarnation() -> int:
    """Return a number that increases with each start, also across reboots."""
    now_ms = time.time_ns() // _NS_PER_MS
    return now_ms << INCARNATION_RANDOM_BITS | secrets.randbits(INCARNATION_RANDOM_BITS)
