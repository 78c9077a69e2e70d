"""Daemons of the platform build as real processes, with their store and backend servers.

The stand-ins run in the test's process, the daemons are started as the deploy file starts them.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import orjson
from tests.platform.standins import APP, STORE, HttpStandin, Reply, Request, Store, Upstream
from tests.platform.support import HOST, KEY, claim_subnet, read_reply

from .documents import make_config

ROOT = Path(__file__).resolve().parents[2]
CALLERS, PEERS, READY, OPERATORS = 8001, 8002, 8003, 8004
FIRST_SUBNET, LAST_SUBNET = 20, 250
START_LIMIT_S = 30.0
RESTART_DELAY_S = 0.5
CONFIG_APPLY_S = 2.0
"""Time within which a version must be in force while the store is stable."""
DRAIN_S = 2.0
"""Time after which a server whose leaving was acknowledged gets no calls."""
STABLE_WINDOW_S = 3.0
"""Time after a disruption of the store within which it doesn't count as stable."""


@attrs.define
class Run:
    """Request that a backend server began to run."""

    at_s: float
    service: str
    instance: str
    host: str
    request: Request

    @property
    def attempt(self) -> str:
        return self.request.headers["wisteriaproxy-attempt-id"]


@attrs.define(eq=False)
class Machine:
    """A VM with its daemon's process and its backend server.

    Parameters
    ----------
    ends : list of int
        Exit statuses of processes that ended although nobody stopped them.
    ended_s : list of float
        When they ended, by the monotonic clock.
    """

    name: str
    host: str
    service: str
    zone: str
    upstream: Upstream
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    ends: list[int] = attrs.field(factory=list)
    ended_s: list[float] = attrs.field(factory=list)
    born_ms: int = 0
    is_stopping: bool = False
    _keeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the daemon, and start it again whenever it ends by itself."""
        self.is_stopping = False
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "start.py"),
                cwd=ROOT,
                env=kept | {"WISTERIAPROXY_BOOT": str(self.settings)},
                stdout=log,
                stderr=log,
            )

    async def _keep(self) -> None:
        while True:
            assert self.process is not None
            code = await self.process.wait()
            if self.is_stopping:
                return
            self.ends.append(code)
            self.ended_s.append(time.monotonic())
            await asyncio.sleep(RESTART_DELAY_S)
            await self._spawn()

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Send a signal, wait for the end of the process, and return its exit status."""
        self.is_stopping = True
        assert self.process is not None
        self.send_signal(number)
        code = await self.process.wait()
        if self._keeper is not None:
            self._keeper.cancel()
        return code

    def read_log(self) -> list[dict[str, Any]]:
        """Return the log lines of all processes of this machine."""
        lines: list[dict[str, Any]] = []
        for line in self.log.read_bytes().splitlines():
            with contextlib.suppress(orjson.JSONDecodeError):
                lines.append(orjson.loads(line))
        return lines

    def count_events(self, event: str) -> int:
        return sum(1 for line in self.read_log() if line.get("event") == event)


