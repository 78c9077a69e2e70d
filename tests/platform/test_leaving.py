"""Leaving backend servers get no calls, however they say so and whatever the store forgets."""

import json

import anyio
import pytest

from wisteriaproxy.mesh.roster import RECOVERY_GRACE_MS

from .standins import Reply, Request
from .support import Mesh, Node, hold_answers, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio

DRAIN_S = 2.0
"""Time after which the platform allows no call to a server that has said it leaves."""
LEAVING = {"Server-Leaving": "1"}
LONG_ROUTES = [make_route("yields", "/yields/", "idempotent") | {"timeout_s": 9}]


async def call_until_answered_by(mesh: Mesh, entry: Node, node: Node) -> None:
    """Call `entry` until the backend server of `node` has answered."""
    before = len(node.upstream.ran)
    with anyio.fail_after(10):
        while len(node.upstream.ran) == before:
            assert (await mesh.call(entry, "/parts/1")).status == 200


async def count_calls_at(mesh: Mesh, entry: Node, node: Node, calls: int = 60) -> int:
    """Return how many of some calls to `entry` the backend server of `node` gets."""
    before = len(node.upstream.ran)
    for _ in range(calls):
        assert (await mesh.call(entry, "/parts/1")).status == 200
    return len(node.upstream.ran) - before


def has_read_servers(mesh: Mesh) -> bool:
    return "/kv-range" in mesh.store.calls


def is_known_to_leave(entry: Node, node: Node) -> bool:
    vm = entry.daemon.fleet.find_vm(node.daemon.vm_id)
    return vm is not None and vm.state.value == "leaving"


