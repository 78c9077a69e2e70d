"""The daemon: builds its parts, connects them, runs them until a stop."""

import logging
import secrets
import signal
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

from wisteria_admission import AdmissionConfig, AdmissionGate, ChainLevels
from wisteria_config import Document, DocumentErrors, document_digest, validate_document
from wisteria_core import Clock, FailureDomain, Refusal, ResultCode, VmId, VmList
from wisteria_limits import AccountBudget, BorrowReply, BorrowRequest, LimitsConfig, SliceOwner
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
from wisteria_wire import CallHead, Link, LinkPool, PeerMaterial, ServedCall

from .audit import AuditTrail
from .backend import BackendServer
from .callers import CallerPort
from .calls import CallRegistry
from .control.plane import ControlPlane
from .crashes import CrashWatch
from .entry import EntryPort
from .fleet import FleetView
from .forward import Forwarder
from .health import HealthPoller
from .metrics import Metrics
from .once import OnceRouter
from .operators import (
    OperatorApp,
    Readiness,
    async_setup_operators,
    async_unload_operators,
)
from .platform import (
    Backoff,
    DocumentRead,
    ListRead,
    NoNews,
    PlatformClient,
    ReadFailed,
    ReadResult,
    Resource,
    async_watch_platform,
    make_http_client,
)
from .rates import Rates
from .responders import LocalCall
from .serving import ServingPort
from .settings import Settings
from .slots import SlotTable, domains_of, list_slots

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
RESULT_BUFFER = 16
STOP_POLL_MS = 20
LEAVE_NOTICE_MS = 200


