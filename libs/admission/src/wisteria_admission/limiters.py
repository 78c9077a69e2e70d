"""Adaptive concurrency limits: AIMD, gradient and fixed."""

import math
from typing import Protocol

import attrs

from .config import LimiterConfig
from .models import Outcome

WINDOW_SMOOTHING = 0.5
"""Weight of the last window in the smoothed latency and throughput."""

REDUCTION_JUDGED_AT = 0.7
"""Part of the limit at which a run of decreases is judged."""


class Limiter(Protocol):
    """A concurrency limit that learns from the calls that end."""

    def limit(self) -> int:
        """Return the number of calls that may run at once."""

    def set_ceiling(self, ceiling: int) -> None:
        """Bound the limit from above."""

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Take in one ended call; `running` counts it."""


@attrs.define
class FixedLimiter:
    """A limit that stays at its ceiling."""

    ceiling: int = 1

    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return self.ceiling

    def set_ceiling(self, ceiling: int) -> None:
        """Bound the limit from above."""
        self.ceiling = ceiling

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Take in one ended call; it changes nothing."""


@attrs.define
class _Window:
    """Samples since the last adjustment."""

    started_ms: int = 0
    samples: int = 0
    latency_sum_ms: int = 0
    drops: int = 0
    peak_running: int = 0

    def add(self, latency_ms: int, running: int, outcome: Outcome) -> None:
        if outcome is Outcome.CANCELLED:
            return
        self.peak_running = max(self.peak_running, running)
        if outcome in (Outcome.TIMEOUT, Outcome.REJECTED):
            self.drops += 1
        if outcome is not Outcome.REJECTED and outcome is not Outcome.ERROR:
            self.samples += 1
            self.latency_sum_ms += latency_ms

    def mean_ms(self) -> float:
        return max(0.5, self.latency_sum_ms / max(1, self.samples))


@attrs.define
class _Reduction:
    """A run of decreases, to tell congestion from a server that has become slower.

    Under congestion a lower limit shortens the calls and keeps the throughput. When instead
    the throughput falls and the calls stay as long, fewer calls at once are of no use.
    """

    restored_limit: float
    limit: float
    latency_ms: float
    throughput: float

    def note(self, limit: float, latency_ms: float, throughput: float) -> None:
        """Judge from the window with the longest calls."""
        if latency_ms > self.latency_ms:
            self.limit, self.latency_ms, self.throughput = limit, latency_ms, throughput

    def was_useless(self, limit: float, latency_ms: float, throughput: float) -> bool:
        """Return whether the throughput, not the latency, has followed the limit down."""
        part = limit / self.limit
        midway = (1.0 + part) / 2.0
        return (
            part <= REDUCTION_JUDGED_AT
            and latency_ms > midway * self.latency_ms
            and throughput < midway * self.throughput
        )


@attrs.define
class AdaptiveLimiter:
    """Common part of the limiters that adjust once for each window of samples.

    Parameters
    ----------
    config : LimiterConfig
        Parameters.
    ceiling : int
        Highest limit.
    """

    config: LimiterConfig
    ceiling: int = 1
    _limit: float = attrs.field(init=False)
    _baseline_ms: float = attrs.field(init=False, default=0.0)
    _cold: bool = attrs.field(init=False, default=True)
    _window: _Window = attrs.field(init=False, factory=_Window)
    _latency_ms: float = attrs.field(init=False, default=0.0)
    _throughput: float = attrs.field(init=False, default=0.0)
    _reduction: _Reduction | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._limit = float(self.config.initial)
        self._clamp()

    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        """Bound the limit from above."""
        self.ceiling = max(1, ceiling)
        self._clamp()

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Take in one ended call and adjust the limit when a window is full."""
        window = self._window
        window.add(latency_ms, running, outcome)
        if now_ms - window.started_ms < self.config.window_ms:
            return
        if window.samples + window.drops < self.config.min_samples:
            return
        self._window = _Window(now_ms)
        self._smooth(window, max(1, now_ms - window.started_ms))
        self._track_baseline(window)
        before = self._limit
        self._limit = self._adjusted(window)
        self._judge_reduction(before)
        self._clamp()

    def _adjusted(self, window: _Window) -> float:
        raise NotImplementedError

    def _is_used(self, window: _Window) -> bool:
        """Return whether the limit was reached, so that a higher one can be of use."""
        return 2 * window.peak_running >= self._limit

    def _track_baseline(self, window: _Window) -> None:
        """Follow the lowest latency at once and a higher one slowly."""
        if not window.samples:
            return
        mean = window.mean_ms()
        if not self._baseline_ms or mean < self._baseline_ms:
            self._baseline_ms = mean
        else:
            self._baseline_ms += (mean - self._baseline_ms) * self.config.baseline_drift

    def _judge_reduction(self, before: float) -> None:
        """Take back a run of decreases that did not shorten the calls."""
        latency_ms, throughput = self._latency_ms, self._throughput
        if self._limit > before:
            self._reduction = None
        elif self._reduction is None:
            if self._limit < before:
                self._reduction = _Reduction(before, before, latency_ms, throughput)
        elif self._reduction.was_useless(before, latency_ms, throughput):
            self._baseline_ms = latency_ms
            self._limit = self._reduction.restored_limit
            self._reduction = None
        else:
            self._reduction.note(before, latency_ms, throughput)

    def _smooth(self, window: _Window, elapsed_ms: int) -> None:
        throughput = window.samples / elapsed_ms
        self._throughput += WINDOW_SMOOTHING * (throughput - self._throughput)
        if window.samples:
            self._latency_ms += WINDOW_SMOOTHING * (window.mean_ms() - self._latency_ms)

    def _is_slow(self, window: _Window) -> bool:
        return window.mean_ms() > self.config.tolerance * self._baseline_ms

    def _grown_cold(self) -> float:
        """Return the limit after a window of a cold start: half as much again."""
        return self._limit * 1.5

    def _clamp(self) -> None:
        floor = min(self.config.floor, self.ceiling)
        self._limit = min(float(self.ceiling), max(float(floor), self._limit))


@attrs.define
class AimdLimiter(AdaptiveLimiter):
    """Adds one while calls are fast, multiplies down when they are slow or dropped."""

    def _adjusted(self, window: _Window) -> float:
        if window.drops or self._is_slow(window):
            self._cold = False
            return self._limit * self.config.backoff
        if not self._is_used(window):
            return self._limit
        return self._grown_cold() if self._cold else self._limit + 1


@attrs.define
class GradientLimiter(AdaptiveLimiter):
    """Scales by the ratio of baseline to present latency and allows a small queue."""

    def _adjusted(self, window: _Window) -> float:
        if window.drops > window.samples:
            self._cold = False
            return self._limit * self.config.backoff
        gradient = self.config.tolerance * self._baseline_ms / window.mean_ms()
        if gradient < 1.0:
            self._cold = False
            target = self._limit * max(0.5, gradient) + math.sqrt(self._limit)
            return self._limit + 0.2 * (target - self._limit)
        if not self._is_used(window):
            return self._limit
        return (
            self._grown_cold() if self._cold else self._limit + max(1.0, math.sqrt(self._limit) / 2)
        )
