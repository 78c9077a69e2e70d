"""Retry budget: a cap on the share of retries among the calls to one service."""

import attrs

from .config import RetryConfig
from .const import MILLI


@attrs.define
class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Over any run of calls the retries are at most `burst` plus the ratio of the calls.

    Parameters
    ----------
    config : RetryConfig
        Ratio and burst.
    """

    config: RetryConfig = attrs.field(factory=RetryConfig)
    _tokens_milli: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens_milli = self.config.burst * MILLI

    def note_call(self) -> None:
        """Count a first attempt."""
        earned = self._tokens_milli + self.config.ratio_milli
        self._tokens_milli = min(self.config.burst * MILLI, earned)

    def has_token(self) -> bool:
        """Return whether a retry is covered."""
        return self._tokens_milli >= MILLI

    def spend(self) -> bool:
        """Take the token of one retry; return False when none is left."""
        if not self.has_token():
            return False
        self._tokens_milli -= MILLI
        return True
