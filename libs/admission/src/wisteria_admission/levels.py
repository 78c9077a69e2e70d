"""Queueing-delay controller of the shedding level: a threshold over the shed ranks."""

import math

import attrs

from wisteria_core import Priority

from .config import LevelConfig
from .const import RANK_COUNT, RANKS_PER_PRIORITY

MIN_CUT_INTERVAL_RUNS = 0.75
"""Minimum time between cuts, in run times: a cut has no visible effect sooner."""

BUSY_STEP_DIVISOR = 4
"""Divides the largest upward step while no slot is idle."""


@attrs.define
class LevelController:
    """Lowers the threshold while calls wait too long and raises it again afterwards.

    A cut sheds a share of the recent arrivals that grows with the wait; the new threshold is
    read off the ranks that arrived. The controller uses the minimum wait of each interval, so
    that it reacts to a standing queue and not to a burst that drains by itself. Between half the
    target wait and the target, the threshold stays unchanged.
    """

    config: LevelConfig
    threshold: int = RANK_COUNT
    _step: int = attrs.field(init=False)
    _updated_ms: int = attrs.field(init=False, default=0)
    _last_cut_ms: int = attrs.field(init=False, default=0)
    _min_wait_ms: float = attrs.field(init=False, default=math.inf)
    _arrived_ranks: list[int] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self._step = self.config.min_step

    def admits(self, rank: int) -> bool:
        return rank < self.threshold

    def note_arrival(self, rank: int) -> None:
        """Count an arrival, admitted or not."""
        self._arrived_ranks.append(rank)

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Ignore demand: this controller uses the queueing delay only."""

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_queue_wait_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Adjust the threshold when an interval has passed.

        Parameters
        ----------
        run_ms : float
            Expected run time of a call.
        full_queue_wait_ms : float
            Expected wait behind a full queue; the target is at most half of it.
        wait_ms : float
            Expected wait of a new call behind everything that is queued.
        urgent_wait_ms : float
            Expected wait behind urgent calls only; urgent calls are shed only on this wait.
        idle : bool
            Whether slots are free and nothing waits, so that the threshold may rise fast.
        """
        self._min_wait_ms = min(self._min_wait_ms, wait_ms)
        if now_ms - self._updated_ms < self.config.interval_ms:
            return
        self._updated_ms = now_ms
        wait_ms, self._min_wait_ms = self._min_wait_ms, math.inf
        target_ms = min(max(float(self.config.target_wait_ms), run_ms), full_queue_wait_ms / 2.0)
        if wait_ms > target_ms:
            if now_ms - self._last_cut_ms < run_ms * MIN_CUT_INTERVAL_RUNS:
                return
            self._last_cut_ms = now_ms
            sheds_urgent = urgent_wait_ms > self.config.urgent_factor * target_ms
            self._cut(wait_ms / target_ms, 0 if sheds_urgent else RANKS_PER_PRIORITY)
        elif 2 * wait_ms < target_ms:
            self._raise(idle)
        self._arrived_ranks.clear()

    def _cut(self, severity: float, lowest: int) -> None:
        self._step = self.config.min_step
        admitted = sorted(rank for rank in self._arrived_ranks if rank < self.threshold)
        if not admitted:
            return
        share = min(self.config.max_cut, self.config.cut * severity)
        cut_rank = admitted[int(len(admitted) * (1.0 - share))]
        self.threshold = max(lowest, min(self.threshold, cut_rank))

    def _raise(self, idle: bool) -> None:
        highest = self.config.max_step if idle else self.config.max_step // BUSY_STEP_DIVISOR
        self.threshold = min(RANK_COUNT, self.threshold + self._step)
        self._step = min(highest, 2 * self._step)
