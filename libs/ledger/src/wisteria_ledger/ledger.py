"""Ledger that lets each non-repeatable request run at most once."""

from collections.abc import Iterable

import attrs

from wisteria_core import Refusal

from . import refusals
from .config import LedgerConfig
from .const import PPM
from .handover import PackedRun, PackedSlot, pack, unpack
from .keys import normalize, parse_timestamp_ms
from .models import Join, LedgerSlotId, Replay, Run, RunEnded, RunKey, RunPhase, Start
from .store import RunStore


@attrs.frozen
class _SlotState:
    """Times from which an unknown key is known not to have run.

    Timestamped keys count from ``vouches_from_wall_ms``, opaque keys from the end of the
    quarantine.
    """

    vouches_from_wall_ms: int
    quarantine_until_ms: int


@attrs.define
class Ledger:
    """The ledger slots that one VM owns.

    The caller ensures through slot ownership and its fence that this VM owns the slots at the
    moment of each call.
    """

    config: LedgerConfig = attrs.field(factory=LedgerConfig)
    _held: dict[LedgerSlotId, _SlotState] = attrs.field(factory=dict, init=False)
    _store: RunStore = attrs.field(init=False)
    _next_id: int = attrs.field(default=1, init=False)

    def __attrs_post_init__(self) -> None:
        self._store = RunStore(self.config)

    def start(
        self, now_ms: int, wall_ms: int, slot: LedgerSlotId, payload: bytes | None = None
    ) -> None:
        """Start serving a slot; no effect if the slot is already held.

        Parameters
        ----------
        now_ms, wall_ms : int
            Monotonic and wall clock readings, taken after earlier leases have expired.
        slot : LedgerSlotId
            Slot that this VM now owns.
        payload : bytes, optional
            State handed over by the earlier owner. Without it, an older key may have run, so its
            outcome is unknown.

        Raises
        ------
        ValueError
            If the payload cannot be decoded; the slot is then not held.
        """
        if slot in self._held:
            return
        if payload is None:
            until_ms = now_ms + self.config.retention_ms
            self._held[slot] = _SlotState(wall_ms + self.config.key_timestamp_margin_ms, until_ms)
            return
        packed = unpack(payload)
        until_ms = now_ms + self._extend_for_drift(packed.quarantine_ms)
        self._held[slot] = _SlotState(packed.vouches_from_wall_ms, until_ms)
        for item in packed.runs:
            self._store.add(self._unpack_run(now_ms, slot, item))
        self._store.sort_ended()

    def release(self, now_ms: int, slot: LedgerSlotId) -> bytes | None:
        """Stop serving a slot and return its state to hand over, or None if it was not held.

        Runs that were recorded but not sent are left out, because `sent` refuses them from now on.
        """
        held = self._held.pop(slot, None)
        if held is None:
            return None
        self._store.expire(now_ms)
        runs = self._store.runs_of_slot(slot)
        for run in runs:
            self._store.remove(run)
        kept = [run for run in runs if run.phase is not RunPhase.RECORDED]
        quarantine_ms = max(0, held.quarantine_until_ms - now_ms)
        packed = self._pack_runs(now_ms, kept)
        return pack(PackedSlot(held.vouches_from_wall_ms, quarantine_ms, packed))

    def drop_all(self) -> None:
        """Drop every slot without a hand-over, as after a suspension of the process."""
        self._held.clear()
        self._store.clear()

    def held(self) -> Iterable[LedgerSlotId]:
        return tuple(self._held)

    def begin(
        self, now_ms: int, wall_ms: int, slot: LedgerSlotId, run_key: RunKey, body_digest: bytes
    ) -> Start | Join | Replay | Refusal:
        """Decide whether an attempt runs.

        Returns
        -------
        Start
            The first attempt: run it.
        Join
            The same request is in flight: wait for its end.
        Replay
            The same request has run: return its answer.
        Refusal
            ``IDEMPOTENCY_KEY_REUSED``, ``OUTCOME_UNKNOWN``, ``ANSWER_NOT_RETAINED``,
            ``LEDGER_FULL``, ``OWNER_UNREACHABLE`` (slot not held) or ``BAD_REQUEST`` (key
            timestamp in the future).
        """
        held = self._held.get(slot)
        if held is None:
            return refusals.NOT_HELD
        self._store.expire(now_ms)
        run_key = normalize(run_key)
        run = self._store.find(run_key)
        if run is not None:
            return self._decide_known(now_ms, run, body_digest)
        timestamp_ms = parse_timestamp_ms(run_key.key)
        if timestamp_ms is not None:
            refusal = self._check_timestamp(wall_ms, held, timestamp_ms)
        else:
            refusal = self._check_opaque(now_ms, held, slot, run_key, body_digest)
        if refusal is not None:
            return refusal
        if not self._store.has_room():
            return refusals.LEDGER_FULL
        run = self._make_run(slot, run_key, body_digest)
        self._store.add(run)
        return Start(run.run_id)

    def sent(self, run_id: int) -> bool:
        """Mark a run as sent: bytes may reach a backend server from now on.

        Call it immediately before writing the first byte, without an ``await`` in between.

        Returns
        -------
        bool
            False if the run is no longer here or already sent; the caller must then not send it.
        """
        run = self._store.find_id(run_id)
        if run is None or run.phase is not RunPhase.RECORDED:
            return False
        run.phase = RunPhase.SENT
        return True

    def finish(self, now_ms: int, run_id: int, answer: bytes | None) -> bool:
        """Record the answer of a run, or None if the answer is not to be retained.

        Returns
        -------
        bool
            False if the slot is no longer held here; notify its new owner with `RunEnded`.
        """
        return self._end(now_ms, run_id, RunPhase.FINISHED, answer)

    def fail_unknown(self, now_ms: int, run_id: int) -> bool:
        """Record that a sent run's outcome is unknown; returns as `finish` does."""
        return self._end(now_ms, run_id, RunPhase.UNKNOWN, None)

    def fail_not_run(self, run_id: int) -> bool:
        """Remove a run that no backend server can have seen; the request may run later.

        Call it before `sent`, or after it if the serving VM reported reliably that it did not run.
        """
        run = self._store.find_id(run_id)
        if run is None or run.expires_ms is not None:
            return False
        self._store.remove(run)
        return True

    def on_run_ended(self, now_ms: int, message: RunEnded) -> None:
        """Record the end of a run that an earlier owner had in flight at the hand-over."""
        run_key = normalize(RunKey(message.account, message.route, message.key))
        run = self._store.find(run_key)
        if run is None or run.phase is not RunPhase.UNKNOWN or not message.finished:
            return
        answer = message.answer if message.retained else None
        self._store.end(now_ms, run, RunPhase.FINISHED, answer)

    def usage(self) -> tuple[int, int]:
        """Return the number of runs and the memory that they use."""
        return len(self._store), self._store.used_bytes

    def _decide_known(self, now_ms: int, run: Run, digest: bytes) -> Join | Replay | Refusal:
        if run.phase is RunPhase.UNKNOWN:
            self._store.end(now_ms, run, RunPhase.UNKNOWN, None)
            return refusals.OUTCOME_UNKNOWN
        if run.body_digest != digest:
            return refusals.KEY_REUSED
        if run.phase is not RunPhase.FINISHED:
            return Join(run.run_id)
        return refusals.NOT_RETAINED if run.answer is None else Replay(run.answer)

    def _check_timestamp(self, wall_ms: int, held: _SlotState, timestamp_ms: int) -> Refusal | None:
        if timestamp_ms > wall_ms + self.config.future_tolerance_ms:
            return refusals.TIMESTAMP_IN_FUTURE
        if timestamp_ms <= held.vouches_from_wall_ms:
            return refusals.OUTCOME_UNKNOWN
        if timestamp_ms < wall_ms - self.config.max_key_age_ms:
            return refusals.OUTCOME_UNKNOWN
        return None

    def _check_opaque(
        self, now_ms: int, held: _SlotState, slot: LedgerSlotId, run_key: RunKey, digest: bytes
    ) -> Refusal | None:
        """Refuse an opaque key during quarantine.

        The key is recorded as unknown, so that a retry after the quarantine does not run it.
        """
        if now_ms >= held.quarantine_until_ms:
            return None
        if not self._store.has_room():
            return refusals.LEDGER_FULL_UNKNOWN
        run = self._make_run(slot, run_key, digest)
        self._store.add(run)
        self._store.end(now_ms, run, RunPhase.UNKNOWN, None)
        return refusals.OUTCOME_UNKNOWN

    def _make_run(self, slot: LedgerSlotId, run_key: RunKey, digest: bytes) -> Run:
        run = Run(slot, run_key, self._next_id, digest)
        self._next_id += 1
        return run

    def _end(self, now_ms: int, run_id: int, phase: RunPhase, answer: bytes | None) -> bool:
        run = self._store.find_id(run_id)
        if run is None:
            return False
        self._store.end(now_ms, run, phase, answer)
        return True

    def _pack_runs(self, now_ms: int, runs: list[Run]) -> tuple[PackedRun, ...]:
        """Pack the runs, latest first, with as many answers as the hand-over limit allows."""
        left = self.config.max_handover_answer_bytes
        packed = []
        for run in reversed(runs):
            answer = run.answer
            if answer is not None and len(answer) > left:
                answer = None
            left -= len(answer or b"")
            packed.append(self._pack_run(now_ms, run, answer))
        return tuple(packed)

    def _pack_run(self, now_ms: int, run: Run, answer: bytes | None) -> PackedRun:
        remaining_ms = self.config.retention_ms
        if run.expires_ms is not None:
            remaining_ms = run.expires_ms - now_ms
        key = run.run_key
        finished = run.phase is RunPhase.FINISHED
        return PackedRun(
            key.account, key.route, key.key, run.body_digest, finished, answer, remaining_ms
        )

    def _unpack_run(self, now_ms: int, slot: LedgerSlotId, item: PackedRun) -> Run:
        run = self._make_run(slot, RunKey(item.account, item.route, item.key), item.body_digest)
        run.phase = RunPhase.FINISHED if item.finished else RunPhase.UNKNOWN
        run.answer = item.answer
        run.expires_ms = now_ms + self._extend_for_drift(item.remaining_ms)
        return run

    def _extend_for_drift(self, remaining_ms: int) -> int:
        stretched = remaining_ms * (PPM + 2 * self.config.drift_ppm)
        return -(-stretched // PPM) + self.config.margin_ms
