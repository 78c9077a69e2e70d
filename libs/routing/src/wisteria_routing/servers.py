"""Observed state of one backend server: load, outcomes and ejection."""

import attrs

from wisteria_core import VmId

from .config import LoadBalancerConfig
from .const import DEFAULT_CAPACITY
from .models import CallOutcome, Candidate, HealthReport, ServerLoad

_ERROR_WEIGHT = {
    CallOutcome.SUCCESS: 0.0,
    CallOutcome.TIMEOUT: 0.5,
    CallOutcome.ERROR: 1.0,
    CallOutcome.LINK_LOST: 1.0,
}
PRIOR_WEIGHT = 0.25
UNHEALTHY_LOAD = 2.0
SLOWNESS_SMOOTHING = 0.05
"""Weight of one answer. It is small because run times of one kind of call vary severalfold."""
PRIOR_ANSWERS = 4
"""Weight of the initial assumption of average speed, in answers."""
ERROR_PENALTY = 20.0
NEGLIGIBLE_ERROR_RATE = 0.01
MIN_SLOWNESS_FACTOR = 0.5
MAX_SLOWNESS_FACTOR = 4.0
"""Bounds on the slowness factor of the score, so that load matters at least as much."""
MIN_SLOW_START_SHARE = 0.1


@attrs.frozen
class Baseline:
    """Values assumed for a backend server without observations of its own.

    Load and capacity are medians over the backend servers that reported them. The assumed load
    is never above the default, so that a server without observations is tried eventually.
    `min_slowness` is the slowness of the fastest usable server, and `min_error_rate` the lowest
    error rate of one.
    """

    load: float = 0.5
    capacity: int = DEFAULT_CAPACITY
    min_slowness: float = 1.0
    min_error_rate: float = 0.0


