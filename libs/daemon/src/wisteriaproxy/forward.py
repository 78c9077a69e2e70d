"""Forwards a call to a serving daemon and retries on another where allowed."""

import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

import anyio
import attrs

from wisteria_admission import RANKS_PER_PRIORITY, AdmissionLevel
from wisteria_core import Clock, Refusal, ResultCode, RunState, Vm, VmId
from wisteria_routing import (
    Attempt,
    CallOutcome,
    GiveUp,
    LoadBalancer,
    Retry,
    RetryAllowance,
    RetryBudget,
    ServerLoad,
    decide_retry,
    merge_run_states,
)
from wisteria_wire import AnswerHead, CallHead, LinkPool

from .answers import head_to_refusal, refusal_to_head
from .fleet import FleetView
from .metrics import RETRIES, Counts
from .responders import LocalCall, Reply

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})
LOCAL_WINDOW_BYTES = 262_144


class PeerObserver(Protocol):
    """Receives what calls reveal about the daemons they were sent to."""

    def note_call(self, vm_id: VmId, *, was_reached: bool) -> None:
        """Record whether a call reached the daemon."""

    def note_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        """Record the leaving flag of a VM's answer."""

    def note_server_leaving(self, vm: Vm) -> None:
        """Record that the answer of a VM says that its backend server is leaving."""


BeforeSend = Callable[[], Refusal | None]


def describe_destination(vm_id: VmId, vm: Vm | None) -> str:
    """Return where an attempt goes, for logs: VM, service and process of its backend server."""
    return f"{vm_id}/{vm.service}/{vm.instance}" if vm is not None else f"{vm_id}/unknown"


@attrs.define(eq=False)
class ForwardResult:
    """The outcome of a forwarded call.

    Parameters
    ----------
    head : AnswerHead
        Head of the backend server's answer, or of the final refusal.
    reply : Reply or None
        Source of the body; None for a refusal.
    vm_id : VmId or None
        VM that answered.
    retries : int
        Number of retries in the whole chain of calls.
    """

    head: AnswerHead
    reply: Reply | None
    vm_id: VmId | None
    retries: int = 0


@attrs.define(eq=False)
class Forwarder:
    """Sends each attempt of a call to a chosen VM and decides on retries.

    Parameters
    ----------
    serve_locally : callable
        Starts the serving side of this daemon for a local call.
    """

    fleet: FleetView
    peers: PeerObserver
    links: LinkPool
    clock: Clock
    random: Random
    own_vm: VmId
    serve_locally: Callable[[LocalCall, CallHead], None]
    retry_counts: Counts = attrs.field(factory=lambda: Counts(RETRIES))

    async def forward(
        self,
        head: CallHead,
        deadline_at_ms: int,
        allowance: RetryAllowance,
        prefer: VmId | None = None,
        exclude: frozenset[VmId] = frozenset(),
        before_send: BeforeSend | None = None,
        sent: list[str] | None = None,
    ) -> ForwardResult:
        """Send a call, with retries, until it is answered or refused for good.

        Parameters
        ----------
        allowance : RetryAllowance
            Retries available to this call; each attempt borrows a share.
        prefer : VmId, optional
            VM for the first attempt.
        exclude : frozenset of VmId
            VMs that must not be tried.
        before_send : callable, optional
            Called right before the first byte is sent. If it returns a refusal, nothing is sent.
        sent : list of str, optional
            Receives the destination of each attempt; see `describe_destination`.
        """
        load_balancer = self.fleet.find_load_balancer(head.service)
        budget = self.fleet.find_budget(head.service)
        if load_balancer is None or budget is None:
            refusal = Refusal(ResultCode.NO_BACKEND_SERVER, "no VM runs the service")
            return ForwardResult(refusal_to_head(refusal), None, None)
        budget.note_call()
        run = _AttemptLoop(self, head, deadline_at_ms, allowance, load_balancer, budget, prefer)
        run.tried = exclude
        run.before_send = before_send
        run.sent = sent if sent is not None else []
        return await run.run_attempts()

    async def send(
        self, vm_id: VmId, head: CallHead, before_send: BeforeSend | None = None
    ) -> Reply | Refusal:
        """Send one attempt, which may be to this VM."""
        if vm_id == self.own_vm:
            refusal = before_send() if before_send is not None else None
            if refusal is not None:
                return refusal
            local = LocalCall(LOCAL_WINDOW_BYTES)
            self.serve_locally(local, head)
            return local
        vm = self.fleet.find_vm(vm_id)
        if vm is None:
            return Refusal(ResultCode.LINK_LOST, "the VM is gone", RunState.NOT_RUN)
        return await self._send_remote(vm, head, before_send)

    async def _send_remote(
        self, vm: Vm, head: CallHead, before_send: BeforeSend | None
    ) -> Reply | Refusal:
        link = self.links.find(vm.vm_id) or await self.links.obtain(vm)
        if isinstance(link, Refusal):
            return link
        refusal = before_send() if before_send is not None else None
        if refusal is not None:
            return refusal
        return link.send_call(head)


