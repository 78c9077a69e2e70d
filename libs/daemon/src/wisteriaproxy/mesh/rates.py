"""Account rates of a mesh daemon, which admits calls up to its share of each rate."""

import attrs

from wisteria_core import Clock, Refusal
from wisteria_limits import Admitted, SharedRateLimiter


@attrs.define(eq=False)
class SharedRates:
    """Adapts the shared rate limiter to the entry handler by adding the clock."""

    rate_limiter: SharedRateLimiter
    clock: Clock

    async def admit(self, account: str) -> Admitted | Refusal:
        """Take a token for one call, or return the refusal."""
        return self.rate_limiter.admit(self.clock.now_ms(), account)

    def refund(self, admitted: Admitted) -> None:
        """Return the token of a call that did not run."""
        self.rate_limiter.refund(self.clock.now_ms(), admitted)
