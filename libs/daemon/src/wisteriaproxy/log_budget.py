"""Bounds the volume of log lines, so that logging never holds up the daemon."""

import logging
import os
import time
from collections import Counter, deque

import attrs

from .const import ATTR_CODE, ATTR_REQUEST_ID

LINES_PER_S = 60
"""Lines written a second on average: under one in a hundred of a core, at 0.07 ms a line in a
process that runs alone."""
BURST_LINES = 400
"""Lines written at once after a quiet time."""
MAX_BUFFERED_BYTES = 262_144
"""Bytes kept for a reader that is behind; what comes on top is dropped and counted."""
SUMMARY_INTERVAL_S = 1.0
"""Time between two lines that tell how many were dropped."""

EVENT_DROPPED = "log_lines_dropped"

# part of the budget that must be left for a line of this value
CATEGORY_SUCCESS = "request served"
CATEGORY_ERROR = "request decided"
_CATEGORY_STATE = "state"
_CATEGORY_WARNING = "fault"
_RESERVES = {
    CATEGORY_SUCCESS: 0.6,
    CATEGORY_ERROR: 0.3,
    _CATEGORY_STATE: 0.05,
    _CATEGORY_WARNING: 0.0,
}


@attrs.define
class LineBudget:
    """Decides which log lines are written: those of least value go first.

    Parameters
    ----------
    per_s : float
        Lines a second.
    burst : float
        Lines at once.
    """

    per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    dropped: Counter[str] = attrs.field(factory=Counter)
    _level: float = attrs.field(default=BURST_LINES, alias="level")
    _refilled_s: float = 0.0

    def take(self, now_s: float, value: str) -> bool:
        """Return whether a line of this value is written; one that is not is counted."""
        if not self.has_room(now_s, value):
            self.dropped[value] += 1
            return False
        self._level -= 1.0
        return True

    def has_room(self, now_s: float, value: str) -> bool:
        """Return whether a line of this value would be written now."""
        gained = max(0.0, now_s - self._refilled_s) * self.per_s
        self._refilled_s = now_s
        self._level = min(self.burst, self._level + gained)
        return self._level >= 1.0 and self._level > self.burst * _RESERVES[value]

    def take_dropped(self) -> dict[str, int]:
        """Return how many lines of each value were dropped, and count anew."""
        found = dict(self.dropped)
        self.dropped.clear()
        return found


def classify_record(record: logging.LogRecord) -> str:
    """Return the value of a line to whoever explains a failure later."""
    if record.levelno >= logging.WARNING:
        return _CATEGORY_WARNING
    if getattr(record, ATTR_REQUEST_ID, None) is None:
        return _CATEGORY_STATE
    return CATEGORY_ERROR if getattr(record, ATTR_CODE, 0) else CATEGORY_SUCCESS


def has_line_budget(value: str) -> bool:
    """Return whether a line of this value would be written now; one that is not is counted.

    Saves making a line that is dropped afterwards, which costs as much as one that is written.
    """
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            return handler.has_line_budget(value)
    return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Where to write; it is made non-blocking.
    budget : LineBudget
        Decides what is written.
    """

    def __init__(self, descriptor: int, budget: LineBudget | None = None) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.budget = budget or LineBudget()
        self.lost = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._summed_s = 0.0

    def has_line_budget(self, value: str) -> bool:
        """Return whether a line of this value would be written now; one that is not is counted."""
        now_s = time.monotonic()
        if self.budget.has_room(now_s, value):
            return True
        self.budget.dropped[value] += 1
        self._sum_up(now_s)
        return False

    def handle(self, record: logging.LogRecord) -> bool:
        """Write a line if the budget allows it; one that is dropped costs no filter."""
        now_s = time.monotonic()
        is_written = self.budget.take(now_s, classify_record(record))
        if is_written:
            super().handle(record)
        self._sum_up(now_s)
        return is_written

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line unless the reader is too far behind."""
        self._append(self.format(record))
        self._write()

    def _sum_up(self, now_s: float) -> None:
        """Tell once in a while how many lines were dropped."""
        if now_s - self._summed_s < SUMMARY_INTERVAL_S:
            return
        self._summed_s = now_s
        self._tell_dropped()
        self._write()

    def _tell_dropped(self) -> None:
        dropped = self.budget.take_dropped()
        lost, self.lost = self.lost, 0
        if not dropped and not lost:
            return
        summary = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, EVENT_DROPPED, None, None
        )
        summary.__dict__.update(
            over_budget=sum(dropped.values()), by_value=str(dropped), unread=lost
        )
        self._append(self.format(summary))

    def _append(self, line: str) -> None:
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._waiting_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.lost += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _write(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # nobody reads any more, so that no line can tell it
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
