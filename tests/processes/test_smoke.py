"""The daemons as real processes serve requests and apply versions while nothing is disturbed."""

import asyncio

import pytest

from .documents import make_route
from .support import (
    CONFIG_APPLY_S,
    Fleet,
)

pytestmark = pytest.mark.anyio


async def test_a_version_is_in_force_in_time_and_requests_run_at_their_service(
    fleet: Fleet,
) -> None:
    """Guards the other tests here against a harness that fails by itself."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b"), ("order", "b")])
    for machine in machines:
        assert (await fleet.call(machine, "/yields/1")).status == 200
        assert (await fleet.call(machine, "/orders/1", "POST", body=b"{}")).status == 200
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(CONFIG_APPLY_S)
    for machine in machines:
        attempt = fleet.make_attempt()
        assert (await fleet.call(machine, "/yields/1", attempt=attempt)).status == 200
        assert [run.service for run in fleet.find_runs(attempt)] == ["order"]
        assert (await fleet.call(machine, "/orders/1", "POST")).status == 404
    assert [machine.ends for machine in machines] == [[]] * len(machines)
