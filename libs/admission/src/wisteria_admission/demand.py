"""Shedding level computed from demand and capacity, before a queue builds up."""

import math
from typing import Protocol

import attrs

from wisteria_core import Priority

from .config import DemandConfig
from .const import HASH_RANKS, MILLI, RANK_COUNT, RANKS_PER_PRIORITY


class SheddingLevel(Protocol):
    """Shedding level of one serving daemon: a threshold over the shed ranks."""

    threshold: int

    def admits(self, rank: int) -> bool:
        """Return whether calls of `rank` are admitted at present."""

    def note_arrival(self, rank: int) -> None:
        """Count an arrival, admitted or not."""

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Add requested work, including what entry daemons refused of the same kind."""

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_queue_wait_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Adjust the threshold when an interval has passed."""


@attrs.define
class DemandLevel:
    """Admits as much of the demand as the slots can serve, in order of priority.

    Demand includes requests that entry daemons refused. One update is therefore enough to find
    the threshold, and it does not oscillate while requests admitted earlier are still on their
    way down the call chain. Requests of one priority differ in cost: the ranks of each kind span
    a range proportional to its cost, so that a larger part of the costly kinds is shed.

    `slots` is the number of calls that may run concurrently, on average.
    """

    slots: float
    config: DemandConfig = attrs.field(factory=DemandConfig)
    threshold: int = RANK_COUNT
    _work: dict[tuple[Priority, bool, int], float] = attrs.field(init=False, factory=dict)
    _updated_ms: int | None = attrs.field(init=False, default=None)
    _observed_ms: float = attrs.field(init=False, default=0.0)

    def admits(self, rank: int) -> bool:
        return rank < self.threshold

    def note_arrival(self, rank: int) -> None:
        """Ignore the arrival: this level uses the requested work only."""

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Add requested work, keeping the part beyond the account's share separate."""
        excess = work_ms * excess_milli / MILLI
        for exceeds, part in ((False, work_ms - excess), (True, excess)):
            if part > 0:
                key = (priority, exceeds, span)
                self._work[key] = self._work.get(key, 0.0) + part

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_queue_wait_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Recompute the threshold when an interval has passed.

        Parameters
        ----------
        wait_ms : float
            Expected wait of a new call; draining the queue takes part of the capacity.
        """
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < self.config.interval_ms:
            return
        self._updated_ms = now_ms
        # decays like the work that it covers; below a full window shortly after the start
        decay = math.exp(-elapsed_ms / self.config.window_ms)
        self._observed_ms = self._observed_ms * decay + elapsed_ms
        self._set_threshold(wait_ms)
        self._work = {key: work * decay for key, work in self._work.items() if work > 1.0}

    def _set_threshold(self, wait_ms: float) -> None:
        utilization = self.config.target_utilization * max(
            self.config.min_utilization, 1.0 - wait_ms / self.config.drain_ms
        )
        capacity_ms = self.slots * utilization * self._observed_ms
        for base, spans in self._list_classes():
            total = sum(spans.values())
            if total <= capacity_ms:
                capacity_ms -= total
                continue
            self.threshold = base + max(self.config.min_ranks, _fitting_ranks(spans, capacity_ms))
            return
        self.threshold = RANK_COUNT

    def _list_classes(self) -> list[tuple[int, dict[int, float]]]:
        """Return the lowest rank of each class of requests, with the class's work by rank span."""
        classes: dict[int, dict[int, float]] = {}
        for (priority, exceeds, span), work in self._work.items():
            base = int(priority) * RANKS_PER_PRIORITY + int(exceeds) * HASH_RANKS
            spans = classes.setdefault(base, {})
            spans[span] = spans.get(span, 0.0) + work
        return sorted(classes.items())


def _fitting_ranks(spans: dict[int, float], capacity_ms: float) -> int:
    """Return how many ranks of a class have work that fits into `capacity_ms`.

    The work of each span is spread evenly over its ranks.
    """
    low = 0
    for high in sorted(spans):
        work_per_rank = sum(work / span for span, work in spans.items() if span > low)
        if work_per_rank * (high - low) >= capacity_ms:
            return low + int(capacity_ms / work_per_rank)
        capacity_ms -= work_per_rank * (high - low)
        low = high
    return low
