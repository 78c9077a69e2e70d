"""Builds and connects the components of a daemon."""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from anyio.abc import TaskGroup

from wisteria_admission import (
    AdmissionConfig,
    AdmissionGate,
    AimdLimiter,
    ChainLevels,
    LimiterConfig,
)
from wisteria_config import Document
from wisteria_config.dissemination import (
    Disseminator,
    DocumentChunk,
    DocumentDelta,
    DocumentFetch,
    VersionAnnounce,
    VersionQuery,
)
from wisteria_core import Clock, FailureDomain, Refusal, VmId
from wisteria_ledger import Ledger, RunEnded
from wisteria_limits import AccountBudget, BorrowReply, BorrowRequest, LimitsConfig, SliceOwner
from wisteria_membership import Heartbeat, HeartbeatReply, Membership, Status
from wisteria_ownership import (
    Claim,
    ClaimReply,
    Farewell,
    HandOver,
    HandOverReply,
    Hello,
    HelloReply,
    Offer,
    OfferReply,
    Ownership,
    OwnershipConfig,
    SlotFamily,
)
from wisteria_routing import CrashReport, PoisonDetector, SuspicionCleared
from wisteria_wire import CallHead, LinkHandler, LinkPool, PeerMaterial

from .audit import AuditTrail
from .backend import BackendServer
from .callers import CallerListener
from .calls import CallRegistry
from .cold_start import ColdStartMonitor
from .configuration import ConfigurationManager
from .control import ownership_kinds as _ownership_kinds  # noqa: F401
from .control.plane import ControlPlane
from .crashes import CrashMonitor
from .dialect import NativeCallerDialect
from .entry import EntryHandler
from .fleet import FleetView
from .forward import Forwarder
from .health import HealthPoller
from .metrics import Metrics
from .once import AtMostOnceExecutor
from .once_router import AtMostOnceRouter
from .peers import PeerTable
from .platform import PlatformClient
from .rates import AccountRateLimiter
from .responders import LocalCall
from .serving import ServingHandler
from .settings import Settings
from .slots import SlotTable

LIMITER_MIN_SAMPLES = 50
LIMITER_TOLERANCE = 2.0


@attrs.frozen(eq=False)
class DaemonContext:
    """Settings and services that every component of a daemon uses.

    Parameters
    ----------
    incarnation : int
        Number of this daemon start; higher than that of every earlier start on the VM.
    """

    settings: Settings
    clock: Clock
    tasks: TaskGroup
    incarnation: int
    random: Random
    audit: AuditTrail
    metrics: Metrics

    @property
    def vm_id(self) -> VmId:
        return VmId(self.settings.vm.id)

    @property
    def failure_domain(self) -> FailureDomain:
        return FailureDomain(self.settings.vm.failure_domain)


@attrs.frozen(eq=False)
class SharedParts:
    """State shared by the fleet: links, configuration, slots, rates."""

    links: LinkPool
    fleet: FleetView
    control: ControlPlane
    peers: PeerTable
    configuration: ConfigurationManager
    slots: SlotTable
    rates: AccountRateLimiter


@attrs.frozen(eq=False)
class CallParts:
    """Components that a call passes through."""

    backend: BackendServer
    health: HealthPoller
    serving: ServingHandler
    cold_start: ColdStartMonitor
    at_most_once: AtMostOnceExecutor
    entry: EntryHandler
    callers: CallerListener


def build_shared(
    context: DaemonContext,
    owner: LinkHandler,
    client: PlatformClient,
    activate_document: Callable[[Document], None],
) -> SharedParts:
    """Build the components and register their control messages."""
    settings, clock = context.settings, context.clock
    material = PeerMaterial(
        settings.tls.peer_certificate, settings.tls.peer_key, settings.tls.peer_ca
    )
    links = LinkPool(owner, context.vm_id, context.incarnation, material, clock)
    fleet = FleetView(
        context.failure_domain,
        context.random,
        clock,
        is_usable=lambda vm_id: peers.is_usable(vm_id),
        is_connected=lambda vm_id: vm_id == context.vm_id or links.find(vm_id) is not None,
    )
    control = ControlPlane(context.vm_id, context.incarnation, links, context.tasks, fleet.find_vm)
    slots, rates = _build_slots(context, control)
    peers = PeerTable(
        Membership(context.vm_id, context.incarnation, clock.now_ms()),
        clock,
        context.audit,
        control.send,
        on_change=lambda vm_id, status: _handle_status_change(fleet, slots, vm_id, status),
        on_list_version=slots.note_list_version,
    )
    control.register(peers.handle, Heartbeat, HeartbeatReply)
    configuration = ConfigurationManager(
        Disseminator(context.vm_id, context.failure_domain, context.incarnation),
        client,
        clock,
        context.audit,
        context.tasks,
        control.send,
        activate_document,
    )
    control.register(
        configuration.handle,
        *(VersionQuery, VersionAnnounce, DocumentFetch, DocumentDelta, DocumentChunk),
    )
    return SharedParts(links, fleet, control, peers, configuration, slots, rates)


def _handle_status_change(fleet: FleetView, slots: SlotTable, vm_id: VmId, status: Status) -> None:
    fleet.refresh()
    slots.note_reachable(vm_id, status in (Status.LIVE, Status.LEAVING))


