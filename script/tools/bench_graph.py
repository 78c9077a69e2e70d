"""Bench of admission policies on a call graph whose deepest service is the scarce one."""

import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.graph_model import Arrivals, CallKind, GraphModel, Trouble, surge

from wisteria_admission import AdmissionConfig, DemandConfig
from wisteria_core import Priority
from wisteria_standins import render_svg

DEFAULT_SEED = 20261204
DEFAULT_FOLDER = Path("target") / "bench"
SURGE_MS = (3_000, 9_000)
END_MS = 13_000
STEP_MS = 250
BACK_PART = 0.9
"""Part of the usual goodput at which the service counts as back after a surge."""
HASTY_PART = 0.4
ACCOUNTS = ("small", "large", "hot")
ACCOUNT_PARTS = (0.2, 0.5, 0.3)
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
ROOTS = {"status": 67.0, "order": 27.0, "dispatch": 9.0}
SERVERS = {
    "board": ((54, 0.6), (54, 1.0), (54, 1.4)),
    "desk": ((76, 1.0),) * 2,
    "map": ((101, 1.0),) * 2,
    "crew": ((21, 0.6), (21, 1.0), (21, 1.4)),
}
SCARCE = "crew"
SCARCE_WORK_MS = {"status": 550.0, "order": 275.0, "dispatch": 180.0}
"""Work of one request in the scarce service, by which kinds are weighed against each other."""


@attrs.frozen
class Pattern:
    """A load, and what befalls the scarce service meanwhile.

    Parameters
    ----------
    times : float
        Factor on the usual rates during the surge.
    hot_times : float
        Further factor on one account's rate.
    """

    name: str
    times: float = 1.0
    hot_times: float = 1.0
    hasty_part: float = 0.0
    troubles: tuple[Trouble, ...] = ()


def befall(**changes: float | bool) -> tuple[Trouble, ...]:
    """Return a trouble of the first server of the scarce service."""
    return (Trouble(SCARCE, 0, *SURGE_MS, **changes),)  # type: ignore[arg-type]


PATTERNS = (
    Pattern("usual"),
    Pattern("surge x2", times=2.0),
    Pattern("surge x3, hasty clients", times=3.0, hasty_part=HASTY_PART),
    Pattern("hot account x6", hot_times=6.0),
    Pattern("slow server x5", troubles=befall(slowness=5.0)),
    Pattern("server rejects half", troubles=befall(rejects_part=0.5)),
    Pattern("server joins cold", times=1.3, troubles=befall(is_away=True)),
)
KNEE = 0.95
WAIT = AdmissionConfig(reserve_share=0.02, sheds_children=False)
POLICIES = {
    "pass on": (attrs.evolve(WAIT, demand=DemandConfig(target_utilization=1e6)), 1.0),
    "by the wait": (WAIT, 1.0),
    "by demand": (attrs.evolve(WAIT, demand=DemandConfig()), 1.0),
    "by demand, below the knee": (attrs.evolve(WAIT, demand=DemandConfig()), KNEE),
}
"""Parameters of the gates, and the part of the slots below which they keep."""
KEPT = "by demand, below the knee"


@attrs.frozen
class Figures:
    """What one run shows, during the surge unless said otherwise.

    Parameters
    ----------
    goodput : float
        Work of the scarce service in requests answered in time, as a part of what it could do.
    served : dict
        Part of the requests of each kind, by name, that was answered in time.
    worst_account : float
        Least part of an account's requests that was answered in time, over the whole run.
    refused, failed : int
        Refusals at the root, and admitted requests that were not answered in time.
    wasted_s : float
        Run time spent on the latter, in seconds.
    recovery_s : float or None
        Time after the surge until the usual goodput is back; None if it is not within the run.
    timeline : tuple of float
        Requests answered in time, a second, in steps of `STEP_MS`.
    """

    goodput: float
    served: dict[str, float]
    worst_account: float
    refused: int
    failed: int
    wasted_s: float
    recovery_s: float | None
    timeline: tuple[float, ...]


