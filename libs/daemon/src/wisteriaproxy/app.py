"""Starts the daemon, connects it to the platform, stops it gracefully."""

import logging
import signal
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream

from wisteria_config import Document, document_digest
from wisteria_core import Clock, Refusal, ResultCode, VmList
from wisteria_wire import CallHead, Link, ServedCall
from wisteria_wire.models import FrameFault

from .audit import AuditTrail
from .control import ControlFault
from .diagnostics import Diagnostics
from .flush import wait_flushed
from .gaps import GapMonitor
from .incarnation import make_incarnation
from .metrics import AUDIT_EVENTS, LINK_FAULTS, PLATFORM_READS, Metrics
from .operators import (
    OperatorApp,
    Readiness,
    async_setup_operators,
    async_unload_operators,
)
from .parts import DaemonContext, build_call_path, build_shared
from .platform import (
    Backoff,
    ListRead,
    PlatformClient,
    ReadFailed,
    ReadResult,
    Resource,
    async_watch_platform,
    make_http_client,
)
from .settings import Settings
from .slots import list_slots

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
RESULT_BUFFER = 16
STOP_POLL_MS = 20
FLUSH_FRACTION = 0.1
"""Time for callers to read the rest of their answers, as a fraction of the stop limit."""
LINK_FAULT_REASONS = frozenset(fault.value for fault in (*FrameFault, ControlFault.GARBLED))


