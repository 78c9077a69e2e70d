"""After lost answers of the store, daemons send orders to an upstream that is long draining."""

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet, make_config, make_route, run_case  # noqa: E402
from standin_http import Answer, Request  # noqa: E402
from standin_upstream import Upstream  # noqa: E402

PLACES = [("yieldview", "a"), ("supplyorder", "a"), ("yieldview", "b"), ("supplyorder", "b")]
HEARTBEAT_S = 1.5
LOST_EACH = 3
LOST_S = 4.5
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
SERVES_ON_S = 8.0
WORK_S = 0.4
DEADLINE_MS = 3_000
ORDER_GAP_S = 0.1


async def play(fleet: Fleet, is_disturbed: bool) -> list[str]:
    routes = [
        make_route("yield", "yieldview", "idempotent"),
        make_route("order", "supplyorder", "non_idempotent"),
    ]
    await fleet.start(PLACES, make_config(1, routes, {}))
    loop = asyncio.get_running_loop()
    step_s = HEARTBEAT_S / len(fleet.machines)
    beats = [
        asyncio.ensure_future(beat(fleet, machine.upstream, place * step_s))
        for place, machine in enumerate(fleet.machines)
    ]
    arrivals: dict[str, list[tuple[str, float]]] = {}
    for machine in fleet.machines:
        machine.upstream.work = make_work(arrivals.setdefault(machine.upstream.name, []))
    await asyncio.sleep(5)
    if is_disturbed:
        await lose_answers(fleet)
    else:
        await asyncio.sleep(LOST_S)
    await asyncio.sleep(STABLE_WINDOW_S + 0.1)
    leaving = fleet.machines[1].upstream
    leaving.is_leaving = True
    leaving.sequence += 1
    fleet.register(leaving, state="draining")
    drained_at = loop.time()
    fleet.record.say(f"{leaving.name} reports draining, and serves on")
    calls = []
    while loop.time() < drained_at + SERVES_ON_S:
        for machine in fleet.machines:
            calls.append(asyncio.ensure_future(order(fleet, machine)))
        await asyncio.sleep(ORDER_GAP_S)
    await leaving.server.stop()
    beats[1].cancel()
    fleet.store.remove(f"servers/{leaving.name}")
    fleet.record.say(f"{leaving.name} exits, and its entry goes")
    statuses = [answer.status for answer in await asyncio.gather(*calls)]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    fleet.record.say(f"answers by status: {counts}")
    for one in beats:
        one.cancel()
    late = [
        f"request {attempt} reached {leaving.name} {at - drained_at:.2f} s after it was draining"
        for attempt, at in arrivals[leaving.name]
        if at - drained_at > DRAIN_S
    ]
    fleet.record.say(f"requests later than {DRAIN_S} s: {len(late)}")
    return late[:10]


async def lose_answers(fleet: Fleet) -> None:
    """Lose a third of the store's answers for some seconds."""
    loop = asyncio.get_running_loop()
    counts = {"answers": 0, "lost": 0}

    def loses(path: str, query: dict) -> bool:
        counts["answers"] += 1
        is_lost = counts["answers"] % LOST_EACH == 0
        counts["lost"] += is_lost
        if is_lost:
            fleet.record.note("store", f"an answer of {path} {query.get('prefix')} is lost")
        return is_lost

    fleet.store.loses = loses
    until = loop.time() + LOST_S
    await asyncio.sleep(until - loop.time())
    fleet.store.loses = lambda path, query: False
    fleet.record.say(f"{counts['lost']} of {counts['answers']} answers of the store were lost")


async def beat(fleet: Fleet, upstream: Upstream, first_s: float) -> None:
    """Write its entry as a live upstream does."""
    await asyncio.sleep(first_s)
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        upstream.sequence += 1
        changes = {"state": "draining"} if upstream.is_leaving else {}
        with contextlib.suppress(OSError):
            fleet.register(upstream, **changes)


def make_work(arrivals: list[tuple[str, float]]):
    async def work(request: Request) -> bytes:
        attempt = request.headers["wisteriaproxy-attempt-id"]
        arrivals.append((attempt, asyncio.get_running_loop().time()))
        await asyncio.sleep(WORK_S)
        return b"ok"

    return work


async def order(fleet: Fleet, machine) -> Answer:
    headers = fleet.make_headers(DEADLINE_MS)
    return await fleet.call(machine, "POST", "/order/refill", headers, b"order")


if __name__ == "__main__":
    run_case(FOLDER, play)
