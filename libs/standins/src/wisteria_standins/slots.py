"""Concurrency limit of a backend server, with a FIFO queue of waiting requests."""

import asyncio
from collections import deque

from .const import MS_PER_S


class Slots:
    """Limits concurrent requests to `size`; further ones wait in a FIFO queue.

    Parameters
    ----------
    size : int
        Number of slots; it may change while requests wait.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.in_use = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def queued(self) -> int:
        return len(self._waiters)

    async def acquire(self, timeout_ms: int | None) -> bool:
        """Acquire a slot; return False if none became free within `timeout_ms`."""
        if self.in_use < self.size and not self._waiters:
            self.in_use += 1
            return True
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            self._remove_waiter(waiter)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def release(self) -> None:
        """Release a slot and pass it to the next request in the queue."""
        self.in_use -= 1
        self._wake_waiters()

    def _remove_waiter(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.done() and not waiter.cancelled():
            self.release()

    def _wake_waiters(self) -> None:
        while self._waiters and self.in_use < self.size:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self.in_use += 1
                waiter.set_result(None)