def play(task: tuple[Pattern, str, int]) -> Figures:
    """Run one pattern under one policy."""
    pattern, policy, seed = task
    admission, limit_part = POLICIES[policy]
    model = GraphModel(
        KINDS,
        SERVERS,
        admission,
        seed,
        troubles=pattern.troubles,
        limit_part=limit_part,
        knee=KNEE,
        knee_slowness=1.3,
    )
    model.run(list_arrivals(pattern), END_MS)
    offered = {kind: per_s * factor(pattern) * length_s() for kind, per_s in ROOTS.items()}
    timeline = count_timeline(model)
    counts = model.counts
    return Figures(
        goodput=sum(
            model.count_served(*SURGE_MS, kind) * work for kind, work in SCARCE_WORK_MS.items()
        )
        / (sum(slots * speed for slots, speed in SERVERS[SCARCE]) * (SURGE_MS[1] - SURGE_MS[0])),
        served={kind: model.count_served(*SURGE_MS, kind) / offered[kind] for kind in ROOTS},
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
    """Return the arrivals of every kind and account."""
    found = []
    for kind, per_s in ROOTS.items():
        for account, part in zip(ACCOUNTS, ACCOUNT_PARTS, strict=True):
            times = pattern.times * (pattern.hot_times if account == "hot" else 1.0)
            rate = surge(per_s * part, times, *SURGE_MS)
            found.append(Arrivals(kind, rate, account, pattern.hasty_part))
    return found


def factor(pattern: Pattern) -> float:
    """Return the factor on the usual rates of all accounts together."""
    hot = ACCOUNT_PARTS[ACCOUNTS.index("hot")]
    return pattern.times * (1.0 + hot * (pattern.hot_times - 1.0))


def length_s() -> float:
    """Return the length of the surge, in seconds."""
    return (SURGE_MS[1] - SURGE_MS[0]) / 1_000


def count_timeline(model: GraphModel) -> tuple[float, ...]:
    """Return the requests answered in time, a second, step by step."""
    return tuple(
        model.count_served(at_ms, at_ms + STEP_MS) * 1_000 / STEP_MS
        for at_ms in range(0, END_MS, STEP_MS)
    )


def find_recovery(timeline: tuple[float, ...]) -> float | None:
    """Return the time after the surge until a second of usual goodput begins, in seconds."""
    steps = 1_000 // STEP_MS
    wanted = BACK_PART * sum(ROOTS.values())
    first = SURGE_MS[1] // STEP_MS
    for start in range(first, len(timeline) - steps + 1):
        if sum(timeline[start : start + steps]) / steps >= wanted:
            return (start - first) * STEP_MS / 1_000
    return None


def print_report(results: dict[tuple[str, str], Figures]) -> None:
    """Print a row for each pattern and policy."""
    table = Table("pattern", "policy", "goodput", *(f"{kind} %" for kind in ROOTS))
    for column in ("worst account %", "refused", "failed", "wasted s", "back after s"):
        table.add_column(column, justify="right")
    for (pattern, policy), figures in results.items():
        table.add_row(
            pattern,
            policy,
            f"{figures.goodput:.2f}",
            *(f"{100 * figures.served[kind]:.0f}" for kind in ROOTS),
            f"{100 * figures.worst_account:.0f}",
            str(figures.refused),
            str(figures.failed),
            f"{figures.wasted_s:.1f}",
            "never" if figures.recovery_s is None else f"{figures.recovery_s:.2f}",
        )
    Console(width=150).print(table)


def write_plots(results: dict[tuple[str, str], Figures], folder: Path) -> None:
    """Write a picture of the goodput over time for each pattern."""
    folder.mkdir(parents=True, exist_ok=True)
    for pattern in PATTERNS:
        lines = {policy: list(results[pattern.name, policy].timeline) for policy in POLICIES}
        picture = render_svg(f"Answered in time: {pattern.name}", lines, STEP_MS / 1_000, "1/s")
        name = "".join(char if char.isalnum() else "-" for char in pattern.name)
        (folder / f"graph-{name}.svg").write_text(picture)


def main(
    seed: Annotated[int, typer.Option(help="Seed of arrivals and run times.")] = DEFAULT_SEED,
    workers: Annotated[int, typer.Option(help="Runs at the same time.")] = 4,
    folder: Annotated[Path, typer.Option(help="Where the plots go.")] = DEFAULT_FOLDER,
) -> None:
    """Run every pattern under every policy and print a report; plots go into a folder."""
    tasks = [(pattern, policy, seed) for pattern in PATTERNS for policy in POLICIES]
    with ProcessPoolExecutor(workers) as executor:
        figures = list(executor.map(play, tasks))
    results = {
        (pattern.name, policy): found
        for (pattern, policy, _), found in zip(tasks, figures, strict=True)
    }
    print_report(results)
    write_plots(results, folder)
    kept = {pattern.name: results[pattern.name, KEPT] for pattern in PATTERNS}
    usual = kept["usual"].goodput
    print(
        json.dumps(
            {
                "usual_goodput": round(usual, 3),
                "surge_goodput": round(kept["surge x2"].goodput, 3),
                "surge_goodput_pass_on": round(results["surge x2", "pass on"].goodput, 3),
                "recovery_s": kept["surge x2"].recovery_s,
                "worst_kind_surge": round(min(kept["surge x2"].served.values()), 3),
                "worst_account_hot": round(kept["hot account x6"].worst_account, 3),
                "seed": seed,
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
