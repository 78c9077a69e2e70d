"""Account rates of a daemon in a mesh: admits within its shares."""

import attrs

from wisteria_core import Clock, Refusal
from wisteria_limits import Admitted, SharedRateLimiter


@attrs.define(eq=False)
class ShareRates:
    """Feeds the shares with the clock."""

    shares: SharedRateLimiter
    clock: Clock

    async def admit(self, account: str) -> Admitted | Refusal:
        """Take one call's token."""
        return self.shares.admit(self.clock.now_ms(), account)

    def refund(self, admitted: Admitted) -> None:
        """Give a token back because nothing ran."""
        self.shares.refund(self.clock.now_ms(), admitted)
