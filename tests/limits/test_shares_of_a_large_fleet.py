"""Account rates over 195 daemons, each of which sees a few calls of an account."""

import pytest

from wisteria_limits import AccountRate, SharedRateConfig
from wisteriaproxy.mesh.app import OVERAGE_FRACTION

from .shares_fleet import ACCOUNT, SharesFleet

OVERAGE = 0.25
SLACK = 20
WINDOW_MS = 5_000
DAEMONS = 195
LAG_MS = 250
"""Time from a report through two relays to the other daemons."""
WARM_MS = 10_000
CONFIG = SharedRateConfig(overage=OVERAGE * OVERAGE_FRACTION, slack=SLACK * OVERAGE_FRACTION)


def make_fleet(rate: AccountRate, before: float, after: float, seed: int) -> SharesFleet:
    def demand(now_ms: int) -> float:
        return rate.rate * (before if now_ms < WARM_MS else after)

    return SharesFleet(rate, demand, [1.0] * DAEMONS, seed, lag_ms=LAG_MS, config=CONFIG)


@pytest.mark.parametrize("rate", [AccountRate(ACCOUNT, 30, 48), AccountRate(ACCOUNT, 3, 5)])
def test_calls_within_the_rate_are_not_refused(rate: AccountRate) -> None:
    fleet = make_fleet(rate, 0.6, 0.6, seed=1)
    fleet.run(25_000)
    refused = [moment for moment in fleet.refused if moment > WARM_MS]
    offered = [moment for moment in fleet.offered if moment > WARM_MS]
    assert len(refused) <= max(1, len(offered) * 0.002)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_hot_account_stays_under_the_bound(seed: int) -> None:
    rate = AccountRate(ACCOUNT, 30, 48)
    bound = (rate.rate * WINDOW_MS / 1_000 + rate.burst) * (1 + OVERAGE) + SLACK
    fleet = make_fleet(rate, 0.6, 7.5, seed)
    fleet.run(20_000)
    assert fleet.count_max(fleet.admitted, WINDOW_MS) <= bound
