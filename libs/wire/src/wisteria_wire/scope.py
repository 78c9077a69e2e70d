"""Deadline and cancellation for the part of a task that serves one call."""

import asyncio
import math
from types import TracebackType


class CallScope:
    """Cancel scope for a block of the current task, with an optional deadline.

    Does for a single task what a cancel scope of anyio does, at a fraction of the cost: anyio
    looks up the running loop about thirty times per call, at one system call each.
    """

    __slots__ = ("_deadline", "_is_cancelled", "_loop", "_task", "_timer", "cancelled_caught")

    def __init__(self, deadline: float = math.inf) -> None:
        self.cancelled_caught = False
        self._deadline = deadline
        self._is_cancelled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._task: asyncio.Task[object] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def deadline(self) -> float:
        """Event loop time at which the scope is cancelled, in seconds."""
        return self._deadline

    @deadline.setter
    def deadline(self, deadline: float) -> None:
        self._deadline = deadline
        if self._task is not None:
            self._set_timer()

    def cancel(self) -> None:
        """Cancel the enclosed block; if it has not been entered yet, as soon as it is."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        if self._task is not None:
            self._task.cancel()

    def __enter__(self) -> "CallScope":
        self._loop = asyncio.get_running_loop()
        self._task = asyncio.current_task(self._loop)
        assert self._task is not None
        self._set_timer()
        if self._is_cancelled:
            self._task.cancel()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        task, self._task = self._task, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._is_cancelled or task is None:
            return False
        # the task may have been cancelled by other code as well
        is_own_cancellation = task.uncancel() <= 0
        self.cancelled_caught = isinstance(error, asyncio.CancelledError) and is_own_cancellation
        return self.cancelled_caught

    def _set_timer(self) -> None:
        assert self._loop is not None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._deadline < math.inf:
            self._timer = self._loop.call_at(self._deadline, self.cancel)
