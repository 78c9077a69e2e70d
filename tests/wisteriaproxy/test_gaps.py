"""Lateness of the event loop in log and metrics."""

import logging
import time

import anyio
import pytest

from wisteria_core import Clock
from wisteriaproxy.gaps import LATE_MS, GapMonitor
from wisteriaproxy.metrics import Metrics

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_late_event_loop_is_logged_with_the_processor_time_it_used(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a daemon whose late decisions look like an outdated configuration."""
    metrics = Metrics()
    monitor = GapMonitor(Clock(), 10_000, metrics, lambda: None)
    with caplog.at_level(logging.WARNING, "wisteriaproxy.gaps"):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(monitor.run)
            await anyio.sleep(0.01)
            # as a process that is stopped: late, but not by its own work
            time.sleep(0.25 + LATE_MS / 1_000 + 0.1)  # noqa: ASYNC251
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
    (line,) = [record for record in caplog.records if record.getMessage() == "loop_late"]
    assert line.__dict__["late_ms"] >= LATE_MS
    assert line.__dict__["processor_ms"] < LATE_MS
    assert b"wisteriaproxy_loop_late_total 1" in metrics.render()


async def test_a_loop_in_time_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against warnings that say nothing."""
    monitor = GapMonitor(Clock(), 10_000, Metrics(), lambda: None)
    with caplog.at_level(logging.WARNING, "wisteriaproxy.gaps"), anyio.move_on_after(0.6):
        await monitor.run()
    assert caplog.records == []
