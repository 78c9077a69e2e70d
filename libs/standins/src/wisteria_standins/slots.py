"""The bounded slots of a backend server and the queue in front of them."""

import asyncio
from collections import deque

from .const import MS_PER_S


class Slots:
    """Runs at the same time, at most `size`; others wait their turn, first come first served.

    Parameters
    ----------
    size : int
        Number of slots; it may change while calls wait.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.in_use = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def queued(self) -> int:
        """Return the number of calls that wait."""
        return len(self._waiting)

    async def take(self, timeout_ms: int | None) -> bool:
        """Take a slot; False when none came free within `timeout_ms`."""
        if self.in_use < self.size and not self._waiting:
            self.in_use += 1
            return True
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        try:
            await asyncio.wait_for(turn, timeout_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            self._leave(turn)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def free(self) -> None:
        """Give a slot back and let the next in the queue have it."""
        self.in_use -= 1
        self._admit()

    def _leave(self, turn: asyncio.Future[None]) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            self.free()

    def _admit(self) -> None:
        while self._waiting and self.in_use < self.size:
            turn = self._waiting.popleft()
            if not turn.done():
                self.in_use += 1
                turn.set_result(None)
