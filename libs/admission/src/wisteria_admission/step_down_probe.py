"""Stepwise reduction of a concurrency limit, to tell congestion from longer service times."""

import attrs

MAX_RUNNING_RATIO = 0.8
"""Highest ratio of running calls, last step to first, at which two steps can be compared."""

MIN_SAMPLES = 20
"""Calls that must complete before the mean latency of a step is used."""

MIN_STEP_LATENCIES = 1.5
"""Minimum duration of a step, as a multiple of its mean latency."""

MAX_STEP_MS = 600
MAX_STEP_LATENCIES = 2.0
"""A step ends at the latest after MAX_STEP_MS or this multiple of the previous latency,
whichever is longer."""


@attrs.define
class ProbeStep:
    """Calls that both started and ended under one limit.

    `expected_ms` is the mean latency measured before the step.
    """

    started_ms: int
    expected_ms: float
    ended: int = 0
    latency_sum_ms: int = 0
    running_sum: int = 0

    def note(self, now_ms: int, latency_ms: int, running: int) -> None:
        """Add a completed call, unless it started under an earlier limit."""
        if now_ms - latency_ms >= self.started_ms:
            self.ended += 1
            self.latency_sum_ms += latency_ms
            self.running_sum += running

    def mean_ms(self) -> float:
        """Return the mean latency of the counted calls."""
        return self.latency_sum_ms / max(1, self.ended)

    def mean_running(self) -> float:
        """Return the mean number of running calls, including urgent ones above the limit."""
        return self.running_sum / max(1, self.ended)

    def is_over(self, now_ms: int) -> bool:
        """Return whether enough calls were counted, or the step has reached its maximum time."""
        elapsed_ms = now_ms - self.started_ms
        if elapsed_ms >= max(MAX_STEP_MS, MAX_STEP_LATENCIES * self.expected_ms):
            return True
        return self.ended >= MIN_SAMPLES and elapsed_ms >= MIN_STEP_LATENCIES * self.mean_ms()


@attrs.define
class StepDownProbe:
    """Lowers a limit step by step to find out why calls are slow.

    Under congestion, latency falls in proportion to the number of running calls. If it does not
    fall, the calls themselves take longer, and a lower limit would only cost throughput.
    """

    start_limit: float
    step: ProbeStep
    first: ProbeStep | None = None

    def is_flat(self) -> bool:
        """Return whether latency did not fall although clearly fewer calls ran than at first."""
        first, step = self.first, self.step
        if first is None or not first.ended or not step.ended:
            return False
        ratio = step.mean_running() / first.mean_running()
        return ratio <= MAX_RUNNING_RATIO and step.mean_ms() > (1.0 + ratio) / 2.0 * first.mean_ms()
