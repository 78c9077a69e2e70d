"""Soak test: seeded random faults, singly and in pairs, in a fleet under load."""

import json
import random
import signal
import sys
import time
from bisect import insort
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
import attrs
import typer
from rich.console import Console
from rich.table import Table
from script.tools.demo import make_uuid7
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_standins.behaviour import Behaviour, ChildCall, Rule, ServiceTime
from wisteria_standins.client import Answer, Call
from wisteria_standins.content import compute_digest
from wisteria_standins.fleet import Fleet
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

DOMAINS = ("north", "south")
RATE_PER_S, BURST = 60, 60
METERED = AccountPlan("metered", "wk_soak_metered", RATE_PER_S, BURST)
READER = AccountPlan("reader", "wk_soak_reader", 5_000, 5_000)
ACCOUNTS = (METERED, READER)
ROUTES = (
    RoutePlan("page", "front", "/page"),
    RoutePlan("order", "front", "/orders", "POST", repeatable=False),
    RoutePlan("report", "front", "/report", long_download=True),
    RoutePlan("deep", "deep", "/deep"),
)
REPORT_BYTES = 1024 * 1024
CONTENT_SEED = 11
DEFAULT_SEED = 20261203
SETTLE_S = 8.0
CALLER_PAUSE_S = 0.03
ORDER_ATTEMPTS = 6
FREEZE_MS = (500, 7_000)
OUTAGE_S = 3.0
FAULT_PAUSE_S = (0.5, 2.0)
PAIR_PROBABILITY = 0.5
CLOCK_TOLERANCE_S = 0.002
KEY_MARKER = "wk_soak_"
CRASH_MARKER = b"poison-pill"
NOT_RUN = "not-run"
RECOVERY_LIMIT_S = 30.0
POLL_S = 0.2


