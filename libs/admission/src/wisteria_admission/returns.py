"""Retry-After advice for calls that exceed the rate limit of their account."""

import xxhash

MAX_TARGET_FRACTION = 0.5
"""Latest retry as a fraction of the target latency; the rest is left for the run itself."""


def cap_retry_after(refill_ms: int, target_ms: int, request_id: str) -> int:
    """Return the time after which the caller should retry, in milliseconds.

    For an account that stays above its rate, no moment is better than another, and a call that
    is retried late is of less use to its caller even if it is then admitted. So the time is
    capped, and capped retries are spread by the request id to avoid a burst.

    Parameters
    ----------
    refill_ms : int
        Time until the account's rate limit admits one more call.
    target_ms : int
        Latency within which the answer is of full use to the caller; 0 when unknown.
    """
    max_ms = int(target_ms * MAX_TARGET_FRACTION)
    if target_ms <= 0 or refill_ms <= max_ms:
        return refill_ms
    value = int(xxhash.xxh3_64_intdigest(request_id.encode()))
    return max(1, max_ms // 2 + value % max(1, max_ms - max_ms // 2))
