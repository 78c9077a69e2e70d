"""What one daemon knows of one backend server: load, outcomes, ejection."""

import attrs

from wisteria_core import VmId

from .config import LoadBalancerConfig
from .const import CAPACITY_UNKNOWN
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
"""Weight of one answer: run times of a kind differ severalfold."""
FIRST_ANSWERS = 4
"""Answers that the assumption of a usual speed is worth."""
ERROR_PENALTY = 20.0
NEGLIGIBLE_ERROR_RATE = 0.01
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
"""Bounds on what slowness does to the score: between them, load decides as much."""
MIN_START_PART = 0.1


@attrs.frozen
class Usual:
    """What is assumed of a backend server without evidence: medians over the others.

    The load is never assumed to be high, so that a server is tried in the end.
    """

    load: float = 0.5
    capacity: int = CAPACITY_UNKNOWN
    fastest: float = 1.0


@attrs.define
class Server:
    """Evidence on one backend server.

    Parameters
    ----------
    candidate : Candidate
        Its latest description.
    started_ms : int
        When it was added or returned from an ejection: start of its slow start.
    slowness : float
        Latency of its answers against the usual one of the same kind of call, smoothed.
    """

    candidate: Candidate
    started_ms: int
    in_flight: int = 0
    _error_rate: float = 0.0
    _error_noted_ms: int = 0
    slowness: float = 1.0
    _slowness_noted_ms: int = 0
    _slowness_answers: int = 0
    outcomes: int = 0
    ejections: int = 0
    ejected_until_ms: int | None = None
    _load: ServerLoad | None = None
    _load_heard_ms: int = 0
    _report: HealthReport | None = None
    _report_heard_ms: int = 0

    @property
    def vm_id(self) -> VmId:
        """Name of the VM."""
        return self.candidate.vm_id

    def note_load(self, now_ms: int, load: ServerLoad) -> None:
        """Take in a load carried on an answer."""
        self._load = load
        self._load_heard_ms = now_ms

    def note_report(self, now_ms: int, report: HealthReport) -> None:
        """Take in a polled report."""
        self._report = report
        self._report_heard_ms = now_ms - report.age_ms

    def error_rate(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the error rate; it fades while nothing is sent, so that one is tried again."""
        if self._error_rate < NEGLIGIBLE_ERROR_RATE:
            return 0.0
        rate = self._error_rate * _fade(now_ms - self._error_noted_ms, config.error_half_life_ms)
        return rate if rate >= NEGLIGIBLE_ERROR_RATE else 0.0

    def note_outcome(
        self, now_ms: int, outcome: CallOutcome, slowness: float, config: LoadBalancerConfig
    ) -> None:
        """Take in how an attempt ended; refusals and cancellations say nothing of health.

        Parameters
        ----------
        slowness : float
            Its latency against the usual one of its kind.
        """
        weight = _ERROR_WEIGHT.get(outcome)
        if weight is None:
            return
        self.outcomes += 1
        rate = self.error_rate(now_ms, config)
        self._error_rate = rate + config.error_smoothing * (weight - rate)
        self._error_noted_ms = now_ms
        if outcome in (CallOutcome.SUCCESS, CallOutcome.TIMEOUT):
            known = self.slowness_at(now_ms, config)
            self._slowness_answers += 1
            weight = max(SLOWNESS_SMOOTHING, 1.0 / (FIRST_ANSWERS + self._slowness_answers))
            self.slowness = known + weight * (slowness - known)
            self._slowness_noted_ms = now_ms

    def slowness_at(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the slowness; it fades, so that a server that was slow is tried again."""
        fade = _fade(now_ms - self._slowness_noted_ms, config.slowness_half_life_ms)
        return 1.0 + (self.slowness - 1.0) * fade

    def capacity(self, usual: Usual) -> int:
        """Return the concurrency limit last heard."""
        return max(1, self._load.limit) if self._load else usual.capacity

    def stated_limit(self) -> int | None:
        """Return the concurrency limit last heard, None before the first answer."""
        return self._load.limit if self._load else None

    def heard_load(self, now_ms: int, config: LoadBalancerConfig) -> float | None:
        """Return the load carried on the last answer while it is fresh, else None."""
        if self._load is None or now_ms - self._load_heard_ms > config.load_half_life_ms:
            return None
        return self._load.ratio()

    def load(self, now_ms: int, usual: Usual, config: LoadBalancerConfig) -> float:
        """Return the load as a multiple of the capacity, with old evidence discounted.

        Evidence fades towards the usual load, so that a server that was once busy is tried
        again; the own calls in flight are always counted.
        """
        weights, total = PRIOR_WEIGHT, PRIOR_WEIGHT * usual.load
        if self._load is not None:
            weight = _fade(now_ms - self._load_heard_ms, config.load_half_life_ms)
            weights, total = weights + weight, total + weight * self._load.ratio()
        if self._report is not None:
            fade = _fade(now_ms - self._report_heard_ms, config.report_half_life_ms)
            weight = config.report_weight * fade
            claimed = self._report.load if self._report.healthy else UNHEALTHY_LOAD
            weights, total = weights + weight, total + weight * claimed
        return max(total / weights, self.in_flight / self.capacity(usual))

    def score(self, now_ms: int, usual: Usual, config: LoadBalancerConfig) -> float:
        """Return the cost of sending one more call; the lowest is best."""
        load = self.load(now_ms, usual, config) + (self.in_flight + 1) / self.capacity(usual)
        if not self.candidate.connected:
            load += config.connect_penalty
        errors = 1.0 + ERROR_PENALTY * self.error_rate(now_ms, config)
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.slowness_at(now_ms, config)))
        return load * slowness * errors

    def start_part(self, now_ms: int, config: LoadBalancerConfig) -> float:
        """Return the part of its full share that a starting backend server gets."""
        part = (now_ms - self.started_ms) / max(1, config.slow_start_ms)
        return min(1.0, max(MIN_START_PART, part))

    def eject(self, now_ms: int, config: LoadBalancerConfig) -> None:
        """Keep the server out for a time that doubles with each ejection in a row."""
        length_ms = min(config.eject_max_ms, config.eject_base_ms << min(self.ejections, 16))
        self.ejections += 1
        self.ejected_until_ms = now_ms + length_ms
        self.outcomes = 0

    def restore(self, now_ms: int) -> None:
        """Take an ejected server back after a successful probe, with a slow start."""
        self.ejected_until_ms = None
        self._error_rate = 0.0
        self.outcomes = 0
        self.started_ms = now_ms

    def wants_probe(self, now_ms: int) -> bool:
        """Return whether an ejected server may get its one probe call."""
        until_ms = self.ejected_until_ms
        return until_ms is not None and now_ms >= until_ms and self.in_flight == 0


def _fade(age_ms: int, half_life_ms: int) -> float:
    """Return the weight left after `age_ms`."""
    return float(0.5 ** (max(0, age_ms) / half_life_ms))
