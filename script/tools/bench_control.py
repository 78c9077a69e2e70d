"""Bench of control work: processor time, bytes and memory of idle daemons, with their slopes."""

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
from script.tools.control_fleet import Measured, Shape, measure_fleet, read_memory_mb

from wisteria_standins.ports import PortReservations

DEFAULT_SEED = 20261203
MAX_DAEMONS = 60
BASE_ACCOUNTS = 8
TARGET_VMS = 2_700
TARGET_DOMAINS = 11
TARGET_SERVICES = 370
TARGET_CHANGES_PER_S = 1_100 / 86_400
# a replaced VM joins, leaves and is removed; a failed one is removed and replaced
TARGET_LISTS_PER_S = (550 * 3 + 4 * 2) / 86_400
PERCENT_OF_MS_PER_S = 0.1
# peers of the own failure domain and service, and neighbours in the overlay of versions
TARGET_LINKS = TARGET_VMS / TARGET_DOMAINS - 1 + TARGET_VMS / TARGET_SERVICES - 1 + 6
BARE_SETTLE_S = 1.5

PER_CHANGE = ("cpu_percent", "bytes_per_s")

Read = Callable[[Measured], float]
FIGURES: tuple[tuple[str, Read], ...] = (
    ("cpu_percent", lambda one: one.cpu_percent),
    ("bytes_per_s", lambda one: one.bytes_per_s),
    ("memory_mb", lambda one: one.memory_mb),
)


