"""Control-plane bench: processor time, bytes and memory of idle daemons."""

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Annotated

import attrs
import typer
import uvloop
from rich.console import Console
from rich.table import Table
from script.tools.control_counts import count_all, time_apply
from script.tools.control_fleet import Measurement, Shape, measure_fleet, read_memory_mb

from wisteria_standins.ports import PortReservations

DEFAULT_SEED = 20261203
MAX_DAEMONS = 60
BASE_ACCOUNTS = 8
TARGET_VMS = 2_700
TARGET_DOMAINS = 11
TARGET_SERVICES = 370
TARGET_CHANGES_PER_S = 1_100 / 86_400
# list versions a day: 550 replaced VMs, each of which joins, leaves and is removed, and 4 failed
# VMs, each of which is removed and replaced
TARGET_LISTS_PER_S = (550 * 3 + 4 * 2) / 86_400
CPU_PERCENT_PER_MS_PER_S = 0.1
# peers of the same failure domain and of the same service, and 6 neighbours in the overlay that
# disseminates configuration versions
TARGET_LINKS = TARGET_VMS / TARGET_DOMAINS - 1 + TARGET_VMS / TARGET_SERVICES - 1 + 6
BARE_SETTLE_S = 1.5

METRICS_PER_CHANGE = ("cpu_percent", "bytes_per_s")

MetricReader = Callable[[Measurement], float]
METRICS: tuple[tuple[str, MetricReader], ...] = (
    ("cpu_percent", lambda item: item.cpu_percent),
    ("bytes_per_s", lambda item: item.bytes_per_s),
    ("memory_mb", lambda item: item.memory_mb),
)


@attrs.frozen
class FittedLine:
    """A straight line fitted by least squares."""

    slope: float
    intercept: float

    def evaluate(self, x: float) -> float:
        """A negative slope is noise and counts as zero."""
        return self.intercept + max(self.slope, 0.0) * x


def fit_line(points: list[tuple[float, float]]) -> FittedLine:
    """The line is flat if all points have the same x."""
    xs, ys = zip(*points, strict=True)
    if len(set(xs)) < 2:
        return FittedLine(0.0, statistics.fmean(ys))
    return FittedLine(*statistics.linear_regression(xs, ys))


async def measure_bare() -> float:
    """Return the resident memory of a process that runs only the call path, in MB."""
    ports = PortReservations()
    command = (
        *(sys.executable, "-m", "script.tools.bare_call_path"),
        *("--port", str(ports.take()), "--seconds", "20"),
    )
    process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        served = (await process.stdout.readline()).decode().strip()
        if served != "HttpCall":
            raise RuntimeError(f"bare call path process served no call, it printed: {served}")
        await asyncio.sleep(BARE_SETTLE_S)
        return read_memory_mb(process.pid)
    finally:
        process.terminate()
        await process.wait()
        ports.release()


