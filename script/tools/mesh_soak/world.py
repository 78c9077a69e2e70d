"""A fleet with its operator, backend servers and clients, all of which keep a record."""

import asyncio
import contextlib
import itertools
import random
import resource
import time
from pathlib import Path
from typing import Any

import attrs
from tests.platform.standins import STORE, Reply, Request, Store, make_rejection
from tests.platform.support import HOST
from tests.processes.documents import (
    DOWNLOAD,
    ONCE,
    REPEATABLE,
    is_once,
    make_route,
    make_tables,
    move_route,
    split_route,
)
from tests.processes.links import make_inner
from tests.processes.relay import Relay
from tests.processes.support import (
    CALLERS,
    PEERS,
    READY,
    Machine,
)

from wrdsc.const import (
    HEADER_ATTEMPT_ID,
    HEADER_SERVER_LOAD,
    HEADER_SIGNATURE,
    HEADER_TIMEOUT_MS,
    PREFIX_SERVERS,
)

from .answers import check_answer, make_body, sign
from .clients import Clients
from .fleet import SoakFleet
from .models import Departure, Disruption, Record, Sample, Version, Work

SERVICES = ("yieldview", "animalhealth", "reportdesk", "supplyorder")
BASE = (
    ("lookup", "yieldview", REPEATABLE, 5.0),
    ("flag", "animalhealth", ONCE, 5.0),
    ("report", "reportdesk", DOWNLOAD, 1.5),
    ("refill", "supplyorder", ONCE, 1.2),
)
INNER = {
    "flag": ("history", "animalhealth", 2.5),
    "report": ("parts", "reportdesk", 2.0),
    "refill": ("stock", "supplyorder", 0.7),
}
SHARES = {"lookup": 50, "flag": 20, "report": 10, "refill": 15, "added": 3, "dropped": 2}
CHILD_SHARE = 0.3
WORK_S = (0.03, 0.4)
SLOTS, QUEUE = 20, 40
LONG_SHARE, LONG_WORK_S = 0.03, (1.0, 4.0)
REPORT_BYTES = (40_000, 300_000)
SLOW_SHARE = 0.1
HISTORY_S = 20.0
LATE_S = 0.2


