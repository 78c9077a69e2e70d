"""Status object and metrics of a daemon for operators."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from wisteria_config import document_digest
from wisteria_core import Priority, Vm, VmList, VmState
from wisteria_limits import describe_budget, describe_owner
from wisteria_ownership import describe as describe_ownership
from wisteria_wire import LinkPool

from .fleet import FleetView
from .gaps import GapMonitor
from .metrics import (
    BACKEND_CALLS,
    CONCURRENCY_LIMIT,
    CONFIG_AGE,
    CONFIG_VERSION,
    HELD_BYTES,
    IN_FLIGHT,
    LINK_BYTES,
    LOANS,
    LOOP_GAP,
    MISDIRECTED_CALLS,
    MS_PER_S,
    PEERS,
    QUEUE_DEPTH,
    READY,
    RETRIES,
    SLOTS_OWNED,
    Labels,
    Metrics,
)
from .operators import Readiness
from .parts import CallParts, DaemonContext, SharedParts

_MILLI = 1_000
_HOLDING = "holding"

Series = Iterable[tuple[Labels, float]]


@attrs.frozen(eq=False)
class Diagnostics:
    """Collects status and metrics from the components of one daemon.

    Parameters
    ----------
    check_ready : callable
        Returns whether the daemon accepts calls.
    """

    context: DaemonContext
    shared: SharedParts
    path: CallParts
    gaps: GapMonitor
    check_ready: Callable[[], Readiness]

    def describe_status(self) -> dict[str, Any]:
        """Return JSON-serializable data without secrets."""
        readiness = self.check_ready()
        document = self.shared.configuration.document
        vm = self.context.settings.vm
        now_ms = self.context.clock.now_ms()
        ownership = describe_ownership(self.shared.slots.ownership)
        return {
            "version": document.version if document else None,
            "digest": document_digest(document).hex() if document else None,
            "age_ms": self.shared.configuration.age_ms(),
            "ready": readiness.ready,
            "reason": readiness.reason,
            "vm": vm.id,
            "incarnation": self.context.incarnation,
            "service": vm.service,
            "failure_domain": vm.failure_domain,
            "list_version": ownership["list_version"],
            "longest_loop_gap_ms": self.gaps.longest_ms,
            "peers": describe_peers(self.context.vm_id, self.shared.fleet, self.shared.links),
            "slots": _describe_slots(ownership["slots"]),
            "slot_events": ownership["counts"],
            "limits": [self.path.serving.gate.describe()],
            "queues": {
                "entry": self.path.entry.in_flight,
                "serving": self.path.serving.in_flight,
            },
            "rates": describe_budget(self.shared.rates.budget),
            "loans": describe_owner(self.shared.rates.owner),
            "poison": self.path.serving.crashes.detector.describe(now_ms),
            "chain_levels": self.path.entry.levels.describe(now_ms),
            "control": self._describe_control(),
        }

    def register(self) -> None:
        """Register the gauges and pass counters to the components."""
        metrics = self.context.metrics
        register_gauges(metrics, self)
        self.shared.control.link_bytes = metrics.counter(LINK_BYTES)
        self.path.serving.backend_calls = metrics.counter(BACKEND_CALLS)
        self.path.entry.forwarder.retry_counts = metrics.counter(RETRIES)
        misdirected = metrics.counter(MISDIRECTED_CALLS)
        self.path.serving.misdirected = misdirected
        self.path.entry.forwarder.misdirected = misdirected

    def count_queued(self) -> Series:
        """Count queued calls by priority."""
        waiting = self.path.serving.count_waiting()
        return [((priority.name.lower(),), waiting[priority]) for priority in Priority]

    def count_peers(self) -> Series:
        """Count other VMs by status."""
        peers = describe_peers(self.context.vm_id, self.shared.fleet, self.shared.links)
        return _count_labels(str(peer["status"]) for peer in peers)

    def count_slots(self) -> Series:
        """Count owned slots by family."""
        slots = self.shared.slots.ownership.held_slots()
        return _count_labels(slot.family.value for slot in slots)

    def count_loans(self) -> float:
        """Count tokens lent and not yet reported as spent; one token is one call."""
        loans = describe_owner(self.shared.rates.owner).values()
        return sum(loan["outstanding_milli"] for loan in loans) / _MILLI

    def read_config_version(self) -> float:
        """Return the version of the active document; 0 before the first."""
        document = self.shared.configuration.document
        return document.version if document is not None else 0

    def read_config_age(self) -> float:
        """Return seconds since the last confirmation; -1 if there was none."""
        age_ms = self.shared.configuration.age_ms()
        return age_ms / MS_PER_S if age_ms >= 0 else -1

    def _describe_control(self) -> dict[str, Any]:
        control = self.shared.control
        sent, received = self.shared.links.count_bytes()
        return {
            "sent_bytes": control.sent_bytes,
            "received_bytes": control.received_bytes,
            "open_link_sent_bytes": sent,
            "open_link_received_bytes": received,
            "config_reads": self.shared.configuration.reads,
            "counts": dict(sorted(control.counts.items())),
        }


def register_gauges(metrics: Metrics, source: Diagnostics) -> None:
    """Register gauges that are read on every scrape."""
    gate = source.path.serving.gate
    metrics.set_gauge(QUEUE_DEPTH, source.count_queued)
    metrics.set_gauge(CONCURRENCY_LIMIT, gate.limiter.limit)
    metrics.set_gauge(IN_FLIGHT, gate.running)
    metrics.set_gauge(HELD_BYTES, lambda: float(source.shared.links.budget.held_bytes))
    metrics.set_gauge(CONFIG_VERSION, source.read_config_version)
    metrics.set_gauge(CONFIG_AGE, source.read_config_age)
    metrics.set_gauge(READY, lambda: float(source.check_ready().ready))
    metrics.set_gauge(PEERS, source.count_peers)
    metrics.set_gauge(SLOTS_OWNED, source.count_slots)
    metrics.set_gauge(LOANS, source.count_loans)
    metrics.set_gauge(LOOP_GAP, lambda: source.gaps.longest_ms / MS_PER_S)


def describe_peers(own_vm: str, fleet: FleetView, links: LinkPool) -> list[dict[str, object]]:
    """Return name, state, status and connection of each other VM of the list."""
    vm_list: VmList | tuple[Vm, ...] = fleet.vm_list if fleet.vm_list is not None else ()
    return [
        {
            "vm": vm.vm_id,
            "state": vm.state.value,
            "status": _find_status(vm, fleet, links),
            "connected": links.find(vm.vm_id) is not None,
        }
        for vm in vm_list
        if vm.vm_id != own_vm
    ]


def _find_status(vm: Vm, fleet: FleetView, links: LinkPool) -> str:
    """Return ``leaving``, ``unusable``, ``linked``, or ``unlinked`` if no link was needed yet."""
    if vm.state is not VmState.LIVE:
        return "leaving"
    if not fleet.is_usable(vm.vm_id):
        return "unusable"
    return "linked" if links.find(vm.vm_id) is not None else "unlinked"


def _describe_slots(slots: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        {"name": slot["slot"], "term": slot["term"]} for slot in slots if slot["phase"] == _HOLDING
    ]


def _count_labels(labels: Iterable[str]) -> Series:
    return [((label,), number) for label, number in sorted(Counter(labels).items())]
