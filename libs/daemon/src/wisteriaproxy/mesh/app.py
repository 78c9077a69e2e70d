"""Mesh daemon: builds the components, applies what the platform publishes, shuts down."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from wisteria_admission import (
    AdmissionConfig,
    AdmissionGate,
    ChainLevels,
    DemandConfig,
    FixedLimiter,
)
from wisteria_config import Document
from wisteria_core import Clock, FailureDomain, Refusal, ResultCode, VmId, VmList
from wisteria_limits import SharedRateConfig, SharedRateLimiter
from wisteria_routing import CrashReport, LoadBalancerConfig, PoisonDetector, SuspicionCleared
from wisteria_wire import ByteBudget, CallerLimits, CallHead, Link, LinkPool, ServedCall

from ..audit import AuditTrail
from ..backend import BackendServer
from ..callers import CallerListener
from ..calls import CallRegistry
from ..cold_start import ColdStartMonitor
from ..control.plane import ControlPlane
from ..crashes import CrashMonitor
from ..entry import EntryHandler
from ..fleet import FleetView
from ..forward import Forwarder
from ..gaps import GapMonitor
from ..incarnation import make_incarnation
from ..metrics import (
    AUDIT_EVENTS,
    BACKEND_CALLS,
    CONFIG_VERSION,
    CONTROL_REFUSED,
    HELD_BYTES,
    IN_FLIGHT,
    LINK_FAULTS,
    LOOP_GAP,
    MISDIRECTED_CALLS,
    READY,
    RETRIES,
    TASK_FAILURES,
    Metrics,
)
from ..responders import LocalCall
from ..serving import ServingHandler
from ..settings import SettingsErrors, load_settings_of
from ..task_keeper import BackgroundTasks, keep_running
from .const import ANSWER_GRACE_MS, GATE_TICK_MS
from .directory import EntryChanges
from .endpoints import (
    PATH_METRICS,
    PATH_STATUS,
    Endpoint,
    make_metrics_page,
    make_ready_page,
    make_status_page,
)
from .entries import StorePosition
from .memory import find_budget
from .news import ReportExchange
from .notices import NoticeHandler
from .ports import open_port
from .rates import SharedRates
from .settings import MeshSettings, parse_address
from .settings_file import watch_settings
from .sources import Platform, PublishedConfig
from .stop import PlannedStop

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_NOT_READY_RETRY_MS = 200
"""Retry-after advice while the daemon is not ready: a start takes about half a second."""
LOAD_BALANCER_CONFIG = LoadBalancerConfig(local_load=0.5, explore_share=0.01)
"""Servers of the own failure domain are preferred up to half load, below which no server queues.
The share of calls sent elsewhere to compare latencies is small, as traffic between failure domains
is charged."""
ADMISSION_CONFIG = AdmissionConfig(reserve_share=0.02, sheds_children=False, demand=DemandConfig())
"""A slot or two are reserved for urgent calls. The shedding level spares child calls, so that the
work of their admitted parents is not lost; a full queue or a deadline out of reach still refuses
them."""
LIMIT_FRACTION = 0.95
"""Concurrency limit as a fraction of the slots. Services that can become the bottleneck slow down
above it, which costs more than the remaining slots bring; see `script/bench graph`."""
OVERAGE_FRACTION = 0.7
"""Fraction of the permitted overage of an account that the rate limiter uses; the rest covers what
daemons admit before they receive one another's reports."""


