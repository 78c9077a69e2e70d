import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from wisteria_standins import (
    Backend,
    Behaviour,
    Call,
    ChildCall,
    Client,
    Rule,
    ServiceTime,
    compute_digest,
)
from wisteria_standins.downloads import parse_range

StartBackend = Callable[..., Awaitable[tuple[Backend, Client]]]

INSTANT = Rule(service=ServiceTime("constant", 0))
LONG = Rule(service=ServiceTime("constant", 60_000))
SIZE = 300_000
DOWNLOAD = Rule(service=ServiceTime("constant", 0), answer_bytes=SIZE, download=True)

pytestmark = pytest.mark.anyio
Until = Callable[[Callable[[], bool]], Awaitable[None]]


async def test_runs_are_counted_by_key_and_request(start_backend: StartBackend) -> None:
    _, client = await start_backend(Behaviour(rules=(INSTANT,)))
    headers = (
        ("Idempotency-Key", "k1"),
        ("Wisteria-Account", "dairy"),
        ("Wisteria-Request-Id", "r1"),
    )
    for _ in range(2):
        assert (await client.async_call(Call("POST", "/refills", headers))).status == 200
    counts = orjson.loads((await client.async_call(Call("GET", "/control/runs"))).body)
    assert counts["by_key"] == {"dairy/k1": 2}
    assert (counts["max_runs_by_request"], counts["leak_count"]) == (2, 0)


@pytest.mark.parametrize(
    "call",
    [
        Call("GET", "/x", (("X-Other", "wk_abc"),)),
        Call("GET", "/x?key=wk_abc"),
        Call("GET", "/x", (("Authorization", "Basic abc"),)),
        Call("POST", "/x", body=b"key=wk_abc"),
    ],
)
async def test_key_leaks_are_counted_in_each_part_of_a_request(
    start_backend: StartBackend, call: Call
) -> None:
    backend, client = await start_backend(Behaviour(rules=(INSTANT,)))
    await client.async_call(call)
    assert backend.runs.leak_count == 1


async def test_slots_queue_shed_and_deadline(start_backend: StartBackend, until: Until) -> None:
    backend, client = await start_backend(Behaviour(slots=1, max_queue=1, rules=(LONG,)))
    running = asyncio.create_task(client.async_call(Call()))
    await until(lambda: backend.runs.started == 1)
    limited = Call(headers=(("Wisteria-Deadline-Ms", "30"),))
    queued = asyncio.create_task(client.async_call(limited))
    await until(lambda: backend._slots.queued == 1)
    load = orjson.loads((await client.async_call(Call("GET", "/load"))).body)
    assert load == {"in_flight": 2, "slots": 1}
    shed = await client.async_call(Call())
    assert (shed.status, shed.headers["retry-after"]) == (503, "1")
    assert (await queued).status == 504
    assert (backend.runs.started, backend.runs.shed, backend.runs.expired) == (1, 1, 1)
    running.cancel()
    await until(lambda: backend.runs.cancelled == 1)
    assert backend._slots.in_use == 0


async def test_poison_request_crashes_the_server_and_cuts_other_calls(
    start_backend: StartBackend, until: Until
) -> None:
    backend, client = await start_backend(Behaviour(restart_ms=50, rules=(LONG, Rule("/p"))))
    concurrent = asyncio.create_task(client.async_call(Call()))
    await until(lambda: backend.runs.started == 1)
    poison = await client.async_call(Call("POST", "/p", body=b"a poison-pill"))
    assert (poison.status, poison.complete) == (0, False)
    assert not (await concurrent).complete
    assert "connect failed" in (await client.async_call(Call("GET", "/health"))).error
    await asyncio.sleep(0.1)
    assert (await client.async_call(Call("GET", "/health"))).status == 200
    assert backend.runs.crashes == 1


async def test_downloads_are_whole_ranged_cut_and_stalled(
    start_backend: StartBackend, until: Until
) -> None:
    backend, client = await start_backend(Behaviour(rules=(DOWNLOAD,)))
    call = Call(with_digest=True, keep_bytes=SIZE)
    full = await client.async_call(call)
    assert full.digest == compute_digest(backend.behaviour.content_seed, SIZE)
    etag = full.headers["etag"]
    ranged = Call(headers=(("Range", "bytes=100000-"), ("If-Range", etag)), keep_bytes=SIZE)
    tail = await client.async_call(ranged)
    assert (tail.status, tail.body) == (206, full.body[100_000:])
    other = Call(headers=(("Range", "bytes=5-"), ("If-Range", '"other"')))
    assert (await client.async_call(other)).status == 200
    call = Call("POST", "/control/set", body=b'{"cut_after_bytes": 131072}')
    await client.async_call(call)
    cut = await client.async_call(Call())
    assert (cut.complete, cut.length) == (False, 131_072)
    call = Call("POST", "/control/set", body=b'{"cut_after_bytes": null, "stall_after_bytes": 1}')
    await client.async_call(call)
    stalled = await client.async_call(Call(), timeout_ms=100)
    assert (stalled.error, stalled.length) == ("timeout", 65_536)
    await until(lambda: backend._slots.in_use == 0)
    assert backend.runs.cut_downloads == 2


async def test_children_carry_the_call_token(start_backend: StartBackend) -> None:
    child, child_client = await start_backend(Behaviour(rules=(INSTANT,)))
    rule = Rule(
        service=ServiceTime("constant", 0),
        children=(ChildCall("/child", count=2),),
        parallel=True,
    )
    _, client = await start_backend(Behaviour(rules=(rule,)), child_client.port)
    headers = (("Wisteria-Call", "token-1"), ("Wisteria-Request-Id", "r9"))
    answer = await client.async_call(Call("GET", "/parent?echo=5", headers))
    content = orjson.loads(answer.body)
    assert (content["echo"], [one["id"] for one in content["children"]]) == ("5", ["r9", "r9"])
    assert child.runs.by_request == {"r9": 2}
    child.behaviour = Behaviour(failure_rate=1.0)
    assert (await client.async_call(Call("GET", "/parent"))).status == 502


async def test_health_and_load_reports_can_be_overridden(
    start_backend: StartBackend, until: Until
) -> None:
    backend, client = await start_backend(
        Behaviour(healthy=False, reported_load=0, slots=1, rules=(LONG,))
    )
    running = asyncio.create_task(client.async_call(Call()))
    await until(lambda: backend.runs.started == 1)
    assert (await client.async_call(Call("GET", "/health"))).status == 503
    assert orjson.loads((await client.async_call(Call("GET", "/load"))).body)["in_flight"] == 0
    bad = await client.async_call(Call("POST", "/control/set", body=b'{"speed": 1}'))
    assert bad.status == 400
    running.cancel()


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("", (0, 10)),
        ("bytes=2-", (2, 10)),
        ("bytes=2-3", (2, 4)),
        ("bytes=-3", (7, 10)),
        ("bytes=2-99", (2, 10)),
        ("bytes=12-", (12, 10)),
        ("bytes=x-", (0, 10)),
        ("bytes=0-1,4-5", (0, 10)),
    ],
)
async def test_ranges(value: str, expected: tuple[int, int]) -> None:
    assert parse_range(value, 10) == expected
