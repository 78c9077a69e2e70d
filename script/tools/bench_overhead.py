"""Bench of the latency that two daemons add to a call, and of their saturation rate."""

import asyncio
import json
import os
import time
from typing import Annotated

import attrs
import typer
import uvloop
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_standins.behaviour import Behaviour, Rule, ServiceTime
from wisteria_standins.client import Call, Client
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

RATE_PER_S = 115
WARM_UP_CALLS = 300
SLOT_SETTLE_S = 5.0
SATURATION_CALLERS = 16
KEY = "bench-overhead-key"
PATH = "/items/1"
MAX_LATENCY_US = 10_000_000
US_PER_S = 1_000_000
US_PER_MS = 1_000


@attrs.define
class Samples:
    """Latencies of one call path, in microseconds."""

    histogram: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    failed: int = 0

    def percentile_ms(self, percent: float) -> float:
        return float(self.histogram.get_value_at_percentile(percent)) / US_PER_MS


def make_spec() -> FleetSpec:
    """Return one entry daemon and one serving daemon."""
    quick = Behaviour(slots=100, rules=(Rule(service=ServiceTime("constant", 0.0)),))
    document = make_document(
        1,
        (AccountPlan("bench", KEY, rate_per_s=100_000, burst=100_000),),
        (RoutePlan("items", "store", "/items"), RoutePlan("edge", "edge", "/edge")),
        domains=("north",),
    )
    services = (ServiceSpec("edge", 1, quick), ServiceSpec("store", 1, quick))
    return FleetSpec(services, document, log_level="warning")


async def call_once(client: Client, call: Call, samples: Samples) -> None:
    started = time.perf_counter()
    answer = await client.async_call(call, 2_000)
    if answer.status != 200 or not answer.complete:
        samples.failed += 1
        return
    samples.histogram.record_value(int((time.perf_counter() - started) * US_PER_S))


async def measure_both_paths(
    direct: Client, through: Client, call: Call, duration_s: float
) -> tuple[Samples, Samples]:
    """Alternate direct calls and calls through the daemons, at `RATE_PER_S` each."""
    samples_by_path = Samples(), Samples()
    for _ in range(WARM_UP_CALLS):
        await call_once(direct, call, Samples())
        await call_once(through, call, Samples())
    started = time.perf_counter()
    for number in range(int(duration_s * RATE_PER_S)):
        pause_s = started + number / RATE_PER_S - time.perf_counter()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        await call_once(direct, call, samples_by_path[0])
        await call_once(through, call, samples_by_path[1])
    return samples_by_path


async def measure_saturation(client: Client, call: Call, duration_s: float) -> float:
    """Return the calls/s achieved by enough callers to keep both daemons busy."""
    samples = Samples()
    end = time.perf_counter() + duration_s

    async def run_caller() -> None:
        while time.perf_counter() < end:
            await call_once(client, call, samples)

    await asyncio.gather(*(run_caller() for _ in range(SATURATION_CALLERS)))
    return float(samples.histogram.get_total_count()) / duration_s


async def run_bench(duration_s: float) -> dict[str, float]:
    """Return the metrics of one run."""
    call = Call("GET", PATH, (("Authorization", f"Bearer {KEY}"),))
    async with Fleet(make_spec()) as fleet:
        await asyncio.sleep(SLOT_SETTLE_S)
        direct = Client(fleet.nodes["store-1"].backend_port)
        through = Client(fleet.nodes["edge-1"].vm.caller_port)
        direct_samples, through_samples = await measure_both_paths(
            direct, through, call, duration_s
        )
        saturation = await measure_saturation(through, call, duration_s / 4)
        direct.close()
        through.close()
    return {
        "direct_p50_ms": direct_samples.percentile_ms(50),
        "direct_p99_ms": direct_samples.percentile_ms(99),
        "through_p50_ms": through_samples.percentile_ms(50),
        "through_p99_ms": through_samples.percentile_ms(99),
        "added_p50_ms": round(
            through_samples.percentile_ms(50) - direct_samples.percentile_ms(50), 3
        ),
        "added_p99_ms": round(
            through_samples.percentile_ms(99) - direct_samples.percentile_ms(99), 3
        ),
        "saturation_calls_per_s": round(saturation),
        "failed": direct_samples.failed + through_samples.failed,
    }


def main(
    seconds: Annotated[float, typer.Option(help="Duration of the latency measurement, s.")] = 20.0,
) -> None:
    """Measure the latency that two daemons add to a call on loopback, against a direct call."""
    os.environ["UV_USE_IO_URING"] = "0"
    figures = uvloop.run(run_bench(seconds))
    table = Table("figure", "value")
    for name, value in figures.items():
        table.add_row(name, str(value))
    Console().print(table)
    print(json.dumps(figures))


if __name__ == "__main__":
    typer.run(main)
