"""Simulation of the control traffic of a fleet, with a store that daemons may be cut off from."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from wisteria_core import FailureDomain, Vm, VmId, VmList, VmState
from wisteria_limits import AccountRate, SharedRateLimiter
from wisteriaproxy.mesh.const import (
    BROADCAST_OFFSET_MS,
    REPORT_INTERVAL_MS,
    SUMMARY_OFFSET_MS,
)
from wisteriaproxy.mesh.directory import START, EntryChanges
from wisteriaproxy.mesh.entries import ServerEntry, StorePosition
from wisteriaproxy.mesh.messages import DocumentAsk, Evacuations
from wisteriaproxy.mesh.node import ControlNode

ACCOUNT = "a"
LAG_MS = 2
STORE_LAG_MS = 5
DOMAINS = 6


@attrs.define(eq=False)
class Daemon:
    """A daemon of the simulation.

    Parameters
    ----------
    is_frozen : bool
        Whether it neither runs nor takes messages.
    reaches_store : bool
        Whether the store answers it.
    is_older : bool
        Whether its version knows nothing of evacuations.
    """

    vm: Vm
    node: ControlNode = attrs.field(init=False)
    is_frozen: bool = False
    reaches_store: bool = True
    is_older: bool = False
    store_position: int = 0
    list_version: int = 0
    evacuations_read: StorePosition = START


@attrs.define(eq=False)
class ControlFleet:
    """Daemons in six failure domains, a network and a store with entries of their servers.

    Parameters
    ----------
    sent : Counter
        Messages sent, by class.
    store_calls : int
        Answers of the store.
    """

    size: int
    now_ms: int = 1_000
    rate: AccountRate = AccountRate(ACCOUNT, 100, 100)
    daemons: dict[VmId, Daemon] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    sent_by: Counter[VmId] = attrs.field(factory=Counter)
    crossed: int = 0
    store_calls: int = 0
    cut: set[VmId] = attrs.field(factory=set)
    evacuated: frozenset[FailureDomain] = frozenset()
    _evacuated_at: StorePosition = StorePosition(1, 0)
    _events: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _order: Any = attrs.field(factory=itertools.count)
    _history: list[EntryChanges] = attrs.field(factory=list)
    _entries: dict[str, ServerEntry] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for number in range(self.size):
            vm = make_vm(number)
            self._entries[vm.instance] = ServerEntry(
                vm.instance, vm, 1, StorePosition(1, number + 1), 1
            )
            self._add(vm)

    def at(self, time_ms: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._order), call))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, call = heapq.heappop(self._events)
            self.now_ms = time_ms
            call()
        self.now_ms = end_ms

    def nodes(self) -> list[ControlNode]:
        return [daemon.node for daemon in self.daemons.values()]

    def relays(self) -> list[VmId]:
        return [vm_id for vm_id, one in self.daemons.items() if one.node.is_relay]

    def drain(self, vm_id: VmId) -> None:
        """Write to the store that a backend server drains."""
        vm = attrs.evolve(self.daemons[vm_id].vm, state=VmState.LEAVING)
        position = StorePosition(1, self.size + len(self._history) + 1)
        entry = ServerEntry(vm.instance, vm, 1, position, len(self._history) + 2)
        base = self._history[-1].position if self._history else StorePosition(1, self.size)
        self._entries[vm.instance] = entry
        self._history.append(EntryChanges(False, base, position, (entry,)))

    def evacuate(self, *names: str) -> None:
        """Write to the store which failure domains are evacuated, and no others."""
        self.evacuated = frozenset(FailureDomain(name) for name in names)
        revision = self._evacuated_at.revision + 1
        self._evacuated_at = StorePosition(self._evacuated_at.epoch, revision)

    def restore_without_evacuations(self) -> None:
        """Go back to a copy of the store that was made before any evacuation."""
        self.evacuated = frozenset()
        self._evacuated_at = StorePosition(self._evacuated_at.epoch + 1, 0)

    def count_heeding(self, *names: str) -> int:
        """Return how many daemons treat these failure domains, and no others, as evacuated."""
        domains = {FailureDomain(name) for name in names}
        return sum(1 for node in self.nodes() if node.evacuations.in_force == domains)

    def count_informed(self, vm_id: VmId) -> int:
        """Return how many daemons know that a backend server drains."""
        lists = [daemon.node.directory.make_list() for daemon in self.daemons.values()]
        found = [one.find(vm_id) for one in lists]
        return sum(1 for vm in found if vm is not None and vm.state is VmState.LEAVING)

    def freeze(self, vm_id: VmId) -> None:
        self.daemons[vm_id].is_frozen = True

    def kill(self, vm_id: VmId) -> None:
        """End a daemon: its peers see their links closed."""
        self.daemons[vm_id].is_frozen = True
        for other in self.daemons.values():
            if other.vm.vm_id != vm_id:
                other.node.note_link_lost(self.now_ms, vm_id)

    def _add(self, vm: Vm) -> None:
        daemon = Daemon(vm)
        self.daemons[vm.vm_id] = daemon
        limiter = SharedRateLimiter(vm.vm_id)
        limiter.set_daemon_count(self.size)
        limiter.apply_rates(self.now_ms, {ACCOUNT: self.rate})
        daemon.node = ControlNode(
            vm.vm_id,
            vm.failure_domain,
            limiter,
            send=lambda target, message: self._send(vm.vm_id, target, message),
            send_document=lambda target: None,
            set_reading=lambda is_on: self._set_reading(daemon, is_on),
            on_list=lambda: self._apply_list(daemon),
            on_states=lambda: None,
        )
        # each reads the servers once at its start, as the first step of finding relays
        whole = EntryChanges(
            True, START, StorePosition(1, self.size), tuple(self._entries.values())
        )
        self.at(self.now_ms + 1, lambda: self._read_first(daemon, whole))

    def _read_first(self, daemon: Daemon, whole: EntryChanges) -> None:
        if not self._entries or len(whole.entries) < self.size:
            whole = attrs.evolve(whole, entries=tuple(self._entries.values()))
        daemon.node.apply_changes(self.now_ms, whole)
        self._tick(daemon)

    def _tick(self, daemon: Daemon) -> None:
        first_ms = (self.now_ms // REPORT_INTERVAL_MS + 1) * REPORT_INTERVAL_MS

        def report() -> None:
            if not daemon.is_frozen:
                daemon.node.report(self.now_ms)
            self.at(self.now_ms + REPORT_INTERVAL_MS, report)
            self.at(self.now_ms + SUMMARY_OFFSET_MS, exchange)
            self.at(self.now_ms + SUMMARY_OFFSET_MS + BROADCAST_OFFSET_MS, broadcast)

        def exchange() -> None:
            if not daemon.is_frozen and daemon.node.is_relay:
                daemon.node.exchange_domains(self.now_ms)

        def broadcast() -> None:
            if not daemon.is_frozen and daemon.node.is_relay:
                daemon.node.broadcast(self.now_ms)

        self.at(first_ms, report)

    def _apply_list(self, daemon: Daemon) -> None:
        daemon.list_version += 1
        daemon.node.apply_list(VmList(daemon.list_version, daemon.node.directory.make_list().vms))

    def _set_reading(self, daemon: Daemon, is_on: bool) -> None:
        if is_on:
            self.at(self.now_ms + STORE_LAG_MS, lambda: self._watch(daemon))

    def _watch(self, daemon: Daemon) -> None:
        """Poll the store for one daemon; only answers with changes count as calls."""
        if not daemon.node.is_reading:
            return
        if not daemon.is_frozen:
            daemon.node.note_store(self.now_ms, is_reached=daemon.reaches_store)
            if daemon.reaches_store:
                for changes in self._history[daemon.store_position :]:
                    daemon.node.apply_changes(self.now_ms, changes)
                    self.store_calls += 1
                daemon.store_position = len(self._history)
                self._read_evacuations(daemon)
        self.at(self.now_ms + 50, lambda: self._watch(daemon))

    def _read_evacuations(self, daemon: Daemon) -> None:
        if not daemon.is_older and daemon.evacuations_read != self._evacuated_at:
            daemon.evacuations_read = self._evacuated_at
            daemon.node.apply_evacuations(self.now_ms, self._evacuated_at, self.evacuated)

    def _send(self, sender: VmId, target: VmId, message: Any) -> None:
        if isinstance(message, DocumentAsk):
            return
        self.sent[type(message).__name__] += 1
        self.sent_by[sender] += 1
        source, found = self.daemons[sender], self.daemons.get(target)
        if found is None or (found.is_older and isinstance(message, Evacuations)):
            return
        self.crossed += source.vm.failure_domain != found.vm.failure_domain

        def deliver() -> None:
            if found.is_frozen:
                return
            if sender in self.cut or target in self.cut:
                return
            found.node.handle(self.now_ms, sender, message)

        self.at(self.now_ms + LAG_MS, deliver)


def make_vm(number: int) -> Vm:
    domain = FailureDomain(f"d{number % DOMAINS}")
    name = f"10.0.{number // 250}.{number % 250}"
    return Vm(VmId(name), name, 1, 2, domain, "yield", instance=f"i-{number}")
