"""Results of a load test: counts and latencies by flow, account, priority, phase and time."""

from collections import Counter, defaultdict
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

OK = "ok"
REFUSED = "refused"
FAILED = "failed"
TIMEOUT = "timeout"
WRONG = "wrong"


def make_histogram() -> Any:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@attrs.frozen
class Outcome:
    """Result of one request with all its attempts.

    Parameters
    ----------
    kind : str
        ``ok``, ``refused`` (a response with a result code), ``failed`` (another error, or an
        incomplete response), ``timeout`` or ``wrong`` (a response with unexpected content).
    result : str
        Result code of the last response, or its HTTP status.
    run_state : str
        Run state given by the last response; empty if it has none.
    attempts : int
        Number of attempts.
    latency_ms : float
        Time from the arrival of the request to its end, in milliseconds.
    retry_after : bool
        Whether the last response had a Retry-After header.
    """

    kind: str
    result: str
    run_state: str
    attempts: int
    latency_ms: float
    retry_after: bool


@attrs.define
class Group:
    """Counts and latencies of a group of requests."""

    offered: int = 0
    attempts: int = 0
    kinds: Counter[str] = attrs.field(factory=Counter)
    results: Counter[str] = attrs.field(factory=Counter)
    run_states: Counter[str] = attrs.field(factory=Counter)
    latencies: Any = attrs.field(factory=make_histogram)

    def add(self, outcome: Outcome) -> None:
        """Add one request; latencies are recorded for successful requests only."""
        self.offered += 1
        self.attempts += outcome.attempts
        self.kinds[outcome.kind] += 1
        self.results[outcome.result] += 1
        self.run_states[outcome.run_state] += 1
        if outcome.kind == OK:
            self.latencies.record_value(max(_MIN_LATENCY_US, int(outcome.latency_ms * _US_PER_MS)))

    @property
    def success_ratio(self) -> float:
        """Return the fraction of requests that succeeded; 1 without requests."""
        return self.kinds[OK] / self.offered if self.offered else 1.0

    def latency_ms(self, percentile: float) -> float:
        """Return a latency percentile of the successful requests, in milliseconds."""
        return float(self.latencies.get_value_at_percentile(percentile)) / _US_PER_MS

    def describe(self) -> dict[str, Any]:
        return {
            "offered": self.offered,
            "attempts": self.attempts,
            "success_ratio": round(self.success_ratio, 6),
            "kinds": dict(self.kinds),
            "results": dict(self.results),
            "run_states": dict(self.run_states),
            "latency_ms": {f"p{rank:g}": self.latency_ms(rank) for rank in PERCENTILES},
        }


@attrs.define
class LoadResults:
    """Results of a load test.

    Parameters
    ----------
    duration_s : float
        Time from the start to the end of the last request, in seconds.
    total : Group
        All requests.
    by_flow, by_account, by_priority, by_phase : dict
        Groups by name.
    steps : dict
        Number of successful requests by the time step in which they ended.
    max_lag_ms : float
        Maximum delay between a scheduled arrival and its start, in milliseconds. More than a
        few milliseconds mean that the generator was too slow for the load.
    """

    duration_s: float = 0.0
    total: Group = attrs.field(factory=Group)
    by_flow: dict[str, Group] = attrs.field(factory=lambda: defaultdict(Group))
    by_account: dict[str, Group] = attrs.field(factory=lambda: defaultdict(Group))
    by_priority: dict[str, Group] = attrs.field(factory=lambda: defaultdict(Group))
    by_phase: dict[str, Group] = attrs.field(factory=lambda: defaultdict(Group))
    steps: Counter[int] = attrs.field(factory=Counter)
    max_lag_ms: float = 0.0

    def add(
        self, flow: str, account: str, priority: str, phase: str, step: int, outcome: Outcome
    ) -> None:
        """Add one request to the totals and to each of its groups."""
        groups = (
            self.total,
            self.by_flow[flow],
            self.by_account[account],
            self.by_priority[priority],
            self.by_phase[phase],
        )
        for group in groups:
            group.add(outcome)
        if outcome.kind == OK:
            self.steps[step] += 1

    @property
    def goodput_per_s(self) -> float:
        """Return the successful requests per second over the whole duration."""
        return self.total.kinds[OK] / self.duration_s if self.duration_s else 0.0

    def describe(self) -> dict[str, Any]:
        named = {
            "by_flow": self.by_flow,
            "by_account": self.by_account,
            "by_priority": self.by_priority,
            "by_phase": self.by_phase,
        }
        return {
            "duration_s": round(self.duration_s, 3),
            "goodput_per_s": round(self.goodput_per_s, 3),
            "max_lag_ms": round(self.max_lag_ms, 3),
            "total": self.total.describe(),
            **{
                title: {name: group.describe() for name, group in sorted(groups.items())}
                for title, groups in named.items()
            },
        }
