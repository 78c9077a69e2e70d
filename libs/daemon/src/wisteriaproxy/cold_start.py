"""Finds out when the backend server is cold, and for how long."""

import logging
import math

import anyio
import attrs

from wisteria_admission import ColdStart, ColdStartLimit
from wisteria_config import Document
from wisteria_core import Clock, Refusal, Vm
from wisteria_wire import CONNECT_FAILED

from .backend import BackendServer
from .serving import ServingHandler

_LOGGER = logging.getLogger(__name__)
UNCONFIGURED_LIMIT = ColdStartLimit(per_s=5.0, burst=1.0, duration_ms=5_000)
"""Limit until the first configuration is known: calls of daemons that have it may come earlier."""
BURST_FRACTION = 0.5
"""Fraction of the permitted slack that may be sent at once; calls that the network delays may
arrive together with later ones."""


@attrs.define(eq=False)
class ColdStartMonitor:
    """Keeps the gate informed of cold phases of the backend server.

    Parameters
    ----------
    service : str
        Service of the backend server.
    overage : float
        Factor by which the calls to a cold server may exceed its rate.
    slack : float
        Calls in addition to that in any second.
    """

    service: str
    serving: ServingHandler
    backend: BackendServer
    clock: Clock
    overage: float = 1.0
    slack: float = 0.0
    _health_path: str = ""
    _vm: Vm | None = None
    _wanted: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self._cold_start.set_limit(self.clock.now_ms(), UNCONFIGURED_LIMIT)

    def apply_document(self, document: Document) -> None:
        """Apply the limit of the service."""
        found = next((one for one in document.services if one.name == self.service), None)
        limit = None
        if found is not None and found.cold_rate_per_s > 0:
            per_s = found.cold_rate_per_s * self.overage
            burst = max(1.0, math.floor(self.slack * BURST_FRACTION))
            limit = ColdStartLimit(per_s, burst, found.cold_start_ms)
        self._health_path = found.health_path if found is not None else ""
        self._cold_start.set_limit(self.clock.now_ms(), limit)

    def apply_vm(self, vm: Vm) -> None:
        """Apply what the platform's list has begun to say of the backend server."""
        before, self._vm = self._vm, vm
        if before == vm:
            return
        self._cold_start.note_instance(vm.instance)
        if before is not None and before.started_ms != vm.started_ms:
            self._cold_start.note_restart()
        if vm.cold_ms > 0 and (before is None or before.cold_ms != vm.cold_ms):
            self._cold_start.note_listed(self.clock.now_ms(), vm.cold_ms)

    def request_check(self) -> None:
        """Ask the health endpoint for the remaining cold time, if it isn't known."""
        if self._health_path and self._cold_start.is_check_due(self.clock.now_ms()):
            self._wanted.set()

    async def run(self) -> None:
        """Send the requested health checks until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            if self._cold_start.is_check_due(self.clock.now_ms()):
                await self._check()

    async def _check(self) -> None:
        self._cold_start.note_check(self.clock.now_ms())
        instance = self._vm.instance if self._vm is not None else ""
        found = await self.backend.read_cold_ms(self._health_path, instance)
        if isinstance(found, int):
            self._cold_start.note_stated(self.clock.now_ms(), found)
            self.serving.start_queued()
        elif found is CONNECT_FAILED:
            self._cold_start.note_restart()
        result = found.reason if isinstance(found, Refusal) else found
        _LOGGER.info("cold_time_checked", extra={"cold_ms": result})

    @property
    def _cold_start(self) -> ColdStart:
        return self.serving.gate.cold_start
