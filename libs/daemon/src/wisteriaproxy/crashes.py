"""Detects backend server crashes and reports the requests that were running."""

import logging
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from wisteria_core import Clock, Refusal, VmId, digest
from wisteria_routing import CrashReport, PoisonDetector, SuspicionCleared
from wisteria_wire import CallHead

from .backend import BackendServer

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
CHECK_PAUSES_MS = (0, 20, 60)


def fingerprint(head: CallHead) -> bytes:
    """Digest method, target and body; the same for a repeated request."""
    return digest(b"\x00".join((head.method.encode(), head.target.encode(), head.body)))


@attrs.define(eq=False)
class CrashMonitor:
    """Distinguishes a crash of the backend server from a lost connection and informs the peers.

    Parameters
    ----------
    list_peers : callable
        Returns the other VMs of the service.
    send : callable
        Sends a control message to the daemon of a VM.
    on_crash : callable
        Called when the backend server has crashed.
    """

    detector: PoisonDetector
    backend: BackendServer
    clock: Clock
    list_peers: Callable[[], list[VmId]]
    send: Callable[[VmId, Any], None]
    on_crash: Callable[[], None] = lambda: None
    _pending_check: anyio.Event | None = None

    def start(self, run_id: int, head: CallHead) -> Refusal | None:
        """Register a run about to be sent; refuse a request suspected of crashes."""
        request_digest = fingerprint(head)
        refusal = self.detector.refuse_blocked(request_digest)
        return refusal or self.detector.start(self.clock.now_ms(), run_id, request_digest)

    def finish(self, run_id: int, succeeded: bool) -> None:
        cleared = self.detector.finish(self.clock.now_ms(), run_id, succeeded)
        if cleared is not None:
            self._send_to_peers(cleared)

    async def check_for_crash(self) -> None:
        """Check for a crash after the backend server closed a connection during a call.

        Calls that fail at the same time share one check, so that a crash is counted once.
        """
        if self._pending_check is not None:
            await self._pending_check.wait()
            return
        self._pending_check = anyio.Event()
        try:
            if await self._has_crashed():
                self.on_crash()
                self._note_crash()
        finally:
            self._pending_check.set()
            self._pending_check = None

    def handle_report(self, _sender: VmId, _incarnation: int, message: Any) -> None:
        """Apply a crash report or clearance of a peer."""
        now_ms = self.clock.now_ms()
        match message:
            case CrashReport():
                self.detector.note_report(now_ms, message)
            case SuspicionCleared():
                self.detector.note_cleared(now_ms, message)

    async def _has_crashed(self) -> bool:
        for pause_ms in CHECK_PAUSES_MS:
            await anyio.sleep(pause_ms / _MS_PER_S)
            if not await self.backend.accepts_connections():
                return True
        return False

    def _note_crash(self) -> None:
        report = self.detector.note_crash(self.clock.now_ms())
        if report is None:
            return
        _LOGGER.warning(
            "backend_server_crashed", extra={"suspects": len(report.suspects), "sole": report.sole}
        )
        self._send_to_peers(report)

    def _send_to_peers(self, message: CrashReport | SuspicionCleared) -> None:
        for vm_id in self.list_peers():
            self.send(vm_id, message)
