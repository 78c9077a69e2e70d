"""A leaving VM gets no new calls, and a planned stop interrupts no running call."""

import signal
from collections.abc import AsyncIterator

import anyio
import attrs
import pytest
from script.tools.documents import RoutePlan

from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer, Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import (
    ACCOUNT,
    constant,
    make_spec,
    post,
    read_run_state,
    read_runs,
    wait_for,
    wait_served,
    with_key,
)

pytestmark = pytest.mark.anyio

WORK_VMS = ["work-1", "work-2"]
CALLERS = 8
MAX_ATTEMPTS = 40
PAUSE_S = 0.05
NOTICE_PROPAGATION_S = 4.0


@pytest.fixture(scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    rules = (
        Rule("/probe", ServiceTime("constant", 1.0)),
        Rule("/work", ServiceTime("constant", 60.0)),
        Rule("/long", ServiceTime("constant", 6_000.0)),
    )
    spec = make_spec(
        (
            ServiceSpec("work", 2, Behaviour(slots=50, rules=rules)),
            ServiceSpec("gate", 2, constant(1.0)),
        ),
        (
            RoutePlan("probe", "work", "/probe"),
            RoutePlan("work", "work", "/work"),
            RoutePlan("long", "work", "/long", deadline_ms=20_000),
        ),
    )
    async with Fleet(spec) as found:
        yield found


@pytest.fixture
async def ready(fleet: Fleet) -> Fleet:
    """Return the fleet with every daemon running and serving."""
    for vm_id, daemon in fleet.daemons.items():
        if not daemon.is_running:
            await fleet.async_restart(vm_id)
    await wait_served(fleet, "/probe")
    return fleet


@attrs.define
class LoadGenerator:
    """Callers that retry through another daemon after a refusal, and record failed calls."""

    fleet: Fleet
    answered: int = 0
    failed: list[Answer] = attrs.field(factory=list)
    is_stopped: bool = False
    _number: int = 0

    async def run(self) -> None:
        """Make calls until `is_stopped` is set."""
        while not self.is_stopped:
            self._number += 1
            answer = await self._call(f"leaving-{self._number}")
            self.answered += answer.status == 200
            if answer.status != 200:
                self.failed.append(answer)

    async def _call(self, name: str) -> Answer:
        vm_ids = list(self.fleet.daemons)
        answer = Answer()
        for number in range(MAX_ATTEMPTS):
            request_id = f"{name}-{number}"
            headers = with_key(ACCOUNT, ("Wisteria-Request-Id", request_id))
            vm_id = vm_ids[(self._number + number) % len(vm_ids)]
            answer = await self.fleet.async_call(vm_id, Call("GET", "/work", headers))
            if answer.status == 200 and answer.complete:
                return answer
            if not await self._has_not_run(answer, request_id):
                return answer
            await anyio.sleep(PAUSE_S)
        return answer

    async def _has_not_run(self, answer: Answer, request_id: str) -> bool:
        """Return whether a retry can't be a second run: the call was refused or never arrived."""
        if answer.status != 0:
            return read_run_state(answer) == "not-run"
        counts = [(await read_runs(self.fleet, vm_id))["by_request"] for vm_id in WORK_VMS]
        return not any(request_id in one for one in counts)


async def test_rolling_restart_of_a_service_under_load_loses_no_call(ready: Fleet) -> None:
    load = LoadGenerator(ready)
    statuses = []
    async with anyio.create_task_group() as tasks:
        for _ in range(CALLERS):
            tasks.start_soon(load.run)
        for vm_id in WORK_VMS:
            await anyio.sleep(1)
            statuses.append(await ready.async_stop_daemon(vm_id))
            await anyio.sleep(1)
            await ready.async_restart(vm_id)
        await anyio.sleep(1)
        load.is_stopped = True
    assert statuses == [0, 0]
    assert load.failed == []
    assert load.answered > CALLERS


async def test_draining_server_gets_no_new_work_and_finishes_what_it_runs(ready: Fleet) -> None:
    answers: list[Answer] = []

    async def run_long() -> None:
        call = Call("GET", "/long", with_key())
        answers.append(await ready.async_call("work-1", call, 20_000))

    async with anyio.create_task_group() as tasks:
        for _ in range(6):
            tasks.start_soon(run_long)
        await anyio.sleep(0.5)
        assert (await read_runs(ready, "work-1"))["started"] > 0
        await post(ready.nodes["work-1"].backend_port, "/drain")
        await ready.async_mark_leaving("work-1")
        await anyio.sleep(NOTICE_PROPAGATION_S)
        before = (await read_runs(ready, "work-1"))["started"]
        load = LoadGenerator(ready)
        async with anyio.create_task_group() as more:
            for _ in range(CALLERS):
                more.start_soon(load.run)
            await anyio.sleep(1.5)
            load.is_stopped = True
    assert (await read_runs(ready, "work-1"))["started"] == before
    assert (load.failed, [answer.status for answer in answers]) == ([], [200] * 6)
    ready._leaving.clear()
    await ready.async_put_vms()


async def test_second_signal_ends_a_stop_at_once_with_status_1(ready: Fleet) -> None:
    answers: dict[str, Answer] = {}

    async def run_long(request_id: str) -> None:
        headers = (*with_key(), ("Wisteria-Request-Id", request_id))
        call = Call("GET", "/long", headers)
        answers[request_id] = await ready.async_call("work-2", call, 20_000)

    before = (await read_runs(ready, "work-2"))["started"]
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(run_long, f"second-signal-{number}")

        async def is_running() -> bool:
            return (await read_runs(ready, "work-2"))["started"] > before

        await wait_for(is_running, "a run on the server that stops")
        ready.send_signal("work-2", signal.SIGTERM)
        await anyio.sleep(0.5)
        assert ready.daemons["work-2"].is_running
        ready.send_signal("work-2", signal.SIGTERM)
        assert await ready.daemons["work-2"].async_wait(3) == 1
    ran = set[str]()
    for vm_id in WORK_VMS:
        ran |= set((await read_runs(ready, vm_id))["by_request"])
    refused = {name for name, one in answers.items() if read_run_state(one) == "not-run"}
    assert refused.isdisjoint(ran)
