"""What other writers and operators send at any moment ends no daemon."""

import asyncio
import json
from typing import Any

import pytest

from .support import CONFIG_APPLY_S, Fleet, make_route

pytestmark = pytest.mark.anyio

VALID = {
    "service": "shed",
    "address": "127.0.0.1:20000",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "cold_remaining_s": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
FOREIGN: list[dict[str, Any]] = [
    {"born": True},
    {"born": 2**63},
    {"sequence": 2**64},
    {"cold_remaining_s": 1e306},
    {"cold_remaining_s": True},
    {"slots": 2**70},
    {"address": "no.such..host:1"},
    {"zone": "z" * 300, "address": "a" * 70 + ".example:1"},
]
"""Fields of entries of other writers, beside the valid ones."""


async def test_entries_of_another_writer_end_no_daemon(fleet: Fleet) -> None:
    """Guards against a value that no control message can hold, which ended every daemon."""
    fleet.publish()
    machines = await fleet.add([(name, zone) for zone in "ab" for name in ("yield", "order")])
    for number, changes in enumerate(FOREIGN):
        fleet.store.put(f"servers/x-{number}", json.dumps(VALID | changes).encode())
        await asyncio.sleep(0.3)
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(CONFIG_APPLY_S)
    ends = {machine.name: machine.ends for machine in machines if machine.ends}
    assert not ends
    for machine in machines:
        attempt = fleet.make_attempt()
        assert (await fleet.call(machine, "/yields/1", attempt=attempt)).status == 200
        assert [run.service for run in fleet.find_runs(attempt)] == ["order"]
    pages = [await fleet.read_metrics(machine) for machine in machines]
    assert any('platform_refused_total{resource="servers"}' in page for page in pages)
