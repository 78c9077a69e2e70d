"""Bench of admission policies on a call graph with its bottleneck in the deepest service."""

import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.graph_model import Arrivals, CallKind, GraphModel, ServerFault, surge

from wisteria_admission import AdmissionConfig, DemandConfig
from wisteria_core import Priority
from wisteria_standins import render_svg

DEFAULT_SEED = 20261204
DEFAULT_FOLDER = Path("target") / "bench"
SURGE_MS = (3_000, 9_000)
END_MS = 13_000
STEP_MS = 250
RECOVERED_FRACTION = 0.9
"""Fraction of the usual goodput at which the service counts as recovered after a surge."""
AGGRESSIVE_FRACTION = 0.4
ACCOUNTS = ("small", "large", "hot")
ACCOUNT_FRACTIONS = (0.2, 0.5, 0.3)
KINDS = {
    kind.name: kind
    for kind in (
        CallKind("status", "board", 220, (("registry", 2),), timeout_ms=1_500),
        CallKind("order", "desk", 290, (("index", 1),), Priority.URGENT, 1_800),
        CallKind("dispatch", "crew", 180, (), timeout_ms=500),
        CallKind("registry", "desk", 15, (("index", 1),)),
        CallKind("index", "map", 15, (("roster", 5),)),
        CallKind("roster", "crew", 55),
    )
}
ROOT_RATES_PER_S = {"status": 67.0, "order": 27.0, "dispatch": 9.0}
SERVERS = {
    "board": ((54, 0.6), (54, 1.0), (54, 1.4)),
    "desk": ((76, 1.0),) * 2,
    "map": ((101, 1.0),) * 2,
    "crew": ((21, 0.6), (21, 1.0), (21, 1.4)),
}
BOTTLENECK = "crew"
BOTTLENECK_WORK_MS = {"status": 550.0, "order": 275.0, "dispatch": 180.0}
"""Work of one request in the bottleneck service; goodput weights the kinds of call by it."""


@attrs.frozen
class Pattern:
    """A load pattern, and the faults of the bottleneck service during the surge.

    Parameters
    ----------
    load_factor : float
        Factor on the usual rates during the surge.
    hot_account_factor : float
        Further factor on the rate of the account "hot".
    aggressive_fraction : float
        Fraction of the clients that retry at once and several times.
    """

    name: str
    load_factor: float = 1.0
    hot_account_factor: float = 1.0
    aggressive_fraction: float = 0.0
    faults: tuple[ServerFault, ...] = ()


def make_fault(**changes: float | bool) -> tuple[ServerFault, ...]:
    """The fault hits the first server of the bottleneck service during the surge."""
    return (ServerFault(BOTTLENECK, 0, *SURGE_MS, **changes),)  # type: ignore[arg-type]


PATTERNS = (
    Pattern("usual"),
    Pattern("surge x2", load_factor=2.0),
    Pattern("surge x3, hasty clients", load_factor=3.0, aggressive_fraction=AGGRESSIVE_FRACTION),
    Pattern("hot account x6", hot_account_factor=6.0),
    Pattern("slow server x5", faults=make_fault(slowness=5.0)),
    Pattern("server rejects half", faults=make_fault(rejection_rate=0.5)),
    Pattern("server joins cold", load_factor=1.3, faults=make_fault(is_absent=True)),
)
KNEE_FRACTION = 0.95
WAIT_CONFIG = AdmissionConfig(reserve_share=0.02, sheds_children=False)
POLICIES = {
    "pass on": (attrs.evolve(WAIT_CONFIG, demand=DemandConfig(target_utilization=1e6)), 1.0),
    "by the wait": (WAIT_CONFIG, 1.0),
    "by demand": (attrs.evolve(WAIT_CONFIG, demand=DemandConfig()), 1.0),
    "by demand, below the knee": (attrs.evolve(WAIT_CONFIG, demand=DemandConfig()), KNEE_FRACTION),
}
"""Configuration of the gates, and the fraction of the slots below which they keep their limit."""
SELECTED_POLICY = "by demand, below the knee"


@attrs.frozen
class RunSummary:
    """Metrics of one run, during the surge unless stated otherwise.

    Parameters
    ----------
    goodput : float
        Work of the bottleneck service on requests answered in time, divided by its capacity.
    served : dict
        Fraction of the requests answered in time, by kind.
    worst_account : float
        Lowest fraction of an account's requests answered in time, over the whole run.
    refused, failed : int
        Refusals at the root, and admitted requests not answered in time, over the whole run.
    wasted_s : float
        Run time spent on the failed requests, in seconds.
    recovery_s : float or None
        Time from the end of the surge to recovery; None if the run ends before.
    timeline : tuple of float
        Requests per second answered in time, in steps of `STEP_MS`.
    """

    goodput: float
    served: dict[str, float]
    worst_account: float
    refused: int
    failed: int
    wasted_s: float
    recovery_s: float | None
    timeline: tuple[float, ...]


