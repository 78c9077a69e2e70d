"""At-most-once execution for the idempotency keys owned here."""

import logging
import time
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from wisteria_core import Clock, Refusal, ResultCode, RunState, VmId, digest
from wisteria_ledger import (
    Join,
    Ledger,
    LedgerSlotId,
    Replay,
    RunEnded,
    RunKey,
    Start,
    slot_for,
)
from wisteria_ownership import SlotId
from wisteria_routing import RetryAllowance
from wisteria_wire import AnswerHead, CallHead, collect_body
from wisteria_wire.codec import decode_answer, encode_answer

from .answers import refusal_to_head
from .const import ATTR_REQUEST_ID
from .forward import Forwarder, ForwardResult
from .responders import Responder
from .serving import ServingHandler
from .slots import SlotTable, ledger_slot

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_NS_PER_MS = 1_000_000
MAX_ANSWER_BYTES = 1_000_000
MAX_HOPS = 3

NOT_RETAINED = Refusal(
    ResultCode.ANSWER_NOT_RETAINED, "the request ran; its answer is too long to keep", RunState.RAN
)
OUTCOME_LOST = Refusal(
    ResultCode.OUTCOME_UNKNOWN, "the request was sent and no answer came", RunState.UNKNOWN
)
EXPIRED_BEFORE_SEND = Refusal(
    ResultCode.DEADLINE_PASSED, "the deadline passed before the request was sent"
)
NOT_OWNER = Refusal(
    ResultCode.OWNER_UNREACHABLE,
    "this VM does not decide about the key at this moment",
    retry_after_ms=500,
)


def wall_clock_ms() -> int:
    """Milliseconds since the epoch."""
    return time.time_ns() // _NS_PER_MS


def make_run_key(head: CallHead) -> RunKey:
    """Return the ledger key of a call that must not run twice."""
    return RunKey(head.account, head.route_id, head.idempotency_key)


def digest_request(head: CallHead) -> bytes:
    """Digest that must match when an idempotency key is used again."""
    return digest(b"\x00".join((head.method.encode(), head.target.encode(), head.body)))


