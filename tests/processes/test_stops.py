"""Requests that a daemon has accepted are answered when it is stopped as planned."""

import asyncio
import re
import signal
import time
from random import Random

import attrs
import pytest
from tests.platform.standins import Reply, Request
from tests.platform.support import HOST

from .clients import KeptClient
from .documents import make_route
from .support import (
    CALLERS,
    Fleet,
    Machine,
)

pytestmark = pytest.mark.anyio

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
"""Time from the last byte of a request within which it may be cut off if it hasn't been sent on."""
LATE_S = GRACE_S / 2
"""Time after SIGTERM from which a request that is sent on must be answered."""
SIGNATURE = "wisteriaproxy-response-signature"


@attrs.frozen
class Sent:
    """A request of a client and what it got."""

    attempt: str
    machine: str
    path: str
    sent_s: float
    ended_s: float
    reply: Reply

    @property
    def is_whole(self) -> bool:
        return self.reply.status != 0 and not self.reply.closes


def list_routes() -> list[dict[str, object]]:
    """Return routes of which orders call parts; parts need no key."""
    return [
        make_route("yields", "yield", "idempotent"),
        make_route("orders", "order", "non_idempotent", timeout_s=GRACE_S),
        make_route("reports", "order", "download"),
        make_route("parts", "yield", "idempotent", public=True),
    ]


async def keep_calling(
    fleet: Fleet, machine: Machine, random: Random, sent: list[Sent], until_s: float
) -> None:
    """Send requests on kept connections, connecting anew whenever one is closed."""
    client = KeptClient(fleet, machine)
    while time.monotonic() < until_s:
        kind = random.choice(["yields", "yields", "orders", "reports", "parts"])
        method, body = ("POST", b"{}") if kind == "orders" else ("GET", b"")
        path, attempt = f"/{kind}/{random.randrange(1_000)}", fleet.make_attempt()
        headers = {"authorization": ""} if kind == "parts" else {}
        try:
            if not client.is_open:
                await client.connect()
        except OSError:
            await asyncio.sleep(0.05)
            continue
        at_s = time.monotonic()
        reply = await client.call(path, method, 3_000, body, attempt, **headers)
        sent.append(Sent(attempt, machine.name, path, at_s, time.monotonic(), reply))
        await asyncio.sleep(random.random() * 0.05)
    client.close()


def serve_with_parts(fleet: Fleet, machine: Machine, random: Random) -> None:
    """Let a backend server take time, answer reports at length and call parts for orders."""

    async def answer(request: Request) -> Reply | None:
        await asyncio.sleep(random.expovariate(1 / 0.15))
        if request.target.startswith("/orders/"):
            reply = await fleet.fetch(
                machine,
                CALLERS,
                "/parts/1",
                headers={
                    "host": HOST,
                    "wisteriaproxy-attempt-id": fleet.make_attempt(),
                    "wisteriaproxy-timeout-ms": request.headers["wisteriaproxy-timeout-ms"],
                },
                limit_s=3.0,
            )
            return machine.upstream.sign(request, 200 if reply.status == 200 else 500)
        if request.target.startswith("/reports/"):
            return machine.upstream.sign(request, body=b"r" * random.randrange(1_000, 400_000))
        return None

    machine.upstream.answer = answer