def run_pattern(task: tuple[Pattern, str, int]) -> RunSummary:
    pattern, policy, seed = task
    admission, limit_fraction = POLICIES[policy]
    model = GraphModel(
        KINDS,
        SERVERS,
        admission,
        seed,
        faults=pattern.faults,
        limit_fraction=limit_fraction,
        knee=KNEE_FRACTION,
        knee_slowness=1.3,
    )
    model.run(list_arrivals(pattern), END_MS)
    offered = {
        kind: per_s * total_load_factor(pattern) * surge_length_s()
        for kind, per_s in ROOT_RATES_PER_S.items()
    }
    timeline = compute_timeline(model)
    counts = model.counts
    return RunSummary(
        goodput=sum(
            model.count_served(*SURGE_MS, kind) * work for kind, work in BOTTLENECK_WORK_MS.items()
        )
        / (
            sum(slots * speed for slots, speed in SERVERS[BOTTLENECK]) * (SURGE_MS[1] - SURGE_MS[0])
        ),
        served={
            kind: model.count_served(*SURGE_MS, kind) / offered[kind] for kind in ROOT_RATES_PER_S
        },
        worst_account=min(
            model.by_account[name, "served"] / max(1, model.by_account[name, "asked"])
            for name in ACCOUNTS
        ),
        refused=sum(count for (_, outcome), count in counts.items() if outcome == "refused"),
        failed=sum(count for (_, outcome), count in counts.items() if outcome == "failed"),
        wasted_s=model.wasted_ms / 1_000,
        recovery_s=find_recovery(timeline),
        timeline=timeline,
    )


def list_arrivals(pattern: Pattern) -> list[Arrivals]:
    found = []
    for kind, per_s in ROOT_RATES_PER_S.items():
        for account, fraction in zip(ACCOUNTS, ACCOUNT_FRACTIONS, strict=True):
            load_factor = pattern.load_factor * (
                pattern.hot_account_factor if account == "hot" else 1.0
            )
            rate = surge(per_s * fraction, load_factor, *SURGE_MS)
            found.append(Arrivals(kind, rate, account, pattern.aggressive_fraction))
    return found


def total_load_factor(pattern: Pattern) -> float:
    """Return the factor on the usual total rate of all accounts."""
    hot = ACCOUNT_FRACTIONS[ACCOUNTS.index("hot")]
    return pattern.load_factor * (1.0 + hot * (pattern.hot_account_factor - 1.0))


def surge_length_s() -> float:
    return (SURGE_MS[1] - SURGE_MS[0]) / 1_000


def compute_timeline(model: GraphModel) -> tuple[float, ...]:
    """Return the requests per second answered in time, for each step."""
    return tuple(
        model.count_served(at_ms, at_ms + STEP_MS) * 1_000 / STEP_MS
        for at_ms in range(0, END_MS, STEP_MS)
    )


def find_recovery(timeline: tuple[float, ...]) -> float | None:
    """Return the seconds from the surge's end to the first second of recovered goodput."""
    steps = 1_000 // STEP_MS
    required = RECOVERED_FRACTION * sum(ROOT_RATES_PER_S.values())
    first = SURGE_MS[1] // STEP_MS
    for start in range(first, len(timeline) - steps + 1):
        if sum(timeline[start : start + steps]) / steps >= required:
            return (start - first) * STEP_MS / 1_000
    return None


def print_report(results: dict[tuple[str, str], RunSummary]) -> None:
    table = Table("pattern", "policy", "goodput", *(f"{kind} %" for kind in ROOT_RATES_PER_S))
    for column in ("worst account %", "refused", "failed", "wasted s", "recovery s"):
        table.add_column(column, justify="right")
    for (pattern, policy), figures in results.items():
        table.add_row(
            pattern,
            policy,
            f"{figures.goodput:.2f}",
            *(f"{100 * figures.served[kind]:.0f}" for kind in ROOT_RATES_PER_S),
            f"{100 * figures.worst_account:.0f}",
            str(figures.refused),
            str(figures.failed),
            f"{figures.wasted_s:.1f}",
            "never" if figures.recovery_s is None else f"{figures.recovery_s:.2f}",
        )
    Console(width=150).print(table)


def write_plots(results: dict[tuple[str, str], RunSummary], folder: Path) -> None:
    """Write an SVG plot of the goodput over time for each pattern."""
    folder.mkdir(parents=True, exist_ok=True)
    for pattern in PATTERNS:
        lines = {policy: list(results[pattern.name, policy].timeline) for policy in POLICIES}
        svg = render_svg(f"Answered in time: {pattern.name}", lines, STEP_MS / 1_000, "1/s")
        name = "".join(char if char.isalnum() else "-" for char in pattern.name)
        (folder / f"graph-{name}.svg").write_text(svg)


def main(
    seed: Annotated[int, typer.Option(help="Seed of arrivals and run times.")] = DEFAULT_SEED,
    workers: Annotated[int, typer.Option(help="Simulations to run in parallel.")] = 4,
    folder: Annotated[Path, typer.Option(help="Folder for the plots.")] = DEFAULT_FOLDER,
) -> None:
    """Simulate every pattern under every policy, print a report and write plots to a folder."""
    tasks = [(pattern, policy, seed) for pattern in PATTERNS for policy in POLICIES]
    with ProcessPoolExecutor(workers) as executor:
        figures = list(executor.map(run_pattern, tasks))
    results = {
        (pattern.name, policy): found
        for (pattern, policy, _), found in zip(tasks, figures, strict=True)
    }
    print_report(results)
    write_plots(results, folder)
    selected = {pattern.name: results[pattern.name, SELECTED_POLICY] for pattern in PATTERNS}
    usual = selected["usual"].goodput
    print(
        json.dumps(
            {
                "usual_goodput": round(usual, 3),
                "surge_goodput": round(selected["surge x2"].goodput, 3),
                "surge_goodput_pass_on": round(results["surge x2", "pass on"].goodput, 3),
                "recovery_s": selected["surge x2"].recovery_s,
                "worst_kind_surge": round(min(selected["surge x2"].served.values()), 3),
                "worst_account_hot": round(selected["hot account x6"].worst_account, 3),
                "seed": seed,
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
