"""Monotonic clock in whole milliseconds, used by every library."""

import time
from collections.abc import Callable

import attrs

MS_PER_S = 1_000
NS_PER_MS = 1_000_000


def read_boot_clock() -> int:
    """Return ``CLOCK_BOOTTIME`` in milliseconds: the time since boot, including suspend.

    It never decreases and can't be compared between VMs.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


@attrs.define
class Clock:
    """A source of monotonic milliseconds.

    Parameters
    ----------
    read : callable
        Returns the current reading in milliseconds.
    """

    read: Callable[[], int] = read_boot_clock

    def now_ms(self) -> int:
        return self.read()


@attrs.define
class ManualClock(Clock):
    """A clock that only `advance` moves, for tests and simulations.

    Parameters
    ----------
    reading_ms : int
        Initial reading in milliseconds.
    """

    reading_ms: int = 0

    def now_ms(self) -> int:
        return self.reading_ms

    def advance(self, delta_ms: int) -> int:
        """Move the clock forward by `delta_ms` milliseconds and return the new reading.

        Raises
        ------
        ValueError
            If `delta_ms` is negative: the clock is monotonic.
        """
        if delta_ms < 0:
            raise ValueError(f"a monotonic clock cannot move by {delta_ms} ms")
        self.reading_ms += delta_ms
        return self.reading_ms