@attrs.define(eq=False)
class World:
    """Everything outside of the daemons.

    Parameters
    ----------
    rate_per_s : float
        Requests of clients, at all machines together.
    store_mode : str
        ``ok``, ``503``, ``silent``, ``slow`` or ``lose``.
    """

    fleet: SoakFleet
    rng: random.Random
    rate_per_s: float
    record: Record = attrs.field(factory=Record)
    relays: dict[str, Relay] = attrs.field(factory=dict)
    links: list[Relay] = attrs.field(factory=list)
    clients: dict[str, Clients] = attrs.field(factory=dict)
    store_mode: str = "ok"
    load: float = 1.0
    began_s: float = 0.0
    routes: list[dict[str, Any]] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    dropped: list[str] = attrs.field(factory=list)
    stopped_hosts: set[str] = attrs.field(factory=set)
    withdrawn: list[str] = attrs.field(factory=list)
    _running: dict[str, int] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)
    _numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    _removed_at: list[tuple[float, int]] = attrs.field(factory=list)

    async def async_setup(self, daemons: int, zones: int) -> None:
        """Publish the first version and start all machines."""
        await self.fleet.async_setup()
        self._shape_store(self.fleet.store)
        for name, service, kind, timeout_s in BASE:
            self.routes.append(make_route(name, service, kind, timeout_s=timeout_s))
        for name, service, timeout_s in INNER.values():
            route = make_route(name, service, REPEATABLE, timeout_s=timeout_s, public=True)
            self.routes.append(route)
        self.keys = [f"key{number:017d}" for number in range(6)]
        self.publish()
        places = [
            (SERVICES[number % len(SERVICES)], f"zone{number // len(SERVICES) % zones}")
            for number in range(daemons)
        ]
        for number in range(daemons):
            relay_host = self.fleet.host(110 + number)
            relay = Relay(relay_host, STORE, (self.fleet.host(1), STORE))
            await relay.async_setup()
            host = self.fleet.host(10 + number)
            if self.fleet.has_links:
                link = Relay(host, PEERS, (make_inner(host), PEERS))
                await link.async_setup()
                self.links.append(link)
            self.relays[host] = relay
            self.clients[host] = Clients((host, CALLERS))
        self.fleet.on_upstream = self._prepare_upstream
        machines = await self.fleet.add(places)
        for machine in machines:
            self.record.starts.append((machine.host, time.monotonic()))

    async def async_unload(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for clients in self.clients.values():
            clients.close()
        for relay in (*self.relays.values(), *self.links):
            await relay.async_unload()
        await self.fleet.async_unload()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self) -> None:
        """Start the clients and the tasks that watch over the run."""
        self.began_s = _now()
        self.spawn(self._change_configuration())
        for machine in self.fleet.machines:
            self.spawn(self._offer_load(machine))
            self.spawn(self._probe_ready(machine))
        self.spawn(self._watch_lateness())
        self.spawn(self._watch_memory())
        self.spawn(self._forget_history())

    def disrupt(
        self, kind: str, hosts: frozenset[str] | None, *, is_planned: bool = False
    ) -> Disruption:
        found = Disruption(kind, hosts, time.monotonic(), is_planned=is_planned)
        self.record.disruptions.append(found)
        return found

    # the store

    def _shape_store(self, store: Store) -> None:
        work = store.http.handle

        async def handle(request: Request) -> Reply:
            match self.store_mode:
                case "503":
                    return Reply(503, body=b"{}")
                case "silent":
                    await asyncio.Event().wait()
                case "slow":
                    await asyncio.sleep(1.0)
            reply = await work(request)
            if self.store_mode == "lose":
                return Reply(raw=b"")
            return reply

        store.http.handle = handle

    async def _forget_history(self) -> None:
        """Keep the store's history as short as the platform's."""
        store = self.fleet.store
        marks: list[tuple[float, int]] = []
        while True:
            await asyncio.sleep(2.0)
            now_s = time.monotonic()
            marks.append((now_s, store.revision))
            while marks and now_s - marks[0][0] > HISTORY_S:
                _, revision = marks.pop(0)
                store.events = [event for event in store.events if event["revision"] > revision]
                store.compacted_revision = max(store.compacted_revision, revision)

    # the operator

    def publish(self) -> None:
        """Write the next version with the present routes and keys."""
        self.fleet.version += self.rng.randint(0, 3)
        accounts = {f"t{number}": key for number, key in enumerate(self.keys)}
        routes = [dict(route) for route in self.routes]
        self.fleet.publish(routes=routes, **make_tables(SERVICES, accounts))
        keys = frozenset(self.keys)
        now_s = time.monotonic()
        self.record.versions.append(Version(self.fleet.version, now_s, routes, keys))

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            self.change_configuration()

    def change_configuration(self) -> str:
        """Change something at random and publish it."""
        rng = self.rng
        kind = rng.choice(("move", "split", "timeout", "add", "add", "drop", "key", "back"))
        names = [name for name, *_ in BASE]
        base = [route for route in self.routes if route["name"] in names]
        added = [route for route in self.routes if route["name"].startswith("added")]
        match kind:
            case "move":
                route = rng.choice(base)
                others = [service for service in SERVICES if service != route["service"]]
                move_route(route, rng.choice(others))
            case "split":
                route = rng.choice(base)
                parts = rng.sample(SERVICES, 2)
                weight = rng.randint(1, 9)
                split_route(route, {parts[0]: weight, parts[1]: 10 - weight})
            case "timeout":
                route = rng.choice(base)
                route["timeout_s"] = rng.choice((1.0, 1.5, 2.0, 3.0, 5.0))
            case "drop" if added:
                route = rng.choice(added)
                self.routes.remove(route)
                self.dropped.append(route["name"])
            case "key":
                old = self.keys.pop(0)
                self.withdrawn.append(old)
                self.keys.append(f"key{100 + next(self._numbers):017d}")
            case "back":
                for route, (_, service, _, _) in zip(base, BASE, strict=True):
                    move_route(route, service)
            case _:
                name = f"added{next(self._numbers)}"
                kinds = (REPEATABLE, ONCE)
                self.routes.append(make_route(name, rng.choice(SERVICES), rng.choice(kinds)))
                if len(added) > 6:
                    self.routes.remove(added[0])
                    self.dropped.append(added[0]["name"])
        self.publish()
        return kind

    # backend servers

    def _prepare_upstream(self, machine: Machine) -> None:
        upstream, service = machine.upstream, machine.service
        instance, host = upstream.instance, machine.host

        async def answer(request: Request) -> Reply:
            running = self._running.get(instance, 0)
            if running >= SLOTS + QUEUE:
                return make_rejection("full")
            headers = request.headers
            attempt = headers[HEADER_ATTEMPT_ID]
            work = Work(
                attempt, service, instance, host, request.method, request.target, headers, _now()
            )
            self.record.work.append(work)
            self._running[instance] = running + 1
            try:
                return await self._work(machine, request, work, running)
            except asyncio.CancelledError:
                work.end = "died" if instance in self.record.dead else "cancelled"
                raise
            finally:
                work.ended_s = _now()
                self._running[instance] -= 1

        upstream.answer = answer

    async def _work(self, machine: Machine, request: Request, work: Work, running: int) -> Reply:
        route = request.target.split("/")[1]
        left_s = int(request.headers.get(HEADER_TIMEOUT_MS, "5000")) / 1_000
        ends_s = work.at_s + left_s
        is_long = self.rng.random() < LONG_SHARE
        work_s = self.rng.uniform(*(LONG_WORK_S if is_long else WORK_S))
        await asyncio.sleep(work_s * (1.0 + running / SLOTS))
        work.status = 200
        if route in INNER and self.rng.random() < CHILD_SHARE:
            sample = self._make_sample(machine.host, INNER[route][0], "GET", "", ends_s - _now())
            sample.parent, sample.is_repeatable = work.attempt, True
            await self._send(sample, b"", on_new=False)
            if sample.status != 200:
                work.status = 500
        if _now() > ends_s:
            work.status = 504
        size = self.rng.randint(*REPORT_BYTES) if route == "report" else 40
        body = make_body(work.attempt, work.instance, size)
        work.end = "done"
        signature = sign(work.attempt, work.instance, body)
        headers = {
            HEADER_ATTEMPT_ID: work.attempt,
            HEADER_SIGNATURE: f"{signature}.{work.status}.{work.instance}",
            HEADER_SERVER_LOAD: f"{running},0,{SLOTS}",
        }
        return Reply(work.status, headers, body)

    async def start_server(
        self, machine: Machine, service: str | None = None, instance: str | None = None
    ) -> None:
        if instance is not None:
            self.record.dead.pop(instance, None)
        await self.fleet.start_upstream(machine, service, instance)
        self.fleet.register(machine, slots=SLOTS)

    async def end_server(self, machine: Machine) -> None:
        """End a backend server; its entry stays."""
        self.record.dead[machine.upstream.instance] = _now()
        await machine.upstream.http.async_unload()

    def report_draining(self, machine: Machine) -> None:
        self.fleet.register(machine, slots=SLOTS, state="draining", sequence=2)
        self._depart(machine, "draining")

    def remove_entry(self, machine: Machine, *, is_departure: bool = True) -> None:
        self.fleet.store.remove(f"{PREFIX_SERVERS}{machine.upstream.instance}")
        if is_departure:
            self._depart(machine, "removed")

    def _depart(self, machine: Machine, kind: str) -> None:
        self.record.departures.append(
            Departure(machine.upstream.instance, machine.host, _now(), kind)
        )

    # clients

    async def _offer_load(self, machine: Machine) -> None:
        clients = self.clients[machine.host]
        share = 1.0 / len(self.fleet.machines)
        due_s = _now()
        while True:
            due_s += self.rng.expovariate(self.rate_per_s * share * self.load)
            due_s = max(due_s, _now() - 0.1)
            await asyncio.sleep(max(0.0, due_s - _now()))
            if self.load < 1e-3:
                return
            on_new = clients.takes_new and self.rng.random() < 0.3
            if clients.takes_new or clients.has_kept():
                sample = self._draw(machine.host)
                self.spawn(self._send(sample, b"", on_new=on_new or sample.reads_slowly))

    def _draw(self, host: str) -> Sample:
        rng = self.rng
        name = rng.choices(list(SHARES), list(SHARES.values()))[0]
        if name == "added":
            names = [r["name"] for r in self.routes if r["name"].startswith("added")]
            name = rng.choice(names[-3:] or ["lookup"])
        elif name == "dropped":
            name = rng.choice(self.dropped[-3:] or ["never"])
        key = rng.choice(self.keys)
        if self.withdrawn and rng.random() < 0.03:
            key = self.withdrawn[-1]
        route = next((route for route in self.routes if route["name"] == name), None)
        runs_once = is_once(route)
        method = "POST" if runs_once else "GET"
        timeout_s = next((t for base, _, _, t in BASE if base == name), 2.0)
        sample = self._make_sample(host, name, method, key, timeout_s)
        sample.is_repeatable = not runs_once
        if name == "report" and rng.random() < SLOW_SHARE:
            sample.reads_slowly, sample.timeout_s = True, 5.0
        return sample

    def _make_sample(
        self, host: str, route: str, method: str, key: str, timeout_s: float
    ) -> Sample:
        attempt = self.fleet.make_attempt()
        path = f"/{route}/{attempt[-4:]}"
        return Sample(attempt, host, route, method, path, key, method == "GET", timeout_s)

    async def _send(self, sample: Sample, body: bytes, *, on_new: bool) -> None:
        if sample.timeout_s < 0.01:
            return
        self.record.samples.append(sample)
        headers = {
            "host": HOST,
            HEADER_ATTEMPT_ID: sample.attempt,
            HEADER_TIMEOUT_MS: str(round(sample.timeout_s * 1_000)),
        }
        if sample.key:
            headers["authorization"] = f"Bearer {sample.key}"
        body = body or (b"x" * 200 if sample.method == "POST" else b"")
        await self.clients[sample.host].send(sample, body, on_new=on_new, headers=headers)
        check_answer(sample)

    async def _probe_ready(self, machine: Machine) -> None:
        """Ask for readiness as the platform does; two misses take a machine out."""
        clients, misses = self.clients[machine.host], 0
        while True:
            await asyncio.sleep(1.0)
            reply = await self.fleet.fetch(machine, READY, "/readyz", limit_s=1.0)
            misses = 0 if reply.status == 200 else misses + 1
            clients.takes_new = misses < 2

    async def _watch_memory(self) -> None:
        """Note how much memory the daemons use."""
        while True:
            await asyncio.sleep(1.0)
            for machine in self.fleet.machines:
                most_mb = self.record.memory_mb.get(machine.host, 0.0)
                self.record.memory_mb[machine.host] = max(most_mb, read_memory_mb(machine))

    async def _watch_lateness(self) -> None:
        """Note when this process itself is late, which would falsify the times."""
        while True:
            start_s = _now()
            await asyncio.sleep(0.05)
            late_s = _now() - start_s - 0.05
            if late_s > LATE_S:
                found = Disruption(f"late-{late_s:.2f}", None, start_s, _now())
                self.record.disruptions.append(found)


def read_memory_mb(machine: Machine) -> float:
    """Return the memory that the daemon of a machine uses now; 0 if it doesn't run."""
    if machine.process is None:
        return 0.0
    with contextlib.suppress(OSError, IndexError):
        pages = int(Path(f"/proc/{machine.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1_000_000
    return 0.0


def _now() -> float:
    return time.monotonic()
