"""Token bucket with the clock passed in."""

import attrs

from .const import MS_PER_S


@attrs.define
class TokenBucket:
    """In any window at most its length times the rate is taken, plus the burst.

    Parameters
    ----------
    per_s : float
        Tokens per second, above 0.
    burst : float
        Maximum number of unused tokens.
    """

    per_s: float
    burst: float
    _tokens: float = 0.0
    _refilled_ms: int = 0

    def reset(self, now_ms: int, tokens: float) -> None:
        """Set the number of unused tokens."""
        self._tokens, self._refilled_ms = min(self.burst, tokens), now_ms

    def set_rate(self, now_ms: int, per_s: float, burst: float) -> None:
        """Change the rate; the time before it is refilled at the previous rate."""
        self._refill(now_ms)
        self.per_s, self.burst = per_s, burst
        self._tokens = min(self._tokens, burst)

    def has_token(self, now_ms: int) -> bool:
        self._refill(now_ms)
        return self._tokens >= 1.0

    def take(self, now_ms: int) -> None:
        self._refill(now_ms)
        self._tokens -= 1.0

    def wait_ms(self, now_ms: int, ahead: int) -> float:
        """Return the time until `ahead` tokens have been taken."""
        self._refill(now_ms)
        return max(0.0, ahead - self._tokens) / self.per_s * MS_PER_S

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._tokens = min(self.burst, self._tokens + elapsed_ms * self.per_s / MS_PER_S)
