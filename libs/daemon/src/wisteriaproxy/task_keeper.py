"""Background tasks: referenced until they end, cancelled together or started again."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import attrs

from .metrics import Counts

_LOGGER = logging.getLogger(__name__)
RESTART_FIRST_S = 0.1
"""Pause before a failed task is started again; doubled with each failure in a row."""
RESTART_MAX_S = 5.0
"""Longest pause, and the time without a failure after which the pause is the first one again."""


class Spawner(Protocol):
    """Starts a task as `TaskGroup.start_soon` does."""

    def __call__(self, func: Callable[..., Coroutine[Any, Any, Any]], /, *args: Any) -> Any:
        """Start ``func(*args)``."""


@attrs.define(eq=False)
class BackgroundTasks:
    """Starts tasks on an event loop; costs less per call than a task group, see `CallScope`.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running event loop.
    """

    loop: asyncio.AbstractEventLoop
    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    def spawn(self, func: Callable[..., Coroutine[Any, Any, Any]], /, *args: Any) -> None:
        task = self.loop.create_task(func(*args))
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def cancel_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("task_failed", exc_info=task.exception())


async def keep_running(
    name: str,
    run: Callable[[], Coroutine[Any, Any, None]],
    failures: Counts,
    on_failure: Callable[[], None] = lambda: None,
) -> None:
    """Run a task, and start it again with exponential back-off each time it fails.

    Parameters
    ----------
    name : str
        Name of the task in logs and metrics.
    on_failure : callable
        Called before the task is started again.
    """
    loop = asyncio.get_running_loop()
    pause_s = RESTART_FIRST_S
    while True:
        started_s = loop.time()
        try:
            await run()
            return
        except Exception:
            failures.add((name,))
            _LOGGER.exception("task_failed", extra={"task": name, "restart_s": pause_s})
        if loop.time() - started_s > RESTART_MAX_S:
            pause_s = RESTART_FIRST_S
        on_failure()
        await anyio.sleep(pause_s)
        pause_s = min(2 * pause_s, RESTART_MAX_S)
