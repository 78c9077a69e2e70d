"""What other writers and operators send at any moment ends no daemon."""

import asyncio
import json
from typing import Any

import pytest
from tests.platform.standins import Reply

from wisteriaproxy.mesh.ranges import COUNT_MAX, WHOLE_MAX

from .documents import make_route
from .support import (
    CONFIG_APPLY_S,
    STABLE_WINDOW_S,
    Fleet,
)

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


ODD_ANSWERS = [
    Reply(body=b""),
    Reply(body=b"[]"),
    Reply(body=b"\xff\x00"),
    Reply(body=b"[" * 100_000),
    Reply(body=b'{"items": 7, "events": {}, "as_of": "x"}'),
    Reply(body=b'{"items": [7, null, {}], "events": [[]], "as_of": true}'),
    Reply(body=b'{"items": [], "events": [], "as_of": -5, "more_pages": true}'),
    Reply(body=b'{"items": [], "events": [], "as_of": 1180591620717411303424}'),
    Reply(headers={"store-era": "9" * 5_000}, body=b'{"items": [], "events": [], "as_of": 9}'),
    Reply(headers={"store-era": "\u00b2"}, body=b'{"items": [], "events": [], "as_of": 9}'),
    Reply(
        body=b'{"items": [{"key": "servers/x", "revision": 1e400, "value": 7}],'
        b' "events": [{"key": "op/config", "revision": 9, "value": "e30="},'
        b' {"key": "servers/x", "revision": 9223372036854775808, "value": "e30="}], "as_of": 9}'
    ),
    Reply(status=410, body=b"gone"),
    Reply(status=999, body=b""),
    Reply(raw=b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n", closes=True),
    Reply(raw=b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n", closes=True),
    Reply(raw=b"\x00" * 1_000, closes=True),
]


async def test_odd_answers_of_the_store_end_no_daemon(fleet: Fleet) -> None:
    """Guards against an answer whose fields or headers raise in the task that reads the store."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    for answer in ODD_ANSWERS:
        fleet.store.intercept = lambda _request, answer=answer: answer  # type: ignore[misc]
        for connection in list(fleet.store.http.connections):
            connection.abort()
        await asyncio.sleep(0.5)
    fleet.store.intercept = None
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    fleet.publish(routes=[make_route("yields", "order", "idempotent")])
    await asyncio.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S)
    for machine in machines:
        attempt = fleet.make_attempt()
        assert (await fleet.call(machine, "/yields/1", attempt=attempt)).status == 200
        assert [run.service for run in fleet.find_runs(attempt)] == ["order"]
    assert not {machine.name: machine.ends for machine in machines if machine.ends}


async def test_values_at_the_ends_of_their_ranges_end_no_daemon(fleet: Fleet) -> None:
    """Guards against a value that is accepted and fails later, in a sum or an answer."""
    fleet.publish()
    machines = await fleet.add([("yield", "a"), ("order", "a"), ("yield", "b")])
    highest = {"slots": COUNT_MAX, "sequence": WHOLE_MAX, "cold_remaining_s": 9e15}
    lowest = {"slots": 0, "sequence": 0, "cold_remaining_s": -1e306, "born": 0}
    for changes in (lowest, highest, highest | {"born": WHOLE_MAX}):
        for machine in machines:
            fleet.register(machine, **changes)
        await asyncio.sleep(CONFIG_APPLY_S)
        replies = [await fleet.call(machine, "/orders/1", "POST") for machine in machines]
        assert all(reply.status for reply in replies)
    assert not {machine.name: machine.ends for machine in machines if machine.ends}
    failures = [await fleet.read_metrics(machine) for machine in machines]
    assert not any("task_failures_total{" in page for page in failures)
