"""Bench of account rate sharing: skewed arrivals at many simulated daemons."""

import json
import random
import time
from collections.abc import Callable

import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.bench_limits_fleet import (
    US_PER_S,
    Bucket,
    FleetSize,
    Lending,
    Network,
    OneHome,
    SharingStrategy,
    StaticSplit,
)

from wisteria_core import FailureDomain, VmId
from wisteria_limits import AccountRate

DEFAULT_SEED = 20261203
WARM_UP_S = 2
RUN_S = 10
SHORT_RUN_S = 5
PARTITION_RUN_S = 2
USUAL_LOAD = 0.8
SURGE_LOAD = 5.0
PARTITION_LOAD = 2.0
MOVE_INTERVAL_S = 2
RATES = (400, 300, 200, 50, 30, 20, 10, 5)
ACCOUNTS = tuple(AccountRate(f"account-{i}", rate, rate) for i, rate in enumerate(RATES))
COUNCIL = FleetSize("Council", 4, 5, 500, 1_500, ACCOUNTS)
ROUTE_WORKS = FleetSize("Route Works", 3, 6, 500, 1_000, ACCOUNTS)
STRATEGIES: dict[str, Callable[[Network], SharingStrategy]] = {
    "static split": StaticSplit,
    "one home": OneHome,
    "slices, lending": Lending,
}
SELECTED_STRATEGY = "slices, lending"
SURGING = "neighbour at 5x"
STEADY = ("one VM", "moving", "one domain", SURGING)
BURST = "burst at once"
AFTER_KILL = "owner killed"
FLEET_CALLS_PER_S = 387_500
BORROWER_LOADS = (
    (50, 29, 1),
    (50, 58, 1),
    (50, 115, 1),
    (50, 115, 10),
    (50, 115, 30),
    (8, 115, 1),
    (8, 115, 10),
    (200, 115, 10),
)
PARTITION = "domain cut off"


