"""No call reaches a backend server of an evacuated failure domain, and none is lost for it."""

import anyio
import pytest

from wisteria_core import FailureDomain
from wisteriaproxy.mesh.roster import RECOVERY_GRACE_MS

from .support import Mesh, Node, hold_answers, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio

ZONES = ("north", "south")
CALLS = 30
SOUTH = FailureDomain("south")
LONG_ROUTES = [make_route("yields", "/yields/", "non_idempotent") | {"timeout_s": 9}]


async def start(mesh: Mesh, count: int = 4) -> tuple[list[Node], list[Node]]:
    """Start VMs; return those of the failure domains north and south."""
    mesh.publish(make_config())
    nodes = await mesh.add_ready(count, ZONES)
    return nodes[::2], nodes[1::2]


def heeds(node: Node, *domains: FailureDomain) -> bool:
    return node.daemon.fleet.evacuated == set(domains)


async def evacuate(mesh: Mesh, nodes: list[Node]) -> None:
    """Evacuate the failure domain south, and wait until all know."""
    mesh.evacuate("south")
    for node in nodes:
        await wait_until(lambda node=node: heeds(node, SOUTH))


def count_runs(nodes: list[Node]) -> int:
    return sum(len(node.upstream.ran) for node in nodes)


# guards against calls to an evacuated failure domain, from its own daemons and from others
async def test_an_evacuated_domain_gets_no_calls_and_all_are_served_elsewhere(mesh: Mesh) -> None:
    north, south = await start(mesh)
    await evacuate(mesh, [*north, *south])
    before = count_runs(south)
    for entry in (north[0], south[0]):
        for _ in range(CALLS):
            assert (await mesh.call(entry, "/parts/1")).status == 200
    assert count_runs(south) == before


async def test_calls_return_once_the_evacuation_is_taken_back(mesh: Mesh) -> None:
    north, south = await start(mesh)
    await evacuate(mesh, [*north, *south])
    mesh.store.remove("op/evacuate/south")
    await wait_until(lambda: heeds(north[0]) and heeds(south[0]) and heeds(south[1]))
    before = count_runs(south)
    with anyio.fail_after(10):
        while count_runs(south) == before:
            assert (await mesh.call(north[0], "/parts/1")).status == 200


# guards against a run of a call whose sender doesn't know of the evacuation yet
async def test_a_call_of_a_sender_that_does_not_know_yet_moves_without_a_run(mesh: Mesh) -> None:
    north, south = await start(mesh, 2)
    # it prefers the server of its own failure domain
    sender = await mesh.add_node(registers=False, zone="south")
    await wait_until(lambda: sender.daemon.is_ready() and len(sender.daemon.vm_list or ()) == 2)
    assert (await mesh.call(sender, "/orders/0", method="POST")).status == 200
    assert count_runs(south) == 1
    south[0].daemon.serving.set_evacuated(True)
    for number in range(CALLS):
        assert (await mesh.call(sender, f"/orders/{number}", method="POST")).status == 200
    assert count_runs(south) == 1
    assert count_runs(north) >= CALLS


# guards against queued calls that an evacuated server runs, and against dropping them
async def test_queued_calls_move_and_running_ones_finish(mesh: Mesh) -> None:
    mesh.publish(make_config(routes=LONG_ROUTES))
    (leaving,) = await mesh.add_ready(1, ("south",))
    mesh.register(leaving, zone="south", slots=1, sequence=2)
    gate = leaving.daemon.serving.gate
    await wait_until(lambda: gate.slots == 1)
    released = hold_answers(leaving)
    found: list[int] = []

    async def call() -> None:
        found.append(
            (await mesh.call(leaving, "/yields/1", method="POST", timeout_ms=9_000)).status
        )

    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(call)
        await wait_until(lambda: gate.queued() == 2)
        other = await mesh.add_node()
        await wait_until(lambda: len(leaving.daemon.vm_list or ()) == 2)
        mesh.evacuate("south")
        await wait_until(lambda: len(other.upstream.ran) == 2)
        released.set()
    assert found == [200] * 3
    assert len(leaving.upstream.ran) == 1


async def test_a_restarted_daemon_calls_no_evacuated_server(mesh: Mesh) -> None:
    north, south = await start(mesh)
    await evacuate(mesh, [*north, *south])
    before = count_runs(south)
    for node in (north[0], south[0]):
        await mesh.restart_daemon(node)
        for _ in range(CALLS):
            assert (await mesh.call(node, "/parts/1")).status == 200
    assert count_runs(south) == before


# guards against calls to an evacuated domain after a restore, until the operators write it again
async def test_an_evacuation_that_a_restored_copy_lacks_stays_in_force(mesh: Mesh) -> None:
    north, south = await start(mesh)
    copy = mesh.store.make_copy()
    await evacuate(mesh, [*north, *south])
    before = count_runs(south)
    mesh.store.restore(copy)
    for _ in range(CALLS):
        assert (await mesh.call(north[0], "/parts/1")).status == 200
        await anyio.sleep(0.02)
    mesh.evacuate("south")
    await anyio.sleep(RECOVERY_GRACE_MS / 1_000 + 1)
    for _ in range(CALLS):
        assert (await mesh.call(north[0], "/parts/1")).status == 200
    assert count_runs(south) == before


# guards against one malformed entry that hides the others or the configuration
async def test_a_malformed_evacuation_is_ignored(mesh: Mesh) -> None:
    north, south = await start(mesh)
    mesh.store.put("op/evacuate/", b"{}")
    mesh.store.put("op/evacuate/north", b"\xff not JSON")
    mesh.store.put("op/evacuate/north/1", b"{}")
    await evacuate(mesh, [*north, *south])
    mesh.publish(make_config(version=2))
    for node in (*north, *south):
        await wait_until(lambda node=node: node.daemon.exchange.version == 2)
        assert heeds(node, SOUTH)


async def test_calls_are_refused_as_not_run_when_every_domain_is_evacuated(mesh: Mesh) -> None:
    north, south = await start(mesh, 2)
    await evacuate(mesh, [*north, *south])
    mesh.evacuate("north")
    await wait_until(lambda: heeds(north[0], SOUTH, FailureDomain("north")))
    before = count_runs([*north, *south])
    reply = await mesh.call(north[0], "/orders/1", method="POST")
    assert reply.status == 503
    assert count_runs([*north, *south]) == before
