"""Overload bench: three chained services with and without the layer, aggressive clients."""

import json
import os
from typing import Annotated, Any

import anyio
import attrs
import typer
import uvloop
from rich.console import Console
from rich.table import Table
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_standins.behaviour import Behaviour, ChildCall, Rule, ServiceTime
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import Baseline, FleetSpec, ServiceSpec
from wisteria_standins.load import async_run_load
from wisteria_standins.load_spec import (
    AGGRESSIVE_RETRIES,
    Flow,
    LoadSpec,
    OpenLoop,
    Phase,
    Target,
)
from wisteria_standins.results import LoadResults

DEFAULT_SEED = 20261203
DEEP_SLOTS = 20
DEEP_MS = 300.0
VMS = 2
CAPACITY_PER_S = VMS * DEEP_SLOTS * 1_000.0 / DEEP_MS
LEVELS = (1, 2, 4, 8)
BASELINE_LEVELS = (1, 4)
LEVEL_S = 3.0
CALM_S, SURGE_S, AFTER_S = 2.0, 3.0, 4.0
CALM_LOAD, SURGE_LOAD = 0.7, 4.0
SLOW_FACTOR = 3.0
STEP_S = 0.25
RECOVERED_FRACTION = 0.9
SUSTAINED_FRACTION = 0.75
DEADLINE_MS = 3_000
RETRY_ALLOWANCE = 3
SETTLE_S = 8.0
URGENT_SHARE = 0.05
ORDER_SHARE = 0.05
WRONGFUL_CODES = ("210", "211")
ACCOUNTS = ("wardens", "guides", "crews", "surveyor")
SURVEYOR_LOAD, OTHER_LOAD = 5 / 3, 0.3


@attrs.define
class VariantResults:
    """Results of one variant: with or without the layer.

    Parameters
    ----------
    levels : dict
        Results by offered load, which is a multiple of the capacity.
    surge, neighbour : LoadResults
        Results of the surge with a slowed deep service, and of the run in which one account
        offers 5x its share.
    max_runs_of_request, max_runs_of_order : int
        Highest number of runs of a request id at one service, and of an idempotency key.
    """

    levels: dict[int, LoadResults] = attrs.field(factory=dict)
    surge: LoadResults = attrs.field(factory=LoadResults)
    neighbour: LoadResults = attrs.field(factory=LoadResults)
    max_runs_of_request: int = 0
    max_runs_of_order: int = 0


def make_key(account: str) -> str:
    return f"bench-overload-{account}"


def make_spec(with_layer: bool) -> FleetSpec:
    """Return the chain front -> middle -> deep, two VMs each."""
    quick = ServiceTime("constant", 1.0)
    front = Rule("/", quick, children=(ChildCall("/middle"),))
    middle = Rule("/", quick, children=(ChildCall("/deep"),))
    deep = Rule("/", ServiceTime("exponential", DEEP_MS))
    services = (
        ServiceSpec("front", VMS, Behaviour(slots=200, rules=(front,))),
        ServiceSpec("middle", VMS, Behaviour(slots=200, rules=(middle,))),
        ServiceSpec("deep", VMS, Behaviour(slots=DEEP_SLOTS, rules=(deep,))),
    )
    accounts = tuple(AccountPlan(name, make_key(name), 10_000, 10_000) for name in ACCOUNTS)
    routes = tuple(
        attrs.evolve(route, deadline_ms=DEADLINE_MS, retry_allowance=RETRY_ALLOWANCE)
        for route in (
            RoutePlan("status", "front", "/status"),
            RoutePlan("closure", "front", "/closure", priority="urgent"),
            RoutePlan("dispatch", "front", "/dispatch", "POST", False, "high"),
            RoutePlan("middle", "middle", "/middle"),
            RoutePlan("deep", "deep", "/deep"),
        )
    )
    baseline = Baseline(
        {"/middle": "middle", "/deep": "deep", "/": "front"},
        attempts=RETRY_ALLOWANCE,
        timeout_ms=DEADLINE_MS,
    )
    return FleetSpec(
        services,
        make_document(1, accounts, routes),
        ("north", "south"),
        log_level="warning",
        baseline=None if with_layer else baseline,
    )


