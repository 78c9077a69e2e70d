"""Rate limit that a backend server names itself: a token bucket over the calls sent to it."""

import attrs

from .const import MS_PER_S
from .token_bucket import TokenBucket

BURST_MS = 250
"""Time for which unused tokens accumulate: a fraction of the window in which servers count."""
MIN_RATE_PER_S = 0.2
"""Rate at which calls are sent to a server that takes fewer, as only an answer lifts its limit."""
LIFTING_ANSWERS = 3
"""Consecutive answers without a limit that lift it; single ones, as rejections, may lack it."""


@attrs.define
class NamedRateLimit:
    """Keeps the calls to one backend server within the rate that it names in its answers.

    In any window at most its length times the rate are sent, plus a burst: the calls of `BURST_MS`
    or a single one, whichever is more.
    """

    _per_s: float | None = None
    _named_ms: int = 0
    _answers_without: int = 0
    _bucket: TokenBucket = attrs.field(factory=lambda: TokenBucket(MIN_RATE_PER_S, 1.0))

    @property
    def per_s(self) -> float | None:
        """Calls per second that may be sent; None without a limit."""
        return None if self._per_s is None else max(MIN_RATE_PER_S, self._per_s)

    def note_named(self, now_ms: int, per_s: float) -> None:
        """Apply the limit of an answer; the time before it is refilled at the previous rate."""
        if self._per_s is None:
            self._bucket.reset(now_ms, 1.0)
        self._per_s, self._named_ms, self._answers_without = per_s, now_ms, 0
        rate = max(MIN_RATE_PER_S, per_s)
        self._bucket.set_rate(now_ms, rate, max(1.0, rate * BURST_MS / MS_PER_S))

    def note_not_named(self, sent_ms: int) -> None:
        """Count an answer without a limit, which may lift the last one.

        Parameters
        ----------
        sent_ms : int
            Time at which the answered call was sent. Calls sent before the last answer with
            a limit don't count, as their answers may be older.
        """
        if self._per_s is None or sent_ms < self._named_ms:
            return
        self._answers_without += 1
        if self._answers_without >= LIFTING_ANSWERS:
            self._per_s = None

    def has_token(self, now_ms: int) -> bool:
        """Return whether a call may be sent now."""
        return self._per_s is None or self._bucket.has_token(now_ms)

    def take(self, now_ms: int) -> None:
        """Count a call that is sent."""
        if self._per_s is not None:
            self._bucket.take(now_ms)

    def wait_ms(self, now_ms: int, ahead: int) -> float:
        """Return the time until `ahead` calls have been sent."""
        return 0.0 if self._per_s is None else self._bucket.wait_ms(now_ms, ahead)
