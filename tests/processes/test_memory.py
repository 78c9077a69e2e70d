"""What a daemon holds for its callers and peers stays within its memory."""

import asyncio
from pathlib import Path

import pytest

from .documents import make_route
from .support import (
    Fleet,
    Machine,
)

pytestmark = pytest.mark.anyio

MEMORY_MB = 300
"""Memory at which the platform ends a daemon."""
MAX_BODY_BYTES = 67_108_864
KB_PER_MB = 1_024
TIMEOUT_MS = 30_000
"""Time for the bodies to pass on a busy machine."""


def read_peak_mb(machine: Machine) -> float:
    """Return the most memory that the process has held so far."""
    assert machine.process is not None
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) / KB_PER_MB


async def start(fleet: Fleet) -> list[Machine]:
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_s": 20,
        "idle_timeout_s": 30,
    }
    route = make_route("orders", "order", "non_idempotent", timeout_s=TIMEOUT_MS / 1_000)
    fleet.publish(limits=limits, routes=[route])
    machines = await fleet.add([("yield", "a"), ("order", "a")])
    await asyncio.sleep(1)
    return machines


@pytest.mark.parametrize(("calls", "size"), [(1, 64_000_000), (12, 16_000_000), (300, 1_000_000)])
async def test_long_requests_keep_a_daemon_within_its_memory(
    fleet: Fleet, calls: int, size: int
) -> None:
    """Guards against requests within the size limit that take daemons over their memory."""
    entry, serving = await start(fleet)
    sent = [
        fleet.call(
            entry, "/orders/1", "POST", TIMEOUT_MS, body=bytes(size), attempt=f"{number:016x}"
        )
        for number in range(calls)
    ]
    replies = await asyncio.gather(*sent)
    peaks = {machine.name: read_peak_mb(machine) for machine in (entry, serving)}
    assert max(peaks.values()) < MEMORY_MB, peaks
    assert [machine.ends for machine in (entry, serving)] == [[], []]
    statuses = {reply.status for reply in replies}
    assert statuses <= {200, 503}, statuses
    ran = {run.attempt for run in fleet.runs}
    refused = {f"{i:016x}" for i, reply in enumerate(replies) if reply.status == 503}
    assert not ran & refused
    for machine in (entry, serving):
        assert "held_bytes 0.0" in await fleet.read_metrics(machine)
    assert (await fleet.call(entry, "/orders/1", "POST", body=bytes(1_000_000))).status == 200