@attrs.define
class Server:
    """Observations of one backend server.

    Parameters
    ----------
    started_ms : int
        Clock reading at which the slow start began: the server was added or restored.
    slowness : float
        Smoothed ratio of the latency of its answers to the average of the same kind of call.
    """

    candidate: Candidate
    started_ms: int
    in_flight: int = 0
    _error_rate: float = 0.0
    _error_updated_ms: int = 0
    slowness: float = 1.0
    _slowness_updated_ms: int = 0
    _slowness_answers: int = 0
    outcomes: int = 0
    ejections: int = 0
    ejected_until_ms: int | None = None
    _load: ServerLoad | None = None
    _load_received_ms: int = 0
    _report: HealthReport | None = None
    _report_created_ms: int = 0

    @property
    def vm_id(self) -> VmId:
        return self.candidate.vm_id

    def note_load(self, now_ms: int, load: ServerLoad) -> None:
        self._load = load
        self._load_received_ms = now_ms

    def note_report(self, now_ms: int, report: HealthReport) -> None:
        self._report = report
        self._report_created_ms = now_ms - report.age_ms

    def error_rate(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the error rate; it decays without outcomes, so that the server is tried again."""
        if self._error_rate < NEGLIGIBLE_ERROR_RATE:
            return 0.0
        rate = self._error_rate * _decay(now_ms - self._error_updated_ms, config.error_half_life_ms)
        return rate if rate >= NEGLIGIBLE_ERROR_RATE else 0.0

    def note_outcome(
        self, now_ms: int, outcome: CallOutcome, slowness: float, config: LoadBalancerConfig
    ) -> None:
        """Record how an attempt ended; refusals and cancellations do not indicate health.

        `slowness` is the ratio of its latency to the average of the same kind of call.
        """
        weight = _ERROR_WEIGHT.get(outcome)
        if weight is None:
            return
        self.outcomes += 1
        rate = self.error_rate(now_ms, config)
        self._error_rate = rate + config.error_smoothing * (weight - rate)
        self._error_updated_ms = now_ms
        if outcome in (CallOutcome.SUCCESS, CallOutcome.TIMEOUT):
            current = self.slowness_at(now_ms, config)
            self._slowness_answers += 1
            weight = max(SLOWNESS_SMOOTHING, 1.0 / (PRIOR_ANSWERS + self._slowness_answers))
            self.slowness = current + weight * (slowness - current)
            self._slowness_updated_ms = now_ms

    def slowness_at(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the slowness; it decays to 1, so that a slow server is tried again."""
        decay = _decay(now_ms - self._slowness_updated_ms, config.slowness_half_life_ms)
        return 1.0 + (self.slowness - 1.0) * decay

    def capacity(self, baseline: Baseline) -> int:
        """Return the last reported concurrency limit, else the assumed one."""
        return max(1, self._load.limit) if self._load else baseline.capacity

    def reported_limit(self) -> int | None:
        """Return the last reported concurrency limit, None before the first answer."""
        return self._load.limit if self._load else None

    def recent_load(self, now_ms: int, config: LoadBalancerConfig) -> float | None:
        """Return the load reported with the last answer, None if it is too old."""
        if self._load is None or now_ms - self._load_received_ms > config.load_half_life_ms:
            return None
        return self._load.ratio()

    def load(self, now_ms: int, baseline: Baseline, config: LoadBalancerConfig) -> float:
        """Return the estimated load relative to the capacity.

        Observations lose weight, and the estimate decays to the assumed load, so that a server
        that was busy is tried again. Calls in flight from this daemon are a lower bound.
        """
        weight_sum, load_sum = PRIOR_WEIGHT, PRIOR_WEIGHT * baseline.load
        if self._load is not None:
            weight = _decay(now_ms - self._load_received_ms, config.load_half_life_ms)
            weight_sum, load_sum = weight_sum + weight, load_sum + weight * self._load.ratio()
        if self._report is not None:
            decay = _decay(now_ms - self._report_created_ms, config.report_half_life_ms)
            weight = config.report_weight * decay
            reported = self._report.load if self._report.healthy else UNHEALTHY_LOAD
            weight_sum, load_sum = weight_sum + weight, load_sum + weight * reported
        return max(load_sum / weight_sum, self.in_flight / self.capacity(baseline))

    def score(self, now_ms: int, baseline: Baseline, config: LoadBalancerConfig) -> float:
        """Return the cost of sending one more call; the lowest score is best."""
        load = self.load(now_ms, baseline, config) + (self.in_flight + 1) / self.capacity(baseline)
        if not self.candidate.connected:
            load += config.connect_penalty
        errors = 1.0 + ERROR_PENALTY * self.error_rate(now_ms, config)
        slowness = min(
            MAX_SLOWNESS_FACTOR, max(MIN_SLOWNESS_FACTOR, self.slowness_at(now_ms, config))
        )
        return load * slowness * errors

    def slow_start_share(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the fraction of its full share that the server gets during slow start."""
        share = (now_ms - self.started_ms) / max(1, config.slow_start_ms)
        return min(1.0, max(MIN_SLOW_START_SHARE, share))

    def eject(self, now_ms: int, config: LoadBalancerConfig) -> None:
        """Eject the server for a time that doubles with each consecutive ejection."""
        duration_ms = min(config.eject_max_ms, config.eject_base_ms << min(self.ejections, 16))
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.outcomes = 0

    def restore(self, now_ms: int) -> None:
        """Restore an ejected server after a successful probe, with a slow start."""
        self.ejected_until_ms = None
        self._error_rate = 0.0
        self.outcomes = 0
        self.started_ms = now_ms

    def is_probe_due(self, now_ms: int) -> bool:
        """Return whether an ejected server may receive a probe; only one is sent at a time."""
        until_ms = self.ejected_until_ms
        return until_ms is not None and now_ms >= until_ms and self.in_flight == 0


def _decay(age_ms: int, half_life_ms: int) -> float:
    """Return the exponential decay factor for `age_ms`."""
    return float(0.5 ** (max(0, age_ms) / half_life_ms))