# guards against calls to a server that says only in its answers that it leaves
async def test_an_answer_that_says_its_server_leaves_ends_calls_to_it(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(3)
    nodes[2].upstream.headers = LEAVING
    await call_until_answered_by(mesh, nodes[0], nodes[2])
    await anyio.sleep(DRAIN_S)
    for entry in nodes:
        assert await count_calls_at(mesh, entry, nodes[2]) == 0


# guards against calls to a leaving server after its daemon, which knew, has restarted
async def test_a_restarted_daemon_gets_no_calls_for_its_leaving_server(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(3)
    nodes[2].upstream.headers = LEAVING
    await call_until_answered_by(mesh, nodes[0], nodes[2])
    await mesh.restart_daemon(nodes[2])
    await anyio.sleep(DRAIN_S)
    assert await count_calls_at(mesh, nodes[0], nodes[2]) == 0


# guards against refusing calls for a new process because the one before it was leaving
async def test_a_new_process_of_a_server_that_left_gets_calls(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    nodes[1].upstream.headers = LEAVING
    await call_until_answered_by(mesh, nodes[0], nodes[1])
    nodes[1].upstream.headers = {}
    mesh.register(nodes[1], born=1_700_000_009_000, sequence=1)
    await call_until_answered_by(mesh, nodes[0], nodes[1])


# guards against queued calls that reach a server long after its entry says it drains or is gone
@pytest.mark.parametrize("is_announced", [True, False])
async def test_calls_queued_for_a_leaving_server_run_elsewhere(
    mesh: Mesh, is_announced: bool
) -> None:
    mesh.publish(make_config(routes=LONG_ROUTES))
    nodes = await mesh.add_ready(1)
    leaving = nodes[0]
    mesh.register(leaving, slots=1, sequence=2)
    gate = leaving.daemon.serving.gate
    await wait_until(lambda: gate.slots == 1)
    released = hold_answers(leaving)
    found: list[int] = []

    async def call() -> None:
        found.append((await mesh.call(leaving, "/yields/1", timeout_ms=9_000)).status)

    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(call)
        await wait_until(lambda: gate.queued() == 2)
        other = await mesh.add_node()
        await wait_until(lambda: len(leaving.daemon.vm_list or ()) == 2)
        if is_announced:
            mesh.register(leaving, slots=1, state="draining", sequence=3)
            await wait_until(lambda: is_known_to_leave(leaving, leaving))
        else:
            mesh.store.remove(f"servers/{leaving.upstream.instance}")
            await wait_until(lambda: len(leaving.daemon.vm_list or ()) == 1)
        released.set()
    assert found == [200] * 3
    assert len(leaving.upstream.ran) == 1
    assert len(other.upstream.ran) == 2


# guards against failing a call that was accepted before a planned stop and then makes child calls
async def test_calls_that_run_during_a_planned_stop_may_make_child_calls(mesh: Mesh) -> None:
    parts = {**make_route("parts", "/parts/", "idempotent"), "public": True}
    mesh.publish(make_config(routes=[*LONG_ROUTES, parts]))
    (stopping,) = await mesh.add_ready(1)
    other = await mesh.add_node()
    await wait_until(lambda: len(stopping.daemon.vm_list or ()) == 2)
    begun = anyio.Event()
    children: list[Reply] = []

    async def answer(request: Request) -> Reply | None:
        if not request.target.startswith("/yields/"):
            return None
        begun.set()
        for _ in range(5):
            await anyio.sleep(0.1)
            left_ms = int(request.headers["wisteriaproxy-timeout-ms"])
            children.append(
                await mesh.call(stopping, "/parts/1", timeout_ms=left_ms, authorization="")
            )
        return None

    stopping.upstream.answer = answer
    found: list[int] = []

    async def call() -> None:
        found.append((await mesh.call(stopping, "/yields/1", timeout_ms=9_000)).status)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        with anyio.move_on_after(5):
            await begun.wait()
        stopping.daemon.start_drain()
        await anyio.sleep(0.05)
        refused = await mesh.call(stopping, "/yields/2")
    assert found == [200]
    assert [child.status for child in children] == [200] * 5
    assert refused.status == 503
    assert refused.headers["connection"] == "close"
    assert len(other.upstream.ran) >= 5


# guards against a server that stays refused although its removal was taken back
async def test_a_removed_server_gets_calls_once_it_is_listed_again(mesh: Mesh) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    mesh.store.remove(f"servers/{node.upstream.instance}")
    await wait_until(lambda: node.daemon.serving.is_removed)
    assert (await mesh.call(node, "/yields/1")).status == 503
    mesh.register(node, sequence=2)
    await wait_until(lambda: not node.daemon.serving.is_removed)
    assert (await mesh.call(node, "/yields/1")).status == 200


# guards against calls that other daemons may send after the entry of a drained server is removed
async def test_a_drained_server_gets_no_calls_after_its_removal(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    mesh.register(nodes[1], state="draining", sequence=2)
    await wait_until(lambda: is_known_to_leave(nodes[1], nodes[1]))
    mesh.store.remove(f"servers/{nodes[1].upstream.instance}")
    await wait_until(lambda: len(nodes[1].daemon.vm_list or ()) == 1)
    assert nodes[1].daemon.serving.is_leaving


# guards against ignoring a drain whose revision is lower than one from before a restore
async def test_a_drain_at_a_lower_revision_than_before_a_restore_is_applied(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    copy = mesh.store.make_copy()
    for sequence in range(2, 22):
        mesh.register(nodes[1], sequence=sequence, slots=sequence)
    daemon = nodes[0].daemon
    await wait_until(lambda: any(vm.slots == 21 for vm in daemon.vm_list or ()))
    mesh.store.restore(copy)
    mesh.register(nodes[1], sequence=22, state="draining")
    await wait_until(lambda: is_known_to_leave(nodes[0], nodes[1]))


# guards against missing a drain whose revision was given out before a restore as well
async def test_a_drain_is_not_missed_when_revisions_are_given_out_again(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    copy = mesh.store.make_copy()
    for _ in range(5):
        mesh.store.put("servers/other", b"")
    await wait_until(lambda: "servers/other" in mesh.store.items)
    await anyio.sleep(0.5)
    mesh.store.restore(copy)
    mesh.register(nodes[1], sequence=2, state="draining")
    for _ in range(20):
        mesh.store.put("servers/other", b"")
    await wait_until(lambda: is_known_to_leave(nodes[0], nodes[1]))


# guards against missing a configuration whose revision was given out before a restore as well
async def test_a_configuration_is_not_missed_when_revisions_are_given_out_again(
    mesh: Mesh,
) -> None:
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    copy = mesh.store.make_copy()
    for version in range(2, 7):
        mesh.publish(make_config(version=version))
    await wait_until(lambda: node.daemon.exchange.version == 6)
    mesh.store.restore(copy)
    mesh.publish(make_config(version=8))
    for _ in range(20):
        mesh.store.put("servers/other", b"")
    await wait_until(lambda: node.daemon.exchange.version == 8)


# guards against dropping a live server that the copy lacks until it has registered again
async def test_a_server_missing_in_the_copy_keeps_getting_calls(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(1)
    copy = mesh.store.make_copy()
    nodes.append(await mesh.add_node())
    daemon = nodes[0].daemon
    await wait_until(lambda: len(daemon.vm_list or ()) == 2)
    mesh.store.calls.clear()
    mesh.store.restore(copy)
    # the servers have been read again once they are watched again
    await wait_until(lambda: mesh.store.calls[-1:] == ["/kv-watch"] and has_read_servers(mesh))
    for _ in range(10):
        assert len(daemon.vm_list or ()) == 2
        await anyio.sleep(0.05)
    # the same write as before
    mesh.register(nodes[1])
    await anyio.sleep(RECOVERY_GRACE_MS / 1_000 + 1)
    assert len(daemon.vm_list or ()) == 2


# guards against a server that is ready in the copy but has left since
async def test_a_server_that_left_stays_gone_when_the_copy_has_it(mesh: Mesh) -> None:
    mesh.publish(make_config())
    nodes = await mesh.add_ready(2)
    copy = mesh.store.make_copy()
    mesh.register(nodes[1], sequence=2, state="draining")
    await wait_until(lambda: is_known_to_leave(nodes[0], nodes[1]))
    mesh.store.remove(f"servers/{nodes[1].upstream.instance}")
    daemon = nodes[0].daemon
    await wait_until(lambda: len(daemon.vm_list or ()) == 1)
    mesh.store.restore(copy)
    mesh.publish(make_config(version=2))
    mesh.store.put("servers/new", json.dumps({"state": "odd"}).encode())
    await wait_until(lambda: daemon.exchange.version == 2)
    await anyio.sleep(0.5)
    assert len(daemon.vm_list or ()) == 1


async def test_a_late_rejection_for_the_process_before_takes_no_other_out(mesh: Mesh) -> None:
    """Guards against a process that gets no calls since a queued call named the one before it."""
    routes = [
        make_route("yields", "/yields/", "idempotent") | {"timeout_s": 9},
        {**make_route("parts", "/parts/", "idempotent"), "public": True},
    ]
    mesh.publish(make_config(routes=routes))
    (node,) = await mesh.add_ready(1)
    mesh.register(node, slots=1, sequence=2)
    daemon = node.daemon
    await wait_until(lambda: daemon.serving.gate.slots == 1)
    released = hold_answers(node)
    async with anyio.create_task_group() as tasks:
        for _ in range(3):
            tasks.start_soon(mesh.call, node, "/yields/1", "GET", 5_000)
        await wait_until(lambda: daemon.serving.gate.queued() == 2)
        node.upstream.instance = "i-next"
        mesh.register(node, slots=1, sequence=1, born=1_700_000_009_000)
        await wait_until(lambda: [vm.instance for vm in daemon.vm_list or ()] == ["i-next"])
        released.set()
    node.upstream.answer = None
    assert [(await mesh.call(node, "/parts/1")).status for _ in range(3)] == [200] * 3
