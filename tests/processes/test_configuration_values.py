"""Values of a configuration, or of an answer, fail no call and no task of a daemon."""

import asyncio
from typing import Any

import pytest
from tests.platform.odd_values import NUMBER_FIELDS

from .documents import make_config, make_route
from .support import CONFIG_APPLY_S, Fleet, Machine

pytestmark = pytest.mark.anyio


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


def change_numbers(table: str, value: float) -> dict[str, Any]:
    """Return a table of the configuration with all of its numbers changed."""
    found = make_config(1)[table]
    changes = dict.fromkeys(NUMBER_FIELDS[table], value)
    return {table: [one | changes for one in found] if table != "limits" else found | changes}


async def read_versions(fleet: Fleet, machines: list[Machine]) -> set[int]:
    return {(await fleet.read_status(machine)).get("version", 0) for machine in machines}


async def test_numbers_of_the_configuration_fail_no_call(fleet: Fleet) -> None:
    """Guards against a number that is in force and closes connections, or blocks its version."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    in_force = fleet.version
    for table in NUMBER_FIELDS:
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
