"""A cold backend server gets no more than its rate, from all VMs together, and a warm one all."""

import asyncio
import time
from bisect import bisect_left

import anyio
import pytest

from .standins import Reply, Request, Upstream
from .support import Mesh, Node, make_config, make_route, wait_until

pytestmark = pytest.mark.anyio

COLD_PER_S = 7.0
COLD_START_S = 2.0
ALLOWED = COLD_PER_S * 1.5 + 8
"""Calls in any second that the platform allows."""
ROUTES = [make_route("parts", "/parts/", "idempotent") | {"public": True, "timeout_s": 2}]
SERVICES = [
    {
        "name": "yield",
        "health_path": "/healthz",
        "max_connections": 40,
        "protocol": "h1",
        "cold_start_s": COLD_START_S,
        "cold_per_s": COLD_PER_S,
    }
]
LOAD_PER_S = 120.0


def count_worst_second(upstream: Upstream, from_s: float, to_s: float) -> int:
    """Return the most arrivals within a second between two times of the event loop."""
    times = [one for one in upstream.arrivals if from_s <= one <= to_s]
    return max(
        (bisect_left(times, first + 1.0) - index for index, first in enumerate(times)), default=0
    )


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def start(mesh: Mesh, count: int) -> list[Node]:
    """Start VMs that all know one another and whose servers are warm."""
    mesh.publish(make_config(routes=ROUTES, services=SERVICES))
    nodes = await mesh.add_ready(count)
    await offer_load(mesh, nodes, 2 * COLD_START_S)
    return nodes


async def offer_load(mesh: Mesh, nodes: list[Node], run_s: float) -> float:
    """Send calls at a fixed rate, in turn to each node; return the part that was served."""
    replies: list[Reply] = []

    async def call(node: Node) -> None:
        replies.append(await mesh.call(node, "/parts/1"))

    started = time.monotonic()
    total = int(LOAD_PER_S * run_s)
    async with anyio.create_task_group() as tasks:
        for number in range(total):
            await anyio.sleep(max(0.0, started + number / LOAD_PER_S - time.monotonic()))
            tasks.start_soon(call, nodes[number % len(nodes)])
    for reply in replies:
        if reply.status != 200:
            print(reply.status, reply.body)
    return sum(reply.status == 200 for reply in replies) / total


async def restart_server(node: Node, down_s: float = 0.5, instance: str | None = None) -> float:
    """End the backend server of a node and start it again cold; return when it did."""
    await node.upstream.http.async_unload()
    await anyio.sleep(down_s)
    started_s = now_s()
    node.upstream.instance = instance or node.upstream.instance
    node.upstream.cold_until = started_s + COLD_START_S
    await node.upstream.http.async_setup()
    return started_s


