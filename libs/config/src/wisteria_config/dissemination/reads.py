"""Schedule reads of the configuration service."""

import attrs

from wisteria_core import VmId, rendezvous_weight

from .config import DisseminationConfig
from .models import ReadService


@attrs.define
class _Pending:
    """A read without an outcome yet."""

    read_id: int
    expires_ms: int


@attrs.define
class ReadSchedule:
    """Schedules watches of a reader, and fallback reads of other VMs that get no confirmation.

    Parameters
    ----------
    vm_id : VmId
        Own VM; jitter is derived from it, so that VMs do not read at the same time.
    config : DisseminationConfig
        Intervals.
    """

    vm_id: VmId
    config: DisseminationConfig
    is_reader: bool = False
    revision: int = 0
    failures: int = 0
    reads: int = 0
    next_watch_ms: int = 0
    next_fallback_ms: int = 0
    next_full_ms: int = 0
    _pending: _Pending | None = None

    def restart(self, now_ms: int) -> None:
        """Discard the pending read after a start or a pause."""
        self._pending = None
        self.next_watch_ms = now_ms
        self.next_full_ms = now_ms
        wait_ms = self.config.start_read_after_ms + self._jitter(self.config.start_read_jitter_ms)
        self.next_fallback_ms = now_ms + wait_ms

    def postpone_fallback(self, confirmed_ms: int) -> None:
        """Postpone the next fallback read after a confirmation."""
        wait_ms = self.config.fallback_after_ms + self._jitter(self.config.fallback_jitter_ms)
        self.next_fallback_ms = max(self.next_fallback_ms, confirmed_ms + wait_ms)

    def next_read(self, now_ms: int) -> ReadService | None:
        """Return the read that is due, if any."""
        if self._pending is not None and now_ms < self._pending.expires_ms:
            return None
        if self._pending is not None:
            self._fail(now_ms)
        if now_ms < (self.next_watch_ms if self.is_reader else self.next_fallback_ms):
            return None
        return self._start(now_ms)

    def _start(self, now_ms: int) -> ReadService:
        self.reads += 1
        revision = self._choose_revision(now_ms)
        wait_ms = self.config.watch_ms if self.is_reader and revision is not None else 0
        expires_ms = now_ms + wait_ms + self.config.read_timeout_ms
        self._pending = _Pending(self.reads, expires_ms)
        interval_ms = self.config.fallback_interval_ms
        self.next_fallback_ms = now_ms + interval_ms + self._jitter(interval_ms)
        self.next_watch_ms = now_ms + self.config.read_min_interval_ms
        return ReadService(self.reads, revision, wait_ms)

    def _choose_revision(self, now_ms: int) -> int | None:
        full = self.is_reader and now_ms >= self.next_full_ms
        if self.revision and not full:
            return self.revision
        interval_ms = self.config.full_read_interval_ms // 2
        self.next_full_ms = now_ms + interval_ms + self._jitter(interval_ms)
        return None

    def finish(self, read_id: int, now_ms: int, failed: bool) -> bool:
        """End the pending read; return whether the outcome belongs to it."""
        if self._pending is None or self._pending.read_id != read_id:
            return False
        self._pending = None
        if failed:
            self._fail(now_ms)
        return True

    def reset_backoff(self) -> None:
        """Reset the back-off after a useful answer."""
        self.failures = 0

    def back_off(self, now_ms: int) -> None:
        """Delay the next watch after an answer without a new revision."""
        self._fail(now_ms)

    def _fail(self, now_ms: int) -> None:
        self._pending = None
        self.failures += 1
        backoff_ms = self.config.read_min_interval_ms << min(self.failures, 10)
        bound_ms = min(backoff_ms, self.config.read_backoff_max_ms)
        self.next_watch_ms = now_ms + bound_ms // 2 + self._jitter(bound_ms // 2)

    def _jitter(self, span_ms: int) -> int:
        return rendezvous_weight(f"read-{self.reads}", self.vm_id) % max(span_ms, 1)
