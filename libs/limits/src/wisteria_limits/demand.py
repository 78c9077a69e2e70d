"""Estimate of an account's demand at one entry daemon."""

import attrs

from .config import LimitsConfig
from .const import DEMAND_UPDATE_MS, MS_PER_S, SEEN_AT_ONCE_MILLI


@attrs.define
class Demand:
    """Smoothed arrival rate: rises fast with several calls at once, else slowly.

    Parameters
    ----------
    config : LimitsConfig
        Time constants.
    updated_ms : int
        Reading of the last update.
    milli_per_s : int
        Estimated arrivals in milli-calls per second.
    """

    config: LimitsConfig
    updated_ms: int
    milli_per_s: int = 0
    last_arrival_ms: int | None = None
    _arrived_milli: int = 0

    def add(self, now_ms: int, amount_milli: int) -> None:
        """Count an arrival; the first after a pause begins a new interval."""
        if not self._arrived_milli:
            self.update(now_ms)
        self._arrived_milli += amount_milli
        self.last_arrival_ms = now_ms

    def update(self, now_ms: int) -> int:
        """Fold the arrivals since the last update in and return milli-calls per second."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms < DEMAND_UPDATE_MS and self._arrived_milli < SEEN_AT_ONCE_MILLI:
            return self.milli_per_s
        if elapsed_ms <= 0:
            return self.milli_per_s
        seen = self._arrived_milli * MS_PER_S // elapsed_ms
        rising = seen > self.milli_per_s and self._arrived_milli >= SEEN_AT_ONCE_MILLI
        constant_ms = self.config.demand_rise_ms if rising else self.config.demand_fall_ms
        change = (seen - self.milli_per_s) * elapsed_ms // (constant_ms + elapsed_ms)
        self.milli_per_s = max(0, self.milli_per_s + change)
        self.updated_ms = now_ms
        self._arrived_milli = 0
        return self.milli_per_s
