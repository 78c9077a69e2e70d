"""Weighs concurrency limiters and queue orders on a simulated backend server."""

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
    WARM_MS,
    WINDOW_MS,
    Order,
    Scenario,
    Simulation,
    Slowdown,
    Tally,
)

from wisteria_core import Priority


@attrs.frozen
class Figures:
    """Results of one run."""

    goodput_per_s: float
    recovery_s: float | None
    urgent_success: float
    worst_account_share: float
    wasted: int
    calm_loss: float


def summarize(tally: Tally) -> Figures:
    """Reduce a tally to the figures that are compared."""
    surge = range(WARM_MS // WINDOW_MS, (WARM_MS + SURGE_MS) // WINDOW_MS)
    good = sum(tally.good[window] for window in surge)
    urgent = tally.born[Priority.URGENT]
    return Figures(
        good / (SURGE_MS / 1_000),
        recovery_s(tally),
        tally.succeeded[Priority.URGENT] / max(1, urgent),
        worst_share(tally),
        tally.wasted,
        1.0 - tally.calm_good / max(1, tally.calm_born),
    )


def recovery_s(tally: Tally) -> float | None:
    """Return the time from the surge's end until a second passes at 90% of the base load.

    None when it does not come before the end.
    """
    wanted = 0.9 * BASE_LOAD * CAPACITY_PER_MS * 1_000
    first = (WARM_MS + SURGE_MS) // WINDOW_MS
    windows = 1_000 // WINDOW_MS
    for start in range(first, END_MS // WINDOW_MS - windows):
        if sum(tally.good[window] for window in range(start, start + windows)) >= wanted:
            return (start - first) * WINDOW_MS / 1_000
    return None


def worst_share(tally: Tally) -> float:
    """Return the least part that an account got of its fair share.

    The share is max-min fair among the accounts, of what was served of each priority of the
    requests born in each second.
    """
    shares: dict[str, float] = defaultdict(float)
    for second, priority in {(second, priority) for _, second, priority in tally.account_born}:
        add_shares(tally, second, priority, shares)
    got: Counter[str] = Counter()
    for (account, _, _), count in tally.account_good.items():
        got[account] += count
    return min(got[account] / max(1.0, share) for account, share in shares.items())


def add_shares(tally: Tally, second: int, priority: Priority, shares: dict[str, float]) -> None:
    """Add the max-min fair shares of one priority in one second."""
    accounts = {name for name, _, _ in tally.account_born}
    born = {name: tally.account_born[name, second, priority] for name in accounts}
    left = float(sum(tally.account_good[name, second, priority] for name in accounts))
    for index, account in enumerate(sorted(born, key=lambda name: born[name])):
        share = min(float(born[account]), left / (len(born) - index))
        left -= share
        shares[account] += share


POLICIES = (
    ("aimd", Order.FAIR),
    ("gradient", Order.FAIR),
    ("none", Order.FAIR),
    ("aimd", Order.FIFO),
    ("aimd", Order.LIFO),
)
LOADS = (1, 2, 4, 8)
KEPT = ("aimd", Order.FAIR)


def measure(scenario: Scenario) -> Figures:
    """Run one scenario."""
    return summarize(Simulation(scenario).run())


def run_all(seed: int, workers: int) -> dict[Scenario, Figures]:
    """Run every policy, load and kind of slowdown."""
    scenarios = [
        Scenario(limiter, order, load, slowdown, seed)
        for slowdown in Slowdown
        for limiter, order in POLICIES
        for load in LOADS
    ]
    with ProcessPoolExecutor(workers) as executor:
        return dict(zip(scenarios, executor.map(measure, scenarios), strict=True))


def print_table(results: dict[Scenario, Figures]) -> None:
    """Print one row for each run."""
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

    The load stands at 0.9 of the capacity, surges for 6 s to the multiple in the table, and the
    backend server slows to a third for 3 s of that. The last line is one JSON object.
    """
    results = run_all(seed, workers)
    print_table(results)
    summary: dict[str, object] = {"seed": seed}
    for slowdown in Slowdown:
        one, four = (results[Scenario(*KEPT, load, slowdown, seed)] for load in (1, 4))
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
