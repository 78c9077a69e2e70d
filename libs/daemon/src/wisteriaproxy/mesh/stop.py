"""Planned stop of a mesh daemon."""

import logging
from collections.abc import Callable

import anyio
import attrs

from wisteria_core import Clock
from wisteria_wire import LinkPool

from ..backend import BackendServer
from ..callers import CallerListener
from ..entry import EntryHandler
from ..flush import wait_flushed
from ..serving import ServingHandler
from ..stop_times import StopTimes
from ..task_keeper import BackgroundTasks
from .endpoints import Endpoint
from .news import ReportExchange

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_STOP_POLL_S = 0.02
"""Interval at which a stop checks whether calls are in flight; short compared to the grace."""
_STOP_FRACTION = 0.9
"""Fraction of the grace period after which calls in flight are cancelled, so that the daemon exits
before the platform ends it."""
_LATE_FRACTION = 0.45
"""Fraction of the grace period after which only calls are taken that end before the stop does: the
platform excuses a call that is cut off if it came in the first half."""
_FLUSH_FRACTION = 0.97
"""Fraction of the grace period after which the daemon exits although callers have not read all."""


@attrs.define(eq=False)
class PlannedStop:
    """Ends the parts of a daemon without cutting off calls, within the grace period.

    Parameters
    ----------
    grace_s : float
        Time after which the platform ends the process, in seconds.
    tasks : BackgroundTasks
        Tasks of the calls.
    """

    grace_s: float
    clock: Clock
    entry: EntryHandler
    serving: ServingHandler
    exchange: ReportExchange
    callers: CallerListener
    links: LinkPool
    backend: BackendServer
    ready_port: Endpoint
    tasks: BackgroundTasks

    async def run(self) -> bool:
        """Refuse new calls, wait for calls in flight and their answers, then close everything."""
        grace_s = self.grace_s
        flush_until_s = anyio.current_time() + grace_s * _FLUSH_FRACTION
        now_ms = self.clock.now_ms()
        self.entry.stop_times = StopTimes(
            late_from_ms=now_ms + round(grace_s * _LATE_FRACTION * _MS_PER_S),
            cut_at_ms=now_ms + round(grace_s * _STOP_FRACTION * _MS_PER_S),
        )
        self.entry.is_stopping = True
        self.serving.begin_stop()
        self.exchange.announce_leaving()
        _LOGGER.info("stop_started", extra={"in_flight": self._count_in_flight()})
        with anyio.move_on_after(grace_s * _STOP_FRACTION):
            # calls that run on the backend server may make child calls through this daemon
            await _wait_for_end(lambda: self.serving.in_flight)
            await self.callers.async_unload()
            await _wait_for_end(self._count_in_flight)
        cut = self._count_in_flight()
        if cut:
            _LOGGER.warning("stop_limit_reached", extra={"calls_cut": cut})
            self.entry.cancel_all()
            self.serving.cancel_all()
            await anyio.sleep(_STOP_POLL_S)
        await self.callers.async_unload()
        self.tasks.cancel_all()
        await self.links.async_unload()
        await self.backend.async_unload()
        left_s = flush_until_s - anyio.current_time()
        unflushed = await wait_flushed(self.callers, self.links, left_s)
        await self.ready_port.async_unload()
        _LOGGER.info("daemon_stopped", extra={"calls_cut": cut, "unflushed": unflushed})
        return cut == 0

    def _count_in_flight(self) -> int:
        return self.entry.in_flight + self.serving.in_flight


async def _wait_for_end(count_calls: Callable[[], int]) -> None:
    """Wait until no call is counted any more."""
    is_busy = True
    while is_busy:
        await anyio.sleep(_STOP_POLL_S)
        is_busy = count_calls() > 0