@attrs.define(eq=False)
class _ActiveRun:
    """Run that has not ended; its callers wait for `ended`."""

    run_id: int
    slot: SlotId
    was_sent: bool = False
    outcome: AnswerHead | None = None
    ended: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class AtMostOnceExecutor:
    """Executes calls at most once for the idempotency keys of the slots that this VM owns.

    A run continues after its caller has disconnected, so that its answer is available when the
    caller retries with the same key.

    Parameters
    ----------
    detect_pause : callable
        Detects a pause of the process; called before each decision, because slots may have
        been lost meanwhile.
    send : callable
        Sends a control message to the daemon of a VM.
    """

    ledger: Ledger
    slots: SlotTable
    serving: ServingHandler
    forwarder: Forwarder
    clock: Clock
    tasks: TaskGroup
    detect_pause: Callable[[], None]
    send: Callable[[VmId, Any], None]
    _running: dict[int, _ActiveRun] = attrs.field(factory=dict)

    @property
    def in_flight(self) -> int:
        """Runs that have not ended."""
        return len(self._running)

    async def serve(self, responder: Responder, head: CallHead) -> None:
        """Serve a call from any entry daemon."""
        if head.repeatable or head.owner_run:
            await self.serving.serve(responder, head)
            return
        answer = await self._decide(head)
        if not responder.is_cancelled:
            responder.send_answer(answer)

    def handle_run_ended(self, _sender: VmId, _incarnation: int, message: Any) -> None:
        """Record the outcome of a run that was in flight when its slot was handed over."""
        if not isinstance(message, RunEnded):
            return
        slot = ledger_slot(message.service, message.slot_index)
        if self.slots.may_decide(slot):
            self.ledger.on_run_ended(self.clock.now_ms(), message)
            return
        successor = self.slots.find_successor(slot)
        if successor is None or successor == self.forwarder.own_vm or message.hops >= MAX_HOPS:
            _LOGGER.warning("run_end_lost", extra={"slot": slot.key})
            return
        self.send(successor, attrs.evolve(message, hops=message.hops + 1))

    # SlotHandler

    def acquire(self, slot: SlotId, payload: bytes | None) -> None:
        """Start deciding, with the previous owner's state if any."""
        try:
            self.ledger.start(self.clock.now_ms(), wall_clock_ms(), _ledger_id(slot), payload)
        except ValueError:
            _LOGGER.warning("ledger_payload_unreadable", extra={"slot": slot.key})
            self.ledger.start(self.clock.now_ms(), wall_clock_ms(), _ledger_id(slot))

    def release(self, slot: SlotId) -> bytes:
        """Stop deciding; return the state for the successor."""
        return self.ledger.release(self.clock.now_ms(), _ledger_id(slot)) or b""

    def drop(self, slot: SlotId) -> None:
        """Stop deciding and discard the state."""
        self.ledger.release(self.clock.now_ms(), _ledger_id(slot))

    # deciding

    async def _decide(self, head: CallHead) -> AnswerHead:
        self.detect_pause()
        run_key = make_run_key(head)
        ledger_id = slot_for(head.service, run_key)
        slot = ledger_slot(head.service, ledger_id.index)
        refusal = self.serving.check(head)
        if refusal is None and not self.slots.may_decide(slot):
            refusal = NOT_OWNER
        if refusal is not None:
            return refusal_to_head(refusal)
        now_ms = self.clock.now_ms()
        request_digest = digest_request(head)
        match self.ledger.begin(now_ms, wall_clock_ms(), ledger_id, run_key, request_digest):
            case Start(run_id):
                return await self._start(head, run_id, slot)
            case Join(run_id):
                return await self._join(head, run_id)
            case Replay(answer):
                return _replay(answer)
            case refused:
                return refusal_to_head(refused)

    async def _start(self, head: CallHead, run_id: int, slot: SlotId) -> AnswerHead:
        self._running[run_id] = _ActiveRun(run_id, slot)
        self.tasks.start_soon(self._run, head, self._running[run_id])
        return await self._join(head, run_id)

    async def _join(self, head: CallHead, run_id: int) -> AnswerHead:
        """Wait for the run, at most until the caller's deadline."""
        run = self._running.get(run_id)
        if run is None:
            return refusal_to_head(OUTCOME_LOST)
        with anyio.move_on_after(head.remaining_ms / _MS_PER_S):
            await run.ended.wait()
        if run.outcome is not None:
            return run.outcome
        state = RunState.UNKNOWN if run.was_sent else RunState.NOT_RUN
        return refusal_to_head(
            Refusal(ResultCode.DEADLINE_PASSED, "the request still runs", RunState.UNKNOWN)
            if state is RunState.UNKNOWN
            else attrs.evolve(EXPIRED_BEFORE_SEND, run_state=RunState.UNKNOWN)
        )

    # running

    async def _run(self, head: CallHead, run: _ActiveRun) -> None:
        try:
            run.outcome = await self._run_once(head, run)
        except Exception:
            _LOGGER.exception("run_failed", extra={ATTR_REQUEST_ID: head.request_id})
            run.outcome = self._end_without_answer(run)
        finally:
            del self._running[run.run_id]
            run.ended.set()

    async def _run_once(self, head: CallHead, run: _ActiveRun) -> AnswerHead:
        deadline_at_ms = self.clock.now_ms() + head.remaining_ms
        allowance = RetryAllowance(head.allowance)
        with anyio.move_on_after(head.remaining_ms / _MS_PER_S):
            forwarded = await self.forwarder.forward(
                attrs.evolve(head, owner_run=True),
                deadline_at_ms,
                allowance,
                prefer=self.forwarder.own_vm,
                before_send=lambda: self._permit_send(run),
            )
            answer = await self._settle(head, run, forwarded)
            return attrs.evolve(answer, spent=head.allowance - allowance.remaining)
        return attrs.evolve(self._end_without_answer(run), spent=head.allowance)

    def _permit_send(self, run: _ActiveRun) -> Refusal | None:
        """Mark the run as sent, right before the first byte; refuse if the slot is lost."""
        self.detect_pause()
        if not self.slots.may_decide(run.slot):
            return NOT_OWNER
        if not run.was_sent and not self.ledger.sent(run.run_id):
            return NOT_OWNER
        run.was_sent = True
        return None

    async def _settle(
        self, head: CallHead, run: _ActiveRun, forwarded: ForwardResult
    ) -> AnswerHead:
        """Record the outcome; return the answer for the callers."""
        answer = forwarded.head
        if answer.code is not ResultCode.OK:
            if answer.run_state is RunState.NOT_RUN:
                self.ledger.fail_not_run(run.run_id)
                return answer
            self._finish(head, run, None, is_known=False)
            return answer
        if not answer.complete:
            assert forwarded.reply is not None
            body = await collect_body(forwarded.reply.body, MAX_ANSWER_BYTES)
            forwarded.reply.cancel()
            if not isinstance(body, bytes):
                self._finish(head, run, None, is_known=body is None)
                return refusal_to_head(NOT_RETAINED if body is None else body)
            answer = attrs.evolve(answer, body=body, complete=True)
        self._finish(head, run, encode_answer(attrs.evolve(answer, levels=())), is_known=True)
        return answer

    def _finish(
        self, head: CallHead, run: _ActiveRun, answer: bytes | None, *, is_known: bool
    ) -> None:
        """Record the outcome, or report it to the VM that now owns the slot."""
        now_ms = self.clock.now_ms()
        if is_known:
            is_recorded = self.ledger.finish(now_ms, run.run_id, answer)
        else:
            is_recorded = self.ledger.fail_unknown(now_ms, run.run_id)
        if is_recorded or not is_known:
            return
        successor = self.slots.find_successor(run.slot)
        if successor is None or successor == self.forwarder.own_vm:
            return
        key = make_run_key(head)
        slot_id = slot_for(head.service, key)
        message = RunEnded(
            slot_id.service,
            slot_id.index,
            key.account,
            key.route,
            key.key,
            finished=True,
            answer=answer or b"",
            retained=answer is not None,
        )
        self.send(successor, message)

    def _end_without_answer(self, run: _ActiveRun) -> AnswerHead:
        if not run.was_sent:
            self.ledger.fail_not_run(run.run_id)
            return refusal_to_head(EXPIRED_BEFORE_SEND)
        self.ledger.fail_unknown(self.clock.now_ms(), run.run_id)
        return refusal_to_head(OUTCOME_LOST)


def _ledger_id(slot: SlotId) -> LedgerSlotId:
    return LedgerSlotId(slot.name, slot.index)


def _replay(answer: bytes) -> AnswerHead:
    head = decode_answer(answer)
    return head if isinstance(head, AnswerHead) else refusal_to_head(NOT_RETAINED)
