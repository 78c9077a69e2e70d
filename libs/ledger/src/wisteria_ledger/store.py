"""Bounded in-memory store of runs."""

from collections import OrderedDict

import attrs

from .config import LedgerConfig
from .const import ENTRY_BYTES
from .models import LedgerSlotId, Run, RunKey, RunPhase


@attrs.define
class RunStore:
    """Runs by key and by id; an ended run is kept for the full retention time, never evicted."""

    config: LedgerConfig
    used_bytes: int = 0
    _by_key: dict[RunKey, Run] = attrs.field(factory=dict)
    _by_id: dict[int, Run] = attrs.field(factory=dict)
    _ended: OrderedDict[RunKey, Run] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, run_key: RunKey) -> Run | None:
        return self._by_key.get(run_key)

    def find_id(self, run_id: int) -> Run | None:
        return self._by_id.get(run_id)

    def has_room(self) -> bool:
        """Return whether another run fits."""
        if len(self._by_key) >= self.config.max_entries:
            return False
        return self.used_bytes + ENTRY_BYTES <= self.config.max_bytes

    def add(self, run: Run) -> None:
        """Add a run; call `sort_ended` after adding ended runs out of their order of expiry."""
        self._by_key[run.run_key] = run
        self._by_id[run.run_id] = run
        self.used_bytes += ENTRY_BYTES + len(run.answer or b"")
        if run.expires_ms is not None:
            self._ended[run.run_key] = run

    def end(self, now_ms: int, run: Run, phase: RunPhase, answer: bytes | None) -> None:
        """Record the end of a run, and retain its answer if it fits."""
        self.used_bytes -= len(run.answer or b"")
        run.phase = phase
        run.answer = answer if self._fits(answer) else None
        self.used_bytes += len(run.answer or b"")
        run.expires_ms = now_ms + self.config.retention_ms
        self._ended[run.run_key] = run
        self._ended.move_to_end(run.run_key)

    def remove(self, run: Run) -> None:
        del self._by_key[run.run_key]
        del self._by_id[run.run_id]
        self._ended.pop(run.run_key, None)
        self.used_bytes -= ENTRY_BYTES + len(run.answer or b"")

    def expire(self, now_ms: int) -> None:
        """Remove ended runs whose retention has passed."""
        while self._ended:
            run = next(iter(self._ended.values()))
            if run.expires_ms is None or run.expires_ms > now_ms:
                return
            self.remove(run)

    def runs_of_slot(self, slot: LedgerSlotId) -> list[Run]:
        """Return the runs of a slot: ended ones in order of expiry, then those in flight."""
        runs = [run for run in self._ended.values() if run.slot == slot]
        runs += [r for r in self._by_key.values() if r.slot == slot and r.expires_ms is None]
        return runs

    def clear(self) -> None:
        self._by_key.clear()
        self._by_id.clear()
        self._ended.clear()
        self.used_bytes = 0

    def sort_ended(self) -> None:
        """Restore the order of expiry after adding runs from a hand-over."""
        ordered = sorted(self._ended.items(), key=lambda item: item[1].expires_ms or 0)
        self._ended = OrderedDict(ordered)

    def _fits(self, answer: bytes | None) -> bool:
        if answer is None or len(answer) > self.config.max_answer_bytes:
            return False
        return self.used_bytes + len(answer) <= self.config.max_bytes
