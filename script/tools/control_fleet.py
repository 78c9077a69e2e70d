"""Control-plane work of idle daemons, read from status pages and /proc."""

import asyncio
import os
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
from script.tools.documents import AccountPlan, RoutePlan, make_document

from wisteria_ledger import LEDGER_SLOTS_PER_SERVICE
from wisteria_limits.const import SLICES_PER_DOMAIN
from wisteria_standins.behaviour import Behaviour
from wisteria_standins.client import Answer, Call
from wisteria_standins.fleet import Fleet, FleetError
from wisteria_standins.fleet_spec import FleetSpec, ServiceSpec

VMS_PER_SERVICE = 6
FRAME_HEADER_BYTES = 14
TLS_RECORD_BYTES = 22
SETTLE_LIMIT_S = 25.0
SETTLE_POLL_S = 0.25
IDLE_BEFORE_WINDOW_S = 1.0
MAX_STATUS_BYTES = 8_000_000
STATUS_TIMEOUT_MS = 10_000
STATUS_ATTEMPTS = 3
KB_PER_MB = 1_024
PERCENT = 100
US_PER_S = 1_000_000


@attrs.frozen(kw_only=True)
class Shape:
    """Size of a fleet, and the rate of its configuration changes."""

    vms: int
    domains: int
    accounts: int
    changes_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Measurement:
    """Means over the daemons of one fleet during one measurement window.

    Parameters
    ----------
    cpu_percent, cpu_percent_worst : float
        Processor time in percent of one core; mean and highest of the daemons.
    bytes_per_s : float
        Bytes sent on links, with frame headers and TLS records, without TCP and IP headers.
    messages_per_s : float
        Control messages sent.
    memory_mb, memory_mb_worst : float
        Resident memory; mean and highest of the daemons.
    links : float
        Open links.
    start_bytes : float
        Control bytes sent from the start until every slot had an owner.
    settle_s : float
        Time from the moment when all daemons were ready until every slot had an owner.
    platform_reads_per_s : float
        Platform reads of all daemons together, including watches.
    """

    shape: Shape
    cpu_percent: float
    cpu_percent_worst: float
    bytes_per_s: float
    messages_per_s: float
    memory_mb: float
    memory_mb_worst: float
    links: float
    start_bytes: float
    settle_s: float
    platform_reads_per_s: float


@attrs.frozen
class _Reading:
    """Counters of one daemon at one moment."""

    at_s: float
    cpu_s: float
    memory_mb: float
    link_bytes: int
    control_bytes: int
    links: int
    slots: int


async def _read_status(fleet: Fleet, vm_id: str) -> dict[str, Any]:
    """Repeat the call if the daemon has just closed the idle connection."""
    call = Call("GET", "/status", keep_bytes=MAX_STATUS_BYTES)
    client = fleet.client(fleet.nodes[vm_id].operator_port)
    answer = Answer()
    for _ in range(STATUS_ATTEMPTS):
        answer = await client.async_call(call, STATUS_TIMEOUT_MS)
        if answer.status == 200 and answer.complete:
            status: dict[str, Any] = orjson.loads(answer.body)
            return status
    raise FleetError(f"no status from {vm_id}: HTTP status {answer.status} {answer.error}")


def make_plans(accounts: int, burst: int = 1_000) -> tuple[AccountPlan, ...]:
    return tuple(
        AccountPlan(f"account-{number:03d}", f"control-key-{number}", burst=burst)
        for number in range(accounts)
    )


def make_control_document(shape: Shape, version: int, burst: int = 1_000) -> bytes:
    routes = tuple(
        RoutePlan(f"route-{name}", name, f"/{name}") for name in list_services(shape.vms)
    )
    plans = make_plans(shape.accounts, burst)
    return make_document(version, plans, routes, domains=list_domains(shape))


def list_domains(shape: Shape) -> tuple[str, ...]:
    """Each failure domain has at least one VM."""
    return tuple(f"domain-{number:02d}" for number in range(min(shape.domains, shape.vms)))