def make_flows(weights: dict[str, float]) -> tuple[Flow, ...]:
    """Return the reads of each account, and urgent and non-repeatable calls."""

    def make(name: str, path: str, account: str, weight: float, **options: Any) -> Flow:
        return Flow(
            name,
            path,
            account=account,
            key=make_key(account),
            deadline_ms=DEADLINE_MS,
            weight=weight,
            retry=AGGRESSIVE_RETRIES,
            **options,
        )

    reads = tuple(
        make("status", "/status/{n}", account, weight) for account, weight in weights.items()
    )
    total = sum(weights.values())
    urgent = make("closure", "/closure/{n}", "wardens", total * URGENT_SHARE, priority="urgent")
    order = make(
        "dispatch",
        "/dispatch/{n}",
        "crews",
        total * ORDER_SHARE,
        method="POST",
        priority="high",
        with_idempotency_key=True,
    )
    return (*reads, urgent, order)


@attrs.define
class Bench:
    """Offers every load to one fleet."""

    fleet: Fleet
    seed: int
    levels: tuple[int, ...] = LEVELS

    async def run(self) -> VariantResults:
        collected = VariantResults()
        even_flows = make_flows({"guides": 1.0, "crews": 1.0, "surveyor": 1.0})
        for level in self.levels:
            phases = (Phase(LEVEL_S, level * CAPACITY_PER_S),)
            collected.levels[level] = await self._offer(phases, even_flows, f"{level}x")
        collected.neighbour = await self._offer(
            (Phase(LEVEL_S, (SURVEYOR_LOAD + 2 * OTHER_LOAD) * CAPACITY_PER_S),),
            make_flows({"guides": OTHER_LOAD, "crews": OTHER_LOAD, "surveyor": SURVEYOR_LOAD}),
            "neighbour",
        )
        await self._surge(even_flows, collected)
        await self._count_runs(collected)
        return collected

    async def _offer(
        self, phases: tuple[Phase, ...], flows: tuple[Flow, ...], name: str
    ) -> LoadResults:
        """`name` keeps the request ids distinct from those of other loads."""
        flows = tuple(attrs.evolve(flow, name=f"{name}-{flow.name}") for flow in flows)
        targets = tuple(
            Target(node.vm.caller_port)
            for node in self.fleet.nodes.values()
            if node.vm.service == "front"
        )
        return await async_run_load(
            LoadSpec(targets, flows, OpenLoop(phases), seed=self.seed, bucket_s=STEP_S)
        )

    async def _surge(self, flows: tuple[Flow, ...], collected: VariantResults) -> None:
        """Offer a surge during which the deep service is slow."""
        phases = (
            Phase(CALM_S, CALM_LOAD * CAPACITY_PER_S, "calm"),
            Phase(SURGE_S, SURGE_LOAD * CAPACITY_PER_S, "surge"),
            Phase(AFTER_S, CALM_LOAD * CAPACITY_PER_S, "after"),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._slow_down)
            collected.surge = await self._offer(phases, flows, "surge")

    async def _slow_down(self) -> None:
        await anyio.sleep(CALM_S)
        await self._set_deep(SLOW_FACTOR)
        await anyio.sleep(SURGE_S)
        await self._set_deep(1.0)

    async def _set_deep(self, factor: float) -> None:
        for vm_id, node in self.fleet.nodes.items():
            if node.vm.service == "deep":
                await self.fleet.async_set_backend(vm_id, slow_factor=factor)

    async def _count_runs(self, collected: VariantResults) -> None:
        for service in ("front", "middle", "deep"):
            by_request: dict[str, int] = {}
            by_key: dict[str, int] = {}
            for vm_id, node in self.fleet.nodes.items():
                if node.vm.service != service:
                    continue
                runs = await self.fleet.async_runs(vm_id)
                for name, count in runs["by_request"].items():
                    by_request[name] = by_request.get(name, 0) + count
                if service == "front":
                    for name, count in runs["by_key"].items():
                        by_key[name] = by_key.get(name, 0) + count
            collected.max_runs_of_request = max(
                collected.max_runs_of_request, *by_request.values(), 0
            )
            collected.max_runs_of_order = max(collected.max_runs_of_order, *by_key.values(), 0)


def measure_goodput(results: LoadResults, seconds: float) -> float:
    """Return the complete answers per second while the load was offered."""
    steps = range(int(seconds / STEP_S))
    return sum(results.steps[step] for step in steps) / seconds


