"""Count messages, bytes and reads of simulated nodes for several fleet sizes.

Not a test: run it with ``python -m tests.config.count_dissemination`` from the root.
"""

import hashlib
import json
import time
from typing import Any

import typer

from wisteria_core import VmId

from .conftest import encode, plain_document
from .fleet import Fleet

FAILURE_DOMAINS = 11
SETTLE_MS = 20_000
STEADY_MS = 60_000
SPREAD_LIMIT_MS = 30_000
OUTAGE_MS = 120_000
LATENCY_MS = (1, 75)
PROCESSING_MS = 30
MS_PER_S = 1_000


def large_document(version: int, withdrawn: int = 0) -> bytes:
    """Return a document of about 300 KB without its first `withdrawn` keys."""
    accounts = [
        {"name": f"account-{number:04d}", "rate_per_s": 100 + number, "burst": 200 + number}
        for number in range(300)
    ]
    keys = [
        {
            "id": f"key-{number:05d}",
            "sha256": hashlib.sha256(str(number).encode()).hexdigest(),
            "account": f"account-{number % 300:04d}",
        }
        for number in range(withdrawn, 1_550)
    ]
    services = [{"name": f"service-{number:03d}"} for number in range(370)]
    routes = [
        {
            "id": f"route-{number:04d}",
            "service": f"service-{number % 370:03d}",
            "method": "GET",
            "path": f"/service-{number % 370:03d}/{number}/{{item}}",
            "repeatable": True,
        }
        for number in range(740)
    ]
    plain: dict[str, Any] = {"schema": 1, "version": version}
    plain["failure_domains"] = [{"name": "north"}]
    plain |= {"public": {"rate_per_s": 50, "burst": 100}, "accounts": accounts, "keys": keys}
    plain |= {"services": services, "routes": routes}
    return json.dumps(plain, separators=(",", ":")).encode()


def small_document(version: int) -> bytes:
    """Return a document of under 1 KB, for counts that do not depend on its size."""
    return encode(plain_document(version))


def spread(fleet: Fleet, version: int) -> tuple[int, int]:
    """Return the times until 99% and until all nodes have `version`, in milliseconds."""
    start_ms = fleet.now_ms
    most_ms = 0
    while fleet.now_ms - start_ms < SPREAD_LIMIT_MS:
        fleet.run(5)
        living = fleet.living()
        have = sum(node.machine.version >= version for node in living)
        if not most_ms and have >= 0.99 * len(living):
            most_ms = fleet.now_ms - start_ms
        if have == len(living):
            break
    return most_ms, fleet.now_ms - start_ms


def count(nodes: int, denied: bool, small: bool) -> dict[str, object]:
    """Return the counts of one fleet: steady state, a change, a restart, a service outage."""
    fleet = Fleet(FAILURE_DOMAINS, -(-nodes // FAILURE_DOMAINS))
    fleet.latency_ms = LATENCY_MS
    fleet.processing_ms = PROCESSING_MS
    size = len(fleet.nodes)
    fleet.publish(small_document(1) if small else large_document(1))
    fleet.start_all()
    fleet.run(SETTLE_MS)
    row: dict[str, object] = {"nodes": size, "ready": fleet.all_ready()}
    row |= count_steady(fleet, size)
    if denied:
        fleet.service.down = set(list(fleet.nodes)[::2])
    row |= count_change(fleet, size, small)
    row |= count_restart(fleet)
    row |= count_outage(fleet, size)
    return row


def count_steady(fleet: Fleet, size: int) -> dict[str, object]:
    sent, sent_bytes, reads = fleet.sent.total(), fleet.sent_bytes.total(), fleet.service.reads
    fleet.run(STEADY_MS)
    seconds = STEADY_MS / MS_PER_S
    ages = sorted(node.machine.age_ms(fleet.now_ms) for node in fleet.living())
    return {
        "msg/s": round((fleet.sent.total() - sent) / size / seconds, 2),
        "B/s": round((fleet.sent_bytes.total() - sent_bytes) / size / seconds, 1),
        "reads/s": round((fleet.service.reads - reads) / seconds, 2),
        "age p99 s": round(ages[int(0.99 * size)] / MS_PER_S, 1),
    }


def count_change(fleet: Fleet, size: int, small: bool) -> dict[str, object]:
    sent, before = fleet.sent.copy(), fleet.sent_bytes.copy()
    reads = fleet.service.reads
    fleet.publish(small_document(2) if small else large_document(2, withdrawn=1))
    most_ms, all_ms = spread(fleet, 2)
    fetch = ("DocumentFetch", "DocumentDelta", "DocumentChunk")
    moved = sum(fleet.sent_bytes[kind] - before[kind] for kind in fetch)
    told = fleet.sent_bytes["VersionAnnounce"] - before["VersionAnnounce"]
    deltas = fleet.sent["DocumentDelta"] - sent["DocumentDelta"]
    delta_bytes = fleet.sent_bytes["DocumentDelta"] - before["DocumentDelta"]
    return {
        "p99 ms": most_ms,
        "all ms": all_ms,
        "change B": round((moved + told) / size),
        "delta B": round(delta_bytes / max(deltas, 1)),
        "whole": fleet.sent["DocumentChunk"] - sent["DocumentChunk"],
        "reads": fleet.service.reads - reads,
    }


def count_restart(fleet: Fleet) -> dict[str, object]:
    fleet.run(SETTLE_MS)
    start_ms = fleet.now_ms
    vm_id = VmId("vm-0-0")
    fleet.restart(vm_id)
    while not fleet.nodes[vm_id].machine.ready and fleet.now_ms - start_ms < SPREAD_LIMIT_MS:
        fleet.run(10)
    return {"ready ms": fleet.now_ms - start_ms}


def count_outage(fleet: Fleet, size: int) -> dict[str, object]:
    fleet.service.down = set(fleet.nodes)
    fleet.service.reads_by_s.clear()
    fleet.run(OUTAGE_MS)
    return {"outage peak reads/s": max(fleet.service.reads_by_s.values())}


def main(sizes: str = "66,121,242,484", denied: bool = False, small: bool = False) -> None:
    """Print one line of JSON for each fleet size."""
    for nodes in (int(size) for size in sizes.split(",")):
        start_s = time.process_time()
        row = count(nodes, denied, small)
        print(json.dumps(row | {"cpu s": round(time.process_time() - start_s, 1)}), flush=True)


if __name__ == "__main__":
    typer.run(main)
