"""Account rates of a mesh daemon, which admits calls up to its share of each."""

import attrs

from wisteria_core import Clock, Refusal
from wisteria_limits import Admitted, SharedRateLimiter


@attrs.define(eq=False)
class SharedRates:
    """Adds the clock to the shared rate limiter."""

    rate_limiter: SharedRateLimiter
    clock: Clock

    async def admit(self, account: str) -> Admitted | Refusal:
        return self.rate_limiter.admit(self.clock.now_ms(), account)

    def refund(self, admitted: Admitted) -> None:
        """Return the token of a call that did not run."""
        self.rate_limiter.refund(self.clock.now_ms(), admitted)
