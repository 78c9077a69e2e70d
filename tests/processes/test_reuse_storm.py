"""Backend servers, store and daemons change in seeded ways; no request runs at a wrong service."""

import pytest

from .reuse_storm import ReuseStorm
from .support import Fleet

pytestmark = pytest.mark.anyio
DURATION_S = 24.0


@pytest.mark.parametrize("seed", [2, 21])
async def test_no_request_runs_at_a_service_that_no_version_names(fleet: Fleet, seed: int) -> None:
    """Guards against orders at the process that took over the address of their server."""
    fleet.publish()
    places = [("yield", "a"), ("order", "a"), ("yield", "b"), ("order", "b"), ("order", "a")]
    machines = await fleet.add(places)
    storm = ReuseStorm(fleet, seed)
    misdirected = await storm.run(DURATION_S)
    assert misdirected == [], "\n".join(storm.log)
    assert storm.statuses[200] > 0
    assert [machine.ends for machine in machines] == [[]] * len(machines)
