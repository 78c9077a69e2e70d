"""Serving side of the call path: admits a call and runs it on the backend server."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import anyio
import attrs

from wisteria_admission import (
    Action,
    AdmissionGate,
    AdmissionLevel,
    CircuitBreaker,
    Dispatch,
    Outcome,
    Refuse,
    Ticket,
)
from wisteria_config import Document
from wisteria_core import Clock, Priority, Refusal, ResultCode, RunState, Vm
from wisteria_wire import (
    CONNECT_FAILED,
    INLINE_BODY_BYTES,
    AnswerHead,
    CallHead,
    CallScope,
    HttpCall,
)

from .answers import refusal_to_head
from .backend import BackendServer
from .calls import CallRegistry, RunningCall
from .const import ATTR_CODE, ATTR_REQUEST_ID
from .crashes import CrashMonitor
from .destination import find_mismatch
from .metrics import BACKEND_CALLS, MISDIRECTED_CALLS, Counts
from .responders import Responder
from .served_state import Phase, ServedState

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_REJECTED_STATUSES = frozenset({429, 503})
_FIRST_ERROR_STATUS = 500
TICK_MS = 20
IDLE_TICKS = 10
"""Tick periods between gate updates while no call waits or is shed: only estimates age then."""

WITHDRAWN = Refusal(ResultCode.KEY_WITHDRAWN, "the key has been withdrawn")
SERVER_LEAVING = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the backend server is leaving", RunState.NOT_RUN
)
EVACUATED = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the failure domain is evacuated", RunState.NOT_RUN
)
REMOVED = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the backend server is not listed any more", RunState.NOT_RUN
)
FAILING = Refusal(
    ResultCode.BACKEND_SERVER_FAILED,
    "the backend server has failed its last calls",
    RunState.NOT_RUN,
)
INTERNAL = Refusal(ResultCode.INTERNAL, "the daemon failed to serve the call", RunState.UNKNOWN)


@attrs.define(eq=False)
class ServingHandler:
    """Handles the calls that entry daemons send to the backend server of this VM.

    Parameters
    ----------
    read_document : callable
        Returns the active configuration, or None before the first one.
    check_ready : callable
        Returns the refusal to answer with while this daemon's state may be outdated, or None.
    needs_document : bool
        Whether calls are refused until the first configuration is active here. If not, the
        check that the entry daemon made against its own configuration is sufficient.
    tick_ms : int
        Interval at which the gate checks the waiting calls, in milliseconds.
    is_draining : bool
        Whether the backend server is leaving, while the daemon may stay.
    is_evacuated : bool
        Whether operators have evacuated the failure domain of this VM.
    is_removed : bool
        Whether the backend server is missing from the list of VMs after it was on it.
    breaker : CircuitBreaker
        Refuses calls, except for probes, while the backend server fails all of them.
    read_vm : callable
        Returns what the list of VMs names on this VM, or None if it doesn't name it.
    needs_process : bool
        Whether calls that name no process are refused, because the platform reports processes
        and may give the address of this VM to another service.
    on_wait : callable
        Called when a call has to wait, or is refused for want of room.
    """

    gate: AdmissionGate
    backend: BackendServer
    registry: CallRegistry
    clock: Clock
    vm_id: str
    read_document: Callable[[], Document | None]
    check_ready: Callable[[], Refusal | None]
    crashes: CrashMonitor
    needs_document: bool = True
    tick_ms: int = TICK_MS
    is_stopping: bool = False
    is_draining: bool = False
    is_evacuated: bool = False
    is_removed: bool = False
    on_wait: Callable[[], None] = lambda: None
    breaker: CircuitBreaker = attrs.field(factory=CircuitBreaker)
    read_vm: Callable[[], Vm | None] = lambda: None
    needs_process: bool = False
    misdirected: Counts = attrs.field(factory=lambda: Counts(MISDIRECTED_CALLS))
    backend_calls: Counts = attrs.field(factory=lambda: Counts(BACKEND_CALLS))
    _calls: dict[int, ServedState] = attrs.field(factory=dict)
    _next_id: int = 0
    _waits_for_token: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def in_flight(self) -> int:
        """Queued and running calls."""
        return len(self._calls)

    @property
    def is_leaving(self) -> bool:
        """Whether this VM takes no new calls."""
        return self.is_stopping or self.is_draining

    def count_waiting(self) -> Counter[Priority]:
        """Count the calls that wait to be sent, by priority."""
        served = self._calls.values()
        return Counter(one.head.priority for one in served if one.phase is Phase.WAITING)

    async def serve(self, responder: Responder, head: CallHead) -> None:
        """Serve one call and send its outcome, whatever it is, to `responder`."""
        now_ms = self.clock.now_ms()
        deadline = asyncio.get_running_loop().time() + head.remaining_ms / _MS_PER_S
        scope = CallScope(deadline)
        served = ServedState(head, responder, scope, now_ms + head.remaining_ms)
        responder.on_cancel = scope.cancel
        if responder.is_cancelled:
            return
        call_id = self._next_id
        self._next_id += 1
        self._calls[call_id] = served
        try:
            with scope:
                await self._serve_within(call_id, served)
        except Exception:
            _LOGGER.exception("serving_failed", extra={ATTR_REQUEST_ID: head.request_id})
            served.end_reason = INTERNAL
            self._end_early(served)
        finally:
            del self._calls[call_id]
            self._release_gate(call_id, served)
        if scope.cancelled_caught and not responder.is_cancelled:
            self._end_early(served)

    async def run_ticks(self) -> None:
        """Update the gate, which refuses late calls, until cancelled."""
        while True:
            ticks = 1 if self.gate.is_contended() else IDLE_TICKS
            self._waits_for_token.clear()
            with anyio.move_on_after(ticks * self.tick_ms / _MS_PER_S):
                await self._waits_for_token.wait()
                # no ending call may announce the token, so the call depends on the next tick
                await anyio.sleep(self.tick_ms / _MS_PER_S)
            self._apply_actions(self.gate.tick(self.clock.now_ms()))

    def end_withdrawn(self, document: Document) -> int:
        """Cancel calls whose key has been withdrawn; return their number."""
        ended = 0
        for served in list(self._calls.values()):
            if not self._is_withdrawn(document, served.head):
                continue
            served.end_reason = WITHDRAWN
            served.scope.cancel()
            ended += 1
        return ended

    def begin_stop(self) -> None:
        """Refuse new and queued calls from now on; running calls continue."""
        self.is_stopping = True
        self._apply_actions(self.gate.drain(self.clock.now_ms()))

    def cancel_all(self) -> int:
        """Cancel every call; return their number."""
        for served in self._calls.values():
            served.scope.cancel()
        return len(self._calls)

    def set_draining(self, is_draining: bool) -> None:
        """Refuse new and queued calls while the backend server is leaving; running ones continue.

        A call in the queue could otherwise reach the server long after it announced that it
        leaves.
        """
        self.is_draining = is_draining
        if is_draining:
            self._apply_actions(self.gate.drain(self.clock.now_ms(), SERVER_LEAVING))

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Refuse new and queued calls while the failure domain is evacuated; running ones continue.

        The daemon itself goes on serving its callers through other failure domains.
        """
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self._apply_actions(self.gate.drain(self.clock.now_ms(), EVACUATED))
        else:
            # servers of an evacuated domain may have become cold
            self.gate.cold_start.note_restart()

    def set_removed(self, is_removed: bool) -> None:
        """Refuse new and queued calls while the backend server isn't listed; running ones continue.

        A server may leave without an announcement. Unlike one, a removal can be taken back, so the
        answers don't say that the server is leaving.
        """
        self.is_removed = is_removed
        if is_removed:
            self._apply_actions(self.gate.drain(self.clock.now_ms(), REMOVED))

    def set_slots(self, slots: int) -> None:
        """Change the number of slots of the backend server and start the calls that now fit."""
        self._apply_actions(self.gate.set_slots(self.clock.now_ms(), slots))

    def start_queued(self) -> None:
        """Start queued calls that need not wait any more."""
        self._apply_actions(self.gate.tick(self.clock.now_ms()))

    async def _serve_within(self, call_id: int, served: ServedState) -> None:
        refusal = self.check(served.head) or await self._admit(call_id, served)
        if refusal is None:
            # the process may have been replaced, or a key withdrawn, while the call was queued
            refusal = (
                self._check_process(served.head)
                or self._check_key(served.head)
                or self._check_breaker()
                or self.crashes.start(call_id, served.head)
            )
        if refusal is not None:
            self._log_refusal(served.head, refusal)
            served.responder.send_answer(
                self._add_load(refusal_to_head(refusal), served.head, None)
            )
            return
        call = self.registry.add(served.head, served.deadline_at_ms, self.clock.now_ms())
        served.call = call
        try:
            await self._run(served, call)
        finally:
            self.registry.remove(call)
            self.crashes.finish(call_id, served.outcome is Outcome.SUCCESS)

    def _log_refusal(self, head: CallHead, refusal: Refusal) -> None:
        extra = {
            ATTR_REQUEST_ID: head.request_id,
            ATTR_CODE: int(refusal.code),
            "reason": refusal.reason,
            "service": head.service,
            "instance": head.instance,
            "rank": head.rank,
            "time_ms": head.remaining_ms,
            **self.gate.describe(),
        }
        _LOGGER.info("call_refused", extra=extra)

    def _note_other_process(self, head: CallHead) -> None:
        """Count and log a call that the backend server rejected because it names another one."""
        self.misdirected.add(("server",))
        vm = self.read_vm()
        extra = {
            ATTR_REQUEST_ID: head.request_id,
            "service": head.service,
            "instance": head.instance,
            "listed_service": vm.service if vm is not None else None,
            "listed_instance": vm.instance if vm is not None else None,
        }
        _LOGGER.info("call_misdirected", extra=extra)

    def check(self, head: CallHead) -> Refusal | None:
        """Return the refusal of a call that may not be served now, or None."""
        if self.is_leaving:
            return SERVER_LEAVING
        if self.is_evacuated:
            return EVACUATED
        if self.is_removed:
            return REMOVED
        return self._check_process(head) or self._check_key(head)

    def _check_process(self, head: CallHead) -> Refusal | None:
        """Return the refusal of a call that the process on this VM must not run, or None."""
        refusal = find_mismatch(head, self.read_vm(), needs_process=self.needs_process)
        if refusal is not None:
            self.misdirected.add(("daemon",))
        return refusal

    def _check_key(self, head: CallHead) -> Refusal | None:
        not_ready = self.check_ready()
        if not_ready is not None:
            return not_ready
        document = self.read_document()
        if document is None:
            if not self.needs_document:
                return None
            return Refusal(ResultCode.NOT_READY, "no configuration is in force yet")
        return WITHDRAWN if self._is_withdrawn(document, head) else None

    def _check_breaker(self) -> Refusal | None:
        return None if self.breaker.allows(self.clock.now_ms()) else FAILING

    @staticmethod
    def _is_withdrawn(document: Document, head: CallHead) -> bool:
        """Return whether a configuration no older than the entry daemon's lacks the key."""
        if not head.key_id or document.version < head.config_version:
            return False
        return not document.holds_key(head.key_id, head.key_digest)

    async def _admit(self, call_id: int, served: ServedState) -> Refusal | None:
        head = served.head
        ticket = Ticket(
            call_id=call_id,
            account=head.account,
            weight=head.weight,
            priority=head.priority,
            rank=head.rank,
            deadline_at_ms=served.deadline_at_ms,
            long_download=head.long,
            route=head.route_id,
            represented=head.represented,
            key_id=head.key_id,
            is_child=head.hops > 0,
            rank_span=head.rank_span,
        )
        now_ms = self.clock.now_ms()
        self.gate.cold_start.note_instance(head.instance)
        offer = self.gate.offer(now_ms, ticket)
        self._apply_actions(offer.evicted)
        if isinstance(offer.verdict, Dispatch):
            return None
        self.on_wait()
        if isinstance(offer.verdict, Refusal):
            return offer.verdict
        if self.gate.rate_per_s(now_ms) is not None:
            self._waits_for_token.set()
        await served.decided.wait()
        return served.verdict

    def _apply_actions(self, actions: list[Action] | tuple[Refuse, ...]) -> None:
        """Pass the gate's decisions to the waiting calls."""
        for action in actions:
            served = self._calls.get(action.call_id)  # type: ignore[call-overload]
            if served is None:
                continue
            if isinstance(action, Refuse):
                served.verdict = action.refusal
            served.decided.set()

    def _release_gate(self, call_id: int, served: ServedState) -> None:
        now_ms = self.clock.now_ms()
        latency_ms = now_ms - served.sent_at_ms if served.sent_at_ms else 0
        if served.phase is not Phase.WAITING:
            self.backend_calls.add((served.outcome.value,))
        self._apply_actions(self.gate.cancel(now_ms, call_id))
        child_wait_ms = served.call.total_child_wait_ms(now_ms) if served.call is not None else 0
        self._apply_actions(
            self.gate.release(now_ms, call_id, served.outcome, latency_ms, child_wait_ms)
        )

    async def _run(self, served: ServedState, call: RunningCall) -> None:
        served.phase = Phase.SENT
        served.sent_at_ms = self.clock.now_ms()
        http_call = await self.backend.send(call)
        if http_call is CONNECT_FAILED:
            self.gate.cold_start.note_restart()
        elif not isinstance(http_call, Refusal):
            self.gate.cold_start.note_answer(self.clock.now_ms())
        if isinstance(http_call, Refusal):
            is_replaced = http_call.code is ResultCode.NO_BACKEND_SERVER
            if is_replaced:
                self._note_other_process(served.head)
            served.outcome = Outcome.ERROR
            if http_call.run_state is not RunState.NOT_RUN:
                self.breaker.note_failure(self.clock.now_ms())
                await self.crashes.check_for_crash()
            head = self._add_load(refusal_to_head(http_call, call.count_spent()), served.head, call)
            # to the entry daemon, a process that was replaced is one that has left
            is_leaving = head.server_leaving or is_replaced
            served.responder.send_answer(attrs.evolve(head, server_leaving=is_leaving))
            return
        try:
            await self._relay_answer(served, call, http_call)
        finally:
            http_call.cancel()

    async def _relay_answer(
        self, served: ServedState, call: RunningCall, http_call: HttpCall
    ) -> None:
        answer = http_call.answer
        inline = await self._collect_inline(http_call)
        if isinstance(inline, Refusal):
            served.outcome = Outcome.ERROR
            head = refusal_to_head(inline, call.count_spent())
            served.responder.send_answer(self._add_load(head, served.head, call))
            return
        served.outcome = Outcome.CANCELLED if call.child_failed else _classify_status(answer.status)
        if served.outcome is Outcome.ERROR:
            self.breaker.note_failure(self.clock.now_ms())
        elif served.outcome is Outcome.SUCCESS:
            self.breaker.note_success()
        length = None if answer.length is None or inline is not None else answer.length
        headers = self.backend.dialect.make_answer_headers(answer)
        head = AnswerHead(
            status=answer.status,
            headers=headers if length is None else (*headers, "content-length", str(length)),
            spent=call.count_spent(),
            body=inline or b"",
            complete=inline is not None,
            child_failed=call.child_failed,
            in_flight=self.gate.running() + self.gate.queued(),
            limit=self._measure_capacity(),
            levels=self._list_levels(served.head, call),
            leaving=self.is_leaving,
            server_leaving=self.is_draining,
        )
        served.responder.send_answer(head)
        served.phase = Phase.ANSWERED
        if inline is None:
            await self._stream(served, http_call)

    @staticmethod
    async def _collect_inline(http_call: HttpCall) -> bytes | Refusal | None:
        """Return the body if it fits into the head; None if it must be streamed."""
        answer = http_call.answer
        is_declared_small = answer.length is not None and answer.length <= INLINE_BODY_BYTES
        is_received_small = answer.body.is_ended and answer.body.received_bytes <= INLINE_BODY_BYTES
        if not is_declared_small and not is_received_small:
            return None
        parts: list[bytes] = []
        while True:
            chunk = await answer.body.receive()
            if chunk is None:
                return b"".join(parts)
            if isinstance(chunk, Refusal):
                return chunk
            parts.append(chunk)

    async def _stream(self, served: ServedState, http_call: HttpCall) -> None:
        """Stream a body; a long download is bounded by its stall limit instead of its deadline."""
        stall_s = served.head.stall_ms / _MS_PER_S
        while True:
            if served.head.long:
                served.scope.deadline = asyncio.get_running_loop().time() + stall_s
            chunk = await http_call.answer.body.receive()
            if chunk is None:
                served.responder.finish_body()
                return
            if isinstance(chunk, Refusal):
                served.outcome = Outcome.ERROR
                served.responder.abort_body(chunk)
                return
            # sending is not bounded here: the entry daemon limits the stalls of a slow reader
            if served.head.long:
                served.scope.deadline = float("inf")
            if not await served.responder.send_body(chunk):
                served.outcome = Outcome.CANCELLED
                return

    def _end_early(self, served: ServedState) -> None:
        """Answer a call that ended early: deadline, withdrawn key, stop or internal error."""
        refusal = self._find_end_reason(served)
        if served.phase is Phase.ANSWERED:
            served.responder.abort_body(refusal)
            return
        head = refusal_to_head(refusal, served.count_spent())
        served.responder.send_answer(self._add_load(head, served.head, served.call))

    def _find_end_reason(self, served: ServedState) -> Refusal:
        run_state = RunState.NOT_RUN if served.phase is Phase.WAITING else RunState.UNKNOWN
        if served.end_reason is not None:
            return attrs.evolve(served.end_reason, run_state=run_state)
        if served.phase is Phase.ANSWERED and served.head.long:
            return Refusal(ResultCode.ANSWER_STALLED, "the download stalled", RunState.RAN)
        if self.is_stopping and self.clock.now_ms() < served.deadline_at_ms:
            return Refusal(ResultCode.STOPPING, "the daemon was stopped", run_state)
        return Refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed", run_state)

    def _add_load(
        self, head: AnswerHead, call: CallHead, running: RunningCall | None
    ) -> AnswerHead:
        """Return the head with this VM's load and the admission levels of its call chain."""
        return attrs.evolve(
            head,
            in_flight=self.gate.running() + self.gate.queued(),
            limit=self._measure_capacity(),
            levels=self._list_levels(call, running),
            leaving=self.is_leaving,
            server_leaving=self.is_draining,
        )

    def _measure_capacity(self) -> int:
        """Return the concurrent calls that this VM can take, which load balancers divide by."""
        return max(1, round(self.gate.capacity(self.clock.now_ms())))

    def _list_levels(
        self, call: CallHead, running: RunningCall | None
    ) -> tuple[AdmissionLevel, ...]:
        """Return this VM's level, then those of the services that the call used."""
        if running is None:
            return (self.gate.level(call.account, call.priority),)
        now_ms = self.clock.now_ms()
        work_ms = max(1, now_ms - running.started_ms)
        own = self.gate.level(call.account, call.priority, work_ms)
        return (own, *running.list_levels_below(now_ms))


def _classify_status(status: int) -> Outcome:
    """Map the backend server's HTTP status to the limiter's outcome."""
    if status in _REJECTED_STATUSES:
        return Outcome.REJECTED
    return Outcome.ERROR if status >= _FIRST_ERROR_STATUS else Outcome.SUCCESS
