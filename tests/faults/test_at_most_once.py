"""At-most-once execution of orders while daemons and backend servers fail.

Guards against a second run of an order whose owner is killed, restarted, paused or stopped, or
whose backend server crashes, between the send and the answer.
"""

import signal
from collections.abc import AsyncIterator

import anyio
import pytest
from script.tools.documents import RoutePlan

from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import ServiceSpec

from .support import (
    KEY_TIMESTAMP_MARGIN_S,
    OrderClient,
    constant,
    make_spec,
    read_code,
    wait_served,
)

pytestmark = pytest.mark.anyio

FREEZE_MS = 7_000
QUICK = Rule("/probe", ServiceTime("constant", 1.0))
SLOW = Rule("/orders", ServiceTime("constant", 800.0))
OWNERS = ["orders-1", "orders-2", "orders-3"]
ENTRY_VM = "reads-1"


@pytest.fixture(scope="module")
async def orders() -> AsyncIterator[OrderClient]:
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
        await anyio.sleep(KEY_TIMESTAMP_MARGIN_S)
        yield OrderClient(fleet)


@pytest.fixture
async def ready_orders(orders: OrderClient) -> AsyncIterator[OrderClient]:
    """Return the client once all owners accept orders; check all its attempts after the test."""
    for vm_id in OWNERS:
        if not orders.fleet.daemons[vm_id].is_running:
            await orders.fleet.async_restart(vm_id)
    await orders.wait_owners_ready(ENTRY_VM, OWNERS)
    yield orders
    await orders.check()


async def start_order(orders: OrderClient, owner: str, answers: list[Answer], tasks: object) -> str:
    """Send an order owned by `owner` and return its key once the order is running."""
    key = orders.make_key(owner)

    async def first() -> None:
        answers.append(await orders.send(ENTRY_VM, key))

    tasks.start_soon(first)  # type: ignore[attr-defined]
    await orders.wait_sent(key)
    return key


async def test_order_runs_once_when_its_owner_is_killed_after_the_send(
    ready_orders: OrderClient,
) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await start_order(ready_orders, "orders-1", answers, tasks)
        await ready_orders.fleet.async_kill("orders-1")
        await ready_orders.fleet.async_mark_gone("orders-1")
        last = await ready_orders.retry_until_final([ENTRY_VM, "orders-2"], key)
    assert read_code(last) == "400"
    assert await ready_orders.count(key) == 1
    ready_orders.fleet._removed.clear()
    await ready_orders.fleet.async_put_vms()


async def test_order_runs_once_when_its_owner_restarts_in_place(ready_orders: OrderClient) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await start_order(ready_orders, "orders-2", answers, tasks)
        await ready_orders.fleet.async_kill("orders-2")
        await ready_orders.fleet.async_restart("orders-2")
        last = await ready_orders.retry_until_final([ENTRY_VM, "orders-2", "orders-3"], key)
    assert read_code(last) == "400"
    assert await ready_orders.count(key) == 1


async def test_order_runs_once_when_the_backend_server_crashes_mid_run(
    ready_orders: OrderClient,
) -> None:
    key = ready_orders.make_key("orders-3")
    first = await ready_orders.send(ENTRY_VM, key, b"poison-pill")
    second = await ready_orders.send("orders-1", key, b"poison-pill")
    assert first.headers["wisteria-run"] != "not-run"
    assert read_code(second) == "400"
    assert await ready_orders.count(key) == 1


async def test_order_runs_once_when_its_owner_freezes_longer_than_every_lease(
    ready_orders: OrderClient,
) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await start_order(ready_orders, "orders-1", answers, tasks)
        ready_orders.fleet.send_signal("orders-1", signal.SIGSTOP)
        tasks.start_soon(resume_later, ready_orders)
        last = await ready_orders.retry_until_final([ENTRY_VM, "orders-2", "orders-3"], key)
    assert read_code(last) in ("0", "400")
    assert await ready_orders.count(key) == 1


async def resume_later(orders: OrderClient) -> None:
    await anyio.sleep(FREEZE_MS / 1_000)
    orders.fleet.send_signal("orders-1", signal.SIGCONT)


async def test_successor_replays_the_answer_of_a_run_during_a_planned_stop(
    ready_orders: OrderClient,
) -> None:
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        key = await start_order(ready_orders, "orders-2", answers, tasks)
        await ready_orders.fleet.async_mark_leaving("orders-2")
        status = await ready_orders.fleet.async_stop_daemon("orders-2")
    assert status == 0
    assert answers[0].status == 200
    last = await ready_orders.retry_until_final([ENTRY_VM, "orders-3"], key)
    assert (read_code(last), last.body) == ("0", answers[0].body)
    assert await ready_orders.count(key) == 1
    ready_orders.fleet._leaving.clear()
    await ready_orders.fleet.async_put_vms()
