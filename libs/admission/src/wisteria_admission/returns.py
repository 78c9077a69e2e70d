"""When a caller that was refused for its account's rate should come back."""

import xxhash

USEFUL_PART = 0.5
"""Part of the target latency within which a return still leaves time for the run itself."""


def cap_retry_after(wanted_ms: int, target_ms: int, request_id: str) -> int:
    """Return the time after which to come back, in milliseconds.

    An account that stays beyond its rate has no better moment to come back than another, and a
    call that returns late is of less use to its caller even when it is admitted then. Returns are
    spread, so that they do not meet.

    Parameters
    ----------
    wanted_ms : int
        When the account has room again for one more call.
    target_ms : int
        Latency within which the answer is of full use; 0 when it is not known.
    """
    latest_ms = int(target_ms * USEFUL_PART)
    if target_ms <= 0 or wanted_ms <= latest_ms:
        return wanted_ms
    value = int(xxhash.xxh3_64_intdigest(request_id.encode()))
    return max(1, latest_ms // 2 + value % max(1, latest_ms - latest_ms // 2))
