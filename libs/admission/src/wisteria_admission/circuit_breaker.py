"""Circuit breaker for a backend server that fails every call, without input or output."""

import attrs

OPEN_FAILURES = 5
"""Consecutive failures after which a backend server gets only probes."""
PROBE_INTERVAL_MS = 250


@attrs.define
class CircuitBreaker:
    """Lets through one probe at a time while a backend server fails every call.

    A single success closes it, so that a server that fails only part of its calls is not affected.
    """

    _failures: int = 0
    _probed_ms: int = 0

    @property
    def is_open(self) -> bool:
        """Whether calls other than probes are refused."""
        return self._failures >= OPEN_FAILURES

    def note_success(self) -> None:
        self._failures = 0

    def note_failure(self, now_ms: int) -> None:
        """Count a call that ran and failed at the server itself."""
        self._failures += 1
        if self._failures == OPEN_FAILURES:
            self._probed_ms = now_ms

    def allows(self, now_ms: int) -> bool:
        """Return whether a call may be sent; it is a probe if the breaker is open."""
        if not self.is_open:
            return True
        if now_ms - self._probed_ms < PROBE_INTERVAL_MS:
            return False
        self._probed_ms = now_ms
        return True
