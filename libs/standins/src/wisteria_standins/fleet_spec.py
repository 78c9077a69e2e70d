"""What a small fleet on loopback consists of, and the plan of its VMs."""

from collections.abc import Callable
from pathlib import Path

import attrs

from wisteria_core import FailureDomain, Vm, VmId, VmList, VmState

from .behaviour import Behaviour
from .const import LOOPBACK
from .passthrough import PassthroughSpec, Upstream


@attrs.frozen
class ServiceSpec:
    """One service of the fleet.

    Parameters
    ----------
    name : str
        Name of the service.
    vms : int
        Number of its VMs, spread over the failure domains in turn.
    behaviour : Behaviour
        How each of its backend servers behaves; the seed differs for each.
    """

    name: str
    vms: int = 1
    behaviour: Behaviour = Behaviour()


@attrs.frozen
class Baseline:
    """Plain reverse proxies in place of the daemons, without overload control.

    Parameters
    ----------
    services : dict
        Service that answers, by the start of the path.
    attempts : int
        Tries of each call at each hop.
    timeout_ms : int
        Longest wait for one try, in milliseconds.
    """

    services: dict[str, str]
    attempts: int = 3
    timeout_ms: int = 10_000


@attrs.frozen
class FleetSpec:
    """A fleet.

    Parameters
    ----------
    services : tuple of ServiceSpec
        Its services.
    document : bytes
        First configuration document.
    domains : tuple of str
        Its failure domains.
    timing : dict
        Keys of the daemon's [timing] section.
    caller_tls : bool
        Whether daemons serve callers over TLS.
    log_format, log_level : str
        Form and least level of the daemons' log lines.
    with_daemons : bool
        Whether to start daemons; False leaves callers to reach the backend servers directly.
    with_backends : bool
        Whether to start backend servers.
    baseline : Baseline or None
        What to start in place of the daemons.
    ready_timeout_s, stop_timeout_s : float
        Longest times for the whole fleet to become ready, and for one process to stop.
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
    """One VM of the fleet: its entry in the list, and its other ports."""

    vm: Vm
    operator_port: int
    backend_port: int
    behaviour: Behaviour

    @property
    def vm_id(self) -> str:
        """Return the name of the VM."""
        return self.vm.vm_id


def plan_nodes(spec: FleetSpec, take_port: Callable[[], int]) -> list[Node]:
    """Return the VMs of the fleet with a port for each listener."""
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
    """Return where the plain reverse proxy of each VM forwards."""
    upstreams = tuple(
        Upstream(prefix, tuple(node.backend_port for node in nodes if node.vm.service == service))
        for prefix, service in baseline.services.items()
    )
    return PassthroughSpec(upstreams, baseline.attempts, baseline.timeout_ms)


def make_vm_list(nodes: list[Node], version: int, leaving: frozenset[str]) -> VmList:
    """Return the list of VMs as the platform publishes it."""
    return VmList(
        version,
        tuple(
            attrs.evolve(node.vm, state=VmState.LEAVING) if node.vm_id in leaving else node.vm
            for node in nodes
        ),
    )


def render_settings(node: Node, spec: FleetSpec, platform_port: int, folder: Path) -> str:
    """Return the TOML settings of the daemon of one VM."""
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