@attrs.define(eq=False)
class _AttemptLoop:
    """Attempts of one call."""

    forwarder: Forwarder
    head: CallHead
    deadline_at_ms: int
    allowance: RetryAllowance
    load_balancer: LoadBalancer
    budget: RetryBudget
    prefer: VmId | None
    number: int = 0
    retries: int = 0
    moves: int = 0
    earlier: RunState = RunState.NOT_RUN
    tried: frozenset[VmId] = frozenset()
    before_send: BeforeSend | None = None
    sent: list[str] = attrs.field(factory=list)

    async def run_attempts(self) -> ForwardResult:
        """Make attempts until one is final."""
        while True:
            self.number += 1
            vm_id = self._choose()
            if isinstance(vm_id, Refusal):
                return self._refuse(attrs.evolve(vm_id, run_state=self.earlier))
            self.tried |= {vm_id}
            forwarded = await self._attempt(vm_id)
            failure = _find_failure(forwarded.head)
            if failure is None:
                return forwarded
            decision = self._decide(failure)
            if isinstance(decision, GiveUp):
                return self._give_up(forwarded, decision.refusal)
            if forwarded.reply is not None:
                forwarded.reply.cancel()
            self.earlier = merge_run_states(self.earlier, failure.run_state)
            if decision.is_move:
                self.moves += 1
                continue
            self.retries += 1
            self.forwarder.retry_counts.add((self.head.service,))
            await anyio.sleep(decision.delay_ms / _MS_PER_S)

    @property
    def _attempt_id(self) -> tuple[int, int]:
        """Key among all attempts that borrow from the retry allowance."""
        return id(self), self.number

    def _choose(self) -> VmId | Refusal:
        if self.prefer is not None and self.prefer not in self.tried:
            return self.prefer
        now_ms = self.forwarder.clock.now_ms()
        left_ms = self.deadline_at_ms - now_ms
        return self.load_balancer.choose(now_ms, self.tried, self.head.route_id, left_ms)

    async def _attempt(self, vm_id: VmId) -> ForwardResult:
        clock = self.forwarder.clock
        sent_at_ms = clock.now_ms()
        lent = self.allowance.lend(self._attempt_id)
        vm = self.forwarder.fleet.find_vm(vm_id)
        self.sent.append(describe_destination(vm_id, vm))
        head = self.head.for_attempt(
            allowance=lent,
            remaining_ms=self.deadline_at_ms - sent_at_ms,
            instance=vm.instance if vm is not None else "",
        )
        self.load_balancer.note_sent(sent_at_ms, vm_id)
        outcome = CallOutcome.CANCELLED
        load: ServerLoad | None = None
        reply: Reply | Refusal | None = None
        try:
            reply = await self.forwarder.send(vm_id, head, self.before_send)
            answer = reply if isinstance(reply, Refusal) else await reply.wait_answer()
            if isinstance(answer, Refusal):
                outcome = CallOutcome.LINK_LOST
                self.forwarder.peers.note_call(vm_id, was_reached=False)
                self._settle_lost(answer, lent)
                return ForwardResult(refusal_to_head(answer), None, vm_id, self.retries)
            outcome = _classify_answer(answer)
            self.forwarder.peers.note_leaving(vm_id, answer.leaving)
            if answer.server_leaving and vm is not None:
                self.forwarder.peers.note_server_leaving(vm)
            self.forwarder.peers.note_call(vm_id, was_reached=True)
            load = ServerLoad(answer.in_flight, 0, answer.limit)
            self.allowance.settle(self._attempt_id, lent - answer.spent)
            self.retries += answer.spent
            assert not isinstance(reply, Refusal)
            return ForwardResult(answer, reply, vm_id, self.retries)
        finally:
            now_ms = clock.now_ms()
            latency_ms = now_ms - sent_at_ms
            self.load_balancer.note_answer(now_ms, vm_id, outcome, latency_ms, load, head.route_id)
            if outcome is CallOutcome.CANCELLED and reply is not None:
                self.allowance.write_off(self._attempt_id)
                if not isinstance(reply, Refusal):
                    reply.cancel()

    def _settle_lost(self, refusal: Refusal, lent: int) -> None:
        if refusal.run_state is RunState.NOT_RUN:
            self.allowance.settle(self._attempt_id, lent)
        else:
            self.allowance.write_off(self._attempt_id)

    def _decide(self, failure: Refusal) -> Retry | GiveUp:
        attempt = Attempt(
            number=self.number,
            tried=self.tried,
            failure=failure,
            repeatable=self.head.repeatable,
            deadline_at_ms=self.deadline_at_ms,
            alternatives=self.load_balancer.count_usable(self.tried),
            earlier=self.earlier,
            priority=self.head.rank // RANKS_PER_PRIORITY,
            moves=self.moves,
        )
        return decide_retry(
            self.forwarder.clock.now_ms(),
            attempt,
            self.allowance,
            self.budget,
            self.forwarder.random,
        )

    def _give_up(self, forwarded: ForwardResult, refusal: Refusal) -> ForwardResult:
        """Return the backend server's last answer unchanged, or the final refusal."""
        if forwarded.head.code is ResultCode.OK:
            return forwarded
        return self._refuse(refusal, forwarded.head.levels)

    def _refuse(self, refusal: Refusal, levels: tuple[AdmissionLevel, ...] = ()) -> ForwardResult:
        """Return a final refusal with the admission levels, which tell which service sheds."""
        head = attrs.evolve(refusal_to_head(refusal), levels=levels)
        return ForwardResult(head, None, None, self.retries)


