"""Crashes of the backend server: noticed by cut calls, counted against their requests."""

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
    """Return what identifies a request that is sent again: method, target and body."""
    return digest(b"\x00".join((head.method.encode(), head.target.encode(), head.body)))


@attrs.define(eq=False)
class CrashMonitor:
    """Tells a crash of the backend server from a single cut call, and tells the peers.

    Parameters
    ----------
    list_peers : callable
        Returns the other VMs of the service.
    send : callable
        Sends a control message to the daemon of a VM.
    """

    detector: PoisonDetector
    backend: BackendServer
    clock: Clock
    list_peers: Callable[[], list[VmId]]
    send: Callable[[VmId, Any], None]
    _check: anyio.Event | None = None

    def start(self, run_id: int, head: CallHead) -> Refusal | None:
        """Register a run that is about to be sent, or refuse a request that must not run."""
        mark = fingerprint(head)
        refusal = self.detector.refuse_blocked(mark)
        return refusal or self.detector.start(self.clock.now_ms(), run_id, mark)

    def finish(self, run_id: int, succeeded: bool) -> None:
        """Register the end of a run."""
        cleared = self.detector.finish(self.clock.now_ms(), run_id, succeeded)
        if cleared is not None:
            self._tell(cleared)

    async def note_cut(self) -> None:
        """Find out whether the backend server crashed when it cut a call.

        Calls that are cut together wait for one answer, so that a crash is counted once.
        """
        if self._check is not None:
            await self._check.wait()
            return
        self._check = anyio.Event()
        try:
            if await self._has_crashed():
                self._note_crash()
        finally:
            self._check.set()
            self._check = None

    def handle_report(self, _sender: VmId, _incarnation: int, message: Any) -> None:
        """Take in what a peer has found."""
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
        self._tell(report)

    def _tell(self, message: CrashReport | SuspicionCleared) -> None:
        for vm_id in self.list_peers():
            self.send(vm_id, message)
