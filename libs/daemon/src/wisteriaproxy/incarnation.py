"""Number that tells the starts of a daemon on one VM apart."""

import secrets
import time

_NS_PER_MS = 1_000_000
INCARNATION_RANDOM_BITS = 5


def make_incarnation() -> int:
    """Return a number that rises with each start on one VM, also over a reboot."""
    now_ms = time.time_ns() // _NS_PER_MS
    return now_ms << INCARNATION_RANDOM_BITS | secrets.randbits(INCARNATION_RANDOM_BITS)
