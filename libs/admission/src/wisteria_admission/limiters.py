"""Adaptive concurrency limits: AIMD, gradient and fixed."""

import math
from typing import Protocol

import attrs

from .config import LimiterConfig
from .descents import Descent, Step
from .models import Outcome

BASELINE_WINDOWS = 3
"""Windows after the start that the baseline averages: the first holds short calls only."""

FAR_SHORTER = 0.6
"""Part of the baseline below which a latency is a change and no scatter."""

BASELINE_FALL = 0.1
"""Share of the gap to a lower latency that the baseline closes in each window."""

USED_PART = 0.8
"""Part of the limit that must have been reached for it to grow."""

STEADY_GROWTHS = 3
"""Increases in a row that add one; later ones double."""

FAR_TOO_LONG = 1.25
"""Multiple of the tolerated latency at which a descent begins."""

DESCENT_DEPTH = 0.6
"""Part of the limit, after a run of small cuts, at which a descent begins."""

DESCENT_STEP = 0.6
"""Highest factor of one step of a descent."""


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
    """A limit that stays at its ceiling, or just below a part of it.

    Parameters
    ----------
    part : float
        Part of the ceiling from which a backend server runs slower: one call less is run at
        once. 1 for none.
    """

    ceiling: int = 1
    part: float = 1.0

    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        if self.part >= 1.0:
            return self.ceiling
        return max(1, math.ceil(self.ceiling * self.part) - 1)

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
    _windows: int = attrs.field(init=False, default=0)
    _cold: bool = attrs.field(init=False, default=True)
    _window: _Window = attrs.field(init=False, factory=_Window)
    _growths: int = attrs.field(init=False, default=0)
    _cut_from: float | None = attrs.field(init=False, default=None)
    _descent: Descent | None = attrs.field(init=False, default=None)

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
        if self._descent is not None:
            if outcome in (Outcome.SUCCESS, Outcome.TIMEOUT):
                self._descent.step.note(now_ms, latency_ms, running)
            self._advance_descent(now_ms, self._descent)
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
        self._limit = self._adjusted(window)
        self._clamp()
        self._watch_cuts(now_ms, before, window.mean_ms())

    def _adjusted(self, window: _Window) -> float:
        raise NotImplementedError

    def _is_used(self, window: _Window) -> bool:
        """Return whether the limit was reached, so that a higher one can be of use."""
        return window.peak_running >= USED_PART * self._limit

    def _track_baseline(self, mean_ms: float) -> None:
        """Follow a far lower latency at once, a lower one soon and a higher one slowly."""
        if self._windows < BASELINE_WINDOWS:
            self._windows += 1
            self._baseline_ms += (mean_ms - self._baseline_ms) / self._windows
            return
        if mean_ms < FAR_SHORTER * self._baseline_ms:
            self._baseline_ms = mean_ms
            return
        shorter = mean_ms < self._baseline_ms
        drift = BASELINE_FALL if shorter else self.config.baseline_drift
        self._baseline_ms += (mean_ms - self._baseline_ms) * drift

    def _watch_cuts(self, now_ms: int, before: float, latency_ms: float) -> None:
        """Begin a descent when calls are far too long or a run of cuts has gone deep."""
        at_floor = self._limit <= self._floor() and self._is_too_long(latency_ms)
        if self._limit > before:
            self._cut_from = None
        elif self._limit < before or at_floor:
            self._growths = 0
            self._cut_from = self._cut_from or before
            far = self._is_too_long(latency_ms / FAR_TOO_LONG)
            if far or at_floor or self._limit <= DESCENT_DEPTH * self._cut_from:
                self._descent = Descent(self._cut_from, Step(now_ms, latency_ms))

    def _advance_descent(self, now_ms: int, descent: Descent) -> None:
        """Judge the present step once it is over; go one down, or end the descent."""
        step = descent.step
        if not step.is_over(now_ms):
            return
        if descent.is_flat():
            self._baseline_ms = step.mean_ms()
            self._limit = descent.start
        elif step.ended and not self._is_too_long(step.mean_ms()):
            self._track_baseline(step.mean_ms())
        elif self._limit > self._floor():
            self._limit *= self._cut_factor(step.mean_ms(), DESCENT_STEP)
            self._clamp()
            descent.first, descent.step = descent.first or step, Step(now_ms, step.mean_ms())
            return
        elif step.ended:
            # the floor is the least that calls can be given room: they take as long as this
            self._baseline_ms = step.mean_ms()
        self._descent = None
        self._cut_from = None
        self._window = _Window(now_ms)

    def _cut_factor(self, latency_ms: float, highest: float) -> float:
        """Return the factor of a decrease: the more the calls are too long, the lower."""
        wanted = self.config.tolerance * self._baseline_ms / max(1.0, latency_ms)
        return min(highest, max(self.config.min_backoff, wanted))

    def _floor(self) -> int:
        return min(self.config.floor, self.ceiling)

    def _is_slow(self, window: _Window) -> bool:
        return self._is_too_long(window.mean_ms())

    def _is_too_long(self, latency_ms: float) -> bool:
        slack_ms = max(self.config.min_slack_ms, (self.config.tolerance - 1.0) * self._baseline_ms)
        return latency_ms > self._baseline_ms + slack_ms

    def _grown(self) -> float:
        """Return a higher limit: by half while cold, else by one, then in doubling steps."""
        self._growths += 1
        if self._cold:
            return self._limit * 1.5
        step = 1 << max(0, min(self._growths - STEADY_GROWTHS, 8))
        return self._limit + min(float(step), max(1.0, self._limit / 4))

    def _clamp(self) -> None:
        self._limit = min(float(self.ceiling), max(float(self._floor()), self._limit))


@attrs.define
class AimdLimiter(AdaptiveLimiter):
    """Adds while calls are fast, multiplies down when they are slow or dropped."""

    def _adjusted(self, window: _Window) -> float:
        if window.drops or self._is_slow(window):
            self._cold = False
            return self._limit * self._cut_factor(window.mean_ms(), self.config.backoff)
        return self._grown() if self._is_used(window) else self._limit


@attrs.define
class GradientLimiter(AdaptiveLimiter):
    """Scales by the ratio of baseline to present latency and allows a small queue."""

    def _adjusted(self, window: _Window) -> float:
        if window.drops > window.samples:
            self._cold = False
            return self._limit * self.config.backoff
        if self._is_slow(window):
            self._cold = False
            gradient = self.config.tolerance * self._baseline_ms / window.mean_ms()
            target = self._limit * max(0.5, gradient) + math.sqrt(self._limit)
            return self._limit + 0.2 * (target - self._limit)
        return self._grown() if self._is_used(window) else self._limit