@attrs.frozen
class Line:
    """A straight line fitted by least squares."""

    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the value at `x`; a falling line is noise and counts as flat."""
        return self.intercept + max(self.slope, 0.0) * x


def fit(points: list[tuple[float, float]]) -> Line:
    """Return the line through points; flat when they have one x alone."""
    xs, ys = zip(*points, strict=True)
    if len(set(xs)) < 2:
        return Line(0.0, statistics.fmean(ys))
    return Line(*statistics.linear_regression(xs, ys))


async def measure_bare() -> float:
    """Return the resident memory of a process with the bare call path, in MB."""
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
            raise RuntimeError(f"the bare process served no call: {served}")
        await asyncio.sleep(BARE_SETTLE_S)
        return read_memory_mb(process.pid)
    finally:
        process.terminate()
        await process.wait()
        ports.release()


def list_fleets(
    sizes: list[int], accounts: list[int], domains: int, changes: list[float]
) -> list[tuple[Shape, tuple[float, ...]]]:
    """Return the fleets of a run, each with its rates of configuration changes."""
    middle = sorted(sizes)[len(sizes) // 2]
    shapes = [Shape(vms=size, domains=domains, accounts=BASE_ACCOUNTS) for size in sizes]
    shapes += [Shape(vms=middle, domains=domains, accounts=number) for number in accounts]
    rates = (0.0, *(rate for rate in changes if rate > 0))
    return [(one, rates if one == shapes[len(sizes) // 2] else (0.0,)) for one in shapes]


def print_measured(console: Console, rows: list[Measured]) -> None:
    """Print every window as measured."""
    table = Table(title="idle daemons as measured", title_justify="left")
    names = ("VMs", "domains", "accounts", "changes/s", "cpu %", "worst", "B/s", "msg/s")
    for name in (*names, "MB", "worst MB", "links", "start KB", "settle s", "reads/s of all"):
        table.add_column(name, justify="right")
    for one in rows:
        shape = one.shape
        table.add_row(
            *(str(shape.vms), str(shape.domains), str(shape.accounts), f"{shape.changes_per_s:g}"),
            *(f"{one.cpu_percent:.2f}", f"{one.cpu_percent_worst:.2f}"),
            *(f"{one.bytes_per_s:.0f}", f"{one.messages_per_s:.2f}"),
            *(f"{one.memory_mb:.1f}", f"{one.memory_mb_worst:.1f}", f"{one.links:.1f}"),
            *(f"{one.start_bytes / 1_000:.1f}", f"{one.settle_s:.1f}"),
            f"{one.platform_reads_per_s:.1f}",
        )
    console.print(table)


def extrapolate(console: Console, rows: list[Measured]) -> dict[str, float]:
    """Print the slopes and return the figures at the size that users plan for."""
    idle = [one for one in rows if one.shape.changes_per_s == 0]
    by_size = [one for one in idle if one.shape.accounts == BASE_ACCOUNTS]
    middle = sorted({one.shape.vms for one in by_size})[len({o.shape.vms for o in by_size}) // 2]
    by_account = [one for one in idle if one.shape.vms == middle]
    by_change = [r for r in rows if r.shape.vms == middle and r.shape.accounts == BASE_ACCOUNTS]
    added = dict.fromkeys((name for name, _ in FIGURES), 0.0)
    added["cpu_percent"] = time_versions(console)
    table = Table(title="slopes", title_justify="left")
    heads = ("figure", "at 0", "per VM", "per link", "per account", "per change/s")
    for name in (*heads, f"at {TARGET_VMS} by VMs", f"at {TARGET_LINKS:.0f} links"):
        table.add_column(name, justify="right")
    found: dict[str, float] = {}
    for name, read in FIGURES:
        sizes = fit([(one.shape.vms, read(one)) for one in by_size])
        links = fit([(one.links, read(one)) for one in by_size])
        account = fit([(one.shape.accounts, read(one)) for one in by_account])
        change = fit([(one.shape.changes_per_s, read(one)) for one in by_change])
        extra = added[name] + (
            max(change.slope, 0.0) * TARGET_CHANGES_PER_S if name in PER_CHANGE else 0.0
        )
        by_vms = sizes.at(TARGET_VMS) + extra
        by_links = links.at(TARGET_LINKS) + extra
        slopes = (sizes.slope, links.slope, account.slope, change.slope)
        cells = (sizes.intercept, *slopes, by_vms, by_links)
        table.add_row(name, *(f"{cell:.4g}" for cell in cells))
        found[f"{name}_2700"] = round(by_links, 2)
        found[f"{name}_2700_by_vms"] = round(by_vms, 2)
    console.print(table)
    return found


def time_versions(console: Console) -> float:
    """Return what versions of list and document cost at the target, in percent of a core."""
    times = time_apply(BASE_ACCOUNTS)
    console.print(
        f"at {TARGET_VMS} VMs a version of the list takes {times.list_ms:.0f} ms, "
        f"one of the document {times.document_ms:.0f} ms without validation"
    )
    lists = times.list_ms * TARGET_LISTS_PER_S
    documents = times.document_ms * TARGET_CHANGES_PER_S
    return (lists + documents) * PERCENT_OF_MS_PER_S


async def run_bench(
    fleets: list[tuple[Shape, tuple[float, ...]]], window_s: float, rng: random.Random
) -> tuple[list[Measured], float]:
    """Return what was measured, and the memory of the bare process in MB."""
    bare_mb = await measure_bare()
    rows: list[Measured] = []
    for shape, changes in fleets:
        started = time.monotonic()
        rows += await measure_fleet(shape, changes, window_s, rng)
        took_s = time.monotonic() - started
        last = rows[-1]
        print(
            f"  {shape} took {took_s:.1f} s: {last.cpu_percent:.2f} %, "
            f"{last.bytes_per_s:.0f} B/s, {last.memory_mb:.1f} MB, {last.links:.1f} links",
            flush=True,
        )
    return rows, bare_mb


def main(
    sizes: Annotated[str, typer.Option(help="Fleet sizes in daemons, at most 60.")] = "4,12",
    accounts: Annotated[str, typer.Option(help="Client accounts at the middle size.")] = "80",
    changes: Annotated[str, typer.Option(help="Configuration changes/s there.")] = "2",
    domains: Annotated[int, typer.Option(help="Failure domains.")] = 3,
    window: Annotated[float, typer.Option(help="Length of each measurement, s.")] = 2.0,
    counts: Annotated[bool, typer.Option(help="Also count pure nodes at the target.")] = False,
    seed: Annotated[
        int, typer.Option(help="Seed of the changes and of pure nodes.")
    ] = DEFAULT_SEED,
) -> None:
    """Measure control work of idle daemons and extrapolate it to 2,700 VMs."""
    os.environ["UV_USE_IO_URING"] = "0"
    chosen = [int(word) for word in sizes.split(",") if word]
    if max(chosen) > MAX_DAEMONS:
        raise typer.BadParameter(f"at most {MAX_DAEMONS} daemons", param_hint="--sizes")
    fleets = list_fleets(
        chosen,
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
    own_mb = statistics.fmean(one.memory_mb for one in rows if one.shape.vms == min(chosen))
    figures |= {
        "memory_mb_bare": round(bare_mb, 1),
        "memory_mb_control": round(own_mb - bare_mb, 1),
    }
    load = round(os.getloadavg()[0], 1)
    print(json.dumps(figures | {"seed": seed, "load_average": load, "cores": os.cpu_count()}))


if __name__ == "__main__":
    typer.run(main)