@attrs.define(eq=False)
class Fleet:
    """A store and machines, each on its own loopback address.

    Parameters
    ----------
    runs : list of Run
        Requests that any backend server has begun to run, in order.
    on_upstream : callable
        Called with a machine before its new backend server listens.
    """

    machines: list[Machine] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    subnet: int = 0
    store: Store = attrs.field(init=False)
    version: int = 0
    _claim: socket.socket | None = None
    on_upstream: Callable[[Machine], None] = lambda machine: None
    _fronts: dict[str, HttpStandin] = attrs.field(factory=dict)
    _folder: tempfile.TemporaryDirectory[str] = attrs.field(factory=tempfile.TemporaryDirectory)
    _attempts: Any = attrs.field(factory=lambda: itertools.count(1))
    _names: Any = attrs.field(factory=lambda: itertools.count(1))

    async def async_setup(self) -> None:
        """Start the store in the first subnet that no other fleet has claimed."""
        for subnet in range(FIRST_SUBNET, LAST_SUBNET):
            self.subnet = subnet
            self.store = Store(self.host(1))
            self.store.page_size = 500
            self._claim = await claim_subnet(self.store)
            if self._claim is not None:
                return
        raise AssertionError("no free loopback subnet")

    async def async_unload(self) -> None:
        """Stop all processes and stand-ins."""
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                await machine.stop()
            elif machine._keeper is not None:
                machine._keeper.cancel()
            await machine.upstream.http.async_unload()
        for front in self._fronts.values():
            await front.async_unload()
        await self.store.http.async_unload()
        if self._claim is not None:
            self._claim.close()
        self._folder.cleanup()

    @property
    def folder(self) -> Path:
        """Folder of the settings and logs."""
        return Path(self._folder.name)

    def host(self, last: int) -> str:
        return f"127.78.{self.subnet}.{last}"

    async def add_store_front(self, zone: str) -> HttpStandin:
        """Give the machines of a zone an address of the store of their own; call before `add`."""
        front = HttpStandin(self.host(2 + len(self._fronts)), STORE, self.store.http.handle)
        await front.async_setup()
        self._fronts[zone] = front
        return front

    # the operator

    def publish(self, **changes: Any) -> dict[str, Any]:
        """Write the next version of the configuration to the store and return it."""
        self.version += 1
        config = make_config(self.version, **changes)
        self.store.put("op/config", json.dumps(config).encode())
        return config

    # machines and backend servers

    async def add(self, places: list[tuple[str, str]], *, is_ready: bool = True) -> list[Machine]:
        """Start a machine for each service and zone, and wait until all are ready."""
        machines = [self._make_machine(service, zone) for service, zone in places]
        for machine in machines:
            await self.start_upstream(machine)
            await machine.start()
        if is_ready:
            for machine in machines:
                await self.wait_ready(machine)
        return machines

    def _make_machine(self, service: str, zone: str) -> Machine:
        number = len(self.machines) + 1
        name, host = f"{zone}-{number}", self.host(9 + number)
        folder = Path(self._folder.name)
        settings = folder / f"{name}.toml"
        settings.write_text(self._make_settings(host, service, zone))
        upstream = Upstream(host, "")
        machine = Machine(name, host, service, zone, upstream, settings, folder / f"{name}.log")
        self.machines.append(machine)
        return machine

    def _make_settings(self, host: str, service: str, zone: str) -> str:
        front = self._fronts.get(zone)
        store = front.host if front is not None else self.host(1)
        return f"""
[vm]
id = "{host}"
service = "{service}"
failure_domain = "{zone}"
[listen]
callers = "{host}:{CALLERS}"
peers = "{host}:{PEERS}"
ready = "{host}:{READY}"
operators = "{host}:{OPERATORS}"
[backend]
address = "{host}:{APP}"
[store]
address = "{store}:{STORE}"
[bounds]
grace_s = 6
strict_revocation = false
retry_ratio = 0.2
retry_slack = 50
rate_overage = 0.25
rate_slack = 20
[log]
format = "json"
"""

    async def start_upstream(
        self,
        machine: Machine,
        service: str | None = None,
        instance: str | None = None,
        *,
        is_registered: bool = True,
    ) -> None:
        """Start a new process of a machine's backend server, which may be of another service."""
        machine.service = service = service or machine.service
        upstream = Upstream(machine.host, instance or f"i-{next(self._names):08x}")
        machine.upstream, machine.born_ms = upstream, int(time.time() * 1_000)
        work = upstream.http.handle

        async def handle(request: Request) -> Reply:
            known = len(upstream.ran)
            started_s = time.monotonic()
            reply = await work(request)
            if len(upstream.ran) > known and request in upstream.ran[known:]:
                run = Run(started_s, service, upstream.instance, machine.host, request)
                self.runs.append(run)
            return reply

        upstream.http.handle = handle
        self.on_upstream(machine)
        await upstream.http.async_setup()
        if is_registered:
            self.register(machine)

    async def end_upstream(self, machine: Machine, *, is_removed: bool = True) -> None:
        """End the process of a machine's backend server; its connections are reset."""
        await machine.upstream.http.async_unload()
        if is_removed:
            self.store.remove(f"servers/{machine.upstream.instance}")

    def register(self, machine: Machine, **changes: Any) -> None:
        """Write the entry of a backend server to the store."""
        entry = {
            "service": machine.service,
            "address": f"{machine.host}:{APP}",
            "zone": machine.zone,
            "config_version": "v1",
            "slots": 90,
            "state": "ready",
            "cold_remaining_s": 0,
            "sequence": 1,
            "born": machine.born_ms,
        }
        name = machine.upstream.instance
        self.store.put(f"servers/{name}", json.dumps(entry | changes).encode())

    async def wait_ready(self, machine: Machine) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while (await self.fetch(machine, READY, "/readyz")).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def read_status(self, machine: Machine) -> dict[str, Any]:
        """Return the status page of a daemon; empty if it doesn't answer."""
        reply = await self.fetch(machine, OPERATORS, "/status")
        return dict(json.loads(reply.body)) if reply.status == 200 else {}

    async def read_metrics(self, machine: Machine) -> str:
        return (await self.fetch(machine, OPERATORS, "/metrics")).body.decode()

    # clients

    async def call(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2_000,
        body: bytes = b"",
        attempt: str | None = None,
        **headers: str,
    ) -> Reply:
        """Send a request of a client on a new connection; status 0 if it got no answer."""
        sent = {
            "host": HOST,
            "wisteriaproxy-attempt-id": attempt or self.make_attempt(),
            "wisteriaproxy-timeout-ms": str(timeout_ms),
            "authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return await self.fetch(machine, CALLERS, path, method, body, sent, timeout_ms / 1_000 + 1)

    def make_attempt(self) -> str:
        return f"{next(self._attempts):016x}"

    def find_runs(self, attempt: str) -> list[Run]:
        return [run for run in self.runs if run.attempt == attempt]

    async def fetch(
        self,
        machine: Machine,
        port: int,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        limit_s: float = 2.0,
    ) -> Reply:
        """Send a request to a port of a machine; status 0 if it got no answer."""
        lines = [f"{method} {path} HTTP/1.1", "connection: close"]
        lines += [f"content-length: {len(body)}"] if body else []
        pairs = {"host": machine.host} | (headers or {})
        lines += [f"{name}: {value}" for name, value in pairs.items() if value]
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(machine.host, port)
                try:
                    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                    return read_reply(await reader.read())
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return Reply(0)


def lose_answers(store: Store, should_lose: Callable[[str], bool]) -> None:
    """Let the store do what it is asked and lose answers: the connection returns nothing further.

    Parameters
    ----------
    should_lose : callable
        Called with the target of each request whose answer is due.
    """
    work = store.http.handle

    async def handle(request: Request) -> Reply:
        reply = await work(request)
        if should_lose(request.target):
            return Reply(raw=b"")
        return reply

    store.http.handle = handle