def list_services(vms: int) -> list[str]:
    return [f"service-{number:02d}" for number in range(max(1, vms // VMS_PER_SERVICE))]


def make_spec(shape: Shape) -> FleetSpec:
    """The fleet has no backend servers."""
    names = list_services(shape.vms)
    counts = [
        shape.vms // len(names) + (number < shape.vms % len(names)) for number in range(len(names))
    ]
    services = tuple(
        ServiceSpec(name, count, Behaviour(slots=50))
        for name, count in zip(names, counts, strict=True)
    )
    return FleetSpec(
        services,
        make_control_document(shape, 1),
        list_domains(shape),
        log_level="warning",
        with_backends=False,
        ready_timeout_s=60.0,
    )


def read_cpu_s(pid: int) -> float:
    """Return the processor time used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Return the resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    raise ValueError(f"process {pid} has no resident memory")


async def read_all(fleet: Fleet) -> list[_Reading]:
    return list(await asyncio.gather(*(_read(fleet, vm_id) for vm_id in fleet.daemons)))


async def _read(fleet: Fleet, vm_id: str) -> _Reading:
    status = await _read_status(fleet, vm_id)
    pid = fleet.daemons[vm_id].pid
    control: dict[str, Any] = status["control"]
    return _Reading(
        time.monotonic(),
        read_cpu_s(pid),
        read_memory_mb(pid),
        control["open_link_sent_bytes"],
        control["sent_bytes"],
        sum(bool(peer["connected"]) for peer in status["peers"]),
        len(status["slots"]),
    )


def count_slots(shape: Shape) -> int:
    """The public rate of open routes counts as one more account."""
    rates = (shape.accounts + 1) * len(list_domains(shape)) * SLICES_PER_DOMAIN
    return rates + len(list_services(shape.vms)) * LEDGER_SLOTS_PER_SERVICE


async def settle(fleet: Fleet, shape: Shape) -> float:
    """Wait until every slot has an owner; return the time taken, in seconds."""
    started = time.monotonic()
    wanted = count_slots(shape)
    held = -1
    while held != wanted:
        if time.monotonic() - started > SETTLE_LIMIT_S:
            print(f"  {held} of {wanted} slots held after {SETTLE_LIMIT_S:.0f} s", flush=True)
            break
        await asyncio.sleep(SETTLE_POLL_S)
        held = sum(one.slots for one in await read_all(fleet))
    return time.monotonic() - started


async def measure_fleet(
    shape: Shape, changes: tuple[float, ...], window_s: float, rng: random.Random
) -> list[Measurement]:
    """Return one measurement for each rate of configuration changes, in changes/s."""
    measurements = []
    async with Fleet(make_spec(shape)) as fleet:
        settle_s = await settle(fleet, shape)
        start_bytes = _mean([one.control_bytes for one in await read_all(fleet)])
        await asyncio.sleep(IDLE_BEFORE_WINDOW_S)
        version = 1
        for rate in changes:
            count = round(rate * window_s)
            work = _make_changes(fleet, shape, version, count, window_s, rng)
            version += count
            one = attrs.evolve(shape, changes_per_s=rate)
            measurements.append(await _measure_window(fleet, one, work, start_bytes, settle_s))
        # killed, since a graceful stop of all daemons at once would wait for successors in vain
        await asyncio.gather(*(fleet.async_kill(vm_id) for vm_id in fleet.daemons))
    return measurements


def _make_changes(
    fleet: Fleet, shape: Shape, version: int, count: int, window_s: float, rng: random.Random
) -> Callable[[], Awaitable[None]]:
    async def run() -> None:
        started = time.monotonic()
        for number in range(count):
            burst = rng.randint(500, 1_500)
            raw = make_control_document(shape, version + number + 1, burst)
            await fleet.async_put_document(raw)
            await asyncio.sleep(max(0.0, started + (number + 1) * window_s / count - _now()))
        await asyncio.sleep(max(0.0, started + window_s - _now()))

    return run


async def _measure_window(
    fleet: Fleet,
    shape: Shape,
    work: Callable[[], Awaitable[None]],
    start_bytes: float,
    settle_s: float,
) -> Measurement:
    reads_before = await _count_reads(fleet)
    before = await read_all(fleet)
    cpu_before, cpu_at_s = _read_cpus(fleet), _now()
    await work()
    cpu_after, cpu_end_s = _read_cpus(fleet), _now()
    after = await read_all(fleet)
    reads = await _count_reads(fleet) - reads_before
    cpu = [
        PERCENT * (late - early) / (cpu_end_s - cpu_at_s)
        for early, late in zip(cpu_before, cpu_after, strict=True)
    ]
    pairs = list(zip(before, after, strict=True))
    frames = [(b.link_bytes - a.link_bytes) / (b.at_s - a.at_s) for a, b in pairs]
    payloads = [(b.control_bytes - a.control_bytes) / (b.at_s - a.at_s) for a, b in pairs]
    messages = (_mean(frames) - _mean(payloads)) / FRAME_HEADER_BYTES
    return Measurement(
        shape=shape,
        cpu_percent=_mean(cpu),
        cpu_percent_worst=max(cpu),
        bytes_per_s=_mean(frames) + messages * TLS_RECORD_BYTES,
        messages_per_s=messages,
        memory_mb=_mean([one.memory_mb for one in after]),
        memory_mb_worst=max(one.memory_mb for one in after),
        links=_mean([one.links for one in after]),
        start_bytes=start_bytes,
        settle_s=settle_s,
        platform_reads_per_s=reads / (cpu_end_s - cpu_at_s),
    )


async def _count_reads(fleet: Fleet) -> int:
    return int((await fleet.async_counts())["reads"])


def _read_cpus(fleet: Fleet) -> list[float]:
    return [read_cpu_s(daemon.pid) for daemon in fleet.daemons.values()]


def _mean(values: list[float] | list[int]) -> float:
    return sum(values) / len(values)


def _now() -> float:
    return time.monotonic()
