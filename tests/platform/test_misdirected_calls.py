"""Calls for a process or a service that the VM no longer runs."""

import re

import anyio
import attrs
import pytest

from wisteria_config import PUBLIC_ACCOUNT
from wisteria_core import Priority, Refusal, ResultCode, RunState
from wisteria_wire import AnswerHead, CallHead
from wisteriaproxy.forward import PROCESS_REPLACED

from .standins import Upstream
from .support import Mesh, Node, make_config, wait_until

pytestmark = pytest.mark.anyio


def make_head(instance: str, service: str = "yield") -> CallHead:
    return CallHead(
        request_id="a1",
        route_id="orders",
        service=service,
        method="POST",
        target="/orders/1",
        headers=("host", "yields.example", "wisteriaproxy-attempt-id", "a1"),
        account=PUBLIC_ACCOUNT,
        key_id="",
        priority=Priority.NORMAL,
        rank=0,
        remaining_ms=2_000,
        allowance=0,
        idempotency_key="",
        config_version=1,
        instance=instance,
    )


async def send(entry: Node, node: Node, head: CallHead) -> AnswerHead:
    """Send a call to the daemon of `node`, whatever `entry` knows of its backend server."""
    reply = await entry.daemon.entry.forwarder.send(node.daemon.vm_id, head)
    assert not isinstance(reply, Refusal)
    answer = await reply.wait_answer()
    assert isinstance(answer, AnswerHead)
    return answer


@pytest.mark.parametrize("is_local", [False, True])
async def test_a_call_that_names_no_process_is_not_run(mesh: Mesh, is_local: bool) -> None:
    """Guards against a call that any process which has taken over the address would run."""
    mesh.publish(make_config())
    entry, node = await mesh.add_ready(2)
    target = entry if is_local else node
    answer = await send(entry, target, make_head(""))
    assert (answer.code, answer.run_state) == (
        ResultCode.BACKEND_SERVER_LEAVING,
        RunState.NOT_RUN,
    )
    assert target.upstream.ran == []
    assert (await send(entry, target, make_head(target.upstream.instance))).status == 200


async def test_a_call_for_another_service_than_the_listed_one_is_not_run(mesh: Mesh) -> None:
    """Guards against an entry daemon that names the process of a service that it doesn't mean."""
    mesh.publish(make_config())
    entry, node = await mesh.add_ready(2)
    answer = await send(entry, node, make_head(node.upstream.instance, service="order"))
    assert (answer.code, answer.run_state) == (
        ResultCode.BACKEND_SERVER_LEAVING,
        RunState.NOT_RUN,
    )
    assert node.upstream.ran == []
    assert b'misdirected_calls_total{place="daemon"} 1' in node.daemon.metrics.render()


async def test_a_call_is_not_sent_once_the_list_names_another_process(mesh: Mesh) -> None:
    """Guards against a call that was addressed before a connection to its VM was open."""
    mesh.publish(make_config())
    entry, node = await mesh.add_ready(2)
    listed = entry.daemon.fleet.find_vm(node.daemon.vm_id)
    assert listed is not None
    forwarder = entry.daemon.entry.forwarder
    for earlier in (
        attrs.evolve(listed, instance="i-earlier"),
        attrs.evolve(listed, service="order"),
    ):
        reply = await forwarder.send_to_server(earlier, make_head(earlier.instance))
        assert reply is PROCESS_REPLACED
    mesh.store.remove(f"servers/{node.upstream.instance}")
    await wait_until(lambda: entry.daemon.fleet.find_vm(node.daemon.vm_id) is None)
    assert await forwarder.send_to_server(listed, make_head(listed.instance)) is PROCESS_REPLACED
    assert node.upstream.ran == []


async def test_a_process_that_was_replaced_gets_no_further_calls(mesh: Mesh) -> None:
    """Guards against calls that are rejected one after the other while the list is outdated."""
    mesh.publish(make_config())
    entry = await mesh.add_node(registers=False)
    _, node = await mesh.add_node(), await mesh.add_node()
    await wait_until(lambda: is_listed(entry, "i-1") and is_listed(entry, "i-2"))
    await wait_until(entry.daemon.is_ready)
    await node.upstream.http.async_unload()
    node.upstream = Upstream(node.host, "i-other")
    await node.upstream.http.async_setup()
    with anyio.fail_after(20):
        while count_rejected(node) == 0:
            await mesh.call(entry, "/parts/1")
    for _ in range(400):
        assert (await mesh.call(entry, "/parts/1")).status == 200
    assert count_rejected(node) == 1
    mesh.store.remove("servers/i-2")
    mesh.register(node, born=1_700_000_000_001)
    await wait_until(lambda: is_listed(entry, "i-other"))
    with anyio.fail_after(10):
        while not node.upstream.ran:
            assert (await mesh.call(entry, "/parts/1")).status == 200


def is_listed(node: Node, instance: str) -> bool:
    return any(vm.instance == instance for vm in node.daemon.vm_list or ())


def count_rejected(node: Node) -> int:
    """Return how many calls for another process the backend server of a node has rejected."""
    found = re.search(
        rb'misdirected_calls_total{place="server"} (\d+)', node.daemon.metrics.render()
    )
    return int(found[1]) if found is not None else 0
