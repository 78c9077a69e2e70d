"""Specification of a small fleet on loopback, and the layout of its VMs."""

from collections.abc import Callable
from pathlib import Path

import attrs

from wisteria_core import FailureDomain, Vm, VmId, VmList, VmState

from .behaviour import Behaviour
from .const import LOOPBACK
from .passthrough import PassthroughSpec, Upstream


@attrs.frozen
class ServiceSpec:
    """A service of the fleet.

    Parameters
    ----------
    name : str
        Name of the service.
    vms : int
        Number of VMs, distributed over the failure domains by round robin.
    behaviour : Behaviour
        Behaviour of its backend servers; each gets a different seed.
    """

    name: str
    vms: int = 1
    behaviour: Behaviour = Behaviour()


@attrs.frozen
class Baseline:
    """Reverse proxies without overload control, started in place of the daemons.

    Parameters
    ----------
    services : dict
        Service for each path prefix.
    attempts : int
        Attempts per call at each hop.
    timeout_ms : int
        Timeout of one attempt, in milliseconds.
    """

    services: dict[str, str]
    attempts: int = 3
    timeout_ms: int = 10_000


@attrs.frozen
class FleetSpec:
    """Specification of a fleet.

    Parameters
    ----------
    services : tuple of ServiceSpec
        Services of the fleet.
    document : bytes
        Initial configuration document.
    domains : tuple of str
        Failure domains.
    timing : dict
        Keys of the daemon's [timing] section.
    caller_tls : bool
        Whether the daemons serve callers over TLS.
    log_format, log_level : str
        Format and minimum level of the daemons' logs.
    with_daemons : bool
        Whether to start daemons; without them, call the backend servers directly.
    with_backends : bool
        Whether to start backend servers.
    baseline : Baseline or None
        Reverse proxies to start in place of the daemons.
    ready_timeout_s, stop_timeout_s : float
        Timeouts for the start of the fleet and for the stop of one process.
    """

    services: tuple[ServiceSpec, ...]
    document: bytes = b"{}"
    domains: tuple[str, ...] = ("north",)
    timing: dict[str, int] = attrs.field(factory=dict)
    caller_tls: bool = False
    log_format: str = "logfmt"
    log_level: str = "info"
    with_daemons: bool = True
    with_backends: bool = True
    baseline: Baseline | None = None
    ready_timeout_s: float = 30.0
    stop_timeout_s: float = 10.0


@attrs.frozen
class Node:
    """A VM of the fleet: its entry in the VM list, its local ports and its behaviour."""

    vm: Vm
    operator_port: int
    backend_port: int
    behaviour: Behaviour

    @property
    def vm_id(self) -> str:
        return self.vm.vm_id


def plan_nodes(spec: FleetSpec, take_port: Callable[[], int]) -> list[Node]:
    """Return the VMs of the fleet, with a port for each listener."""
    nodes: list[Node] = []
    for service in spec.services:
        for number in range(service.vms):
            domain = spec.domains[len(nodes) % len(spec.domains)]
            seed = service.behaviour.seed + len(nodes)
            nodes.append(
                Node(
                    Vm(
                        VmId(f"{service.name}-{number + 1}"),
                        LOOPBACK,
                        take_port(),
                        take_port(),
                        FailureDomain(domain),
                        service.name,
                    ),
                    take_port(),
                    take_port(),
                    attrs.evolve(service.behaviour, seed=seed),
                )
            )
    return nodes


def plan_baseline(baseline: Baseline, nodes: list[Node]) -> PassthroughSpec:
    upstreams = tuple(
        Upstream(prefix, tuple(node.backend_port for node in nodes if node.vm.service == service))
        for prefix, service in baseline.services.items()
    )
    return PassthroughSpec(upstreams, baseline.attempts, baseline.timeout_ms)


def make_vm_list(nodes: list[Node], version: int, leaving: frozenset[str]) -> VmList:
    """Return the VM list as the platform publishes it."""
    return VmList(
        version,
        tuple(
            attrs.evolve(node.vm, state=VmState.LEAVING) if node.vm_id in leaving else node.vm
            for node in nodes
        ),
    )


def render_settings(node: Node, spec: FleetSpec, platform_port: int, folder: Path) -> str:
    """Return the settings of a VM's daemon as TOML."""
    platform = f"http://{LOOPBACK}:{platform_port}/v1"
    vm = node.vm
    tables: dict[str, dict[str, str | int]] = {
        "vm": {"id": vm.vm_id, "service": vm.service, "failure_domain": vm.failure_domain},
        "listen": {
            "host": vm.host,
            "caller_port": vm.caller_port,
            "peer_port": vm.peer_port,
            "operator_port": node.operator_port,
        },
        "backend": {
            "host": LOOPBACK,
            "port": node.backend_port,
            "slots": node.behaviour.slots,
        },
        "platform": {"config_url": f"{platform}/config", "vms_url": f"{platform}/vms"},
        "tls": {
            "peer_certificate": str(folder / f"{vm.vm_id}.pem"),
            "peer_key": str(folder / f"{vm.vm_id}.key"),
            "peer_ca": str(folder / "ca.pem"),
        },
        "log": {"format": spec.log_format, "level": spec.log_level},
        "timing": dict(spec.timing),
    }
    if spec.caller_tls:
        tables["tls"]["caller_certificate"] = str(folder / f"{vm.vm_id}.pem")
        tables["tls"]["caller_key"] = str(folder / f"{vm.vm_id}.key")
    return "\n".join(_render_table(name, table) for name, table in tables.items())


def _render_table(name: str, table: dict[str, str | int]) -> str:
    lines = [f"[{name}]"]
    for key, value in table.items():
        lines.append(f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}")
    return "\n".join([*lines, ""])