def list_lost(fleet: Fleet, sent: list[Sent]) -> list[Sent]:
    """Return the requests without a whole answer that ran or had been read."""
    ran = {run.attempt for run in fleet.runs}
    return [
        one
        for one in sent
        if not one.is_whole and (one.attempt in ran or one.ended_s - one.sent_s > LOSS_SLACK_S)
    ]


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_request_on_a_kept_connection_is_lost_while_daemons_are_restarted(
    fleet: Fleet, seed: int
) -> None:
    """Guards against answers cut off by a planned stop, a reload or a new configuration."""
    random = Random(seed)
    fleet.publish(routes=list_routes())
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b"), ("order", "b")])
    for machine in machines:
        serve_with_parts(fleet, machine, random)
    sent: list[Sent] = []
    until_s = time.monotonic() + 16
    clients = [
        asyncio.create_task(keep_calling(fleet, machine, Random(random.random()), sent, until_s))
        for machine in machines
        for _ in range(6)
    ]
    for machine in machines:
        await asyncio.sleep(1)
        machine.settings.touch()
        machine.send_signal(signal.SIGHUP)
        fleet.publish(routes=list_routes())
        await machine.stop(signal.SIGTERM)
        await asyncio.sleep(0.5)
        await machine.start()
        await fleet.wait_ready(machine)
    await asyncio.gather(*clients)
    lost = list_lost(fleet, sent)
    assert len(sent) > 500
    assert lost == []


@pytest.mark.parametrize("timeout_ms", [800, 2_000])
async def test_no_call_that_a_stopping_daemon_takes_late_is_cut_off(
    fleet: Fleet, timeout_ms: int
) -> None:
    """Guards against late calls on routes without a key that are sent on and end with the stop."""
    fleet.publish(routes=list_routes())
    stopped, other = await fleet.add([("order", "a"), ("yield", "b")])
    begun: set[str] = set()

    async def work_long(request: Request) -> Reply | None:
        await asyncio.sleep(GRACE_S - 0.3)
        return None

    async def work_short(request: Request) -> Reply | None:
        begun.add(request.headers["wisteriaproxy-attempt-id"])
        await asyncio.sleep(0.4)
        return None

    stopped.upstream.answer, other.upstream.answer = work_long, work_short
    order = asyncio.create_task(fleet.call(other, "/orders/1", "POST", 6_000, b"{}"))
    await asyncio.sleep(0.2)
    stop = asyncio.create_task(stopped.stop(signal.SIGTERM))
    started_s = time.monotonic()
    sent: list[Sent] = []
    callers = (
        call_parts(fleet, stopped, number, sent, started_s + GRACE_S, timeout_ms)
        for number in range(4)
    )
    await asyncio.gather(*callers)
    await asyncio.gather(order, stop)
    late = [one for one in sent if one.sent_s - started_s > LATE_S]
    lost = [one for one in late if one.attempt in begun and SIGNATURE not in one.reply.headers]
    assert any(one.reply.status == 200 for one in sent)
    assert late
    assert [(round(one.sent_s - started_s, 2), one.reply.status) for one in lost] == []


@pytest.mark.parametrize("at_entry", [True, False])
async def test_signals_and_changes_during_a_stop_cut_no_call_off(
    fleet: Fleet, at_entry: bool
) -> None:
    """Guards against a second signal, a reload or a removed entry that ends a stop too soon."""
    fleet.publish(routes=list_routes())
    entry, desk = await fleet.add([("yield", "a"), ("order", "b")])

    async def answer(request: Request) -> Reply | None:
        await asyncio.sleep(2.5)
        return desk.upstream.sign(request, body=b"r" * 100_000)

    desk.upstream.answer = answer
    clients = [KeptClient(fleet, entry) for _ in range(8)]
    calls = [
        asyncio.create_task(client.call("/orders/1", "POST", 5_000, b"{}")) for client in clients
    ]
    await asyncio.sleep(0.3)
    stopped = entry if at_entry else desk
    stop = asyncio.create_task(stopped.stop(signal.SIGTERM))
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        await asyncio.sleep(0.2)
        stopped.settings.touch()
        stopped.send_signal(number)
        fleet.publish(routes=list_routes())
    fleet.store.remove(f"servers/{stopped.upstream.instance}")
    replies = await asyncio.gather(*calls)
    assert await stop == 0
    assert [(one.status, len(one.body), one.closes) for one in replies] == [
        (200, 100_000, False)
    ] * 8


