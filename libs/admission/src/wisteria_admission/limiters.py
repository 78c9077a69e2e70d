"""Adaptive concurrency limits: AIMD, gradient and fixed."""

import math
from typing import Protocol

import attrs

from .config import LimiterConfig
from .models import Outcome
from .step_down_probe import ProbeStep, StepDownProbe

BASELINE_WARMUP_WINDOWS = 3
"""Initial windows averaged into the baseline: the first one contains only short calls."""

BASELINE_RESET_FRACTION = 0.6
"""A latency below this fraction of the baseline is a change rather than scatter."""

BASELINE_FALL_RATE = 0.1
"""Fraction of the gap to a lower latency that the baseline closes in each window."""

MIN_USED_FRACTION = 0.8
"""Fraction of the limit that the running calls must reach for it to be raised."""

LINEAR_INCREASES = 3
"""Consecutive increases by one, after which the increment doubles each time."""

PROBE_LATENCY_FACTOR = 1.25
"""Multiple of the tolerated latency above which a probe starts at once."""

PROBE_LIMIT_FRACTION = 0.6
"""A probe starts when consecutive cuts leave at most this fraction of the original limit."""

MAX_PROBE_FACTOR = 0.6
"""Upper bound of the factor applied to the limit in each step of a probe."""


class Limiter(Protocol):
    """A concurrency limit that adapts to the calls that end."""

    def limit(self) -> int:
        """Return the number of calls that may run at once."""

    def set_ceiling(self, ceiling: int) -> None:
        """Bound the limit from above."""

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Add one ended call; `running` includes it."""


@attrs.define
class FixedLimiter:
    """A limit fixed at its ceiling, or just below the knee of the latency curve.

    Parameters
    ----------
    knee_fraction : float
        Fraction of the ceiling at which the backend server becomes slower; the limit stays one
        call below it. 1 means that there is no such knee.
    """

    ceiling: int = 1
    knee_fraction: float = 1.0

    def limit(self) -> int:
        if self.knee_fraction >= 1.0:
            return self.ceiling
        return max(1, math.ceil(self.ceiling * self.knee_fraction) - 1)

    def set_ceiling(self, ceiling: int) -> None:
        self.ceiling = ceiling

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Ignore the call: the limit is fixed."""


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
class AdaptiveLimiter:
    """Base class of the limiters that adjust once per window of samples."""

    config: LimiterConfig
    ceiling: int = 1
    _limit: float = attrs.field(init=False)
    _baseline_ms: float = attrs.field(init=False, default=0.0)
    _baseline_windows: int = attrs.field(init=False, default=0)
    _in_slow_start: bool = attrs.field(init=False, default=True)
    _window: _Window = attrs.field(init=False, factory=_Window)
    _consecutive_increases: int = attrs.field(init=False, default=0)
    _limit_before_cuts: float | None = attrs.field(init=False, default=None)
    _probe: StepDownProbe | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._limit = float(self.config.initial)
        self._clamp()

    def limit(self) -> int:
        return int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        self.ceiling = max(1, ceiling)
        self._clamp()

    def note(self, now_ms: int, latency_ms: int, running: int, outcome: Outcome) -> None:
        """Add one ended call and adjust the limit when a window is complete."""
        if self._probe is not None:
            if outcome in (Outcome.SUCCESS, Outcome.TIMEOUT):
                self._probe.step.note(now_ms, latency_ms, running)
            self._advance_probe(now_ms, self._probe)
            return
        window = self._window
        window.add(latency_ms, running, outcome)
        if now_ms - window.started_ms < self.config.window_ms:
            return
        if window.samples + window.drops < self.config.min_samples:
            return
        self._window = _Window(now_ms)
        if window.samples:
            self._track_baseline(window.mean_ms())
        before = self._limit
        self._limit = self._next_limit(window)
        self._clamp()
        self._start_probe_if_needed(now_ms, before, window.mean_ms())

    def _next_limit(self, window: _Window) -> float:
        raise NotImplementedError

    def _is_limit_reached(self, window: _Window) -> bool:
        """Return whether the limit was nearly reached, so that a higher one can be useful."""
        return window.peak_running >= MIN_USED_FRACTION * self._limit

    def _track_baseline(self, mean_ms: float) -> None:
        """Move the baseline to a far lower latency at once, else quickly down and slowly up."""
        if self._baseline_windows < BASELINE_WARMUP_WINDOWS:
            self._baseline_windows += 1
            self._baseline_ms += (mean_ms - self._baseline_ms) / self._baseline_windows
            return
        if mean_ms < BASELINE_RESET_FRACTION * self._baseline_ms:
            self._baseline_ms = mean_ms
            return
        shorter = mean_ms < self._baseline_ms
        drift = BASELINE_FALL_RATE if shorter else self.config.baseline_drift
        self._baseline_ms += (mean_ms - self._baseline_ms) * drift

    def _start_probe_if_needed(self, now_ms: int, before: float, latency_ms: float) -> None:
        """Start a probe when latency is far too high or consecutive cuts have gone too far."""
        at_floor = self._limit <= self._floor() and self._is_too_long(latency_ms)
        if self._limit > before:
            self._limit_before_cuts = None
        elif self._limit < before or at_floor:
            self._consecutive_increases = 0
            self._limit_before_cuts = self._limit_before_cuts or before
            far = self._is_too_long(latency_ms / PROBE_LATENCY_FACTOR)
            if far or at_floor or self._limit <= PROBE_LIMIT_FRACTION * self._limit_before_cuts:
                self._probe = StepDownProbe(self._limit_before_cuts, ProbeStep(now_ms, latency_ms))

    def _advance_probe(self, now_ms: int, probe: StepDownProbe) -> None:
        """Evaluate the current step once it is over: take another step or end the probe."""
        step = probe.step
        if not step.is_over(now_ms):
            return
        if probe.is_flat():
            self._baseline_ms = step.mean_ms()
            self._limit = probe.start_limit
        elif step.ended and not self._is_too_long(step.mean_ms()):
            self._track_baseline(step.mean_ms())
        elif self._limit > self._floor():
            self._limit *= self._decrease_factor(step.mean_ms(), MAX_PROBE_FACTOR)
            self._clamp()
            probe.first, probe.step = probe.first or step, ProbeStep(now_ms, step.mean_ms())
            return
        elif step.ended:
            # the limit cannot go below the floor, so this latency is the new baseline
            self._baseline_ms = step.mean_ms()
        self._probe = None
        self._limit_before_cuts = None
        self._window = _Window(now_ms)

    def _decrease_factor(self, latency_ms: float, highest: float) -> float:
        """Return the factor of a decrease: lower the further latency exceeds the tolerance."""
        wanted = self.config.tolerance * self._baseline_ms / max(1.0, latency_ms)
        return min(highest, max(self.config.min_backoff, wanted))

    def _floor(self) -> int:
        return min(self.config.floor, self.ceiling)

    def _is_slow(self, window: _Window) -> bool:
        return self._is_too_long(window.mean_ms())

    def _is_too_long(self, latency_ms: float) -> bool:
        slack_ms = max(self.config.min_slack_ms, (self.config.tolerance - 1.0) * self._baseline_ms)
        return latency_ms > self._baseline_ms + slack_ms

    def _increased_limit(self) -> float:
        """Return a higher limit: by half in slow start, else by one, then in doubling steps."""
        self._consecutive_increases += 1
        if self._in_slow_start:
            return self._limit * 1.5
        step = 1 << max(0, min(self._consecutive_increases - LINEAR_INCREASES, 8))
        return self._limit + min(float(step), max(1.0, self._limit / 4))

    def _clamp(self) -> None:
        self._limit = min(float(self.ceiling), max(float(self._floor()), self._limit))


@attrs.define
class AimdLimiter(AdaptiveLimiter):
    """Additive increase while calls are fast, multiplicative decrease when slow or dropped."""

    def _next_limit(self, window: _Window) -> float:
        if window.drops or self._is_slow(window):
            self._in_slow_start = False
            return self._limit * self._decrease_factor(window.mean_ms(), self.config.backoff)
        return self._increased_limit() if self._is_limit_reached(window) else self._limit


@attrs.define
class GradientLimiter(AdaptiveLimiter):
    """Scales the limit by the ratio of baseline to current latency; allows a small queue."""

    def _next_limit(self, window: _Window) -> float:
        if window.drops > window.samples:
            self._in_slow_start = False
            return self._limit * self.config.backoff
        if self._is_slow(window):
            self._in_slow_start = False
            gradient = self.config.tolerance * self._baseline_ms / window.mean_ms()
            target = self._limit * max(0.5, gradient) + math.sqrt(self._limit)
            return self._limit + 0.2 * (target - self._limit)
        return self._increased_limit() if self._is_limit_reached(window) else self._limit
