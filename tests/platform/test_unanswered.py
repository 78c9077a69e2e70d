"""Requests that end without a complete answer are closed, counted and logged."""

import logging

import anyio
import pytest

from wisteriaproxy.metrics import REQUESTS_UNANSWERED

from .standins import Reply, Request
from .support import Mesh, Node, hold_answers, make_config, wait_until

pytestmark = pytest.mark.anyio


def count_unanswered(node: Node) -> dict[tuple[str, ...], int]:
    return node.daemon.metrics.counter(REQUESTS_UNANSWERED).values


async def test_a_request_whose_task_is_cancelled_does_not_leave_its_caller_waiting(
    mesh: Mesh, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a connection that stays open although nobody will answer its request."""
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    hold_answers(node)
    replies: list[Reply] = []

    async def call() -> None:
        replies.append(await mesh.call(node, "/yields/1"))

    with caplog.at_level(logging.WARNING), anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await wait_until(lambda: node.daemon.entry.in_flight == 1)
            node.daemon.call_tasks.cancel_all()
    assert replies[0].status == 0
    assert count_unanswered(node) == {("broken off",): 1}
    assert "request_unanswered" in [record.message for record in caplog.records]


async def test_an_answer_that_the_backend_server_breaks_off_is_counted(mesh: Mesh) -> None:
    """Guards against requests without a complete answer that no metric shows."""
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)

    async def answer(request: Request) -> Reply:
        whole = node.upstream.sign(request, body=b"y" * 100_000).encode()
        return Reply(raw=whole[:-1_000], closes=True)

    node.upstream.answer = answer
    reply = await mesh.call(node, "/yields/1")
    assert reply.status == 200
    assert reply.closes
    assert count_unanswered(node) == {("broken off",): 1}


async def test_a_caller_that_leaves_is_counted_apart(mesh: Mesh) -> None:
    """Guards against callers that give up being taken for requests that the daemon breaks off."""
    mesh.publish(make_config())
    (node,) = await mesh.add_ready(1)
    hold_answers(node)
    with anyio.move_on_after(0.3):
        await mesh.call(node, "/yields/1")
    await wait_until(lambda: count_unanswered(node) == {("closed by the caller",): 1})
