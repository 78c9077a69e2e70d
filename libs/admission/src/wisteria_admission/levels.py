"""Shedding level of one serving daemon: a threshold over the shed ranks."""

import math

import attrs

from wisteria_core import Priority

from .config import LevelConfig
from .const import RANK_COUNT, RANKS_PER_PRIORITY

CUT_RUNS = 0.75
"""Least time between two cuts, in run times: a cut shows no sooner."""

BUSY_STEP_PART = 4
"""Part of the largest rise of the level that is used while no slot is idle."""


@attrs.define
class LevelController:
    """Moves the threshold down while calls wait too long and up again afterwards.

    A cut removes a share of the recent arrivals, read off the ranks that arrived, that grows
    with the wait. What counts is the standing queue: the least wait of the interval, so that a
    burst that drains by itself sheds nothing. Between half the target wait and the target the
    level stays.

    Parameters
    ----------
    config : LevelConfig
        Parameters.
    """

    config: LevelConfig
    threshold: int = RANK_COUNT
    _step: int = attrs.field(init=False)
    _updated_ms: int = attrs.field(init=False, default=0)
    _cut_ms: int = attrs.field(init=False, default=0)
    _least_wait_ms: float = attrs.field(init=False, default=math.inf)
    _ranks: list[int] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self._step = self.config.min_step

    def admits(self, rank: int) -> bool:
        """Return whether calls of `rank` are admitted at present."""
        return rank < self.threshold

    def note_arrival(self, rank: int) -> None:
        """Count an arrival, admitted or not."""
        self._ranks.append(rank)

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Take no note: what counts is the wait."""

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Adjust the threshold when an interval has passed.

        Parameters
        ----------
        now_ms : int
            Present time.
        run_ms : float
            Expected run time of a call.
        full_ms : float
            Expected wait behind a full queue; half of it bounds the target.
        wait_ms : float
            Expected wait of a newcomer behind everything that is queued.
        urgent_wait_ms : float
            Expected wait behind the urgent calls alone; only that may shed urgent calls.
        idle : bool
            Whether slots are free and nothing waits, so that the level may rise fast.
        """
        self._least_wait_ms = min(self._least_wait_ms, wait_ms)
        if now_ms - self._updated_ms < self.config.interval_ms:
            return
        self._updated_ms = now_ms
        wait_ms, self._least_wait_ms = self._least_wait_ms, math.inf
        target_ms = min(max(float(self.config.target_wait_ms), run_ms), full_ms / 2.0)
        if wait_ms > target_ms:
            if now_ms - self._cut_ms < run_ms * CUT_RUNS:
                return
            self._cut_ms = now_ms
            sheds_urgent = urgent_wait_ms > self.config.urgent_factor * target_ms
            self._cut(wait_ms / target_ms, 0 if sheds_urgent else RANKS_PER_PRIORITY)
        elif 2 * wait_ms < target_ms:
            self._raise(idle)
        self._ranks.clear()

    def _cut(self, severity: float, lowest: int) -> None:
        self._step = self.config.min_step
        admitted = sorted(rank for rank in self._ranks if rank < self.threshold)
        if not admitted:
            return
        share = min(self.config.max_cut, self.config.cut * severity)
        cut_at = admitted[int(len(admitted) * (1.0 - share))]
        self.threshold = max(lowest, min(self.threshold, cut_at))

    def _raise(self, idle: bool) -> None:
        highest = self.config.max_step if idle else self.config.max_step // BUSY_STEP_PART
        self.threshold = min(RANK_COUNT, self.threshold + self._step)
        self._step = min(highest, 2 * self._step)