class Daemon:
    """One daemon process with all its components.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock : Clock
        Monotonic clock, in milliseconds.
    tasks : TaskGroup
        Task group for the daemon's background tasks.
    http : httpx.AsyncClient
        Client for the platform's configuration document and list of VMs.
    """

    def __init__(self, settings: Settings, clock: Clock, tasks: TaskGroup, http: Any) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.stopping = anyio.Event()
        self.vm_list: VmList | None = None
        self.is_list_current = False
        incarnation = make_incarnation()
        metrics = Metrics()
        audit = AuditTrail(counts=metrics.counter(AUDIT_EVENTS))
        self.context = DaemonContext(
            settings, clock, tasks, incarnation, Random(incarnation), audit, metrics
        )
        self._http = http
        self._list_client = self._make_client(Resource.VMS, settings.platform.vms_url)
        self.gaps = GapMonitor(
            clock, settings.timing.loop_gap_ms, self.context.metrics, self._handle_gap
        )
        self.shared = build_shared(
            self.context,
            self,
            self._make_client(Resource.DOCUMENT, settings.platform.config_url),
            self._activate_document,
        )
        self.path = build_call_path(self.context, self.shared, self._check_ready, self.gaps.observe)
        self.diagnostics = Diagnostics(
            self.context, self.shared, self.path, self.gaps, self.check_ready
        )
        self.diagnostics.register()

    # LinkHandler

    def handle_link_open(self, link: Link) -> bool:
        """Register the link of an authenticated peer."""
        assert link.peer is not None
        self.shared.links.add(link)
        self.shared.peers.note_link(link.peer.vm_id, is_open=True)
        self.shared.slots.note_reachable(link.peer.vm_id, True)
        self.shared.fleet.refresh()
        return True

    def handle_call(self, served: ServedCall, head: CallHead) -> None:
        self.tasks.start_soon(self.path.at_most_once.serve, served, head)

    def handle_control(self, link: Link, kind: int, payload: bytes) -> None:
        self.gaps.observe()
        self.shared.control.handle(link, kind, payload)

    def handle_link_closed(self, link: Link, reason: str) -> None:
        """Remove a link; report the loss of a peer's last one to membership and rate limiter."""
        self.shared.links.remove(link)
        if reason in LINK_FAULT_REASONS:
            self.context.metrics.counter(LINK_FAULTS).add((reason,))
        if link.peer is None or self.shared.links.find(link.peer.vm_id) is not None:
            return
        _LOGGER.info("link_closed", extra={"peer": link.peer.vm_id, "reason": reason})
        self.shared.peers.note_link(link.peer.vm_id, is_open=False)
        self.shared.rates.note_link_lost(link.peer.vm_id)
        self.shared.fleet.refresh()

    # DaemonState

    def describe_status(self) -> dict[str, Any]:
        return self.diagnostics.describe_status()

    def check_ready(self) -> Readiness:
        """Return whether the daemon accepts calls, and the reason if not."""
        refusal = self._check_ready()
        return Readiness(refusal is None, refusal.reason if refusal else "")

    def start_drain(self) -> None:
        self.stopping.set()

    # running

    async def run(self) -> bool:
        """Run until a stop is requested; return whether every call in flight completed."""
        listen = self.settings.listen
        await self.shared.links.async_setup(listen.host, listen.peer_port)
        await self.path.callers.async_setup(listen.host, listen.caller_port)
        app = OperatorApp(self, self.context.metrics, self.context.audit)
        operators = await async_setup_operators(self.tasks, listen.host, listen.operator_port, app)
        for run in (
            self.gaps.run,
            self.path.serving.run_ticks,
            self.shared.rates.run_ticks,
            self.shared.peers.run_ticks,
            self.shared.slots.run_ticks,
            self.path.health.run,
            self.path.cold_start.run,
            self.shared.configuration.run,
            self._watch_vm_list,
        ):
            self.tasks.start_soon(run)
        _LOGGER.info("daemon_started", extra={"vm": self.settings.vm.id})
        await self.stopping.wait()
        is_clean = await self._shut_down()
        await async_unload_operators(operators)
        self.tasks.cancel_scope.cancel()
        return is_clean

    async def _shut_down(self) -> bool:
        """Refuse new calls, hand slots over, wait for calls in flight, then close everything."""
        self.path.entry.is_stopping = True
        self.path.serving.begin_stop()
        self.shared.peers.set_leaving(True)
        self.shared.slots.begin_stop()
        _LOGGER.info("stop_started", extra={"in_flight": self._count_in_flight()})
        with anyio.move_on_after(self.settings.timing.stop_limit_ms / _MS_PER_S):
            await self._wait_until_idle()
        cut = self._count_in_flight()
        if cut:
            _LOGGER.warning("stop_limit_reached", extra={"calls_cut": cut})
            self.path.entry.cancel_all()
            self.path.serving.cancel_all()
        await self.path.callers.async_unload()
        await anyio.sleep(STOP_POLL_MS / _MS_PER_S)
        await self.shared.links.async_unload()
        await self.path.backend.async_unload()
        limit_s = self.settings.timing.stop_limit_ms * FLUSH_FRACTION / _MS_PER_S
        unflushed = await wait_flushed(self.path.callers, self.shared.links, limit_s)
        _LOGGER.info("daemon_stopped", extra={"calls_cut": cut, "unflushed": unflushed})
        return cut == 0

    async def _wait_until_idle(self) -> None:
        """Wait until no call is in flight, every slot is handed over and no message is pending."""
        is_busy = True
        while is_busy:
            await anyio.sleep(STOP_POLL_MS / _MS_PER_S)
            is_drained = self.shared.slots.ownership.is_drained
            has_pending_sends = self.shared.control.pending_sends > 0
            is_busy = self._count_in_flight() > 0 or not is_drained or has_pending_sends

    def _count_in_flight(self) -> int:
        path = self.path
        return path.entry.in_flight + path.serving.in_flight + path.at_most_once.in_flight

    # list of VMs

    def _make_client(self, resource: Resource, url: str) -> PlatformClient:
        counts = self.context.metrics.counter(PLATFORM_READS)
        return PlatformClient(resource, url, self.settings.timing, self._http, counts)

    async def _watch_vm_list(self) -> None:
        send, receive = anyio.create_memory_object_stream[ReadResult](RESULT_BUFFER)
        timing = self.settings.timing
        backoff = Backoff(timing.backoff_first_ms, timing.backoff_max_ms, self.context.random)
        self.tasks.start_soon(async_watch_platform, self._list_client, send, backoff, self.clock)
        await self._apply_vm_lists(receive)

    async def _apply_vm_lists(self, results: MemoryObjectReceiveStream[ReadResult]) -> None:
        async for result in results:
            if isinstance(result, ListRead):
                # no request time: a watch may have started before the process was paused, so
                # its result does not prove that the list is current
                self._apply_vm_list(result.vms, None)

    def _apply_vm_list(self, vm_list: VmList, requested_at_ms: int | None) -> None:
        if self.vm_list is not None and vm_list.version < self.vm_list.version:
            return
        self.vm_list = vm_list
        self.shared.peers.apply_list(vm_list)
        self.shared.fleet.apply_list(vm_list)
        self.shared.configuration.apply_list(vm_list)
        own = vm_list.find(self.context.vm_id)
        if own is not None:
            self.path.cold_start.apply_vm(own)
        self.shared.slots.apply_list(vm_list, requested_at_ms)
        if requested_at_ms is not None or not self.shared.slots.ownership.needs_list:
            self.is_list_current = True
        self.shared.rates.refresh_owners()

    async def _refresh_vm_list(self) -> None:
        """Read the list until a read succeeds; until then calls are refused as not ready."""
        timing = self.settings.timing
        backoff = Backoff(timing.backoff_first_ms, timing.backoff_max_ms, self.context.random)
        while True:
            requested_at_ms = self.clock.now_ms()
            result = await self._list_client.async_read()
            if isinstance(result, ListRead):
                self._apply_vm_list(result.vms, requested_at_ms)
                return
            if isinstance(result, ReadFailed):
                _LOGGER.info("list_read_failed", extra={"reason": result.reason})
            await anyio.sleep(backoff.next_ms() / _MS_PER_S)

    # configuration and gaps

    def _activate_document(self, document: Document) -> None:
        self.shared.fleet.apply_document(document)
        self.path.cold_start.apply_document(document)
        self.shared.peers.membership.set_config(document.version, document_digest(document))
        ended = self.path.entry.end_withdrawn(document)
        ended += self.path.serving.end_withdrawn(document)
        if ended:
            _LOGGER.info("withdrawn_calls_ended", extra={"calls": ended})
        self.shared.rates.apply_document(document)
        self.shared.slots.apply_slots(list_slots(self.shared.rates.shares, document))

    def _handle_gap(self) -> None:
        """Drop state that became stale during a pause of the process; read it again."""
        self.is_list_current = False
        self.shared.rates.budget.drop_all()
        self.shared.slots.note_progress()
        self.shared.configuration.wake()
        self.tasks.start_soon(self._refresh_vm_list)

    def _check_ready(self) -> Refusal | None:
        self.gaps.observe()
        if self.vm_list is None or not self.is_list_current:
            return _not_ready("the list of VMs has not been read yet")
        if not self.shared.configuration.is_ready:
            return _not_ready("the configuration in force has not been learned yet")
        return None


def _not_ready(reason: str) -> Refusal:
    return Refusal(ResultCode.NOT_READY, reason, retry_after_ms=1_000)


async def run_daemon(settings: Settings) -> bool:
    """Run until a stop signal; return whether every call in flight completed before the stop."""
    results: list[bool] = []
    async with (
        make_http_client(settings.platform, settings.vm.id) as http,
        anyio.create_task_group() as tasks,
    ):
        daemon = Daemon(settings, Clock(), tasks, http)
        tasks.start_soon(_watch_signals, daemon)
        results.append(await daemon.run())
    # empty if a second signal cancelled the task group before run() returned
    return bool(results) and results[0]


async def _watch_signals(daemon: Daemon) -> None:
    """Stop gracefully on the first signal, at once on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if daemon.stopping.is_set():
                cut = daemon.path.entry.cancel_all() + daemon.path.serving.cancel_all()
                _LOGGER.warning("stop_forced", extra={"calls_cut": cut})
                daemon.tasks.cancel_scope.cancel()
                return
            daemon.start_drain()