@attrs.define
class Observations:
    """What the callers observed, the injected faults, and the failed exit statuses."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    admitted: list[tuple[float, float]] = attrs.field(factory=list)
    not_run: set[str] = attrs.field(factory=set)
    corrupt_downloads: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    bad_statuses: list[str] = attrs.field(factory=list)


@attrs.define
class Soak:
    """Offers load to one fleet and injects faults into it.

    Parameters
    ----------
    rng : random.Random
        Source of every fault and pause between faults.
    """

    fleet: Fleet
    rng: random.Random
    observed: Observations = attrs.field(factory=Observations)
    is_over: bool = False
    _version: int = 1
    _number: int = 0
    _busy: set[str] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Inject random faults under load for some time."""
        end = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            for vm_id in self.fleet.daemons:
                for caller in (self._meter, self._order, self._download, self._read):
                    tasks.start_soon(self._repeat, caller, vm_id)
            while time.monotonic() < end:
                await self._inject_faults()
                await anyio.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            self.is_over = True

    async def wait_recovered(self) -> bool:
        """Return whether every daemon serves calls again within `RECOVERY_LIMIT_S`."""
        with anyio.move_on_after(RECOVERY_LIMIT_S):
            while True:
                answers = [await self._send(vm_id, READER, "/page") for vm_id in self.fleet.daemons]
                if all(answer.status == 200 for answer in answers):
                    return True
                await anyio.sleep(POLL_S)
        return False

    # callers

    async def _repeat(self, caller: Callable[[str], Awaitable[None]], vm_id: str) -> None:
        while not self.is_over:
            await caller(vm_id)
            await anyio.sleep(CALLER_PAUSE_S)

    async def _meter(self, vm_id: str) -> None:
        sent_s = time.monotonic()
        answer = await self._send(vm_id, METERED, "/page")
        if answer.status == 200:
            self.observed.admitted.append((sent_s, time.monotonic()))
        self._record("metered", answer)

    async def _read(self, vm_id: str) -> None:
        self._record("read", await self._send(vm_id, READER, "/page"))

    async def _order(self, vm_id: str) -> None:
        key = make_uuid7()
        vm_ids = [vm_id, *self.fleet.daemons]
        for number in range(ORDER_ATTEMPTS):
            headers = (("Idempotency-Key", key),)
            target_vm = vm_ids[number % len(vm_ids)]
            answer = await self._send(target_vm, READER, "/orders", "POST", headers)
            self._record("order", answer)
            if answer.status == 200:
                return
            await anyio.sleep(CALLER_PAUSE_S)

    async def _download(self, vm_id: str) -> None:
        answer = await self._send(vm_id, READER, "/report")
        self._record("download", answer)
        if answer.status == 200 and answer.complete:
            is_intact = answer.digest == compute_digest(CONTENT_SEED, REPORT_BYTES)
            self.observed.corrupt_downloads += not is_intact

    async def _send(
        self,
        vm_id: str,
        plan: AccountPlan,
        path: str,
        method: str = "GET",
        extra_headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> Answer:
        self._number += 1
        request_id = f"soak-{self._number}"
        headers = (
            ("Authorization", f"Bearer {plan.key}"),
            ("Wisteria-Request-Id", request_id),
            *extra_headers,
        )
        call = Call(method, path, headers, body, with_digest=path == "/report")
        answer = await self.fleet.async_call(vm_id, call)
        if answer.headers.get("wisteria-run") == NOT_RUN:
            self.observed.not_run.add(request_id)
        return answer

    def _record(self, kind: str, answer: Answer) -> None:
        code = answer.headers.get("wisteria-result") or (answer.error or str(answer.status))
        self.observed.outcomes[f"{kind} {code}"] += 1

    # faults

    async def _inject_faults(self) -> None:
        faults = (
            self._kill,
            self._freeze,
            self._stop,
            self._deny_configuration,
            self._serve_stale,
            self._publish,
            self._crash_backend,
            self._cut_downloads,
        )
        count = 2 if self.rng.random() < PAIR_PROBABILITY else 1
        async with anyio.create_task_group() as tasks:
            for fault in self.rng.sample(faults, count):
                self.observed.faults[fault.__name__.strip("_")] += 1
                tasks.start_soon(fault)

    def _reserve_vm(self) -> str:
        """Reserve a VM that no other fault uses."""
        vm_id = self.rng.choice([one for one in self.fleet.daemons if one not in self._busy])
        self._busy.add(vm_id)
        return vm_id

    async def _kill(self) -> None:
        vm_id = self._reserve_vm()
        await self.fleet.async_kill(vm_id)
        await self.fleet.async_restart(vm_id)
        self._busy.discard(vm_id)

    async def _freeze(self) -> None:
        vm_id = self._reserve_vm()
        await self.fleet.async_freeze(vm_id, self.rng.randint(*FREEZE_MS))
        self._busy.discard(vm_id)

    async def _stop(self) -> None:
        vm_id = self._reserve_vm()
        status = await self.fleet.async_stop_daemon(vm_id)
        if status != 0:
            self.observed.bad_statuses.append(f"{vm_id}: {status}")
            self.fleet.send_signal(vm_id, signal.SIGKILL)
            await self.fleet.daemons[vm_id].async_wait(self.fleet.spec.stop_timeout_s)
        await self.fleet.async_restart(vm_id)
        self._busy.discard(vm_id)

    async def _deny_configuration(self) -> None:
        readers = self.rng.sample(sorted(self.fleet.nodes), len(self.fleet.nodes) // 2)
        await self.fleet.async_set_fault(readers, resource="config", down=True)
        await anyio.sleep(OUTAGE_S)
        await self.fleet.async_set_fault(readers, resource="config")

    async def _serve_stale(self) -> None:
        await self.fleet.async_set_fault(resource="config", stale=1)
        await anyio.sleep(OUTAGE_S)
        await self.fleet.async_set_fault(resource="config")

    async def _publish(self) -> None:
        self._version += 1
        document = make_document(self._version, ACCOUNTS, ROUTES, domains=DOMAINS)
        await self.fleet.async_put_document(document)

    async def _crash_backend(self) -> None:
        vm_id = self.rng.choice(sorted(self.fleet.daemons))
        headers = (("Idempotency-Key", make_uuid7()),)
        await self._send(vm_id, READER, "/orders", "POST", headers, CRASH_MARKER)

    async def _cut_downloads(self) -> None:
        vm_id = self.rng.choice([one for one in sorted(self.fleet.nodes) if "front" in one])
        client = self.fleet.client(self.fleet.nodes[vm_id].backend_port)
        for limit in (REPORT_BYTES // 4, None):
            body = json.dumps({"cut_after_bytes": limit}).encode()
            await client.async_call(Call("POST", "/control/set", body=body), 2_000)
            await anyio.sleep(1.0)


def find_excess(admitted: list[tuple[float, float]]) -> float:
    """Return by how many calls the worst window exceeds rate x window + burst.

    A call counts towards a window if it was both sent and answered within it.
    """
    worst = -float("inf")
    ends: list[float] = []
    for start_s, end_s in sorted(admitted, reverse=True):
        insort(ends, end_s)
        for number, last_s in enumerate(ends, 1):
            bound = RATE_PER_S * (last_s - start_s + CLOCK_TOLERANCE_S) + BURST
            worst = max(worst, number - bound)
    return worst


def make_spec() -> FleetSpec:
    """Return two services of three VMs each in two failure domains."""
    quick = ServiceTime("exponential", 5.0)
    rules = (
        Rule("/page", quick, children=(ChildCall("/deep"),)),
        Rule("/orders", ServiceTime("exponential", 40.0)),
        Rule("/report", quick, answer_bytes=REPORT_BYTES, download=True),
    )
    common = Behaviour(slots=50, key_marker=KEY_MARKER, content_seed=CONTENT_SEED)
    front = attrs.evolve(common, rules=rules)
    deep = attrs.evolve(common, rules=(Rule(service=quick),))
    document = make_document(1, ACCOUNTS, ROUTES, domains=DOMAINS)
    services = (ServiceSpec("front", 3, front), ServiceSpec("deep", 3, deep))
    return FleetSpec(services, document, DOMAINS, log_level="warning")


async def run_soak(seconds: float, seed: int) -> tuple[Observations, dict[str, object]]:
    """Return the observations, and the metrics with the invariants to check."""
    async with Fleet(make_spec()) as fleet:
        await anyio.sleep(SETTLE_S)
        soak = Soak(fleet, random.Random(seed))
        await soak.run(seconds)
        has_recovered = await soak.wait_recovered()
        counts = [await fleet.async_runs(vm_id) for vm_id in fleet.nodes]
        names = list(fleet.nodes)
        statuses = await fleet.async_stop()
    observed = soak.observed
    by_key: Counter[str] = Counter()
    by_request: Counter[str] = Counter()
    for count in counts:
        by_key.update(count["by_key"])
        by_request.update(count["by_request"])
    observed.bad_statuses += [f"{one}: {statuses[one]}" for one in names if statuses[one] != 0]
    figures: dict[str, object] = {
        "seed": seed,
        "faults": sum(observed.faults.values()),
        "calls": sum(observed.outcomes.values()),
        "max_runs_of_a_key": max(by_key.values(), default=0),
        "false_not_run": sum(by_request[one] > 0 for one in observed.not_run),
        "over_bound": max(0.0, round(find_excess(observed.admitted), 3)),
        "not_whole": observed.corrupt_downloads,
        "leaks": sum(count["leak_count"] for count in counts),
        "leak_places": [place for count in counts for place in count["leaks"]],
        "bad_exit_statuses": observed.bad_statuses,
        "recovered": has_recovered,
    }
    return observed, figures


def holds(figures: dict[str, object]) -> bool:
    """Return whether every invariant holds."""
    zeros = ("false_not_run", "over_bound", "not_whole", "leaks")
    return (
        all(figures[name] == 0 for name in zeros)
        and figures["max_runs_of_a_key"] in (0, 1)
        and not figures["bad_exit_statuses"]
        and figures["recovered"] is True
    )


def main(
    seconds: Annotated[float, typer.Option(help="Time under faults, in seconds.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = DEFAULT_SEED,
) -> None:
    """Inject random faults into a fleet under load; exit status 0 if every invariant holds."""
    observed, figures = anyio.run(run_soak, seconds, seed)
    table = Table("what", "times")
    for title, counts in (("fault", observed.faults), ("answer", observed.outcomes)):
        for name, number in sorted(counts.items()):
            table.add_row(f"{title}: {name}", str(number))
    Console(width=100).print(table)
    print(json.dumps({"holds": holds(figures), **figures}))
    sys.exit(0 if holds(figures) else 1)


if __name__ == "__main__":
    typer.run(main)