class MeshDaemon:
    """A daemon and its components.

    Parameters
    ----------
    settings : MeshSettings
        Checked settings.
    settings_path : Path
        File they were read from; polled for changes.
    platform : Platform
        Source of the configuration and of the list of VMs, and the HTTP dialects.
    """

    def __init__(
        self,
        settings: MeshSettings,
        settings_path: Path,
        platform: Platform,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.call_tasks = BackgroundTasks(asyncio.get_running_loop())
        self.stopping = anyio.Event()
        self.published: PublishedConfig | None = None
        self.vm_list: VmList | None = None
        self.vm_id = VmId(settings.vm.id)
        self.incarnation = make_incarnation()
        self.metrics = Metrics()
        self.audit = AuditTrail(counts=self.metrics.counter(AUDIT_EVENTS))
        self._settings_path = settings_path
        self._source = platform.make_source(settings, clock, self.metrics)
        random = Random(self.incarnation)
        bounds = settings.bounds
        self.rate_limiter = SharedRateLimiter(
            self.vm_id,
            SharedRateConfig(
                overage=bounds.rate_overage * OVERAGE_FRACTION,
                slack=bounds.rate_slack * OVERAGE_FRACTION,
            ),
        )
        self.budget = ByteBudget(find_budget(settings.bounds.memory_mb))
        self.links = LinkPool(self, self.vm_id, self.incarnation, None, clock, self.budget)
        self.fleet = FleetView(
            FailureDomain(settings.vm.failure_domain),
            random,
            clock,
            is_usable=self._is_usable,
            is_connected=lambda vm_id: vm_id == self.vm_id or self.exchange.is_responsive(vm_id),
            retry_slack=settings.bounds.retry_slack,
            load_balancer_config=LOAD_BALANCER_CONFIG,
        )
        self.control = ControlPlane(
            self.vm_id,
            self.incarnation,
            self.links,
            tasks,
            self.fleet.find_vm,
            refused=self.metrics.counter(CONTROL_REFUSED),
        )
        self.exchange = ReportExchange(
            self.vm_id,
            FailureDomain(settings.vm.failure_domain),
            clock,
            self.links,
            self.control,
            self.rate_limiter,
            self._source,
            is_leaving=lambda: self.serving.is_leaving,
            read_published=lambda: self.published,
            read_vm_list=lambda: self.vm_list,
            update_document=self.update_document,
            update_vm_list=self.update_vm_list,
            on_change=self._handle_peer_change,
            on_evacuations=self._apply_evacuations,
        )
        self.gaps = GapMonitor(clock, settings.timing.loop_gap_ms, self.metrics, self._handle_gap)
        self._build_call_path(platform, random)
        self.ready_port = Endpoint({"*": make_ready_page(self.is_ready)})
        self.operator_port = Endpoint(
            {
                PATH_METRICS: make_metrics_page(self.metrics.render),
                PATH_STATUS: make_status_page(self.describe_status),
            }
        )
        self._set_gauges()

    def _build_call_path(self, platform: Platform, random: Random) -> None:
        settings, clock = self.settings, self.clock
        self.backend = BackendServer(
            settings.backend.to_backend_settings(),
            clock,
            platform.backend_dialect(settings),
            allows_close_delimited=True,
        )
        crashes = CrashMonitor(
            PoisonDetector(self.vm_id, str(self.incarnation)),
            self.backend,
            clock,
            lambda: self.fleet.list_service_peers(self.settings.vm.service, self.vm_id),
            self.control.send,
        )
        self.control.register(crashes.handle_report, CrashReport, SuspicionCleared)
        slots = settings.backend.slots
        # calls carry no token on this platform, so a counter is enough
        registry = CallRegistry(make_token=map(str, itertools.count()).__next__)
        self.serving = ServingHandler(
            gate=AdmissionGate(
                slots,
                settings.vm.service,
                self.vm_id,
                ADMISSION_CONFIG,
                FixedLimiter(slots, LIMIT_FRACTION),
            ),
            backend=self.backend,
            registry=registry,
            clock=clock,
            vm_id=self.vm_id,
            read_document=self._read_document,
            check_ready=lambda: None,
            crashes=crashes,
            needs_document=False,
            tick_ms=GATE_TICK_MS,
            read_vm=lambda: self.fleet.find_vm(self.vm_id),
            needs_process=True,
            misdirected=self.metrics.counter(MISDIRECTED_CALLS),
            backend_calls=self.metrics.counter(BACKEND_CALLS),
        )
        self.cold_start = ColdStartMonitor(
            settings.vm.service,
            self.serving,
            self.backend,
            clock,
            settings.bounds.cold_overage,
            settings.bounds.cold_slack,
        )
        self.serving.on_wait = self.cold_start.request_check
        crashes.on_crash = self.serving.gate.cold_start.note_restart
        notices = NoticeHandler(self.serving.gate, self.exchange, clock)
        self.backend.on_notice = notices.handle
        forwarder = Forwarder(
            self.fleet,
            self.exchange,
            self.links,
            clock,
            random,
            self.vm_id,
            self._serve_locally,
            retry_counts=self.metrics.counter(RETRIES),
            misdirected=self.metrics.counter(MISDIRECTED_CALLS),
        )
        self.entry = EntryHandler(
            dialect=platform.caller_dialect(
                lambda: self.settings,
                lambda: self.serving.in_flight > 0,
                lambda remaining_ms: registry.find_by_deadline(clock.now_ms() + remaining_ms),
            ),
            forwarder=forwarder,
            at_most_once=forwarder,
            rates=SharedRates(self.rate_limiter, clock),
            levels=ChainLevels(),
            metrics=self.metrics,
            clock=clock,
            read_document=self._read_document,
            check_ready=self._check_ready,
            answer_grace_ms=ANSWER_GRACE_MS,
            log_level=logging.INFO,
        )
        self.callers = CallerListener(
            self.entry, self.call_tasks.spawn, None, self._read_limits, self.budget
        )

    # LinkHandler

    def handle_link_open(self, link: Link) -> bool:
        """Register the link and send the peer a report."""
        assert link.peer is not None
        self.links.add(link)
        self.exchange.note_link_open(link)
        return True

    def handle_call(self, served: ServedCall, head: CallHead) -> None:
        self.call_tasks.spawn(self.serving.serve, served, head)

    def handle_control(self, link: Link, kind: int, payload: bytes) -> None:
        self.control.handle(link, kind, payload)

    def handle_link_closed(self, link: Link, reason: str) -> None:
        """Remove the link and count the reason."""
        self.links.remove(link)
        self.metrics.counter(LINK_FAULTS).add((reason,))
        self.exchange.note_link_closed(link, reason)

    # Listener

    def update_document(self, published: PublishedConfig, origin: str) -> None:
        """Apply a configuration newer than the one in force."""
        document = published.document
        known = self.published.document.version if self.published is not None else 0
        if document.version <= known:
            return
        before = self.published
        self.published = published
        try:
            self._apply_published(published, before)
        except Exception:
            # the version must not count as known, or it would never be applied
            self.published = before
            raise
        ended = 0
        if self.settings.bounds.strict_revocation:
            ended = self.entry.end_withdrawn(document) + self.serving.end_withdrawn(document)
        _LOGGER.info(
            "configuration_in_force",
            extra={"version": document.version, "was": known, "origin": origin, "ended": ended},
        )
        self.audit.record(
            "configuration",
            "document",
            "accepted",
            f"published, read from {origin}",
            from_version=known,
            to_version=document.version,
        )
        self.exchange.note_document()

    def _apply_published(self, published: PublishedConfig, before: PublishedConfig | None) -> None:
        document = published.document
        self.fleet.apply_document(document)
        had_services = before.services if before is not None else None
        if self.vm_list is not None and published.services != had_services:
            self.exchange.update_list()
        self.cold_start.apply_document(document)
        self.rate_limiter.apply_rates(self.clock.now_ms(), published.rates)

    def update_entries(self, changes: EntryChanges) -> bool:
        return self.exchange.apply_store_changes(changes)

    def update_evacuations(
        self, position: StorePosition, domains: frozenset[FailureDomain]
    ) -> None:
        self.exchange.apply_evacuations(position, domains)

    def note_store(self, *, is_reached: bool) -> None:
        self.exchange.note_store(is_reached=is_reached)

    def update_vm_list(self, vm_list: VmList) -> None:
        before = {vm.vm_id: vm for vm in self.vm_list} if self.vm_list is not None else {}
        after = {vm.vm_id: vm for vm in vm_list}
        self.vm_list = vm_list
        self.exchange.apply_list(vm_list)
        self._update_draining()
        self.fleet.apply_list(vm_list)
        if self.published is not None:
            self.fleet.apply_document(self.published.document)
        self.rate_limiter.set_daemon_count(len(vm_list))
        own = after.get(self.vm_id)
        is_removed = own is None and (self.vm_id in before or self.serving.is_removed)
        if is_removed != self.serving.is_removed:
            self.serving.set_removed(is_removed)
        if own is not None:
            self.cold_start.apply_vm(own)
        if own is not None and own.slots and own.slots != self.serving.gate.slots:
            self.serving.set_slots(own.slots)
        if not before:
            _LOGGER.info("vm_list_read", extra={"vms": len(after)})
            return
        for vm_id in before.keys() | after.keys():
            if before.get(vm_id) != after.get(vm_id):
                self._log_vm(vm_id, after)

    @staticmethod
    def _log_vm(vm_id: VmId, after: dict[VmId, Any]) -> None:
        vm = after.get(vm_id)
        state = vm.state.value if vm is not None else "gone"
        extra = {
            "vm": vm_id,
            "state": state,
            "instance": vm.instance if vm is not None else "",
            "service": vm.service if vm is not None else "",
        }
        _LOGGER.info("vm_changed", extra=extra)

    # running

    async def run(self) -> bool:
        """Run until a stop is requested; return whether every call was finished."""
        listen = self.settings.listen
        # calls can be served while the port for operators is in use
        is_stopping = self.stopping.is_set
        operator_setup = self.operator_port.async_setup
        self.tasks.start_soon(open_port, is_stopping, operator_setup, listen.operators)
        await open_port(is_stopping, self.ready_port.async_setup, listen.ready)
        await open_port(is_stopping, self.links.async_setup, *parse_address(listen.peers))
        await open_port(is_stopping, self.callers.async_setup, *parse_address(listen.callers))
        failures = self.metrics.counter(TASK_FAILURES)
        runs: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "gaps": self.gaps.run,
            "gate": self.serving.run_ticks,
            "cold_start": self.cold_start.run,
            "control": self.exchange.run,
            "settings": partial(watch_settings, self._settings_path, self.reload_settings),
            "source": partial(self._source.run, self),
        }
        for name, run in runs.items():
            self.tasks.start_soon(keep_running, name, run, failures)
        _LOGGER.info(
            "daemon_started",
            extra={
                "vm": self.vm_id,
                "service": self.settings.vm.service,
                "incarnation": self.incarnation,
            },
        )
        await self.stopping.wait()
        stop = PlannedStop(
            self.settings.bounds.grace_s,
            self.clock,
            self.entry,
            self.serving,
            self.exchange,
            self.callers,
            self.links,
            self.backend,
            self.ready_port,
            self.call_tasks,
        )
        is_clean = await stop.run()
        self.tasks.cancel_scope.cancel()
        return is_clean

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self.stopping.set()

    def is_ready(self) -> bool:
        """Return whether callers may send new work."""
        return not self.stopping.is_set() and self._check_ready() is None

    def describe_status(self) -> dict[str, object]:
        """Return the state for operators, without secrets."""
        now_ms = self.clock.now_ms()
        return {
            "vm": self.vm_id,
            "service": self.settings.vm.service,
            "version": self.exchange.version,
            "ready": self.is_ready(),
            "evacuated": sorted(self.exchange.evacuated),
            "gate": self.serving.gate.describe(),
            "cold": self.serving.gate.cold_start.is_cold(now_ms),
            "rates": self.rate_limiter.describe(now_ms),
            "peers": self.exchange.describe(now_ms),
            "platform": self._source.describe(now_ms),
        }

    def reload_settings(self) -> None:
        """Read the settings again and apply what can change without a restart."""
        loaded = load_settings_of(MeshSettings, self._settings_path)
        if isinstance(loaded, SettingsErrors):
            _LOGGER.error("settings_refused", extra={"errors": str(loaded)})
            return
        if loaded == self.settings:
            return
        before = self.settings
        vm = attrs.evolve(before.vm, service=loaded.vm.service)
        is_applied = attrs.evolve(before, log=loaded.log, vm=vm) == loaded
        logging.getLogger(__package__.partition(".")[0]).setLevel(loaded.log.level.upper())
        self.settings = loaded
        if loaded.vm.service != before.vm.service:
            self._apply_service(loaded.vm.service)
        _LOGGER.info("settings_reloaded", extra={"needs_restart": not is_applied})

    def _apply_service(self, service: str) -> None:
        """Take over that a backend server of another service runs on this VM."""
        self.serving.gate.service = service
        self.cold_start.service = service
        if self.published is not None:
            self.cold_start.apply_document(self.published.document)

    # internal

    def _handle_peer_change(self) -> None:
        self._update_draining()
        self.fleet.refresh()

    def _apply_evacuations(self) -> None:
        """Stop or resume calls to the backend servers of evacuated failure domains."""
        before, after = self.fleet.evacuated, self.exchange.evacuated
        if before == after:
            return
        for domain in sorted(before ^ after):
            has_begun = domain in after
            _LOGGER.info("evacuation_changed", extra={"domain": domain, "on": has_begun})
            reason = "evacuated by the operators" if has_begun else "evacuation taken back"
            self.audit.record("evacuation", domain, "changed", reason)
        self.fleet.set_evacuated(after)
        is_evacuated = self.settings.vm.failure_domain in after
        if is_evacuated != self.serving.is_evacuated:
            self.serving.set_evacuated(is_evacuated)

    def _update_draining(self) -> None:
        """Refuse calls for the backend server while it is leaving, and tell the peers."""
        is_draining = self.exchange.leaving_servers.is_leaving(self.vm_id)
        if is_draining != self.serving.is_draining:
            self.serving.set_draining(is_draining)
            self.exchange.announce_leaving()

    def _serve_locally(self, call: LocalCall, head: CallHead) -> None:
        self.call_tasks.spawn(self.serving.serve, call, head)

    def _is_usable(self, vm_id: VmId) -> bool:
        if vm_id == self.vm_id:
            return not self.serving.is_leaving
        return self.exchange.is_usable(vm_id)

    def _read_document(self) -> Document | None:
        return self.published.document if self.published is not None else None

    def _read_limits(self) -> CallerLimits:
        if self.published is None:
            return CallerLimits()
        limits = self.published.document.limits
        return CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    def _check_ready(self) -> Refusal | None:
        if self.published is None:
            return _not_ready("the configuration in force has not been learned yet")
        if self.vm_list is None:
            return _not_ready("the list of VMs has not been read yet")
        return None

    def _handle_gap(self) -> None:
        """Discard what the pause has made outdated; running calls and their links stay."""
        self.exchange.handle_gap()

    def _set_gauges(self) -> None:
        self.metrics.set_gauge(READY, lambda: float(self.is_ready()))
        self.metrics.set_gauge(CONFIG_VERSION, lambda: float(self.exchange.version))
        self.metrics.set_gauge(HELD_BYTES, lambda: float(self.budget.held_bytes))
        self.metrics.set_gauge(IN_FLIGHT, lambda: float(self.serving.gate.running()))
        self.metrics.set_gauge(LOOP_GAP, lambda: self.gaps.longest_ms / _MS_PER_S)


def _not_ready(reason: str) -> Refusal:
    return Refusal(ResultCode.NOT_READY, reason, retry_after_ms=_NOT_READY_RETRY_MS)
