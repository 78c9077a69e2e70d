"""Daemons of the platform build with their store and backend servers on loopback."""

import asyncio
import json
import socket
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from wisteria_core import Clock
from wisteriaproxy.mesh.app import MeshDaemon
from wisteriaproxy.mesh.settings import MeshSettings
from wisteriaproxy.settings import SettingsErrors, parse_settings_of
from wrdsc.main import PLATFORM

from .standins import APP, STORE, Reply, Request, Store, Upstream

CALLERS, PEERS, READY, OPERATORS = 8001, 8002, 8003, 8004
CLAIM = 8007
FIRST_SUBNET = 20
WAIT_S = 10.0
KEY = "k" * 20
HOST = "yields.example"


def make_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the operator's format."""
    config: dict[str, Any] = {
        "config_version": f"{version:08x}",
        "routes": [
            make_route("yields", "/yields/", "idempotent"),
            make_route("orders", "/orders/", "non_idempotent"),
            {**make_route("parts", "/parts/", "idempotent"), "public": True},
        ],
        "services": [
            {"name": "yield", "health_path": "/healthz", "max_connections": 40, "protocol": "h1"}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [
            {"name": "co-op", "api_keys": [KEY], "priority": 1, "rate_per_s": 500, "burst": 500}
        ],
    }
    return {**config, **changes}


def make_route(name: str, prefix: str, kind: str) -> dict[str, Any]:
    """Return a route to the service ``yield``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "timeout_s": 0.6,
        "target_latency_s": 0.3,
        "priority": 1,
        "service": "yield",
        "max_attempts": 2,
        "public": False,
    }


@attrs.define(eq=False)
class Node:
    """A VM with its daemon and its backend server."""

    host: str
    upstream: Upstream
    daemon: MeshDaemon
    settings: MeshSettings


@attrs.define(eq=False)
class Mesh:
    """A store and VMs, each on its own loopback address."""

    subnet: int = 0
    nodes: list[Node] = attrs.field(factory=list)
    _ended: set[MeshDaemon] = attrs.field(factory=set)
    _claim: socket.socket | None = None
    store: Store = attrs.field(init=False)
    _tasks: TaskGroup = attrs.field(init=False)
    _folder: tempfile.TemporaryDirectory[str] = attrs.field(factory=tempfile.TemporaryDirectory)

    async def async_setup(self) -> None:
        """Start the store in the first subnet that no other mesh has claimed."""
        for subnet in range(FIRST_SUBNET, 250):
            self.subnet = subnet
            self.store = Store(self._host(1))
            self._claim = await claim_subnet(self.store)
            if self._claim is not None:
                break
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()

    async def async_unload(self) -> None:
        """Stop all daemons and stand-ins."""
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(None, None, None)
        for node in self.nodes:
            await node.upstream.http.async_unload()
            await node.daemon.callers.async_unload()
            await node.daemon.links.async_unload()
            await node.daemon.ready_port.async_unload()
            await node.daemon.operator_port.async_unload()
        await self.store.http.async_unload()
        if self._claim is not None:
            self._claim.close()
        self._folder.cleanup()

    def publish(self, config: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("op/config", json.dumps(config).encode())

    def register(self, node: Node, **changes: Any) -> None:
        """Write the entry of a backend server to the store."""
        entry = {
            "service": "yield",
            "address": f"{node.host}:{APP}",
            "zone": "north",
            "config_version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_s": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.store.put(f"servers/{node.upstream.instance}", json.dumps(entry | changes).encode())

    def evacuate(self, zone: str) -> None:
        """Write to the store that a failure domain is evacuated."""
        self.store.put(f"op/evacuate/{zone}", b"{}")

    async def add_node(
        self, registers: bool = True, strict_revocation: bool = False, zone: str = "north"
    ) -> Node:
        """Start a VM and wait until its daemon listens."""
        host = self._host(10 + len(self.nodes))
        upstream = Upstream(host, f"i-{len(self.nodes)}")
        await upstream.http.async_setup()
        settings = self._make_settings(host, strict_revocation, zone)
        daemon = await self._start_daemon(settings)
        # a peer that dials earlier fails and delays its next attempt
        await wait_until(lambda: daemon.callers._server is not None)
        node = Node(host, upstream, daemon, settings)
        self.nodes.append(node)
        if registers:
            self.register(node, zone=zone)
        return node

    async def restart_daemon(self, node: Node) -> None:
        """Replace the daemon of a node, which forgets everything, and wait until it is ready."""
        node.daemon.start_drain()
        await wait_until(lambda: node.daemon in self._ended)
        await node.daemon.operator_port.async_unload()
        node.daemon = await self._start_daemon(node.settings)
        await wait_until(lambda: self._knows_all(node))

    async def add_ready(self, count: int, zones: tuple[str, ...] = ("north",)) -> list[Node]:
        """Start VMs, in the zones by turns, and wait until each knows the others and the routes."""
        nodes = [await self.add_node(zone=zones[i % len(zones)]) for i in range(count)]
        for node in nodes:
            await wait_until(partial(self._knows_all, node))
        return nodes

    async def call(
        self,
        node: Node,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2_000,
        body: bytes = b"",
        **headers: str,
    ) -> Reply:
        """Send a client request to the daemon of a node and return the answer."""
        sent = {
            "host": HOST,
            "wisteriaproxy-attempt-id": f"a{id(headers):x}",
            "wisteriaproxy-timeout-ms": str(timeout_ms),
            "authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{method} {path} HTTP/1.1", "connection: close"]
        lines += [f"content-length: {len(body)}"] if body else []
        lines += [f"{name}: {value}" for name, value in sent.items() if value]
        reader, writer = await asyncio.open_connection(node.host, CALLERS)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        with anyio.fail_after(WAIT_S):
            data = await reader.read()
        writer.close()
        return read_reply(data)

    def _knows_all(self, node: Node) -> bool:
        known = node.daemon.vm_list
        registered = sum(1 for key in self.store.items if key.startswith("servers/"))
        return node.daemon.is_ready() and known is not None and len(known) >= registered

    async def _start_daemon(self, settings: MeshSettings) -> MeshDaemon:
        started: list[MeshDaemon] = []
        self._tasks.start_soon(self._run, settings, started)
        await wait_until(lambda: bool(started))
        return started[0]

    async def _run(self, settings: MeshSettings, started: list[MeshDaemon]) -> None:
        async with anyio.create_task_group() as tasks:
            path = Path(self._folder.name)
            daemon = MeshDaemon(settings, path, PLATFORM, Clock(), tasks)
            started.append(daemon)
            await daemon.run()
        self._ended.add(daemon)

    def _host(self, last: int) -> str:
        return f"127.77.{self.subnet}.{last}"

    def _make_settings(self, host: str, strict_revocation: bool, zone: str) -> MeshSettings:
        text = f"""
[vm]
id = "{host}"
service = "yield"
failure_domain = "{zone}"
[listen]
callers = "{host}:{CALLERS}"
peers = "{host}:{PEERS}"
ready = "{host}:{READY}"
operators = "{host}:{OPERATORS}"
[backend]
address = "{host}:{APP}"
[store]
address = "{self._host(1)}:{STORE}"
[bounds]
grace_s = 6
strict_revocation = {str(strict_revocation).lower()}
cold_overage = 1.5
cold_slack = 8
[timing]
read_timeout_ms = 300
backoff_first_ms = 20
backoff_max_ms = 50
"""
        settings = parse_settings_of(MeshSettings, text, Path())
        assert not isinstance(settings, SettingsErrors), str(settings)
        return settings


async def claim_subnet(store: Store) -> socket.socket | None:
    """Start a store; return a socket that holds its subnet also while a test has stopped it.

    Returns None if the subnet is taken.
    """
    claim = socket.socket()
    try:
        claim.bind((store.http.host, CLAIM))
        await store.http.async_setup()
    except OSError:
        claim.close()
        return None
    return claim


def hold_answers(node: Node) -> anyio.Event:
    """Make the backend server of a node answer only once the returned event is set."""
    released = anyio.Event()

    async def answer(_request: Request) -> Reply | None:
        await released.wait()
        return None

    node.upstream.answer = answer
    return released


def read_reply(data: bytes) -> Reply:
    """Parse the answer received on a connection; status 0 if there is none."""
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return Reply(0)
    first, *lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    reply = Reply(int(first.split(" ")[1]), headers, body)
    length = headers.get("content-length")
    reply.closes = length is not None and len(body) < int(length)
    return reply


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true."""
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)
