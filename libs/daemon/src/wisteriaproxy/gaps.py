"""Detects pauses of the event loop before the daemon acts on stale state."""

import logging
import time
from collections.abc import Callable

import anyio
import attrs

from wisteria_core import Clock

from .metrics import LOOP_GAPS, LOOP_LATE, Metrics

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
PROBE_INTERVAL_MS = 250
"""Interval of the clock checks: a quarter of the default maximum gap of one second."""
LATE_MS = 500
"""Lateness of a check from which it is logged."""


def read_processor_time() -> int:
    """Return the processor time that this process has used, in milliseconds."""
    return round(time.process_time() * _MS_PER_S)


@attrs.define(eq=False)
class GapMonitor:
    """Detects pauses of the event loop by the time since it was last observed to run.

    Parameters
    ----------
    max_gap_ms : int
        Longest pause after which the daemon's state still counts as current.
    on_gap : callable
        Discards stale state; called once for each longer pause, before anything else acts.
    read_processor_ms : callable
        Returns the processor time used. In a late check it tells work of the process itself from
        a process that was stopped or had no processor.
    """

    clock: Clock
    max_gap_ms: int
    metrics: Metrics
    on_gap: Callable[[], None]
    read_processor_ms: Callable[[], int] = read_processor_time
    longest_ms: int = 0
    _last_ms: int | None = None

    def observe(self) -> None:
        """Check for a pause; call before each action on current state."""
        now_ms = self.clock.now_ms()
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None:
            return
        gap_ms = now_ms - last_ms
        self.longest_ms = max(self.longest_ms, gap_ms)
        if gap_ms <= self.max_gap_ms:
            return
        self.metrics.counter(LOOP_GAPS).add()
        _LOGGER.warning("loop_gap", extra={"gap_ms": gap_ms})
        self.on_gap()

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.observe()
            due_ms = self.clock.now_ms() + PROBE_INTERVAL_MS
            processor_ms = self.read_processor_ms()
            await anyio.sleep(PROBE_INTERVAL_MS / _MS_PER_S)
            self._log_lateness(due_ms, processor_ms)

    def _log_lateness(self, due_ms: int, processor_ms: int) -> None:
        late_ms = self.clock.now_ms() - due_ms
        if late_ms < LATE_MS:
            return
        self.metrics.counter(LOOP_LATE).add()
        extra = {"late_ms": late_ms, "processor_ms": self.read_processor_ms() - processor_ms}
        _LOGGER.warning("loop_late", extra=extra)
