"""Compares concurrency limiters and queue orders on a simulated backend server."""

import json
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.bench_admission_simulation import (
    BASE_LOAD,
    CAPACITY_PER_MS,
    END_MS,
    SURGE_MS,
    WARM_UP_MS,
    WINDOW_MS,
    Order,
    RunCounters,
    Scenario,
    Simulation,
    Slowdown,
)

from wisteria_core import Priority


@attrs.frozen
class RunSummary:
    """Metrics of one run.

    Parameters
    ----------
    worst_account_share : float
        Lowest fraction of its fair share that any account received.
    wasted : int
        Calls that the server finished after the deadline or after the request was answered.
    calm_loss : float
        Fraction of the requests before the surge that failed.
    """

    goodput_per_s: float
    recovery_s: float | None
    urgent_success: float
    worst_account_share: float
    wasted: int
    calm_loss: float


def summarize(counters: RunCounters) -> RunSummary:
    surge = range(WARM_UP_MS // WINDOW_MS, (WARM_UP_MS + SURGE_MS) // WINDOW_MS)
    goodput = sum(counters.goodput[window] for window in surge)
    urgent = counters.arrived[Priority.URGENT]
    return RunSummary(
        goodput / (SURGE_MS / 1_000),
        recovery_s(counters),
        counters.succeeded[Priority.URGENT] / max(1, urgent),
        min_fair_share_ratio(counters),
        counters.wasted,
        1.0 - counters.calm_goodput / max(1, counters.calm_arrived),
    )


def recovery_s(counters: RunCounters) -> float | None:
    """Return the time from the end of the surge to the first second at 90% of the base load.

    None if no such second begins before the run ends.
    """
    required = 0.9 * BASE_LOAD * CAPACITY_PER_MS * 1_000
    first = (WARM_UP_MS + SURGE_MS) // WINDOW_MS
    windows = 1_000 // WINDOW_MS
    for start in range(first, END_MS // WINDOW_MS - windows):
        if sum(counters.goodput[window] for window in range(start, start + windows)) >= required:
            return (start - first) * WINDOW_MS / 1_000
    return None


def min_fair_share_ratio(counters: RunCounters) -> float:
    """Return the lowest fraction of its fair share that any account received.

    Shares are max-min fair among the accounts. They are computed for each priority and each
    second of arrival, from the requests that were answered in time.
    """
    shares: dict[str, float] = defaultdict(float)
    for second, priority in {
        (second, priority) for _, second, priority in counters.account_arrived
    }:
        add_shares(counters, second, priority, shares)
    received: Counter[str] = Counter()
    for (account, _, _), count in counters.account_goodput.items():
        received[account] += count
    return min(received[account] / max(1.0, share) for account, share in shares.items())


def add_shares(
    counters: RunCounters, second: int, priority: Priority, shares: dict[str, float]
) -> None:
    """Add the max-min fair shares of one priority and second to `shares`."""
    accounts = {name for name, _, _ in counters.account_arrived}
    arrived = {name: counters.account_arrived[name, second, priority] for name in accounts}
    remaining = float(sum(counters.account_goodput[name, second, priority] for name in accounts))
    for index, account in enumerate(sorted(arrived, key=lambda name: arrived[name])):
        share = min(float(arrived[account]), remaining / (len(arrived) - index))
        remaining -= share
        shares[account] += share


POLICIES = (
    ("aimd", Order.FAIR),
    ("gradient", Order.FAIR),
    ("none", Order.FAIR),
    ("aimd", Order.FIFO),
    ("aimd", Order.LIFO),
)
LOADS = (1, 2, 4, 8)
SELECTED_POLICY = ("aimd", Order.FAIR)


def measure(scenario: Scenario) -> RunSummary:
    return summarize(Simulation(scenario).run())


def run_all(seed: int, workers: int) -> dict[Scenario, RunSummary]:
    scenarios = [
        Scenario(limiter, order, load, slowdown, seed)
        for slowdown in Slowdown
        for limiter, order in POLICIES
        for load in LOADS
    ]
    with ProcessPoolExecutor(workers) as executor:
        return dict(zip(scenarios, executor.map(measure, scenarios), strict=True))


def print_table(results: dict[Scenario, RunSummary]) -> None:
    table = Table("slowdown", "limiter", "queue", "load", "goodput/s", "recovery s")
    for column in ("urgent", "worst account", "wasted", "calm loss"):
        table.add_column(column)
    for scenario, figures in results.items():
        table.add_row(
            scenario.slowdown.value,
            scenario.limiter,
            scenario.order.value,
            f"{scenario.load}x",
            f"{figures.goodput_per_s:.0f}",
            "never" if figures.recovery_s is None else f"{figures.recovery_s:.2f}",
            f"{figures.urgent_success:.3f}",
            f"{figures.worst_account_share:.2f}",
            str(figures.wasted),
            f"{figures.calm_loss:.3f}",
        )
    Console(width=100).print(table)


def main(
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    workers: Annotated[int, typer.Option(help="Processes to run the simulations in.")] = 2,
) -> None:
    """Compare limiters and queue orders in simulated time.

    The load is 0.9 of the capacity and rises for 6 s to the multiple in the table. For 3 s of
    that, the backend server falls to a third of its speed or capacity. The last line is one JSON
    object.
    """
    results = run_all(seed, workers)
    print_table(results)
    summary: dict[str, object] = {"seed": seed}
    for slowdown in Slowdown:
        one, four = (results[Scenario(*SELECTED_POLICY, load, slowdown, seed)] for load in (1, 4))
        summary[slowdown.value] = {
            "goodput_ratio_4x": round(four.goodput_per_s / one.goodput_per_s, 3),
            "recovery_s": four.recovery_s,
            "urgent_success_4x": round(four.urgent_success, 4),
            "worst_account_share": round(four.worst_account_share, 3),
            "calm_loss": round(one.calm_loss, 4),
        }
    typer.echo(json.dumps(summary))


if __name__ == "__main__":
    typer.run(main)
