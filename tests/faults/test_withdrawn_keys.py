"""A withdrawn key stops working despite outages of the platform service and paused daemons."""

import signal
from collections.abc import AsyncIterator

import anyio
import attrs
import pytest
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_standins.behaviour import Behaviour, ChildCall, Rule, ServiceTime
from wisteria_standins.client import Answer, Call
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

from .support import (
    ACCOUNT,
    DOMAINS,
    constant,
    read_code,
    read_run_state,
    read_runs,
    send_get,
    wait_for,
    wait_served,
    with_key,
)

pytestmark = pytest.mark.anyio

NAMES = ("half", "queued", "download", "child", "stale", "frozen")
WITHDRAWN_ACCOUNTS = {name: AccountPlan(name, f"wk_faults_{name}") for name in NAMES}
ACCOUNTS = (ACCOUNT, *WITHDRAWN_ACCOUNTS.values())
LIMIT_S = 10.0
FINAL_CHECKS = 20
ROUTES = (
    RoutePlan("probe", "front", "/probe"),
    RoutePlan("chain", "front", "/chain", deadline_ms=15_000),
    RoutePlan("report", "front", "/report", long_download=True),
    RoutePlan("deep", "deep", "/deep"),
    RoutePlan("narrow", "narrow", "/narrow", deadline_ms=30_000),
)


@attrs.define
class Operator:
    """Publishes documents from which keys are withdrawn one by one."""

    fleet: Fleet
    version: int = 1
    withdrawn: frozenset[str] = frozenset()

    async def withdraw(self, name: str) -> None:
        """Publish a document without the key of an account."""
        self.version += 1
        self.withdrawn |= {name}
        raw = make_document(self.version, ACCOUNTS, ROUTES, self.withdrawn, DOMAINS)
        await self.fleet.async_put_document(raw)

    async def wait_refused(self, name: str, vm_ids: list[str]) -> None:
        """Wait until daemons refuse a key, then check that they keep refusing it."""
        plan = WITHDRAWN_ACCOUNTS[name]

        async def is_refused() -> bool:
            return all(
                [(await send_get(self.fleet, one, "/probe", plan)).status == 401 for one in vm_ids]
            )

        await wait_for(is_refused, f"the key of {name} refused by {vm_ids}", LIMIT_S)
        for _ in range(FINAL_CHECKS):
            for vm_id in vm_ids:
                assert (await send_get(self.fleet, vm_id, "/probe", plan)).status != 200


@pytest.fixture(scope="module")
async def operator() -> AsyncIterator[Operator]:
    now = ServiceTime("constant", 1.0)
    rules = (
        Rule("/probe", now),
        Rule("/chain", ServiceTime("constant", 5_000.0), children=(ChildCall("/deep"),)),
        Rule("/report", now, answer_bytes=64 * 1024 * 600, download=True, chunk_ms=50),
    )
    services = (
        ServiceSpec("front", 3, Behaviour(rules=rules)),
        ServiceSpec("deep", 1, constant(1.0)),
        ServiceSpec("narrow", 1, constant(6_000.0, slots=1)),
    )
    document = make_document(1, ACCOUNTS, ROUTES, domains=DOMAINS)
    async with Fleet(FleetSpec(services, document, DOMAINS)) as fleet:
        await wait_served(fleet, "/probe")
        for plan in WITHDRAWN_ACCOUNTS.values():
            await wait_served(fleet, "/probe", plan)
        yield Operator(fleet)


async def test_key_stops_while_half_of_the_daemons_are_denied_the_service(
    operator: Operator,
) -> None:
    fleet = operator.fleet
    denied = ["front-1", "front-3", "deep-1"]
    await fleet.async_set_fault(denied, down=True)
    connections = {vm_id: fleet.client(fleet.nodes[vm_id].vm.caller_port) for vm_id in fleet.nodes}
    await wait_served(fleet, "/probe", WITHDRAWN_ACCOUNTS["half"])
    opened = {vm_id: client.opened for vm_id, client in connections.items()}
    await operator.withdraw("half")
    await operator.wait_refused("half", list(fleet.daemons))
    await fleet.async_set_fault(denied)
    assert {vm_id: client.opened for vm_id, client in connections.items()} == opened


