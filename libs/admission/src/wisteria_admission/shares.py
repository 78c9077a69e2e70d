"""Fair shares: how far the demand of each client account exceeds its share of a busy server."""

import attrs

from wisteria_core import Priority

from .const import MILLI

HALF_LIFE_MS = 600
UPDATE_INTERVAL_MS = 100
NEGLIGIBLE_DEMAND_MS = 0.5


@attrs.define
class _AccountDemand:
    """Exponentially decayed demand of one account at one priority, in milliseconds of work."""

    weight: int = 1
    demand_ms: float = 0.0
    excess_milli: int = 0


@attrs.define
class _PriorityClass:
    """Demand and served work at one priority."""

    accounts: dict[str, _AccountDemand] = attrs.Factory(dict)
    served_ms: float = 0.0

    def decay(self, factor: float) -> None:
        self.served_ms *= factor
        for demand in self.accounts.values():
            demand.demand_ms *= factor
        self.accounts = {
            name: demand
            for name, demand in self.accounts.items()
            if demand.demand_ms > NEGLIGIBLE_DEMAND_MS
        }

    def allocate(self) -> None:
        """Allocate the served work by weighted max-min fairness and compute each excess."""
        remaining_ms = self.served_ms
        weights = sum(demand.weight for demand in self.accounts.values())
        for demand in sorted(self.accounts.values(), key=lambda d: d.demand_ms / d.weight):
            share_ms = min(demand.demand_ms, remaining_ms * demand.weight / weights)
            demand.excess_milli = int(MILLI * (1.0 - share_ms / demand.demand_ms))
            remaining_ms -= share_ms
            weights -= demand.weight


@attrs.define
class ShareTracker:
    """Compares each account's recent demand with its weighted max-min fair share.

    Shares are computed over the work served at the same priority. While the server is not
    contended, no demand counts as excess.
    """

    _classes: dict[Priority, _PriorityClass] = attrs.Factory(
        lambda: {p: _PriorityClass() for p in Priority}
    )
    _updated_ms: int = 0
    _contended: bool = False

    def note_demand(self, account: str, priority: Priority, weight: int, cost_ms: float) -> None:
        """Add work that an account requests, whether admitted or not."""
        demand = self._classes[priority].accounts.setdefault(account, _AccountDemand())
        demand.weight = max(1, weight)
        demand.demand_ms += max(1.0, cost_ms)

    def note_served(self, priority: Priority, cost_ms: float) -> None:
        """Add work that was dispatched."""
        self._classes[priority].served_ms += max(1.0, cost_ms)

    def excess_milli(self, account: str, priority: Priority) -> int:
        """Return the thousandths of the account's demand beyond its fair share."""
        demand = self._classes[priority].accounts.get(account)
        return demand.excess_milli if self._contended and demand is not None else 0

    def update(self, now_ms: int, contended: bool) -> None:
        """Recompute the shares once per interval, then decay the recorded demand."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        self._contended = contended
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        for demands in self._classes.values():
            demands.allocate()
            demands.decay(factor)
