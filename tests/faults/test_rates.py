"""No time window contains more calls of an account than its rate and burst allow.

Guards against extra tokens when the owners of an account's rate slices are killed, paused,
restarted or stopped.
"""

import signal
import time
from bisect import insort

import anyio
import attrs
import pytest
from script.tools.documents import AccountPlan, RoutePlan

from wisteria_standins.client import Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import constant, make_spec, wait_served, with_key

pytestmark = pytest.mark.anyio

RATE_PER_S, BURST = 40, 40
METERED = AccountPlan("metered", "wk_faults_metered", RATE_PER_S, BURST)
CALLERS = 3
PAUSE_S = 0.01
RESOLUTION_S = 0.002


@attrs.define
class LoadGenerator:
    """Callers that send far more than the account's rate through every daemon."""

    fleet: Fleet
    admitted: list[tuple[float, float]] = attrs.field(factory=list)
    is_stopped: bool = False

    async def run(self, vm_id: str) -> None:
        """Make calls through one daemon until `is_stopped` is set."""
        while not self.is_stopped:
            sent_s = time.monotonic()
            answer = await self.fleet.async_call(vm_id, Call("GET", "/probe", with_key(METERED)))
            if answer.status == 200:
                self.admitted.append((sent_s, time.monotonic()))
            await anyio.sleep(PAUSE_S)

    def find_max_excess(self) -> float:
        """Return by how many calls the worst time window exceeds its bound.

        A call is admitted between its sending and its answer, so a window certainly contains
        the calls that were both sent and answered within it.
        """
        worst = -float("inf")
        ends: list[float] = []
        for start_s, end_s in sorted(self.admitted, reverse=True):
            insort(ends, end_s)
            for number, last_s in enumerate(ends, 1):
                bound = RATE_PER_S * (last_s - start_s + RESOLUTION_S) + BURST
                worst = max(worst, number - bound)
        return worst


async def test_rate_holds_while_owners_are_killed_frozen_and_restarted() -> None:
    spec = make_spec(
        (ServiceSpec("probe", 4, constant(1.0)),),
        (RoutePlan("probe", "probe", "/probe"),),
        (METERED,),
    )
    async with Fleet(spec) as fleet:
        await wait_served(fleet, "/probe", METERED)
        generator = LoadGenerator(fleet)
        async with anyio.create_task_group() as tasks:
            for vm_id in fleet.daemons:
                for _ in range(CALLERS):
                    tasks.start_soon(generator.run, vm_id)
            await anyio.sleep(3)
            await fleet.async_kill("probe-1")
            await fleet.async_restart("probe-1")
            await anyio.sleep(2)
            fleet.send_signal("probe-2", signal.SIGSTOP)
            await fleet.async_kill("probe-3")
            await anyio.sleep(7)
            fleet.send_signal("probe-2", signal.SIGCONT)
            await fleet.async_restart("probe-3")
            await anyio.sleep(4)
            assert await fleet.async_stop_daemon("probe-4") == 0
            await anyio.sleep(2)
            generator.is_stopped = True
        runs = [(await fleet.async_runs(vm_id))["by_account"]["metered"] for vm_id in fleet.nodes]
    assert generator.find_max_excess() <= 0
    assert BURST < len(generator.admitted) <= sum(runs)
