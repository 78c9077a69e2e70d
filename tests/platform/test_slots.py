"""The slots of a backend server change while calls wait."""

import anyio
import pytest

from .standins import Reply
from .support import Mesh, hold_answers, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio

ROUTES = [make_route("orders", "/orders/", "non_idempotent") | {"timeout_s": 4}]


async def test_a_queued_call_starts_when_its_server_gets_more_slots(mesh: Mesh) -> None:
    """Guards against a call that holds a slot until its deadline and is never sent."""
    mesh.publish(make_config(routes=ROUTES))
    node = await mesh.add_node(registers=False)
    mesh.register(node, slots=1)
    await wait_until(lambda: node.daemon.is_ready() and node.daemon.serving.gate.slots == 1)
    released = hold_answers(node)
    replies: list[Reply] = []

    async def call() -> None:
        replies.append(await mesh.call(node, "/orders/1", "POST", 4_000, b"{}"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await wait_until(lambda: node.daemon.serving.gate.running() == 1)
        tasks.start_soon(call)
        await wait_until(lambda: node.daemon.serving.gate.queued() == 1)
        mesh.register(node, slots=8, sequence=2)
        await wait_until(lambda: node.daemon.serving.gate.slots == 8)
        await wait_until(lambda: node.daemon.serving.gate.running() == 2)
        await anyio.sleep(0.1)
        released.set()
    assert [reply.status for reply in replies] == [200, 200]
    assert len(node.upstream.ran) == 2