async def test_queued_work_of_a_withdrawn_key_does_not_run(operator: Operator) -> None:
    fleet = operator.fleet
    answers: list[Answer] = []

    async def send(plan: AccountPlan) -> None:
        call = Call("GET", "/narrow", with_key(plan))
        answers.append(await fleet.async_call("front-1", call, 30_000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, ACCOUNT)

        async def is_busy() -> bool:
            return bool((await read_runs(fleet, "narrow-1"))["started"])

        await wait_for(is_busy, "the only slot is taken")
        tasks.start_soon(send, WITHDRAWN_ACCOUNTS["queued"])
        await anyio.sleep(0.3)
        await operator.withdraw("queued")
    queued, first = answers
    assert first.status == 200
    assert (queued.status, read_code(queued)) == (401, "202"), queued
    assert read_run_state(queued) == "not-run"
    assert "queued" not in (await read_runs(fleet, "narrow-1"))["by_account"]


async def test_open_download_of_a_withdrawn_key_ends_visibly(operator: Operator) -> None:
    call = Call("GET", "/report", with_key(WITHDRAWN_ACCOUNTS["download"]))
    answers: list[Answer] = []

    async def download() -> None:
        answers.append(await operator.fleet.async_call("front-1", call, 60_000))

    with anyio.fail_after(LIMIT_S + 2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(download)
            await anyio.sleep(1)
            assert not answers
            await operator.withdraw("download")
    assert answers[0].status == 200
    assert answers[0].length > 0
    assert not answers[0].complete


async def test_child_call_of_a_withdrawn_key_does_not_run(operator: Operator) -> None:
    fleet = operator.fleet
    answers: list[Answer] = []

    async def chain() -> None:
        call = Call("GET", "/chain", with_key(WITHDRAWN_ACCOUNTS["child"]))
        answers.append(await fleet.async_call("front-2", call, 20_000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(chain)
        await anyio.sleep(0.5)
        await operator.withdraw("child")
    assert (read_code(answers[0]), read_run_state(answers[0])) == ("202", "unknown"), answers
    assert "child" not in (await read_runs(fleet, "deep-1"))["by_account"]


async def test_restart_under_a_stale_service_does_not_bring_a_key_back(operator: Operator) -> None:
    fleet = operator.fleet
    await operator.withdraw("stale")
    await operator.wait_refused("stale", list(fleet.daemons))
    await fleet.async_set_fault(resource="config", stale=2)
    await fleet.async_kill("front-2")
    await fleet.daemons["front-2"].async_start()
    seen: set[int] = set()

    async def is_ready() -> bool:
        seen.add((await send_get(fleet, "front-2", "/probe", WITHDRAWN_ACCOUNTS["stale"])).status)
        return (await send_get(fleet, "front-2", "/probe")).status == 200

    await wait_for(is_ready, "the restarted daemon serves")
    await operator.wait_refused("stale", list(fleet.daemons))
    await fleet.async_set_fault(resource="config")
    assert 200 not in seen


async def test_daemon_that_was_paused_during_a_withdrawal_refuses_the_key(
    operator: Operator,
) -> None:
    fleet = operator.fleet
    others = [vm_id for vm_id in fleet.daemons if vm_id != "front-3"]
    answers: list[Answer] = []

    async def send() -> None:
        answers.append(await send_get(fleet, "front-3", "/probe", WITHDRAWN_ACCOUNTS["frozen"]))

    fleet.send_signal("front-3", signal.SIGSTOP)
    try:
        await operator.withdraw("frozen")
        await operator.wait_refused("frozen", others)
    except BaseException:
        fleet.send_signal("front-3", signal.SIGCONT)
        raise
    async with anyio.create_task_group() as tasks:
        for _ in range(FINAL_CHECKS):
            tasks.start_soon(send)
        await anyio.sleep(0.5)
        fleet.send_signal("front-3", signal.SIGCONT)
    assert all(answer.status != 200 for answer in answers)
    await operator.wait_refused("frozen", list(fleet.daemons))