# guards against full load on a server that has crashed and come back with the same name
async def test_a_server_that_was_down_gets_its_rate_until_it_is_warm(mesh: Mesh) -> None:
    nodes = await start(mesh, 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(offer_load, mesh, nodes, COLD_START_S + 3)
        await anyio.sleep(0.5)
        started_s = await restart_server(nodes[0])
    upstream = nodes[0].upstream
    assert 0 < count_worst_second(upstream, started_s, upstream.cold_until) <= ALLOWED
    assert count_worst_second(upstream, upstream.cold_until + 0.5, now_s()) > ALLOWED


# guards against full load on cold servers from daemons that have lost power together with them
async def test_all_servers_are_held_to_their_rate_after_a_restart_of_everything(mesh: Mesh) -> None:
    nodes = await start(mesh, 2)
    started_s = []
    for node in nodes:
        started_s.append(await restart_server(node, 0.05))
    for node in nodes:
        await mesh.restart_daemon(node)
    await offer_load(mesh, nodes, COLD_START_S)
    for node, from_s in zip(nodes, started_s, strict=True):
        until_s = node.upstream.cold_until
        assert count_worst_second(node.upstream, from_s, until_s) <= ALLOWED
    await anyio.sleep(max(0.0, max(node.upstream.cold_until for node in nodes) - now_s()))
    assert await offer_load(mesh, nodes, 2) >= 0.95


# guards against holding warm servers to the rate of cold ones whenever their daemon restarts
async def test_a_restarted_daemon_finds_out_that_its_server_is_warm(mesh: Mesh) -> None:
    nodes = await start(mesh, 1)
    checks = nodes[0].upstream.checks
    await mesh.restart_daemon(nodes[0])
    assert await offer_load(mesh, nodes, 1) >= 0.95
    assert nodes[0].upstream.checks - checks == 1


# guards against the cost of health checks where nobody waits
async def test_no_check_is_sent_for_a_load_below_the_rate(mesh: Mesh) -> None:
    mesh.publish(make_config(routes=ROUTES, services=SERVICES))
    (node,) = await mesh.add_ready(1)
    for _ in range(3):
        await anyio.sleep(1.5 / COLD_PER_S)
        assert (await mesh.call(node, "/parts/1")).status == 200
    assert node.upstream.checks == 0


async def test_servers_of_a_service_without_a_rate_are_not_checked(mesh: Mesh) -> None:
    mesh.publish(make_config(routes=ROUTES))
    nodes = await mesh.add_ready(1)
    assert await offer_load(mesh, nodes, 1) == 1.0
    assert nodes[0].upstream.checks == 0


# guards against full load on a server that has become cold while it runs
async def test_a_server_whose_entry_says_that_it_is_cold_gets_its_rate(mesh: Mesh) -> None:
    nodes = await start(mesh, 2)
    upstream = nodes[1].upstream
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(offer_load, mesh, nodes, COLD_START_S)
        await anyio.sleep(0.3)
        upstream.cold_until = now_s() + COLD_START_S
        mesh.register(nodes[1], cold_remaining_s=COLD_START_S, sequence=2)
        cold_start = nodes[1].daemon.serving.gate.cold_start
        await wait_until(lambda: cold_start.is_cold(nodes[1].daemon.clock.now_ms()))
        known_s = now_s()
    assert count_worst_second(upstream, known_s + 0.1, upstream.cold_until) <= ALLOWED


# guards against full load on servers that were evacuated and may have become cold
async def test_servers_of_a_domain_that_returns_are_checked_first(mesh: Mesh) -> None:
    mesh.publish(make_config(routes=ROUTES, services=SERVICES))
    nodes = await mesh.add_ready(4, ("north", "south"))
    await offer_load(mesh, nodes, 2 * COLD_START_S)
    south = nodes[1::2]
    mesh.evacuate("south")
    for node in nodes:
        await wait_until(lambda node=node: bool(node.daemon.fleet.evacuated))
    for node in south:
        node.upstream.cold_until = now_s() + COLD_START_S
    returned_s = now_s()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(offer_load, mesh, nodes, COLD_START_S)
        mesh.store.remove("op/evacuate/south")
    for node in south:
        worst = count_worst_second(node.upstream, returned_s, node.upstream.cold_until)
        assert worst <= ALLOWED


# guards against full load on a cold server whose daemon doesn't have the configuration yet
async def test_a_daemon_without_configuration_holds_its_server_to_a_low_rate(mesh: Mesh) -> None:
    entry, *_ = await start(mesh, 1)
    mesh.store.intercept = lambda request: Reply(503) if "op%2F" in request.target else None
    new = await mesh.add_node(registers=False)
    new.daemon.exchange.update_document = lambda published, origin: None
    new.upstream.cold_until = now_s() + COLD_START_S
    started_s = now_s()
    mesh.register(new)
    await wait_until(lambda: len(entry.daemon.vm_list or ()) == 2)
    async with anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(offer_load, mesh, [entry], COLD_START_S)
    assert new.daemon.published is None
    assert 0 < count_worst_second(new.upstream, started_s, new.upstream.cold_until) <= ALLOWED


# guards against a health answer of another process, a malformed one, and none at all
@pytest.mark.parametrize(
    "reply",
    [
        Reply(200, {"Wisteriaproxy-Instance-Id": "i-other"}),
        Reply(200, {"Wisteriaproxy-Instance-Id": "i-0", "Wisteriaproxy-Cold-Ms": "soon"}),
        Reply(503, {"Wisteriaproxy-Not-Executed": "1"}),
        Reply(resets=True),
    ],
)
async def test_a_check_without_a_usable_answer_leaves_the_limit(mesh: Mesh, reply: Reply) -> None:
    mesh.publish(make_config(routes=ROUTES, services=SERVICES))
    (node,) = await mesh.add_ready(1)
    await mesh.restart_daemon(node)
    handle = node.upstream.http.handle

    async def answer(request: Request) -> Reply:
        found = await handle(request)
        return reply if request.target == "/healthz" else found

    node.upstream.http.handle = answer
    started_s = now_s()
    await offer_load(mesh, [node], COLD_START_S)
    assert count_worst_second(node.upstream, started_s, started_s + COLD_START_S) <= ALLOWED
    assert await offer_load(mesh, [node], 1) >= 0.95