class Daemon:
    """One daemon and everything that it owns.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    clock : Clock
        Source of milliseconds.
    """

    def __init__(self, settings: Settings, clock: Clock, tasks: TaskGroup) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.own_vm = VmId(settings.vm.id)
        self.incarnation = secrets.randbits(16) | clock.now_ms() << 16
        self.document: Document | None = None
        self.document_age_from_ms = clock.now_ms()
        self.vm_list: VmList | None = None
        self.audit = AuditTrail()
        self.metrics = Metrics()
        self.stopping = anyio.Event()
        self.is_leaving = False
        self._random = Random(self.incarnation)
        self._build(settings)

    # LinkOwner

    def handle_link_open(self, link: Link) -> bool:
        """Keep the link of an authenticated peer."""
        assert link.peer is not None
        self.links.add(link)
        self.slots.note_reachable(link.peer.vm_id, True)
        self.fleet.refresh()
        return True

    def handle_call(self, served: ServedCall, head: CallHead) -> None:
        """Serve a call of another daemon."""
        self.tasks.start_soon(self.once.serve, served, head)

    def handle_control(self, link: Link, kind: int, payload: bytes) -> None:
        """Take in a control message."""
        self.control.handle(link, kind, payload)

    def handle_link_closed(self, link: Link, reason: str) -> None:
        """Forget a link; a peer without any link counts as silent."""
        self.links.remove(link)
        if link.peer is None or self.links.find(link.peer.vm_id) is not None:
            return
        _LOGGER.info("link_closed", extra={"peer": link.peer.vm_id, "reason": reason})
        self.rates.note_link_lost(link.peer.vm_id)

    # DaemonState

    def describe_status(self) -> dict[str, Any]:
        """Return what operators see."""
        now_ms = self.clock.now_ms()
        readiness = self.check_ready()
        document = self.document
        return {
            "version": document.version if document else None,
            "digest": document_digest(document).hex() if document else None,
            "age_ms": now_ms - self.document_age_from_ms,
            "ready": readiness.ready,
            "reason": readiness.reason,
            "vm": self.own_vm,
            "incarnation": self.incarnation,
            "service": self.settings.vm.service,
            "failure_domain": self.settings.vm.failure_domain,
            "peers": self._describe_peers(),
            "slots": [str(slot) for slot in self.slots.ownership.held_slots()],
            "limits": [self.serving.gate.describe()],
            "queues": {"entry": self.entry.in_flight, "serving": self.serving.in_flight},
        }

    def check_ready(self) -> Readiness:
        """Return whether the daemon takes calls."""
        refusal = self._check_ready()
        return Readiness(refusal is None, refusal.reason if refusal else "")

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self.stopping.set()

    # running

    async def run(self) -> bool:
        """Run until a stop is asked for; return whether every call was finished."""
        settings = self.settings
        listen = settings.listen
        await self.links.async_setup(listen.host, listen.peer_port)
        await self.callers.async_setup(listen.host, listen.caller_port)
        operators = await async_setup_operators(
            self.tasks,
            listen.host,
            listen.operator_port,
            OperatorApp(self, self.metrics, self.audit),
        )
        for part in (self.serving, self.rates, self.slots):
            self.tasks.start_soon(part.run_ticks)
        self.tasks.start_soon(self.health.run)
        async with make_http_client(settings.platform, self.own_vm) as http:
            self.tasks.start_soon(self._run_platform, http)
            _LOGGER.info("daemon_started", extra={"vm": self.own_vm})
            await self.stopping.wait()
            is_clean = await self._finish()
        await async_unload_operators(operators)
        self.tasks.cancel_scope.cancel()
        return is_clean

    async def _finish(self) -> bool:
        """Refuse new work, hand slots over, let calls in flight end."""
        self.is_leaving = True
        self.entry.is_stopping = True
        self.serving.begin_stop()
        self.slots.begin_stop()
        _LOGGER.info("stop_started", extra={"in_flight": self._count_in_flight()})
        limit_ms = self.settings.timing.stop_limit_ms
        with anyio.move_on_after(limit_ms / _MS_PER_S):
            await self._wait_until_idle()
        cut = self._count_in_flight()
        if cut:
            _LOGGER.warning("stop_limit_reached", extra={"calls_cut": cut})
            self.entry.cancel_all()
            self.serving.cancel_all()
        await self.callers.async_unload()
        await anyio.sleep(STOP_POLL_MS / _MS_PER_S)
        await self.links.async_unload()
        await self.backend.async_unload()
        _LOGGER.info("daemon_stopped", extra={"calls_cut": cut})
        return cut == 0

    async def _wait_until_idle(self) -> None:
        """Return once no call is in flight and every slot is handed over."""
        is_busy = True
        while is_busy:
            await anyio.sleep(STOP_POLL_MS / _MS_PER_S)
            is_busy = self._count_in_flight() > 0 or not self.slots.ownership.is_drained

    def _count_in_flight(self) -> int:
        return self.entry.in_flight + self.serving.in_flight

    # platform

    async def _run_platform(self, http: Any) -> None:
        send, receive = anyio.create_memory_object_stream[ReadResult](RESULT_BUFFER)
        platform, timing = self.settings.platform, self.settings.timing
        for resource, url in (
            (Resource.DOCUMENT, platform.config_url),
            (Resource.VMS, platform.vms_url),
        ):
            client = PlatformClient(resource, url, timing, http)
            backoff = Backoff(timing.backoff_first_ms, timing.backoff_max_ms, self._random)
            self.tasks.start_soon(async_watch_platform, client, send, backoff, self.clock)
        await self._take_results(receive)

    async def _take_results(self, results: MemoryObjectReceiveStream[ReadResult]) -> None:
        async for result in results:
            match result:
                case DocumentRead(raw, _):
                    self._take_document(raw)
                case ListRead(vm_list):
                    self._take_list(vm_list)
                case NoNews(Resource.DOCUMENT, _):
                    self.document_age_from_ms = self.clock.now_ms()
                case NoNews() | ReadFailed():
                    pass

    def _take_document(self, raw: bytes) -> None:
        document = validate_document(raw)
        before = self.document.version if self.document else None
        if isinstance(document, DocumentErrors):
            self.audit.record(
                "configuration", "document", "refused", str(document), from_version=before
            )
            return
        self.document_age_from_ms = self.clock.now_ms()
        if before is not None and document.version <= before:
            return
        self.document = document
        self.audit.record(
            "configuration",
            "document",
            "accepted",
            from_version=before,
            to_version=document.version,
        )
        self.fleet.apply_document(document)
        self.entry.end_withdrawn(document)
        self.serving.end_withdrawn(document)
        self._apply_slots()

    def _take_list(self, vm_list: VmList) -> None:
        if self.vm_list is not None and vm_list.version < self.vm_list.version:
            return
        self.vm_list = vm_list
        self.fleet.apply_list(vm_list)
        self.slots.apply_list(vm_list)
        self._apply_slots()

    def _apply_slots(self) -> None:
        if self.document is None or self.vm_list is None:
            return
        self.rates.apply_document(self.document, domains_of(self.vm_list))
        self.slots.apply_slots(list_slots(self.rates.shares, self.document))

    # building

    def _build(self, settings: Settings) -> None:
        tls = settings.tls
        material = PeerMaterial(tls.peer_certificate, tls.peer_key, tls.peer_ca)
        self.links = LinkPool(self, self.own_vm, self.incarnation, material, self.clock)
        self.fleet = FleetView(
            FailureDomain(settings.vm.failure_domain),
            self._random,
            self.clock,
            is_usable=lambda vm_id: True,
            is_connected=lambda vm_id: vm_id == self.own_vm or self.links.find(vm_id) is not None,
        )
        self.control = ControlPlane(
            self.own_vm, self.incarnation, self.links, self.tasks, self.fleet.find_vm
        )
        self._build_shared()
        self._build_call_path(settings)

    def _build_shared(self) -> None:
        limits = LimitsConfig()
        ownership = OwnershipConfig(longest_lease_ms=limits.lease_ms)
        self.slots = SlotTable(
            Ownership(self.own_vm, self.incarnation, self.clock.now_ms(), ownership),
            self.clock,
            self.audit,
            self.control.send,
        )
        domain = FailureDomain(self.settings.vm.failure_domain)
        self.rates = Rates(
            AccountBudget(self.own_vm, domain, self.incarnation, limits),
            SliceOwner(limits),
            self.clock,
            self.control.send,
            self.slots,
        )
        self.slots.keepers[SlotFamily.RATE] = self.rates
        self.control.register(
            lambda sender, _, message: self.rates.handle_request(sender, message), BorrowRequest
        )
        self.control.register(
            lambda sender, _, message: self.rates.handle_reply(sender, message), BorrowReply
        )
        self.control.register(
            self.slots.handle,
            *(Hello, HelloReply, Claim, ClaimReply, Offer, OfferReply),
            *(HandOver, HandOverReply, Farewell),
        )

    def _build_call_path(self, settings: Settings) -> None:
        registry = CallRegistry()
        levels = ChainLevels()
        self.backend = BackendServer(settings.backend, self.clock)
        gate = AdmissionGate(
            settings.backend.slots, settings.vm.service, self.own_vm, AdmissionConfig()
        )
        self.crashes = CrashWatch(
            PoisonDetector(self.own_vm, str(self.incarnation)),
            self.backend,
            self.clock,
            self._list_service_peers,
            self.control.send,
        )
        self.control.register(self.crashes.handle_report, CrashReport, SuspicionCleared)
        self.serving = ServingPort(
            gate,
            self.backend,
            registry,
            levels,
            self.clock,
            self.own_vm,
            lambda: self.document,
            self.crashes,
        )
        self.health = HealthPoller(self.backend, self.serving, settings.timing.poll_ms)
        forwarder = Forwarder(
            self.fleet, self.links, self.clock, self._random, self.own_vm, self._serve_locally
        )
        self.once = OnceRouter(forwarder, self.serving)
        self.slots.keepers[SlotFamily.LEDGER] = self.once
        self.entry = EntryPort(
            registry,
            forwarder,
            self.once,
            self.rates,
            levels,
            self.metrics,
            self.clock,
            read_document=lambda: self.document,
            check_ready=self._check_ready,
        )
        self.callers = CallerPort(self.entry, self.tasks, settings.tls)

    def _serve_locally(self, call: LocalCall, head: CallHead) -> None:
        self.tasks.start_soon(self.once.serve, call, head)

    def _check_ready(self) -> Refusal | None:
        if self.stopping.is_set():
            return Refusal(ResultCode.STOPPING, "this daemon is stopping", retry_after_ms=100)
        if self.document is None:
            return _not_ready("no configuration is in force yet")
        if self.vm_list is None:
            return _not_ready("the list of VMs has not been read yet")
        return None

    def _list_service_peers(self) -> list[VmId]:
        if self.vm_list is None:
            return []
        members = self.vm_list.of_service(self.settings.vm.service)
        return [vm.vm_id for vm in members if vm.vm_id != self.own_vm]

    def _describe_peers(self) -> list[dict[str, Any]]:
        if self.vm_list is None:
            return []
        return [
            {
                "vm": vm.vm_id,
                "state": vm.state.value,
                "connected": self.links.find(vm.vm_id) is not None,
            }
            for vm in self.vm_list
            if vm.vm_id != self.own_vm
        ]


def _not_ready(reason: str) -> Refusal:
    return Refusal(ResultCode.NOT_READY, reason, retry_after_ms=1_000)


async def run_daemon(settings: Settings) -> bool:
    """Run a daemon until it is told to stop.

    Returns
    -------
    bool
        Whether the stop cut off no call.
    """
    results: list[bool] = []
    async with anyio.create_task_group() as tasks:
        daemon = Daemon(settings, Clock(), tasks)
        tasks.start_soon(_watch_signals, daemon)
        results.append(await daemon.run())
    # a second signal cancels the group before the stop is complete
    return bool(results) and results[0]


async def _watch_signals(daemon: Daemon) -> None:
    """Stop gracefully on the first signal and at once on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if daemon.stopping.is_set():
                _LOGGER.warning("stop_forced", extra={"calls_cut": daemon.entry.cancel_all()})
                daemon.serving.cancel_all()
                daemon.tasks.cancel_scope.cancel()
                return
            daemon.start_drain()
