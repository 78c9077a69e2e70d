"""What other writers and operators send at any moment ends no daemon."""

import asyncio
import json
from typing import Any

import pytest
from tests.platform.standins import Reply

from wisteriaproxy.mesh.ranges import COUNT_MAX, WHOLE_MAX

from .documents import make_config, make_route
from .support import (
    CONFIG_APPLY_S,
    STABLE_WINDOW_S,
    Fleet,
    Machine,
)

pytestmark = pytest.mark.anyio

VALID = {
    "service": "shed",
    "address": "127.0.0.1:20000",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "cold_remaining_s": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
FOREIGN: list[dict[str, Any]] = [
    {"born": True},
    {"born": 2**63},
    {"sequence": 2**64},
    {"cold_remaining_s": 1e306},
    {"cold_remaining_s": True},
    {"slots": 2**70},
    {"address": "no.such..host:1"},
    {"zone": "z" * 300, "address": "a" * 70 + ".example:1"},
]
"""Fields of entries of other writers, beside the valid ones."""


async def test_entries_of_another_writer_end_no_daemon(fleet: Fleet) -> None:
    """Guards against a value that no control message can hold, which ended every daemon."""
    fleet.publish()
    machines = await fleet.add([(name, zone) for zone in "ab" for name in ("yield", "order")])
    for number, changes in enumerate(FOREIGN):
        fleet.store.put(f"servers/x-{number}", json.dumps(VALID | changes).encode())
        await asyncio.sleep(0.3)
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(CONFIG_APPLY_S)
    ends = {machine.name: machine.ends for machine in machines if machine.ends}
    assert not ends
    for machine in machines:
        attempt = fleet.make_attempt()
        assert (await fleet.call(machine, "/yields/1", attempt=attempt)).status == 200
        assert [run.service for run in fleet.find_runs(attempt)] == ["order"]
    pages = [await fleet.read_metrics(machine) for machine in machines]
    assert any('platform_refused_total{resource="servers"}' in page for page in pages)


ODD_ANSWERS = [
    Reply(body=b""),
    Reply(body=b"[]"),
    Reply(body=b"\xff\x00"),
    Reply(body=b"[" * 100_000),
    Reply(body=b'{"items": 7, "events": {}, "as_of": "x"}'),
    Reply(body=b'{"items": [7, null, {}], "events": [[]], "as_of": true}'),
    Reply(body=b'{"items": [], "events": [], "as_of": -5, "more_pages": true}'),
    Reply(body=b'{"items": [], "events": [], "as_of": 1180591620717411303424}'),
    Reply(headers={"store-era": "9" * 5_000}, body=b'{"items": [], "events": [], "as_of": 9}'),
    Reply(headers={"store-era": "\u00b2"}, body=b'{"items": [], "events": [], "as_of": 9}'),
    Reply(
        body=b'{"items": [{"key": "servers/x", "revision": 1e400, "value": 7}],'
        b' "events": [{"key": "op/config", "revision": 9, "value": "e30="},'
        b' {"key": "servers/x", "revision": 9223372036854775808, "value": "e30="}], "as_of": 9}'
    ),
    Reply(status=410, body=b"gone"),
    Reply(status=999, body=b""),
    Reply(raw=b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n", closes=True),
    Reply(raw=b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n", closes=True),
    Reply(raw=b"\x00" * 1_000, closes=True),
]


async def test_odd_answers_of_the_store_end_no_daemon(fleet: Fleet) -> None:
    """Guards against an answer whose fields or headers raise in the task that reads the store."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    for answer in ODD_ANSWERS:
        fleet.store.intercept = lambda _request, answer=answer: answer  # type: ignore[misc]
        for connection in list(fleet.store.http.connections):
            connection.abort()
        await asyncio.sleep(0.5)
    fleet.store.intercept = None
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S)
    for machine in machines:
        attempt = fleet.make_attempt()
        assert (await fleet.call(machine, "/yields/1", attempt=attempt)).status == 200
        assert [run.service for run in fleet.find_runs(attempt)] == ["order"]
    assert not {machine.name: machine.ends for machine in machines if machine.ends}


async def test_values_at_the_ends_of_their_ranges_end_no_daemon(fleet: Fleet) -> None:
    """Guards against a value that is accepted and fails later, in a sum or an answer."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    highest = {"slots": COUNT_MAX, "sequence": WHOLE_MAX, "cold_remaining_s": 9e15}
    lowest = {"slots": 0, "sequence": 0, "cold_remaining_s": -1e306, "born": 0}
    for changes in (lowest, highest, highest | {"born": WHOLE_MAX}):
        for machine in machines:
            fleet.register(machine, **changes)
        await asyncio.sleep(CONFIG_APPLY_S)
        replies = [await fleet.call(machine, "/orders/1", "POST") for machine in machines]
        assert all(reply.status for reply in replies)
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    failures = [await fleet.read_metrics(machine) for machine in machines]
    assert not any("task_failures_total{" in page for page in failures)


async def send_calls(fleet: Fleet, machines: list[Machine], count: int = 6) -> list[int]:
    """Send calls of both routes to each machine at once, and return the statuses."""
    replies = await asyncio.gather(
        *(
            fleet.call(machine, path, method)
            for machine in machines
            for path, method in (("/yields/1", "GET"), ("/orders/1", "POST"))
            for _ in range(count)
        )
    )
    return [reply.status for reply in replies]


async def find_failures(fleet: Fleet, machines: list[Machine]) -> list[str]:
    """Return the ends of processes, and the failures of tasks and calls that daemons report."""
    failures = [f"{one.name} ended: {one.ends}" for one in machines if one.ends]
    for machine in machines:
        page = await fleet.read_metrics(machine)
        failures += [line for line in page.splitlines() if "task_failures_total{" in line]
        for event in ("serving_failed", "entry_failed"):
            if machine.count_events(event):
                failures.append(f"{machine.name}: {event}")
    return failures


async def test_a_cold_rate_beyond_all_numbers_stops_no_gate(fleet: Fleet) -> None:
    """Guards against a rate of the configuration that ended the gate's task until the next one."""
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")], is_ready=False)
    cold = {"health_path": "", "max_connections": 600, "cold_per_s": 1e308, "cold_start_s": 3}
    fleet.publish(services=[cold | {"name": name} for name in ("yield", "order")])
    for machine in machines:
        await fleet.wait_ready(machine)
        fleet.register(machine, cold_remaining_s=3, sequence=2)
    await asyncio.sleep(1)
    statuses = await send_calls(fleet, machines)
    assert (set(statuses), await find_failures(fleet, machines)) == ({200}, [])


async def test_a_named_rate_beyond_all_numbers_stops_no_gate(fleet: Fleet) -> None:
    """Guards against a rate in an answer that ended the gate's task and failed other calls."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    for machine in machines:
        machine.upstream.headers = {"Server-Limit": "1e308"}
    statuses = await send_calls(fleet, machines)
    await asyncio.sleep(0.2)
    statuses += await send_calls(fleet, machines)
    assert (set(statuses), await find_failures(fleet, machines)) == ({200}, [])


NUMBERS = {
    "routes": ("timeout_s", "target_latency_s", "max_attempts", "priority"),
    "services": ("max_connections", "cold_per_s", "cold_start_s"),
    "tenants": ("rate_per_s", "burst", "priority"),
    "limits": ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s"),
}


def change_numbers(table: str, value: float) -> dict[str, Any]:
    """Return a table of the configuration with all of its numbers changed."""
    found = make_config(1)[table]
    changes = dict.fromkeys(NUMBERS[table], value)
    return {table: [one | changes for one in found] if table != "limits" else found | changes}


async def read_versions(fleet: Fleet, machines: list[Machine]) -> set[int]:
    return {(await fleet.read_status(machine)).get("version", 0) for machine in machines}


async def test_numbers_of_the_configuration_fail_no_call(fleet: Fleet) -> None:
    """Guards against a number that is in force and closes connections, or blocks its version."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    in_force = fleet.version
    for table in NUMBERS:
        for value, is_taken in ((1.7e308, True), (-1.0, False)):
            fleet.publish(**change_numbers(table, value))
            in_force = fleet.version if is_taken else in_force
            await asyncio.sleep(CONFIG_APPLY_S)
            assert await read_versions(fleet, machines) == {in_force}, (table, value)
            statuses = await send_calls(fleet, machines, 2)
            assert set(statuses) == {200}, (table, value)
    assert await find_failures(fleet, machines) == []


async def test_fractional_weights_split_the_calls_of_a_route(fleet: Fleet) -> None:
    """Guards against weights of which none is left, so that every call of the route got 502."""
    split = [{"service": "yield", "weight": 0.5}, {"service": "order", "weight": 0.5}]
    route = make_route("yields", "yield", "idempotent", traffic_split=split)
    fleet.publish(routes=[route, make_route("orders", "order", "non_idempotent")])
    machines = await fleet.add([("yield", "a"), ("order", "a")])
    statuses = await send_calls(fleet, machines)
    assert set(statuses) == {200}
    targets = [(run.request.target, run.service) for run in fleet.runs]
    assert targets.count(("/yields/1", "yield")) == targets.count(("/yields/1", "order")) == 6
    assert await find_failures(fleet, machines) == []


async def test_texts_of_the_configuration_fail_no_call(fleet: Fleet) -> None:
    """Guards against a text that no header or path can hold, so that calls got 502."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a")])
    config = make_config(1)
    tenants = [one | {"name": "k\u0101inga \u4e16"} for one in config["tenants"]]
    services = [
        one | {"health_path": "/\u4e16 x", "cold_per_s": 30, "cold_start_s": 3}
        for one in config["services"]
    ]
    fleet.publish(tenants=tenants, services=services)
    await asyncio.sleep(CONFIG_APPLY_S)
    assert await read_versions(fleet, machines) == {fleet.version}
    assert set(await send_calls(fleet, machines, 2)) == {200}
    names = {run.request.headers["wisteriaproxy-tenant"] for run in fleet.runs}
    # the stand-in reads headers as UTF-8
    assert names == {tenants[0]["name"]}
    for changes in ({"host": 7}, {"name": ["x"]}, {"prefix": None}):
        fleet.publish(routes=[one | changes for one in config["routes"]])
        await asyncio.sleep(CONFIG_APPLY_S)
        assert set(await send_calls(fleet, machines, 2)) == {200}, changes
    assert await find_failures(fleet, machines) == []
