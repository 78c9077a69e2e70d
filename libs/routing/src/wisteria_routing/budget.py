"""Retry budget: caps the ratio of retries to calls for one service."""

import attrs

from .config import RetryConfig
from .const import MILLI

URGENT_FAILURE_WINDOW_MS = 1_000
"""Time after a failed call in which the last token is reserved for calls of its class or of a more
urgent one. A service that needs the budget gets many calls of each class within a second."""


@attrs.define
class RetryBudget:
    """Token bucket that is refilled by first attempts and drained by retries.

    Over any sequence of calls the retries are at most `burst` plus the configured ratio of the
    calls. While more calls fail than tokens cover, the last token is reserved for the most urgent
    failing calls. Otherwise hardly any call chain would complete across a service that rejects
    many calls regardless of its load.
    """

    config: RetryConfig = attrs.field(factory=RetryConfig)
    _tokens_milli: int = attrs.field(init=False)
    _last_failure_ms: dict[int, int] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        self._tokens_milli = self.config.burst * MILLI

    def note_call(self) -> None:
        """Count a first attempt, which adds `ratio_milli` to the bucket."""
        refilled = self._tokens_milli + self.config.ratio_milli
        self._tokens_milli = min(self.config.burst * MILLI, refilled)

    def has_token(self, now_ms: int, priority: int) -> bool:
        """Record a failed call and return whether a token is available for its retry.

        The lowest `priority` is the most urgent.
        """
        self._last_failure_ms[priority] = now_ms
        has_more_urgent_failure = any(
            other < priority and now_ms - failure_ms < URGENT_FAILURE_WINDOW_MS
            for other, failure_ms in self._last_failure_ms.items()
        )
        return self._tokens_milli >= (2 * MILLI if has_more_urgent_failure else MILLI)

    def spend(self) -> bool:
        """Consume the token for one retry; return False when none is available."""
        if self._tokens_milli < MILLI:
            return False
        self._tokens_milli -= MILLI
        return True
