"""VMs of the fleet: addresses, load balancers, retry budgets."""

from collections.abc import Callable
from random import Random

import attrs

from wisteria_config import Document, Service
from wisteria_core import Clock, FailureDomain, Vm, VmId, VmList, VmState
from wisteria_routing import Candidate, LoadBalancer, LoadBalancerConfig, RetryBudget, RetryConfig

_MILLI = 1_000
MAX_IN_FLIGHT = 1_000


@attrs.define(eq=False)
class FleetView:
    """Current list of VMs, with a load balancer and a retry budget for each service.

    Parameters
    ----------
    is_usable : callable
        Returns whether a VM is reachable and not leaving, according to membership.
    is_connected : callable
        Returns whether a link to a VM is open or, where links are opened by calls, whether its
        daemon reports; a VM for which it is false is chosen less.
    retry_slack : float or None
        Retries allowed on top of the retry ratio, divided among all daemons of the list; None
        gives each daemon the default burst of `RetryConfig`.
    evacuated : frozenset of FailureDomain
        Failure domains whose backend servers must get no calls.
    """

    failure_domain: FailureDomain
    random: Random
    clock: Clock
    is_usable: Callable[[VmId], bool]
    is_connected: Callable[[VmId], bool]
    retry_slack: float | None = None
    load_balancer_config: LoadBalancerConfig = LoadBalancerConfig()
    vm_list: VmList | None = None
    evacuated: frozenset[FailureDomain] = frozenset()
    _vms: dict[VmId, Vm] = attrs.field(factory=dict)
    _load_balancers: dict[str, LoadBalancer] = attrs.field(factory=dict)
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _connections: dict[str, int] = attrs.field(factory=dict)

    def find_vm(self, vm_id: VmId) -> Vm | None:
        return self._vms.get(vm_id)

    def find_server(self, vm_id: VmId, service: str) -> Vm | None:
        """Return a VM, or None if the list doesn't name it as one that runs the service."""
        vm = self._vms.get(vm_id)
        return vm if vm is not None and vm.service == service else None

    def lists_server(self, vm: Vm) -> bool:
        """Return whether the list still names the process of an earlier list on the VM."""
        current = self._vms.get(vm.vm_id)
        if current is None:
            return False
        return (current.service, current.instance) == (vm.service, vm.instance)

    def find_load_balancer(self, service: str) -> LoadBalancer | None:
        """Return the load balancer, or None if the list has no VM of the service."""
        return self._load_balancers.get(service)

    def find_budget(self, service: str) -> RetryBudget | None:
        """Return the retry budget, or None if the service is not configured."""
        return self._budgets.get(service)

    def list_service_peers(self, service: str, own_vm: VmId) -> list[VmId]:
        """Return the other VMs of a service."""
        if self.vm_list is None:
            return []
        return [vm.vm_id for vm in self.vm_list.of_service(service) if vm.vm_id != own_vm]

    def apply_list(self, vm_list: VmList) -> None:
        self.vm_list = vm_list
        self._vms = {vm.vm_id: vm for vm in vm_list}
        services = {vm.service for vm in vm_list}
        self._load_balancers = {
            service: self._load_balancers.get(service) or self._make_load_balancer(service)
            for service in services
        }
        self.refresh()

    def apply_document(self, document: Document) -> None:
        previous = self._budgets
        self._budgets = {}
        for service in document.services:
            config = self._make_retry_config(service)
            budget = previous.get(service.name)
            if budget is None or budget.config != config:
                budget = RetryBudget(config)
            self._budgets[service.name] = budget
            self._connections[service.name] = service.connections_max
            load_balancer = self._load_balancers.get(service.name)
            if load_balancer is not None:
                load_balancer.config = attrs.evolve(
                    load_balancer.config, max_in_flight=service.connections_max
                )

    def set_evacuated(self, domains: frozenset[FailureDomain]) -> None:
        """Replace the evacuated failure domains."""
        if domains != self.evacuated:
            self.evacuated = domains
            self.refresh()

    def refresh(self) -> None:
        """Update the load balancers with the current status of each VM."""
        if self.vm_list is None:
            return
        candidates: dict[str, list[Candidate]] = {service: [] for service in self._load_balancers}
        for vm in self.vm_list:
            usable = vm.state is VmState.LIVE and self.is_usable(vm.vm_id)
            candidates[vm.service].append(
                Candidate(
                    vm.vm_id,
                    vm.failure_domain,
                    usable,
                    connected=self.is_connected(vm.vm_id),
                    evacuated=vm.failure_domain in self.evacuated,
                    instance=vm.instance,
                )
            )
        now_ms = self.clock.now_ms()
        for service, load_balancer in self._load_balancers.items():
            load_balancer.update(now_ms, candidates[service])

    def _make_retry_config(self, service: Service) -> RetryConfig:
        config = RetryConfig(ratio_milli=round(service.retry_ratio * _MILLI))
        if self.retry_slack is None:
            return config
        daemons = len(self.vm_list) if self.vm_list is not None else 1
        return attrs.evolve(config, burst=max(1, int(self.retry_slack / max(1, daemons))))

    def _make_load_balancer(self, service: str) -> LoadBalancer:
        in_flight = self._connections.get(service, MAX_IN_FLIGHT)
        config = attrs.evolve(self.load_balancer_config, max_in_flight=in_flight)
        return LoadBalancer(self.failure_domain, self.random, config)
