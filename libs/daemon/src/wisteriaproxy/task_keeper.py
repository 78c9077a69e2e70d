"""Background tasks: referenced until they end, cancelled together."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs

_LOGGER = logging.getLogger(__name__)


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