def list_fleets(
    sizes: list[int], accounts: list[int], domains: int, changes: list[float]
) -> list[tuple[Shape, tuple[float, ...]]]:
    """Return the fleets, each with its rates of configuration changes."""
    middle = sorted(sizes)[len(sizes) // 2]
    shapes = [Shape(vms=size, domains=domains, accounts=BASE_ACCOUNTS) for size in sizes]
    shapes += [Shape(vms=middle, domains=domains, accounts=number) for number in accounts]
    rates = (0.0, *(rate for rate in changes if rate > 0))
    return [(item, rates if item == shapes[len(sizes) // 2] else (0.0,)) for item in shapes]


def print_measured(console: Console, rows: list[Measurement]) -> None:
    table = Table(title="idle daemons, measured", title_justify="left")
    names = ("VMs", "domains", "accounts", "changes/s", "cpu %", "worst", "B/s", "msg/s")
    for name in (*names, "MB", "worst MB", "links", "start KB", "settle s", "reads/s of all"):
        table.add_column(name, justify="right")
    for item in rows:
        shape = item.shape
        table.add_row(
            *(str(shape.vms), str(shape.domains), str(shape.accounts), f"{shape.changes_per_s:g}"),
            *(f"{item.cpu_percent:.2f}", f"{item.cpu_percent_worst:.2f}"),
            *(f"{item.bytes_per_s:.0f}", f"{item.messages_per_s:.2f}"),
            *(f"{item.memory_mb:.1f}", f"{item.memory_mb_worst:.1f}", f"{item.links:.1f}"),
            *(f"{item.start_bytes / 1_000:.1f}", f"{item.settle_s:.1f}"),
            f"{item.platform_reads_per_s:.1f}",
        )
    console.print(table)


def extrapolate(console: Console, rows: list[Measurement]) -> dict[str, float]:
    """Print the slopes; return the metrics at the target size."""
    idle = [item for item in rows if item.shape.changes_per_s == 0]
    by_size = [item for item in idle if item.shape.accounts == BASE_ACCOUNTS]
    middle = sorted({item.shape.vms for item in by_size})[len({o.shape.vms for o in by_size}) // 2]
    by_account = [item for item in idle if item.shape.vms == middle]
    by_change = [r for r in rows if r.shape.vms == middle and r.shape.accounts == BASE_ACCOUNTS]
    added = dict.fromkeys((name for name, _ in METRICS), 0.0)
    added["cpu_percent"] = estimate_version_cpu_percent(console)
    table = Table(title="slopes", title_justify="left")
    headers = ("figure", "at 0", "per VM", "per link", "per account", "per change/s")
    for name in (*headers, f"at {TARGET_VMS} by VMs", f"at {TARGET_LINKS:.0f} links"):
        table.add_column(name, justify="right")
    metrics: dict[str, float] = {}
    for name, read in METRICS:
        sizes = fit_line([(item.shape.vms, read(item)) for item in by_size])
        links = fit_line([(item.links, read(item)) for item in by_size])
        account = fit_line([(item.shape.accounts, read(item)) for item in by_account])
        change = fit_line([(item.shape.changes_per_s, read(item)) for item in by_change])
        extra = added[name] + (
            max(change.slope, 0.0) * TARGET_CHANGES_PER_S if name in METRICS_PER_CHANGE else 0.0
        )
        by_vms = sizes.evaluate(TARGET_VMS) + extra
        by_links = links.evaluate(TARGET_LINKS) + extra
        slopes = (sizes.slope, links.slope, account.slope, change.slope)
        cells = (sizes.intercept, *slopes, by_vms, by_links)
        table.add_row(name, *(f"{cell:.4g}" for cell in cells))
        metrics[f"{name}_2700"] = round(by_links, 2)
        metrics[f"{name}_2700_by_vms"] = round(by_vms, 2)
    console.print(table)
    return metrics


def estimate_version_cpu_percent(console: Console) -> float:
    """Return the processor time for list and document versions, in percent of a core."""
    times = time_apply(BASE_ACCOUNTS)
    console.print(
        f"at {TARGET_VMS} VMs a version of the list takes {times.list_ms:.0f} ms, "
        f"one of the document {times.document_ms:.0f} ms without validation"
    )
    lists = times.list_ms * TARGET_LISTS_PER_S
    documents = times.document_ms * TARGET_CHANGES_PER_S
    return (lists + documents) * CPU_PERCENT_PER_MS_PER_S


async def run_bench(
    fleets: list[tuple[Shape, tuple[float, ...]]], window_s: float, rng: random.Random
) -> tuple[list[Measurement], float]:
    """Return the measurements, and the memory of the bare process in MB."""
    bare_mb = await measure_bare()
    rows: list[Measurement] = []
    for shape, changes in fleets:
        started = time.monotonic()
        rows += await measure_fleet(shape, changes, window_s, rng)
        elapsed_s = time.monotonic() - started
        last = rows[-1]
        print(
            f"  {shape} took {elapsed_s:.1f} s: {last.cpu_percent:.2f} %, "
            f"{last.bytes_per_s:.0f} B/s, {last.memory_mb:.1f} MB, {last.links:.1f} links",
            flush=True,
        )
    return rows, bare_mb


def main(
    sizes: Annotated[str, typer.Option(help="Fleet sizes in daemons, at most 60.")] = "4,12",
    accounts: Annotated[str, typer.Option(help="Client accounts at the middle size.")] = "80",
    changes: Annotated[str, typer.Option(help="Configuration changes/s at the middle size.")] = "2",
    domains: Annotated[int, typer.Option(help="Failure domains.")] = 3,
    window: Annotated[float, typer.Option(help="Length of each measurement, s.")] = 2.0,
    counts: Annotated[bool, typer.Option(help="Also run the counts at the target size.")] = False,
    seed: Annotated[int, typer.Option(help="Seed of the configuration changes.")] = DEFAULT_SEED,
) -> None:
    """Measure the control-plane work of idle daemons and extrapolate it to 2,700 VMs."""
    os.environ["UV_USE_IO_URING"] = "0"
    fleet_sizes = [int(word) for word in sizes.split(",") if word]
    if max(fleet_sizes) > MAX_DAEMONS:
        raise typer.BadParameter(f"at most {MAX_DAEMONS} daemons", param_hint="--sizes")
    fleets = list_fleets(
        fleet_sizes,
        [int(word) for word in accounts.split(",") if word],
        domains,
        [float(word) for word in changes.split(",") if word],
    )
    console = Console(width=160)
    rows, bare_mb = uvloop.run(run_bench(fleets, window, random.Random(seed)))
    print_measured(console, rows)
    figures = extrapolate(console, rows)
    if counts:
        count_all(console, seed)
    smallest_fleet_mb = statistics.fmean(
        item.memory_mb for item in rows if item.shape.vms == min(fleet_sizes)
    )
    figures |= {
        "memory_mb_bare": round(bare_mb, 1),
        "memory_mb_control": round(smallest_fleet_mb - bare_mb, 1),
    }
    load = round(os.getloadavg()[0], 1)
    print(json.dumps(figures | {"seed": seed, "load_average": load, "cores": os.cpu_count()}))


if __name__ == "__main__":
    typer.run(main)
