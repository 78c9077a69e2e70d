"""Polls the health endpoint for draining; a failed check alone does not stop calls."""

import json
import logging
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from wisteria_core import Refusal

from .backend import BackendServer
from .serving import ServingHandler

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
ATTR_STATUS = "status"
STATUS_DRAINING = "draining"
MAX_REPORT_BYTES = 16_384


@attrs.define(eq=False)
class HealthPoller:
    """Detects when the backend server starts or stops draining.

    Parameters
    ----------
    on_drain : callable
        Called when the draining state changes, with the new state.
    """

    backend: BackendServer
    serving: ServingHandler
    poll_ms: int
    on_drain: Callable[[bool], None]
    is_reachable: bool = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(self.poll_ms / _MS_PER_S)

    async def poll(self) -> None:
        """Read the health endpoint once."""
        with anyio.move_on_after(self.poll_ms / _MS_PER_S) as scope:
            body = await self.backend.read_health(MAX_REPORT_BYTES)
            self.is_reachable = not isinstance(body, Refusal)
            if isinstance(body, bytes):
                self._apply_report(_parse(body))
        if scope.cancelled_caught:
            self.is_reachable = False

    def _apply_report(self, report: dict[str, Any]) -> None:
        draining = report.get(ATTR_STATUS) == STATUS_DRAINING
        if draining == self.serving.is_draining:
            return
        self.serving.set_draining(draining)
        self.on_drain(draining)
        _LOGGER.info("backend_server_drain", extra={"draining": draining})


def _parse(body: bytes) -> dict[str, Any]:
    try:
        report = json.loads(body)
    except ValueError:
        return {}
    return report if isinstance(report, dict) else {}
