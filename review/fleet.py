"""A small deployment on loopback: the store, upstreams, and the project's daemons."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import tomllib
import traceback
from pathlib import Path
from typing import Any

from record import Record
from standin_http import Answer, encode_request, read_answer
from standin_store import Store
from standin_upstream import Upstream

ROOT = Path(__file__).resolve().parents[1]
HOST_NAME = "hulo84.example"
BOUNDS = {
    "grace_s": 6,
    "strict_revocation": False,
    "retry_budget_ratio": 0.2,
    "budget_slack": 50,
    "quota_overage": 0.25,
    "quota_slack": 20,
}
PORTS = ("outbound", "inbound", "ready_address", "app", "metrics", "store")
METRICS_PORT = 9464
START_LIMIT_S = 20.0
RESTART_DELAY_S = 0.5
EXIT_BROKEN, EXIT_HELD, EXIT_FAILED = 1, 0, 2


class CannotRunError(Exception):
    """The case can't run here."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as DEPLOY.md says, as far as the project's one needs it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) else ""

    def value(match: re.Match) -> str:
        found = find(match[1])
        return json.dumps(found) if match[2] else "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Daemon:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, fields: dict[str, Any], folder: Path, record: Record) -> None:
        self.name, self.fields = name, fields
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []
        self.is_stopping = False
        self._record = record
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._keeper: asyncio.Task | None = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["daemon"]
        program, *arguments = role["run"].split()
        self._settings.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        paths = {"WISTERIAPROXY_BOOT": str(self._settings), "PYTHONPATH": "target/deps"}
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=kept | paths, stdout=log, stderr=log
            )
        self._record.note(self.name, "daemon started")

    def keep_running(self) -> None:
        """Start the process again, as the platform does, whenever it ends by itself."""
        self._keeper = asyncio.ensure_future(self._keep())

    async def _keep(self) -> None:
        while True:
            assert self.process is not None
            code = await self.process.wait()
            if self.is_stopping:
                return
            self.ends.append(code)
            self._record.note(self.name, f"THE PROCESS ENDED BY ITSELF, status {code}")
            self._record.note(self.name, f"its last words: {self.last_error()}")
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    def last_error(self) -> str:
        """Return the last line of its log that looks like an exception."""
        lines = self._log.read_text(errors="replace").splitlines()
        found = [line for line in lines if re.search(r"(Error|Exception)\b", line)]
        return found[-1].strip()[:300] if found else "none"

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._record.note(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        self.is_stopping = True
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def ask_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        answer = await fetch(self.fields["listen"]["ready_address"], "GET", "/readyz")
        return answer.status == 200


class Machine:
    """A machine with its upstream and its daemon."""

    def __init__(self, upstream: Upstream, daemon: Daemon) -> None:
        self.upstream, self.daemon = upstream, daemon
        self.outbound = daemon.fields["listen"]["outbound"]


class Fleet:
    """All machines of a case, on addresses of one loopback subnet."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.machines: list[Machine] = []
        self._folder = folder
        self._subnet, self._ports = find_subnet()
        self.store = Store(f"{self._subnet}.250", self._ports["store"])
        self._attempts = 0

    async def start(self, services: list[tuple[str, str]], config: dict) -> None:
        """Start one machine for each (service, zone), and wait until all are ready."""
        await self.store.server.start()
        self.publish(config)
        for service, zone in services:
            await self._add(service, zone)
        await self.wait_ready()

    async def _add(self, service: str, zone: str) -> None:
        number = len(self.machines) + 1
        host = f"{self._subnet}.{number}"
        upstream = Upstream(host, self._ports["app"], f"i-{number:08x}", service, zone, self.record)
        await upstream.server.start()
        self.register(upstream)
        listen = {name: f"{host}:{self._ports[name]}" for name in PORTS[:3]}
        fields = {
            "ip": host,
            "service": service,
            "zone": zone,
            "listen": listen,
            "app_address": upstream.address,
            "platform": {"address": self.store.address},
            "bounds": BOUNDS,
        }
        daemon = Daemon(f"sidecar-{zone}-{number}", fields, self._folder, self.record)
        await daemon.start()
        self.machines.append(Machine(upstream, daemon))

    def register(self, upstream: Upstream, **changes: object) -> None:
        """Write the entry of an upstream to the store."""
        entry = json.dumps(upstream.describe(**changes)).encode()
        self.store.put(f"servers/{upstream.name}", entry)

    def publish(self, config: dict) -> None:
        """Write a configuration to the store, as the operator does."""
        self.store.put("op/config", json.dumps(config).encode())
        self.record.note("operator", f"configuration {config['config_version']} acknowledged")

    async def wait_ready(self) -> None:
        until = asyncio.get_running_loop().time() + START_LIMIT_S
        for machine in self.machines:
            while not await machine.daemon.ask_ready():
                if asyncio.get_running_loop().time() > until:
                    raise CannotRunError(f"{machine.daemon.name} isn't ready in time")
                await asyncio.sleep(0.1)
        self.record.note("case", "all daemons are ready")

    async def stop(self) -> None:
        for machine in self.machines:
            await machine.daemon.kill()
            await machine.upstream.server.stop()
        await self.store.server.stop()

    def make_headers(self, timeout_ms: int, key: str | None = None, **more: str) -> dict[str, str]:
        """Return the headers of a new client attempt."""
        self._attempts += 1
        headers = {
            "Host": HOST_NAME,
            "Wisteriaproxy-Attempt-Id": f"{self._attempts:016x}",
            "Wisteriaproxy-Timeout-Ms": str(timeout_ms),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return headers | {name.replace("_", "-"): value for name, value in more.items()}

    async def call(
        self,
        machine: Machine,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit_s: float = 10.0,
    ) -> Answer:
        """Send a request on a new connection and return the answer."""
        attempt = headers["Wisteriaproxy-Attempt-Id"]
        client = f"client of {machine.daemon.name}"
        self.record.note(client, f"sends {method} {target} id {attempt}")
        answer = await fetch(machine.outbound, method, target, headers, body, limit_s)
        self.record.note(client, f"id {attempt} got {answer.describe()}")
        return answer


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit_s: float = 10.0,
) -> Answer:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                sent = {"Host": address, "Connection": "close"} | (headers or {})
                writer.write(encode_request(method, target, sent, body))
                return await read_answer(reader, method)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer()


def find_subnet() -> tuple[str, dict[str, int]]:
    """Return a loopback subnet and ports that are free on its addresses."""
    for _ in range(50):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        base = random.randint(20_000, 30_000)
        ports = {name: base + index for index, name in enumerate(PORTS)}
        ports["metrics"] = METRICS_PORT
        if all(_is_free(f"{subnet}.{last}", p) for last in (1, 2, 250) for p in ports.values()):
            return subnet, ports
    raise CannotRunError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def make_route(name: str, service: str, kind: str, **changes: Any) -> dict:
    """Return a route whose prefix is its name."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_s": 5,
        "target_latency_s": 1.5,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return {**route, **changes}


def make_config(version: int, routes: list[dict], keys: dict[str, list[str]]) -> dict:
    """Return a configuration with the services that the routes name."""
    services = sorted({route["service"] for route in routes})
    return {
        "config_version": f"{version:08x}",
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 664, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [
            {"name": name, "api_keys": held, "priority": 1, "rate_per_s": 0, "burst": 0}
            for name, held in keys.items()
        ],
    }


def run_case(folder: Path, play: Any) -> None:
    """Run a case and end with its status; `play` returns the lines that show the rule broken."""
    record = Record(folder / "record.txt")
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'on' if is_disturbed else 'off'}")
    status = EXIT_FAILED
    try:
        status = asyncio.run(_run(record, play, is_disturbed))
    except CannotRunError as error:
        record.say(f"can't run: {error}")
    except Exception:
        # status 1, which Python would end with, stands for a broken rule
        record.say(f"can't run:\n{traceback.format_exc()}")
    finally:
        record.close()
    sys.exit(status)


async def _run(record: Record, play: Any, is_disturbed: bool) -> int:
    if not (ROOT / "target" / "app" / "start.py").exists():
        raise CannotRunError("target/ is missing: run the build command of the deploy file")
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(Path(name), record)
        try:
            async with asyncio.timeout(110):
                found = await play(fleet, is_disturbed)
        except TimeoutError as error:
            raise CannotRunError("it took too long, or a step of it") from error
        finally:
            await fleet.stop()
    for line in found:
        record.say(f"BROKEN: {line}")
    record.say("the rule was broken" if found else "the rule held")
    return EXIT_BROKEN if found else EXIT_HELD
