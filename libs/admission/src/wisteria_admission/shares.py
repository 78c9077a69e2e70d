"""Fair shares: which client accounts ask for more than their part of a contended server."""

import attrs

HALF_LIFE_MS = 1_000
INTERVAL_MS = 100
MARGIN = 1.1
NEGLIGIBLE_MS = 0.5


@attrs.define
class _Usage:
    """Decayed demand and service of one account, in milliseconds of work."""

    weight: int = 1
    demand_ms: float = 0.0


@attrs.define
class ShareTracker:
    """Compares each account's recent demand with its weighted max-min fair share.

    Accounts count as beyond their share only while demand exceeds what is served.
    """

    _accounts: dict[str, _Usage] = attrs.Factory(dict)
    _served_ms: float = 0.0
    _updated_ms: int = 0
    _over: frozenset[str] = frozenset()

    def note_demand(self, account: str, weight: int, cost_ms: float) -> None:
        """Count work that an account asks for, whether it is admitted or not."""
        usage = self._accounts.setdefault(account, _Usage())
        usage.weight = max(1, weight)
        usage.demand_ms += max(1.0, cost_ms)

    def note_served(self, cost_ms: float) -> None:
        """Count work that was dispatched."""
        self._served_ms += max(1.0, cost_ms)

    def is_over(self, account: str) -> bool:
        """Return whether the account was beyond its fair share at the last update."""
        return account in self._over

    def update(self, now_ms: int, contended: bool) -> None:
        """Recompute the shares when an interval has passed; then let old demand decay."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < INTERVAL_MS:
            return
        self._updated_ms = now_ms
        self._over = self._find_over() if contended else frozenset()
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._served_ms *= factor
        for usage in self._accounts.values():
            usage.demand_ms *= factor
        self._accounts = {
            name: usage for name, usage in self._accounts.items() if usage.demand_ms > NEGLIGIBLE_MS
        }

    def _find_over(self) -> frozenset[str]:
        """Return the accounts above the level of weighted max-min fairness."""
        left_ms = self._served_ms
        weights = sum(usage.weight for usage in self._accounts.values())
        ordered = sorted(
            self._accounts.items(), key=lambda item: item[1].demand_ms / item[1].weight
        )
        for index, (_, usage) in enumerate(ordered):
            per_weight = left_ms / weights
            if usage.demand_ms > MARGIN * per_weight * usage.weight:
                return frozenset(name for name, _ in ordered[index:])
            left_ms = max(0.0, left_ms - usage.demand_ms)
            weights -= usage.weight
        return frozenset()