def is_failure(head: AnswerHead) -> bool:
    """Return whether the answer is a refusal or reports a failed backend server."""
    return head.code is not ResultCode.OK or head.status in _RETRIED_STATUSES


def _find_failure(head: AnswerHead) -> Refusal | None:
    """Return the failure that an answer reports and that may be retried here, or None.

    A failure of a child call is final here. It was already retried one level below, and a retry
    of this call would repeat the work of its whole subtree.
    """
    if head.code is not ResultCode.OK:
        return head_to_refusal(head)
    if head.status in _RETRIED_STATUSES and not head.child_failed:
        reason = f"the backend server answered {head.status}"
        return Refusal(ResultCode.BACKEND_SERVER_FAILED, reason, RunState.RAN)
    return None


def _classify_answer(head: AnswerHead) -> CallOutcome:
    """Return the outcome for the load balancer's view of the VM."""
    if head.code is ResultCode.DEADLINE_PASSED:
        return CallOutcome.TIMEOUT
    if head.code is ResultCode.BACKEND_SERVER_FAILED:
        return CallOutcome.ERROR
    if head.code is not ResultCode.OK:
        return CallOutcome.REFUSED
    if head.status in _RETRIED_STATUSES and not head.child_failed:
        return CallOutcome.ERROR
    return CallOutcome.SUCCESS
