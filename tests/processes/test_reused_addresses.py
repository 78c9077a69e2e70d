"""Addresses of backend servers that go to another service while clients send orders."""

import asyncio

import pytest
from tests.platform.standins import Reply, Request

from .support import Fleet, Machine, Run

pytestmark = pytest.mark.anyio
ORDERS = 8
REFUSED = Reply(503, {"Wisteriaproxy-Not-Executed": "1"})


class _Gate:
    """Holds the requests at backend servers, then rejects them as not run."""

    def __init__(self, machines: list[Machine]) -> None:
        self.held: list[Request] = []
        self.released = asyncio.Event()
        for machine in machines:
            machine.upstream.answer = self._answer

    async def _answer(self, request: Request) -> Reply:
        self.held.append(request)
        await self.released.wait()
        headers = {"Wisteriaproxy-Attempt-Id": request.headers["wisteriaproxy-attempt-id"]}
        return Reply(REFUSED.status, REFUSED.headers | headers)


def find_misdirected(fleet: Fleet) -> list[Run]:
    """Return the orders that were run by another service."""
    return [
        run
        for run in fleet.runs
        if run.request.target.startswith("/orders/") and run.service != "order"
    ]


async def wait_until_held(gate: _Gate, count: int) -> None:
    async with asyncio.timeout(3):
        while len(gate.held) < count:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def wait_until_listed(machine: Machine, event_count: int) -> None:
    """Wait until a daemon has logged as many changes of its list of VMs."""
    async with asyncio.timeout(5):
        while machine.count_events("vm_changed") < event_count:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def test_an_order_is_not_retried_at_the_process_that_took_over_the_address(
    fleet: Fleet,
) -> None:
    """Guards against a retry that goes by the servers of a service that has none left."""
    fleet.publish()
    entry, first, second = await fleet.add([("yield", "a"), ("order", "a"), ("order", "a")])
    gate = _Gate([first, second])
    calls = [
        asyncio.create_task(fleet.call(entry, f"/orders/{n}", "POST", timeout_ms=5_000))
        for n in range(ORDERS)
    ]
    await wait_until_held(gate, ORDERS)
    # one leaves without a report and goes on serving, the address of the other is given out again
    fleet.store.remove(f"servers/{first.upstream.instance}")
    await fleet.end_upstream(second)
    await wait_until_listed(entry, 2)
    await fleet.start_upstream(second, service="yield")
    await wait_until_listed(entry, 3)
    gate.released.set()
    statuses = [(await call).status for call in calls]
    assert find_misdirected(fleet) == [], statuses


async def test_an_order_is_not_retried_at_an_unlisted_process_beside_its_daemon(
    fleet: Fleet,
) -> None:
    """Guards against a local call that names no process, which any process at the address runs."""
    fleet.publish()
    entry, other = await fleet.add([("order", "a"), ("order", "a")])
    gate = _Gate([entry, other])
    calls = [
        asyncio.create_task(fleet.call(entry, f"/orders/{n}", "POST", timeout_ms=5_000))
        for n in range(ORDERS)
    ]
    await wait_until_held(gate, ORDERS)
    fleet.store.remove(f"servers/{other.upstream.instance}")
    await fleet.end_upstream(entry)
    await wait_until_listed(entry, 2)
    await fleet.start_upstream(entry, service="yield", is_registered=False)
    gate.released.set()
    statuses = [(await call).status for call in calls]
    assert find_misdirected(fleet) == [], statuses


async def test_requests_name_the_service_of_changed_settings(fleet: Fleet) -> None:
    """Guards against a daemon that goes on naming the service of the settings it started with."""
    fleet.publish()
    entry, _ = await fleet.add([("yield", "a"), ("order", "a")])
    await fleet.end_upstream(entry)
    entry.settings.write_text(entry.settings.read_text().replace('"yield"', '"order"'))
    await fleet.start_upstream(entry, service="order")
    async with asyncio.timeout(5):
        while entry.count_events("settings_reloaded") == 0:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    for number in range(ORDERS):
        attempt = fleet.make_attempt()
        reply = await fleet.call(entry, f"/orders/{number}", "POST", attempt=attempt)
        (run,) = fleet.find_runs(attempt)
        assert (reply.status, run.request.headers["wisteriaproxy-caller-service"]) == (200, "order")
