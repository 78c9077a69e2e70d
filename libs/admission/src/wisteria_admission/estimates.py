"""Run time estimates per route, which decay with age."""

import attrs

from .const import MAX_ROUTES

SMOOTHING = 0.1
HALF_LIFE_MS = 2_000


@attrs.define
class _Estimate:
    """Exponentially smoothed run time of one route."""

    mean_ms: float
    updated_ms: int


@attrs.define
class RunTimeEstimates:
    """Exponentially smoothed run times, per route and over all routes.

    A route's estimate halves every `HALF_LIFE_MS` without a new sample. Otherwise an estimate
    high enough to refuse every call of the route would never be corrected.
    """

    _routes: dict[str, _Estimate] = attrs.Factory(dict)
    _overall: _Estimate | None = None

    def note(self, now_ms: int, route: str, latency_ms: int) -> None:
        self._overall = self._smooth(self._overall, now_ms, latency_ms)
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            oldest = min(self._routes, key=lambda name: self._routes[name].updated_ms)
            del self._routes[oldest]
        self._routes[route] = self._smooth(self._routes.get(route), now_ms, latency_ms)

    def overall_ms(self, now_ms: int) -> float:
        """Return the expected run time over all routes, at least 1."""
        if self._overall is None:
            return 1.0
        return max(1.0, self._overall.mean_ms)

    def run_ms(self, now_ms: int, route: str, default_ms: int) -> float:
        """Return the expected run time of a call of `route`.

        `default_ms` is returned while the route has no estimate.
        """
        estimate = self._routes.get(route)
        if estimate is None:
            return float(default_ms)
        age_ms = max(0, now_ms - estimate.updated_ms)
        return float(estimate.mean_ms * 0.5 ** (age_ms / HALF_LIFE_MS))

    @staticmethod
    def _smooth(estimate: _Estimate | None, now_ms: int, latency_ms: int) -> _Estimate:
        if estimate is None:
            return _Estimate(float(latency_ms), now_ms)
        estimate.mean_ms += SMOOTHING * (latency_ms - estimate.mean_ms)
        estimate.updated_ms = now_ms
        return estimate
