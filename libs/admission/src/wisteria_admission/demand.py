"""Shedding level worked out from demand and capacity, without waiting for a queue."""

import math
from typing import Protocol

import attrs

from wisteria_core import Priority

from .config import DemandConfig
from .const import HASH_RANKS, MILLI, RANK_COUNT, RANKS_PER_PRIORITY


class Level(Protocol):
    """A threshold over the shed ranks of one serving daemon."""

    threshold: int

    def admits(self, rank: int) -> bool:
        """Return whether calls of `rank` are admitted at present."""

    def note_arrival(self, rank: int) -> None:
        """Count an arrival, admitted or not."""

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Count work that is asked for, with what entry daemons have refused of its kind."""

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Adjust the threshold when an interval has passed."""


@attrs.define
class DemandLevel:
    """Admits the part of the demand that the slots can carry, priority by priority.

    Demand counts what entry daemons refused as well, so the level finds its place at once and
    does not swing while requests that were admitted earlier are still on their way down the
    chain. Requests of one priority differ in cost: each kind has a span of ranks in proportion
    to its cost, so that of the costly ones a larger part is shed.

    Parameters
    ----------
    slots : int
        Calls that run at once.
    config : DemandConfig
        Parameters.
    """

    slots: int
    config: DemandConfig = attrs.field(factory=DemandConfig)
    threshold: int = RANK_COUNT
    _work: dict[tuple[Priority, bool, int], float] = attrs.field(init=False, factory=dict)
    _updated_ms: int | None = attrs.field(init=False, default=None)
    _seen_ms: float = attrs.field(init=False, default=0.0)

    def admits(self, rank: int) -> bool:
        """Return whether calls of `rank` are admitted at present."""
        return rank < self.threshold

    def note_arrival(self, rank: int) -> None:
        """Take no note: what counts is the work."""

    def note_demand(self, priority: Priority, excess_milli: int, span: int, work_ms: float) -> None:
        """Count work that is asked for, the part beyond the account's share apart."""
        excess = work_ms * excess_milli / MILLI
        for exceeds, part in ((False, work_ms - excess), (True, excess)):
            if part > 0:
                key = (priority, exceeds, span)
                self._work[key] = self._work.get(key, 0.0) + part

    def update(
        self,
        now_ms: int,
        run_ms: float,
        full_ms: float,
        wait_ms: float,
        urgent_wait_ms: float,
        idle: bool,
    ) -> None:
        """Work out the threshold anew when an interval has passed.

        Parameters
        ----------
        now_ms : int
            Present time.
        wait_ms : float
            Expected wait of a newcomer; a standing queue takes part of the capacity.
        """
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < self.config.interval_ms:
            return
        self._updated_ms = now_ms
        # what was seen so far weighs less than a whole window after a start
        fade = math.exp(-elapsed_ms / self.config.window_ms)
        self._seen_ms = self._seen_ms * fade + elapsed_ms
        self._set_threshold(wait_ms)
        self._work = {key: work * fade for key, work in self._work.items() if work > 1.0}

    def _set_threshold(self, wait_ms: float) -> None:
        use = self.config.target_utilization * max(
            self.config.min_utilization, 1.0 - wait_ms / self.config.drain_ms
        )
        left = self.slots * use * self._seen_ms
        for base, spans in self._list_classes():
            total = sum(spans.values())
            if total <= left:
                left -= total
                continue
            self.threshold = base + max(self.config.min_ranks, _fit(spans, left))
            return
        self.threshold = RANK_COUNT

    def _list_classes(self) -> list[tuple[int, dict[int, float]]]:
        """Return the lowest rank of each class of requests and its work by span."""
        classes: dict[int, dict[int, float]] = {}
        for (priority, exceeds, span), work in self._work.items():
            base = int(priority) * RANKS_PER_PRIORITY + int(exceeds) * HASH_RANKS
            spans = classes.setdefault(base, {})
            spans[span] = spans.get(span, 0.0) + work
        return sorted(classes.items())


def _fit(spans: dict[int, float], left: float) -> int:
    """Return the ranks of a class whose work fits into `left`.

    Work of a span is spread evenly over that many ranks.
    """
    low = 0
    for high in sorted(spans):
        slope = sum(work / span for span, work in spans.items() if span > low)
        if slope * (high - low) >= left:
            return low + int(left / slope)
        left -= slope * (high - low)
        low = high
    return low
