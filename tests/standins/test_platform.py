import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from wisteria_core import VmList
from wisteria_standins import Answer, Call, Client, Fault, Platform

Until = Callable[[Callable[[], bool]], Awaitable[None]]


async def read(platform: Platform, path: str, reader: str = "vm-1") -> Answer:
    client = Client(platform.server.port)
    try:
        return await client.async_call(Call("GET", path, (("Wisteria-Vm", reader),)), 5_000)
    finally:
        client.close()


@pytest.mark.anyio
async def test_reads_carry_version_and_tag(platform: Platform) -> None:
    assert (await read(platform, "/v1/config")).status == 503
    assert platform.put_document(b'{"version": 4}') == 4
    assert platform.put_document(b"not json") == 5
    answer = await read(platform, "/v1/config")
    assert (answer.body, answer.headers["x-version"], answer.headers["etag"]) == (
        b"not json",
        "5",
        '"5"',
    )


@pytest.mark.anyio
async def test_watch_waits_for_a_later_version_and_counts_as_one(
    platform: Platform, until: Until
) -> None:
    platform.put_vms(VmList(1, ()))
    assert (await read(platform, "/v1/vms?watch=1&timeout_ms=20")).status == 304
    watch = asyncio.create_task(read(platform, "/v1/vms?watch=1&timeout_ms=5000"))
    await until(lambda: platform.counts.waiting == 1)
    platform.put_vms(VmList(2, ()))
    assert orjson.loads((await watch).body) == {"version": 2, "vms": []}
    counts = platform.counts.describe()
    assert (counts["reads"], counts["watches"], counts["waiting"]) == (2, 2, 0)


@pytest.mark.anyio
async def test_faults_are_for_all_or_for_one_reader(platform: Platform) -> None:
    client = Client(platform.server.port)
    for version in (1, 2, 3):
        platform.put_document(b"%d" % version, version)
    platform.set_fault(Fault(stale=2))
    call = Call("POST", "/control/fault", body=b'{"readers": ["vm-2"], "down": true}')
    assert (await client.async_call(call)).status == 200
    call = Call("POST", "/control/fault", body=b'{"readers": ["vm-3"], "reset": true}')
    assert (await client.async_call(call)).status == 200
    assert (await read(platform, "/v1/config", "vm-1")).body == b"1"
    assert (await read(platform, "/v1/config", "vm-2")).status == 503
    assert "lost" in (await read(platform, "/v1/config", "vm-3")).error
    assert (await read(platform, "/v1/config?watch=1&timeout_ms=10", "vm-1")).status == 304
    platform.set_fault(Fault())
    assert (await read(platform, "/v1/config", "vm-1")).body == b"3"
    client.close()


@pytest.mark.anyio
async def test_bad_control_requests_are_answered(platform: Platform) -> None:
    client = Client(platform.server.port)
    bad = await client.async_call(Call("POST", "/control/fault", body=b'{"slow": 1}'))
    assert bad.status == 400
    assert (await client.async_call(Call("GET", "/v1/config?watch=x"))).status == 400
    assert (await client.async_call(Call("GET", "/nowhere"))).status == 404
    client.close()
