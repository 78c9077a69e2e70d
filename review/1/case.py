"""An entry in the store whose `born` is no number ends daemons."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import Fleet, Machine, make_config, make_route, run_case  # noqa: E402

HEARTBEAT_S = 1.5
WRITES = 4
WRITE_INTERVAL_S = 12.0
PLACES = [("yieldview", "a"), ("yieldview", "a"), ("yieldview", "b"), ("yieldview", "b")]
MIN_MACHINES = 2
MIN_ENDS = 3


async def play(fleet: Fleet, is_disturbed: bool) -> list[str]:
    await fleet.start(PLACES, make_config(1, [make_route("yield", "yieldview", "idempotent")], {}))
    for machine in fleet.machines:
        machine.daemon.keep_running()
    await asyncio.sleep(5)
    served: list[int] = []
    clients = [asyncio.ensure_future(send(fleet, one, served)) for one in fleet.machines]
    for number in range(WRITES):
        await write_entry(fleet, number, is_disturbed)
    for client in clients:
        client.cancel()
    fleet.record.say(f"requests: {len(served)}, served: {served.count(200)}")
    ended = {one.daemon.name: len(one.daemon.ends) for one in fleet.machines}
    fleet.record.say(f"processes that ended by themselves: {ended}")
    often = [name for name, count in ended.items() if count >= MIN_ENDS]
    if len(often) < MIN_MACHINES:
        return []
    return [f"on {len(often)} machines processes ended by themselves {MIN_ENDS} times or more"]


async def write_entry(fleet: Fleet, number: int, is_disturbed: bool) -> None:
    """Write an entry as another writer; it is removed after three heartbeats of silence.

    Undisturbed, the same entry has a whole number in the field.
    """
    name = f"x-{number:08x}"
    entry = fleet.machines[0].upstream.describe(
        service="shed-sensors", address=f"127.0.0.1:{20_000 + number}"
    )
    if is_disturbed:
        entry["born"] = True
    fleet.store.put(f"servers/{name}", json.dumps(entry).encode())
    fleet.record.note("another writer", f"entry {name} with born {entry['born']!r}")
    await asyncio.sleep(3 * HEARTBEAT_S)
    fleet.store.remove(f"servers/{name}")
    fleet.record.note("store", f"entry {name} removed")
    await asyncio.sleep(WRITE_INTERVAL_S - 3 * HEARTBEAT_S)


async def send(fleet: Fleet, machine: Machine, served: list[int]) -> None:
    while True:
        headers = fleet.make_headers(2_000)
        answer = await fleet.call(machine, "GET", "/yield/1", headers, limit_s=3)
        served.append(answer.status)
        await asyncio.sleep(0.2)


if __name__ == "__main__":
    run_case(FOLDER, play)
