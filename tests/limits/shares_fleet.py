"""Simulation of a fleet of daemons with shared rate limiters."""

from collections import deque
from collections.abc import Callable
from random import Random

import attrs

from wisteria_core import Refusal, VmId
from wisteria_limits import AccountDelta, AccountRate, SharedRateConfig, SharedRateLimiter

ACCOUNT = "a"
REPORT_MS = 400
HEARD_MS = 1_000
STEP_MS = 5


@attrs.define
class SharesFleet:
    """Simulated daemons and network, with the times of offered, admitted and refused calls.

    Reports reach a summing relay of each daemon; the sum follows to the daemon itself. Summing per
    daemon lets any two of them be partitioned.

    Parameters
    ----------
    demand : callable
        Returns the offered calls per second of the whole fleet at a given time.
    weights : list of float
        Relative share of the demand at each daemon.
    lag_ms : int
        Delay from a report until the daemons have it in their sum.
    is_partitioned : callable
        Returns whether two daemons are partitioned from each other at a given time.
    """

    rate: AccountRate
    demand: Callable[[int], float]
    weights: list[float]
    seed: int
    lag_ms: int = 30
    config: SharedRateConfig = SharedRateConfig()
    is_partitioned: Callable[[int, int, int], bool] = lambda now_ms, one, other: False
    now_ms: int = 0
    admitted: list[int] = attrs.field(factory=list)
    offered: list[int] = attrs.field(factory=list)
    refused: list[int] = attrs.field(factory=list)
    _random: Random = attrs.field(init=False)
    _daemons: list[SharedRateLimiter] = attrs.field(init=False)
    _pending: deque[tuple[int, int, int, tuple[AccountDelta, ...]]] = attrs.field(factory=deque)
    _heard_ms: list[dict[int, int]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self._daemons = [self._make(index) for index in range(len(self.weights))]
        self._heard_ms = [{} for _ in self.weights]

    def run(self, until_ms: int) -> None:
        """Simulate up to the given time."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self._deliver()
            self._offer()
            for index in range(len(self._daemons)):
                if (self.now_ms + index * 7) % REPORT_MS < STEP_MS:
                    self._report(index)

    def restart(self, index: int) -> None:
        """Restart a daemon, losing its state."""
        self._daemons[index] = self._make(index)
        self._heard_ms[index] = {}

    def count_max(self, moments: list[int], window_ms: int) -> int:
        """Return the maximum number of events in any window of the given length."""
        maximum, first = 0, 0
        for last, moment in enumerate(moments):
            while moments[first] <= moment - window_ms:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum

    def _make(self, index: int) -> SharedRateLimiter:
        shares = SharedRateLimiter(VmId(str(index)), self.config)
        shares.set_daemon_count(len(self.weights))
        shares.apply_rates(self.now_ms, {ACCOUNT: self.rate})
        return shares

    def _offer(self) -> None:
        per_step = self.demand(self.now_ms) * STEP_MS / 1_000
        for daemon, weight in zip(self._daemons, self.weights, strict=True):
            for _ in range(self._sample_poisson(per_step * weight / sum(self.weights))):
                self.offered.append(self.now_ms)
                verdict = daemon.admit(self.now_ms, ACCOUNT)
                admitted = not isinstance(verdict, Refusal)
                (self.admitted if admitted else self.refused).append(self.now_ms)

    def _sample_poisson(self, mean: float) -> int:
        """Return a Poisson-distributed random number."""
        count, left = 0, self._random.expovariate(1.0)
        while left < mean:
            count += 1
            left += self._random.expovariate(1.0)
        return count

    def _report(self, index: int) -> None:
        report = self._daemons[index].take_report(self.now_ms)
        for other in range(len(self._daemons)):
            if not self.is_partitioned(self.now_ms, index, other):
                self._pending.append((self.now_ms + self.lag_ms, index, other, report))

    def _deliver(self) -> None:
        while self._pending and self._pending[0][0] <= self.now_ms:
            _, sender, receiver, report = self._pending.popleft()
            heard_ms = self._heard_ms[receiver]
            heard_ms[sender] = self.now_ms
            recent = sum(1 for one in heard_ms.values() if self.now_ms - one <= HEARD_MS)
            self._daemons[receiver].apply_fleet(self.now_ms, recent, report)
