"""A backend server that fails every call while it is reachable gets only probes."""

import anyio
import pytest

from wisteria_admission.circuit_breaker import OPEN_FAILURES, PROBE_INTERVAL_MS

from .standins import Reply, Request
from .support import Mesh, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio

MS_PER_S = 1_000
CALLS = 240
ENTRIES = 6
"""Daemons that would each have to find out by themselves."""


# guards against failing calls of each daemon until each has found out by itself
async def test_calls_move_away_from_a_server_that_fails_all_of_them(mesh: Mesh) -> None:
    orders = {**make_route("orders", "/orders/", "non_idempotent"), "public": True}
    mesh.publish(make_config(routes=[orders]))
    nodes = await mesh.add_ready(3, ("south", "north", "north"))
    # they prefer the server of their own failure domain
    entries = [await mesh.add_node(registers=False, zone="south") for _ in range(ENTRIES)]
    for entry in entries:
        await wait_until(
            lambda entry=entry: entry.daemon.is_ready()
            and len(entry.daemon.vm_list or ()) == len(nodes)
        )
    failing = nodes[0].upstream

    async def fail(request: Request) -> Reply | None:
        return failing.sign(request, 500)

    failing.answer = fail
    statuses = []
    started_s = anyio.current_time()
    for number in range(CALLS):
        entry = entries[number % len(entries)]
        statuses.append((await mesh.call(entry, f"/orders/{number}", method="POST")).status)
    probes = (anyio.current_time() - started_s) * MS_PER_S / PROBE_INTERVAL_MS
    assert set(statuses) == {200, 500}
    assert statuses.count(500) <= OPEN_FAILURES + probes + 1
    assert len(failing.ran) == statuses.count(500)
    failing.answer = None
    with anyio.fail_after(30):
        before = len(failing.ran)
        while len(failing.ran) < before + OPEN_FAILURES:
            assert (await mesh.call(nodes[0], "/orders/1", method="POST")).status == 200
            await anyio.sleep(0.02)
    assert not nodes[0].daemon.serving.breaker.is_open


async def test_a_service_whose_only_server_fails_is_tried_again_and_again(mesh: Mesh) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)

    async def fail(request: Request) -> Reply | None:
        return node.upstream.sign(request, 500)

    node.upstream.answer = fail
    statuses = [(await mesh.call(node, "/parts/1")).status for _ in range(20)]
    assert statuses[0] == 500
    assert 503 in statuses
    node.upstream.answer = None
    await anyio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
    assert (await mesh.call(node, "/parts/1")).status == 200
    assert (await mesh.call(node, "/parts/1")).status == 200
