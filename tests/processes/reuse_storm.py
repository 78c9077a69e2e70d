"""Seeded changes of backend servers, store and daemons while clients send requests all the time."""

import asyncio
import base64
import signal
import time
from random import Random
from typing import Any

import attrs
from tests.platform.standins import Reply, Request

from .support import Fleet, Machine, Run

SERVICES = ("yield", "order")
REUSE_AFTER_S = 2.0
EXPIRY_S = 4.5
CLIENT_PAUSE_S = 0.05
STEPS_MS = (-3_000, -1_500, 0, 0, 1_500, 3_000)
REJECTED_SHARE = 0.5
ROUTES = {"/yields/": "yield", "/orders/": "order"}


@attrs.define(eq=False)
class ReuseStorm:
    """Ends backend servers and gives their addresses to another service, in seeded ways."""

    fleet: Fleet
    seed: int
    log: list[str] = attrs.field(factory=list)
    statuses: dict[int, int] = attrs.field(factory=dict)
    _random: Random = attrs.field(init=False)
    _busy: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _started_s: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)

    async def run(self, duration_s: float) -> list[Run]:
        """Return the requests that ran at a service that no configuration names for them."""
        for machine in self.fleet.machines:
            machine.upstream.answer = self._answer
        clients = [
            asyncio.create_task(self._send(machine, path))
            for machine in self.fleet.machines
            for path in ROUTES
        ]
        ends_at_s = time.monotonic() + duration_s
        actions = [
            *[self._crash, self._remove, self._drain, self._silence] * 2,
            *[self._crash_all, self._silence_store] * 4,
            self._restart_store,
            self._restart_daemon,
            self._restart_same_id,
            self._publish,
        ]
        while time.monotonic() < ends_at_s:
            action = self._random.choice(actions)
            task = asyncio.create_task(action())
            self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(0.2, 1.2))
        for client in clients:
            client.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for task in self._tasks:
            error = task.exception()
            if error is not None:
                raise error
        return find_misdirected(self.fleet)

    async def _send(self, machine: Machine, path: str) -> None:
        method = "GET" if path == "/yields/" else "POST"
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._call(machine, f"{path}{number}", method))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def _call(self, machine: Machine, path: str, method: str) -> None:
        reply = await self.fleet.call(machine, path, method, timeout_ms=1_200)
        self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1

    async def _answer(self, request: Request) -> Reply | None:
        """Run a request soon, or reject it as not run after a while."""
        if self._random.random() > REJECTED_SHARE:
            await asyncio.sleep(self._random.uniform(0, 0.1))
            return None
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        attempt = request.headers["wisteriaproxy-attempt-id"]
        return Reply(503, {"Wisteriaproxy-Not-Executed": "1", "Wisteriaproxy-Attempt-Id": attempt})

    async def _start(self, machine: Machine, **changes: Any) -> None:
        await self.fleet.start_upstream(machine, is_registered=False, **changes)
        machine.upstream.answer = self._answer
        machine.born_ms += self._random.choice(STEPS_MS)

    # actions

    def _take(self, service: str | None = None) -> Machine | None:
        free = [
            machine
            for machine in self.fleet.machines
            if machine.name not in self._busy and service in (None, machine.service)
        ]
        if not free:
            return None
        machine = self._random.choice(free)
        self._busy.add(machine.name)
        return machine

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._started_s:.3f} {text}")

    async def _crash(self) -> None:
        """Crash a server; its entry expires later, and the address goes to another service."""
        machine = self._take()
        if machine is not None:
            await self._crash_one(machine)

    async def _crash_one(self, machine: Machine) -> None:
        old = machine.upstream.instance
        self._note(f"crash {machine.host} {old} {machine.service}")
        await self.fleet.end_upstream(machine, is_removed=False)
        expiry = asyncio.create_task(self._expire(old, machine))
        await self._reuse(machine)
        await expiry

    async def _expire(self, instance: str, machine: Machine) -> None:
        key = f"servers/{instance}"
        item = self.fleet.store.items.get(key)
        await asyncio.sleep(EXPIRY_S)
        self.fleet.store.remove(key)
        self._note(f"expired {instance}")
        if item is not None and self._random.random() < 0.3:
            await asyncio.sleep(0.3)
            # a delayed write of the process that has ended
            self.fleet.store.put(key, base64.b64decode(item["value"]))
            self._note(f"late write of {instance}")
            await asyncio.sleep(EXPIRY_S)
            self.fleet.store.remove(key)

    async def _reuse(self, machine: Machine) -> None:
        await asyncio.sleep(REUSE_AFTER_S + self._random.uniform(0, 1.0))
        service = SERVICES[1 - SERVICES.index(machine.service)]
        await self._start(machine, service=service)
        self._note(f"start {machine.host} {machine.upstream.instance} {service}")
        await asyncio.sleep(self._random.uniform(0, 0.8))
        self.fleet.register(machine)
        await asyncio.sleep(self._random.uniform(0.5, 3))
        self._busy.discard(machine.name)

    async def _remove(self) -> None:
        """Remove an entry; the server goes on for a while without a report."""
        machine = self._take()
        if machine is None:
            return
        self._note(f"remove {machine.host} {machine.upstream.instance} {machine.service}")
        self.fleet.store.remove(f"servers/{machine.upstream.instance}")
        await asyncio.sleep(2.0)
        await self.fleet.end_upstream(machine, is_removed=False)
        await self._reuse(machine)

    async def _drain(self) -> None:
        machine = self._take()
        if machine is None:
            return
        self._note(f"drain {machine.host} {machine.upstream.instance} {machine.service}")
        self.fleet.register(machine, state="draining", sequence=2)
        await asyncio.sleep(2.0)
        await self.fleet.end_upstream(machine)
        await self._reuse(machine)

    async def _silence(self) -> None:
        """Let a server accept requests and answer none, then end it."""
        machine = self._take()
        if machine is None:
            return
        self._note(f"silence {machine.host} {machine.upstream.instance} {machine.service}")

        async def hang(_request: object) -> None:
            await asyncio.sleep(60)

        machine.upstream.answer = hang
        await asyncio.sleep(0.5)
        await self._crash_one(machine)

    async def _crash_all(self) -> None:
        """Crash all servers of a service at once."""
        service = self._random.choice(SERVICES)
        machines = []
        while (machine := self._take(service)) is not None:
            machines.append(machine)
        await asyncio.gather(*map(self._crash_one, machines))

    async def _restart_same_id(self) -> None:
        machine = self._take()
        if machine is None:
            return
        name = machine.upstream.instance
        self._note(f"again {machine.host} {name}")
        await self.fleet.end_upstream(machine, is_removed=False)
        await asyncio.sleep(0.5)
        await self._start(machine, instance=name)
        self.fleet.register(machine)
        self._busy.discard(machine.name)

    async def _restart_store(self) -> None:
        if "store" in self._busy:
            return
        self._busy.add("store")
        self._note("store down")
        store = self.fleet.store
        store.intercept = lambda _request: Reply(resets=True)
        for connection in list(store.http.connections):
            connection.abort()
        await asyncio.sleep(self._random.uniform(1, 4))
        lapsed = dict(store.items) if self._random.random() < 0.5 else {}
        for key in lapsed:
            if key.startswith("servers/"):
                store.remove(key)
        if self._random.random() < 0.5:
            store.compact_history()
        store.intercept = None
        self._note(f"store up, lapsed {len(lapsed)}")
        if lapsed:
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            self._register_running()
        self._busy.discard("store")

    async def _silence_store(self) -> None:
        """Withhold all answers of the store for a while, during which all entries expire."""
        if "store" in self._busy:
            return
        self._busy.add("store")
        self._note("store silent")
        store = self.fleet.store
        work, is_back = store.http.handle, asyncio.Event()

        async def handle(request: Request) -> Reply:
            reply = await work(request)
            await is_back.wait()
            return reply

        store.http.handle = handle
        await asyncio.sleep(self._random.uniform(3, 5))
        for key in list(store.items):
            if key.startswith("servers/"):
                store.remove(key)
        is_back.set()
        store.http.handle = work
        self._note("store answers, all lapsed")
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._register_running()
        self._busy.discard("store")

    def _register_running(self) -> None:
        for machine in self.fleet.machines:
            if machine.upstream.http.connections or machine.name not in self._busy:
                self.fleet.register(machine, sequence=9)

    async def _restart_daemon(self) -> None:
        machine = self._take()
        if machine is None:
            return
        self._note(f"daemon {machine.host}")
        number = self._random.choice((signal.SIGKILL, signal.SIGTERM))
        await machine.stop(number)
        await asyncio.sleep(0.3)
        await machine.start()
        self._busy.discard(machine.name)

    async def _publish(self) -> None:
        self.fleet.publish()


def find_misdirected(fleet: Fleet) -> list[Run]:
    """Return the requests that ran at a service that no configuration names for them."""
    return [
        run
        for run in fleet.runs
        for prefix, service in ROUTES.items()
        if run.request.target.startswith(prefix) and run.service != service
    ]
