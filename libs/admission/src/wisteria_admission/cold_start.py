"""Limit on the calls to a backend server that has just started, without input or output."""

import math

import attrs

from .token_bucket import TokenBucket

CHECK_INTERVAL_MS = 500
"""Minimum time between two health checks for the remaining cold time."""
MAX_KNOWN_INSTANCES = 16
"""Maximum number of processes of the backend server that are remembered."""


@attrs.frozen
class ColdStartLimit:
    """Calls that a backend server may be sent while it is cold.

    Parameters
    ----------
    per_s : float
        Calls per second, above 0.
    burst : float
        Calls at once after a pause, 1 or more.
    duration_ms : int
        Maximum time for which it is cold after its start.
    """

    per_s: float
    burst: float
    duration_ms: int


@attrs.define
class ColdStart:
    """Keeps the calls to one backend server within what it bears while it is cold.

    The end of a cold phase is stated by the server's health endpoint. Until that has been asked,
    or if it doesn't say, the earliest of several upper bounds is used: the maximum duration after
    the first answer of the process, and what the platform's list says. A server counts as cold
    until one of them is known.
    """

    limit: ColdStartLimit | None = None
    _until_ms: float = math.inf
    _is_stated: bool = False
    _checked_ms: int | None = None
    _instances: list[str] = attrs.field(factory=list)
    _bucket: TokenBucket | None = None

    def set_limit(self, now_ms: int, limit: ColdStartLimit | None) -> None:
        """Apply the limit of the service; None if its servers are never cold."""
        if limit == self.limit:
            return
        self.limit = limit
        if limit is None:
            self._bucket = None
        elif self._bucket is None:
            # empty, as the daemon before a restart may just have sent the server a burst
            self._bucket = TokenBucket(limit.per_s, limit.burst)
            self._bucket.reset(now_ms, 0.0)
        else:
            self._bucket.set_rate(now_ms, limit.per_s, limit.burst)

    def note_restart(self) -> None:
        """Record that the server has stopped, or may have become cold otherwise."""
        self._until_ms, self._is_stated, self._checked_ms = math.inf, False, None

    def note_instance(self, instance: str) -> None:
        """Record the process that calls are meant for; a new one is cold."""
        if not instance or instance in self._instances:
            return
        self._instances = [*self._instances[1 - MAX_KNOWN_INSTANCES :], instance]
        self.note_restart()

    def note_answer(self, now_ms: int) -> None:
        """Record that the server has answered, so that it has started before."""
        if self.limit is not None and self._until_ms == math.inf:
            self._until_ms = now_ms + self.limit.duration_ms

    def note_listed(self, now_ms: int, remaining_ms: int) -> None:
        """Apply the remaining cold time, above 0, that the platform's list has begun to state."""
        until_ms = now_ms + remaining_ms
        if not self.is_cold(now_ms):
            self.note_restart()
        if not self._is_stated:
            self._until_ms = min(self._until_ms, until_ms)

    def note_stated(self, now_ms: int, remaining_ms: int) -> None:
        """Apply the remaining cold time that a health check has found; 0 if the server is warm.

        A check that began before the last restart says nothing.
        """
        if self._checked_ms is not None:
            self._until_ms, self._is_stated = now_ms + remaining_ms, True

    def is_cold(self, now_ms: int) -> bool:
        """Return whether calls are limited now."""
        return self.limit is not None and now_ms < self._until_ms

    def remaining_ms(self, now_ms: int) -> float:
        """Return the time until the server is warm; 0 if it is, infinite if not known."""
        return max(0.0, self._until_ms - now_ms) if self.limit is not None else 0.0

    def is_check_due(self, now_ms: int) -> bool:
        """Return whether the health endpoint should be asked for the remaining cold time.

        To be considered when a call has to wait.
        """
        if not self.is_cold(now_ms) or self._is_stated:
            return False
        return self._checked_ms is None or now_ms - self._checked_ms >= CHECK_INTERVAL_MS

    def note_check(self, now_ms: int) -> None:
        """Count a health check that is sent, which the server counts as a call."""
        self._checked_ms = now_ms
        self.take(now_ms)

    def per_s(self, now_ms: int) -> float | None:
        """Return the calls per second that may be sent; None without a limit."""
        return self.limit.per_s if self.limit is not None and self.is_cold(now_ms) else None

    def has_token(self, now_ms: int) -> bool:
        """Return whether a call may be sent now."""
        return self._bucket is None or not self.is_cold(now_ms) or self._bucket.has_token(now_ms)

    def take(self, now_ms: int) -> None:
        """Count a call that is sent."""
        if self._bucket is not None and self.is_cold(now_ms):
            self._bucket.take(now_ms)

    def wait_ms(self, now_ms: int, ahead: int) -> float:
        """Return the time until `ahead` calls have been sent, at the latest."""
        if self._bucket is None or not self.is_cold(now_ms):
            return 0.0
        return min(self._bucket.wait_ms(now_ms, ahead), self._until_ms - now_ms)
