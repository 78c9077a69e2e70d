"""At most once: an order runs once or not at all, whatever fails while it runs."""

import signal
from collections.abc import AsyncIterator

import anyio
import pytest
from script.tools.documents import RoutePlan

from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import BIRTH_MARGIN_S, Orders, constant, make_spec, read_code, wait_served

pytestmark = pytest.mark.anyio

FREEZE_MS = 7_000
QUICK = Rule("/probe", ServiceTime("constant", 1.0))
SLOW = Rule("/orders", ServiceTime("constant", 800.0))
OWNERS = ["orders-1", "orders-2", "orders-3"]
ELSEWHERE = "reads-1"


@pytest.fixture(scope="module")
async def orders() -> AsyncIterator[Orders]:
    spec = make_spec(
        (
            ServiceSpec("orders", 3, Behaviour(slots=50, rules=(QUICK, SLOW))),
            ServiceSpec("reads", 1, constant(1.0)),
        ),
        (
            RoutePlan("order", "orders", "/orders", "POST", repeatable=False),
            RoutePlan("probe", "reads", "/probe"),
        ),
    )
    async with Fleet(spec) as fleet:
        await wait_served(fleet, "/probe")
        await anyio.sleep(BIRTH_MARGIN_S)
        yield Orders(fleet)


@pytest.fixture
async def settled(orders: Orders) -> AsyncIterator[Orders]:
    """Return the caller once every owner decides; check all claims after the test."""
    for vm_id in OWNERS:
        if not orders.fleet.daemons[vm_id].is_running:
            await orders.fleet.async_restart(vm_id)
    await orders.settle(ELSEWHERE, OWNERS)
    yield orders
    await orders.check()


async def begin(orders: Orders, owner: str, answers: list[Answer], tasks: object) -> str:
    """Send an order owned by `owner` and return its key once it runs."""
    key = orders.make_key(owner)

    async def first() -> None:
        answers.append(await orders.send(ELSEWHERE, key))

    tasks.start_soon(first)  # type: ignore[attr-defined]
    await orders.wait_sent(key)
    return key


async def test_order_runs_once_when_its_owner_is_killed_after_the_send(settled: Orders) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await begin(settled, "orders-1", answers, tasks)
        await settled.fleet.async_kill("orders-1")
        await settled.fleet.async_mark_gone("orders-1")
        last = await settled.repeat([ELSEWHERE, "orders-2"], key)
    assert read_code(last) == "400"
    assert await settled.count(key) == 1
    settled.fleet._removed.clear()
    await settled.fleet.async_put_vms()


async def test_order_runs_once_when_its_owner_restarts_in_place(settled: Orders) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await begin(settled, "orders-2", answers, tasks)
        await settled.fleet.async_kill("orders-2")
        await settled.fleet.async_restart("orders-2")
        last = await settled.repeat([ELSEWHERE, "orders-2", "orders-3"], key)
    assert read_code(last) == "400"
    assert await settled.count(key) == 1


async def test_order_runs_once_when_the_backend_server_crashes_mid_run(settled: Orders) -> None:
    key = settled.make_key("orders-3")
    first = await settled.send(ELSEWHERE, key, b"poison-pill")
    second = await settled.send("orders-1", key, b"poison-pill")
    assert first.headers["wisteria-run"] != "not-run"
    assert read_code(second) == "400"
    assert await settled.count(key) == 1


async def test_order_runs_once_when_its_owner_freezes_longer_than_every_lease(
    settled: Orders,
) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await begin(settled, "orders-1", answers, tasks)
        settled.fleet.send_signal("orders-1", signal.SIGSTOP)
        tasks.start_soon(thaw, settled)
        last = await settled.repeat([ELSEWHERE, "orders-2", "orders-3"], key)
    assert read_code(last) in ("0", "400")
    assert await settled.count(key) == 1


async def thaw(orders: Orders) -> None:
    await anyio.sleep(FREEZE_MS / 1_000)
    orders.fleet.send_signal("orders-1", signal.SIGCONT)


async def test_heir_replays_the_answer_of_a_run_during_a_planned_stop(settled: Orders) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await begin(settled, "orders-2", answers, tasks)
        await settled.fleet.async_mark_leaving("orders-2")
        status = await settled.fleet.async_stop_daemon("orders-2")
    assert status == 0
    assert answers[0].status == 200
    last = await settled.repeat([ELSEWHERE, "orders-3"], key)
    assert (read_code(last), last.body) == ("0", answers[0].body)
    assert await settled.count(key) == 1
    settled.fleet._leaving.clear()
    await settled.fleet.async_put_vms()
