"""Estimates of run times, learnt for each route and discounted with age."""

import attrs

from .const import MAX_ROUTES

SMOOTHING = 0.1
HALF_LIFE_MS = 2_000


@attrs.define
class _Estimate:
    """Smoothed run time of one route."""

    mean_ms: float
    heard_ms: int


@attrs.define
class RunTimes:
    """Smoothed run times.

    An estimate that no call refreshes halves every `HALF_LIFE_MS`, so that a refusal on the
    ground of a run time never outlives its cause.
    """

    _routes: dict[str, _Estimate] = attrs.Factory(dict)
    _overall: _Estimate | None = None

    def note(self, now_ms: int, route: str, latency_ms: int) -> None:
        """Take in the run time of one ended call."""
        self._overall = self._smoothed(self._overall, now_ms, latency_ms)
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            stalest = min(self._routes, key=lambda name: self._routes[name].heard_ms)
            del self._routes[stalest]
        self._routes[route] = self._smoothed(self._routes.get(route), now_ms, latency_ms)

    def overall_ms(self, now_ms: int) -> float:
        """Return the expected run time of an unknown call, at least 1."""
        if self._overall is None:
            return 1.0
        return max(1.0, self._overall.mean_ms)

    def run_ms(self, now_ms: int, route: str, stated_ms: int) -> float:
        """Return the expected run time of a call of `route`.

        `stated_ms` stands in while nothing has been learnt.
        """
        estimate = self._routes.get(route)
        if estimate is None:
            return float(stated_ms)
        age_ms = max(0, now_ms - estimate.heard_ms)
        return float(estimate.mean_ms * 0.5 ** (age_ms / HALF_LIFE_MS))

    @staticmethod
    def _smoothed(estimate: _Estimate | None, now_ms: int, latency_ms: int) -> _Estimate:
        if estimate is None:
            return _Estimate(float(latency_ms), now_ms)
        estimate.mean_ms += SMOOTHING * (latency_ms - estimate.mean_ms)
        estimate.heard_ms = now_ms
        return estimate
