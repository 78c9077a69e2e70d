"""Steps down under congestion, which tell it from a server whose calls have become longer."""

import attrs

STEP_PART = 0.8
"""Part of the calls at once, from step to step, below which two steps can be compared."""

STEP_SAMPLES = 20
"""Calls that a step of a descent waits for."""

STEP_LATENCIES = 1.5
"""Length that a step must have, as a multiple of its mean latency."""

STEP_MAX_MS = 600
STEP_MAX_LATENCIES = 2.0
"""Longest step of a descent: the longer of a time and a multiple of the latency before."""


@attrs.define
class Step:
    """One step of a descent: the calls that started and ended under one limit.

    `expected_ms` is the latency before the step.
    """

    started_ms: int
    expected_ms: float
    ended: int = 0
    latency_sum_ms: int = 0
    running_sum: int = 0

    def note(self, now_ms: int, latency_ms: int, running: int) -> None:
        """Count a call that ended, unless it started under another limit."""
        if now_ms - latency_ms >= self.started_ms:
            self.ended += 1
            self.latency_sum_ms += latency_ms
            self.running_sum += running

    def mean_ms(self) -> float:
        """Return the mean latency of the calls counted."""
        return self.latency_sum_ms / max(1, self.ended)

    def mean_running(self) -> float:
        """Return how many calls ran at once, urgent ones beyond the limit included."""
        return self.running_sum / max(1, self.ended)

    def is_over(self, now_ms: int) -> bool:
        """Return whether the mean can be trusted, or has taken too long to come."""
        elapsed_ms = now_ms - self.started_ms
        if elapsed_ms >= max(STEP_MAX_MS, STEP_MAX_LATENCIES * self.expected_ms):
            return True
        return self.ended >= STEP_SAMPLES and elapsed_ms >= STEP_LATENCIES * self.mean_ms()


@attrs.define
class Descent:
    """Steps down from a limit under which calls were far too long.

    They tell congestion, where fewer calls at once are shorter in proportion, from a server
    whose calls have become longer, where they are not.
    """

    start: float
    step: Step
    first: Step | None = None

    def is_flat(self) -> bool:
        """Return whether clearly fewer calls at once were as long as those of the first step."""
        first, step = self.first, self.step
        if first is None or not first.ended or not step.ended:
            return False
        part = step.mean_running() / first.mean_running()
        return part <= STEP_PART and step.mean_ms() > (1.0 + part) / 2.0 * first.mean_ms()