async def call_parts(
    fleet: Fleet, machine: Machine, number: int, sent: list[Sent], until_s: float, timeout_ms: int
) -> None:
    """Send requests without a key until the daemon is gone."""
    await asyncio.sleep(number * 0.15)
    client = KeptClient(fleet, machine)
    while time.monotonic() < until_s:
        attempt = fleet.make_attempt()
        at_s = time.monotonic()
        try:
            reply = await client.call(
                "/parts/1", timeout_ms=timeout_ms, attempt=attempt, authorization=""
            )
        except OSError:
            return
        sent.append(Sent(attempt, machine.name, "/parts/1", at_s, time.monotonic(), reply))
        await asyncio.sleep(0.15)
    client.close()


async def test_a_stop_waits_until_a_slow_client_has_its_answer(fleet: Fleet) -> None:
    """Guards against the end of an answer that is lost with the process that still buffers it."""
    fleet.publish(routes=list_routes())
    machine, desk = await fleet.add([("yield", "a"), ("order", "b")])

    async def answer(request: Request) -> Reply | None:
        return desk.upstream.sign(request, body=b"r" * int(request.target.rpartition("/")[2]))

    desk.upstream.answer = answer
    size = await find_size(fleet, machine)
    for margin in (8_000, 24_000, 40_000):
        download = asyncio.create_task(read_slowly(fleet, machine, size - margin, 2.0))
        await asyncio.sleep(1)
        await machine.stop(signal.SIGTERM)
        reply = await download
        assert (reply.status, len(reply.body), reply.closes) == (200, size - margin, False)
        await machine.start()
        await fleet.wait_ready(machine)
        await asyncio.sleep(1)


@pytest.mark.parametrize("count", [5, 60])
async def test_a_stop_waits_until_a_slow_peer_has_its_answers(fleet: Fleet, count: int) -> None:
    """Guards against answers for other daemons that are lost with the process that buffers them."""
    fleet.publish(routes=list_routes())
    entry, desk = await fleet.add([("yield", "a"), ("order", "b")])
    released = asyncio.Event()

    async def answer(request: Request) -> Reply | None:
        await released.wait()
        return desk.upstream.sign(request, body=b"r" * 250_000)

    desk.upstream.answer = answer
    # less and more than the kernel buffers between two processes
    downloads = [
        asyncio.create_task(fleet.call(entry, "/reports/1", timeout_ms=5_000)) for _ in range(count)
    ]
    await asyncio.sleep(0.5)
    entry.send_signal(signal.SIGSTOP)
    released.set()
    await asyncio.sleep(1)
    stop = asyncio.create_task(desk.stop(signal.SIGTERM))
    await asyncio.sleep(1)
    entry.send_signal(signal.SIGCONT)
    replies = await asyncio.gather(*downloads)
    await stop
    assert [(one.status, len(one.body)) for one in replies] == [(200, 250_000)] * count


async def find_size(fleet: Fleet, machine: Machine) -> int:
    """Return the largest answer that a daemon takes in before its client reads any of it.

    It depends on the buffers of the kernel.
    """
    low, high = 50_000, 8_000_000
    while high - low > 8_000:
        size = (low + high) // 2
        before = await count_served(fleet, machine)
        download = asyncio.create_task(read_slowly(fleet, machine, size, 1.0))
        await asyncio.sleep(0.6)
        is_taken_in = await count_served(fleet, machine) > before
        await download
        low, high = (size, high) if is_taken_in else (low, size)
    return low


async def read_slowly(fleet: Fleet, machine: Machine, size: int, pause_s: float) -> Reply:
    client = KeptClient(fleet, machine, receive_bytes=65_536)
    reply = await client.call(f"/reports/{size}", timeout_ms=5_000, pause_s=pause_s)
    client.close()
    return reply


async def count_served(fleet: Fleet, machine: Machine) -> float:
    """Return the number of reports that a daemon counts as served."""
    pattern = r'^wisteriaproxy_calls_total\{.*code="0".*route="reports".*\} (.+)$'
    found = re.findall(pattern, await fleet.read_metrics(machine), re.MULTILINE)
    return sum(map(float, found))