@attrs.define
class AccountCounters:
    """Counters of one account, and the check of its rate bound over every window.

    Parameters
    ----------
    rate, burst : int
        Rate in calls per second, and burst in calls.
    surging : bool
        Whether the account offers more than its rate.
    offered, within_rate, wrongful, admitted_counted : int
        Calls after the warm-up: all, those that one central bucket would admit, those of the
        latter that were refused, and those admitted.
    admitted : int
        Calls admitted since the start of the run.
    excess : int
        Largest excess of any window over the bound so far, in micro-calls.
    """

    rate: int
    burst: int
    surging: bool = False
    offered: int = 0
    within_rate: int = 0
    wrongful: int = 0
    admitted: int = 0
    admitted_counted: int = 0
    excess: int = 0
    _min_before: int | None = None

    def record_admission(self, now_us: int) -> None:
        """Also checks every window that ends here."""
        before = self.admitted * US_PER_S - self.rate * now_us
        self._min_before = before if self._min_before is None else min(self._min_before, before)
        self.admitted += 1
        window_excess = before + US_PER_S - self._min_before - self.burst * US_PER_S
        self.excess = max(self.excess, window_excess)

    @property
    def over_bound(self) -> int:
        """Return the calls above the bound in the worst window, rounded up."""
        return -(-self.excess // US_PER_S)


@attrs.define
class Run:
    """One scenario under one sharing strategy.

    Parameters
    ----------
    reference_buckets : dict
        A central bucket for each account, which tells the calls within the rate.
    cut_admitted : int
        Calls after the warm-up admitted in the domain that a partition isolates.
    """

    strategy: SharingStrategy
    network: Network
    rng: random.Random
    counts: dict[str, AccountCounters]
    reference_buckets: dict[str, Bucket]
    cut_admitted: int = 0

    def offer(self, vm: VmId, account: str, counted: bool) -> None:
        """Offer one call at `vm` and count its outcome."""
        count = self.counts[account]
        within_rate = self.reference_buckets[account].take(self.network.now_us)
        if counted:
            count.offered += 1
            count.within_rate += within_rate

        def done(now_us: int, admitted: bool) -> None:
            if admitted:
                count.record_admission(now_us)
                if counted and self.network.size.vms[vm] == self.network.isolated_domain:
                    self.cut_admitted += 1
                count.admitted_counted += counted
            elif counted and within_rate:
                count.wrongful += 1

        self.strategy.arrive(vm, account, done)


def choose_vm(scenario: str, run: Run, account: int, now_us: int) -> VmId:
    vms = run.network.size.vms
    names = [vm for vm in vms if vm not in run.network.dead]
    match scenario:
        case "moving":
            return names[(account + now_us // (MOVE_INTERVAL_S * US_PER_S) * 7) % len(names)]
        case "one domain":
            domain = FailureDomain(f"domain-{account % run.network.size.domains}")
            return run.rng.choice([vm for vm in names if vms[vm] == domain])
        case "neighbour at 5x" | "domain cut off" | "owner killed, spread":
            return run.rng.choice(names)
        case _:
            return names[account % len(names)]


def measured_s(scenario: str) -> int:
    """Return the duration after the warm-up."""
    if scenario in (STEADY[0], AFTER_KILL):
        return RUN_S
    return PARTITION_RUN_S if scenario == PARTITION else SHORT_RUN_S


def offered_load(scenario: str, account: int) -> float:
    """Return a multiple of the account's rate."""
    if scenario == PARTITION:
        return PARTITION_LOAD
    return SURGE_LOAD if scenario == SURGING and account == 0 else USUAL_LOAD


def schedule_arrivals(scenario: str, run: Run, account: int, until_us: int) -> None:
    """Arrivals are Poisson, after a burst where the scenario has one."""
    rate = run.network.size.accounts[account]
    load = offered_load(scenario, account)
    start_us = WARM_UP_S * US_PER_S

    def arrive() -> None:
        now_us = run.network.now_us
        vm = choose_vm(scenario, run, account, now_us)
        run.offer(vm, rate.account, now_us >= start_us)
        schedule_next(now_us)

    def schedule_next(now_us: int) -> None:
        next_us = now_us + 1 + int(run.rng.expovariate(rate.rate * load) * US_PER_S)
        if next_us < until_us:
            run.network.schedule(next_us, arrive)

    def arrive_in_burst() -> None:
        vm = choose_vm(scenario, run, account, run.network.now_us)
        for _ in range(rate.burst):
            run.offer(vm, rate.account, counted=True)
        schedule_next(run.network.now_us)

    if scenario == "burst at once":
        run.network.schedule(start_us, arrive_in_burst)
        return
    schedule_next(0)


def run_scenario(scenario: str, size: FleetSize, strategy_name: str, seed: int) -> Run:
    rng = random.Random(f"{seed}/{scenario}/{size.name}")
    network = Network(size, random.Random(seed))
    counts = {
        account.account: AccountCounters(
            account.rate, account.burst, offered_load(scenario, index) > 1
        )
        for index, account in enumerate(size.accounts)
    }
    reference_buckets = {a.account: Bucket(a.rate, a.burst * US_PER_S) for a in size.accounts}
    run = Run(STRATEGIES[strategy_name](network), network, rng, counts, reference_buckets)
    run.strategy.start()
    until_us = (WARM_UP_S + measured_s(scenario)) * US_PER_S
    for account in range(len(size.accounts)):
        schedule_arrivals(scenario, run, account, until_us)
    network.run(WARM_UP_S * US_PER_S - 1)
    apply_fault(scenario, run)
    network.run(until_us + US_PER_S)
    return run


def apply_fault(scenario: str, run: Run) -> None:
    """Kill the VM that owns most slices of the largest account, or isolate a failure domain."""
    largest = run.network.size.accounts[0].account
    if scenario == PARTITION:
        run.network.isolated_domain = FailureDomain("domain-0")
    if scenario != AFTER_KILL:
        return
    match run.strategy:
        case Lending():
            run.network.dead.add(run.strategy.largest_owner(largest))
        case OneHome():
            run.network.dead.add(run.strategy.home(largest))
        case _:
            run.network.dead.add(next(iter(run.network.size.vms)))


def percent_wrongful(runs: list[Run]) -> float:
    """Return the wrongful refusals in percent of the calls within the rate.

    Accounts that offer more than their rate are left out.
    """
    counts = [count for run in runs for count in run.counts.values() if not count.surging]
    if not counts:
        return 0.0
    return 100 * sum(c.wrongful for c in counts) / sum(c.within_rate for c in counts)


def over_bound(runs: list[Run]) -> int:
    """Return the calls above the rate bound, summed over accounts and runs."""
    return sum(count.over_bound for run in runs for count in run.counts.values())


def add_row(table: Table, size: FleetSize, scenario: str, strategy: str, run: Run) -> None:
    counts = run.counts.values()
    worst = max(
        (100 * c.wrongful / max(1, c.within_rate) for c in counts if not c.surging), default=0
    )
    surging = [c for c in counts if c.surging]
    surging_calls = sum(c.rate for c in surging) * measured_s(scenario)
    admitted = (
        f"{100 * sum(c.admitted_counted for c in surging) / surging_calls:.0f}" if surging else ""
    )
    traffic = run.network.traffic.values()
    daemon_seconds = len(size.vms) * (WARM_UP_S + measured_s(scenario))
    split = ""
    if scenario == PARTITION:
        rate = sum(c.rate for c in counts) * measured_s(scenario)
        split = f"{100 * run.cut_admitted / rate:.0f} / "
        split += f"{100 * (sum(c.admitted_counted for c in counts) - run.cut_admitted) / rate:.0f}"
    table.add_row(
        size.name,
        scenario,
        strategy,
        str(over_bound([run])),
        f"{percent_wrongful([run]):.3f}",
        f"{worst:.3f}",
        f"{sum(t.messages for t in traffic) / daemon_seconds:.1f}",
        f"{sum(t.sent_bytes for t in traffic) / daemon_seconds:.0f}",
        admitted,
        split,
    )


def measure_borrower_traffic(seed: int) -> None:
    """Print the traffic in a fleet of the target size."""
    table = Table(title="One borrower among 2,695 VMs in 11 failure domains")
    for column in ("calls/s", "accounts", "burst, s of rate", "requests/s", "bytes/s sent"):
        table.add_column(column)
    for column in ("replies/s", "bytes/s to it", "waited %"):
        table.add_column(column)
    for accounts, calls, burst_s in BORROWER_LOADS:
        rate = FLEET_CALLS_PER_S // accounts
        rates = tuple(AccountRate(f"a{i}", rate, rate * burst_s) for i in range(accounts))
        size = FleetSize("planned", 11, 245, 500, 1_500, rates)
        network = Network(size, random.Random(seed))
        lending = Lending(network, borrowers=1)
        lending.start()
        waited = offer_poisson_calls(network, lending, calls, random.Random(seed))
        vm = next(iter(size.vms))
        sent = network.traffic[vm]
        others = [traffic for name, traffic in network.traffic.items() if name != vm]
        table.add_row(
            str(calls),
            str(accounts),
            str(burst_s),
            f"{sent.messages / RUN_S:.1f}",
            f"{sent.sent_bytes / RUN_S:.0f}",
            f"{sum(t.messages for t in others) / RUN_S:.1f}",
            f"{sum(t.sent_bytes for t in others) / RUN_S:.0f}",
            f"{waited:.1f}",
        )
    Console(width=150).print(table)


def offer_poisson_calls(
    network: Network, lending: Lending, calls: int, rng: random.Random
) -> float:
    """Return the percentage of calls that waited or were refused."""
    vm = next(iter(network.size.vms))
    count = [0, 0]

    def arrive() -> None:
        account = rng.choice(network.size.accounts).account
        now_us = network.now_us
        count[0] += 1

        def done(decided_us: int, admitted: bool) -> None:
            count[1] += decided_us > now_us or not admitted

        lending.arrive(vm, account, done)
        network.schedule(now_us + 1 + int(rng.expovariate(calls) * US_PER_S), arrive)

    network.schedule(0, arrive)
    network.run(RUN_S * US_PER_S)
    return 100 * count[1] / count[0]


def main(
    seed: int = typer.Option(DEFAULT_SEED, help="Seed of arrivals and delays."),
    slopes: bool = typer.Option(False, help="Measure a borrower's traffic in a large fleet."),
) -> None:
    """Compare three strategies for sharing account rates; the last line is one JSON object."""
    if slopes:
        measure_borrower_traffic(seed)
        return
    started_s = time.monotonic()
    table = Table(title=f"Account rates, seed {seed}")
    columns = ("fleet", "arrivals", "way", "over bound", "wrongful %", "worst account %")
    traffic = ("messages/s", "bytes/s sent")
    for column in (*columns, *traffic, "surging, % of rate", "cut / rest, % of rate"):
        table.add_column(column)
    selected: dict[str, list[Run]] = {}
    for size in (COUNCIL, ROUTE_WORKS):
        for scenario in (*STEADY, BURST, AFTER_KILL, PARTITION):
            for strategy in STRATEGIES:
                run = run_scenario(scenario, size, strategy, seed)
                add_row(table, size, scenario, strategy, run)
                if strategy == SELECTED_STRATEGY:
                    selected.setdefault(scenario, []).append(run)
    Console(width=150).print(table)
    steady = [run for scenario in STEADY for run in selected[scenario]]
    result = {
        "over_bound": over_bound([run for runs in selected.values() for run in runs]),
        "wrongful_refusals_percent": round(percent_wrongful(steady), 4),
        "wrongful_refusals_percent_after_kill": round(percent_wrongful(selected[AFTER_KILL]), 4),
        "wrongful_refusals_percent_one_vm": round(percent_wrongful(selected[STEADY[0]]), 4),
        "wrongful_refusals_percent_burst": round(percent_wrongful(selected[BURST]), 4),
        "seed": seed,
        "seconds": round(time.monotonic() - started_s, 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    typer.run(main)
