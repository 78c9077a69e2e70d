"""A request that crashes backend servers is blocked before it has crashed all of them."""

from collections.abc import AsyncIterator

import anyio
import pytest
from script.tools.documents import RoutePlan

from wisteria_routing.const import MAX_CRASHES
from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer, Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import make_spec, read_code, sum_runs, wait_for, wait_served, with_key

pytestmark = pytest.mark.anyio

RESTART_MS = 300
ATTEMPTS = 12


@pytest.fixture(scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    rules = (
        Rule("/work", ServiceTime("constant", 150.0)),
        Rule("/probe", ServiceTime("constant", 1)),
    )
    behaviour = Behaviour(slots=50, restart_ms=RESTART_MS, rules=rules)
    spec = make_spec(
        (ServiceSpec("work", 5, behaviour),),
        (RoutePlan("work", "work", "/work", "POST"), RoutePlan("probe", "work", "/probe")),
    )
    async with Fleet(spec) as found:
        await wait_served(found, "/probe")
        yield found


async def send(fleet: Fleet, vm_id: str, body: bytes) -> Answer:
    return await fleet.async_call(vm_id, Call("POST", "/work", with_key(), body))


async def test_poison_request_is_refused_after_a_few_crashes_and_others_go_on(
    fleet: Fleet,
) -> None:
    stop = anyio.Event()
    healthy_bodies = [f"bystander {number}".encode() for number in range(4)]

    async def keep_sending(number: int) -> None:
        vm_id = list(fleet.daemons)[number]
        while not stop.is_set():
            await send(fleet, vm_id, healthy_bodies[number])

    codes: list[str] = []
    async with anyio.create_task_group() as tasks:
        for number in range(len(healthy_bodies)):
            tasks.start_soon(keep_sending, number)
        for number in range(ATTEMPTS):
            vm_id = list(fleet.daemons)[number % len(fleet.daemons)]
            codes.append(read_code(await send(fleet, vm_id, b"poison-pill")))
            await anyio.sleep(RESTART_MS / 1_000)
        stop.set()
    assert await sum_runs(fleet, "crashes") <= MAX_CRASHES
    assert set(codes[-len(fleet.daemons) :]) == {"503"}

    for body in (*healthy_bodies, b"something else"):

        async def is_served(body: bytes = body) -> bool:
            return all([(await send(fleet, one, body)).status == 200 for one in fleet.daemons])

        await wait_for(is_served, f"{body!r} runs through every daemon")
