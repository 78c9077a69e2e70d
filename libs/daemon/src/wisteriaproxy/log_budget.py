"""Limits log volume, so that logging never blocks the daemon."""

import logging
import os
import time
from collections import Counter, deque

import attrs

from .const import ATTR_CODE, ATTR_REQUEST_ID

LINES_PER_S = 60
"""Average rate: less than 1 % of one core, at 0.07 ms per line in a process that runs alone."""
BURST_LINES = 400
"""Capacity of the token bucket: lines written at once after an idle period."""
MAX_BUFFERED_BYTES = 262_144
"""Bytes buffered for a slow reader; lines beyond this are dropped and counted."""
REQUEST_BUFFERED_BYTES = MAX_BUFFERED_BYTES * 3 // 4
"""Of these, bytes that lines of requests may fill; the rest is for changes of state."""
SUMMARY_INTERVAL_S = 1.0
"""Minimum time between two summaries of dropped lines."""

EVENT_DROPPED = "log_lines_dropped"

CATEGORY_SUCCESS = "request served"
CATEGORY_NOT_SERVED = "request decided"
_CATEGORY_STATE = "state"
_CATEGORY_WARNING = "fault"
# fraction of the burst that must remain available for a line of the category to be written
_RESERVES = {
    CATEGORY_SUCCESS: 0.6,
    CATEGORY_NOT_SERVED: 0.3,
    _CATEGORY_STATE: 0.05,
    _CATEGORY_WARNING: 0.0,
}


@attrs.define
class LineBudget:
    """Token bucket for log lines; as it empties, the least important categories are dropped first.

    Parameters
    ----------
    per_s : float
        Refill rate, in lines per second.
    burst : float
        Capacity, in lines.
    """

    per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    dropped: Counter[str] = attrs.field(factory=Counter)
    _level: float = attrs.field(default=BURST_LINES, alias="level")
    _refilled_s: float = 0.0

    def take(self, now_s: float, category: str) -> bool:
        """Take a token; return False and count the line if refused."""
        if not self.has_room(now_s, category):
            self.dropped[category] += 1
            return False
        self._level -= 1.0
        return True

    def has_room(self, now_s: float, category: str) -> bool:
        """Return whether a line would be written now."""
        gained = max(0.0, now_s - self._refilled_s) * self.per_s
        self._refilled_s = now_s
        self._level = min(self.burst, self._level + gained)
        return self._level >= 1.0 and self._level > self.burst * _RESERVES[category]

    def take_dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by category and reset the counts."""
        found = dict(self.dropped)
        self.dropped.clear()
        return found


def classify_record(record: logging.LogRecord) -> str:
    """Return the category, which sets its importance for explaining a failure."""
    if record.levelno >= logging.WARNING:
        return _CATEGORY_WARNING
    if getattr(record, ATTR_REQUEST_ID, None) is None:
        return _CATEGORY_STATE
    return CATEGORY_NOT_SERVED if getattr(record, ATTR_CODE, 0) else CATEGORY_SUCCESS


def has_line_budget(category: str) -> bool:
    """Return whether a line of this category would be written now; count it as dropped if not.

    Checked before a record is created, because one that is dropped afterwards costs as much as
    one that is written.
    """
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            return handler.has_line_budget(category)
    return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking on its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; made non-blocking.
    budget : LineBudget
        Decides which lines are written.
    """

    def __init__(self, descriptor: int, budget: LineBudget | None = None) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.budget = budget or LineBudget()
        self.lost = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._last_summary_s = 0.0

    def has_line_budget(self, category: str) -> bool:
        """Return whether a line would be written now; count it if not."""
        now_s = time.monotonic()
        if self.budget.has_room(now_s, category):
            return True
        self.budget.dropped[category] += 1
        self._write_summary(now_s)
        return False

    def handle(self, record: logging.LogRecord) -> bool:
        """Write within the budget; filters don't run for a dropped line."""
        now_s = time.monotonic()
        is_written = self.budget.take(now_s, classify_record(record))
        if is_written:
            super().handle(record)
        self._write_summary(now_s)
        return is_written

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it while the reader is slow; drop it if the buffer is full."""
        is_request = getattr(record, ATTR_REQUEST_ID, None) is not None
        limit_bytes = REQUEST_BUFFERED_BYTES if is_request else MAX_BUFFERED_BYTES
        self._append(self.format(record), limit_bytes)
        self._write()

    def _write_summary(self, now_s: float) -> None:
        """Write the number of dropped lines, at most once per `SUMMARY_INTERVAL_S`."""
        if now_s - self._last_summary_s < SUMMARY_INTERVAL_S:
            return
        self._last_summary_s = now_s
        self._append_summary()
        self._write()

    def _append_summary(self) -> None:
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

    def _append(self, line: str, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._buffered_bytes + len(data) > limit_bytes:
            self.lost += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _write(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # the reader has closed the descriptor, so the error can't be logged either
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
