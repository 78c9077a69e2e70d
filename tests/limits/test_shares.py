"""Shared rate limiter: keeps the bound in every window and admits calls within the rate."""

from collections.abc import Callable

import pytest

from wisteria_limits import AccountRate, SharedRateConfig
from wisteriaproxy.mesh.app import OVERAGE_FRACTION

from .shares_fleet import ACCOUNT, SharesFleet

OVERAGE = 0.25
SLACK = 20
RATE = AccountRate(ACCOUNT, 71, 71)
WINDOW_MS = 5_000
# maximum that the platform tolerates in any window, over all daemons
BOUND = (RATE.rate * WINDOW_MS / 1_000 + RATE.burst) * (1 + OVERAGE) + SLACK
# overage and slack as configured by the daemon
DAEMON_CONFIG = SharedRateConfig(overage=OVERAGE * OVERAGE_FRACTION, slack=SLACK * OVERAGE_FRACTION)
EVEN = [1.0] * 16
SKEWED = [8.0, 4.0, 2.0, 1.0] + [0.2] * 12
WARM_MS = 10_000
RELAY_LAG_MS = 250
"""Time from a report through two relays to the other daemons."""


def flat(per_s: float) -> Callable[[int], float]:
    return lambda now_ms: 0.0 if now_ms < WARM_MS else per_s


@pytest.mark.parametrize("weights", [EVEN, SKEWED])
@pytest.mark.parametrize("part", [0.6, 0.9])
def test_calls_within_the_rate_are_not_refused(weights: list[float], part: float) -> None:
    fleet = SharesFleet(RATE, flat(RATE.rate * part), weights, seed=1, config=DAEMON_CONFIG)
    fleet.run(40_000)
    assert len(fleet.offered) > 1_000
    assert len(fleet.refused) <= len(fleet.offered) * 0.002


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("times", [2.0, 7.5])
def test_a_hot_account_stays_under_the_bound(times: float, seed: int) -> None:
    for weights in (EVEN, SKEWED):
        fleet = SharesFleet(RATE, flat(RATE.rate * times), weights, seed, config=DAEMON_CONFIG)
        fleet.run(40_000)
        assert fleet.count_max(fleet.admitted, WINDOW_MS) <= BOUND
        assert len(fleet.admitted) >= 0.85 * RATE.rate * 30


# guards against daemons that all borrow again before the sums show what they borrowed
@pytest.mark.parametrize(
    "rate", [RATE, AccountRate(ACCOUNT, 30, 48), AccountRate(ACCOUNT, 150, 100)]
)
@pytest.mark.parametrize("seed", range(1, 5))
def test_a_hot_account_stays_under_the_bound_behind_relays(rate: AccountRate, seed: int) -> None:
    bound = (rate.rate * WINDOW_MS / 1_000 + rate.burst) * (1 + OVERAGE) + SLACK

    def demand(now_ms: int) -> float:
        return rate.rate * (0.6 if now_ms < WARM_MS else 7.5)

    fleet = SharesFleet(rate, demand, [1.0] * 18, seed, lag_ms=RELAY_LAG_MS, config=DAEMON_CONFIG)
    fleet.run(20_000)
    assert fleet.count_max(fleet.admitted, WINDOW_MS) <= bound


@pytest.mark.parametrize("weights", [EVEN, SKEWED])
def test_calls_within_the_rate_are_not_refused_behind_relays(weights: list[float]) -> None:
    demand = flat(RATE.rate * 0.9)
    fleet = SharesFleet(RATE, demand, weights, seed=1, lag_ms=RELAY_LAG_MS, config=DAEMON_CONFIG)
    fleet.run(40_000)
    assert len(fleet.refused) <= len(fleet.offered) * 0.002


def test_the_bound_holds_when_all_daemons_restart() -> None:
    fleet = SharesFleet(RATE, flat(RATE.rate * 5), EVEN, seed=2, config=DAEMON_CONFIG)
    fleet.run(20_000)
    for index in range(16):
        fleet.restart(index)
    fleet.run(40_000)
    assert fleet.count_max(fleet.admitted, WINDOW_MS) <= BOUND


@pytest.mark.parametrize("apart", [1, 3, 8])
def test_the_bound_holds_while_daemons_are_cut_off(apart: int) -> None:
    """The demand grows during the partition, so that neither side knows the other's demand."""

    def demand(now_ms: int) -> float:
        return 0.0 if now_ms < WARM_MS else RATE.rate * (0.6 if now_ms < 22_000 else 6.0)

    def is_partitioned(now_ms: int, one: int, other: int) -> bool:
        return 20_000 <= now_ms < 27_000 and (one < apart) != (other < apart)

    fleet = SharesFleet(
        RATE, demand, EVEN, seed=3, config=DAEMON_CONFIG, is_partitioned=is_partitioned
    )
    fleet.run(45_000)
    assert fleet.count_max(fleet.admitted, WINDOW_MS) <= BOUND


def test_a_withdrawn_account_and_one_without_rate() -> None:
    fleet = SharesFleet(RATE, flat(0), EVEN, seed=4, config=DAEMON_CONFIG)
    daemon = fleet._daemons[0]
    daemon.apply_rates(1_000, {})
    for _ in range(1_000):
        daemon.admit(1_000, ACCOUNT)
    assert daemon.take_report(1_000) == ()
