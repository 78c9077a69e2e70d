"""Runs a small fleet on loopback, each component as a separate process."""

import asyncio
import json
import shutil
import signal
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

import attrs
import orjson

from .behaviour import unstructure_behaviour
from .certificates import CertificateAuthority
from .client import Answer, Call, Client
from .const import MS_PER_S
from .fleet_spec import (
    Baseline,
    FleetSpec,
    Node,
    make_vm_list,
    plan_baseline,
    plan_nodes,
    render_settings,
)
from .managed import ManagedProcess
from .platform import render_vms
from .ports import PortReservations

_POLL_S = 0.05
_CALL_TIMEOUT_MS = 2_000
_MAX_READ_BYTES = 32 * 1024 * 1024
_DAEMON_PROGRAM = "wisteriaproxy"


class FleetError(Exception):
    """The fleet failed to start, or a request to one of its components failed.

    After a failed start the message contains the log of the failed process.
    """


class Fleet:
    """A fleet of the platform stand-in, backend servers and daemons.

    Use it as an asynchronous context manager::

        async with Fleet(spec) as fleet:
            answer = await fleet.async_call("yield-1", Call("GET", "/stalls/4"))
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.nodes: dict[str, Node] = {}
        self.daemons: dict[str, ManagedProcess] = {}
        self.backends: dict[str, ManagedProcess] = {}
        self.platform_port = 0
        self.list_version = 0
        self.folder = Path()
        self._ports = PortReservations()
        self._platform: ManagedProcess | None = None
        self._authority = CertificateAuthority()
        self._clients: dict[int, Client] = {}
        self._leaving: set[str] = set()
        self._removed: set[str] = set()

    async def __aenter__(self) -> "Fleet":
        self.folder = Path(tempfile.mkdtemp(prefix="wisteria-fleet-"))
        try:
            await self._start()
        except BaseException:
            await self.async_stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.async_stop()

    async def async_stop(self) -> dict[str, int | None]:
        """Stop daemons, then backend servers, then the platform; return exit statuses by name."""
        statuses: dict[str, int | None] = {}
        platform = [self._platform] if self._platform is not None else []
        for group in (self.daemons.values(), self.backends.values(), platform):
            group = list(group)
            exit_statuses = await asyncio.gather(
                *(member.async_stop(self.spec.stop_timeout_s) for member in group)
            )
            statuses.update(zip((member.name for member in group), exit_statuses, strict=True))
        for client in self._clients.values():
            client.close()
        self._clients.clear()
        self._ports.release()
        if self.folder != Path():
            shutil.rmtree(self.folder, ignore_errors=True)
        return statuses

    # Start

    async def _start(self) -> None:
        self.nodes = {node.vm_id: node for node in plan_nodes(self.spec, self._ports.take)}
        self._authority.write_certificate(self.folder / "ca.pem")
        await self._start_platform()
        for node in self.nodes.values():
            self._add_processes(node)
        await asyncio.gather(*(backend.async_start() for backend in self.backends.values()))
        await self._await_backends()
        await asyncio.gather(*(daemon.async_start() for daemon in self.daemons.values()))
        await self.async_wait_ready()

    async def _start_platform(self) -> None:
        self.platform_port = self._ports.take()
        document = self.folder / "document.json"
        document.write_bytes(self.spec.document)
        vms = self.folder / "vms.json"
        self.list_version = 1
        vms.write_bytes(render_vms(make_vm_list(list(self.nodes.values()), 1, frozenset())))
        options = {"--port": self.platform_port, "--document": document, "--vms": vms}
        self._platform = self._make_standin("platform", "platform", options)
        await self._platform.async_start()
        await self._poll_until_ok(self._platform, self.platform_port, "/control/counts")

    def _add_processes(self, node: Node) -> None:
        if self.spec.with_backends:
            behaviour = self.folder / f"{node.vm_id}.json"
            behaviour.write_bytes(orjson.dumps(unstructure_behaviour(node.behaviour)))
            options = {
                "--port": node.backend_port,
                "--name": node.vm_id,
                "--behaviour": behaviour,
                "--daemon-port": node.vm.caller_port,
            }
            name = f"{node.vm_id}.backend"
            self.backends[node.vm_id] = self._make_standin("backend", name, options)
        if not self.spec.with_daemons:
            return
        if self.spec.baseline is not None:
            self.daemons[node.vm_id] = self._make_baseline(node, self.spec.baseline)
        else:
            self.daemons[node.vm_id] = self._make_daemon(node)

    def _make_baseline(self, node: Node, baseline: Baseline) -> ManagedProcess:
        plan = self.folder / "baseline.json"
        spec = plan_baseline(baseline, list(self.nodes.values()))
        plan.write_bytes(orjson.dumps(attrs.asdict(spec)))
        options = {"--port": node.vm.caller_port, "--spec": plan}
        return self._make_standin("passthrough", node.vm_id, options)

    def _make_daemon(self, node: Node) -> ManagedProcess:
        self._authority.write_identity(self.folder, node.vm_id)
        settings = self.folder / f"{node.vm_id}.toml"
        settings.write_text(render_settings(node, self.spec, self.platform_port, self.folder))
        program = str(Path(sys.executable).parent / _DAEMON_PROGRAM)
        command = (sys.executable, program, "--settings", str(settings))
        return ManagedProcess(node.vm_id, command, self.folder / f"{node.vm_id}.log")

    def _make_standin(
        self, module: str, name: str, options: Mapping[str, object]
    ) -> ManagedProcess:
        arguments = [str(argument) for pair in options.items() for argument in pair]
        command = (sys.executable, "-m", f"wisteria_standins.{module}", *arguments)
        return ManagedProcess(name, command, self.folder / f"{name}.log")

    async def _await_backends(self) -> None:
        await asyncio.gather(
            *(
                self._poll_until_ok(backend, self.nodes[vm_id].backend_port, "/health")
                for vm_id, backend in self.backends.items()
            )
        )

    async def async_wait_ready(self, vm_ids: list[str] | None = None) -> None:
        """Wait until the daemons of these VMs (default: all) report that they are ready."""
        chosen = list(self.daemons) if vm_ids is None else vm_ids
        await asyncio.gather(
            *(
                self._poll_until_ok(self.daemons[vm_id], self._ready_port(vm_id), "/ready")
                for vm_id in chosen
            )
        )

    def _ready_port(self, vm_id: str) -> int:
        node = self.nodes[vm_id]
        return node.operator_port if self.spec.baseline is None else node.vm.caller_port

    async def _poll_until_ok(self, process: ManagedProcess, port: int, path: str) -> None:
        """Poll `path` until it returns status 200.

        Raises
        ------
        FleetError
            If the process exits, or does not become ready in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self.spec.ready_timeout_s
        answer = Answer()
        while answer.status != 200:
            if not process.is_running:
                raise FleetError(f"{process.name} exited unexpectedly:\n{process.read_log()}")
            if loop.time() > end:
                raise FleetError(
                    f"{process.name} did not become ready in time: {answer.error} {answer.body!r}\n"
                    f"{process.read_log()}"
                )
            answer = await self.async_get(port, path)
            if answer.status != 200:
                await asyncio.sleep(_POLL_S)

    # Calls

    def client(self, port: int) -> Client:
        """Return the shared client for a port on loopback."""
        return self._clients.setdefault(port, Client(port))

    async def async_get(self, port: int, path: str) -> Answer:
        """Send a GET request to a port on loopback; a lost connection is retried once."""
        call = Call("GET", path, keep_bytes=_MAX_READ_BYTES)
        answer = await self.client(port).async_call(call, _CALL_TIMEOUT_MS)
        if answer.status == 0 and answer.error.startswith("connection lost"):
            answer = await self.client(port).async_call(call, _CALL_TIMEOUT_MS)
        return answer

    async def async_call(self, vm_id: str, call: Call, timeout_ms: int | None = 10_000) -> Answer:
        """Send a call to the caller port of a VM's daemon."""
        return await self.client(self.nodes[vm_id].vm.caller_port).async_call(call, timeout_ms)

    async def async_status(self, vm_id: str) -> dict[str, Any]:
        """Return the status of a VM's daemon from its operator port."""
        answer = await self.async_get(self.nodes[vm_id].operator_port, "/status")
        return _read_json(answer)

    async def async_runs(self, vm_id: str) -> dict[str, Any]:
        return _read_json(await self.async_get(self.nodes[vm_id].backend_port, "/control/runs"))

    async def async_set_backend(self, vm_id: str, **changes: object) -> None:
        """Change fields of the behaviour of a VM's backend server while it runs."""
        call = Call("POST", "/control/set", body=orjson.dumps(changes))
        _read_json(await self.client(self.nodes[vm_id].backend_port).async_call(call))

    # Platform

    async def async_put_document(self, raw: bytes) -> int:
        """Publish a configuration document; return its version."""
        return int((await self._call_platform("PUT", "/control/document", raw))["version"])

    async def async_put_vms(self) -> int:
        """Publish a new VM list, without removed VMs; return its version."""
        self.list_version += 1
        listed = [node for node in self.nodes.values() if node.vm_id not in self._removed]
        vms = make_vm_list(listed, self.list_version, frozenset(self._leaving))
        return int((await self._call_platform("PUT", "/control/vms", render_vms(vms)))["version"])

    async def async_mark_leaving(self, vm_id: str) -> None:
        """List a VM as leaving on the platform."""
        self._leaving.add(vm_id)
        await self.async_put_vms()

    async def async_mark_gone(self, vm_id: str) -> None:
        """Remove a VM from the platform's list; its daemon must have exited.

        Raises
        ------
        RuntimeError
            If its daemon still runs: the platform only removes VMs that it has stopped.
        """
        if self.daemons[vm_id].is_running:
            raise RuntimeError(f"the daemon of {vm_id} is still running")
        self._removed.add(vm_id)
        await self.async_put_vms()

    async def async_set_fault(
        self, readers: list[str] | None = None, resource: str = "", **fault: object
    ) -> None:
        """Make the platform's responses fail for some readers (VM ids), by default for all."""
        content = fault | {"resource": resource} | ({"readers": readers} if readers else {})
        await self._call_platform("POST", "/control/fault", json.dumps(content).encode())

    async def async_counts(self) -> dict[str, Any]:
        return await self._call_platform("GET", "/control/counts", b"")

    async def _call_platform(self, method: str, path: str, body: bytes) -> dict[str, Any]:
        call = Call(method, path, body=body)
        return _read_json(await self.client(self.platform_port).async_call(call))

    # Failures

    def send_signal(self, vm_id: str, number: signal.Signals) -> None:
        self.daemons[vm_id].send_signal(number)

    async def async_kill(self, vm_id: str) -> None:
        """Kill a VM's daemon and wait until it has exited."""
        self.send_signal(vm_id, signal.SIGKILL)
        await self.daemons[vm_id].async_wait(self.spec.stop_timeout_s)

    async def async_freeze(self, vm_id: str, duration_ms: int) -> None:
        """Suspend a daemon by SIGSTOP and SIGCONT."""
        self.send_signal(vm_id, signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_ms / MS_PER_S)
        finally:
            self.send_signal(vm_id, signal.SIGCONT)

    async def async_stop_daemon(self, vm_id: str) -> int | None:
        """Stop a daemon by SIGTERM; return its exit status, or None if it does not exit."""
        self.send_signal(vm_id, signal.SIGTERM)
        return await self.daemons[vm_id].async_wait(self.spec.stop_timeout_s)

    async def async_restart(self, vm_id: str) -> None:
        """Start an exited daemon again and wait until it is ready."""
        await self.daemons[vm_id].async_start()
        await self.async_wait_ready([vm_id])

    def read_log(self, vm_id: str) -> str:
        return self.daemons[vm_id].read_log()


def _read_json(answer: Answer) -> dict[str, Any]:
    if answer.status != 200 or not answer.complete:
        raise FleetError(
            f"request failed: status {answer.status} {answer.error} {answer.body[:500]!r}"
        )
    plain: dict[str, Any] = orjson.loads(answer.body)
    return plain
