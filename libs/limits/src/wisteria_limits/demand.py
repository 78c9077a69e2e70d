"""Estimate of an account's arrival rate at one entry daemon."""

import attrs

from .config import LimitsConfig
from .const import DEMAND_UPDATE_MS, IMMEDIATE_UPDATE_MILLI, MS_PER_S


@attrs.define
class Demand:
    """Exponentially smoothed arrival rate, with a shorter time constant for bursts of calls.

    Parameters
    ----------
    updated_ms : int
        Time of the last update.
    milli_per_s : int
        Estimated arrivals in milli-calls per second.
    last_arrival_ms : int or None
        Time of the last arrival.
    """

    config: LimitsConfig
    updated_ms: int
    milli_per_s: int = 0
    last_arrival_ms: int | None = None
    _arrived_milli: int = 0

    def add(self, now_ms: int, amount_milli: int) -> None:
        """Count an arrival; the first one after a pause starts a new interval."""
        if not self._arrived_milli:
            self.update(now_ms)
        self._arrived_milli += amount_milli
        self.last_arrival_ms = now_ms

    def update(self, now_ms: int) -> int:
        """Include the arrivals since the last update; return milli-calls per second."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms < DEMAND_UPDATE_MS and self._arrived_milli < IMMEDIATE_UPDATE_MILLI:
            return self.milli_per_s
        if elapsed_ms <= 0:
            return self.milli_per_s
        observed = self._arrived_milli * MS_PER_S // elapsed_ms
        rising = observed > self.milli_per_s and self._arrived_milli >= IMMEDIATE_UPDATE_MILLI
        time_constant_ms = self.config.demand_rise_ms if rising else self.config.demand_fall_ms
        change = (observed - self.milli_per_s) * elapsed_ms // (time_constant_ms + elapsed_ms)
        self.milli_per_s = max(0, self.milli_per_s + change)
        self.updated_ms = now_ms
        self._arrived_milli = 0
        return self.milli_per_s
