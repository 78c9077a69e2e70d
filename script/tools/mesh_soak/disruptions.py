"""Disruptions of daemons, backend servers and the store, drawn from a seed."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs
from tests.processes.support import Machine

from wrdsc.const import PREFIX_SERVERS

from .models import Disruption
from .world import SERVICES, SLOTS, World

GRACE_S = 6.0
DRAIN_S = 2.0
REUSE_AFTER_S = 2.0
EXPIRY_S = 4.5
"""Three heartbeat intervals, after which the entry of a silent backend server is removed."""
KEPT_PER_SERVICE = 2
OVERLAP = 5

Act = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class Disruptor:
    """Plays disruptions, alone and overlapping.

    Parameters
    ----------
    played : dict of str to int
        Disruptions by kind.
    """

    world: World
    rng: random.Random
    played: dict[str, int] = attrs.field(factory=dict)
    _busy: set[str] = attrs.field(factory=set)
    _stopped: set[str] = attrs.field(factory=set)
    _strange: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    async def run(self, kinds: tuple[str, ...] = ()) -> None:
        """Play disruptions until cancelled, with calm spans between them."""
        rng = self.rng
        acts = {**self.list_planned(), **self.list_unplanned()}
        names = list(kinds or acts)
        running: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            running = {task for task in running if not task.done()}
            count = rng.choice((1, 1, 2, 3))
            for name in rng.sample(names, min(count, len(names), OVERLAP - len(running))):
                running.add(self.world.spawn(self._play(name, acts[name])))

    async def _play(self, name: str, act: Act) -> None:
        self.played[name] = self.played.get(name, 0) + 1
        print(f"+{time.monotonic() - self.world.began_s:.1f} {name}", flush=True)
        try:
            await act()
        except TimeoutError:
            self.world.record.unready.append((name, time.monotonic()))

    def list_planned(self) -> dict[str, Act]:
        return {
            "roll": self.roll,
            "term_many": self.term_many,
            "reload": self.reload,
            "storm": self.storm,
            "release": self.release,
            "replace": self.replace,
            "reassign": self.reassign,
            "burst": self.burst,
        }

    def list_unplanned(self) -> dict[str, Act]:
        links: dict[str, Act] = {"links_mute": self.links_mute, "links_reset": self.links_reset}
        return (links if self.world.links else {}) | {
            "kill": self.kill,
            "kill_many": self.kill_many,
            "early_signals": self.early_signals,
            "kill_all": self.kill_all,
            "freeze": self.freeze,
            "crash": self.crash,
            "restart_same_id": self.restart_same_id,
            "reuse": self.reuse,
            "reuse_crash": self.reuse_crash,
            "foreign": self.foreign,
            "store_503": lambda: self.store("503"),
            "store_silent": lambda: self.store("silent"),
            "store_slow": lambda: self.store("slow"),
            "store_lose": lambda: self.store("lose"),
            "store_reset": self.store_reset,
            "store_mute": self.store_mute,
            "store_refuses": self.store_refuses,
            "store_cut": self.store_cut,
            "store_compact": self.store_compact,
            "store_expiry": self.store_expiry,
        }

    def _choose(self, count: int) -> list[Machine]:
        free = [m for m in self.world.fleet.machines if m.name not in self._busy]
        chosen = self.rng.sample(free, min(count, len(free)))
        return self._take(chosen)

    def _choose_servers(self, count: int) -> list[Machine]:
        """Take machines whose backend servers may end while the services go on."""
        ready = [m for m in self.world.fleet.machines if m.name not in self._busy]
        self.rng.shuffle(ready)
        chosen: list[Machine] = []
        for machine in ready:
            left = [m for m in ready if m.service == machine.service and m not in chosen]
            if len(left) > KEPT_PER_SERVICE and len(chosen) < count:
                chosen.append(machine)
        return self._take(chosen)

    def _take(self, machines: list[Machine]) -> list[Machine]:
        self._busy |= {machine.name for machine in machines}
        return machines

    def _free(self, machines: list[Machine]) -> None:
        self._busy -= {machine.name for machine in machines}

    # daemons

    async def roll(self) -> None:
        """Stop and start daemons in turn."""
        machines = self._choose(self.rng.randint(1, 6))
        for machine in machines:
            await self._restart(machine)
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self._free(machines)

    async def term_many(self) -> None:
        """Stop and start several daemons at once."""
        machines = self._choose(self.rng.randint(2, 5))
        await asyncio.gather(*(self._restart(machine) for machine in machines))
        self._free(machines)

    async def early_signals(self) -> None:
        """Signal processes while they start: settings that change, and a planned stop."""
        machines = self._choose(2)
        for machine in machines:
            found = self.world.disrupt("early", frozenset((machine.host,)))
            await machine.stop(signal.SIGKILL)
            self.world.record.starts.append((machine.host, time.monotonic()))
            await machine.start()
            found.end_s = time.monotonic()
            for _ in range(self.rng.randint(1, 5)):
                await asyncio.sleep(self.rng.uniform(0.0, 0.6))
                machine.send_signal(signal.SIGHUP)
            await self.world.fleet.wait_ready(machine)
        self._free(machines)

    async def _restart(self, machine: Machine) -> None:
        await self._end_stop(machine, *self._begin_stop(machine))

    def _begin_stop(self, machine: Machine) -> tuple[Disruption, asyncio.Task[int]]:
        found = self.world.disrupt("term", frozenset((machine.host,)), is_planned=True)
        return found, asyncio.create_task(machine.stop(signal.SIGTERM))

    async def _end_stop(self, machine: Machine, found: Disruption, stop: asyncio.Task[int]) -> None:
        left_s = found.start_s + GRACE_S - time.monotonic()
        done, _ = await asyncio.wait((stop,), timeout=max(0.0, left_s))
        if not done:
            machine.send_signal(signal.SIGKILL)
        code = await stop
        took_s = time.monotonic() - found.start_s
        self.world.record.stops.append((machine.host, found.start_s, code, took_s))
        await self._start(machine, found)

    async def _start(self, machine: Machine, found: Disruption) -> None:
        await asyncio.sleep(0.3)
        self.world.record.starts.append((machine.host, time.monotonic()))
        await machine.start()
        await self.world.fleet.wait_ready(machine)
        found.end_s = time.monotonic()

    async def _kill(self, machines: list[Machine]) -> None:
        found = self.world.disrupt("kill", frozenset(m.host for m in machines))
        await asyncio.gather(*(machine.stop(signal.SIGKILL) for machine in machines))
        await asyncio.sleep(0.2)
        for machine in machines:
            self.world.record.starts.append((machine.host, time.monotonic()))
            await machine.start()
        await asyncio.gather(*(self.world.fleet.wait_ready(machine) for machine in machines))
        found.end_s = time.monotonic()
        self._free(machines)

    async def kill(self) -> None:
        await self._kill(self._choose(1))

    async def kill_many(self) -> None:
        await self._kill(self._choose(self.rng.randint(3, 9)))

    async def kill_all(self) -> None:
        await self._kill(self._choose(len(self.world.fleet.machines)))

    async def freeze(self) -> None:
        machines = self._choose(self.rng.randint(1, 4))
        found = self.world.disrupt("freeze", frozenset(m.host for m in machines))
        for machine in machines:
            machine.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 7.0))
        for machine in machines:
            machine.send_signal(signal.SIGCONT)
        found.end_s = time.monotonic()
        self._free(machines)

    async def reload(self) -> None:
        machines = self._choose(self.rng.randint(1, 6))
        for machine in machines:
            self.world.record.reloads.append((machine.host, time.monotonic()))
            machine.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        self._free(machines)

    # the operator and the clients

    async def storm(self) -> None:
        for _ in range(self.rng.randint(5, 20)):
            self.world.change_configuration()
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))

    async def burst(self) -> None:
        self.world.load = self.rng.uniform(2.0, 4.0)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        self.world.load = 1.0

    # backend servers

    async def release(self) -> None:
        """Replace backend servers one after the other, each after its draining report."""
        machines = self._choose_servers(3)
        for machine in machines:
            await self._leave(machine, reports=True)
            await self.world.start_server(machine)
        self._free(machines)

    async def replace(self) -> None:
        """Replace backend servers whose entries are removed without a report."""
        machines = self._choose_servers(3)
        for machine in machines:
            await self._leave(machine, reports=False)
            await self.world.start_server(machine)
        self._free(machines)

    async def _leave(self, machine: Machine, *, reports: bool) -> None:
        if reports:
            self.world.report_draining(machine)
        else:
            self.world.remove_entry(machine)
        await asyncio.sleep(DRAIN_S + self.rng.uniform(0.3, 2.0))
        await self.world.end_server(machine)
        if reports:
            self.world.remove_entry(machine)

    async def crash(self) -> None:
        machines = self._choose_servers(self.rng.randint(1, 3))
        old = [await self._end(machine) for machine in machines]
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for machine in machines:
            await self.world.start_server(machine)
        self._expire(old)
        self._free(machines)

    async def restart_same_id(self) -> None:
        machines = self._choose_servers(2)
        old = [await self._end(machine) for machine in machines]
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        for machine, instance in zip(machines, old, strict=True):
            await self.world.start_server(machine, instance=instance)
        self._free(machines)

    async def _end(self, machine: Machine) -> str:
        found = self.world.disrupt("crash", frozenset((machine.host,)))
        found.end_s = time.monotonic()
        await self.world.end_server(machine)
        return machine.upstream.instance

    def _expire(self, instances: list[str]) -> None:
        async def expire() -> None:
            await asyncio.sleep(EXPIRY_S)
            for instance in instances:
                self.world.fleet.store.remove(f"{PREFIX_SERVERS}{instance}")

        self.world.spawn(expire())

    async def reuse(self) -> None:
        """Give addresses to another service after planned departures."""
        machines = self._choose_servers(2)
        for machine in machines:
            await self._leave(machine, reports=self.rng.random() < 0.5)
            await asyncio.sleep(REUSE_AFTER_S)
            await self._start_other(machine)
        self._free(machines)

    async def reassign(self) -> None:
        """Stop daemons after their backend servers; another service gets both addresses."""
        machines = self._choose_servers(2)
        for machine in machines:
            await self._leave(machine, reports=self.rng.random() < 0.5)
            found, stop = self._begin_stop(machine)
            await asyncio.sleep(REUSE_AFTER_S)
            service = self._write_service(machine)
            await self.world.start_server(machine, service)
            await self._end_stop(machine, found, stop)
        self._free(machines)

    async def reuse_crash(self) -> None:
        """Give addresses to another service while the entry of the crashed one is still there."""
        machines = self._choose_servers(2)
        old = [await self._end(machine) for machine in machines]
        await asyncio.sleep(REUSE_AFTER_S)
        for machine in machines:
            await self._start_other(machine)
        self._expire(old)
        self._free(machines)

    async def _start_other(self, machine: Machine) -> None:
        await self.world.start_server(machine, self._write_service(machine))
        if self.rng.random() < 0.5:
            await self._restart(machine)

    def _write_service(self, machine: Machine) -> str:
        """Write another service to the settings of a machine and return it."""
        others = [name for name in SERVICES if name != machine.service]
        service = self.rng.choice(others)
        text = machine.settings.read_text()
        machine.settings.write_text(text.replace(f'"{machine.service}"', f'"{service}"'))
        return service

    async def foreign(self) -> None:
        """Write entries of another writer."""
        store, rng = self.world.fleet.store, self.rng
        name = f"{PREFIX_SERVERS}x{next(self._strange)}"
        host = self.world.fleet.host(250)
        fields = f'"service": "yieldview", "address": "{host}:8005", "zone": "zone0", "slots": 8'
        values = (
            b"\xff\xfe{",
            b"[]",
            b'{"service": 5, "address": "x"}',
            f'{{{fields}, "state": "odd", "sequence": 1}}'.encode(),
            f'{{{fields}, "state": "ready"}}'.encode(),
            f'{{{fields}, "state": "ready", "sequence": 1, "born": true}}'.encode(),
            f'{{{fields}, "state": "ready", "sequence": 1, "born": 9223372036854775808}}'.encode(),
            f'{{{fields}, "state": "ready", "sequence": 1, "cold_remaining_s": 1e306}}'.encode(),
        )
        store.put(name, rng.choice(values))
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        store.remove(name)

    # the store

    async def store(self, mode: str) -> None:
        if self.world.store_mode != "ok":
            return
        found = self.world.disrupt(f"store-{mode}", None)
        self.world.store_mode = mode
        await asyncio.sleep(self.rng.uniform(0.3, 8.0))
        self.world.store_mode = "ok"
        found.end_s = time.monotonic()

    async def store_reset(self) -> None:
        found = self.world.disrupt("store-reset", None)
        for relay in self.world.relays.values():
            relay.reset()
        found.end_s = time.monotonic()

    async def store_mute(self) -> None:
        """Let all open connections to the store fall silent for good."""
        found = self.world.disrupt("store-mute", None)
        for relay in self.world.relays.values():
            relay.mute()
        found.end_s = time.monotonic()

    async def links_mute(self) -> None:
        """Let all open connections between daemons fall silent for good."""
        found = self.world.disrupt("links-mute", None)
        for relay in self.world.links:
            relay.mute()
        found.end_s = time.monotonic()

    async def links_reset(self) -> None:
        found = self.world.disrupt("links-reset", None)
        for relay in self.world.links:
            relay.reset()
        found.end_s = time.monotonic()

    async def _turn_away(self, mode: str) -> None:
        hosts = self.rng.sample(list(self.world.relays), self.rng.randint(1, 12))
        found = self.world.disrupt(f"store-{mode}", None)
        for host in hosts:
            self.world.relays[host].set_mode(mode)
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        for host in hosts:
            self.world.relays[host].set_mode("pass")
        found.end_s = time.monotonic()

    async def store_refuses(self) -> None:
        await self._turn_away("reset")

    async def store_cut(self) -> None:
        await self._turn_away("silent")

    async def store_compact(self) -> None:
        found = self.world.disrupt("store-compact", None)
        self.world.fleet.store.compact_history()
        found.end_s = time.monotonic()

    async def store_expiry(self) -> None:
        """Let entries expire while the store is down; they are back soon after."""
        if self.world.store_mode != "ok":
            return
        found = self.world.disrupt("store-expiry", None)
        self.world.store_mode = self.rng.choice(("503", "silent"))
        machines = self._choose(self.rng.randint(2, 8))
        await asyncio.sleep(self.rng.uniform(3.0, 7.0))
        for machine in machines:
            self.world.remove_entry(machine, is_departure=False)
        self.world.store_mode = "ok"
        await asyncio.sleep(self.rng.uniform(0.2, 1.8))
        for machine in machines:
            self.world.fleet.register(machine, slots=SLOTS)
        found.end_s = time.monotonic()
        self._free(machines)
