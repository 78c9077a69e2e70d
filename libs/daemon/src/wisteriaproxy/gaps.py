"""Notices that the process was paused, at the moment of acting."""

import logging
from collections.abc import Callable

import anyio
import attrs

from wisteria_core import Clock

from .metrics import LOOP_GAPS, Metrics

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
PROBE_MS = 250
"""Time between two looks at the clock: a part of the shortest gap that matters, one second."""


@attrs.define(eq=False)
class GapMonitor:
    """Compares the clock with the last time that the event loop was seen to run.

    Parameters
    ----------
    bound_ms : int
        Longest gap after which the daemon's view still counts.
    on_gap : callable
        Drops what rests on the old view; called once for each gap, before anything else acts.
    """

    clock: Clock
    bound_ms: int
    metrics: Metrics
    on_gap: Callable[[], None]
    longest_ms: int = 0
    _last_ms: int | None = None

    def observe(self) -> None:
        """Note that the loop runs; must be called before each act that rests on a view."""
        now_ms = self.clock.now_ms()
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None:
            return
        gap_ms = now_ms - last_ms
        self.longest_ms = max(self.longest_ms, gap_ms)
        if gap_ms <= self.bound_ms:
            return
        self.metrics.counter(LOOP_GAPS).add()
        _LOGGER.warning("loop_gap", extra={"gap_ms": gap_ms})
        self.on_gap()

    async def run(self) -> None:
        """Observe at a steady pace until cancelled."""
        while True:
            self.observe()
            await anyio.sleep(PROBE_MS / _MS_PER_S)