def _build_slots(
    context: DaemonContext, control: ControlPlane
) -> tuple[SlotTable, AccountRateLimiter]:
    clock, limits = context.clock, LimitsConfig()
    ownership = OwnershipConfig(
        longest_lease_ms=limits.lease_ms, fence_ms=context.settings.timing.loop_gap_ms
    )
    slots = SlotTable(
        Ownership(context.vm_id, context.incarnation, clock.now_ms(), ownership),
        clock,
        context.audit,
        control.send,
    )
    rates = AccountRateLimiter(
        AccountBudget(context.vm_id, context.failure_domain, context.incarnation, limits),
        SliceOwner(limits),
        clock,
        control.send,
        slots,
    )
    slots.handlers[SlotFamily.RATE] = rates
    control.register(_ignore_incarnation(rates.handle_request), BorrowRequest)
    control.register(_ignore_incarnation(rates.handle_reply), BorrowReply)
    control.register(
        slots.handle,
        *(Hello, HelloReply, Claim, ClaimReply, Offer, OfferReply),
        *(HandOver, HandOverReply, Farewell),
    )
    return slots, rates


def _ignore_incarnation(
    handle: Callable[[VmId, Any], None],
) -> Callable[[VmId, int, Any], None]:
    return lambda sender, _, message: handle(sender, message)


def build_call_path(
    context: DaemonContext,
    shared: SharedParts,
    check_ready: Callable[[], Refusal | None],
    detect_pause: Callable[[], None],
) -> CallParts:
    """Return the components that a call passes through.

    Parameters
    ----------
    check_ready : callable
        Returns the refusal to answer while the daemon is not ready, or None.
    detect_pause : callable
        Checks whether the event loop was paused; see `GapMonitor.observe`.
    """
    settings, clock = context.settings, context.clock
    registry, levels = CallRegistry(), ChainLevels()
    backend = BackendServer(settings.backend, clock)
    crashes = _build_crash_monitor(context, shared, backend)
    serving = ServingHandler(
        gate=AdmissionGate(
            settings.backend.slots,
            settings.vm.service,
            context.vm_id,
            AdmissionConfig(),
            AimdLimiter(make_limiter_config(settings.backend.slots), settings.backend.slots),
        ),
        backend=backend,
        registry=registry,
        clock=clock,
        vm_id=context.vm_id,
        read_document=lambda: shared.configuration.document,
        check_ready=check_ready,
        crashes=crashes,
        read_vm=lambda: shared.fleet.find_vm(context.vm_id),
    )
    cold_start = ColdStartMonitor(settings.vm.service, serving, backend, clock)
    serving.on_wait = cold_start.request_check
    crashes.on_crash = serving.gate.cold_start.note_restart

    def serve_locally(call: LocalCall, head: CallHead) -> None:
        context.tasks.start_soon(at_most_once.serve, call, head)

    forwarder = Forwarder(
        shared.fleet,
        shared.peers,
        shared.links,
        clock,
        context.random,
        context.vm_id,
        serve_locally,
    )
    at_most_once = AtMostOnceExecutor(
        ledger=Ledger(),
        slots=shared.slots,
        serving=serving,
        forwarder=forwarder,
        clock=clock,
        tasks=context.tasks,
        detect_pause=detect_pause,
        send=shared.control.send,
    )
    shared.slots.handlers[SlotFamily.LEDGER] = at_most_once
    shared.control.register(at_most_once.handle_run_ended, RunEnded)
    entry = EntryHandler(
        dialect=NativeCallerDialect(registry),
        forwarder=forwarder,
        at_most_once=AtMostOnceRouter(forwarder, shared.slots, clock, context.random),
        rates=shared.rates,
        levels=levels,
        metrics=context.metrics,
        clock=clock,
        read_document=lambda: shared.configuration.document,
        check_ready=check_ready,
    )
    return CallParts(
        backend=backend,
        health=HealthPoller(
            backend, serving, settings.timing.poll_ms, on_drain=shared.peers.set_leaving
        ),
        serving=serving,
        cold_start=cold_start,
        at_most_once=at_most_once,
        entry=entry,
        callers=CallerListener(
            entry, context.tasks.start_soon, settings.tls, budget=shared.links.budget
        ),
    )


def make_limiter_config(slots: int) -> LimiterConfig:
    """Return the concurrency limiter's settings; the limit starts at the configured slots.

    With fewer samples or a lower tolerance, the variance of exponentially distributed service
    times is mistaken for congestion and the limit collapses.
    """
    return LimiterConfig(
        initial=slots, min_samples=LIMITER_MIN_SAMPLES, tolerance=LIMITER_TOLERANCE
    )


def _build_crash_monitor(
    context: DaemonContext, shared: SharedParts, backend: BackendServer
) -> CrashMonitor:
    crashes = CrashMonitor(
        PoisonDetector(context.vm_id, str(context.incarnation)),
        backend,
        context.clock,
        lambda: shared.fleet.list_service_peers(context.settings.vm.service, context.vm_id),
        shared.control.send,
    )
    shared.control.register(crashes.handle_report, CrashReport, SuspicionCleared)
    return crashes
