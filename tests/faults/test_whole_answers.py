"""A download is complete or visibly truncated, and a slow reader uses bounded memory."""

import json
from collections.abc import AsyncIterator

import anyio
import psutil  # type: ignore[import-untyped]
import pytest
from script.tools.documents import RoutePlan

from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Answer, Call, Client
from wisteria_standins.content import compute_digest
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

from .support import ACCOUNT, DOMAINS, make_document, send_get, sum_runs, wait_served, with_key

pytestmark = pytest.mark.anyio

MEGABYTE = 1024 * 1024
REPORT_BYTES = 6 * MEGABYTE
LARGE_BYTES = 96 * MEGABYTE
STALL_MS = 1_000
GROWTH_BYTES = 24 * MEGABYTE
SEED = 7


@pytest.fixture(scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    now = ServiceTime("constant", 1.0)
    rules = (
        Rule("/probe", now),
        Rule("/report", now, answer_bytes=REPORT_BYTES, download=True),
        Rule("/large", now, answer_bytes=LARGE_BYTES, download=True),
    )
    routes = (
        RoutePlan("probe", "work", "/probe"),
        RoutePlan("report", "work", "/report", long_download=True),
        RoutePlan("large", "work", "/large", long_download=True),
    )
    document = json.loads(make_document(1, (ACCOUNT,), routes, domains=DOMAINS))
    for route in document["routes"]:
        if route["long_download"]:
            route["stall_ms"] = STALL_MS if route["id"] == "report" else 30_000
    services = (ServiceSpec("work", 2, Behaviour(content_seed=SEED, rules=rules)),)
    async with Fleet(FleetSpec(services, json.dumps(document).encode(), DOMAINS)) as found:
        await wait_served(found, "/probe")
        yield found


async def download(fleet: Fleet, vm_id: str) -> Answer:
    call = Call("GET", "/report", with_key(), keep_bytes=0, with_digest=True)
    return await fleet.async_call(vm_id, call, 30_000)


@pytest.mark.parametrize("fault", ["cut_after_bytes", "stall_after_bytes"])
async def test_broken_download_is_resumed_on_the_other_server(fleet: Fleet, fault: str) -> None:
    await fleet.async_set_backend("work-1", **{fault: MEGABYTE})
    cut = await sum_runs(fleet, "cut_downloads")
    answers = [await download(fleet, vm_id) for vm_id in ("work-1", "work-2", "work-1", "work-1")]
    await fleet.async_set_backend("work-1", **{fault: None})
    assert await sum_runs(fleet, "cut_downloads") > cut
    for answer in answers:
        assert (answer.status, answer.complete, answer.length) == (200, True, REPORT_BYTES)
        assert answer.digest == compute_digest(SEED, REPORT_BYTES)


@pytest.mark.parametrize("fault", ["cut_after_bytes", "stall_after_bytes"])
async def test_download_that_no_server_can_finish_is_cut_visibly(fleet: Fleet, fault: str) -> None:
    for vm_id in fleet.nodes:
        await fleet.async_set_backend(vm_id, **{fault: MEGABYTE})
    answers = [await download(fleet, vm_id) for vm_id in fleet.nodes]
    for vm_id in fleet.nodes:
        await fleet.async_set_backend(vm_id, **{fault: None})
    assert not any(answer.complete and answer.status == 200 for answer in answers)
    assert {answer.error for answer in answers} == {"connection lost"}


async def test_slow_reader_costs_bounded_memory_and_does_not_hold_others_up(fleet: Fleet) -> None:
    daemons = [psutil.Process(daemon.pid) for daemon in fleet.daemons.values()]
    before = [daemon.memory_info().rss for daemon in daemons]
    client = Client(fleet.nodes["work-1"].vm.caller_port)
    slow = Call("GET", "/large", with_key(), keep_bytes=0, read_delay_ms=100)
    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(client.async_call, slow, 60_000)
        for _ in range(30):
            await anyio.sleep(0.1)
            assert (await send_get(fleet, "work-1", "/probe")).status == 200
        after = [daemon.memory_info().rss for daemon in daemons]
        tasks.cancel_scope.cancel()
    grown = [now - then for now, then in zip(after, before, strict=True)]
    assert max(grown) < GROWTH_BYTES