def measure_recovery_s(results: LoadResults) -> float:
    """Return the time from the end of the surge until goodput has recovered.

    It has recovered in the first second whose goodput reaches ``RECOVERED_FRACTION`` of that
    before the surge, if no later second falls below ``SUSTAINED_FRACTION`` of it.
    """
    window = round(1 / STEP_S)
    calm = range(window // 2, int(CALM_S / STEP_S))
    before = sum(results.steps[step] for step in calm) / len(calm) * window
    first = int((CALM_S + SURGE_S) / STEP_S)
    last = int((CALM_S + SURGE_S + AFTER_S) / STEP_S) - window
    seconds = [
        sum(results.steps[step + one] for one in range(window)) for step in range(first, last + 1)
    ]
    for number, goodput in enumerate(seconds):
        if (
            goodput >= RECOVERED_FRACTION * before
            and min(seconds[number:]) >= SUSTAINED_FRACTION * before
        ):
            return number * STEP_S
    return AFTER_S


def count_wrongful(results: LoadResults, accounts: tuple[str, ...]) -> tuple[int, int]:
    """Return the rate refusals of accounts within their rate, and the number of their requests."""
    groups = [results.by_account[name] for name in accounts]
    refused = sum(group.results[code] for group in groups for code in WRONGFUL_CODES)
    return refused, sum(group.offered for group in groups)


def summarize(layer: VariantResults, baseline: VariantResults) -> dict[str, Any]:
    goodput = {n: measure_goodput(one, LEVEL_S) for n, one in layer.levels.items()}
    baseline_goodput = {n: measure_goodput(one, LEVEL_S) for n, one in baseline.levels.items()}
    refused, offered = 0, 0
    for results in (*layer.levels.values(), layer.neighbour):
        one = count_wrongful(results, ACCOUNTS)
        refused, offered = refused + one[0], offered + one[1]
    shares = [layer.neighbour.by_account[name].success_ratio for name in ("guides", "crews")]
    return {
        "goodput_ratio_4x": round(goodput[4] / goodput[1], 3),
        "baseline_goodput_ratio_4x": round(baseline_goodput[4] / baseline_goodput[1], 3),
        "recovery_s": measure_recovery_s(layer.surge),
        "baseline_recovery_s": measure_recovery_s(baseline.surge),
        "urgent_success_4x": round(layer.levels[4].by_priority["urgent"].success_ratio, 4),
        "worst_account_share": round(min(shares), 3),
        "wrongful_refusals_percent": round(100.0 * refused / max(1, offered), 3),
        "max_attempts": layer.max_runs_of_request,
        "allowance": RETRY_ALLOWANCE + 1,
        "max_runs_non_repeatable": layer.max_runs_of_order,
        "baseline_max_runs_non_repeatable": baseline.max_runs_of_order,
        "capacity_per_s": CAPACITY_PER_S,
    }


def make_table(variants: dict[str, VariantResults]) -> Table:
    """Return the goodput and success ratios of each variant at each load."""
    table = Table("way", "load", "offered", "goodput/s", "urgent", "high", "normal", "p99 ms")
    for name, variant in variants.items():
        rows = {f"{n}x": one for n, one in variant.levels.items()}
        rows |= {"neighbour 5x": variant.neighbour, "surge": variant.surge}
        for title, one in rows.items():
            seconds = CALM_S + SURGE_S + AFTER_S if title == "surge" else LEVEL_S
            table.add_row(
                name,
                title,
                str(one.total.offered),
                f"{measure_goodput(one, seconds):.1f}",
                *(f"{one.by_priority[p].success_ratio:.3f}" for p in ("urgent", "high", "normal")),
                f"{one.total.latency_ms(99):.0f}",
            )
    return table


async def measure_variant(with_layer: bool, seed: int) -> VariantResults:
    """Start the chain and offer every load."""
    async with Fleet(make_spec(with_layer)) as fleet:
        await anyio.sleep(SETTLE_S if with_layer else 0)
        levels = LEVELS if with_layer else BASELINE_LEVELS
        return await Bench(fleet, seed, levels).run()


def main(
    seed: Annotated[
        int, typer.Option(help="Seed of the arrivals and of the mix of flows.")
    ] = DEFAULT_SEED,
    details: Annotated[bool, typer.Option(help="Print the results by code for each load.")] = False,
) -> None:
    """Offer 1x to 8x of the capacity to a chain of three services, with and without the layer."""
    os.environ["UV_USE_IO_URING"] = "0"
    layer = uvloop.run(measure_variant(True, seed))
    baseline = uvloop.run(measure_variant(False, seed))
    Console(width=120).print(make_table({"layer": layer, "baseline": baseline}))
    if details:
        for level, results in layer.levels.items():
            print(level, dict(results.total.results), f"lag {results.max_lag_ms:.0f} ms")
    print(json.dumps(summarize(layer, baseline)))


if __name__ == "__main__":
    typer.run(main)
