"""Retry budget: a cap on the share of retries among the calls to one service."""

import attrs

from .config import RetryConfig
from .const import MILLI

URGENT_MEMORY_MS = 1_000
"""Time after a failed urgent call in which the last token is kept for the next one: a second holds
many calls of each class at a service whose budget matters."""


@attrs.define
class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Over any run of calls the retries are at most `burst` plus the ratio of the calls. While more
    calls fail than tokens cover, the last token is kept for the most urgent calls that fail: a
    service that rejects much, whatever its load, would else serve hardly any chain of calls.

    Parameters
    ----------
    config : RetryConfig
        Ratio and burst.
    """

    config: RetryConfig = attrs.field(factory=RetryConfig)
    _tokens_milli: int = attrs.field(init=False)
    _failed_ms: dict[int, int] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        self._tokens_milli = self.config.burst * MILLI

    def note_call(self) -> None:
        """Count a first attempt."""
        earned = self._tokens_milli + self.config.ratio_milli
        self._tokens_milli = min(self.config.burst * MILLI, earned)

    def has_token(self, now_ms: int, priority: int) -> bool:
        """Return whether a retry of a call that has failed is covered.

        Parameters
        ----------
        priority : int
            Class of the call, the lowest is the most urgent.
        """
        self._failed_ms[priority] = now_ms
        is_behind = any(
            other < priority and now_ms - failed_ms < URGENT_MEMORY_MS
            for other, failed_ms in self._failed_ms.items()
        )
        return self._tokens_milli >= (2 * MILLI if is_behind else MILLI)

    def spend(self) -> bool:
        """Take the token of one retry; return False when none is left."""
        if self._tokens_milli < MILLI:
            return False
        self._tokens_milli -= MILLI
        return True
